package node

import (
	"net"

	"whinrudder/internal/clock"
	"whinrudder/internal/core"
	"whinrudder/internal/handover"
)

// signalDelayMs is how long before this process gets to see it a signal may have been sent.
const signalDelayMs = 50

// shutdownPlan is how a shutdown proceeds.
type shutdownPlan struct {
	stopMs       float64 // time from the stop notice to the stop
	hasSuccessor bool
	endBy        float64 // the connections are closed by then
}

// endMarginMs is what the process needs for the end of its subsystems and its log after the connections are closed.
const endMarginMs = 100

// planShutdown returns the plan for a shutdown that starts now. The process may be killed once the longest deadline has
// passed, even if the configuration names a later stop.
func (n *Node) planShutdown() shutdownPlan {
	_, s := n.currentSettings()
	grace := handover.GraceMs(s.Classes)
	if n.upgrade == nil || !n.upgrade.HasSuccessor() {
		return shutdownPlan{stopMs: min(n.stopTimeoutMs(), grace)}
	}
	return shutdownPlan{stopMs: grace, hasSuccessor: true}
}

// end closes what the node has open after the core's last step. Requests that are still read are refused: nothing runs any
// more, and a request that was read must not stay without an answer.
func (n *Node) end(killed bool) {
	close(n.done)
	n.closeListeners()
	if !killed {
		go n.refuseLateInputs()
	}
	n.conns.closeAll(n.shutdown.endBy)
	close(n.connsClosed)
	n.link.interrupt()
	n.link.waitForEnd()
}

// refuseLateInputs answers what the connections pass on after the core's last step, until they are closed.
func (n *Node) refuseLateInputs() {
	for {
		select {
		case i := <-n.inputs:
			n.refuseLate(i)
		case <-n.connsClosed:
			return
		}
	}
}

// refuseLate answers a message that the core will not see.
func (n *Node) refuseLate(i core.Input) {
	a := core.Answer{Credit: -1, Close: true}
	switch i := i.(type) {
	case core.RequestArrived:
		a.ID, a.Outcome = i.ID, core.Refused
		a.RetryAfter = n.validator.Config().Policy.MaxRetryAfter
		i.ReplyTo.Deliver(a)
	case core.HealthCheck:
		a.Outcome = core.Failed
		i.ReplyTo.Deliver(a)
	}
}

// Pending connections are accepted before a listener closes, because closing it resets them.
const (
	acceptDrainMs = 100 // at most
	acceptLookMs  = 1   // a listener without a connection for this long has none pending
)

// stopAccepting makes the accept loops take the connections that are pending and close the listeners.
func (n *Node) stopAccepting() {
	n.stoppingAccept.Store(true)
	n.conns.stop()
	for _, l := range n.listeners {
		if t, ok := l.(*net.TCPListener); ok {
			t.SetDeadline(clock.Expired())
		}
	}
}

// acceptPending takes the connections that are pending. A deadline that has passed already would keep an accept from
// looking at the socket.
func (l *frontListener) acceptPending() {
	t, ok := l.Listener.(*net.TCPListener)
	for by := clock.Now() + acceptDrainMs; ok && clock.Now() < by; {
		t.SetDeadline(clock.Time(clock.Now() + acceptLookMs))
		c, err := t.Accept()
		if err != nil {
			return
		}
		l.serve(c)
	}
}

// closeListeners closes the listeners of the fronts.
func (n *Node) closeListeners() {
	for _, l := range n.listeners {
		l.Close()
	}
}
