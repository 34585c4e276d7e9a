// Package workers is a discrete-event model of a worker pool in virtual time. Requests are read before they run, and
// all of them share the cores evenly (processor sharing). The model includes waits off the cores, a cold start, a loss
// of throughput under contention, slowdowns, pauses, and a crash after too many requests were on the cores for too
// long. An event takes time logarithmic in the number of requests in the pool. The model is deterministic: it draws
// nothing at random.
//
// Times are milliseconds, work is milliseconds of a standard core.
package workers

import (
	"math"

	"whinrudder/internal/queue"
	"whinrudder/internal/vtime"
)

// Params describes one pool.
type Params struct {
	Cores               int
	Speed               float64 // speed of a warm core; a standard core has 1
	ColdSpeedRatio      float64 // share of the full speed at which the pool starts; 1: it starts warm
	RampTime            float64 // time after which the pool is warm; its speed rises linearly until then
	RampWork            float64 // done work after which the pool is warm, if that comes before RampTime; 0: only time counts
	ContentionThreshold float64 // requests per core above which the total throughput falls
	ContentionLoss      float64 // added share of the time of all work for each request per core above ContentionThreshold
	OverloadThreshold   float64 // mean requests per core that a warm pool survives; 0: it never crashes
	OverloadWindow      float64 // time constant of the exponential mean that is compared with OverloadThreshold
}

// Work is the work of one request.
type Work struct {
	Read  float64 // to read the request; each core reads one request at a time
	Run   float64 // of the run: half before the wait and half after it
	Sleep float64 // time that the run waits without using a core
}

// Kind is the kind of an event.
type Kind uint8

// The kinds of events.
const (
	Read    Kind = iota // a request was read
	Done                // a run finished with its result
	Stopped             // a run was stopped
	Crashed             // the pool crashed of overload; it reports no more events
)

// Event is something that happened in the pool.
type Event struct {
	Kind Kind
	ID   int     // of the request; 0 for Crashed
	Took float64 // time since the start of the run; 0 for Read and Crashed
}

const (
	rampStepMs      = 50  // interval at which the speed of a cold pool is updated
	gaugeConstantMs = 500 // time constant of the exponential mean behind Utilization
)

// job is a request while it is read, or while it runs.
type job struct {
	id      int
	work    Work
	reading bool
	waited  bool // the run is in its second half, after the wait
	begunAt float64
	target  queue.HeapEntry[*job] // the value of Pool.service at which the job leaves the cores
	wake    vtime.Timer           // ends the wait
}

// Pool is one worker pool.
type Pool struct {
	p       Params
	k       *vtime.Kernel
	onEvent func(Event)
	started float64
	at      float64 // time up to which service, done, mean and busy are computed
	service float64 // work that a job on the cores since the start would have received
	done    float64 // work done for all jobs
	rate    float64 // growth of service per millisecond
	mean    float64 // exponential mean of the requests per core, over Params.OverloadWindow
	busy    float64 // exponential mean of the share of busy cores, over gaugeConstantMs
	slow    float64 // factor by which the pool is slower than usual; 1: not slowed down
	paused  bool
	crashed bool
	onCores queue.Heap[*job]
	reading int          // jobs on the cores that are being read
	unread  []*job       // in order of arrival
	runs    map[int]*job // by request ID
	next    vtime.Timer  // the next job leaves the cores
	crash   vtime.Timer  // the mean exceeds the overload threshold
	ramp    vtime.Timer  // the speed of a cold pool is updated
}

// New returns a pool that starts now. It calls onEvent for each event when the event happens.
func New(k *vtime.Kernel, p Params, onEvent func(Event)) *Pool {
	l := &Pool{p: p, k: k, onEvent: onEvent, started: k.Now(), at: k.Now(), slow: 1, runs: map[int]*job{}}
	l.next.Do, l.crash.Do = l.finish, l.onOverload
	l.ramp.Do = func(float64) { l.change(func() {}) }
	l.change(func() {})
	return l
}

// SpeedRatio returns the current speed as a share of the speed of the warm pool.
func (l *Pool) SpeedRatio() float64 {
	if l.p.ColdSpeedRatio >= 1 || l.p.RampTime <= 0 {
		return 1
	}
	up := (l.k.Now() - l.started) / l.p.RampTime
	if l.p.RampWork > 0 {
		up = max(up, l.done/l.p.RampWork)
	}
	return l.p.ColdSpeedRatio + (1-l.p.ColdSpeedRatio)*min(1, up)
}

// Runnable returns the number of requests on the cores, including those that are being read.
func (l *Pool) Runnable() int { return l.onCores.Len() }

// Running returns the number of runs that have not ended.
func (l *Pool) Running() int { return len(l.runs) }

// Unread returns the number of requests that wait to be read.
func (l *Pool) Unread() int { return len(l.unread) }

// Utilization returns the share of busy cores, averaged over about the last half second.
func (l *Pool) Utilization() float64 {
	l.advance()
	return l.busy
}

// Crashed reports whether the pool has crashed.
func (l *Pool) Crashed() bool { return l.crashed }

// SetSlowdown makes the pool slower by a factor; 1 restores its usual speed.
func (l *Pool) SetSlowdown(factor float64) { l.change(func() { l.slow = factor }) }

