package core

import (
	"slices"

	"whinrudder"
)

// maxUnsharedIDs bounds the ids that wait for the next query of the other process.
const maxUnsharedIDs = 16384

// handleQueryLoad reports the current load and the ids that another process of this node must not run: first all known
// ids, then those that were read since the last query. A request belongs to the process that read it; the other process
// only needs its id. Ids of requests that ended without a run are left out: there may be any number of them.
func (c *Core) handleQueryLoad(s QueryLoad) {
	if s.Stop {
		c.sharingIDs, c.unsharedIDs = false, nil
		c.setClaiming(false)
		return
	}
	if s.Claim {
		c.setClaiming(true)
	}
	if !c.sharingIDs {
		c.sharingIDs = true
		for _, p := range c.recentIDs.ran.remembered() {
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
	ids := slices.DeleteFunc(c.unsharedIDs, func(id string) bool { return c.requests[id] == nil && !c.recentIDs.ran.has(id) })
	c.unsharedIDs = nil
	s.Reply(load, ids)
}

// handleSiblingLoad takes over the load and the ids of another process of this node. Its ids count as read here, so a
// request with one of them is a duplicate.
func (c *Core) handleSiblingLoad(b SiblingLoad) {
	for _, id := range b.IDs {
		if !c.isKnown(id) {
			c.recentIDs.add(id, true, c.now)
		}
	}
	if b.Beside != c.siblingLoad {
		c.siblingLoad = b.Beside
		c.addEvent(c.siblingLoad)
	}
}
