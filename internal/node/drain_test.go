package node

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
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
	"whinrudder/internal/pool"
	"whinrudder/internal/uwsgi"
)

// largestResult is the largest result that a run may have.
var largestResult = bytes.Repeat([]byte("r"), 4000)

// tcpPair returns the two ends of a connection over loopback. If receiveBuffer is above 0, the peer's end can hold few bytes
// that it has not read.
func tcpPair(t *testing.T, receiveBuffer int) (here, there net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	d := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			if receiveBuffer > 0 {
				syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
			}
		})
	}}
	if there, err = d.Dial("tcp", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { there.Close() })
	if here, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	there.SetDeadline(time.Now().Add(5 * time.Second))
	return here, there
}

// h2Peer is the gateway's side of a connection of HTTP/2.
type h2Peer struct {
	net.Conn
	*http2.Framer
	encoder *hpack.Encoder
	block   bytes.Buffer
	goAways []uint32 // the streams that GOAWAY frames have named during the handshake
}

// newH2Peer connects a gateway to a node that knows the class status-lookup. window is the receive window of its streams.
func newH2Peer(t *testing.T, n *Node, window uint32) (*h2Peer, *conn) {
	t.Helper()
	n.validator = front.NewValidator([]string{"status-lookup"}, whinrudder.Settings{Classes: []whinrudder.Class{{Deadline: 9000}}})
	here, there := tcpPair(t, 0)
	k := &conn{node: n, c: here, front: "h2c", proto: h2.New(n.validator, clock.Now())}
	n.conns.add(k)
	go k.serve()
	p := &h2Peer{Conn: there, Framer: http2.NewFramer(there, there)}
	p.encoder = hpack.NewEncoder(&p.block)
	io.WriteString(there, http2.ClientPreface)
	p.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: window})
	for {
		f, err := p.ReadFrame()
		if err != nil {
			t.Fatal(err)
		}
		if g, ok := f.(*http2.GoAwayFrame); ok {
			p.goAways = append(p.goAways, g.LastStreamID)
		}
		if s, ok := f.(*http2.SettingsFrame); ok && s.IsAck() {
			return p, k
		}
	}
}

// send opens a stream with a request.
func (p *h2Peer) send(stream uint32) {
	p.block.Reset()
	for _, f := range [][2]string{{":method", "POST"}, {":scheme", "http"}, {":path", "/rpc/status-lookup"},
		{"req-id", fmt.Sprintf("%016x", stream)}, {"req-time", fmt.Sprint(time.Now().UnixMilli())}, {"req-from", "4"},
		{"req-wait-ms", "4000"}, {"req-kb", "24.5"}, {"req-rank", "0.5"}} {
		p.encoder.WriteField(hpack.HeaderField{Name: f[0], Value: f[1]})
	}
	p.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: p.block.Bytes(), EndStream: true,
		EndHeaders: true})
}

// Guards against an answer over h2c that is cut off at the end of a drain (review/10): the process must not end while a part
// of the answer waits for the window of the gateway, which returns it some milliseconds after each part.
func TestDrainWaitsForAnAnswerBehindItsWindow(t *testing.T) {
	log := make(logLines, 4)
	n := testNode(log)
	p, _ := newH2Peer(t, n, 1024)
	p.send(1)
	(<-n.inputs).(core.RequestArrived).ReplyTo.Deliver(core.Answer{Result: largestResult})
	go n.conns.closeAll(clock.Now() + 2000)
	read := 0
	for {
		f, err := p.ReadFrame()
		if err != nil {
			break
		}
		if d, ok := f.(*http2.DataFrame); ok {
			part := len(d.Data())
			read += part
			if d.StreamEnded() {
				break
			}
			time.Sleep(5 * time.Millisecond)
			p.WriteWindowUpdate(1, uint32(part))
		}
	}
	if read != len(largestResult) {
		t.Errorf("the gateway got %d of %d bytes", read, len(largestResult))
	}
	p.Close()
	if got := <-log; got != "close served=1" {
		t.Errorf("the connection ended with %q, want close served=1", got)
	}
}

// Guards against a drain that lasts beyond the stop: a gateway that never returns the window of its stream is cut off then, and
// the log tells that apart from an answer that was sent in whole.
func TestStopCutsAnAnswerWhoseWindowStaysClosed(t *testing.T) {
	log := make(logLines, 4)
	n := testNode(log)
	p, _ := newH2Peer(t, n, 1024)
	p.send(1)
	(<-n.inputs).(core.RequestArrived).ReplyTo.Deliver(core.Answer{Result: largestResult})
	go io.Copy(io.Discard, p)
	began := time.Now()
	n.conns.closeAll(clock.Now() + 200)
	if took := time.Since(began); took < 150*time.Millisecond || took > time.Second {
		t.Errorf("the connections were closed after %v, want 200 ms", took)
	}
	if got := <-log; got != "cut served=0" {
		t.Errorf("the connection ended with %q, want cut served=0", got)
	}
}

// Guards against an answer that is cut off because the connection makes place for another one: a connection that still holds a
// part of an answer does not count as idle.
func TestConnectionWithAnUnsentAnswerIsNotEvicted(t *testing.T) {
	n := testNode(make(logLines, 4))
	p, k := newH2Peer(t, n, 1024)
	p.send(1)
	(<-n.inputs).(core.RequestArrived).ReplyTo.Deliver(core.Answer{Result: largestResult})
	for read := 0; read < 1024; {
		f, err := p.ReadFrame()
		if err != nil {
			t.Fatal(err)
		}
		if d, ok := f.(*http2.DataFrame); ok {
			read += len(d.Data())
		}
	}
	evictable := func() bool {
		n.conns.mu.Lock()
		defer n.conns.mu.Unlock()
		candidate, _ := n.conns.evictionCandidate(clock.Now()+10*idleConnGraceMs, false)
		return candidate == k
	}
	if time.Sleep(20 * time.Millisecond); evictable() {
		t.Error("a connection with a part of an answer to send may be evicted")
	}
	p.WriteWindowUpdate(1, 1<<16)
	go io.Copy(io.Discard, p)
	for by := time.Now().Add(5 * time.Second); !evictable(); time.Sleep(time.Millisecond) {
		if time.Now().After(by) {
			t.Fatal("the connection does not become idle once its answer is sent")
		}
	}
}

