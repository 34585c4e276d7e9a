package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/urfave/cli/v3"

	"whinrudder/client"
	"whinrudder/internal/emu/collapse"
	"whinrudder/internal/emu/experiment"
	"whinrudder/internal/emu/fleet"
	"whinrudder/internal/emu/hunt"
	"whinrudder/internal/emu/live"
	"whinrudder/internal/emu/report"
	"whinrudder/internal/emu/shrink"
	"whinrudder/internal/vtime"
)

// oneDay returns the experiment of the command line and its day of the seed --seed, as its first variant plays it.
func oneDay(c *cli.Command) (*experiment.Experiment, fleet.Day, error) {
	e, err := oneExperiment(c)
	if err != nil {
		return nil, fleet.Day{}, err
	}
	d, err := e.Day(0, 0, vtime.Seed(c.Uint64("seed")), nil)
	return e, d, err
}

// drawDay writes the plot of a day to the file that --plot names, if it is set.
func drawDay(c *cli.Command, title string, d fleet.Day, all []report.VariantResult) error {
	return writeFlagFile(c, "plot", func(w io.Writer) error {
		svg, err := report.DrawDay(title, d, all)
		if err != nil {
			return err
		}
		_, err = w.Write(svg)
		return err
	})
}

// huntCommand searches an experiment for its worst days.
func huntCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name: "hunt", Usage: "search the ranges of an experiment for the worst days, and report their causes",
		ArgsUsage: "EXPERIMENT",
		Flags: []cli.Flag{&cli.IntFlag{Name: "random", Value: 200}, &cli.IntFlag{Name: "keep", Value: 5},
			&cli.IntFlag{Name: "rounds", Value: 6},
			&cli.IntFlag{Name: "tries", Value: 8}, &cli.Uint64Flag{Name: "first-seed", Value: 1},
			&cli.StringSliceFlag{Name: "policy"},
			&cli.StringFlag{Name: "days", Usage: "folder for the days that are found"}},
		Action: func(_ context.Context, c *cli.Command) error {
			e, err := oneExperiment(c)
			if err != nil {
				return err
			}
			dimensions := e.Dimensions()
			params := hunt.Params{Random: c.Int("random"), Keep: c.Int("keep"), Rounds: c.Int("rounds"),
				Tries: c.Int("tries"), Seed: e.FirstSeed}
			if params.Random < 1 || params.Random > 100000 || params.Keep < 1 || params.Rounds < 0 ||
				params.Rounds > 1000 || params.Tries < 1 || params.Tries > 1000 {
				return errors.New(
					"lab hunt: want --random 1 to 100000, --keep from 1, --tries 1 to 1000, --rounds 0 to 1000")
			}
			day := func(point []float64, seed vtime.Seed) (fleet.Day, error) {
				return e.Day(0, 0, seed, func(path string) float64 {
					for i, d := range dimensions {
						if d.Path == path {
							return point[i]
						}
					}
					return 0.5
				})
			}
			play := firstVariantSimulator(e)
			found := hunt.Search(len(dimensions), params, func(point []float64, seed vtime.Seed) float64 {
				d, err := day(point, seed)
				if err != nil {
					return 2
				}
				return play(d).GoalScore
			}, printProgress)
			fmt.Fprintln(os.Stderr)
			for i, finding := range found {
				d, err := day(finding.Point, finding.Seed)
				if err != nil {
					return err
				}
				worst, causes := hunt.FindCauses(d, play)
				fmt.Fprintf(out, "%d. goal %.3f (drawn %.3f), worst 10 s %.3f from %.0f s on, %d broken, seed %d\n",
					i+1, finding.Score, finding.InitialScore, worst.WorstWindow, worst.WorstWindowStart/1000,
					len(worst.Violations), uint64(finding.Seed))
				for j, dim := range dimensions {
					fmt.Fprintf(out, "     %s %.3g\n", dim.Path,
						vtime.Range{Low: dim.Low, High: dim.High}.At(finding.Point[j]))
				}
				for _, cause := range causes {
					fmt.Fprintf(out, "   without %-28s worst 10 s %+.3f, goal %+.3f\n", cause.Name,
						cause.WorstWindowGain, cause.GoalGain)
				}
				if dir := c.String("days"); dir != "" {
					path := filepath.Join(dir, fmt.Sprintf("%s-%d.json", e.Name, i+1))
					if err := errors.Join(os.MkdirAll(dir, 0o755),
						os.WriteFile(path, experiment.MarshalDay(d, e.Variants[0].Policy.Name), 0o644)); err != nil {
						return err
					}
				}
			}
			return nil
		},
	}
}

