// Package callermodel is a model of callers: how they choose a node, when and how often they retry, how they use the
// credit and the retry-after advice of nodes, and what limits their retries. A Caller is a state machine without I/O
// and without a clock: its driver asks it for decisions and reports what happened. Times are milliseconds.
package callermodel

import (
	"math"
	"slices"

	"whinrudder/internal/client/attempt"
	"whinrudder/internal/vtime"
)

// Strategy is the way in which a caller chooses a node.
type Strategy uint8

// The strategies.
const (
	RoundRobin       Strategy = iota // the nodes in turn
	LeastOutstanding                 // the node with the fewest outstanding requests of this caller
	LowestLatency                    // the node with the lowest mean latency that this caller has seen
	HashBySubject                    // a node that depends on the subject of the request
	WeightedRandom                   // a random node, by weights that the operators set
	PowerOfTwo                       // of two random nodes the one with fewer outstanding requests (Mitzenmacher, 2001)
)

// StrategyNames holds the names of the strategies, as experiment files use them.
var StrategyNames = []string{"round", "least", "fastest", "by_key", "weighted", "two"}

func (s Strategy) String() string { return StrategyNames[s] }

// Behavior configures a caller.
type Behavior struct {
	Strategy             Strategy
	MaxTries             int     // tries of one request at most; 0: without limit
	HonorsCredit         bool    // it respects credit and retry-after advice
	TryTimeoutRatio      float64 // time that it waits for the answer to a try, as a share of the deadline
	HedgeDelay           float64 // time without an answer after which it sends a second try and keeps the first; 0: no hedging
	ParallelTries        int     // tries of a read that it sends at once; 0 and 1: one
	RetryBudget          float64 // retries that it may make, as a share of first tries; 0: no limit
	Throttle             bool    // client-side adaptive throttling
	SubsetSize           int     // number of nodes that it knows; 0: all
	RetriesInDoubtWrites bool    // it retries writes of which it is unknown whether they ran
	BackoffBase          float64 // upper bound of the delay before the first retry, doubled for each further one; 0: no delay
	UsesLibrary          bool    // it uses the client library, which replaces all of the above except SubsetSize
}

// Outcome is the end of a try as its caller sees it.
type Outcome uint8

// The outcomes.
const (
	Served          Outcome = iota
	Refused                 // the node refused it: it certainly did not run
	Failed                  // a failure that leaves open whether it ran
	TimedOut                // the caller stopped waiting
	ConnectionReset         // the connection broke
	ConnectFailed           // no connection was established: it certainly did not run
)

// MayRetry reports whether a request may be retried after an outcome.
func (b Behavior) MayRetry(o Outcome, write bool) bool {
	switch o {
	case Served:
		return false
	case Refused, ConnectFailed:
		return true
	}
	return !write || b.RetriesInDoubtWrites
}

// PickParams describes the try for which a node is picked.
type PickParams struct {
	Subject int     // of the request
	Draw    float64 // drawn uniformly from 0 to 1 for the request
	Tried   []int   // nodes that were tried, the latest last
}

const (
	maxRetryTokens      = 100.0 // bounds a burst of retries
	initialRetryTokens  = 10.0
	latencyMeanSamples  = 10.0 // each latency changes the mean by a tenth of its difference
	maxBackoffDoublings = 6
	throttleWindowMs    = 120e3 // window of adaptive throttling in the SRE book
)

// Caller is one client proxy.
type Caller struct {
	Behavior
	next              int // node at which RoundRobin and LeastOutstanding start to look
	nodes             []nodeState
	subset            []bool    // whether it knows a node; nil: it knows all
	cumulativeWeights []float64 // sum of the weights up to each node; for WeightedRandom
	ranking           []int     // nodes by mean latency; for LowestLatency
	rankOf            []int     // index of each node in ranking
	throttle          *attempt.Throttle
	retryTokens       float64
	creditLifetime    float64 // time for which a credit is respected
}

// nodeState is what a caller knows of a node.
type nodeState struct {
	Credit
	avoidUntil  float64 // no tries before, by retry-after advice or after a connection failure
	meanLatency float64 // 0: no answer yet
}

// New returns a caller of as many nodes as there are weights. A credit is respected for creditLifetime milliseconds.
// The seed determines the subset of nodes.
func New(b Behavior, weights []float64, creditLifetime float64, seed vtime.Seed) *Caller {
	n := len(weights)
	c := &Caller{Behavior: b, nodes: make([]nodeState, n), retryTokens: initialRetryTokens, creditLifetime: creditLifetime}
	for i := range c.nodes {
		c.nodes[i].Value = -1
	}
	if b.SubsetSize > 0 && b.SubsetSize < n {
		c.subset = make([]bool, n)
		for _, i := range seed.Split("subset", 0).Rand().Perm(n)[:b.SubsetSize] {
			c.subset[i] = true
		}
	}
	switch b.Strategy {
	case WeightedRandom:
		sum := 0.0
		for _, w := range weights {
			sum += w
			c.cumulativeWeights = append(c.cumulativeWeights, sum)
		}
	case LowestLatency:
		c.ranking, c.rankOf = make([]int, n), make([]int, n)
		for i := range n {
			c.ranking[i], c.rankOf[i] = i, i
		}
	}
	if b.Throttle {
		c.throttle = &attempt.Throttle{K: 2, Window: throttleWindowMs}
	}
	return c
}

