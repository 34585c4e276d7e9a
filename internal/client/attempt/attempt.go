// Package attempt decides how a call is made: when it is tried, retried or hedged, how long each try may take, and
// with which reason the call ends. The retry budget and the throttling of a client are shared by its calls. A Call is
// a state machine that does no I/O, reads no clock and draws no random numbers: the caller passes times and draws.
// Times are milliseconds.
package attempt

import (
	"math"
)

// Class says how the requests of a class may be tried.
type Class struct {
	Write bool // the request must not run twice
	Tries int  // maximum number of tries, hedges included; 0: defaultTries
	Hedge bool // a slow try may be hedged; ignored for writes
}

// Outcome is how a try ended.
type Outcome uint8

// The outcomes of tries.
const (
	Served    Outcome = iota // the node answered with a result
	Refused                  // the node refused it and guarantees that it did not run
	Unsent                   // it certainly did not run: no connection, REFUSED_STREAM, or above a GOAWAY
	Failed                   // the node answered with an error that does not say whether it ran
	Broken                   // the connection broke while the request was in flight
	Late                     // no answer before the deadline of the try
	Withdrawn                // the client cancelled the try
)

// Reason is why a call ended without a result.
type Reason uint8

// The reasons.
const (
	None      Reason = iota // the call has a result
	Rejected                // nodes refused it; it did not run
	NoNode                  // no node was available in time; it did not run
	Throttled               // the client rejected it because nodes refuse most requests; it did not run
	NoTime                  // too little time was left for a try; it did not run
	Failure                 // a read for which no try returned a result
	Unknown                 // a write that may have run
	Cancelled               // the caller cancelled the call
)

func (r Reason) String() string {
	return [...]string{"none", "rejected", "no-node", "throttled", "no-time", "failure", "unknown", "cancelled"}[r]
}

// Parameters of calls.
const (
	defaultTries    = 3      // tries of a call whose class sets none
	tryTimeRatio    = 0.6    // share of the remaining time that a try of a read gets if another may follow
	minTryMs        = 20.0   // no try is made with less time
	minPauseMs      = 5.0    // decorrelated jitter (Brooker, 2015): a pause is between this and 3 times the last one
	maxPauseMs      = 500.0  // upper limit of a pause
	minLatencyRatio = 0.5    // a try needs this share of the low latency percentile
	maxNodeWaitMs   = 1000.0 // longest wait for a node before the call asks again
)

// ActionKind says what the caller of Next must do for a call.
type ActionKind uint8

// The kinds of actions.
const (
	Try   ActionKind = iota // pick a node, then call TrySent or NoNodeFree
	Sleep                   // until Action.At or the end of a try
	Done                    // the call has ended with Action.Reason
)

// Action is the next step of a call.
type Action struct {
	Kind   ActionKind
	At     float64 // end of a sleep
	Due    float64 // deadline of a try
	Retry  bool    // the try is a retry or a hedge, and its request is marked as a retry
	Hedge  bool    // the try is a hedge
	Reason Reason  // why the call ended, for Done
}

// ClientState is the state that all calls of a client share.
type ClientState struct {
	RetryBudget *Budget // for retries and hedges
	WaitBudget  *Budget // for calls that wait for a free node: a waiting call takes capacity from later calls
	Throttle    *Throttle
	Latencies   *Latencies
}

// Call is the state of one call.
type Call struct {
	class         Class
	due           float64 // deadline
	shared        *ClientState
	classIndex    int     // index of the class in ClientState.Latencies
	began         float64 // when the call was made
	tries         int     // tries made
	openTries     int     // tries that have not ended
	lastPause     float64 // length of the last pause before a retry
	pausedUntil   float64 // no retry before
	noNodeUntil   float64 // no node is free before; 0: not known
	waitedForNode bool    // the call has waited for a free node and paid for it from the WaitBudget
	lastOutcome   Outcome
	retryAfter    float64 // milliseconds; the advice of the latest refusal
	noRetry       bool    // the latest refusal asked not to retry on another node
	hedgeAt       float64 // when a hedge is due; infinity: never
	done          bool
	reason        Reason  // set once done
	pauseDraw     float64 // draw for the next pause
	refusals      int     // refused tries
}

