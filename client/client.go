// Package client sends requests to a fleet of payout nodes without overloading it. It routes by the load that nodes
// report, retries only requests that are safe to retry and only within a retry budget, and hedges slow reads. Its
// errors distinguish requests that did not run from requests that may have run. It speaks HTTP/1.1, HTTP/2 without TLS
// and uwsgi.
//
// A Client is safe for concurrent use. The decisions are made by packages without I/O under internal/client; this
// package does the I/O for them.
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

// Protocol is the protocol that the client speaks to the nodes. The zero value means HTTP in Options.
type Protocol string

// The protocols.
const (
	HTTP  Protocol = "http"  // HTTP/1.1 with keep-alive
	H2C   Protocol = "h2c"   // HTTP/2 without TLS, by prior knowledge
	UWSGI Protocol = "uwsgi" // uwsgi, one request per connection
)

// Class is a class of requests. Its name must be one that the nodes are configured with.
type Class struct {
	// Name is the class in the path /rpc/NAME. It must not be empty.
	Name string
	// Write marks requests that must not run twice: they are retried only if it is proven that no try ran. The zero
	// value marks reads, which may be retried and hedged.
	Write bool
	// Tries is the maximum number of tries per call, hedges included; 0: three.
	Tries int
	// NoHedge turns off hedging of reads. Writes are never hedged.
	NoHedge bool
	// Wait is the maximum duration of a call whose context has no deadline; 0: ten seconds.
	Wait time.Duration
}

// Node is a node of the fleet, as a Source lists it.
type Node struct {
	Name     string // identifies the node and survives its restarts; empty: Addr
	Addr     string // HOST:PORT of the node's listener for the client's protocol
	Draining bool   // the node is shutting down and gets no new requests
}

// Source supplies the list of nodes.
type Source interface {
	// Watch calls list with each version of the list and the time as of which that version is valid, until ctx is done.
	// The client calls Watch once, in its own goroutine.
	Watch(ctx context.Context, list func(asOf time.Time, nodes []Node))
}

// Fixed is a Source whose list of addresses (HOST:PORT) does not change. An empty list supplies no nodes.
type Fixed []string

// Watch implements Source. It calls list once.
func (f Fixed) Watch(_ context.Context, list func(time.Time, []Node)) {
	var nodes []Node
	for _, addr := range f {
		nodes = append(nodes, Node{Name: addr, Addr: addr})
	}
	list(time.Now(), nodes)
}

// Options configure a Client. Source and Classes are required.
type Options struct {
	Source   Source   // supplies the nodes
	Protocol Protocol // empty: HTTP
	Classes  []Class  // the classes that the client may call; names must be unique
	Number   int      // identifies this client to the nodes as a caller; sent as Req-From, also when it is 0
	Subset   int      // maximum number of nodes that this client uses; 0: all
	// Affinity sends the requests of one Request.Subject to the same node while that node has capacity.
	Affinity bool
	Hooks    Hooks            // callbacks for monitoring; the zero value has none
	Limits   *connpool.Limits // connection limits; nil: the protocol's defaults; set only by tests of this module
}

// Hooks are callbacks that report the client's work. They run on the goroutines of calls, Try and End while the
// client's lock is held, so they must return quickly and must not call the client. A nil hook is skipped.
type Hooks struct {
	// Try is called before a try is sent. Retry is true for every try that the node is told is a retry (Req-Retry).
	Try func(class, node string, retry, hedge bool)
	// End is called when a try ends. Outcome has the values of Try.Outcome.
	End func(class, node string, outcome string, took time.Duration)
	// Call is called when a call ends, with the number of its tries. Err is the error that Do returns. Requests that Do
	// rejects as invalid end without it, and so may calls of a closed client.
	Call func(class string, tries int, err error, took time.Duration)
}

// Request is the input of a call.
type Request struct {
	Class   string  // name of one of Options.Classes; becomes the path /rpc/CLASS
	Subject string  // account or other entity, for Options.Affinity; Req-Subject of RoundTripper, not sent; empty: none
	Key     string  // Req-Key, for classes that have a key; empty: not sent
	Token   string  // Req-Token, the idempotency key under which the node keeps the result; empty: not sent
	Body    []byte  // the request body; nil: empty
	KB      float64 // Req-Kb, the memory that the request needs at a node, in KB; 0: 32
	Rank    float64 // Req-Rank, the importance from 0 (lowest) to 1 (highest)
}

// Response is the result of a call.
type Response struct {
	Body  []byte // the response body
	Node  string // name of the node that answered; Srv-Node of RoundTripper
	Kept  string // Srv-Kept, how the answer relates to a kept result; empty: the node did not send it
	Tries int    // tries made until the result, at least 1
}

