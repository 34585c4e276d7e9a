package hunt

import (
	"math"
	"testing"

	"github.com/google/go-cmp/cmp"

	"whinrudder/internal/emu/fleet"
	"whinrudder/internal/vtime"
)

// Hill climbing reaches a narrow minimum that random draws alone come nowhere near, within the promised number of days,
// and the search is deterministic.
func TestSearch(t *testing.T) {
	minimum := []float64{0.83, 0.17, 0.55, 0.4}
	score := func(point []float64, _ vtime.Seed) float64 {
		d := 0.0
		for i, x := range point {
			d += (x - minimum[i]) * (x - minimum[i])
		}
		return 1 - math.Exp(-8*d)
	}
	p := Params{Random: 60, Keep: 3, Rounds: 12, Tries: 8, Seed: 3}
	played, most := 0, 0
	found := Search(4, p, score, func(done, all int) { played, most = done, all })
	if found[0].Score > 0.02 || found[0].InitialScore < 0.1 || len(found) != 3 || played > most || most != 60+12*8*3 {
		t.Errorf("found %+v after %d of %d days, want 3 candidates, a score of at most 0.02 climbed from at least 0.1, and 348 days at most",
			found, played, most)
	}
	if diff := cmp.Diff(found, Search(4, p, score, nil)); diff != "" {
		t.Error(diff)
	}
	for _, f := range found {
		for _, x := range f.Point {
			if x < 0 || x > 1 {
				t.Errorf("point %v is outside of its range", f.Point)
			}
		}
	}
}

// The most costly part of a day is the first cause, and a part without cost is not among the causes.
func TestFindCauses(t *testing.T) {
	d := fleet.DefaultDay(3)
	d.DurationMs, d.Load = 40000, 0.5
	d.Faults = []fleet.Fault{{Kind: fleet.EnsembleOutage, At: 2000, Duration: 5000},
		{Kind: fleet.PoolPause, At: 12000, Duration: 9000, Share: 1}}
	r, causes := FindCauses(d, func(d fleet.Day) fleet.Result { return fleet.Simulate(d, fleet.NewModuleNode) })
	if len(causes) == 0 || causes[0].Name != "pause at 12 s" || causes[0].WorstWindowGain < 0.3 || r.WorstWindow > 0.7 {
		t.Errorf("worst window %.3f at %.0f ms, causes %+v, want at most 0.7 and \"pause at 12 s\" first",
			r.WorstWindow, r.WorstWindowStart, causes)
	}
	for _, c := range causes {
		if c.Name == "outage at 2 s" {
			t.Errorf("cause %+v has no cost and must be left out", c)
		}
	}
}
