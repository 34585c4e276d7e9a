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

// Limits of a day, in the units of a file: they bound what one play may take.
const (
	maxNodes    = 2000
	maxSeconds  = 3600
	maxCallers  = 1000
	maxClasses  = 16
	maxTroubles = 64
	maxOnly     = 100000
)

// dayKeys are the keys of a day.
var dayKeys = []string{"seed", "nodes", "seconds", "load", "cores", "slow", "fast", "cold", "ramp", "crowd_at", "crowd_loss", "fall_at", "runs",
	"reading", "spread", "classes", "callers", "repeats", "delay_ms", "loss", "list_lag", "session", "drain", "stop", "subjects", "troubles",
	"cold_fleet", "only", "slack_ms"}

// day reads a day. Times are seconds in a file, but for those whose name says otherwise. What is absent is as on the usual
// day of the operators.
func (r *reader) day(v *fastjson.Value, seed vtime.Seed) fleet.Day {
	d := fleet.DefaultDay(seed)
	o := r.object("", v, dayKeys...)
	if o == nil {
		return d
	}
	d.Seed = vtime.Seed(r.seed(o, "day", "seed", uint64(seed)))
	d.Nodes = r.count(o, "", "nodes", d.Nodes, 1, maxNodes)
	d.DurationMs = 1000 * r.figure(o, "", "seconds", d.DurationMs/1000, 1, maxSeconds)
	d.Load = r.figure(o, "", "load", d.Load, 0.01, 20)
	d.Cores = r.count(o, "", "cores", d.Cores, 1, 256)
	d.SlowSpeed, d.FastSpeed = r.span(o, "", "slow", d.SlowSpeed, 0.01, 100), r.span(o, "", "fast", d.FastSpeed, 0.01, 100)
	d.ColdSpeedRatio, d.RampTime = r.span(o, "", "cold", d.ColdSpeedRatio, 0.01, 1), r.seconds(o, "", "ramp", d.RampTime, 3600)
	d.ContentionThreshold, d.ContentionLoss = r.span(o, "", "crowd_at", d.ContentionThreshold, 0.1, 1000), r.span(o, "", "crowd_loss", d.ContentionLoss, 0, 10)
	d.OverloadThreshold, d.MemoryRunsPerCore = r.figure(o, "", "fall_at", d.OverloadThreshold, 1, 1e6), r.figure(o, "", "runs", d.MemoryRunsPerCore, 1, 1e6)
	d.ReadWorkRatio, d.WorkCV = r.figure(o, "", "reading", d.ReadWorkRatio, 0, 10), r.figure(o, "", "spread", d.WorkCV, 0, 10)
	d.NetworkDelay, d.LossRate = r.span(o, "", "delay_ms", d.NetworkDelay, 0, 60e3), r.figure(o, "", "loss", d.LossRate, 0, 0.9)
	d.ListLag, d.SessionTimeout = 1000*r.figure(o, "", "list_lag", d.ListLag/1000, 0, 600), 1000*r.figure(o, "", "session", d.SessionTimeout/1000, 0, 600)
	d.DrainGrace, d.StopDelay = 1000*r.figure(o, "", "drain", d.DrainGrace/1000, 0, 600), 1000*r.figure(o, "", "stop", d.StopDelay/1000, 0.2, 600)
	d.Subjects = r.count(o, "", "subjects", d.Subjects, 1, 1e9)
	d.ColdFleet = r.flag(o, "", "cold_fleet", d.ColdFleet)
	d.Slack = r.figure(o, "", "slack_ms", d.Slack, 0, 10e3)
	if c := o.Get("classes"); c != nil {
		d.Classes = r.classes(c)
	}
	if c := o.Get("callers"); c != nil {
		d.Callers = r.callers(c)
	}
	if c := r.object("repeats", o.Get("repeats"), "share", "after", "most"); c != nil {
		d.ClientRetries = workload.ClientRetries{Share: r.figure(c, "repeats", "share", d.ClientRetries.Share, 0, 1),
			Delay: r.seconds(c, "repeats", "after", d.ClientRetries.Delay, 3600), Max: r.count(c, "repeats", "most", d.ClientRetries.Max, 0, 100)}
	}
	for i, t := range r.list("troubles", o.Get("troubles"), maxTroubles) {
		d.Faults = append(d.Faults, r.trouble(at("troubles", i), t))
	}
	for i, n := range r.list("only", o.Get("only"), maxOnly) {
		d.OnlyRequests = append(d.OnlyRequests, int(r.number(at("only", i), n, 0, 1<<31)))
	}
	if o.Get("only") != nil && d.OnlyRequests == nil {
		d.OnlyRequests = []int{}
	}
	slices.Sort(d.OnlyRequests)
	return d
}

