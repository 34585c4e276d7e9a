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

// oneDay draws the day that a command line names, as the first variant plays it.
func oneDay(c *cli.Command) (*experiment.Experiment, fleet.Day, error) {
	e, err := one(c)
	if err != nil {
		return nil, fleet.Day{}, err
	}
	d, err := e.Day(0, 0, vtime.Seed(c.Uint64("seed")), nil)
	return e, d, err
}

// drawDay writes the plot of a day, if one is wanted.
func drawDay(c *cli.Command, title string, d fleet.Day, all []report.VariantResult) error {
	return output(c, "plot", func(w io.Writer) error {
		svg, err := report.DrawDay(title, d, all)
		if err != nil {
			return err
		}
		_, err = w.Write(svg)
		return err
	})
}

func huntCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name: "hunt", Usage: "search the ranges of an experiment for the worst days, and name their causes", ArgsUsage: "EXPERIMENT",
		Flags: []cli.Flag{&cli.IntFlag{Name: "random", Value: 200}, &cli.IntFlag{Name: "keep", Value: 5}, &cli.IntFlag{Name: "rounds", Value: 6},
			&cli.IntFlag{Name: "tries", Value: 8}, &cli.Uint64Flag{Name: "first-seed", Value: 1}, &cli.StringSliceFlag{Name: "policy"},
			&cli.StringFlag{Name: "days", Usage: "folder for the days that are found"}},
		Action: func(_ context.Context, c *cli.Command) error {
			e, err := one(c)
			if err != nil {
				return err
			}
			dims := e.Dimensions()
			p := hunt.Params{Random: c.Int("random"), Keep: c.Int("keep"), Rounds: c.Int("rounds"), Tries: c.Int("tries"), Seed: e.FirstSeed}
			if p.Random < 1 || p.Random > 100000 || p.Keep < 1 || p.Rounds < 0 || p.Rounds > 1000 || p.Tries < 1 || p.Tries > 1000 {
				return errors.New("lab hunt: want --random 1 to 100000, --keep and --tries from 1, --rounds from 0")
			}
			day := func(place []float64, seed vtime.Seed) (fleet.Day, error) {
				return e.Day(0, 0, seed, func(path string) float64 {
					for i, d := range dims {
						if d.Path == path {
							return place[i]
						}
					}
					return 0.5
				})
			}
			play := variant(e)
			found := hunt.Search(len(dims), p, func(place []float64, seed vtime.Seed) float64 {
				d, err := day(place, seed)
				if err != nil {
					return 2
				}
				return play(d).GoalScore
			}, tell)
			fmt.Fprintln(os.Stderr)
			for i, f := range found {
				d, err := day(f.Point, f.Seed)
				if err != nil {
					return err
				}
				r, causes := hunt.FindCauses(d, play)
				fmt.Fprintf(out, "%d. goal %.3f (drawn %.3f), worst 10 s %.3f from %.0f s on, %d broken, seed %d\n", i+1, f.Score, f.InitialScore, r.WorstWindow, r.WorstWindowStart/1000,
					len(r.Violations), uint64(f.Seed))
				for j, dim := range dims {
					fmt.Fprintf(out, "     %s %.3g\n", dim.Path, vtime.Range{Low: dim.Low, High: dim.High}.At(f.Point[j]))
				}
				for _, w := range causes {
					fmt.Fprintf(out, "   without %-28s worst 10 s %+.3f, goal %+.3f\n", w.Name, w.WorstWindowGain, w.GoalGain)
				}
				if dir := c.String("days"); dir != "" {
					path := filepath.Join(dir, fmt.Sprintf("%s-%d.json", e.Name, i+1))
					if err := errors.Join(os.MkdirAll(dir, 0o755), os.WriteFile(path, experiment.MarshalDay(d, e.Variants[0].Policy.Name), 0o644)); err != nil {
						return err
					}
				}
			}
			return nil
		},
	}
}

func shrinkCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name: "shrink", Usage: "find a day that breaks a rule, and cut it down to the smallest that does", ArgsUsage: "EXPERIMENT",
		Flags: []cli.Flag{&cli.IntFlag{Name: "seeds", Usage: "days that are looked at"}, &cli.Uint64Flag{Name: "first-seed"},
			&cli.IntFlag{Name: "plays", Usage: "at most, to cut it down", Value: 2000}, &cli.StringFlag{Name: "out", Usage: "file for the small day", Value: "broken.json"}},
		Action: func(_ context.Context, c *cli.Command) error {
			e, err := one(c)
			if err != nil {
				return err
			}
			play := variant(e)
			for s := range e.Seeds {
				d, err := e.Day(0, 0, e.FirstSeed+vtime.Seed(s), nil)
				if err != nil {
					return err
				}
				r := play(d)
				if len(r.Violations) == 0 {
					continue
				}
				rule := shrink.RuleName(r.Violations[0])
				small, steps := shrink.Day(d, func(d fleet.Day) bool {
					for _, b := range play(d).Violations {
						if shrink.RuleName(b) == rule {
							return true
						}
					}
					return false
				}, func(d fleet.Day) int { return play(d).Requests }, c.Int("plays"))
				left := play(small)
				fmt.Fprintf(out, "seed %d breaks %q: %s\n%d cuts: %d nodes, %d callers, %d troubles, %.1f s, %d requests; before %d, %d, %d, %.1f s, %d\n%s\n",
					uint64(e.FirstSeed)+uint64(s), rule, r.Violations[0], len(steps), small.Nodes, len(small.Callers), len(small.Faults), small.DurationMs/1000,
					left.Requests, d.Nodes, len(d.Callers), len(d.Faults), d.DurationMs/1000, r.Requests, strings.Join(left.Violations, "\n"))
				return output(c, "out", func(w io.Writer) error {
					_, err := w.Write(experiment.MarshalDay(small, e.Variants[0].Policy.Name))
					return err
				})
			}
			fmt.Fprintf(out, "%d days break no rule\n", e.Seeds)
			return nil
		},
	}
}

func collapseCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name: "collapse", Usage: "look for overload that outlasts its trigger, and name what ends it", ArgsUsage: "EXPERIMENT",
		Flags: []cli.Flag{&cli.IntFlag{Name: "seeds"}, &cli.Uint64Flag{Name: "first-seed"}, &cli.StringSliceFlag{Name: "policy"},
			&cli.StringFlag{Name: "plot", Usage: "file for a plot of the first that is found, with what ends it"}},
		Action: func(_ context.Context, c *cli.Command) error {
			e, err := one(c)
			if err != nil {
				return err
			}
			drawn := false
			for i, v := range e.Variants {
				make := v.Policy.NodeFactory()
				play := func(d fleet.Day) fleet.Result { return fleet.Simulate(d, make) }
				n, with := 0, 0.0
				ends := map[string]int{}
				var names []string
				for s := range e.Seeds {
					d, err := e.Day(i, 0, e.FirstSeed+vtime.Seed(s), nil)
					if err != nil {
						return err
					}
					f := collapse.Detect(d, play)
					if with += f.WorthWithTrigger / float64(e.Seeds); !f.Collapse {
						continue
					}
					if n++; n == 1 {
						for _, x := range f.Remedies {
							names = append(names, x.Name)
						}
					}
					for _, x := range f.Remedies {
						if x.Recovers {
							ends[x.Name]++
						}
					}
					if !drawn && c.String("plot") != "" {
						drawn = true
						if err := drawCollapse(c, fmt.Sprintf("%s, %s, seed %d", e.Name, v.Name, uint64(d.Seed)), d, f, play); err != nil {
							return err
						}
					}
				}
				fmt.Fprintf(out, "%-12s %3d of %d days collapse; in time after the trigger %.3f\n", v.Name, n, e.Seeds, with)
				for _, w := range names {
					fmt.Fprintf(out, "   %-50s ends %d of %d\n", w, ends[w], n)
				}
			}
			return nil
		},
	}
}

// drawCollapse draws a collapse and the first measure that ends it.
func drawCollapse(c *cli.Command, title string, d fleet.Day, f collapse.Finding, play func(fleet.Day) fleet.Result) error {
	all := []report.VariantResult{{Name: "as it is", Result: f.Result}}
	for _, e := range f.Remedies {
		if e.Recovers {
			d = e.Day
			all = append(all, report.VariantResult{Name: e.Name, Result: play(e.Day)})
			break
		}
	}
	return drawDay(c, title, d, all)
}

func liveCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name: "live", Usage: "play one day in virtual time and against real nodes on loopback sockets, side by side", ArgsUsage: "EXPERIMENT",
		Flags: []cli.Flag{&cli.Uint64Flag{Name: "seed", Value: 1}, &cli.StringFlag{Name: "program", Usage: "the node's program; the one beside this by default"},
			&cli.StringFlag{Name: "plot", Usage: "file for a plot of both"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			e, d, err := oneDay(c)
			if err != nil {
				return err
			}
			return bounded(ctx, c, func(ctx context.Context, program string) error {
				r, err := live.RunDay(ctx, program, d)
				if err != nil {
					return err
				}
				all := []report.VariantResult{{Name: "emulated", Result: fleet.Simulate(d, fleet.NewModuleNode)}, {Name: "real", Result: r}}
				fmt.Fprint(out, report.FormatResults(d, all))
				fmt.Fprint(out, report.FormatModelErrors(all[0].Result, r))
				return drawDay(c, fmt.Sprintf("%s, seed %d", e.Name, uint64(d.Seed)), d, all)
			})
		},
	}
}

func clientsCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name: "clients", Usage: "play one day against real nodes with callers built on the client library, and count double runs", ArgsUsage: "EXPERIMENT",
		Flags: []cli.Flag{&cli.Uint64Flag{Name: "seed", Value: 1}, &cli.StringFlag{Name: "program", Usage: "the node's program; the one beside this by default"},
			&cli.StringFlag{Name: "protocol", Usage: "http, h2c or uwsgi", Value: "http"},
			&cli.BoolFlag{Name: "proxy", Usage: "the callers are client proxies, each a process of its own"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			_, d, err := oneDay(c)
			if err != nil {
				return err
			}
			return bounded(ctx, c, func(ctx context.Context, program string) error {
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
