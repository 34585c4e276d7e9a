package peer

import (
	"math"
	"slices"

	"whinrudder/internal/knowledge"
)

// Time limits of a connection.
const (
	TransferTimeoutMs = 3000 // a connection that takes longer, from its acceptance on, is closed
	MaxRetryMs        = 60e3 // longest time that a receiver is asked to wait before a retry
)

// Step is what a SourceConn needs from its driver next.
type Step uint8

// The steps.
const (
	StepRead        Step = iota // read more bytes and pass them to Feed
	StepSendWelcome             // answer the hello by SendWelcome with the present summary, or by SendBusy
	StepSendReport              // answer the request by SendReport, or by SendBusy
	StepClose                   // write the returned bytes and close the connection
)

// SourceConn is the state machine of one connection at the source node. Its driver passes it the bytes that were read,
// performs the returned steps and writes the returned bytes.
type SourceConn struct {
	reader       Reader
	deadline     float64
	state        Step
	welcomed     bool
	ReceiverName string // name that the receiver claims; it is not authenticated
}

// NewSourceConn returns the state machine of a connection that was accepted at time now.
func NewSourceConn(now float64) *SourceConn { return &SourceConn{deadline: now + TransferTimeoutMs} }

// Deadline returns the absolute time at which the connection must be closed.
func (c *SourceConn) Deadline() float64 { return c.deadline }

// HasPartialFrame reports whether bytes of the peer wait for the rest of their frame or for an answer.
func (c *SourceConn) HasPartialFrame() bool { return c.reader.Buffered() > 0 }

// Feed processes bytes that were read and returns the next step, with the bytes to write. A fault ends the connection,
// and the bytes then tell the peer its code.
func (c *SourceConn) Feed(b []byte) (Step, []byte, *Fault) {
	c.reader.Feed(b)
	if c.state == StepSendWelcome || c.state == StepSendReport {
		if c.reader.Buffered() > headerBytes+MaxPayloadBytes {
			return c.closeWithFault(newFault("ahead", "received %d bytes before the answer was sent",
				c.reader.Buffered()))
		}
		return c.state, nil, nil
	}
	return c.next()
}

// next processes the next frame, if there is a complete one.
func (c *SourceConn) next() (Step, []byte, *Fault) {
	c.state = StepRead
	f, ok, bad := c.reader.Next()
	switch {
	case bad != nil:
		return c.closeWithFault(bad)
	case !ok:
		return StepRead, nil, nil
	case f.Kind == KindHello && !c.welcomed:
		var h helloPayload
		if bad := decodePayload(f, &h); bad != nil {
			return c.closeWithFault(bad)
		}
		if !slices.Contains(h.Versions, Version) {
			return c.closeWithFault(newFault("bad-version", "receiver supports versions %v", h.Versions))
		}
		c.ReceiverName = h.Node
		c.state = StepSendWelcome
	case f.Kind == KindTake && c.welcomed:
		c.state = StepSendReport
	case f.Kind == KindRefuse:
		var r refusePayload
		decodePayload(f, &r)
		return c.closeWithFault(newFault("left", "receiver needs no more data"))
	default:
		return c.closeWithFault(newFault("bad-order", "unexpected frame of kind %d", f.Kind))
	}
	return c.state, nil, nil
}

// closeWithFault returns the frame that tells the peer the code of a fault, and ends the connection.
func (c *SourceConn) closeWithFault(bad *Fault) (Step, []byte, *Fault) {
	c.state = StepClose
	return StepClose, appendMessage(nil, KindRefuse, refusePayload{bad.Code}), bad
}

// SendWelcome answers the hello with a summary. The receiver may then request the sections.
func (c *SourceConn) SendWelcome(h Summary) (Step, []byte, *Fault) {
	c.welcomed = true
	step, more, bad := c.next()
	return step, append(appendMessage(nil, KindWelcome, h), more...), bad
}

