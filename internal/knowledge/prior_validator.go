package knowledge

import (
	"math"
	"slices"

	"whinrudder"
)

// PriorValidator compares a prior with what the node learns from its own runs. A class whose own runs contradict the
// prior loses it at once, and a class that the node already knows as well itself needs none. The zero PriorValidator
// and a nil one belong to a node without a prior.
type PriorValidator struct {
	prior     Prior
	expiresAt []float64 // per class, when its prior reaches the maximum age
	active    bool      // some class still has a prior that own runs don't outweigh
}

// NewPriorValidator returns a validator for a prior that the node receives at time now, when its own knowledge is own.
// It also returns the knowledge that the decision module must adopt, and false if nothing of the prior is of use: then
// the module must not adopt anything.
func NewPriorValidator(now float64, p Prior,
	own whinrudder.Knowledge) (*PriorValidator, whinrudder.Knowledge, []LogEntry, bool) {
	v := &PriorValidator{prior: p, active: true}
	v.prior.Classes = slices.Clone(p.Classes)
	var logEntries []LogEntry
	for i := range v.prior.Classes {
		c := &v.prior.Classes[i]
		v.expiresAt = append(v.expiresAt, now+p.Trust.MaxAge-c.Cost.Age)
		if i < len(own.Classes) && c.Cost.N > 0 && own.Classes[i].Cost.N >= c.Cost.N {
			logEntries = append(logEntries, LogEntry{"enough", []any{"class", p.ClassNames[i], "own",
				own.Classes[i].Cost.N, "prior", math.Round(10*c.Cost.N) / 10}})
			c.Cost = whinrudder.CostModel{}
		}
	}
	if own.Limit.N >= v.prior.Limit.N {
		v.prior.Limit = whinrudder.Estimate{}
	}
	checkEntries, _, _ := v.dropContradicted(own)
	logEntries = append(logEntries, checkEntries...)
	if v.prior.Empty() {
		v.active = false
		return v, whinrudder.Knowledge{}, logEntries, false
	}
	return v, v.prior.Knowledge, logEntries, true
}

// DropClass drops the prior of the class with an index, because the index now belongs to another class.
func (v *PriorValidator) DropClass(index int) {
	if v != nil && index < len(v.prior.Classes) {
		v.prior.Classes[index] = whinrudder.ClassKnowledge{}
	}
}

// Recheck compares the prior with the node's own knowledge at time now, and drops the prior of a class that has reached
// the maximum age. If the prior has changed, it returns the knowledge that the decision module must adopt instead, and
// true.
func (v *PriorValidator) Recheck(now float64, own whinrudder.Knowledge) (whinrudder.Knowledge, []LogEntry, bool) {
	if !v.active {
		return whinrudder.Knowledge{}, nil, false
	}
	expired := false
	for i := range v.prior.Classes {
		if c := &v.prior.Classes[i].Cost; c.N > 0 && now >= v.expiresAt[i] {
			*c, expired = whinrudder.CostModel{}, true
		}
	}
	logEntries, changed, left := v.dropContradicted(own)
	changed = changed || expired
	// The module adopts the limit only once; after that its own renewals change it.
	v.prior.Limit = whinrudder.Estimate{}
	if !left {
		v.active = false
	}
	return v.prior.Knowledge, logEntries, changed
}

// Active reports whether any part of the prior still has to be checked.
func (v *PriorValidator) Active() bool { return v != nil && v.active }

// dropContradicted drops the prior of each class that own runs contradict. It returns whether any was dropped, and
// whether any is left that own runs don't outweigh yet. Costs are compared relative to the median ratio of own cost to
// prior cost: that ratio is the speed of this machine, and contradicts the prior only beyond MaxSpeedRatio.
func (v *PriorValidator) dropContradicted(own whinrudder.Knowledge) (logEntries []LogEntry, changed, left bool) {
	var ratios []float64
	ratio := func(i int) float64 {
		if i >= len(own.Classes) || v.prior.Classes[i].Cost.N <= 0 || own.Classes[i].Cost.N < v.prior.Trust.MinOwnRuns {
			return 0
		}
		return own.Classes[i].Cost.Time / v.prior.costAt(i, own.Classes[i].Cost.Work)
	}
	for i := range v.prior.Classes {
		if r := ratio(i); r > 0 {
			ratios = append(ratios, r)
		}
	}
	scale := median(ratios)
	drop := func(i int, factor float64) {
		logEntries = append(logEntries, LogEntry{"distrusted", []any{"class", v.prior.ClassNames[i], "factor",
			math.Round(100*factor) / 100, "own", own.Classes[i].Cost.N}})
		v.prior.Classes[i].Cost = whinrudder.CostModel{}
		changed = true
	}
	for i := range v.prior.Classes {
		r := ratio(i)
		if r == 0 {
			continue
		}
		limit := v.prior.Trust.maxDeviation(own.Classes[i].Cost.N)
		switch {
		case exceeds(scale, v.prior.Trust.MaxSpeedRatio):
			drop(i, r)
		case len(ratios) == 2 && exceeds(ratios[0]/ratios[1], limit):
			drop(i, ratios[0]/ratios[1]) // one of the two is wrong, and nothing shows which
		case exceeds(r/scale, limit):
			drop(i, r/scale)
		}
	}
	for i, c := range v.prior.Classes {
		left = left || c.Cost.N > 0 && (i >= len(own.Classes) || own.Classes[i].Cost.N < 4*c.Cost.N)
	}
	return logEntries, changed, left
}

// costAt returns the prior's cost of a class at a hinted work: the linear fit of the decision module without its bias
// towards proportionality.
func (p Prior) costAt(i int, work float64) float64 {
	f := p.Classes[i].Cost
	variance := f.WorkWork - f.Work*f.Work
	if work <= 0 || variance <= 0 {
		return f.Time
	}
	return math.Max(MinCostMs, f.Time+(f.WorkTime-f.Work*f.Time)/variance*(work-f.Work))
}

// maxDeviation returns the factor by which the mean of a number of own runs may differ from the prior. It falls as the
// number grows, because the mean of long-tailed costs converges.
func (t TrustParams) maxDeviation(runs float64) float64 {
	return math.Pow(t.ContradictFactor, 1+1/runs)
}

// exceeds reports whether a factor or its inverse is above limit. It is true for NaN.
func exceeds(factor, limit float64) bool { return !(factor <= limit && factor >= 1/limit) }

// median returns the lower median, or 1 if there are no values.
func median(v []float64) float64 {
	if len(v) == 0 {
		return 1
	}
	s := slices.Clone(v)
	slices.Sort(s)
	return s[(len(s)-1)/2]
}
