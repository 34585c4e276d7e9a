// Package experiment parses experiment files. A file in Jsonnet or JSON describes a day or a family of days, the
// policies to compare, an optional sweep of one parameter, and the number of seeds. A number given as [low, high] is
// drawn by the seed. Parsing checks the whole file and reports each error with the path of its field. The package
// does no file access itself, apart from the embedded families of days.
package experiment

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"github.com/valyala/fastjson"

	"whinrudder"
	"whinrudder/internal/emu/baseline"
	"whinrudder/internal/emu/fleet"
	"whinrudder/internal/vtime"
)

// PolicyNames are the names of the admission policies that simulated nodes can run: "module" is the policy of the
// real node, the others are baselines for comparison.
var PolicyNames = []string{"module", "none", "fixed", "codel", "aimd", "gradient2", "vegas"}

// Policy is the admission policy of the nodes of a variant, with its parameters.
type Policy struct {
	Name        string  // one of PolicyNames
	Limit       float64 // concurrency limit: the fixed one, or the initial one of a policy that adapts it
	MaxQueued   int     // maximum length of the queue, in requests
	CoDelFactor float64 // multiplier of CoDel's times, which are made for fast services
	AIMDTimeout float64 // milliseconds after which AIMD counts a run as lost
}

// NewPolicy returns a policy with its default parameters, which suit nodes of six cores.
func NewPolicy(name string) Policy {
	p := Policy{Name: name, Limit: 6, MaxQueued: 6, CoDelFactor: 10, AIMDTimeout: 1500}
	switch name {
	case "none":
		p.MaxQueued = 0
	case "fixed":
		p.Limit, p.MaxQueued = 9, 9
	case "codel":
		p.Limit, p.MaxQueued = 9, 1000
	}
	return p
}

// NodeFactory returns a factory of nodes that run the policy.
func (p Policy) NodeFactory() fleet.NodeFactory {
	if p.Name == "module" {
		return fleet.NewModuleNode
	}
	return func(s whinrudder.Settings, _ uint64) (baseline.Node, error) {
		var limiter baseline.Limiter
		var discipline baseline.Discipline = baseline.FIFO{}
		switch p.Name {
		case "none":
			limiter = baseline.Unlimited{}
		case "fixed":
			limiter = baseline.Fixed(p.Limit)
		case "codel":
			limiter, discipline = baseline.Fixed(p.Limit), baseline.NewCoDel(p.CoDelFactor)
		case "aimd":
			limiter = baseline.NewAIMD(p.Limit, p.AIMDTimeout)
		case "gradient2":
			limiter = baseline.NewGradient2(p.Limit)
		case "vegas":
			limiter = baseline.NewVegas(p.Limit)
		default:
			return nil, fmt.Errorf("unknown policy %q", p.Name)
		}
		return baseline.NewServer(limiter, discipline, p.MaxQueued, s.Rules.DrainGrace), nil
	}
}

// Variant is one configuration of an experiment that plays all of its days.
type Variant struct {
	Name   string
	Policy Policy

	patch *fastjson.Value // keys that replace those of the day; nil if none
}

// Sweep plays the days with each of several values of one number of the day.
type Sweep struct {
	Key    string // path of the field in the day, such as troubles.0.share
	Values []float64
}

// Experiment is a parsed experiment file.
type Experiment struct {
	Name      string
	Variants  []Variant // the others are compared with the first
	Sweep     Sweep     // no sweep if its key is empty
	FirstSeed vtime.Seed
	Seeds     int
	MinEffect float64  // the smallest difference that matters; 0 if every difference does
	StopEarly bool     // stop before all seeds are played once every comparison has a verdict
	Measures  []string // the verdict rests on the first

	day *fastjson.Value
}

// Limits of an experiment.
const (
	maxVariants    = 16
	maxSweepValues = 50
	maxSeeds       = 10000
)

