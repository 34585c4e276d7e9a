package core

import (
	"whinrudder/internal/ops"
)

// Inputs and the output by which operations pass from one process of the node to another.
type (
	// YieldOps tells that another process shall have the operations: no new ones are taken, and once none is in hand
	// OpsReleased follows. Off: it goes on as before.
	YieldOps struct{ On bool }
	// AdoptOps brings the operations, recovered from the journal.
	AdoptOps struct{ Table *ops.Table }

	// OpsReleased tells that the journal may be closed: nothing of it is in hand.
	OpsReleased struct{}
)

func (YieldOps) input()     {}
func (AdoptOps) input()     {}
func (OpsReleased) output() {}

// yield begins to give the operations up, or goes on with them.
func (c *Core) yield(on bool) {
	if c.ops != nil {
		c.ops.SetClosed(on)
		c.yields = on
	}
}

func (c *Core) adopt(t *ops.Table) {
	c.ops, c.yields = t, false
	c.log("kept", "code", "adopted")
}

// release gives the operations up once nothing of them is in hand, answers that are owed included.
func (c *Core) release() {
	if !c.yields || !c.ops.Idle() {
		return
	}
	for _, r := range c.reqs {
		if r.op && r.open {
			return
		}
	}
	c.ops, c.yields = nil, false
	c.do(OpsReleased{})
}
