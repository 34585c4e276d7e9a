// Package ownership decides which process of a node owns the journal of kept operations while one process succeeds
// another. The journal has one owner at a time, enforced by a lock that is released when its process ends. The result
// of a run is reported only to the process that started it. A process that is succeeded therefore stops accepting new
// operations, finishes those in progress, and then closes the journal. Its successor keeps trying to acquire the lock,
// and refuses requests with a token until it has it.
//
// Machine is the state machine of one process. It does no I/O and has no clock: callers pass absolute times in Unix
// milliseconds.
package ownership

// retryIntervalMs is the pause between two attempts to open the journal. It is short because callers whose requests were
// refused retry later.
const retryIntervalMs = 50.0

// Action is the next thing for the driver to do.
type Action uint8

// The actions.
const (
	None   Action = iota
	Open          // try to open the journal, then call Opened
	Yield         // stop accepting new operations, and call Released once none is in progress
	Resume        // accept new operations again
	Close         // close the journal, then call Closed
)

type state uint8

const (
	notOwner state = iota // another process may own the journal
	opening               // an attempt to open the journal is in progress
	owner                 // this process owns the journal
	yielding              // this process owns the journal and finishes the operations in progress
	closing               // the journal is being closed
)

// Machine is the journal ownership state of one process. Create it with New.
type Machine struct {
	state            state
	successorServing bool     // another process serves, so this one no longer tries to own the journal
	retryAt          float64  // earliest time of the next attempt to open the journal
	pending          []Action // actions that NextAction has yet to return
}

// New returns the machine of a process that has already opened the journal (held), or of one that has yet to open it.
func New(held bool) *Machine {
	m := &Machine{}
	if held {
		m.state = owner
	}
	return m
}

// SetSuccessorServing records that a successor accepts new requests or, with on false, that the successor was lost.
func (m *Machine) SetSuccessorServing(on bool) {
	if m.successorServing == on {
		return
	}
	m.successorServing = on
	switch {
	case on && m.state == owner:
		m.state = yielding
		m.pending = append(m.pending, Yield)
	case !on && m.state == yielding:
		m.state = owner
		m.pending = append(m.pending, Resume)
	}
}

// Released records that no operation is in progress and none is accepted. It may cross a Resume: the journal is closed
// even then, because the core no longer keeps the table of its operations, and is opened again afterwards.
func (m *Machine) Released() {
	if m.state == yielding || m.state == owner {
		m.state = closing
		m.pending = append(m.pending, Close)
	}
}

// Closed records that the journal is closed.
func (m *Machine) Closed(now float64) {
	if m.state == closing {
		m.state, m.retryAt = notOwner, now
	}
}

// Opened records the result of an attempt to open the journal.
func (m *Machine) Opened(now float64, ok bool) {
	switch {
	case m.state != opening:
	case !ok:
		m.state, m.retryAt = notOwner, now+retryIntervalMs
	case m.successorServing:
		m.state = yielding
		m.pending = append(m.pending, Yield)
	default:
		m.state = owner
	}
}

// Owns reports whether this process owns the journal.
func (m *Machine) Owns() bool { return m.state >= owner }

// NextAction returns the next action to carry out. Call it repeatedly until it returns None.
func (m *Machine) NextAction(now float64) Action {
	if len(m.pending) > 0 {
		action := m.pending[0]
		m.pending = m.pending[1:]
		return action
	}
	if m.state == notOwner && !m.successorServing && now >= m.retryAt {
		m.state = opening
		return Open
	}
	return None
}

// WakeAt returns the time at which to call NextAction again if nothing happens before; 0 means never.
func (m *Machine) WakeAt() float64 {
	if m.state == notOwner && !m.successorServing {
		return m.retryAt
	}
	return 0
}
