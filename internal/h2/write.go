package h2

import (
	"maps"
	"math"
	"slices"
	"strconv"

	"golang.org/x/net/http2/hpack"

	"whinrudder/internal/core"
	"whinrudder/internal/front"
)

// quantum is how much of a result a stream sends in its turn, and maxOut about how much is written at a time.
const (
	quantum = 1 << 10
	maxOut  = 32 << 10
)

// Next returns the next event for the core.
func (c *Conn) Next(now float64) (front.Event, bool) {
	c.now = max(c.now, now)
	if len(c.events) == 0 || c.code != "" {
		return front.Event{}, false
	}
	e := c.events[0]
	c.events[0] = front.Event{}
	if c.events = c.events[1:]; len(c.events) == 0 {
		c.events = nil
	}
	return e, true
}

// Answer takes the final answer to the request of a stream.
func (c *Conn) Answer(now float64, tag uint32, a core.Answer) {
	c.now = max(c.now, now)
	c.heed(a.Credit)
	s := c.streams[tag]
	if s == nil || !s.inHand || c.code != "" {
		return // it was given up
	}
	s.inHand = false
	if a.Outcome == core.Duplicate {
		c.events = append(c.events, front.Event{Tag: tag, Code: "twice-id"})
	}
	s.status, s.answer, s.rest = front.AnswerStatus(a), &a, a.Result
	c.ready = append(c.ready, s)
}

// heed lets the limit of streams follow the credit, in steps that are worth telling.
func (c *Conn) heed(load float64) {
	if load < 0 {
		return
	}
	want := uint32(min(MaxStreams, max(1, math.Ceil(load))))
	if 4*want > 5*c.want || 5*want < 4*c.want {
		c.want = want
		if len(c.limits) < 8 { // a peer that acknowledges nothing hears no more of it
			c.control = appendSettings(c.control, settingStreams, want)
			if c.limits = append(c.limits, want); c.ackBy == 0 {
				c.ackBy = c.now + settingsAckFor
			}
		}
	}
}

// unblock lets all that waits for windows try again.
func (c *Conn) unblock() {
	waiting := c.blocked[:0]
	for _, s := range c.blocked {
		switch {
		case s.answer == nil: // reset meanwhile
		case s.send > 0 && c.send > 0:
			s.blocked = false
			c.ready = append(c.ready, s)
		default:
			waiting = append(waiting, s)
		}
	}
	clear(c.blocked[len(waiting):])
	c.blocked = waiting
}

// AppendOutput appends what is to be written: control frames first, then the answers that are ready, a quantum each in turn.
func (c *Conn) AppendOutput(now float64, b []byte) []byte {
	c.now = max(c.now, now)
	b = append(b, c.control...)
	c.control = c.control[:0]
	for len(c.ready) > 0 && len(b) < maxOut {
		s := c.ready[0]
		c.ready[0] = nil
		if c.ready = c.ready[1:]; len(c.ready) == 0 {
			c.ready = nil
		}
		if s.answer == nil {
			continue // reset meanwhile
		}
		b = c.turn(b, s)
	}
	b = append(b, c.control...) // of streams that were reset in their turn
	c.control = c.control[:0]
	if c.final && len(c.streams) == 0 && len(c.events) == 0 && c.code == "" {
		c.code, c.linger = "close", true
	}
	return b
}

// turn lets a stream send what it may.
func (c *Conn) turn(b []byte, s *stream) []byte {
	if s.due > 0 && c.now > s.due+answerGrace {
		c.reset(s.id, Cancel)
		return b
	}
	if !s.begun {
		s.begun = true
		b = c.appendAnswer(b, s)
		if len(s.rest) == 0 { // an empty DATA frame needs no window; suites want to see one
			return c.done(appendHead(b, 0, frameData, flagEndStream, s.id), s)
		}
	}
	n := int(min(int64(len(s.rest)), s.send, c.send, int64(c.peerFrame), quantum))
	if n <= 0 {
		s.blocked = true
		c.blocked = append(c.blocked, s)
		return b
	}
	s.send -= int64(n)
	c.send -= int64(n)
	flags := byte(0)
	if n == len(s.rest) {
		flags = flagEndStream
	}
	b = append(appendHead(b, n, frameData, flags, s.id), s.rest[:n]...)
	if s.rest = s.rest[n:]; len(s.rest) == 0 {
		return c.done(b, s)
	}
	c.ready = append(c.ready, s)
	return b
}

// done closes a stream whose answer is whole. One whose request is not is not wanted any more (RFC 9113, 8.1).
func (c *Conn) done(b []byte, s *stream) []byte {
	how := endedBoth
	if !s.whole {
		b, how = appendRst(b, s.id, NoError), resetByUs
	}
	if !s.fault {
		c.served++
	}
	c.drop(s.id, how)
	return b
}

