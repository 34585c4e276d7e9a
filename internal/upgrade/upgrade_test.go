package upgrade

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"

	"whinrudder"
	"whinrudder/internal/core"
	"whinrudder/internal/handover"
	"whinrudder/internal/peer"
)

// toy is a node of which only its listener is real.
type toy struct {
	u     *Upgrade
	l     *net.TCPListener
	lines chan string
	mu    sync.Mutex
	ids   []string // that the other side told
}

func (n *toy) tell(i core.Input) {
	switch i := i.(type) {
	case core.QueryLoad:
		if i.Reply != nil {
			i.Reply(whinrudder.Beside{InProgress: 1}, []string{"00000000000000a1"})
		}
	case core.QueryKnowledge:
		i.Reply(whinrudder.Knowledge{}, true)
	case core.SiblingLoad:
		n.mu.Lock()
		n.ids = append(n.ids, i.IDs...)
		n.mu.Unlock()
	}
}

func newToy(t *testing.T, dir string, l *net.TCPListener, addr string) *toy {
	n := &toy{l: l, lines: make(chan string, 64)}
	n.u = New(Host{Name: "n1", Dir: dir, Submit: n.tell, ListenAddrs: func() map[string]string { return map[string]string{"http": addr} },
		Log: func(word string, pairs ...any) {
			if word == "handover" {
				n.lines <- fmt.Sprint(pairs[1], " ", pairs[3])
			}
		},
		CurrentSettings: func() ([]string, whinrudder.Settings) { return []string{"a"}, whinrudder.Settings{Cores: 2} },
		Listeners:       func() map[string]*net.TCPListener { return map[string]*net.TCPListener{"http": n.l} },
		OperatorDrained: func() bool { return true }, PredecessorEnded: func() { n.lines <- "alone" },
		SuccessorChanged: func(on bool) { n.lines <- fmt.Sprint("succeeded ", on) },
		AdoptConn: func(c net.Conn, how handover.Conn) bool {
			n.lines <- fmt.Sprint("moved ", how.Served)
			fmt.Fprint(c, "from the successor")
			return c.Close() == nil
		}})
	return n
}

func (n *toy) next(t *testing.T) string {
	t.Helper()
	select {
	case l := <-n.lines:
		return l
	case <-time.After(10 * time.Second):
		return "nothing"
	}
}

func listen(t *testing.T) *net.TCPListener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l.(*net.TCPListener)
}

