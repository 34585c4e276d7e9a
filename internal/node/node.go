// Package node runs the payout node on real sockets. It connects the listeners of each front (HTTP/1.1, h2c,
// uwsgi), the worker pool and the announce service to the core, handles signals, applies the limits of the
// process, and starts the optional subsystems. All decisions about requests are made by the core; this package
// only drives it.
package node

import (
	"context"
	"io"
	"math"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"whinrudder/internal/admin"
	"whinrudder/internal/classindex"
	"whinrudder/internal/clock"
	"whinrudder/internal/core"
	"whinrudder/internal/counters"
	"whinrudder/internal/front"
	"whinrudder/internal/h2"
	"whinrudder/internal/httpfront"
	"whinrudder/internal/kept"
	"whinrudder/internal/memory"
	"whinrudder/internal/pool"
	"whinrudder/internal/settings"
	"whinrudder/internal/storage"
	"whinrudder/internal/uwsgi"
)

// logFlushMs is how long shutdown waits for the log to be written. It is less than the time that the core
// leaves between the end of the drain and the stop.
const logFlushMs = 40

// subsystemEndMs is how long the subsystems may take to end.
const subsystemEndMs = 20

// minConnsDivisor sets the smallest share of the socket limit that is left to callers: one socket in this many.
const minConnsDivisor = 8

// reservedSockets is the number of sockets that the process reserves for itself: its listeners, the link to the
// worker pool, the log, and those of the Go runtime.
const reservedSockets = 32

// Node is one payout node.
type Node struct {
	cfg       settings.Config
	op        settings.Operator // the operator's file
	validator *front.Validator
	logger    *logger

	inputs chan core.Input
	core   *core.Core
	link   *link

	counters counters.Registry
	serving  atomic.Bool // the worker pool is up and the node answers requests

	reporter      reporter
	mu            sync.Mutex // guards stopMs, view, appliedConfig, listenersByName and sharing
	stopMs        float64    // time from the stop notice to the stop
	view          classindex.View
	appliedConfig settings.Config // the last configuration that was applied

	allocator *classindex.Allocator // used by the reload goroutine only
	upgradeState
	successorActive atomic.Bool                     // a successor process accepts new connections and takes over idle ones
	shutdown        shutdownPlan                    // set before the core receives the stop notice
	drainState      atomic.Pointer[core.DrainState] // by the operators' orders; nil: there was none

	openDir         func(path string) (storage.Dir, error) // opens the directory of kept results
	keptOwner       *kept.Owner                            // nil if no results are kept
	lateResults     lateResults                            // of kept operations, in an upgrade
	subsystems      []Subsystem                            // enabled by the operator's file, see subsystems.go
	peerAddr        string                                 // address of the peer port
	listeners       []net.Listener                         // of the fronts
	listenersByName map[string]net.Listener                // by front name, including "peer"; guarded by mu
	acceptStarts    []func()                               // start the accept loops of the fronts; guarded by mu
	addrs           map[string]string                      // listen addresses by front name, including "admin"
	conns           connTable
	idleTimeoutMs   atomic.Int64  // how long a connection may be idle
	accepting       atomic.Bool   // false once the drain has started
	pendingCount    atomic.Int64  // requests that have not been answered
	stoppingAccept  atomic.Bool   // the listeners close once no connection is pending
	killed          chan struct{} // closed by Kill
	done            chan struct{} // closed after the core's last step
	connsClosed     chan struct{} // closed once the connections of callers are closed after that
}

// New returns a node for a configuration that has passed its checks.
func New(cfg settings.Config, op settings.Operator, log io.Writer) (*Node, error) {
	c, err := core.New(cfg.Settings.Policy, cfg.Seed)
	if err != nil {
		return nil, err
	}
	kept, err := op.KeptClassNames(cfg)
	if err != nil {
		return nil, err
	}
	n := &Node{cfg: cfg, op: op, validator: front.NewValidator(cfg.Settings.ClassNames, cfg.Settings.Policy),
		logger: newLogger(log, op.JSONLog), core: c, addrs: map[string]string{},
		listenersByName: map[string]net.Listener{}, inputs: make(chan core.Input, 4096),
		killed: make(chan struct{}), done: make(chan struct{}),
		connsClosed: make(chan struct{})}
	n.openDir, n.allocator = storage.OpenDir, classindex.New(cfg.Settings)
	n.view = n.allocator.View(cfg.Settings.Policy)
	n.validator.SetConfig(n.validatorConfig(n.view, kept))
	c.SetCounters(n.counters.Classes(n.view.Names))
	c.SetEndCounts(&n.counters.Ends)
	n.appliedConfig = cfg
	plan := n.memoryPlan(cfg, false)
	n.conns.maxConns, n.conns.budget = n.maxConns(cfg, plan, false), memory.NewBudget(plan.SharedBytes)
	n.idleTimeoutMs.Store(int64(cfg.Settings.Policy.KeepAlive))
	n.accepting.Store(true)
	n.stopMs = cfg.StopMs
	n.lateResults.node = n
	n.reporter = reporter{addr: cfg.Announce, wake: make(chan struct{}, 1)}
	n.link = newLink(n, cfg.Pool, pool.New(cfg.Settings.ClassNames, cfg.Settings.GaugeNames))
	return n, nil
}

