package node

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"whinrudder/internal/admin"
	"whinrudder/internal/clock"
	"whinrudder/internal/core"
	"whinrudder/internal/kept"
	"whinrudder/internal/membership"
	"whinrudder/internal/ops"
	"whinrudder/internal/storage"
	"whinrudder/internal/warmup"
	"whinrudder/internal/zk"
)

// Subsystem is an optional part of the node. It is started once the fronts listen and is notified of changes in
// the node's state. Its methods must not wait for a socket, except EndShutdown, which has until an absolute
// time.
type Subsystem interface {
	Ready(cold bool)          // the worker pool is up
	Reload()                  // a reloaded configuration was applied
	SuccessorChanged(on bool) // a successor process takes over (true) or was lost (false)
	BeginShutdown(by float64) // the drain starts; what others were told about the node is withdrawn by then
	EndShutdown(by float64)   // all requests are answered
}

// startSubsystems starts the subsystems that the configuration and the operator's file enable.
func (n *Node) startSubsystems() error {
	if n.upgrade != nil {
		n.subsystems = append(n.subsystems, n.upgrade)
	}
	if n.cfg.Admin != "" {
		server, err := admin.Listen(n.cfg.Admin, adminNode{n}, n.log)
		if err != nil {
			return err
		}
		n.addrs["admin"] = server.Addr()
		n.subsystems = append(n.subsystems, adminSubsystem{server})
	}
	peerAddr := ""
	if n.op.Peer.Enabled() {
		h := warmup.Host{Name: n.cfg.Name, CurrentSettings: n.currentSettings, Seed: n.cfg.Seed,
			Submit: n.submit, Log: n.log, PendingRequests: n.PendingRequests}
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
		n.subsystems = append(n.subsystems, warmUpSubsystem{w})
	}
	if len(n.op.Ensemble) > 0 {
		n.subsystems = append(n.subsystems, &znodeSubsystem{node: n, self: membership.Entry{Name: n.cfg.Name,
			Listen: n.cfg.Listen, UWSGI: n.op.UWSGI, H2C: n.op.H2C, Peer: peerAddr,
			Start: membership.NewStartID(clock.Now(), rand.Uint64())}})
	}
	return nil
}

// SetFolderOpener replaces the function that opens the directory of kept results, by default one on disk. It
// must be called before Listen.
func (n *Node) SetFolderOpener(open func(path string) (storage.Dir, error)) { n.openDir = open }

// openKeptResults recovers the operations whose results are kept, before any request is read. If a predecessor
// process is running, the recovery happens once that has released them.
func (n *Node) openKeptResults() error {
	if !n.op.Kept.Enabled() {
		return nil
	}
	dir, err := n.openDir(n.op.Kept.Dir)
	if err != nil {
		return err
	}
	host := kept.Host{Name: n.cfg.Name, Send: n.sendKept, Log: n.log}
	h := kept.NewOwner(host, n.op.Kept.Dir, func(now float64) (*kept.Store, *ops.Table, error) {
		return kept.Open(host, dir, n.op.Kept, now)
	})
	t, err := h.Start(n.handoff != nil)
	if err != nil {
		return fmt.Errorf("kept: %w", err)
	}
	n.core.KeepResults(t, n.validator.Config().KeptClasses)
	n.keptOwner, n.subsystems = h, append(n.subsystems, h)
	return nil
}

// sendKept passes an input about kept results to the core. Once that has the journal of a predecessor, the results of runs that
// outlive that process are read.
func (n *Node) sendKept(i core.Input) {
	adopted, ok := i.(core.AdoptOps)
	if !ok {
		n.submit(i)
		return
	}
	_, inDoubt, _, _ := adopted.Table.Counts()
	n.submit(i)
	n.lateResults.journalOpened(inDoubt)
}

// eachSubsystem calls do for every subsystem.
func (n *Node) eachSubsystem(do func(Subsystem)) {
	for _, s := range n.subsystems {
		do(s)
	}
}

// findDonors returns the peer addresses of the other nodes, which it reads from their znodes.
func (n *Node) findDonors(by float64) (addrs []string, err error) {
	found, err := zk.ReadChildren(n.op.Ensemble, n.op.SessionMs, n.op.ZNodePath, by)
	for _, data := range found {
		if e, ok := membership.ParseEntry(data); ok && e.Name != n.cfg.Name && e.Peer != "" {
			addrs = append(addrs, e.Peer)
		}
	}
	return addrs, err
}

// warmUpSubsystem exchanges learned state with other nodes.
type warmUpSubsystem struct{ *warmup.WarmUp }

