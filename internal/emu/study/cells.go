package study

import (
	"fmt"
	"io"
	"slices"

	"whinrudder/internal/emu/experiment"
	"whinrudder/internal/emu/fleet"
	"whinrudder/internal/vtime"
)

// Estimate is one figure of a cell, with 95% intervals by bootstrap.
type Estimate struct {
	Name                    string
	Mean, Low, High         float64
	Diff, DiffLow, DiffHigh float64 // the mean difference to the first variant in pairs, and its interval
}

// Cell is what a variant did at a point of a study.
type Cell struct {
	Family, Variant             string
	SweepValue                  float64
	Seeds                       int
	Estimates                   []Estimate
	Verdict                     Verdict // of the first measure, against the first variant
	OverloadCrashes, Violations int
	FirstViolation              string
	WorstSeed                   uint64 // the seed of the worst day by the first measure
	Latency                     fleet.Latencies
}

// SweepValues returns the values of the sweep, in order; one if nothing was swept.
func (s *Study) SweepValues() (out []float64) {
	for _, d := range s.Days {
		if !slices.Contains(out, d.SweepValue) {
			out = append(out, d.SweepValue)
		}
	}
	slices.Sort(out)
	return out
}

// Cells sums up a study.
func (s *Study) Cells() (out []Cell) {
	for _, x := range s.SweepValues() {
		for vi, variant := range s.Variants {
			c := Cell{Family: s.Name, Variant: variant, SweepValue: x}
			worst := 0.0
			less := experiment.MeasureByName(s.Measures[0]).LowerIsBetter
			for _, d := range s.Days {
				if d.Variant != variant || d.SweepValue != x {
					continue
				}
				if v := d.Values[0]; c.Seeds == 0 || less && v > worst || !less && v < worst {
					c.WorstSeed, worst = d.Seed, v
				}
				c.Seeds++
				c.OverloadCrashes += d.OverloadCrashes
				c.Latency = c.Latency.Merge(d.Latency)
				if c.Violations += len(d.Violations); c.FirstViolation == "" && len(d.Violations) > 0 {
					c.FirstViolation = fmt.Sprintf("seed %d: %s", d.Seed, d.Violations[0])
				}
			}
			if c.Seeds == 0 {
				continue
			}
			for mi, name := range s.Measures {
				v := s.values(variant, x, mi)
				diffs := differences(v, s.values(s.Variants[0], x, mi))
				seed := vtime.Seed(1).Split(s.Name+variant+name, int(1e6*x))
				m := Estimate{Name: name}
				m.Mean, m.Low, m.High = Bootstrap(v, seed)
				m.Diff, m.DiffLow, m.DiffHigh = Bootstrap(diffs, seed)
				c.Estimates = append(c.Estimates, m)
				if vi > 0 && mi == 0 {
					c.Verdict = Decide(diffs, s.MinEffect, 1)
				}
			}
			out = append(out, c)
		}
	}
	return out
}

// WriteTable writes the cells of studies as people read them.
func WriteTable(w io.Writer, all []*Study) {
	for _, s := range all {
		cells := s.Cells()
		if len(cells) == 0 {
			continue
		}
		swept := ""
		if s.Sweep != "" {
			swept = ", by " + s.Sweep
		}
		fmt.Fprintf(w, "%s%s, %d days each\n  %-12s", s.Name, swept, slices.MaxFunc(cells, func(a, b Cell) int { return a.Seeds - b.Seeds }).Seeds, "")
		if s.Sweep != "" {
			fmt.Fprintf(w, " %8s", s.Sweep[max(0, len(s.Sweep)-8):])
		}
		for i, m := range s.Measures {
			fmt.Fprintf(w, " %12s", m)
			if i == 0 && len(s.Variants) > 1 {
				fmt.Fprintf(w, " %25s", "less the first (95%)")
			}
		}
		fmt.Fprintf(w, " %5s %6s\n", "fell", "broken")
		for _, c := range cells {
			fmt.Fprintf(w, "  %-12s", c.Variant)
			if s.Sweep != "" {
				fmt.Fprintf(w, " %8.4g", c.SweepValue)
			}
			for i, m := range c.Estimates {
				fmt.Fprintf(w, " %12.5g", m.Mean)
				if i == 0 && len(s.Variants) > 1 {
					less := ""
					if c.Variant != s.Variants[0] {
						less = fmt.Sprintf("%+.3f (%+.3f, %+.3f)", m.Diff, m.DiffLow, m.DiffHigh)
					}
					fmt.Fprintf(w, " %25s", less)
				}
			}
			fmt.Fprintf(w, " %5d %6d\n", c.OverloadCrashes, c.Violations)
			if c.FirstViolation != "" {
				fmt.Fprintln(w, "    ", c.FirstViolation)
			}
		}
	}
}
