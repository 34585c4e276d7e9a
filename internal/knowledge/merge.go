package knowledge

import (
	"math"
	"slices"
	"strings"

	"whinrudder"
)

// TrustParams holds the parameters by which knowledge of other nodes is weighted and checked. Ages are in milliseconds.
type TrustParams struct {
	HalfLife         float64 // age at which the weight of an estimate is half of that of a fresh one
	MaxAge           float64 // age from which an estimate has no weight
	MaxRunWeight     float64 // upper bound of a class's prior weight, in own runs of the class
	HalfWeightRuns   float64 // observations at the donor that earn half of the maximum weight
	MaxRenewalWeight float64 // upper bound of the weight of an estimate without class, in own renewals of the limit
	AgreeFactor      float64 // values within this factor of each other agree
	ContradictFactor float64 // a prior that deviates from own runs by more than this factor is dropped
	MinOwnRuns       float64 // own runs of a class from which its prior is checked against them
	MaxSpeedRatio    float64 // a larger difference in speed between two machines is taken for an error
}

// DefaultTrustParams holds the parameters that apply unless the operator sets others. AgreeFactor covers the noise of
// two donors' means of long-tailed costs (a coefficient of variation of 0.7 over 20 runs gives 0.16), ContradictFactor
// that of the first own runs.
var DefaultTrustParams = TrustParams{HalfLife: 180e3, MaxAge: 900e3, MaxRunWeight: 15, HalfWeightRuns: 20,
	MaxRenewalWeight: 4, AgreeFactor: 1.6, ContradictFactor: 2.2, MinOwnRuns: 1, MaxSpeedRatio: 12}

// weight returns the weight of an estimate of an age: 1 when it is fresh, with exponential decay, and 0 from MaxAge on.
func (t TrustParams) weight(age float64) float64 {
	if !(age >= 0 && age < t.MaxAge) {
		return 0
	}
	return math.Exp2(-age / t.HalfLife)
}

// runWeight returns the weight of a cost model, in own runs.
func (t TrustParams) runWeight(c whinrudder.CostModel) float64 {
	return t.MaxRunWeight * t.weight(c.Age) * c.N / (c.N + t.HalfWeightRuns)
}

// renewalWeight returns the weight of an estimate without class, in own renewals of the limit.
func (t TrustParams) renewalWeight(e whinrudder.Estimate) float64 {
	return t.MaxRenewalWeight * t.weight(e.Age) * e.N / (e.N + t.HalfWeightRuns)
}

// LogEntry is an event for the operator's log.
type LogEntry struct {
	Code    string
	Details []any // names and values alternately
}

// Pairs returns the code and the details as names and values alternately.
func (r LogEntry) Pairs() []any { return append([]any{"code", r.Code}, r.Details...) }

// Prior is the merged knowledge of several donors for one node.
type Prior struct {
	whinrudder.Knowledge          // classes in the node's own order; N is the weight of an estimate
	ClassNames           []string // in the same order
	Donors               []string // names of the nodes whose reports were merged
	Trust                TrustParams
}

// ForClasses returns the prior without what it holds of classes whose index has another name by now. Indices beyond the names
// stay as they are.
func (p Prior) ForClasses(names []string) Prior {
	p.Classes = slices.Clone(p.Classes)
	for i := range min(len(names), len(p.ClassNames), len(p.Classes)) {
		if names[i] != p.ClassNames[i] {
			p.Classes[i] = whinrudder.ClassKnowledge{}
		}
	}
	return p
}

// Empty reports whether the prior holds no class, limit or call latency that has weight.
func (p Prior) Empty() bool {
	for _, c := range p.Classes {
		if c.Cost.N > 0 || len(c.Waits) > 0 {
			return false
		}
	}
	return p.Limit.N == 0 && p.BaseCallLatency.N == 0
}

// Recipient describes the node that a prior is made for.
type Recipient struct {
	ClassNames []string // in the order of Settings.Classes
	Settings   whinrudder.Settings
}

// Merge makes one prior from reports that have passed Check. Every field is a weighted median in which none of three or
// more donors has half of the weight, so that a single wrong donor can't move it out of the range of the others. If
// there are only two donors and they contradict each other in a field, the prior lacks that field.
func Merge(t TrustParams, recipient Recipient, reports []Report) (Prior, []LogEntry) {
	reports = slices.Clone(reports)
	slices.SortStableFunc(reports, func(a, b Report) int { return strings.Compare(a.Node, b.Node) })
	m := merger{trust: t, recipient: recipient, prior: Prior{ClassNames: recipient.ClassNames, Trust: t}}
	m.prior.Classes = make([]whinrudder.ClassKnowledge, len(recipient.ClassNames))
	for _, r := range reports {
		m.prior.Donors = append(m.prior.Donors, r.Node)
	}
	m.costs(reports)
	m.prior.Limit = m.estimate("limit", reports, func(r Report) whinrudder.Estimate { return r.Limit })
	m.prior.BaseCallLatency = m.estimate("call_base", reports,
		func(r Report) whinrudder.Estimate { return r.BaseCallLatency })
	m.waits(reports)
	m.shares(reports)
	return m.prior, m.logEntries
}

