package experiment

import (
	"math"
	"slices"

	"github.com/valyala/fastjson"

	"whinrudder/internal/emu/callermodel"
	"whinrudder/internal/emu/fleet"
	"whinrudder/internal/emu/workload"
	"whinrudder/internal/vtime"
)

// Limits of a day. They bound the time and memory of one simulation.
const (
	maxNodes           = 2000
	maxDurationSeconds = 3600
	maxCallers         = 1000
	maxClasses         = 16
	maxFaults          = 64
	maxOnlyRequests    = 100000
)

// dayKeys are the keys that a day may have in an experiment file.
var dayKeys = []string{"seed", "nodes", "seconds", "load", "cores", "slow", "fast", "cold", "ramp", "crowd_at",
	"crowd_loss", "fall_at", "runs",
	"reading", "spread", "classes", "callers", "repeats", "delay_ms", "loss", "list_lag", "session", "drain", "stop",
	"subjects", "troubles",
	"cold_fleet", "only", "slack_ms"}

// day reads a day. Times in a file are in seconds, except those whose key ends in _ms. A key that is absent keeps the
// value of fleet.DefaultDay.
func (r *reader) day(v *fastjson.Value, seed vtime.Seed) fleet.Day {
	d := fleet.DefaultDay(seed)
	o := r.object("", v, dayKeys...)
	if o == nil {
		return d
	}
	d.Seed = vtime.Seed(r.seed(o, "day", "seed", uint64(seed)))
	d.Nodes = r.integer(o, "", "nodes", d.Nodes, 1, maxNodes)
	d.DurationMs = 1000 * r.float(o, "", "seconds", d.DurationMs/1000, 1, maxDurationSeconds)
	d.Load = r.float(o, "", "load", d.Load, 0.01, 20)
	d.Cores = r.integer(o, "", "cores", d.Cores, 1, 256)
	d.SlowSpeed, d.FastSpeed = r.valueRange(o, "", "slow", d.SlowSpeed, 0.01, 100), r.valueRange(o, "", "fast",
		d.FastSpeed, 0.01, 100)
	d.ColdSpeedRatio, d.RampTime = r.valueRange(o, "", "cold", d.ColdSpeedRatio, 0.01, 1), r.secondsRange(o, "",
		"ramp", d.RampTime, 3600)
	d.ContentionThreshold, d.ContentionLoss = r.valueRange(o, "", "crowd_at", d.ContentionThreshold, 0.1, 1000),
		r.valueRange(o, "", "crowd_loss", d.ContentionLoss, 0, 10)
	d.OverloadThreshold, d.MemoryRunsPerCore = r.float(o, "", "fall_at", d.OverloadThreshold, 1, 1e6),
		r.float(o, "", "runs", d.MemoryRunsPerCore, 1, 1e6)
	d.ReadWorkRatio, d.WorkCV = r.float(o, "", "reading", d.ReadWorkRatio, 0, 10), r.float(o, "", "spread", d.WorkCV,
		0, 10)
	d.NetworkDelay, d.LossRate = r.valueRange(o, "", "delay_ms", d.NetworkDelay, 0, 60e3), r.float(o, "", "loss",
		d.LossRate, 0, 0.9)
	d.ListLag, d.SessionTimeout = 1000*r.float(o, "", "list_lag", d.ListLag/1000, 0, 600),
		1000*r.float(o, "", "session", d.SessionTimeout/1000, 0, 600)
	d.DrainGrace, d.StopDelay = 1000*r.float(o, "", "drain", d.DrainGrace/1000, 0, 600), 1000*r.float(o, "", "stop",
		d.StopDelay/1000, 0.2, 600)
	d.Subjects = r.integer(o, "", "subjects", d.Subjects, 1, 1e9)
	d.ColdFleet = r.boolean(o, "", "cold_fleet", d.ColdFleet)
	d.Slack = r.float(o, "", "slack_ms", d.Slack, 0, 10e3)
	if c := o.Get("classes"); c != nil {
		d.Classes = r.classes(c)
	}
	if c := o.Get("callers"); c != nil {
		d.Callers = r.callers(c)
	}
	if c := r.object("repeats", o.Get("repeats"), "share", "after", "most"); c != nil {
		d.ClientRetries = workload.ClientRetries{Share: r.float(c, "repeats", "share", d.ClientRetries.Share, 0, 1),
			Delay: r.secondsRange(c, "repeats", "after", d.ClientRetries.Delay, 3600), Max: r.integer(c, "repeats",
				"most", d.ClientRetries.Max, 0, 100)}
	}
	for i, t := range r.list("troubles", o.Get("troubles"), maxFaults) {
		d.Faults = append(d.Faults, r.dayFault(at("troubles", i), t))
	}
	for i, n := range r.list("only", o.Get("only"), maxOnlyRequests) {
		d.OnlyRequests = append(d.OnlyRequests, int(r.number(at("only", i), n, 0, 1<<31)))
	}
	if o.Get("only") != nil && d.OnlyRequests == nil {
		d.OnlyRequests = []int{}
	}
	slices.Sort(d.OnlyRequests)
	return d
}

