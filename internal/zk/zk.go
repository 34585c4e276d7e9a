// Package zk registers a node in a ZooKeeper ensemble with an ephemeral znode that exists while the node serves.
// Package membership decides what to do with the znode, and this package carries it out. It never blocks the node's
// service: if the ensemble is unreachable, slow or full, only the znode is missing.
package zk

import (
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/go-zookeeper/zk"

	"whinrudder/internal/clock"
	"whinrudder/internal/eventlog"
	"whinrudder/internal/membership"
)

// maxPacketBytes is the maximum size of a packet from the ensemble.
const maxPacketBytes = 64 << 10

// Registration keeps one znode. Create it with Register.
type Registration struct {
	conn     *zk.Conn
	path     string
	auth     []byte // credentials; nil: none
	authSent bool   // the library has the credentials; used only by the goroutine of run
	log      eventlog.Log
	wake     chan struct{} // makes run ask the machine for its next step
	closed   chan struct{} // closed when the session is closed at the end
	ready    chan struct{} // closed once conn is set

	mu      sync.Mutex // guards the fields below
	machine *membership.Machine
	phase   membership.Phase // the phase that run saw last
}

// Register creates the znode parent/name with the entry, and creates it again whenever its session expires or somebody
// removes it. Auth are the credentials that ReadAuth returned. It returns at once and works in the background. The
// ensemble removes the znode sessionMs after it last heard from the node.
func Register(servers []string, sessionMs float64, parent string, self membership.Entry, auth []byte,
	log eventlog.Log) *Registration {
	r := &Registration{path: parent + "/" + self.Name, auth: auth, log: log, wake: make(chan struct{}, 1),
		closed: make(chan struct{}), ready: make(chan struct{}),
		machine: membership.New(self, sessionMs, rand.Uint64())}
	conn, _, err := zk.Connect(servers, time.Duration(sessionMs*float64(time.Millisecond)), zk.WithLogInfo(false),
		zk.WithLogger(noLog{}), zk.WithMaxBufferSize(maxPacketBytes), zk.WithEventCallback(r.event),
		zk.WithDialer(r.dial))
	if err != nil {
		log("zk", "path", r.path, "code", "off", "error", err)
		return r
	}
	r.conn = conn
	close(r.ready)
	go r.run()
	return r
}

