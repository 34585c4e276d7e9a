package core

import "whinrudder"

// share tells what is in hand, and which ids another process of this node must not run: first all that are known, then
// those that were read since. A request belongs to the process that read it; the other one must only know it.
func (c *Core) share(s QueryLoad) {
	if s.Stop {
		c.shares, c.fresh = false, nil
		return
	}
	if !c.shares {
		c.shares = true
		for _, p := range c.recent.ids {
			c.fresh = append(c.fresh, p.id)
		}
		for id := range c.reqs {
			c.fresh = append(c.fresh, id)
		}
	}
	var load whinrudder.Beside
	if c.policy != nil {
		load = c.policy.CurrentLoad()
	}
	ids := c.fresh
	c.fresh = nil
	s.Reply(load, ids)
}

// besides takes what another process of this node shares. Its ids count as read here: one that comes again is doubled.
func (c *Core) besides(b SiblingLoad) {
	for _, id := range b.IDs {
		if !c.known(id) {
			c.recent.add(id, c.now)
		}
	}
	if b.Beside != c.beside {
		c.beside = b.Beside
		c.event(c.beside)
	}
}