func (r *reader) seed(o *fastjson.Value, path, key string, usual uint64) uint64 {
	v := o.Get(key)
	if v == nil {
		return usual
	}
	n, err := v.Uint64()
	if err != nil {
		r.fault(join(path, key), "is no whole number from 0 on")
	}
	return n
}

// seconds reads a span in seconds.
func (r *reader) seconds(o *fastjson.Value, path, key string, usual vtime.Range, high float64) vtime.Range {
	p := r.span(o, path, key, vtime.Range{Low: usual.Low / 1000, High: usual.High / 1000}, 0, high)
	return vtime.Range{Low: 1000 * p.Low, High: 1000 * p.High}
}

func (r *reader) classes(v *fastjson.Value) (out []fleet.Class) {
	sum := 0.0
	for i, c := range r.list("classes", v, maxClasses) {
		path := at("classes", i)
		o := r.object(path, c, "name", "share", "aim_ms", "deadline_ms", "worth", "late", "work", "sleep", "write")
		if o == nil {
			continue
		}
		usual := vtime.Range{Low: 100, High: 100}
		k := fleet.Class{Name: r.text(o, path, "name", ""), Share: r.figure(o, path, "share", 1, 0, 1), Aim: r.figure(o, path, "aim_ms", 1000, 1, 3600e3),
			Deadline: r.figure(o, path, "deadline_ms", 3000, 1, 3600e3), Worth: r.figure(o, path, "worth", 1, 0, 1e6), LateWorth: r.figure(o, path, "late", 0, 0, 1),
			Work: r.span(o, path, "work", usual, 0.01, 1e6), Sleep: r.span(o, path, "sleep", vtime.Range{}, 0, 3600e3), Write: r.flag(o, path, "write", false)}
		if k.Deadline < k.Aim {
			r.fault(path+".deadline_ms", "is %v, which is before the aim", k.Deadline)
		}
		sum += k.Share
		out = append(out, k)
	}
	if len(out) == 0 {
		r.fault("classes", "is empty")
	} else if math.Abs(sum-1) > 1e-6 {
		r.fault("classes", "have shares of %v in sum, want 1", sum)
	}
	return out
}

func (r *reader) callers(v *fastjson.Value) (out []callermodel.Behavior) {
	for i, c := range r.list("callers", v, maxCallers) {
		path := at("callers", i)
		o := r.object(path, c, "count", "choice", "tries", "heeds", "wait", "hedge_ms", "copies", "budget", "throttle", "subset", "blind", "pause_ms", "library")
		if o == nil {
			continue
		}
		h := callermodel.Behavior{Strategy: callermodel.Strategy(r.named(o, path, "choice", 0, callermodel.StrategyNames)), MaxTries: r.count(o, path, "tries", 3, 0, 1000),
			HonorsCredit: r.flag(o, path, "heeds", true), TryTimeoutRatio: r.figure(o, path, "wait", 0.6, 0.01, 1), HedgeDelay: r.figure(o, path, "hedge_ms", 0, 0, 3600e3),
			ParallelTries: r.count(o, path, "copies", 1, 1, 10), RetryBudget: r.figure(o, path, "budget", 0, 0, 10), Throttle: r.flag(o, path, "throttle", false),
			SubsetSize: r.count(o, path, "subset", 0, 0, maxNodes), RetriesInDoubtWrites: r.flag(o, path, "blind", false), BackoffBase: r.figure(o, path, "pause_ms", 0, 0, 60e3),
			UsesLibrary: r.flag(o, path, "library", false)}
		for range r.count(o, path, "count", 1, 1, maxCallers) {
			if len(out) < maxCallers {
				out = append(out, h)
			}
		}
	}
	if len(out) == 0 {
		r.fault("callers", "is empty")
	}
	return out
}

