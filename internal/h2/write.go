package h2

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strconv"

	"golang.org/x/net/http2/hpack"

	"whinrudder/internal/core"
	"whinrudder/internal/front"
)

const (
	quantumBytes   = 1 << 10  // largest DATA frame that a stream sends in its turn
	maxOutputBytes = 32 << 10 // AppendOutput starts no further turn beyond this size
)

// Next implements front.Protocol.
func (c *Conn) Next(now float64) (front.Event, bool) {
	c.now = max(c.now, now)
	if len(c.events) == 0 || c.closeCode != "" {
		return front.Event{}, false
	}
	e := c.events[0]
	c.events[0] = front.Event{}
	if c.events = c.events[1:]; len(c.events) == 0 {
		c.events = nil
	}
	return e, true
}

// Answer implements front.Protocol; the tag is the stream id.
func (c *Conn) Answer(now float64, tag uint32, a core.Answer) {
	c.now = max(c.now, now)
	c.followCredit(a.Credit)
	s := c.streams[tag]
	if s == nil || !s.inProgress || c.closeCode != "" {
		return // the stream or the connection was closed meanwhile
	}
	s.inProgress = false
	if a.Outcome == core.Duplicate {
		c.events = append(c.events, front.Event{Tag: tag, Code: "twice-id"})
	}
	s.status, s.answer, s.unsent = front.AnswerStatus(a), &a, a.Result
	c.ready = append(c.ready, s)
}

// followCredit derives the stream limit from the credit and announces it if it rises by more than a quarter or
// falls by more than a fifth.
func (c *Conn) followCredit(credit float64) {
	if credit < 0 {
		return
	}
	limit := uint32(min(MaxStreams, max(1, math.Ceil(credit))))
	if 4*limit > 5*c.wantedLimit || 5*limit < 4*c.wantedLimit {
		c.wantedLimit = limit
		if len(c.unackedLimits) < 8 { // a peer that does not acknowledge gets no further SETTINGS frames
			c.control = appendSettings(c.control, settingMaxConcurrentStreams, limit)
			if c.unackedLimits = append(c.unackedLimits, limit); c.ackDeadline == 0 {
				c.ackDeadline = c.now + settingsAckTimeoutMs
			}
		}
	}
}

// unblock moves the blocked streams that can send again to the ready queue.
func (c *Conn) unblock() {
	waiting := c.blocked[:0]
	for _, s := range c.blocked {
		switch {
		case s.answer == nil: // the stream was reset
		case s.sendWindow > 0 && c.sendWindow > 0:
			s.blocked = false
			c.ready = append(c.ready, s)
		default:
			waiting = append(waiting, s)
		}
	}
	clear(c.blocked[len(waiting):])
	c.blocked = waiting
}

// AppendOutput implements front.Protocol. Control frames come first, then the ready streams send a quantum each
// in turn.
func (c *Conn) AppendOutput(now float64, b []byte) []byte {
	c.now = max(c.now, now)
	b = append(b, c.control...)
	c.control = c.control[:0]
	for len(c.ready) > 0 && len(b) < maxOutputBytes {
		s := c.ready[0]
		c.ready[0] = nil
		if c.ready = c.ready[1:]; len(c.ready) == 0 {
			c.ready = nil
		}
		if s.answer == nil {
			continue // the stream was reset
		}
		b = c.sendQuantum(b, s)
	}
	b = append(b, c.control...) // resets of streams whose answer came too late
	c.control = c.control[:0]
	if c.finalGoAway && len(c.streams) == 0 && len(c.events) == 0 && c.closeCode == "" {
		c.closeCode, c.linger = cmp.Or(c.endCode, "close"), true
	}
	return b
}

// HasUnsentAnswer implements front.Protocol. The answers of a connection that was closed for an error are given up.
func (c *Conn) HasUnsentAnswer() bool {
	if c.closeCode != "" {
		return false
	}
	for _, s := range c.streams {
		if s.answer != nil {
			return true
		}
	}
	return false
}

// sendQuantum sends the headers of an answer if they are not sent yet, and the next part of the result.
func (c *Conn) sendQuantum(b []byte, s *stream) []byte {
	if s.due > 0 && c.now > s.due+answerGraceMs {
		c.resetStream(s.id, Cancel)
		return b
	}
	if !s.headersSent {
		s.headersSent = true
		b = c.appendAnswerHeaders(b, s)
		if len(s.unsent) == 0 { // an empty DATA frame needs no window; HTTP/2 conformance suites expect one
			return c.finishStream(appendFrameHeader(b, 0, frameData, flagEndStream, s.id), s)
		}
	}
	n := int(min(int64(len(s.unsent)), s.sendWindow, c.sendWindow, int64(c.peerMaxFrame), quantumBytes))
	if n <= 0 {
		s.blocked = true
		c.blocked = append(c.blocked, s)
		return b
	}
	c.updates.earn(updatesPerData)
	c.strays.earn(straysPerData)
	s.sendWindow -= int64(n)
	c.sendWindow -= int64(n)
	flags := byte(0)
	if n == len(s.unsent) {
		flags = flagEndStream
	}
	b = append(appendFrameHeader(b, n, frameData, flags, s.id), s.unsent[:n]...)
	if s.unsent = s.unsent[n:]; len(s.unsent) == 0 {
		return c.finishStream(b, s)
	}
	c.ready = append(c.ready, s)
	return b
}

// finishStream closes a stream whose answer is complete. If the request is not complete, a reset asks the peer to stop
// sending it (RFC 9113, 8.1).
func (c *Conn) finishStream(b []byte, s *stream) []byte {
	kind := completed
	if !s.requestComplete {
		b, kind = appendRstStream(b, s.id, NoError), resetByUs
	}
	if !s.isFault {
		c.served++
	}
	c.closeStream(s.id, kind)
	return b
}

