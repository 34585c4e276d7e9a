// Package callermodel is how callers behave: which node they choose, how often and when they try again, what they make of credit
// and advice, and what holds their retries back. A Caller is state without I/O and without a clock; what it does is told to
// it and asked of it. Times are milliseconds.
package callermodel

import (
	"math"
	"slices"

	"whinrudder/internal/client/attempt"
	"whinrudder/internal/vtime"
)

// Strategy is how a caller chooses among nodes.
type Strategy uint8

// The choices.
const (
	RoundRobin       Strategy = iota // one after the other
	LeastOutstanding                 // the fewest of its own requests out
	LowestLatency                    // the lowest mean latency that it saw
	HashBySubject                    // by what the request is about
	WeightedRandom                   // by weights that the operators gave the nodes
	PowerOfTwo                       // the one with fewer of its requests out, of two drawn ones (Mitzenmacher, 2001)
)

// StrategyNames are the names of the choices.
var StrategyNames = []string{"round", "least", "fastest", "by_key", "weighted", "two"}

func (c Strategy) String() string { return StrategyNames[c] }

// Behavior is what a caller does.
type Behavior struct {
	Strategy             Strategy
	MaxTries             int     // of one request, at most; 0: without limit, down the list
	HonorsCredit         bool    // credit and advice
	TryTimeoutRatio      float64 // share of the deadline that it waits for a try
	HedgeDelay           float64 // after so long without an answer it asks one more node, the first try goes on; 0: it does not
	ParallelTries        int     // tries of a read that it makes at once; 0 and 1: one
	RetryBudget          float64 // tries after the first, as a share of first tries, that it may make; 0: any
	Throttle             bool    // adaptive throttling at the client
	SubsetSize           int     // it knows only so many nodes; 0: all
	RetriesInDoubtWrites bool    // it repeats writes whose outcome it does not know
	BackoffBase          float64 // before it tries again, drawn from 0 to so long, doubled with each try; 0: at once
	UsesLibrary          bool    // it is built on the client library, which decides all of the above but SubsetSize
}

// Outcome is how a try ended for its caller.
type Outcome uint8

// The ends.
const (
	Served          Outcome = iota
	Refused                 // turned away: it provably did not run
	Failed                  // an answer that says nothing about whether it ran
	TimedOut                // the caller waits no longer
	ConnectionReset         // the connection broke
	ConnectFailed           // there was no connection
)

// MayRetry tells whether a request may be tried again after an end.
func (h Behavior) MayRetry(e Outcome, write bool) bool {
	switch e {
	case Served:
		return false
	case Refused, ConnectFailed:
		return true
	}
	return !write || h.RetriesInDoubtWrites
}

// PickParams is what a caller looks for a node for.
type PickParams struct {
	Subject int
	Draw    float64 // drawn evenly from 0 to 1
	Tried   []int   // nodes, the latest last
}

// Figures of callers that the field knows: a budget holds budgetMost tokens at most and has some to begin with; the mean of
// latencies takes in a tenth of each.
const (
	budgetMost  = 100.0
	budgetFirst = 10.0
	meanOf      = 10.0
	pauseMost   = 6     // doublings
	throttleFor = 120e3 // the book's window of adaptive throttling
)

// Caller is one client proxy.
type Caller struct {
	Behavior
	turn     int
	seen     []view
	known    []bool    // the nodes of its subset; nil: all
	weights  []float64 // summed up to each node
	ranking  []int     // nodes by mean latency, if it goes by that
	place    []int     // of a node in it
	throttle *attempt.Throttle
	tokens   float64
	heardFor float64
}

// view is what a caller knows of a node.
type view struct {
	Credit
	away float64 // advice to stay away until
	mean float64 // of latency; 0: none was seen
}

// New returns a caller among nodes of which the operators gave weights. The seed draws its subset and where it begins.
func New(h Behavior, weights []float64, heardFor float64, seed vtime.Seed) *Caller {
	n := len(weights)
	c := &Caller{Behavior: h, seen: make([]view, n), tokens: budgetFirst, heardFor: heardFor}
	for i := range c.seen {
		c.seen[i].Value = -1
	}
	if h.SubsetSize > 0 && h.SubsetSize < n {
		c.known = make([]bool, n)
		for _, i := range seed.Split("subset", 0).Rand().Perm(n)[:h.SubsetSize] {
			c.known[i] = true
		}
	}
	switch h.Strategy {
	case WeightedRandom:
		sum := 0.0
		for _, w := range weights {
			sum += w
			c.weights = append(c.weights, sum)
		}
	case LowestLatency:
		c.ranking, c.place = make([]int, n), make([]int, n)
		for i := range n {
			c.ranking[i], c.place[i] = i, i
		}
	}
	if h.Throttle {
		c.throttle = &attempt.Throttle{K: 2, Window: throttleFor}
	}
	return c
}

