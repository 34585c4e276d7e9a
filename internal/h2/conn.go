package h2

import (
	"bytes"
	"math"

	"golang.org/x/net/http2/hpack"

	"whinrudder/internal/core"
	"whinrudder/internal/front"
	"whinrudder/internal/memory"
)

// Limits of a connection.
const (
	MaxStreams         = 128      // concurrent streams, however large the credit
	initialStreams     = 16       // concurrent streams before the first credit
	streamWindowBytes  = 32 << 10 // receive window of a stream: a body of 2 KiB and the excess until it is rejected
	handshakeTimeoutMs = 2000     // from the accept to the first SETTINGS frame, and for blocked answers without due time
	requestTimeoutMs   = 2000     // from the first to the last byte of a request, and of a header block
	drainPingTimeoutMs = 1000     // for the acknowledgement of the PING of a drain
	answerGraceMs      = 80       // an answer this long past its due time is not sent
	smallWindowMs      = 100      // a health check or a fault counts against the stream limit for this long
	maxClosedStreams   = 256      // closed streams that are remembered
	rapidResetMs       = 10       // resets of younger streams count against a budget; streams that last are bounded by their limit
	excessPauseMs      = 0.5      // pause in reading for each frame beyond a budget
)

// What the node's own frames give back to the budgets of the peer's replies.
const (
	updatesPerData  = 2 // for each DATA frame a WINDOW_UPDATE of the stream and one of the connection
	straysPerData   = 1 // the former may arrive when the stream has ended
	straysPerStream = 1 // a RST_STREAM may cross the end of the stream
)

// closeKind is the way in which a stream was closed. The zero value means that it was not closed.
type closeKind uint8

const (
	completed closeKind = iota + 1 // request and answer are complete
	resetByPeer
	resetByUs
)

// stream is one request and its answer.
type stream struct {
	id              uint32
	req             *request // nil once the request is complete
	body            []byte
	received        int64   // bytes of DATA so far, without padding
	requestComplete bool    // the peer has ended its side of the stream
	inProgress      bool    // the core has not answered yet
	openedAt        float64 // when the HEADERS frame arrived
	pausedBefore    float64 // Conn.pausedMs at that time
	due             float64 // when the caller stops waiting; 0 for a health check or a fault
	receiveWindow   int     // bytes that the peer may still send
	sendWindow      int64   // bytes that may still be sent; negative after the peer lowered its initial window size
	answer          *core.Answer
	status          int
	isFault         bool   // the answer reports a malformed request
	headersSent     bool   // the HEADERS frame of the answer was sent
	unsent          []byte // remainder of the result
	blocked         bool   // waits for a window update
	reserved        int64  // bytes taken of the shared budget
}

// Conn is the state machine of one connection. It implements front.Protocol. Create it with New.
type Conn struct {
	validator *front.Validator
	budget    *memory.Budget    // shared with other connections; nil: without a bound
	now       float64           // latest time passed in, Unix ms
	in        front.InputBuffer // received bytes of an incomplete frame

	acceptedAt   float64
	prefaceRead  bool
	settingsRead bool // the peer's first SETTINGS frame was read
	streams      map[uint32]*stream
	incomplete   int    // streams whose request is not complete
	highestID    uint32 // highest stream id that the peer has opened
	acceptedID   uint32 // highest stream id that was not refused, as reported by GOAWAY
	closed       map[uint32]closeKind
	closedIDs    []uint32     // keys of closed, oldest first
	forgottenID  uint32       // highest id that was removed from closed
	undecoded    bool         // a header block was dropped, so that later ones can't be decoded
	block        *headerBlock // the incomplete header block, or nil
	dec          *hpack.Decoder
	enc          *hpack.Encoder
	encoded      bytes.Buffer // output of enc

	peerMaxFrame      int   // the peer's SETTINGS_MAX_FRAME_SIZE
	peerInitialWindow int64 // the peer's SETTINGS_INITIAL_WINDOW_SIZE
	sendWindow        int64 // of the connection
	receiveWindow     int   // of the connection

	streamLimit   uint32   // the last SETTINGS_MAX_CONCURRENT_STREAMS that the peer acknowledged
	unackedLimits []uint32 // the limits not yet acknowledged, one for each SETTINGS frame sent
	ackDeadline   float64  // for the oldest unacknowledged SETTINGS frame; 0 if there is none
	wantedLimit   uint32   // stream limit derived from the credit

	control []byte    // control frames to send
	ready   []*stream // streams that can send, in round-robin order
	blocked []*stream // streams that wait for a window update to send
	events  []front.Event
	smalls  []float64 // arrival times of the health checks and faults of the last smallWindowMs

	pings, settings, empties, updates, priorities, unknowns, resets, refusals, faults, strays budget

	served       int     // answers other than faults
	servedAt     float64 // when the last stream ended, or the accept
	draining     bool
	pingDeadline float64 // for the acknowledgement of the PING of the drain
	finalGoAway  bool    // the GOAWAY frame with the last accepted id was sent
	endCode      string  // the close code once no stream is left, after finalGoAway; empty: a drain
	readAfter    float64 // see front.Protocol.ReadAfter
	pausedMs     float64 // sum of the delays of reads
	closeCode    string  // see front.Protocol.CloseReason
	linger       bool
}

