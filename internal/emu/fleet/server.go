package fleet

import (
	"fmt"
	"math"
	"strconv"

	"whinrudder"
	"whinrudder/internal/client/members"
	"whinrudder/internal/core"
	"whinrudder/internal/emu/baseline"
	"whinrudder/internal/emu/workers"
	"whinrudder/internal/vtime"
)

// dayMs is the retry-after of BogusCredit.
const dayMs = 24 * 3600e3

const (
	crashDowntimeMs = 5000 // time from a crash by overload to the restart
	maxSockets      = 1024 // open requests of a node at most
)

// NodeFactory returns a new node of a fleet.
type NodeFactory func(s whinrudder.Settings, seed uint64) (baseline.Node, error)

// NewModuleNode is the NodeFactory of nodes with the decision module.
func NewModuleNode(s whinrudder.Settings, seed uint64) (baseline.Node, error) {
	return core.New(s, seed)
}

// server is one server of the fleet, with the node that currently runs on it.
type server struct {
	sim    *simulation
	index  int // in the fleet
	params workers.Params

	up            bool // it accepts connections
	draining      bool
	noticeAt      float64 // time of the stop notice; infinity: none
	slowdown      float64 // of the pool; 1: none
	clockSkew     float64 // milliseconds by which its clock is ahead
	blackHole     bool    // it fails every request
	bogusCredit   float64 // credit that it reports; 0: the credit of its node
	incarnation   int     // changes at each start and end of a node
	memoryKB      float64 // memory of held and running requests
	memoryLimitKB float64

	stalled            bool
	stallFrom, stallTo float64

	node         baseline.Node
	pool         *workers.Pool
	inputs       []core.Input
	stepping     bool
	tick         vtime.Timer
	tries        map[int]*try   // at the node and not answered, by number
	runs         map[int]*try   // whose runs have not ended, by number
	externalRuns map[int]string // request IDs of external runs, by their number in the pool
}

// try is one request of a caller to a node.
type try struct {
	number       int
	id           string
	req          *request
	server       *server
	incarnation  int
	clockSkew    float64 // clockSkew of the server when the request was read
	sentAt       float64
	due          float64 // time until which its caller waits
	arrivedAt    float64 // time at which it reached the server; 0: not yet
	read         bool
	readAt       float64
	answered     bool // by the node
	callerGone   bool // its caller has closed it
	started      bool // its run was started
	closed       bool // at the caller
	atNode       bool // on its way to the node, or not answered by it
	running      bool // its run has not ended
	nth          int  // number within its request, from 1
	messagesSent int  // so far
	timeout      vtime.Timer
	member       *members.Member // for callers that use the client library
	history      []event
}

// event is an entry in the history of a try.
type event struct {
	at   float64
	what string
}

func (t *try) record(what string) {
	t.history = append(t.history, event{t.server.sim.kernel.Now(), what})
}

// Terminator is a node that must be told when it ends: killed, or after a drain.
type Terminator interface{ Terminate(killed bool) }

// ConnectionReset is an output of nodes that consist of more than the core: the connection of a try was reset.
type ConnectionReset struct {
	core.Reply // only its To is used
	Reason     string
}

// start starts a node on the server, unless one is up.
func (s *server) start(cold bool) {
	if s.up {
		return
	}
	s.incarnation++
	incarnation := s.incarnation
	settings := s.sim.day.Settings(cold)
	node, err := s.sim.newNode(settings, uint64(s.sim.day.Seed.Split("node", s.index).Split("life", incarnation)))
	if err != nil {
		s.sim.addViolation("node %d: %v", s.index, err)
		return
	}
	params := s.params
	if !cold {
		params.ColdSpeedRatio = 1
	}
	s.node, s.inputs, s.tries, s.runs, s.memoryKB, s.memoryLimitKB = node, nil, map[int]*try{}, map[int]*try{}, 0, settings.Memory
	s.externalRuns = map[int]string{}
	s.up, s.draining, s.stalled, s.noticeAt = true, false, false, math.Inf(1)
	s.pool = workers.New(&s.sim.kernel, params, func(e workers.Event) {
		if s.incarnation == incarnation {
			s.onPoolEvent(e)
		}
	})
	s.pool.SetSlowdown(s.slowdown)
	s.tick.Do = func(float64) { s.step() }
	s.input(core.PoolReady{Cold: cold}, core.LinkSynced{})
	s.sim.ensemble.Join(s.sim.kernel.Now(), s.index)
	s.sim.notifyCallers()
}

