package collapse

import (
	"slices"
	"testing"

	"whinrudder/internal/emu/fleet"
)

// model is a fleet that serves a share of what is asked; a burst breaks it if it can, and some troubles mend it.
func model(breaks bool, base float64, mends ...fleet.FaultKind) func(fleet.Day) fleet.Result {
	return func(d fleet.Day) fleet.Result {
		var r fleet.Result
		for at := 0.0; at < d.DurationMs; at += fleet.BucketMs() {
			share := base
			for _, t := range d.Faults {
				switch {
				case t.Kind == fleet.Burst && t.Factor > 1 && breaks && at >= t.At:
					share = 0.1
				case at >= t.At && slices.Contains(mends, t.Kind) && t.Factor <= 1:
					share = base
				}
			}
			r.Buckets = append(r.Buckets, fleet.TimeBucket{OfferedWorth: 1, EarnedWorth: share})
		}
		return r
	}
}

// What outlasts its trigger is a collapse, and what ends it is named; a day that is bad by itself, or comes back, is none.
func TestLook(t *testing.T) {
	d := fleet.DefaultDay(1)
	d.Faults = []fleet.Fault{{Kind: fleet.Burst, At: 10000, Duration: 5000, Factor: 2}}
	d.DurationMs = 15000 + ObservationMs()
	for _, c := range []struct {
		name     string
		play     func(fleet.Day) fleet.Result
		collapse bool
		ends     []string
	}{
		{"comes back", model(false, 0.95), false, nil},
		{"bad by itself", model(true, 0.5), false, nil},
		{"nothing helps", model(true, 0.95), true, nil},
		{"a restart helps", model(true, 0.95, fleet.Crash), true, []string{"the fleet restarted at once, cold"}},
		{"heeding helps", model(true, 0.95, fleet.HonorCredit), true, []string{"callers heed credit and advice"}},
		{"a budget helps", model(true, 0.95, fleet.LimitRetries), true, []string{"callers keep to a budget of retries of a tenth", "clients held off, and the budget"}},
	} {
		f := Detect(d, c.play)
		var ends []string
		for _, e := range f.Remedies {
			if e.Recovers {
				ends = append(ends, e.Name)
			}
		}
		if f.Collapse != c.collapse || !slices.Equal(ends, c.ends) {
			t.Errorf("%s: %v, %.2f with and %.2f without, ends %q", c.name, f.Collapse, f.WorthWithTrigger, f.WorthWithoutTrigger, ends)
		}
	}
}