// update passes an event to the machine and wakes run.
func (r *Registration) update(event func(m *membership.Machine, now float64)) {
	r.mu.Lock()
	event(r.machine, clock.Now())
	r.mu.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// SetDraining marks the entry as draining, or removes the mark.
func (r *Registration) SetDraining(on bool) {
	r.update(func(m *membership.Machine, now float64) { m.Drain(now, on) })
}

// Remove marks the entry as draining and removes the znode at the time removeAt, in Unix milliseconds. It returns at
// once. If the ensemble does not answer, the connection is closed removalTimeoutMs after that time.
func (r *Registration) Remove(removeAt float64) {
	if r.conn != nil { // a step in progress may wait for longer
		time.AfterFunc(time.Until(clock.Time(removeAt+removalTimeoutMs)), r.conn.Close)
	}
	r.update(func(m *membership.Machine, now float64) { m.Leave(now, removeAt) })
}

// removalTimeoutMs is how long the removal of the znode may take.
const removalTimeoutMs = 500

// SetYielded leaves the znode to another process of the same node, or takes it back. The session goes on. It does not
// keep the znode alive once the other process has replaced it with its own.
func (r *Registration) SetYielded(on bool) {
	r.update(func(m *membership.Machine, now float64) { m.Yield(now, on) })
}

// noLog discards the log of the library. What matters is logged from its events.
type noLog struct{}

func (noLog) Printf(string, ...any) {}

// event passes an event of the session to the machine. The library calls it, and it must not block.
func (r *Registration) event(e zk.Event) {
	switch {
	case e.Type == zk.EventSession && e.State == zk.StateExpired:
		r.log("zk", "path", r.path, "code", "expired")
		r.update((*membership.Machine).ConnectionClosed)
	case e.Type == zk.EventSession && e.State == zk.StateDisconnected:
		r.log("zk", "path", r.path, "code", "disconnected")
		r.update((*membership.Machine).ConnectionClosed)
	case e.Type == zk.EventSession && e.State == zk.StateHasSession:
		r.update(func(m *membership.Machine, now float64) { m.SessionOpened(now, r.conn.SessionID()) })
	case e.Type == zk.EventNodeDeleted, e.Type == zk.EventNodeDataChanged:
		r.update((*membership.Machine).EntryChanged)
	}
}

// dial waits until the machine permits the next connection, and connects. The library calls it.
func (r *Registration) dial(network, addr string, timeout time.Duration) (net.Conn, error) {
	<-r.ready // there must be no session before conn is set: event uses conn
	r.mu.Lock()
	dialAt := r.machine.DialAt(clock.Now())
	r.mu.Unlock()
	t := time.NewTimer(time.Until(clock.Time(dialAt)))
	defer t.Stop()
	select {
	case <-t.C:
	case <-r.closed:
		return nil, net.ErrClosed
	}
	d := net.Dialer{Deadline: time.Now().Add(timeout)}
	c, err := d.Dial(network, addr)
	if err != nil {
		r.update((*membership.Machine).ConnectionClosed)
		return nil, err
	}
	return &boundedConn{Conn: c}, nil
}

// boundedConn is a connection that fails if its first packet is longer than maxPacketBytes: the library allocates as
// much as the length field of the first packet says.
type boundedConn struct {
	net.Conn
	size uint32 // length of the first packet, as far as it was read
	seen int    // bytes of the length field that were read
}

// Read implements io.Reader.
func (b *boundedConn) Read(p []byte) (int, error) {
	n, err := b.Conn.Read(p)
	for i := 0; i < n && b.seen < 4; i++ {
		b.size, b.seen = b.size<<8|uint32(p[i]), b.seen+1
	}
	if b.seen == 4 && b.size > maxPacketBytes {
		return 0, errors.New("the first packet of the ensemble exceeds the size limit")
	}
	return n, err
}

// run carries out the steps of the machine, one at a time, until the session is closed.
func (r *Registration) run() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		r.mu.Lock()
		now := clock.Now()
		s, ok, wakeAt := r.machine.NextStep(now)
		phase, previous := r.machine.Phase(), r.phase
		r.phase = phase
		r.mu.Unlock()
		if phase != previous && phase == membership.Foreign {
			r.log("zk", "path", r.path, "code", "foreign")
		}
		if ok && s.Action == membership.CloseSession {
			close(r.closed)
			r.log("zk", "path", r.path, "code", "left")
			r.conn.Close()
			return
		}
		if ok {
			result, err := r.step(s)
			r.logStep(s, result, err)
			r.mu.Lock()
			r.machine.StepDone(clock.Now(), s, result)
			r.mu.Unlock()
			continue
		}
		if wakeAt > 0 {
			timer.Reset(time.Until(clock.Time(wakeAt)))
		} else {
			timer.Reset(time.Hour)
		}
		select {
		case <-r.wake:
		case <-timer.C:
		}
	}
}

// stepCodes are the log codes of the steps that change the znode.
var stepCodes = map[membership.Action]string{membership.Create: "registered", membership.Replace: "taken",
	membership.Write: "written", membership.Remove: "removed"}

// logStep logs the result of a step that changed the znode or failed.
func (r *Registration) logStep(s membership.Step, result membership.Result, err error) {
	switch stepCode := stepCodes[s.Action]; {
	case result.Code == membership.Failed || result.Code == membership.Conflict:
		r.log("zk", "path", r.path, "code", "failed", "error", err)
	case result.Code == membership.OK && stepCode != "":
		r.log("zk", "path", r.path, "code", stepCode, "draining", s.Content.Draining)
	}
}

