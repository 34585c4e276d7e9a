package upgrade

import (
	"errors"
	"io"
	"net"

	"whinrudder/internal/clock"
	"whinrudder/internal/core"
	"whinrudder/internal/handover"
	"whinrudder/internal/peer"
)

// predecessorSide is this process in the role of the predecessor, with its connection to a successor.
type predecessorSide struct {
	u                *Upgrade
	conn             *fdConn
	successorServing bool // the successor accepts new connections; guarded by u.mu

	machine    *handover.Predecessor // guarded by conn.mu
	sendFailed bool                  // an idle connection could not be handed over; guarded by conn.mu
	yielded    bool                  // the successor has the IDs of all requests that were read before; guarded by conn.mu
	claims     *claimQueue
}

// flush writes the pending messages of the machine.
func (p *predecessorSide) flush() error {
	p.conn.mu.Lock()
	defer p.conn.mu.Unlock()
	return p.conn.write(p.machine.Messages(), clock.Now()+writeTimeoutMs, p.u.host.Listeners)
}

// refuse rejects a successor with a code and closes the connection.
func (p *predecessorSide) refuse(code string) {
	// Log first, because the other process exits once it has the refusal.
	p.u.host.Log("handover", "side", "give", "code", code)
	p.conn.write([]handover.Message{{Bytes: peer.AppendRefuse(nil, code)}}, clock.Now()+writeTimeoutMs, nil)
	p.conn.close()
}

// handOffConn passes an idle connection to the successor. It returns false if the connection stays with this process.
func (p *predecessorSide) handOffConn(c *net.TCPConn, info handover.Conn) bool {
	p.conn.mu.Lock()
	defer p.conn.mu.Unlock()
	if !p.yielded || !p.machine.SendConn(info, c) {
		return false
	}
	if err := p.conn.write(p.machine.Messages(), clock.Now()+writeTimeoutMs, p.u.host.Listeners); err != nil {
		p.sendFailed = true
		p.conn.close() // a frame may be written in part, so nothing can follow it
		return false
	}
	return true
}

// shareDrain reports the operators' drain to the successor. Before the welcome, that will carry it.
func (p *predecessorSide) shareDrain(by float64) {
	p.conn.mu.Lock()
	defer p.conn.mu.Unlock()
	p.machine.SendDrain(p.u.host.OperatorDrain())
	if err := p.conn.write(p.machine.Messages(), by, p.u.host.Listeners); err != nil {
		p.sendFailed = true
		p.conn.close() // a frame may be written in part, so nothing can follow it
	}
}

// run serves the successor until the connection ends.
func (p *predecessorSide) run() {
	defer p.u.goroutines.Done()
	over := make(chan struct{})
	p.u.goroutines.Add(1)
	go p.sendClaims(over)
	code, text := p.exchange()
	close(over)
	p.u.claimant.CompareAndSwap(p, nil)
	p.conn.mu.Lock()
	if p.sendFailed {
		code = "lost"
	}
	p.conn.mu.Unlock()
	p.conn.close()
	p.conn.closeFiles()
	u := p.u
	u.host.Submit(core.QueryLoad{Stop: true})
	u.host.Submit(core.SiblingLoad{})
	u.mu.Lock()
	wasServing, ended := p.successorServing, u.ended
	p.successorServing, u.asPredecessor = false, nil
	u.mu.Unlock()
	if wasServing && !ended { // the successor is lost: this process serves again, until its end if it leaves
		u.host.SuccessorChanged(false)
		u.ListenForSuccessor()
	}
	// Log last, because a reader of the log may then start another successor.
	u.host.Log("handover", "side", "give", "code", code, "error", text)
}

// exchange runs the protocol until the connection ends. It returns the code of the end and, for a fault, its text.
func (p *predecessorSide) exchange() (code, text string) {
	query := newLoadQuery()
	welcomed := false // the load is reported from the welcome on
	yielding := false // the successor serves, and waits for this process to yield
	for tick := clock.Now(); ; {
		yielded := yielding && p.yield(query)
		if welcomed && clock.Now() >= tick {
			tick = clock.Now() + handover.LoadIntervalMs
			if load, ok := query.run(p.u.host.Submit); ok {
				p.conn.mu.Lock()
				p.machine.SendLoad(load.Beside, load.IDs, p.u.host.OperatorDrain())
				p.machine.SendLinks(p.u.host.PoolLinks())
				p.conn.mu.Unlock()
			}
		}
		if err := p.flush(); err != nil {
			return endReason(err)
		}
		if yielded {
			yielding = false
			p.u.host.SuccessorChanged(true)
		}
		by := p.machine.WakeAt()
		if welcomed {
			by = min(by, tick)
		}
		b, readUntil, err := p.conn.read(by)
		if err != nil {
			return endReason(err)
		}
		p.conn.mu.Lock()
		events, fault := p.machine.Feed(clock.Now(), b)
		if fault == nil {
			fault = p.machine.CheckTimeouts(readUntil)
		}
		p.conn.mu.Unlock()
		for _, e := range events {
			switch e := e.(type) {
			case handover.HelloReceived:
				r := p.u.queryKnowledge()
				p.conn.mu.Lock()
				p.machine.SendWelcome(clock.Now(), p.u.host.OperatorDrain(), r)
				p.conn.mu.Unlock()
				welcomed = true
			case handover.SuccessorServing:
				p.u.mu.Lock()
				p.successorServing = true
				p.u.mu.Unlock()
				p.u.host.Log("handover", "side", "give", "code", "succeeded")
				yielding = true
			case handover.ClaimAnswered:
				p.u.host.Submit(core.ClaimAnswered{Granted: e.Granted, Known: e.Known})
			case handover.LoadReceived:
				p.u.host.Submit(core.SiblingLoad{Beside: e.Beside, IDs: e.IDs})
				p.u.host.OperatorDrainReported(e.Drain)
			}
		}
		if fault != nil {
			return fault.Code, fault.Text
		}
	}
}

// endReason returns the log code and the text for the error that ended a connection.
func endReason(err error) (code, text string) {
	var fault *peer.Fault
	switch {
	case errors.As(err, &fault):
		return fault.Code, fault.Text
	case errors.Is(err, net.ErrClosed):
		return "end", ""
	case errors.Is(err, io.EOF):
		return "lost", "" // the other process has ended; if it left bytes unread, the error is a reset instead
	}
	return "lost", err.Error()
}
