package node

import (
	"errors"
	"net"
	"os"
	"time"

	"whinrudder/internal/clock"
	"whinrudder/internal/core"
	"whinrudder/internal/front"
	"whinrudder/internal/handover"
	"whinrudder/internal/httpfront"
	"whinrudder/internal/knowledge"
	"whinrudder/internal/netretry"
	"whinrudder/internal/upgrade"
)

// holdPollMs is how often a paused accept loop checks whether it may continue.
const holdPollMs = 20

// upgradeState is what a node knows about its predecessor and successor processes.
type upgradeState struct {
	upgrade *upgrade.Upgrade // nil: upgrades are off
	handoff *upgrade.Handoff // what the predecessor handed over; nil: there was none
	sharing bool             // another process of the node uses part of the descriptors and memory; guarded by Node.mu
}

// takeOver looks for a running process of this node and takes over its listening sockets. They are not used
// until this process can serve.
func (n *Node) takeOver() (err error) {
	if n.op.UpgradeDir == "" {
		return nil
	}
	n.upgrade = upgrade.New(upgrade.Host{Name: n.cfg.Name, Dir: n.op.UpgradeDir, ListenAddrs: n.listenAddrs,
		Submit: n.submit, Log: n.log, CurrentSettings: n.currentSettings, Listeners: n.tcpListeners,
		OperatorDrain: n.operatorDrain, OperatorDrainReported: n.operatorDrainReported, SuccessorChanged: n.successorChanged,
		PredecessorYielded: n.startAccepting, PoolLinks: n.poolLinks, PoolLinksReported: n.lateResults.report,
		PredecessorEnded: n.predecessorEnded, AdoptConn: n.adoptConn})
	if n.handoff, err = n.upgrade.TakeOver(); err != nil || n.handoff == nil {
		return err
	}
	n.setSharing(true)
	n.operatorDrainReported(n.handoff.Drain)
	names, s := n.currentSettings()
	prior, remarks := knowledge.Merge(knowledge.DefaultTrustParams,
		knowledge.Recipient{ClassNames: names, Settings: s}, []knowledge.Report{n.handoff.Report})
	for _, r := range remarks {
		n.log("prior", r.Pairs()...)
	}
	if !prior.Empty() {
		n.inputs <- core.AdoptPrior{Prior: prior}
	}
	return nil
}

// SuccessorFindsNode reports whether a process that is started now can take over from this one, or upgrades are off.
func (n *Node) SuccessorFindsNode() bool { return n.upgrade == nil || n.upgrade.SocketOpened() }

// listenAddrs returns the listen addresses by front name: those of open listeners, or else the configured ones.
func (n *Node) listenAddrs() map[string]string {
	addrs := map[string]string{"http": n.cfg.Listen, "h2c": n.op.H2C, "uwsgi": n.op.UWSGI, "peer": n.op.Peer.Listen}
	n.mu.Lock()
	defer n.mu.Unlock()
	for name, l := range n.listenersByName {
		addrs[name] = l.Addr().String()
	}
	return addrs
}

// listen returns the listener that the predecessor handed over, or opens one.
func (n *Node) listen(name, addr string) (net.Listener, error) {
	var l net.Listener
	if n.handoff != nil && n.handoff.Listeners[name] != nil {
		l = n.handoff.Listeners[name]
	} else {
		var err error
		if l, err = netretry.Listen(addr); err != nil {
			return nil, err
		}
	}
	n.mu.Lock()
	n.listenersByName[name] = l
	n.mu.Unlock()
	return l, nil
}

// tcpListeners returns the TCP listeners by front name.
func (n *Node) tcpListeners() map[string]*net.TCPListener {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := map[string]*net.TCPListener{}
	for name, l := range n.listenersByName {
		if t, ok := l.(*net.TCPListener); ok {
			out[name] = t
		}
	}
	return out
}

