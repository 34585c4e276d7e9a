package front

import "whinrudder/internal/core"

// A Protocol is the state machine of one connection. It uses no socket and no clock: its input is received bytes and
// absolute times in Unix milliseconds, its output is messages for the core and bytes to send. A connection may have
// several messages in progress; a tag, unique on the connection, identifies each.
type Protocol interface {
	// Feed processes received bytes.
	Feed(now float64, b []byte)
	// ReadAfter returns a time before which no more bytes should be read from the peer, because it sends too much; 0 if there is
	// none. The peer's bytes wait in the kernel meanwhile.
	ReadAfter() float64
	// Next returns the next event for the core, or false if there is none yet.
	Next(now float64) (Event, bool)
	// Answer accepts the final answer to the message with a tag. It is ignored if the message is no longer in progress.
	Answer(now float64, tag uint32, a core.Answer)
	// AppendOutput appends the bytes to send now.
	AppendOutput(now float64, b []byte) []byte
	// HasUnsentAnswer reports whether an answer, or a part of one, is still to be sent, possibly once the peer makes room.
	HasUnsentAnswer() bool
	// StartDrain announces to the peer that the node accepts no more requests.
	StartDrain(now float64)
	// EndDrain announces to the peer that the node ends: what it has not read by now will not be answered.
	EndDrain(now float64)
	// NextDeadline returns the time at which HandleDeadline must be called if no bytes arrive before, or 0 if there is
	// no deadline. idle is the time limit of a connection without messages in progress.
	NextDeadline(idle float64) float64
	// HandleDeadline handles the deadlines that have passed.
	HandleDeadline(now, idle float64)
	// CloseReason returns the code of the reason to close the connection after all output is written, or "" to keep it
	// open. linger asks the caller to read and discard the peer's bytes for a moment before closing: closing a socket
	// with unread bytes resets the connection, and the peer may lose the last output.
	CloseReason() (code string, linger bool)
	// PeerCloseReason returns the code for the log when the peer closed (eof) or reset the connection.
	PeerCloseReason(eof bool) string
	// Release gives up what the connection holds of budgets that it shares with others. It is called once, at the end.
	Release()
	// Served returns the number of answers other than faults, and the time of the last one, or of the accept if there
	// is none.
	Served() (n int, at float64)
}

// Event is a message from the peer, the cancellation of one, or a fault to be logged.
type Event struct {
	Message
	Tag       uint32
	Cancelled bool // the caller gave up the message with the tag, which was in progress until now
	// Code is the log code of a fault in the message with the tag, such as a malformed request or an id that is already
	// in use, on a connection that stays open. The event is only logged.
	Code string
}

// Timeouts of connections with one message at a time. Peers send a message in one write.
const (
	firstMessageTimeoutMs = 2000 // from the accept to the end of the first message
	messageTimeoutMs      = 2000 // from the first to the last byte of a later message
)

// headEndBytes is the size of the empty line after a head.
const headEndBytes = 4

// maxPipelinedBytes bounds what a peer may send while its request is in progress: one more request.
const maxPipelinedBytes = MaxHeadBytes + headEndBytes + MaxBodyBytes

// SerialConn is the protocol of a connection that carries one message at a time, read by a Parser.
type SerialConn struct {
	parser      Parser
	since       float64 // accept, last answer, or first byte of an incomplete message; Unix ms
	served      int     // answers given
	tag         uint32  // of the latest message
	busy        bool    // the latest message is in progress
	busyRequest bool    // the message in progress is a request, not a health check
	last        bool    // the connection closes after the answer
	out         []byte  // bytes to send
	closeCode   string  // see Protocol.CloseReason
	linger      bool
}

// NewSerialConn returns the protocol of a connection that was accepted at now.
func NewSerialConn(p Parser, now float64) *SerialConn { return &SerialConn{parser: p, since: now} }

// ResumeSerialConn returns the protocol of a connection taken over from another process, which gave served answers on
// it, the last one at since.
func ResumeSerialConn(p Parser, served int, since float64) *SerialConn {
	return &SerialConn{parser: p, since: since, served: served}
}

