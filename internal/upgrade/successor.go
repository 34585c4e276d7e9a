package upgrade

import (
	"errors"
	"fmt"
	"io/fs"
	"net"
	"syscall"

	"whinrudder/internal/clock"
	"whinrudder/internal/core"
	"whinrudder/internal/handover"
	"whinrudder/internal/knowledge"
	"whinrudder/internal/peer"
)

// successorSide is this process in the role of the successor, with its connection to the predecessor.
type successorSide struct {
	u                  *Upgrade
	conn               *fdConn
	machine            *handover.Successor // guarded by conn.mu
	predecessorEnded   bool                // the predecessor has ended; guarded by u.mu
	predecessorYielded bool                // the predecessor accepts no new connections; guarded by u.mu
}

// Handoff is what a running process has handed over before its successor serves.
type Handoff struct {
	Listeners map[string]*net.TCPListener // by front
	Drain     core.DrainState             // whether operators have drained the node
	Report    knowledge.Report            // the learned state
}

// TakeOver asks the running process of this node, if there is one, for its listening sockets and its learned state. If
// no process is running, it returns nil. An error means that a process is running and did not hand over.
func (u *Upgrade) TakeOver() (*Handoff, error) {
	c, err := dialUnix(u.socketPath(), clock.Now()+dialTimeoutMs)
	if errors.Is(err, fs.ErrNotExist) || errors.Is(err, syscall.ECONNREFUSED) {
		return nil, nil // no process has run here, or it has ended
	}
	if refused := syscall.Errno(0); errors.As(err, &refused) && !refused.Timeout() {
		// The system does not support such sockets here, or the path cannot be reached, so no process can be asked. If
		// one is running nevertheless, its address is in use and the start fails for that reason.
		u.host.Log("handover", "side", "take", "code", "off", "error", err)
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	side := &successorSide{u: u, conn: newFDConn(c), machine: handover.NewSuccessor(u.host.Name, u.host.ListenAddrs(), clock.Now())}
	handoff := &Handoff{Listeners: map[string]*net.TCPListener{}}
	by := clock.Now() + takeOverTimeoutMs
	for !side.machine.Complete() {
		writeErr := side.conn.write(side.machine.Messages(), clock.Now()+writeTimeoutMs, nil)
		err := side.readEvents(min(by, side.machine.WakeAt()), func(e handover.Event) error {
			return side.handleBeforeServing(e, handoff)
		})
		if err == nil || !errors.As(err, new(*peer.Fault)) {
			err = errors.Join(writeErr, err) // after a refusal the write may fail, but the reason can still be read
		}
		if err == nil && clock.Now() >= by {
			err = errors.New("the running process did not hand over in time")
		}
		if err != nil {
			side.conn.close()
			side.conn.closeFiles()
			for _, l := range handoff.Listeners {
				l.Close()
			}
			u.host.Log("handover", "side", "take", "code", "failed", "error", err)
			return nil, fmt.Errorf("handover: %w", err)
		}
	}
	u.asSuccessor = side
	u.host.Log("handover", "side", "take", "code", "taken", "fronts", len(handoff.Listeners), "runs", handoff.Report.Runs())
	u.goroutines.Add(1)
	go side.run()
	return handoff, nil
}

// readEvents reads once, until an absolute time at the latest, and calls handle with each event.
func (s *successorSide) readEvents(by float64, handle func(handover.Event) error) error {
	b, readUntil, err := s.conn.read(by)
	if err != nil {
		return err
	}
	s.conn.mu.Lock()
	events, fault := s.machine.Feed(clock.Now(), b)
	if fault == nil {
		fault = s.machine.CheckTimeouts(readUntil)
	}
	s.conn.mu.Unlock()
	for _, e := range events {
		if err := handle(e); err != nil {
			return err
		}
	}
	if fault != nil {
		return fault
	}
	return nil
}

// handleBeforeServing handles an event that arrives before this process can serve, and adds its content to the handoff.
func (s *successorSide) handleBeforeServing(e handover.Event, handoff *Handoff) error {
	switch e := e.(type) {
	case handover.ListenersReceived:
		handoff.Drain = e.Drain
		for _, name := range e.Fronts {
			f, err := s.conn.nextFile()
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
				return fmt.Errorf("socket of front %s is not a TCP listener", name)
			}
			handoff.Listeners[name] = tcp
		}
	case handover.KnowledgeReceived:
		handoff.Report = e.Report
	case handover.LoadReceived:
		s.submitLoad(e)
	}
	return nil
}

