package warmup

import (
	"errors"
	"net"
	"time"

	"whinrudder/internal/clock"
	"whinrudder/internal/peer"
	"whinrudder/internal/peertls"
)

// accept accepts connections of receivers until the listener is closed.
func (w *WarmUp) accept() {
	for {
		conn, err := w.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			w.host.Log("peer", "side", "give", "code", "accept", "error", err)
			select {
			case <-w.ended:
				return
			case <-time.After(time.Until(clock.Time(clock.Now() + 20))):
			}
			continue
		}
		w.mu.Lock()
		admitted := !w.shutDown && len(w.receivers) < maxReceivers && w.budget.AllowConnection(clock.Now())
		if admitted {
			w.receivers[conn] = true
		}
		w.mu.Unlock()
		if !admitted {
			w.host.Log("peer", "side", "give", "peer", conn.RemoteAddr(), "code", "full")
			conn.Close()
			continue
		}
		w.goroutines.Go(func() { w.serve(conn) })
	}
}

// serve serves one receiver's connection to its end and logs the result in one line.
func (w *WarmUp) serve(conn net.Conn) {
	source := peer.NewSourceConn(clock.Now())
	conn.SetDeadline(clock.Time(source.Deadline()))
	var fault *peer.Fault
	if w.credentials == nil {
		fault = w.serveFrames(source, conn)
	} else {
		tlsConn := w.credentials.Server(conn)
		if err := tlsConn.Handshake(); err != nil {
			code := peertls.ErrorCode(err)
			if code == "" {
				code = w.errorCode(source, err)
			}
			fault = &peer.Fault{Code: code, Text: err.Error()}
		} else {
			fault = w.serveFrames(source, tlsConn)
		}
		tlsConn.Close()
	}
	conn.Close()
	w.mu.Lock()
	delete(w.receivers, conn)
	w.mu.Unlock()
	if fault == nil {
		fault = &peer.Fault{Code: "given"}
	}
	w.host.Log("peer", "side", "give", "peer", conn.RemoteAddr(), "taker", source.ReceiverName, "code", fault.Code,
		"error", fault.Text)
}

// errorCode returns the log code of an error that ended a connection while reading, writing or in the handshake.
func (w *WarmUp) errorCode(source *peer.SourceConn, err error) string {
	select {
	case <-w.ended:
		return "end"
	default:
	}
	var netErr net.Error
	switch {
	case errors.As(err, &netErr) && netErr.Timeout():
		return "slow"
	case source.HasPartialFrame():
		return "part"
	}
	return "eof"
}

// serveFrames passes the bytes of the connection to the state machine of the source and performs its steps until the
// connection must be closed. It returns the fault that ended the connection, or nil after a complete transfer.
func (w *WarmUp) serveFrames(source *peer.SourceConn, conn net.Conn) *peer.Fault {
	buf := make([]byte, 4096)
	acquired := false // the transfer counts in the budget
	defer func() {
		if acquired {
			w.mu.Lock()
			w.budget.Release()
			w.mu.Unlock()
		}
	}()
	for {
		n, err := conn.Read(buf)
		step, out, fault := source.Feed(buf[:n])
		for n > 0 && (step == peer.StepSendWelcome || step == peer.StepSendReport) {
			var more []byte
			step, more, fault = w.perform(source, step, &acquired)
			out = append(out, more...)
		}
		if len(out) > 0 {
			if _, writeErr := conn.Write(out); writeErr != nil && fault == nil {
				return &peer.Fault{Code: "write", Text: writeErr.Error()}
			}
		}
		switch {
		case fault != nil:
			return fault
		case step == peer.StepClose:
			return nil
		case err != nil:
			code := peertls.ErrorCode(err)
			if code == "" {
				code = w.errorCode(source, err)
			}
			return &peer.Fault{Code: code, Text: err.Error()}
		}
	}
}

// perform performs a step of the source's state machine if the budget admits it, and otherwise answers that the node is
// busy. It sets acquired when it admits a transfer: the caller must then release the budget.
func (w *WarmUp) perform(source *peer.SourceConn, step peer.Step, acquired *bool) (peer.Step, []byte, *peer.Fault) {
	r, ok := w.currentReport()
	atLimit := w.atLimit()
	w.mu.Lock()
	defer w.mu.Unlock()
	code, retryMs := w.budget.Admit(clock.Now(), step,
		peer.SourceState{HasKnowledge: ok, Draining: r.Draining, AtLimit: atLimit})
	switch {
	case code != "":
		return source.SendBusy(code, retryMs)
	case step == peer.StepSendWelcome:
		return source.SendWelcome(peer.SummaryOf(r))
	}
	*acquired = true
	return source.SendReport(r)
}
