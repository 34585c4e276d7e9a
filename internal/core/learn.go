package core

import (
	"strings"

	"whinrudder"
	"whinrudder/internal/knowledge"
)

// tell hands out what the module has learned by itself.
func (c *Core) tell(a QueryKnowledge) {
	if c.policy == nil {
		a.Reply(whinrudder.Knowledge{}, false)
		return
	}
	a.Reply(c.policy.Knowledge(), true)
}

// teach lets the module adopt what others have learned, as far as it is of use beside what it knows by now. A node
// that leaves needs no advice.
func (c *Core) teach(p knowledge.Prior) {
	if c.policy == nil {
		c.taught = &p
		return
	}
	c.taught = nil
	if c.leaving {
		c.log("prior", "code", "leaving", "donors", strings.Join(p.Donors, ","))
		return
	}
	trial, k, remarks, use := knowledge.NewPriorValidator(c.now, p, c.policy.Knowledge())
	c.remark(remarks)
	if !use {
		c.log("prior", "code", "unused", "donors", strings.Join(p.Donors, ","))
		return
	}
	c.trial = trial
	c.policy.Adopt(k)
	c.log("prior", "code", "adopted", "donors", strings.Join(p.Donors, ","))
}

// watch holds the prior against own runs whenever one has ended.
func (c *Core) watch(events []whinrudder.Event) {
	if !c.trial.Active() {
		return
	}
	for _, e := range events {
		if _, ok := e.(whinrudder.Ended); !ok {
			continue
		}
		k, remarks, changed := c.trial.Recheck(c.now, c.policy.Knowledge())
		c.remark(remarks)
		if changed {
			c.policy.Adopt(k)
		}
		return
	}
}

func (c *Core) remark(all []knowledge.LogEntry) {
	for _, r := range all {
		c.log("prior", r.Pairs()...)
	}
}
