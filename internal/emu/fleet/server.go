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

// aDay is absurd advice, in milliseconds.
const aDay = 24 * 3600e3

// fallenFor is how long a node that fell is away, and sockets how many requests a machine has in hand at most.
const (
	fallenFor = 5000
	sockets   = 1024
)

// NodeFactory makes a node of a fleet.
type NodeFactory func(s whinrudder.Settings, seed uint64) (baseline.Node, error)

// NewModuleNode makes nodes with the inherited module.
func NewModuleNode(s whinrudder.Settings, seed uint64) (baseline.Node, error) {
	return core.New(s, seed)
}

// server is a place in the fleet and the node that has it now.
type server struct {
	p      *play
	no     int
	params workers.Params

	up       bool // it takes connections
	draining bool
	notice   float64
	crawl    float64
	clock    float64 // its clock is so far ahead
	hole     bool    // it fails whatever reaches it
	absurd   float64 // the credit that it tells; 0: its own
	life     int
	memory   float64 // kilobytes of what it has in hand and of what runs
	most     float64 // that it may have

	stalled            bool
	stallFrom, stallTo float64

	node     baseline.Node
	pool     *workers.Pool
	in       []core.Input
	stepping bool
	tick     vtime.Timer
	tries    map[int]*try   // in hand, by number
	runs     map[int]*try   // whose runs are not over
	others   map[int]string // runs from outside, by the numbers that they have in the pool
}

// try is one request of a caller to a node.
type try struct {
	n        int
	id       string
	q        *ask
	s        *server
	life     int
	clock    float64 // of the node, when it was read
	sent     float64
	due      float64 // its caller waits until then
	came     float64 // it reached the machine; 0: not yet
	read     bool
	readAt   float64
	answered bool // by the node
	gone     bool // its caller gave up
	ran      bool
	closed   bool // for the caller
	atNode   bool // on its way there, or in hand
	running  bool
	nth      int // try of its request
	messages int // so far
	wait     vtime.Timer
	member   *members.Member // of the client library that sent it
	history  []mark
}

// mark is a step in the life of a try.
type mark struct {
	at   float64
	what string
}

func (t *try) mark(what string) { t.history = append(t.history, mark{t.s.p.k.Now(), what}) }

// Terminator is a node that has to be told of its end: it was killed, or it has left by itself.
type Terminator interface{ Terminate(killed bool) }

// ConnectionReset is what a node that is more than its core tells of a try whose connection broke, and why.
type ConnectionReset struct {
	core.Reply // its sink alone counts
	Reason     string
}

// start brings a node up in its place.
func (s *server) start(cold bool) {
	if s.up {
		return
	}
	s.life++
	life := s.life
	set := s.p.day.Settings(cold)
	node, err := s.p.make(set, uint64(s.p.day.Seed.Split("node", s.no).Split("life", life)))
	if err != nil {
		s.p.broke("node %d: %v", s.no, err)
		return
	}
	params := s.params
	if !cold {
		params.ColdSpeedRatio = 1
	}
	s.node, s.in, s.tries, s.runs, s.memory, s.most = node, nil, map[int]*try{}, map[int]*try{}, 0, set.Memory
	s.others = map[int]string{}
	s.up, s.draining, s.stalled, s.notice = true, false, false, math.Inf(1)
	s.pool = workers.New(&s.p.k, params, func(e workers.Event) {
		if s.life == life {
			s.happened(e)
		}
	})
	s.pool.SetSlowdown(s.crawl)
	s.tick.Do = func(float64) { s.step() }
	s.tell(core.PoolReady{Cold: cold}, core.LinkSynced{})
	s.p.list.Join(s.p.k.Now(), s.no)
	s.p.watch()
}

// die ends a node at once. Its callers see their connections reset.
func (s *server) die(why string) {
	if !s.up {
		return
	}
	s.up = false
	s.life++
	s.p.k.Cancel(&s.tick)
	s.p.silent(s, true)
	if e, ok := s.node.(Terminator); ok {
		e.Terminate(why != "stopped")
	}
	for _, n := range sorted(s.tries) {
		t := s.tries[n]
		t.mark(why)
		s.p.reach(t, func(float64) { s.p.heard(t, reply{lost: true}) })
	}
	for _, t := range s.runs {
		t.running = false
		s.p.settle(t)
	}
	for _, t := range s.tries {
		s.forget(t)
	}
	s.node, s.pool = nil, nil
}

// forget ends what a node has in hand of a try.
func (s *server) forget(t *try) {
	if s.tries[t.n] != nil {
		delete(s.tries, t.n)
		if t.read {
			s.memory -= t.q.KB
		}
	}
	t.atNode = false
	s.p.settle(t)
}