// New returns the state machine of a connection that was accepted at now.
func New(v *front.Validator, now float64) *Conn {
	c := &Conn{validator: v, now: now, acceptedAt: now, servedAt: now, streams: map[uint32]*stream{},
		closed: map[uint32]closeKind{}, peerMaxFrame: minFrameBytes, peerInitialWindow: initialWindowBytes,
		sendWindow: initialWindowBytes, receiveWindow: initialWindowBytes, streamLimit: math.MaxUint32,
		wantedLimit: initialStreams}
	c.pings, c.settings = budget{name: "ping", burst: 64, perSecond: 8},
		budget{name: "settings", burst: 64, perSecond: 8}
	c.empties, c.updates = budget{name: "empty", burst: 64, perSecond: 16},
		budget{name: "update", burst: 2048, perSecond: 2048}
	c.priorities, c.unknowns = budget{name: "priority", burst: 256, perSecond: 64},
		budget{name: "unknown", burst: 64, perSecond: 8}
	c.resets, c.refusals = budget{name: "reset", burst: 256, perSecond: 256},
		budget{name: "refused", burst: 256, perSecond: 64}
	c.faults, c.strays = budget{name: "fault", burst: 128, perSecond: 32},
		budget{name: "stray", burst: 256, perSecond: 64}
	c.dec = hpack.NewDecoder(maxTableBytes, nil)
	c.dec.SetMaxStringLength(maxStringBytes)
	c.enc = hpack.NewEncoder(&c.encoded)
	c.enc.SetMaxDynamicTableSizeLimit(maxTableBytes)
	c.control = appendSettings(c.control, settingMaxConcurrentStreams, initialStreams,
		settingInitialWindowSize, streamWindowBytes, settingMaxHeaderListSize, maxListBytes)
	c.unackedLimits, c.ackDeadline = []uint32{initialStreams}, now+settingsAckTimeoutMs
	return c
}

// fail closes the connection with an error code for the peer and a code for the log.
func (c *Conn) fail(e ErrCode, code string) {
	if c.closeCode != "" {
		return
	}
	c.control = appendGoAway(c.control, c.acceptedID, e, code)
	c.closeCode, c.linger = code, true
	c.ready, c.blocked, c.events = nil, nil, nil
}

// resetStream resets a stream with an error code. A request in progress is cancelled.
func (c *Conn) resetStream(id uint32, e ErrCode) {
	c.control = appendRstStream(c.control, id, e)
	c.closeStream(id, resetByUs)
}

// closeStream removes a stream and records how it was closed.
func (c *Conn) closeStream(id uint32, kind closeKind) {
	if s := c.streams[id]; s != nil {
		delete(c.streams, id)
		if !s.requestComplete {
			c.incomplete--
		}
		if s.inProgress {
			s.inProgress = false
			c.cancel(id)
		}
		s.answer, s.unsent, s.body = nil, nil, nil
		c.releaseStream(s)
		c.strays.earn(straysPerStream)
		c.servedAt = c.now // start of the idle time if no stream is left
	}
	if _, ok := c.closed[id]; !ok {
		if len(c.closedIDs) >= maxClosedStreams {
			c.forgottenID = max(c.forgottenID, c.closedIDs[0])
			delete(c.closed, c.closedIDs[0])
			c.closedIDs = c.closedIDs[1:]
		}
		c.closedIDs = append(c.closedIDs, id)
	}
	c.closed[id] = kind
}

// cancel withdraws a request that the core has not received yet, or else tells the core that the caller gave up.
func (c *Conn) cancel(id uint32) {
	for i, e := range c.events {
		if e.Tag == id {
			c.events = append(c.events[:i], c.events[i+1:]...)
			return
		}
	}
	c.events = append(c.events, front.Event{Tag: id, Cancelled: true})
}

