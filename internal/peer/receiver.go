package peer

import "whinrudder/internal/knowledge"

// Event is what a taker has heard from its giver.
type Event uint8

// The news.
const (
	EventNone     Event = iota
	EventWelcome        // the giver told its head
	EventBusy           // it asks to come back later
	EventComplete       // all sections are there
	EventRefused        // it ended the connection with a code
	EventSections       // some sections came
)

// ReceiverConn is the state machine of one connection at the node that takes.
type ReceiverConn struct {
	r       Reader
	head    *Summary
	asked   bool
	g       *ReportAssembler
	RetryMs float64 // after EventBusy: how long to stay away, in milliseconds
	Code    string  // after EventBusy and EventRefused
}

// NewReceiverConn returns the taker of a new connection, and the bytes that open it.
func NewReceiverConn(node string) (*ReceiverConn, []byte) {
	return &ReceiverConn{}, frame(nil, KindHello, hello{node, []uint64{Version}})
}

// RequestSections returns the bytes that ask for the sections. It is called once, after EventWelcome.
func (t *ReceiverConn) RequestSections() []byte {
	t.asked = true
	return AppendFrame(nil, Frame{KindTake, nil})
}

// Cancel returns the bytes by which a taker that needs no more takes its leave.
func (t *ReceiverConn) Cancel() []byte { return frame(nil, KindRefuse, refuse{"enough"}) }

// Summary returns the giver's summary after EventWelcome.
func (t *ReceiverConn) Summary() Summary { return *t.head }

// Report returns what has come whole so far, and whether that is all. Ages are those at the giver.
func (t *ReceiverConn) Report() (r knowledge.Report, whole bool) {
	if t.g == nil {
		return r, false
	}
	return t.g.Report()
}

// Feed takes bytes and returns the last thing that was heard in them. A fault ends the connection; what came whole
// before it counts.
func (t *ReceiverConn) Feed(b []byte) (Event, *Fault) {
	t.r.Feed(b)
	news := EventNone
	for {
		f, ok, bad := t.r.Next()
		if bad != nil {
			return news, bad
		}
		if !ok {
			return news, nil
		}
		n, bad := t.frame(f)
		if bad != nil {
			return news, bad
		}
		news = n
		if n != EventSections && n != EventWelcome {
			return n, nil // nothing more is to be heard
		}
	}
}

func (t *ReceiverConn) frame(f Frame) (Event, *Fault) {
	switch {
	case f.Kind == KindBusy && (t.g == nil || t.g.sections == 0):
		var b busy
		if bad := read(f, &b); bad != nil {
			return EventNone, bad
		}
		if !(b.Retry >= 0 && b.Retry <= MaxRetryMs) {
			return EventNone, fault("bad-figure", "retry_ms is %v, which no giver may say", b.Retry)
		}
		t.RetryMs, t.Code = b.Retry, word(b.Code)
		return EventBusy, nil
	case f.Kind == KindRefuse:
		var r refuse
		if bad := read(f, &r); bad != nil {
			return EventNone, bad
		}
		t.Code = word(r.Code)
		return EventRefused, nil
	case f.Kind == KindWelcome && t.head == nil:
		var h Summary
		if bad := read(f, &h); bad != nil {
			return EventNone, bad
		}
		t.g = NewReportAssembler(h)
		if err := t.g.report.Check(); err != nil {
			return EventNone, fault("bad-figure", "%v", err)
		}
		t.head = &h
		return EventWelcome, nil
	case (f.Kind == KindSection || f.Kind == KindEnd) && t.asked && t.g != nil:
		if bad := t.g.Add(f); bad != nil {
			return EventNone, bad
		}
		if t.g.whole {
			return EventComplete, nil
		}
		return EventSections, nil
	}
	return EventNone, fault("bad-order", "a frame of kind %d", f.Kind)
}

// word makes a peer's code fit for a log line.
func word(s string) string {
	out := []byte{}
	for i := 0; i < len(s) && i < 32; i++ {
		if c := s[i]; c == '-' || c >= 'a' && c <= 'z' || c >= '0' && c <= '9' {
			out = append(out, c)
		}
	}
	return string(out)
}
