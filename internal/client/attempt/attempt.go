// Package attempt decides how one call is made: when it is tried, again or by a hedge, how long a try may take, and what its
// caller is told at the end. A Call is a state machine without I/O, without a clock and without chance. Times are
// milliseconds.
package attempt

import (
	"math"
)

// Class says what may be done with the requests of a class.
type Class struct {
	Write bool // it must not run twice
	Tries int  // at most, hedges included; 0: usualTries
	Hedge bool // reads alone
}

// Outcome is how a try ended.
type Outcome uint8

// The ends of tries.
const (
	Served    Outcome = iota
	Refused           // turned away with the promise that it did not run
	Unsent            // it provably did not reach a node that would run it: no connection, REFUSED_STREAM, above a GOAWAY
	Failed            // an answer without a promise
	Broken            // the connection broke with the request in hand
	Late              // no answer within the time of the try
	Withdrawn         // the client took it back
)

// Reason is why a call ended without a result.
type Reason uint8

// The reasons.
const (
	None      Reason = iota
	Rejected         // nodes turned it away; it did not run
	NoNode           // no node could be asked in time; it did not run
	Throttled        // held back by the client, since nodes turn most away; it did not run
	NoTime           // not enough time was left to ask; it did not run
	Failure          // reads: no try brought a result
	Unknown          // a write may have run or not
	Cancelled        // its caller took it back
)

func (r Reason) String() string {
	return [...]string{"none", "rejected", "no-node", "throttled", "no-time", "failure", "unknown", "cancelled"}[r]
}

// Figures of calls.
const (
	usualTries  = 3
	tryShare    = 0.6   // of the time that is left, for a try of a read after which another may be worth it
	leastTry    = 20.0  // a try with less time is not made
	jitterLow   = 5.0   // decorrelated jitter (Brooker, 2015): between this and three times the last pause
	jitterHigh  = 500.0 // and at most this
	expectShare = 0.5   // of the usual latency that must be left for a try
	waitMost    = 1000.0
)

// ActionKind says what is to be done for a call.
type ActionKind uint8

// What is to be done.
const (
	Try   ActionKind = iota // pick a node, then call TrySent or NoNodeFree
	Sleep                   // until Action.At, or until a try ends
	Done                    // the call is over: Reason says how
)

// Action is what is to be done.
type Action struct {
	Kind   ActionKind
	At     float64 // of a sleep; infinity: until a try ends
	Due    float64 // of a try
	Retry  bool    // the try is a retry or a hedge, and is marked as one
	Hedge  bool
	Reason Reason
}

// ClientState is what the calls of a client have in common.
type ClientState struct {
	RetryBudget *Budget // of tries that are not first ones
	WaitBudget  *Budget // of calls that wait for a node to be free: what waits takes the room of what comes
	Throttle    *Throttle
	Latencies   *Latencies
}

// Call is one call.
type Call struct {
	class    Class
	due      float64
	shared   *ClientState
	of       int // number of the class
	began    float64
	sent     int
	open     int
	paused   float64 // the last pause
	notTill  float64
	none     float64 // no node is free until
	waits    bool    // it has waited for one
	last     Outcome
	advice   float64 // the latest advice of a refusal
	stay     bool    // a node asked not to be passed over
	hedgeAt  float64
	over     bool
	reason   Reason
	unheld   float64 // draw for the next pause
	refusals int
}

// New returns a call. Draw, evenly from 0 to 1, is for the client's own throttling.
func New(now, due float64, class Class, of int, s *ClientState, draw float64) *Call {
	c := &Call{class: class, of: of, due: due, shared: s, began: now, hedgeAt: math.Inf(1)}
	s.RetryBudget.Deposit(now)
	s.WaitBudget.Deposit(now)
	if s.Throttle.ShouldReject(now, draw) {
		c.end(Throttled)
	}
	return c
}

// OpenTries returns how many tries are not over.
func (c *Call) OpenTries() int { return c.open }

// Tries returns how many tries were made.
func (c *Call) Tries() int { return c.sent }

// Due returns until when the call may take.
func (c *Call) Due() float64 { return c.due }

// RetryAfter returns how long nodes asked the call to stay away, at last.
func (c *Call) RetryAfter() float64 { return c.advice }

func (c *Call) end(r Reason) {
	if !c.over && c.sent == 0 && r == NoNode {
		c.shared.Throttle.RecordNoNode()
	}
	if !c.over {
		c.over, c.reason = true, r
	}
}

func (c *Call) tries() int {
	if c.class.Tries > 0 {
		return c.class.Tries
	}
	return usualTries
}

