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

// loadExperiment reads an experiment: a shipped one by its name, or a file by its path.
func loadExperiment(name string) (*experiment.Experiment, error) {
	text, ok := experiment.FamilySource(name)
	if !ok {
		var err error
		if text, err = os.ReadFile(name); err != nil {
			return nil, fmt.Errorf("lab: %q is no file, and none of the days that ship: %s", name,
				strings.Join(experiment.Families(), ", "))
		}
	}
	return experiment.Parse(text, name, template.Evaluate)
}

// experimentsFromArgs loads the experiments that the command line names, or all shipped ones if it names none, and
// applies the flags that override their settings.
func experimentsFromArgs(c *cli.Command) (out []*experiment.Experiment, err error) {
	names := c.Args().Slice()
	if len(names) == 0 {
		names = experiment.Families()
	}
	for _, name := range names {
		e, err := loadExperiment(name)
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
		if measures := c.StringSlice("measure"); len(measures) > 0 {
			for _, name := range measures {
				if experiment.MeasureByName(name) == nil {
					return nil, fmt.Errorf("lab: measure %q is none of %s", name,
						strings.Join(experiment.MeasureNames(), ", "))
				}
			}
			e.Measures = measures
		}
		if policies := c.StringSlice("policy"); len(policies) > 0 {
			if err := e.SetPolicies(policies); err != nil {
				return nil, err
			}
		}
		out = append(out, e)
	}
	return out, nil
}

// oneExperiment loads the only experiment that the command line names.
func oneExperiment(c *cli.Command) (*experiment.Experiment, error) {
	if c.NArg() != 1 {
		return nil, errors.New("lab: want one experiment, a file or the name of a shipped one")
	}
	all, err := experimentsFromArgs(c)
	if err != nil {
		return nil, err
	}
	return all[0], nil
}

// printProgress writes the progress of a study to standard error, over the line before.
func printProgress(done, maxDays int) {
	fmt.Fprintf(os.Stderr, "\r%d of %d days at most ", done, maxDays)
}

