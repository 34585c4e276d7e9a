// Package membership decides what becomes of a node's entry in an ensemble: when it is made, marked as draining and removed, and when
// a connection or a step that failed is tried again. It knows no ensemble and does no I/O: a driver tells it what happened, with an
// absolute now in Unix milliseconds, and carries out one step at a time.
package membership

import "math/rand/v2"

// Phase says where the entry stands.
type Phase uint8

// The phases.
const (
	NoSession   Phase = iota // no session with the ensemble
	Unconfirmed              // a session, and the entry is not known to stand as it should
	Registered               // the entry is the session's and stands as it should
	Foreign                  // the entry under the name is another node's
	Finished                 // nothing is wanted any more
)

// Action is what the driver is to do.
type Action uint8

// The actions.
const (
	Read         Action = iota // read the entry, and watch it
	Create                     // make the entry, and what is above it
	Write                      // replace its content
	Replace                    // remove it and make it anew, in one
	Remove                     // remove it
	CloseSession               // end the session
)

// Step is one step of the driver's. Version is that of the entry that is replaced or removed, or -1 for any.
type Step struct {
	Action  Action
	Content Entry
	Version int32
}

// Code is how a step ended.
type Code uint8

// The codes.
const (
	OK             Code = iota
	NotFound            // there is no entry
	Conflict            // the entry is another than was looked at, or is there already
	ConnectionLost      // the connection or the session ended
	Failed              // refused: not allowed, full, no such place
)

// Result is the end of a step. What follows Code is of Read alone.
type Result struct {
	Code    Code
	Owner   int64 // session that the entry is bound to; 0: none
	Version int32
	Content Entry
	Valid   bool // the content is an entry
}

// Times in milliseconds, and their bounds.
const (
	stepFirst   = 1000.0  // pause after a step that failed; twice as long after each that follows
	stepMost    = 30000.0 // and at most
	foreignWait = 5000.0  // an entry that is another's is looked at again so much later, or when it changes
	dialPart    = 0.25    // part of the session's time that the first pause before a connection is at most
	dialMost    = 0.5     // and the longest: a session whose ensemble came back must not expire for want of a try
	leastPart   = 0.5     // part of a pause that is certain; the rest is drawn, so that nodes don't come back at once
)

// Machine decides for one entry. Create it with New. It is not safe for concurrent use.
type Machine struct {
	self      Entry
	sessionMs float64
	draw      *rand.Rand

	session int64 // 0: none
	since   float64
	stands  Phase
	found   Result // of the last look, while fresh
	fresh   bool
	busy    bool // a step is out
	stale   bool // what comes of it says nothing any more

	yielded  bool
	drained  bool    // operators have sent the clients away
	leaveAt  float64 // the entry is removed from then on; 0: the node stays
	leaveIn  float64 // and so long after the notice
	again    float64 // no step before
	failures int
	dials    int
	dialAt   float64
	asked    bool // when it may be, since the last connection ended
}

// New returns the machine of a node that serves. Sessions last sessionMs after the ensemble heard of the node last.
func New(self Entry, sessionMs float64, seed uint64) *Machine {
	self.Draining = false
	return &Machine{self: self, sessionMs: sessionMs, draw: rand.New(rand.NewPCG(seed, 1))}
}

// Phase returns where the entry stands.
func (m *Machine) Phase() Phase { return m.stands }

// Draining tells what the entry is to say.
func (m *Machine) Draining() bool { return m.drained || m.leaveAt > 0 }

func (m *Machine) pause(most float64) float64 {
	return most * (leastPart + (1-leastPart)*m.draw.Float64())
}

// unsure forgets what was seen of the entry.
func (m *Machine) unsure() {
	m.fresh, m.stale = false, m.busy
	if m.stands != Finished {
		m.stands = NoSession
		if m.session != 0 {
			m.stands = Unconfirmed
		}
	}
}

// SessionOpened takes in that a session is there, a new one or the one of before.
func (m *Machine) SessionOpened(now float64, session int64) {
	m.session, m.since = session, now
	m.unsure()
	m.again, m.failures = now, 0
}

// ConnectionClosed takes in that a connection ended or could not be made. The session may last; a new connection is to wait until DialAt.
func (m *Machine) ConnectionClosed(now float64) {
	if m.session == 0 && !m.asked {
		return // the end of a session is told beside that of its connection
	}
	if m.session != 0 && now-m.since >= m.sessionMs {
		m.dials = 0 // it held: this is no flapping
	}
	m.session = 0
	m.unsure()
	part := dialPart
	for range m.dials {
		part = min(2*part, dialMost)
	}
	m.dials = min(m.dials+1, 8)
	m.dialAt, m.asked = now+m.pause(part*m.sessionMs), false
}

