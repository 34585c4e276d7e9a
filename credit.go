// The credit: the free value that answers carry.

package whinrudder

import (
	"math"
)

// advertise tells callers the credit if it changed noticeably.
func (p *Policy) advertise() {
	if p.cfg.CreditMode == CreditNone {
		return
	}
	credit := 0.0
	if !p.withdrawn {
		credit = p.credit()
	}
	if math.Abs(credit-p.advertised) > 0.05*max(p.advertised, 0.5) || (credit == 0) != (p.advertised == 0) {
		p.advertised = credit
		p.emit(Advertise{credit})
	}
}

// credit returns the free value. In window mode it is a caller's share of the room plus a part of the free
// room: the demand of few callers is uneven, and shares alone would make them withhold requests that idle
// cores could serve. On a full server only the share is left, and it falls with the square of the requests in
// hand over the room, so that a queue drains soon.
func (p *Policy) credit() float64 {
	callers := max(1, float64(p.cfg.Callers)/2)
	if p.callerSquares > 0 {
		// The effective number of active callers, weighted by their traffic.
		callers = p.callerRequests * p.callerRequests / p.callerSquares
	}
	// With a trusted prior the limit need not be reduced while cold: feasibleRequests bounds the room.
	room := min(p.limit*max(p.priorTrust, p.warmupRatio()), p.feasibleRequests())
	inHand := float64(p.startedCount() + p.phaseCount[held])
	fullness := inHand / max(1, room)
	switch p.cfg.CreditMode {
	case CreditShare:
		return min(1, 1/max(1, fullness))
	case CreditThreshold:
		return max(0, 1-1/max(1, fullness))
	}
	return min(room, room/callers+freeRoomRatio*max(0, room-inHand)) / max(1, fullness*fullness)
}

// feasibleRequests returns how many requests of usual cost can be in hand and still be answered within half
// of their aim.
func (p *Policy) feasibleRequests() float64 {
	cost, aim, demand := 0.0, 0.0, 0.0
	for i, c := range p.classes {
		if base := c.predictCost(max(c.cost.X, c.priorCost.X), p.priorScale()); base > 0 {
			cost += c.demand * base * p.slowdown / p.warmupRatio()
			aim += c.demand * p.cfg.Classes[i].Aim
			demand += c.demand
		}
	}
	if cost <= 0 || demand <= 0 {
		return p.limit
	}
	return max(0.25, (aim/2-demand*p.readDelay)/cost*p.effectiveCores)
}
