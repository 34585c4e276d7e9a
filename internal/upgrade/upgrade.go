// Package upgrade drives the handover from a running process of a node to one that is started on the same machine. It
// does the I/O: a Unix socket in a folder that both processes share, the passing of descriptors, and the messages of
// both sides. It makes no decisions: package handover defines the protocol, and the decision module decides which
// requests run while both processes share the cores.
package upgrade

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"whinrudder"
	"whinrudder/internal/clock"
	"whinrudder/internal/core"
	"whinrudder/internal/eventlog"
	"whinrudder/internal/handover"
	"whinrudder/internal/knowledge"
)

// Times in milliseconds.
const (
	dialTimeoutMs     = 500  // for a running process to accept the connection
	takeOverTimeoutMs = 2500 // for everything that a successor needs to serve
	queryTimeoutMs    = 500  // for an answer of the core
	writeTimeoutMs    = 300  // for a write to the other process
	acceptRetryMs     = 50   // pause after a failed accept
)

// Host is the interface of this package to the node.
type Host struct {
	Name string // of the node
	Dir  string // the folder that both processes share
	// ListenAddrs returns the addresses at which the node listens, or is configured to listen, by front.
	ListenAddrs     func() map[string]string
	Submit          func(core.Input) // sends an input to the core; must not be called from the core
	Log             eventlog.Log
	CurrentSettings func() (names []string, s whinrudder.Settings) // the class names and the settings

	// Listeners returns the open listeners of the fronts.
	Listeners func() map[string]*net.TCPListener
	// OperatorDrain returns whether operators have drained the node.
	OperatorDrain func() core.DrainState
	// OperatorDrainReported reports the operators' drain as the other process knows it.
	OperatorDrainReported func(core.DrainState)
	// SuccessorChanged reports that another process accepts new connections from now on or, with on false, that it was
	// lost.
	SuccessorChanged func(on bool)
	// PredecessorYielded reports that the process that this one succeeds has passed on the IDs of all requests that it has
	// read, and claims those that it reads from now on.
	PredecessorYielded func()
	// PoolLinks returns the links of this process to worker pools whose results its successor should read.
	PoolLinks func() []handover.PoolLink
	// PoolLinksReported reports such links of the process that this one succeeds.
	PoolLinksReported func([]handover.PoolLink)
	// PredecessorEnded reports that the process that this one succeeds has ended.
	PredecessorEnded func()
	// AdoptConn takes over an idle connection of another process. It returns false if that is not possible.
	AdoptConn func(c net.Conn, info handover.Conn) bool
}

// Upgrade drives the handovers of one process of a node, in both roles. Create it with New.
type Upgrade struct {
	host Host

	mu            sync.Mutex
	listener      *net.UnixListener // accepts successors; nil: not opened yet
	asPredecessor *predecessorSide  // towards the successor; nil: there is none
	asSuccessor   *successorSide    // towards the process that this one succeeds; nil: there is none
	ended         bool              // EndShutdown was called
	leaving       bool              // BeginShutdown was called
	goroutines    sync.WaitGroup

	claimant    atomic.Pointer[predecessorSide] // sends the claims of this process; nil: it claims nothing
	socketTried atomic.Bool                     // the socket for successors was opened, or could not be
}

// New returns the Upgrade of a process.
func New(host Host) *Upgrade { return &Upgrade{host: host} }

// socketPath returns the path of the Unix socket. It contains the address of the HTTP front because nodes may share a
// folder.
func (u *Upgrade) socketPath() string {
	clean := strings.Map(func(c rune) rune {
		if c == ':' || c == '/' || c == '[' || c == ']' {
			return '-'
		}
		return c
	}, u.host.ListenAddrs()["http"])
	return filepath.Join(u.host.Dir, "whinrudder-"+clean)
}

// ListenForSuccessor opens the socket at which a successor finds this process. It replaces an older one.
func (u *Upgrade) ListenForSuccessor() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.ended || u.leaving {
		return
	}
	if u.listener != nil {
		u.listener.Close()
	}
	l, err := listenUnix(u.socketPath())
	if err != nil {
		u.host.Log("handover", "code", "off", "error", err)
		return
	}
	u.listener = l
	u.goroutines.Add(1)
	go u.accept(l)
}