// appendAnswerHeaders appends the HEADERS frame of an answer.
func (c *Conn) appendAnswerHeaders(b []byte, s *stream) []byte {
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
	f = append(f, hpack.HeaderField{Name: "content-length", Value: strconv.Itoa(len(s.unsent))})
	return c.appendHeaders(b, s.id, f...)
}

// appendHeaders appends a field list as one HEADERS frame. The lists are far shorter than the minimum of the peer's
// frame size limit, so they need no CONTINUATION frames.
func (c *Conn) appendHeaders(b []byte, id uint32, fields ...hpack.HeaderField) []byte {
	c.encoded.Reset()
	for _, f := range fields {
		c.enc.WriteField(f)
	}
	return append(appendFrameHeader(b, c.encoded.Len(), frameHeaders, flagEndHeaders, id), c.encoded.Bytes()...)
}

// StartDrain implements front.Protocol. It sends a GOAWAY frame with the highest possible id, so that requests in
// flight are still served, and a PING. Once the PING is acknowledged, another GOAWAY names the last accepted id.
func (c *Conn) StartDrain(now float64) {
	c.now = max(c.now, now)
	if c.draining || c.closeCode != "" {
		return
	}
	c.draining, c.pingDeadline = true, c.now+drainPingTimeoutMs
	if c.finalGoAway {
		return // the last id of a GOAWAY frame must not rise
	}
	c.control = appendGoAway(c.control, maxUint31, NoError, "")
	c.control = append(appendFrameHeader(c.control, 8, framePing, 0, 0), drainPingData...)
}

// EndDrain implements front.Protocol. It does not wait for the PING of StartDrain.
func (c *Conn) EndDrain(now float64) {
	c.now = max(c.now, now)
	if c.closeCode == "" {
		c.draining = true
		c.sendFinalGoAway()
	}
}

// sendFinalGoAway sends the GOAWAY frame with the last accepted id; later streams are refused.
func (c *Conn) sendFinalGoAway() {
	if !c.finalGoAway {
		c.finalGoAway = true
		c.control = appendGoAway(c.control, c.acceptedID, NoError, "")
	}
}

// NextDeadline implements front.Protocol.
func (c *Conn) NextDeadline(idle float64) float64 {
	next := 0.0
	sooner := func(deadline float64) {
		if next == 0 || deadline < next {
			next = deadline
		}
	}
	if !c.settingsRead {
		sooner(c.acceptedAt + handshakeTimeoutMs)
	}
	if c.block != nil && !c.undecoded {
		sooner(c.block.startedAt + requestTimeoutMs)
	}
	if c.ackDeadline > 0 {
		sooner(c.ackDeadline)
	}
	if c.draining && !c.finalGoAway {
		sooner(c.pingDeadline)
	}
	if len(c.streams) == 0 {
		sooner(c.idleDeadline(idle))
		return next
	}
	for _, s := range c.streams {
		if !s.requestComplete {
			sooner(c.requestDeadline(s))
		} else if s.blocked && s.due > 0 {
			sooner(s.due + answerGraceMs + 1)
		} else if s.blocked {
			sooner(s.openedAt + handshakeTimeoutMs)
		}
	}
	return next
}

// idleDeadline returns when a connection without streams is closed. A new connection gets at least handshakeTimeoutMs
// for its first request.
func (c *Conn) idleDeadline(idle float64) float64 {
	return max(c.servedAt+idle, c.acceptedAt+handshakeTimeoutMs)
}

// HandleDeadline implements front.Protocol. It closes the connection or resets streams that are past a deadline.
func (c *Conn) HandleDeadline(now, idle float64) {
	c.now = max(c.now, now)
	switch {
	case c.closeCode != "":
		return
	case !c.settingsRead && c.now >= c.acceptedAt+handshakeTimeoutMs:
		if c.in.Len() == 0 && !c.prefaceRead {
			c.closeCode = "silent"
		} else {
			c.fail(ProtocolError, "slow")
		}
		return
	case c.block != nil && !c.undecoded && c.now >= c.block.startedAt+requestTimeoutMs:
		c.dropBlock(EnhanceYourCalm, "slow")
	case c.ackDeadline > 0 && c.now >= c.ackDeadline:
		c.ackDeadline = 0
		c.windDown(SettingsTimeout, "settings-timeout")
	case c.draining && !c.finalGoAway && c.now >= c.pingDeadline:
		c.sendFinalGoAway()
	case len(c.streams) == 0 && c.now >= c.idleDeadline(idle):
		c.fail(NoError, "idle")
		return
	}
	for _, id := range slices.Sorted(maps.Keys(c.streams)) {
		s := c.streams[id]
		expired := !s.requestComplete && c.now >= c.requestDeadline(s) ||
			s.blocked && (s.due > 0 && c.now > s.due+answerGraceMs || s.due == 0 && c.now >= s.openedAt+handshakeTimeoutMs)
		if expired {
			c.resetStream(id, Cancel)
		}
	}
}

// CloseReason implements front.Protocol.
func (c *Conn) CloseReason() (string, bool) { return c.closeCode, c.linger }

// PeerCloseReason implements front.Protocol.
func (c *Conn) PeerCloseReason(eof bool) string {
	for _, s := range c.streams {
		if s.inProgress {
			return "gone"
		}
	}
	switch {
	case eof && c.in.Len() == 0 && c.block == nil && c.incomplete == 0:
		return "eof"
	case eof:
		return "part"
	}
	return "reset"
}

// Served implements front.Protocol.
func (c *Conn) Served() (int, float64) { return c.served, c.servedAt }
