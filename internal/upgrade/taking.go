package upgrade

import (
	"errors"
	"fmt"
	"io/fs"
	"net"
	"syscall"

	"whinrudder/internal/core"
	"whinrudder/internal/handover"
	"whinrudder/internal/knowledge"
	"whinrudder/internal/peer"
)

// taking is the connection to the process that this one succeeds.
type taking struct {
	u       *Upgrade
	pipe    *pipe
	machine *handover.Successor // of pipe.mu
	over    bool                // of u.mu: the other process has ended
	yielded bool                // of u.mu: the other process takes no new connections
}

// Handoff is what a running process handed over.
type Handoff struct {
	Listeners       map[string]*net.TCPListener // by front
	OperatorDrained bool                        // operators have sent the clients away
	Report          knowledge.Report
}

// TakeOver asks the running process of this node, if there is one, for its listening sockets and what it knows. Without one
// it returns nil. An error means that one is there and did not hand over.
func (u *Upgrade) TakeOver() (*Handoff, error) {
	c, err := dialAt(u.path(), now()+dialFor)
	if errors.Is(err, fs.ErrNotExist) || errors.Is(err, syscall.ECONNREFUSED) {
		return nil, nil // nobody was here, or what was here has ended
	}
	if refused := syscall.Errno(0); errors.As(err, &refused) && !refused.Timeout() {
		// The system has no such sockets here, or no way there: who could be asked is not. Where a process is there all
		// the same, its address is in use, and the start ends with that.
		u.h.Log("handover", "side", "take", "code", "off", "error", err)
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	t := &taking{u: u, pipe: newPipe(c), machine: handover.NewSuccessor(u.h.Name, u.h.ListenAddrs(), now())}
	taken := &Handoff{Listeners: map[string]*net.TCPListener{}}
	by := now() + takeFor
	for !t.machine.Complete() {
		unsaid := t.pipe.write(t.machine.Messages(), now()+writeFor, nil)
		err := t.step(min(by, t.machine.WakeAt()), func(e handover.Event) error { return t.first(e, taken) })
		if err == nil || !errors.As(err, new(*peer.Fault)) {
			err = errors.Join(unsaid, err) // one that refuses may close before it is asked: its reason waits to be read
		}
		if err == nil && now() >= by {
			err = errors.New("the running process did not hand over in time")
		}
		if err != nil {
			t.pipe.close()
			t.pipe.drop()
			for _, l := range taken.Listeners {
				l.Close()
			}
			u.h.Log("handover", "side", "take", "code", "failed", "error", err)
			return nil, fmt.Errorf("handover: %w", err)
		}
	}
	u.from = t
	u.h.Log("handover", "side", "take", "code", "taken", "fronts", len(taken.Listeners), "runs", taken.Report.Runs())
	u.wait.Add(1)
	go t.run()
	return taken, nil
}

// step reads once and hands on what was said.
func (t *taking) step(by float64, each func(handover.Event) error) error {
	b, looked, err := t.pipe.read(by)
	if err != nil {
		return err
	}
	t.pipe.mu.Lock()
	events, bad := t.machine.Feed(now(), b)
	if bad == nil {
		bad = t.machine.CheckTimeouts(looked)
	}
	t.pipe.mu.Unlock()
	for _, e := range events {
		if err := each(e); err != nil {
			return err
		}
	}
	if bad != nil {
		return bad
	}
	return nil
}

// first takes what comes before this process serves.
func (t *taking) first(e handover.Event, to *Handoff) error {
	switch e := e.(type) {
	case handover.ListenersReceived:
		to.OperatorDrained = e.OperatorDrained
		for _, name := range e.Fronts {
			f, err := t.pipe.next()
			if err != nil {
				return err
			}
			l, err := net.FileListener(f)
			f.Close()
			if err != nil {
				return err
			}
			tcp, ok := l.(*net.TCPListener)
			if !ok {
				l.Close()
				return fmt.Errorf("the socket of %s is no TCP listener", name)
			}
			to.Listeners[name] = tcp
		}
	case handover.KnowledgeReceived:
		to.Report = e.Report
	case handover.LoadReceived:
		t.loaded(e)
	}
	return nil
}

func (t *taking) loaded(e handover.LoadReceived) {
	t.u.h.Submit(core.SiblingLoad{Beside: e.Beside, IDs: e.IDs})
}

// run goes on until the other process has ended.
func (t *taking) run() {
	defer t.u.wait.Done()
	code, text := t.talk()
	t.pipe.close()
	t.pipe.drop()
	t.u.h.Submit(core.QueryLoad{Stop: true})
	t.u.h.Submit(core.SiblingLoad{})
	t.u.mu.Lock()
	t.over = true
	t.u.mu.Unlock()
	t.u.h.Log("handover", "side", "take", "code", code, "error", text)
	t.u.h.PredecessorEnded()
}

func (t *taking) talk() (code, text string) {
	share := newShares()
	for tick := now(); ; {
		if now() >= tick {
			tick = now() + handover.LoadIntervalMs
			if b, ok := share.ask(t.u.h.Submit); ok {
				t.pipe.mu.Lock()
				t.machine.SendLoad(b.Beside, b.IDs)
				t.pipe.mu.Unlock()
			}
		}
		t.pipe.mu.Lock()
		err := t.pipe.write(t.machine.Messages(), now()+writeFor, nil)
		t.pipe.mu.Unlock()
		if err == nil {
			err = t.step(min(tick, t.machine.WakeAt()), t.next)
		}
		if err != nil {
			return endOf(err)
		}
	}
}

// next takes what comes once all that is needed to serve is there.
func (t *taking) next(e handover.Event) error {
	switch e := e.(type) {
	case handover.LoadReceived:
		t.loaded(e)
	case handover.PredecessorYielded:
		t.u.mu.Lock()
		t.yielded = true
		t.u.mu.Unlock()
		t.u.h.Log("handover", "side", "take", "code", "settled")
	case handover.ConnReceived:
		f, err := t.pipe.next()
		if err != nil {
			return err
		}
		c, err := net.FileConn(f)
		f.Close()
		if err != nil {
			return nil // it broke on the way
		}
		if !t.u.h.AdoptConn(c, e.Conn) {
			c.Close()
		}
	}
	return nil
}

// serve tells the other process that this one serves.
func (t *taking) serve() {
	t.pipe.mu.Lock()
	defer t.pipe.mu.Unlock()
	t.machine.SendServing()
	if err := t.pipe.write(t.machine.Messages(), now()+writeFor, nil); err != nil && !errors.Is(err, net.ErrClosed) {
		t.pipe.close()
	}
}
