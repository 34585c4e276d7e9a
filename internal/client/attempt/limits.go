package attempt

import (
	"math"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Budget bounds the tries of a client that are not first ones: a share of the first ones of the last while, and a trickle for
// clients that ask for little.
type Budget struct {
	Ratio   float64 // of first tries
	Trickle float64 // a second

	tokens, at float64
}

// Figures of budgets.
const (
	budgetMost   = 100.0
	budgetFirst  = 10.0 // of a new client, which has done nothing for it yet
	budgetWindow = 10e3 // tokens that are not used fade over so long
)

// NewBudget returns the usual budget: a tenth, and one in five seconds.
func NewBudget() *Budget { return &Budget{Ratio: 0.08, Trickle: 0.2, tokens: budgetFirst} }

func (b *Budget) age(now float64) {
	dt := math.Max(0, now-b.at)
	b.tokens = math.Min(budgetMost, b.tokens*math.Exp(-dt/budgetWindow)+b.Trickle*dt/1000)
	b.at = math.Max(b.at, now)
}

// First takes a first try.
func (b *Budget) First(now float64) {
	b.age(now)
	b.tokens = math.Min(budgetMost, b.tokens+b.Ratio)
}

// Take takes a token for another try, if there is one.
func (b *Budget) Take(now float64) bool {
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

// Missed takes a call for which no node was free: nodes turned it away beforehand, by their credit.
func (t *Throttle) Missed() { t.asked++ }

// NewThrottle returns the usual one: at half turned away it begins, over half a minute.
func NewThrottle() *Throttle { return &Throttle{K: 2, Window: 30e3, Slack: 10} }

func (t *Throttle) age(now float64) {
	f := math.Exp(-math.Max(0, now-t.at) / t.Window)
	t.asked, t.accepted, t.at = t.asked*f, t.accepted*f, math.Max(t.at, now)
}

// Holds tells whether a call is held back; the draw is evenly from 0 to 1. One that is counts as asked, so that clients that are
// held back go on to be. One that is not counts with the end of its tries: what is under way has not been turned away.
func (t *Throttle) Holds(now, draw float64) bool {
	t.age(now)
	if p := math.Max(0, (t.asked-t.K*t.accepted-t.Slack)/(t.asked+1)); draw >= p {
		return false
	}
	t.asked++
	return true
}

// Ended takes the end of a try; all but refusals and lost connections show that nodes work.
func (t *Throttle) Ended(now float64, e End) {
	t.age(now)
	t.asked++
	if e == Served || e == Failed || e == Late {
		t.accepted++
	}
}

// Usual knows how long answers usually take, by class.
type Usual struct {
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

// NewUsual returns one for so many classes.
func NewUsual(classes int) *Usual {
	u := &Usual{low: make([]float64, classes), high: make([]float64, classes), n: make([]int, classes)}
	for range classes {
		u.classes = append(u.classes, hdrhistogram.New(1, longest, 2))
	}
	return u
}

// Add takes how long an answer took.
func (u *Usual) Add(class int, took float64) {
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

// Low returns the latency that a twentieth of the answers had at most; 0: it is not known.
func (u *Usual) Low(class int) float64 { return u.low[class] }

// High returns the latency that all but a twentieth had at most; 0: it is not known.
func (u *Usual) High(class int) float64 { return u.high[class] }
