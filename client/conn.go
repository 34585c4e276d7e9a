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
	// do sends a request and waits for its answer, until the context is done. An outcome with an answer is told apart by its
	// status.
	do(ctx context.Context, r *wire.Request) outcome
	streams() int // requests that it carries at a time; 0: it can't be told
	dead() bool   // it carries no new request
	close()
}

// dial makes a connection.
func dial(ctx context.Context, p Protocol, addr string) (conn, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	if p == H2C {
		return newH2(c, addr)
	}
	w := &plain{c: c, addr: addr, uwsgi: p == UWSGI}
	go w.read()
	return w, nil
}

// plain is a connection of HTTP/1.1 or uwsgi, one request at a time. Its goroutine reads, so that a node that closes an idle
// connection is noticed before a request is sent there.
type plain struct {
	c     net.Conn
	addr  string
	uwsgi bool

	mu   sync.Mutex
	wait chan read // of the request that is out; nil: none
	gone bool
}

type read struct {
	answer *wire.Response
	err    error
}

// read reads answers until the connection ends.
func (w *plain) read() {
	var p wire.Parser
	buf := make([]byte, 4096)
	for {
		n, err := w.c.Read(buf)
		a, bad := p.Feed(buf[:n])
		if err != nil && a == nil && bad == nil {
			if a, bad = p.End(); a == nil {
				bad = err
			}
		}
		switch {
		case a != nil:
			w.deliver(read{answer: a}, a.Close || w.uwsgi || !p.Idle())
			if a.Close || w.uwsgi || !p.Idle() {
				return
			}
		case bad != nil:
			w.deliver(read{err: bad}, true)
			return
		}
	}
}

// deliver hands on what came; last: the connection carries nothing more.
func (w *plain) deliver(r read, last bool) {
	w.mu.Lock()
	wait := w.wait
	w.wait = nil
	if last || wait == nil {
		w.gone = true
		w.c.Close()
	}
	w.mu.Unlock()
	if wait != nil {
		wait <- r
	}
}

func (w *plain) streams() int { return 1 }

func (w *plain) dead() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.gone
}

func (w *plain) close() {
	w.mu.Lock()
	w.gone = true
	w.mu.Unlock()
	w.c.Close()
}

func (w *plain) do(ctx context.Context, r *wire.Request) outcome {
	var b []byte
	if w.uwsgi {
		var err error
		if b, err = wire.AppendUWSGI(nil, r); err != nil {
			return outcome{end: attempt.Unsent, err: err}
		}
	} else {
		b = wire.AppendHTTP(nil, r, w.addr)
	}
	wait := make(chan read, 1)
	w.mu.Lock()
	if w.gone || w.wait != nil {
		w.mu.Unlock()
		return outcome{end: attempt.Unsent, err: net.ErrClosed}
	}
	w.wait = wait
	w.mu.Unlock()
	if d, ok := ctx.Deadline(); ok {
		w.c.SetWriteDeadline(d)
	}
	if n, err := w.c.Write(b); err != nil {
		w.close()
		if n == 0 {
			return outcome{end: attempt.Unsent, err: err} // the kernel took none of it
		}
		return outcome{end: attempt.Broken, err: err}
	}
	select {
	case got := <-wait:
		if got.err != nil {
			return outcome{end: attempt.Broken, err: got.err}
		}
		return outcome{answer: got.answer}
	case <-ctx.Done():
		w.close() // the node takes it for a caller that is gone
		return outcome{end: ended(ctx), err: ctx.Err()}
	}
}

// ended is how a try ended whose context is done.
func ended(ctx context.Context) attempt.Outcome {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return attempt.Late
	}
	return attempt.Withdrawn
}
