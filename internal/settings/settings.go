// Package settings parses the settings object, the configuration of a payout node and the operator's file. It is the
// only parser of the settings object: the payout node reads the object from its configuration, and benchlink from the
// simulator's first message.
package settings

import (
	"errors"
	"fmt"
	"math"

	"github.com/valyala/fastjson"

	"whinrudder"
)

// Settings is the parsed settings object: the settings of the module, and the names that the protocols use.
type Settings struct {
	Policy     whinrudder.Settings
	ClassNames []string // names of the classes, in the order of Policy.Classes
	GaugeNames []string // names of the gauges, in the order in which the worker pool sends them
}

// Parse parses a settings object. Unknown keys are ignored and missing ones have the value 0. The error lists every
// value that has the wrong type or is not one of the words of its key.
func Parse(text []byte) (Settings, error) {
	v, err := fastjson.ParseBytes(text)
	if err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	return ParseValue(v)
}

// ParseValue is Parse for an object that is part of a larger one. It keeps no reference to v.
func ParseValue(v *fastjson.Value) (Settings, error) {
	r := reader{subject: "settings"}
	root := r.object("settings", v)
	sp, ru := r.object("specifics", root.Get("specifics")), r.object("rules", root.Get("rules"))
	goal, allowed := r.object("goal", root.Get("goal")), r.object("allowed", root.Get("allowed"))
	s := Settings{Policy: whinrudder.Settings{
		Servers: r.count(root, "servers"), OverShareWorth: r.number(root, "over_share_worth"),
		WorthByWork: r.text(root, "worth_by") == "work", Tick: r.number(root, "tick_ms"),
		Callers: r.count(sp, "callers"), Cores: r.count(sp, "cores"), Cold: r.boolean(sp, "cold"),
		Memory: r.number(sp, "ram_kb"), RunFactor: r.number(sp, "run_factor"), EntryKB: r.number(sp, "entry_kb"),
		HeardFor: r.number(sp, "heard_for_ms"), ReportsCancellation: r.boolean(sp, "tells_gone"),
		PassesDeadline: r.boolean(sp, "passes_deadline"), CallShare: r.number(sp, "calls_out"),
		CallShareWindow: r.number(sp, "share_span_ms"), CallLinger: r.number(sp, "linger_ms"),
		Fresh: r.number(sp, "fresh_ms"), DeepChecks: r.boolean(sp, "deep_checks"),
		KeepAlive: r.number(sp, "keepalive_max_ms"),
		Rules: whinrudder.Rules{AnswerGrace: r.number(ru, "grace_to_answer_ms"), ColdFrom: r.number(ru, "cold_from"),
			RampTime: r.number(ru, "ramp_time_ms"), DrainGrace: r.number(ru, "drain_grace_ms"),
			FallMultiple: r.number(ru, "fall_multiple"), FallWindow: r.number(ru, "overload_for_ms")},
		Goal: whinrudder.Goal{Whole: r.number(goal, "whole"), WorstClass: r.number(goal, "worst_class"),
			WorstTenant: r.number(goal, "worst_tenant"), WorstWindow: r.number(goal, "worst_window")},
		Halt: enumValue(&r, sp, "halt", map[string]whinrudder.StopMode{"": whinrudder.StopNone,
			"silent": whinrudder.StopNone, "abort": whinrudder.StopAbort, "suspend": whinrudder.StopPause}),
		CreditMode: enumValue(&r, sp, "say", map[string]whinrudder.CreditMode{"": whinrudder.CreditNone,
			"silent": whinrudder.CreditNone, "window": whinrudder.CreditWindow,
			"threshold": whinrudder.CreditThreshold, "share_of": whinrudder.CreditShare}),
		Dependency: enumValue(&r, sp, "below", map[string]whinrudder.Dependency{"": whinrudder.DependencyNone,
			"silent": whinrudder.DependencyNone, "shared": whinrudder.DependencyShared,
			"tier": whinrudder.DependencyTier}),
	}}
	if r.boolean(allowed, "retry_after") {
		s.Policy.MaxRetryAfter = r.number(allowed, "max_retry_after_ms")
	}
	calls, skips := r.list(sp, "class_calls"), r.list(sp, "class_skip_worth")
	for i, e := range r.list(root, "profiles") {
		o := r.object(fmt.Sprintf("profiles[%d]", i), e)
		c := whinrudder.Class{Aim: r.number(o, "aim_ms"), AimStretch: r.number(o, "aim_stretch"),
			Deadline: r.number(o, "deadline_ms"), Worth: r.number(o, "worth"), LateWorth: r.number(o, "late_worth"),
			Window: r.number(o, "memory_span_ms"),
			Repeat: enumValue(&r, o, "repeat", map[string]whinrudder.Repeatability{"repeatable": whinrudder.Safe,
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
		s.Policy.Tenants = append(s.Policy.Tenants, whinrudder.Tenant{QuotaPerSecond: r.number(o, "quota_per_s")})
	}
	for _, e := range r.list(sp, "own_stats") {
		s.GaugeNames = append(s.GaugeNames, string(e.GetStringBytes()))
	}
	return s, errors.Join(r.errs...)
}

// reader reads typed values of JSON objects and collects the errors.
type reader struct {
	subject string // name of the file or object, at the start of each error text
	path    string // path of the object that is being read, with a final dot; put before its keys in error texts
	errs    []error
}

func (r *reader) addError(format string, args ...any) {
	r.errs = append(r.errs, fmt.Errorf(r.subject+": "+format, args...))
}

// object returns v, or nil if v is missing or is not an object.
func (r *reader) object(name string, v *fastjson.Value) *fastjson.Value {
	if v != nil && v.Type() != fastjson.TypeObject {
		r.addError("%s is not an object", name)
		return nil
	}
	return v
}

// number returns the number of a key, or 0 if the key is missing or null. The other getters likewise return the zero
// value of their type.
func (r *reader) number(o *fastjson.Value, key string) float64 {
	v := o.Get(key)
	if v == nil || v.Type() == fastjson.TypeNull {
		return 0
	}
	f, err := v.Float64()
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) {
		r.addError("%s%s is no finite number", r.path, key)
		return 0
	}
	return f
}

func (r *reader) count(o *fastjson.Value, key string) int {
	f := r.number(o, key)
	if f != float64(int(f)) {
		r.addError("%s%s is %v, want a whole number", r.path, key, f)
		return 0
	}
	return int(f)
}

func (r *reader) boolean(o *fastjson.Value, key string) bool {
	v := o.Get(key)
	if v == nil || v.Type() == fastjson.TypeNull {
		return false
	}
	b, err := v.Bool()
	if err != nil {
		r.addError("%s%s is neither true nor false", r.path, key)
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
		r.addError("%s%s is not a string", r.path, key)
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
		r.addError("%s%s is not a list", r.path, key)
	}
	return a
}

// enumValue returns the value that names has for the word of a key. A missing key is the empty word.
func enumValue[T any](r *reader, o *fastjson.Value, key string, names map[string]T) T {
	word := r.text(o, key)
	v, ok := names[word]
	if !ok {
		r.addError("unknown %s %q", key, word)
	}
	return v
}
