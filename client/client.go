// Package client calls a fleet of payout nodes so that the fleet stays up: it routes by what nodes tell, retries only what may
// be, within a budget, hedges slow reads, and tells apart what did not run from what may have. It speaks HTTP/1.1, HTTP/2
// without TLS and uwsgi.
//
// A Client is safe for concurrent use. Its decisions are in packages without I/O (internal/client); this one drives them.
package client

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"whinrudder/internal/client/attempt"
	"whinrudder/internal/client/connpool"
	"whinrudder/internal/client/members"
	"whinrudder/internal/client/route"
	"whinrudder/internal/client/wire"
)

// Protocol is what nodes are spoken to with.
type Protocol string

// The protocols.
const (
	HTTP  Protocol = "http"
	H2C   Protocol = "h2c"
	UWSGI Protocol = "uwsgi"
)

// Class is a class of requests, as the nodes know it by name.
type Class struct {
	Name string
	// Write marks requests that must not run twice: they are tried again only where it is proven that nothing ran.
	Write bool
	// Tries bounds the tries of a call, hedges included; 0: three.
	Tries int
	// NoHedge turns hedges of reads off.
	NoHedge bool
	// Wait is how long a call may take whose context has no deadline; 0: ten seconds.
	Wait time.Duration
}

// Node is a node of the fleet.
type Node struct {
	Name     string // what tells it from others, over its lives; empty: its address
	Addr     string // HOST:PORT of the protocol's front
	Draining bool
}

// Source tells which nodes there are. Watch calls list with each version, made at a time, until the context is done; it is
// called once, in a goroutine of its own.
type Source interface {
	Watch(ctx context.Context, list func(made time.Time, nodes []Node))
}

// Fixed is a list that does not change.
type Fixed []string

// Watch implements Source.
func (f Fixed) Watch(_ context.Context, list func(time.Time, []Node)) {
	var nodes []Node
	for _, addr := range f {
		nodes = append(nodes, Node{Name: addr, Addr: addr})
	}
	list(time.Now(), nodes)
}

// Options are what a client is made of.
type Options struct {
	Source   Source
	Protocol Protocol // empty: HTTP
	Classes  []Class
	Number   int // of this client, as nodes tell callers apart
	Subset   int // nodes that this client uses; 0: all
	// Affinity keeps the requests of one subject to one node, while that has room.
	Affinity bool
	Hooks    Hooks
	Limits   *connpool.Limits // nil: the usual ones; for tests of this module
}

// Hooks are told what goes on. They are called on the goroutines of calls and must be fast; nil ones are left out.
type Hooks struct {
	Try  func(class, node string, again, hedge bool)
	End  func(class, node string, outcome string, took time.Duration)
	Call func(class string, tries int, err error, took time.Duration)
}

// Request is one call.
type Request struct {
	Class   string
	Subject string // whom it is about; with Affinity it goes where the subject's other requests go
	Key     string // Req-Key, if the class has one
	Token   string // Req-Token, if results are kept
	Body    []byte
	KB      float64 // memory that it takes at a node; 0: 32
	Rank    float64 // 0 to 1, the higher the more it matters
}

// Response is a result.
type Response struct {
	Body  []byte
	Node  string
	Kept  string // how it came out of kept results, if it did
	Tries int
}

// Reason is why a call brought no result.
type Reason = attempt.Reason

// The reasons. Of Unknown and, for reads, of Failure something may have run; of all others it is proven that nothing did.
const (
	Rejected  = attempt.Rejected
	NoNode    = attempt.NoNode
	Throttled = attempt.Throttled
	NoTime    = attempt.NoTime
	Failure   = attempt.Failure
	Unknown   = attempt.Unknown
	Cancelled = attempt.Cancelled
)

// ErrUnknown is what errors of calls are whose request may have run or not.
var ErrUnknown = errors.New("client: outcome unknown")

// Error is why a call brought no result, with all that is known.
type Error struct {
	Reason Reason
	Class  string
	Tries  []Try
	Wait   time.Duration // how long nodes asked to stay away, at last
	Cause  error         // of the context, or of the last try
}

// Try is a try of a call.
type Try struct {
	Node    string
	ID      string // Req-Id
	Outcome string
	Took    time.Duration
	Status  int // 0: there was no answer
}

// Error implements error.
func (e *Error) Error() string {
	s := fmt.Sprintf("client: %s: %v after %d tries", e.Class, e.Reason, len(e.Tries))
	if e.Cause != nil {
		s += ": " + e.Cause.Error()
	}
	return s
}

// Unwrap gives the cause, and ErrUnknown where the request may have run.
func (e *Error) Unwrap() []error {
	var out []error
	if e.Reason == Unknown || e.Reason == Cancelled && e.MayHaveRun() {
		out = append(out, ErrUnknown)
	}
	if e.Cause != nil {
		out = append(out, e.Cause)
	}
	return out
}

// Client calls nodes.
type Client struct {
	options Options
	classes map[string]int
	start   time.Time
	cancel  context.CancelFunc
	ctx     context.Context
	work    sync.WaitGroup

	mu      sync.Mutex // of all below
	members *members.Members
	router  *route.Router
	shared  *attempt.ClientState
	pools   *connpool.Pool
	conns   map[int]conn  // by number of the connection
	free    chan struct{} // closed and made anew when a connection may be had
	listed  chan struct{} // closed with the first list
	heard   bool
	closed  bool
}

const usualWait = 10 * time.Second

