package h2

import (
	"bytes"
	"math"

	"golang.org/x/net/http2/hpack"

	"whinrudder/internal/core"
	"whinrudder/internal/front"
)

// Limits of a connection, and its deadlines in milliseconds.
const (
	MaxStreams   = 128      // streams at a time, however large the credit
	firstStreams = 16       // before any credit was told
	streamWindow = 32 << 10 // offered to each stream: a body of 2 KiB and what is over it until it is refused
	firstFor     = 2000     // from the accept to the preface and the first settings
	partFor      = 2000     // from the first byte of a request to its last, and of a header block
	roundTrip    = 1000     // the answer to the ping of a drain is not waited for any longer
	answerGrace  = 80       // an answer later than this after it fell due is not sent
	smallFor     = 100      // a check or a fault counts for so long against the limit of streams
	keptClosed   = 256      // closed streams whose end is remembered
)

// how a stream was closed.
type closing uint8

const (
	endedBoth closing = iota + 1 // whole request, whole answer
	resetByPeer
	resetByUs
)

// stream is one request and its answer.
type stream struct {
	id      uint32
	req     *request
	body    []byte
	length  int64   // of DATA so far
	whole   bool    // the peer has ended its side
	inHand  bool    // the core owes an answer
	since   float64 // when its headers came
	due     float64 // when its caller stops waiting; 0: a check or a fault
	receive int     // what the peer may still send
	send    int64   // what we may still send; below 0 after a smaller setting
	answer  *core.Answer
	status  int
	fault   bool   // the request could not be read: the answer tells so
	begun   bool   // the headers of the answer were sent
	rest    []byte // of the result
	blocked bool   // waits for a window
}

// Conn is the state machine of one connection: a front.Protocol. Create it with New.
type Conn struct {
	site *front.Validator
	now  float64
	in   []byte

	since      float64 // when the connection was accepted
	prefaced   bool
	configured bool // the peer's first settings came
	streams    map[uint32]*stream
	partial    int    // streams whose request is not whole
	highest    uint32 // id that the peer has opened
	accepted   uint32 // highest id that was taken on
	closed     map[uint32]closing
	closedIDs  []uint32 // in order of their ends
	block      *block
	dec        *hpack.Decoder
	enc        *hpack.Encoder
	encoded    bytes.Buffer

	peerFrame  int
	peerWindow int64
	send       int64 // connection windows
	receive    int

	limit  uint32   // of streams, as acknowledged
	limits []uint32 // sent and not acknowledged, one for each of our settings
	ackBy  float64
	want   uint32 // limit that the credit asks for

	control []byte
	ready   []*stream // with something to send, in turn
	blocked []*stream // with something to send, that wait for a window
	events  []front.Event
	smalls  []float64 // when the last checks and faults came

	pings, settings, empties, updates, priorities, unknowns, resets, refusals, faults, strays budget

	served   int
	servedAt float64
	leaving  bool
	pingBy   float64 // of the drain
	final    bool    // the last GOAWAY was sent
	code     string
	linger   bool
}

// New returns the machine of a connection that was accepted at a time.
func New(site *front.Validator, now float64) *Conn {
	c := &Conn{site: site, now: now, since: now, servedAt: now, streams: map[uint32]*stream{}, closed: map[uint32]closing{},
		peerFrame: minFrame, peerWindow: initialWindow, send: initialWindow, receive: initialWindow, limit: math.MaxUint32,
		want: firstStreams}
	c.pings, c.settings = budget{name: "ping", most: 64, second: 8}, budget{name: "settings", most: 64, second: 8}
	c.empties, c.updates = budget{name: "empty", most: 64, second: 16}, budget{name: "update", most: 2048, second: 2048}
	c.priorities, c.unknowns = budget{name: "priority", most: 256, second: 64}, budget{name: "unknown", most: 64, second: 8}
	c.resets, c.refusals = budget{name: "reset", most: 128, second: 32}, budget{name: "refused", most: 256, second: 64}
	c.faults, c.strays = budget{name: "fault", most: 128, second: 32}, budget{name: "stray", most: 256, second: 64}
	c.dec = hpack.NewDecoder(maxTable, nil)
	c.dec.SetMaxStringLength(maxHeaderStr)
	c.enc = hpack.NewEncoder(&c.encoded)
	c.enc.SetMaxDynamicTableSizeLimit(maxTable)
	c.control = appendSettings(c.control, settingStreams, firstStreams, settingWindow, streamWindow, settingHeaderList, maxList)
	c.limits, c.ackBy = []uint32{firstStreams}, now+settingsAckFor
	return c
}

// fail ends the connection with an error code for the peer and a code for the log.
func (c *Conn) fail(e ErrCode, code string) {
	if c.code != "" {
		return
	}
	c.control = appendGoAway(c.control, c.accepted, e, code)
	c.code, c.linger = code, true
	c.ready, c.blocked, c.events = nil, nil, nil
}

