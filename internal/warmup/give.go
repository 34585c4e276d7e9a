package warmup

import (
	"errors"
	"net"
	"time"

	"whinrudder/internal/peer"
	"whinrudder/internal/peertls"
)

// accept takes the connections of takers until the listener is closed.
func (w *WarmUp) accept() {
	for {
		c, err := w.l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			w.h.Log("peer", "side", "give", "code", "accept", "error", err)
			select {
			case <-w.over:
				return
			case <-time.After(time.Until(at(now() + 20))):
			}
			continue
		}
		w.mu.Lock()
		room := !w.ended && len(w.takers) < maxTakers && w.budget.AllowConnection(now())
		if room {
			w.takers[c] = true
		}
		w.mu.Unlock()
		if !room {
			w.h.Log("peer", "side", "give", "peer", c.RemoteAddr(), "code", "full")
			c.Close()
			continue
		}
		w.wait.Go(func() { w.give(c) })
	}
}

// give drives one taker's connection and leaves its one line.
func (w *WarmUp) give(c net.Conn) {
	g := peer.NewSourceConn(now())
	c.SetDeadline(at(g.Deadline()))
	var bad *peer.Fault
	if w.ring == nil {
		bad = w.talk(g, c)
	} else {
		t := w.ring.Server(c)
		if err := t.Handshake(); err != nil {
			code := peertls.ErrorCode(err)
			if code == "" {
				code = w.broken(g, err)
			}
			bad = &peer.Fault{Code: code, Text: err.Error()}
		} else {
			bad = w.talk(g, t)
		}
		t.Close()
	}
	c.Close()
	w.mu.Lock()
	delete(w.takers, c)
	w.mu.Unlock()
	if bad == nil {
		bad = &peer.Fault{Code: "given"}
	}
	w.h.Log("peer", "side", "give", "peer", c.RemoteAddr(), "taker", g.ReceiverName, "code", bad.Code, "error", bad.Text)
}

// broken is the code of a connection that ended by an error of reading or writing.
func (w *WarmUp) broken(g *peer.SourceConn, err error) string {
	select {
	case <-w.over:
		return "end"
	default:
	}
	var ne net.Error
	switch {
	case errors.As(err, &ne) && ne.Timeout():
		return "slow"
	case g.HasPartialFrame():
		return "part"
	}
	return "eof"
}

// talk feeds the giver and does what it wants until the connection is to end.
func (w *WarmUp) talk(g *peer.SourceConn, c net.Conn) *peer.Fault {
	buf := make([]byte, 4096)
	begun := false
	defer func() {
		if begun {
			w.mu.Lock()
			w.budget.Release()
			w.mu.Unlock()
		}
	}()
	for {
		n, err := c.Read(buf)
		step, out, bad := g.Feed(buf[:n])
		for n > 0 && (step == peer.StepSendWelcome || step == peer.StepSendReport) {
			var more []byte
			step, more, bad = w.want(g, step, &begun)
			out = append(out, more...)
		}
		if len(out) > 0 {
			if _, werr := c.Write(out); werr != nil && bad == nil {
				return &peer.Fault{Code: "write", Text: werr.Error()}
			}
		}
		switch {
		case bad != nil:
			return bad
		case step == peer.StepClose:
			return nil
		case err != nil:
			code := peertls.ErrorCode(err)
			if code == "" {
				code = w.broken(g, err)
			}
			return &peer.Fault{Code: code, Text: err.Error()}
		}
	}
}

// want answers what a giver's state machine wants.
func (w *WarmUp) want(g *peer.SourceConn, step peer.Step, begun *bool) (peer.Step, []byte, *peer.Fault) {
	r, ok := w.known()
	full := w.full()
	w.mu.Lock()
	defer w.mu.Unlock()
	code, retry := w.budget.Admit(now(), step, peer.SourceState{HasKnowledge: ok, Draining: r.Draining, AtLimit: full})
	switch {
	case code != "":
		return g.SendBusy(code, retry)
	case step == peer.StepSendWelcome:
		return g.SendWelcome(peer.SummaryOf(r))
	}
	*begun = true
	return g.SendReport(r)
}
