package node

import (
	"io"
	"net"
	"runtime"
	"sync/atomic"
	"testing"

	"whinrudder/internal/clock"
	"whinrudder/internal/front"
	"whinrudder/internal/httpfront"
)

// endlessConn is a connection whose peer sends without a pause, up to a number of reads.
type endlessConn struct {
	net.Conn
	reads int
}

func (c *endlessConn) Read(b []byte) (int, error) {
	if c.reads--; c.reads < 0 {
		return 0, io.EOF
	}
	return len(b), nil
}

// sinkProtocol takes any bytes.
type sinkProtocol struct{ *front.SerialConn }

func (sinkProtocol) Feed(float64, []byte) {}

// Guards against answers that come late because hostile peers send without a pause: on one processor a connection lets the other
// goroutines run after each read that leaves more to be read, and does not keep the processor until it is preempted.
func TestEndlessInputLeavesTheProcessorToOthers(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	const reads = 1000
	n := testNode(make(logLines, 4))
	here, there := net.Pipe()
	defer there.Close()
	protocol := sinkProtocol{front.NewSerialConn(httpfront.New(n.validator), clock.Now())}
	k := &conn{node: n, c: &endlessConn{here, reads}, front: "http", proto: protocol}
	n.conns.add(k)
	var ended atomic.Bool
	turns := 0
	go func() {
		k.serve()
		ended.Store(true)
	}()
	for ; !ended.Load(); turns++ {
		runtime.Gosched()
	}
	if turns < reads/2 {
		t.Errorf("another goroutine ran %d times during %d reads", turns, reads)
	}
}