// kill ends the node at once. Its callers see their connections reset.
func (s *server) kill(reason string) {
	if !s.up {
		return
	}
	s.up = false
	s.incarnation++
	s.sim.kernel.Cancel(&s.tick)
	s.sim.setDisconnected(s, true)
	if e, ok := s.node.(Terminator); ok {
		e.Terminate(reason != "stopped")
	}
	for _, n := range sortedNumbers(s.tries) {
		t := s.tries[n]
		t.record(reason)
		s.sim.transmit(t, func(float64) { s.sim.receive(t, reply{connReset: true}) })
	}
	for _, t := range s.runs {
		t.running = false
		s.sim.release(t)
	}
	for _, t := range s.tries {
		s.forget(t)
	}
	s.node, s.pool = nil, nil
}

// forget removes a try from the node.
func (s *server) forget(t *try) {
	if s.tries[t.number] != nil {
		delete(s.tries, t.number)
		if t.read {
			s.memoryKB -= t.req.KB
		}
	}
	t.atNode = false
	s.sim.release(t)
}

// drain sends the node a stop notice. A cold node replaces it as soon as it has ended.
func (s *server) drain() {
	if !s.up || s.draining {
		return
	}
	s.draining, s.noticeAt = true, s.sim.kernel.Now()
	incarnation := s.incarnation
	s.input(core.StopNotice{StopAt: s.noticeAt + s.sim.day.StopDelay})
	s.sim.ensemble.Leave(s.noticeAt, s.index)
	s.sim.notifyCallers()
	s.sim.kernel.After(s.sim.day.StopDelay, func(float64) { s.finishDrain(incarnation) })
}

// finishDrain ends a drained node and starts its successor.
func (s *server) finishDrain(incarnation int) {
	if s.incarnation != incarnation {
		return
	}
	for _, n := range sortedNumbers(s.tries) {
		if t := s.tries[n]; t.read && !t.answered && !t.callerGone && !s.stalled {
			s.sim.addViolation("drain: %s was read and is not answered at the stop: %s", t.wireID(), t.historyText())
		}
	}
	s.kill("stopped")
	s.start(true)
}

// input passes inputs to the node.
func (s *server) input(in ...core.Input) {
	s.inputs = append(s.inputs, in...)
	s.step()
}

// step runs the node until it has no more inputs and no more due timers, and sets its next timer.
func (s *server) step() {
	if s.stepping || s.stalled || s.node == nil {
		return
	}
	s.stepping = true
	incarnation, now := s.incarnation, s.sim.kernel.Now()
	for s.incarnation == incarnation {
		in := s.inputs
		s.inputs = nil
		next := s.node.Next()
		if len(in) == 0 && (next == 0 || next > now) {
			break
		}
		drained := false
		for _, o := range s.node.Step(now, in) {
			if s.incarnation != incarnation {
				break
			}
			if _, is := o.(core.DrainFinished); is {
				drained = true
				break
			}
			s.handleOutput(o)
		}
		if drained {
			s.stepping = false
			s.finishDrain(incarnation)
			return
		}
	}
	s.stepping = false
	if s.incarnation == incarnation && s.node != nil {
		if next := s.node.Next(); next > 0 {
			s.sim.kernel.Set(&s.tick, next)
		}
	}
}

// wireID returns the request ID of a try: 16 hexadecimal digits.
func (t *try) wireID() string {
	if t.id == "" {
		hex := strconv.FormatUint(uint64(t.number), 16)
		t.id = "0000000000000000"[len(hex):] + hex
	}
	return t.id
}

// Deliver implements the sink of answers. It does nothing: handleOutput delivers the answers.
func (t *try) Deliver(core.Answer) {}

