// Package core is the payout node without its wires: requests, attempts and outcomes. It knows no protocol and
// no socket. Core is the sole owner of the decision module and of the table of requests; it is used from one
// goroutine. Inputs and an absolute now go into Step, which makes one step of the module for all that is ready,
// and outputs come out. Core decides nothing: it keeps the books, and it sees to it that each request gets one
// final answer.
//
// All times are Unix milliseconds.
package core

import (
	"container/heap"
	"fmt"
	"slices"

	"whinrudder"
	"whinrudder/internal/counters"
	"whinrudder/internal/knowledge"
	"whinrudder/internal/ops"
)

// Outcome says how a request ended for its caller.
type Outcome uint8

// The outcomes.
const (
	Served       Outcome = iota // with the result of its run
	Refused                     // this try never ran
	Failed                      // no promise
	Duplicate                   // its id is that of an earlier request: nothing was done for it
	BodyMismatch                // its operation is that of an earlier request with another body: nothing was done for it
)

// Request is one try of a request, as a front read it.
type Request struct {
	ID             string
	Class          int
	Caller         int
	ArrivedAt, Due float64 // when it reached the machine, and when its caller stops waiting
	KB, Rank       float64
	Key            string
	Token          string // names the operation that the request is a try of; empty: none
	Body           []byte
	ReplyTo        Sink
}

// Answer is the final answer to a request, or to a health check (Served is good, Failed is bad).
type Answer struct {
	ID            string // of the request; empty for a check
	Outcome       Outcome
	Result        []byte
	Credit        float64 // the free value; negative: none is said
	RetryAfter    float64 // how long the caller should keep away; 0: no advice
	NotElsewhere  bool    // wish that no other node be tried
	Kept          string  // what is known of the operation; empty: nothing special
	Close         bool    // this node leaves: no further request is wanted on the connection
	WriteDeadline float64 // a peer that has not taken the answer by then is cut
}

// Sink takes the answers of one connection. Deliver must not block.
type Sink interface{ Deliver(Answer) }

// RunEnd is how a run ended.
type RunEnd uint8

// The ends of runs.
const (
	RunOK RunEnd = iota
	RunError
	RunStopped
	RunMoot
)

var endCodes = [...]whinrudder.Code{RunOK: whinrudder.OK, RunError: whinrudder.Error,
	RunStopped: whinrudder.Cancelled, RunMoot: whinrudder.Moot}

// An Input is something that happened outside.
type Input interface{ input() }

type (
	// RequestArrived is a request that a front has read whole.
	RequestArrived struct{ *Request }
	// CallerGone tells that the caller of a request closed its connection.
	CallerGone struct{ ID string }
	// HealthCheck is a health check; a deep one wants to know whether work gets done.
	HealthCheck struct {
		Deep    bool
		ReplyTo Sink
	}
	// StopNotice is the notice to drain: the process is stopped at the given time. Where another process has taken over,
	// nobody is to be sent away.
	StopNotice struct {
		StopAt       float64
		HasSuccessor bool
	}
	// PoolReady tells that the worker pool is up, and since when and how it started.
	PoolReady struct {
		Cold bool
		Age  float64
	}
	// LinkSynced tells that the link to the worker pool is in step: all notices of the past have been read. InDoubt
	// names the runs whose start was handed to a link that broke and may not have been read there.
	LinkSynced struct{ InDoubt []string }
	// LinkLost tells that the link to the worker pool broke. Runs continue.
	LinkLost struct{}
	// RunFinished tells that a run is over.
	RunFinished struct {
		ID      string
		End     RunEnd
		Latency float64
		Result  []byte
	}
	// RunNotStarted tells that the worker pool did not carry out the start of a run.
	RunNotStarted struct{ ID string }
	// GaugesRead brings the gauges of the worker pool.
	GaugesRead struct{ whinrudder.Gauges }
	// CheckFinished tells how the work of a deep check ended.
	CheckFinished struct {
		Tag string
		OK  bool
	}
	// QueryKnowledge wants what the module has learned so far; none is told before the worker pool is up. Reply must not block.
	QueryKnowledge struct {
		Reply func(k whinrudder.Knowledge, known bool)
	}
	// AdoptPrior brings what other nodes have learned.
	AdoptPrior struct{ knowledge.Prior }
	// QueryLoad asks for what is in hand, and for the ids that were read since the last time, for another process of this
	// node. Reply must not block. Stop forgets what was told.
	QueryLoad struct {
		Stop  bool
		Reply func(load whinrudder.Beside, ids []string)
	}
	// SiblingLoad brings what another process of this node shares.
	SiblingLoad struct {
		whinrudder.Beside
		IDs []string
	}
	// OperatorDrain tells that operators send the clients away, or take them back. Done must not block.
	OperatorDrain struct {
		On   bool
		Done func()
	}
	// ChangeSettings brings new settings. Classes keep their places; NewIndices are the places that begin anew.
	ChangeSettings struct {
		Settings    whinrudder.Settings
		NewIndices  []int
		Counters    []*counters.Class // by place
		KeptClasses map[int]string    // names of the classes whose results are kept, by place
	}
)

