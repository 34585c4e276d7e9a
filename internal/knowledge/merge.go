package knowledge

import (
	"math"
	"slices"
	"strings"

	"whinrudder"
)

// TrustParams says how much is given to what others say.
type TrustParams struct {
	HalfLife         float64 // weight halves with each of these of age
	MaxAge           float64 // a fact of this age has no weight
	MaxRunWeight     float64 // own runs of a class that a fresh and well founded prior counts for, at most
	HalfWeightRuns   float64 // runs at the donor at which half of that is given
	MaxRenewalWeight float64 // own renewals of the limit that a fresh prior counts for, at most
	AgreeFactor      float64 // figures within this factor of each other agree
	ContradictFactor float64 // a prior that own figures contradict by more than this factor is dropped
	MinOwnRuns       float64 // own runs of a class after which it may be judged
	MaxSpeedRatio    float64 // a factor of speed between two machines beyond which a donor is no measure at all
}

// DefaultTrustParams is what holds where an operator says nothing else. AgreeFactor covers the noise of two donors'
// means over long tails (a coefficient of variation of 0.7 over 20 runs gives 0.16); ContradictFactor that of the first
// own runs.
var DefaultTrustParams = TrustParams{HalfLife: 180e3, MaxAge: 900e3, MaxRunWeight: 15, HalfWeightRuns: 20,
	MaxRenewalWeight: 4, AgreeFactor: 1.6, ContradictFactor: 2.2, MinOwnRuns: 1, MaxSpeedRatio: 12}

// weight is what is left of a fact at an age: 1 when it is fresh, 0 from the end on.
func (t TrustParams) weight(age float64) float64 {
	if !(age >= 0 && age < t.MaxAge) {
		return 0
	}
	return math.Exp2(-age / t.HalfLife)
}

// runs is what a fit counts for in own runs.
func (t TrustParams) runs(f whinrudder.CostModel) float64 {
	return t.MaxRunWeight * t.weight(f.Age) * f.N / (f.N + t.HalfWeightRuns)
}

// rules is what a figure of the limit counts for in own renewals.
func (t TrustParams) rules(f whinrudder.Estimate) float64 {
	return t.MaxRenewalWeight * t.weight(f.Age) * f.N / (f.N + t.HalfWeightRuns)
}

// LogEntry is something that an operator should hear of: a code for the log, then names and values in turn.
type LogEntry struct {
	Code    string
	Details []any
}

// Pairs returns the code and the details as names and values in turn.
func (r LogEntry) Pairs() []any { return append([]any{"code", r.Code}, r.Details...) }

// Prior is what several donors say together, for one node.
type Prior struct {
	whinrudder.Knowledge          // classes in the node's own order; N is what each counts for
	ClassNames           []string // of the classes
	Donors               []string
	Trust                TrustParams
}

// Empty tells that nothing in the prior has weight.
func (p Prior) Empty() bool {
	for _, c := range p.Classes {
		if c.Cost.N > 0 || len(c.Waits) > 0 {
			return false
		}
	}
	return p.Limit.N == 0 && p.BaseCallLatency.N == 0
}

// Recipient is what a node must know of itself to take a prior.
type Recipient struct {
	ClassNames []string
	Settings   whinrudder.Settings
}

// Merge makes one prior of reports that have passed Check. Every field is a weighted median in which no donor has half
// of the weight, so that one that is wrong does not move it beyond what the others span; where there are two that
// contradict each other, neither is believed in that field.
func Merge(t TrustParams, need Recipient, reports []Report) (Prior, []LogEntry) {
	reports = slices.Clone(reports)
	slices.SortStableFunc(reports, func(a, b Report) int { return strings.Compare(a.Node, b.Node) })
	m := merger{trust: t, need: need, prior: Prior{ClassNames: need.ClassNames, Trust: t}}
	m.prior.Classes = make([]whinrudder.ClassKnowledge, len(need.ClassNames))
	for _, r := range reports {
		m.prior.Donors = append(m.prior.Donors, r.Node)
	}
	m.costs(reports)
	m.prior.Limit = m.figure("limit", reports, func(r Report) whinrudder.Estimate { return r.Limit })
	m.prior.BaseCallLatency = m.figure("call_base", reports, func(r Report) whinrudder.Estimate { return r.BaseCallLatency })
	m.waits(reports)
	m.shares(reports)
	return m.prior, m.remarks
}

