package node

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"whinrudder/internal/admin"
	"whinrudder/internal/core"
	"whinrudder/internal/kept"
	"whinrudder/internal/membership"
	"whinrudder/internal/ops"
	"whinrudder/internal/storage"
	"whinrudder/internal/warmup"
	"whinrudder/internal/zk"
)

// A Subsystem is a subsystem that lives beside the service: it is started once the fronts listen, and told of what becomes of
// the node. None of its methods may wait for a socket, but EndShutdown, which has until an absolute time.
type Subsystem interface {
	Ready(cold bool)          // the worker pool is up
	Reload()                  // SIGHUP came and the new file holds
	SuccessorChanged(on bool) // another process of the node takes over, or is lost
	BeginShutdown(by float64) // the node drains; what others know of it should be gone by then
	EndShutdown(by float64)   // all is answered
}

// start starts the parts that the operator's file turns on.
func (n *Node) start() error {
	if n.up != nil {
		n.parts = append(n.parts, n.up)
	}
	if n.cfg.Admin != "" {
		d, err := admin.Listen(n.cfg.Admin, operators{n}, n.log)
		if err != nil {
			return err
		}
		n.addrs["admin"] = d.Addr()
		n.parts = append(n.parts, opened{d})
	}
	peerAddr := ""
	if n.op.Peer.Enabled() {
		h := warmup.Host{Name: n.cfg.Name, CurrentSettings: n.present, Seed: n.cfg.Seed,
			Submit: n.tell, Log: n.log, PendingRequests: n.PendingRequests}
		if len(n.op.Ensemble) > 0 {
			h.DiscoverSources = n.findDonors
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

// SetFolderOpener lets results be kept in folders of another kind than those of the disk. It must be called before Listen.
func (n *Node) SetFolderOpener(at func(path string) (storage.Dir, error)) { n.folderAt = at }

// keep recovers the operations whose results are kept, before any request is read; where another process of the node is
// there, once that gives them up.
func (n *Node) keep() error {
	if !n.op.Kept.Enabled() {
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
	n.core.KeepResults(t, n.site.Config().KeptClasses)
	n.holder, n.parts = h, append(n.parts, h)
	return nil
}

// parted tells all parts something.
func (n *Node) parted(tell func(Subsystem)) {
	for _, p := range n.parts {
		tell(p)
	}
}

// findDonors reads the peer addresses of the other nodes from their znodes.
func (n *Node) findDonors(by float64) (addrs []string, err error) {
	found, err := zk.ReadChildren(n.op.Ensemble, n.op.SessionMs, n.op.ZNodePath, by)
	for _, data := range found {
		if e, ok := membership.ParseEntry(data); ok && e.Name != n.cfg.Name && e.Peer != "" {
			addrs = append(addrs, e.Peer)
		}
	}
	return addrs, err
}

// learning is what the node learns from others and gives to them.
type learning struct{ *warmup.WarmUp }

func (l learning) BeginShutdown(float64) { l.WarmUp.BeginShutdown() }
func (learning) SuccessorChanged(bool)   {}

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
		m.node.log("zk", "path", m.node.op.ZNodePath, "code", "off", "error", err)
		return
	}
	r := zk.Register(m.node.op.Ensemble, m.node.op.SessionMs, m.node.op.ZNodePath, m.self, auth, m.node.log)
	r.SetDraining(m.node.away.Load())
	m.mu.Lock()
	m.znode = r
	m.mu.Unlock()
}

func (m *registered) Reload() {}

func (m *registered) SuccessorChanged(on bool) {
	if r := m.entry(); r != nil {
		r.SetYielded(on)
	}
}

func (m *registered) BeginShutdown(by float64) {
	if r := m.entry(); r != nil {
		r.Remove(by)
	}
}

func (m *registered) SetOperatorDrain(on bool) {
	if r := m.entry(); r != nil {
		r.SetDraining(on)
	}
}

func (m *registered) EndShutdown(float64) {}

// opened is the operators' door.
type opened struct{ *admin.Server }

func (opened) Ready(bool)               {}
func (opened) Reload()                  {}
func (opened) SuccessorChanged(bool)    {}
func (opened) BeginShutdown(float64)    {}
func (o opened) EndShutdown(by float64) { o.Close(by) }

// operators is what the door asks the node.
type operators struct{ *Node }

// Ready tells whether the process can serve and, where it succeeds another, that one may be told to leave.
func (o operators) Ready() bool {
	return o.serving.Load() && o.taking.Load() && (o.up == nil || o.up.TakeoverAcknowledged())
}

func (o operators) AppendMetrics(b []byte) []byte {
	return o.figures.AppendText(b, o.PendingRequests())
}

func (o operators) SetDraining(on bool, by float64) bool {
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
	n.parted(func(p Subsystem) {
		if d, ok := p.(interface{ SetOperatorDrain(on bool) }); ok {
			d.SetOperatorDrain(on)
		}
	})
}
