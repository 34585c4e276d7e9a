package collapse

import (
	"slices"
	"testing"

	"whinrudder/internal/emu/fleet"
)

// fakeFleet returns a simulation of a fleet that earns a constant share of the worth. If breaks is true, a burst lowers
// the share for good until one of the repairing faults takes place.
func fakeFleet(breaks bool, base float64, repairs ...fleet.FaultKind) func(fleet.Day) fleet.Result {
	return func(d fleet.Day) fleet.Result {
		var r fleet.Result
		for at := 0.0; at < d.DurationMs; at += fleet.BucketMs() {
			share := base
			for _, t := range d.Faults {
				switch {
				case t.Kind == fleet.Burst && t.Factor > 1 && breaks && at >= t.At:
					share = 0.1
				case at >= t.At && slices.Contains(repairs, t.Kind) && t.Factor <= 1:
					share = base
				}
			}
			r.Buckets = append(r.Buckets, fleet.TimeBucket{OfferedWorth: 1, EarnedWorth: share})
		}
		return r
	}
}

// An overload that persists after its trigger is a collapse, and the remedies that end it are found. A day that
// recovers, or that is bad without the trigger too, is no collapse.
func TestDetect(t *testing.T) {
	d := fleet.DefaultDay(1)
	d.Faults = []fleet.Fault{{Kind: fleet.Burst, At: 10000, Duration: 5000, Factor: 2}}
	d.DurationMs = 15000 + ObservationMs()
	for _, c := range []struct {
		name       string
		play       func(fleet.Day) fleet.Result
		collapse   bool
		recovering []string
	}{
		{"recovers", fakeFleet(false, 0.95), false, nil},
		{"bad without the trigger too", fakeFleet(true, 0.5), false, nil},
		{"no remedy helps", fakeFleet(true, 0.95), true, nil},
		{"a restart helps", fakeFleet(true, 0.95, fleet.Crash), true, []string{"the fleet restarted at once, cold"}},
		{"honoring credit helps", fakeFleet(true, 0.95, fleet.HonorCredit), true,
			[]string{"callers heed credit and advice"}},
		{"a budget helps", fakeFleet(true, 0.95, fleet.LimitRetries), true,
			[]string{"callers keep to a budget of retries of a tenth", "clients held off, and the budget"}},
	} {
		f := Detect(d, c.play)
		var recovering []string
		for _, e := range f.Remedies {
			if e.Recovers {
				recovering = append(recovering, e.Name)
			}
		}
		if f.Collapse != c.collapse || !slices.Equal(recovering, c.recovering) {
			t.Errorf("%s: collapse %v, want %v; worth %.2f with and %.2f without the trigger; remedies that recover %q, want %q",
				c.name, f.Collapse, c.collapse, f.WorthWithTrigger, f.WorthWithoutTrigger, recovering, c.recovering)
		}
	}
}