func (RequestArrived) input() {}
func (CallerGone) input()     {}
func (HealthCheck) input()    {}
func (StopNotice) input()     {}
func (PoolReady) input()      {}
func (LinkSynced) input()     {}
func (LinkLost) input()       {}
func (RunFinished) input()    {}
func (RunNotStarted) input()  {}
func (GaugesRead) input()     {}
func (CheckFinished) input()  {}
func (QueryKnowledge) input() {}
func (AdoptPrior) input()     {}
func (OperatorDrain) input()  {}
func (QueryLoad) input()      {}
func (SiblingLoad) input()    {}
func (ChangeSettings) input() {}

// An Output is something that the drivers must do at once.
type Output interface{ output() }

type (
	// Reply hands an answer to a connection.
	Reply struct {
		To Sink
		Answer
	}
	// Spawn starts a run.
	Spawn struct {
		ID    string
		Class int
		Body  []byte
	}
	// Suspend stops a run.
	Suspend struct{ ID string }
	// Poll asks for the gauges.
	Poll struct{}
	// Verify asks for the work of a deep check.
	Verify struct{ Tag string }
	// SetIdleTimeout sets how long connections may be idle.
	SetIdleTimeout struct{ After float64 }
	// Ready tells that the worker pool is up and the module serves.
	Ready struct{ Cold bool }
	// DrainStarted tells that the node drains.
	DrainStarted struct{}
	// DrainConns tells that a node that leaves wants no more requests.
	DrainConns struct{}
	// StopAccepting tells that no new connection is wanted: the end is near.
	StopAccepting struct{}
	// DrainFinished tells that all is answered and the process may end.
	DrainFinished struct{}
	// LogEvent is an event for the log: a word, then names and values in turn.
	LogEvent struct {
		Event string
		Pairs []any
	}
)

func (Reply) output()          {}
func (Spawn) output()          {}
func (Suspend) output()        {}
func (Poll) output()           {}
func (Verify) output()         {}
func (SetIdleTimeout) output() {}
func (Ready) output()          {}
func (DrainStarted) output()   {}
func (DrainConns) output()     {}
func (StopAccepting) output()  {}
func (DrainFinished) output()  {}
func (LogEvent) output()       {}

// Times of the core's own, in milliseconds.
const (
	gaugeWait = 8    // a timer waits so long for fresh gauges, then it goes without
	checkWait = 1500 // a deep check that got no word of its work by then is bad
	maxAhead  = 1000 // a request that claims to come later than this from now is taken to come now
	writeWait = 1000 // a peer that takes an answer no sooner is cut
	wayBack   = 20   // an answer is given so long before its caller stops waiting, to be read in time
	backstop  = 30   // a request that the module left without an answer so long after it fell due is failed
	deafAt    = 400  // this long before the stop no new connection is taken
	quietAt   = 250  // and this long before it, the process ends once all is answered
	lastAt    = 60   // whatever is open then is failed
)

// request is a request that is owed an answer or whose run is not over.
type request struct {
	*Request
	open    bool // an answer is owed
	running bool // a run was started and is not over
	queued  bool // and its start waits for the link to the worker pool
	doubt   bool // it may never have been started: the module counts on it no more, but word may come

	op      bool   // it has an operation in Core.ops
	key     string // of it
	of      string // the request that it repeats, which the module knows of
	writing bool   // its run waits for the disk
	ending  bool   // its run is over, and the answer waits for the disk
}

