// Package study compares policies on families of days. All variants of an experiment play the same seeds, so that a
// study can report paired differences with bootstrap intervals. A study ends when all seeds are played or, if the
// experiment asks for it, as soon as every difference has a verdict.
package study

import (
	"fmt"
	"runtime"

	"whinrudder/internal/emu/experiment"
	"whinrudder/internal/emu/fleet"
	"whinrudder/internal/vtime"
)

// DayResult is one simulated day with its measures.
type DayResult struct {
	Family, Variant string
	SweepValue      float64 // 0 without a sweep
	Seed            uint64
	Values          []float64 // in the order of the measures of the study
	OverloadCrashes int
	Violations      []string
	Latency         fleet.Latencies // not written to result files
}

// Study holds the results of one experiment.
type Study struct {
	Name      string
	Sweep     string // path of the field that was swept; empty if none
	Variants  []string
	Measures  []string
	MinEffect float64
	Seeds     int // maximum number of seeds per variant and value of the sweep
	Days      []DayResult
}

// seedsPerLook is the number of seeds that are played between two interim looks at the verdicts.
const seedsPerLook = 10

// point is one value of the sweep of one experiment. All variants play the same seeds at a point.
type point struct {
	e          *experiment.Experiment
	study      *Study
	sweepValue float64
	seeds      int  // number of seeds played so far
	done       bool // no more seeds are to be played
}

// Run plays experiments on all cores. It calls progress with the number of days played so far and their maximum.
func Run(all []*experiment.Experiment, progress func(done, maxDays int)) ([]*Study, error) {
	var points []*point
	var out []*Study
	maxDays := 0
	for _, e := range all {
		study := &Study{Name: e.Name, Sweep: e.Sweep.Key, Measures: e.Measures, MinEffect: e.MinEffect, Seeds: e.Seeds}
		for _, v := range e.Variants {
			study.Variants = append(study.Variants, v.Name)
		}
		sweepValues := e.Sweep.Values
		if e.Sweep.Key == "" {
			sweepValues = []float64{0}
		}
		for _, sweepValue := range sweepValues {
			points = append(points, &point{e: e, study: study, sweepValue: sweepValue})
			maxDays += e.Seeds * len(e.Variants)
		}
		out = append(out, study)
	}
	done := 0
	for {
		type job struct {
			p       *point
			variant int
			seed    vtime.Seed
		}
		var jobs []job
		for _, p := range points {
			if p.done {
				continue
			}
			n := p.e.Seeds - p.seeds
			if p.e.StopEarly {
				n = min(n, seedsPerLook)
			}
			for i := range n {
				for v := range p.e.Variants {
					jobs = append(jobs, job{p, v, p.e.FirstSeed + vtime.Seed(p.seeds+i)})
				}
			}
			p.seeds += n
		}
		if len(jobs) == 0 {
			return out, nil
		}
		type result struct {
			day DayResult
			err error
		}
		dayDone := make(chan struct{}, len(jobs))
		progressDone := make(chan struct{})
		go func() {
			defer close(progressDone)
			for i := range len(jobs) {
				<-dayDone
				if progress != nil && ((i+1)%100 == 0 || i+1 == len(jobs)) {
					progress(done+i+1, maxDays)
				}
			}
		}()
		results := vtime.ParallelMap(len(jobs), runtime.GOMAXPROCS(0), func(i int) result {
			j := jobs[i]
			d, err := playDay(j.p.e, j.variant, j.p.sweepValue, j.seed)
			dayDone <- struct{}{}
			return result{d, err}
		})
		<-progressDone
		done += len(jobs)
		for i, r := range results {
			if r.err != nil {
				return nil, fmt.Errorf("%s, seed %d: %w", jobs[i].p.e.Name, uint64(jobs[i].seed), r.err)
			}
			jobs[i].p.study.Days = append(jobs[i].p.study.Days, r.day)
		}
		for _, p := range points {
			p.done = p.done || p.seeds >= p.e.Seeds || p.e.StopEarly && isDecided(p)
		}
	}
}

// playDay simulates one day and takes its measures.
func playDay(e *experiment.Experiment, variant int, sweepValue float64, seed vtime.Seed) (DayResult, error) {
	d, err := e.Day(variant, sweepValue, seed, nil)
	if err != nil {
		return DayResult{}, err
	}
	v := e.Variants[variant]
	result := fleet.Simulate(d, v.Policy.NodeFactory())
	day := DayResult{Family: e.Name, Variant: v.Name, SweepValue: sweepValue, Seed: uint64(seed),
		OverloadCrashes: result.OverloadCrashes, Violations: result.Violations, Latency: result.Latency}
	for _, m := range e.Measures {
		day.Values = append(day.Values, experiment.MeasureByName(m).Value(&result))
	}
	return day, nil
}

// isDecided reports whether every comparison of a point has a verdict. With a single variant, it reports whether the
// mean is known to within the effect.
func isDecided(p *point) bool {
	look := (p.seeds + seedsPerLook - 1) / seedsPerLook
	first := p.study.values(p.e.Variants[0].Name, p.sweepValue, 0)
	if len(p.e.Variants) == 1 {
		low, high := confidenceInterval(first, lookErrorProbability(look))
		return high-low < 2*p.e.MinEffect
	}
	for _, v := range p.e.Variants[1:] {
		if Decide(differences(p.study.values(v.Name, p.sweepValue, 0), first), p.e.MinEffect, look) == Unclear {
			return false
		}
	}
	return true
}

// values returns a measure of the days of a variant at a value of the sweep, in the order of the seeds.
func (s *Study) values(variant string, sweepValue float64, measure int) (out []float64) {
	for _, d := range s.Days {
		if d.Variant == variant && d.SweepValue == sweepValue {
			out = append(out, d.Values[measure])
		}
	}
	return out
}

// differences returns the paired differences of two lists, as far as both go.
func differences(a, b []float64) (out []float64) {
	for i := range min(len(a), len(b)) {
		out = append(out, a[i]-b[i])
	}
	return out
}
