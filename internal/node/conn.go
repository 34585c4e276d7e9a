package node

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"whinrudder/internal/core"
	"whinrudder/internal/front"
)

// firstFor is how long a connection has from its accept to its first whole message, and partFor how long a later
// message may take from its first byte to its last, in milliseconds. Peers send a message in one go.
const (
	firstFor = 2000
	partFor  = 2000
)

// At the limit of sockets a connection that has said nothing for youngFor, or nothing more for restFor, gives way
// to a new one, in milliseconds. A shorter silence may be that of a request on its way.
const (
	youngFor = 100
	restFor  = 500
)

// After a fault was told, so long and so many bytes are read on.
const (
	lingerFor  = 1000
	lingerMost = 64 << 10
)

// maxAhead bounds what a peer may send while its request is in hand.
const maxAhead = 16 << 10

// accept takes connections until the listener is closed. Running out of descriptors is survived.
func (n *Node) accept(l net.Listener, name string, parser func() front.Parser) {
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			n.logf("accept front=%s error=%q", name, err)
			time.Sleep(time.Until(at(now() + 20)))
			continue
		}
		k := &conn{node: n, c: c, front: name, parser: parser()}
		if !n.conns.add(k) {
			k.end("full")
			continue
		}
		go k.serve()
	}
}

// conn drives one connection: one goroutine that reads, also while a request is in hand, and writes. The core
// leaves an answer in the mailbox and wakes the goroutine by a read deadline that is over.
type conn struct {
	node   *Node
	c      net.Conn
	front  string
	parser front.Parser

	mu   sync.Mutex
	mail *core.Answer

	served int
	open   string  // id of the request in hand
	check  bool    // a check is in hand
	last   bool    // the connection ends after the answer
	since  float64 // when the last message ended, or the first byte of a part came
	out    []byte

	place place // of the table
}

// Deliver leaves an answer for the connection. It is called by the core's goroutine and does not wait.
func (k *conn) Deliver(a core.Answer) {
	k.mu.Lock()
	k.mail = &a
	k.mu.Unlock()
	k.c.SetReadDeadline(past)
}

func (k *conn) take() *core.Answer {
	k.mu.Lock()
	defer k.mu.Unlock()
	a := k.mail
	k.mail = nil
	return a
}

// end closes the connection and leaves its one line in the log.
func (k *conn) end(code string) {
	k.node.logf("conn front=%s peer=%s code=%s served=%d", k.front, k.c.RemoteAddr(), code, k.served)
	k.c.Close()
}

func (k *conn) serve() {
	code := k.talk()
	if k.open != "" {
		k.node.tell(core.Left{ID: k.open})
	}
	k.end(code)
	k.node.conns.remove(k) // after the line was left: the end of the node waits for this
}

// talk reads and writes until the connection is to end, and returns the code of the reason.
func (k *conn) talk() string {
	buf := make([]byte, 4096)
	k.since = now()
	for {
		k.c.SetReadDeadline(k.deadline())
		if k.node.conns.given(k) {
			return "room"
		}
		// The mailbox is looked at after the deadline was set: an answer that comes later sets it anew.
		if a := k.take(); a != nil {
			if code := k.answer(*a); code != "" {
				return code
			}
			continue
		}
		if !k.busy() {
			if m, ok := k.parser.Next(); ok {
				if code := k.message(m); code != "" {
					return code
				}
				continue
			}
		}
		n, err := k.c.Read(buf)
		if n > 0 {
			if !k.busy() && k.parser.Buffered() == 0 && k.served > 0 {
				k.since = now()
			}
			k.parser.Feed(buf[:n])
			if k.busy() && k.parser.Buffered() > maxAhead {
				return "ahead"
			}
			continue
		}
		switch {
		case err == nil:
		case errors.Is(err, os.ErrDeadlineExceeded):
			if d := k.deadline(); !d.IsZero() && !time.Now().Before(d) {
				switch {
				case k.parser.Buffered() > 0:
					return "slow"
				case k.served == 0:
					return "silent"
				}
				return "idle"
			}
		case k.open != "":
			return "gone"
		case errors.Is(err, io.EOF) && k.parser.Buffered() == 0:
			return "eof"
		case errors.Is(err, net.ErrClosed):
			return "drain"
		case errors.Is(err, io.EOF):
			return "part"
		default:
			return "reset"
		}
	}
}

func (k *conn) busy() bool { return k.open != "" || k.check }

// deadline is when the connection ends if nothing comes: none while the core owes an answer.
func (k *conn) deadline() time.Time {
	switch {
	case k.busy():
		return time.Time{}
	case k.served == 0:
		return at(k.since + firstFor)
	case k.parser.Buffered() > 0:
		return at(k.since + partFor)
	}
	return at(k.since + float64(k.node.idle.Load()))
}

