package node

import (
	"net"
	"testing"
	"time"
)

// Guards against requests that are lost because other clients fill the table with connections that say nothing: a new connection
// waits until one of those may be evicted, and is closed at once only where all are at work.
func TestNewConnectionWaitsForRoom(t *testing.T) {
	table := connTable{maxConns: 2}
	newConn := func() *conn {
		here, there := net.Pipe()
		t.Cleanup(func() { here.Close(); there.Close() })
		return &conn{c: here}
	}
	first, second := newConn(), newConn()
	table.add(first)
	table.add(second)
	go func() { // as the goroutines of evicted connections do
		for {
			for _, k := range []*conn{first, second} {
				if table.revoked(k) {
					table.remove(k)
					return
				}
			}
			time.Sleep(time.Millisecond)
		}
	}()
	third := newConn()
	if began := time.Now(); !table.add(third) || time.Since(began) < newConnGraceMs*time.Millisecond/2 {
		t.Errorf("a connection is added %v after silent ones that fill the table, want after their grace", time.Since(began))
	}
	for _, k := range []*conn{first, second, third} {
		table.markBusy(k)
	}
	if began := time.Now(); table.add(newConn()) || time.Since(began) > roomWaitMs*time.Millisecond/2 {
		t.Errorf("a connection beyond busy ones is added, or closed only after %v", time.Since(began))
	}
}
