package node

import (
	"bytes"
	"net"
	"testing"
	"time"

	"golang.org/x/net/http2"

	"whinrudder/internal/core"
)

// floodFrames is more than the budget of any kind of frame allows.
const floodFrames = 1000

// Guards against a flood that takes the place of others on its connection and of the node's processor (review/7): the
// connection is read more slowly, its open request is answered at once, and a peer that leaves is noticed behind what
// it has sent.
func TestFloodedConnectionStillAnswersAndNoticesItsEnd(t *testing.T) {
	n := testNode(make(logLines, 4))
	p, _ := newH2Peer(t, n, 1<<16)
	p.send(1)
	arrived := (<-n.inputs).(core.RequestArrived)
	p.send(3)
	other := (<-n.inputs).(core.RequestArrived)
	flood := bytes.Repeat([]byte{0, 0, 8, 6, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0}, floodFrames) // PING
	for range 4 {                                                                                 // it fits into the kernel's buffers, and would be read in two seconds
		if _, err := p.Conn.Write(flood); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(100 * time.Millisecond)
	arrived.ReplyTo.Deliver(core.Answer{Result: []byte("ok")})
	delivered := time.Now()
	for answered := false; !answered; {
		f, err := p.ReadFrame()
		if err != nil {
			t.Fatalf("the connection ended before the answer: %v", err)
		}
		d, ok := f.(*http2.DataFrame)
		answered = ok && d.StreamID == 1 && d.StreamEnded()
	}
	if took := time.Since(delivered); took > 100*time.Millisecond {
		t.Errorf("the answer took %v", took)
	}
	p.Conn.(*net.TCPConn).CloseWrite()
	select {
	case i := <-n.inputs:
		if gone, ok := i.(core.CallerGone); !ok || gone.ReplyTo != other.ReplyTo {
			t.Errorf("got %+v, want the leaving of the caller of stream 3", i)
		}
	case <-time.After(500 * time.Millisecond):
		t.Error("the end of the connection is not noticed behind the flood")
	}
}
