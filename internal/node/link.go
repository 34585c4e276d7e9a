package node

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"whinrudder/internal/core"
	"whinrudder/internal/pool"
)

// Times of the link to the worker pool, in milliseconds.
const (
	linkWrite = 2000 // a worker pool that has not taken commands by then is cut
	linkAgain = 100  // pause between two tries to connect
)

// link drives the connection to the worker pool, in one goroutine; the core's only queues commands and wakes it.
type link struct {
	node    *Node
	addr    string
	mu      sync.Mutex // of all below
	machine *pool.Link
	pushed  bool
	c       net.Conn
}

func (l *link) push(o core.Output) {
	l.mu.Lock()
	l.machine.Push(o)
	l.pushed = true
	l.mu.Unlock()
}

// flush wakes the goroutine of the link if commands wait.
func (l *link) flush() {
	l.mu.Lock()
	if l.pushed && l.c != nil {
		l.c.SetReadDeadline(past)
	}
	l.pushed = false
	l.mu.Unlock()
}

// close wakes the goroutine of the link at the end of the node.
func (l *link) close() {
	l.mu.Lock()
	if l.c != nil {
		l.c.SetReadDeadline(past)
	}
	l.mu.Unlock()
}

// run holds the link open as long as the process lives.
func (l *link) run() {
	for {
		select {
		case <-l.node.over:
			return
		default:
		}
		c, err := net.Dial("tcp", l.addr)
		if err != nil {
			time.Sleep(time.Until(at(now() + linkAgain)))
			continue
		}
		code := l.talk(c)
		l.mu.Lock()
		l.c = nil
		l.mu.Unlock()
		l.node.tell(core.Lost{})
		l.node.logf("link pool=%s code=%s", l.addr, code)
		c.Close()
		time.Sleep(time.Until(at(now() + linkAgain)))
	}
}

func (l *link) talk(c net.Conn) string {
	buf, out := make([]byte, 32<<10), []byte(nil)
	l.mu.Lock()
	l.c = c
	out = append(out, l.machine.Opened()...)
	l.mu.Unlock()
	for {
		if len(out) > 0 {
			c.SetWriteDeadline(at(now() + linkWrite))
			if _, err := c.Write(out); err != nil {
				return "write"
			}
			out = out[:0]
		}
		c.SetReadDeadline(time.Time{})
		l.mu.Lock() // after the deadline was set: commands that come later set it anew
		out = l.machine.Out(out)
		l.mu.Unlock()
		if len(out) > 0 {
			continue
		}
		n, err := c.Read(buf)
		l.mu.Lock()
		tell, reply, bad := l.machine.Feed(buf[:n])
		l.mu.Unlock()
		for _, i := range tell {
			l.node.tell(i)
		}
		out = append(out, reply...)
		switch {
		case l.node.ended():
			return "end"
		case bad != nil:
			return "bad-notice"
		case err != nil && !errors.Is(err, os.ErrDeadlineExceeded):
			return "eof"
		}
	}
}
