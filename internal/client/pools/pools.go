// Package pools decides about the connections of a client: which one a request takes, when a new one is made, and when one is
// closed. Connects are budgeted over all nodes, so that the death of some makes no stampede on the rest. It is state
// without I/O and without a clock. Times are milliseconds.
package pools

import (
	"math"
)

// Limits of connections.
type Limits struct {
	Node     int     // connections to one node
	All      int     // to all
	Streams  int     // requests on one at a time: 1 but for HTTP/2
	Idle     float64 // one that was idle for so long is closed
	Age      float64 // one that is so old carries no new request
	Connects float64 // new ones a second in the long run, over all nodes
	Burst    float64 // at once
}

// UsualOnce are the usual limits where each request has a connection of its own.
func UsualOnce() Limits {
	l := Usual(1)
	l.Connects, l.Burst = 2000, 512
	return l
}

// Usual are the usual limits.
func Usual(streams int) Limits {
	return Limits{Node: 64, All: 512, Streams: streams, Idle: 20e3, Age: 600e3, Connects: 50, Burst: 40}
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

// Busy returns how many requests are on it.
func (c *Conn) Busy() int { return c.busy }

// Pools are the connections of a client.
type Pools struct {
	limits Limits
	byNode map[int][]*Conn
	count  int
	nextID int
	tokens float64
	at     float64
}

// New returns pools without connections.
func New(l Limits) *Pools { return &Pools{limits: l, byNode: map[int][]*Conn{}, tokens: l.Burst} }

// What says what a request is to do.
type What uint8

// What a request is to do.
const (
	Use     What = iota // take the connection
	Connect             // make the connection, then say Up or Gone
	Await               // until a connection is free, or At
)

// Do is what a request is to do.
type Do struct {
	What What
	Conn *Conn
	At   float64
}

// Len returns how many connections there are, those under way included.
func (p *Pools) Len() int { return p.count }

// Node returns how many there are to a node.
func (p *Pools) Node(node int) int { return len(p.byNode[node]) }

func (p *Pools) refill(now float64) {
	p.tokens = math.Min(p.limits.Burst, p.tokens+math.Max(0, now-p.at)*p.limits.Connects/1000)
	p.at = math.Max(p.at, now)
}

// Want returns what a request for a node is to do. The freshest free connection is taken, so that the others can grow old.
func (p *Pools) Want(now float64, node int) Do {
	p.refill(now)
	var best *Conn
	under := 0
	for _, c := range p.byNode[node] {
		if !c.up && !c.drains {
			under += c.streams
		}
		if c.up && !c.drains && c.busy < c.streams && now-c.opened < p.limits.Age && (best == nil || c.idle > best.idle) {
			best = c
		}
	}
	if best != nil {
		best.busy++
		return Do{What: Use, Conn: best}
	}
	switch {
	case len(p.byNode[node]) >= p.limits.Node || p.count >= p.limits.All:
		return Do{What: Await, At: math.Inf(1)}
	case p.tokens < 1:
		return Do{What: Await, At: now + (1-p.tokens)/p.limits.Connects*1000}
	}
	p.tokens--
	c := &Conn{ID: p.nextID, Node: node, opened: now, idle: now, busy: 1, streams: max(1, p.limits.Streams)}
	p.nextID++
	p.count++
	p.byNode[node] = append(p.byNode[node], c)
	return Do{What: Connect, Conn: c}
}

// Up takes it that a connection was made; streams is how many requests the node takes on it, 0: as many as the limits say.
func (p *Pools) Up(now float64, c *Conn, streams int) {
	c.up, c.idle = true, now
	if streams > 0 {
		c.streams = min(c.streams, streams)
	}
}

// Free takes it that a request on a connection is over.
func (p *Pools) Free(now float64, c *Conn) {
	c.busy--
	c.idle = now
}

// Drain keeps new requests off a connection; what is on it goes on. It tells whether it can be closed at once.
func (p *Pools) Drain(c *Conn) (closes bool) {
	c.drains = true
	return c.busy == 0
}

// DrainNode keeps new requests off all connections of a node and returns those that can be closed at once.
func (p *Pools) DrainNode(node int) (closes []*Conn) {
	for _, c := range p.byNode[node] {
		if p.Drain(c) {
			closes = append(closes, c)
		}
	}
	return closes
}

// Done tells whether a connection is to be closed now that nothing is on it.
func (p *Pools) Done(now float64, c *Conn) bool {
	return c.busy == 0 && (c.drains || now-c.opened >= p.limits.Age)
}

// Gone takes it that a connection is closed, or was not had.
func (p *Pools) Gone(c *Conn) {
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

// Old returns connections that were idle for too long, to be closed; and when to ask again.
func (p *Pools) Old(now float64) (out []*Conn, at float64) {
	at = math.Inf(1)
	for _, all := range p.byNode {
		for _, c := range all {
			if !c.up || c.busy > 0 {
				continue
			}
			if end := c.idle + p.limits.Idle; end <= now {
				out = append(out, c)
			} else {
				at = math.Min(at, end)
			}
		}
	}
	return out, at
}
