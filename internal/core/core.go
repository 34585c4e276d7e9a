// Package core tracks the requests, runs and outcomes of a payout node without doing any I/O. It contains no
// protocol and no socket code. Core is the only owner of the decision module and of the request table, and it must be
// used from one goroutine. Callers pass inputs and the current absolute time to Step, which makes one step of the
// decision module for all pending inputs and returns the outputs to carry out. Core makes no admission decision
// itself: it keeps the state of each request and guarantees that each one gets exactly one final answer.
//
// All times are Unix milliseconds.
package core

import (
	"fmt"
	"math"
	"slices"

	"whinrudder"
	"whinrudder/internal/counters"
	"whinrudder/internal/knowledge"
	"whinrudder/internal/ops"
	"whinrudder/internal/queue"
)

// Outcome is how a request ended for its caller.
type Outcome uint8

// The possible outcomes of a request.
const (
	Served       Outcome = iota // answered with the result of its run
	Refused                     // this attempt never ran
	Failed                      // no result; the attempt may have run
	Duplicate                   // an earlier request has the same id; nothing was done for this one
	BodyMismatch                // an earlier request of the same operation has another body; nothing was done for this one
)

// Request is one attempt of a request, as a front read it.
type Request struct {
	ID             string
	Class          int
	Caller         int
	ArrivedAt, Due float64 // when it reached the machine, and when its caller stops waiting for the answer
	KB, Rank       float64
	Key            string
	Token          string // identifies the operation that the request is an attempt of; empty: none
	Body           []byte
	ReplyTo        Sink
}

// Answer is the final answer to a request or to a health check (Served means healthy, Failed means unhealthy).
type Answer struct {
	ID            string // of the request; empty for a health check
	Outcome       Outcome
	Result        []byte
	Credit        float64 // the credit to report to the caller; negative: none
	RetryAfter    float64 // how long the caller should wait before it retries, in milliseconds; 0: not specified
	NotElsewhere  bool    // asks the caller not to retry at another node
	Kept          string  // state of the kept operation; empty: nothing to report
	Close         bool    // this node is draining: the caller should send no further request on the connection
	WriteDeadline float64 // the connection is cut if the peer has not read the answer by then
}

// Sink receives the answer to one request or health check. Deliver must not block. The dynamic type must be comparable,
// because a Sink also identifies the request of a caller that gives up.
type Sink interface{ Deliver(Answer) }

// RunEnd is how a run ended.
type RunEnd uint8

// The ways in which a run ends.
const (
	RunOK      RunEnd = iota // with a result
	RunError                 // with an error
	RunStopped               // stopped by Suspend
	RunMoot                  // it provably did not run
)

var endCodes = [...]whinrudder.Code{RunOK: whinrudder.OK, RunError: whinrudder.Error,
	RunStopped: whinrudder.Cancelled, RunMoot: whinrudder.Moot}

// An Input is an external event for Step.
type Input interface{ input() }