// SendBusy asks the receiver to retry after a time in milliseconds, and ends the connection.
func (c *SourceConn) SendBusy(code string, retryMs float64) (Step, []byte, *Fault) {
	c.state = StepClose
	return StepClose, appendMessage(nil, KindBusy, busyPayload{min(retryMs, MaxRetryMs), code}),
		&Fault{code, "receiver asked to retry later"}
}

// SendReport answers the request with the sections of a report, and ends the connection.
func (c *SourceConn) SendReport(r knowledge.Report) (Step, []byte, *Fault) {
	c.state = StepClose
	return StepClose, AppendSections(nil, r), nil
}

// Budget limits the load that transfers put on a source node: the number of concurrent transfers, and their rate by a
// token bucket, which refills more slowly while the node is at its limit. A second bucket limits the rate of
// connections. It is not safe for concurrent use.
type Budget struct {
	MaxConcurrent int     // concurrent transfers
	IntervalMs    float64 // time in which one token is added
	Burst         float64 // capacity of the bucket, in transfers
	active        int     // transfers in progress
	tokens        float64 // transfers that may begin now
	refilledAt    float64 // when tokens was last updated
	lastRetryAt   float64 // latest retry time that was handed out, less one interval

	// Connections that may be accepted now, and when that was last updated.
	connectionTokens, connectionsRefilledAt float64
}

// Limit on the rate of connections: a burst, and then one per interval. A handshake costs a small node about as much
// core time as a request.
const (
	connectionBurst      = 64
	connectionIntervalMs = 31.25
)

// NewBudget returns the budget of a node that starts now: four concurrent transfers, four a second, bursts of four.
func NewBudget(now float64) *Budget {
	return &Budget{MaxConcurrent: 4, IntervalMs: 250, Burst: 4, tokens: 4, refilledAt: now,
		connectionTokens: connectionBurst, connectionsRefilledAt: now}
}

// AllowConnection reports whether one more connection may be accepted, and counts it if so.
func (b *Budget) AllowConnection(now float64) bool {
	b.connectionTokens = min(connectionBurst,
		b.connectionTokens+math.Max(0, now-b.connectionsRefilledAt)/connectionIntervalMs)
	b.connectionsRefilledAt = now
	if b.connectionTokens < 1 {
		return false
	}
	b.connectionTokens--
	return true
}

// SourceState is the present state of a source node.
type SourceState struct {
	HasKnowledge bool // the decision module runs, so that it may have learned something
	Draining     bool
	AtLimit      bool // the node is at its concurrency limit
}

// Admit decides whether a step of a receiver's request may be served. The code is empty if so. Otherwise it is the
// reason, and retryMs is how long the receiver should wait. The caller must call Release after an admitted transfer.
func (b *Budget) Admit(now float64, step Step, state SourceState) (code string, retryMs float64) {
	switch {
	case !state.HasKnowledge:
		return "not-ready", 1000
	case state.Draining:
		return "draining", MaxRetryMs
	case step == StepSendWelcome:
		return "", 0
	}
	if ok, retryMs := b.Acquire(now, state.AtLimit); !ok {
		return "busy", retryMs
	}
	return "", 0
}

// Acquire takes a token for a transfer. If it can't, it returns how long the receiver should wait before a retry. Each
// refused receiver waits a little longer than the one before, so that they don't all return at the same time. A node
// at its limit serves transfers at a quarter of the rate.
func (b *Budget) Acquire(now float64, atLimit bool) (ok bool, retryMs float64) {
	intervalMs := b.IntervalMs
	if atLimit {
		intervalMs *= 4
	}
	b.tokens = min(b.Burst, b.tokens+math.Max(0, now-b.refilledAt)/intervalMs)
	b.refilledAt = now
	if b.active < b.MaxConcurrent && b.tokens >= 1 && (!atLimit || b.tokens >= b.Burst-1) {
		b.active++
		b.tokens--
		return true, 0
	}
	b.lastRetryAt = math.Max(b.lastRetryAt, now) + intervalMs
	return false, min(b.lastRetryAt-now+intervalMs, MaxRetryMs)
}

// Release ends a transfer that Acquire allowed.
func (b *Budget) Release() { b.active-- }