// leave tells a node to drain; it is replaced at once, by a node that starts cold in the same place once it is over.
func (s *server) leave() {
	if !s.up || s.draining {
		return
	}
	s.draining, s.notice = true, s.p.k.Now()
	life := s.life
	s.tell(core.StopNotice{StopAt: s.notice + s.p.day.StopDelay})
	s.p.list.Leave(s.notice, s.no)
	s.p.watch()
	s.p.k.After(s.p.day.StopDelay, func(float64) { s.over(life) })
}

// over ends a node that has drained, and starts its successor.
func (s *server) over(life int) {
	if s.life != life {
		return
	}
	for _, n := range sorted(s.tries) {
		if t := s.tries[n]; t.read && !t.answered && !t.gone && !s.stalled {
			s.p.broke("drain: %s was read and is not answered at the stop: %s", t.name(), t.tale())
		}
	}
	s.die("stopped")
	s.start(true)
}

// tell hands something to the node.
func (s *server) tell(in ...core.Input) {
	s.in = append(s.in, in...)
	s.step()
}

// step lets the node take what there is.
func (s *server) step() {
	if s.stepping || s.stalled || s.node == nil {
		return
	}
	s.stepping = true
	life, now := s.life, s.p.k.Now()
	for s.life == life {
		in := s.in
		s.in = nil
		next := s.node.Next()
		if len(in) == 0 && (next == 0 || next > now) {
			break
		}
		over := false
		for _, o := range s.node.Step(now, in) {
			if s.life != life {
				break
			}
			if _, is := o.(core.DrainFinished); is {
				over = true
				break
			}
			s.carry(o)
		}
		if over {
			s.stepping = false
			s.over(life)
			return
		}
	}
	s.stepping = false
	if s.life == life && s.node != nil {
		if next := s.node.Next(); next > 0 {
			s.p.k.Set(&s.tick, next)
		}
	}
}

// name is the identity of a try on the wire: 16 hexadecimal digits.
func (t *try) name() string {
	if t.id == "" {
		hex := strconv.FormatUint(uint64(t.n), 16)
		t.id = "0000000000000000"[len(hex):] + hex
	}
	return t.id
}

// Deliver is the sink of answers; they are carried where the outputs are.
func (t *try) Deliver(core.Answer) {}

// happened takes what the worker pool tells.
func (s *server) happened(e workers.Event) {
	switch e.Kind {
	case workers.Read:
		t := s.tries[e.ID]
		if t == nil {
			return
		}
		t.read, t.readAt = true, s.p.k.Now()
		t.mark("read")
		if t.gone {
			s.forget(t)
			return
		}
		if !s.take(t.q.KB) {
			return
		}
		t.clock = s.clock
		s.tell(core.RequestArrived{Request: &core.Request{ID: t.name(), Class: t.q.Class, Caller: t.q.Caller, ArrivedAt: t.came - t.clock, Due: t.due - t.clock,
			KB: t.q.KB, Rank: t.q.Rank, ReplyTo: t}})
	case workers.Done:
		s.ended(e, core.RunOK)
	case workers.Stopped:
		s.ended(e, core.RunStopped)
	case workers.Crashed:
		s.fall("fell")
	}
}

// fall ends a node that took on too much; it comes back cold.
func (s *server) fall(why string) {
	s.p.res.OverloadCrashes++
	s.die(why)
	s.p.k.After(fallenFor, func(float64) { s.start(true) })
}

// take adds to the memory that is used, and tells whether there was enough.
func (s *server) take(kb float64) bool {
	if s.memory += kb; s.memory <= s.most {
		return true
	}
	s.fall("out of memory")
	return false
}

func (s *server) ended(e workers.Event, end core.RunEnd) {
	if id, ok := s.others[e.ID]; ok {
		delete(s.others, e.ID)
		s.tell(core.RunFinished{ID: id, End: end, Latency: e.Took})
		return
	}
	t := s.runs[e.ID]
	delete(s.runs, e.ID)
	s.memory -= t.q.KB * (runFactor - 1)
	t.running = false
	s.p.settle(t)
	s.tell(core.RunFinished{ID: t.name(), End: end, Latency: e.Took})
}

