// Package connpool manages the connections of a client: it decides which connection a request uses, when a new one is
// made and when one is closed. A token bucket limits new connections over all nodes, so that the failure of some
// nodes does not cause a burst of connects to the others. The package does no I/O and reads no clock: the caller
// passes the time. Times are milliseconds.
package connpool

import (
	"math"
)

// Limits are the limits of a connection pool.
type Limits struct {
	PerNode           int     // maximum connections to one node
	Total             int     // maximum connections to all nodes
	StreamsPerConn    int     // maximum concurrent requests on a connection: 1 unless HTTP/2
	IdleMs            float64 // idle time after which a connection is closed
	MaxAgeMs          float64 // age from which a connection takes no new requests
	ConnectsPerSecond float64 // sustained rate of new connections over all nodes
	ConnectBurst      float64 // maximum new connections at once
}

// DefaultLimitsNoReuse returns the default limits for protocols that use a new connection for each request.
func DefaultLimitsNoReuse() Limits {
	l := DefaultLimits(1)
	l.ConnectsPerSecond, l.ConnectBurst = 2000, 512
	return l
}

// DefaultLimits returns the default limits for the given number of concurrent requests per connection.
func DefaultLimits(streams int) Limits {
	return Limits{PerNode: 64, Total: 512, StreamsPerConn: streams,
		IdleMs: 20e3, MaxAgeMs: 600e3, ConnectsPerSecond: 50, ConnectBurst: 40}
}

// Conn is the state of a connection in the pool.
type Conn struct {
	ID   int // unique within the pool
	Node int // ID of the node that it leads to

	openedAt, idleSince float64
	connected           bool // the connect has completed
	inFlight            int  // requests on it, or waiting for its connect
	maxStreams          int  // maximum concurrent requests
	draining            bool // it takes no new requests
}

// InFlight returns the number of requests on the connection.
func (c *Conn) InFlight() int { return c.inFlight }

// Pool is the set of connections of a client.
type Pool struct {
	limits     Limits
	byNode     map[int][]*Conn
	count      int // connections to all nodes
	nextID     int
	tokens     float64 // of the token bucket for connects, as of refilledAt
	refilledAt float64
}

// New returns a pool without connections.
func New(l Limits) *Pool { return &Pool{limits: l, byNode: map[int][]*Conn{}, tokens: l.ConnectBurst} }

// ActionKind says how a request gets its connection.
type ActionKind uint8

// The kinds of actions.
const (
	Use     ActionKind = iota // use Action.Conn
	Connect                   // connect Action.Conn, then call MarkConnected or Remove
	Wait                      // wait until a connection is free or until Action.At
)

// Action is the answer to a request for a connection.
type Action struct {
	Kind ActionKind
	Conn *Conn
	At   float64 // of Wait; infinity: until a connection is free
}

// Len returns the number of connections, including those being connected.
func (p *Pool) Len() int { return p.count }

// NodeLen returns the number of connections to a node.
func (p *Pool) NodeLen(node int) int { return len(p.byNode[node]) }

func (p *Pool) refill(now float64) {
	p.tokens = math.Min(p.limits.ConnectBurst, p.tokens+math.Max(0, now-p.refilledAt)*p.limits.ConnectsPerSecond/1000)
	p.refilledAt = math.Max(p.refilledAt, now)
}

// Acquire returns how a request to a node gets a connection. It takes the most recently used free connection, so that
// the others can reach their idle limit.
func (p *Pool) Acquire(now float64, node int) Action {
	p.refill(now)
	var best *Conn
	connectingStreams := 0
	for _, c := range p.byNode[node] {
		if !c.connected && !c.draining {
			connectingStreams += c.maxStreams
		}
		if c.connected && !c.draining && c.inFlight < c.maxStreams && now-c.openedAt < p.limits.MaxAgeMs &&
			(best == nil || c.idleSince > best.idleSince) {
			best = c
		}
	}
	if best != nil {
		best.inFlight++
		return Action{Kind: Use, Conn: best}
	}
	switch {
	case len(p.byNode[node]) >= p.limits.PerNode || p.count >= p.limits.Total:
		return Action{Kind: Wait, At: math.Inf(1)}
	case p.tokens < 1:
		return Action{Kind: Wait, At: now + (1-p.tokens)/p.limits.ConnectsPerSecond*1000}
	}
	p.tokens--
	c := &Conn{ID: p.nextID, Node: node, openedAt: now, idleSince: now, inFlight: 1,
		maxStreams: max(1, p.limits.StreamsPerConn)}
	p.nextID++
	p.count++
	p.byNode[node] = append(p.byNode[node], c)
	return Action{Kind: Connect, Conn: c}
}

// MarkConnected records that a connection is connected. Streams is the number of concurrent requests that the node
// allows on it; 0: as many as the limits allow.
func (p *Pool) MarkConnected(now float64, c *Conn, streams int) {
	c.connected, c.idleSince = true, now
	if streams > 0 {
		c.maxStreams = min(c.maxStreams, streams)
	}
}

// Release records the end of a request on a connection.
func (p *Pool) Release(now float64, c *Conn) {
	c.inFlight--
	c.idleSince = now
}

// Drain stops new requests on a connection; requests in flight continue. It reports whether the connection can be
// closed at once.
func (p *Pool) Drain(c *Conn) (canClose bool) {
	c.draining = true
	return c.inFlight == 0
}

// DrainNode stops new requests on all connections of a node and returns the connections that can be closed at once.
func (p *Pool) DrainNode(node int) (closable []*Conn) {
	for _, c := range p.byNode[node] {
		if p.Drain(c) {
			closable = append(closable, c)
		}
	}
	return closable
}

// ShouldClose reports whether a connection must be closed: it has no requests and is draining or too old.
func (p *Pool) ShouldClose(now float64, c *Conn) bool {
	return c.inFlight == 0 && (c.draining || now-c.openedAt >= p.limits.MaxAgeMs)
}

// Remove records that a connection was closed or that its connect failed.
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

// IdleExpired returns the connections whose idle time has expired, which the caller must close, and the time of the
// next expiry.
func (p *Pool) IdleExpired(now float64) (expired []*Conn, next float64) {
	next = math.Inf(1)
	for _, all := range p.byNode {
		for _, c := range all {
			if !c.connected || c.inFlight > 0 {
				continue
			}
			if end := c.idleSince + p.limits.IdleMs; end <= now {
				expired = append(expired, c)
			} else {
				next = math.Min(next, end)
			}
		}
	}
	return expired, next
}
