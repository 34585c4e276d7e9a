package baseline

import (
	"math"
	"slices"

	"whinrudder/internal/core"
	"whinrudder/internal/queue"
)

// Node is the decision-making part of a node, without I/O. The core and all baselines implement it.
type Node interface {
	// Step handles inputs at a time and returns the resulting outputs.
	Step(now float64, in []core.Input) []core.Output
	// Next returns the time at which Step has to be called even without inputs; 0: not at all.
	Next() float64
	// Open returns the number of requests that are not answered.
	Open() int
}

// Discipline determines the order in which queued requests run, and which of them are refused.
type Discipline interface {
	// Select returns the index of the request in the queue to run next, or -1, and the indexes of those to refuse. The
	// queue is ordered by arrival, oldest first.
	Select(now float64, queued []QueuedRequest) (run int, drop []int)
	// RecordEmpty records that the queue is empty.
	RecordEmpty(now float64)
}

// QueuedRequest is a request in the queue.
type QueuedRequest struct{ ArrivedAt, Due float64 }

// FIFO runs the oldest request first and refuses none.
type FIFO struct{}

// Select implements Discipline.
func (FIFO) Select(float64, []QueuedRequest) (int, []int) { return 0, nil }

// RecordEmpty implements Discipline.
func (FIFO) RecordEmpty(float64) {}

// CoDel controls the delay of a queue in the variant for servers (Nichols and Jacobson, 2012; Maurer, Fail at Scale,
// 2015): if the queue has not been empty for Interval, requests may wait for Target only and the newest runs first;
// otherwise they may wait for Interval and the oldest runs first.
type CoDel struct {
	Target, Interval float64

	emptyAt float64 // last time at which the queue was empty
}

// NewCoDel returns a CoDel with the values of the paper, 5 and 100 ms, times a factor for slower services.
func NewCoDel(factor float64) *CoDel { return &CoDel{Target: 5 * factor, Interval: 100 * factor} }

// RecordEmpty implements Discipline.
func (c *CoDel) RecordEmpty(now float64) { c.emptyAt = now }

// Select implements Discipline.
func (c *CoDel) Select(now float64, queued []QueuedRequest) (run int, drop []int) {
	maxWait := c.Interval
	overload := now-c.emptyAt > c.Interval
	if overload {
		maxWait = c.Target
	}
	for i, r := range queued {
		if now-r.ArrivedAt > maxWait {
			drop = append(drop, i)
		}
	}
	if len(drop) == len(queued) {
		return -1, drop
	}
	if overload {
		return len(queued) - 1, drop
	}
	return len(drop), drop // the refused requests are the first of the queue
}

// Server is a Node that runs requests within the limit of a Limiter and holds others in a bounded queue.
type Server struct {
	limiter    Limiter
	discipline Discipline
	maxQueued  int

	now        float64
	outputs    []core.Output
	requests   map[string]*request // by ID; open or running
	queued     []*request          // in order of arrival
	running    int
	deadlines  queue.Heap[*request] // open requests by due time
	draining   bool
	stopAt     float64
	drainGrace float64
	noticeAt   float64 // time of the stop notice
}

// request is a request that is open, running or both.
type request struct {
	*core.Request
	open     bool // it is not answered and its caller has not gone
	running  bool
	inFlight int // running requests at its start, including itself
	deadline queue.HeapEntry[*request]
}

// NewServer returns a server with at most maxQueued requests in its queue. Requests that arrive more than drainGrace
// milliseconds after a stop notice are refused.
func NewServer(l Limiter, d Discipline, maxQueued int, drainGrace float64) *Server {
	return &Server{limiter: l, discipline: d, maxQueued: maxQueued, drainGrace: drainGrace, requests: map[string]*request{}}
}

// Open implements Node.
func (s *Server) Open() (n int) {
	for _, r := range s.requests {
		if r.open {
			n++
		}
	}
	return n
}

// Next implements Node.
func (s *Server) Next() float64 {
	at, _ := s.deadlines.First()
	if s.draining && s.now < s.stopAt-stopMarginMs {
		at = min(zeroAsInf(at), s.stopAt-stopMarginMs)
	}
	return at
}

// stopMarginMs is the time before the stop at which all open requests are answered.
const stopMarginMs = 100

// zeroAsInf maps the time 0, which stands for no time, to infinity.
func zeroAsInf(at float64) float64 {
	if at == 0 {
		return math.Inf(1)
	}
	return at
}

