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

	"whinrudder"
	"whinrudder/internal/counters"
	"whinrudder/internal/knowledge"
	"whinrudder/internal/ops"
	"whinrudder/internal/queue"
)

// Time limits of the core, in milliseconds.
const (
	gaugeTimeoutMs     = 8    // how long a timer waits for fresh gauges before it fires without them
	checkTimeoutMs     = 1500 // a deep health check whose work has not ended by then fails
	idMarginMs         = 1000 // how much longer than its caller may wait an id is remembered
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
	inDoubt bool // its start may have been lost, see doubtfulRun; a notice of its end may still come

	restarted    bool // its start was sent again after a break of the link
	presumedOver bool // the module was told that a run in doubt is over, though no notice of its end came

	hasOp         bool   // Core.ops has an operation for it
	opKey         string // key of that operation
	repeatOf      string // id of the request that it repeats, which the module knows
	intentPending bool   // its run waits until the intent is durable
	claimPending  bool   // it is held until the other process of the node has answered its claim
	endPending    bool   // its run has ended, and the answer waits until that is durable
	maybeRan      bool   // a run was started and is not known to have been moot
	endReason     endReason

	deadline queue.HeapEntry[*request] // in Core.answerDeadlines while it is open
}

// Core holds the request state of one node. Create it with New.
type Core struct {
	settings   whinrudder.Settings
	classNames []string // by class index, as of the last reload
	seed       uint64
	policy     *whinrudder.Policy // nil until the worker pool is up

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

	gauges     whinrudder.Gauges // as last reported by the worker pool
	doubtful   doubtfulRuns
	requestLog requestLog
	endCounts  *counters.Reasons // nil: nothing is counted

	startsSincePoll int // runs whose start was sent after the last poll for gauges

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
	claiming      bool              // requests are held until that process has answered their claims
	unclaimedIDs  []string          // ids of the requests of this step that are to be claimed

	pendingPrior   *knowledge.Prior          // waits until the module is created
	priorValidator *knowledge.PriorValidator // checks the adopted prior against this node's own runs; nil: no prior

	draining      bool
	hasSuccessor  bool // another process of this node has taken over
	noticeAt      float64
	stopAt        float64
	acceptStopped bool // StopAccepting was sent
	drainFinished bool // DrainFinished was sent
}

// New returns the core of a node that has just started.
func New(s whinrudder.Settings, seed uint64) (*Core, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	c := &Core{settings: s, seed: seed, requests: map[string]*request{}, keys: newKeyTable(), credit: -1,
		gauges: whinrudder.Gauges{CPU: -1}}
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
	c.expireDoubts()
	c.stepModule()
	c.failOverdue()
	if c.ops != nil {
		c.stepModule()
		c.releaseOps()
	}
	c.emitClaims()
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
	if at, ok := c.doubtful.expiry.First(); ok {
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
	if a.Outcome != Served {
		c.logRequest(r, a.Outcome)
	}
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
	if !r.open && (!r.running || r.presumedOver) && c.requests[r.ID] == r {
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
			c.draining, c.noticeAt, c.stopAt, c.hasSuccessor = true, i.At, i.StopAt, i.HasSuccessor
			c.addEvent(whinrudder.Notice{At: i.At, StopAt: i.StopAt, HandedOver: i.HasSuccessor})
			c.emit(DrainStarted{})
		}
	case PoolReady:
		c.handlePoolReady(i)
	case LinkSynced:
		c.linkSynced = true
		c.handleLinkSynced(i.InDoubt)
	case LinkLost:
		c.linkSynced, c.startsSincePoll = false, 0
		c.gauges.CPU = -1
	case RunFinished:
		c.handleRunFinished(i)
	case RunNotStarted:
		c.handleRunFinished(RunFinished{ID: i.ID, End: RunMoot})
	case GaugesRead:
		c.gauges = i.Gauges
		c.readGauges()
		c.addEvent(whinrudder.Observed{Gauges: i.Gauges, NotStarted: c.startsNotShown()})
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
	case ClaimIDs:
		c.handleClaimIDs(i)
	case ClaimAnswered:
		c.handleClaimAnswered(i)
	case ChangeLimits:
		c.recentIDs.setMaxIDs(i.MaxIDs)
		c.keys.maxBytes = i.ResultBytes
	case ChangeSettings:
		c.changeSettings(i)
	case QueryClassesInUse:
		i.Reply(c.classesInUse())
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
		c.addEvent(whinrudder.Notice{At: c.noticeAt, StopAt: c.stopAt, HandedOver: c.hasSuccessor})
	}
}

// handleArrival adds a request to the table and passes it to the module, or answers it at once.
func (c *Core) handleArrival(req *Request) {
	if ahead := req.ArrivedAt - c.now; ahead > 0 {
		req.ArrivedAt, req.Due = c.now, req.Due-ahead // its caller waits no longer than it says, whatever its clock shows
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
	if c.sharingIDs && !c.claiming && len(c.unsharedIDs) < maxUnsharedIDs {
		c.unsharedIDs = append(c.unsharedIDs, req.ID)
	}
	c.openCount++
	r.deadline.Value = r
	c.answerDeadlines.Set(&r.deadline, req.Due+unansweredGraceMs)
	// Refuse it if the worker pool is not up or no caller can be waiting any more. An arrival time long ago must not
	// make the module believe that requests wait unread for that long.
	if c.policy == nil || c.now-req.ArrivedAt > class.Deadline {
		r.endReason = reasonExpired
		if c.policy == nil {
			r.endReason = reasonPoolDown
		}
		c.answer(r, Answer{Outcome: Refused})
		return
	}
	if c.claiming {
		c.holdForClaim(r)
		return
	}
	c.admit(r)
}

// admit passes an open request to the module, or answers it if its operation can't be run.
func (c *Core) admit(r *request) {
	req, class := r.Request, c.settings.Classes[r.Class]
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
		c.failRequest(r, reasonRunError)
	}
	c.addEvent(whinrudder.Ended{ID: id(requestID), Code: code})
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
				r.endReason = refusedFor(a.Reason)
				c.answer(r, Answer{Outcome: Refused, RetryAfter: a.RetryAfter, NotElsewhere: a.NoRetryElsewhere})
			}
		case whinrudder.Fail:
			if r := c.requests[string(a.ID)]; r != nil {
				c.failRequest(r, reasonOverdue)
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
		reason := reasonOverdue
		switch {
		case failAll:
			reason = reasonStop
		case r.endPending:
			reason = reasonSync
		}
		c.failRequest(r, reason)
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
