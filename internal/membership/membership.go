// Package membership is the state machine of a node's entry (znode) in a ZooKeeper ensemble. It decides when the entry
// is created, marked as draining and removed, and when a failed connection or step is retried. It does no I/O: a driver
// reports what happened, with the current time in Unix milliseconds, and carries out one step at a time.
package membership

import "math/rand/v2"

// Phase is the state of the entry as the node knows it.
type Phase uint8

// The phases.
const (
	NoSession   Phase = iota // no session with the ensemble
	Unconfirmed              // there is a session, but the entry is not confirmed
	Registered               // the entry belongs to the session and has the right content
	Foreign                  // the entry under this name belongs to another node
	Finished                 // the node has left; no more steps follow
)

// Action is what a step asks the driver to do.
type Action uint8

// The actions.
const (
	Read         Action = iota // read the entry and set a watch on it
	Create                     // create the entry and its missing parents
	Write                      // replace the content of the entry
	Replace                    // remove the entry and create it again in one transaction
	Remove                     // remove the entry
	CloseSession               // end the session
)

// Step is one step for the driver to carry out. Write, Replace and Remove apply only to an entry that has Version; -1
// means any.
type Step struct {
	Action  Action
	Content Entry
	Version int32
}

// Code is the outcome of a step.
type Code uint8

// The codes.
const (
	OK             Code = iota
	NotFound            // the entry, or for Create its parent, does not exist
	Conflict            // the entry has another version than the one read, or exists already
	ConnectionLost      // the connection or the session ended
	Failed              // the ensemble refused the step for another reason, such as missing rights
)

// Result is the outcome of a step. Only Read sets the fields after Code.
type Result struct {
	Code    Code
	Owner   int64 // session that owns the entry; 0: none
	Version int32
	Content Entry
	Valid   bool // Content could be parsed
}

// Pauses between retries.
const (
	firstStepBackoffMs    = 1000.0  // longest first pause after a failed step; it doubles with each further failure
	maxStepBackoffMs      = 30000.0 // longest pause after a failed step
	foreignRecheckMs      = 5000.0  // longest pause until an entry of another node is read again, unless it changes before
	firstDialBackoffRatio = 0.25    // longest first pause before a reconnection, as a ratio of the session timeout
	maxDialBackoffRatio   = 0.5     // longest pause; longer ones could let a session expire after the ensemble has returned
	minPauseRatio         = 0.5     // fixed ratio of a pause; the rest is random so that nodes do not all return at once
)

// Machine is the state machine of one entry. Create it with New. It is not safe for concurrent use.
type Machine struct {
	self      Entry
	sessionMs float64
	random    *rand.Rand

	session     int64   // 0: none
	openedAt    float64 // time at which the session was opened or resumed
	phase       Phase
	found       Result // outcome of the last read; valid while fresh
	fresh       bool   // nothing has happened that could have changed the entry since it was read
	stepPending bool   // the driver is carrying out a step
	resultStale bool   // the result of the pending step is out of date

	yielded         bool    // the entry is left to another process of the node
	operatorDrained bool    // operators have drained the node
	removeAt        float64 // time from which the entry is to be removed; 0: the node stays
	removeDelay     float64 // time from the notice to removeAt
	nextStepAt      float64 // earliest time of the next step
	failures        int     // failed steps in a row, at most 16
	dialAttempts    int     // connections lost or failed in a row, at most 8
	dialAt          float64 // earliest time of the next connection attempt
	dialAsked       bool    // DialAt was called since the last connection ended
}

// New returns the machine of a node that serves. sessionMs is the session timeout: a session expires when the ensemble
// has not heard from the node for that time.
func New(self Entry, sessionMs float64, seed uint64) *Machine {
	self.Draining = false
	return &Machine{self: self, sessionMs: sessionMs, random: rand.New(rand.NewPCG(seed, 1))}
}

// Phase returns the state of the entry.
func (m *Machine) Phase() Phase { return m.phase }

// Draining reports whether the entry is to be marked as draining.
func (m *Machine) Draining() bool { return m.operatorDrained || m.removeAt > 0 }

// pause returns a random pause between minPauseRatio*longest and longest.
func (m *Machine) pause(longest float64) float64 {
	return longest * (minPauseRatio + (1-minPauseRatio)*m.random.Float64())
}

// invalidate discards what is known of the entry, including the result of a pending step.
func (m *Machine) invalidate() {
	m.fresh, m.resultStale = false, m.stepPending
	if m.phase != Finished {
		m.phase = NoSession
		if m.session != 0 {
			m.phase = Unconfirmed
		}
	}
}

// SessionOpened records that a session is open: a new one, or the previous one on a new connection.
func (m *Machine) SessionOpened(now float64, session int64) {
	m.session, m.openedAt = session, now
	m.invalidate()
	m.nextStepAt, m.failures = now, 0
}

// ConnectionClosed records that a connection ended or could not be established. The session may outlive it. The next
// connection must wait until DialAt.
func (m *Machine) ConnectionClosed(now float64) {
	if m.session == 0 && !m.dialAsked {
		return // the driver reports the end of a session in addition to that of its connection
	}
	if m.session != 0 && now-m.openedAt >= m.sessionMs {
		m.dialAttempts = 0 // the connection lasted for a session timeout, so it is not flapping
	}
	m.session = 0
	m.invalidate()
	ratio := firstDialBackoffRatio
	for range m.dialAttempts {
		ratio = min(2*ratio, maxDialBackoffRatio)
	}
	m.dialAttempts = min(m.dialAttempts+1, 8)
	m.dialAt, m.dialAsked = now+m.pause(ratio*m.sessionMs), false
}