// listenUnix listens on a Unix socket that replaces any socket at the path. The path of a socket is limited to 108
// bytes, so the socket is addressed through the descriptor of its folder.
func listenUnix(path string) (*net.UnixListener, error) {
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return nil, err
	}
	defer dir.Close()
	shortPath := fmt.Sprintf("/proc/self/fd/%d/%s", dir.Fd(), filepath.Base(path))
	temporary := shortPath + ".new"
	os.Remove(temporary)
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: temporary, Net: "unix"})
	if err != nil {
		return nil, err
	}
	l.SetUnlinkOnClose(false) // by then the path may belong to a successor
	if err := errors.Join(os.Chmod(temporary, 0o600), os.Rename(temporary, shortPath)); err != nil {
		l.Close()
		return nil, err
	}
	return l, nil
}

// dialUnix connects to the Unix socket at a path of any length, until an absolute time at the latest.
func dialUnix(path string, by float64) (*net.UnixConn, error) {
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return nil, err
	}
	defer dir.Close()
	d := net.Dialer{Deadline: clock.Time(by)}
	c, err := d.Dial("unix", fmt.Sprintf("/proc/self/fd/%d/%s", dir.Fd(), filepath.Base(path)))
	if err != nil {
		return nil, err
	}
	return c.(*net.UnixConn), nil
}

// accept accepts successors until the listener is closed.
func (u *Upgrade) accept(l *net.UnixListener) {
	defer u.goroutines.Done()
	for {
		c, err := l.AcceptUnix()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(time.Until(clock.Time(clock.Now() + acceptRetryMs)))
			continue
		}
		side := &predecessorSide{u: u, conn: newFDConn(c), claims: newClaimQueue(),
			machine: handover.NewPredecessor(u.host.Name, u.host.ListenAddrs(), clock.Now())}
		u.mu.Lock()
		// One successor at a time, and none while the predecessor is running: load is shared with only one other
		// process.
		busy := u.asPredecessor != nil || u.ended || u.asSuccessor != nil && !u.asSuccessor.predecessorEnded
		if !busy {
			u.asPredecessor = side
			u.goroutines.Add(1)
		}
		u.mu.Unlock()
		if busy {
			side.refuse("taken")
			continue
		}
		go side.run()
	}
}

// SocketOpened reports whether a successor that is started now finds this process, or never will because the socket could
// not be opened.
func (u *Upgrade) SocketOpened() bool { return u.socketTried.Load() }

// HasSuccessor reports whether a successor accepts new connections.
func (u *Upgrade) HasSuccessor() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.asPredecessor != nil && u.asPredecessor.successorServing
}

// TakeoverAcknowledged reports whether the predecessor, if there is one, has confirmed that this process serves. The
// predecessor may then be told to leave.
func (u *Upgrade) TakeoverAcknowledged() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.asSuccessor == nil || u.asSuccessor.predecessorYielded || u.asSuccessor.predecessorEnded
}

// HandOffConn passes an idle connection to the successor. If it returns true, the connection belongs to the successor.
func (u *Upgrade) HandOffConn(c net.Conn, info handover.Conn) bool {
	u.mu.Lock()
	side := u.asPredecessor
	u.mu.Unlock()
	tcp, ok := c.(*net.TCPConn)
	if side == nil || !ok {
		return false
	}
	return side.handOffConn(tcp, info)
}

// ShareOperatorDrain reports the operators' drain to the other process, if there is one, until an absolute time at the
// latest. Once it returns, the other process has the report or will read it, also if this process ends.
func (u *Upgrade) ShareOperatorDrain(by float64) {
	u.mu.Lock()
	predecessor, successor := u.asPredecessor, u.asSuccessor
	u.mu.Unlock()
	by = min(by, clock.Now()+writeTimeoutMs)
	if predecessor != nil {
		predecessor.shareDrain(by)
	}
	if successor != nil {
		successor.shareDrain(by)
	}
}