// step carries out one step.
func (r *Registration) step(s membership.Step) (out membership.Result, err error) {
	if r.auth != nil && !r.authSent {
		if err := r.conn.AddAuth("digest", r.auth); err != nil {
			return membership.Result{Code: resultCode(err)}, err
		}
		r.authSent = true // the library sends them again on each connection
	}
	switch s.Action {
	case membership.Read:
		var data []byte
		var stat *zk.Stat
		if data, stat, _, err = r.conn.GetW(r.path); err == nil {
			out.Owner, out.Version = stat.EphemeralOwner, stat.Version
			out.Content, out.Valid = membership.ParseEntry(data)
		}
	case membership.Create:
		err = r.create(s.Content.Append(nil))
	case membership.Replace:
		_, err = r.conn.Multi(&zk.DeleteRequest{Path: r.path, Version: s.Version},
			&zk.CreateRequest{Path: r.path, Data: s.Content.Append(nil), Acl: aclFor(r.auth), Flags: zk.FlagEphemeral})
	case membership.Write:
		_, err = r.conn.Set(r.path, s.Content.Append(nil), s.Version)
	case membership.Remove:
		err = r.conn.Delete(r.path, s.Version)
	}
	out.Code = resultCode(err)
	return out, err
}

// resultCode translates an error of the library to a code for the machine.
func resultCode(err error) membership.Code {
	switch {
	case err == nil:
		return membership.OK
	case errors.Is(err, zk.ErrNoNode):
		return membership.NotFound
	case errors.Is(err, zk.ErrNodeExists), errors.Is(err, zk.ErrBadVersion):
		return membership.Conflict
	case errors.Is(err, zk.ErrConnectionClosed), errors.Is(err, zk.ErrClosing), errors.Is(err, zk.ErrSessionExpired),
		errors.Is(err, zk.ErrSessionMoved), errors.Is(err, zk.ErrNoServer):
		return membership.ConnectionLost
	}
	return membership.Failed
}

// create creates the znode, and its missing parents, which are persistent.
func (r *Registration) create(data []byte) error {
	acl := aclFor(r.auth)
	for i := 1; i < len(r.path); i++ {
		if r.path[i] != '/' {
			continue
		}
		if _, err := r.conn.Create(r.path[:i], nil, 0, acl); err != nil && !errors.Is(err, zk.ErrNodeExists) {
			return err
		}
	}
	_, err := r.conn.Create(r.path, data, zk.FlagEphemeral, acl)
	return err
}

// maxChildren is the maximum number of znodes that ReadChildren reads.
const maxChildren = 64

// ReadChildren returns the data of at most maxChildren znodes under parent, without checking it. It returns an error if
// the ensemble has not answered at the deadline, in Unix milliseconds. On other errors it also returns what it has
// read.
func ReadChildren(servers []string, sessionMs float64, parent string, deadline float64) ([][]byte, error) {
	conn, _, err := zk.Connect(servers, time.Duration(sessionMs*float64(time.Millisecond)), zk.WithLogInfo(false),
		zk.WithLogger(noLog{}), zk.WithMaxBufferSize(maxPacketBytes))
	if err != nil {
		return nil, err
	}
	type result struct {
		data [][]byte
		err  error
	}
	done := make(chan result, 1)
	go func() {
		var found result
		names, _, err := conn.Children(parent)
		found.err = err
		for _, n := range names[:min(len(names), maxChildren)] {
			if data, _, err := conn.Get(parent + "/" + n); err == nil {
				found.data = append(found.data, data)
			} else if !errors.Is(err, zk.ErrNoNode) {
				found.err = err
				break
			}
		}
		done <- found
	}()
	defer conn.Close()
	select {
	case found := <-done:
		if errors.Is(found.err, zk.ErrNoNode) {
			found.err = nil // no node has registered yet
		}
		return found.data, found.err
	case <-time.After(time.Until(clock.Time(deadline))):
		return nil, errors.New("the ensemble did not answer before the deadline")
	}
}
