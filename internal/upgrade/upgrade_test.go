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
	"whinrudder/internal/clock"
	"whinrudder/internal/core"
	"whinrudder/internal/handover"
	"whinrudder/internal/peer"
)

// fakeNode is a test double of a node. Only its listener is real.
type fakeNode struct {
	u     *Upgrade
	l     *net.TCPListener
	lines chan string // log lines of handovers and calls of the Host functions
	mu    sync.Mutex
	ids   []string // received from the other side
	links []handover.PoolLink
	drain core.DrainState
}

// operatorDrain returns whether operators have drained the node.
func (n *fakeNode) operatorDrain() core.DrainState {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.drain
}

// operatorDrainReported takes over a later order, as the core does.
func (n *fakeNode) operatorDrainReported(s core.DrainState) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if s.Supersedes(n.drain) {
		n.drain = s
	}
}

// order gives an order of the operators to this process.
func (n *fakeNode) order(on bool) core.DrainState {
	next := core.DrainState{On: on, Revision: n.operatorDrain().Revision + 1}
	n.operatorDrainReported(next)
	n.u.ShareOperatorDrain(clock.Now() + 1000)
	return next
}

// waitForDrain waits until the node knows an order.
func (n *fakeNode) waitForDrain(t *testing.T, want core.DrainState) {
	t.Helper()
	for by := time.Now().Add(10 * time.Second); n.operatorDrain() != want; time.Sleep(time.Millisecond) {
		if time.Now().After(by) {
			t.Fatalf("got drain state %+v, want %+v", n.operatorDrain(), want)
		}
	}
}

// submit answers the inputs that the core would answer.
func (n *fakeNode) submit(i core.Input) {
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

func newFakeNode(t *testing.T, dir string, l *net.TCPListener, addr string) *fakeNode {
	n := &fakeNode{l: l, lines: make(chan string, 64), drain: core.DrainState{On: true, Revision: 1}}
	n.u = New(Host{Name: "n1", Dir: dir, Submit: n.submit, ListenAddrs: func() map[string]string { return map[string]string{"http": addr} },
		Log: func(word string, pairs ...any) {
			if word == "handover" {
				n.lines <- fmt.Sprint(pairs[1], " ", pairs[3])
			}
		},
		CurrentSettings: func() ([]string, whinrudder.Settings) { return []string{"a"}, whinrudder.Settings{Cores: 2} },
		Listeners:       func() map[string]*net.TCPListener { return map[string]*net.TCPListener{"http": n.l} },
		OperatorDrain:   n.operatorDrain, OperatorDrainReported: n.operatorDrainReported, PredecessorEnded: func() { n.lines <- "alone" }, PredecessorYielded: func() {},
		PoolLinks: func() []handover.PoolLink { return []handover.PoolLink{{Addr: "pool", Serial: 7}} },
		PoolLinksReported: func(links []handover.PoolLink) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.links = links
		},
		SuccessorChanged: func(on bool) { n.lines <- fmt.Sprint("succeeded ", on) },
		AdoptConn: func(c net.Conn, info handover.Conn) bool {
			n.lines <- fmt.Sprint("moved ", info.Served)
			fmt.Fprint(c, "from the successor")
			return c.Close() == nil
		}})
	return n
}