// New returns a call that must end by due. The draw, uniform in [0, 1), decides whether the client's throttle rejects
// it.
func New(now, due float64, class Class, classIndex int, s *ClientState, draw float64) *Call {
	c := &Call{class: class, classIndex: classIndex, due: due, shared: s, began: now, hedgeAt: math.Inf(1)}
	s.RetryBudget.Deposit(now)
	s.WaitBudget.Deposit(now)
	if s.Throttle.ShouldReject(now, draw) {
		c.end(Throttled)
	}
	return c
}

// OpenTries returns the number of tries that have not ended.
func (c *Call) OpenTries() int { return c.openTries }

// Tries returns the number of tries made.
func (c *Call) Tries() int { return c.tries }

// Due returns the deadline of the call.
func (c *Call) Due() float64 { return c.due }

// RetryAfter returns the retry-after advice of the latest refusal in milliseconds; 0: none.
func (c *Call) RetryAfter() float64 { return c.retryAfter }

func (c *Call) end(r Reason) {
	if !c.done && c.tries == 0 && r == NoNode {
		c.shared.Throttle.RecordNoNode()
	}
	if !c.done {
		c.done, c.reason = true, r
	}
}

func (c *Call) maxTries() int {
	if c.class.Tries > 0 {
		return c.class.Tries
	}
	return defaultTries
}

// Next returns the next step of the call. The draw, uniform in [0, 1), sets the length of the next pause.
func (c *Call) Next(now, draw float64) Action {
	c.pauseDraw = draw
	if c.done {
		return Action{Kind: Done, Reason: c.reason}
	}
	if now >= c.due {
		c.endWithoutResult(now)
		return Action{Kind: Done, Reason: c.reason}
	}
	if c.openTries > 0 {
		return c.hedge(now)
	}
	if c.tries > 0 || c.noNodeUntil > 0 { // a try or a search for a node came before
		if r, final := c.isFinal(now); final {
			c.end(r)
			return Action{Kind: Done, Reason: c.reason}
		}
	}
	if at := math.Max(c.pausedUntil, c.noNodeUntil); at > now {
		if at+c.minTime() > c.due {
			c.endWithoutResult(now)
			return Action{Kind: Done, Reason: c.reason}
		}
		return Action{Kind: Sleep, At: at}
	}
	if c.due-now < c.minTime() {
		if c.tries == 0 {
			c.end(NoTime)
		} else {
			c.endWithoutResult(now)
		}
		return Action{Kind: Done, Reason: c.reason}
	}
	return Action{Kind: Try, Due: c.tryDeadline(now), Retry: c.tries > 0}
}

// minTime returns the least remaining time with which a try is worthwhile.
func (c *Call) minTime() float64 {
	return math.Max(minTryMs, minLatencyRatio*c.shared.Latencies.P5(c.classIndex))
}

// tryDeadline returns the deadline of the next try. A read leaves time for another try. A write gets all remaining
// time, since it must not be retried after a timeout.
func (c *Call) tryDeadline(now float64) float64 {
	if c.class.Write || c.tries+1 >= c.maxTries() {
		return c.due
	}
	left := c.due - now
	if allotted := tryTimeRatio * left; allotted >= c.shared.Latencies.P95(c.classIndex) &&
		left-allotted >= c.minTime() {
		return now + allotted
	}
	return c.due
}

// isFinal reports whether no try may follow the last one, and the reason with which the call then ends.
func (c *Call) isFinal(now float64) (r Reason, final bool) {
	if c.tries == 0 {
		return None, false
	}
	r = c.reasonOfLast()
	if c.class.Write && r == Unknown {
		return r, true
	}
	if c.noRetry || c.tries >= c.maxTries() {
		return r, true
	}
	return r, false
}

