package baseline

import (
	"math"
	"slices"

	"whinrudder/internal/core"
	"whinrudder/internal/queue"
)

// Node is a node without its wires: the core is one, and so are all rivals.
type Node interface {
	Step(now float64, in []core.Input) []core.Output
	Next() float64
	Open() int
}

// Discipline says in what order those that wait are run, and which are given up.
type Discipline interface {
	// Select tells which of a line to run next, and which before it to refuse: numbers of the line, the oldest first.
	Select(now float64, line []QueuedRequest) (run int, drop []int)
	// RecordEmpty tells that nothing waits.
	RecordEmpty(now float64)
}

// QueuedRequest is a request that waits.
type QueuedRequest struct{ ArrivedAt, Due float64 }

// FIFO runs the oldest.
type FIFO struct{}

// Select implements Discipline.
func (FIFO) Select(float64, []QueuedRequest) (int, []int) { return 0, nil }

// RecordEmpty implements Discipline.
func (FIFO) RecordEmpty(float64) {}

// CoDel controls the delay of a line as servers do it (Nichols and Jacobson, 2012; Maurer, Fail at Scale, 2015): if it was
// not empty for Interval, requests may wait Target only and the newest is run first; else they may wait Interval.
type CoDel struct {
	Target, Interval float64

	empty float64 // when nothing waited last
}

// NewCoDel returns the rule with the figures of the paper: 5 and 100 ms, times a factor for slower services.
func NewCoDel(times float64) *CoDel { return &CoDel{Target: 5 * times, Interval: 100 * times} }

// RecordEmpty implements Discipline.
func (c *CoDel) RecordEmpty(now float64) { c.empty = now }

// Select implements Discipline.
func (c *CoDel) Select(now float64, line []QueuedRequest) (run int, drop []int) {
	most := c.Interval
	overload := now-c.empty > c.Interval
	if overload {
		most = c.Target
	}
	for i, w := range line {
		if now-w.ArrivedAt > most {
			drop = append(drop, i)
		}
	}
	if len(drop) == len(line) {
		return -1, drop
	}
	if overload {
		return len(line) - 1, drop
	}
	return len(drop), drop // the line is in order of coming: those given up are its first
}

// Server runs requests within a limit and lets a bounded line wait.
type Server struct {
	limiter Limiter
	how     Discipline
	most    int // that wait

	now     float64
	out     []core.Output
	reqs    map[string]*request
	line    []*request
	running int
	due     queue.Heap[*request]
	leaving bool
	stopAt  float64
	grace   float64
	notice  float64
}

type request struct {
	*core.Request
	open, runs bool
	inFlight   int
	timer      queue.HeapEntry[*request]
}

// NewServer returns a node with a line of so many at most; grace is for how long after the notice to leave what comes may
// be run.
func NewServer(l Limiter, how Discipline, most int, grace float64) *Server {
	return &Server{limiter: l, how: how, most: most, grace: grace, reqs: map[string]*request{}}
}

// Open implements Node.
func (s *Server) Open() (n int) {
	for _, r := range s.reqs {
		if r.open {
			n++
		}
	}
	return n
}

// Next implements Node.
func (s *Server) Next() float64 {
	at, _ := s.due.First()
	if s.leaving && s.now < s.stopAt-stopMargin {
		at = min(cmpZero(at), s.stopAt-stopMargin)
	}
	return at
}

// stopMargin is how long before the stop all that is open is answered.
const stopMargin = 100

// cmpZero takes a time that is absent for one that never comes.
func cmpZero(at float64) float64 {
	if at == 0 {
		return math.Inf(1)
	}
	return at
}

// Step implements Node.
func (s *Server) Step(now float64, in []core.Input) []core.Output {
	s.now, s.out = max(s.now, now), s.out[:0]
	for _, i := range in {
		s.take(i)
	}
	by := s.now
	if s.leaving && s.now >= s.stopAt-stopMargin {
		by = math.Inf(1)
	}
	for r, ok := s.due.Pop(by); ok; r, ok = s.due.Pop(by) {
		if r.runs {
			s.answer(r, core.Answer{Outcome: core.Failed})
		} else {
			s.refuse(r)
		}
	}
	s.admit()
	return s.out
}

