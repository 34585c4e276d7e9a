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

	"whinrudder/internal/emu/experiment"
	"whinrudder/internal/emu/fleet"
	"whinrudder/internal/emu/report"
	"whinrudder/internal/emu/study"
	"whinrudder/internal/template"
	"whinrudder/internal/vtime"
)

// load reads an experiment: a file, or one that ships with the kit by its name.
func load(name string) (*experiment.Experiment, error) {
	text, ok := experiment.FamilySource(name)
	if !ok {
		var err error
		if text, err = os.ReadFile(name); err != nil {
			return nil, fmt.Errorf("lab: %q is no file, and none of the days that ship: %s", name, strings.Join(experiment.Families(), ", "))
		}
	}
	return experiment.Parse(text, name, template.Evaluate)
}

// arguments loads the experiments that a command line names, or all that ship, with what it says beyond them.
func arguments(c *cli.Command) (out []*experiment.Experiment, err error) {
	names := c.Args().Slice()
	if len(names) == 0 {
		names = experiment.Families()
	}
	for _, n := range names {
		e, err := load(n)
		if err != nil {
			return nil, err
		}
		if c.IsSet("seeds") {
			if e.Seeds = c.Int("seeds"); e.Seeds < 1 || e.Seeds > 10000 {
				return nil, fmt.Errorf("lab: --seeds is %d, want 1 to 10000", e.Seeds)
			}
		}
		if c.IsSet("first-seed") {
			e.FirstSeed = vtime.Seed(c.Uint64("first-seed"))
		}
		if c.IsSet("effect") {
			e.MinEffect, e.StopEarly = c.Float("effect"), true
		}
		if m := c.StringSlice("measure"); len(m) > 0 {
			for _, name := range m {
				if experiment.MeasureByName(name) == nil {
					return nil, fmt.Errorf("lab: measure %q is none of %s", name, strings.Join(experiment.MeasureNames(), ", "))
				}
			}
			e.Measures = m
		}
		if p := c.StringSlice("policy"); len(p) > 0 {
			if err := e.SetPolicies(p); err != nil {
				return nil, err
			}
		}
		out = append(out, e)
	}
	return out, nil
}

func one(c *cli.Command) (*experiment.Experiment, error) {
	if c.NArg() != 1 {
		return nil, errors.New("lab: want one experiment, a file or the name of one that ships")
	}
	all, err := arguments(c)
	if err != nil {
		return nil, err
	}
	return all[0], nil
}

func tell(done, most int) { fmt.Fprintf(os.Stderr, "\r%d of %d days at most ", done, most) }

// output writes to a file that a flag names, if it does.
func output(c *cli.Command, flag string, write func(w io.Writer) error) error {
	path := c.String(flag)
	if path == "" {
		return nil
	}
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(write(f), f.Close())
}

// finish writes what was played: a table, and files where they are wanted.
func finish(out io.Writer, c *cli.Command, all []*study.Study) error {
	fmt.Fprintln(os.Stderr)
	study.WriteTable(out, all)
	if err := output(c, "json", func(w io.Writer) error { return study.WriteJSONLines(w, all) }); err != nil {
		return err
	}
	if dir := c.String("plots"); dir != "" {
		return plots(out, all, dir)
	}
	return nil
}

func plots(out io.Writer, all []*study.Study, dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	var drawn []report.Plot
	for _, s := range all {
		p, err := report.DrawStudy(s)
		if err != nil {
			return err
		}
		drawn = append(drawn, p...)
	}
	if len(all) > 1 && len(all[0].Variants) > 1 {
		svg, err := report.DrawFamilies(all)
		if err != nil {
			return err
		}
		drawn = append(drawn, report.Plot{Name: "families", SVG: svg})
	}
	for _, p := range drawn {
		path := filepath.Join(dir, p.Name+".svg")
		if err := os.WriteFile(path, p.SVG, 0o644); err != nil {
			return err
		}
		fmt.Fprintln(out, path)
	}
	return nil
}

// plays plays one day with all variants of its experiment.
func plays(e *experiment.Experiment, x float64, seed vtime.Seed) (d fleet.Day, out []report.VariantResult, err error) {
	for i, v := range e.Variants {
		w, err := e.Day(i, x, seed, nil)
		if err != nil {
			return d, nil, err
		}
		if i == 0 {
			d = w
		}
		out = append(out, report.VariantResult{Name: v.Name, Result: fleet.Simulate(w, v.Policy.NodeFactory())})
	}
	return d, out, nil
}

// variant returns what plays a day as the first variant of an experiment does.
func variant(e *experiment.Experiment) func(fleet.Day) fleet.Result {
	make := e.Variants[0].Policy.NodeFactory()
	return func(d fleet.Day) fleet.Result { return fleet.Simulate(d, make) }
}

