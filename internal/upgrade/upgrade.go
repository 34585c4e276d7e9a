// Package upgrade drives the handover from a running process of a node to one that is started beside it: a Unix socket
// in a folder that both share, the sockets that pass over it, and what each side tells the other. It decides nothing:
// the order of things is package handover's, what runs beside what is the decision module's.
package upgrade

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"whinrudder"
	"whinrudder/internal/core"
	"whinrudder/internal/eventlog"
	"whinrudder/internal/handover"
	"whinrudder/internal/knowledge"
)

// Times in milliseconds.
const (
	dialFor  = 500  // a running process that has not taken the connection by then is none
	takeFor  = 2500 // all that is needed to serve has come by then
	askFor   = 500  // the core has told what it was asked by then
	writeFor = 300  // the other process has taken what is written by then
	againFor = 50   // pause after an accept that failed
)

// Host is what the node is to this package.
type Host struct {
	Name string
	Dir  string // the folder that both processes share
	// ListenAddrs returns where the node listens, by front, or is to listen as its files say.
	ListenAddrs     func() map[string]string
	Submit          func(core.Input) // hands something to the core; must not be called from the core
	Log             eventlog.Log
	CurrentSettings func() (names []string, s whinrudder.Settings)

	// Listeners returns the open listeners of the fronts.
	Listeners func() map[string]*net.TCPListener
	// OperatorDrained tells whether operators have sent the clients away.
	OperatorDrained func() bool
	// SuccessorChanged tells that another process takes new connections from now on, or, if off, that it is lost.
	SuccessorChanged func(on bool)
	// PredecessorEnded tells that the process that this one succeeds has ended.
	PredecessorEnded func()
	// AdoptConn takes a connection at rest of another process. It returns false if it can't.
	AdoptConn func(c net.Conn, how handover.Conn) bool
}

// Upgrade is this part of one node.
type Upgrade struct {
	h Host

	mu     sync.Mutex
	l      *net.UnixListener
	to     *giving // the successor; nil: none
	from   *taking // the process that this one succeeds; nil: none
	ended  bool
	leaves bool
	wait   sync.WaitGroup
}

func now() float64 { return float64(time.Now().UnixNano()) / 1e6 }

func at(ms float64) time.Time { return time.UnixMicro(int64(ms * 1e3)) }

// New returns the part of a node that shares a folder with those before and after it.
func New(h Host) *Upgrade { return &Upgrade{h: h} }

// path is that of the socket, by the address of the platform's front: nodes may share a folder.
func (u *Upgrade) path() string {
	clean := strings.Map(func(c rune) rune {
		if c == ':' || c == '/' || c == '[' || c == ']' {
			return '-'
		}
		return c
	}, u.h.ListenAddrs()["http"])
	return filepath.Join(u.h.Dir, "whinrudder-"+clean)
}

// ListenForSuccessor opens the socket at which a successor finds this process, in place of an older one.
func (u *Upgrade) ListenForSuccessor() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.ended || u.leaves {
		return
	}
	if u.l != nil {
		u.l.Close()
	}
	l, err := listenAt(u.path())
	if err != nil {
		u.h.Log("handover", "code", "off", "error", err)
		return
	}
	u.l = l
	u.wait.Add(1)
	go u.accept(l)
}

// listenAt listens on a Unix socket that takes the place of any that stands at the path. Paths of sockets have 108
// bytes, so that it is named by way of its folder.
func listenAt(path string) (*net.UnixListener, error) {
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return nil, err
	}
	defer dir.Close()
	short := fmt.Sprintf("/proc/self/fd/%d/%s", dir.Fd(), filepath.Base(path))
	fresh := short + ".new"
	os.Remove(fresh)
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: fresh, Net: "unix"})
	if err != nil {
		return nil, err
	}
	l.SetUnlinkOnClose(false) // by then the path may be a successor's
	if err := errors.Join(os.Chmod(fresh, 0o600), os.Rename(fresh, short)); err != nil {
		l.Close()
		return nil, err
	}
	return l, nil
}

func dialAt(path string, by float64) (*net.UnixConn, error) {
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return nil, err
	}
	defer dir.Close()
	d := net.Dialer{Deadline: at(by)}
	c, err := d.Dial("unix", fmt.Sprintf("/proc/self/fd/%d/%s", dir.Fd(), filepath.Base(path)))
	if err != nil {
		return nil, err
	}
	return c.(*net.UnixConn), nil
}

