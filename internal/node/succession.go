package node

import (
	"errors"
	"net"
	"os"
	"time"

	"whinrudder/internal/core"
	"whinrudder/internal/front"
	"whinrudder/internal/handover"
	"whinrudder/internal/httpfront"
	"whinrudder/internal/knowledge"
	"whinrudder/internal/upgrade"
)

// holdFor is how often an accept that is held back looks whether it may go on, in milliseconds.
const holdFor = 20

// succession is what a node knows of the processes before and after it.
type succession struct {
	up     *upgrade.Upgrade // nil: off
	taken  *upgrade.Handoff // what the process before gave; nil: none was there
	beside bool             // another process has a part of the descriptors; of Node.mu
}

// succeed looks for a running process of this node and takes over its listening sockets. They are not used before this
// process can serve.
func (n *Node) succeed() (err error) {
	if n.op.UpgradeDir == "" {
		return nil
	}
	n.up = upgrade.New(upgrade.Host{Name: n.cfg.Name, Dir: n.op.UpgradeDir, ListenAddrs: n.listens, Submit: n.tell, Log: n.log, CurrentSettings: n.present,
		Listeners: n.tcpListeners, OperatorDrained: n.away.Load, SuccessorChanged: n.succeeded, PredecessorEnded: n.alone, AdoptConn: n.moved})
	if n.taken, err = n.up.TakeOver(); err != nil || n.taken == nil {
		return err
	}
	n.share(true)
	if n.taken.OperatorDrained {
		n.in <- core.OperatorDrain{On: true, Done: func() { n.away.Store(true) }}
	}
	names, s := n.present()
	prior, remarks := knowledge.Merge(knowledge.DefaultTrustParams, knowledge.Recipient{ClassNames: names, Settings: s}, []knowledge.Report{n.taken.Report})
	for _, r := range remarks {
		n.log("prior", r.Pairs()...)
	}
	if !prior.Empty() {
		n.in <- core.AdoptPrior{Prior: prior}
	}
	return nil
}

// listens returns where the node listens, by front, or is to listen.
func (n *Node) listens() map[string]string {
	addrs := map[string]string{"http": n.cfg.Listen, "h2c": n.op.H2C, "uwsgi": n.op.UWSGI, "peer": n.op.Peer.Listen}
	n.mu.Lock()
	defer n.mu.Unlock()
	for name, l := range n.sockets {
		addrs[name] = l.Addr().String()
	}
	return addrs
}

// listen opens a listener, or takes that of the process before.
func (n *Node) listen(name, addr string) (net.Listener, error) {
	var l net.Listener
	if n.taken != nil && n.taken.Listeners[name] != nil {
		l = n.taken.Listeners[name]
	} else {
		var err error
		if l, err = net.Listen("tcp", addr); err != nil {
			return nil, err
		}
	}
	n.mu.Lock()
	n.sockets[name] = l
	n.mu.Unlock()
	return l, nil
}

func (n *Node) tcpListeners() map[string]*net.TCPListener {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := map[string]*net.TCPListener{}
	for name, l := range n.sockets {
		if t, ok := l.(*net.TCPListener); ok {
			out[name] = t
		}
	}
	return out
}

// succeeded holds back new connections and hands over those at rest, or, if the successor is lost, goes on as before.
func (n *Node) succeeded(on bool) {
	n.moving.Store(on)
	n.share(on)
	n.parted(func(p Subsystem) { p.SuccessorChanged(on) })
	if !on {
		n.reports.now()
		return
	}
	n.mu.Lock()
	for _, l := range n.listeners {
		if t, ok := l.(*net.TCPListener); ok {
			t.SetDeadline(past)
		}
	}
	n.mu.Unlock()
	n.conns.leaveAll()
}

// held waits while a successor takes the new connections. It returns false if the listener is closed, or the error is
// another.
func (n *Node) held(l net.Listener, err error) bool {
	t, ok := l.(*net.TCPListener)
	if !ok || !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	for n.moving.Load() && !n.ended() {
		time.Sleep(time.Until(at(now() + holdFor)))
	}
	return t.SetDeadline(time.Time{}) == nil
}

// share halves the descriptors and the memory while another process of this node is there, which has the other half.
func (n *Node) share(on bool) {
	n.mu.Lock()
	n.beside = on
	n.mu.Unlock()
	n.grant()
}

// grant keeps the process within what the last configuration gives it, and its part of that.
func (n *Node) grant() {
	n.mu.Lock()
	cfg, beside := n.granted, n.beside
	n.mu.Unlock()
	n.conns.limit(n.mostConns(cfg, beside))
	limits(cfg, n.op, beside)
}

// leave is how long the node has to the end, and whether a successor is there.
type leave struct {
	ms        float64
	succeeded bool
}

// alone tells that the process before has ended.
func (n *Node) alone() { n.share(false) }

// leaveNow returns what the notice to leave means at this moment.
func (n *Node) leaveNow() leave {
	if n.up == nil || !n.up.HasSuccessor() {
		return leave{n.stopAfter(), false}
	}
	_, s := n.present()
	return leave{handover.GraceMs(s.Classes), true}
}

// moves hands a connection at rest to a successor. It tells true if the connection is the successor's now.
func (k *conn) moves() bool {
	s, ok := k.proto.(*front.SerialConn)
	if !ok || k.front != "http" || len(k.open) > 0 || !s.Idle() {
		return false
	}
	served, since := s.Served()
	return k.node.up.HandOffConn(k.c, handover.Conn{Front: k.front, Served: served, Since: since})
}

// moved takes a connection of the process before.
func (n *Node) moved(c net.Conn, how handover.Conn) bool {
	if how.Front != "http" {
		return false
	}
	k := &conn{node: n, c: c, front: how.Front, proto: front.ResumeSerialConn(httpfront.New(n.site), how.Served, min(how.Since, now()))}
	if !n.conns.add(k) {
		return false
	}
	n.conns.rest(k, place{spoke: how.Served > 0, since: min(how.Since, now())})
	go k.serve()
	return true
}