// DialAt returns when the next connection may be tried. A clock that was set back does not hold it up. A driver that asks only after
// the pause is over had one of its own, which others have too: it is spread again.
func (m *Machine) DialAt(now float64) float64 {
	if !m.asked && m.dials > 0 && now > m.dialAt {
		m.dialAt = now + leastPart*dialPart*m.sessionMs*m.draw.Float64()
	}
	m.asked = true
	return min(m.dialAt, now+dialMost*m.sessionMs)
}

// EntryChanged takes in that somebody changed or removed the entry.
func (m *Machine) EntryChanged(now float64) {
	m.unsure()
	if m.failures == 0 {
		m.again = now
	}
}

// Yield leaves the entry to another process of the node, or takes it back.
func (m *Machine) Yield(now float64, on bool) {
	m.yielded = on
	m.EntryChanged(now)
}

// Drain marks the node as draining, or takes that back. After Leave it does nothing.
func (m *Machine) Drain(now float64, on bool) {
	if m.drained != on {
		m.drained = on
		m.EntryChanged(now)
	}
}

// Leave marks the node as draining for good, and removes the entry at an absolute time.
func (m *Machine) Leave(now, removeAt float64) {
	if m.leaveAt == 0 {
		m.leaveAt, m.leaveIn = max(removeAt, 1), max(removeAt-now, 0)
		m.EntryChanged(now)
	}
}

// NextStep returns the step to take now. Where there is none, wake is when to ask again unless something happens; 0: never.
func (m *Machine) NextStep(now float64) (s Step, ok bool, wake float64) {
	// A clock that was set back must not hold up the removal, nor a step, for longer than it was to wait.
	m.leaveAt, m.again = min(m.leaveAt, now+m.leaveIn), min(m.again, now+stepMost)
	leaves := m.leaveAt > 0 && now >= m.leaveAt
	switch {
	case m.stands == Finished || m.busy:
		return s, false, 0
	case leaves && (m.session == 0 || m.yielded):
		m.stands = Finished
		return Step{Action: CloseSession}, true, 0
	case m.session == 0, m.yielded:
		return s, false, m.leaveAt
	}
	if now < m.again && !leaves {
		return s, false, m.sooner(m.again)
	}
	s = Step{Content: m.self, Version: m.found.Version}
	s.Content.Draining = m.Draining()
	own := m.found.Code == OK && m.found.Owner == m.session
	switch {
	case !m.fresh && leaves && m.failures > 0:
		m.stands = Finished // the end of the session removes what is its own
		return Step{Action: CloseSession}, true, 0
	case !m.fresh:
		s.Action = Read
	case leaves && !own:
		m.stands = Finished
		return Step{Action: CloseSession}, true, 0
	case leaves:
		s.Action = Remove
	case m.leaveAt > 0 && !own:
		return s, false, m.leaveAt // who leaves registers no more
	case m.found.Code == OK && !own && m.found.Valid && m.self.Supersedes(m.found.Content):
		s.Action = Replace
	case m.found.Code == OK && !own:
		m.stands, m.fresh, m.again = Foreign, false, now+m.pause(foreignWait)
		return s, false, m.sooner(m.again)
	case own && m.found.Valid && m.found.Content == s.Content:
		m.stands = Registered
		return s, false, m.leaveAt
	case own:
		s.Action = Write
	default:
		s.Action = Create
	}
	m.busy, m.stale = true, false
	return s, true, 0
}

func (m *Machine) sooner(at float64) float64 {
	if m.leaveAt > 0 {
		return min(at, m.leaveAt)
	}
	return at
}

// StepDone takes in the end of the step that was taken last.
func (m *Machine) StepDone(now float64, s Step, r Result) {
	m.busy = false
	stale := m.stale
	m.stale = false
	if r.Code == ConnectionLost && !stale {
		m.session = 0 // the driver will tell of the next one
		m.unsure()
	}
	if r.Code == Failed || r.Code == Conflict || s.Action == Create && r.Code == NotFound { // what it is to stand under is gone again
		// Hands that change are a failure too: two that fight for an entry must not do so at full speed.
		most := stepFirst
		for range m.failures {
			most = min(2*most, stepMost)
		}
		m.failures = min(m.failures+1, 16)
		m.again = now + m.pause(most)
	} else if r.Code == OK && (s.Action == Create || s.Action == Replace || s.Action == Write) {
		m.failures = 0
	}
	if s.Action != Read || stale || r.Code != OK && r.Code != NotFound {
		m.fresh = false // what was written is looked at, and watched from then on
		return
	}
	m.found, m.fresh = r, true
}
