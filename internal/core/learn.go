package core

import (
	"strings"

	"whinrudder"
	"whinrudder/internal/knowledge"
)

// replyKnowledge reports what the module has learned from its own runs.
func (c *Core) replyKnowledge(a QueryKnowledge) {
	if c.policy == nil {
		a.Reply(whinrudder.Knowledge{}, false)
		return
	}
	a.Reply(c.policy.Knowledge(), true)
}

// adoptPrior makes the module adopt what other nodes have learned, as far as it adds to what it knows by now. A
// draining node ignores it.
func (c *Core) adoptPrior(p knowledge.Prior) {
	if c.policy == nil {
		c.pendingPrior = &p
		return
	}
	c.pendingPrior = nil
	p = p.ForClasses(c.classNames)
	if c.draining {
		c.logEvent("prior", "code", "leaving", "donors", strings.Join(p.Donors, ","))
		return
	}
	trial, k, remarks, use := knowledge.NewPriorValidator(c.now, p, c.policy.Knowledge())
	c.logPriorEntries(remarks)
	if !use {
		c.logEvent("prior", "code", "unused", "donors", strings.Join(p.Donors, ","))
		return
	}
	c.priorValidator = trial
	c.policy.Adopt(k)
	c.logEvent("prior", "code", "adopted", "donors", strings.Join(p.Donors, ","))
}

// recheckPrior compares the adopted prior with this node's own runs whenever one has ended.
func (c *Core) recheckPrior(events []whinrudder.Event) {
	if !c.priorValidator.Active() {
		return
	}
	for _, e := range events {
		if _, ok := e.(whinrudder.Ended); !ok {
			continue
		}
		k, remarks, changed := c.priorValidator.Recheck(c.now, c.policy.Knowledge())
		c.logPriorEntries(remarks)
		if changed {
			c.policy.Adopt(k)
		}
		return
	}
}

func (c *Core) logPriorEntries(all []knowledge.LogEntry) {
	for _, r := range all {
		c.logEvent("prior", r.Pairs()...)
	}
}
