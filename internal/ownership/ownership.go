// Package ownership decides which of the processes of a node has the journal of kept operations while one succeeds another.
// The journal has one owner, by a lock that ends with its process; a run is told of only to the process that began it. So
// the process that is succeeded takes no new operations, ends those that it has in hand, and then gives up the journal;
// its successor tries for the lock, and refuses requests with a token until it has it.
//
// Machine is that of one process. It does no I/O and has no clock: absolute times in Unix milliseconds go in.
package ownership

// again is the pause between two tries for the journal, in milliseconds: a caller that was refused comes back later.
const again = 50.0

// Action is what is to be done.
type Action uint8

// What is to be done.
const (
	None   Action = iota
	Open          // try to open the journal, then say Opened
	Yield         // take no new operations and say Released once none is in hand
	Resume        // take new operations again
	Close         // close the journal, then say Closed
)

type state uint8

const (
	without  state = iota // another process may have the journal
	opening               // a try is under way
	holding               // this one has it
	yielding              // it has it, and ends what is in hand
	closing               // it is being closed
)

// Machine is one process towards the journal. Create it with New.
type Machine struct {
	state     state
	succeeded bool // another process serves: this one wants the journal no more
	tryAt     float64
	want      []Action
}

// New returns the machine of a process that has opened the journal, or of one that has yet to.
func New(held bool) *Machine {
	m := &Machine{}
	if held {
		m.state = holding
	}
	return m
}

// SetSuccessorServing tells that another process takes what comes, or that it is lost.
func (m *Machine) SetSuccessorServing(on bool) {
	if m.succeeded == on {
		return
	}
	m.succeeded = on
	switch {
	case on && m.state == holding:
		m.state = yielding
		m.want = append(m.want, Yield)
	case !on && m.state == yielding:
		m.state = holding
		m.want = append(m.want, Resume)
	}
}

// Released tells that no operation is in hand and none is taken. It may cross a Resume: the journal is let go all the same,
// as nothing keeps its books any more, and tried for again.
func (m *Machine) Released() {
	if m.state == yielding || m.state == holding {
		m.state = closing
		m.want = append(m.want, Close)
	}
}

// Closed tells that the journal is closed.
func (m *Machine) Closed(now float64) {
	if m.state == closing {
		m.state, m.tryAt = without, now
	}
}

// Opened tells what came of a try.
func (m *Machine) Opened(now float64, ok bool) {
	switch {
	case m.state != opening:
	case !ok:
		m.state, m.tryAt = without, now+again
	case m.succeeded:
		m.state = yielding
		m.want = append(m.want, Yield)
	default:
		m.state = holding
	}
}

// Owns tells whether this process has the journal.
func (m *Machine) Owns() bool { return m.state >= holding }

// NextAction returns what is to be done now, one after the other until there is nothing.
func (m *Machine) NextAction(now float64) Action {
	if len(m.want) > 0 {
		do := m.want[0]
		m.want = m.want[1:]
		return do
	}
	if m.state == without && !m.succeeded && now >= m.tryAt {
		m.state = opening
		return Open
	}
	return None
}

// WakeAt returns when NextAction has something to do if nothing happens; 0: never.
func (m *Machine) WakeAt() float64 {
	if m.state == without && !m.succeeded {
		return m.tryAt
	}
	return 0
}