// Parse parses and checks an experiment file. If the text is not JSON, it is passed to evaluate, which returns it as
// JSON.
func Parse(text []byte, path string, evaluate func(text []byte, path string) (string, error)) (*Experiment, error) {
	v, err := fastjson.ParseBytes(text)
	if err != nil {
		evaluated, evalErr := evaluate(text, path)
		if evalErr != nil {
			return nil, fmt.Errorf("experiment: %w", evalErr)
		}
		if v, err = fastjson.Parse(evaluated); err != nil {
			return nil, fmt.Errorf("experiment: %w", err)
		}
	}
	r := &reader{draw: func(string) float64 { return 0.5 }}
	e := &Experiment{}
	o := r.object("", v, "name", "day", "variants", "sweep", "seeds", "first_seed", "effect", "stop", "measure")
	if o == nil {
		return nil, r.err()
	}
	e.Name = r.text(o, "", "name", "experiment")
	e.Seeds = r.integer(o, "", "seeds", 30, 1, maxSeeds)
	e.FirstSeed = vtime.Seed(r.seed(o, "", "first_seed", 1))
	e.MinEffect, e.StopEarly = r.float(o, "", "effect", 0, 0, 1), r.boolean(o, "", "stop", false)
	if e.StopEarly && e.MinEffect == 0 {
		r.addError("stop", "wants an effect: without one a small difference is played for without end")
	}
	e.day = o.Get("day")
	if e.day == nil {
		e.day = fastjson.MustParse("{}")
	}
	r.day(e.day, e.FirstSeed)
	e.variants(r, o)
	if s := r.object("sweep", o.Get("sweep"), "key", "values", "from", "to", "steps"); s != nil {
		e.sweep(r, s)
	}
	for i, m := range r.list("measure", o.Get("measure"), len(Measures)) {
		name := string(m.GetStringBytes())
		if MeasureByName(name) == nil {
			r.addError(at("measure", i), "is %q, want one of %s", name, strings.Join(MeasureNames(), ", "))
		}
		e.Measures = append(e.Measures, name)
	}
	if len(e.Measures) == 0 {
		e.Measures = []string{"goal", "whole", "worst_window", "worst_class", "waste", "tries", "p99"}
	}
	return e, r.err()
}

// variants reads the variants of the file. Without any, the node's own policy is the only variant.
func (e *Experiment) variants(r *reader, o *fastjson.Value) {
	for i, v := range r.list("variants", o.Get("variants"), maxVariants) {
		path := at("variants", i)
		v = r.object(path, v, "name", "policy", "limit", "queue", "times", "timeout_ms", "day")
		if v == nil {
			continue
		}
		p := NewPolicy(PolicyNames[r.enumIndex(v, path, "policy", 0, PolicyNames)])
		p.Limit, p.CoDelFactor = r.float(v, path, "limit", p.Limit, 1, 1e6), r.float(v, path, "times", p.CoDelFactor,
			0.01, 1e4)
		p.MaxQueued, p.AIMDTimeout = r.integer(v, path, "queue", p.MaxQueued, 0, 1e6), r.float(v, path, "timeout_ms",
			p.AIMDTimeout, 1, 3600e3)
		variant := Variant{Name: r.text(v, path, "name", p.Name), Policy: p, patch: v.Get("day")}
		if variant.patch != nil {
			r.day(e.merged(variant.patch), e.FirstSeed)
		}
		if slices.ContainsFunc(e.Variants, func(x Variant) bool { return x.Name == variant.Name }) {
			r.addError(path+".name", "is %q for the second time", variant.Name)
		}
		e.Variants = append(e.Variants, variant)
	}
	if len(e.Variants) == 0 {
		e.Variants = []Variant{{Name: "module", Policy: NewPolicy("module")}}
	}
}

// sweep reads a sweep, given either by its values or by a range and a number of steps.
func (e *Experiment) sweep(r *reader, s *fastjson.Value) {
	e.Sweep.Key = r.text(s, "sweep", "key", "")
	for i, v := range r.list("sweep.values", s.Get("values"), maxSweepValues) {
		e.Sweep.Values = append(e.Sweep.Values, r.number(at("sweep.values", i), v, -1e9, 1e9))
	}
	if len(e.Sweep.Values) == 0 {
		e.Sweep.Values = Steps(r.float(s, "sweep", "from", 0, -1e9, 1e9), r.float(s, "sweep", "to", 1, -1e9, 1e9),
			r.integer(s, "sweep", "steps", 5, 2, maxSweepValues))
	}
	if err := e.checkSweep(); err != nil {
		r.errs = append(r.errs, err)
	}
}