// shrinkCommand reduces a day that breaks a rule.
func shrinkCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name: "shrink", Usage: "find a day that breaks a rule, and reduce it to a small day that breaks it too",
		ArgsUsage: "EXPERIMENT",
		Flags: []cli.Flag{&cli.IntFlag{Name: "seeds", Usage: "days that are looked at"},
			&cli.Uint64Flag{Name: "first-seed"},
			&cli.IntFlag{Name: "plays", Usage: "at most, to cut it down", Value: 2000},
			&cli.StringFlag{Name: "out", Usage: "file for the small day", Value: "broken.json"}},
		Action: func(_ context.Context, c *cli.Command) error {
			e, err := oneExperiment(c)
			if err != nil {
				return err
			}
			play := firstVariantSimulator(e)
			for s := range e.Seeds {
				d, err := e.Day(0, 0, e.FirstSeed+vtime.Seed(s), nil)
				if err != nil {
					return err
				}
				result := play(d)
				if len(result.Violations) == 0 {
					continue
				}
				rule := shrink.RuleName(result.Violations[0])
				small, steps := shrink.Day(d, func(d fleet.Day) bool {
					for _, violation := range play(d).Violations {
						if shrink.RuleName(violation) == rule {
							return true
						}
					}
					return false
				}, func(d fleet.Day) int { return play(d).Requests }, c.Int("plays"))
				smallResult := play(small)
				fmt.Fprintf(out,
					"seed %d breaks %q: %s\n%d cuts: %d nodes, %d callers, %d troubles, %.1f s, %d requests; before %d, %d, %d, %.1f s, %d\n%s\n",
					uint64(e.FirstSeed)+uint64(s), rule, result.Violations[0], len(steps), small.Nodes,
					len(small.Callers), len(small.Faults), small.DurationMs/1000,
					smallResult.Requests, d.Nodes, len(d.Callers), len(d.Faults), d.DurationMs/1000, result.Requests,
					strings.Join(smallResult.Violations, "\n"))
				return writeFlagFile(c, "out", func(w io.Writer) error {
					_, err := w.Write(experiment.MarshalDay(small, e.Variants[0].Policy.Name))
					return err
				})
			}
			fmt.Fprintf(out, "%d days break no rule\n", e.Seeds)
			return nil
		},
	}
}

