// Package settings is the one parser of the settings object that an instance is told at its start. The payout
// node reads it from its configuration, benchlink from the simulator's first message.
package settings

import (
	"errors"
	"fmt"
	"math"

	"github.com/valyala/fastjson"

	"whinrudder"
)

// Settings is what the object holds: the module's own settings, and the names that are used on the wires.
type Settings struct {
	Policy     whinrudder.Settings
	ClassNames []string // names of the classes, in the order of Policy.Classes
	GaugeNames []string // names of the gauges, in the order in which the worker pool gives them
}

// Parse reads the object. Unknown keys are passed over and absent ones are 0; a value of the wrong type or an
// unknown word is a fault, and the error names all of them.
func Parse(text []byte) (Settings, error) {
	v, err := fastjson.ParseBytes(text)
	if err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	return ParseValue(v)
}

// ParseValue is Parse for an object that is part of a larger one. It keeps nothing of v.
func ParseValue(v *fastjson.Value) (Settings, error) {
	r := reader{what: "settings"}
	root := r.object("settings", v)
	sp, ru := r.object("specifics", root.Get("specifics")), r.object("rules", root.Get("rules"))
	goal, allowed := r.object("goal", root.Get("goal")), r.object("allowed", root.Get("allowed"))
	s := Settings{Policy: whinrudder.Settings{
		Servers: r.count(root, "servers"), OverShareWorth: r.num(root, "over_share_worth"),
		WorthByWork: r.text(root, "worth_by") == "work", Tick: r.num(root, "tick_ms"),
		Callers: r.count(sp, "callers"), Cores: r.count(sp, "cores"), Cold: r.flag(sp, "cold"),
		Memory: r.num(sp, "ram_kb"), RunFactor: r.num(sp, "run_factor"), EntryKB: r.num(sp, "entry_kb"),
		HeardFor: r.num(sp, "heard_for_ms"), ReportsCancellation: r.flag(sp, "tells_gone"),
		PassesDeadline: r.flag(sp, "passes_deadline"), CallShare: r.num(sp, "calls_out"),
		CallShareWindow: r.num(sp, "share_span_ms"), CallLinger: r.num(sp, "linger_ms"),
		Fresh: r.num(sp, "fresh_ms"), DeepChecks: r.flag(sp, "deep_checks"), KeepAlive: r.num(sp, "keepalive_max_ms"),
		Rules: whinrudder.Rules{AnswerGrace: r.num(ru, "grace_to_answer_ms"), ColdFrom: r.num(ru, "cold_from"),
			RampTime: r.num(ru, "ramp_time_ms"), DrainGrace: r.num(ru, "drain_grace_ms"),
			FallMultiple: r.num(ru, "fall_multiple"), FallWindow: r.num(ru, "overload_for_ms")},
		Goal: whinrudder.Goal{Whole: r.num(goal, "whole"), WorstClass: r.num(goal, "worst_class"),
			WorstTenant: r.num(goal, "worst_tenant"), WorstWindow: r.num(goal, "worst_window")},
		Halt: named(&r, sp, "halt", map[string]whinrudder.StopMode{"": whinrudder.StopNone, "silent": whinrudder.StopNone,
			"abort": whinrudder.StopAbort, "suspend": whinrudder.StopPause}),
		CreditMode: named(&r, sp, "say", map[string]whinrudder.CreditMode{"": whinrudder.CreditNone, "silent": whinrudder.CreditNone,
			"window": whinrudder.CreditWindow, "threshold": whinrudder.CreditThreshold, "share_of": whinrudder.CreditShare}),
		Dependency: named(&r, sp, "below", map[string]whinrudder.Dependency{"": whinrudder.DependencyNone,
			"silent": whinrudder.DependencyNone, "shared": whinrudder.DependencyShared, "tier": whinrudder.DependencyTier}),
	}}
	if r.flag(allowed, "retry_after") {
		s.Policy.MaxRetryAfter = r.num(allowed, "max_retry_after_ms")
	}
	calls, skips := r.list(sp, "class_calls"), r.list(sp, "class_skip_worth")
	for i, e := range r.list(root, "profiles") {
		o := r.object(fmt.Sprintf("profiles[%d]", i), e)
		c := whinrudder.Class{Aim: r.num(o, "aim_ms"), AimStretch: r.num(o, "aim_stretch"),
			Deadline: r.num(o, "deadline_ms"), Worth: r.num(o, "worth"), LateWorth: r.num(o, "late_worth"),
			Window: r.num(o, "memory_span_ms"),
			Repeat: named(&r, o, "repeat", map[string]whinrudder.Repeatability{"repeatable": whinrudder.Safe,
				"by_key": whinrudder.Keyed, "once": whinrudder.Unsafe})}
		if i < len(calls) {
			c.CallsDependency = calls[i].Type() == fastjson.TypeTrue
		}
		if i < len(skips) {
			c.SkipWorth = skips[i].GetFloat64()
		}
		s.Policy.Classes = append(s.Policy.Classes, c)
		s.ClassNames = append(s.ClassNames, r.text(o, "name"))
	}
	for i, e := range r.list(root, "parties") {
		o := r.object(fmt.Sprintf("parties[%d]", i), e)
		s.Policy.Tenants = append(s.Policy.Tenants, whinrudder.Tenant{QuotaPerSecond: r.num(o, "quota_per_s")})
	}
	for _, e := range r.list(sp, "own_stats") {
		s.GaugeNames = append(s.GaugeNames, string(e.GetStringBytes()))
	}
	return s, errors.Join(r.faults...)
}

