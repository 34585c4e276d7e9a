package node

import (
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/net/http2"

	"whinrudder/internal/clock"
	"whinrudder/internal/core"
	"whinrudder/internal/front"
	"whinrudder/internal/httpfront"
	"whinrudder/internal/settings"
)

const plainRequest = "POST /rpc/status-lookup HTTP/1.1\r\nReq-Id: 00000000000000a1\r\nReq-Time: %d\r\nReq-From: 1\r\n" +
	"Req-Wait-Ms: 900\r\nReq-Kb: 20\r\nReq-Rank: 0.5\r\nContent-Length: 0\r\n\r\n"

// newRequestNode returns a node whose HTTP front knows the class status-lookup, and a connection to it.
func newRequestNode(t *testing.T) (n *Node, k *conn, peer net.Conn) {
	t.Helper()
	n = testNode(make(logLines, 64))
	n.inputs, n.link = make(chan core.Input, 64), &link{node: n}
	n.validator = front.NewValidator([]string{"status-lookup"}, settings.Settings{}.Policy)
	here, there := net.Pipe()
	k = &conn{node: n, c: here, front: "http", proto: front.NewSerialConn(httpfront.New(n.validator), clock.Now())}
	n.conns.add(k)
	t.Cleanup(func() { there.Close() })
	return n, k, there
}

// exchange writes a request and returns what the node answers until the connection ends.
func exchange(peer net.Conn) string {
	peer.SetDeadline(time.Now().Add(5 * time.Second))
	fmt.Fprintf(peer, plainRequest, time.Now().UnixMilli())
	answer, _ := io.ReadAll(peer)
	return string(answer)
}

// Guards against a request that is read and gets no answer, because it was read after the core's last step: it is refused,
// with the wish that the connection be closed.
func TestRequestReadAfterTheLastStepIsRefused(t *testing.T) {
	n, k, peer := newRequestNode(t)
	go k.serve()
	answer := make(chan string)
	go func() { answer <- exchange(peer) }()
	for len(n.inputs) == 0 {
		time.Sleep(time.Millisecond) // the request is read, and the core takes no more steps
	}
	n.end(false)
	if got := <-answer; !strings.HasPrefix(got, "HTTP/1.1 503") || !strings.Contains(got, "Connection: close") {
		t.Errorf("got %q, want a refusal that closes the connection", got)
	}
}

// Guards against a request that is read and gets no answer, because the place of its connection was given to another one
// at that moment.
func TestRequestOfAnEvictedConnectionIsRefused(t *testing.T) {
	n, k, peer := newRequestNode(t)
	k.state.revoked = true
	k.proto.Feed(clock.Now(), fmt.Appendf(nil, plainRequest, time.Now().UnixMilli()))
	go k.serve()
	peer.SetDeadline(time.Now().Add(5 * time.Second))
	if got, _ := io.ReadAll(peer); !strings.HasPrefix(string(got), "HTTP/1.1 503") {
		t.Errorf("got %q, want a refusal", got)
	}
	if len(n.inputs) > 0 {
		t.Error("the request reached the core")
	}
}

// Guards against connections that are reset because the listener closes over them: those that are pending when it is to stop
// are taken first.
func TestPendingConnectionsAreAcceptedBeforeTheListenerCloses(t *testing.T) {
	n, _, _ := newRequestNode(t)
	n.conns.maxConns = 64
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n.listeners = []net.Listener{l}
	var peers []net.Conn
	for range 16 {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		fmt.Fprintf(c, plainRequest, time.Now().UnixMilli())
		peers = append(peers, c)
	}
	n.stopAccepting()
	httpListener(n, l).accept()
	time.Sleep(50 * time.Millisecond) // their requests are read, and the core takes no more steps
	n.end(false)
	for i, c := range peers {
		c.SetDeadline(time.Now().Add(5 * time.Second))
		if got, _ := io.ReadAll(c); !strings.HasPrefix(string(got), "HTTP/1.1 503") {
			t.Errorf("connection %d: got %q, want a refusal", i, got)
		}
	}
}

// Guards against a request that is closed unread, because the place of its connection was given to another one while it waited in
// the kernel: it is refused, and a gateway is told which streams were not read.
func TestWhatArrivedOnAnEvictedConnectionIsRefused(t *testing.T) {
	n, _, _ := newRequestNode(t)
	here, there := tcpPair(t, 0)
	fmt.Fprintf(there, plainRequest, time.Now().UnixMilli())
	k := &conn{node: n, c: here, front: "http", proto: front.NewSerialConn(httpfront.New(n.validator), clock.Now())}
	n.conns.add(k)
	k.state.revoked = true
	time.Sleep(5 * time.Millisecond) // the request is at the node's machine
	go k.serve()
	if got, _ := io.ReadAll(there); !strings.HasPrefix(string(got), "HTTP/1.1 503") {
		t.Errorf("got %q, want a refusal", got)
	}
	gateway, k := newH2Peer(t, n, 1<<16)
	n.conns.mu.Lock()
	k.state.revoked = true
	n.conns.mu.Unlock()
	k.c.SetReadDeadline(clock.Expired())
	f, err := gateway.ReadFrame()
	if g, ok := f.(*http2.GoAwayFrame); !ok || g.LastStreamID != 0 {
		t.Errorf("the gateway got %v and %v, want GOAWAY", f, err)
	}
}

// wokenConn is a connection whose first read is ended by another goroutine.
type wokenConn struct {
	net.Conn
	wake func() // called before the end of the first read; nil afterwards
}

// SyscallConn implements syscall.Conn.
func (c *wokenConn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(syscall.Conn).SyscallConn()
}

func (c *wokenConn) Read(b []byte) (int, error) {
	if c.wake == nil {
		return c.Conn.Read(b)
	}
	c.wake()
	c.wake = nil
	return 0, os.ErrDeadlineExceeded
}

// Guards against a request that is closed unread, because the module shortens the time that connections may rest: what arrived
// before the connection learned that is read first.
func TestShorterIdleTimeoutLooksForARequestFirst(t *testing.T) {
	log := make(logLines, 4)
	n := testNode(log)
	n.validator = front.NewValidator([]string{"status-lookup"}, settings.Settings{}.Policy)
	here, there := tcpPair(t, 0)
	woken := &wokenConn{Conn: here, wake: func() {
		fmt.Fprintf(there, plainRequest, time.Now().UnixMilli())
		time.Sleep(5 * time.Millisecond)
		n.idleTimeoutMs.Store(1)
	}}
	proto := front.ResumeSerialConn(httpfront.New(n.validator), 1, clock.Now()-100)
	k := &conn{node: n, c: woken, front: "http", proto: proto}
	n.conns.add(k)
	go k.serve()
	select {
	case <-n.inputs:
	case code := <-log:
		t.Errorf("the connection ended with %q and an unread request", code)
	}
}
