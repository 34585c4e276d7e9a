// Package zk registers a node in a ZooKeeper ensemble: an ephemeral znode that stands while the node serves. It
// runs beside the service and never in its way: an ensemble that is lost, slow or full costs the znode alone.
package zk

import (
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/go-zookeeper/zk"

	"whinrudder/internal/eventlog"
	"whinrudder/internal/membership"
)

// maxPacket bounds what is read from the ensemble at a time.
const maxPacket = 64 << 10

// Registration is one znode. Create it with Register.
type Registration struct {
	conn  *zk.Conn
	path  string
	auth  []byte // for the ensemble; nil: none
	known bool   // the ensemble has it; of the goroutine of the steps
	log   eventlog.Log
	nudge chan struct{}
	over  chan struct{} // closed at the end
	ready chan struct{} // closed once conn is set

	mu      sync.Mutex // of all below
	machine *membership.Machine
	phase   membership.Phase // as it was logged last
}

func now() float64 { return float64(time.Now().UnixNano()) / 1e6 }

func at(ms float64) time.Time { return time.UnixMicro(int64(ms * 1e3)) }

// Register makes the znode parent/name with the entry, and again after each expiry of its session or if somebody
// removes it, with the credentials that ReadAuth returns. It returns at once. The ensemble removes the znode sessionMs after it heard of the node last.
func Register(servers []string, sessionMs float64, parent string, self membership.Entry, auth []byte, log eventlog.Log) *Registration {
	r := &Registration{path: parent + "/" + self.Name, auth: auth, log: log, nudge: make(chan struct{}, 1), over: make(chan struct{}), ready: make(chan struct{}),
		machine: membership.New(self, sessionMs, rand.Uint64())}
	conn, _, err := zk.Connect(servers, time.Duration(sessionMs*float64(time.Millisecond)), zk.WithLogInfo(false),
		zk.WithLogger(quiet{}), zk.WithMaxBufferSize(maxPacket), zk.WithEventCallback(r.event), zk.WithDialer(r.dial))
	if err != nil {
		log("zk", "path", r.path, "code", "off", "error", err)
		return r
	}
	r.conn = conn
	close(r.ready)
	go r.run()
	return r
}

// tell tells the machine something, and lets the goroutine of the steps look again.
func (r *Registration) tell(what func(m *membership.Machine, now float64)) {
	r.mu.Lock()
	what(r.machine, now())
	r.mu.Unlock()
	select {
	case r.nudge <- struct{}{}:
	default:
	}
}

// SetDraining marks the node as draining, or takes that back.
func (r *Registration) SetDraining(on bool) {
	r.tell(func(m *membership.Machine, now float64) { m.Drain(now, on) })
}

// Remove marks the node as draining and removes the znode at an absolute time, in Unix milliseconds. It returns at once. Where the
// ensemble does not answer, the connection is given up leaveFor later.
func (r *Registration) Remove(by float64) {
	if r.conn != nil { // a step that is out may wait for longer
		time.AfterFunc(time.Until(at(by+leaveFor)), r.conn.Close)
	}
	r.tell(func(m *membership.Machine, now float64) { m.Leave(now, by) })
}

// leaveFor is how long the removal may take, in milliseconds.
const leaveFor = 500

// SetYielded leaves the znode to another process of the same node, or takes it back. The session goes on: it keeps no znode
// that the other has made its own.
func (r *Registration) SetYielded(on bool) {
	r.tell(func(m *membership.Machine, now float64) { m.Yield(now, on) })
}

// quiet drops the library's remarks: what matters is told by events.
type quiet struct{}

func (quiet) Printf(string, ...any) {}

// event notes what happens to the session. It is called by the library and must not wait.
func (r *Registration) event(e zk.Event) {
	switch {
	case e.Type == zk.EventSession && e.State == zk.StateExpired:
		r.log("zk", "path", r.path, "code", "expired")
		r.tell((*membership.Machine).ConnectionClosed)
	case e.Type == zk.EventSession && e.State == zk.StateDisconnected:
		r.log("zk", "path", r.path, "code", "disconnected")
		r.tell((*membership.Machine).ConnectionClosed)
	case e.Type == zk.EventSession && e.State == zk.StateHasSession:
		r.tell(func(m *membership.Machine, now float64) { m.SessionOpened(now, r.conn.SessionID()) })
	case e.Type == zk.EventNodeDeleted, e.Type == zk.EventNodeDataChanged:
		r.tell((*membership.Machine).EntryChanged)
	}
}

// dial waits until the machine lets a connection be tried, and tries it. It is called by the library.
func (r *Registration) dial(network, addr string, wait time.Duration) (net.Conn, error) {
	<-r.ready // no session, and so no event that needs conn, before this
	r.mu.Lock()
	when := r.machine.DialAt(now())
	r.mu.Unlock()
	t := time.NewTimer(time.Until(at(when)))
	defer t.Stop()
	select {
	case <-t.C:
	case <-r.over:
		return nil, net.ErrClosed
	}
	d := net.Dialer{Deadline: time.Now().Add(wait)}
	c, err := d.Dial(network, addr)
	if err != nil {
		r.tell((*membership.Machine).ConnectionClosed)
		return nil, err
	}
	return &bounded{Conn: c}, nil
}

