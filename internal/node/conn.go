package node

import (
	"errors"
	"io"
	"net"
	"os"
	"runtime"
	"sync"
	"syscall"
	"time"

	"whinrudder/internal/clock"
	"whinrudder/internal/core"
	"whinrudder/internal/front"
)

// After a protocol error was answered, the connection reads and discards input for at most this time and this many
// bytes.
const (
	lingerMs       = 1000
	lingerMaxBytes = 64 << 10
)

// acceptRetryMs is the pause after an accept that failed for a reason that may pass.
const acceptRetryMs = 20

// frontListener is the listener of one front.
type frontListener struct {
	net.Listener
	node        *Node
	name        string
	protocol    func(now float64) front.Protocol
	sharedBytes int64 // what a connection takes of the shared memory budget
}

// accept takes connections until the listener is closed. Other errors, such as running out of file descriptors,
// are logged and retried.
func (l *frontListener) accept() {
	n := l.node
	for {
		c, err := l.Accept()
		switch {
		case err == nil:
			l.serve(c)
		case errors.Is(err, net.ErrClosed):
			return
		case errors.Is(err, os.ErrDeadlineExceeded) && n.stoppingAccept.Load():
			l.acceptPending()
			l.Close()
			return
		case n.waitForSuccessor(l.Listener, err):
		default:
			n.log("accept", "front", l.name, "error", err)
			time.Sleep(time.Until(clock.Time(clock.Now() + acceptRetryMs)))
		}
	}
}

// serve starts to serve a connection, or closes it if there is no room.
func (l *frontListener) serve(c net.Conn) {
	k := &conn{node: l.node, c: c, front: l.name, proto: l.protocol(clock.Now()), sharedBytes: l.sharedBytes}
	if !l.node.conns.add(k) {
		k.logAndClose("full")
		return
	}
	go k.serve()
}

// conn drives one connection. A single goroutine reads, also while requests are pending, and writes. The core
// puts answers into the mailbox and wakes that goroutine by setting a read deadline in the past.
type conn struct {
	node  *Node
	c     net.Conn
	front string
	proto front.Protocol

	mu              sync.Mutex // guards the fields up to deadlineChanged
	mailbox         []delivery
	draining        bool // the node accepts no more requests
	nodeEnded       bool // the node has ended: the mailbox holds the last answers
	deadlineChanged bool // another goroutine has set the read deadline

	busy          bool       // the connection table knows that a message is pending or an answer unsent
	endAnnounced  bool       // the protocol knows that the node ends
	lookedLast    bool       // what arrived before the end of the node was read
	lateReads     int        // reads after a deadline of the protocol, since the last one in time or the last request
	readDeadline  float64    // the deadline that was set last, in Unix milliseconds; -1 if it has expired
	deliveries    []delivery // being processed, taken from the mailbox
	pending       []message  // messages without an answer
	drainStarted  bool       // the protocol knows that the node drains
	output        []byte
	unsentAnswers int     // answers that were possibly not written
	writeDeadline float64 // of the output, in Unix milliseconds; 0: defaultWriteTimeoutMs from now

	raw         syscall.RawConn // see rawConn
	sharedBytes int64           // what it takes of the shared memory budget, besides what its protocol takes
	state       connState       // guarded by connTable.mu
}

// delivery is an answer in the mailbox.
type delivery struct {
	tag    uint32
	answer core.Answer
}

// message is a message without an answer: a request, or a health check, which has no ID.
type message struct {
	tag uint32
	id  string
}

// replyHandle is where the core sends the answer to a message.
type replyHandle struct {
	k   *conn
	tag uint32
}

// restingOutputBytes is the largest buffer for output that a connection without messages in progress keeps.
const restingOutputBytes = 1 << 10

const (
	defaultWriteTimeoutMs = 1000 // how long a peer may take to read output that contains no answer
	minWriteTimeoutMs     = 100  // how long it may take at least, however late the write begins
)

// Deliver puts an answer into the mailbox of the connection. The core's goroutine calls it; it does not block.
func (t replyHandle) Deliver(a core.Answer) {
	t.k.mu.Lock()
	t.k.mailbox = append(t.k.mailbox, delivery{t.tag, a})
	first := len(t.k.mailbox) == 1
	t.k.deadlineChanged = true
	t.k.mu.Unlock()
	if first {
		t.k.c.SetReadDeadline(clock.Expired())
	}
}