// dayCommands play the days of the emulator.
func dayCommands(out io.Writer) []*cli.Command {
	common := []cli.Flag{
		&cli.IntFlag{Name: "seeds", Usage: "how many days of each kind, in place of what the file says"},
		&cli.Uint64Flag{Name: "first-seed", Usage: "of the days"},
		&cli.StringSliceFlag{Name: "policy", Usage: "compare these policies in place of the file's variants, the others with the first"},
		&cli.StringSliceFlag{Name: "measure", Usage: "what to measure, the first decides"},
		&cli.FloatFlag{Name: "effect", Usage: "the least difference that matters: play on only until all is clear"},
		&cli.StringFlag{Name: "json", Usage: "file for JSON lines, one for each day that was played"},
		&cli.StringFlag{Name: "plots", Usage: "folder for plots"},
	}
	flags := func(more ...cli.Flag) []cli.Flag { return append(append([]cli.Flag{}, common...), more...) }
	run := func(change func(*cli.Command, *experiment.Experiment) error) cli.ActionFunc {
		return func(_ context.Context, c *cli.Command) error {
			all, err := arguments(c)
			if err != nil {
				return err
			}
			for _, e := range all {
				if err := change(c, e); err != nil {
					return err
				}
			}
			played, err := study.Run(all, tell)
			if err != nil {
				return err
			}
			return finish(out, c, played)
		}
	}
	return []*cli.Command{{
		Name: "days", Usage: "list the days that ship, or print one of them", ArgsUsage: "[NAME]",
		Action: func(_ context.Context, c *cli.Command) error {
			if c.NArg() == 0 {
				for _, f := range experiment.Families() {
					text, _ := experiment.FamilySource(f)
					first, _, _ := strings.Cut(string(text), "\n")
					fmt.Fprintf(out, "%-10s %s\n", f, strings.TrimPrefix(first, "// "))
				}
				return nil
			}
			text, ok := experiment.FamilySource(c.Args().First())
			if !ok {
				return fmt.Errorf("lab: no day %q ships", c.Args().First())
			}
			_, err := out.Write(text)
			return err
		},
	}, {
		Name: "run", Usage: "play experiments as their files say", ArgsUsage: "EXPERIMENT...", Flags: flags(),
		Action: run(func(*cli.Command, *experiment.Experiment) error { return nil }),
	}, {
		Name: "compare", Usage: "play days with the module and its rivals, and compare them in pairs", ArgsUsage: "[EXPERIMENT...]", Flags: flags(),
		Action: run(func(c *cli.Command, e *experiment.Experiment) error {
			if c.IsSet("policy") || len(e.Variants) > 1 {
				return nil
			}
			return e.SetPolicies(experiment.PolicyNames)
		}),
	}, {
		Name: "sweep", Usage: "play a day over the values of one of its figures", ArgsUsage: "EXPERIMENT...",
		Flags: flags(&cli.StringFlag{Name: "key", Usage: "path of the figure in the day", Value: "load"}, &cli.FloatFlag{Name: "from", Value: 0.3},
			&cli.FloatFlag{Name: "to", Value: 1.5}, &cli.IntFlag{Name: "steps", Value: 9}),
		Action: run(func(c *cli.Command, e *experiment.Experiment) error {
			if len(c.StringSlice("measure")) == 0 {
				e.Measures = []string{"goal", "offered", "goodput", "p50", "p99", "waste", "tries"}
			}
			if e.Sweep.Key != "" && !c.IsSet("key") {
				return nil
			}
			if n := c.Int("steps"); n < 1 || n > 50 {
				return fmt.Errorf("lab: --steps is %d, want 1 to 50", n)
			}
			return e.SetSweep(experiment.Sweep{Key: c.String("key"), Values: experiment.Steps(c.Float("from"), c.Float("to"), c.Int("steps"))})
		}),
	}, {
		Name: "replay", Usage: "play one day of an experiment and tell all of it", ArgsUsage: "EXPERIMENT",
		Flags: flags(&cli.Uint64Flag{Name: "seed", Value: 1}, &cli.FloatFlag{Name: "x", Usage: "value of the sweep"},
			&cli.StringFlag{Name: "plot", Usage: "file for a plot of the day"}, &cli.StringFlag{Name: "day", Usage: "file for the day as it was drawn"}),
		Action: func(_ context.Context, c *cli.Command) error {
			e, err := one(c)
			if err != nil {
				return err
			}
			seed := vtime.Seed(c.Uint64("seed"))
			d, all, err := plays(e, c.Float("x"), seed)
			if err != nil {
				return err
			}
			fmt.Fprint(out, report.FormatResults(d, all))
			if err := output(c, "day", func(w io.Writer) error {
				_, err := w.Write(experiment.MarshalDay(d, e.Variants[0].Policy.Name))
				return err
			}); err != nil {
				return err
			}
			return drawDay(c, fmt.Sprintf("%s, seed %d", e.Name, uint64(d.Seed)), d, all)
		},
	}, {
		Name: "plot", Usage: "draw results that were written as JSON lines", ArgsUsage: "RESULTS",
		Flags: []cli.Flag{&cli.StringFlag{Name: "out", Usage: "folder", Value: "."}},
		Action: func(_ context.Context, c *cli.Command) error {
			all, err := results(c)
			if err != nil {
				return err
			}
			return plots(out, all, c.String("out"))
		},
	}, {
		Name: "report", Usage: "write one page of results, with the worst day of each kind", ArgsUsage: "RESULTS",
		Flags: []cli.Flag{&cli.StringFlag{Name: "out", Usage: "file", Value: "report.html"},
			&cli.StringSliceFlag{Name: "experiment", Usage: "file that results of its name were played from, to play the worst days again"}},
		Action: func(_ context.Context, c *cli.Command) error { return writeReport(c) },
	}, {
		Name: "speed", Usage: "play the usual day with more and more nodes, and tell time and memory",
		Flags: []cli.Flag{&cli.IntSliceFlag{Name: "nodes", Value: []int{4, 14, 40, 400, 1000}}, &cli.FloatFlag{Name: "seconds", Value: 20}},
		Action: func(_ context.Context, c *cli.Command) error {
			for _, n := range c.IntSlice("nodes") {
				if n < 1 || n > 2000 {
					return fmt.Errorf("lab speed: --nodes has %d, want 1 to 2000", n)
				}
			}
			if s := c.Float("seconds"); !(s >= 1 && s <= 3600) {
				return fmt.Errorf("lab speed: --seconds is %v, want 1 to 3600", s)
			}
			study.WriteSpeed(out, study.MeasureSpeed(c.IntSlice("nodes"), c.Float("seconds")))
			return nil
		},
	}, huntCommand(out), shrinkCommand(out), collapseCommand(out), liveCommand(out), clientsCommand(out)}
}