// Step implements Node.
func (s *Server) Step(now float64, in []core.Input) []core.Output {
	s.now, s.outputs = max(s.now, now), s.outputs[:0]
	for _, i := range in {
		s.handle(i)
	}
	until := s.now
	if s.draining && s.now >= s.stopAt-stopMarginMs {
		until = math.Inf(1)
	}
	for r, ok := s.deadlines.Pop(until); ok; r, ok = s.deadlines.Pop(until) {
		if r.running {
			s.answer(r, core.Answer{Outcome: core.Failed})
		} else {
			s.refuse(r)
		}
	}
	s.admit()
	return s.outputs
}

// handle processes one input.
func (s *Server) handle(i core.Input) {
	switch i := i.(type) {
	case core.RequestArrived:
		if s.requests[i.ID] != nil {
			s.outputs = append(s.outputs, core.Reply{To: i.ReplyTo, Answer: core.Answer{ID: i.ID, Outcome: core.Duplicate, Credit: -1}})
			return
		}
		r := &request{Request: i.Request, open: true}
		r.deadline.Value = r
		s.requests[r.ID] = r
		s.deadlines.Set(&r.deadline, r.Due)
		if s.draining && r.ArrivedAt > s.noticeAt+s.drainGrace || len(s.queued) >= s.maxQueued && float64(s.running) >= s.limiter.Limit() {
			s.refuse(r)
			return
		}
		s.queued = append(s.queued, r)
	case core.CallerGone:
		if r := s.requests[i.ID]; r != nil && r.open && r.ReplyTo == i.ReplyTo {
			s.close(r)
		}
	case core.RunFinished:
		r := s.requests[i.ID]
		if r == nil || !r.running {
			return
		}
		r.running = false
		s.running--
		if i.End != core.RunMoot {
			s.limiter.Sample(s.now, i.Latency, r.inFlight, i.End == core.RunOK && r.open)
		}
		if i.End == core.RunOK {
			s.answer(r, core.Answer{Outcome: core.Served, Result: i.Result})
		} else {
			s.answer(r, core.Answer{Outcome: core.Failed})
		}
		delete(s.requests, r.ID)
	case core.RunNotStarted:
		s.handle(core.RunFinished{ID: i.ID, End: core.RunMoot})
	case core.StopNotice:
		s.draining, s.stopAt, s.noticeAt = true, i.StopAt, s.now
		s.outputs = append(s.outputs, core.DrainStarted{}, core.DrainConns{})
	case core.HealthCheck:
		a := core.Answer{Credit: -1}
		if s.draining {
			a.Outcome = core.Failed
		}
		s.outputs = append(s.outputs, core.Reply{To: i.ReplyTo, Answer: a})
	case core.PoolReady:
		s.outputs = append(s.outputs, core.Ready{Cold: i.Cold})
	}
}

// close marks a request as no longer open, and removes it unless it is running.
func (s *Server) close(r *request) {
	r.open = false
	s.deadlines.Remove(&r.deadline)
	if !r.running {
		s.queued = slices.DeleteFunc(s.queued, func(o *request) bool { return o == r })
		delete(s.requests, r.ID)
	}
}

// answer sends the answer to a request that is open.
func (s *Server) answer(r *request, a core.Answer) {
	if !r.open {
		return
	}
	a.ID, a.Credit, a.Close = r.ID, -1, s.draining
	s.outputs = append(s.outputs, core.Reply{To: r.ReplyTo, Answer: a})
	s.close(r)
}

func (s *Server) refuse(r *request) { s.answer(r, core.Answer{Outcome: core.Refused}) }

// admit starts queued requests while the limit allows it.
func (s *Server) admit() {
	for len(s.queued) > 0 && float64(s.running) < math.Floor(max(1, s.limiter.Limit())) {
		view := make([]QueuedRequest, len(s.queued))
		for i, r := range s.queued {
			view[i] = QueuedRequest{r.ArrivedAt, r.Due}
		}
		run, drop := s.discipline.Select(s.now, view)
		var r *request
		if run >= 0 {
			r = s.queued[run]
		}
		for _, o := range selectIndexes(s.queued, drop) {
			s.refuse(o)
		}
		if r == nil {
			break
		}
		s.queued = slices.DeleteFunc(s.queued, func(o *request) bool { return o == r })
		r.running = true
		s.running++
		r.inFlight = s.running
		s.outputs = append(s.outputs, core.Spawn{ID: r.ID, Class: r.Class, Body: r.Body})
	}
	if len(s.queued) == 0 {
		s.discipline.RecordEmpty(s.now)
	}
}

// selectIndexes returns the requests at some indexes.
func selectIndexes(requests []*request, indexes []int) (out []*request) {
	for _, i := range indexes {
		out = append(out, requests[i])
	}
	return out
}