// startDrain notifies the connection that the node accepts no more requests.
func (k *conn) startDrain() {
	k.mu.Lock()
	k.draining, k.deadlineChanged = true, true
	k.mu.Unlock()
	k.c.SetReadDeadline(clock.Expired())
}

// takeDeadlineChanged reports whether another goroutine has set the deadline since the last call.
func (k *conn) takeDeadlineChanged() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	changed := k.deadlineChanged
	k.deadlineChanged = false
	return changed
}

// hasWork reports whether an answer is in the mailbox or the protocol has to be told about the drain.
func (k *conn) hasWork() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.mailbox) > 0 || k.draining && !k.drainStarted || k.nodeEnded && !k.endAnnounced
}

// canEnd reports whether the node has ended and all messages are answered, with no part of an answer left to send.
func (k *conn) canEnd() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.nodeEnded && len(k.mailbox) == 0 && !k.owesAnswer()
}

// owesAnswer reports whether a message has no answer yet, or an answer is not written in whole.
func (k *conn) owesAnswer() bool { return len(k.pending) > 0 || k.proto.HasUnsentAnswer() }

// noteIdle tells the connection table when nothing is owed any more.
func (k *conn) noteIdle() {
	if k.busy && !k.owesAnswer() {
		k.busy = false
		_, lastAnswer := k.proto.Served()
		k.node.conns.markIdle(k, connState{answered: true, since: lastAnswer})
	}
}

// noteBusy tells the connection table that a message has come. It returns false if the connection was evicted before.
func (k *conn) noteBusy() bool {
	k.busy = k.busy || k.node.conns.markBusy(k)
	return k.busy
}

// processMailbox passes the contents of the mailbox to the protocol.
func (k *conn) processMailbox(t float64) {
	k.mu.Lock()
	k.mailbox, k.deliveries = k.deliveries[:0], k.mailbox
	startDrain, endDrain := k.draining && !k.drainStarted, k.nodeEnded && !k.endAnnounced
	k.mu.Unlock()
	if startDrain {
		k.drainStarted = true
		k.proto.StartDrain(t)
	}
	if endDrain {
		k.endAnnounced = true
		k.proto.EndDrain(t)
	}
	for i, l := range k.deliveries {
		if k.writeDeadline == 0 || l.answer.WriteDeadline < k.writeDeadline {
			k.writeDeadline = l.answer.WriteDeadline
		}
		k.removePending(l.tag)
		k.unsentAnswers++
		k.proto.Answer(t, l.tag, l.answer)
		k.deliveries[i] = delivery{} // allows the result to be garbage collected
	}
}

// removePending removes a message from the pending ones and returns it.
func (k *conn) removePending(tag uint32) (p message, ok bool) {
	for i := range k.pending {
		if k.pending[i].tag == tag {
			p = k.pending[i]
			k.pending[i] = k.pending[len(k.pending)-1]
			k.pending = k.pending[:len(k.pending)-1]
			return p, true
		}
	}
	return p, false
}

// logAndClose logs the end of the connection and closes it.
func (k *conn) logAndClose(code string) {
	served, _ := k.proto.Served()
	if code == "write" {
		served = max(0, served-k.unsentAnswers)
	}
	k.node.log("conn", "front", k.front, "peer", k.c.RemoteAddr(), "code", code, "served", served)
	k.c.Close()
}

func (k *conn) serve() {
	code := k.run()
	for _, p := range k.pending {
		if p.id != "" {
			k.node.submit(core.CallerGone{ID: p.id, ReplyTo: replyHandle{k, p.tag}})
		}
	}
	k.logAndClose(code)
	k.proto.Release()
	k.node.conns.remove(k) // after the log line, because shutdown waits for the removal
}

// readBufferBytes is the size of one read.
const readBufferBytes = 4096

// run reads and writes until the connection has to end, and returns the code of the reason.
func (k *conn) run() string {
	buf := make([]byte, readBufferBytes)
	for {
		t := clock.Now()
		k.processMailbox(t)
		if !k.passEvents(t) {
			return k.proto.PeerCloseReason(true)
		}
		written, code := k.writeOutput(t)
		if code != "" {
			return code
		}
		if written {
			continue // the write may have made room for more output
		}
		k.noteIdle()
		idle := float64(k.node.idleTimeoutMs.Load())
		k.setReadDeadline(idle)
		switch {
		case k.node.conns.revoked(k):
			if code := k.makeRoom(buf); code != "" {
				return code
			}
		case k.hasWork(): // it arrived before SetReadDeadline, which may have overwritten the wake-up
		case k.node.successorActive.Load() && k.handOff():
			return "moved"
		case k.canEnd():
			if k.finish(buf) {
				return "drain"
			}
		default:
			if code := k.awaitInput(buf, idle); code != "" {
				return code
			}
		}
	}
}

