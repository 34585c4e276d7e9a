// Package baseline implements well-known admission policies as baselines for the decision module. Each is a node with
// the inputs and outputs of the core, so that the emulator runs all of them through one interface. The package does no
// I/O.
//
// Times are milliseconds.
package baseline

import "math"

// A Limiter computes the limit on concurrently running requests from the runs that have ended.
type Limiter interface {
	// Limit returns the current limit.
	Limit() float64
	// Sample records the end of a run: its latency, the number of running requests at its start including itself, and
	// whether it succeeded before its request was closed.
	Sample(now, latency float64, inFlight int, ok bool)
}

// Unlimited is a Limiter that never limits.
type Unlimited struct{}

// Limit implements Limiter.
func (Unlimited) Limit() float64 { return math.Inf(1) }

// Sample implements Limiter.
func (Unlimited) Sample(float64, float64, int, bool) {}

// Fixed is a Limiter with a constant limit.
type Fixed float64

// Limit implements Limiter.
func (f Fixed) Limit() float64 { return float64(f) }

// Sample implements Limiter.
func (Fixed) Sample(float64, float64, int, bool) {}

// AIMD increases the limit by one after a run that succeeded while at least half of the limit was in use, and
// multiplies it by Backoff, rounded down, after a run that failed or took longer than Timeout (Chiu and Jain, 1989; rule
// of the concurrency-limits library).
type AIMD struct {
	MinLimit, MaxLimit, Backoff, Timeout float64
	limit                                float64
}

// NewAIMD returns an AIMD with an initial limit and the library's default backoff of 0.9.
func NewAIMD(initial, timeout float64) *AIMD {
	return &AIMD{MinLimit: 1, MaxLimit: 1000, Backoff: 0.9, Timeout: timeout, limit: initial}
}

// Limit implements Limiter.
func (a *AIMD) Limit() float64 { return a.limit }

// Sample implements Limiter.
func (a *AIMD) Sample(_, latency float64, inFlight int, ok bool) {
	switch {
	case !ok || latency > a.Timeout:
		a.limit = math.Floor(a.limit * a.Backoff)
	case 2*float64(inFlight) >= a.limit:
		a.limit++
	}
	a.limit = min(max(a.limit, a.MinLimit), a.MaxLimit)
}

// Gradient2 is the rule of that name in the concurrency-limits library: the limit follows the ratio of a long-term mean
// of the latency to the latest latency, with an allowance for a queue and smoothing.
type Gradient2 struct {
	MinLimit, MaxLimit, QueueSize, Tolerance, Smoothing float64
	LongWindow                                          int // samples of the long-term mean

	limit, longMean float64
	samples         int
}

// NewGradient2 returns a Gradient2 with an initial limit and the library's default parameters.
func NewGradient2(initial float64) *Gradient2 {
	return &Gradient2{MinLimit: 1, MaxLimit: 200, QueueSize: 4, Tolerance: 1.5, Smoothing: 0.2, LongWindow: 600, limit: initial}
}

// Limit implements Limiter.
func (g *Gradient2) Limit() float64 { return g.limit }

// Sample implements Limiter.
func (g *Gradient2) Sample(_, latency float64, inFlight int, _ bool) {
	if latency <= 0 {
		return
	}
	g.samples++
	if g.samples <= 10 { // the first samples form an arithmetic mean
		g.longMean += (latency - g.longMean) / float64(g.samples)
	} else {
		g.longMean += (latency - g.longMean) * 2 / float64(g.LongWindow+1)
	}
	if g.longMean/latency > 2 {
		g.longMean *= 0.95 // recovers faster after an overload than the window alone would allow
	}
	if 2*float64(inFlight) < g.limit {
		return // the limit is not in use
	}
	gradient := max(0.5, min(1, g.Tolerance*g.longMean/latency))
	next := g.limit*gradient + g.QueueSize
	g.limit = min(max(g.limit*(1-g.Smoothing)+next*g.Smoothing, g.MinLimit), g.MaxLimit)
}

// Vegas estimates the queue length from the minimum latency (Brakmo and Peterson, 1995), as the concurrency-limits
// library does: alpha is 3 log10(limit), beta 6 log10(limit) and the threshold log10(limit). A periodic probe resets
// the minimum latency.
type Vegas struct {
	MaxLimit        float64
	ProbeMultiplier int // the minimum latency is reset after this number of samples times the limit

	limit, minLatency float64
	samples           int // since the last probe
}

// NewVegas returns a Vegas with an initial limit.
func NewVegas(initial float64) *Vegas {
	return &Vegas{MaxLimit: 1000, ProbeMultiplier: 30, limit: initial}
}

// Limit implements Limiter.
func (v *Vegas) Limit() float64 { return v.limit }

// Sample implements Limiter.
func (v *Vegas) Sample(_, latency float64, inFlight int, ok bool) {
	if latency <= 0 {
		return
	}
	if v.samples++; float64(v.samples) >= float64(v.ProbeMultiplier)*v.limit {
		v.samples, v.minLatency = 0, latency
		return
	}
	if v.minLatency == 0 || latency < v.minLatency {
		v.minLatency = latency
		return
	}
	logLimit := max(1, math.Log10(v.limit))
	queue := math.Ceil(v.limit * (1 - v.minLatency/latency))
	switch {
	case !ok:
		v.limit -= logLimit
	case 2*float64(inFlight) < v.limit:
		return
	case queue <= logLimit:
		v.limit += 6 * logLimit
	case queue < 3*logLimit:
		v.limit += logLimit
	case queue > 6*logLimit:
		v.limit -= logLimit
	}
	v.limit = min(max(v.limit, 1), v.MaxLimit)
}