// reasonOfLast returns the reason that follows from the outcome of the last try.
func (c *Call) reasonOfLast() Reason {
	switch c.lastOutcome {
	case Refused:
		return Rejected
	case Unsent:
		return NoNode
	}
	if c.class.Write {
		return Unknown
	}
	return Failure
}

// endWithoutResult ends the call when too little time is left or when it may not wait for a free node.
func (c *Call) endWithoutResult(float64) {
	switch {
	case c.openTries > 0 && c.class.Write:
		c.end(Unknown)
	case c.openTries > 0:
		c.end(Failure)
	case c.tries == 0:
		c.end(NoNode)
	default:
		c.end(c.reasonOfLast())
	}
}

// hedge returns the next step while a try is open: a second try once the first takes longer than the 95th percentile.
func (c *Call) hedge(now float64) Action {
	if c.class.Write || !c.class.Hedge || c.openTries > 1 || c.tries >= c.maxTries() || now < c.noNodeUntil {
		return Action{Kind: Sleep, At: c.due}
	}
	switch {
	case now < c.hedgeAt:
		return Action{Kind: Sleep, At: math.Min(c.due, c.hedgeAt)}
	case c.due-now < c.minTime() || !c.shared.RetryBudget.Spend(now):
		c.hedgeAt = math.Inf(1)
		return Action{Kind: Sleep, At: c.due}
	}
	c.hedgeAt = math.Inf(1)
	return Action{Kind: Try, Due: c.due, Retry: true, Hedge: true}
}

// TrySent records that the try requested by Next was sent.
func (c *Call) TrySent(now float64) {
	c.tries++
	c.openTries++
	c.noNodeUntil = 0
	if p95 := c.shared.Latencies.P95(c.classIndex); p95 > 0 && c.tries == 1 {
		c.hedgeAt = now + p95
	}
}

// NoNodeFree records that no node is free before the given time. The WaitBudget limits the calls that may wait; the
// others end at once.
func (c *Call) NoNodeFree(now, until float64) {
	if c.openTries > 0 {
		c.noNodeUntil = math.Max(until, now+1)
		return // a hedge found no free node
	}
	if !c.waitedForNode && !c.shared.WaitBudget.Spend(now) {
		c.endWithoutResult(now)
		return
	}
	c.waitedForNode = true
	if math.IsInf(until, 1) || until-now > maxNodeWaitMs {
		until = now + maxNodeWaitMs
	}
	c.noNodeUntil = math.Max(until, now+1)
}

// TryEnded records the end of a try: its outcome, the time it took and, for a refusal, the retry-after advice and
// whether the node asked not to retry elsewhere.
func (c *Call) TryEnded(now float64, outcome Outcome, took, retryAfter float64, noRetry bool) {
	c.openTries--
	if outcome == Withdrawn {
		return
	}
	c.shared.Throttle.RecordTry(now, outcome)
	if outcome == Served {
		c.shared.Latencies.Add(c.classIndex, took)
		c.done, c.reason = true, None
		return
	}
	if c.done || c.openTries > 0 {
		return
	}
	c.lastOutcome, c.noRetry = outcome, noRetry && outcome == Refused
	if outcome == Refused {
		c.retryAfter = retryAfter
		c.refusals++
	}
	if r, final := c.isFinal(now); final {
		c.end(r)
		return
	}
	if !c.shared.RetryBudget.Spend(now) {
		c.end(c.reasonOfLast())
		return
	}
	if outcome == Unsent {
		return // no node accepted the request: retry on the next node without a pause
	}
	// Decorrelated jitter: calls that were refused at the same time do not retry at the same time.
	maxPause := math.Min(maxPauseMs, math.Max(minPauseMs, 3*c.lastPause))
	c.lastPause = minPauseMs + (maxPause-minPauseMs)*c.pauseDraw
	c.pausedUntil = now + c.lastPause
}

// Cancel ends a call that its caller cancelled.
func (c *Call) Cancel() { c.end(Cancelled) }
