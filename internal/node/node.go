// Package node drives the payout node on real sockets: it wires the fronts, the worker pool and the announce
// service to the core, and keeps the limits of the process. It decides nothing.
package node

import (
	"context"
	"io"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"whinrudder/internal/admin"
	"whinrudder/internal/classindex"
	"whinrudder/internal/core"
	"whinrudder/internal/counters"
	"whinrudder/internal/front"
	"whinrudder/internal/h2"
	"whinrudder/internal/httpfront"
	"whinrudder/internal/kept"
	"whinrudder/internal/pool"
	"whinrudder/internal/settings"
	"whinrudder/internal/storage"
	"whinrudder/internal/uwsgi"
)

// now is the system's Unix clock in milliseconds.
func now() float64 { return float64(time.Now().UnixNano()) / 1e6 }

// at turns a time of that clock into one for deadlines of sockets; 0 is none.
func at(ms float64) time.Time {
	if ms <= 0 {
		return time.Time{}
	}
	return time.UnixMicro(int64(ms * 1e3))
}

// past is a deadline that is over: it wakes a connection that waits for bytes.
var past = time.UnixMilli(1)

// flushFor is how long the end waits for the log, in milliseconds: less than the core leaves before the stop.
const flushFor = 40

// partsFor is how long the parts may take to end, in milliseconds.
const partsFor = 20

// leastConns is the part of the limit of sockets that callers have at least.
const leastConns = 8

// sockets that the process keeps for itself: its listeners, the links, the log, the runtime's own.
const ownSockets = 32

// Node is one payout node.
type Node struct {
	cfg  settings.Config
	op   settings.Operator
	site *front.Validator
	out  *logger

	in   chan core.Input
	core *core.Core
	link *link

	figures counters.Registry
	serving atomic.Bool // the worker pool is up, and the module serves

	reports reporter
	mu      sync.Mutex // of what follows, which a reload changes
	stopMs  float64
	view    classindex.View
	granted settings.Config // the last one that held

	catalog *classindex.Allocator // of the goroutine of reloads
	succession
	moving atomic.Bool // a successor takes new connections, and those at rest
	leave  leave       // set before the core hears of it
	away   atomic.Bool // operators have sent the clients away

	folderAt  func(path string) (storage.Dir, error)
	holder    *kept.Owner // nil: no results are kept
	parts     []Subsystem // what the operator's file turns on, see parts.go
	peerAddr  string      // of the peer port
	listeners []net.Listener
	sockets   map[string]net.Listener // by front, that of the peer port included; of mu
	starts    []func()                // of the fronts, which wait until the node serves
	addrs     map[string]string       // of the fronts
	conns     connTable
	idle      atomic.Int64 // milliseconds that a connection may be idle
	taking    atomic.Bool
	inHand    atomic.Int64  // requests in hand
	quit      chan struct{} // closed by Kill
	over      chan struct{} // closed once the node has ended
}

// New returns the node of a configuration that has passed its check.
func New(cfg settings.Config, op settings.Operator, log io.Writer) (*Node, error) {
	c, err := core.New(cfg.Settings.Policy, cfg.Seed)
	if err != nil {
		return nil, err
	}
	kept, err := op.KeptClassNames(cfg)
	if err != nil {
		return nil, err
	}
	n := &Node{cfg: cfg, op: op, site: front.NewValidator(cfg.Settings.ClassNames, cfg.Settings.Policy), out: newLogger(log, op.JSONLog), core: c,
		addrs: map[string]string{}, sockets: map[string]net.Listener{}, in: make(chan core.Input, 4096), quit: make(chan struct{}), over: make(chan struct{})}
	n.folderAt, n.catalog = storage.OpenDir, classindex.New(cfg.Settings)
	n.view = n.catalog.View(cfg.Settings.Policy)
	n.site.SetConfig(n.terms(n.view, kept))
	c.SetCounters(n.figures.Classes(n.view.Names))
	n.granted = cfg
	n.conns.most = n.mostConns(cfg, false)
	n.idle.Store(int64(cfg.Settings.Policy.KeepAlive))
	n.taking.Store(true)
	n.stopMs = cfg.StopMs
	n.reports = reporter{addr: cfg.Announce, wake: make(chan struct{}, 1)}
	n.link = &link{node: n, addr: cfg.Pool, machine: pool.New(cfg.Settings.ClassNames, cfg.Settings.GaugeNames)}
	return n, nil
}

// mostConns is how many connections of callers there may be.
func (n *Node) mostConns(cfg settings.Config, beside bool) int {
	most := cfg.Sockets
	if beside {
		most /= 2
	}
	if n.cfg.Admin != "" {
		most -= admin.MaxConns
	}
	return max(most-ownSockets, cfg.Sockets/leastConns)
}

func (n *Node) log(word string, pairs ...any) { n.out.event(word, pairs...) }

// limits keeps the process within what the configuration grants it. A sync of a disk holds a thread, and with it, for as
// long as the runtime does not notice, its place among those that run: a node that keeps results has one place more.
func limits(cfg settings.Config, op settings.Operator, beside bool) {
	places := max(1, int(cfg.Cores))
	if op.Kept.Enabled() {
		places++
	}
	runtime.GOMAXPROCS(places)
	memory := int64(cfg.MemoryMB) << 20
	if beside {
		memory /= 2
	}
	debug.SetMemoryLimit(memory * 3 / 4)
}