// reset ends a stream with an error code. If its request is in hand, its caller has given it up.
func (c *Conn) reset(id uint32, e ErrCode) {
	c.control = appendRst(c.control, id, e)
	c.drop(id, resetByUs)
}

// drop forgets a stream and remembers how it ended.
func (c *Conn) drop(id uint32, how closing) {
	if s := c.streams[id]; s != nil {
		delete(c.streams, id)
		if !s.whole {
			c.partial--
		}
		if s.inHand {
			s.inHand = false
			c.gone(id)
		}
		s.answer, s.rest, s.body = nil, nil, nil
		c.servedAt = c.now // the connection rests from here on, if this was the last
	}
	if _, ok := c.closed[id]; !ok {
		if len(c.closedIDs) >= keptClosed {
			delete(c.closed, c.closedIDs[0])
			c.closedIDs = c.closedIDs[1:]
		}
		c.closedIDs = append(c.closedIDs, id)
	}
	c.closed[id] = how
}

// gone tells the core that a caller gave up, or, of a request that it has not heard of yet, nothing at all.
func (c *Conn) gone(id uint32) {
	for i, e := range c.events {
		if e.Tag == id {
			c.events = append(c.events[:i], c.events[i+1:]...)
			return
		}
	}
	c.events = append(c.events, front.Event{Tag: id, Cancelled: true})
}

// spend takes one of a budget, or ends the connection.
func (c *Conn) spend(b *budget) bool {
	if b.take(c.now) {
		return true
	}
	c.fail(EnhanceYourCalm, b.code())
	return false
}

// Feed takes bytes that were read.
func (c *Conn) Feed(now float64, b []byte) {
	c.now = max(c.now, now)
	if c.code != "" {
		return
	}
	c.in = append(c.in, b...)
	at := 0
	if !c.prefaced {
		n := min(len(c.in), len(preface))
		if string(c.in[:n]) != preface[:n] {
			c.fail(ProtocolError, "bad-preface")
			return
		}
		if n < len(preface) {
			return
		}
		c.prefaced, at = true, n
	}
	for c.code == "" && len(c.in)-at >= headSize {
		h := readHead(c.in[at:])
		if h.length > minFrame {
			c.fail(FrameSizeError, "long-frame") // RFC 9113, 4.2
			break
		}
		if len(c.in)-at < headSize+h.length {
			break
		}
		c.frame(h, c.in[at+headSize:at+headSize+h.length])
		at += headSize + h.length
	}
	c.in = c.in[:copy(c.in, c.in[at:])]
}

// frame takes one whole frame.
func (c *Conn) frame(h head, p []byte) {
	if !c.configured && (h.kind != frameSettings || h.has(flagAck)) {
		c.fail(ProtocolError, "bad-preface")
		return
	}
	if c.block != nil && (h.kind != frameContinuation || h.stream != c.block.stream) {
		c.fail(ProtocolError, "bad-continuation")
		return
	}
	switch h.kind {
	case frameData:
		c.data(h, p)
	case frameHeaders:
		c.headers(h, p)
	case framePriority:
		c.priority(h, p)
	case frameRstStream:
		c.rstStream(h, p)
	case frameSettings:
		c.setting(h, p)
	case framePushPromise:
		c.fail(ProtocolError, "bad-push")
	case framePing:
		c.ping(h, p)
	case frameGoAway:
		switch {
		case h.stream != 0:
			c.fail(ProtocolError, "bad-stream")
		case len(p) < 8:
			c.fail(FrameSizeError, "bad-size")
		default:
			c.spend(&c.unknowns)
		}
	case frameWindowUpdate:
		c.windowUpdate(h, p)
	case frameContinuation:
		if c.block == nil {
			c.fail(ProtocolError, "bad-continuation")
			return
		}
		if len(p) == 0 && !h.has(flagEndHeaders) && !c.spend(&c.empties) {
			return
		}
		c.block.parts++
		c.fragment(h, p)
	default:
		c.spend(&c.unknowns) // RFC 9113, 4.1: passed over
	}
}

// stray takes a frame on a stream that is not open. One that we reset may have frames on their way.
func (c *Conn) stray(h head, headers bool) {
	switch how := c.closed[h.stream]; {
	case h.stream > c.highest:
		c.fail(ProtocolError, "idle-stream")
	case how == resetByUs:
		c.spend(&c.strays) // it was on its way
	case how == resetByPeer:
		if c.spend(&c.strays) {
			c.control = appendRst(c.control, h.stream, StreamClosed)
		}
	case how == endedBoth || !headers:
		c.fail(StreamClosed, "closed-stream")
	default:
		c.fail(ProtocolError, "bad-stream") // an id below the highest that was never opened
	}
}