// carry does what the node wants.
func (s *server) carry(o core.Output) {
	switch o := o.(type) {
	case core.Reply:
		t, ok := o.To.(*try)
		if !ok {
			return
		}
		now := s.p.k.Now()
		if t.answered {
			s.p.broke("twice: %s has two answers: %s", t.name(), t.tale())
			return
		}
		t.answered = true
		t.mark([...]string{"served", "refused", "failed", "doubled", "unlike"}[o.Outcome])
		if late := now - max(t.due, t.readAt) - s.p.day.slack(); late > 0 && (t.readAt > t.due || !s.excused(t)) {
			s.p.broke("lost: %s was due at %.0f and is answered at %.0f: %s", t.name(), t.due, now, t.tale())
		}
		if o.Outcome == core.Refused && t.ran {
			s.p.broke("lost: %s is refused though it ran: %s", t.name(), t.tale())
		}
		s.forget(t)
		r := reply{outcome: o.Outcome, load: o.Credit, wait: o.RetryAfter, stay: o.NotElsewhere, leaves: o.Close && s.draining}
		if s.absurd > 0 {
			if r.load = s.absurd; o.Outcome == core.Refused {
				r.wait = aDay
			}
		}
		s.p.reach(t, func(float64) { s.p.heard(t, r) })
	case ConnectionReset:
		t := o.To.(*try)
		t.mark("reset: " + o.Reason)
		t.gone = true // nobody is left who could be answered
		if s.p.res.Resets++; len(s.p.res.ResetReasons) < 10 {
			s.p.res.ResetReasons = append(s.p.res.ResetReasons, fmt.Sprintf("%s (draining %v): %s", t.name(), s.draining, t.tale()))
		}
		s.forget(t)
		s.p.reach(t, func(float64) { s.p.heard(t, reply{lost: true}) })
	case core.Spawn:
		n, _ := strconv.ParseInt(o.ID, 16, 64)
		t := s.p.all[int(n)]
		switch {
		case t == nil && s.p.outside != nil:
			s.p.others--
			s.others[s.p.others] = o.ID
			s.pool.Start(s.p.others, s.p.outside(o))
			return
		case t == nil:
			s.p.broke("duplicate: %s is run, and it was over", o.ID)
			return
		case t.ran:
			s.p.broke("duplicate: %s runs twice: %s", t.name(), t.tale())
			return
		case t.came > s.notice+s.p.day.DrainGrace+50 && s.stallTo < s.notice:
			s.p.broke("drain: %s came too late to be run: %s", t.name(), t.tale())
		}
		t.ran, t.running = true, true
		s.runs[t.n] = t
		t.mark("run")
		if t.q.write {
			if t.q.runs++; t.q.runs > 1 {
				s.p.res.RepeatedWrites++ // by two tries: what callers do, not a broken rule
			}
		}
		s.p.started += t.q.Work.Run
		s.pool.Start(t.n, t.q.Work)
		s.take(t.q.KB * (runFactor - 1))
	case core.Suspend:
		for n, id := range s.others {
			if id == o.ID {
				s.pool.Stop(n)
				return
			}
		}
		n, _ := strconv.ParseInt(o.ID, 16, 64)
		s.pool.Stop(int(n))
	case core.Poll:
		life := s.life
		s.p.k.After(gaugeAfter, func(float64) {
			if s.life == life {
				s.tell(core.GaugesRead{Gauges: whinrudder.Gauges{CPU: s.pool.Utilization(), Runnable: float64(s.pool.Runnable()), Memory: s.memory / s.most,
					Conns: float64(len(s.p.callers))}})
			}
		})
	}
}

// arrive brings a try to the machine.
func (s *server) arrive(t *try) {
	if !s.up || len(s.tries) >= sockets {
		t.atNode = false
		s.p.reach(t, func(float64) { s.p.heard(t, reply{refused: true}) })
		return
	}
	t.life = s.life // a successor may have taken the place meanwhile
	if t.gone {     // its caller went while it was on its way
		t.atNode = false
		s.p.settle(t)
		return
	}
	t.came = s.p.k.Now()
	t.mark("came")
	if s.hole { // it never gets to a node that would count it
		t.answered, t.atNode = true, false
		s.p.reach(t, func(float64) { s.p.heard(t, reply{outcome: core.Failed, load: -1}) })
		return
	}
	s.tries[t.n] = t
	s.pool.Enqueue(t.n, t.q.Work)
}

// late tells the node that a caller gave up, after the time that the rules leave for an answer.
func (s *server) late(t *try) {
	if t.read && !t.answered && s.life == t.life && !s.excused(t) {
		s.p.broke("lost: %s has no answer by its due time: %s", t.name(), t.tale())
	}
	s.gone(t)
}

// gone tells the node that a caller has closed.
func (s *server) gone(t *try) {
	t.gone = true
	t.mark("gone")
	if s.life != t.life || s.tries[t.n] == nil {
		return
	}
	if t.read {
		s.forget(t)
		s.tell(core.CallerGone{ID: t.name()})
	}
}

// tale is the whole history of a try.
func (t *try) tale() (text string) {
	for _, m := range t.history {
		text += fmt.Sprintf("%.1f %s; ", m.at, m.what)
	}
	return fmt.Sprintf("node %d life %d, %ssent %.1f, due %.1f", t.s.no, t.life, text, t.sent, t.due)
}