func (s *Server) take(i core.Input) {
	switch i := i.(type) {
	case core.RequestArrived:
		if s.reqs[i.ID] != nil {
			s.out = append(s.out, core.Reply{To: i.ReplyTo, Answer: core.Answer{ID: i.ID, Outcome: core.Duplicate, Credit: -1}})
			return
		}
		r := &request{Request: i.Request, open: true}
		r.timer.Value = r
		s.reqs[r.ID] = r
		s.due.Set(&r.timer, r.Due)
		if s.leaving && r.ArrivedAt > s.notice+s.grace || len(s.line) >= s.most && float64(s.running) >= s.limiter.Limit() {
			s.refuse(r)
			return
		}
		s.line = append(s.line, r)
	case core.CallerGone:
		if r := s.reqs[i.ID]; r != nil && r.open {
			s.settle(r)
		}
	case core.RunFinished:
		r := s.reqs[i.ID]
		if r == nil || !r.runs {
			return
		}
		r.runs = false
		s.running--
		if i.End != core.RunMoot {
			s.limiter.Sample(s.now, i.Latency, r.inFlight, i.End == core.RunOK && r.open)
		}
		if i.End == core.RunOK {
			s.answer(r, core.Answer{Outcome: core.Served, Result: i.Result})
		} else {
			s.answer(r, core.Answer{Outcome: core.Failed})
		}
		delete(s.reqs, r.ID)
	case core.RunNotStarted:
		s.take(core.RunFinished{ID: i.ID, End: core.RunMoot})
	case core.StopNotice:
		s.leaving, s.stopAt, s.notice = true, i.StopAt, s.now
		s.out = append(s.out, core.DrainStarted{}, core.DrainConns{})
	case core.HealthCheck:
		a := core.Answer{Credit: -1}
		if s.leaving {
			a.Outcome = core.Failed
		}
		s.out = append(s.out, core.Reply{To: i.ReplyTo, Answer: a})
	case core.PoolReady:
		s.out = append(s.out, core.Ready{Cold: i.Cold})
	}
}

// settle ends what is owed for a request.
func (s *Server) settle(r *request) {
	r.open = false
	s.due.Remove(&r.timer)
	if !r.runs {
		s.line = slices.DeleteFunc(s.line, func(o *request) bool { return o == r })
		delete(s.reqs, r.ID)
	}
}

func (s *Server) answer(r *request, a core.Answer) {
	if !r.open {
		return
	}
	a.ID, a.Credit, a.Close = r.ID, -1, s.leaving
	s.out = append(s.out, core.Reply{To: r.ReplyTo, Answer: a})
	s.settle(r)
}

func (s *Server) refuse(r *request) { s.answer(r, core.Answer{Outcome: core.Refused}) }

// admit runs those that wait, as far as the limit goes.
func (s *Server) admit() {
	for len(s.line) > 0 && float64(s.running) < math.Floor(max(1, s.limiter.Limit())) {
		line := make([]QueuedRequest, len(s.line))
		for i, r := range s.line {
			line[i] = QueuedRequest{r.ArrivedAt, r.Due}
		}
		run, drop := s.how.Select(s.now, line)
		var r *request
		if run >= 0 {
			r = s.line[run]
		}
		for _, o := range pick(s.line, drop) {
			s.refuse(o)
		}
		if r == nil {
			break
		}
		s.line = slices.DeleteFunc(s.line, func(o *request) bool { return o == r })
		r.runs = true
		s.running++
		r.inFlight = s.running
		s.out = append(s.out, core.Spawn{ID: r.ID, Class: r.Class, Body: r.Body})
	}
	if len(s.line) == 0 {
		s.how.RecordEmpty(s.now)
	}
}

func pick(line []*request, at []int) (out []*request) {
	for _, i := range at {
		out = append(out, line[i])
	}
	return out
}
