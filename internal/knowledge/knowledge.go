// Package knowledge is what nodes of a fleet can tell each other of what their decision modules have learned: a value
// with evidence and age, the merging of several donors into one prior, and the trial of that prior against a node's own
// first runs. It does no I/O and has no clock. What belongs to one machine (the scale of its costs, its slowness) is
// told apart from what belongs to the traffic (the relation of classes, their waits and shares).
//
// Times and ages are milliseconds.
package knowledge

import (
	"fmt"
	"math"
	"strings"

	"whinrudder"
)

// Limits of what a donor may say. What is beyond them no machine can have, and the report is refused.
const (
	MaxClasses = 64
	MaxName    = 64       // bytes of a name of a node or class
	MaxRuns    = 200      // the module's own memory of finished runs
	MaxWaits   = 16       // waits of one class
	MaxAge     = 86400e3  // of a fact; older ones are of no use to anybody
	MaxLife    = 315360e6 // ten years of one process
	MinTime    = 0.01     // core time of one request
	MaxTime    = 600e3
	MaxWork    = 1e9 // hinted work of one request, and its square's root
	MaxWait    = 3600e3
	MaxShare   = 1e12 // worth asked for lately
	MaxLimit   = 1000 // requests on the cores, for each core
	MaxSlow    = 20   // the module tells slowness apart up to this factor, either way
	MaxCall    = 600e3
	MaxCores   = 4096
)

// Class is what a donor tells of one class, by its name: places may differ from node to node.
type Class struct {
	Name string
	whinrudder.ClassKnowledge
}

// Report is what one donor tells. Ages count back from the moment at which it was taken; there is no clock in it.
type Report struct {
	Node     string
	Life     float64 // how long the donor has served
	Cores    int     // of its worker pool
	Warm     bool    // its worker pool is at full speed
	Draining bool
	Classes  []Class
	Limit    whinrudder.Estimate // requests on the cores, for each core
	Pace     whinrudder.Estimate // share of the cores that runs have when they are full
	Slow     whinrudder.Estimate // of the machine at the moment: never taken over
	CallBase whinrudder.Estimate
}

// NewReport names what a module knows. Classes of which nothing was learned are left out.
func NewReport(names []string, k whinrudder.Knowledge) Report {
	r := Report{Limit: k.Limit, Pace: k.CoreShare, Slow: k.Slowdown, CallBase: k.BaseCallLatency}
	for i, c := range k.Classes {
		if i < len(names) && names[i] != "" && c.Cost.N > 0 {
			r.Classes = append(r.Classes, Class{names[i], c})
		}
	}
	return r
}

// Runs is how many finished runs the report rests on, for each class at most what the module remembers.
func (r Report) Runs() (n float64) {
	for _, c := range r.Classes {
		n += c.Cost.N
	}
	return n
}

// Older returns the report as it is some time later: every fact has aged by it.
func (r Report) Older(by float64) Report {
	by = math.Max(0, by)
	r.Classes = append([]Class{}, r.Classes...)
	for i := range r.Classes {
		r.Classes[i].Cost.Age += by
	}
	for _, f := range []*whinrudder.Estimate{&r.Limit, &r.Pace, &r.Slow, &r.CallBase} {
		f.Age += by
	}
	return r
}

// A Fault is a figure that no machine can have.
type Fault struct {
	Field string
	Value any
}

// Error names the field.
func (f *Fault) Error() string {
	return fmt.Sprintf("%s is %v, which no node can have", f.Field, f.Value)
}

const nameChars = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-"

// Check returns the first Fault of a report, or nil.
func (r Report) Check() error {
	var fault *Fault
	within := func(field string, v, low, high float64) {
		if fault == nil && !(v >= low && v <= high) { // NaN is within nothing
			fault = &Fault{field, v}
		}
	}
	word := func(field, s string) {
		if fault == nil && (s == "" || len(s) > MaxName || strings.Trim(s, nameChars) != "") {
			fault = &Fault{field, fmt.Sprintf("%.80q", s)}
		}
	}
	word("node", r.Node)
	within("life", r.Life, 0, MaxLife)
	within("cores", float64(r.Cores), 1, MaxCores)
	within("classes", float64(len(r.Classes)), 0, MaxClasses)
	seen := map[string]bool{}
	for _, c := range r.Classes {
		field := func(s string) string { return "class " + c.Name + " " + s }
		word("class name", c.Name)
		if fault == nil && seen[c.Name] {
			fault = &Fault{"class name", c.Name + " twice"}
		}
		seen[c.Name] = true
		within(field("cost.n"), c.Cost.N, 1, MaxRuns)
		within(field("cost.age"), c.Cost.Age, 0, MaxAge)
		within(field("cost.time"), c.Cost.Time, MinTime, MaxTime)
		within(field("cost.work"), c.Cost.Work, 0, MaxWork)
		// The mean of a square is no less than the square of the mean.
		within(field("cost.work_work"), c.Cost.WorkWork, c.Cost.Work*c.Cost.Work*(1-1e-9), MaxWork*MaxWork)
		within(field("cost.work_time"), c.Cost.WorkTime, 0, MaxWork*MaxTime)
		within(field("share"), c.Share, 0, MaxShare)
		within(field("waits"), float64(len(c.Waits)), 0, MaxWaits)
		for _, w := range c.Waits {
			within(field("wait"), w, 0, MaxWait)
		}
	}
	for _, f := range []struct {
		name      string
		f         whinrudder.Estimate
		low, high float64
	}{{"limit", r.Limit, 0.01, MaxLimit}, {"pace", r.Pace, 1e-3, 1}, {"slow", r.Slow, 1.0 / MaxSlow, MaxSlow},
		{"call_base", r.CallBase, 0, MaxCall}} {
		within(f.name+".n", f.f.N, 0, 1e15)
		if f.f.N > 0 {
			within(f.name, f.f.Value, f.low, f.high)
			within(f.name+".age", f.f.Age, 0, MaxAge)
		}
	}
	if fault != nil {
		return fault
	}
	return nil
}
