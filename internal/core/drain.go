package core

import "whinrudder"

// DrainState is whether operators have drained the node of clients, by their last order. The processes of a node report
// it to each other, so an order that one of them accepted holds for all. Revision counts the orders of the node; 0 means
// that there was none.
type DrainState struct {
	On       bool
	Revision uint64
}

// Supersedes reports whether s is by a later order than other. Two orders that were given to two processes at the same
// time have the same revision; the one to drain wins, so that both processes come to the same state.
func (s DrainState) Supersedes(other DrainState) bool {
	return s.Revision > other.Revision || s.Revision == other.Revision && s.On && !other.On
}

// changeOperatorDrain applies an order, unless this process knows of a later one.
func (c *Core) changeOperatorDrain(i OperatorDrain) {
	next := i.DrainState
	if next.Revision == 0 {
		next.Revision = c.operatorDrain.Revision + 1
	}
	if next.Supersedes(c.operatorDrain) {
		c.operatorDrain = next
		c.addEvent(whinrudder.Drain{On: next.On})
		c.logEvent("clients", "code", map[bool]string{true: "sent-away", false: "taken-back"}[next.On])
	}
	if i.Done != nil {
		i.Done(c.operatorDrain)
	}
}