// SetPaused stops all work on the cores, or resumes it.
func (l *Pool) SetPaused(paused bool) { l.change(func() { l.paused = paused }) }

// Enqueue adds a request that the pool has to read. A Read event follows.
func (l *Pool) Enqueue(id int, w Work) {
	j := &job{id: id, work: w, reading: true}
	j.target.Value = j
	l.change(func() { l.unread = append(l.unread, j) })
}

// Start starts the run of a request that is not running. A Done event follows unless the run is stopped or the pool
// crashes.
func (l *Pool) Start(id int, w Work) {
	j := &job{id: id, work: w, begunAt: l.k.Now()}
	j.target.Value = j
	j.wake.Do = func(float64) { l.change(func() { j.waited = true; l.schedule(j, j.work.Run/2) }) }
	l.change(func() {
		l.runs[id] = j
		l.schedule(j, w.Run/2)
	})
}

// Stop ends a run without a result and reports Stopped. It returns false if no run has that ID.
func (l *Pool) Stop(id int) bool {
	j := l.runs[id]
	if j == nil || l.crashed {
		return false
	}
	l.change(func() {
		delete(l.runs, id)
		l.onCores.Remove(&j.target)
		l.k.Cancel(&j.wake)
	})
	l.onEvent(Event{Stopped, id, l.k.Now() - j.begunAt})
	return true
}

// schedule puts a job on the cores until it has received an amount of work.
func (l *Pool) schedule(j *job, work float64) { l.onCores.Set(&j.target, l.service+work) }

// advance computes service, done, busy and mean up to the current time.
func (l *Pool) advance() {
	dt := l.k.Now() - l.at
	if dt <= 0 {
		return
	}
	l.at = l.k.Now()
	l.service += l.rate * dt
	l.done += l.rate * dt * float64(l.onCores.Len())
	perCore := float64(l.onCores.Len()) / float64(l.p.Cores)
	l.busy += (min(1, perCore) - l.busy) * -math.Expm1(-dt/gaugeConstantMs)
	if l.p.OverloadWindow > 0 {
		l.mean += (perCore - l.mean) * -math.Expm1(-dt/l.p.OverloadWindow)
	}
}

// change calls apply, which may change the jobs on the cores or the speed, and then recomputes the rate and the timers
// that depend on them. It does nothing after a crash.
func (l *Pool) change(apply func()) {
	if l.crashed {
		return
	}
	l.advance()
	apply()
	for len(l.unread) > 0 && l.reading < l.p.Cores {
		j := l.unread[0]
		l.unread = l.unread[1:]
		l.reading++
		l.schedule(j, j.work.Read)
	}
	n := float64(l.onCores.Len())
	perCore := n / float64(l.p.Cores)
	l.rate = l.p.Speed * l.SpeedRatio() / l.slow / max(1, perCore) / (1 + l.p.ContentionLoss*max(0, perCore-l.p.ContentionThreshold))
	if l.paused || n == 0 {
		l.rate = 0
	}
	if target, ok := l.onCores.First(); ok && l.rate > 0 {
		l.k.Set(&l.next, l.k.Now()+max(0, target-l.service)/l.rate)
	} else {
		l.k.Cancel(&l.next)
	}
	if l.SpeedRatio() < 1 && !l.ramp.IsSet() {
		l.k.Set(&l.ramp, l.k.Now()+rampStepMs)
	}
	limit := 1 + (l.p.OverloadThreshold-1)*l.SpeedRatio() // a cold pool survives fewer requests per core
	switch {
	case l.p.OverloadThreshold <= 0 || perCore <= limit && l.mean <= limit:
		l.k.Cancel(&l.crash)
	case l.mean > limit:
		l.k.Set(&l.crash, l.k.Now())
	default: // the mean approaches perCore and will exceed the limit on the way
		l.k.Set(&l.crash, l.k.Now()+l.p.OverloadWindow*math.Log((perCore-l.mean)/(perCore-limit)))
	}
}

// finish handles the jobs that have received the work for which they were scheduled.
func (l *Pool) finish(now float64) {
	var finished []*job
	l.change(func() {
		for {
			j, ok := l.onCores.Pop(l.service + 1e-9*max(1, l.service))
			if !ok {
				return
			}
			switch {
			case j.reading:
				l.reading--
				finished = append(finished, j)
			case !j.waited && j.work.Sleep > 0:
				l.k.Set(&j.wake, now+j.work.Sleep)
			case !j.waited:
				j.waited = true
				l.schedule(j, j.work.Run/2)
			default:
				delete(l.runs, j.id)
				finished = append(finished, j)
			}
		}
	})
	for _, j := range finished {
		if j.reading {
			l.onEvent(Event{Read, j.id, 0})
		} else {
			l.onEvent(Event{Done, j.id, now - j.begunAt})
		}
	}
}

// onOverload crashes the pool.
func (l *Pool) onOverload(float64) {
	l.crashed = true
	for _, t := range []*vtime.Timer{&l.next, &l.ramp} {
		l.k.Cancel(t)
	}
	for _, j := range l.runs {
		l.k.Cancel(&j.wake)
	}
	l.onEvent(Event{Kind: Crashed})
}