// submitLoad informs the core of what the predecessor reports with its load.
func (s *successorSide) submitLoad(e handover.LoadReceived) {
	s.u.host.Submit(core.SiblingLoad{Beside: e.Beside, IDs: e.IDs})
	s.u.host.OperatorDrainReported(e.Drain)
}

// shareDrain reports the operators' drain to the predecessor.
func (s *successorSide) shareDrain(by float64) {
	s.conn.mu.Lock()
	defer s.conn.mu.Unlock()
	s.machine.SendDrain(s.u.host.OperatorDrain())
	if err := s.conn.write(s.machine.Messages(), by, nil); err != nil && !errors.Is(err, net.ErrClosed) {
		s.conn.close() // a frame may be written in part, so nothing can follow it
	}
}

// run serves the connection until the predecessor has ended.
func (s *successorSide) run() {
	defer s.u.goroutines.Done()
	code, text := s.exchange()
	s.conn.close()
	s.conn.closeFiles()
	s.u.host.Submit(core.QueryLoad{Stop: true})
	s.u.host.Submit(core.SiblingLoad{})
	s.u.mu.Lock()
	s.predecessorEnded = true
	s.u.mu.Unlock()
	s.u.host.Log("handover", "side", "take", "code", code, "error", text)
	s.u.host.PredecessorEnded()
}

// exchange runs the protocol until the connection ends. It returns the code of the end and, for a fault, its text.
func (s *successorSide) exchange() (code, text string) {
	query := newLoadQuery()
	for tick := clock.Now(); ; {
		if clock.Now() >= tick {
			tick = clock.Now() + handover.LoadIntervalMs
			if load, ok := query.run(s.u.host.Submit); ok {
				s.conn.mu.Lock()
				s.machine.SendLoad(load.Beside, load.IDs, s.u.host.OperatorDrain())
				s.conn.mu.Unlock()
			}
		}
		s.conn.mu.Lock()
		err := s.conn.write(s.machine.Messages(), clock.Now()+writeTimeoutMs, nil)
		s.conn.mu.Unlock()
		if err == nil {
			err = s.readEvents(min(tick, s.machine.WakeAt()), s.handleAfterHandoff)
		}
		if err != nil {
			return endReason(err)
		}
	}
}

// handleAfterHandoff handles an event that arrives once this process can serve.
func (s *successorSide) handleAfterHandoff(e handover.Event) error {
	switch e := e.(type) {
	case handover.LoadReceived:
		s.submitLoad(e)
	case handover.PredecessorYielded:
		s.u.mu.Lock()
		s.predecessorYielded = true
		s.u.mu.Unlock()
		s.u.host.Log("handover", "side", "take", "code", "settled")
		s.u.host.PredecessorYielded()
	case handover.ClaimReceived:
		s.answerClaim(e)
	case handover.LinksReceived:
		s.u.host.PoolLinksReported(e.Links)
	case handover.ConnReceived:
		f, err := s.conn.nextFile()
		if err != nil {
			return err
		}
		c, err := net.FileConn(f)
		f.Close()
		if err != nil {
			return nil // the connection was closed while it was passed
		}
		go s.adopt(c, e.Conn)
	}
	return nil
}

// adopt has the node take over a connection. That may have to wait for room, which must not hold up the exchange.
func (s *successorSide) adopt(c net.Conn, info handover.Conn) {
	if !s.u.host.AdoptConn(c, info) {
		c.Close()
	}
}

// announceServing informs the predecessor that this process accepts new connections.
func (s *successorSide) announceServing() {
	s.conn.mu.Lock()
	defer s.conn.mu.Unlock()
	s.machine.SendServing()
	if err := s.conn.write(s.machine.Messages(), clock.Now()+writeTimeoutMs, nil); err != nil && !errors.Is(err, net.ErrClosed) {
		s.conn.close()
	}
}
