package h2

import (
	"encoding/binary"

	"golang.org/x/net/http2/hpack"

	"whinrudder/internal/core"
	"whinrudder/internal/front"
)

// handleData processes a DATA frame (RFC 9113, 6.1).
func (c *Conn) handleData(h frameHeader, p []byte) {
	if h.stream == 0 {
		c.fail(ProtocolError, "bad-stream")
		return
	}
	c.receiveWindow -= len(p)
	if c.receiveWindow < 0 {
		c.fail(FlowControlError, "flow-control")
		return
	}
	// Bodies are bounded for each stream, so the connection's window is restored without waiting for the core.
	if c.receiveWindow < initialWindowBytes/2 {
		c.control = appendWindowUpdate(c.control, 0, initialWindowBytes-c.receiveWindow)
		c.receiveWindow = initialWindowBytes
	}
	size := len(p)
	p, ok := stripPadding(h, p)
	if !ok {
		c.fail(ProtocolError, "bad-padding")
		return
	}
	s := c.streams[h.stream]
	switch {
	case s == nil:
		c.handleStrayFrame(h, false)
		return
	case s.requestComplete:
		c.resetStream(s.id, StreamClosed)
		return
	case len(p) == 0 && !h.has(flagEndStream) && !c.spend(&c.empties):
		return
	}
	s.receiveWindow -= size
	if s.receiveWindow < 0 {
		c.resetStream(s.id, FlowControlError)
		return
	}
	if s.answer != nil { // already rejected: the rest of the body is ignored
		return
	}
	s.received += int64(len(p))
	if s.req.contentLength >= 0 && s.received > s.req.contentLength {
		c.resetStream(s.id, ProtocolError)
		return
	}
	if s.received > front.MaxBodyBytes {
		c.answerFault(s, &front.Fault{Status: 413, Code: "long-body"})
		return
	}
	s.body = append(s.body, p...)
	if h.has(flagEndStream) {
		c.completeRequest(s)
	}
}

// handleHeaders processes a HEADERS frame (RFC 9113, 6.2).
func (c *Conn) handleHeaders(h frameHeader, p []byte) {
	if h.stream == 0 || h.stream%2 == 0 {
		c.fail(ProtocolError, "bad-stream")
		return
	}
	p, ok := stripPadding(h, p)
	if !ok {
		c.fail(ProtocolError, "bad-padding")
		return
	}
	b := &headerBlock{stream: h.stream, endStream: h.has(flagEndStream), startedAt: c.now}
	if h.has(flagPriority) {
		if len(p) < 5 {
			c.fail(FrameSizeError, "bad-size")
			return
		}
		b.selfDependent = binary.BigEndian.Uint32(p)&maxUint31 == h.stream
		p = p[5:]
	}
	if c.streams[h.stream] == nil && h.stream <= c.highestID && (h.stream > c.forgottenID || c.closed[h.stream] != 0) {
		if kind := c.closed[h.stream]; kind == completed || kind == 0 {
			c.handleStrayFrame(h, true)
			return
		}
	}
	c.block = b
	c.handleFragment(h, p)
}

// handleFragment appends a fragment to the header block and decodes the block once it is complete.
func (c *Conn) handleFragment(h frameHeader, p []byte) {
	b := c.block
	if !c.undecoded && (len(b.buf)+len(p) > maxBlockBytes || b.continuations > maxContinuations) {
		c.dropBlock(EnhanceYourCalm, "flood-continuation")
	} else if c.undecoded {
		c.pauseReading()
	}
	if c.closeCode != "" {
		return
	}
	if !c.undecoded {
		b.buf = append(b.buf, p...)
	}
	if !h.has(flagEndHeaders) {
		return
	}
	c.block = nil
	if c.undecoded {
		c.handleUndecoded(b)
		return
	}
	c.decodeBlock(b)
}

// dropBlock gives up a header block that is too long or too slow. Later blocks can't be decoded without it, so the connection
// is wound down.
func (c *Conn) dropBlock(e ErrCode, code string) {
	c.windDown(e, code)
	c.undecoded, c.block.buf = true, nil
}

// handleUndecoded processes the end of a header block that was not decoded: it opens no stream, and as trailers it only ends
// one.
func (c *Conn) handleUndecoded(b *headerBlock) {
	switch s := c.streams[b.stream]; {
	case s == nil && b.stream <= c.highestID:
		c.spend(&c.strays)
	case s == nil:
		c.highestID = b.stream
		c.resetStream(b.stream, RefusedStream)
		c.spend(&c.refusals)
	case s.requestComplete:
		c.resetStream(s.id, StreamClosed)
	case !b.endStream:
		c.resetStream(s.id, ProtocolError)
	default:
		c.completeRequest(s)
	}
}

