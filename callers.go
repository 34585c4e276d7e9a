// What the policy knows of its callers, and how long it keeps their idle connections.

package whinrudder

import (
	"math"
	"slices"
)

// recordCaller notes a request of a caller.
func (p *Policy) recordCaller(id int) {
	c := p.callersByID[id]
	if c == nil && len(p.callers) >= maxTrackedCallers {
		return // callers choose their own numbers: these must not exhaust the memory
	}
	if c == nil {
		c = &caller{id: id}
		p.callersByID[id] = c
		p.callers = append(p.callers, c)
	} else if c.outstanding == 0 {
		p.idleCost.AddReturn(p.now-c.lastSeen, p.cfg.KeepAlive, connectionCostRatio)
	}
	p.callerRequests++
	p.callerSquares += 2*c.recentRequests + 1
	c.lastSeen = p.now
	c.recentRequests++
	c.outstanding++
}

// settle marks a request as needing no answer any more.
func (p *Policy) settle(r *request) {
	if c := p.callersByID[r.Caller]; c != nil && !r.settled {
		c.lastSeen = p.now
		c.outstanding--
	}
	r.settled = true
	p.dueHeap.Remove(&r.dueEntry)
}

// updateIdleTimeout decays the statistics of callers and has the host close idle connections where keeping
// them costs more than opening new ones: many rare callers fill a connection table that uses a part of the
// cores, and other callers get no connection. With few busy callers it closes none. It can hurt where new
// connections cost much more than connectionCostRatio assumes.
func (p *Policy) updateIdleTimeout() {
	costs := p.idleCost
	p.callerRequests, p.callerSquares = 0, 0
	p.callers = slices.DeleteFunc(p.callers, func(c *caller) bool {
		c.recentRequests *= math.Exp(-limitPeriodMs / activeCallerMs)
		if c.outstanding > 0 || p.now-c.lastSeen <= activeCallerMs {
			p.callerRequests += c.recentRequests
			p.callerSquares += c.recentRequests * c.recentRequests
		}
		if c.outstanding > 0 {
			return false
		}
		costs.AddAbsence(p.now-c.lastSeen, p.cfg.KeepAlive)
		expired := p.now-c.lastSeen > max(activeCallerMs, p.cfg.KeepAlive)
		if expired {
			p.idleCost.AddAbsence(p.now-c.lastSeen, p.cfg.KeepAlive)
			delete(p.callersByID, c.id)
		}
		return expired
	})
	p.idleCost.Decay(math.Exp(-limitPeriodMs / max(limitPeriodMs, p.cfg.KeepAlive)))
	if timeout := max(minIdleTimeoutMs, costs.BestTimeout(p.cfg.KeepAlive)); timeout != p.idleTimeout &&
		p.cfg.KeepAlive > 0 {
		p.idleTimeout = timeout
		p.emit(CloseIdle{timeout})
	}
}