// passEvents passes the protocol's events to the core. It returns false if a request is left whose peer has closed the connection.
func (k *conn) passEvents(t float64) bool {
	for e, ok := k.proto.Next(t); ok; e, ok = k.proto.Next(t) {
		if e.Request != nil && k.hasPeerLeft() {
			return false
		}
		k.handleEvent(e)
	}
	return true
}

// writeOutput writes what the protocol has to send, and reports whether that was anything. If the connection has to end, it
// returns the code of the reason.
func (k *conn) writeOutput(t float64) (written bool, code string) {
	k.output = k.proto.AppendOutput(t, k.output[:0])
	code, linger := k.proto.CloseReason()
	if written = len(k.output) > 0; written {
		if linger {
			k.node.conns.markIdle(k, connState{}) // a protocol error was answered: the connection may be evicted
		}
		if err := k.write(); err != nil && !linger {
			return true, "write"
		} else if err == nil && linger {
			k.linger()
		}
	}
	if code != "" {
		k.awaitDelivery()
	}
	return written, code
}

// setReadDeadline sets the deadline of the next read to that of the protocol, unless it is set.
func (k *conn) setReadDeadline(idle float64) {
	if wake := k.proto.NextDeadline(idle); k.takeDeadlineChanged() || wake != k.readDeadline {
		k.readDeadline = wake
		k.c.SetReadDeadline(clock.Time(wake))
	}
}

// makeRoom ends a connection whose place was given to another one, and returns the code of the reason. It returns "" if
// something had arrived before: a request in it is refused first.
func (k *conn) makeRoom(buf []byte) string {
	if !k.lookedLast && k.hasUnreadBytes() && k.look(buf) {
		return ""
	}
	k.announceEnd()
	return "room"
}

// awaitInput waits for input, or for a deadline of the protocol, and passes it on. It returns a code if the connection has to
// end.
func (k *conn) awaitInput(buf []byte, idle float64) (code string) {
	if until := k.proto.ReadAfter(); until > clock.Now() {
		if k.pauseReading(until) {
			return k.proto.PeerCloseReason(true)
		}
		k.proto.HandleDeadline(clock.Now(), idle)
		return ""
	}
	n, err := k.c.Read(buf)
	if err == nil {
		k.lateReads = 0
	} else if errors.Is(err, os.ErrDeadlineExceeded) && k.deadlinePassed(idle) {
		n, err = k.readLate(buf)
	}
	switch {
	case n > 0:
		k.proto.Feed(clock.Now(), buf[:n])
		if n == len(buf) {
			runtime.Gosched() // more is waiting: a peer that sends without a pause must not keep the others waiting
		}
	case err == nil:
	case errors.Is(err, os.ErrDeadlineExceeded):
		k.readDeadline = -1                       // expired: it has to be set again, whoever set it
		k.proto.HandleDeadline(clock.Now(), idle) // not by a shorter one, before which nothing was read
	case errors.Is(err, net.ErrClosed) && k.owesAnswer():
		return "cut"
	case errors.Is(err, net.ErrClosed):
		return "drain"
	default:
		return k.proto.PeerCloseReason(errors.Is(err, io.EOF))
	}
	return ""
}

// announceEnd tells the peer of a connection that is closed for another one which of its messages were not read.
func (k *conn) announceEnd() {
	k.proto.EndDrain(clock.Now())
	if k.output = k.proto.AppendOutput(clock.Now(), k.output[:0]); len(k.output) > 0 {
		k.write()
	}
}

// deadlinePassed reports whether a deadline of the protocol has passed, so that the connection may be closed. If another
// goroutine set an expired read deadline to wake this one, it has not.
func (k *conn) deadlinePassed(idle float64) bool {
	at := k.proto.NextDeadline(idle)
	return at > 0 && clock.Now() >= at
}

// Reads after a deadline of the protocol. They are few and short: a peer that goes on sending slowly is not spared.
const (
	maxLateReads = 4 // enough for a whole request
	lateReadMs   = 1
)

