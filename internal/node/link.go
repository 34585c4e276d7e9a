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
	linkDial  = 100  // a worker pool that has not taken the connection by then is tried again
	linkLeave = 200  // how long a link that moves waits for the answer to its last poll
)

// link drives the connection to the worker pool, in one goroutine; the core's only queues commands and wakes it.
type link struct {
	node    *Node
	addr    string
	mu      sync.Mutex // of all below
	machine *pool.Link
	pushed  bool
	c       net.Conn

	refused string // why the last try to connect failed; of the goroutine of run
}

func (l *link) push(o core.Output) {
	l.mu.Lock()
	l.machine.Enqueue(o)
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

// move makes the link change to another address.
func (l *link) move(addr string) {
	l.mu.Lock()
	l.addr = addr
	l.mu.Unlock()
	l.close()
}

func (l *link) to() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.addr
}

// close wakes the goroutine of the link: the node ends, or the address is another.
func (l *link) close() {
	l.mu.Lock()
	if l.c != nil {
		l.c.SetReadDeadline(past)
	}
	l.mu.Unlock()
}

// wire is a connection to the worker pool and the address that it was made to.
type wire struct {
	net.Conn
	addr string
}

// run holds the link open as long as the process lives. A broken link is made again at once, then every linkAgain.
func (l *link) run() {
	var c, next *wire
	for again := now(); !l.node.ended(); c, next = next, nil {
		if c == nil {
			time.Sleep(time.Until(at(again)))
			again = now() + linkAgain
			if c = l.dial(); c == nil {
				continue
			}
		}
		code := ""
		code, next = l.talk(c)
		l.mu.Lock()
		l.c = nil
		l.mu.Unlock()
		l.node.tell(core.LinkLost{})
		l.node.log("link", "pool", c.addr, "code", code)
		c.Close()
	}
	if c != nil {
		c.Close()
	}
}

// dial connects to the worker pool, which is on the same machine, or returns nil. Tries that fail for one reason in a row
// leave one line: they come every linkAgain.
func (l *link) dial() *wire {
	addr := l.to()
	d := net.Dialer{Deadline: at(now() + linkDial)}
	c, err := d.Dial("tcp", addr)
	if err != nil {
		if l.refused != err.Error() {
			l.refused = err.Error()
			l.node.log("link", "pool", addr, "code", "dial", "error", err)
		}
		return nil
	}
	l.refused = ""
	return &wire{c, addr}
}

// talk speaks on a connection until it ends. Where the address is another now, it connects there, takes leave here
// and returns the new connection; as long as that fails, it stays.
func (l *link) talk(c *wire) (code string, next *wire) {
	buf, out := make([]byte, 32<<10), []byte(nil)
	l.mu.Lock()
	l.c = c
	out = append(out, l.machine.StartConnection()...)
	l.mu.Unlock()
	again, leaveBy := 0.0, 0.0 // when to connect to the other address again, and how long the leave may take
	for {
		if next == nil && l.to() != c.addr && now() >= again {
			again = now() + linkAgain
			if next = l.dial(); next != nil {
				leaveBy = now() + linkLeave
				l.mu.Lock()
				out = append(out, l.machine.Detach()...)
				l.mu.Unlock()
			}
		}
		if len(out) > 0 {
			c.SetWriteDeadline(at(now() + linkWrite))
			if _, err := c.Write(out); err != nil {
				return "write", next
			}
			out = out[:0]
		}
		c.SetReadDeadline(at(max(again, leaveBy)))
		l.mu.Lock() // after the deadline was set: commands that come later set it anew
		out = l.machine.AppendCommands(out)
		left, moved := l.machine.Detached(), next == nil && l.addr != c.addr
		l.mu.Unlock()
		switch {
		case next != nil && (left || now() >= leaveBy):
			return "moved", next
		case len(out) > 0 || moved && now() >= again:
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
			return "end", next
		case bad != nil:
			return "bad-notice", next
		case err != nil && !errors.Is(err, os.ErrDeadlineExceeded):
			return "eof", next
		}
	}
}
