package node

import (
	"errors"
	"fmt"
	"net"
	"runtime"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"whinrudder/internal/core"
	"whinrudder/internal/front"
	"whinrudder/internal/httpfront"
	"whinrudder/internal/settings"
)

// lines takes the log, one line a write, and keeps what follows the time and the peer.
type lines chan string

func (l lines) Write(b []byte) (int, error) {
	_, code, _ := strings.Cut(strings.TrimSpace(string(b)), "code=")
	l <- code
	return len(b), nil
}

func testNode(log lines) *Node {
	n := &Node{cfg: settings.Config{}, out: newLogger(log, false), in: make(chan core.Input, 8), over: make(chan struct{})}
	n.conns.most = 8
	n.idle.Store(30000)
	n.site = front.NewValidator(nil, n.cfg.Settings.Policy)
	return n
}

// A peer that never reads its answer must not hold its goroutine for ever: it is cut at the answer's own time. A
// pipe has no buffer, so that nothing but the deadline can end the write.
func TestPeerThatDoesNotReadIsCut(t *testing.T) {
	log := make(lines, 4)
	n := testNode(log)
	here, there := net.Pipe()
	defer there.Close()
	k := &conn{node: n, c: here, front: "http", proto: front.NewSerialConn(httpfront.New(n.site), now())}
	go k.serve()
	if _, err := there.Write([]byte("GET /health HTTP/1.1\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	(<-n.in).(core.HealthCheck).ReplyTo.Deliver(core.Answer{WriteDeadline: now() + 20})
	if diff := cmp.Diff("write served=0", <-log); diff != "" {
		t.Error(diff)
	}
}

// The step that ends the node may answer its last request: the answer is written before the connection is closed, though its
// goroutine had no turn since, as on the one core of the platform.
func TestLastAnswerIsWrittenBeforeTheEnd(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	log := make(lines, 4)
	n := testNode(log)
	here, there := net.Pipe()
	defer there.Close()
	k := &conn{node: n, c: here, front: "http", proto: front.NewSerialConn(httpfront.New(n.site), now())}
	n.conns.add(k)
	go k.serve()
	if _, err := there.Write([]byte("GET /health HTTP/1.1\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	to := (<-n.in).(core.HealthCheck).ReplyTo
	read := make(chan string)
	go func() {
		b := make([]byte, 4096)
		got, _ := there.Read(b)
		read <- string(b[:got])
	}()
	to.Deliver(core.Answer{WriteDeadline: now() + 1000})
	n.conns.closeAll()
	if got := <-read; !strings.HasPrefix(got, "HTTP/1.1 200 ") {
		t.Errorf("the caller read %q", got)
	}
	if diff := cmp.Diff("drain served=1", <-log); diff != "" {
		t.Error(diff)
	}
}

// stuck is a log that nobody reads: a write never ends.
type stuck chan struct{}

func (s stuck) Write(b []byte) (int, error) { <-s; return len(b), nil }

// A log that nobody reads must not stop the core, nor the end of the process.
func TestCoreDoesNotWaitForTheLog(t *testing.T) {
	l := newLogger(make(stuck), false)
	for range 2 * logRoom {
		l.event("line")
	}
	l.flush(now() + 20)
	if n := l.dropped.Load(); n < logRoom-1 {
		t.Errorf("%d lines dropped of %d", n, 2*logRoom)
	}
}

// held is a log that is read at once.
type held chan string

func (k held) Write(b []byte) (int, error) { k <- string(b); return len(b), nil }

// Lines that wait for a slow reader must be their own, whatever zerolog does with its buffer.
func TestJSONLinesDoNotShareABuffer(t *testing.T) {
	log := make(held)
	l := newLogger(log, true)
	for n := range 20 {
		l.event("conn", "code", "eof", "served", n)
	}
	for n := range 20 {
		if _, got, _ := strings.Cut(<-log, `"word":`); got != fmt.Sprintf(`"conn","code":"eof","served":%d}`+"\n", n) {
			t.Errorf("line %d is %q", n, got)
		}
	}
}

// listener fails as one does that is out of descriptors, then hands out a connection, then is closed.
type listener struct{ results []any }

func (l *listener) Accept() (net.Conn, error) {
	r := l.results[0]
	l.results = l.results[1:]
	if c, ok := r.(net.Conn); ok {
		return c, nil
	}
	return nil, r.(error)
}
func (l *listener) Close() error   { return nil }
func (l *listener) Addr() net.Addr { return nil }

// An error of accept must not end the front: what is out of descriptors now is not so later.
func TestAcceptErrorsAreSurvived(t *testing.T) {
	log := make(lines, 4)
	n := testNode(log)
	here, there := net.Pipe()
	there.Close()
	n.accept(&listener{[]any{errors.New("too many open files"), here, net.ErrClosed}}, "http",
		single(func() front.Parser { return httpfront.New(n.site) }))
	<-log // of the error
	if diff := cmp.Diff("eof served=0", <-log); diff != "" {
		t.Error(diff)
	}
}