func results(c *cli.Command) ([]*study.Study, error) {
	f, err := os.Open(c.Args().First())
	if err != nil {
		return nil, err
	}
	defer f.Close()
	all, err := study.ReadJSONLines(f)
	if err == nil && len(all) == 0 {
		err = fmt.Errorf("results: %s holds none", c.Args().First())
	}
	return all, err
}

func writeReport(c *cli.Command) error {
	all, err := results(c)
	if err != nil {
		return err
	}
	from := map[string]*experiment.Experiment{}
	for _, n := range append(experiment.Families(), c.StringSlice("experiment")...) {
		e, err := load(n)
		if err != nil {
			return err
		}
		from[e.Name] = e
	}
	var sections []report.Section
	if len(all) > 1 && len(all[0].Variants) > 1 {
		svg, err := report.DrawFamilies(all)
		if err != nil {
			return err
		}
		sections = append(sections, report.Section{Title: "all", Plots: []report.Plot{{Name: "differences", SVG: svg}}})
	}
	for _, s := range all {
		var text strings.Builder
		study.WriteTable(&text, []*study.Study{s})
		p, err := report.DrawStudy(s)
		if err != nil {
			return err
		}
		sections = append(sections, report.Section{Title: s.Name, Text: text.String(), Plots: p})
		cells, e := s.Cells(), from[s.Name]
		if e == nil || len(cells) == 0 {
			continue
		}
		worst := cells[0]
		for _, w := range cells {
			if w.Variant == s.Variants[0] && w.Estimates[0].Mean < worst.Estimates[0].Mean {
				worst = w
			}
		}
		if s.Sweep != "" {
			if err := e.SetSweep(experiment.Sweep{Key: s.Sweep, Values: s.SweepValues()}); err != nil {
				return err
			}
		}
		if e.MatchVariants(s.Variants) != nil {
			continue // the file has changed since: its days are not those of the results
		}
		d, plays, err := plays(e, worst.SweepValue, vtime.Seed(worst.WorstSeed))
		if err != nil {
			return err
		}
		svg, err := report.DrawDay(fmt.Sprintf("%s, seed %d", s.Name, worst.WorstSeed), d, plays)
		if err != nil {
			return err
		}
		sections = append(sections, report.Section{Title: "worst " + s.Name, Text: report.FormatResults(d, plays), Plots: []report.Plot{{Name: "the day", SVG: svg}}})
	}
	return output(c, "out", func(w io.Writer) error { return report.WritePage(w, "Rehearsal", sections) })
}