// spend takes one event from a budget. If the budget is exhausted, it winds the connection down. It returns false if that
// closed the connection.
func (c *Conn) spend(b *budget) bool {
	if !b.spend(c.now) {
		c.windDown(EnhanceYourCalm, b.code())
	}
	return c.closeCode == ""
}

// windDown ends the connection for what one side of it did, without a loss for the others who use it: no more streams are
// accepted, and the connection is closed once the open ones are answered, at once if there is none. Until then it is read
// more slowly with each call.
func (c *Conn) windDown(e ErrCode, code string) {
	if len(c.streams) == 0 && !c.finalGoAway {
		c.fail(e, code)
		return
	}
	c.pauseReading()
	if c.endCode == "" {
		c.endCode, c.finalGoAway = code, true
		c.control = appendGoAway(c.control, c.acceptedID, e, code)
	}
}

// pauseReading delays the next read for a frame beyond a budget.
func (c *Conn) pauseReading() {
	c.readAfter = max(c.readAfter, c.now) + excessPauseMs
	c.pausedMs += excessPauseMs
}

// requestDeadline returns when the request of a stream must be complete. Pauses of this side do not count.
func (c *Conn) requestDeadline(s *stream) float64 {
	return s.openedAt + requestTimeoutMs + c.pausedMs - s.pausedBefore
}

// ReadAfter implements front.Protocol.
func (c *Conn) ReadAfter() float64 { return c.readAfter }

// Feed implements front.Protocol.
func (c *Conn) Feed(now float64, b []byte) {
	c.now = max(c.now, now)
	if c.closeCode != "" {
		return
	}
	c.in.Append(b)
	in, offset := c.in.Bytes(), 0
	if !c.prefaceRead {
		n := min(len(in), len(preface))
		if string(in[:n]) != preface[:n] {
			c.fail(ProtocolError, "bad-preface")
			return
		}
		if n < len(preface) {
			return
		}
		c.prefaceRead, offset = true, n
	}
	for c.closeCode == "" && len(in)-offset >= frameHeaderBytes {
		h := parseFrameHeader(in[offset:])
		if h.length > minFrameBytes {
			c.fail(FrameSizeError, "long-frame") // RFC 9113, 4.2
			break
		}
		if len(in)-offset < frameHeaderBytes+h.length {
			break
		}
		c.handleFrame(h, in[offset+frameHeaderBytes:offset+frameHeaderBytes+h.length])
		offset += frameHeaderBytes + h.length
	}
	c.in.Discard(offset)
}

// handleFrame processes one frame.
func (c *Conn) handleFrame(h frameHeader, p []byte) {
	if !c.settingsRead && (h.kind != frameSettings || h.has(flagAck)) {
		c.fail(ProtocolError, "bad-preface")
		return
	}
	if c.block != nil && (h.kind != frameContinuation || h.stream != c.block.stream) {
		c.fail(ProtocolError, "bad-continuation")
		return
	}
	switch h.kind {
	case frameData:
		c.handleData(h, p)
	case frameHeaders:
		c.handleHeaders(h, p)
	case framePriority:
		c.handlePriority(h, p)
	case frameRstStream:
		c.handleRstStream(h, p)
	case frameSettings:
		c.handleSettings(h, p)
	case framePushPromise:
		c.fail(ProtocolError, "bad-push")
	case framePing:
		c.handlePing(h, p)
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
		c.handleWindowUpdate(h, p)
	case frameContinuation:
		if c.block == nil {
			c.fail(ProtocolError, "bad-continuation")
			return
		}
		if len(p) == 0 && !h.has(flagEndHeaders) && !c.spend(&c.empties) {
			return
		}
		c.block.continuations++
		c.handleFragment(h, p)
	default:
		c.spend(&c.unknowns) // RFC 9113, 4.1: unknown frames are ignored
	}
}

// handleStrayFrame processes a frame on a stream that is not open. The peer may have sent it before it received our
// reset.
func (c *Conn) handleStrayFrame(h frameHeader, headers bool) {
	switch kind := c.closed[h.stream]; {
	case h.stream > c.highestID:
		c.fail(ProtocolError, "idle-stream")
	case kind == resetByUs, kind == 0 && h.stream <= c.forgottenID:
		c.spend(&c.strays) // sent before the peer received the reset, as far as is known
	case kind == resetByPeer:
		if c.spend(&c.strays) {
			c.control = appendRstStream(c.control, h.stream, StreamClosed)
		}
	case kind == completed || !headers:
		c.fail(StreamClosed, "closed-stream")
	default:
		c.fail(ProtocolError, "bad-stream") // an id below the highest one that was never opened
	}
}
