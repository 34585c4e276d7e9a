// Package connpool decides about the connections of a client: which one a request takes, when a new one is made, and when one is
// closed. Connects are budgeted over all nodes, so that the death of some makes no stampede on the rest. It is state
// without I/O and without a clock. Times are milliseconds.
package connpool

import (
	"math"
)

// Limits of connections.
type Limits struct {
	PerNode           int     // connections to one node
	Total             int     // to all
	StreamsPerConn    int     // requests on one at a time: 1 but for HTTP/2
	IdleMs            float64 // one that was idle for so long is closed
	MaxAgeMs          float64 // one that is so old carries no new request
	ConnectsPerSecond float64 // new ones a second in the long run, over all nodes
	ConnectBurst      float64 // at once
}

// DefaultLimitsNoReuse are the usual limits where each request has a connection of its own.
func DefaultLimitsNoReuse() Limits {
	l := DefaultLimits(1)
	l.ConnectsPerSecond, l.ConnectBurst = 2000, 512
	return l
}

// DefaultLimits are the usual limits.
func DefaultLimits(streams int) Limits {
	return Limits{PerNode: 64, Total: 512, StreamsPerConn: streams, IdleMs: 20e3, MaxAgeMs: 600e3, ConnectsPerSecond: 50, ConnectBurst: 40}
}

// Conn is a connection as the pools know it.
type Conn struct {
	ID   int
	Node int

	opened, idle float64
	up           bool // it is connected
	busy         int  // requests on it
	streams      int  // at most
	drains       bool // no new request
}

// InFlight returns how many requests are on it.
func (c *Conn) InFlight() int { return c.busy }

// Pool are the connections of a client.
type Pool struct {
	limits Limits
	byNode map[int][]*Conn
	count  int
	nextID int
	tokens float64
	at     float64
}

// New returns pools without connections.
func New(l Limits) *Pool { return &Pool{limits: l, byNode: map[int][]*Conn{}, tokens: l.ConnectBurst} }

// ActionKind says what a request is to do.
type ActionKind uint8

// What a request is to do.
const (
	Use     ActionKind = iota // take the connection
	Connect                   // make the connection, then call MarkConnected or Remove
	Wait                      // until a connection is free, or Action.At
)

// Action is what a request is to do.
type Action struct {
	Kind ActionKind
	Conn *Conn
	At   float64
}

// Len returns how many connections there are, those under way included.
func (p *Pool) Len() int { return p.count }

// NodeLen returns how many there are to a node.
func (p *Pool) NodeLen(node int) int { return len(p.byNode[node]) }

func (p *Pool) refill(now float64) {
	p.tokens = math.Min(p.limits.ConnectBurst, p.tokens+math.Max(0, now-p.at)*p.limits.ConnectsPerSecond/1000)
	p.at = math.Max(p.at, now)
}

// Acquire returns what a request for a node is to do. The freshest free connection is taken, so that the others can grow old.
func (p *Pool) Acquire(now float64, node int) Action {
	p.refill(now)
	var best *Conn
	under := 0
	for _, c := range p.byNode[node] {
		if !c.up && !c.drains {
			under += c.streams
		}
		if c.up && !c.drains && c.busy < c.streams && now-c.opened < p.limits.MaxAgeMs && (best == nil || c.idle > best.idle) {
			best = c
		}
	}
	if best != nil {
		best.busy++
		return Action{Kind: Use, Conn: best}
	}
	switch {
	case len(p.byNode[node]) >= p.limits.PerNode || p.count >= p.limits.Total:
		return Action{Kind: Wait, At: math.Inf(1)}
	case p.tokens < 1:
		return Action{Kind: Wait, At: now + (1-p.tokens)/p.limits.ConnectsPerSecond*1000}
	}
	p.tokens--
	c := &Conn{ID: p.nextID, Node: node, opened: now, idle: now, busy: 1, streams: max(1, p.limits.StreamsPerConn)}
	p.nextID++
	p.count++
	p.byNode[node] = append(p.byNode[node], c)
	return Action{Kind: Connect, Conn: c}
}

// MarkConnected takes it that a connection was made; streams is how many requests the node takes on it, 0: as many as the limits say.
func (p *Pool) MarkConnected(now float64, c *Conn, streams int) {
	c.up, c.idle = true, now
	if streams > 0 {
		c.streams = min(c.streams, streams)
	}
}

// Release takes it that a request on a connection is over.
func (p *Pool) Release(now float64, c *Conn) {
	c.busy--
	c.idle = now
}

// Drain keeps new requests off a connection; what is on it goes on. It tells whether it can be closed at once.
func (p *Pool) Drain(c *Conn) (closes bool) {
	c.drains = true
	return c.busy == 0
}

// DrainNode keeps new requests off all connections of a node and returns those that can be closed at once.
func (p *Pool) DrainNode(node int) (closes []*Conn) {
	for _, c := range p.byNode[node] {
		if p.Drain(c) {
			closes = append(closes, c)
		}
	}
	return closes
}

// ShouldClose tells whether a connection is to be closed now that nothing is on it.
func (p *Pool) ShouldClose(now float64, c *Conn) bool {
	return c.busy == 0 && (c.drains || now-c.opened >= p.limits.MaxAgeMs)
}

// Remove takes it that a connection is closed, or was not had.
func (p *Pool) Remove(c *Conn) {
	all := p.byNode[c.Node]
	for i, o := range all {
		if o == c {
			p.byNode[c.Node] = append(all[:i:i], all[i+1:]...)
			p.count--
			break
		}
	}
	if len(p.byNode[c.Node]) == 0 {
		delete(p.byNode, c.Node)
	}
}

// IdleExpired returns connections that were idle for too long, to be closed; and when to ask again.
func (p *Pool) IdleExpired(now float64) (out []*Conn, at float64) {
	at = math.Inf(1)
	for _, all := range p.byNode {
		for _, c := range all {
			if !c.up || c.busy > 0 {
				continue
			}
			if end := c.idle + p.limits.IdleMs; end <= now {
				out = append(out, c)
			} else {
				at = math.Min(at, end)
			}
		}
	}
	return out, at
}