// bounded is a connection whose first frame is within maxPacket: the library trusts the length that it names.
type bounded struct {
	net.Conn
	size uint32
	seen int
}

// Read implements io.Reader.
func (b *bounded) Read(p []byte) (int, error) {
	n, err := b.Conn.Read(p)
	for i := 0; i < n && b.seen < 4; i++ {
		b.size, b.seen = b.size<<8|uint32(p[i]), b.seen+1
	}
	if b.seen == 4 && b.size > maxPacket {
		return 0, errors.New("a frame of an absurd length")
	}
	return n, err
}

// run takes the machine's steps, one at a time.
func (r *Registration) run() {
	wait := time.NewTimer(time.Hour)
	defer wait.Stop()
	for {
		r.mu.Lock()
		t := now()
		s, ok, wake := r.machine.NextStep(t)
		phase, was := r.machine.Phase(), r.phase
		r.phase = phase
		r.mu.Unlock()
		if phase != was && phase == membership.Foreign {
			r.log("zk", "path", r.path, "code", "foreign")
		}
		if ok && s.Action == membership.CloseSession {
			close(r.over)
			r.log("zk", "path", r.path, "code", "left")
			r.conn.Close()
			return
		}
		if ok {
			result, err := r.step(s)
			r.said(s, result, err)
			r.mu.Lock()
			r.machine.StepDone(now(), s, result)
			r.mu.Unlock()
			continue
		}
		if wake > 0 {
			wait.Reset(time.Until(at(wake)))
		} else {
			wait.Reset(time.Hour)
		}
		select {
		case <-r.nudge:
		case <-wait.C:
		}
	}
}

// words are the codes in the log of steps that were taken.
var words = map[membership.Action]string{membership.Create: "registered", membership.Replace: "taken", membership.Write: "written",
	membership.Remove: "removed"}

func (r *Registration) said(s membership.Step, result membership.Result, err error) {
	switch word := words[s.Action]; {
	case result.Code == membership.Failed || result.Code == membership.Conflict:
		r.log("zk", "path", r.path, "code", "failed", "error", err)
	case result.Code == membership.OK && word != "":
		r.log("zk", "path", r.path, "code", word, "draining", s.Content.Draining)
	}
}

// step carries out one step.
func (r *Registration) step(s membership.Step) (out membership.Result, err error) {
	if r.auth != nil && !r.known {
		if err := r.conn.AddAuth("digest", r.auth); err != nil {
			return membership.Result{Code: code(err)}, err
		}
		r.known = true // the library tells it again on each connection
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
		err = r.make(s.Content.Append(nil))
	case membership.Replace:
		_, err = r.conn.Multi(&zk.DeleteRequest{Path: r.path, Version: s.Version},
			&zk.CreateRequest{Path: r.path, Data: s.Content.Append(nil), Acl: rights(r.auth), Flags: zk.FlagEphemeral})
	case membership.Write:
		_, err = r.conn.Set(r.path, s.Content.Append(nil), s.Version)
	case membership.Remove:
		err = r.conn.Delete(r.path, s.Version)
	}
	out.Code = code(err)
	return out, err
}

// code tells what an answer of the ensemble means to the machine.
func code(err error) membership.Code {
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

// make makes the znode, and its parents, which last.
func (r *Registration) make(data []byte) error {
	acl := rights(r.auth)
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

// maxFound bounds the znodes that ReadChildren reads.
const maxFound = 64

// ReadChildren returns the data of the znodes under a parent, at most maxFound of them, each as it stands. It ends by an absolute
// time in Unix milliseconds, with what it has read by then.
func ReadChildren(servers []string, sessionMs float64, parent string, by float64) ([][]byte, error) {
	conn, _, err := zk.Connect(servers, time.Duration(sessionMs*float64(time.Millisecond)), zk.WithLogInfo(false),
		zk.WithLogger(quiet{}), zk.WithMaxBufferSize(maxPacket))
	if err != nil {
		return nil, err
	}
	type answer struct {
		data [][]byte
		err  error
	}
	done := make(chan answer, 1)
	go func() {
		var a answer
		names, _, err := conn.Children(parent)
		a.err = err
		for _, n := range names[:min(len(names), maxFound)] {
			if data, _, err := conn.Get(parent + "/" + n); err == nil {
				a.data = append(a.data, data)
			} else if !errors.Is(err, zk.ErrNoNode) {
				a.err = err
				break
			}
		}
		done <- a
	}()
	defer conn.Close()
	select {
	case a := <-done:
		if errors.Is(a.err, zk.ErrNoNode) {
			a.err = nil // nobody has registered yet
		}
		return a.data, a.err
	case <-time.After(time.Until(time.UnixMicro(int64(by * 1e3)))):
		return nil, errors.New("the ensemble did not answer in time")
	}
}