// memoryPlan returns the bounds that follow from the memory limit. While another process of the node is running
// (sharing), the two share it.
func (n *Node) memoryPlan(cfg settings.Config, sharing bool) memory.Plan {
	limit, reserved := int64(cfg.MemoryMB)<<20, n.op.Kept.MemoryBytes()
	if sharing {
		limit, reserved = limit/2, reserved/2
	}
	return memory.NewPlan(limit, reserved)
}

// maxConns returns how many connections of callers may be open, by the limit of sockets and by the memory. While another
// process of the node is running (sharing), the two share the limit of sockets.
func (n *Node) maxConns(cfg settings.Config, plan memory.Plan, sharing bool) int {
	limit := cfg.Sockets
	if sharing {
		limit /= 2
	}
	if n.cfg.Admin != "" {
		limit -= admin.MaxConns
	}
	return min(max(limit-reservedSockets, cfg.Sockets/minConnsDivisor), plan.MaxConns)
}

func (n *Node) log(word string, pairs ...any) { n.logger.event(word, pairs...) }

// setProcessLimits applies the configured limits of cores and memory to the Go runtime. A disk sync blocks a
// thread and, until the runtime notices, its processor as well, so a node that keeps results gets one processor
// more.
func setProcessLimits(cfg settings.Config, op settings.Operator, sharing bool) {
	processors := max(1, int(cfg.Cores))
	if op.Kept.Enabled() {
		processors++
	}
	runtime.GOMAXPROCS(processors)
	memory := int64(cfg.MemoryMB) << 20
	if sharing {
		memory /= 2
	}
	debug.SetMemoryLimit(memory * 3 / 4)
}

// stopTimeoutMs returns the time from the stop notice to the stop.
func (n *Node) stopTimeoutMs() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.stopMs
}

// Listen opens the listeners of all fronts. Connections are accepted at once, or, if the sockets come from a
// predecessor, when the worker pool is ready. Requests wait for Run.
func (n *Node) Listen() error {
	setProcessLimits(n.cfg, n.op, false) // before kept results are read
	if err := n.takeOver(); err != nil {
		return err
	}
	if err := n.openKeptResults(); err != nil {
		return err
	}
	fronts := []struct {
		name, addr string
		protocol   func(now float64) front.Protocol

		sharedBytes int64 // what a connection takes of the shared memory budget
	}{
		{"http", n.cfg.Listen, serialProtocol(func() front.Parser { return httpfront.New(n.validator) }), 0},
		{"h2c", n.op.H2C, n.newH2Protocol, h2.ConnBytes},
		{"uwsgi", n.op.UWSGI, serialProtocol(func() front.Parser { return uwsgi.New(n.validator) }), 0},
	}
	for _, f := range fronts {
		if f.addr == "" {
			continue
		}
		l, err := n.listen(f.name, f.addr)
		if err != nil {
			return err
		}
		n.listeners = append(n.listeners, l)
		n.addrs[f.name] = l.Addr().String()
		n.log("serve", "name", n.cfg.Name, "front", f.name, "listen", l.Addr(), "pool", n.cfg.Pool)
		fl := &frontListener{Listener: l, node: n, name: f.name, protocol: f.protocol, sharedBytes: f.sharedBytes}
		n.acceptStarts = append(n.acceptStarts, func() { go fl.accept() })
	}
	if n.handoff == nil {
		n.startAccepting()
	}
	return n.startSubsystems()
}

// startAccepting starts the accept loops of the fronts, unless they are running.
func (n *Node) startAccepting() {
	n.mu.Lock()
	starts := n.acceptStarts
	n.acceptStarts = nil
	n.mu.Unlock()
	for _, start := range starts {
		start()
	}
}

// PeerAddr returns the address of the peer port, or "" if it is off.
func (n *Node) PeerAddr() string { return n.peerAddr }

// serialProtocol returns a constructor of protocols that carry one message at a time.
func serialProtocol(parser func() front.Parser) func(float64) front.Protocol {
	return func(now float64) front.Protocol { return front.NewSerialConn(parser(), now) }
}

// newH2Protocol returns the protocol of an h2c connection.
func (n *Node) newH2Protocol(now float64) front.Protocol {
	c := h2.New(n.validator, now)
	c.SetBudget(n.conns.budget)
	return c
}

// Addr returns the listen address of a front (http, uwsgi, h2c) or of the admin port (admin).
func (n *Node) Addr(front string) string { return n.addrs[front] }