// message hands a message to the core.
func (k *conn) message(m front.Message) string {
	if m.Fault != nil {
		k.node.conns.rest(k, place{})
		if k.write(front.AppendFault(k.out[:0], m.Fault), now()+lingerFor) == nil {
			k.linger()
		}
		return m.Fault.Code
	}
	if !k.node.conns.work(k) {
		return "room"
	}
	k.last = m.Last
	if m.Request == nil {
		k.check = true
		k.node.tell(core.Checked{Deep: m.Deep, To: k})
		return ""
	}
	k.open = m.Request.ID
	m.Request.To = k
	k.node.tell(core.Arrived{Request: m.Request})
	return ""
}

// answer writes the final answer to what is in hand.
func (k *conn) answer(a core.Answer) string {
	if a.ID != k.open {
		return "" // of a request that is over
	}
	last := k.last || a.Close || a.Outcome == core.Doubled
	k.open, k.check = "", false
	k.out = front.AppendAnswer(k.out[:0], a, last)
	if err := k.write(k.out, a.WriteBy); err != nil {
		return "write"
	}
	k.served++
	k.since = now()
	k.node.conns.rest(k, place{spoke: true, since: k.since})
	switch {
	case a.Outcome == core.Doubled:
		return "twice-id"
	case last:
		return "close"
	}
	return ""
}

// linger reads on for a moment after a fault was told: closing on bytes that nobody read would reset the
// connection, and the peer would lose the answer with it.
func (k *conn) linger() {
	if c, ok := k.c.(*net.TCPConn); ok {
		c.CloseWrite()
	}
	k.c.SetReadDeadline(at(now() + lingerFor))
	if k.node.conns.given(k) {
		return
	}
	io.CopyN(io.Discard, k.c, lingerMost)
}

func (k *conn) write(b []byte, by float64) error {
	k.c.SetWriteDeadline(at(by))
	_, err := k.c.Write(b)
	return err
}

// place is what the table knows of a connection.
type place struct {
	busy  bool    // a message is in hand
	given bool    // it was given to another connection
	spoke bool    // it has had an answer that was no fault
	since float64 // and when, or when it was accepted
}

// connTable holds the connections of callers, within the limit of sockets.
type connTable struct {
	mu   sync.Mutex
	most int
	all  map[*conn]bool
	gone sync.Cond // one was removed
}

// add takes a new connection into the table. If that is full, one that rests gives its place, and add waits until it
// has ended; if all are at work, there is none.
func (t *connTable) add(k *conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.all == nil {
		t.all, t.gone.L = map[*conn]bool{}, &t.mu
	}
	k.place.since = now()
	for len(t.all) >= t.most {
		v := t.resting(k.place.since)
		if v == nil {
			return false
		}
		v.place.given = true
		v.c.SetReadDeadline(past)
		t.gone.Wait()
	}
	t.all[k] = true
	return true
}

// resting returns the connection that has been silent longest since its accept, or else the one that has rested
// longest since its last answer, or nil.
func (t *connTable) resting(now float64) (found *conn) {
	for k := range t.all {
		p := k.place
		switch {
		case p.busy || p.given, !p.spoke && now-p.since < youngFor, p.spoke && now-p.since < restFor:
		case found == nil || !p.spoke && found.place.spoke,
			p.spoke == found.place.spoke && p.since < found.place.since:
			found = k
		}
	}
	return found
}

// work notes that a connection has a message in hand. It tells false if its place was given away before.
func (t *connTable) work(k *conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	k.place.busy = !k.place.given
	return k.place.busy
}

// rest notes that a connection has nothing in hand.
func (t *connTable) rest(k *conn, p place) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p.given = k.place.given
	k.place = p
}

// given tells whether the place of a connection was given to another.
func (t *connTable) given(k *conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return k.place.given
}

// limit sets how many connections there may be. Those that are open stay.
func (t *connTable) limit(most int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.most = most
}

func (t *connTable) remove(k *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.all, k)
	t.gone.Broadcast()
}

// wakeAll makes all connections look at their deadlines again.
func (t *connTable) wakeAll() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for k := range t.all {
		k.c.SetReadDeadline(past)
	}
}

// closeAll ends all connections and waits, for a moment, for their lines in the log.
func (t *connTable) closeAll() {
	t.mu.Lock()
	for k := range t.all {
		k.c.SetReadDeadline(past)
		k.c.Close()
	}
	t.mu.Unlock()
	for by := now() + 50; now() < by; time.Sleep(time.Millisecond) {
		t.mu.Lock()
		left := len(t.all)
		t.mu.Unlock()
		if left == 0 {
			return
		}
	}
}