// merger collects the result of Merge.
type merger struct {
	trust      TrustParams
	recipient  Recipient
	prior      Prior
	logEntries []LogEntry
}

func (m *merger) log(code string, details ...any) {
	m.logEntries = append(m.logEntries, LogEntry{code, details})
}

// vote is one donor's value of a field.
type vote struct {
	value  float64
	weight float64
	donor  int // index of the donor in the reports
}

// capWeights returns three or more votes, with each weight capped below half of the total.
func capWeights(votes []vote) []vote {
	const maxShare = 0.45
	votes = slices.Clone(votes)
	for range 200 {
		changed := false
		for i := range votes {
			rest := 0.0
			for j := range votes {
				if j != i {
					rest += votes[j].weight
				}
			}
			if limit := rest * maxShare / (1 - maxShare); votes[i].weight > limit*(1+1e-9) {
				votes[i].weight, changed = limit, true
			}
		}
		if !changed {
			break
		}
	}
	return votes
}

// weightedMedian returns the vote at the weighted median, and the share of the weight that agrees with it within
// agreeFactor. Values are positive. It returns false if there is no vote, or if there are two that contradict each
// other.
func weightedMedian(votes []vote, agreeFactor float64) (v vote, share float64, ok bool) {
	votes = slices.DeleteFunc(slices.Clone(votes), func(v vote) bool { return v.weight <= 0 })
	agree := func(a, b float64) bool { return a <= b*agreeFactor && b <= a*agreeFactor }
	switch len(votes) {
	case 0:
		return vote{}, 0, false
	case 1:
		return votes[0], 1, true
	case 2:
		if !agree(votes[0].value, votes[1].value) {
			return vote{}, 0, false
		}
	default:
		votes = capWeights(votes)
	}
	slices.SortFunc(votes, func(a, b vote) int {
		if a.value < b.value || a.value == b.value && a.donor < b.donor {
			return -1
		}
		return 1
	})
	total, sum := 0.0, 0.0
	for _, v := range votes {
		total += v.weight
	}
	for _, v = range votes {
		if sum += v.weight; sum >= total/2 {
			break
		}
	}
	for _, o := range votes {
		if agree(o.value, v.value) {
			share += o.weight / total
		}
	}
	return v, share, true
}

// commonClasses returns the classes whose costs allow a comparison of the donors, and the indices of the donors that
// know all of them. These are the classes that more than half of the donors with any costs know.
func (m *merger) commonClasses(reports []Report) (common []string, eligible []int) {
	count, donors := map[string]int{}, 0
	known := func(r Report) map[string]whinrudder.CostModel {
		costs := map[string]whinrudder.CostModel{}
		for _, c := range r.Classes {
			if slices.Contains(m.recipient.ClassNames, c.Name) && m.trust.runWeight(c.Cost) > 0 {
				costs[c.Name] = c.Cost
			}
		}
		return costs
	}
	for _, r := range reports {
		costs := known(r)
		if len(costs) > 0 {
			donors++
		}
		for n := range costs {
			count[n]++
		}
	}
	for _, n := range m.recipient.ClassNames {
		if 2*count[n] > donors {
			common = append(common, n)
		}
	}
	for i, r := range reports {
		costs := known(r)
		if len(common) > 0 && !slices.ContainsFunc(common, func(n string) bool { return costs[n].N == 0 }) {
			eligible = append(eligible, i)
		} else if len(costs) > 0 {
			m.log("other-classes", "donor", r.Node)
		}
	}
	return common, eligible
}

// costs merges the costs of the classes. A donor's scale is the median of its costs and depends on its machine; the
// ratio of each class's cost to that scale depends on the traffic. Scale and ratios are merged separately, so that a
// donor on another machine model is as useful for the ratios as any other.
func (m *merger) costs(reports []Report) {
	common, eligible := m.commonClasses(reports)
	scales := map[int]float64{}
	var votes []vote
	for _, i := range eligible {
		var times []float64
		weight := math.Inf(1)
		for _, c := range reports[i].Classes {
			if slices.Contains(common, c.Name) {
				times = append(times, c.Cost.Time)
				weight = min(weight, m.trust.runWeight(c.Cost))
			}
		}
		slices.Sort(times)
		scales[i] = times[(len(times)-1)/2]
		votes = append(votes, vote{scales[i], weight, i})
	}
	// Machines of different models differ in speed, so the scales contradict each other only beyond MaxSpeedRatio.
	scale, _, ok := weightedMedian(votes, m.trust.MaxSpeedRatio)
	if !ok {
		if len(votes) > 0 {
			m.log("contradiction", "field", "scale", "donors", donorNames(reports, votes))
		}
		return
	}
	for index, n := range m.recipient.ClassNames {
		var votes []vote
		for _, i := range eligible {
			for _, c := range reports[i].Classes {
				if c.Name == n {
					votes = append(votes, vote{c.Cost.Time / scales[i], m.trust.runWeight(c.Cost), i})
				}
			}
		}
		v, share, ok := weightedMedian(votes, m.trust.AgreeFactor)
		if !ok {
			if len(votes) > 0 {
				m.log("contradiction", "field", "cost", "class", n, "donors", donorNames(reports, votes))
			}
			continue
		}
		maxWeight := 0.0
		for _, o := range votes {
			maxWeight = max(maxWeight, o.weight)
		}
		c := reports[v.donor].Classes[slices.IndexFunc(reports[v.donor].Classes,
			func(c Class) bool { return c.Name == n })]
		time := v.value * scale.value
		m.prior.Classes[index].Cost = whinrudder.CostModel{N: maxWeight * share, Age: c.Cost.Age, Work: c.Cost.Work,
			Time: time, WorkWork: c.Cost.WorkWork, WorkTime: c.Cost.WorkTime * time / c.Cost.Time}
	}
}

