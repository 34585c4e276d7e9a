// Package pooltest is a fake worker pool for tests with real processes. It runs what a node starts, shares its cores among
// the runs, and judges by its own count whether the node put more on it than it bears. It never asks the node.
package pooltest

import (
	"fmt"
	"time"
)

// Params describes a pool. Its speed rises from ColdSpeed to 1 within RampTime of its start.
type Params struct {
	Cores          int
	FallMultiple   float64       // runs on the cores, for each core, that a warm pool survives
	OverloadWindow time.Duration // over which they are averaged
	MemoryKB       float64       // that the pool survives; 0: any amount
	RunFactor      float64       // memory of a run over the memory of its request
	ColdSpeed      float64       // speed at the start; 1: the pool starts warm
	RampTime       time.Duration
	Work           time.Duration // core time of a run at full speed
	WriteClass     string        // the class that must not run twice
}

// Report is what the pool has seen.
type Report struct {
	Overload     string   // the first time the node put more on the pool than it bears; empty: never
	PeakMean     float64  // highest mean of the runs on the cores
	PeakRatio    float64  // highest share of what the pool survived at that time
	PeakMemory   float64  // highest memory, in KB
	Started      int      // runs
	RanTwice     []string // ids of writes that ran more than once
	RepeatedRead int      // runs of reads that had ended before
	LateStarts   []string // ids of requests that came after ForbidLateStarts and were started
	LostCommands int      // commands that a broken link took with it
}

// workerState is the state of a request's run.
type workerState uint8

const (
	notStarted workerState = iota
	inProgress
	over
)

// job is a request that callers announced, and its run.
type job struct {
	id        string
	late      bool // it came when nothing new might be started any more
	state     workerState
	answered  bool // the request is over for its caller
	kb        float64
	work      time.Duration // core time left
	startedAt time.Time
	body      string // base64
}

// workers is the work of a pool, without its link. Its caller holds a lock.
type workers struct {
	p         Params
	startedAt time.Time
	at        time.Time // up to which the work is done
	jobs      map[string]*job
	running   map[string]*job
	samples   []sample // of the last OverloadWindow
	report    Report
	openKB    float64 // memory of the open requests that do not run
	runningKB float64 // memory of the runs
	slowdown  float64 // factor by which runs take longer than usual

	lateStartsForbidden bool
}

// sample is the number of runs during a span.
type sample struct {
	until time.Time
	span  time.Duration
	runs  int
}

func newWorkers(p Params, now time.Time) *workers {
	return &workers{p: p, startedAt: now, at: now, jobs: map[string]*job{}, running: map[string]*job{}, slowdown: 1}
}

// speed returns the present share of the full speed.
func (w *workers) speed(now time.Time) float64 {
	if w.p.ColdSpeed >= 1 || w.p.RampTime <= 0 {
		return 1
	}
	warmed := min(1, float64(now.Sub(w.startedAt))/float64(w.p.RampTime))
	return w.p.ColdSpeed + (1-w.p.ColdSpeed)*warmed
}

// survives returns the mean number of runs on the cores that the pool survives now.
func (w *workers) survives(now time.Time) float64 {
	return float64(w.p.Cores) * (1 + (w.p.FallMultiple-1)*w.speed(now))
}

// advance does the work up to now and returns the runs that ended.
func (w *workers) advance(now time.Time) (ended []*job) {
	span := now.Sub(w.at)
	w.at = now
	if span <= 0 {
		return nil
	}
	w.judge(now, span)
	share := min(1, float64(w.p.Cores)/float64(max(1, len(w.running)))) * w.speed(now) / w.slowdown
	for _, j := range w.running {
		if j.work -= time.Duration(float64(span) * share); j.work <= 0 {
			w.end(j)
			ended = append(ended, j)
		}
	}
	return ended
}

// end ends a run.
func (w *workers) end(j *job) {
	j.state = over
	delete(w.running, j.id)
	w.runningKB -= j.kb * w.p.RunFactor
	if !j.answered {
		w.openKB += j.kb
	}
}

// announce books a request.
func (w *workers) announce(id string, kb float64) {
	w.jobs[id] = &job{id: id, kb: kb, late: w.lateStartsForbidden}
	w.openKB += kb
}

// answer notes that a request is over for its caller.
func (w *workers) answer(id string) {
	j := w.jobs[id]
	if j == nil || j.answered {
		return
	}
	j.answered = true
	if j.state != inProgress {
		w.openKB -= j.kb
	}
}

// judge adds a span with the present number of runs to the mean and compares it with what the pool survives.
func (w *workers) judge(now time.Time, span time.Duration) {
	w.samples = append(w.samples, sample{now, span, len(w.running)})
	for len(w.samples) > 0 && now.Sub(w.samples[0].until) >= w.p.OverloadWindow {
		w.samples = w.samples[1:]
	}
	sum := 0.0
	for _, s := range w.samples {
		sum += float64(s.runs) * float64(s.span)
	}
	mean, memory := sum/float64(w.p.OverloadWindow), w.memory()
	w.report.PeakMean = max(w.report.PeakMean, mean)
	w.report.PeakRatio = max(w.report.PeakRatio, mean/w.survives(now))
	w.report.PeakMemory = max(w.report.PeakMemory, memory)
	if w.report.Overload != "" {
		return
	}
	at := now.Sub(w.startedAt).Round(time.Millisecond)
	switch {
	case mean > w.survives(now):
		w.report.Overload = fmt.Sprintf("after %v: %.1f runs on the cores in the mean, survivable are %.1f", at, mean, w.survives(now))
	case w.p.MemoryKB > 0 && memory > w.p.MemoryKB:
		w.report.Overload = fmt.Sprintf("after %v: %.0f KB in use of %.0f, %d runs", at, memory, w.p.MemoryKB, len(w.running))
	}
}

// memory returns the memory of all open requests and all runs, in KB.
func (w *workers) memory() float64 { return w.openKB + w.runningKB }

// start starts the run of a request. moot reports that nothing was started because the request is over; known, that the
// request came to this pool's node.
func (w *workers) start(now time.Time, id, class, body string) (known, moot bool) {
	j := w.jobs[id]
	if j == nil {
		return false, false
	}
	switch {
	case j.state == inProgress:
		return true, false
	case j.answered:
		return true, true
	case j.state == over && class == w.p.WriteClass:
		w.report.RanTwice = append(w.report.RanTwice, id)
	case j.state == over:
		w.report.RepeatedRead++
	}
	if j.late {
		w.report.LateStarts = append(w.report.LateStarts, id)
	}
	w.report.Started++
	w.openKB -= j.kb
	w.runningKB += j.kb * w.p.RunFactor
	j.state, j.work, j.startedAt, j.body = inProgress, w.p.Work, now, body
	w.running[id] = j
	return true, false
}

// stop stops a run and returns it, or nil if it is not in progress.
func (w *workers) stop(id string) *job {
	j := w.running[id]
	if j != nil {
		w.end(j)
	}
	return j
}

// utilization returns the share of busy cores.
func (w *workers) utilization() float64 {
	return min(1, float64(len(w.running))/float64(w.p.Cores))
}
