// Package zk registers a node in a ZooKeeper ensemble: an ephemeral znode that stands while the node serves. It
// runs beside the service and never in its way: an ensemble that is lost, slow or full costs the znode alone.
package zk

import (
	"errors"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-zookeeper/zk"

	"whinrudder/internal/eventlog"
)

// again is the pause before a step that failed is tried once more, in milliseconds.
const again = 1000

// maxPacket bounds what is read from the ensemble at a time.
const maxPacket = 64 << 10

// Registration is one znode. Create it with Register.
type Registration struct {
	conn  *zk.Conn
	path  string
	data  []byte
	log   eventlog.Log
	nudge chan struct{}
	leave chan float64

	yielded atomic.Bool // another process of the node has the znode
}

// Register makes the znode parent/name with the data, and again after each expiry of its session or if somebody
// removes it. It returns at once. The ensemble removes the znode sessionMs after it heard of the node last.
func Register(servers []string, sessionMs float64, parent, name string, data []byte,
	log eventlog.Log) *Registration {
	r := &Registration{path: parent + "/" + name, data: data, log: log, nudge: make(chan struct{}, 1),
		leave: make(chan float64, 1)}
	conn, _, err := zk.Connect(servers, time.Duration(sessionMs*float64(time.Millisecond)), zk.WithLogInfo(false),
		zk.WithLogger(quiet{}), zk.WithMaxBufferSize(maxPacket), zk.WithEventCallback(r.event))
	if err != nil {
		log("zk", "path", r.path, "code", "off", "error", err)
		return r
	}
	r.conn = conn
	go r.run()
	return r
}

// Leave removes the znode. It returns at once; by is the absolute time, in Unix milliseconds, at which the
// connection is given up if the ensemble does not answer.
func (r *Registration) Leave(by float64) {
	select {
	case r.leave <- by:
	default:
	}
}

// Yield leaves the znode to another process of the same node, or takes it back. The session goes on: it keeps no znode
// that the other has made its own.
func (r *Registration) Yield(on bool) {
	r.yielded.Store(on)
	if !on {
		r.poke()
	}
}

func (r *Registration) poke() {
	select {
	case r.nudge <- struct{}{}:
	default:
	}
}

// quiet drops the library's remarks: what matters is told by events.
type quiet struct{}

func (quiet) Printf(string, ...any) {}

// event notes what happens to the session. It is called by the library and must not wait.
func (r *Registration) event(e zk.Event) {
	switch {
	case e.Type == zk.EventSession && e.State == zk.StateExpired:
		r.log("zk", "path", r.path, "code", "expired")
	case e.Type == zk.EventSession && e.State == zk.StateDisconnected:
		r.log("zk", "path", r.path, "code", "disconnected")
	case e.Type == zk.EventSession && e.State == zk.StateHasSession, e.Type == zk.EventNodeDeleted:
		r.poke()
	}
}

func (r *Registration) run() {
	retry := time.NewTimer(time.Hour)
	for {
		select {
		case by := <-r.leave:
			if r.yielded.Load() {
				r.log("zk", "path", r.path, "code", "yielded")
				r.conn.Close()
				return
			}
			time.AfterFunc(time.Until(time.UnixMicro(int64(by*1e3))), r.conn.Close)
			err := r.conn.Delete(r.path, -1)
			r.log("zk", "path", r.path, "code", "removed", "error", text(err))
			r.conn.Close()
			return
		case <-r.nudge:
		case <-retry.C:
		}
		if r.yielded.Load() {
			continue
		}
		if err := r.ensure(); err != nil {
			r.log("zk", "path", r.path, "code", "failed", "error", err)
			retry.Reset(again * time.Millisecond)
		}
	}
}

func text(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// ensure sees to it that the znode is there and is this session's. One of an earlier life of this node would
// vanish with that life's session, and the node would serve unseen.
func (r *Registration) ensure() error {
	acl := zk.WorldACL(zk.PermAll)
	for range 3 {
		there, stat, err := r.conn.Exists(r.path)
		if err != nil {
			return err
		}
		if there && stat.EphemeralOwner == r.conn.SessionID() {
			// Watched from here on: the loss of the znode is an event that nudges.
			_, _, _, err := r.conn.ExistsW(r.path)
			return err
		}
		if there {
			if err := r.conn.Delete(r.path, stat.Version); err != nil && !errors.Is(err, zk.ErrNoNode) {
				return err
			}
		}
		for i := 1; i < len(r.path); i++ { // the parents, persistent
			if r.path[i] != '/' {
				continue
			}
			if _, err := r.conn.Create(r.path[:i], nil, 0, acl); err != nil && !errors.Is(err, zk.ErrNodeExists) {
				return err
			}
		}
		if _, err := r.conn.Create(r.path, r.data, zk.FlagEphemeral, acl); err == nil {
			r.log("zk", "path", r.path, "code", "registered")
		} else if !errors.Is(err, zk.ErrNodeExists) {
			return err
		}
	}
	return errors.New("the znode changes hands: " + strings.TrimPrefix(r.path, "/"))
}

// maxFound bounds the znodes that Find reads.
const maxFound = 64

// Find returns the data of the znodes under a parent, at most maxFound of them, each as it stands. It ends by an absolute
// time in Unix milliseconds, with what it has read by then.
func Find(servers []string, sessionMs float64, parent string, by float64) ([][]byte, error) {
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
