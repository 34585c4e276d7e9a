// What was learned by other servers, as a prior for this one.

package whinrudder

import (
	"whinrudder/internal/estimate"
)

// predictCost returns the expected core time of a request on this server when warm. The prior gives the
// relation between the classes; scale is the ratio of costs on this server to those in the prior, or 0 if it
// is unknown.
func (c *classStats) predictCost(work, scale float64) float64 {
	if c.priorCost.N <= 0 || scale <= 0 {
		return c.cost.Predict(work, proportionalRuns)
	}
	own, prior := c.cost.N*c.cost.Predict(work, proportionalRuns),
		c.priorCost.N*scale*c.priorCost.Predict(work, proportionalRuns)
	return (own + prior) / (c.cost.N + c.priorCost.N)
}

// Adopt takes over what other servers learned and replaces what was adopted before. Nothing of it counts as a
// measurement of this server. The costs weigh as much as N own runs and give the relation between classes;
// their scale comes from this server's first runs. The limit becomes a weighted mean, by the number of
// renewals, of the own limit and the adopted one, within the usual bounds. Shares, waits and the base latency
// of calls are used only as long as this server has none of its own.
func (p *Policy) Adopt(k Knowledge) {
	p.ownCoreTime, p.priorCoreTime, p.priorTrust = 0, 0, 0
	for i := range min(len(p.classes), len(k.Classes)) {
		stats, adopted := &p.classes[i], k.Classes[i]
		fit := adopted.Cost
		stats.priorCost = estimate.Regression{N: fit.N, X: fit.Work, Y: fit.Time, XX: fit.WorkWork,
			XY: fit.WorkTime}
		p.priorTrust = max(p.priorTrust, min(1, stats.priorCost.N/fullTrustRuns))
		if stats.demand == 0 {
			stats.demand = adopted.Share
		}
		for noOwn := stats.waitsSeen == stats.waitsAdopted; noOwn && len(adopted.Waits) > 0 &&
			stats.waitsSeen < waitWindow; stats.waitsAdopted = stats.waitsSeen {
			stats.waits[stats.waitsSeen] = adopted.Waits[stats.waitsSeen%len(adopted.Waits)]
			stats.waitsSeen++
		}
	}
	if k.Limit.N > 0 {
		p.limit += (k.Limit.Value*p.cores - p.limit) * k.Limit.N / (k.Limit.N + p.renewals)
		p.limit = min(max(p.limit, p.cores), p.maxRunning())
	}
	if k.BaseCallLatency.N > 0 && p.callLatency == 0 {
		p.callLatency, p.baseCallLatency = k.BaseCallLatency.Value, k.BaseCallLatency.Value
	}
}

// priorScale returns the ratio of the core time of runs on this server to what the prior predicts for them,
// or 0 before any run has ended.
func (p *Policy) priorScale() float64 { return p.ownCoreTime / max(p.priorCoreTime, 1e-9) }
