package whinrudder

import "slices"

// unexplainedReadings is the number of successive readings of the gauges that must all show runs which the
// policy does not know of. Requests that are being read and new connections show in one or two.
const unexplainedReadings = 4

// observedRunningRatio is the share of the survivable number of running requests that may be used, counting
// the runs that only the gauges show. Requests that are being read show there as well, so it is above
// maxRunningRatio.
const observedRunningRatio = 0.8

// observation is what the gauges showed last. It guards against runs that the policy does not know of,
// whatever their cause: starts or ends that got lost, an earlier process of this server, or another one
// beside it.
type observation struct {
	at          float64                      // time of the last reading
	count       int                          // readings in a row
	unexplained [unexplainedReadings]float64 // ring buffer: runnable work beyond the known runs
	memoryKB    float64                      // memory in use at the last reading
	startedKB   float64                      // memory that the starts since the reading before that one take
	recentKB    float64                      // the part of it since the last reading
}

// observe takes over a reading of the gauges.
func (p *Policy) observe(g Observed) {
	if g.CPU < 0 {
		return
	}
	o := &p.observed
	if p.now-o.at > limitPeriodMs {
		*o = observation{}
	}
	o.unexplained[o.count%unexplainedReadings] = g.Runnable - float64(p.startedCount()-g.NotStarted)
	o.at, o.count = p.now, o.count+1
	o.memoryKB = g.Memory * p.cfg.Memory
	o.startedKB, o.recentKB = o.recentKB, 0 // the reading may be from before the last starts
}

// noteStart notes that a start takes further memory.
func (o *observation) noteStart(kb float64) {
	o.startedKB += kb
	o.recentKB += kb
}

// addUnexplained notes that the policy no longer counts n runs, though it is not known that they have ended.
func (o *observation) addUnexplained(n int) {
	for i := range o.unexplained[:min(o.count, unexplainedReadings)] {
		o.unexplained[i] += float64(max(0, n))
	}
}

// unexplainedRuns returns the number of runs that all recent readings show and the policy does not know of.
// While no reading comes, the last ones hold for as long as a caller waits for a run.
func (p *Policy) unexplainedRuns() float64 {
	o := &p.observed
	if o.count == 0 || p.now-o.at > p.maxDeadline {
		return 0
	}
	return max(0, slices.Min(o.unexplained[:min(o.count, unexplainedReadings)]))
}

// observedMemory returns the memory in use by the last reading and the starts since, or 0 if there is no
// reading of the last period: ends of runs do not lower it.
func (p *Policy) observedMemory() float64 {
	if p.observed.count == 0 || p.now-p.observed.at > limitPeriodMs {
		return 0
	}
	return p.observed.memoryKB + p.observed.startedKB
}

// memoryInUse returns the memory in use by the policy's own count or by the gauges, whichever is higher.
func (p *Policy) memoryInUse() float64 { return max(p.usedMemory(), p.observedMemory()) }

// crowded reports whether the runs known and those that only the gauges show leave no room for another one.
func (p *Policy) crowded() bool {
	return float64(p.startedCount())+p.unexplainedRuns() >= observedRunningRatio*p.survivableRuns()
}
