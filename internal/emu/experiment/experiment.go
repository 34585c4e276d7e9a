// Package experiment reads experiments: files in Jsonnet, or plain JSON, that say which day or family of days is played, with
// which policies, over which sweep and for how many seeds. A figure that a file gives as [low, high] is drawn by the seed. A
// file is checked whole and every fault named by its path. The package knows no files.
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

// PolicyNames are the names of what may run in the nodes of a day. The module is the node's own.
var PolicyNames = []string{"module", "none", "fixed", "codel", "aimd", "gradient2", "vegas"}

// Policy is what runs in the nodes of a variant.
type Policy struct {
	Name        string  // of PolicyNames
	Limit       float64 // of running requests: the fixed one, or the first of one that learns
	MaxQueued   int     // requests that may wait
	CoDelFactor float64 // by which CoDel's figures, made for fast services, are multiplied
	AIMDTimeout float64 // milliseconds after which AIMD takes a run for lost
}

// NewPolicy returns a policy with its usual figures, which were set by hand for six cores.
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

// NodeFactory returns what makes nodes with the policy.
func (p Policy) NodeFactory() fleet.NodeFactory {
	if p.Name == "module" {
		return fleet.NewModuleNode
	}
	return func(s whinrudder.Settings, _ uint64) (baseline.Node, error) {
		var l baseline.Limiter
		var how baseline.Discipline = baseline.FIFO{}
		switch p.Name {
		case "none":
			l = baseline.Unlimited{}
		case "fixed":
			l = baseline.Fixed(p.Limit)
		case "codel":
			l, how = baseline.Fixed(p.Limit), baseline.NewCoDel(p.CoDelFactor)
		case "aimd":
			l = baseline.NewAIMD(p.Limit, p.AIMDTimeout)
		case "gradient2":
			l = baseline.NewGradient2(p.Limit)
		case "vegas":
			l = baseline.NewVegas(p.Limit)
		default:
			return nil, fmt.Errorf("no policy %q", p.Name)
		}
		return baseline.NewServer(l, how, p.MaxQueued, s.Rules.DrainGrace), nil
	}
}

// Variant is one way to play the days.
type Variant struct {
	Name   string
	Policy Policy

	patch *fastjson.Value // of the day; nil: none
}

// Sweep lets one figure of the day take some values.
type Sweep struct {
	Key    string // its path in the day
	Values []float64
}

// Experiment is what a file says.
type Experiment struct {
	Name      string
	Variants  []Variant // the first is what the others are compared with
	Sweep     Sweep     // without a key: none
	FirstSeed vtime.Seed
	Seeds     int
	MinEffect float64  // the least difference that matters; 0: any
	StopEarly bool     // to play on only until every difference is clear
	Measures  []string // the first is what decides

	day *fastjson.Value
}

// Limits of an experiment.
const (
	maxVariants = 16
	maxSweep    = 50
	maxSeeds    = 10000
)