// New returns a client that watches its source. Close ends it.
func New(o Options) (*Client, error) {
	if o.Protocol == "" {
		o.Protocol = HTTP
	}
	streams := 1
	switch o.Protocol {
	case HTTP, UWSGI:
	case H2C:
		streams = 100
	default:
		return nil, fmt.Errorf("client: no protocol %q", o.Protocol)
	}
	if o.Source == nil {
		return nil, errors.New("client: no source of nodes")
	}
	if len(o.Classes) == 0 {
		return nil, errors.New("client: no classes")
	}
	limits := connpool.DefaultLimits(streams)
	if o.Protocol == UWSGI {
		limits = connpool.DefaultLimitsNoReuse()
	}
	if o.Limits != nil {
		limits = *o.Limits
	}
	c := &Client{options: o, classes: map[string]int{}, start: time.Now(), members: members.New(rand.Uint64(), o.Subset), router: route.New(),
		shared: &attempt.ClientState{RetryBudget: attempt.NewBudget(), WaitBudget: attempt.NewBudget(), Throttle: attempt.NewThrottle(), Latencies: attempt.NewLatencies(len(o.Classes))},
		pools:  connpool.New(limits), conns: map[int]conn{}, free: make(chan struct{}), listed: make(chan struct{})}
	for i, k := range o.Classes {
		if _, twice := c.classes[k.Name]; twice || k.Name == "" {
			return nil, fmt.Errorf("client: class %q is there twice, or has no name", k.Name)
		}
		c.classes[k.Name] = i
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.work.Go(func() { o.Source.Watch(c.ctx, c.list) })
	c.work.Go(c.sweep)
	return c, nil
}

// now is the time of the decisions: it goes on evenly whatever is done to the system's clock.
func (c *Client) now() float64 { return float64(time.Since(c.start)) / float64(time.Millisecond) }

// at is a time of the decisions as one of the system.
func (c *Client) at(ms float64) time.Time {
	return c.start.Add(time.Duration(ms * float64(time.Millisecond)))
}

// list takes a list of the source.
func (c *Client) list(made time.Time, nodes []Node) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []members.Node
	for _, n := range nodes {
		if n.Name == "" {
			n.Name = n.Addr
		}
		all = append(all, members.Node{Name: n.Name, Addr: n.Addr, Draining: n.Draining})
	}
	c.members.SetList(c.now(), float64(made.Sub(c.start))/float64(time.Millisecond), all)
	if !c.heard && len(all) > 0 {
		c.heard = true
		close(c.listed)
	}
}

// sweep closes connections that were idle for too long.
func (c *Client) sweep() {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-tick.C:
		}
		c.mu.Lock()
		old, _ := c.pools.IdleExpired(c.now())
		for _, p := range old {
			c.drop(p)
		}
		c.router.Forget(c.members.InUse(c.now()))
		c.mu.Unlock()
	}
}

// drop closes a connection, under the lock.
func (c *Client) drop(p *connpool.Conn) {
	if w := c.conns[p.ID]; w != nil {
		w.close()
		delete(c.conns, p.ID)
	}
	c.pools.Remove(p)
	c.wakeFree()
}

// wakeFree wakes those who wait for a connection, under the lock.
func (c *Client) wakeFree() {
	close(c.free)
	c.free = make(chan struct{})
}

// Close ends the client: its connections are closed, and calls under way end.
func (c *Client) Close() {
	c.cancel()
	c.mu.Lock()
	c.closed = true
	for id, w := range c.conns {
		w.close()
		delete(c.conns, id)
	}
	c.wakeFree()
	c.mu.Unlock()
	c.work.Wait()
}

// Do makes a call. It ends by the deadline of the context, or by the Wait of its class. An error of a call is an *Error.
func (c *Client) Do(ctx context.Context, r Request) (*Response, error) {
	n, ok := c.classes[r.Class]
	if !ok {
		return nil, fmt.Errorf("client: no class %q", r.Class)
	}
	w := wire.Request{Class: r.Class, Caller: c.options.Number, KB: r.KB, Rank: r.Rank, Key: r.Key, Token: r.Token, Body: r.Body, ID: "0000000000000000"}
	if w.KB == 0 {
		w.KB = 32
	}
	if err := r.check(); err != nil {
		return nil, err
	}
	k := c.options.Classes[n]
	wait := k.Wait
	if wait == 0 {
		wait = usualWait
	}
	deadline := time.Now().Add(wait)
	if d, ok := ctx.Deadline(); ok {
		deadline = d
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	select {
	case <-c.listed: // the first calls wait for the first list
	case <-ctx.Done():
	case <-c.ctx.Done():
		return nil, &Error{Reason: Cancelled, Class: r.Class, Cause: errClosed}
	}
	call := &call{c: c, ctx: ctx, request: w, wake: make(chan struct{}, 1), began: c.now(),
		due: float64(deadline.Sub(c.start)) / float64(time.Millisecond), key: xxhash.Sum64String(r.Subject), keyed: c.options.Affinity && r.Subject != ""}
	c.mu.Lock()
	call.m = attempt.New(call.began, call.due, attempt.Class{Write: k.Write, Tries: k.Tries, Hedge: !k.NoHedge && !k.Write}, n, c.shared, rand.Float64())
	c.mu.Unlock()
	resp, err := call.run()
	if h := c.options.Hooks.Call; h != nil {
		h(r.Class, len(call.tries), err, time.Duration((c.now()-call.began)*float64(time.Millisecond)))
	}
	return resp, err
}

var errClosed = errors.New("client: closed")

// Nodes returns how many nodes the client has in use.
func (c *Client) Nodes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.members.InUse(c.now()))
}
