package core

import (
	"whinrudder/internal/ops"
)

// Inputs and the output that move the ownership of operations from one process of the node to another.
type (
	// YieldOps asks the core to give its operations up to another process: it accepts no new ones, and OpsReleased
	// follows once none is unfinished. With On false the core goes on as before.
	YieldOps struct{ On bool }
	// AdoptOps delivers the operations, recovered from the journal.
	AdoptOps struct{ Table *ops.Table }

	// OpsReleased reports that the journal may be closed: no operation is unfinished.
	OpsReleased struct{}
)

func (YieldOps) input()     {}
func (AdoptOps) input()     {}
func (OpsReleased) output() {}

// setYieldOps starts to give the operations up, or resumes them.
func (c *Core) setYieldOps(on bool) {
	if c.ops != nil {
		c.ops.SetClosed(on)
		c.yieldingOps = on
	}
}

func (c *Core) adoptOps(t *ops.Table) {
	c.ops, c.yieldingOps = t, false
	c.logEvent("kept", "code", "adopted")
}

// releaseOps gives the operations up once none is unfinished and all their requests are answered.
func (c *Core) releaseOps() {
	if !c.yieldingOps || !c.ops.Idle() {
		return
	}
	for _, r := range c.requests {
		if r.hasOp && r.open {
			return
		}
	}
	c.ops, c.yieldingOps = nil, false
	c.emit(OpsReleased{})
}