// reader takes typed values out of objects and collects what is wrong.
type reader struct {
	what   string // what is read, before each fault
	path   string // of the object whose values are read, before their keys
	faults []error
}

func (r *reader) fault(format string, args ...any) {
	r.faults = append(r.faults, fmt.Errorf(r.what+": "+format, args...))
}

func (r *reader) object(name string, v *fastjson.Value) *fastjson.Value {
	if v != nil && v.Type() != fastjson.TypeObject {
		r.fault("%s is no object", name)
		return nil
	}
	return v
}

func (r *reader) num(o *fastjson.Value, key string) float64 {
	v := o.Get(key)
	if v == nil || v.Type() == fastjson.TypeNull {
		return 0
	}
	f, err := v.Float64()
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) {
		r.fault("%s%s is no finite number", r.path, key)
		return 0
	}
	return f
}

func (r *reader) count(o *fastjson.Value, key string) int {
	f := r.num(o, key)
	if f != float64(int(f)) {
		r.fault("%s%s is %v, want a whole number", r.path, key, f)
		return 0
	}
	return int(f)
}

func (r *reader) flag(o *fastjson.Value, key string) bool {
	v := o.Get(key)
	if v == nil || v.Type() == fastjson.TypeNull {
		return false
	}
	b, err := v.Bool()
	if err != nil {
		r.fault("%s%s is neither true nor false", r.path, key)
	}
	return b
}

func (r *reader) text(o *fastjson.Value, key string) string {
	v := o.Get(key)
	if v == nil || v.Type() == fastjson.TypeNull {
		return ""
	}
	b, err := v.StringBytes()
	if err != nil {
		r.fault("%s%s is no text", r.path, key)
	}
	return string(b)
}

func (r *reader) list(o *fastjson.Value, key string) []*fastjson.Value {
	v := o.Get(key)
	if v == nil || v.Type() == fastjson.TypeNull {
		return nil
	}
	a, err := v.Array()
	if err != nil {
		r.fault("%s%s is no list", r.path, key)
	}
	return a
}

func named[T any](r *reader, o *fastjson.Value, key string, names map[string]T) T {
	word := r.text(o, key)
	v, ok := names[word]
	if !ok {
		r.fault("unknown %s %q", key, word)
	}
	return v
}
