package front

import "whinrudder/internal/core"

// A Protocol is the state machine of one connection. It knows no socket and no clock: bytes and absolute times in Unix
// milliseconds go in; messages for the core, and bytes to be written, come out. A connection may have many messages
// in hand, each with a tag of its own.
type Protocol interface {
	// Feed takes bytes that were read.
	Feed(now float64, b []byte)
	// Next returns the next event for the core, or false if there is none for now.
	Next(now float64) (Event, bool)
	// Answer takes the final answer to the message of a tag. One that is not in hand any more is passed over.
	Answer(now float64, tag uint32, a core.Answer)
	// AppendOutput appends what is to be written now.
	AppendOutput(now float64, b []byte) []byte
	// StartDrain tells that the node wants no more requests.
	StartDrain(now float64)
	// NextDeadline returns when the machine must be looked at again if nothing comes, or 0 if it need not. A connection at rest
	// may be idle for so long.
	NextDeadline(idle float64) float64
	// HandleDeadline is called at that time.
	HandleDeadline(now, idle float64)
	// CloseReason returns the code of why the connection is to end once all of AppendOutput is written, or an empty one. After a linger the
	// peer's bytes are read on for a moment, lest they reset what it was told.
	CloseReason() (code string, linger bool)
	// PeerCloseReason returns the code of a connection that the peer closed (eof) or broke.
	PeerCloseReason(eof bool) string
	// Served tells how many answers that are no faults were given, and when the last was, or the connection began.
	Served() (n int, at float64)
}

// Event is something that a peer said or did.
type Event struct {
	Message
	Tag       uint32
	Cancelled bool // the message of the tag, in hand until now, is given up by its caller
	// Code tells of a message of the tag that could not be read, on a connection that goes on: it leaves a line in the
	// log, and that is all.
	Code string
}

// Times of connections with one message in hand at a time, in milliseconds: how long such a connection has from its
// accept to its first whole message, and how long a later message may take from its first byte to its last. Peers
// send a message in one go.
const (
	firstFor = 2000
	partFor  = 2000
)

// maxAhead bounds what a peer may send while its request is in hand.
const maxAhead = 16 << 10

// SerialConn is the protocol of a connection that carries one message at a time, read by a Parser.
type SerialConn struct {
	parser Parser
	since  float64 // when the last message ended, or the first byte of a part came
	served int
	tag    uint32
	busy   bool // the message of the tag is in hand
	owed   bool // and it is a request, whose caller may give up
	last   bool // the connection ends after the answer
	out    []byte
	code   string // of the end
	linger bool
}

// NewSerialConn returns the protocol of a connection that was accepted at a time.
func NewSerialConn(p Parser, now float64) *SerialConn { return &SerialConn{parser: p, since: now} }

// ResumeSerialConn returns the protocol of a connection on which so many answers were given before, the last at a time.
func ResumeSerialConn(p Parser, served int, since float64) *SerialConn {
	return &SerialConn{parser: p, since: since, served: served}
}

// Idle tells whether nothing is in hand, half read or to be written: another process may go on with the connection.
func (s *SerialConn) Idle() bool {
	return !s.busy && s.code == "" && len(s.out) == 0 && s.parser.Buffered() == 0
}

// Feed takes bytes that were read.
func (s *SerialConn) Feed(now float64, b []byte) {
	if !s.busy && s.parser.Buffered() == 0 && s.served > 0 {
		s.since = now
	}
	s.parser.Feed(b)
	if s.busy && s.parser.Buffered() > maxAhead && s.code == "" {
		s.code = "ahead"
	}
}

// Next returns the next message once the one before it is answered.
func (s *SerialConn) Next(float64) (Event, bool) {
	if s.busy || s.code != "" {
		return Event{}, false
	}
	m, ok := s.parser.Next()
	if !ok {
		return Event{}, false
	}
	if m.Fault != nil {
		s.out = appendFault(s.out, m.Fault)
		s.code, s.linger = m.Fault.Code, true
		return Event{}, false
	}
	s.tag++
	s.busy, s.owed, s.last = true, m.Request != nil, m.Close
	return Event{Message: m, Tag: s.tag}, true
}

// Answer writes the final answer to what is in hand.
func (s *SerialConn) Answer(now float64, tag uint32, a core.Answer) {
	if !s.busy || tag != s.tag {
		return
	}
	last := s.last || a.Close || a.Outcome == core.Duplicate
	s.busy, s.owed = false, false
	s.out = appendAnswer(s.out, a, last)
	s.served++
	s.since = now
	switch {
	case s.code != "":
	case a.Outcome == core.Duplicate:
		s.code = "twice-id"
	case last:
		s.code = "close"
	}
}

// AppendOutput appends what is to be written.
func (s *SerialConn) AppendOutput(_ float64, b []byte) []byte {
	b = append(b, s.out...)
	s.out = s.out[:0]
	return b
}

// StartDrain does nothing: an answer tells the peer when the node wants no more requests.
func (s *SerialConn) StartDrain(float64) {}

// NextDeadline returns when the connection ends if nothing comes: never while an answer is owed.
func (s *SerialConn) NextDeadline(idle float64) float64 {
	switch {
	case s.busy:
		return 0
	case s.served == 0:
		return s.since + firstFor
	case s.parser.Buffered() > 0:
		return s.since + partFor
	}
	return s.since + idle
}

// HandleDeadline ends a connection whose time is over.
func (s *SerialConn) HandleDeadline(now, idle float64) {
	at := s.NextDeadline(idle)
	switch {
	case at == 0 || now < at || s.code != "":
	case s.parser.Buffered() > 0:
		s.code = "slow"
	case s.served == 0:
		s.code = "silent"
	default:
		s.code = "idle"
	}
}

// CloseReason returns the code of the end.
func (s *SerialConn) CloseReason() (string, bool) { return s.code, s.linger }

// PeerCloseReason returns the code of an end by the peer.
func (s *SerialConn) PeerCloseReason(eof bool) string {
	switch {
	case s.owed:
		return "gone"
	case eof && s.parser.Buffered() == 0:
		return "eof"
	case eof:
		return "part"
	}
	return "reset"
}

// Served tells how many answers were given.
func (s *SerialConn) Served() (int, float64) { return s.served, s.since }
