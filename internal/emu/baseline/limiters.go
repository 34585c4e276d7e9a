// Package baseline holds the admission policies that the field knows, to compare the decision module with: each is a node
// that takes the inputs of the core and gives its outputs, so that all go through one interface. They know no I/O.
//
// Times are milliseconds.
package baseline

import "math"

// A Limiter learns how many requests may run at a time from those that ended.
type Limiter interface {
	// Limit returns the present limit.
	Limit() float64
	// Sample takes the end of a run: how long it took, how many ran when it was started, and whether it came in time.
	Sample(now, took float64, inFlight int, ok bool)
}

// Unlimited is no limit at all.
type Unlimited struct{}

// Limit implements Limiter.
func (Unlimited) Limit() float64 { return math.Inf(1) }

// Sample implements Limiter.
func (Unlimited) Sample(float64, float64, int, bool) {}

// Fixed is a limit that is set by hand.
type Fixed float64

// Limit implements Limiter.
func (f Fixed) Limit() float64 { return float64(f) }

// Sample implements Limiter.
func (Fixed) Sample(float64, float64, int, bool) {}

// AIMD adds one after runs that came in time with the limit in use, and takes a part away after one that did not (Chiu
// and Jain, 1989; the rule of the concurrency-limits library: backoff 0.9, a run over Timeout counts as lost).
type AIMD struct {
	MinLimit, MaxLimit, Backoff, Timeout float64
	limit                                float64
}

// NewAIMD returns the rule with a limit to begin with.
func NewAIMD(initial, timeout float64) *AIMD {
	return &AIMD{MinLimit: 1, MaxLimit: 1000, Backoff: 0.9, Timeout: timeout, limit: initial}
}

// Limit implements Limiter.
func (a *AIMD) Limit() float64 { return a.limit }

// Sample implements Limiter.
func (a *AIMD) Sample(_, took float64, inFlight int, ok bool) {
	switch {
	case !ok || took > a.Timeout:
		a.limit = math.Floor(a.limit * a.Backoff)
	case 2*float64(inFlight) >= a.limit:
		a.limit++
	}
	a.limit = min(max(a.limit, a.MinLimit), a.MaxLimit)
}

// Gradient2 is the rule of that name in the concurrency-limits library: the limit follows the ratio of a long mean of
// latency to the latest, with a queue allowed on top and smoothing.
type Gradient2 struct {
	MinLimit, MaxLimit, QueueSize, Tolerance, Smoothing float64
	LongWindow                                          int // samples of the long mean

	limit, long float64
	n           int
}

// NewGradient2 returns the rule with the library's usual figures.
func NewGradient2(initial float64) *Gradient2 {
	return &Gradient2{MinLimit: 1, MaxLimit: 200, QueueSize: 4, Tolerance: 1.5, Smoothing: 0.2, LongWindow: 600, limit: initial}
}

// Limit implements Limiter.
func (g *Gradient2) Limit() float64 { return g.limit }

// Sample implements Limiter.
func (g *Gradient2) Sample(_, took float64, inFlight int, _ bool) {
	if took <= 0 {
		return
	}
	g.n++
	if g.n <= 10 { // the first few are a plain mean
		g.long += (took - g.long) / float64(g.n)
	} else {
		g.long += (took - g.long) * 2 / float64(g.LongWindow+1)
	}
	if g.long/took > 2 {
		g.long *= 0.95 // it comes down faster than its memory after a time of overload
	}
	if 2*float64(inFlight) < g.limit {
		return // the limit is not what holds it back
	}
	gradient := max(0.5, min(1, g.Tolerance*g.long/took))
	next := g.limit*gradient + g.QueueSize
	g.limit = min(max(g.limit*(1-g.Smoothing)+next*g.Smoothing, g.MinLimit), g.MaxLimit)
}

// Vegas estimates the queue from the least latency seen (Brakmo and Peterson, 1995), as the concurrency-limits library has
// it: alpha 3 log10(limit), beta 6 log10(limit), threshold log10(limit), and a probe for a new least latency now and then.
type Vegas struct {
	MaxLimit        float64
	ProbeMultiplier int // samples, times the limit, after which the least latency is learned anew

	limit, least float64
	n            int
}

// NewVegas returns the rule with a limit to begin with.
func NewVegas(initial float64) *Vegas {
	return &Vegas{MaxLimit: 1000, ProbeMultiplier: 30, limit: initial}
}

// Limit implements Limiter.
func (v *Vegas) Limit() float64 { return v.limit }

// Sample implements Limiter.
func (v *Vegas) Sample(_, took float64, inFlight int, ok bool) {
	if took <= 0 {
		return
	}
	if v.n++; float64(v.n) >= float64(v.ProbeMultiplier)*v.limit {
		v.n, v.least = 0, took
		return
	}
	if v.least == 0 || took < v.least {
		v.least = took
		return
	}
	log := max(1, math.Log10(v.limit))
	queue := math.Ceil(v.limit * (1 - v.least/took))
	switch {
	case !ok:
		v.limit -= log
	case 2*float64(inFlight) < v.limit:
		return
	case queue <= log:
		v.limit += 6 * log
	case queue < 3*log:
		v.limit += log
	case queue > 6*log:
		v.limit -= log
	}
	v.limit = min(max(v.limit, 1), v.MaxLimit)
}
