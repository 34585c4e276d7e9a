// Package hunt searches an experiment for days with low scores: first at random over its ranges, then by hill
// climbing from the worst days. FindCauses then shows which parts of a day cost most, by playing the day without each
// of them. The package uses neither files nor the clock.
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

// Params are the parameters of a search.
type Params struct {
	Random int // number of days drawn at random
	Keep   int // number of the worst of these days from which the search climbs
	Rounds int // maximum number of rounds of hill climbing
	Tries  int // number of neighbors tried around each kept day per round
	Seed   vtime.Seed
}

// Candidate is a day of the search.
type Candidate struct {
	Point        []float64 // position of each drawn number within its range, 0 to 1
	Seed         vtime.Seed
	Score        float64 // the search minimizes it
	InitialScore float64 // score of the random day from which the climb started
}

// Step sizes of a climb, as a share of a range. A round without improvement halves the step; below minStep the climb
// ends.
const (
	initialStep = 0.3
	minStep     = 0.02
)

// Search returns the worst days that it finds, the worst first. The function score plays the day of a point and a
// seed. It is called from several goroutines concurrently and must be deterministic. If progress is not nil, it is
// called with the number of days played so far and their maximum.
func Search(dims int, p Params, score func(point []float64, seed vtime.Seed) float64,
	progress func(done, all int)) []Candidate {
	all := make([]Candidate, p.Random)
	for i := range all {
		r := p.Seed.Split("place", i).Rand()
		all[i] = Candidate{Seed: p.Seed + vtime.Seed(i)}
		for range dims {
			all[i].Point = append(all[i].Point, r.Float64())
		}
	}
	done, total := 0, p.Random+p.Rounds*p.Tries*min(p.Keep, p.Random)
	measure := func(candidates []Candidate) {
		scores := vtime.ParallelMap(len(candidates), runtime.GOMAXPROCS(0), func(i int) float64 { return score(candidates[i].Point, candidates[i].Seed) })
		for i := range candidates {
			candidates[i].Score = scores[i]
		}
		if done += len(candidates); progress != nil {
			progress(done, total)
		}
	}
	measure(all)
	byScore := func(a, b Candidate) int { return cmp.Or(cmp.Compare(a.Score, b.Score), cmp.Compare(a.Seed, b.Seed)) }
	slices.SortFunc(all, byScore)
	kept := all[:min(p.Keep, len(all))]
	step := make([]float64, len(kept))
	for i := range kept {
		kept[i].InitialScore, step[i] = kept[i].Score, initialStep
	}
	for round := range p.Rounds {
		var neighbors []Candidate
		var origins []int
		for i, k := range kept {
			if step[i] < minStep {
				continue
			}
			for t := range p.Tries {
				neighbors = append(neighbors, move(k, step[i], p.Seed.Split("move", round).Split("", i*p.Tries+t)))
				origins = append(origins, i)
			}
		}
		if len(neighbors) == 0 {
			break
		}
		measure(neighbors)
		for i := range kept {
			better := false
			for j, n := range neighbors {
				if origins[j] == i && n.Score < kept[i].Score {
					kept[i], better = n, true
				}
			}
			if !better {
				step[i] /= 2
			}
		}
	}
	slices.SortFunc(kept, byScore)
	return kept
}

// move returns a neighbor: one or two coordinates of the point are shifted by up to a step. Without coordinates, it
// draws another seed.
func move(candidate Candidate, step float64, seed vtime.Seed) Candidate {
	random := seed.Rand()
	candidate.Point = slices.Clone(candidate.Point)
	if len(candidate.Point) == 0 {
		candidate.Seed = candidate.Seed.Split("another", int(random.Uint32()))
		return candidate
	}
	for range 1 + random.IntN(2) {
		i := random.IntN(len(candidate.Point))
		candidate.Point[i] = math.Min(1, math.Max(0, candidate.Point[i]+step*(2*random.Float64()-1)))
	}
	return candidate
}

// Cause is a part of a day, with the gains of the same day without that part.
type Cause struct {
	Name            string
	GoalGain        float64 // gain of the goal score
	WorstWindowGain float64 // gain of the share of worth in the worst ten seconds
}

// FindCauses plays a day as it is and without each of its parts. It returns the result of the whole day, and the parts
// ordered by their cost in the worst ten seconds, the most costly first. Parts that cost next to nothing are left out.
func FindCauses(d fleet.Day, play func(fleet.Day) fleet.Result) (worst fleet.Result, out []Cause) {
	type part struct {
		name string
		day  fleet.Day
	}
	var parts []part
	for i, t := range d.Faults {
		w := d
		w.Faults = slices.Delete(slices.Clone(d.Faults), i, i+1)
		parts = append(parts, part{fmt.Sprintf("%s at %.0f s", t.Kind, t.At/1000), w})
	}
	addPart := func(name string, applies bool, remove func(*fleet.Day)) {
		if applies {
			w := d
			w.Callers = slices.Clone(d.Callers)
			remove(&w)
			parts = append(parts, part{name, w})
		}
	}
	ignoresCredit, manyTries, coldFleet := false, false, d.ColdFleet
	for _, c := range d.Callers {
		ignoresCredit, manyTries = ignoresCredit || !c.HonorsCredit, manyTries || c.MaxTries == 0 || c.MaxTries > 3
	}
	addPart("callers that heed nothing", ignoresCredit, func(w *fleet.Day) {
		for i := range w.Callers {
			w.Callers[i].HonorsCredit = true
		}
	})
	addPart("more than three tries", manyTries, func(w *fleet.Day) {
		for i := range w.Callers {
			if t := &w.Callers[i].MaxTries; *t == 0 || *t > 3 {
				*t = 3
			}
		}
	})
	addPart("a cold fleet", coldFleet, func(w *fleet.Day) { w.ColdFleet = false })
	addPart("clients that ask again", d.ClientRetries.Share > 0, func(w *fleet.Day) { w.ClientRetries.Share = 0 })
	addPart("a late list", d.ListLag+d.SessionTimeout > 0, func(w *fleet.Day) { w.ListLag, w.SessionTimeout = 0, 0 })
	addPart("a load over 0.7", d.Load > 0.7, func(w *fleet.Day) { w.Load = 0.7 })
	results := vtime.ParallelMap(len(parts)+1, runtime.GOMAXPROCS(0), func(i int) fleet.Result {
		if i == 0 {
			return play(d)
		}
		return play(parts[i-1].day)
	})
	worst = results[0]
	worstBucket := int(worst.WorstWindowStart / fleet.BucketMs())
	for i, p := range parts {
		r := results[i+1]
		share, ok := r.WindowWorthRatio(worstBucket)
		if !ok {
			share = r.WorstWindow
		}
		if c := (Cause{p.name, r.GoalScore - worst.GoalScore,
			share - worst.WorstWindow}); c.WorstWindowGain > 0.005 || c.GoalGain > 0.005 {
			out = append(out, c)
		}
	}
	slices.SortStableFunc(out, func(a, b Cause) int { return cmp.Compare(b.WorstWindowGain, a.WorstWindowGain) })
	return worst, out
}