// uwsgiRequest encodes a request of the class status-lookup for the uwsgi front.
func uwsgiRequest() []byte {
	var fields []byte
	for _, f := range [][2]string{{"REQUEST_METHOD", "POST"}, {"PATH_INFO", "/rpc/status-lookup"},
		{"HTTP_REQ_ID", "00000000000000a1"}, {"HTTP_REQ_TIME", fmt.Sprint(time.Now().UnixMilli())}, {"HTTP_REQ_FROM", "1"},
		{"HTTP_REQ_WAIT_MS", "900"}, {"HTTP_REQ_KB", "20"}, {"HTTP_REQ_RANK", "0.5"}, {"CONTENT_LENGTH", "0"}} {
		for _, s := range f {
			fields = append(append(fields, byte(len(s)), byte(len(s)>>8)), s...)
		}
	}
	return append([]byte{0, byte(len(fields)), byte(len(fields) >> 8), 0}, fields...)
}

// Guards against an answer that is cut off at the end of a drain because it still waits in the kernel for a peer that reads
// slowly: bytes that arrive after the close would reset the connection, and the rest of the answer would be dropped.
func TestDrainWaitsForAPeerThatReadsSlowly(t *testing.T) {
	for name, play := range map[string]struct {
		parser  func(v *front.Validator) front.Parser
		request []byte
	}{
		"http":  {func(v *front.Validator) front.Parser { return httpfront.New(v) }, fmt.Appendf(nil, plainRequest, time.Now().UnixMilli())},
		"uwsgi": {func(v *front.Validator) front.Parser { return uwsgi.New(v) }, uwsgiRequest()},
	} {
		t.Run(name, func(t *testing.T) {
			n, _, _ := newRequestNode(t)
			here, there := tcpPair(t, 2048)
			here.(*net.TCPConn).SetWriteBuffer(64 << 10)
			k := &conn{node: n, c: here, front: name, proto: front.NewSerialConn(play.parser(n.validator), clock.Now())}
			n.conns.add(k)
			go k.serve()
			there.Write(play.request)
			result := bytes.Repeat(largestResult, 4)
			(<-n.inputs).(core.RequestArrived).ReplyTo.Deliver(core.Answer{Result: result})
			time.Sleep(20 * time.Millisecond) // the answer is written
			go n.conns.closeAll(clock.Now() + 2000)
			time.Sleep(50 * time.Millisecond)
			there.Write([]byte("x")) // what a client sends on an open connection
			if got, err := io.ReadAll(there); !bytes.HasSuffix(got, result) {
				t.Errorf("the caller got %d bytes and %v, want all %d bytes of the result", len(got), err, len(result))
			}
		})
	}
}

// Guards against a command that is dropped at the end of a drain: what the core queued in its last step, such as the stop of a
// run that nobody waits for, is written before the link is closed.
func TestLastCommandsAreWrittenBeforeTheLinkCloses(t *testing.T) {
	n := testNode(make(logLines, 8))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	n.link = newLink(n, l.Addr().String(), pool.New([]string{"status-lookup"}, nil))
	go n.link.run()
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(5 * time.Second))
	io.WriteString(c, `{"msg":"bound","how":"WARM","duration":1}`+"\n"+`{"msg":"polled","cookie":"fence1","stats":[]}`+"\n")
	for synced := false; !synced; {
		_, synced = (<-n.inputs).(core.LinkSynced)
	}
	time.Sleep(20 * time.Millisecond) // the link waits for input
	n.link.enqueue(core.Suspend{ID: "00000000000000a1"})
	n.end(false)
	if got, _ := io.ReadAll(c); !strings.Contains(string(got), `{"msg":"suspend","call":"00000000000000a1"}`) {
		t.Errorf("the worker pool read %q, want the stop of the run", got)
	}
}

// Guards against streams that end without an answer or a word: a connection that a gateway opens while the node drains gets a
// GOAWAY as well, and at the latest the end of the node names the last stream that was accepted.
func TestConnectionOfADrainIsToldSo(t *testing.T) {
	n := testNode(make(logLines, 4))
	n.conns.drainAll()
	p, _ := newH2Peer(t, n, 1<<16)
	p.send(1)
	(<-n.inputs).(core.RequestArrived).ReplyTo.Deliver(core.Answer{Outcome: core.Refused})
	lastIDs := p.goAways
	for len(lastIDs) < 2 {
		f, err := p.ReadFrame()
		if err != nil {
			t.Fatalf("the connection ended after GOAWAY with %v: %v", lastIDs, err)
		}
		switch f := f.(type) {
		case *http2.GoAwayFrame:
			lastIDs = append(lastIDs, f.LastStreamID)
		case *http2.HeadersFrame: // the PING of the drain is not answered
			go n.conns.closeAll(clock.Now() + 1000)
		}
	}
	if lastIDs[0] != 1<<31-1 || lastIDs[1] != 1 {
		t.Errorf("GOAWAY named the streams %v, want the highest one and then 1", lastIDs)
	}
}