func (r *reader) trouble(path string, v *fastjson.Value) (t fleet.Fault) {
	o := r.object(path, v, "kind", "at", "for", "share", "factor")
	if o == nil {
		return t
	}
	if o.Get("kind") == nil {
		r.fault(path+".kind", "is absent")
	}
	t.Kind = fleet.FaultKind(r.named(o, path, "kind", 0, fleet.FaultKindNames))
	t.At, t.Duration = 1000*r.figure(o, path, "at", 0, 0, maxSeconds), 1000*r.figure(o, path, "for", 10, 0.001, maxSeconds)
	t.Share = r.figure(o, path, "share", 1, 0, 1)
	low, high := 0.0, 1000.0
	switch t.Kind {
	case fleet.ClockSkew:
		low, high = -60e3, 60e3
	case fleet.BogusCredit:
		low, high = 1, 1e12
	case fleet.Flap: // each turn is an event of its own
		low = 0.1
	}
	t.Factor = r.figure(o, path, "factor", 1, low, high)
	if t.Factor == 0 && (t.Kind == fleet.Burst || t.Kind == fleet.Slowdown) {
		r.fault(path+".factor", "is 0")
		t.Factor = 1
	}
	return t
}

// MarshalDay returns a day as a file that gives the same day, with nothing drawn but by its seed.
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
				v = a.NewNumberString(uintText(uint64(x)))
			case *fastjson.Value:
				v = x
			}
			o.Set(pairs[i].(string), v)
		}
		return o
	}
	secs := func(r vtime.Range) vtime.Range { return vtime.Range{Low: r.Low / 1000, High: r.High / 1000} }
	list := func(n int, of func(i int) *fastjson.Value) *fastjson.Value {
		l := a.NewArray()
		for i := range n {
			l.SetArrayItem(i, of(i))
		}
		return l
	}
	day := object("seed", d.Seed, "nodes", d.Nodes, "seconds", d.DurationMs/1000, "load", d.Load, "cores", d.Cores, "slow", d.SlowSpeed, "fast", d.FastSpeed, "cold", d.ColdSpeedRatio,
		"ramp", secs(d.RampTime), "crowd_at", d.ContentionThreshold, "crowd_loss", d.ContentionLoss, "fall_at", d.OverloadThreshold, "runs", d.MemoryRunsPerCore, "reading", d.ReadWorkRatio, "spread", d.WorkCV,
		"delay_ms", d.NetworkDelay, "loss", d.LossRate, "list_lag", d.ListLag/1000, "session", d.SessionTimeout/1000, "drain", d.DrainGrace/1000, "stop", d.StopDelay/1000,
		"subjects", d.Subjects, "cold_fleet", d.ColdFleet, "slack_ms", d.Slack,
		"repeats", object("share", d.ClientRetries.Share, "after", secs(d.ClientRetries.Delay), "most", d.ClientRetries.Max),
		"classes", list(len(d.Classes), func(i int) *fastjson.Value {
			c := d.Classes[i]
			return object("name", c.Name, "share", c.Share, "aim_ms", c.Aim, "deadline_ms", c.Deadline, "worth", c.Worth, "late", c.LateWorth, "work", c.Work,
				"sleep", c.Sleep, "write", c.Write)
		}),
		"callers", list(len(d.Callers), func(i int) *fastjson.Value {
			h := d.Callers[i]
			return object("choice", h.Strategy.String(), "tries", h.MaxTries, "heeds", h.HonorsCredit, "wait", h.TryTimeoutRatio, "hedge_ms", h.HedgeDelay, "copies", max(1, h.ParallelTries),
				"budget", h.RetryBudget, "throttle", h.Throttle, "subset", h.SubsetSize, "blind", h.RetriesInDoubtWrites, "pause_ms", h.BackoffBase, "library", h.UsesLibrary)
		}),
		"troubles", list(len(d.Faults), func(i int) *fastjson.Value {
			t := d.Faults[i]
			return object("kind", t.Kind.String(), "at", t.At/1000, "for", t.Duration/1000, "share", t.Share, "factor", t.Factor)
		}))
	if d.OnlyRequests != nil {
		day.Set("only", list(len(d.OnlyRequests), func(i int) *fastjson.Value { return a.NewNumberInt(d.OnlyRequests[i]) }))
	}
	return append(object("name", "replay", "day", day, "variants", list(1, func(int) *fastjson.Value {
		return object("policy", policy)
	}), "seeds", 1).MarshalTo(nil), '\n')
}