// writeFlagFile writes the file that a flag names, if the flag is set.
func writeFlagFile(c *cli.Command, flag string, write func(w io.Writer) error) error {
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

// writeStudies writes the results of studies: a table, and the files of --json and --plots if they are set.
func writeStudies(out io.Writer, c *cli.Command, all []*study.Study) error {
	fmt.Fprintln(os.Stderr)
	study.WriteTable(out, all)
	if err := writeFlagFile(c, "json", func(w io.Writer) error { return study.WriteJSONLines(w, all) }); err != nil {
		return err
	}
	if dir := c.String("plots"); dir != "" {
		return writePlots(out, all, dir)
	}
	return nil
}

// writePlots draws studies into SVG files in dir and prints their paths.
func writePlots(out io.Writer, all []*study.Study, dir string) error {
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

// simulateDay simulates one day with all variants of its experiment. It returns the day of the first variant.
func simulateDay(e *experiment.Experiment, sweepValue float64,
	seed vtime.Seed) (d fleet.Day, out []report.VariantResult, err error) {
	for i, variant := range e.Variants {
		drawn, err := e.Day(i, sweepValue, seed, nil)
		if err != nil {
			return d, nil, err
		}
		if i == 0 {
			d = drawn
		}
		out = append(out, report.VariantResult{Name: variant.Name,
			Result: fleet.Simulate(drawn, variant.Policy.NodeFactory())})
	}
	return d, out, nil
}

// firstVariantSimulator returns a function that simulates a day with the first variant of an experiment.
func firstVariantSimulator(e *experiment.Experiment) func(fleet.Day) fleet.Result {
	newNode := e.Variants[0].Policy.NodeFactory()
	return func(d fleet.Day) fleet.Result { return fleet.Simulate(d, newNode) }
}

// dayCommands returns the commands that play simulated days of a fleet.
func dayCommands(out io.Writer) []*cli.Command {
	common := []cli.Flag{
		&cli.IntFlag{Name: "seeds", Usage: "how many days of each kind, in place of what the file says"},
		&cli.Uint64Flag{Name: "first-seed", Usage: "of the days: the seed of the first; the others follow it"},
		&cli.StringSliceFlag{Name: "policy",
			Usage: "compare these policies instead of the file's variants, the others with the first"},
		&cli.StringSliceFlag{Name: "measure", Usage: "what to measure; the first measure decides the comparison"},
		&cli.FloatFlag{Name: "effect",
			Usage: "the least difference that matters; playing stops as soon as every comparison is decided"},
		&cli.StringFlag{Name: "json", Usage: "file for JSON lines, one for each day that was played"},
		&cli.StringFlag{Name: "plots", Usage: "folder for plots"},
	}
	flags := func(more ...cli.Flag) []cli.Flag { return append(append([]cli.Flag{}, common...), more...) }
	runStudies := func(change func(*cli.Command, *experiment.Experiment) error) cli.ActionFunc {
		return func(_ context.Context, c *cli.Command) error {
			all, err := experimentsFromArgs(c)
			if err != nil {
				return err
			}
			for _, e := range all {
				if err := change(c, e); err != nil {
					return err
				}
			}
			played, err := study.Run(all, printProgress)
			if err != nil {
				return err
			}
			return writeStudies(out, c, played)
		}
	}
	return []*cli.Command{{
		Name: "days", Usage: "list the shipped days, or print one of them", ArgsUsage: "[NAME]",
		Action: func(_ context.Context, c *cli.Command) error {
			if c.NArg() == 0 {
				for _, family := range experiment.Families() {
					text, _ := experiment.FamilySource(family)
					first, _, _ := strings.Cut(string(text), "\n")
					fmt.Fprintf(out, "%-10s %s\n", family, strings.TrimPrefix(first, "// "))
				}
				return nil
			}
			text, ok := experiment.FamilySource(c.Args().First())
			if !ok {
				return fmt.Errorf("lab: %q is not the name of a shipped day", c.Args().First())
			}
			_, err := out.Write(text)
			return err
		},
	}, {
		Name: "run", Usage: "play experiments as their files define them", ArgsUsage: "EXPERIMENT...", Flags: flags(),
		Action: runStudies(func(*cli.Command, *experiment.Experiment) error { return nil }),
	}, {
		Name: "compare", Usage: "play days with the module and with other policies, and compare them in pairs",
		ArgsUsage: "[EXPERIMENT...]", Flags: flags(),
		Action: runStudies(func(c *cli.Command, e *experiment.Experiment) error {
			if c.IsSet("policy") || len(e.Variants) > 1 {
				return nil
			}
			return e.SetPolicies(experiment.PolicyNames)
		}),
	}, {
		Name: "sweep", Usage: "play a day with a range of values of one of its parameters", ArgsUsage: "EXPERIMENT...",
		Flags: flags(&cli.StringFlag{Name: "key", Usage: "path of the figure in the day", Value: "load"},
			&cli.FloatFlag{Name: "from", Value: 0.3},
			&cli.FloatFlag{Name: "to", Value: 1.5}, &cli.IntFlag{Name: "steps", Value: 9}),
		Action: runStudies(func(c *cli.Command, e *experiment.Experiment) error {
			if len(c.StringSlice("measure")) == 0 {
				e.Measures = []string{"goal", "offered", "goodput", "p50", "p99", "waste", "tries"}
			}
			if e.Sweep.Key != "" && !c.IsSet("key") {
				return nil
			}
			if n := c.Int("steps"); n < 1 || n > 50 {
				return fmt.Errorf("lab: --steps is %d, want 1 to 50", n)
			}
			return e.SetSweep(experiment.Sweep{Key: c.String("key"),
				Values: experiment.Steps(c.Float("from"), c.Float("to"), c.Int("steps"))})
		}),
	}, {
		Name: "replay", Usage: "play one day of an experiment and print all its results", ArgsUsage: "EXPERIMENT",
		Flags: flags(&cli.Uint64Flag{Name: "seed", Value: 1}, &cli.FloatFlag{Name: "x", Usage: "value of the sweep"},
			&cli.StringFlag{Name: "plot", Usage: "file for a plot of the day"},
			&cli.StringFlag{Name: "day", Usage: "file for the day as it was drawn"}),
		Action: func(_ context.Context, c *cli.Command) error {
			e, err := oneExperiment(c)
			if err != nil {
				return err
			}
			seed := vtime.Seed(c.Uint64("seed"))
			d, all, err := simulateDay(e, c.Float("x"), seed)
			if err != nil {
				return err
			}
			fmt.Fprint(out, report.FormatResults(d, all))
			if err := writeFlagFile(c, "day", func(w io.Writer) error {
				_, err := w.Write(experiment.MarshalDay(d, e.Variants[0].Policy.Name))
				return err
			}); err != nil {
				return err
			}
			return drawDay(c, fmt.Sprintf("%s, seed %d", e.Name, uint64(d.Seed)), d, all)
		},
	}, {
		Name: "plot", Usage: "draw results from a file of JSON lines", ArgsUsage: "RESULTS",
		Flags: []cli.Flag{&cli.StringFlag{Name: "out", Usage: "folder", Value: "."}},
		Action: func(_ context.Context, c *cli.Command) error {
			all, err := readResults(c)
			if err != nil {
				return err
			}
			return writePlots(out, all, c.String("out"))
		},
	}, {
		Name: "report", Usage: "write one HTML page of results, with the worst day of each kind", ArgsUsage: "RESULTS",
		Flags: []cli.Flag{&cli.StringFlag{Name: "out", Usage: "file", Value: "report.html"},
			&cli.StringSliceFlag{Name: "experiment",
				Usage: "file of the experiment behind results of the same name, to play their worst days again"}},
		Action: func(_ context.Context, c *cli.Command) error { return writeReport(c) },
	}, {
		Name: "speed", Usage: "play the usual day with increasing numbers of nodes, and print time and memory",
		Flags: []cli.Flag{&cli.IntSliceFlag{Name: "nodes", Value: []int{4, 14, 40, 400, 1000}},
			&cli.FloatFlag{Name: "seconds", Value: 20}},
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

// readResults reads the file of results that the command line names.
func readResults(c *cli.Command) ([]*study.Study, error) {
	f, err := os.Open(c.Args().First())
	if err != nil {
		return nil, err
	}
	defer f.Close()
	all, err := study.ReadJSONLines(f)
	if err == nil && len(all) == 0 {
		err = fmt.Errorf("results: %s contains no results", c.Args().First())
	}
	return all, err
}

// writeReport writes the page of results to the file that --out names.
func writeReport(c *cli.Command) error {
	all, err := readResults(c)
	if err != nil {
		return err
	}
	experiments := map[string]*experiment.Experiment{}
	for _, name := range append(experiment.Families(), c.StringSlice("experiment")...) {
		e, err := loadExperiment(name)
		if err != nil {
			return err
		}
		experiments[e.Name] = e
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
		plots, err := report.DrawStudy(s)
		if err != nil {
			return err
		}
		sections = append(sections, report.Section{Title: s.Name, Text: text.String(), Plots: plots})
		cells, e := s.Cells(), experiments[s.Name]
		if e == nil || len(cells) == 0 {
			continue
		}
		worst := cells[0]
		for _, cell := range cells {
			if cell.Variant == s.Variants[0] && cell.Estimates[0].Mean < worst.Estimates[0].Mean {
				worst = cell
			}
		}
		if s.Sweep != "" {
			if err := e.SetSweep(experiment.Sweep{Key: s.Sweep, Values: s.SweepValues()}); err != nil {
				return err
			}
		}
		if e.MatchVariants(s.Variants) != nil {
			continue // the file has changed since the results were written, so its days differ from theirs
		}
		d, variantResults, err := simulateDay(e, worst.SweepValue, vtime.Seed(worst.WorstSeed))
		if err != nil {
			return err
		}
		svg, err := report.DrawDay(fmt.Sprintf("%s, seed %d", s.Name, worst.WorstSeed), d, variantResults)
		if err != nil {
			return err
		}
		sections = append(sections, report.Section{Title: "worst " + s.Name,
			Text: report.FormatResults(d, variantResults), Plots: []report.Plot{{Name: "the day", SVG: svg}}})
	}
	return writeFlagFile(c, "out", func(w io.Writer) error { return report.WritePage(w, "Rehearsal", sections) })
}
