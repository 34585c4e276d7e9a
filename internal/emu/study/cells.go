package study

import (
	"fmt"
	"io"
	"slices"

	"whinrudder/internal/emu/experiment"
	"whinrudder/internal/emu/fleet"
	"whinrudder/internal/vtime"
)

// Estimate is the mean of a measure over the days of a cell, with bootstrap confidence intervals of 95%.
type Estimate struct {
	Name                    string
	Mean, Low, High         float64
	Diff, DiffLow, DiffHigh float64 // mean paired difference to the first variant, with its interval
}

// Cell sums up the days that a variant played at one value of the sweep.
type Cell struct {
	Family, Variant             string
	SweepValue                  float64
	Seeds                       int
	Estimates                   []Estimate
	Verdict                     Verdict // difference of the first measure to the first variant
	OverloadCrashes, Violations int
	FirstViolation              string
	WorstSeed                   uint64 // the seed of the worst day by the first measure
	Latency                     fleet.Latencies
}

// SweepValues returns the values of the sweep in ascending order. Without a sweep, all days have the value 0.
func (s *Study) SweepValues() (out []float64) {
	for _, d := range s.Days {
		if !slices.Contains(out, d.SweepValue) {
			out = append(out, d.SweepValue)
		}
	}
	slices.Sort(out)
	return out
}

// Cells returns a summary of the study, ordered by the value of the sweep and then by variant.
func (s *Study) Cells() (out []Cell) {
	for _, sweepValue := range s.SweepValues() {
		for variantIndex, variant := range s.Variants {
			cell := Cell{Family: s.Name, Variant: variant, SweepValue: sweepValue}
			worstValue := 0.0
			lowerIsBetter := experiment.MeasureByName(s.Measures[0]).LowerIsBetter
			for _, d := range s.Days {
				if d.Variant != variant || d.SweepValue != sweepValue {
					continue
				}
				if value := d.Values[0]; cell.Seeds == 0 || lowerIsBetter && value > worstValue || !lowerIsBetter &&
					value < worstValue {
					cell.WorstSeed, worstValue = d.Seed, value
				}
				cell.Seeds++
				cell.OverloadCrashes += d.OverloadCrashes
				cell.Latency = cell.Latency.Merge(d.Latency)
				if cell.Violations += len(d.Violations); cell.FirstViolation == "" && len(d.Violations) > 0 {
					cell.FirstViolation = fmt.Sprintf("seed %d: %s", d.Seed, d.Violations[0])
				}
			}
			if cell.Seeds == 0 {
				continue
			}
			for measureIndex, name := range s.Measures {
				values := s.values(variant, sweepValue, measureIndex)
				diffs := differences(values, s.values(s.Variants[0], sweepValue, measureIndex))
				seed := vtime.Seed(1).Split(s.Name+variant+name, int(1e6*sweepValue))
				estimate := Estimate{Name: name}
				estimate.Mean, estimate.Low, estimate.High = Bootstrap(values, seed)
				estimate.Diff, estimate.DiffLow, estimate.DiffHigh = Bootstrap(diffs, seed)
				cell.Estimates = append(cell.Estimates, estimate)
				if variantIndex > 0 && measureIndex == 0 {
					cell.Verdict = Decide(diffs, s.MinEffect, 1)
				}
			}
			out = append(out, cell)
		}
	}
	return out
}

// WriteTable writes the cells of studies as a text table.
func WriteTable(w io.Writer, all []*Study) {
	for _, s := range all {
		cells := s.Cells()
		if len(cells) == 0 {
			continue
		}
		sweepNote := ""
		if s.Sweep != "" {
			sweepNote = ", by " + s.Sweep
		}
		fmt.Fprintf(w, "%s%s, %d days each\n  %-12s", s.Name, sweepNote, slices.MaxFunc(cells, func(a, b Cell) int { return a.Seeds - b.Seeds }).Seeds, "")
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
		for _, cell := range cells {
			fmt.Fprintf(w, "  %-12s", cell.Variant)
			if s.Sweep != "" {
				fmt.Fprintf(w, " %8.4g", cell.SweepValue)
			}
			for i, m := range cell.Estimates {
				fmt.Fprintf(w, " %12.5g", m.Mean)
				if i == 0 && len(s.Variants) > 1 {
					difference := ""
					if cell.Variant != s.Variants[0] {
						difference = fmt.Sprintf("%+.3f (%+.3f, %+.3f)", m.Diff, m.DiffLow, m.DiffHigh)
					}
					fmt.Fprintf(w, " %25s", difference)
				}
			}
			fmt.Fprintf(w, " %5d %6d\n", cell.OverloadCrashes, cell.Violations)
			if cell.FirstViolation != "" {
				fmt.Fprintln(w, "    ", cell.FirstViolation)
			}
		}
	}
}