// The listening socket and a connection pass over, in a folder whose path is longer than that of a socket may be, and where
// a process that died left its socket; a second successor is refused; the end of one is the start of the next.
func TestTakeOver(t *testing.T) {
	defer goleak.VerifyNone(t)
	dir := filepath.Join(t.TempDir(), strings.Repeat("long/", 30))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	l := listen(t)
	addr := l.Addr().String()
	old := newToy(t, dir, l, addr)
	if got, err := old.u.TakeOver(); got != nil || err != nil {
		t.Fatal(got, err)
	}
	old.u.ListenForSuccessor()
	old.u.l.Close() // as a crash leaves it
	if got, err := newToy(t, dir, nil, addr).u.TakeOver(); got != nil || err != nil {
		t.Fatal(got, err)
	}
	old.u.Ready(true)
	client, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	next := newToy(t, dir, nil, addr)
	var got *Handoff
	for by := time.Now().Add(10 * time.Second); got == nil && time.Now().Before(by); { // Ready offers beside
		if got, err = next.u.TakeOver(); err != nil {
			t.Fatal(err)
		}
	}
	if got == nil || !got.OperatorDrained || got.Listeners["http"].Addr().String() != addr || got.Report.Node != "n1" {
		t.Fatalf("%+v", got)
	}
	if _, err := newToy(t, dir, nil, addr).u.TakeOver(); err == nil || !strings.Contains(err.Error(), "refused") {
		t.Fatal("a second successor:", err)
	}
	if old.u.HandOffConn(c, handover.Conn{Front: "http"}) || next.u.TakeoverAcknowledged() {
		t.Fatal("the successor does not serve yet")
	}
	next.u.Ready(true)
	for by := time.Now().Add(10 * time.Second); !next.u.TakeoverAcknowledged() && time.Now().Before(by); {
		time.Sleep(time.Millisecond)
	}
	if !next.u.TakeoverAcknowledged() || !old.u.HasSuccessor() { // a notice to leave that comes now finds a process that knows its successor
		t.Fatal(next.u.TakeoverAcknowledged(), old.u.HasSuccessor())
	}
	lines := []string{old.next(t), old.next(t), old.next(t)}
	if diff := cmp.Diff([]string{"give taken", "give succeeded", "succeeded true"}, lines); diff != "" {
		t.Fatal(diff)
	}
	if !old.u.HandOffConn(c, handover.Conn{Front: "http", Served: 7}) {
		t.Fatal("the connection did not move")
	}
	c.Close()
	l.Close()
	lines = []string{next.next(t), next.next(t), next.next(t)}
	if diff := cmp.Diff([]string{"take taken", "take settled", "moved 7"}, lines); diff != "" {
		t.Fatal(diff)
	}
	buf := make([]byte, 64)
	if n, _ := client.Read(buf); string(buf[:n]) != "from the successor" {
		t.Errorf("the client reads %q", buf[:n])
	}
	next.mu.Lock()
	if len(next.ids) == 0 {
		t.Error("no ids were told")
	}
	next.mu.Unlock()
	// The socket outlives the listener of the process that opened it.
	go func() {
		if c, err := net.Dial("tcp", addr); err == nil {
			c.Close()
		}
	}()
	if c, err := got.Listeners["http"].Accept(); err != nil {
		t.Error(err)
	} else {
		c.Close()
	}
	if _, err := newToy(t, dir, nil, addr).u.TakeOver(); err == nil || !strings.Contains(err.Error(), "refused") {
		t.Error("a successor of one that has a predecessor:", err)
	}
	if got := next.next(t); got != "give taken" {
		t.Error(got)
	}
	old.u.EndShutdown(now() + 5000)
	if a, b := next.next(t), next.next(t); a != "take lost" || b != "alone" {
		t.Error(a, b)
	}
	got.Listeners["http"].Close()
	next.u.EndShutdown(now() + 5000)
}

// Once a lost successor is told of, the process that goes on can be succeeded again.
func TestLostSuccessor(t *testing.T) {
	defer goleak.VerifyNone(t)
	dir, l := t.TempDir(), listen(t)
	defer l.Close()
	addr := l.Addr().String()
	old := newToy(t, dir, l, addr)
	old.u.ListenForSuccessor()
	for range 3 {
		next := newToy(t, dir, nil, addr)
		got, err := next.u.TakeOver()
		if got == nil || err != nil {
			t.Fatal(got, err)
		}
		next.u.Ready(true)
		var lines []string
		for range 2 {
			lines = append(lines, old.next(t))
		}
		got.Listeners["http"].Close()
		next.u.EndShutdown(now() + 5000)
		for range 2 {
			lines = append(lines, old.next(t))
		}
		if diff := cmp.Diff([]string{"give succeeded", "succeeded true", "succeeded false", "give lost"}, lines); diff != "" {
			t.Fatal(diff)
		}
	}
	old.u.EndShutdown(now() + 5000)
}

