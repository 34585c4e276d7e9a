// Package workers is a model of a worker pool in virtual time, event by event: cores that all requests share evenly,
// reading before running, waits off the cores, a cold ramp, crowding, crawls and pauses, and a fall when too much runs for
// too long. An event takes time in the logarithm of what is in hand. It draws nothing by chance.
//
// Times are milliseconds, work is milliseconds of a standard core.
package workers

import (
	"math"

	"whinrudder/internal/queue"
	"whinrudder/internal/vtime"
)

// Params describe one pool.
type Params struct {
	Cores               int
	Speed               float64 // of a warm core; a standard one has 1
	ColdSpeedRatio      float64 // share of the speed at which a cold pool starts; 1: it is warm
	RampTime            float64 // time after which it is warm; its speed rises evenly
	RampWork            float64 // work after which it is warm, if that comes first; 0: time alone counts
	ContentionThreshold float64 // requests on the cores, for each core, past which they get less done in total
	ContentionLoss      float64 // share of the speed lost for each request a core beyond that
	OverloadThreshold   float64 // mean requests on the cores, for each core, that a warm pool survives; 0: any
	OverloadWindow      float64 // the time of that mean
}

// Work is what one request needs.
type Work struct {
	Read  float64 // before it is known, one request a core at a time
	Run   float64 // of its run, half before the wait and half after
	Sleep float64 // time that the run waits off the cores
}

// Kind says what happened.
type Kind uint8

// What happens in a pool.
const (
	Read    Kind = iota // a request was read
	Done                // a run ended with its result
	Stopped             // a run was stopped
	Crashed             // too much ran for too long; the pool is gone, and tells nothing more
)

// Event is something that happened.
type Event struct {
	Kind Kind
	ID   int
	Took float64 // since the start of the run
}

// rampStep is how often the speed of a cold pool is set anew, in milliseconds, and gaugeFor the time of the gauge.
const (
	rampStep = 50
	gaugeFor = 500
)

// job is a request that is read, or a run.
type job struct {
	id      int
	w       Work
	reading bool
	half    bool // the wait is over
	begun   float64
	target  queue.HeapEntry[*job] // by the service that it needs to have
	wake    vtime.Timer           // ends its wait
}

// Pool is one worker pool.
type Pool struct {
	p       Params
	k       *vtime.Kernel
	tell    func(Event)
	started float64
	at      float64 // of the figures below
	service float64 // work that a job on the cores all the time has had
	done    float64 // work of all jobs
	rate    float64 // of it, a millisecond
	mean    float64 // requests on the cores, for each core, over the window
	busy    float64 // share of the cores busy, over gaugeFor
	slow    float64 // how many times slower than usual it is
	paused  bool
	fallen  bool
	on      queue.Heap[*job] // on the cores
	reading int
	unread  []*job // in order of arrival
	runs    map[int]*job
	next    vtime.Timer // the next job on the cores gets what it needs
	fall    vtime.Timer
	ramp    vtime.Timer
}

// New returns a pool that starts now. It tells what happens as it happens.
func New(k *vtime.Kernel, p Params, tell func(Event)) *Pool {
	l := &Pool{p: p, k: k, tell: tell, started: k.Now(), at: k.Now(), slow: 1, runs: map[int]*job{}}
	l.next.Do, l.fall.Do = l.finish, l.falls
	l.ramp.Do = func(float64) { l.change(func() {}) }
	l.change(func() {})
	return l
}

// SpeedRatio returns the share of full speed that the pool has.
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

// Runnable returns how many requests want a core, those that are read included.
func (l *Pool) Runnable() int { return l.on.Len() }

// Running returns how many runs are not over.
func (l *Pool) Running() int { return len(l.runs) }

// Unread returns how many requests wait to be read.
func (l *Pool) Unread() int { return len(l.unread) }

// Utilization returns the share of the cores busy over the last half second.
func (l *Pool) Utilization() float64 {
	l.advance()
	return l.busy
}

// Crashed tells whether the pool is gone.
func (l *Pool) Crashed() bool { return l.fallen }

// SetSlowdown makes the pool so many times slower; 1 ends that.
func (l *Pool) SetSlowdown(times float64) { l.change(func() { l.slow = times }) }

// SetPaused holds all work up, or lets it go on.
func (l *Pool) SetPaused(on bool) { l.change(func() { l.paused = on }) }

