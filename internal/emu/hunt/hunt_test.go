package hunt

import (
	"math"
	"testing"

	"github.com/google/go-cmp/cmp"

	"whinrudder/internal/emu/fleet"
	"whinrudder/internal/vtime"
)

// A search finds a pit that drawing alone all but misses, within what it may play, and the same one twice.
func TestSearch(t *testing.T) {
	pit := []float64{0.83, 0.17, 0.55, 0.4}
	score := func(place []float64, _ vtime.Seed) float64 {
		d := 0.0
		for i, x := range place {
			d += (x - pit[i]) * (x - pit[i])
		}
		return 1 - math.Exp(-8*d)
	}
	p := Params{Random: 60, Keep: 3, Rounds: 12, Tries: 8, Seed: 3}
	played, most := 0, 0
	found := Search(4, p, score, func(done, all int) { played, most = done, all })
	if found[0].Score > 0.02 || found[0].InitialScore < 0.1 || len(found) != 3 || played > most || most != 60+12*8*3 {
		t.Errorf("%+v, %d of %d played", found, played, most)
	}
	if diff := cmp.Diff(found, Search(4, p, score, nil)); diff != "" {
		t.Error(diff)
	}
	for _, f := range found {
		for _, x := range f.Point {
			if x < 0 || x > 1 {
				t.Errorf("out of its range: %v", f.Point)
			}
		}
	}
}

// The part of a day that cost most is named first, and parts that cost nothing are not.
func TestCauses(t *testing.T) {
	d := fleet.DefaultDay(3)
	d.DurationMs, d.Load = 40000, 0.5
	d.Faults = []fleet.Fault{{Kind: fleet.EnsembleOutage, At: 2000, Duration: 5000}, {Kind: fleet.PoolPause, At: 12000, Duration: 9000, Share: 1}}
	r, causes := FindCauses(d, func(d fleet.Day) fleet.Result { return fleet.Simulate(d, fleet.NewModuleNode) })
	if len(causes) == 0 || causes[0].Name != "pause at 12 s" || causes[0].WorstWindowGain < 0.3 || r.WorstWindow > 0.7 {
		t.Errorf("worst %.3f at %.0f: %+v", r.WorstWindow, r.WorstWindowStart, causes)
	}
	for _, c := range causes {
		if c.Name == "outage at 2 s" {
			t.Errorf("named: %+v", c)
		}
	}
}