// DialAt returns the earliest time of the next connection attempt. A clock that was set back does not delay it further.
// A driver that calls DialAt only after that time has paused by itself. Drivers of other nodes pause equally long, so
// another random delay is added.
func (m *Machine) DialAt(now float64) float64 {
	if !m.dialAsked && m.dialAttempts > 0 && now > m.dialAt {
		m.dialAt = now + minPauseRatio*firstDialBackoffRatio*m.sessionMs*m.random.Float64()
	}
	m.dialAsked = true
	return min(m.dialAt, now+maxDialBackoffRatio*m.sessionMs)
}

// EntryChanged records that the entry was changed or removed.
func (m *Machine) EntryChanged(now float64) {
	m.invalidate()
	if m.failures == 0 {
		m.nextStepAt = now
	}
}

// Yield leaves the entry to another process of the node or, with on false, claims it again.
func (m *Machine) Yield(now float64, on bool) {
	m.yielded = on
	m.EntryChanged(now)
}

// Drain marks the node as draining or, with on false, as serving. After Leave the node stays marked as draining.
func (m *Machine) Drain(now float64, on bool) {
	if m.operatorDrained != on {
		m.operatorDrained = on
		m.EntryChanged(now)
	}
}

// Leave marks the node as draining for good and schedules the removal of the entry. Only the first call has an effect.
func (m *Machine) Leave(now, removeAt float64) {
	if m.removeAt == 0 {
		m.removeAt, m.removeDelay = max(removeAt, 1), max(removeAt-now, 0)
		m.EntryChanged(now)
	}
}

// NextStep returns the step to carry out now. If there is none, ok is false and wake is the time to call it again unless
// something happens before; 0 means never.
func (m *Machine) NextStep(now float64) (s Step, ok bool, wake float64) {
	// A clock that was set back must not delay the removal or a step beyond the intended wait.
	m.removeAt, m.nextStepAt = min(m.removeAt, now+m.removeDelay), min(m.nextStepAt, now+maxStepBackoffMs)
	removalDue := m.removeAt > 0 && now >= m.removeAt
	switch {
	case m.phase == Finished || m.stepPending:
		return s, false, 0
	case removalDue && (m.session == 0 || m.yielded):
		m.phase = Finished
		return Step{Action: CloseSession}, true, 0
	case m.session == 0, m.yielded:
		return s, false, m.removeAt
	}
	if now < m.nextStepAt && !removalDue {
		return s, false, m.capAtRemoval(m.nextStepAt)
	}
	s = Step{Content: m.self, Version: m.found.Version}
	s.Content.Draining = m.Draining()
	owned := m.found.Code == OK && m.found.Owner == m.session
	switch {
	case !m.fresh && removalDue && m.failures > 0:
		m.phase = Finished // the end of the session removes the entry that it owns
		return Step{Action: CloseSession}, true, 0
	case !m.fresh:
		s.Action = Read
	case removalDue && !owned:
		m.phase = Finished
		return Step{Action: CloseSession}, true, 0
	case removalDue:
		s.Action = Remove
	case m.removeAt > 0 && !owned:
		return s, false, m.removeAt // a node that leaves does not register again
	case m.found.Code == OK && !owned && m.found.Valid && m.self.Supersedes(m.found.Content):
		s.Action = Replace
	case m.found.Code == OK && !owned:
		m.phase, m.fresh, m.nextStepAt = Foreign, false, now+m.pause(foreignRecheckMs)
		return s, false, m.capAtRemoval(m.nextStepAt)
	case owned && m.found.Valid && m.found.Content == s.Content:
		m.phase = Registered
		return s, false, m.removeAt
	case owned:
		s.Action = Write
	default:
		s.Action = Create
	}
	m.stepPending, m.resultStale = true, false
	return s, true, 0
}

// capAtRemoval returns at, or the time of the removal if that is earlier.
func (m *Machine) capAtRemoval(at float64) float64 {
	if m.removeAt > 0 {
		return min(at, m.removeAt)
	}
	return at
}

// StepDone records the result of the step that NextStep returned last.
func (m *Machine) StepDone(now float64, s Step, r Result) {
	m.stepPending = false
	resultStale := m.resultStale
	m.resultStale = false
	if r.Code == ConnectionLost && !resultStale {
		m.session = 0 // the driver reports the next session
		m.invalidate()
	}
	if r.Code == Failed || r.Code == Conflict || s.Action == Create && r.Code == NotFound { // its parent was removed again
		// A conflict counts as a failure: two nodes that contend for an entry must not do so at full speed.
		backoff := firstStepBackoffMs
		for range m.failures {
			backoff = min(2*backoff, maxStepBackoffMs)
		}
		m.failures = min(m.failures+1, 16)
		m.nextStepAt = now + m.pause(backoff)
	} else if r.Code == OK && (s.Action == Create || s.Action == Replace || s.Action == Write) {
		m.failures = 0
	}
	if s.Action != Read || resultStale || r.Code != OK && r.Code != NotFound {
		m.fresh = false // a written entry is read again, which sets a watch
		return
	}
	m.found, m.fresh = r, true
}
