// Package knowledge holds what a node's decision module has learned as a value that other nodes can use. A Report has
// the estimates of one donor with the number of observations and the age of each. Merge combines the reports of
// several donors into one Prior, and a PriorValidator compares that prior with the node's own first runs. The package
// does no I/O and has no clock. It separates what depends on the machine (the scale of the costs, the slowdown) from
// what depends on the traffic (the costs of the classes relative to each other, their waits and shares).
//
// Times and ages are in milliseconds.
package knowledge

import (
	"fmt"
	"math"
	"strings"

	"whinrudder"
)

// Limits of the values in a report. No real node exceeds them; Check rejects a report that does.
const (
	MaxClasses       = 64
	MaxNameBytes     = 64       // length of the name of a node or class
	MaxRuns          = 200      // finished runs of a class that the decision module remembers
	MaxWaits         = 16       // recorded waits of one class
	MaxAgeMs         = 86400e3  // age of an estimate; an older one is of no use
	MaxUptimeMs      = 315360e6 // ten years of one process
	MinCostMs        = 0.01     // core time of one request
	MaxCostMs        = 600e3
	MaxWorkMs        = 1e9 // hinted work of one request; its square bounds the mean of the squares
	MaxWaitMs        = 3600e3
	MaxShare         = 1e12 // worth of the recent requests of one class
	MaxLimitPerCore  = 1000 // concurrently running requests per core
	MaxSlowdown      = 20   // the decision module measures a slowdown, or a speed-up, up to this factor
	MaxCallLatencyMs = 600e3
	MaxCores         = 4096
)

// Class is what a donor reports about one class. It has the name because the index of a class differs between nodes.
type Class struct {
	Name string
	whinrudder.ClassKnowledge
}

// Report is what one donor has learned. Ages are relative to the time at which the report was made, which is not part
// of it.
type Report struct {
	Node            string
	Uptime          float64 // time for which the donor has served, in milliseconds
	Cores           int     // cores of its worker pool
	Warm            bool    // its worker pool is at full speed
	Draining        bool
	Classes         []Class
	Limit           whinrudder.Estimate // concurrently running requests per core
	CoreShare       whinrudder.Estimate // share of the cores that runs get when all cores are busy
	Slowdown        whinrudder.Estimate // present slowdown of the donor's machine; a prior never contains it
	BaseCallLatency whinrudder.Estimate // lowest latency of calls to the dependency, in milliseconds
}

// NewReport returns the knowledge of a decision module with the names of its classes. Classes without observations are
// left out. The caller fills in the fields about the node.
func NewReport(names []string, k whinrudder.Knowledge) Report {
	r := Report{Limit: k.Limit, CoreShare: k.CoreShare, Slowdown: k.Slowdown, BaseCallLatency: k.BaseCallLatency}
	for i, c := range k.Classes {
		if i < len(names) && names[i] != "" && c.Cost.N > 0 {
			r.Classes = append(r.Classes, Class{names[i], c})
		}
	}
	return r
}

// Runs returns the number of finished runs behind the report. Each class counts at most the runs that the decision
// module remembers.
func (r Report) Runs() (n float64) {
	for _, c := range r.Classes {
		n += c.Cost.N
	}
	return n
}

// AgedBy returns a copy of the report in which every estimate is older by the given number of milliseconds.
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

// FieldError reports a field of a report whose value is out of range or malformed.
type FieldError struct {
	Field string
	Value any
}

// Error returns a text with the field and its value.
func (f *FieldError) Error() string {
	return fmt.Sprintf("%s is %v, which is not a valid value", f.Field, f.Value)
}

const nameChars = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-"

// Check returns a *FieldError for the first invalid field of the report, or nil.
func (r Report) Check() error {
	var fieldErr *FieldError
	checkRange := func(field string, v, low, high float64) {
		if fieldErr == nil && !(v >= low && v <= high) { // also true for NaN
			fieldErr = &FieldError{field, v}
		}
	}
	checkName := func(field, s string) {
		if fieldErr == nil && (s == "" || len(s) > MaxNameBytes || strings.Trim(s, nameChars) != "") {
			fieldErr = &FieldError{field, fmt.Sprintf("%.80q", s)}
		}
	}
	checkName("node", r.Node)
	checkRange("life", r.Uptime, 0, MaxUptimeMs)
	checkRange("cores", float64(r.Cores), 1, MaxCores)
	checkRange("classes", float64(len(r.Classes)), 0, MaxClasses)
	seen := map[string]bool{}
	for _, c := range r.Classes {
		field := func(s string) string { return "class " + c.Name + " " + s }
		checkName("class name", c.Name)
		if fieldErr == nil && seen[c.Name] {
			fieldErr = &FieldError{"class name", c.Name + " twice"}
		}
		seen[c.Name] = true
		checkRange(field("cost.n"), c.Cost.N, 1, MaxRuns)
		checkRange(field("cost.age"), c.Cost.Age, 0, MaxAgeMs)
		checkRange(field("cost.time"), c.Cost.Time, MinCostMs, MaxCostMs)
		checkRange(field("cost.work"), c.Cost.Work, 0, MaxWorkMs)
		// The mean of the squares is at least the square of the mean; the factor allows for rounding.
		checkRange(field("cost.work_work"), c.Cost.WorkWork, c.Cost.Work*c.Cost.Work*(1-1e-9), MaxWorkMs*MaxWorkMs)
		checkRange(field("cost.work_time"), c.Cost.WorkTime, 0, MaxWorkMs*MaxCostMs)
		checkRange(field("share"), c.Share, 0, MaxShare)
		checkRange(field("waits"), float64(len(c.Waits)), 0, MaxWaits)
		for _, w := range c.Waits {
			checkRange(field("wait"), w, 0, MaxWaitMs)
		}
	}
	for _, f := range []struct {
		name      string
		estimate  whinrudder.Estimate
		low, high float64
	}{{"limit", r.Limit, 0.01, MaxLimitPerCore}, {"pace", r.CoreShare, 1e-3, 1},
		{"slow", r.Slowdown, 1.0 / MaxSlowdown, MaxSlowdown},
		{"call_base", r.BaseCallLatency, 0, MaxCallLatencyMs}} {
		checkRange(f.name+".n", f.estimate.N, 0, 1e15)
		if f.estimate.N > 0 {
			checkRange(f.name, f.estimate.Value, f.low, f.high)
			checkRange(f.name+".age", f.estimate.Age, 0, MaxAgeMs)
		}
	}
	if fieldErr != nil {
		return fieldErr
	}
	return nil
}
