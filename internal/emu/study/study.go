// Package study compares policies on families of days: all play the same days, and what is told are the differences in
// pairs, with intervals by bootstrap. It plays until every difference is clear, or all seeds.
package study

import (
	"fmt"
	"runtime"

	"whinrudder/internal/emu/experiment"
	"whinrudder/internal/emu/fleet"
	"whinrudder/internal/vtime"
)

// DayResult is one day that was played: where it belongs, and what was measured.
type DayResult struct {
	Family, Variant string
	SweepValue      float64 // value of the sweep
	Seed            uint64
	Values          []float64 // by measure
	OverloadCrashes int
	Violations      []string
	Latency         fleet.Latencies // not kept in files
}

// Study is what was played of one experiment.
type Study struct {
	Name      string
	Sweep     string // the figure that was swept; empty: none
	Variants  []string
	Measures  []string
	MinEffect float64
	Seeds     int // wanted
	Days      []DayResult
}

// batch is how many seeds are played between two looks at what is clear.
const batch = 10

// point is one value of the sweep of one experiment, all of whose variants play the same seeds.
type point struct {
	e     *experiment.Experiment
	to    *Study
	x     float64
	seeds int
	done  bool
}

// Run plays experiments. Progress hears how many days were played, and how many there are at most.
func Run(all []*experiment.Experiment, progress func(done, most int)) ([]*Study, error) {
	var points []*point
	var out []*Study
	most := 0
	for _, e := range all {
		s := &Study{Name: e.Name, Sweep: e.Sweep.Key, Measures: e.Measures, MinEffect: e.MinEffect, Seeds: e.Seeds}
		for _, v := range e.Variants {
			s.Variants = append(s.Variants, v.Name)
		}
		xs := e.Sweep.Values
		if e.Sweep.Key == "" {
			xs = []float64{0}
		}
		for _, x := range xs {
			points = append(points, &point{e: e, to: s, x: x})
			most += e.Seeds * len(e.Variants)
		}
		out = append(out, s)
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
				n = min(n, batch)
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
		ticks := make(chan struct{}, len(jobs))
		told := make(chan struct{})
		go func() {
			defer close(told)
			for i := range len(jobs) {
				<-ticks
				if progress != nil && ((i+1)%100 == 0 || i+1 == len(jobs)) {
					progress(done+i+1, most)
				}
			}
		}()
		results := vtime.ParallelMap(len(jobs), runtime.GOMAXPROCS(0), func(i int) result {
			j := jobs[i]
			d, err := play(j.p.e, j.variant, j.p.x, j.seed)
			ticks <- struct{}{}
			return result{d, err}
		})
		<-told
		done += len(jobs)
		for i, r := range results {
			if r.err != nil {
				return nil, fmt.Errorf("%s, seed %d: %w", jobs[i].p.e.Name, uint64(jobs[i].seed), r.err)
			}
			jobs[i].p.to.Days = append(jobs[i].p.to.Days, r.day)
		}
		for _, p := range points {
			p.done = p.done || p.seeds >= p.e.Seeds || p.e.StopEarly && clear(p)
		}
	}
}

// play plays one day and measures.
func play(e *experiment.Experiment, variant int, x float64, seed vtime.Seed) (DayResult, error) {
	d, err := e.Day(variant, x, seed, nil)
	if err != nil {
		return DayResult{}, err
	}
	v := e.Variants[variant]
	r := fleet.Simulate(d, v.Policy.NodeFactory())
	p := DayResult{Family: e.Name, Variant: v.Name, SweepValue: x, Seed: uint64(seed), OverloadCrashes: r.OverloadCrashes, Violations: r.Violations, Latency: r.Latency}
	for _, m := range e.Measures {
		p.Values = append(p.Values, experiment.MeasureByName(m).Value(&r))
	}
	return p, nil
}

// clear tells whether all that a point compares is clear after its looks so far. Where nothing is compared, it is once the
// mean is known to within the effect.
func clear(p *point) bool {
	look := (p.seeds + batch - 1) / batch
	first := p.to.values(p.e.Variants[0].Name, p.x, 0)
	if len(p.e.Variants) == 1 {
		low, high := interval(first, spent(look))
		return high-low < 2*p.e.MinEffect
	}
	for _, v := range p.e.Variants[1:] {
		if Decide(differences(p.to.values(v.Name, p.x, 0), first), p.e.MinEffect, look) == Unclear {
			return false
		}
	}
	return true
}

// values returns what was measured on the days of a variant, in the order of the seeds.
func (s *Study) values(variant string, x float64, measure int) (out []float64) {
	for _, d := range s.Days {
		if d.Variant == variant && d.SweepValue == x {
			out = append(out, d.Values[measure])
		}
	}
	return out
}

func differences(a, b []float64) (out []float64) {
	for i := range min(len(a), len(b)) {
		out = append(out, a[i]-b[i])
	}
	return out
}