// onPoolEvent handles an event of the worker pool.
func (s *server) onPoolEvent(e workers.Event) {
	switch e.Kind {
	case workers.Read:
		t := s.tries[e.ID]
		if t == nil {
			return
		}
		t.read, t.readAt = true, s.sim.kernel.Now()
		t.record("read")
		if t.callerGone {
			s.forget(t)
			return
		}
		if !s.allocate(t.req.KB) {
			return
		}
		t.clockSkew = s.clockSkew
		s.input(core.RequestArrived{Request: &core.Request{ID: t.wireID(), Class: t.req.Class, Caller: t.req.Caller, ArrivedAt: t.arrivedAt - t.clockSkew, Due: t.due - t.clockSkew,
			KB: t.req.KB, Rank: t.req.Rank, ReplyTo: t}})
	case workers.Done:
		s.runEnded(e, core.RunOK)
	case workers.Stopped:
		s.runEnded(e, core.RunStopped)
	case workers.Crashed:
		s.crash("fell")
	}
}

// crash ends an overloaded node and restarts it cold after a time.
func (s *server) crash(reason string) {
	s.sim.result.OverloadCrashes++
	s.kill(reason)
	s.sim.kernel.After(crashDowntimeMs, func(float64) { s.start(true) })
}

// allocate adds to the used memory. It crashes the node and returns false if there is not enough.
func (s *server) allocate(kb float64) bool {
	if s.memoryKB += kb; s.memoryKB <= s.memoryLimitKB {
		return true
	}
	s.crash("out of memory")
	return false
}

// runEnded passes the end of a run to the node.
func (s *server) runEnded(e workers.Event, end core.RunEnd) {
	if id, ok := s.externalRuns[e.ID]; ok {
		delete(s.externalRuns, e.ID)
		s.input(core.RunFinished{ID: id, End: end, Latency: e.Took})
		return
	}
	t := s.runs[e.ID]
	delete(s.runs, e.ID)
	s.memoryKB -= t.req.KB * (runMemoryFactor - 1)
	t.running = false
	s.sim.release(t)
	s.input(core.RunFinished{ID: t.wireID(), End: end, Latency: e.Took})
}

