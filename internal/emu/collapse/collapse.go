// Package collapse detects metastable collapse: an overload that persists after its trigger has ended, because its
// own effects, such as retries, sustain it (Bronson and others, Metastable Failures in Distributed Systems, 2021). It
// plays a day with and without its triggers. If the overload persists, it plays the day with each of several remedies
// that operators have, to find those that end it. The package does no I/O.
package collapse

import (
	"math"
	"runtime"
	"slices"

	"whinrudder/internal/emu/fleet"
	"whinrudder/internal/vtime"
)

// Criteria of a collapse. After the last trigger the fleet has recoveryGraceMs to recover; then the share of worth is
// measured over windowMs. It is a collapse if the share without the triggers is at least healthyRatio, and the share
// with them is below collapseRatio times that.
const (
	recoveryGraceMs = 10e3
	windowMs        = 20e3
	healthyRatio    = 0.8
	collapseRatio   = 0.5
)

// Finding is the outcome of a detection.
type Finding struct {
	Collapse            bool
	TriggerEnd          float64      // end of the last trigger, in milliseconds of the day
	WorthWithoutTrigger float64      // share of the worth earned in time over the window, without the triggers
	WorthWithTrigger    float64      // the same share with the triggers
	Remedies            []Remedy     // only after a collapse
	Result              fleet.Result // of the day with its triggers
}

// Remedy is an action against a collapse, with the share of worth over a window after the action.
type Remedy struct {
	Name       string
	WorthRatio float64
	Recovers   bool
	Day        fleet.Day // the day with the action added
}

// Detect plays a day whose faults are the triggers, and decides whether it collapses. The day must last for
// ObservationMs after the last trigger; a day that ends earlier yields no finding.
func Detect(d fleet.Day, play func(fleet.Day) fleet.Result) Finding {
	finding := Finding{}
	for _, t := range d.Faults {
		finding.TriggerEnd = max(finding.TriggerEnd, t.At+t.Duration)
	}
	withoutTriggers := d
	withoutTriggers.Faults = nil
	days := vtime.ParallelMap(2, runtime.GOMAXPROCS(0), func(i int) fleet.Result { return play([]fleet.Day{d, withoutTriggers}[i]) })
	finding.Result = days[0]
	windowStart := finding.TriggerEnd + recoveryGraceMs
	finding.WorthWithTrigger, finding.WorthWithoutTrigger = worthRatio(&days[0], windowStart),
		worthRatio(&days[1], windowStart)
	finding.Collapse = finding.WorthWithoutTrigger >= healthyRatio &&
		finding.WorthWithTrigger < collapseRatio*finding.WorthWithoutTrigger
	if !finding.Collapse {
		return finding
	}
	remedyAt := windowStart + windowMs
	for _, remedy := range remedyDays(d, remedyAt) {
		finding.Remedies = append(finding.Remedies, Remedy{Name: remedy.name, Day: remedy.day})
	}
	results := vtime.ParallelMap(len(finding.Remedies), runtime.GOMAXPROCS(0), func(i int) fleet.Result { return play(finding.Remedies[i].Day) })
	for i := range finding.Remedies {
		remedy := &finding.Remedies[i]
		remedy.WorthRatio = worthRatio(&results[i], remedyAt+remedyMs+recoveryGraceMs)
		remedy.Recovers = remedy.WorthRatio >= healthyRatio*finding.WorthWithoutTrigger
	}
	return finding
}

// ObservationMs returns how long a day must go on after its last trigger so that Detect can try all remedies.
func ObservationMs() float64 { return 2*recoveryGraceMs + 2*windowMs + remedyMs }

// worthRatio returns the share of the offered worth that was earned over a window, or NaN if none was offered.
func worthRatio(r *fleet.Result, from float64) float64 {
	offered, earned := 0.0, 0.0
	for i := int(from / fleet.BucketMs()); i < int((from+windowMs)/fleet.BucketMs()) && i < len(r.Buckets); i++ {
		offered, earned = offered+r.Buckets[i].OfferedWorth, earned+r.Buckets[i].EarnedWorth
	}
	if offered == 0 {
		return math.NaN()
	}
	return earned / offered
}

// remedyMs is the duration of a temporary remedy.
const remedyMs = 30e3

// remedyDay is a day with a remedy.
type remedyDay struct {
	name string
	day  fleet.Day
}

// remedyDays returns the day with each of the remedies that operators can start at a time. The first is no remedy at
// all, for comparison.
func remedyDays(d fleet.Day, at float64) (out []remedyDay) {
	add := func(name string, t ...fleet.Fault) {
		w := d
		w.Faults = append(slices.Clone(d.Faults), t...)
		out = append(out, remedyDay{name, w})
	}
	rest := d.DurationMs - at
	add("nothing")
	add("clients held off to a fifth for 30 s", fleet.Fault{Kind: fleet.Burst, At: at, Duration: remedyMs, Share: 1,
		Factor: 0.2})
	add("the fleet restarted at once, cold", fleet.Fault{Kind: fleet.Crash, At: at, Duration: 1000, Share: 1})
	add("callers keep to a budget of retries of a tenth", fleet.Fault{Kind: fleet.LimitRetries, At: at,
		Duration: rest, Share: 1, Factor: 0.1})
	add("callers heed credit and advice", fleet.Fault{Kind: fleet.HonorCredit, At: at, Duration: rest, Share: 1})
	add("clients held off, and the budget", fleet.Fault{Kind: fleet.Burst, At: at, Duration: remedyMs, Share: 1,
		Factor: 0.2},
		fleet.Fault{Kind: fleet.LimitRetries, At: at, Duration: rest, Share: 1, Factor: 0.1})
	return out
}
