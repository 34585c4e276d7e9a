package client

import (
	"context"
	"errors"
	"net"
	"sync"

	"whinrudder/internal/client/attempt"
	"whinrudder/internal/client/wire"
)

// conn is a connection to a node.
type conn interface {
	// roundTrip sends a request and waits for the answer until ctx is done. If there is an answer, the outcome is not
	// set: the caller derives it from the status.
	roundTrip(ctx context.Context, r *wire.Request) tryResult
	maxStreams() int // maximum number of concurrent requests; 0: not known
	unusable() bool  // the connection accepts no new request
	close()
}

// dial connects to a node.
func dial(ctx context.Context, protocol Protocol, addr string) (conn, error) {
	var dialer net.Dialer
	c, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	if protocol == H2C {
		return newH2(c, addr)
	}
	w := &serialConn{c: c, addr: addr, uwsgi: protocol == UWSGI}
	go w.readResponses()
	return w, nil
}

// serialConn is a connection of HTTP/1.1 or uwsgi, which carry one request at a time. A goroutine reads all the time,
// so that an idle connection that the node closes is noticed before a request is sent over it.
type serialConn struct {
	c     net.Conn
	addr  string
	uwsgi bool

	mu      sync.Mutex
	pending chan readResult // receives the result of the outstanding request; nil: none
	closed  bool            // no new request may be sent
}

// readResult is what readResponses received: an answer or an error.
type readResult struct {
	answer *wire.Response
	err    error
}

// readResponses reads answers until the connection can carry no more requests.
func (w *serialConn) readResponses() {
	var parser wire.Parser
	buf := make([]byte, 4096)
	for {
		n, err := w.c.Read(buf)
		answer, parseErr := parser.Feed(buf[:n])
		if err != nil && answer == nil && parseErr == nil {
			if answer, parseErr = parser.End(); answer == nil {
				parseErr = err
			}
		}
		switch {
		case answer != nil:
			w.deliver(readResult{answer: answer}, answer.Close || w.uwsgi || !parser.Idle())
			if answer.Close || w.uwsgi || !parser.Idle() {
				return
			}
		case parseErr != nil:
			w.deliver(readResult{err: parseErr}, true)
			return
		}
	}
}

// deliver passes a result to the outstanding request. It closes the connection if this is the last answer or if no
// request is outstanding.
func (w *serialConn) deliver(r readResult, last bool) {
	w.mu.Lock()
	pending := w.pending
	w.pending = nil
	if last || pending == nil {
		w.closed = true
		w.c.Close()
	}
	w.mu.Unlock()
	if pending != nil {
		pending <- r
	}
}

func (w *serialConn) maxStreams() int { return 1 }

func (w *serialConn) unusable() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.closed
}

func (w *serialConn) close() {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	w.c.Close()
}

func (w *serialConn) roundTrip(ctx context.Context, r *wire.Request) tryResult {
	var packet []byte
	if w.uwsgi {
		var err error
		if packet, err = wire.AppendUWSGI(nil, r); err != nil {
			return tryResult{outcome: attempt.Unsent, err: err}
		}
	} else {
		packet = wire.AppendHTTP(nil, r, w.addr)
	}
	pending := make(chan readResult, 1)
	w.mu.Lock()
	if w.closed || w.pending != nil {
		w.mu.Unlock()
		return tryResult{outcome: attempt.Unsent, err: net.ErrClosed}
	}
	w.pending = pending
	w.mu.Unlock()
	if d, ok := ctx.Deadline(); ok {
		w.c.SetWriteDeadline(d)
	}
	if n, err := w.c.Write(packet); err != nil {
		w.close()
		if n == 0 {
			return tryResult{outcome: attempt.Unsent, err: err} // the kernel accepted none of the bytes
		}
		return tryResult{outcome: attempt.Broken, err: err}
	}
	select {
	case received := <-pending:
		if received.err != nil {
			return tryResult{outcome: attempt.Broken, err: received.err}
		}
		return tryResult{answer: received.answer}
	case <-ctx.Done():
		w.close() // the node treats the closed connection as a cancelled request
		return tryResult{outcome: contextOutcome(ctx), err: ctx.Err()}
	}
}

// contextOutcome returns the outcome of a try whose context is done.
func contextOutcome(ctx context.Context) attempt.Outcome {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return attempt.Late
	}
	return attempt.Withdrawn
}