// Run serves until a stop signal or the end of ctx starts the drain and the drain has finished. At each reload
// signal it applies the configuration that load returns, see reload.go.
func (n *Node) Run(ctx context.Context, stop, reload <-chan os.Signal, load LoadFunc) {
	n.applyLimits()
	go n.link.run()
	go n.announceLoop()
	go n.reloadLoop(reload, load)
	go func() {
		select {
		case <-stop:
		case <-ctx.Done():
		}
		at := clock.Now() - signalDelayMs
		n.shutdown = n.planShutdown()
		n.shutdown.endBy = at + n.shutdown.stopMs - endMarginMs
		n.inputs <- core.StopNotice{At: at, StopAt: at + n.shutdown.stopMs, HasSuccessor: n.shutdown.hasSuccessor}
	}()
	n.end(n.loop())
	n.eachSubsystem(func(s Subsystem) { s.EndShutdown(clock.Now() + subsystemEndMs) })
	n.log("end", "name", n.cfg.Name)
	n.logger.flush(clock.Now() + logFlushMs)
}

// submit passes an input to the core. It is dropped once the connections are closed.
func (n *Node) submit(i core.Input) {
	select {
	case n.inputs <- i:
	case <-n.connsClosed:
	}
}

// PendingRequests returns how many requests have not been answered.
func (n *Node) PendingRequests() int { return int(n.pendingCount.Load()) }

// Kill ends the node at once, as killing its process would.
func (n *Node) Kill() { close(n.killed) }

func (n *Node) hasEnded() bool {
	select {
	case <-n.done:
		return true
	default:
		return false
	}
}

// loop runs the core in the calling goroutine, until the drain has finished or the node is killed. Each step handles all
// inputs that are ready, up to a fixed number.
func (n *Node) loop() (killed bool) {
	var batch []core.Input
	timer := time.NewTimer(time.Hour)
	for {
		wait := time.Hour
		if next := n.core.Next(); next > 0 {
			wait = time.Duration((next - clock.Now()) * 1e6)
		}
		clear(batch) // lets the garbage collector free the inputs of the last step
		batch = batch[:0]
		if wait > 0 {
			timer.Reset(wait)
			select {
			case i := <-n.inputs:
				batch = append(batch, i)
			case <-timer.C:
			case <-n.killed:
				return true
			}
		}
	ready:
		for len(batch) < 4096 {
			select {
			case i := <-n.inputs:
				batch = append(batch, i)
			default:
				break ready
			}
		}
		for _, o := range n.core.Step(clock.Now(), batch) {
			if _, finished := o.(core.DrainFinished); finished {
				return false
			}
			n.perform(o)
		}
		n.pendingCount.Store(int64(n.core.Open()))
		n.storeRunStats(n.core.RunStats())
		n.link.flush()
	}
}

// storeRunStats publishes what the core knows of its runs.
func (n *Node) storeRunStats(s core.RunStats) {
	runs := &n.counters.Runs
	runs.InProgress.Store(int64(s.InProgress))
	runs.InDoubt.Store(int64(s.InDoubt))
	runs.QueuedStarts.Store(int64(s.QueuedStarts))
	if s.Gauges.CPU < 0 {
		runs.PoolRunnable.Store(-1)
		runs.PoolMemoryPct.Store(-1)
		return
	}
	runs.PoolRunnable.Store(int64(s.Gauges.Runnable))
	runs.PoolMemoryPct.Store(int64(math.Round(100 * s.Gauges.Memory)))
}

// perform carries out one output of the core. It never waits for a socket.
func (n *Node) perform(o core.Output) {
	switch o := o.(type) {
	case core.Reply:
		o.To.Deliver(o.Answer)
	case core.Spawn, core.Suspend, core.Poll, core.Verify:
		n.link.enqueue(o)
	case core.SetIdleTimeout:
		n.idleTimeoutMs.Store(int64(o.After))
		n.conns.wakeAll()
	case core.Ready:
		n.log("ready", "cold", o.Cold)
		n.serving.Store(true)
		n.acceptAfterYield()
		n.eachSubsystem(func(s Subsystem) { s.Ready(o.Cold) })
	case core.DrainStarted:
		n.accepting.Store(false)
		n.reporter.sendNow()
		n.log("drain", "stop_ms", n.shutdown.stopMs, "succeeded", n.shutdown.hasSuccessor)
		by := clock.Now() + n.shutdown.stopMs/2
		n.eachSubsystem(func(s Subsystem) { s.BeginShutdown(by) })
	case core.Claim:
		n.upgrade.Claim(o.IDs)
	case core.DrainConns:
		n.conns.drainAll()
	case core.StopAccepting:
		n.stopAccepting()
	case core.LogEvent:
		n.log(o.Event, o.Pairs...)
	case core.Append, core.Fetch, core.DropSegment, core.OpsReleased:
		n.keptOwner.HandleOutput(o)
	}
}