// Enqueue puts a request before the pool, unread.
func (l *Pool) Enqueue(id int, w Work) {
	j := &job{id: id, w: w, reading: true}
	j.target.Value = j
	l.change(func() { l.unread = append(l.unread, j) })
}

// Start begins the run of a request that does not run.
func (l *Pool) Start(id int, w Work) {
	j := &job{id: id, w: w, begun: l.k.Now()}
	j.target.Value = j
	j.wake.Do = func(float64) { l.change(func() { j.half = true; l.need(j, j.w.Run/2) }) }
	l.change(func() {
		l.runs[id] = j
		l.need(j, w.Run/2)
	})
}

// Stop ends a run without a result. It returns false if there is none of that id.
func (l *Pool) Stop(id int) bool {
	j := l.runs[id]
	if j == nil || l.fallen {
		return false
	}
	l.change(func() {
		delete(l.runs, id)
		l.on.Remove(&j.target)
		l.k.Cancel(&j.wake)
	})
	l.tell(Event{Stopped, id, l.k.Now() - j.begun})
	return true
}

// need puts a job on the cores for so much work.
func (l *Pool) need(j *job, work float64) { l.on.Set(&j.target, l.service+work) }

// advance brings the figures up to now.
func (l *Pool) advance() {
	dt := l.k.Now() - l.at
	if dt <= 0 {
		return
	}
	l.at = l.k.Now()
	l.service += l.rate * dt
	l.done += l.rate * dt * float64(l.on.Len())
	a := float64(l.on.Len()) / float64(l.p.Cores)
	l.busy += (min(1, a) - l.busy) * -math.Expm1(-dt/gaugeFor)
	if l.p.OverloadWindow > 0 {
		l.mean += (a - l.mean) * -math.Expm1(-dt/l.p.OverloadWindow)
	}
}

// change does something that changes what is on the cores or how fast they are, and sets the timers that hang on it.
func (l *Pool) change(do func()) {
	if l.fallen {
		return
	}
	l.advance()
	do()
	for len(l.unread) > 0 && l.reading < l.p.Cores {
		j := l.unread[0]
		l.unread = l.unread[1:]
		l.reading++
		l.need(j, j.w.Read)
	}
	n := float64(l.on.Len())
	a := n / float64(l.p.Cores)
	l.rate = l.p.Speed * l.SpeedRatio() / l.slow / max(1, a) / (1 + l.p.ContentionLoss*max(0, a-l.p.ContentionThreshold))
	if l.paused || n == 0 {
		l.rate = 0
	}
	if target, ok := l.on.First(); ok && l.rate > 0 {
		l.k.Set(&l.next, l.k.Now()+max(0, target-l.service)/l.rate)
	} else {
		l.k.Cancel(&l.next)
	}
	if l.SpeedRatio() < 1 && !l.ramp.IsSet() {
		l.k.Set(&l.ramp, l.k.Now()+rampStep)
	}
	limit := 1 + (l.p.OverloadThreshold-1)*l.SpeedRatio()
	switch {
	case l.p.OverloadThreshold <= 0 || a <= limit && l.mean <= limit:
		l.k.Cancel(&l.fall)
	case l.mean > limit:
		l.k.Set(&l.fall, l.k.Now())
	default: // the mean goes to a, and passes the limit on its way
		l.k.Set(&l.fall, l.k.Now()+l.p.OverloadWindow*math.Log((a-l.mean)/(a-limit)))
	}
}

// finish takes the jobs that have what they needed.
func (l *Pool) finish(now float64) {
	var over []*job
	l.change(func() {
		for {
			j, ok := l.on.Pop(l.service + 1e-9*max(1, l.service))
			if !ok {
				return
			}
			switch {
			case j.reading:
				l.reading--
				over = append(over, j)
			case !j.half && j.w.Sleep > 0:
				l.k.Set(&j.wake, now+j.w.Sleep)
			case !j.half:
				j.half = true
				l.need(j, j.w.Run/2)
			default:
				delete(l.runs, j.id)
				over = append(over, j)
			}
		}
	})
	for _, j := range over {
		if j.reading {
			l.tell(Event{Read, j.id, 0})
		} else {
			l.tell(Event{Done, j.id, now - j.begun})
		}
	}
}

// falls ends the pool.
func (l *Pool) falls(float64) {
	l.fallen = true
	for _, t := range []*vtime.Timer{&l.next, &l.ramp} {
		l.k.Cancel(t)
	}
	for _, j := range l.runs {
		l.k.Cancel(&j.wake)
	}
	l.tell(Event{Kind: Crashed})
}
