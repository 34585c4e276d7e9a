package h2

import (
	"encoding/binary"

	"golang.org/x/net/http2/hpack"

	"whinrudder/internal/core"
	"whinrudder/internal/front"
)

func (c *Conn) data(h head, p []byte) {
	if h.stream == 0 {
		c.fail(ProtocolError, "bad-stream")
		return
	}
	c.receive -= len(p)
	if c.receive < 0 {
		c.fail(FlowControlError, "flow-control")
		return
	}
	// Bodies are kept for a stream at a time and bounded there: the connection's window is given back at once.
	if c.receive < initialWindow/2 {
		c.control = appendUpdate(c.control, 0, initialWindow-c.receive)
		c.receive = initialWindow
	}
	size := len(p)
	p, ok := unpad(h, p)
	if !ok {
		c.fail(ProtocolError, "bad-padding")
		return
	}
	s := c.streams[h.stream]
	switch {
	case s == nil:
		c.stray(h, false)
		return
	case s.whole:
		c.reset(s.id, StreamClosed)
		return
	case len(p) == 0 && !h.has(flagEndStream) && !c.spend(&c.empties):
		return
	}
	s.receive -= size
	if s.receive < 0 {
		c.reset(s.id, FlowControlError)
		return
	}
	if s.answer != nil { // it was refused already: the rest is not wanted
		return
	}
	s.length += int64(len(p))
	if s.req.length >= 0 && s.length > s.req.length {
		c.reset(s.id, ProtocolError)
		return
	}
	if s.length > front.MaxBodyBytes {
		c.tell(s, &front.Fault{Status: 413, Code: "long-body"})
		return
	}
	s.body = append(s.body, p...)
	if h.has(flagEndStream) {
		c.wholeRequest(s)
	}
}

func (c *Conn) headers(h head, p []byte) {
	if h.stream == 0 || h.stream%2 == 0 {
		c.fail(ProtocolError, "bad-stream")
		return
	}
	p, ok := unpad(h, p)
	if !ok {
		c.fail(ProtocolError, "bad-padding")
		return
	}
	b := &block{stream: h.stream, endStream: h.has(flagEndStream), since: c.now}
	if h.has(flagPriority) {
		if len(p) < 5 {
			c.fail(FrameSizeError, "bad-size")
			return
		}
		b.self = binary.BigEndian.Uint32(p)&maxWindow == h.stream
		p = p[5:]
	}
	if c.streams[h.stream] == nil && h.stream <= c.highest {
		if how := c.closed[h.stream]; how == endedBoth || how == 0 {
			c.stray(h, true)
			return
		}
	}
	c.block = b
	c.fragment(h, p)
}

// fragment takes a part of a header block, and the block once it is whole.
func (c *Conn) fragment(h head, p []byte) {
	b := c.block
	if len(b.buf)+len(p) > maxBlock || b.parts > maxParts {
		c.fail(EnhanceYourCalm, "flood-continuation")
		return
	}
	b.buf = append(b.buf, p...)
	if !h.has(flagEndHeaders) {
		return
	}
	c.block = nil
	r := newRequest()
	expanded := 0
	c.dec.SetEmitFunc(func(f hpack.HeaderField) {
		expanded += len(f.Name) + len(f.Value) + entryCost
		if expanded <= maxExpanded {
			r.field(f)
		}
	})
	_, err := c.dec.Write(b.buf)
	if err == nil {
		err = c.dec.Close()
	}
	switch {
	case err != nil:
		c.fail(CompressionError, "bad-hpack")
	case expanded > maxExpanded:
		c.fail(EnhanceYourCalm, "flood-hpack")
	default:
		c.list(b, r)
	}
}

// list takes the list of fields of a whole header block: it opens a stream, or ends one as trailers.
func (c *Conn) list(b *block, r *request) {
	s := c.streams[b.stream]
	switch {
	case s != nil && s.whole:
		c.reset(s.id, StreamClosed)
		return
	case s != nil:
		if !b.endStream || len(r.pseudo) > 0 || r.malformed != "" || b.self {
			c.reset(s.id, ProtocolError)
			return
		}
		c.wholeRequest(s)
		return
	case b.stream <= c.highest:
		c.stray(head{stream: b.stream}, true)
		return
	}
	c.highest = b.stream
	if c.final || uint32(len(c.streams)) >= c.most() {
		if c.spend(&c.refusals) {
			c.reset(b.stream, RefusedStream) // nothing of it was run
		}
		return
	}
	c.accepted = b.stream
	r.finish()
	s = &stream{id: b.stream, req: r, since: c.now, receive: streamWindow, send: c.peerWindow}
	c.streams[s.id] = s
	c.partial++
	if r.malformed != "" || b.self {
		if c.spend(&c.faults) {
			c.reset(s.id, ProtocolError)
		}
		return
	}
	if r.expect && !b.endStream {
		c.control = c.appendHeaders(c.control, s.id, hpack.HeaderField{Name: ":status", Value: "100"})
	}
	if b.endStream {
		c.wholeRequest(s)
	}
}

// most is how many streams the peer may have open: a lower limit holds once the peer has acknowledged it.
func (c *Conn) most() uint32 {
	most := min(c.limit, MaxStreams)
	for _, l := range c.limits {
		most = max(most, min(l, MaxStreams))
	}
	return most
}

// wholeRequest hands a request to the core, or answers what is wrong with it.
func (c *Conn) wholeRequest(s *stream) {
	if s.answer != nil {
		return
	}
	if s.req.length >= 0 && s.length != s.req.length {
		c.reset(s.id, ProtocolError)
		return
	}
	s.whole = true
	c.partial--
	m := s.req.message(c.site, s.body)
	s.body = nil
	if m.Request == nil && !c.small() {
		if c.spend(&c.refusals) {
			c.reset(s.id, RefusedStream)
		}
		return
	}
	if m.Fault != nil {
		if c.spend(&c.faults) {
			c.tell(s, m.Fault)
		}
		return
	}
	if m.Request != nil {
		s.due = min(max(m.Request.Due, c.now), c.now+c.site.Config().Policy.Classes[m.Request.Class].Deadline)
	}
	s.inHand = true
	c.events = append(c.events, front.Event{Message: m, Tag: s.id})
}

// small takes a check or a fault. They are answered so fast that hardly two of them are ever open at a time: the limit
// of streams would not hold for them. So each counts for smallFor, and what is over the limit then is refused.
func (c *Conn) small() bool {
	for len(c.smalls) > 0 && c.smalls[0] <= c.now-smallFor {
		c.smalls = c.smalls[1:]
	}
	if uint32(len(c.smalls)) >= max(firstStreams, c.most()) {
		return false
	}
	c.smalls = append(c.smalls, c.now)
	return true
}

// tell answers what can't be read. The connection goes on.
func (c *Conn) tell(s *stream, f *front.Fault) {
	s.status, s.answer, s.fault = f.Status, &core.Answer{Credit: -1}, true
	s.body = nil
	c.ready = append(c.ready, s)
	c.events = append(c.events, front.Event{Tag: s.id, Code: f.Code})
}
