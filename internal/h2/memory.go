package h2

import (
	"whinrudder/internal/front"
	"whinrudder/internal/memory"
)

// ConnBytes is what a connection takes of the shared budget: by how much its buffers, its tables and one stream may exceed
// memory.ConnBytes.
const ConnBytes = 96 << 10

// What a stream takes of the shared budget, besides the fields that it keeps until its request is complete.
const (
	streamBytes    = 3 << 10 // the stream and the state of its request in the core, the module and the link
	maxResultBytes = 4 << 10 // of the platform
	bodyCopies     = 3       // the body, and its command to the worker pool in base64
)

// SetBudget makes the streams of the connection take what they hold from a budget that it shares with other connections.
// It must be called before the first bytes are fed.
func (c *Conn) SetBudget(b *memory.Budget) { c.budget = b }

// reserve takes what a new stream may hold from the shared budget, or returns false if that is not left. The only stream of
// a connection is a part of ConnBytes, so that each connection can make progress.
func (c *Conn) reserve(s *stream, endStream bool) bool {
	if len(c.streams) == 0 {
		return true
	}
	body := int64(front.MaxBodyBytes)
	if endStream {
		body = 0
	} else if s.req.contentLength >= 0 {
		body = min(body, s.req.contentLength)
	}
	n := streamBytes + maxResultBytes + bodyCopies*body + int64(s.req.keptBytes())
	if !c.budget.Reserve(n) {
		return false
	}
	s.reserved = n
	return true
}

// shrinkReservation gives back what a stream reserved for the fields and the body of its request, except for the body that
// came and the fields that go to the core.
func (c *Conn) shrinkReservation(s *stream, m front.Message) {
	if s.reserved == 0 {
		return
	}
	n := int64(streamBytes + maxResultBytes)
	if m.Request != nil {
		n += int64(bodyCopies*len(m.Request.Body) + len(m.Request.Key) + len(m.Request.Token))
	}
	if n < s.reserved {
		c.budget.Release(s.reserved - n)
		s.reserved = n
	}
}

// releaseStream gives back all that a stream reserved.
func (c *Conn) releaseStream(s *stream) {
	c.budget.Release(s.reserved)
	s.reserved = 0
}

// Release implements front.Protocol.
func (c *Conn) Release() {
	for _, s := range c.streams {
		c.releaseStream(s)
	}
}