// queue is a heap of what is due, the soonest first.
type queue[T any] []due[T]

type due[T any] struct {
	at   float64
	what T
}

func (q queue[T]) Len() int           { return len(q) }
func (q queue[T]) Less(i, j int) bool { return q[i].at < q[j].at }
func (q queue[T]) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *queue[T]) Push(x any)        { *q = append(*q, x.(due[T])) }
func (q *queue[T]) Pop() any {
	last := (*q)[len(*q)-1]
	(*q)[len(*q)-1] = due[T]{} // it must not be kept from the collector
	*q = (*q)[:len(*q)-1]
	return last
}

type check struct {
	HealthCheck
	tag string
	by  float64
}

// Core keeps the books of one node. Create it with New.
type Core struct {
	settings whinrudder.Settings
	seed     uint64
	policy   *whinrudder.Policy // nil until the worker pool is up

	now     float64
	events  []whinrudder.Event
	actions []whinrudder.Action
	out     []Output

	reqs   map[string]*request
	open   int // requests that are owed an answer
	recent ring
	keys   *keyTable

	latest queue[*request] // open requests by when the core itself answers them, and some that are answered
	wakes  queue[uint64]   // timers by their tokens
	asked  []uint64        // timers that wait for gauges
	askBy  float64         // and until when
	linked bool
	queue  []string // runs to be started once the link is in step

	checks []check
	tags   int
	health whinrudder.Health
	load   float64

	ops    *ops.Table     // nil: no results are kept, or another process of the node does
	kept   map[int]string // names of the classes whose results are
	yields bool           // another process is to have the operations

	counts []*counters.Class // by the place of the class; nil: nobody reads them
	cold   bool              // the worker pool was, when it came up
	away   bool              // operators have sent the clients away
	beside whinrudder.Beside // what another process of this node has in hand
	shares bool              // ids that are read are kept for it
	fresh  []string          // those that it was not told of

	taught *knowledge.Prior          // waits for the module to be there
	trial  *knowledge.PriorValidator // of a prior, against own runs; nil without one

	leaving   bool
	succeeded bool // another process of this node takes over
	stopAt    float64
	deaf      bool
	ended     bool
}

// New returns the core of a node that starts now.
func New(s whinrudder.Settings, seed uint64) (*Core, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	c := &Core{settings: s, seed: seed, reqs: map[string]*request{}, keys: newKeyTable(), load: -1}
	for _, k := range s.Classes {
		c.recent.keep = max(c.recent.keep, k.Deadline+maxAhead)
	}
	return c, nil
}

// Known tells whether a request of this id was read lately.
func (c *Core) known(id string) bool { return c.reqs[id] != nil || c.recent.has(id) }

// Step takes all that is ready and returns what is to be done, in order. The result is valid until the next
// call. The clock may stand still but not go back; a now that lies in the past is taken as the last one.
func (c *Core) Step(now float64, in []Input) []Output {
	c.now = max(c.now, now)
	c.out = c.out[:0]
	for _, i := range in {
		c.take(i)
	}
	c.timers()
	c.step()
	c.overdue()
	if c.ops != nil {
		c.step()
		c.release()
	}
	c.leave()
	return c.out
}

// Next returns when Step must be called again at the latest, or 0 if there is nothing to wait for.
func (c *Core) Next() float64 {
	next := 0.0
	sooner := func(at float64) {
		if next == 0 || at < next {
			next = at
		}
	}
	if len(c.wakes) > 0 {
		sooner(c.wakes[0].at)
	}
	if len(c.asked) > 0 {
		sooner(c.askBy)
	}
	for _, k := range c.checks {
		sooner(k.by)
	}
	if c.ops != nil {
		if at := c.ops.WakeAt(); at > 0 {
			sooner(at)
		}
	}
	for len(c.latest) > 0 && !c.latest[0].what.open {
		heap.Pop(&c.latest)
	}
	if len(c.latest) > 0 {
		sooner(c.latest[0].at)
	}
	if c.leaving && !c.ended {
		for _, before := range []float64{deafAt, quietAt, lastAt} {
			if at := c.stopAt - before; at > c.now {
				sooner(at)
			}
		}
	}
	return next
}