// Reason is the reason why a call has no result. Its String is the value of Srv-Reason.
type Reason = attempt.Reason

// The reasons. After Rejected, NoNode, Throttled and NoTime it is proven that the request did not run. After Unknown,
// Failure and Cancelled, Error.MayHaveRun reports whether it may have run.
const (
	Rejected  = attempt.Rejected  // nodes refused the request
	NoNode    = attempt.NoNode    // no node was available in time
	Throttled = attempt.Throttled // the client did not send the request because nodes refuse most requests
	NoTime    = attempt.NoTime    // too little time was left for a try
	Failure   = attempt.Failure   // no try of a read returned a result
	Unknown   = attempt.Unknown   // a write that may have run
	Cancelled = attempt.Cancelled // the context was cancelled or the client was closed
)

// ErrUnknown is matched, with errors.Is, by the error of a write that may have run and of a cancelled call that may
// have run.
var ErrUnknown = errors.New("client: outcome unknown")

// Error is the error of a call that has no result.
type Error struct {
	Reason Reason        // why there is no result
	Class  string        // class of the request
	Tries  []Try         // the tries in the order of their start; empty: nothing was sent
	Wait   time.Duration // Srv-Wait-Ms, the time that nodes last asked the caller to wait before a retry; 0: none asked
	Cause  error         // error of the context, or else of the last try that had one; nil: none
}

// Try is one try of a call: a request to one node.
type Try struct {
	Node string // name of the node
	ID   string // Req-Id, 16 hexadecimal digits
	// Outcome is served, refused, unsent, failed, broken, late or withdrawn, or open if the try had not ended when the
	// call did. Only refused and unsent prove that the request did not run.
	Outcome string
	Took    time.Duration // from the start of the try to its end; 0: it had not ended
	Status  int           // HTTP status of the answer; 0: no answer
}

// Error returns the class, the reason, the number of tries and the cause.
func (e *Error) Error() string {
	s := fmt.Sprintf("client: %s: %v after %d tries", e.Class, e.Reason, len(e.Tries))
	if e.Cause != nil {
		s += ": " + e.Cause.Error()
	}
	return s
}

// Unwrap returns ErrUnknown if the Reason is Unknown, or Cancelled and the request may have run, and the cause if there
// is one.
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

// Client sends requests to the nodes of its Source. Create it with New; the zero value is not usable.
type Client struct {
	options    Options
	classes    map[string]int // index in options.Classes by name
	start      time.Time      // origin of the times of now
	cancel     context.CancelFunc
	ctx        context.Context
	goroutines sync.WaitGroup

	mu        sync.Mutex // guards all fields below
	members   *members.Members
	router    *route.Router
	shared    *attempt.ClientState
	pools     *connpool.Pool
	conns     map[int]conn  // by connpool.Conn.ID
	connFreed chan struct{} // closed and replaced when a connection may have become available
	firstList chan struct{} // closed when the first list with nodes arrives
	hasNodes  bool          // firstList is closed
	closed    bool          // Close was called
}

// defaultWait is the maximum duration of a call whose context has no deadline and whose class has no Wait.
const defaultWait = 10 * time.Second

// New returns a client and starts watching its source. The caller must Close the client.
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
		return nil, fmt.Errorf("client: unknown protocol %q", o.Protocol)
	}
	if o.Source == nil {
		return nil, errors.New("client: Options.Source is nil")
	}
	if len(o.Classes) == 0 {
		return nil, errors.New("client: Options.Classes is empty")
	}
	limits := connpool.DefaultLimits(streams)
	if o.Protocol == UWSGI {
		limits = connpool.DefaultLimitsNoReuse()
	}
	if o.Limits != nil {
		limits = *o.Limits
	}
	c := &Client{options: o, classes: map[string]int{}, start: time.Now(),
		members: members.New(rand.Uint64(), o.Subset), router: route.New(),
		shared: &attempt.ClientState{RetryBudget: attempt.NewBudget(), WaitBudget: attempt.NewBudget(),
			Throttle: attempt.NewThrottle(), Latencies: attempt.NewLatencies(len(o.Classes))},
		pools: connpool.New(limits), conns: map[int]conn{},
		connFreed: make(chan struct{}), firstList: make(chan struct{})}
	for i, k := range o.Classes {
		if _, duplicate := c.classes[k.Name]; duplicate || k.Name == "" {
			return nil, fmt.Errorf("client: class name %q is empty or not unique", k.Name)
		}
		c.classes[k.Name] = i
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.goroutines.Go(func() { o.Source.Watch(c.ctx, c.setNodes) })
	c.goroutines.Go(c.closeIdle)
	return c, nil
}

