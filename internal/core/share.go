package core

import "whinrudder"

// handleQueryLoad reports the current load and the ids that another process of this node must not run: first all known
// ids, then those that were read since the last query. A request belongs to the process that read it; the other process
// only needs its id.
func (c *Core) handleQueryLoad(s QueryLoad) {
	if s.Stop {
		c.sharingIDs, c.unsharedIDs = false, nil
		return
	}
	if !c.sharingIDs {
		c.sharingIDs = true
		for _, p := range c.recentIDs.ids {
			c.unsharedIDs = append(c.unsharedIDs, p.id)
		}
		for id := range c.requests {
			c.unsharedIDs = append(c.unsharedIDs, id)
		}
	}
	var load whinrudder.Beside
	if c.policy != nil {
		load = c.policy.CurrentLoad()
	}
	ids := c.unsharedIDs
	c.unsharedIDs = nil
	s.Reply(load, ids)
}

// handleSiblingLoad takes over the load and the ids of another process of this node. Its ids count as read here, so a
// request with one of them is a duplicate.
func (c *Core) handleSiblingLoad(b SiblingLoad) {
	for _, id := range b.IDs {
		if !c.isKnown(id) {
			c.recentIDs.add(id, c.now)
		}
	}
	if b.Beside != c.siblingLoad {
		c.siblingLoad = b.Beside
		c.addEvent(c.siblingLoad)
	}
}