// Open tells how many requests are owed an answer.
func (c *Core) Open() int { return c.open }

func (c *Core) do(o Output)                   { c.out = append(c.out, o) }
func (c *Core) event(e whinrudder.Event)      { c.events = append(c.events, e) }
func (c *Core) log(word string, pairs ...any) { c.do(LogEvent{word, pairs}) }
func id(s string) whinrudder.RequestID        { return whinrudder.RequestID(s) }
func (c *Core) direct(to Sink, a Answer)      { c.do(Reply{to, c.dress(a)}) }
func (c *Core) good(on bool) (a Answer) {
	if !on {
		a.Outcome = Failed
	}
	return a
}

// dress adds to an answer what all answers carry.
func (c *Core) dress(a Answer) Answer {
	// A node that leaves keeps connections for as long as the module calls it good: new ones cost the cores work.
	a.Credit, a.Close, a.WriteDeadline = c.load, c.leaving && !c.health.Healthy, c.now+writeWait
	return a
}

// answer gives the final answer of a request, unless it has one.
func (c *Core) answer(r *request, a Answer) {
	if !r.open {
		return
	}
	a.ID = r.ID
	c.direct(r.ReplyTo, a)
	c.told(r.Class, a.Outcome)
	c.close(r)
}

// close ends what is owed for a request. It may stay in a queue for a while; its body need not.
func (c *Core) close(r *request) {
	r.open, r.Body = false, nil
	c.open--
	c.unqueue(r)
	if r.op && r.doubt {
		c.ops.MarkInDoubt(c.now, r.ID) // nobody is left who would wait for word until it falls due
	}
	if r.op {
		c.ops.Detach(c.now, r.ID)
	}
	c.drop(r)
}

// unqueue ends a run whose start never left: it provably did not run, and nothing must start it later.
func (c *Core) unqueue(r *request) {
	if (r.queued || r.writing) && !r.open {
		r.queued, r.writing, r.running = false, false, false
		c.event(whinrudder.Ended{ID: id(r.ID), Code: whinrudder.Moot})
		if r.op {
			c.ops.Cancel(c.now, r.ID)
		}
	}
}

// drop forgets a request of which nothing more can come, or is waited for.
func (c *Core) drop(r *request) {
	if !r.open && (!r.running || r.doubt) && c.reqs[r.ID] == r {
		delete(c.reqs, r.ID)
		c.keys.gone(r.ID)
		c.recent.add(r.ID, c.now)
	}
}

func (c *Core) take(i Input) {
	switch i := i.(type) {
	case RequestArrived:
		c.arrived(i.Request)
	case CallerGone:
		if r := c.reqs[i.ID]; r != nil && r.open {
			c.event(whinrudder.Gone{ID: id(r.ID)})
			c.close(r)
		}
	case HealthCheck:
		c.checked(i)
	case StopNotice:
		if !c.leaving {
			c.leaving, c.stopAt, c.succeeded = true, i.StopAt, i.HasSuccessor
			c.event(whinrudder.Notice{StopAt: i.StopAt, HandedOver: i.HasSuccessor})
			c.do(DrainStarted{})
		}
	case PoolReady:
		c.bound(i)
	case LinkSynced:
		c.linked = true
		c.synced(i.InDoubt)
	case LinkLost:
		c.linked = false
	case RunFinished:
		c.finished(i)
	case RunNotStarted:
		c.finished(RunFinished{ID: i.ID, End: RunMoot})
	case GaugesRead:
		for _, w := range c.asked {
			c.event(whinrudder.Timer{Token: w, Gauges: i.Gauges})
		}
		c.asked = c.asked[:0]
	case CheckFinished:
		c.verified(i)
	case QueryKnowledge:
		c.tell(i)
	case AdoptPrior:
		c.teach(i.Prior)
	case OperatorDrain:
		c.away = i.On
		c.event(whinrudder.Drain{On: i.On})
		c.log("clients", "code", map[bool]string{true: "sent-away", false: "taken-back"}[i.On])
		if i.Done != nil {
			i.Done()
		}
	case QueryLoad:
		c.share(i)
	case SiblingLoad:
		c.besides(i)
	case ChangeSettings:
		c.retune(i)
	case YieldOps:
		c.yield(i.On)
	case AdoptOps:
		c.adopt(i.Table)
	case Appended:
		c.ops.WritesDurable(c.now, i.Positions, i.Segments)
	case AppendFailed:
		c.ops.WritesFailed(c.now, i.N, i.Segments)
	case CopyUnreadable:
		c.ops.CopyUnreadable(c.now)
	case RecordFetched:
		c.fetched(i)
	case SegmentDropped:
		c.ops.SegmentDropped(c.now, i.Segment, i.Err == nil, i.Segments)
	case Resolve:
		c.resolve(i)
	}
}