// Next returns what is to be done now. Draw, evenly from 0 to 1, is for a pause.
func (c *Call) Next(now, draw float64) Action {
	c.unheld = draw
	if c.over {
		return Action{Kind: Done, Reason: c.reason}
	}
	if now >= c.due {
		c.fail(now)
		return Action{Kind: Done, Reason: c.reason}
	}
	if c.open > 0 {
		return c.hedge(now)
	}
	if c.sent > 0 || c.none > 0 { // something came before
		if r, stop := c.stops(now); stop {
			c.end(r)
			return Action{Kind: Done, Reason: c.reason}
		}
	}
	if at := math.Max(c.notTill, c.none); at > now {
		if at+c.needs() > c.due {
			c.fail(now)
			return Action{Kind: Done, Reason: c.reason}
		}
		return Action{Kind: Sleep, At: at}
	}
	if c.due-now < c.needs() {
		if c.sent == 0 {
			c.end(NoTime)
		} else {
			c.fail(now)
		}
		return Action{Kind: Done, Reason: c.reason}
	}
	return Action{Kind: Try, Due: c.tryDue(now), Retry: c.sent > 0}
}

// needs is the least time with which a try is worth it.
func (c *Call) needs() float64 {
	return math.Max(leastTry, expectShare*c.shared.Latencies.P5(c.of))
}

// tryDue is until when a try may take: a read leaves time for another, a write has all there is, since nothing may follow a
// try that was late.
func (c *Call) tryDue(now float64) float64 {
	if c.class.Write || c.sent+1 >= c.tries() {
		return c.due
	}
	left := c.due - now
	if share := tryShare * left; share >= c.shared.Latencies.P95(c.of) && left-share >= c.needs() {
		return now + share
	}
	return c.due
}

// stops tells whether no further try follows the last one.
func (c *Call) stops(now float64) (r Reason, stop bool) {
	if c.sent == 0 {
		return None, false
	}
	r = c.why()
	if c.class.Write && r == Unknown {
		return r, true
	}
	if c.stay || c.sent >= c.tries() {
		return r, true
	}
	return r, false
}

// why is the reason by the last try.
func (c *Call) why() Reason {
	switch c.last {
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

// fail ends the call for want of time.
func (c *Call) fail(float64) {
	switch {
	case c.open > 0 && c.class.Write:
		c.end(Unknown)
	case c.open > 0:
		c.end(Failure)
	case c.sent == 0:
		c.end(NoNode)
	default:
		c.end(c.why())
	}
}

// hedge says what to do while a try is open: one more, once it takes longer than nearly all do.
func (c *Call) hedge(now float64) Action {
	if c.class.Write || !c.class.Hedge || c.open > 1 || c.sent >= c.tries() || now < c.none {
		return Action{Kind: Sleep, At: c.due}
	}
	switch {
	case now < c.hedgeAt:
		return Action{Kind: Sleep, At: math.Min(c.due, c.hedgeAt)}
	case c.due-now < c.needs() || !c.shared.RetryBudget.Spend(now):
		c.hedgeAt = math.Inf(1)
		return Action{Kind: Sleep, At: c.due}
	}
	c.hedgeAt = math.Inf(1)
	return Action{Kind: Try, Due: c.due, Retry: true, Hedge: true}
}

// TrySent takes it that the try that was wanted went out.
func (c *Call) TrySent(now float64) {
	c.sent++
	c.open++
	c.none = 0
	if h := c.shared.Latencies.P95(c.of); h > 0 && c.sent == 1 {
		c.hedgeAt = now + h
	}
}

// NoNodeFree takes it that no node can be asked before a time. Few calls may wait for one: the others end at once.
func (c *Call) NoNodeFree(now, until float64) {
	if c.open > 0 {
		c.none = math.Max(until, now+1)
		return // a hedge that finds nobody
	}
	if !c.waits && !c.shared.WaitBudget.Spend(now) {
		c.fail(now)
		return
	}
	c.waits = true
	if math.IsInf(until, 1) || until-now > waitMost {
		until = now + waitMost
	}
	c.none = math.Max(until, now+1)
}

// TryEnded takes the end of a try: how, how long it took, and what a refusal said: when to come back, and not to ask elsewhere.
func (c *Call) TryEnded(now float64, e Outcome, took, wait float64, stay bool) {
	c.open--
	if e == Withdrawn {
		return
	}
	c.shared.Throttle.RecordTry(now, e)
	if e == Served {
		c.shared.Latencies.Add(c.of, took)
		c.over, c.reason = true, None
		return
	}
	if c.over || c.open > 0 {
		return
	}
	c.last, c.stay = e, stay && e == Refused
	if e == Refused {
		c.advice = wait
		c.refusals++
	}
	if r, stop := c.stops(now); stop {
		c.end(r)
		return
	}
	if !c.shared.RetryBudget.Spend(now) {
		c.end(c.why())
		return
	}
	if e == Unsent {
		return // nothing was asked of anybody: the next node is asked at once
	}
	// Decorrelated jitter: many that were turned away at once don't come back at once.
	high := math.Min(jitterHigh, math.Max(jitterLow, 3*c.paused))
	c.paused = jitterLow + (high-jitterLow)*c.unheld
	c.notTill = now + c.paused
}

// Cancel ends a call that its caller took back.
func (c *Call) Cancel() { c.end(Cancelled) }
