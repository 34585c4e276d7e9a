package knowledge

import (
	"math"
	"slices"

	"whinrudder"
)

// PriorValidator holds a prior against what the node finds itself. A class on which they disagree loses its prior at
// once, and one that the node knows as well by itself needs none. The zero PriorValidator is that of a node without a
// prior.
type PriorValidator struct {
	prior Prior
	ends  []float64 // of the classes: from then on their prior is too old
	open  bool
}

// NewPriorValidator takes up a prior at a time for a node that knows own by itself. It returns what the module is to
// adopt, and false if nothing of the prior is of use: then the module is to be left alone.
func NewPriorValidator(now float64, p Prior, own whinrudder.Knowledge) (*PriorValidator, whinrudder.Knowledge, []LogEntry, bool) {
	t := &PriorValidator{prior: p, open: true}
	t.prior.Classes = slices.Clone(p.Classes)
	var remarks []LogEntry
	for i := range t.prior.Classes {
		c := &t.prior.Classes[i]
		t.ends = append(t.ends, now+p.Trust.MaxAge-c.Cost.Age)
		if i < len(own.Classes) && c.Cost.N > 0 && own.Classes[i].Cost.N >= c.Cost.N {
			remarks = append(remarks, LogEntry{"enough", []any{"class", p.ClassNames[i], "own",
				own.Classes[i].Cost.N, "prior", math.Round(10*c.Cost.N) / 10}})
			c.Cost = whinrudder.CostModel{}
		}
	}
	if own.Limit.N >= t.prior.Limit.N {
		t.prior.Limit = whinrudder.Estimate{}
	}
	more, _, _ := t.judge(own)
	remarks = append(remarks, more...)
	if t.prior.Empty() {
		t.open = false
		return t, whinrudder.Knowledge{}, remarks, false
	}
	return t, t.prior.Knowledge, remarks, true
}

// DropClass gives up what the prior says of the class in a place, which is another class's now.
func (t *PriorValidator) DropClass(place int) {
	if t != nil && place < len(t.prior.Classes) {
		t.prior.Classes[place] = whinrudder.ClassKnowledge{}
	}
}

// Recheck looks at what the node knows by now. A prior that no own runs have replaced by its end is given up. If the
// prior has changed by it, it returns what the module is to adopt in its place and true.
func (t *PriorValidator) Recheck(now float64, own whinrudder.Knowledge) (whinrudder.Knowledge, []LogEntry, bool) {
	if !t.open {
		return whinrudder.Knowledge{}, nil, false
	}
	old := false
	for i := range t.prior.Classes {
		if c := &t.prior.Classes[i].Cost; c.N > 0 && now >= t.ends[i] {
			*c, old = whinrudder.CostModel{}, true
		}
	}
	remarks, changed, left := t.judge(own)
	changed = changed || old
	// A limit is given once: from then on the module's own renewals move it.
	t.prior.Limit = whinrudder.Estimate{}
	if !left {
		t.open = false
	}
	return t.prior.Knowledge, remarks, changed
}

// Active tells whether anything is left to be tried.
func (t *PriorValidator) Active() bool { return t != nil && t.open }

// judge drops the classes that own runs contradict, and tells whether any was dropped and whether any is left that
// own runs don't outweigh yet. Costs are compared after the scale that most classes agree on: the speed of this
// machine is no contradiction, unless no two machines can differ so much.
func (t *PriorValidator) judge(own whinrudder.Knowledge) (remarks []LogEntry, changed, left bool) {
	var ratios []float64
	ratio := func(i int) float64 {
		if i >= len(own.Classes) || t.prior.Classes[i].Cost.N <= 0 || own.Classes[i].Cost.N < t.prior.Trust.MinOwnRuns {
			return 0
		}
		return own.Classes[i].Cost.Time / t.prior.at(i, own.Classes[i].Cost.Work)
	}
	for i := range t.prior.Classes {
		if r := ratio(i); r > 0 {
			ratios = append(ratios, r)
		}
	}
	scale := median(ratios)
	drop := func(i int, factor float64) {
		remarks = append(remarks, LogEntry{"distrusted", []any{"class", t.prior.ClassNames[i], "factor",
			math.Round(100*factor) / 100, "own", own.Classes[i].Cost.N}})
		t.prior.Classes[i].Cost = whinrudder.CostModel{}
		changed = true
	}
	for i := range t.prior.Classes {
		r := ratio(i)
		if r == 0 {
			continue
		}
		most := t.prior.Trust.most(own.Classes[i].Cost.N)
		switch {
		case beyond(scale, t.prior.Trust.MaxSpeedRatio):
			drop(i, r)
		case len(ratios) == 2 && beyond(ratios[0]/ratios[1], most):
			drop(i, ratios[0]/ratios[1]) // two that contradict each other: neither can be told from the other
		case beyond(r/scale, most):
			drop(i, r/scale)
		}
	}
	for i, c := range t.prior.Classes {
		left = left || c.Cost.N > 0 && (i >= len(own.Classes) || own.Classes[i].Cost.N < 4*c.Cost.N)
	}
	return remarks, changed, left
}

// at is the prior's cost at a hinted work: the fit of the module without its pull.
func (p Prior) at(i int, work float64) float64 {
	f := p.Classes[i].Cost
	v := f.WorkWork - f.Work*f.Work
	if work <= 0 || v <= 0 {
		return f.Time
	}
	return math.Max(MinCostMs, f.Time+(f.WorkTime-f.Work*f.Time)/v*(work-f.Work))
}

// most is the factor by which so many own runs may lie off a prior: means of long tails settle as runs come.
func (t TrustParams) most(runs float64) float64 { return math.Pow(t.ContradictFactor, 1+1/runs) }

func beyond(factor, most float64) bool { return !(factor <= most && factor >= 1/most) }

// median returns the lower median, or 1 of nothing.
func median(v []float64) float64 {
	if len(v) == 0 {
		return 1
	}
	s := slices.Clone(v)
	slices.Sort(s)
	return s[(len(s)-1)/2]
}