// seed reads a seed: an unsigned 64-bit number.
func (r *reader) seed(o *fastjson.Value, path, key string, defaultValue uint64) uint64 {
	v := o.Get(key)
	if v == nil {
		return defaultValue
	}
	n, err := v.Uint64()
	if err != nil {
		r.addError(join(path, key), "is not a whole number of at least 0")
	}
	return n
}

// secondsRange reads a range given in seconds and returns it in milliseconds.
func (r *reader) secondsRange(o *fastjson.Value, path, key string, defaultValue vtime.Range, high float64) vtime.Range {
	p := r.valueRange(o, path, key, vtime.Range{Low: defaultValue.Low / 1000, High: defaultValue.High / 1000}, 0, high)
	return vtime.Range{Low: 1000 * p.Low, High: 1000 * p.High}
}

// classes reads the request classes, whose shares must add up to 1.
func (r *reader) classes(v *fastjson.Value) (out []fleet.Class) {
	sum := 0.0
	for i, c := range r.list("classes", v, maxClasses) {
		path := at("classes", i)
		o := r.object(path, c, "name", "share", "aim_ms", "deadline_ms", "worth", "late", "work", "sleep", "write")
		if o == nil {
			continue
		}
		defaultWork := vtime.Range{Low: 100, High: 100}
		class := fleet.Class{Name: r.text(o, path, "name", ""), Share: r.float(o, path, "share", 1, 0, 1),
			Aim:      r.float(o, path, "aim_ms", 1000, 1, 3600e3),
			Deadline: r.float(o, path, "deadline_ms", 3000, 1, 3600e3), Worth: r.float(o, path, "worth", 1, 0, 1e6),
			LateWorth: r.float(o, path, "late", 0, 0, 1),
			Work:      r.valueRange(o, path, "work", defaultWork, 0.01, 1e6), Sleep: r.valueRange(o, path, "sleep",
				vtime.Range{}, 0, 3600e3), Write: r.boolean(o, path, "write", false)}
		if class.Deadline < class.Aim {
			r.addError(path+".deadline_ms", "is %v, which is before the aim", class.Deadline)
		}
		sum += class.Share
		out = append(out, class)
	}
	if len(out) == 0 {
		r.addError("classes", "is empty")
	} else if math.Abs(sum-1) > 1e-6 {
		r.addError("classes", "have shares of %v in sum, want 1", sum)
	}
	return out
}

// callers reads the behavior of the callers. An element with a count stands for that many equal callers.
func (r *reader) callers(v *fastjson.Value) (out []callermodel.Behavior) {
	for i, c := range r.list("callers", v, maxCallers) {
		path := at("callers", i)
		o := r.object(path, c, "count", "choice", "tries", "heeds", "wait", "hedge_ms", "copies", "budget",
			"throttle", "subset", "blind", "pause_ms", "library")
		if o == nil {
			continue
		}
		behavior := callermodel.Behavior{Strategy: callermodel.Strategy(r.enumIndex(o, path, "choice", 0,
			callermodel.StrategyNames)), MaxTries: r.integer(o, path, "tries", 3, 0, 1000),
			HonorsCredit: r.boolean(o, path, "heeds", true), TryTimeoutRatio: r.float(o, path, "wait", 0.6, 0.01, 1),
			HedgeDelay:    r.float(o, path, "hedge_ms", 0, 0, 3600e3),
			ParallelTries: r.integer(o, path, "copies", 1, 1, 10), RetryBudget: r.float(o, path, "budget", 0, 0, 10),
			Throttle:   r.boolean(o, path, "throttle", false),
			SubsetSize: r.integer(o, path, "subset", 0, 0, maxNodes), RetriesInDoubtWrites: r.boolean(o, path,
				"blind", false), BackoffBase: r.float(o, path, "pause_ms", 0, 0, 60e3),
			UsesLibrary: r.boolean(o, path, "library", false)}
		for range r.integer(o, path, "count", 1, 1, maxCallers) {
			if len(out) < maxCallers {
				out = append(out, behavior)
			}
		}
	}
	if len(out) == 0 {
		r.addError("callers", "is empty")
	}
	return out
}