// readLate looks at what has arrived before a deadline of the protocol is applied. A read whose deadline has passed does
// not: if this goroutine gets to run late, a message that came in time would be taken for none.
func (k *conn) readLate(buf []byte) (int, error) {
	if k.lateReads >= maxLateReads {
		return 0, os.ErrDeadlineExceeded
	}
	k.lateReads++
	return k.readArrived(buf)
}

// finish reports whether the connection may be closed at the end of the node: what arrived before is read, and all answers
// have reached the machine of the peer. Whatever arrives after a close resets the connection, and the kernel then drops what
// it has not delivered.
func (k *conn) finish(buf []byte) bool {
	if k.lookedLast && k.isDelivered() {
		return true
	}
	return !k.look(buf) && k.isDelivered()
}

// look reads what has arrived just before the connection is closed, and reports whether anything had: a request that was
// written in time gets an answer.
func (k *conn) look(buf []byte) bool {
	k.lookedLast = true
	n, _ := k.readArrived(buf)
	if n > 0 {
		k.proto.Feed(clock.Now(), buf[:n])
	} else {
		time.Sleep(lateReadMs * time.Millisecond)
	}
	return n > 0
}

// handleEvent passes a protocol event to the core.
func (k *conn) handleEvent(e front.Event) {
	switch {
	case e.Code != "":
		k.node.log("stream", "front", k.front, "peer", k.c.RemoteAddr(), "stream", int(e.Tag), "code", e.Code)
	case e.Cancelled:
		k.handleCancelled(e.Tag)
	case !k.noteBusy():
		k.refuseEvicted(e)
	default:
		k.submitMessage(e)
	}
}

// handleCancelled reports that the caller gave up a message.
func (k *conn) handleCancelled(tag uint32) {
	if p, ok := k.removePending(tag); ok && p.id != "" {
		k.node.submit(core.CallerGone{ID: p.id, ReplyTo: replyHandle{k, p.tag}})
	}
}

// refuseEvicted answers a message that was read on a connection whose place has been given to another one: what was read
// must not stay without an answer.
func (k *conn) refuseEvicted(e front.Event) {
	a := core.Answer{Outcome: core.Failed, Credit: -1, Close: true}
	if e.Request != nil {
		a.ID, a.Outcome = e.Request.ID, core.Refused
	}
	k.proto.Answer(clock.Now(), e.Tag, a)
}

// submitMessage passes a request or a health check to the core.
func (k *conn) submitMessage(e front.Event) {
	to := replyHandle{k, e.Tag}
	if e.Request == nil {
		k.pending = append(k.pending, message{tag: e.Tag})
		k.node.submit(core.HealthCheck{Deep: e.DeepCheck, ReplyTo: to})
		return
	}
	k.lateReads = 0
	k.pending = append(k.pending, message{e.Tag, e.Request.ID})
	e.Request.ReplyTo = to
	wait := e.Request.Due - e.Request.ArrivedAt
	e.Request.ArrivedAt = clock.FromUnix(e.Request.ArrivedAt)
	e.Request.Due = e.Request.ArrivedAt + wait
	k.node.submit(core.RequestArrived{Request: e.Request})
}

// linger reads and discards input for a moment after a protocol error was answered. Closing a socket with
// unread input would reset the connection, and the peer could lose the answer.
func (k *conn) linger() {
	if c, ok := k.c.(*net.TCPConn); ok {
		c.CloseWrite()
	}
	k.c.SetReadDeadline(clock.Time(clock.Now() + lingerMs))
	if k.node.conns.revoked(k) {
		return
	}
	io.CopyN(io.Discard, k.c, lingerMaxBytes)
}

// write writes the output within the earliest write deadline of the answers in it. If this goroutine got to run so late
// that the deadline has passed, the peer still gets a moment: a write whose deadline has passed writes nothing.
func (k *conn) write() error {
	t := clock.Now()
	by := max(k.writeDeadline, t+minWriteTimeoutMs)
	if k.writeDeadline == 0 {
		by = t + defaultWriteTimeoutMs
	}
	k.writeDeadline = 0
	k.c.SetWriteDeadline(clock.Time(by))
	_, err := k.c.Write(k.output)
	if err == nil {
		k.unsentAnswers = 0
	}
	if cap(k.output) > restingOutputBytes && len(k.pending) == 0 {
		k.output = nil
	}
	return err
}