// successorChanged reacts to a successor (on): it stops accepting connections and hands over idle ones. If the
// successor is lost, the node continues as before.
func (n *Node) successorChanged(on bool) {
	n.successorActive.Store(on)
	n.setSharing(on)
	n.eachSubsystem(func(s Subsystem) { s.SuccessorChanged(on) })
	if !on {
		n.reporter.sendNow()
		return
	}
	n.mu.Lock()
	for _, l := range n.listeners {
		if t, ok := l.(*net.TCPListener); ok {
			t.SetDeadline(clock.Expired())
		}
	}
	n.mu.Unlock()
	n.conns.each((*conn).startDrain)
}

// waitForSuccessor waits while a successor accepts the new connections. It returns false if the listener is
// closed or the error has another cause.
func (n *Node) waitForSuccessor(l net.Listener, err error) bool {
	t, ok := l.(*net.TCPListener)
	if !ok || !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	for n.successorActive.Load() && !n.hasEnded() {
		time.Sleep(time.Until(clock.Time(clock.Now() + holdPollMs)))
	}
	return t.SetDeadline(time.Time{}) == nil
}

// setSharing halves the limits of descriptors and memory while another process of this node is running and uses
// the other half.
func (n *Node) setSharing(on bool) {
	n.mu.Lock()
	n.sharing = on
	n.mu.Unlock()
	n.applyLimits()
}

// applyLimits applies the limits of the current configuration, or half of them while another process shares
// them.
func (n *Node) applyLimits() {
	n.mu.Lock()
	cfg, sharing := n.appliedConfig, n.sharing
	n.mu.Unlock()
	plan := n.memoryPlan(cfg, sharing)
	n.conns.setLimit(n.maxConns(cfg, plan, sharing))
	n.conns.budget.SetLimit(plan.SharedBytes)
	n.submit(core.ChangeLimits{MaxIDs: plan.MaxIDs, ResultBytes: plan.ResultBytes})
	setProcessLimits(cfg, n.op, sharing)
}

// predecessorEnded is called when the predecessor process has ended.
func (n *Node) predecessorEnded() {
	n.setSharing(false)
	n.lateResults.endOfPredecessor()
	if n.serving.Load() {
		n.startAccepting()
	}
}

// poolLinks returns the links whose late results a successor should read: none if no results are kept.
func (n *Node) poolLinks() []handover.PoolLink {
	if !n.op.Kept.Enabled() {
		return nil
	}
	n.link.mu.Lock()
	own := handover.PoolLink{Addr: n.link.addr, Serial: n.link.state.Serial()}
	n.link.mu.Unlock()
	return append([]handover.PoolLink{own}, n.lateResults.links()...)
}

// yieldTimeoutMs is how long a process that can serve waits for its predecessor to yield before it accepts connections.
const yieldTimeoutMs = 1000

// acceptAfterYield accepts connections once the predecessor has passed on the IDs of all requests that it has read, so that
// none of them runs here as well.
func (n *Node) acceptAfterYield() {
	if n.handoff == nil || n.upgrade.TakeoverAcknowledged() {
		n.startAccepting()
		return
	}
	time.AfterFunc(yieldTimeoutMs*time.Millisecond, n.startAccepting)
}

// handOff hands an idle connection to the successor. It returns true if the connection now belongs to the
// successor.
func (k *conn) handOff() bool {
	s, ok := k.proto.(*front.SerialConn)
	if !ok || k.front != "http" || len(k.pending) > 0 || !s.Idle() {
		return false
	}
	served, since := s.Served()
	return k.node.upgrade.HandOffConn(k.c, handover.Conn{Front: k.front, Served: served, Since: since})
}

// adoptConn takes over a connection from the predecessor. It returns false if the connection is not an HTTP/1.1
// one or the table is full.
func (n *Node) adoptConn(c net.Conn, state handover.Conn) bool {
	if state.Front != "http" {
		return false
	}
	since := min(state.Since, clock.Now())
	if idle := float64(n.idleTimeoutMs.Load()); clock.Now()-since > idle {
		since = clock.Now() // the wall clock stepped between the starts of the two processes
	}
	k := &conn{node: n, c: c, front: state.Front,
		proto: front.ResumeSerialConn(httpfront.New(n.validator), state.Served, since)}
	if !n.conns.add(k) {
		return false
	}
	n.conns.markIdle(k, connState{answered: state.Served > 0, since: since})
	go k.serve()
	return true
}