// bound creates the module once the worker pool is up. The first step for a cold server is taken at the instant at
// which the pool started: that is when its warming began. Of a warm one the past says nothing, and the module would
// take the timers of its first step, an hour late, for a stall.
func (c *Core) bound(b PoolReady) {
	if c.policy != nil {
		return
	}
	c.cold = b.Cold
	s := c.settings
	s.Cold = b.Cold
	p, err := whinrudder.New(s, c.seed)
	if err != nil {
		c.log("module", "fault", err)
		return
	}
	c.policy = p
	if !b.Cold {
		b.Age = 0
	}
	c.act(p.Step(c.now-b.Age, nil, c.actions[:0]))
	c.do(Ready{b.Cold})
	if c.taught != nil {
		c.teach(*c.taught)
	}
	if c.away {
		c.event(whinrudder.Drain{On: true})
	}
	if c.beside != (whinrudder.Beside{}) {
		c.event(c.beside)
	}
	if c.leaving {
		c.event(whinrudder.Notice{StopAt: c.stopAt, HandedOver: c.succeeded})
	}
}

func (c *Core) arrived(q *Request) {
	if ahead := q.ArrivedAt - c.now; ahead > maxAhead {
		q.ArrivedAt, q.Due = c.now, q.Due-ahead // a stamp of the future would keep its timers for as long
	}
	sc := c.settings.Classes[q.Class]
	q.Due = min(q.Due, q.ArrivedAt+sc.Deadline) // no caller waits longer, and timers are kept for as long as it says
	r := &request{Request: q, open: true}
	if c.known(q.ID) {
		// Never to the module, and never to the pool: an id that ran once must not run again.
		c.log("request", "id", q.ID, "code", "duplicate")
		c.direct(q.ReplyTo, Answer{ID: q.ID, Outcome: Duplicate})
		c.told(q.Class, Duplicate)
		return
	}
	c.reqs[q.ID] = r
	if c.shares && len(c.fresh) < maxIDs {
		c.fresh = append(c.fresh, q.ID)
	}
	c.open++
	heap.Push(&c.latest, due[*request]{q.Due + backstop, r})
	// Nothing can run: the worker pool is not up, or nobody waits any more. A stamp of long ago must not make the
	// module believe that requests wait unread.
	if c.policy == nil || c.now-q.ArrivedAt > sc.Deadline {
		c.answer(r, Answer{Outcome: Refused})
		return
	}
	if q.Token != "" && c.keeps(q.Class) && !c.begin(r) {
		return
	}
	a := whinrudder.Arrival{ID: id(q.ID), RepeatOf: id(r.of), Due: q.Due - wayBack, Caller: q.Caller, ReadDelay: max(0, c.now-q.ArrivedAt), MemoryKB: q.KB,
		Rank: q.Rank, Key: q.Key, Class: q.Class, Write: sc.Repeat != whinrudder.Safe}
	if c.settings.Fresh > 0 && sc.Repeat == whinrudder.Safe && q.Key != "" {
		a.RepeatOf = id(c.keys.repeats(q, c.now))
	}
	c.event(a)
}

