package peer

import (
	"math"
	"slices"

	"whinrudder/internal/knowledge"
)

// Times of a connection, in milliseconds, as parts of absolute deadlines.
const (
	TransferTimeoutMs = 3000 // a taker that has not taken all by then is cut
	MaxRetryMs        = 60e3 // nobody is told to stay away for longer
)

// Step is what a giver wants of its driver.
type Step uint8

// The steps.
const (
	StepRead        Step = iota // more bytes are to be read
	StepSendWelcome             // the taker is to be welcomed with the present report, or put off: SendWelcome or SendBusy
	StepSendReport              // the sections are to be given: SendReport
	StepClose                   // what is to be written is the last
)

// SourceConn is the state machine of one connection at the node that gives. Its driver feeds it, does what it wants and
// writes what it returns.
type SourceConn struct {
	r            Reader
	by           float64
	state        Step
	welcomed     bool
	ReceiverName string // the name that the taker gave, of no authority
}

// NewSourceConn returns the giver of a connection that was accepted at a time.
func NewSourceConn(now float64) *SourceConn { return &SourceConn{by: now + TransferTimeoutMs} }

// Deadline returns the absolute time by which all of it is over.
func (g *SourceConn) Deadline() float64 { return g.by }

// HasPartialFrame tells whether the peer has begun a frame that is not whole.
func (g *SourceConn) HasPartialFrame() bool { return g.r.Buffered() > 0 }

// Feed takes bytes and returns what is wanted next. A fault ends the connection: the bytes tell the peer.
func (g *SourceConn) Feed(b []byte) (Step, []byte, *Fault) {
	g.r.Feed(b)
	if g.state == StepSendWelcome || g.state == StepSendReport {
		if g.r.Buffered() > headSize+MaxPayloadBytes {
			return g.end(fault("ahead", "%d bytes before an answer", g.r.Buffered()))
		}
		return g.state, nil, nil
	}
	return g.next()
}

func (g *SourceConn) next() (Step, []byte, *Fault) {
	g.state = StepRead
	f, ok, bad := g.r.Next()
	switch {
	case bad != nil:
		return g.end(bad)
	case !ok:
		return StepRead, nil, nil
	case f.Kind == KindHello && !g.welcomed:
		var h hello
		if bad := read(f, &h); bad != nil {
			return g.end(bad)
		}
		if !slices.Contains(h.Versions, Version) {
			return g.end(fault("bad-version", "the taker speaks %v", h.Versions))
		}
		g.ReceiverName = h.Node
		g.state = StepSendWelcome
	case f.Kind == KindTake && g.welcomed:
		g.state = StepSendReport
	case f.Kind == KindRefuse:
		var r refuse
		read(f, &r)
		return g.end(fault("left", "the taker needs no more"))
	default:
		return g.end(fault("bad-order", "a frame of kind %d", f.Kind))
	}
	return g.state, nil, nil
}

// end tells the peer of a fault, and that the connection ends.
func (g *SourceConn) end(bad *Fault) (Step, []byte, *Fault) {
	g.state = StepClose
	return StepClose, frame(nil, KindRefuse, refuse{bad.Code}), bad
}

// SendWelcome answers the hello. The taker may ask for the sections then.
func (g *SourceConn) SendWelcome(h Summary) (Step, []byte, *Fault) {
	g.welcomed = true
	step, more, bad := g.next()
	return step, append(frame(nil, KindWelcome, h), more...), bad
}

// SendBusy puts the taker off for so many milliseconds. The connection ends.
func (g *SourceConn) SendBusy(code string, retry float64) (Step, []byte, *Fault) {
	g.state = StepClose
	return StepClose, frame(nil, KindBusy, busy{min(retry, MaxRetryMs), code}), &Fault{code, "taker put off"}
}

// SendReport answers a take. The connection ends.
func (g *SourceConn) SendReport(r knowledge.Report) (Step, []byte, *Fault) {
	g.state = StepClose
	return StepClose, AppendSections(nil, r), nil
}

// Budget bounds what giving may cost a node: so many transfers at a time and so many a second, less when the node is at
// its limit. It is used from one goroutine or under a lock.
type Budget struct {
	MaxConcurrent int     // at a time
	IntervalMs    float64 // milliseconds for which one transfer counts
	Burst         float64 // transfers that may be saved up
	open          int
	saved         float64
	last          float64
	queue         float64 // when the last of those put off was told to come

	connects, connected float64 // connections that are saved up, and when that was counted last
}

// Connections that a giver takes at once, and one more for each so many milliseconds: a handshake costs the core of a
// small node about as much as a request.
const (
	connectBurst = 64
	connectEvery = 31.25
)

// NewBudget returns the budget of a node that starts now: four at a time, four a second, none saved beyond four.
func NewBudget(now float64) *Budget {
	return &Budget{MaxConcurrent: 4, IntervalMs: 250, Burst: 4, saved: 4, last: now, connects: connectBurst, connected: now}
}

// AllowConnection tells whether one more connection may be taken.
func (b *Budget) AllowConnection(now float64) bool {
	b.connects = min(connectBurst, b.connects+math.Max(0, now-b.connected)/connectEvery)
	b.connected = now
	if b.connects < 1 {
		return false
	}
	b.connects--
	return true
}

// SourceState is what a giver is at the moment.
type SourceState struct {
	HasKnowledge bool // its module has learned something, or could have
	Draining     bool
	AtLimit      bool // it is at its limit
}

// Admit decides on what a taker wants: its code is empty if it is to have it, else the reason and how long the taker
// should stay away. A transfer that is admitted is given back by Release.
func (b *Budget) Admit(now float64, step Step, p SourceState) (code string, retry float64) {
	switch {
	case !p.HasKnowledge:
		return "not-ready", 1000
	case p.Draining:
		return "draining", MaxRetryMs
	case step == StepSendWelcome:
		return "", 0
	}
	if ok, retry := b.Acquire(now, p.AtLimit); !ok {
		return "busy", retry
	}
	return "", 0
}

// Acquire asks for a transfer. If there is none to be had it returns how long the taker should stay away, each one put off
// a little longer than the one before, so that they don't come back together. A node that is full gives at a quarter of
// the pace.
func (b *Budget) Acquire(now float64, full bool) (ok bool, retry float64) {
	every := b.IntervalMs
	if full {
		every *= 4
	}
	b.saved = min(b.Burst, b.saved+math.Max(0, now-b.last)/every)
	b.last = now
	if b.open < b.MaxConcurrent && b.saved >= 1 && (!full || b.saved >= b.Burst-1) {
		b.open++
		b.saved--
		return true, 0
	}
	b.queue = math.Max(b.queue, now) + every
	return false, min(b.queue-now+every, MaxRetryMs)
}

// Release gives back what Acquire gave.
func (b *Budget) Release() { b.open-- }