// decodeBlock decodes a complete header block.
func (c *Conn) decodeBlock(b *headerBlock) {
	r := newRequest()
	expanded := 0
	c.dec.SetEmitFunc(func(f hpack.HeaderField) {
		expanded += len(f.Name) + len(f.Value) + fieldOverheadBytes
		if expanded <= maxExpandedBytes {
			r.addField(f)
		}
	})
	_, err := c.dec.Write(b.buf)
	if err == nil {
		err = c.dec.Close()
	}
	switch {
	case err != nil:
		c.fail(CompressionError, "bad-hpack")
	case expanded > maxExpandedBytes:
		if c.windDown(EnhanceYourCalm, "flood-hpack"); c.closeCode == "" {
			c.handleUndecoded(b)
		}
	default:
		c.handleFieldList(b, r)
	}
}

// handleFieldList processes the decoded fields of a header block: they open a stream, or end one as trailers.
func (c *Conn) handleFieldList(b *headerBlock, r *request) {
	s := c.streams[b.stream]
	switch {
	case s != nil && s.requestComplete:
		c.resetStream(s.id, StreamClosed)
		return
	case s != nil:
		if !b.endStream || len(r.pseudo) > 0 || r.malformed != "" || b.selfDependent {
			c.resetStream(s.id, ProtocolError)
			return
		}
		c.completeRequest(s)
		return
	case b.stream <= c.highestID:
		c.handleStrayFrame(frameHeader{stream: b.stream}, true)
		return
	}
	c.highestID = b.stream
	if c.finalGoAway || uint32(len(c.streams)) >= c.maxOpenStreams() {
		c.resetStream(b.stream, RefusedStream) // the peer may retry: the request was not processed
		c.spend(&c.refusals)
		return
	}
	r.checkPseudoFields()
	s = &stream{id: b.stream, req: r, openedAt: c.now, pausedBefore: c.pausedMs, receiveWindow: streamWindowBytes, sendWindow: c.peerInitialWindow}
	if !c.reserve(s, b.endStream) {
		// It does not count against the budget of refusals: other connections may hold the memory.
		c.resetStream(b.stream, RefusedStream)
		c.events = append(c.events, front.Event{Tag: b.stream, Code: "memory"})
		return
	}
	c.acceptedID = b.stream
	c.streams[s.id] = s
	c.incomplete++
	if r.malformed != "" || b.selfDependent {
		c.resetStream(s.id, ProtocolError)
		c.spend(&c.faults)
		return
	}
	if r.expectContinue && !b.endStream {
		c.control = c.appendHeaders(c.control, s.id, hpack.HeaderField{Name: ":status", Value: "100"})
	}
	if b.endStream {
		c.completeRequest(s)
	}
}

// maxOpenStreams returns how many streams the peer may have open. A lower limit takes effect when the peer has
// acknowledged it, a higher one at once.
func (c *Conn) maxOpenStreams() uint32 {
	limit := min(c.streamLimit, MaxStreams)
	for _, unacked := range c.unackedLimits {
		limit = max(limit, min(unacked, MaxStreams))
	}
	return limit
}

// completeRequest queues a complete request for the core, or answers it with a fault.
func (c *Conn) completeRequest(s *stream) {
	if s.answer != nil {
		return
	}
	if s.req.contentLength >= 0 && s.received != s.req.contentLength {
		c.resetStream(s.id, ProtocolError)
		return
	}
	s.requestComplete = true
	c.incomplete--
	m := s.req.buildMessage(c.validator, s.body)
	s.req, s.body = nil, nil
	c.shrinkReservation(s, m)
	if m.Request == nil && !c.admitSmall() {
		c.resetStream(s.id, RefusedStream)
		c.spend(&c.refusals)
		return
	}
	if m.Fault != nil {
		if c.spend(&c.faults) {
			c.answerFault(s, m.Fault)
		}
		return
	}
	if m.Request != nil {
		s.due = min(max(m.Request.Due, c.now), c.now+c.validator.Config().Policy.Classes[m.Request.Class].Deadline)
	}
	s.inProgress = true
	c.events = append(c.events, front.Event{Message: m, Tag: s.id})
}

// admitSmall records a health check or a fault and returns false if it exceeds the stream limit. These are answered so
// fast that hardly two of them are open at a time, so the limit on open streams does not bound them. Instead, each
// counts against the limit for smallWindowMs.
func (c *Conn) admitSmall() bool {
	for len(c.smalls) > 0 && c.smalls[0] <= c.now-smallWindowMs {
		c.smalls = c.smalls[1:]
	}
	if uint32(len(c.smalls)) >= max(initialStreams, c.maxOpenStreams()) {
		return false
	}
	c.smalls = append(c.smalls, c.now)
	return true
}

// answerFault answers a malformed request. The connection stays open.
func (c *Conn) answerFault(s *stream, f *front.Fault) {
	s.status, s.answer, s.isFault = f.Status, &core.Answer{Credit: -1}, true
	s.body = nil
	c.ready = append(c.ready, s)
	c.events = append(c.events, front.Event{Tag: s.id, Code: f.Code})
}