// dayFault reads one injected fault of the day.
func (r *reader) dayFault(path string, v *fastjson.Value) (t fleet.Fault) {
	o := r.object(path, v, "kind", "at", "for", "share", "factor")
	if o == nil {
		return t
	}
	if o.Get("kind") == nil {
		r.addError(path+".kind", "is absent")
	}
	t.Kind = fleet.FaultKind(r.enumIndex(o, path, "kind", 0, fleet.FaultKindNames))
	t.At, t.Duration = 1000*r.float(o, path, "at", 0, 0, maxDurationSeconds), 1000*r.float(o, path, "for", 10, 0.001,
		maxDurationSeconds)
	t.Share = r.float(o, path, "share", 1, 0, 1)
	low, high := 0.0, 1000.0
	switch t.Kind {
	case fleet.ClockSkew:
		low, high = -60e3, 60e3
	case fleet.BogusCredit:
		low, high = 1, 1e12
	case fleet.Flap: // each change of state is an event of the simulation, so the period must not be tiny
		low = 0.1
	}
	t.Factor = r.float(o, path, "factor", 1, low, high)
	if t.Factor == 0 && (t.Kind == fleet.Burst || t.Kind == fleet.Slowdown) {
		r.addError(path+".factor", "is 0")
		t.Factor = 1
	}
	return t
}

// MarshalDay returns an experiment file that replays the day with a policy. The file has no ranges to draw from: only
// the seed of the day drives the simulation.
func MarshalDay(d fleet.Day, policy string) []byte {
	var a fastjson.Arena
	object := func(pairs ...any) *fastjson.Value {
		o := a.NewObject()
		for i := 0; i < len(pairs); i += 2 {
			var v *fastjson.Value
			switch x := pairs[i+1].(type) {
			case float64:
				v = a.NewNumberFloat64(x)
			case int:
				v = a.NewNumberInt(x)
			case string:
				v = a.NewString(x)
			case bool:
				v = a.NewFalse()
				if x {
					v = a.NewTrue()
				}
			case vtime.Range:
				v = a.NewArray()
				v.SetArrayItem(0, a.NewNumberFloat64(x.Low))
				v.SetArrayItem(1, a.NewNumberFloat64(x.High))
			case vtime.Seed:
				v = a.NewNumberString(formatUint(uint64(x)))
			case *fastjson.Value:
				v = x
			}
			o.Set(pairs[i].(string), v)
		}
		return o
	}
	toSeconds := func(r vtime.Range) vtime.Range { return vtime.Range{Low: r.Low / 1000, High: r.High / 1000} }
	list := func(n int, item func(i int) *fastjson.Value) *fastjson.Value {
		items := a.NewArray()
		for i := range n {
			items.SetArrayItem(i, item(i))
		}
		return items
	}
	day := object("seed", d.Seed, "nodes", d.Nodes, "seconds", d.DurationMs/1000, "load", d.Load, "cores", d.Cores,
		"slow", d.SlowSpeed, "fast", d.FastSpeed, "cold", d.ColdSpeedRatio,
		"ramp", toSeconds(d.RampTime), "crowd_at", d.ContentionThreshold, "crowd_loss", d.ContentionLoss, "fall_at",
		d.OverloadThreshold, "runs", d.MemoryRunsPerCore, "reading", d.ReadWorkRatio, "spread", d.WorkCV,
		"delay_ms", d.NetworkDelay, "loss", d.LossRate, "list_lag", d.ListLag/1000, "session", d.SessionTimeout/1000,
		"drain", d.DrainGrace/1000, "stop", d.StopDelay/1000,
		"subjects", d.Subjects, "cold_fleet", d.ColdFleet, "slack_ms", d.Slack,
		"repeats", object("share", d.ClientRetries.Share, "after", toSeconds(d.ClientRetries.Delay), "most",
			d.ClientRetries.Max),
		"classes", list(len(d.Classes), func(i int) *fastjson.Value {
			class := d.Classes[i]
			return object("name", class.Name, "share", class.Share, "aim_ms", class.Aim, "deadline_ms",
				class.Deadline, "worth", class.Worth, "late", class.LateWorth, "work", class.Work,
				"sleep", class.Sleep, "write", class.Write)
		}),
		"callers", list(len(d.Callers), func(i int) *fastjson.Value {
			caller := d.Callers[i]
			return object("choice", caller.Strategy.String(), "tries", caller.MaxTries, "heeds", caller.HonorsCredit,
				"wait", caller.TryTimeoutRatio, "hedge_ms", caller.HedgeDelay, "copies", max(1, caller.ParallelTries),
				"budget", caller.RetryBudget, "throttle", caller.Throttle, "subset", caller.SubsetSize, "blind",
				caller.RetriesInDoubtWrites, "pause_ms", caller.BackoffBase, "library", caller.UsesLibrary)
		}),
		"troubles", list(len(d.Faults), func(i int) *fastjson.Value {
			f := d.Faults[i]
			return object("kind", f.Kind.String(), "at", f.At/1000, "for", f.Duration/1000, "share", f.Share,
				"factor", f.Factor)
		}))
	if d.OnlyRequests != nil {
		day.Set("only", list(len(d.OnlyRequests), func(i int) *fastjson.Value { return a.NewNumberInt(d.OnlyRequests[i]) }))
	}
	return append(object("name", "replay", "day", day, "variants", list(1, func(int) *fastjson.Value {
		return object("policy", policy)
	}), "seeds", 1).MarshalTo(nil), '\n')
}