type (
	// RequestArrived reports a request that a front has read completely.
	RequestArrived struct{ *Request }
	// CallerGone reports that a caller gave up the request that it sent with the given id and ReplyTo. The id alone does
	// not identify the request, because any other caller may have sent the same id.
	CallerGone struct {
		ID      string
		ReplyTo Sink
	}
	// HealthCheck is a health check; a deep one tests whether the worker pool completes work.
	HealthCheck struct {
		Deep    bool
		ReplyTo Sink
	}
	// StopNotice starts the drain: the process stops at the given time. If another process of this node has taken
	// over (HasSuccessor), clients need not move to other nodes.
	StopNotice struct {
		StopAt       float64
		HasSuccessor bool
	}
	// PoolReady reports that the worker pool is up, whether it started cold and how many milliseconds ago it started.
	PoolReady struct {
		Cold bool
		Age  float64
	}
	// LinkSynced reports that the link to the worker pool is synchronized: all earlier notices have been read.
	// InDoubt lists the runs whose start was sent over a link that broke, so the pool may not have read it.
	LinkSynced struct{ InDoubt []string }
	// LinkLost reports that the link to the worker pool broke. Runs continue.
	LinkLost struct{}
	// RunFinished reports that a run ended.
	RunFinished struct {
		ID      string
		End     RunEnd
		Latency float64
		Result  []byte
	}
	// RunNotStarted reports that the worker pool did not start a run.
	RunNotStarted struct{ ID string }
	// GaugesRead delivers the gauges of the worker pool.
	GaugesRead struct{ whinrudder.Gauges }
	// CheckFinished reports how the work of a deep health check ended.
	CheckFinished struct {
		Tag string
		OK  bool
	}
	// QueryKnowledge asks for what the decision module has learned so far; known is false before the worker pool is
	// up. Reply must not block.
	QueryKnowledge struct {
		Reply func(k whinrudder.Knowledge, known bool)
	}
	// AdoptPrior delivers what other nodes have learned.
	AdoptPrior struct{ knowledge.Prior }
	// QueryLoad asks, on behalf of another process of this node, for the current load and for the ids of the requests
	// that were read since the last query. Reply must not block. Stop ends the collection of ids.
	QueryLoad struct {
		Stop  bool
		Reply func(load whinrudder.Beside, ids []string)
	}
	// SiblingLoad delivers the load and the request ids of another process of this node.
	SiblingLoad struct {
		whinrudder.Beside
		IDs []string
	}
	// OperatorDrain turns the drain of clients on or off: by an operator's order to this process (Revision 0), or as another
	// process of this node reports it. Done, if not nil, gets the state that holds from now on; it must not block.
	OperatorDrain struct {
		DrainState
		Done func(DrainState)
	}
	// ChangeLimits bounds what the core remembers: the ids of ended requests that may have run, and as many of others, and
	// the size of the results that are kept to serve several requests.
	ChangeLimits struct{ MaxIDs, ResultBytes int }
	// ChangeSettings delivers new settings. Classes keep their indices; NewIndices lists those whose learned state is
	// reset.
	ChangeSettings struct {
		Settings    whinrudder.Settings
		NewIndices  []int
		Counters    []*counters.Class // by class index
		KeptClasses map[int]string    // names of the classes whose results are kept, by class index
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
func (ChangeLimits) input()   {}
func (ChangeSettings) input() {}

// An Output is an action that the drivers must carry out immediately.
type Output interface{ output() }

type (
	// Reply sends an answer to a connection.
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
	// Poll requests the gauges of the worker pool.
	Poll struct{}
	// Verify starts the work of a deep health check.
	Verify struct{ Tag string }
	// SetIdleTimeout sets how many milliseconds connections may be idle.
	SetIdleTimeout struct{ After float64 }
	// Ready reports that the worker pool is up and the decision module serves requests.
	Ready struct{ Cold bool }
	// DrainStarted reports that the node starts to drain.
	DrainStarted struct{}
	// DrainConns reports that a draining node accepts no more requests on its connections.
	DrainConns struct{}
	// StopAccepting closes the listeners shortly before the process stops.
	StopAccepting struct{}
	// DrainFinished reports that all requests are answered and the process may exit.
	DrainFinished struct{}
	// LogEvent is a log entry: an event word, then alternating names and values.
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

// Time limits of the core, in milliseconds.
const (
	gaugeTimeoutMs     = 8    // how long a timer waits for fresh gauges before it fires without them
	checkTimeoutMs     = 1500 // a deep health check whose work has not ended by then fails
	maxClockAheadMs    = 1000 // a request whose arrival time is further in the future counts as arriving now
	writeTimeoutMs     = 1000 // a peer that has not read an answer by then is disconnected
	returnMarginMs     = 20   // an answer is sent this long before its caller stops waiting, to arrive in time
	unansweredGraceMs  = 30   // a request that the module left unanswered this long past its due time is failed
	stopAcceptMarginMs = 400  // no new connection is accepted from this long before the stop
	idleExitMarginMs   = 250  // from this long before the stop the process exits once all requests are answered
	failAllMarginMs    = 60   // requests still open this long before the stop are failed
)

// request is a request that has no answer yet or whose run has not ended.
type request struct {
	*Request
	open    bool // it has no final answer yet
	running bool // a run was started and has not ended
	queued  bool // running is set, but the start waits for the link to the worker pool
	inDoubt bool // it may never have started: the module no longer counts it, but a notice of its end may still come

	hasOp         bool   // Core.ops has an operation for it
	opKey         string // key of that operation
	repeatOf      string // id of the request that it repeats, which the module knows
	intentPending bool   // its run waits until the intent is durable
	endPending    bool   // its run has ended, and the answer waits until that is durable
	maybeRan      bool   // a run was started and is not known to have been moot

	deadline queue.HeapEntry[*request] // in Core.answerDeadlines while it is open
}

// pendingCheck is a deep health check whose work has not ended.
type pendingCheck struct {
	HealthCheck
	tag      string
	deadline float64
}

// Core holds the request state of one node. Create it with New.
type Core struct {
	settings whinrudder.Settings
	seed     uint64
	policy   *whinrudder.Policy // nil until the worker pool is up

	now     float64
	events  []whinrudder.Event  // for the next step of the module
	actions []whinrudder.Action // reused buffer
	out     []Output            // of the current call of Step

	requests  map[string]*request
	openCount int // number of requests without a final answer
	recentIDs endedIDs
	keys      *keyTable

	answerDeadlines      queue.Heap[*request] // the open requests, by the time at which the core answers them itself
	wakeups              wakeups              // the module's timers
	timersAwaitingGauges []uint64             // tokens of due timers that wait for gauges
	gaugesDueAt          float64              // when those fire without gauges
	linkSynced           bool
	startQueue           []string // ids of the runs to start once the link is synchronized

	checks     []pendingCheck
	checkCount int               // deep checks started so far, for their tags
	health     whinrudder.Health // as last reported by the module
	credit     float64           // as last reported by the module; negative: none

	ops         *ops.Table     // nil: no results are kept, or another process of the node keeps them
	keptClasses map[int]string // names of the classes whose results are kept, by class index
	yieldingOps bool           // the operations are being given up to another process of the node

	counters      []*counters.Class // by class index; nil: nothing is counted
	poolCold      bool              // the worker pool was cold when it came up
	operatorDrain DrainState        // whether an operator turned the drain of clients on
	siblingLoad   whinrudder.Beside // load of another process of this node
	sharingIDs    bool              // ids of new requests are collected for that process
	unsharedIDs   []string          // collected ids that it has not received yet

	pendingPrior   *knowledge.Prior          // waits until the module is created
	priorValidator *knowledge.PriorValidator // checks the adopted prior against this node's own runs; nil: no prior

	draining      bool
	hasSuccessor  bool // another process of this node has taken over
	stopAt        float64
	acceptStopped bool // StopAccepting was sent
	drainFinished bool // DrainFinished was sent
}

// New returns the core of a node that has just started.
func New(s whinrudder.Settings, seed uint64) (*Core, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	c := &Core{settings: s, seed: seed, requests: map[string]*request{}, keys: newKeyTable(), credit: -1}
	c.recentIDs = newEndedIDs(longestWait(s.Classes))
	c.wakeups.setHorizon(longestWait(s.Classes))
	return c, nil
}

// longestWait returns the longest deadline of the classes.
func longestWait(classes []whinrudder.Class) (ms float64) {
	for _, k := range classes {
		ms = max(ms, k.Deadline)
	}
	return ms
}

// isKnown reports whether a request with this id is in the table or ended recently.
func (c *Core) isKnown(id string) bool { return c.requests[id] != nil || c.recentIDs.has(id) }

// Step handles the given inputs and all due timers and returns the outputs to carry out, in order. The result is
// valid until the next call. Time does not go backwards: a now before that of the previous call counts as that one.
func (c *Core) Step(now float64, in []Input) []Output {
	c.now = max(c.now, now)
	clear(c.out) // lets the garbage collector free what the outputs of the last step refer to
	c.out = c.out[:0]
	for _, i := range in {
		c.handleInput(i)
	}
	c.fireTimers()
	c.stepModule()
	c.failOverdue()
	if c.ops != nil {
		c.stepModule()
		c.releaseOps()
	}
	c.advanceDrain()
	return c.out
}

// Next returns the latest time at which Step must be called again, or 0 if nothing is scheduled.
func (c *Core) Next() float64 {
	next := 0.0
	sooner := func(at float64) {
		if next == 0 || at < next {
			next = at
		}
	}
	if at, ok := c.wakeups.first(); ok {
		sooner(at)
	}
	if len(c.timersAwaitingGauges) > 0 {
		sooner(c.gaugesDueAt)
	}
	for _, k := range c.checks {
		sooner(k.deadline)
	}
	if c.ops != nil {
		if at := c.ops.WakeAt(); at > 0 {
			sooner(at)
		}
	}
	if at, ok := c.answerDeadlines.First(); ok {
		sooner(at)
	}
	if c.draining && !c.drainFinished {
		for _, margin := range []float64{stopAcceptMarginMs, idleExitMarginMs, failAllMarginMs} {
			if at := c.stopAt - margin; at > c.now {
				sooner(at)
			}
		}
	}
	return next
}

// Open returns the number of requests without a final answer.
func (c *Core) Open() int { return c.openCount }

func (c *Core) emit(o Output)                      { c.out = append(c.out, o) }
func (c *Core) addEvent(e whinrudder.Event)        { c.events = append(c.events, e) }
func (c *Core) logEvent(word string, pairs ...any) { c.emit(LogEvent{word, pairs}) }
func id(s string) whinrudder.RequestID             { return whinrudder.RequestID(s) }
func (c *Core) reply(to Sink, a Answer)            { c.emit(Reply{to, c.withConnectionInfo(a)}) }

// healthAnswer returns the answer to a health check.
func (c *Core) healthAnswer(healthy bool) (a Answer) {
	if !healthy {
		a.Outcome = Failed
	}
	return a
}

// withConnectionInfo adds the credit, the close flag and the write deadline that all answers carry.
func (c *Core) withConnectionInfo(a Answer) Answer {
	// A draining node keeps connections for as long as the module calls it healthy: new ones cost CPU time.
	a.Credit, a.Close, a.WriteDeadline = c.credit, c.draining && !c.health.Healthy, c.now+writeTimeoutMs
	return a
}

// answer sends the final answer of a request, unless it already has one.
func (c *Core) answer(r *request, a Answer) {
	if !r.open {
		return
	}
	a.ID = r.ID
	c.reply(r.ReplyTo, a)
	c.countAnswer(r.Class, a.Outcome)
	c.closeRequest(r)
}

// closeRequest marks a request as needing no answer. It may stay in the table until its run ends, so it is released what
// only an open request needs: its body, its deadline and its sink, which refers to the connection.
func (c *Core) closeRequest(r *request) {
	r.open, r.Body, r.ReplyTo = false, nil, nil
	c.answerDeadlines.Remove(&r.deadline)
	c.openCount--
	c.cancelUnstarted(r)
	if r.hasOp && r.inDoubt {
		c.ops.MarkInDoubt(c.now, r.ID) // no caller is left that would wait for the end until the due time
	}
	if r.hasOp {
		c.ops.Detach(c.now, r.ID)
	}
	c.forgetIfDone(r)
}

// cancelUnstarted ends a run whose start was never sent: it provably did not run, and it must not start later.
func (c *Core) cancelUnstarted(r *request) {
	if (r.queued || r.intentPending) && !r.open {
		r.queued, r.intentPending, r.running = false, false, false
		c.addEvent(whinrudder.Ended{ID: id(r.ID), Code: whinrudder.Moot})
		if r.hasOp {
			c.ops.Cancel(c.now, r.ID)
		}
	}
}

// forgetIfDone removes a request from the table if it is answered and no end of its run is expected.
func (c *Core) forgetIfDone(r *request) {
	if !r.open && (!r.running || r.inDoubt) && c.requests[r.ID] == r {
		delete(c.requests, r.ID)
		c.keys.forgetRepeat(r.ID)
		c.recentIDs.add(r.ID, r.maybeRan, c.now)
	}
}

// handleInput dispatches one input.
func (c *Core) handleInput(i Input) {
	switch i := i.(type) {
	case RequestArrived:
		c.handleArrival(i.Request)
	case CallerGone:
		c.handleCallerGone(i)
	case HealthCheck:
		c.handleHealthCheck(i)
	case StopNotice:
		if !c.draining {
			c.draining, c.stopAt, c.hasSuccessor = true, i.StopAt, i.HasSuccessor
			c.addEvent(whinrudder.Notice{StopAt: i.StopAt, HandedOver: i.HasSuccessor})
			c.emit(DrainStarted{})
		}
	case PoolReady:
		c.handlePoolReady(i)
	case LinkSynced:
		c.linkSynced = true
		c.handleLinkSynced(i.InDoubt)
	case LinkLost:
		c.linkSynced = false
	case RunFinished:
		c.handleRunFinished(i)
	case RunNotStarted:
		c.handleRunFinished(RunFinished{ID: i.ID, End: RunMoot})
	case GaugesRead:
		for _, w := range c.timersAwaitingGauges {
			c.addEvent(whinrudder.Timer{Token: w, Gauges: i.Gauges})
		}
		c.timersAwaitingGauges = c.timersAwaitingGauges[:0]
	case CheckFinished:
		c.handleCheckFinished(i)
	case QueryKnowledge:
		c.replyKnowledge(i)
	case AdoptPrior:
		c.adoptPrior(i.Prior)
	case OperatorDrain:
		c.changeOperatorDrain(i)
	case QueryLoad:
		c.handleQueryLoad(i)
	case SiblingLoad:
		c.handleSiblingLoad(i)
	case ChangeLimits:
		c.recentIDs.setMaxIDs(i.MaxIDs)
		c.keys.maxBytes = i.ResultBytes
	case ChangeSettings:
		c.changeSettings(i)
	case YieldOps:
		c.setYieldOps(i.On)
	case AdoptOps:
		c.adoptOps(i.Table)
	case Appended:
		c.ops.WritesDurable(c.now, i.Positions, i.Segments)
	case AppendFailed:
		c.ops.WritesFailed(c.now, i.N, i.Segments)
	case CopyUnreadable:
		c.ops.CopyUnreadable(c.now)
	case RecordFetched:
		c.handleRecordFetched(i)
	case SegmentDropped:
		c.ops.SegmentDropped(c.now, i.Segment, i.Err == nil, i.Segments)
	case Resolve:
		c.resolveOp(i)
	}
}

// handleCallerGone closes the open request of a caller that gave it up. A caller whose request was a duplicate has none,
// even if the request with that id is open: that one belongs to another caller, who still waits.
func (c *Core) handleCallerGone(gone CallerGone) {
	r := c.requests[gone.ID]
	if r == nil || !r.open || r.ReplyTo != gone.ReplyTo {
		return
	}
	c.addEvent(whinrudder.Gone{ID: id(r.ID)})
	c.closeRequest(r)
}

// handlePoolReady creates the decision module once the worker pool is up. For a cold pool the module's first step has
// the time at which the pool started, because its warm-up began then. For a warm pool it has the current time: if the
// pool started an hour ago, the timers of such a first step would be an hour late, which the module would take for a
// stall.
func (c *Core) handlePoolReady(ready PoolReady) {
	if c.policy != nil {
		return
	}
	c.poolCold = ready.Cold
	s := c.settings
	s.Cold = ready.Cold
	policy, err := whinrudder.New(s, c.seed)
	if err != nil {
		c.logEvent("module", "fault", err)
		return
	}
	c.policy = policy
	if !ready.Cold {
		ready.Age = 0
	}
	c.applyActions(policy.Step(c.now-ready.Age, nil, c.actions[:0]))
	c.emit(Ready{ready.Cold})
	if c.pendingPrior != nil {
		c.adoptPrior(*c.pendingPrior)
	}
	if c.operatorDrain.On {
		c.addEvent(whinrudder.Drain{On: true})
	}
	if c.siblingLoad != (whinrudder.Beside{}) {
		c.addEvent(c.siblingLoad)
	}
	if c.draining {
		c.addEvent(whinrudder.Notice{StopAt: c.stopAt, HandedOver: c.hasSuccessor})
	}
}

// handleArrival adds a request to the table and passes it to the module, or answers it at once.
func (c *Core) handleArrival(req *Request) {
	if ahead := req.ArrivedAt - c.now; ahead > maxClockAheadMs {
		req.ArrivedAt, req.Due = c.now, req.Due-ahead // otherwise its timers would stay pending too long
	}
	class := c.settings.Classes[req.Class]
	// No caller waits longer than the deadline of the class, and the request's timers are kept until it is due.
	req.Due = min(req.Due, req.ArrivedAt+class.Deadline)
	r := &request{Request: req, open: true}
	if c.isKnown(req.ID) {
		// A duplicate reaches neither the module nor the pool: an id that ran once must not run again.
		c.logEvent("request", "id", req.ID, "code", "duplicate")
		c.reply(req.ReplyTo, Answer{ID: req.ID, Outcome: Duplicate})
		c.countAnswer(req.Class, Duplicate)
		return
	}
	c.requests[req.ID] = r
	if c.sharingIDs && len(c.unsharedIDs) < maxUnsharedIDs {
		c.unsharedIDs = append(c.unsharedIDs, req.ID)
	}
	c.openCount++
	r.deadline.Value = r
	c.answerDeadlines.Set(&r.deadline, req.Due+unansweredGraceMs)
	// Refuse it if the worker pool is not up or no caller can be waiting any more. An arrival time long ago must not
	// make the module believe that requests wait unread for that long.
	if c.policy == nil || c.now-req.ArrivedAt > class.Deadline {
		c.answer(r, Answer{Outcome: Refused})
		return
	}
	if req.Token != "" && c.keepsResults(req.Class) && !c.beginOp(r) {
		return
	}
	arrival := whinrudder.Arrival{ID: id(req.ID), RepeatOf: id(r.repeatOf), Due: req.Due - returnMarginMs,
		Caller: req.Caller, ReadDelay: max(0, c.now-req.ArrivedAt), MemoryKB: req.KB,
		Rank: req.Rank, Key: req.Key, Class: req.Class, Write: class.Repeat != whinrudder.Safe}
	if c.settings.Fresh > 0 && class.Repeat == whinrudder.Safe && req.Key != "" {
		arrival.RepeatOf = id(c.keys.repeatedID(req, c.now))
	}
	c.addEvent(arrival)
}

// handleLinkSynced restarts the runs in doubt that may be repeated, once all notices of a broken link are read, and
// then starts the queued runs. A write whose start the broken link may have lost may also be running or have run
// unseen, even if it ended after the fence: it is not started again, and it is failed shortly before its due time
// unless a notice of its end comes. Most of these never ran, so the module gets their end at once: otherwise each would
// occupy a slot of the concurrency limit forever.
func (c *Core) handleLinkSynced(inDoubt []string) {
	for _, runID := range inDoubt {
		r := c.requests[runID]
		if r == nil || !r.running || r.inDoubt {
			continue
		}
		if r.open && c.settings.Classes[r.Class].Repeat == whinrudder.Safe {
			c.spawn(r)
			continue
		}
		if r.hasOp && !r.open {
			c.ops.MarkInDoubt(c.now, r.ID)
		}
		if r.open {
			c.logEvent("run", "id", runID, "code", "doubt")
		} else if c.settings.Classes[r.Class].Repeat == whinrudder.Safe {
			c.emit(Suspend{r.ID}) // no caller waits for it
		}
		r.inDoubt = true
		if r.open {
			c.answerDeadlines.Set(&r.deadline, r.Due-returnMarginMs)
		}
		c.addEvent(whinrudder.Ended{ID: id(r.ID), Code: whinrudder.Error})
		c.forgetIfDone(r)
	}
	for _, runID := range c.startQueue {
		if r := c.requests[runID]; r != nil && r.queued {
			r.queued = false
			c.spawn(r)
		}
	}
	c.startQueue = c.startQueue[:0]
}

// startQueueTrimMin is the length in runs from which the start queue is searched for runs that are no longer queued.
const startQueueTrimMin = 64

// enqueueStart holds the start of a run until the link is synchronized. While the link is down, new starts keep
// coming and old ones fall due, so the queue is trimmed to stay within twice the number of requests in the table.
func (c *Core) enqueueStart(id string) {
	if len(c.startQueue) >= max(startQueueTrimMin, 2*len(c.requests)) {
		c.startQueue = slices.DeleteFunc(c.startQueue, func(s string) bool { r := c.requests[s]; return r == nil || !r.queued })
	}
	c.startQueue = append(c.startQueue, id)
}

// handleRunFinished ends a run and answers its request, or has the answer wait until the end is durable.
func (c *Core) handleRunFinished(f RunFinished) {
	r := c.requests[f.ID]
	awaitsEnd := c.ops != nil && c.finishOp(f) // a run that a previous process started may have an operation, too
	if r == nil || !r.running {
		return // a run of a previous process, or a repeated notice
	}
	r.running, r.maybeRan = false, f.End != RunMoot
	c.addEvent(whinrudder.Ended{ID: id(r.ID), Code: endCodes[f.End], Latency: f.Latency})
	c.keys.runEnded(r.ID, f.End == RunOK, f.Result, c.now, c.settings.Fresh, c.answerRepeat)
	if awaitsEnd && r.open {
		r.endPending = true
		c.answerDeadlines.Set(&r.deadline, r.Due-returnMarginMs)
	} else if f.End == RunOK {
		c.answer(r, Answer{Outcome: Served, Result: f.Result})
	} else {
		c.failRequest(r) // no result will come
	}
	c.forgetIfDone(r)
}

// answerRepeat answers a request with the result of the one that it repeats.
func (c *Core) answerRepeat(requestID string, ok bool, result []byte) {
	r := c.requests[requestID]
	if r == nil || !r.open {
		return
	}
	code := whinrudder.OK
	if ok {
		c.answer(r, Answer{Outcome: Served, Result: result})
	} else {
		code = whinrudder.Error
		c.failRequest(r)
	}
	c.addEvent(whinrudder.Ended{ID: id(requestID), Code: code})
}

// handleHealthCheck answers a health check, or starts the work of a deep one.
func (c *Core) handleHealthCheck(k HealthCheck) {
	switch {
	case c.policy == nil:
		c.reply(k.ReplyTo, c.healthAnswer(false)) // the worker pool is not up
	case c.health.Cached || !k.Deep:
		c.reply(k.ReplyTo, c.healthAnswer(c.health.Healthy))
	case !c.linkSynced || len(c.checks) >= maxDeepChecks:
		c.reply(k.ReplyTo, c.healthAnswer(false))
	default:
		c.checkCount++
		tag := fmt.Sprint("check", c.checkCount)
		c.checks = append(c.checks, pendingCheck{k, tag, c.now + checkTimeoutMs})
		c.emit(Verify{tag})
	}
}

const maxDeepChecks = 64 // concurrent deep health checks; further ones fail at once

// handleCheckFinished answers the deep health check whose work ended.
func (c *Core) handleCheckFinished(v CheckFinished) {
	c.checks = slices.DeleteFunc(c.checks, func(k pendingCheck) bool {
		if k.tag == v.Tag {
			c.reply(k.ReplyTo, c.healthAnswer(v.OK))
		}
		return k.tag == v.Tag
	})
}

// fireTimers passes due timers to the module and fails overdue deep checks. A timer with a token needs current
// gauges: they are requested, and if they don't arrive within gaugeTimeoutMs, the timer fires without them.
func (c *Core) fireTimers() {
	noGauges := whinrudder.Gauges{CPU: -1}
	if len(c.timersAwaitingGauges) > 0 && c.now >= c.gaugesDueAt {
		for _, token := range c.timersAwaitingGauges {
			c.addEvent(whinrudder.Timer{Token: token, Gauges: noGauges})
		}
		c.timersAwaitingGauges = c.timersAwaitingGauges[:0]
	}
	for token, ok := c.wakeups.pop(c.now); ok; token, ok = c.wakeups.pop(c.now) {
		if token == 0 || !c.linkSynced {
			c.addEvent(whinrudder.Timer{Token: token, Gauges: noGauges})
			continue
		}
		if len(c.timersAwaitingGauges) == 0 {
			c.gaugesDueAt = c.now + gaugeTimeoutMs
			c.emit(Poll{})
		}
		c.timersAwaitingGauges = append(c.timersAwaitingGauges, token)
	}
	c.checks = slices.DeleteFunc(c.checks, func(k pendingCheck) bool {
		if c.now >= k.deadline {
			c.reply(k.ReplyTo, c.healthAnswer(false))
		}
		return c.now >= k.deadline
	})
}

// stepModule carries out the effects of the operation table and steps the module with all collected events, until its
// actions cause no new ones.
func (c *Core) stepModule() {
	for c.applyOpEffects(); c.policy != nil && len(c.events) > 0; c.applyOpEffects() {
		events := c.events
		c.events = nil
		c.applyActions(c.policy.Step(c.now, events, c.actions[:0]))
		c.recheckPrior(events)
	}
	if c.policy == nil {
		c.events = c.events[:0]
	}
}

// applyActions carries out the actions of one step of the module.
func (c *Core) applyActions(actions []whinrudder.Action) {
	c.actions = actions
	defer func() { clear(c.actions) }()
	for _, a := range actions {
		switch a := a.(type) {
		case whinrudder.Run:
			if r := c.requests[string(a.ID)]; r != nil && r.open && !r.running {
				r.running = true
				if r.hasOp {
					c.writeIntent(r)
					continue
				}
				if !c.linkSynced {
					r.queued = true
					c.enqueueStart(r.ID)
					continue
				}
				c.spawn(r)
			}
		case whinrudder.Stop:
			if r := c.requests[string(a.ID)]; r != nil && r.running && !r.queued && !r.intentPending {
				c.emit(Suspend{r.ID})
			}
		case whinrudder.Refuse:
			if r := c.requests[string(a.ID)]; r != nil {
				c.answer(r, Answer{Outcome: Refused, RetryAfter: a.RetryAfter, NotElsewhere: a.NoRetryElsewhere})
			}
		case whinrudder.Fail:
			if r := c.requests[string(a.ID)]; r != nil {
				c.failRequest(r)
			}
		case whinrudder.Keep:
			if r := c.requests[string(a.ID)]; r != nil && !c.keepsResults(r.Class) {
				c.keys.keep(r.Request, c.now, c.now+a.TTL)
			}
		case whinrudder.Forget:
			c.keys.forget(string(a.ID), c.answerRepeat)
		case whinrudder.Reuse:
			if r := c.requests[string(a.ID)]; r != nil && r.hasOp {
				c.ops.Wait(c.now, r.ID, r.opKey)
				continue
			}
			c.keys.serveRepeat(string(a.ID), c.answerRepeat)
		case whinrudder.Health:
			c.health = a
			if c.draining && !a.Healthy {
				c.emit(DrainConns{})
			}
		case whinrudder.Advertise:
			c.credit = a.Credit
		case whinrudder.CloseIdle:
			c.emit(SetIdleTimeout{a.After})
		case whinrudder.Wake:
			c.wakeups.add(a.At, a.Token)
		case whinrudder.Log:
			c.logEvent("module", "text", a.Text)
		default:
			c.logEvent("module", "fault", fmt.Sprintf("action type %T is not supported", a))
		}
	}
}

// mustFailAll reports whether the stop is so near that all open requests are failed.
func (c *Core) mustFailAll() bool { return c.draining && c.now >= c.stopAt-failAllMarginMs }

// failOverdue fails the requests that are past their answer deadline, so that none stays without an answer.
func (c *Core) failOverdue() {
	failAll := c.mustFailAll()
	until := c.now
	if failAll {
		until = math.Inf(1)
	}
	for r, ok := c.answerDeadlines.Pop(until); ok; r, ok = c.answerDeadlines.Pop(until) {
		switch {
		case r.open && r.endPending:
			c.logEvent("request", "id", r.ID, "code", "late-sync")
		case r.open && !r.inDoubt:
			c.logEvent("request", "id", r.ID, "code", "left-open")
		}
		c.failRequest(r)
	}
}

// advanceDrain stops accepting connections and finishes the drain as the stop time approaches.
func (c *Core) advanceDrain() {
	failAll := c.mustFailAll()
	if !c.draining || c.drainFinished {
		return
	}
	if !c.acceptStopped && c.now >= c.stopAt-stopAcceptMarginMs {
		c.acceptStopped = true
		c.emit(StopAccepting{})
	}
	if c.acceptStopped && (failAll || c.openCount == 0 && c.now >= c.stopAt-idleExitMarginMs) {
		c.drainFinished = true
		c.emit(DrainFinished{})
	}
}
