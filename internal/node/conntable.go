package node

import (
	"sync"
	"time"

	"whinrudder/internal/clock"
	"whinrudder/internal/memory"
)

// When the connection table is full, a new connection may replace one that has sent no request for newConnGraceMs
// since its accept, or none for idleConnGraceMs since its last answer. After a shorter silence a request may be in
// flight.
const (
	newConnGraceMs  = 100
	idleConnGraceMs = 500
)

// A new connection waits for room for at most roomWaitMs, while there is one that may make room after a short rest; it looks
// every roomPollMs.
const (
	roomWaitMs = 500
	roomPollMs = 5
)

// connState is what the table knows about a connection.
type connState struct {
	busy     bool    // a message is pending
	revoked  bool    // evicted: its place was given to another connection
	answered bool    // it has been sent an answer other than a protocol error
	since    float64 // time of the last answer, or else of the accept, in Unix milliseconds
}

// connTable holds the connections of callers, up to a number and to a memory budget.
type connTable struct {
	budget   *memory.Budget // shared with the protocols of the connections
	mu       sync.Mutex     // guards the fields below and the state of each conn
	maxConns int
	draining bool // connections are told so from the start
	stopping bool // the listeners are about to close: new connections don't wait for room
	conns    map[*conn]bool
	removed  sync.Cond // broadcast when a connection is removed
}

// add adds a new connection. If there is no room, it evicts an idle connection and waits until that has ended. It returns
// false if every connection whose end would make room is busy, or goes on to be for roomWaitMs. A connection that waits for
// room stays unread, where one that is closed would lose the request that its peer has written.
func (t *connTable) add(k *conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conns == nil {
		t.conns, t.removed.L = map[*conn]bool{}, &t.mu
	}
	k.state.since = clock.Now()
	for by := k.state.since + roomWaitMs; len(t.conns) >= t.maxConns || !t.budget.Reserve(k.sharedBytes); {
		k.state.since = clock.Now()
		victim, later := t.evictionCandidate(k.state.since, len(t.conns) < t.maxConns)
		switch {
		case victim != nil:
			victim.state.revoked = true
			victim.c.SetReadDeadline(clock.Expired())
			t.removed.Wait()
		case !later || t.stopping || k.state.since >= by:
			return false
		default:
			t.mu.Unlock()
			time.Sleep(roomPollMs * time.Millisecond)
			t.mu.Lock()
		}
	}
	t.conns[k] = true
	k.draining = t.draining
	return true
}

// evictionCandidate returns, of the connections without an answer, the one that was accepted first, or else the
// one whose last answer is the oldest, or nil; later reports whether another one may be evicted soon or is ending. With
// forBudget only those count that hold a part of the budget.
func (t *connTable) evictionCandidate(now float64, forBudget bool) (found *conn, later bool) {
	for k := range t.conns {
		s := k.state
		switch {
		case forBudget && k.sharedBytes == 0, s.busy && !s.revoked:
		case s.revoked, !s.answered && now-s.since < newConnGraceMs, s.answered && now-s.since < idleConnGraceMs:
			later = true
		case found == nil || !s.answered && found.state.answered,
			s.answered == found.state.answered && s.since < found.state.since:
			found = k
		}
	}
	return found, later
}

// markBusy notes that a connection has a pending message. It returns false if the connection was evicted
// before.
func (t *connTable) markBusy(k *conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	k.state.busy = !k.state.revoked
	return k.state.busy
}

// markIdle notes that a connection has no pending message.
func (t *connTable) markIdle(k *conn, s connState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s.revoked = k.state.revoked
	k.state = s
}

// revoked reports whether a connection was evicted.
func (t *connTable) revoked(k *conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return k.state.revoked
}

// stop makes new connections wait for room no more.
func (t *connTable) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopping = true
}

// setLimit sets the maximum number of connections. Open connections are not closed.
func (t *connTable) setLimit(limit int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.maxConns = limit
}

func (t *connTable) remove(k *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.conns, k)
	t.budget.Release(k.sharedBytes)
	t.removed.Broadcast()
}

// drainAll notifies all connections, also those that are added later, that the node accepts no more requests.
func (t *connTable) drainAll() {
	t.mu.Lock()
	t.draining = true
	t.mu.Unlock()
	t.each((*conn).startDrain)
}

// wakeAll makes all connections compute their deadlines again.
func (t *connTable) wakeAll() {
	t.each(func(k *conn) { k.c.SetReadDeadline(clock.Expired()) })
}

// Times of shutdown, in milliseconds: the connections first write the answers in their mailboxes, then the remaining
// ones are closed and their log lines are waited for.
const (
	finalAnswersMs  = 40
	finalLogLinesMs = 10
)

// closeAll ends all connections. The core's last step may answer requests as well, so pending answers are
// written first, until finalAnswersMs have passed or, if that is later, until an absolute time.
func (t *connTable) closeAll(by float64) {
	t.each(func(k *conn) {
		k.mu.Lock()
		k.nodeEnded, k.deadlineChanged = true, true
		k.mu.Unlock()
		k.c.SetReadDeadline(clock.Expired())
	})
	t.waitEmpty(max(by, clock.Now()+finalAnswersMs))
	t.each(func(k *conn) { k.c.Close() })
	t.waitEmpty(clock.Now() + finalLogLinesMs)
}

// each calls do for every connection.
func (t *connTable) each(do func(*conn)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for k := range t.conns {
		do(k)
	}
}

// waitEmpty waits until there are no connections, at most until an absolute time.
func (t *connTable) waitEmpty(by float64) {
	for ; clock.Now() < by; time.Sleep(time.Millisecond) {
		t.mu.Lock()
		left := len(t.conns)
		t.mu.Unlock()
		if left == 0 {
			return
		}
	}
}
