package node

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"whinrudder/internal/core"
	"whinrudder/internal/door"
	"whinrudder/internal/kept"
	"whinrudder/internal/membership"
	"whinrudder/internal/ops"
	"whinrudder/internal/storage"
	"whinrudder/internal/warmup"
	"whinrudder/internal/zk"
)

// A Part is a subsystem that lives beside the service: it is started once the fronts listen, and told of what becomes of
// the node. None of its methods may wait for a socket, but Ended, which has until an absolute time.
type Part interface {
	Ready(cold bool)    // the worker pool is up
	Reload()            // SIGHUP came and the new file holds
	Succeeded(on bool)  // another process of the node takes over, or is lost
	Leaving(by float64) // the node drains; what others know of it should be gone by then
	Ended(by float64)   // all is answered
}

// start starts the parts that the operator's file turns on.
func (n *Node) start() error {
	if n.up != nil {
		n.parts = append(n.parts, n.up)
	}
	if n.cfg.Admin != "" {
		d, err := door.Open(n.cfg.Admin, operators{n}, n.log)
		if err != nil {
			return err
		}
		n.addrs["admin"] = d.Addr()
		n.parts = append(n.parts, opened{d})
	}
	peerAddr := ""
	if n.op.Peer.On() {
		h := warmup.Host{Name: n.cfg.Name, Terms: n.present, Seed: n.cfg.Seed,
			Tell: n.tell, Log: n.log, InHand: n.InHand}
		if len(n.op.Ensemble) > 0 {
			h.Find = n.findDonors
		}
		h.Listen = func(addr string) (net.Listener, error) { return n.listen("peer", addr) }
		w, err := warmup.Start(h, n.op.Peer)
		if err != nil {
			return err
		}
		n.peerAddr = w.Addr()
		peerAddr = n.op.Peer.Listen
		n.parts = append(n.parts, learning{w})
	}
	if len(n.op.Ensemble) > 0 {
		n.parts = append(n.parts, &registered{node: n, self: membership.Entry{Name: n.cfg.Name, Listen: n.cfg.Listen, UWSGI: n.op.UWSGI,
			H2C: n.op.H2C, Peer: peerAddr, Start: membership.NewStartID(now(), rand.Uint64())}})
	}
	return nil
}

// KeepIn lets results be kept in folders of another kind than those of the disk. It must be called before Listen.
func (n *Node) KeepIn(at func(path string) (storage.Dir, error)) { n.folderAt = at }

// keep recovers the operations whose results are kept, before any request is read; where another process of the node is
// there, once that gives them up.
func (n *Node) keep() error {
	if !n.op.Kept.On() {
		return nil
	}
	dir, err := n.folderAt(n.op.Kept.Dir)
	if err != nil {
		return err
	}
	host := kept.Host{Name: n.cfg.Name, Send: n.tell, Log: n.log}
	h := kept.NewOwner(host, n.op.Kept.Dir, func(now float64) (*kept.Store, *ops.Table, error) {
		return kept.Open(host, dir, n.op.Kept, now)
	})
	t, err := h.Start(n.taken != nil)
	if err != nil {
		return fmt.Errorf("kept: %w", err)
	}
	n.core.KeepResults(t, n.site.Terms().Kept)
	n.holder, n.parts = h, append(n.parts, h)
	return nil
}

// parted tells all parts something.
func (n *Node) parted(tell func(Part)) {
	for _, p := range n.parts {
		tell(p)
	}
}

// findDonors reads the peer addresses of the other nodes from their znodes.
func (n *Node) findDonors(by float64) (addrs []string, err error) {
	found, err := zk.Find(n.op.Ensemble, n.op.SessionMs, n.op.Path, by)
	for _, data := range found {
		if e, ok := membership.ParseEntry(data); ok && e.Name != n.cfg.Name && e.Peer != "" {
			addrs = append(addrs, e.Peer)
		}
	}
	return addrs, err
}

// learning is what the node learns from others and gives to them.
type learning struct{ *warmup.WarmUp }

func (l learning) Leaving(float64) { l.WarmUp.Leaving() }
func (learning) Succeeded(bool)    {}

// registered is the node's znode.
type registered struct {
	node  *Node
	self  membership.Entry
	mu    sync.Mutex
	znode *zk.Registration
}

// entry returns the registration, or nil.
func (m *registered) entry() *zk.Registration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.znode
}

func (m *registered) Ready(bool) {
	if !m.node.taking.Load() {
		return
	}
	auth, err := zk.ReadAuth(m.node.op.AuthFile)
	if err != nil {
		m.node.log("zk", "path", m.node.op.Path, "code", "off", "error", err)
		return
	}
	r := zk.Register(m.node.op.Ensemble, m.node.op.SessionMs, m.node.op.Path, m.self, auth, m.node.log)
	r.Drain(m.node.away.Load())
	m.mu.Lock()
	m.znode = r
	m.mu.Unlock()
}

func (m *registered) Reload() {}

func (m *registered) Succeeded(on bool) {
	if r := m.entry(); r != nil {
		r.Yield(on)
	}
}

func (m *registered) Leaving(by float64) {
	if r := m.entry(); r != nil {
		r.Leave(by)
	}
}

func (m *registered) Drained(on bool) {
	if r := m.entry(); r != nil {
		r.Drain(on)
	}
}

func (m *registered) Ended(float64) {}

// opened is the operators' door.
type opened struct{ *door.Door }

func (opened) Ready(bool)         {}
func (opened) Reload()            {}
func (opened) Succeeded(bool)     {}
func (opened) Leaving(float64)    {}
func (o opened) Ended(by float64) { o.Close(by) }

// operators is what the door asks the node.
type operators struct{ *Node }

// Ready tells whether the process can serve and, where it succeeds another, that one may be told to leave.
func (o operators) Ready() bool {
	return o.serving.Load() && o.taking.Load() && (o.up == nil || o.up.Settled())
}

func (o operators) AppendFigures(b []byte) []byte { return o.figures.AppendText(b, o.InHand()) }

func (o operators) Drain(on bool, by float64) bool {
	done := make(chan struct{})
	late := time.NewTimer(time.Until(at(by)))
	defer late.Stop()
	select {
	case o.in <- core.OperatorDrain{On: on, Done: func() { o.sentAway(on); close(done) }}:
	case <-o.over:
		return false
	case <-late.C:
		return false
	}
	select {
	case <-done:
		return true
	case <-o.over:
		return false
	case <-late.C:
		return false
	}
}

// sentAway notes that operators have sent the clients away, or taken them back. It is called by the core and does not wait.
func (n *Node) sentAway(on bool) {
	n.away.Store(on)
	n.parted(func(p Part) {
		if d, ok := p.(interface{ Drained(on bool) }); ok {
			d.Drained(on)
		}
	})
}