func (w warmUpSubsystem) BeginShutdown(float64) { w.WarmUp.BeginShutdown() }
func (warmUpSubsystem) SuccessorChanged(bool)   {}

// znodeSubsystem registers the node in ZooKeeper.
type znodeSubsystem struct {
	node  *Node
	self  membership.Entry
	mu    sync.Mutex       // guards znode
	znode *zk.Registration // nil until the node is ready
}

// registration returns the registration, or nil.
func (z *znodeSubsystem) registration() *zk.Registration {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.znode
}

func (z *znodeSubsystem) Ready(bool) {
	if !z.node.accepting.Load() {
		return
	}
	auth, err := zk.ReadAuth(z.node.op.AuthFile)
	if err != nil {
		z.node.log("zk", "path", z.node.op.ZNodePath, "code", "off", "error", err)
		return
	}
	r := zk.Register(z.node.op.Ensemble, z.node.op.SessionMs, z.node.op.ZNodePath, z.self, auth, z.node.log)
	z.mu.Lock()
	z.znode = r
	z.mu.Unlock()
	r.SetDraining(z.node.operatorDrain().On) // after z.znode is set: a later order finds it there
}

func (z *znodeSubsystem) Reload() {}

func (z *znodeSubsystem) SuccessorChanged(on bool) {
	if r := z.registration(); r != nil {
		r.SetYielded(on)
	}
}

func (z *znodeSubsystem) BeginShutdown(by float64) {
	if r := z.registration(); r != nil {
		r.Remove(by)
	}
}

func (z *znodeSubsystem) SetOperatorDrain(on bool) {
	if r := z.registration(); r != nil {
		r.SetDraining(on)
	}
}

func (z *znodeSubsystem) EndShutdown(float64) {}

// adminSubsystem is the admin port.
type adminSubsystem struct{ *admin.Server }

func (adminSubsystem) Ready(bool)               {}
func (adminSubsystem) Reload()                  {}
func (adminSubsystem) SuccessorChanged(bool)    {}
func (adminSubsystem) BeginShutdown(float64)    {}
func (a adminSubsystem) EndShutdown(by float64) { a.Close(by) }

// adminNode is the node as the admin port sees it.
type adminNode struct{ *Node }

// Ready reports whether the process can serve. If it takes over from a predecessor, the handover must have gone
// far enough that the predecessor may be told to stop.
func (a adminNode) Ready() bool {
	return a.serving.Load() && a.accepting.Load() && (a.upgrade == nil || a.upgrade.TakeoverAcknowledged())
}

func (a adminNode) AppendMetrics(b []byte) []byte {
	return a.counters.AppendText(b, a.PendingRequests())
}

func (a adminNode) AppendRuns(b []byte) []byte { return a.counters.AppendRuns(b) }

// SetDraining gives an order of the operators to the core. When it returns true, the order holds, and the other process of
// the node, if there is one, has been told.
func (a adminNode) SetDraining(on bool, by float64) bool {
	done := make(chan struct{})
	timeout := time.NewTimer(time.Until(clock.Time(by)))
	defer timeout.Stop()
	order := core.OperatorDrain{DrainState: core.DrainState{On: on},
		Done: func(s core.DrainState) { a.setOperatorDrain(s); close(done) }}
	select {
	case a.inputs <- order:
	case <-a.done:
		return false
	case <-timeout.C:
		return false
	}
	select {
	case <-done:
	case <-a.done:
		return false
	case <-timeout.C:
		return false
	}
	if a.upgrade != nil {
		a.upgrade.ShareOperatorDrain(by)
	}
	return true
}

// operatorDrain returns whether operators have drained the node.
func (n *Node) operatorDrain() core.DrainState {
	if s := n.drainState.Load(); s != nil {
		return *s
	}
	return core.DrainState{}
}

// setOperatorDrain notes whether operators have drained the node. It is called by the core and does not block.
func (n *Node) setOperatorDrain(s core.DrainState) {
	n.drainState.Store(&s)
	n.eachSubsystem(func(sub Subsystem) {
		if d, ok := sub.(interface{ SetOperatorDrain(on bool) }); ok {
			d.SetOperatorDrain(s.On)
		}
	})
}

// operatorDrainReported passes what the other process of the node knows of the operators' orders to the core, if that is
// later than what this process knows.
func (n *Node) operatorDrainReported(s core.DrainState) {
	if s.Supersedes(n.operatorDrain()) {
		n.submit(core.OperatorDrain{DrainState: s, Done: n.setOperatorDrain})
	}
}
