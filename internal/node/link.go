package node

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"whinrudder/internal/clock"
	"whinrudder/internal/core"
	"whinrudder/internal/pool"
)

// Timeouts of the link to the worker pool, in milliseconds.
const (
	linkWriteTimeoutMs  = 2000 // a worker pool that has not read the commands in this time is disconnected
	linkRedialMs        = 100  // pause between two connection attempts
	linkDialTimeoutMs   = 100  // a connection attempt that takes longer is retried
	linkLastWriteMs     = 20   // how long the last commands may take when the node ends
	linkDetachTimeoutMs = 200  // how long a link that changes its address waits for the answer to its last poll
)

// link drives the connection to the worker pool in one goroutine. The core's goroutine only queues commands and
// wakes it.
type link struct {
	node   *Node
	addr   string
	mu     sync.Mutex // guards the fields up to c
	state  *pool.Link // the protocol's state machine
	queued bool       // commands were queued since the last flush
	c      net.Conn   // nil while disconnected

	ended         chan struct{} // closed when run returns
	lastDialError string        // why the last connection attempt failed; used by the goroutine of run only
}

// enqueue queues a command for the worker pool; flush sends it.
func (l *link) enqueue(o core.Output) {
	l.mu.Lock()
	l.state.Enqueue(o)
	l.queued = true
	l.mu.Unlock()
}

// flush wakes the link's goroutine if commands are queued.
func (l *link) flush() {
	l.mu.Lock()
	if l.queued && l.c != nil {
		l.c.SetReadDeadline(clock.Expired())
	}
	l.queued = false
	l.mu.Unlock()
}

// setAddr makes the link move to another address.
func (l *link) setAddr(addr string) {
	l.mu.Lock()
	l.addr = addr
	l.mu.Unlock()
	l.interrupt()
}

func (l *link) currentAddr() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.addr
}

// interrupt wakes the link's goroutine because the node ends or the address has changed.
func (l *link) interrupt() {
	l.mu.Lock()
	if l.c != nil {
		l.c.SetReadDeadline(clock.Expired())
	}
	l.mu.Unlock()
}

// waitForEnd waits until run has returned, so that the last commands are written, for linkLastWriteMs at most.
func (l *link) waitForEnd() {
	select {
	case <-l.ended:
	case <-time.After(linkLastWriteMs * time.Millisecond):
	}
}

// newLink returns a link to a worker pool.
func newLink(n *Node, addr string, state *pool.Link) *link {
	return &link{node: n, addr: addr, state: state, ended: make(chan struct{})}
}

// poolConn is a connection to the worker pool with the address that was dialed.
type poolConn struct {
	net.Conn
	addr string
}

// run keeps the link connected until the node ends. A broken link is dialed again at once, then every
// linkRedialMs.
func (l *link) run() {
	defer close(l.ended)
	var c, next *poolConn
	for redialAt := clock.Now(); !l.node.hasEnded(); c, next = next, nil {
		if c == nil {
			time.Sleep(time.Until(clock.Time(redialAt)))
			redialAt = clock.Now() + linkRedialMs
			if c = l.dial(); c == nil {
				continue
			}
		}
		code := ""
		code, next = l.serveConn(c)
		l.mu.Lock()
		l.c = nil
		l.mu.Unlock()
		l.node.submit(core.LinkLost{})
		l.node.counters.LinkBreaks.Add(1)
		l.node.log("link", "pool", c.addr, "code", code)
		c.Close()
	}
	if c != nil {
		c.Close()
	}
}

// dial connects to the worker pool, which runs on the same machine, or returns nil. Consecutive attempts that
// fail for the same reason are logged once, because they come every linkRedialMs.
func (l *link) dial() *poolConn {
	addr := l.currentAddr()
	d := net.Dialer{Deadline: clock.Time(clock.Now() + linkDialTimeoutMs)}
	c, err := d.Dial("tcp", addr)
	if err != nil {
		if l.lastDialError != err.Error() {
			l.lastDialError = err.Error()
			l.node.log("link", "pool", addr, "code", "dial", "error", err)
		}
		return nil
	}
	l.lastDialError = ""
	return &poolConn{c, addr}
}

// serveConn runs the protocol on a connection until it ends, and returns the code of the reason. If the address
// has changed, it connects to the new one, detaches from the old one and returns the new connection; while
// connecting fails, it stays on the old one.
func (l *link) serveConn(c *poolConn) (code string, next *poolConn) {
	buf, out := make([]byte, 32<<10), []byte(nil)
	l.mu.Lock()
	l.c = c
	out = append(out, l.state.StartConnection()...)
	l.mu.Unlock()
	badNotices := 0
	redialAt, detachBy := 0.0, 0.0 // when to dial the new address again; when the detach times out
	for {
		if next == nil && l.currentAddr() != c.addr && clock.Now() >= redialAt {
			redialAt = clock.Now() + linkRedialMs
			if next = l.dial(); next != nil {
				detachBy = clock.Now() + linkDetachTimeoutMs
				l.mu.Lock()
				out = append(out, l.state.Detach()...)
				l.mu.Unlock()
			}
		}
		if len(out) > 0 {
			c.SetWriteDeadline(clock.Time(clock.Now() + linkWriteTimeoutMs))
			if _, err := c.Write(out); err != nil {
				return "write", next
			}
			out = out[:0]
		}
		c.SetReadDeadline(clock.Time(max(redialAt, detachBy)))
		l.mu.Lock() // after SetReadDeadline: commands that are queued later set an expired one
		out = l.state.AppendCommands(out)
		detached, addrChanged := l.state.Detached(), next == nil && l.addr != c.addr
		l.mu.Unlock()
		switch {
		case next != nil && (detached || clock.Now() >= detachBy):
			return "moved", next
		case len(out) > 0 || addrChanged && clock.Now() >= redialAt:
			continue
		}
		n, err := c.Read(buf)
		l.mu.Lock()
		inputs, reply, feedErr := l.state.Feed(buf[:n])
		bound := l.state.Bound()
		l.mu.Unlock()
		for _, i := range inputs {
			l.node.submit(i)
		}
		out = append(out, reply...)
		if feedErr != nil {
			if badNotices++; badNotices == 1 {
				l.node.log("link", "pool", c.addr, "code", "bad-notice", "error", feedErr)
			}
		}
		switch {
		case l.node.hasEnded():
			l.writeLast(c, out)
			return "end", next
		case feedErr != nil && !bound:
			return "bad-notice", next
		case err != nil && !errors.Is(err, os.ErrDeadlineExceeded):
			return "eof", next
		}
	}
}

// writeLast writes what the core has queued by the end of the node, such as the stop of a run that nobody waits for.
func (l *link) writeLast(c net.Conn, out []byte) {
	l.mu.Lock()
	out = l.state.AppendCommands(out)
	l.mu.Unlock()
	c.SetWriteDeadline(clock.Time(clock.Now() + linkLastWriteMs))
	c.Write(out)
}
