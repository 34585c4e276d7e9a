package attempt

import (
	"math"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Budget limits the retries and hedges of a client to a share of its recent calls plus a minimum rate for clients
// with few calls.
type Budget struct {
	Ratio        float64 // tokens added per call
	MinPerSecond float64 // tokens added per second

	tokens, at float64 // tokens as of the time at
}

// Parameters of budgets.
const (
	maxBudgetTokens     = 100.0
	initialBudgetTokens = 10.0 // of a new client, which has made no deposits yet
	budgetDecayMs       = 10e3 // time constant with which unused tokens decay
)

// NewBudget returns the default budget: 0.08 tokens per call and one token per 5 s.
func NewBudget() *Budget { return &Budget{Ratio: 0.08, MinPerSecond: 0.2, tokens: initialBudgetTokens} }

func (b *Budget) decay(now float64) {
	elapsedMs := math.Max(0, now-b.at)
	b.tokens = math.Min(maxBudgetTokens, b.tokens*math.Exp(-elapsedMs/budgetDecayMs)+b.MinPerSecond*elapsedMs/1000)
	b.at = math.Max(b.at, now)
}

// Deposit adds the tokens of one call.
func (b *Budget) Deposit(now float64) {
	b.decay(now)
	b.tokens = math.Min(maxBudgetTokens, b.tokens+b.Ratio)
}

// Spend takes one token and reports whether there was one.
func (b *Budget) Spend(now float64) bool {
	if b.decay(now); b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Throttle is adaptive client-side throttling (Beyer and others, Site Reliability Engineering, 2016, chapter 21):
// once nodes refuse most requests, it rejects calls at random and lets a few through to detect recovery.
type Throttle struct {
	K      float64 // rejects only when there are more than K times as many requests as accepts
	Window float64 // time constant of the counts' decay, in milliseconds
	Slack  float64 // requests beyond K times the accepts before it rejects any

	requests, accepts, at float64 // decayed counts as of the time at
}

// RecordNoNode records a call for which no node was free: by their credit, the nodes refused it beforehand.
func (t *Throttle) RecordNoNode() { t.requests++ }

// NewThrottle returns the default throttle, which begins when half of the requests of about the last 30 s were refused.
func NewThrottle() *Throttle { return &Throttle{K: 2, Window: 30e3, Slack: 10} }

func (t *Throttle) decay(now float64) {
	factor := math.Exp(-math.Max(0, now-t.at) / t.Window)
	t.requests, t.accepts, t.at = t.requests*factor, t.accepts*factor, math.Max(t.at, now)
}

// ShouldReject reports whether a call is rejected; the draw is uniform in [0, 1). A rejected call counts as a
// request, so that a throttled client stays throttled. Any other call counts when its tries end, since a call in
// flight has not been refused.
func (t *Throttle) ShouldReject(now, draw float64) bool {
	t.decay(now)
	if p := math.Max(0, (t.requests-t.K*t.accepts-t.Slack)/(t.requests+1)); draw >= p {
		return false
	}
	t.requests++
	return true
}

// RecordTry records the end of a try. Outcomes other than refusals and connection failures count as accepted.
func (t *Throttle) RecordTry(now float64, outcome Outcome) {
	t.decay(now)
	t.requests++
	if outcome == Served || outcome == Failed || outcome == Late {
		t.accepts++
	}
}

// Latencies estimates percentiles of the answer times by class.
type Latencies struct {
	histograms []*hdrhistogram.Histogram
	p5         []float64
	p95        []float64
	counts     []int
}

// Parameters of latencies: the percentiles are updated after every quantileEveryResponses answers, and a histogram is
// reset once it holds resetAfterResponses.
const (
	quantileEveryResponses = 64
	resetAfterResponses    = 4096
	lowPercentile          = 5.0
	highPercentile         = 95.0
	maxLatencyMs           = 3600e3
)

// NewLatencies returns empty estimates for the given number of classes.
func NewLatencies(classes int) *Latencies {
	l := &Latencies{p5: make([]float64, classes), p95: make([]float64, classes), counts: make([]int, classes)}
	for range classes {
		l.histograms = append(l.histograms, hdrhistogram.New(1, maxLatencyMs, 2))
	}
	return l
}

// Add records the time that an answer took.
func (l *Latencies) Add(class int, took float64) {
	h := l.histograms[class]
	h.RecordValue(int64(math.Min(maxLatencyMs, math.Max(1, took))))
	if l.counts[class]++; l.counts[class]%quantileEveryResponses != 0 {
		return
	}
	l.p5[class], l.p95[class] = float64(h.ValueAtQuantile(lowPercentile)), float64(h.ValueAtQuantile(highPercentile))
	if h.TotalCount() >= resetAfterResponses {
		h.Reset()
	}
}

// P5 returns the 5th percentile of the latency; 0: not known yet.
func (l *Latencies) P5(class int) float64 { return l.p5[class] }

// P95 returns the 95th percentile of the latency; 0: not known yet.
func (l *Latencies) P95(class int) float64 { return l.p95[class] }