type merger struct {
	trust   TrustParams
	need    Recipient
	prior   Prior
	remarks []LogEntry
}

func (m *merger) remark(code string, details ...any) {
	m.remarks = append(m.remarks, LogEntry{code, details})
}

// vote is what one donor says of a field.
type vote struct {
	value  float64
	weight float64
	from   int // place of the donor
}

// cap bounds the weight of each of three or more votes to less than half of the whole.
func capped(votes []vote) []vote {
	const most = 0.45
	votes = slices.Clone(votes)
	for range 200 {
		moved := false
		for i := range votes {
			rest := 0.0
			for j := range votes {
				if j != i {
					rest += votes[j].weight
				}
			}
			if top := rest * most / (1 - most); votes[i].weight > top*(1+1e-9) {
				votes[i].weight, moved = top, true
			}
		}
		if !moved {
			break
		}
	}
	return votes
}

// decide returns the vote that stands for all, and the share of the weight that agrees with it within a factor.
// Values are positive. It returns false if two votes contradict each other, or if there is none.
func decide(votes []vote, agree float64) (v vote, share float64, ok bool) {
	votes = slices.DeleteFunc(slices.Clone(votes), func(v vote) bool { return v.weight <= 0 })
	near := func(a, b float64) bool { return a <= b*agree && b <= a*agree }
	switch len(votes) {
	case 0:
		return vote{}, 0, false
	case 1:
		return votes[0], 1, true
	case 2:
		if !near(votes[0].value, votes[1].value) {
			return vote{}, 0, false
		}
	default:
		votes = capped(votes)
	}
	slices.SortFunc(votes, func(a, b vote) int {
		if a.value < b.value || a.value == b.value && a.from < b.from {
			return -1
		}
		return 1
	})
	whole, sum := 0.0, 0.0
	for _, v := range votes {
		whole += v.weight
	}
	for _, v = range votes {
		if sum += v.weight; sum >= whole/2 {
			break
		}
	}
	for _, o := range votes {
		if near(o.value, v.value) {
			share += o.weight / whole
		}
	}
	return v, share, true
}

// table finds what costs the donors can be compared by: the classes that most of those with any costs know, and the
// donors that know all of these.
func (m *merger) table(reports []Report) (common []string, believed []int) {
	count, with := map[string]int{}, 0
	known := func(r Report) map[string]whinrudder.CostModel {
		fits := map[string]whinrudder.CostModel{}
		for _, c := range r.Classes {
			if slices.Contains(m.need.ClassNames, c.Name) && m.trust.runs(c.Cost) > 0 {
				fits[c.Name] = c.Cost
			}
		}
		return fits
	}
	for _, r := range reports {
		fits := known(r)
		if len(fits) > 0 {
			with++
		}
		for n := range fits {
			count[n]++
		}
	}
	for _, n := range m.need.ClassNames {
		if 2*count[n] > with {
			common = append(common, n)
		}
	}
	for i, r := range reports {
		fits := known(r)
		if len(common) > 0 && !slices.ContainsFunc(common, func(n string) bool { return fits[n].N == 0 }) {
			believed = append(believed, i)
		} else if len(fits) > 0 {
			m.remark("other-classes", "donor", r.Node)
		}
	}
	return common, believed
}

// costs merges the costs of the classes. A donor's scale is the median of its costs; the relation of its classes to
// that scale is what belongs to the traffic. Scale and relations are decided apart, so that a donor on the other
// machine model is as good a witness of the relations as any.
func (m *merger) costs(reports []Report) {
	common, believed := m.table(reports)
	scales := map[int]float64{}
	var votes []vote
	for _, i := range believed {
		var times []float64
		weight := math.Inf(1)
		for _, c := range reports[i].Classes {
			if slices.Contains(common, c.Name) {
				times = append(times, c.Cost.Time)
				weight = min(weight, m.trust.runs(c.Cost))
			}
		}
		slices.Sort(times)
		scales[i] = times[(len(times)-1)/2]
		votes = append(votes, vote{scales[i], weight, i})
	}
	// Two machines may differ by their models: only a difference that no two models have is a contradiction.
	scale, _, ok := decide(votes, m.trust.MaxSpeedRatio)
	if !ok {
		if len(votes) > 0 {
			m.remark("contradiction", "field", "scale", "donors", names(reports, votes))
		}
		return
	}
	for at, n := range m.need.ClassNames {
		var votes []vote
		for _, i := range believed {
			for _, c := range reports[i].Classes {
				if c.Name == n {
					votes = append(votes, vote{c.Cost.Time / scales[i], m.trust.runs(c.Cost), i})
				}
			}
		}
		v, share, ok := decide(votes, m.trust.AgreeFactor)
		if !ok {
			if len(votes) > 0 {
				m.remark("contradiction", "field", "cost", "class", n, "donors", names(reports, votes))
			}
			continue
		}
		most := 0.0
		for _, o := range votes {
			most = max(most, o.weight)
		}
		c := reports[v.from].Classes[slices.IndexFunc(reports[v.from].Classes, func(c Class) bool { return c.Name == n })]
		time := v.value * scale.value
		m.prior.Classes[at].Cost = whinrudder.CostModel{N: most * share, Age: c.Cost.Age, Work: c.Cost.Work, Time: time,
			WorkWork: c.Cost.WorkWork, WorkTime: c.Cost.WorkTime * time / c.Cost.Time}
	}
}

