// Package collapse finds metastable collapse: an overload that outlasts its trigger, because what it sets off keeps it up
// (Bronson and others, Metastable Failures in Distributed Systems, 2021). It plays a day with and without its triggers, and
// where the trouble stays it plays the day with each of some measures of the operators, to name what ends it. It knows no I/O.
package collapse

import (
	"math"
	"runtime"
	"slices"

	"whinrudder/internal/emu/fleet"
	"whinrudder/internal/vtime"
)

// Figures of a finding: a trigger's wake is given graceFor, the share of worth is looked at over lookFor after that. It is a
// collapse if the day holds without the trigger and falls under the half of that with it.
const (
	graceFor = 10e3
	lookFor  = 20e3
	holds    = 0.8
	half     = 0.5
)

// Finding is what a day showed.
type Finding struct {
	Collapse            bool
	TriggerEnd          float64 // the last trigger is over
	WorthWithoutTrigger float64 // share of the worth in time, over the look, without the triggers
	WorthWithTrigger    float64
	Remedies            []Remedy // what was tried against it
	Result              fleet.Result
}

// Remedy is a measure against a collapse, and the share of the worth over a look after it.
type Remedy struct {
	Name       string
	WorthRatio float64
	Recovers   bool
	Day        fleet.Day
}

// Detect plays a day whose troubles are the triggers. A day that ends too soon after them for a look and measures shows nothing.
func Detect(d fleet.Day, play func(fleet.Day) fleet.Result) Finding {
	f := Finding{}
	for _, t := range d.Faults {
		f.TriggerEnd = max(f.TriggerEnd, t.At+t.Duration)
	}
	calm := d
	calm.Faults = nil
	days := vtime.ParallelMap(2, runtime.GOMAXPROCS(0), func(i int) fleet.Result { return play([]fleet.Day{d, calm}[i]) })
	f.Result = days[0]
	from := f.TriggerEnd + graceFor
	f.WorthWithTrigger, f.WorthWithoutTrigger = share(&days[0], from), share(&days[1], from)
	f.Collapse = f.WorthWithoutTrigger >= holds && f.WorthWithTrigger < half*f.WorthWithoutTrigger
	if !f.Collapse {
		return f
	}
	at := from + lookFor
	for _, m := range measures(d, at) {
		f.Remedies = append(f.Remedies, Remedy{Name: m.what, Day: m.day})
	}
	results := vtime.ParallelMap(len(f.Remedies), runtime.GOMAXPROCS(0), func(i int) fleet.Result { return play(f.Remedies[i].Day) })
	for i := range f.Remedies {
		e := &f.Remedies[i]
		e.WorthRatio = share(&results[i], at+actsFor+graceFor)
		e.Recovers = e.WorthRatio >= holds*f.WorthWithoutTrigger
	}
	return f
}

// ObservationMs returns how long a day must be after its last trigger to be looked at with all measures.
func ObservationMs() float64 { return 2*graceFor + 2*lookFor + actsFor }

// share returns the share of the worth that was got in time over a look.
func share(r *fleet.Result, from float64) float64 {
	a, g := 0.0, 0.0
	for i := int(from / fleet.BucketMs()); i < int((from+lookFor)/fleet.BucketMs()) && i < len(r.Buckets); i++ {
		a, g = a+r.Buckets[i].OfferedWorth, g+r.Buckets[i].EarnedWorth
	}
	if a == 0 {
		return math.NaN()
	}
	return g / a
}

// actsFor is how long a measure lasts that is for a time.
const actsFor = 30e3

type measure struct {
	what string
	day  fleet.Day
}

// measures are what operators can do from a time on.
func measures(d fleet.Day, at float64) (out []measure) {
	with := func(what string, t ...fleet.Fault) {
		w := d
		w.Faults = append(slices.Clone(d.Faults), t...)
		out = append(out, measure{what, w})
	}
	rest := d.DurationMs - at
	with("nothing")
	with("clients held off to a fifth for 30 s", fleet.Fault{Kind: fleet.Burst, At: at, Duration: actsFor, Share: 1, Factor: 0.2})
	with("the fleet restarted at once, cold", fleet.Fault{Kind: fleet.Crash, At: at, Duration: 1000, Share: 1})
	with("callers keep to a budget of retries of a tenth", fleet.Fault{Kind: fleet.LimitRetries, At: at, Duration: rest, Share: 1, Factor: 0.1})
	with("callers heed credit and advice", fleet.Fault{Kind: fleet.HonorCredit, At: at, Duration: rest, Share: 1})
	with("clients held off, and the budget", fleet.Fault{Kind: fleet.Burst, At: at, Duration: actsFor, Share: 1, Factor: 0.2},
		fleet.Fault{Kind: fleet.LimitRetries, At: at, Duration: rest, Share: 1, Factor: 0.1})
	return out
}
