package upgrade

import (
	"errors"
	"io"
	"net"

	"whinrudder/internal/core"
	"whinrudder/internal/handover"
	"whinrudder/internal/peer"
)

// giving is the connection to a successor.
type giving struct {
	u      *Upgrade
	pipe   *pipe
	serves bool // of u.mu

	machine *handover.Predecessor // of pipe.mu
	broken  bool                  // of pipe.mu: a connection could not be handed over
}

// out writes what the machine wants.
func (g *giving) out() error {
	g.pipe.mu.Lock()
	defer g.pipe.mu.Unlock()
	return g.pipe.write(g.machine.Messages(), now()+writeFor, g.u.h.Listeners)
}

// refuse ends a connection that is not taken.
func (g *giving) refuse(code string) {
	g.u.h.Log("handover", "side", "give", "code", code) // first: the other process ends with its answer
	g.pipe.write([]handover.Message{{Bytes: peer.AppendRefuse(nil, code)}}, now()+writeFor, nil)
	g.pipe.close()
}

// move hands a connection over.
func (g *giving) move(c *net.TCPConn, how handover.Conn) bool {
	g.pipe.mu.Lock()
	defer g.pipe.mu.Unlock()
	if !g.machine.SendConn(how, c) {
		return false
	}
	if err := g.pipe.write(g.machine.Messages(), now()+writeFor, g.u.h.Listeners); err != nil {
		g.broken = true
		g.pipe.close() // a frame may have gone in part: nothing more can be said
		return false
	}
	return true
}

func (g *giving) run() {
	defer g.u.wait.Done()
	code, text := g.talk()
	g.pipe.mu.Lock()
	if g.broken {
		code = "lost"
	}
	g.pipe.mu.Unlock()
	g.pipe.close()
	g.pipe.drop()
	u := g.u
	u.h.Submit(core.QueryLoad{Stop: true})
	u.h.Submit(core.SiblingLoad{})
	u.mu.Lock()
	served, over := g.serves, u.ended
	g.serves, u.to = false, nil
	u.mu.Unlock()
	if served && !over { // the successor is lost: this process goes on as before, to its end if it leaves
		u.h.SuccessorChanged(false)
		u.ListenForSuccessor()
	}
	u.h.Log("handover", "side", "give", "code", code, "error", text) // last: who reads it may start another successor
}

// talk speaks with the successor until the end. It returns a code of the end and, for a fault, what it was.
func (g *giving) talk() (code, text string) {
	share := newShares()
	told := false // what is in hand is told, from the welcome on
	for tick := now(); ; {
		if told && now() >= tick {
			tick = now() + handover.LoadIntervalMs
			if b, ok := share.ask(g.u.h.Submit); ok {
				g.pipe.mu.Lock()
				g.machine.SendLoad(b.Beside, b.IDs)
				g.pipe.mu.Unlock()
			}
		}
		if err := g.out(); err != nil {
			return endOf(err)
		}
		by := g.machine.WakeAt()
		if told {
			by = min(by, tick)
		}
		b, looked, err := g.pipe.read(by)
		if err != nil {
			return endOf(err)
		}
		g.pipe.mu.Lock()
		events, bad := g.machine.Feed(now(), b)
		if bad == nil {
			bad = g.machine.CheckTimeouts(looked)
		}
		g.pipe.mu.Unlock()
		for _, e := range events {
			switch e := e.(type) {
			case handover.HelloReceived:
				r := g.u.report()
				g.pipe.mu.Lock()
				g.machine.SendWelcome(now(), g.u.h.OperatorDrained(), r)
				g.pipe.mu.Unlock()
				told = true
			case handover.SuccessorServing:
				g.u.mu.Lock()
				g.serves = true
				g.u.mu.Unlock()
				g.u.h.Log("handover", "side", "give", "code", "succeeded")
				g.u.h.SuccessorChanged(true)
				g.pipe.mu.Lock()
				g.machine.SendYielded()
				g.pipe.mu.Unlock()
			case handover.LoadReceived:
				g.u.h.Submit(core.SiblingLoad{Beside: e.Beside, IDs: e.IDs})
			}
		}
		if bad != nil {
			return bad.Code, bad.Text
		}
	}
}

// endOf names the end of a pipe.
func endOf(err error) (code, text string) {
	var bad *peer.Fault
	switch {
	case errors.As(err, &bad):
		return bad.Code, bad.Text
	case errors.Is(err, net.ErrClosed):
		return "end", ""
	case errors.Is(err, io.EOF):
		return "lost", "" // it has ended; one that leaves bytes unread resets
	}
	return "lost", err.Error()
}