// stopAfter is how long the node has from the notice to leave to the stop.
func (n *Node) stopAfter() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.stopMs
}

// Listen opens the listeners of all fronts and takes connections on them. Requests wait for Run.
func (n *Node) Listen() error {
	if err := n.succeed(); err != nil {
		return err
	}
	if err := n.keep(); err != nil {
		return err
	}
	fronts := []struct {
		name, addr string
		protocol   func(now float64) front.Protocol
	}{
		{"http", n.cfg.Listen, single(func() front.Parser { return httpfront.New(n.site) })},
		{"h2c", n.op.H2C, func(now float64) front.Protocol { return h2.New(n.site, now) }},
		{"uwsgi", n.op.UWSGI, single(func() front.Parser { return uwsgi.New(n.site) })},
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
		n.starts = append(n.starts, func() { go n.accept(l, f.name, f.protocol) })
	}
	if n.taken == nil {
		n.open()
	}
	return n.start()
}

// open begins to take connections.
func (n *Node) open() {
	for _, start := range n.starts {
		start()
	}
	n.starts = nil
}

// PeerAddr returns the address of the peer port, or an empty one.
func (n *Node) PeerAddr() string { return n.peerAddr }

// single makes the protocol of connections with one message at a time.
func single(parser func() front.Parser) func(float64) front.Protocol {
	return func(now float64) front.Protocol { return front.NewSerialConn(parser(), now) }
}

// Addr returns the address of a front that listens: http, uwsgi or h2c.
func (n *Node) Addr(front string) string { return n.addrs[front] }

// Run serves until a signal or the end of ctx makes the node leave and all is answered. At each signal of reload it
// takes over what load then gives, see reload.go.
func (n *Node) Run(ctx context.Context, stop, reload <-chan os.Signal, load LoadFunc) {
	n.grant()
	go n.link.run()
	go n.announce()
	go n.reloads(reload, load)
	go func() {
		select {
		case <-stop:
		case <-ctx.Done():
		}
		n.leave = n.leaveNow()
		n.in <- core.StopNotice{StopAt: now() + n.leave.ms, HasSuccessor: n.leave.succeeded}
	}()
	n.loop()
	close(n.over)
	n.deafen()
	n.conns.closeAll()
	n.link.close()
	n.parted(func(p Subsystem) { p.EndShutdown(now() + partsFor) })
	n.log("end", "name", n.cfg.Name)
	n.out.flush(now() + flushFor)
}

// tell hands something to the core, unless the node has ended.
func (n *Node) tell(i core.Input) {
	select {
	case n.in <- i:
	case <-n.over:
	}
}

// PendingRequests tells how many requests are owed an answer.
func (n *Node) PendingRequests() int { return int(n.inHand.Load()) }

// Kill ends the node at once, as a kill of its process would.
func (n *Node) Kill() { close(n.quit) }

func (n *Node) ended() bool {
	select {
	case <-n.over:
		return true
	default:
		return false
	}
}

// loop is the goroutine of the core: one step for all that is ready.
func (n *Node) loop() {
	var batch []core.Input
	timer := time.NewTimer(time.Hour)
	for {
		wait := time.Hour
		if next := n.core.Next(); next > 0 {
			wait = time.Duration((next - now()) * 1e6)
		}
		batch = batch[:0]
		if wait > 0 {
			timer.Reset(wait)
			select {
			case i := <-n.in:
				batch = append(batch, i)
			case <-timer.C:
			case <-n.quit:
				return
			}
		}
	ready:
		for len(batch) < 4096 {
			select {
			case i := <-n.in:
				batch = append(batch, i)
			default:
				break ready
			}
		}
		for _, o := range n.core.Step(now(), batch) {
			if _, over := o.(core.DrainFinished); over {
				return
			}
			n.carry(o)
		}
		n.inHand.Store(int64(n.core.Open()))
		n.link.flush()
	}
}

// carry carries out what the core wants. Nothing here waits for a socket.
func (n *Node) carry(o core.Output) {
	switch o := o.(type) {
	case core.Reply:
		o.To.Deliver(o.Answer)
	case core.Spawn, core.Suspend, core.Poll, core.Verify:
		n.link.push(o)
	case core.SetIdleTimeout:
		n.idle.Store(int64(o.After))
		n.conns.wakeAll()
	case core.Ready:
		n.log("ready", "cold", o.Cold)
		n.open()
		n.serving.Store(true)
		n.parted(func(p Subsystem) { p.Ready(o.Cold) })
	case core.DrainStarted:
		n.taking.Store(false)
		n.reports.now()
		n.log("drain", "stop_ms", n.leave.ms, "succeeded", n.leave.succeeded)
		by := now() + n.leave.ms/2
		n.parted(func(p Subsystem) { p.BeginShutdown(by) })
	case core.DrainConns:
		n.conns.leaveAll()
	case core.StopAccepting:
		n.deafen()
	case core.LogEvent:
		n.log(o.Event, o.Pairs...)
	case core.Append, core.Fetch, core.DropSegment, core.OpsReleased:
		n.holder.HandleOutput(o)
	}
}

// deafen closes the listeners.
func (n *Node) deafen() {
	for _, l := range n.listeners {
		l.Close()
	}
}
