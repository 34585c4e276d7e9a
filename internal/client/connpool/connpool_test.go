package connpool

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

// A connection is made, shared up to its stream limit, drained, and closed when its last request ends.
func TestConnectionLifecycle(t *testing.T) {
	p := New(Limits{PerNode: 2, Total: 3, StreamsPerConn: 2, IdleMs: 100, MaxAgeMs: 1000, ConnectsPerSecond: 1, ConnectBurst: 3})
	a := p.Acquire(0, 7)
	if a.Kind != Connect {
		t.Fatalf("first request: got %+v, want Connect", a)
	}
	p.MarkConnected(1, a.Conn, 0)
	if b := p.Acquire(2, 7); b.Kind != Use || b.Conn != a.Conn {
		t.Errorf("second request: got %+v, want the first connection", b)
	}
	c := p.Acquire(3, 7)
	if c.Kind != Connect || p.NodeLen(7) != 2 {
		t.Errorf("third request: got %+v with %d connections to the node, want Connect and 2", c, p.NodeLen(7))
	}
	p.MarkConnected(4, c.Conn, 1) // the node allows one request at a time on it
	if d := p.Acquire(5, 7); d.Kind != Wait || !math.IsInf(d.At, 1) {
		t.Errorf("all connections of the node in use: got %+v, want Wait without an end", d)
	}
	if p.Drain(a.Conn) || p.ShouldClose(6, a.Conn) {
		t.Error("a draining connection with requests in flight can be closed")
	}
	p.Release(7, a.Conn)
	p.Release(8, a.Conn)
	if !p.ShouldClose(9, a.Conn) {
		t.Error("a drained connection without requests is not closed")
	}
	p.Remove(a.Conn)
	p.Release(10, c.Conn)
	if old, at := p.IdleExpired(50); len(old) != 0 || at != 110 {
		t.Errorf("IdleExpired(50) = %v, %v, want none and 110", old, at)
	}
	if old, _ := p.IdleExpired(110); len(old) != 1 {
		t.Errorf("IdleExpired(110) = %v, want one connection", old)
	}
	if e := p.Acquire(1004, 7); e.Kind != Connect || !p.ShouldClose(1004, c.Conn) {
		t.Errorf("connection past its maximum age: got %+v, want Connect and the old connection closed", e)
	}
}

// Guards against a burst of connects when nodes fail: new connections stay within the token bucket.
func TestConnectRateIsLimited(t *testing.T) {
	p := New(DefaultLimits(1))
	made, next := 0, 0.0
	for now := 0.0; now < 10e3; now++ {
		for range 3 {
			if now < next {
				continue
			}
			switch action := p.Acquire(now, int(now)%5); action.Kind {
			case Connect:
				made++
				p.Remove(action.Conn) // the connect fails at once
			case Wait:
				next = action.At
			}
		}
	}
	if want := 40 + 500; made > want || made < want-20 {
		t.Errorf("%d connects in 10 s, want %d or up to 20 less", made, want)
	}
}

// For any sequence of events, no limit is exceeded and the pool counts the existing connections.
func TestLimitsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Limits{PerNode: rapid.IntRange(1, 4).Draw(t, "node"), Total: rapid.IntRange(1, 8).Draw(t, "all"), StreamsPerConn: rapid.IntRange(1, 3).Draw(t, "streams"),
			IdleMs: 500, MaxAgeMs: 3000, ConnectsPerSecond: 5, ConnectBurst: 4}
		p := New(l)
		connected, connecting, open := map[*Conn]int{}, map[*Conn]bool{}, []*Conn{}
		now := 0.0
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now += rapid.Float64Range(0, 300).Draw(t, "later")
			node := rapid.IntRange(0, 2).Draw(t, "to")
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1:
				switch action := p.Acquire(now, node); action.Kind {
				case Connect:
					connecting[action.Conn] = true
				case Use:
					if connected[action.Conn]++; connected[action.Conn] > l.StreamsPerConn || action.Conn.Node != node || connecting[action.Conn] {
						t.Fatalf("connection %+v for node %d is used with %d requests in flight, limit %d", action.Conn, node, connected[action.Conn], l.StreamsPerConn)
					}
					open = append(open, action.Conn)
				}
			case 2:
				for c := range connecting {
					delete(connecting, c)
					if rapid.Bool().Draw(t, "had") {
						p.MarkConnected(now, c, 0)
						connected[c] = 1
						open = append(open, c)
					} else {
						p.Remove(c)
					}
					break
				}
			case 3:
				if len(open) > 0 {
					c := open[0]
					open = open[1:]
					connected[c]--
					if p.Release(now, c); p.ShouldClose(now, c) {
						p.Remove(c)
						delete(connected, c)
					}
				}
			default:
				for _, c := range p.DrainNode(node) {
					if _, is := connected[c]; is && c.InFlight() == 0 {
						p.Remove(c)
						delete(connected, c)
					}
				}
			}
			if p.Len() != len(connected)+len(connecting) || p.Len() > l.Total || p.NodeLen(node) > l.PerNode {
				t.Fatalf("%d connections, want %d connected and %d being connected", p.Len(), len(connected), len(connecting))
			}
		}
	})
}
