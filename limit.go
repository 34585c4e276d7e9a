// The concurrency limit, learned from the latency of the runs.

package whinrudder

import (
	"math"
)

// schedulePoll asks for a timer at the next reading of the gauges.
func (p *Policy) schedulePoll() {
	p.pollAt = p.now + limitPeriodMs/pollsPerPeriod
	p.emit(Wake{At: p.pollAt, Token: 1})
}

// onTimer reads the gauges and renews the limit when it is time. Only timers with token 1 are for the gauges.
func (p *Policy) onTimer(e Timer) {
	if e.Token != 1 {
		return
	}
	if late := p.now - p.pollAt; late > stallTicks*p.cfg.Tick {
		// A stall of the process inflates every latency that spans it, but does not mean overload.
		p.stalledMs += late
		p.serviceTime -= late * min(1, p.cores/max(1, float64(p.phaseCount[running])+p.otherRunnable))
	}
	if g := e.Gauges; g.CPU >= 0 {
		p.period.utilizationSum += g.CPU
		p.period.polls++
		p.otherRunnable += (g.Runnable - float64(p.phaseCount[running]) -
			p.otherRunnable) / pollsPerPeriod * 2
	}
	if p.now >= p.renewAt {
		p.renewLimit()
	}
	p.schedulePoll()
}

// renewLimit renews the concurrency limit and the statistics behind it, once a period. While cores are idle
// and the limit was reached, the limit grows. While they are busy it is multiplied by the ratio of base
// latency to latency, at most 1 and at least minGradient, and its square root is added as headroom; it then
// grows only if it was reached.
func (p *Policy) renewLimit() {
	p.renewAt = p.now + limitPeriodMs
	utilization := 1.0
	if p.period.polls > 0 {
		utilization = p.period.utilizationSum / p.period.polls
	}
	full := p.period.maxRunning >= math.Floor(p.limit)
	switch {
	case utilization < idleUtilization && full:
		p.limit *= idleGrowthFactor
	case utilization >= idleUtilization && p.period.latency > 0:
		gradient := min(1, max(minGradient, p.period.baseLatency/p.period.latency))
		next := p.limit*gradient + math.Sqrt(p.limit)
		if next < p.limit || full {
			p.limit = next
		}
	}
	if full || utilization >= idleUtilization && p.period.latency > 0 {
		p.renewals, p.renewedAt = p.renewals+1, p.now
	}
	p.limit = min(max(p.limit, p.cores), p.maxRunning())
	if utilization >= 0.5 {
		p.effectiveCores += (min(p.cores, p.period.coreTime/(limitPeriodMs*utilization)) -
			p.effectiveCores) * limitPeriodMs / effectiveCoresSpanMs
		p.effectiveCores = max(p.effectiveCores, p.cores/4)
	}
	// The slowdown is the core time of all runs over the base cost of those that finished. It rises also when
	// runs do not end at all.
	priorTime := 0.0
	for _, c := range p.classes {
		priorRuns := c.priorCost.N * c.priorCost.N / max(1, c.priorCost.N+c.cost.N)
		priorTime = max(priorTime, (slowdownPriorRuns+priorRuns)*c.predictCost(c.cost.X, p.priorScale()))
	}
	if priorTime > 0 {
		p.slowdown = min(max((p.recentCoreTime+priorTime)/(p.recentBaseTime+priorTime), 1.0/maxSlowdown),
			maxSlowdown)
	}
	slowdownDecay := math.Exp(-limitPeriodMs / slowdownSpanMs)
	p.recentCoreTime, p.recentBaseTime = p.recentCoreTime*slowdownDecay, p.recentBaseTime*slowdownDecay
	demandDecay := math.Exp(-limitPeriodMs / classShareSpanMs)
	for i := range p.classes {
		p.classes[i].demand *= demandDecay
	}
	if p.period.calls > 0 {
		gradient := min(1, max(minGradient, p.baseCallLatency*p.period.calls/p.period.callLatency))
		p.callLimit = p.callLimit*gradient + math.Sqrt(p.callLimit)
	}
	p.callLimit = min(max(1, p.callLimit), max(1, p.cfg.CallShare))
	p.utilization += (utilization - p.utilization) * limitPeriodMs / loadSpanMs
	p.offeredLoad += (p.period.offeredWork/limitPeriodMs/p.effectiveCores -
		p.offeredLoad) * limitPeriodMs / loadSpanMs
	p.period = period{}
	p.updateIdleTimeout()
}
