package core

import (
	"fmt"
	"slices"

	"whinrudder"
)

// pendingCheck is a deep health check whose work has not ended.
type pendingCheck struct {
	HealthCheck
	tag      string
	deadline float64
}

// handleHealthCheck answers a health check, or starts the work of a deep one.
func (c *Core) handleHealthCheck(k HealthCheck) {
	switch {
	case c.policy == nil:
		c.reply(k.ReplyTo, c.healthAnswer(false)) // the worker pool is not up
	case c.health.Cached || !k.Deep:
		c.reply(k.ReplyTo, c.healthAnswer(c.health.Healthy))
	case !c.linkSynced || len(c.checks) >= maxDeepChecks:
		c.reply(k.ReplyTo, c.healthAnswer(false))
	default:
		c.checkCount++
		tag := fmt.Sprint("check", c.checkCount)
		c.checks = append(c.checks, pendingCheck{k, tag, c.now + checkTimeoutMs})
		c.emit(Verify{tag})
	}
}

const maxDeepChecks = 64 // concurrent deep health checks; further ones fail at once

// handleCheckFinished answers the deep health check whose work ended.
func (c *Core) handleCheckFinished(v CheckFinished) {
	c.checks = slices.DeleteFunc(c.checks, func(k pendingCheck) bool {
		if k.tag == v.Tag {
			c.reply(k.ReplyTo, c.healthAnswer(v.OK))
		}
		return k.tag == v.Tag
	})
}

// fireTimers passes due timers to the module and fails overdue deep checks. A timer with a token needs current
// gauges: they are requested, and if they don't arrive within gaugeTimeoutMs, the timer fires without them.
func (c *Core) fireTimers() {
	noGauges := whinrudder.Gauges{CPU: -1}
	if len(c.timersAwaitingGauges) > 0 && c.now >= c.gaugesDueAt {
		for _, token := range c.timersAwaitingGauges {
			c.addEvent(whinrudder.Timer{Token: token, Gauges: noGauges})
		}
		c.timersAwaitingGauges = c.timersAwaitingGauges[:0]
	}
	for token, ok := c.wakeups.pop(c.now); ok; token, ok = c.wakeups.pop(c.now) {
		if token == 0 || !c.linkSynced {
			c.addEvent(whinrudder.Timer{Token: token, Gauges: noGauges})
			continue
		}
		if len(c.timersAwaitingGauges) == 0 {
			c.gaugesDueAt = c.now + gaugeTimeoutMs
			c.emit(Poll{})
			c.startsSincePoll = 0
		}
		c.timersAwaitingGauges = append(c.timersAwaitingGauges, token)
	}
	c.checks = slices.DeleteFunc(c.checks, func(k pendingCheck) bool {
		if c.now >= k.deadline {
			c.reply(k.ReplyTo, c.healthAnswer(false))
		}
		return c.now >= k.deadline
	})
}