// handleOutput carries out an output of the node.
func (s *server) handleOutput(o core.Output) {
	switch o := o.(type) {
	case core.Reply:
		t, ok := o.To.(*try)
		if !ok {
			return
		}
		now := s.sim.kernel.Now()
		if t.answered {
			s.sim.addViolation("twice: %s has two answers: %s", t.wireID(), t.historyText())
			return
		}
		t.answered = true
		t.record([...]string{"served", "refused", "failed", "doubled", "unlike"}[o.Outcome])
		if late := now - max(t.due, t.readAt) - s.sim.day.answerSlack(); late > 0 && (t.readAt > t.due || !s.excusesLate(t)) {
			s.sim.addViolation("lost: %s was due at %.0f and is answered at %.0f: %s", t.wireID(), t.due, now, t.historyText())
		}
		if o.Outcome == core.Refused && t.started {
			s.sim.addViolation("lost: %s is refused though it ran: %s", t.wireID(), t.historyText())
		}
		s.forget(t)
		r := reply{outcome: o.Outcome, credit: o.Credit, retryAfter: o.RetryAfter, notElsewhere: o.NotElsewhere, draining: o.Close && s.draining}
		if s.bogusCredit > 0 {
			if r.credit = s.bogusCredit; o.Outcome == core.Refused {
				r.retryAfter = dayMs
			}
		}
		s.sim.transmit(t, func(float64) { s.sim.receive(t, r) })
	case ConnectionReset:
		t := o.To.(*try)
		t.record("reset: " + o.Reason)
		t.callerGone = true // there is no connection on which to answer
		if s.sim.result.Resets++; len(s.sim.result.ResetReasons) < 10 {
			s.sim.result.ResetReasons = append(s.sim.result.ResetReasons, fmt.Sprintf("%s (draining %v): %s", t.wireID(), s.draining, t.historyText()))
		}
		s.forget(t)
		s.sim.transmit(t, func(float64) { s.sim.receive(t, reply{connReset: true}) })
	case core.Spawn:
		n, _ := strconv.ParseInt(o.ID, 16, 64)
		t := s.sim.liveTries[int(n)]
		switch {
		case t == nil && s.sim.external != nil:
			s.sim.lastExternal--
			s.externalRuns[s.sim.lastExternal] = o.ID
			s.pool.Start(s.sim.lastExternal, s.sim.external(o))
			return
		case t == nil:
			s.sim.addViolation("duplicate: %s is run, and it was over", o.ID)
			return
		case t.started:
			s.sim.addViolation("duplicate: %s runs twice: %s", t.wireID(), t.historyText())
			return
		case t.arrivedAt > s.noticeAt+s.sim.day.DrainGrace+50 && s.stallTo < s.noticeAt:
			s.sim.addViolation("drain: %s came too late to be run: %s", t.wireID(), t.historyText())
		}
		t.started, t.running = true, true
		s.runs[t.number] = t
		t.record("run")
		if t.req.write {
			if t.req.runs++; t.req.runs > 1 {
				s.sim.result.RepeatedWrites++ // two tries of the caller: not a violation
			}
		}
		s.sim.startedWork += t.req.Work.Run
		s.pool.Start(t.number, t.req.Work)
		s.allocate(t.req.KB * (runMemoryFactor - 1))
	case core.Suspend:
		for n, id := range s.externalRuns {
			if id == o.ID {
				s.pool.Stop(n)
				return
			}
		}
		n, _ := strconv.ParseInt(o.ID, 16, 64)
		s.pool.Stop(int(n))
	case core.Poll:
		incarnation := s.incarnation
		s.sim.kernel.After(pollLatencyMs, func(float64) {
			if s.incarnation == incarnation {
				s.input(core.GaugesRead{Gauges: whinrudder.Gauges{CPU: s.pool.Utilization(), Runnable: float64(s.pool.Runnable()), Memory: s.memoryKB / s.memoryLimitKB,
					Conns: float64(len(s.sim.callers))}})
			}
		})
	}
}

// accept handles the arrival of a try at the server.
func (s *server) accept(t *try) {
	if !s.up || len(s.tries) >= maxSockets {
		t.atNode = false
		s.sim.transmit(t, func(float64) { s.sim.receive(t, reply{connectFailed: true}) })
		return
	}
	t.incarnation = s.incarnation // a successor may have started since the try was sent
	if t.callerGone {             // its caller closed it on the way
		t.atNode = false
		s.sim.release(t)
		return
	}
	t.arrivedAt = s.sim.kernel.Now()
	t.record("came")
	if s.blackHole { // the node does not see the request
		t.answered, t.atNode = true, false
		s.sim.transmit(t, func(float64) { s.sim.receive(t, reply{outcome: core.Failed, credit: -1}) })
		return
	}
	s.tries[t.number] = t
	s.pool.Enqueue(t.number, t.req.Work)
}

// tryTimedOut handles, once the slack for an answer is over, that the caller has timed out.
func (s *server) tryTimedOut(t *try) {
	if t.read && !t.answered && s.incarnation == t.incarnation && !s.excusesLate(t) {
		s.sim.addViolation("lost: %s has no answer by its due time: %s", t.wireID(), t.historyText())
	}
	s.callerGone(t)
}

// callerGone tells the node that the caller has closed a try.
func (s *server) callerGone(t *try) {
	t.callerGone = true
	t.record("gone")
	if s.incarnation != t.incarnation || s.tries[t.number] == nil {
		return
	}
	if t.read {
		s.forget(t)
		s.input(core.CallerGone{ID: t.wireID(), ReplyTo: t})
	}
}

// historyText returns the history of a try for messages.
func (t *try) historyText() (text string) {
	for _, m := range t.history {
		text += fmt.Sprintf("%.1f %s; ", m.at, m.what)
	}
	return fmt.Sprintf("node %d life %d, %ssent %.1f, due %.1f", t.server.index, t.incarnation, text, t.sentAt, t.due)
}