// nextLine waits for the next line. It returns "nothing" if there is none within ten seconds.
func (n *fakeNode) nextLine(t *testing.T) string {
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

// Guards against an order of the operators that is lost in an upgrade (review/3): from the welcome on, before the successor
// serves and after it, an order that either process accepted reaches the other one, also if the process that accepted it
// ends at once.
func TestDrainOrdersReachTheOtherProcess(t *testing.T) {
	defer goleak.VerifyNone(t)
	l := listen(t)
	addr, dir := l.Addr().String(), t.TempDir()
	predecessor := newFakeNode(t, dir, l, addr)
	predecessor.u.ListenForSuccessor()
	successor := newFakeNode(t, dir, nil, addr)
	successor.drain = core.DrainState{}
	got, err := successor.u.TakeOver()
	if err != nil || got == nil {
		t.Fatal(got, err)
	}
	successor.operatorDrainReported(got.Drain)
	successor.waitForDrain(t, core.DrainState{On: true, Revision: 1})
	successor.waitForDrain(t, predecessor.order(false)) // before it serves
	predecessor.waitForDrain(t, successor.order(true))
	successor.u.Ready(true)
	successor.waitForDrain(t, predecessor.order(false))
	predecessor.waitForDrain(t, successor.order(true))
	last := predecessor.order(false)
	predecessor.u.EndShutdown(clock.Now() + 1000)
	successor.waitForDrain(t, last)
	successor.u.EndShutdown(clock.Now() + 1000)
	got.Listeners["http"].Close()
	l.Close()
}

// A complete handover of the listening socket and an idle connection. The folder has a path longer than a socket path
// may be, and a crashed process left its socket there. A second successor must be refused, and a successor must in turn
// accept one.
func TestTakeOver(t *testing.T) {
	defer goleak.VerifyNone(t)
	dir := filepath.Join(t.TempDir(), strings.Repeat("long/", 30))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	l := listen(t)
	addr := l.Addr().String()
	predecessor := newFakeNode(t, dir, l, addr)
	if got, err := predecessor.u.TakeOver(); got != nil || err != nil {
		t.Fatal(got, err)
	}
	predecessor.u.ListenForSuccessor()
	predecessor.u.listener.Close() // leaves the socket file behind, as a crash does
	if got, err := newFakeNode(t, dir, nil, addr).u.TakeOver(); got != nil || err != nil {
		t.Fatal(got, err)
	}
	predecessor.u.Ready(true)
	client, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	successor := newFakeNode(t, dir, nil, addr)
	var got *Handoff
	for by := time.Now().Add(10 * time.Second); got == nil && time.Now().Before(by); { // Ready opens the socket in the background
		if got, err = successor.u.TakeOver(); err != nil {
			t.Fatal(err)
		}
	}
	if got == nil || !got.Drain.On || got.Listeners["http"].Addr().String() != addr || got.Report.Node != "n1" {
		t.Fatalf("handoff is %+v, want one that is complete", got)
	}
	if _, err := newFakeNode(t, dir, nil, addr).u.TakeOver(); err == nil || !strings.Contains(err.Error(), "refused") {
		t.Fatal("second successor: got", err, "want a refusal")
	}
	if predecessor.u.HandOffConn(c, handover.Conn{Front: "http"}) || successor.u.TakeoverAcknowledged() {
		t.Fatal("the successor does not serve yet, but takes connections or is acknowledged")
	}
	successor.u.Ready(true)
	for by := time.Now().Add(10 * time.Second); !successor.u.TakeoverAcknowledged() && time.Now().Before(by); {
		time.Sleep(time.Millisecond)
	}
	// From now on a notice to leave reaches a process that knows of its successor.
	if !successor.u.TakeoverAcknowledged() || !predecessor.u.HasSuccessor() {
		t.Fatal("acknowledged", successor.u.TakeoverAcknowledged(), "has successor", predecessor.u.HasSuccessor(), "want both")
	}
	lines := []string{predecessor.nextLine(t), predecessor.nextLine(t), predecessor.nextLine(t)}
	if diff := cmp.Diff([]string{"give taken", "give succeeded", "succeeded true"}, lines); diff != "" {
		t.Fatal(diff)
	}
	if !predecessor.u.HandOffConn(c, handover.Conn{Front: "http", Served: 7}) {
		t.Fatal("the connection was not handed off")
	}
	c.Close()
	l.Close()
	lines = []string{successor.nextLine(t), successor.nextLine(t), successor.nextLine(t)}
	if diff := cmp.Diff([]string{"take taken", "take settled", "moved 7"}, lines); diff != "" {
		t.Fatal(diff)
	}
	buf := make([]byte, 64)
	if n, _ := client.Read(buf); string(buf[:n]) != "from the successor" {
		t.Errorf("the client reads %q, want the text of the successor", buf[:n])
	}
	successor.mu.Lock()
	if len(successor.ids) == 0 {
		t.Error("the successor received no IDs")
	}
	if diff := cmp.Diff([]handover.PoolLink{{Addr: "pool", Serial: 7}}, successor.links); diff != "" {
		t.Errorf("the predecessor's links to worker pools: %s", diff)
	}
	successor.mu.Unlock()
	// The socket stays open after the process that opened it has closed its listener.
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
	if _, err := newFakeNode(t, dir, nil, addr).u.TakeOver(); err == nil || !strings.Contains(err.Error(), "refused") {
		t.Error("successor of a process with a running predecessor: got", err, "want a refusal")
	}
	if got := successor.nextLine(t); got != "give taken" {
		t.Errorf("got line %q, want %q", got, "give taken")
	}
	predecessor.u.EndShutdown(clock.Now() + 5000)
	if a, b := successor.nextLine(t), successor.nextLine(t); a != "take lost" || b != "alone" {
		t.Errorf("got lines %q and %q, want %q and %q", a, b, "take lost", "alone")
	}
	got.Listeners["http"].Close()
	successor.u.EndShutdown(clock.Now() + 5000)
}

// Guards against requests of the old process that wait for an answer to their claims, because the new one waits for room for a
// connection that was handed over: what the processes tell each other goes on meanwhile.
func TestConnectionThatWaitsForRoomDoesNotHoldUpTheExchange(t *testing.T) {
	defer goleak.VerifyNone(t)
	l := listen(t)
	addr, dir := l.Addr().String(), t.TempDir()
	predecessor, successor := newFakeNode(t, dir, l, addr), newFakeNode(t, dir, nil, addr)
	predecessor.u.ListenForSuccessor()
	waiting, room := make(chan struct{}), make(chan struct{})
	successor.u.host.AdoptConn = func(net.Conn, handover.Conn) bool {
		close(waiting)
		<-room
		return false
	}
	got, err := successor.u.TakeOver()
	if err != nil || got == nil {
		t.Fatal(got, err)
	}
	successor.u.Ready(true)
	client, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	for by := time.Now().Add(10 * time.Second); !predecessor.u.HandOffConn(c, handover.Conn{Front: "http"}); time.Sleep(time.Millisecond) {
		if time.Now().After(by) {
			t.Fatal("the connection was not handed off")
		}
	}
	c.Close()
	<-waiting
	successor.waitForDrain(t, predecessor.order(false))
	close(room)
	if n, err := client.Read(make([]byte, 1)); n > 0 || err == nil {
		t.Error("a connection without room stays open")
	}
	predecessor.u.EndShutdown(clock.Now() + 1000)
	successor.u.EndShutdown(clock.Now() + 1000)
	got.Listeners["http"].Close()
	l.Close()
}

// Once the loss of a successor is logged, the predecessor must serve again and be able to hand over to another one.
func TestLostSuccessor(t *testing.T) {
	defer goleak.VerifyNone(t)
	dir, l := t.TempDir(), listen(t)
	defer l.Close()
	addr := l.Addr().String()
	predecessor := newFakeNode(t, dir, l, addr)
	predecessor.u.ListenForSuccessor()
	for range 3 {
		successor := newFakeNode(t, dir, nil, addr)
		got, err := successor.u.TakeOver()
		if got == nil || err != nil {
			t.Fatal(got, err)
		}
		successor.u.Ready(true)
		var lines []string
		for range 2 {
			lines = append(lines, predecessor.nextLine(t))
		}
		got.Listeners["http"].Close()
		successor.u.EndShutdown(clock.Now() + 5000)
		for range 2 {
			lines = append(lines, predecessor.nextLine(t))
		}
		if diff := cmp.Diff([]string{"give succeeded", "succeeded true", "succeeded false", "give lost"}, lines); diff != "" {
			t.Fatal(diff)
		}
	}
	predecessor.u.EndShutdown(clock.Now() + 5000)
}

// Invalid input at the socket must not disturb the running process, which must accept further successors.
func TestInvalidSuccessors(t *testing.T) {
	defer goleak.VerifyNone(t)
	dir := t.TempDir()
	l := listen(t)
	defer l.Close()
	n := newFakeNode(t, dir, l, l.Addr().String())
	n.u.ListenForSuccessor()
	for code, send := range map[string]func(c *net.UnixConn){
		"bad-magic": func(c *net.UnixConn) { c.Write([]byte("GET / HTTP/1.1\r\n\r\n")) },
		"lost":      func(c *net.UnixConn) {},
		"late":      func(c *net.UnixConn) {},
		"bad-order": func(c *net.UnixConn) { c.Write(peer.AppendFrame(nil, peer.Frame{Kind: peer.KindTake})) },
		"other-node": func(c *net.UnixConn) {
			for _, m := range handover.NewSuccessor("n9", nil, clock.Now()).Messages() {
				c.Write(m.Bytes)
			}
		},
	} {
		c, err := dialUnix(n.u.socketPath(), clock.Now()+1000)
		if err != nil {
			t.Fatal(err)
		}
		send(c)
		if code != "late" {
			// descriptors that no frame names are closed with the connection
			c.WriteMsgUnix([]byte{0}, syscall.UnixRights(0, 1), nil)
			c.CloseWrite()
		}
		if got := n.nextLine(t); got != "give "+code && !(code == "lost" && got == "give bad-magic") {
			t.Errorf("got line %q, want code %s", got, code)
		}
		c.Close()
	}
	n.u.EndShutdown(clock.Now() + 5000)
}

// An answer of the core that arrives too late must be part of the next one, with the IDs of both.
func TestLoadQueryLosesNoID(t *testing.T) {
	q := newLoadQuery()
	q.reply(whinrudder.Beside{InProgress: 1}, []string{"a"}) // answer to an earlier query
	load, ok := q.run(func(i core.Input) { i.(core.QueryLoad).Reply(whinrudder.Beside{InProgress: 2}, []string{"b"}) })
	if diff := cmp.Diff(core.SiblingLoad{Beside: whinrudder.Beside{InProgress: 2}, IDs: []string{"a", "b"}}, load); diff != "" || !ok {
		t.Error(diff)
	}
}

// After a stall the deadline of a read has passed. Data that arrived meanwhile must still be read.
func TestReadAfterStall(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	l, err := listenUnix(path)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, err := dialUnix(path, clock.Now()+1000)
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
	if b, readUntil, err := newFDConn(c).read(clock.Now() - 3000); string(b) != "load" || readUntil > clock.Now() || err != nil {
		t.Errorf("read %q until %v: %v, want %q", b, readUntil, err, "load")
	}
}

// A refused process must report the reason, even if the other process refused and closed before hello was sent.
func TestRefusedBeforeHello(t *testing.T) {
	defer goleak.VerifyNone(t)
	n := newFakeNode(t, t.TempDir(), nil, "127.0.0.1:1")
	l, err := listenUnix(n.u.socketPath())
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	addrs, calls := n.u.host.ListenAddrs, 0
	n.u.host.ListenAddrs = func() map[string]string {
		if calls++; calls == 2 { // the connection is established and nothing was sent
			other, err := l.AcceptUnix()
			if err != nil {
				t.Fatal(err)
			}
			other.Write(peer.AppendRefuse(nil, "taken"))
			other.Close()
		}
		return addrs()
	}
	if _, err := n.u.TakeOver(); err == nil || !strings.Contains(err.Error(), "refuse:taken") || calls != 2 {
		t.Errorf("got %v after %d calls of ListenAddrs, want a refusal after 2", err, calls)
	}
}

// A predecessor that hangs must not delay its successor for long. The successor must return an error.
func TestHangingPredecessor(t *testing.T) {
	defer goleak.VerifyNone(t)
	dir := t.TempDir()
	n := newFakeNode(t, dir, nil, "127.0.0.1:1")
	l, err := listenUnix(n.u.socketPath())
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	started := clock.Now()
	if _, err := n.u.TakeOver(); err == nil || clock.Now()-started > takeOverTimeoutMs+writeTimeoutMs+dialTimeoutMs+10e3 {
		t.Errorf("got %v after %v ms, want an error in time", err, clock.Now()-started)
	}
}

// A system without Unix sockets must not prevent a process from starting. It must start as if no process were running,
// and log that.
func TestStartsWhereTheSystemRefuses(t *testing.T) {
	file := filepath.Join(t.TempDir(), "no-folder")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	n := newFakeNode(t, file, nil, "127.0.0.1:9") // a path through a file is refused with ENOTDIR
	handoff, err := n.u.TakeOver()
	if handoff != nil || err != nil {
		t.Errorf("got handoff %v and error %v, want neither", handoff, err)
	}
	if diff := cmp.Diff("take off", n.nextLine(t)); diff != "" {
		t.Error(diff)
	}
	n.u.ListenForSuccessor()
	if l := n.nextLine(t); !strings.HasPrefix(l, "off ") {
		t.Errorf("got line %q, want code off", l)
	}
}
