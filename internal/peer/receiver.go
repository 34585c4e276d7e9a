package peer

import "whinrudder/internal/knowledge"

// Event is what a receiver has learned from the frames of its source.
type Event uint8

// The events.
const (
	EventNone     Event = iota
	EventWelcome        // the source sent its Summary
	EventBusy           // the source asks for a retry after RetryMs
	EventComplete       // all sections have arrived
	EventRefused        // the source refused, with a Code
	EventSections       // at least one section has arrived
)

// ReceiverConn is the state machine of one connection at the receiving node.
type ReceiverConn struct {
	reader    Reader
	summary   *Summary
	requested bool
	assembler *ReportAssembler
	RetryMs   float64 // after EventBusy: time to wait before a retry, in milliseconds
	Code      string  // after EventBusy and EventRefused: the reason
}

// NewReceiverConn returns the state machine of a new connection, and the bytes to send first.
func NewReceiverConn(node string) (*ReceiverConn, []byte) {
	return &ReceiverConn{}, appendMessage(nil, KindHello, helloPayload{node, []uint64{Version}})
}

// RequestSections returns the bytes that request the sections. It must be called only once, after EventWelcome.
func (c *ReceiverConn) RequestSections() []byte {
	c.requested = true
	return AppendFrame(nil, Frame{KindTake, nil})
}

// Cancel returns the bytes by which a receiver that needs no more data ends the connection.
func (c *ReceiverConn) Cancel() []byte {
	return appendMessage(nil, KindRefuse, refusePayload{"enough"})
}

// Summary returns the source's summary. It must be called only after EventWelcome.
func (c *ReceiverConn) Summary() Summary { return *c.summary }

// Report returns the report of the sections that have arrived so far, and whether it is complete. The ages are those
// at the time when the source sent it.
func (c *ReceiverConn) Report() (r knowledge.Report, complete bool) {
	if c.assembler == nil {
		return r, false
	}
	return c.assembler.Report()
}

// Feed processes bytes that were read and returns the last event in them. A fault ends the connection; sections that
// arrived before it remain in the report, unless one of them has an invalid value.
func (c *ReceiverConn) Feed(b []byte) (Event, *Fault) {
	c.reader.Feed(b)
	event := EventNone
	for {
		f, ok, bad := c.reader.Next()
		if bad != nil {
			return event, bad
		}
		if !ok {
			return event, nil
		}
		next, bad := c.handleFrame(f)
		if bad != nil {
			return event, bad
		}
		event = next
		if next != EventSections && next != EventWelcome {
			return next, nil // no further frame is expected
		}
	}
}

func (c *ReceiverConn) handleFrame(f Frame) (Event, *Fault) {
	switch {
	case f.Kind == KindBusy && (c.assembler == nil || c.assembler.sections == 0):
		var b busyPayload
		if bad := decodePayload(f, &b); bad != nil {
			return EventNone, bad
		}
		if !(b.RetryMs >= 0 && b.RetryMs <= MaxRetryMs) {
			return EventNone, newFault("bad-figure", "retry_ms is %v, which is out of range", b.RetryMs)
		}
		c.RetryMs, c.Code = b.RetryMs, sanitizeCode(b.Code)
		return EventBusy, nil
	case f.Kind == KindRefuse:
		var r refusePayload
		if bad := decodePayload(f, &r); bad != nil {
			return EventNone, bad
		}
		c.Code = sanitizeCode(r.Code)
		return EventRefused, nil
	case f.Kind == KindWelcome && c.summary == nil:
		var h Summary
		if bad := decodePayload(f, &h); bad != nil {
			return EventNone, bad
		}
		c.assembler = NewReportAssembler(h)
		if err := c.assembler.report.Check(); err != nil {
			return EventNone, newFault("bad-figure", "%v", err)
		}
		c.summary = &h
		return EventWelcome, nil
	case (f.Kind == KindSection || f.Kind == KindEnd) && c.requested && c.assembler != nil:
		if bad := c.assembler.Add(f); bad != nil {
			return EventNone, bad
		}
		if c.assembler.complete {
			return EventComplete, nil
		}
		return EventSections, nil
	}
	return EventNone, newFault("bad-order", "unexpected frame of kind %d", f.Kind)
}

// sanitizeCode returns a peer's code without the characters that a log line must not contain, and at most 32 bytes
// long.
func sanitizeCode(s string) string {
	out := []byte{}
	for i := 0; i < len(s) && i < 32; i++ {
		if c := s[i]; c == '-' || c >= 'a' && c <= 'z' || c >= '0' && c <= '9' {
			out = append(out, c)
		}
	}
	return string(out)
}
