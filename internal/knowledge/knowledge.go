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
	MaxClasses       = 64
	MaxNameBytes     = 64       // bytes of a name of a node or class
	MaxRuns          = 200      // the module's own memory of finished runs
	MaxWaits         = 16       // waits of one class
	MaxAgeMs         = 86400e3  // of a fact; older ones are of no use to anybody
	MaxUptimeMs      = 315360e6 // ten years of one process
	MinCostMs        = 0.01     // core time of one request
	MaxCostMs        = 600e3
	MaxWorkMs        = 1e9 // hinted work of one request, and its square's root
	MaxWaitMs        = 3600e3
	MaxShare         = 1e12 // worth asked for lately
	MaxLimitPerCore  = 1000 // requests on the cores, for each core
	MaxSlowdown      = 20   // the module tells slowness apart up to this factor, either way
	MaxCallLatencyMs = 600e3
	MaxCores         = 4096
)

// Class is what a donor tells of one class, by its name: places may differ from node to node.
type Class struct {
	Name string
	whinrudder.ClassKnowledge
}

// Report is what one donor tells. Ages count back from the moment at which it was taken; there is no clock in it.
type Report struct {
	Node            string
	Uptime          float64 // how long the donor has served
	Cores           int     // of its worker pool
	Warm            bool    // its worker pool is at full speed
	Draining        bool
	Classes         []Class
	Limit           whinrudder.Estimate // requests on the cores, for each core
	CoreShare       whinrudder.Estimate // share of the cores that runs have when they are full
	Slowdown        whinrudder.Estimate // of the machine at the moment: never taken over
	BaseCallLatency whinrudder.Estimate
}

// NewReport names what a module knows. Classes of which nothing was learned are left out.
func NewReport(names []string, k whinrudder.Knowledge) Report {
	r := Report{Limit: k.Limit, CoreShare: k.CoreShare, Slowdown: k.Slowdown, BaseCallLatency: k.BaseCallLatency}
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

// AgedBy returns the report as it is some time later: every fact has aged by it.
func (r Report) AgedBy(by float64) Report {
	by = math.Max(0, by)
	r.Classes = append([]Class{}, r.Classes...)
	for i := range r.Classes {
		r.Classes[i].Cost.Age += by
	}
	for _, f := range []*whinrudder.Estimate{&r.Limit, &r.CoreShare, &r.Slowdown, &r.BaseCallLatency} {
		f.Age += by
	}
	return r
}

// A FieldError reports a figure that no machine can have.
type FieldError struct {
	Field string
	Value any
}

// Error names the field.
func (f *FieldError) Error() string {
	return fmt.Sprintf("%s is %v, which no node can have", f.Field, f.Value)
}

const nameChars = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-"

// Check returns the first FieldError of a report, or nil.
func (r Report) Check() error {
	var fault *FieldError
	within := func(field string, v, low, high float64) {
		if fault == nil && !(v >= low && v <= high) { // NaN is within nothing
			fault = &FieldError{field, v}
		}
	}
	word := func(field, s string) {
		if fault == nil && (s == "" || len(s) > MaxNameBytes || strings.Trim(s, nameChars) != "") {
			fault = &FieldError{field, fmt.Sprintf("%.80q", s)}
		}
	}
	word("node", r.Node)
	within("life", r.Uptime, 0, MaxUptimeMs)
	within("cores", float64(r.Cores), 1, MaxCores)
	within("classes", float64(len(r.Classes)), 0, MaxClasses)
	seen := map[string]bool{}
	for _, c := range r.Classes {
		field := func(s string) string { return "class " + c.Name + " " + s }
		word("class name", c.Name)
		if fault == nil && seen[c.Name] {
			fault = &FieldError{"class name", c.Name + " twice"}
		}
		seen[c.Name] = true
		within(field("cost.n"), c.Cost.N, 1, MaxRuns)
		within(field("cost.age"), c.Cost.Age, 0, MaxAgeMs)
		within(field("cost.time"), c.Cost.Time, MinCostMs, MaxCostMs)
		within(field("cost.work"), c.Cost.Work, 0, MaxWorkMs)
		// The mean of a square is no less than the square of the mean.
		within(field("cost.work_work"), c.Cost.WorkWork, c.Cost.Work*c.Cost.Work*(1-1e-9), MaxWorkMs*MaxWorkMs)
		within(field("cost.work_time"), c.Cost.WorkTime, 0, MaxWorkMs*MaxCostMs)
		within(field("share"), c.Share, 0, MaxShare)
		within(field("waits"), float64(len(c.Waits)), 0, MaxWaits)
		for _, w := range c.Waits {
			within(field("wait"), w, 0, MaxWaitMs)
		}
	}
	for _, f := range []struct {
		name      string
		f         whinrudder.Estimate
		low, high float64
	}{{"limit", r.Limit, 0.01, MaxLimitPerCore}, {"pace", r.CoreShare, 1e-3, 1}, {"slow", r.Slowdown, 1.0 / MaxSlowdown, MaxSlowdown},
		{"call_base", r.BaseCallLatency, 0, MaxCallLatencyMs}} {
		within(f.name+".n", f.f.N, 0, 1e15)
		if f.f.N > 0 {
			within(f.name, f.f.Value, f.low, f.high)
			within(f.name+".age", f.f.Age, 0, MaxAgeMs)
		}
	}
	if fault != nil {
		return fault
	}
	return nil
}