// SetSweep replaces the sweep of the file.
func (e *Experiment) SetSweep(s Sweep) error {
	if len(s.Values) == 0 || len(s.Values) > maxSweepValues {
		return fmt.Errorf("experiment: sweep has %d values, want 1 to %d", len(s.Values), maxSweepValues)
	}
	e.Sweep = s
	return e.checkSweep()
}

// checkSweep returns an error if a variant has no valid day at a value of the sweep.
func (e *Experiment) checkSweep() error {
	for _, v := range e.Sweep.Values {
		for i := range e.Variants {
			if _, err := e.Day(i, v, e.FirstSeed, nil); err != nil {
				return fmt.Errorf("experiment: sweep of %q at %v: %w", e.Sweep.Key, v, err)
			}
		}
	}
	return nil
}

// Steps returns n evenly spaced values from one end to the other, rounded to nine decimals.
func Steps(from, to float64, n int) (out []float64) {
	for i := range n {
		out = append(out, math.Round(1e9*vtime.Range{Low: from, High: to}.At(float64(i)/float64(max(1, n-1))))/1e9)
	}
	return out
}

// merged returns a copy of the day in which the keys of the patch replace those of the day.
func (e *Experiment) merged(patch *fastjson.Value) *fastjson.Value {
	out := fastjson.MustParseBytes(e.day.MarshalTo(nil))
	if patch != nil {
		patch.GetObject().Visit(func(key []byte, v *fastjson.Value) { out.Set(string(key), v) })
	}
	return out
}

// Day draws the day of a variant for a seed, at a value of the sweep. The function position returns where a number lies
// within its range, 0 to 1; if it is nil, the seed decides.
func (e *Experiment) Day(variant int, sweepValue float64, seed vtime.Seed,
	position func(path string) float64) (fleet.Day, error) {
	v := e.merged(e.Variants[variant].patch)
	if e.Sweep.Key != "" {
		if err := setValue(v, e.Sweep.Key, sweepValue); err != nil {
			return fleet.Day{}, err
		}
	}
	if position == nil {
		position = func(path string) float64 { return seed.Split("figure "+path, 0).Uniform() }
	}
	r := &reader{draw: position}
	d := r.day(v, seed)
	return d, r.err()
}

// Dimensions returns the numbers of the day that are drawn from a range.
func (e *Experiment) Dimensions() []Dimension {
	r := &reader{draw: func(string) float64 { return 0.5 }}
	r.day(e.day, e.FirstSeed)
	return r.dimensions
}

// setValue sets the number at a path of a day, such as troubles.0.share.
func setValue(v *fastjson.Value, path string, to float64) error {
	keys := strings.Split(path, ".")
	for i, k := range keys[:len(keys)-1] {
		next := v.Get(k)
		if next == nil && i == 0 && k == "repeats" {
			v.Set(k, fastjson.MustParse("{}"))
			next = v.Get(k)
		}
		if next == nil {
			return fmt.Errorf("there is no %s", strings.Join(keys[:i+1], "."))
		}
		v = next
	}
	var a fastjson.Arena
	if v.Type() == fastjson.TypeArray {
		return fmt.Errorf("%s is a list element, not a number", path)
	}
	v.Set(keys[len(keys)-1], a.NewNumberFloat64(to))
	return nil
}

// formatUint formats an unsigned number, which JSON floats cannot hold exactly.
func formatUint(n uint64) string { return strconv.FormatUint(n, 10) }

// SetPolicies replaces the variants by one for each policy, with default parameters.
func (e *Experiment) SetPolicies(policies []string) error {
	var variants []Variant
	for _, p := range policies {
		if !slices.Contains(PolicyNames, p) {
			return fmt.Errorf("experiment: policy %q is none of %s", p, strings.Join(PolicyNames, ", "))
		}
		variants = append(variants, Variant{Name: p, Policy: NewPolicy(p)})
	}
	e.Variants = variants
	return nil
}

// MatchVariants makes the variants fit the names in stored results: it keeps those of the file if the names are
// equal, and otherwise takes each name as a policy.
func (e *Experiment) MatchVariants(names []string) error {
	if slices.EqualFunc(e.Variants, names, func(v Variant, n string) bool { return v.Name == n }) {
		return nil
	}
	return e.SetPolicies(names)
}