// synced starts again what may be started again once the notices of a broken link are all read. A write that the
// broken link may have lost may also run or have run unseen, even if it ended after the fence: it is not started
// again, and unless its end is heard of, it is failed when it falls due. Most of these never ran, so the module is
// told at once that it is over: one that was counted on would fill a place in the limit for ever.
func (c *Core) synced(unsure []string) {
	for _, s := range unsure {
		r := c.reqs[s]
		if r == nil || !r.running || r.doubt {
			continue
		}
		if r.open && c.settings.Classes[r.Class].Repeat == whinrudder.Safe {
			c.spawn(r)
			continue
		}
		if r.op && !r.open {
			c.ops.MarkInDoubt(c.now, r.ID)
		}
		if r.open {
			c.log("run", "id", s, "code", "doubt")
		} else if c.settings.Classes[r.Class].Repeat == whinrudder.Safe {
			c.do(Suspend{r.ID}) // nobody waits for it
		}
		r.doubt = true
		heap.Push(&c.latest, due[*request]{r.Due - wayBack, r})
		c.event(whinrudder.Ended{ID: id(r.ID), Code: whinrudder.Error})
		c.drop(r)
	}
	for _, s := range c.queue {
		if r := c.reqs[s]; r != nil && r.queued {
			r.queued = false
			c.spawn(r)
		}
	}
	c.queue = c.queue[:0]
}

// queueLeast is from how many starts on the queue for the link is looked through for those that nobody waits for.
const queueLeast = 64

// enqueue keeps a start for when the link is in step. While it is down, starts come and fall due for as long as it
// takes: the queue stays within twice of what is in hand.
func (c *Core) enqueue(id string) {
	if len(c.queue) >= max(queueLeast, 2*len(c.reqs)) {
		c.queue = slices.DeleteFunc(c.queue, func(s string) bool { r := c.reqs[s]; return r == nil || !r.queued })
	}
	c.queue = append(c.queue, id)
}

func (c *Core) finished(f RunFinished) {
	r := c.reqs[f.ID]
	keeps := c.ops != nil && c.opEnded(f) // one of an earlier life may be of use, too
	if r == nil || !r.running {
		return // of a life that is over, or told twice
	}
	r.running = false
	c.event(whinrudder.Ended{ID: id(r.ID), Code: endCodes[f.End], Latency: f.Latency})
	c.keys.ended(r.ID, f.End == RunOK, f.Result, c.now, c.settings.Fresh, c.reuse)
	if keeps && r.open {
		r.ending = true
		heap.Push(&c.latest, due[*request]{r.Due - wayBack, r})
	} else if f.End == RunOK {
		c.answer(r, Answer{Outcome: Served, Result: f.Result})
	} else {
		c.fail(r) // a run that ended without a result leaves nothing to wait for
	}
	c.drop(r)
}

// reuse answers a request with the result of the one that it repeats.
func (c *Core) reuse(s string, ok bool, result []byte) {
	r := c.reqs[s]
	if r == nil || !r.open {
		return
	}
	code := whinrudder.OK
	if ok {
		c.answer(r, Answer{Outcome: Served, Result: result})
	} else {
		code = whinrudder.Error
		c.fail(r)
	}
	c.event(whinrudder.Ended{ID: id(s), Code: code})
}

func (c *Core) checked(k HealthCheck) {
	switch {
	case c.policy == nil:
		c.direct(k.ReplyTo, c.good(false)) // the worker pool is not up
	case c.health.Cached || !k.Deep:
		c.direct(k.ReplyTo, c.good(c.health.Healthy))
	case !c.linked || len(c.checks) >= maxChecks:
		c.direct(k.ReplyTo, c.good(false))
	default:
		c.tags++
		tag := fmt.Sprint("check", c.tags)
		c.checks = append(c.checks, check{k, tag, c.now + checkWait})
		c.do(Verify{tag})
	}
}

const maxChecks = 64 // deep checks at work at a time; more are bad at once

func (c *Core) verified(v CheckFinished) {
	c.checks = slices.DeleteFunc(c.checks, func(k check) bool {
		if k.tag == v.Tag {
			c.direct(k.ReplyTo, c.good(v.OK))
		}
		return k.tag == v.Tag
	})
}