// Whatever comes to the socket, the running process goes on as it was, and can be succeeded.
func TestHostileSuccessors(t *testing.T) {
	defer goleak.VerifyNone(t)
	dir := t.TempDir()
	l := listen(t)
	defer l.Close()
	n := newToy(t, dir, l, l.Addr().String())
	n.u.ListenForSuccessor()
	for name, say := range map[string]func(c *net.UnixConn){
		"bad-magic": func(c *net.UnixConn) { c.Write([]byte("GET / HTTP/1.1\r\n\r\n")) },
		"lost":      func(c *net.UnixConn) {},
		"late":      func(c *net.UnixConn) {},
		"bad-order": func(c *net.UnixConn) { c.Write(peer.AppendFrame(nil, peer.Frame{Kind: peer.KindTake})) },
		"other-node": func(c *net.UnixConn) {
			for _, m := range handover.NewSuccessor("n9", nil, now()).Messages() {
				c.Write(m.Bytes)
			}
		},
	} {
		c, err := dialAt(n.u.path(), now()+1000)
		if err != nil {
			t.Fatal(err)
		}
		say(c)
		if name != "late" {
			// descriptors that no frame names are closed with the connection
			c.WriteMsgUnix([]byte{0}, syscall.UnixRights(0, 1), nil)
			c.CloseWrite()
		}
		if got := n.next(t); got != "give "+name && !(name == "lost" && got == "give bad-magic") {
			t.Errorf("%s: %s", name, got)
		}
		c.Close()
	}
	n.u.EndShutdown(now() + 5000)
}

// What the core tells too late is told the next time, with the ids of both.
func TestSharesLoseNoID(t *testing.T) {
	s := newShares()
	s.take(whinrudder.Beside{InProgress: 1}, []string{"a"}) // of an earlier time
	b, ok := s.ask(func(i core.Input) { i.(core.QueryLoad).Reply(whinrudder.Beside{InProgress: 2}, []string{"b"}) })
	if diff := cmp.Diff(core.SiblingLoad{Beside: whinrudder.Beside{InProgress: 2}, IDs: []string{"a", "b"}}, b); diff != "" || !ok {
		t.Error(diff)
	}
}

// After a stall the time of a read is over; what came meanwhile is read all the same.
func TestReadAfterAStall(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	l, err := listenAt(path)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, err := dialAt(path, now()+1000)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	other, err := l.AcceptUnix()
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	other.Write([]byte("load"))
	if b, looked, err := newPipe(c).read(now() - 3000); string(b) != "load" || looked > now() || err != nil {
		t.Errorf("%q %v", b, err)
	}
}

// A process that is turned away tells why, though the other closed before it was asked anything.
func TestRefusedBeforeItAsks(t *testing.T) {
	defer goleak.VerifyNone(t)
	n := newToy(t, t.TempDir(), nil, "127.0.0.1:1")
	l, err := listenAt(n.u.path())
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	addrs, asked := n.u.h.ListenAddrs, 0
	n.u.h.ListenAddrs = func() map[string]string {
		if asked++; asked == 2 { // the socket is dialled and nothing was said
			other, err := l.AcceptUnix()
			if err != nil {
				t.Fatal(err)
			}
			other.Write(peer.AppendRefuse(nil, "taken"))
			other.Close()
		}
		return addrs()
	}
	if _, err := n.u.TakeOver(); err == nil || !strings.Contains(err.Error(), "refuse:taken") || asked != 2 {
		t.Error(err, asked)
	}
}

// A running process that hangs must not hold up its successor for long: that one says so.
func TestHangingPredecessor(t *testing.T) {
	defer goleak.VerifyNone(t)
	dir := t.TempDir()
	n := newToy(t, dir, nil, "127.0.0.1:1")
	l, err := listenAt(n.u.path())
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	begun := now()
	if _, err := n.u.TakeOver(); err == nil || now()-begun > takeFor+writeFor+dialFor+10e3 {
		t.Errorf("%v after %v ms", err, now()-begun)
	}
}

// A system without such sockets must not keep a process from starting: it starts as one that nobody was before, and says so.
func TestStartsWhereTheSystemRefuses(t *testing.T) {
	file := filepath.Join(t.TempDir(), "no-folder")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	n := newToy(t, file, nil, "127.0.0.1:9") // connecting by way of a file is refused with ENOTDIR
	taken, err := n.u.TakeOver()
	if taken != nil || err != nil {
		t.Errorf("took %v: %v", taken, err)
	}
	if diff := cmp.Diff("take off", n.next(t)); diff != "" {
		t.Error(diff)
	}
	n.u.ListenForSuccessor()
	if l := n.next(t); !strings.HasPrefix(l, "off ") {
		t.Error(l)
	}
}