// Idle reports whether no message is in progress or partly read and no output is pending, so that another process can
// take over the connection.
func (s *SerialConn) Idle() bool {
	return !s.busy && s.closeCode == "" && len(s.out) == 0 && s.parser.Buffered() == 0
}

// Feed implements Protocol.
func (s *SerialConn) Feed(now float64, b []byte) {
	if !s.busy && s.parser.Buffered() == 0 && s.served > 0 {
		s.since = now
	}
	s.parser.Feed(b)
	if s.busy && s.parser.Buffered() > maxPipelinedBytes && s.closeCode == "" {
		s.closeCode = "ahead"
	}
}

// Next implements Protocol. It returns a message only after the previous one is answered.
func (s *SerialConn) Next(float64) (Event, bool) {
	if s.busy || s.closeCode != "" {
		return Event{}, false
	}
	m, ok := s.parser.Next()
	if !ok {
		return Event{}, false
	}
	if m.Fault != nil {
		s.out = appendFault(s.out, m.Fault)
		s.closeCode, s.linger = m.Fault.Code, true
		return Event{}, false
	}
	s.tag++
	s.busy, s.busyRequest, s.last = true, m.Request != nil, m.Close
	return Event{Message: m, Tag: s.tag}, true
}

// Answer implements Protocol.
func (s *SerialConn) Answer(now float64, tag uint32, a core.Answer) {
	if !s.busy || tag != s.tag {
		return
	}
	last := s.last || a.Close || a.Outcome == core.Duplicate
	s.busy, s.busyRequest = false, false
	s.out = appendAnswer(s.out, a, last)
	s.served++
	s.since = now
	switch {
	case s.closeCode != "":
	case a.Outcome == core.Duplicate:
		s.closeCode = "twice-id"
	case last:
		s.closeCode = "close"
	}
}

// AppendOutput implements Protocol.
func (s *SerialConn) AppendOutput(_ float64, b []byte) []byte {
	b = append(b, s.out...)
	s.out = nil
	return b
}

// ReadAfter implements Protocol. A peer that sends ahead is bounded by Feed.
func (s *SerialConn) ReadAfter() float64 { return 0 }

// HasUnsentAnswer implements Protocol.
func (s *SerialConn) HasUnsentAnswer() bool { return len(s.out) > 0 }

// Release implements Protocol. It does nothing.
func (s *SerialConn) Release() {}

// StartDrain implements Protocol. It does nothing: the peer learns from an answer that the node drains.
func (s *SerialConn) StartDrain(float64) {}

// EndDrain implements Protocol. It does nothing: the peer's requests that were not read end with the connection.
func (s *SerialConn) EndDrain(float64) {}

// NextDeadline implements Protocol. There is no deadline while a message is in progress.
func (s *SerialConn) NextDeadline(idle float64) float64 {
	switch {
	case s.busy:
		return 0
	case s.served == 0:
		return s.since + firstMessageTimeoutMs
	case s.parser.Buffered() > 0:
		return s.since + messageTimeoutMs
	}
	return s.since + idle
}

// HandleDeadline implements Protocol. It closes a connection that is past its deadline.
func (s *SerialConn) HandleDeadline(now, idle float64) {
	at := s.NextDeadline(idle)
	switch {
	case at == 0 || now < at || s.closeCode != "":
	case s.parser.Buffered() > 0:
		s.closeCode = "slow"
	case s.served == 0:
		s.closeCode = "silent"
	default:
		s.closeCode = "idle"
	}
}

// CloseReason implements Protocol.
func (s *SerialConn) CloseReason() (string, bool) { return s.closeCode, s.linger }

// PeerCloseReason implements Protocol.
func (s *SerialConn) PeerCloseReason(eof bool) string {
	switch {
	case s.busyRequest:
		return "gone"
	case eof && s.parser.Buffered() == 0:
		return "eof"
	case eof:
		return "part"
	}
	return "reset"
}

// Served implements Protocol.
func (s *SerialConn) Served() (int, float64) { return s.served, s.since }