// timers tells the module of the timers that are due. One with a token wants gauges as of now: they are asked
// for, and if they don't come at once, the timer goes without.
func (c *Core) timers() {
	none := whinrudder.Gauges{CPU: -1}
	if len(c.asked) > 0 && c.now >= c.askBy {
		for _, w := range c.asked {
			c.event(whinrudder.Timer{Token: w, Gauges: none})
		}
		c.asked = c.asked[:0]
	}
	for len(c.wakes) > 0 && c.wakes[0].at <= c.now {
		w := heap.Pop(&c.wakes).(due[uint64]).what
		if w == 0 || !c.linked {
			c.event(whinrudder.Timer{Token: w, Gauges: none})
			continue
		}
		if len(c.asked) == 0 {
			c.askBy = c.now + gaugeWait
			c.do(Poll{})
		}
		c.asked = append(c.asked, w)
	}
	c.checks = slices.DeleteFunc(c.checks, func(k check) bool {
		if c.now >= k.by {
			c.direct(k.ReplyTo, c.good(false))
		}
		return c.now >= k.by
	})
}

// step makes one step of the module for all events. What its actions bring about at once is the next step's.
func (c *Core) step() {
	for c.effects(); c.policy != nil && len(c.events) > 0; c.effects() {
		events := c.events
		c.events = nil
		c.act(c.policy.Step(c.now, events, c.actions[:0]))
		c.watch(events)
	}
	if c.policy == nil {
		c.events = c.events[:0]
	}
}

func (c *Core) act(actions []whinrudder.Action) {
	c.actions = actions
	for _, a := range actions {
		switch a := a.(type) {
		case whinrudder.Run:
			if r := c.reqs[string(a.ID)]; r != nil && r.open && !r.running {
				r.running = true
				if r.op {
					c.intend(r)
					continue
				}
				if !c.linked {
					r.queued = true
					c.enqueue(r.ID)
					continue
				}
				c.spawn(r)
			}
		case whinrudder.Stop:
			if r := c.reqs[string(a.ID)]; r != nil && r.running && !r.queued && !r.writing {
				c.do(Suspend{r.ID})
			}
		case whinrudder.Refuse:
			if r := c.reqs[string(a.ID)]; r != nil {
				c.answer(r, Answer{Outcome: Refused, RetryAfter: a.RetryAfter, NotElsewhere: a.NoRetryElsewhere})
			}
		case whinrudder.Fail:
			if r := c.reqs[string(a.ID)]; r != nil {
				c.fail(r)
			}
		case whinrudder.Keep:
			if r := c.reqs[string(a.ID)]; r != nil && !c.keeps(r.Class) {
				c.keys.keep(r.Request, c.now, c.now+a.TTL)
			}
		case whinrudder.Forget:
			c.keys.forget(string(a.ID), c.reuse)
		case whinrudder.Reuse:
			if r := c.reqs[string(a.ID)]; r != nil && r.op {
				c.ops.Wait(c.now, r.ID, r.key)
				continue
			}
			c.keys.reuse(string(a.ID), c.reuse)
		case whinrudder.Health:
			c.health = a
			if c.leaving && !a.Healthy {
				c.do(DrainConns{})
			}
		case whinrudder.Advertise:
			c.load = a.Credit
		case whinrudder.CloseIdle:
			c.do(SetIdleTimeout{a.After})
		case whinrudder.Wake:
			heap.Push(&c.wakes, due[uint64]{a.At, a.Token})
		case whinrudder.Log:
			c.log("module", "text", a.Text)
		default:
			c.log("module", "fault", fmt.Sprintf("%T has no meaning here", a))
		}
	}
}

// last tells whether whatever is open is failed.
func (c *Core) last() bool { return c.leaving && c.now >= c.stopAt-lastAt }

// overdue sees to it that nothing stays without an answer.
func (c *Core) overdue() {
	last := c.last()
	for len(c.latest) > 0 && (last || c.now >= c.latest[0].at) {
		r := heap.Pop(&c.latest).(due[*request]).what
		switch {
		case r.open && r.ending:
			c.log("request", "id", r.ID, "code", "late-sync")
		case r.open && !r.doubt:
			c.log("request", "id", r.ID, "code", "left-open")
		}
		c.fail(r)
	}
}

// leave ends the drain.
func (c *Core) leave() {
	last := c.last()
	if !c.leaving || c.ended {
		return
	}
	if !c.deaf && c.now >= c.stopAt-deafAt {
		c.deaf = true
		c.do(StopAccepting{})
	}
	if c.deaf && (last || c.open == 0 && c.now >= c.stopAt-quietAt) {
		c.ended = true
		c.do(DrainFinished{})
	}
}