// AllowTry reports whether the nth try of a request may be made, counted from 0. The coin is drawn uniformly from 0
// to 1.
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
		c.retryTokens = min(maxRetryTokens, c.retryTokens+c.RetryBudget/float64(max(1, c.ParallelTries)))
		return true
	}
	if c.retryTokens < 1 {
		return false
	}
	c.retryTokens--
	return true
}

// RetryDelay returns the delay before the nth try, counted from 0: exponential backoff with full jitter (Brooker,
// 2015). The coin is drawn uniformly from 0 to 1.
func (c *Caller) RetryDelay(nth int, coin float64) float64 {
	if nth == 0 || c.BackoffBase == 0 {
		return 0
	}
	return coin * math.Ldexp(c.BackoffBase, min(nth-1, maxBackoffDoublings))
}

// Pick returns the node for a try, or -1 if no node may be used. A node is tried again only after all were tried.
func (c *Caller) Pick(now float64, listed []bool, p PickParams) int {
	n := len(c.nodes)
	exclude := p.Tried[len(p.Tried)-len(p.Tried)%n:] // empty again once all nodes were tried
	allowed := func(i int) bool {
		s := &c.nodes[i]
		return listed[i] && (c.subset == nil || c.subset[i]) && !slices.Contains(exclude, i) &&
			(!c.HonorsCredit || s.avoidUntil <= now && s.Allows(now, c.creditLifetime, p.Draw))
	}
	from := c.next
	switch c.Strategy {
	case LowestLatency:
		for _, i := range c.ranking {
			if allowed(i) {
				return i
			}
		}
		return -1
	case LeastOutstanding:
		best := -1
		for i := range n {
			if i = (from + i) % n; allowed(i) && (best < 0 || c.nodes[i].Outstanding < c.nodes[best].Outstanding) {
				if best = i; c.nodes[i].Outstanding == 0 {
					break
				}
			}
		}
		if best >= 0 {
			c.next = (best + 1) % n
		}
		return best
	case HashBySubject:
		from = p.Subject * 7919 % n
	case WeightedRandom:
		x := c.tryDraw(p) * c.cumulativeWeights[n-1]
		from, _ = slices.BinarySearch(c.cumulativeWeights, x)
		from = min(from, n-1)
	case PowerOfTwo:
		x := c.tryDraw(p) * float64(n)
		a, b := int(x), int((x-math.Floor(x))*float64(n))
		switch {
		case allowed(a) && allowed(b) && c.nodes[b].Outstanding < c.nodes[a].Outstanding:
			return b
		case allowed(a):
			return a
		case allowed(b):
			return b
		}
		from = a
	}
	for i := range n {
		if i = (from + i) % n; allowed(i) {
			if c.Strategy == RoundRobin {
				c.next = (i + 1) % n
			}
			return i
		}
	}
	return -1
}

// tryDraw returns a number from 0 to 1 for the next try, derived from the draw of the request.
func (c *Caller) tryDraw(p PickParams) float64 {
	return vtime.Seed(math.Float64bits(p.Draw)).Split("pick", len(p.Tried)).Uniform()
}

// RecordSend records that a try is sent to a node.
func (c *Caller) RecordSend(node int) {
	c.nodes[node].Outstanding++
	if c.ranking != nil && c.nodes[node].meanLatency == 0 {
		c.updateRank(node) // the next try goes to another of the nodes of unknown latency
	}
}

// RecordClose records that the caller has closed a try.
func (c *Caller) RecordClose(node int) { c.nodes[node].Outstanding-- }

// RecordAnswer records an answer with its latency, its credit and its retry-after advice. A credit below 0 means that
// the answer reports none.
func (c *Caller) RecordAnswer(now float64, node int, o Outcome, latency, credit, retryAfter float64) {
	s := &c.nodes[node]
	if credit >= 0 {
		s.Value, s.UpdatedAt = credit, now
	}
	if s.meanLatency == 0 {
		s.meanLatency = latency
	}
	s.meanLatency += (latency - s.meanLatency) / latencyMeanSamples
	if c.ranking != nil {
		c.updateRank(node)
	}
	result := attempt.Served
	if o == Refused {
		s.avoidUntil, result = max(s.avoidUntil, now+retryAfter), attempt.Refused
	}
	if c.throttle != nil {
		c.throttle.RecordTry(now, result)
	}
}

// RecordConnectionFailure records a connection that broke or was not established. The caller avoids the node for the
// lifetime of a credit.
func (c *Caller) RecordConnectionFailure(now float64, node int) {
	c.nodes[node].avoidUntil = max(c.nodes[node].avoidUntil, now+c.creditLifetime)
	if c.throttle != nil {
		c.throttle.RecordTry(now, attempt.Broken)
	}
}

// updateRank moves a node to its place in the ranking, behind nodes with the same mean latency.
func (c *Caller) updateRank(node int) {
	mean, i := c.nodes[node].meanLatency, c.rankOf[node]
	move := func(to int) {
		c.ranking[i] = c.ranking[to]
		c.rankOf[c.ranking[i]] = i
		i = to
	}
	for i > 0 && c.nodes[c.ranking[i-1]].meanLatency > mean {
		move(i - 1)
	}
	for i < len(c.ranking)-1 && c.nodes[c.ranking[i+1]].meanLatency <= mean {
		move(i + 1)
	}
	c.ranking[i], c.rankOf[node] = node, i
}