func (u *Upgrade) accept(l *net.UnixListener) {
	defer u.wait.Done()
	for {
		c, err := l.AcceptUnix()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(time.Until(at(now() + againFor)))
			continue
		}
		g := &giving{u: u, pipe: newPipe(c), machine: handover.NewPredecessor(u.h.Name, u.h.ListenAddrs(), now())}
		u.mu.Lock()
		// One successor at a time, and none beside a predecessor: what is in hand is shared with one other process.
		taken := u.to != nil || u.ended || u.from != nil && !u.from.over
		if !taken {
			u.to = g
			u.wait.Add(1)
		}
		u.mu.Unlock()
		if taken {
			g.refuse("taken")
			continue
		}
		go g.run()
	}
}

// HasSuccessor tells whether another process takes new connections.
func (u *Upgrade) HasSuccessor() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.to != nil && u.to.serves
}

// TakeoverAcknowledged tells that the process that this one succeeds, if there is one, knows it: it may be told to leave.
func (u *Upgrade) TakeoverAcknowledged() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.from == nil || u.from.yielded || u.from.over
}

// HandOffConn hands a connection at rest to the successor. If it tells true, the connection is the successor's.
func (u *Upgrade) HandOffConn(c net.Conn, how handover.Conn) bool {
	u.mu.Lock()
	g := u.to
	u.mu.Unlock()
	t, ok := c.(*net.TCPConn)
	if g == nil || !ok {
		return false
	}
	return g.move(t, how)
}

// Ready tells that this process can serve: the one before it learns of it, and a successor of this one finds it.
func (u *Upgrade) Ready(bool) {
	u.mu.Lock()
	t := u.from
	u.mu.Unlock()
	go func() {
		if t != nil {
			t.serve()
		}
		u.ListenForSuccessor()
	}()
}

// Reload does nothing.
func (u *Upgrade) Reload() {}

// SuccessorChanged does nothing: it is this part that tells.
func (u *Upgrade) SuccessorChanged(bool) {}

// BeginShutdown closes the socket for successors: who comes now finds a node that leaves.
func (u *Upgrade) BeginShutdown(float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.leaves = true
	if u.l != nil {
		u.l.Close()
	}
}

// EndShutdown closes everything.
func (u *Upgrade) EndShutdown(by float64) {
	u.mu.Lock()
	u.ended = true
	if u.l != nil {
		u.l.Close()
	}
	if u.to != nil {
		u.to.pipe.close()
	}
	if u.from != nil {
		u.from.pipe.close()
	}
	u.mu.Unlock()
	done := make(chan struct{})
	go func() { u.wait.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(time.Until(at(by))):
	}
}

// shares asks the core for what is in hand. What it tells too late is told the next time: no id is lost.
type shares struct {
	mu   sync.Mutex
	last core.SiblingLoad // with all ids that were not taken yet
	told chan struct{}
}

func newShares() *shares { return &shares{told: make(chan struct{}, 1)} }

// take is called by the core.
func (s *shares) take(load whinrudder.Beside, ids []string) {
	s.mu.Lock()
	s.last = core.SiblingLoad{Beside: load, IDs: append(s.last.IDs, ids...)}
	s.mu.Unlock()
	select {
	case s.told <- struct{}{}:
	default:
	}
}

func (s *shares) ask(tell func(core.Input)) (core.SiblingLoad, bool) {
	tell(core.QueryLoad{Reply: s.take})
	late := time.NewTimer(time.Until(at(now() + askFor)))
	defer late.Stop()
	select {
	case <-s.told:
	case <-late.C:
		return core.SiblingLoad{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.last
	s.last.IDs = nil
	return b, true
}

// report asks the core what it has learned.
func (u *Upgrade) report() knowledge.Report {
	got := make(chan whinrudder.Knowledge, 1)
	u.h.Submit(core.QueryKnowledge{Reply: func(k whinrudder.Knowledge, known bool) { got <- k }})
	names, s := u.h.CurrentSettings()
	r := knowledge.Report{}
	select {
	case k := <-got:
		r = knowledge.NewReport(names, k)
	case <-time.After(time.Until(at(now() + askFor))):
	}
	r.Node, r.Cores, r.Warm = u.h.Name, s.Cores, true
	if r.Check() != nil {
		return knowledge.Report{Node: u.h.Name, Cores: s.Cores, Warm: true} // what no node can have is not passed on
	}
	return r
}