// collapseCommand looks for overload that continues after its trigger has ended.
func collapseCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name: "collapse", Usage: "look for overload that continues after its trigger, and report what ends it",
		ArgsUsage: "EXPERIMENT",
		Flags: []cli.Flag{&cli.IntFlag{Name: "seeds"}, &cli.Uint64Flag{Name: "first-seed"},
			&cli.StringSliceFlag{Name: "policy"},
			&cli.StringFlag{Name: "plot", Usage: "file for a plot of the first that is found, with what ends it"}},
		Action: func(_ context.Context, c *cli.Command) error {
			e, err := oneExperiment(c)
			if err != nil {
				return err
			}
			drawn := false
			for i, variant := range e.Variants {
				newNode := variant.Policy.NodeFactory()
				play := func(d fleet.Day) fleet.Result { return fleet.Simulate(d, newNode) }
				collapses, meanWorth := 0, 0.0
				recoveries := map[string]int{}
				var names []string
				for s := range e.Seeds {
					d, err := e.Day(i, 0, e.FirstSeed+vtime.Seed(s), nil)
					if err != nil {
						return err
					}
					finding := collapse.Detect(d, play)
					if meanWorth += finding.WorthWithTrigger / float64(e.Seeds); !finding.Collapse {
						continue
					}
					if collapses++; collapses == 1 {
						for _, remedy := range finding.Remedies {
							names = append(names, remedy.Name)
						}
					}
					for _, remedy := range finding.Remedies {
						if remedy.Recovers {
							recoveries[remedy.Name]++
						}
					}
					if !drawn && c.String("plot") != "" {
						drawn = true
						if err := drawCollapse(c, fmt.Sprintf("%s, %s, seed %d", e.Name, variant.Name, uint64(d.Seed)),
							d, finding, play); err != nil {
							return err
						}
					}
				}
				fmt.Fprintf(out, "%-12s %3d of %d days collapse; in time after the trigger %.3f\n", variant.Name,
					collapses, e.Seeds, meanWorth)
				for _, name := range names {
					fmt.Fprintf(out, "   %-50s ends %d of %d\n", name, recoveries[name], collapses)
				}
			}
			return nil
		},
	}
}

// drawCollapse draws a collapse and the first remedy that ends it.
func drawCollapse(c *cli.Command, title string, d fleet.Day, finding collapse.Finding,
	play func(fleet.Day) fleet.Result) error {
	all := []report.VariantResult{{Name: "as it is", Result: finding.Result}}
	for _, remedy := range finding.Remedies {
		if remedy.Recovers {
			d = remedy.Day
			all = append(all, report.VariantResult{Name: remedy.Name, Result: play(remedy.Day)})
			break
		}
	}
	return drawDay(c, title, d, all)
}

// liveCommand compares a simulated day with the same day on real nodes.
func liveCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name: "live", Usage: "play one day in virtual time and on real nodes over loopback sockets, and compare them",
		ArgsUsage: "EXPERIMENT",
		Flags: []cli.Flag{&cli.Uint64Flag{Name: "seed", Value: 1},
			&cli.StringFlag{Name: "program",
				Usage: "the node's program; by default whinrudder in the folder of this program"},
			&cli.StringFlag{Name: "plot", Usage: "file for a plot of both"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			e, d, err := oneDay(c)
			if err != nil {
				return err
			}
			return withProgram(ctx, c, func(ctx context.Context, program string) error {
				result, err := live.RunDay(ctx, program, d)
				if err != nil {
					return err
				}
				all := []report.VariantResult{{Name: "emulated", Result: fleet.Simulate(d, fleet.NewModuleNode)},
					{Name: "real", Result: result}}
				fmt.Fprint(out, report.FormatResults(d, all))
				fmt.Fprint(out, report.FormatModelErrors(all[0].Result, result))
				return drawDay(c, fmt.Sprintf("%s, seed %d", e.Name, uint64(d.Seed)), d, all)
			})
		},
	}
}

// clientsCommand plays a day on real nodes with callers of the client library.
func clientsCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:      "clients",
		Usage:     "play one day on real nodes with callers built on the client library, and count double runs",
		ArgsUsage: "EXPERIMENT",
		Flags: []cli.Flag{&cli.Uint64Flag{Name: "seed", Value: 1},
			&cli.StringFlag{Name: "program",
				Usage: "the node's program; by default whinrudder in the folder of this program"},
			&cli.StringFlag{Name: "protocol", Usage: "http, h2c or uwsgi", Value: "http"},
			&cli.BoolFlag{Name: "proxy", Usage: "the callers are client proxies, each a process of its own"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			_, d, err := oneDay(c)
			if err != nil {
				return err
			}
			return withProgram(ctx, c, func(ctx context.Context, program string) error {
				proxy := ""
				if c.Bool("proxy") {
					if proxy, err = os.Executable(); err != nil {
						return err
					}
				}
				calls, err := live.RunClients(ctx, program, proxy, d, client.Protocol(c.String("protocol")))
				live.WriteCallStats(out, calls)
				return err
			})
		},
	}
}
