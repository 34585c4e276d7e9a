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

// accept takes connections until the listener is closed. Running out of descriptors is survived.
func (n *Node) accept(l net.Listener, name string, protocol func(now float64) front.Protocol) {
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil && n.held(l, err) {
			continue
		}
		if err != nil {
			n.log("accept", "front", name, "error", err)
			time.Sleep(time.Until(at(now() + 20)))
			continue
		}
		k := &conn{node: n, c: c, front: name, proto: protocol(now())}
		if !n.conns.add(k) {
			k.end("full")
			continue
		}
		go k.serve()
	}
}

// conn drives one connection: one goroutine that reads, also while requests are in hand, and writes. The core leaves
// answers in the mailbox and wakes the goroutine by a read deadline that is over.
type conn struct {
	node  *Node
	c     net.Conn
	front string
	proto front.Protocol

	mu      sync.Mutex // of what follows
	mail    []letter
	leaving bool // the node wants no more requests
	ending  bool // and has ended: what is in the mailbox is the last
	called  bool // the deadline was set by the core's goroutine

	wake    float64   // the deadline as it was set last; -1: it is over
	letters []letter  // taken from the mailbox
	open    []pending // messages in hand
	left    bool      // the protocol was told that the node leaves
	out     []byte
	unsaid  int     // answers that the peer may not have taken yet
	writeBy float64 // a peer that has not taken what is to be written by then is cut; 0: writeFor from now

	place place // of the table
}

// letter is an answer in the mailbox.
type letter struct {
	tag    uint32
	answer core.Answer
}

// pending is a message in hand: a request by its id, or a check.
type pending struct {
	tag uint32
	id  string
}

// ticket is what the core answers to.
type ticket struct {
	k   *conn
	tag uint32
}

// writeFor is how long a peer may take what is no answer, in milliseconds.
const writeFor = 1000

// Deliver leaves an answer for the connection. It is called by the core's goroutine and does not wait.
func (t ticket) Deliver(a core.Answer) {
	t.k.mu.Lock()
	t.k.mail = append(t.k.mail, letter{t.tag, a})
	first := len(t.k.mail) == 1
	t.k.called = true
	t.k.mu.Unlock()
	if first {
		t.k.c.SetReadDeadline(past)
	}
}

// leave tells the connection that the node wants no more requests.
func (k *conn) leave() {
	k.mu.Lock()
	k.leaving, k.called = true, true
	k.mu.Unlock()
	k.c.SetReadDeadline(past)
}

// woken tells whether the deadline was set by somebody else since the last time.
func (k *conn) woken() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	was := k.called
	k.called = false
	return was
}

// mailed tells whether there is something in the mailbox.
func (k *conn) mailed() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.mail) > 0 || k.leaving && !k.left
}

// ends tells that the node has ended and nothing is left in the mailbox.
func (k *conn) ends() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.ending && len(k.mail) == 0
}

// take hands what is in the mailbox to the protocol.
func (k *conn) take(t float64) {
	k.mu.Lock()
	k.mail, k.letters = k.letters[:0], k.mail
	leaving := k.leaving && !k.left
	k.mu.Unlock()
	if leaving {
		k.left = true
		k.proto.StartDrain(t)
	}
	for i, l := range k.letters {
		if k.writeBy == 0 || l.answer.WriteDeadline < k.writeBy {
			k.writeBy = l.answer.WriteDeadline
		}
		k.close(l.tag)
		k.unsaid++
		k.proto.Answer(t, l.tag, l.answer)
		k.letters[i] = letter{} // its result must not be kept from the collector
	}
	if len(k.letters) > 0 && len(k.open) == 0 {
		_, at := k.proto.Served()
		k.node.conns.rest(k, place{spoke: true, since: at})
	}
}

// close takes a message out of those in hand and returns it.
func (k *conn) close(tag uint32) (p pending, ok bool) {
	for i := range k.open {
		if k.open[i].tag == tag {
			p = k.open[i]
			k.open[i] = k.open[len(k.open)-1]
			k.open = k.open[:len(k.open)-1]
			return p, true
		}
	}
	return p, false
}

// end closes the connection and leaves its one line in the log.
func (k *conn) end(code string) {
	served, _ := k.proto.Served()
	if code == "write" {
		served = max(0, served-k.unsaid)
	}
	k.node.log("conn", "front", k.front, "peer", k.c.RemoteAddr(), "code", code, "served", served)
	k.c.Close()
}

func (k *conn) serve() {
	code := k.talk()
	for _, p := range k.open {
		if p.id != "" {
			k.node.tell(core.CallerGone{ID: p.id})
		}
	}
	k.end(code)
	k.node.conns.remove(k) // after the line was left: the end of the node waits for this
}

