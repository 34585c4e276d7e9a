package attempt

import (
	"math"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Budget bounds the tries of a client that are not first ones: a share of the first ones of the last while, and a trickle for
// clients that ask for little.
type Budget struct {
	Ratio        float64 // of first tries
	MinPerSecond float64 // a second

	tokens, at float64
}

// Figures of budgets.
const (
	budgetMost   = 100.0
	budgetFirst  = 10.0 // of a new client, which has done nothing for it yet
	budgetWindow = 10e3 // tokens that are not used fade over so long
)

// NewBudget returns the usual budget: a tenth, and one in five seconds.
func NewBudget() *Budget { return &Budget{Ratio: 0.08, MinPerSecond: 0.2, tokens: budgetFirst} }

func (b *Budget) age(now float64) {
	dt := math.Max(0, now-b.at)
	b.tokens = math.Min(budgetMost, b.tokens*math.Exp(-dt/budgetWindow)+b.MinPerSecond*dt/1000)
	b.at = math.Max(b.at, now)
}

// Deposit takes a first try.
func (b *Budget) Deposit(now float64) {
	b.age(now)
	b.tokens = math.Min(budgetMost, b.tokens+b.Ratio)
}

// Spend takes a token for another try, if there is one.
func (b *Budget) Spend(now float64) bool {
	if b.age(now); b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Throttle is the adaptive throttling of a client (Beyer and others, Site Reliability Engineering, 2016, chapter 21): once
// nodes turn most away it holds calls back by chance, and a few go on to see.
type Throttle struct {
	K, Window float64
	Slack     float64 // requests that may be turned away before it begins

	asked, accepted, at float64
}

// RecordNoNode takes a call for which no node was free: nodes turned it away beforehand, by their credit.
func (t *Throttle) RecordNoNode() { t.asked++ }

// NewThrottle returns the usual one: at half turned away it begins, over half a minute.
func NewThrottle() *Throttle { return &Throttle{K: 2, Window: 30e3, Slack: 10} }

func (t *Throttle) age(now float64) {
	f := math.Exp(-math.Max(0, now-t.at) / t.Window)
	t.asked, t.accepted, t.at = t.asked*f, t.accepted*f, math.Max(t.at, now)
}

// ShouldReject tells whether a call is held back; the draw is evenly from 0 to 1. One that is counts as asked, so that clients that are
// held back go on to be. One that is not counts with the end of its tries: what is under way has not been turned away.
func (t *Throttle) ShouldReject(now, draw float64) bool {
	t.age(now)
	if p := math.Max(0, (t.asked-t.K*t.accepted-t.Slack)/(t.asked+1)); draw >= p {
		return false
	}
	t.asked++
	return true
}

// RecordTry takes the end of a try; all but refusals and lost connections show that nodes work.
func (t *Throttle) RecordTry(now float64, e Outcome) {
	t.age(now)
	t.asked++
	if e == Served || e == Failed || e == Late {
		t.accepted++
	}
}

// Latencies knows how long answers usually take, by class.
type Latencies struct {
	classes []*hdrhistogram.Histogram
	low     []float64
	high    []float64
	n       []int
}

// Figures of latencies: quantiles are taken anew with every usualEvery answers and old ones halved by starting over.
const (
	usualEvery = 64
	usualMost  = 4096
	lowAt      = 5.0
	highAt     = 95.0
	longest    = 3600e3
)

// NewLatencies returns one for so many classes.
func NewLatencies(classes int) *Latencies {
	u := &Latencies{low: make([]float64, classes), high: make([]float64, classes), n: make([]int, classes)}
	for range classes {
		u.classes = append(u.classes, hdrhistogram.New(1, longest, 2))
	}
	return u
}

// Add takes how long an answer took.
func (u *Latencies) Add(class int, took float64) {
	h := u.classes[class]
	h.RecordValue(int64(math.Min(longest, math.Max(1, took))))
	if u.n[class]++; u.n[class]%usualEvery != 0 {
		return
	}
	u.low[class], u.high[class] = float64(h.ValueAtQuantile(lowAt)), float64(h.ValueAtQuantile(highAt))
	if h.TotalCount() >= usualMost {
		h.Reset()
	}
}

// P5 returns the latency that a twentieth of the answers had at most; 0: it is not known.
func (u *Latencies) P5(class int) float64 { return u.low[class] }

// P95 returns the latency that all but a twentieth had at most; 0: it is not known.
func (u *Latencies) P95(class int) float64 { return u.high[class] }
