// Package hunt searches for bad days: at random over the ranges of an experiment, then by hill-climbing from the worst that
// were found, and it says what makes each bad by playing it without. It knows no files and no clock.
package hunt

import (
	"cmp"
	"fmt"
	"math"
	"runtime"
	"slices"

	"whinrudder/internal/emu/fleet"
	"whinrudder/internal/vtime"
)

// Params bound a search.
type Params struct {
	Random int // days that are drawn
	Keep   int // of them, the worst, from which it climbs
	Rounds int // of climbing
	Tries  int // days that are tried around each in a round
	Seed   vtime.Seed
}

// Candidate is a bad day.
type Candidate struct {
	Point        []float64 // of each figure in its range, 0 to 1
	Seed         vtime.Seed
	Score        float64 // what is searched to be small
	InitialScore float64 // the score that it was climbed from
}

// first is how far a climb steps in a range, and least the step at which it has come to rest.
const (
	first = 0.3
	least = 0.02
)

// Search returns the worst days that it finds, the worst first. Score plays the day of a place and a seed; it is called from
// many goroutines at once and must give the same for the same.
func Search(dims int, p Params, score func(place []float64, seed vtime.Seed) float64, progress func(done, all int)) []Candidate {
	all := make([]Candidate, p.Random)
	for i := range all {
		r := p.Seed.Split("place", i).Rand()
		all[i] = Candidate{Seed: p.Seed + vtime.Seed(i)}
		for range dims {
			all[i].Point = append(all[i].Point, r.Float64())
		}
	}
	done, most := 0, p.Random+p.Rounds*p.Tries*min(p.Keep, p.Random)
	measure := func(f []Candidate) {
		scores := vtime.ParallelMap(len(f), runtime.GOMAXPROCS(0), func(i int) float64 { return score(f[i].Point, f[i].Seed) })
		for i := range f {
			f[i].Score = scores[i]
		}
		if done += len(f); progress != nil {
			progress(done, most)
		}
	}
	measure(all)
	worst := func(a, b Candidate) int { return cmp.Or(cmp.Compare(a.Score, b.Score), cmp.Compare(a.Seed, b.Seed)) }
	slices.SortFunc(all, worst)
	kept := all[:min(p.Keep, len(all))]
	step := make([]float64, len(kept))
	for i := range kept {
		kept[i].InitialScore, step[i] = kept[i].Score, first
	}
	for round := range p.Rounds {
		var near []Candidate
		var of []int
		for i, k := range kept {
			if step[i] < least {
				continue
			}
			for t := range p.Tries {
				near = append(near, move(k, step[i], p.Seed.Split("move", round).Split("", i*p.Tries+t)))
				of = append(of, i)
			}
		}
		if len(near) == 0 {
			break
		}
		measure(near)
		for i := range kept {
			better := false
			for j, n := range near {
				if of[j] == i && n.Score < kept[i].Score {
					kept[i], better = n, true
				}
			}
			if !better {
				step[i] /= 2
			}
		}
	}
	slices.SortFunc(kept, worst)
	return kept
}

// move takes one or two figures of a place some way off.
func move(f Candidate, step float64, seed vtime.Seed) Candidate {
	r := seed.Rand()
	f.Point = slices.Clone(f.Point)
	if len(f.Point) == 0 {
		f.Seed = f.Seed.Split("another", int(r.Uint32()))
		return f
	}
	for range 1 + r.IntN(2) {
		i := r.IntN(len(f.Point))
		f.Point[i] = math.Min(1, math.Max(0, f.Point[i]+step*(2*r.Float64()-1)))
	}
	return f
}

// Cause is a part of a day, and what would be without it.
type Cause struct {
	Name            string
	GoalGain        float64 // gained without it
	WorstWindowGain float64 // share gained in the worst ten seconds
}

// FindCauses plays a day without each of its parts and returns them, the part that cost the worst ten seconds most first. Parts
// that cost nothing are left out.
func FindCauses(d fleet.Day, play func(fleet.Day) fleet.Result) (worst fleet.Result, out []Cause) {
	type part struct {
		what string
		day  fleet.Day
	}
	var parts []part
	for i, t := range d.Faults {
		w := d
		w.Faults = slices.Delete(slices.Clone(d.Faults), i, i+1)
		parts = append(parts, part{fmt.Sprintf("%s at %.0f s", t.Kind, t.At/1000), w})
	}
	with := func(what string, is bool, do func(*fleet.Day)) {
		if is {
			w := d
			w.Callers = slices.Clone(d.Callers)
			do(&w)
			parts = append(parts, part{what, w})
		}
	}
	heedless, endless, cold := false, false, d.ColdFleet
	for _, c := range d.Callers {
		heedless, endless = heedless || !c.HonorsCredit, endless || c.MaxTries == 0 || c.MaxTries > 3
	}
	with("callers that heed nothing", heedless, func(w *fleet.Day) {
		for i := range w.Callers {
			w.Callers[i].HonorsCredit = true
		}
	})
	with("more than three tries", endless, func(w *fleet.Day) {
		for i := range w.Callers {
			if t := &w.Callers[i].MaxTries; *t == 0 || *t > 3 {
				*t = 3
			}
		}
	})
	with("a cold fleet", cold, func(w *fleet.Day) { w.ColdFleet = false })
	with("clients that ask again", d.ClientRetries.Share > 0, func(w *fleet.Day) { w.ClientRetries.Share = 0 })
	with("a late list", d.ListLag+d.SessionTimeout > 0, func(w *fleet.Day) { w.ListLag, w.SessionTimeout = 0, 0 })
	with("a load over 0.7", d.Load > 0.7, func(w *fleet.Day) { w.Load = 0.7 })
	results := vtime.ParallelMap(len(parts)+1, runtime.GOMAXPROCS(0), func(i int) fleet.Result {
		if i == 0 {
			return play(d)
		}
		return play(parts[i-1].day)
	})
	worst = results[0]
	from := int(worst.WorstWindowStart / fleet.BucketMs())
	for i, p := range parts {
		r := results[i+1]
		share, ok := r.WindowWorthRatio(from)
		if !ok {
			share = r.WorstWindow
		}
		if c := (Cause{p.what, r.GoalScore - worst.GoalScore, share - worst.WorstWindow}); c.WorstWindowGain > 0.005 || c.GoalGain > 0.005 {
			out = append(out, c)
		}
	}
	slices.SortStableFunc(out, func(a, b Cause) int { return cmp.Compare(b.WorstWindowGain, a.WorstWindowGain) })
	return worst, out
}