// talk reads and writes until the connection is to end, and returns the code of the reason.
func (k *conn) talk() string {
	buf := make([]byte, 4096)
	for {
		t := now()
		k.take(t)
		for {
			e, ok := k.proto.Next(t)
			if !ok {
				break
			}
			if !k.event(e) {
				return "room"
			}
		}
		if k.out = k.proto.AppendOutput(t, k.out[:0]); len(k.out) > 0 {
			code, linger := k.proto.CloseReason()
			if code != "" && linger {
				k.node.conns.rest(k, place{}) // a fault was told: the connection may give its place
			}
			if err := k.write(); err != nil && !linger {
				return "write"
			} else if err == nil && linger {
				k.linger()
			}
			if code == "" {
				continue // what was written may have made room for more
			}
		}
		if code, _ := k.proto.CloseReason(); code != "" {
			return code
		}
		idle := float64(k.node.idle.Load())
		if wake := k.proto.NextDeadline(idle); k.woken() || wake != k.wake {
			k.wake = wake
			k.c.SetReadDeadline(at(wake))
		}
		if k.node.conns.given(k) {
			return "room"
		}
		if k.mailed() {
			continue // it came before the deadline was set, which may have undone its call
		}
		if k.node.moving.Load() && k.moves() {
			return "moved"
		}
		if k.ends() {
			return "drain"
		}
		n, err := k.c.Read(buf)
		if n > 0 {
			k.proto.Feed(now(), buf[:n])
			continue
		}
		switch {
		case err == nil:
		case errors.Is(err, os.ErrDeadlineExceeded):
			k.wake = -1 // the deadline is over: it is to be set anew, whoever set it
			k.proto.HandleDeadline(now(), float64(k.node.idle.Load()))
		case errors.Is(err, net.ErrClosed):
			return "drain"
		default:
			return k.proto.PeerCloseReason(errors.Is(err, io.EOF))
		}
	}
}

// event hands an event to the core. It returns false if the place of the connection was given away before.
func (k *conn) event(e front.Event) bool {
	if e.Code != "" {
		k.node.log("stream", "front", k.front, "peer", k.c.RemoteAddr(), "stream", int(e.Tag), "code", e.Code)
		return true
	}
	if e.Cancelled {
		if p, ok := k.close(e.Tag); ok && p.id != "" {
			k.node.tell(core.CallerGone{ID: p.id})
		}
		if len(k.open) == 0 {
			_, at := k.proto.Served()
			k.node.conns.rest(k, place{spoke: true, since: at})
		}
		return true
	}
	if len(k.open) == 0 && !k.node.conns.work(k) {
		return false
	}
	to := ticket{k, e.Tag}
	if e.Request == nil {
		k.open = append(k.open, pending{tag: e.Tag})
		k.node.tell(core.HealthCheck{Deep: e.DeepCheck, ReplyTo: to})
		return true
	}
	k.open = append(k.open, pending{e.Tag, e.Request.ID})
	e.Request.ReplyTo = to
	k.node.tell(core.RequestArrived{Request: e.Request})
	return true
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

// write writes what is to be written by the time of the earliest answer in it.
func (k *conn) write() error {
	by := k.writeBy
	if by == 0 {
		by = now() + writeFor
	}
	k.writeBy = 0
	k.c.SetWriteDeadline(at(by))
	_, err := k.c.Write(k.out)
	if err == nil {
		k.unsaid = 0
	}
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

// leaveAll tells all connections that the node wants no more requests.
func (t *connTable) leaveAll() {
	t.each((*conn).leave)
}

// wakeAll makes all connections look at their deadlines again.
func (t *connTable) wakeAll() {
	t.each(func(k *conn) { k.c.SetReadDeadline(past) })
}

// Times of the end, in milliseconds: connections write what is in their mailboxes, then those that are left are cut, and their
// lines in the log are waited for.
const (
	answersFor = 40
	linesFor   = 10
)

// closeAll ends all connections. The step that ends the node may also answer its last requests: they are written first.
func (t *connTable) closeAll() {
	t.each(func(k *conn) {
		k.mu.Lock()
		k.ending, k.called = true, true
		k.mu.Unlock()
		k.c.SetReadDeadline(past)
	})
	t.empty(now() + answersFor)
	t.each(func(k *conn) { k.c.Close() })
	t.empty(now() + linesFor)
}

// each does something with all connections.
func (t *connTable) each(do func(*conn)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for k := range t.all {
		do(k)
	}
}

// empty waits until there are no connections, or until an absolute time.
func (t *connTable) empty(by float64) {
	for ; now() < by; time.Sleep(time.Millisecond) {
		t.mu.Lock()
		left := len(t.all)
		t.mu.Unlock()
		if left == 0 {
			return
		}
	}
}
