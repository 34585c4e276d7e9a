package experiment

import "whinrudder/internal/emu/fleet"

// Measure is a number taken from the result of a simulated day.
type Measure struct {
	Name, Unit    string
	LowerIsBetter bool
	Value         func(r *fleet.Result) float64
}

// Measures are all available measures, in the order in which reports list them.
var Measures = []Measure{
	{"goal", "share", false, func(r *fleet.Result) float64 { return r.GoalScore }},
	{"whole", "share", false, func(r *fleet.Result) float64 { return r.OverallWorthRatio }},
	{"worst_window", "share", false, func(r *fleet.Result) float64 { return r.WorstWindow }},
	{"worst_class", "share", false, func(r *fleet.Result) float64 { return r.WorstClass }},
	{"offered", "requests/s", false, func(r *fleet.Result) float64 { return r.OfferedRate }},
	{"goodput", "requests/s", false, func(r *fleet.Result) float64 { return r.Goodput }},
	{"p50", "ms", true, func(r *fleet.Result) float64 { return r.Latency.Quantile(0.5) }},
	{"p90", "ms", true, func(r *fleet.Result) float64 { return r.Latency.Quantile(0.9) }},
	{"p99", "ms", true, func(r *fleet.Result) float64 { return r.Latency.Quantile(0.99) }},
	{"p999", "ms", true, func(r *fleet.Result) float64 { return r.Latency.Quantile(0.999) }},
	{"waste", "share", true, func(r *fleet.Result) float64 { return r.WastedWorkRatio }},
	{"tries", "a request", true, func(r *fleet.Result) float64 { return float64(r.Tries) / float64(max(1, r.Requests)) }},
	{"repeats", "a request", true, func(r *fleet.Result) float64 { return float64(r.ClientRetries) / float64(max(1, r.Requests)) }},
	{"refused", "a request", true, func(r *fleet.Result) float64 { return float64(r.Refused) / float64(max(1, r.Requests)) }},
	{"again", "writes", true, func(r *fleet.Result) float64 { return float64(r.RepeatedWrites) }},
	{"peak_runs", "a node", true, func(r *fleet.Result) float64 { return r.PeakRuns() }},
	{"fell", "nodes", true, func(r *fleet.Result) float64 { return float64(r.OverloadCrashes) }},
	{"broken", "rules", true, func(r *fleet.Result) float64 { return float64(len(r.Violations)) }},
}

// MeasureByName returns the measure with a name, or nil if there is none.
func MeasureByName(name string) *Measure {
	for i := range Measures {
		if Measures[i].Name == name {
			return &Measures[i]
		}
	}
	return nil
}

// MeasureNames returns the names of all measures.
func MeasureNames() (out []string) {
	for _, m := range Measures {
		out = append(out, m.Name)
	}
	return out
}
