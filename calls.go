// Calls to the dependency, within this server's share of it.

package whinrudder

import (
	"cmp"
	"math"
	"slices"
)

// makeCalls makes the calls that requests wait for, within this server's share of the dependency.
func (p *Policy) makeCalls() {
	outstanding := float64(len(p.lingerEnds) + p.phaseCount[calling])
	p.callQueue = slices.DeleteFunc(p.callQueue, func(r *request) bool {
		return r.phase != awaitingCall || r.settled
	})
	slices.SortFunc(p.callQueue, func(a, b *request) int {
		return cmp.Or(cmp.Compare(a.aimAt, b.aimAt), cmp.Compare(a.seq, b.seq))
	})
	p.callQueue = slices.Compact(p.callQueue) // a request that came back since the last step is in it twice
	for _, r := range p.callQueue {
		class := p.cfg.Classes[r.Class]
		usual := p.callLatency
		allowed := p.cfg.CallShare <= 0 ||
			outstanding < max(1, math.Floor(p.callLimit)) && p.callDebt <= 0
		hopeless := p.now+usual+p.remainingCost(r) > r.aimAt
		switch {
		case r.callTries >= maxCallTries || (hopeless && class.SkipWorth > 0):
			if class.SkipWorth > 0 {
				p.emit(Skip{r.ID})
				p.enterCores(r)
			} else if r.callTries >= maxCallTries {
				p.answer(r, Fail{r.ID})
			}
		case allowed:
			p.setPhase(r, calling, r.runningKB)
			r.callTries++
			outstanding++
			timeout := r.due - p.now
			if usual > 0 {
				timeout = min(timeout, max(callTimeoutFactor*usual, 10*p.cfg.Tick))
			}
			p.emit(Call{r.ID, max(timeout, p.cfg.Tick)})
		}
	}
}

// onCalled handles the end of a call.
func (p *Policy) onCalled(e Called) {
	r := p.requests[e.ID]
	if r == nil || r.phase != calling {
		return
	}
	if e.Code == Timeout {
		p.lingerEnds = append(p.lingerEnds, p.now+p.cfg.CallLinger)
	}
	if e.Code == OK {
		if p.callLatency == 0 {
			p.callLatency, p.baseCallLatency = e.Latency, e.Latency
		}
		p.callLatency += (e.Latency - p.callLatency) / 10
		p.baseCallLatency = min(p.baseCallLatency, e.Latency) +
			(e.Latency-min(p.baseCallLatency, e.Latency))/baseCallMemory
		p.period.callLatency += e.Latency
		p.period.calls++
		p.enterCores(r)
		return
	}
	p.setPhase(r, awaitingCall, r.runningKB)
	proven := e.Code == Rejected || e.Code == ConnectFailed || e.Code == Moot
	if p.cfg.Classes[r.Class].Repeat != Safe && !proven {
		r.callTries = maxCallTries // the call may have taken effect: never repeat it
	}
}