// Claim asks the successor whether this process may run the requests with some IDs. It does not wait.
func (u *Upgrade) Claim(ids []string) {
	if side := u.claimant.Load(); side != nil {
		side.claims.add(ids)
	}
}

// Ready is called once this process can serve. It informs the predecessor, and opens the socket for a successor.
func (u *Upgrade) Ready(bool) {
	u.mu.Lock()
	side := u.asSuccessor
	u.mu.Unlock()
	go func() {
		if side != nil {
			side.announceServing()
		}
		u.ListenForSuccessor()
		u.socketTried.Store(true)
	}()
}

// Reload does nothing.
func (u *Upgrade) Reload() {}

// SuccessorChanged does nothing because Upgrade itself reports this change.
func (u *Upgrade) SuccessorChanged(bool) {}

// BeginShutdown closes the socket for successors, because this process leaves.
func (u *Upgrade) BeginShutdown(float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.leaving = true
	if u.listener != nil {
		u.listener.Close()
	}
}

// EndShutdown closes the socket and the connections, and waits for the goroutines until an absolute time at the latest.
func (u *Upgrade) EndShutdown(by float64) {
	u.mu.Lock()
	u.ended = true
	if u.listener != nil {
		u.listener.Close()
	}
	if u.asPredecessor != nil {
		u.asPredecessor.conn.close()
	}
	if u.asSuccessor != nil {
		u.asSuccessor.conn.close()
	}
	u.mu.Unlock()
	done := make(chan struct{})
	go func() { u.goroutines.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(time.Until(clock.Time(by))):
	}
}

// loadQuery asks the core for its load. An answer that arrives after the timeout is included in the next one, so that
// no ID is lost.
type loadQuery struct {
	mu      sync.Mutex
	last    core.SiblingLoad // the last answer, with all IDs that run has not returned yet
	replied chan struct{}
}

func newLoadQuery() *loadQuery { return &loadQuery{replied: make(chan struct{}, 1)} }

// reply is called by the core.
func (q *loadQuery) reply(load whinrudder.Beside, ids []string) {
	q.mu.Lock()
	q.last = core.SiblingLoad{Beside: load, IDs: append(q.last.IDs, ids...)}
	q.mu.Unlock()
	select {
	case q.replied <- struct{}{}:
	default:
	}
}

// run queries the core. It returns false if the core does not answer in time.
func (q *loadQuery) run(submit func(core.Input)) (core.SiblingLoad, bool) {
	return q.runWith(submit, false)
}

// runWith queries the core; with claim the core claims the requests that it reads after the answer.
func (q *loadQuery) runWith(submit func(core.Input), claim bool) (core.SiblingLoad, bool) {
	submit(core.QueryLoad{Claim: claim, Reply: q.reply})
	timeout := time.NewTimer(time.Until(clock.Time(clock.Now() + queryTimeoutMs)))
	defer timeout.Stop()
	select {
	case <-q.replied:
	case <-timeout.C:
		return core.SiblingLoad{}, false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	load := q.last
	q.last.IDs = nil
	return load, true
}

// queryKnowledge asks the core for its learned state. If the core does not answer in time, the report is without it.
func (u *Upgrade) queryKnowledge() knowledge.Report {
	reply := make(chan whinrudder.Knowledge, 1)
	u.host.Submit(core.QueryKnowledge{Reply: func(k whinrudder.Knowledge, known bool) { reply <- k }})
	names, s := u.host.CurrentSettings()
	r := knowledge.Report{}
	select {
	case k := <-reply:
		r = knowledge.NewReport(names, k)
	case <-time.After(time.Until(clock.Time(clock.Now() + queryTimeoutMs))):
	}
	r.Node, r.Cores, r.Warm = u.host.Name, s.Cores, true
	if r.Check() != nil {
		return knowledge.Report{Node: u.host.Name, Cores: s.Cores, Warm: true} // an invalid report is not passed on
	}
	return r
}
