package node

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"whinrudder"
	"whinrudder/internal/clock"
	"whinrudder/internal/core"
	"whinrudder/internal/front"
	"whinrudder/internal/h2"
	"whinrudder/internal/httpfront"
	"whinrudder/internal/uwsgi"
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
	if took := time.Since(delivered); took > 500*time.Millisecond {
		t.Errorf("the answer took %v", took)
	}
	p.Conn.(*net.TCPConn).CloseWrite()
	select {
	case i := <-n.inputs:
		if gone, ok := i.(core.CallerGone); !ok || gone.ReplyTo != other.ReplyTo {
			t.Errorf("got %+v, want the leaving of the caller of stream 3", i)
		}
	case <-time.After(time.Second):
		t.Error("the end of the connection is not noticed behind the flood")
	}
}

// Guards against requests that are sent on after their caller has left: what is still unread when it closes the connection must
// not reach the core, on any front.
func TestRequestsOfACallerThatLeftAreNotPassedOn(t *testing.T) {
	for name, newProtocol := range map[string]func(v *front.Validator) front.Protocol{
		"http":  func(v *front.Validator) front.Protocol { return front.NewSerialConn(httpfront.New(v), clock.Now()) },
		"uwsgi": func(v *front.Validator) front.Protocol { return front.NewSerialConn(uwsgi.New(v), clock.Now()) },
		"h2c":   func(v *front.Validator) front.Protocol { return h2.New(v, clock.Now()) },
	} {
		log := make(logLines, 8)
		n := testNode(log)
		n.validator = front.NewValidator([]string{"status-lookup"}, whinrudder.Settings{Classes: []whinrudder.Class{{Deadline: 9000}}})
		here, there := tcpPair(t, 0)
		switch name {
		case "http":
			there.Write(bytes.Repeat(fmt.Appendf(nil, plainRequest, time.Now().UnixMilli()), 5))
		case "uwsgi":
			there.Write(uwsgiRequest())
		case "h2c":
			p := &h2Peer{Conn: there, Framer: http2.NewFramer(there, there)}
			p.encoder = hpack.NewEncoder(&p.block)
			io.WriteString(there, http2.ClientPreface)
			p.WriteSettings()
			p.send(1)
			p.send(3)
		}
		there.Close()
		time.Sleep(10 * time.Millisecond) // all of it is at the node's machine
		k := &conn{node: n, c: here, front: name, proto: newProtocol(n.validator)}
		n.conns.add(k)
		k.serve()
		if len(n.inputs) > 0 {
			t.Errorf("%s: got %+v, want nothing for the core", name, <-n.inputs)
		}
		if got := <-log; got != "gone served=0" {
			t.Errorf("%s: the connection ended with %q, want gone served=0", name, got)
		}
	}
}