// AllowTry tells whether a try may be made, the nth of its request from 0 on. The coin is drawn evenly from 0 to 1.
func (c *Caller) AllowTry(now float64, nth int, coin float64) bool {
	if c.MaxTries > 0 && nth >= c.MaxTries*max(1, c.ParallelTries) {
		return false
	}
	if c.throttle != nil && c.throttle.ShouldReject(now, coin) {
		return false
	}
	if c.RetryBudget == 0 {
		return true
	}
	if nth < max(1, c.ParallelTries) {
		c.tokens = min(budgetMost, c.tokens+c.RetryBudget/float64(max(1, c.ParallelTries)))
		return true
	}
	if c.tokens < 1 {
		return false
	}
	c.tokens--
	return true
}

// RetryDelay returns how long the caller holds the nth try back; the coin is drawn evenly from 0 to 1 (full jitter, Brooker, 2015).
func (c *Caller) RetryDelay(nth int, coin float64) float64 {
	if nth == 0 || c.BackoffBase == 0 {
		return 0
	}
	return coin * math.Ldexp(c.BackoffBase, min(nth-1, pauseMost))
}

// Pick returns the node for a try, or -1 if there is none.
func (c *Caller) Pick(now float64, listed []bool, w PickParams) int {
	n := len(c.seen)
	last := w.Tried[len(w.Tried)-len(w.Tried)%n:] // once all were tried the list begins anew
	may := func(i int) bool {
		v := &c.seen[i]
		return listed[i] && (c.known == nil || c.known[i]) && !slices.Contains(last, i) &&
			(!c.HonorsCredit || v.away <= now && v.Allows(now, c.heardFor, w.Draw))
	}
	from := c.turn
	switch c.Strategy {
	case LowestLatency:
		for _, i := range c.ranking {
			if may(i) {
				return i
			}
		}
		return -1
	case LeastOutstanding:
		best := -1
		for i := range n {
			if i = (from + i) % n; may(i) && (best < 0 || c.seen[i].Outstanding < c.seen[best].Outstanding) {
				if best = i; c.seen[i].Outstanding == 0 {
					break
				}
			}
		}
		if best >= 0 {
			c.turn = (best + 1) % n
		}
		return best
	case HashBySubject:
		from = w.Subject * 7919 % n
	case WeightedRandom:
		x := c.part(w) * c.weights[n-1]
		from, _ = slices.BinarySearch(c.weights, x)
		from = min(from, n-1)
	case PowerOfTwo:
		x := c.part(w) * float64(n)
		a, b := int(x), int((x-math.Floor(x))*float64(n))
		switch {
		case may(a) && may(b) && c.seen[b].Outstanding < c.seen[a].Outstanding:
			return b
		case may(a):
			return a
		case may(b):
			return b
		}
		from = a
	}
	for i := range n {
		if i = (from + i) % n; may(i) {
			if c.Strategy == RoundRobin {
				c.turn = (i + 1) % n
			}
			return i
		}
	}
	return -1
}

// part is another draw for each try of a request.
func (c *Caller) part(w PickParams) float64 {
	return vtime.Seed(math.Float64bits(w.Draw)).Split("pick", len(w.Tried)).Uniform()
}

// RecordSend takes a try that goes out to a node.
func (c *Caller) RecordSend(node int) {
	c.seen[node].Outstanding++
	if c.ranking != nil && c.seen[node].mean == 0 {
		c.rank(node) // the next try goes to another of those that nothing is known of
	}
}

// RecordClose takes a try that is over for the caller.
func (c *Caller) RecordClose(node int) { c.seen[node].Outstanding-- }

// RecordAnswer takes an answer: how long it took, and the credit and the advice with it; a load below 0 says nothing.
func (c *Caller) RecordAnswer(now float64, node int, e Outcome, took, load, wait float64) {
	v := &c.seen[node]
	if load >= 0 {
		v.Value, v.UpdatedAt = load, now
	}
	if v.mean == 0 {
		v.mean = took
	}
	v.mean += (took - v.mean) / meanOf
	if c.ranking != nil {
		c.rank(node)
	}
	how := attempt.Served
	if e == Refused {
		v.away, how = max(v.away, now+wait), attempt.Refused
	}
	if c.throttle != nil {
		c.throttle.RecordTry(now, how)
	}
}

// RecordConnectionFailure takes a connection that broke or was not had: the caller stays away for as long as it heeds a credit.
func (c *Caller) RecordConnectionFailure(now float64, node int) {
	c.seen[node].away = max(c.seen[node].away, now+c.heardFor)
	if c.throttle != nil {
		c.throttle.RecordTry(now, attempt.Broken)
	}
}

// rank moves a node to its place, behind those of the same mean.
func (c *Caller) rank(node int) {
	m, i := c.seen[node].mean, c.place[node]
	move := func(to int) {
		c.ranking[i] = c.ranking[to]
		c.place[c.ranking[i]] = i
		i = to
	}
	for i > 0 && c.seen[c.ranking[i-1]].mean > m {
		move(i - 1)
	}
	for i < len(c.ranking)-1 && c.seen[c.ranking[i+1]].mean <= m {
		move(i + 1)
	}
	c.ranking[i], c.place[node] = node, i
}