// Parse reads a file. One that is no JSON is handed to evaluate, which returns its value as JSON.
func Parse(text []byte, path string, evaluate func(text []byte, path string) (string, error)) (*Experiment, error) {
	v, err := fastjson.ParseBytes(text)
	if err != nil {
		json, fault := evaluate(text, path)
		if fault != nil {
			return nil, fmt.Errorf("experiment: %w", fault)
		}
		if v, err = fastjson.Parse(json); err != nil {
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
	e.Seeds = r.count(o, "", "seeds", 30, 1, maxSeeds)
	e.FirstSeed = vtime.Seed(r.seed(o, "", "first_seed", 1))
	e.MinEffect, e.StopEarly = r.figure(o, "", "effect", 0, 0, 1), r.flag(o, "", "stop", false)
	if e.StopEarly && e.MinEffect == 0 {
		r.fault("stop", "wants an effect: without one a small difference is played for without end")
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
			r.fault(at("measure", i), "is %q, want one of %s", name, strings.Join(MeasureNames(), ", "))
		}
		e.Measures = append(e.Measures, name)
	}
	if len(e.Measures) == 0 {
		e.Measures = []string{"goal", "whole", "worst_window", "worst_class", "waste", "tries", "p99"}
	}
	return e, r.err()
}

func (e *Experiment) variants(r *reader, o *fastjson.Value) {
	for i, v := range r.list("variants", o.Get("variants"), maxVariants) {
		path := at("variants", i)
		v = r.object(path, v, "name", "policy", "limit", "queue", "times", "timeout_ms", "day")
		if v == nil {
			continue
		}
		p := NewPolicy(PolicyNames[r.named(v, path, "policy", 0, PolicyNames)])
		p.Limit, p.CoDelFactor = r.figure(v, path, "limit", p.Limit, 1, 1e6), r.figure(v, path, "times", p.CoDelFactor, 0.01, 1e4)
		p.MaxQueued, p.AIMDTimeout = r.count(v, path, "queue", p.MaxQueued, 0, 1e6), r.figure(v, path, "timeout_ms", p.AIMDTimeout, 1, 3600e3)
		w := Variant{Name: r.text(v, path, "name", p.Name), Policy: p, patch: v.Get("day")}
		if w.patch != nil {
			r.day(e.merged(w.patch), e.FirstSeed)
		}
		if slices.ContainsFunc(e.Variants, func(x Variant) bool { return x.Name == w.Name }) {
			r.fault(path+".name", "is %q for the second time", w.Name)
		}
		e.Variants = append(e.Variants, w)
	}
	if len(e.Variants) == 0 {
		e.Variants = []Variant{{Name: "module", Policy: NewPolicy("module")}}
	}
}

func (e *Experiment) sweep(r *reader, s *fastjson.Value) {
	e.Sweep.Key = r.text(s, "sweep", "key", "")
	for i, v := range r.list("sweep.values", s.Get("values"), maxSweep) {
		e.Sweep.Values = append(e.Sweep.Values, r.number(at("sweep.values", i), v, -1e9, 1e9))
	}
	if len(e.Sweep.Values) == 0 {
		e.Sweep.Values = Steps(r.figure(s, "sweep", "from", 0, -1e9, 1e9), r.figure(s, "sweep", "to", 1, -1e9, 1e9), r.count(s, "sweep", "steps", 5, 2, maxSweep))
	}
	if err := e.check(); err != nil {
		r.faults = append(r.faults, err)
	}
}

// SetSweep lets a figure of the day take some values, in place of what the file says.
func (e *Experiment) SetSweep(s Sweep) error {
	if len(s.Values) == 0 || len(s.Values) > maxSweep {
		return fmt.Errorf("experiment: sweep has %d values, want 1 to %d", len(s.Values), maxSweep)
	}
	e.Sweep = s
	return e.check()
}

// check tells whether the sweep can be played.
func (e *Experiment) check() error {
	for _, v := range e.Sweep.Values {
		for i := range e.Variants {
			if _, err := e.Day(i, v, e.FirstSeed, nil); err != nil {
				return fmt.Errorf("experiment: sweep of %q at %v: %w", e.Sweep.Key, v, err)
			}
		}
	}
	return nil
}

// Steps returns so many values, evenly from one to another.
func Steps(from, to float64, n int) (out []float64) {
	for i := range n {
		out = append(out, math.Round(1e9*vtime.Range{Low: from, High: to}.At(float64(i)/float64(max(1, n-1))))/1e9)
	}
	return out
}

// merged returns the day with the keys of a patch in place of its own.
func (e *Experiment) merged(patch *fastjson.Value) *fastjson.Value {
	out := fastjson.MustParseBytes(e.day.MarshalTo(nil))
	if patch != nil {
		patch.GetObject().Visit(func(key []byte, v *fastjson.Value) { out.Set(string(key), v) })
	}
	return out
}

// Day draws the day of a variant for a seed, at a value of the sweep. Place says where in its range each figure is, 0 to 1;
// nil draws it by the seed.
func (e *Experiment) Day(variant int, swept float64, seed vtime.Seed, place func(path string) float64) (fleet.Day, error) {
	v := e.merged(e.Variants[variant].patch)
	if e.Sweep.Key != "" {
		if err := set(v, e.Sweep.Key, swept); err != nil {
			return fleet.Day{}, err
		}
	}
	if place == nil {
		place = func(path string) float64 { return seed.Split("figure "+path, 0).Uniform() }
	}
	r := &reader{draw: place}
	d := r.day(v, seed)
	return d, r.err()
}

// Dimensions returns the figures of the day that are drawn.
func (e *Experiment) Dimensions() []Dimension {
	r := &reader{draw: func(string) float64 { return 0.5 }}
	r.day(e.day, e.FirstSeed)
	return r.dims
}

// set puts a figure at a path of a day: troubles.0.share.
func set(v *fastjson.Value, path string, to float64) error {
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
		return fmt.Errorf("%s is an element and no figure", path)
	}
	v.Set(keys[len(keys)-1], a.NewNumberFloat64(to))
	return nil
}

func uintText(n uint64) string { return strconv.FormatUint(n, 10) }

// SetPolicies puts policies with their usual figures in place of the variants.
func (e *Experiment) SetPolicies(policies []string) error {
	var all []Variant
	for _, p := range policies {
		if !slices.Contains(PolicyNames, p) {
			return fmt.Errorf("experiment: policy %q is none of %s", p, strings.Join(PolicyNames, ", "))
		}
		all = append(all, Variant{Name: p, Policy: NewPolicy(p)})
	}
	e.Variants = all
	return nil
}

// MatchVariants makes the variants those of results, by their names: the file's own, or policies in their place.
func (e *Experiment) MatchVariants(names []string) error {
	if slices.EqualFunc(e.Variants, names, func(v Variant, n string) bool { return v.Name == n }) {
		return nil
	}
	return e.SetPolicies(names)
}