// estimate merges an estimate that belongs to no class. The name is for the log.
func (m *merger) estimate(name string, reports []Report,
	get func(Report) whinrudder.Estimate) (merged whinrudder.Estimate) {
	var votes []vote
	for i, r := range reports {
		if w := m.trust.renewalWeight(get(r)); w > 0 {
			votes = append(votes, vote{get(r).Value, w, i})
		}
	}
	v, share, ok := weightedMedian(votes, m.trust.AgreeFactor)
	if !ok {
		if len(votes) > 0 {
			m.log("contradiction", "field", name, "donors", donorNames(reports, votes))
		}
		return merged
	}
	for _, o := range votes {
		merged.N = max(merged.N, o.weight*share)
	}
	merged.Value, merged.Age = v.value, get(reports[v.donor]).Age
	return merged
}

// Waits that several callers share. The decision module applies the same rule.
const (
	waitToleranceRatio = 0.01 // part of the class's deadline within which two waits count as the same
	minSimilarWaits    = 2    // other waits like it that make a wait a recurring one
)

// waits merges the waits that recur at more than half of the donors, by weight.
func (m *merger) waits(reports []Report) {
	for index, n := range m.recipient.ClassNames {
		tolerance := waitToleranceRatio * m.recipient.Settings.Classes[index].Deadline
		var votes []vote
		recurring := map[int][]float64{}
		for i, r := range reports {
			for _, c := range r.Classes {
				if w := m.trust.weight(c.Cost.Age); c.Name == n && w > 0 {
					votes = append(votes, vote{1, w, i})
					recurring[i] = recurringWaits(c.Waits, tolerance)
				}
			}
		}
		if len(votes) > 2 {
			votes = capWeights(votes)
		}
		total := 0.0
		for _, v := range votes {
			total += v.weight
		}
		var merged []float64
		for _, v := range votes {
			for _, w := range recurring[v.donor] {
				sum := 0.0
				for _, o := range votes {
					if containsNear(recurring[o.donor], w, tolerance) {
						sum += o.weight
					}
				}
				if 2*sum > total && !containsNear(merged, w, tolerance) {
					merged = append(merged, w)
				}
			}
		}
		m.prior.Classes[index].Waits = merged[:min(len(merged), MaxWaits/minSimilarWaits)]
	}
}

func containsNear(in []float64, w, tolerance float64) bool {
	return slices.ContainsFunc(in, func(o float64) bool { return math.Abs(o-w) <= tolerance })
}

// recurringWaits returns one wait of each group of similar waits that is large enough.
func recurringWaits(waits []float64, tolerance float64) (out []float64) {
	for i, w := range waits {
		similar := 0
		for j, o := range waits {
			if i != j && math.Abs(o-w) <= tolerance {
				similar++
			}
		}
		if similar >= minSimilarWaits && !containsNear(out, w, tolerance) {
			out = append(out, w)
		}
	}
	return out
}

// shares merges the shares of the classes in the traffic, each as a part of its donor's total.
func (m *merger) shares(reports []Report) {
	for index, n := range m.recipient.ClassNames {
		var votes []vote
		for i, r := range reports {
			total := 0.0
			for _, c := range r.Classes {
				total += c.Share
			}
			for _, c := range r.Classes {
				if w := m.trust.weight(c.Cost.Age); c.Name == n && c.Share > 0 {
					votes = append(votes, vote{c.Share / total, w, i})
				}
			}
		}
		if v, _, ok := weightedMedian(votes, math.Inf(1)); ok {
			m.prior.Classes[index].Share = v.value
		}
	}
}

func donorNames(reports []Report, votes []vote) string {
	var out []string
	for _, v := range votes {
		out = append(out, reports[v.donor].Node)
	}
	return strings.Join(out, ",")
}