// appendAnswer appends the headers of an answer.
func (c *Conn) appendAnswer(b []byte, s *stream) []byte {
	var fields [6]hpack.HeaderField
	f := append(fields[:0], hpack.HeaderField{Name: ":status", Value: strconv.Itoa(s.status)})
	a := s.answer
	if a.Credit >= 0 {
		f = append(f, hpack.HeaderField{Name: "srv-load", Value: string(front.AppendLoad(nil, *a))})
	}
	if a.Outcome == core.Refused && a.RetryAfter > 0 {
		f = append(f, hpack.HeaderField{Name: "srv-wait-ms", Value: string(front.AppendWait(nil, *a))})
	}
	if a.Outcome == core.Refused && a.NotElsewhere {
		f = append(f, hpack.HeaderField{Name: "srv-last", Value: "1"})
	}
	if a.Kept != "" {
		f = append(f, hpack.HeaderField{Name: "srv-kept", Value: a.Kept})
	}
	f = append(f, hpack.HeaderField{Name: "content-length", Value: strconv.Itoa(len(s.rest))})
	return c.appendHeaders(b, s.id, f...)
}

// appendHeaders appends one HEADERS frame; our lists are far below the least frame size.
func (c *Conn) appendHeaders(b []byte, id uint32, fields ...hpack.HeaderField) []byte {
	c.encoded.Reset()
	for _, f := range fields {
		c.enc.WriteField(f)
	}
	return append(appendHead(b, c.encoded.Len(), frameHeaders, flagEndHeaders, id), c.encoded.Bytes()...)
}

// StartDrain begins the drain: the highest id that there can be first, so that what is on its way still counts, and once a
// ping has come back the last that was taken on.
func (c *Conn) StartDrain(now float64) {
	c.now = max(c.now, now)
	if c.leaving || c.code != "" {
		return
	}
	c.leaving, c.pingBy = true, c.now+roundTrip
	c.control = appendGoAway(c.control, maxWindow, NoError, "")
	c.control = append(appendHead(c.control, 8, framePing, 0, 0), drainPing...)
}

func (c *Conn) lastGoAway() {
	if !c.final {
		c.final = true
		c.control = appendGoAway(c.control, c.accepted, NoError, "")
	}
}

// NextDeadline returns when the machine must be looked at again.
func (c *Conn) NextDeadline(idle float64) float64 {
	next := 0.0
	sooner := func(at float64) {
		if next == 0 || at < next {
			next = at
		}
	}
	if !c.configured {
		sooner(c.since + firstFor)
	}
	if c.block != nil {
		sooner(c.block.since + partFor)
	}
	if c.ackBy > 0 {
		sooner(c.ackBy)
	}
	if c.leaving && !c.final {
		sooner(c.pingBy)
	}
	if len(c.streams) == 0 {
		sooner(c.restBy(idle))
		return next
	}
	for _, s := range c.streams {
		if !s.whole {
			sooner(s.since + partFor)
		} else if s.blocked && s.due > 0 {
			sooner(s.due + answerGrace + 1)
		} else if s.blocked {
			sooner(s.since + firstFor)
		}
	}
	return next
}

// restBy is when a connection without streams has rested for long enough. A new one has the time for its first request.
func (c *Conn) restBy(idle float64) float64 { return max(c.servedAt+idle, c.since+firstFor) }

// HandleDeadline does what falls due.
func (c *Conn) HandleDeadline(now, idle float64) {
	c.now = max(c.now, now)
	switch {
	case c.code != "":
		return
	case !c.configured && c.now >= c.since+firstFor:
		if len(c.in) == 0 && !c.prefaced {
			c.code = "silent"
		} else {
			c.fail(ProtocolError, "slow")
		}
		return
	case c.block != nil && c.now >= c.block.since+partFor:
		c.fail(EnhanceYourCalm, "slow")
		return
	case c.ackBy > 0 && c.now >= c.ackBy:
		c.fail(SettingsTimeout, "settings-timeout")
		return
	case c.leaving && !c.final && c.now >= c.pingBy:
		c.lastGoAway()
	case len(c.streams) == 0 && c.now >= c.restBy(idle):
		c.fail(NoError, "idle")
		return
	}
	for _, id := range slices.Sorted(maps.Keys(c.streams)) {
		s := c.streams[id]
		late := !s.whole && c.now >= s.since+partFor ||
			s.blocked && (s.due > 0 && c.now > s.due+answerGrace || s.due == 0 && c.now >= s.since+firstFor)
		if late {
			c.reset(id, Cancel)
		}
	}
}

// CloseReason returns the code of the end.
func (c *Conn) CloseReason() (string, bool) { return c.code, c.linger }

// PeerCloseReason returns the code of an end by the peer.
func (c *Conn) PeerCloseReason(eof bool) string {
	for _, s := range c.streams {
		if s.inHand {
			return "gone"
		}
	}
	switch {
	case eof && len(c.in) == 0 && c.block == nil && c.partial == 0:
		return "eof"
	case eof:
		return "part"
	}
	return "reset"
}

// Served tells how many answers were given.
func (c *Conn) Served() (int, float64) { return c.served, c.servedAt }