// now returns the milliseconds since the start of the client, by the monotonic clock, so that a change of the system's
// clock has no effect.
func (c *Client) now() float64 { return float64(time.Since(c.start)) / float64(time.Millisecond) }

// timeAt converts a time of now to a time.Time.
func (c *Client) timeAt(ms float64) time.Time {
	return c.start.Add(time.Duration(ms * float64(time.Millisecond)))
}

// setNodes receives a list of nodes from the source.
func (c *Client) setNodes(asOf time.Time, nodes []Node) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []members.Node
	for _, n := range nodes {
		if n.Name == "" {
			n.Name = n.Addr
		}
		list = append(list, members.Node{Name: n.Name, Addr: n.Addr, Draining: n.Draining})
	}
	c.members.SetList(c.now(), float64(asOf.Sub(c.start))/float64(time.Millisecond), list)
	if !c.hasNodes && len(list) > 0 {
		c.hasNodes = true
		close(c.firstList)
	}
}

// closeIdle closes connections that were idle for too long, and drops the routing state of nodes no longer in use,
// every second until the client is closed.
func (c *Client) closeIdle() {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-ticker.C:
		}
		c.mu.Lock()
		expired, _ := c.pools.IdleExpired(c.now())
		for _, p := range expired {
			c.dropConn(p)
		}
		c.router.Forget(c.members.InUse(c.now()))
		c.mu.Unlock()
	}
}

// dropConn closes a connection and removes it from the pool. The caller holds the lock.
func (c *Client) dropConn(p *connpool.Conn) {
	if nodeConn := c.conns[p.ID]; nodeConn != nil {
		nodeConn.close()
		delete(c.conns, p.ID)
	}
	c.pools.Remove(p)
	c.notifyConnFreed()
}

// notifyConnFreed wakes all goroutines that wait for a connection. The caller holds the lock.
func (c *Client) notifyConnFreed() {
	close(c.connFreed)
	c.connFreed = make(chan struct{})
}

// Close closes the client and its connections. Calls in progress end with Cancelled. Close waits for the client's
// goroutines.
func (c *Client) Close() {
	c.cancel()
	c.mu.Lock()
	c.closed = true
	for id, nodeConn := range c.conns {
		nodeConn.close()
		delete(c.conns, id)
	}
	c.notifyConnFreed()
	c.mu.Unlock()
	c.goroutines.Wait()
}

// Do sends a request and returns its result. It ends by the deadline of ctx or, if ctx has none, within the Wait of the
// class; the time left is sent to the nodes as Req-Wait-Ms. The error is an *Error, unless the request is invalid or
// its class is not one of Options.Classes.
func (c *Client) Do(ctx context.Context, r Request) (*Response, error) {
	classIndex, ok := c.classes[r.Class]
	if !ok {
		return nil, fmt.Errorf("client: unknown class %q", r.Class)
	}
	wireRequest := wire.Request{Class: r.Class, Caller: c.options.Number, KB: r.KB, Rank: r.Rank, Key: r.Key,
		Token: r.Token, Body: r.Body, ID: "0000000000000000"}
	if wireRequest.KB == 0 {
		wireRequest.KB = 32
	}
	if err := r.check(); err != nil {
		return nil, err
	}
	class := c.options.Classes[classIndex]
	wait := class.Wait
	if wait == 0 {
		wait = defaultWait
	}
	deadline := time.Now().Add(wait)
	if d, ok := ctx.Deadline(); ok {
		deadline = d
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	select {
	case <-c.firstList: // calls wait until the source lists the first nodes
	case <-ctx.Done():
	case <-c.ctx.Done():
		return nil, &Error{Reason: Cancelled, Class: r.Class, Cause: errClosed}
	}
	call := &call{client: c, ctx: ctx, request: wireRequest, tryEnded: make(chan struct{}, 1), startedMs: c.now(),
		deadlineMs:  float64(deadline.Sub(c.start)) / float64(time.Millisecond),
		affinityKey: xxhash.Sum64String(r.Subject), hasKey: c.options.Affinity && r.Subject != ""}
	c.mu.Lock()
	call.machine = attempt.New(call.startedMs, call.deadlineMs,
		attempt.Class{Write: class.Write, Tries: class.Tries, Hedge: !class.NoHedge && !class.Write},
		classIndex, c.shared, rand.Float64())
	c.mu.Unlock()
	resp, err := call.run()
	if hook := c.options.Hooks.Call; hook != nil {
		hook(r.Class, len(call.tries), err, time.Duration((c.now()-call.startedMs)*float64(time.Millisecond)))
	}
	return resp, err
}

// errClosed is the cause of calls that end because the client is closed.
var errClosed = errors.New("client: closed")

// Nodes returns the number of nodes that the client uses.
func (c *Client) Nodes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.members.InUse(c.now()))
}