// figure merges a figure that stands for itself.
func (m *merger) figure(name string, reports []Report, of func(Report) whinrudder.Estimate) (f whinrudder.Estimate) {
	var votes []vote
	for i, r := range reports {
		if w := m.trust.rules(of(r)); w > 0 {
			votes = append(votes, vote{of(r).Value, w, i})
		}
	}
	v, share, ok := decide(votes, m.trust.AgreeFactor)
	if !ok {
		if len(votes) > 0 {
			m.remark("contradiction", "field", name, "donors", names(reports, votes))
		}
		return f
	}
	for _, o := range votes {
		f.N = max(f.N, o.weight*share)
	}
	f.Value, f.Age = v.value, of(reports[v.from]).Age
	return f
}

// waitsAlike is the part of a class's deadline within which two waits are the same, and waitsUsual how many make one
// usual; both as in the module.
const (
	waitsAlike = 0.01
	waitsUsual = 2
)

// waits takes over the waits that are usual at more than half of the donors, by weight.
func (m *merger) waits(reports []Report) {
	for at, n := range m.need.ClassNames {
		near := waitsAlike * m.need.Settings.Classes[at].Deadline
		var votes []vote
		usual := map[int][]float64{}
		for i, r := range reports {
			for _, c := range r.Classes {
				if w := m.trust.weight(c.Cost.Age); c.Name == n && w > 0 {
					votes = append(votes, vote{1, w, i})
					usual[i] = usualOf(c.Waits, near)
				}
			}
		}
		if len(votes) > 2 {
			votes = capped(votes)
		}
		whole := 0.0
		for _, v := range votes {
			whole += v.weight
		}
		var taken []float64
		for _, v := range votes {
			for _, w := range usual[v.from] {
				sum := 0.0
				for _, o := range votes {
					if contains(usual[o.from], w, near) {
						sum += o.weight
					}
				}
				if 2*sum > whole && !contains(taken, w, near) {
					taken = append(taken, w)
				}
			}
		}
		m.prior.Classes[at].Waits = taken[:min(len(taken), MaxWaits/waitsUsual)]
	}
}

func contains(in []float64, w, near float64) bool {
	return slices.ContainsFunc(in, func(o float64) bool { return math.Abs(o-w) <= near })
}

// usualOf returns one of each group of waits that are alike and enough to be usual.
func usualOf(waits []float64, near float64) (out []float64) {
	for i, w := range waits {
		alike := 0
		for j, o := range waits {
			if i != j && math.Abs(o-w) <= near {
				alike++
			}
		}
		if alike >= waitsUsual && !contains(out, w, near) {
			out = append(out, w)
		}
	}
	return out
}

// shares merges the shares of the traffic, each as a part of the whole.
func (m *merger) shares(reports []Report) {
	for at, n := range m.need.ClassNames {
		var votes []vote
		for i, r := range reports {
			whole := 0.0
			for _, c := range r.Classes {
				whole += c.Share
			}
			for _, c := range r.Classes {
				if w := m.trust.weight(c.Cost.Age); c.Name == n && c.Share > 0 {
					votes = append(votes, vote{c.Share / whole, w, i})
				}
			}
		}
		if v, _, ok := decide(votes, math.Inf(1)); ok {
			m.prior.Classes[at].Share = v.value
		}
	}
}

func names(reports []Report, votes []vote) string {
	var out []string
	for _, v := range votes {
		out = append(out, reports[v.from].Node)
	}
	return strings.Join(out, ",")
}
