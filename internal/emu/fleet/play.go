package fleet

import (
	"fmt"
	"math"
	"slices"

	"whinrudder/internal/client/attempt"
	"whinrudder/internal/core"
	"whinrudder/internal/emu/callermodel"
	"whinrudder/internal/emu/ensemble"
	"whinrudder/internal/emu/network"
	"whinrudder/internal/emu/workers"
	"whinrudder/internal/emu/workload"
	"whinrudder/internal/vtime"
)

// ask is a request with what became of it.
type ask struct {
	workload.Request
	write    bool
	tries    int
	pending  int // tries that are held back
	runs     int
	tried    []int // nodes, the latest last
	open     []*try
	call     *attempt.Call // of a caller that is built on the client library
	wake     vtime.Timer
	over     bool
	deadline vtime.Timer
	hedge    vtime.Timer
}

// reply is what a caller hears of a try.
type reply struct {
	outcome core.Outcome
	load    float64
	wait    float64
	stay    bool // it asks not to be passed over
	leaves  bool
	lost    bool // the connection was reset
	refused bool // there was no connection
}

// play is a day under way.
type play struct {
	day      Day
	make     NodeFactory
	k        vtime.Kernel
	until    float64
	messages vtime.Seed
	net      network.Network
	list     *ensemble.Model
	lists    vtime.Timer
	listed   []bool // what callers know of the list
	servers  []*server
	callers  []*callermodel.Caller
	libs     []*library // by caller; nil: a plain one
	crowd    *workload.Generator
	all      map[int]*try // that are not over for all sides
	tries    int
	outside  ExternalWork
	others   int // runs from outside, so far

	res     Result
	score   *score
	started float64 // work of all runs
	useful  float64
}

// Driver lets a day go on until a time. Poke lets all nodes tell what they have to tell by themselves.
type Driver func(k *vtime.Kernel, to float64, poke func())

// Simulate plays a day in virtual time.
func Simulate(d Day, make NodeFactory) Result {
	return SimulateWith(d, make, func(k *vtime.Kernel, to float64, _ func()) { k.Run(to) }, nil)
}

// ExternalWork tells the work of a run that none of the day's callers asked for; it is called when the run starts. Nodes that are more
// than their core may have other callers.
type ExternalWork func(run core.Spawn) workers.Work

// SimulateWith plays a day by whatever time Driver goes by.
func SimulateWith(d Day, make_ NodeFactory, drive Driver, outside ExternalWork) Result {
	p := &play{day: d, make: make_, outside: outside, all: map[int]*try{}, messages: d.Seed.Split("network", 0),
		net: network.Network{Delay: d.NetworkDelay, LossRate: d.LossRate}, listed: slices.Repeat([]bool{true}, d.Nodes),
		list: ensemble.New(ensemble.Params{SessionTimeout: d.SessionTimeout, WatchDelay: d.ListLag}, d.Nodes, true)}
	longest := 0.0
	for _, c := range d.Classes {
		longest = max(longest, c.Deadline)
	}
	p.until = d.DurationMs + longest + 1000
	p.lists.Do = func(float64) { p.watch() }
	p.score = newScore(&p.day, &p.res)
	var weights []float64
	for i := range d.Nodes {
		s := &server{p: p, no: i, params: d.machine(i), crawl: 1, stallFrom: math.Inf(1), stallTo: math.Inf(-1)}
		p.servers = append(p.servers, s)
		weights = append(weights, d.weight(i))
		s.start(d.ColdFleet)
	}
	for i, h := range d.Callers {
		p.callers = append(p.callers, callermodel.New(h, weights, heardFor, d.Seed.Split("caller", i)))
		p.libs = append(p.libs, nil)
		if h.UsesLibrary {
			p.libs[i] = newLibrary(p, h, d.Seed.Split("library", i))
		}
	}
	for i, t := range d.Faults {
		p.trouble(i, t)
	}
	p.arrivals()
	p.sample()
	drive(&p.k, p.until, func() {
		for _, s := range p.servers {
			s.step()
		}
	})
	for _, n := range sorted(p.all) {
		if t := p.all[n]; t.read && !t.answered && !t.gone && t.life == t.s.life && !t.s.excused(t) {
			p.broke("lost: %s has no answer: %s", t.name(), t.tale())
		}
	}
	for _, s := range p.servers {
		if e, ok := s.node.(Terminator); ok && s.up {
			e.Terminate(true)
		}
	}
	p.score.end()
	p.res.TimersFired = p.k.Fired()
	if p.started > 0 {
		p.res.WastedWorkRatio = max(0, p.started-p.useful) / p.started
	}
	return p.res
}

// arrivals lets the requests of the clients come, one after the other.
func (p *play) arrivals() {
	p.crowd = workload.New(p.day.Workload(), p.day.Seed)
	var next vtime.Timer
	var q workload.Request
	draw := func() {
		for {
			var ok bool
			if q, ok = p.crowd.Next(); !ok {
				return
			}
			if p.day.OnlyRequests == nil {
				break
			}
			if _, is := slices.BinarySearch(p.day.OnlyRequests, q.Number); is {
				break
			}
		}
		p.k.Set(&next, q.At)
	}
	next.Do = func(float64) {
		now := q
		draw()
		p.begin(now)
	}
	draw()
}

// sample notes what goes on at the end of each bin.
func (p *play) sample() {
	var next vtime.Timer
	i := 0
	next.Do = func(now float64) {
		b := &p.res.Buckets[i]
		for _, s := range p.servers {
			if s.up {
				b.NodesUp, b.Running, b.Unread = b.NodesUp+1, b.Running+s.pool.Running(), b.Unread+s.pool.Unread()
			}
		}
		p.res.PeakTimers = max(p.res.PeakTimers, p.k.Len())
		if i++; i < len(p.res.Buckets) {
			p.k.Set(&next, now+binFor)
		}
	}
	p.k.Set(&next, binFor)
}

// message returns the seed of the next message of a try. It goes by the request, the number of the try and that of the
// message, so that what one policy does shifts nothing for the other requests of a day.
func (t *try) message() vtime.Seed {
	t.messages++
	return t.s.p.messages.Split("", t.q.Number).Split("", t.nth*64+t.messages)
}

// reach lets a message of a try cross the network; what is done then may never be.
func (p *play) reach(t *try, do func(now float64)) bool {
	at := p.net.ArrivalTime(p.k.Now(), t.message(), t.q.Caller, t.s.no)
	if math.IsInf(at, 1) {
		return false
	}
	p.k.After(at-p.k.Now(), do)
	return true
}

func (p *play) broke(format string, args ...any) {
	if len(p.res.Violations) < 20 {
		p.res.Violations = append(p.res.Violations, fmt.Sprintf(format, args...))
	}
}

// begin takes a request of a client.
func (p *play) begin(r workload.Request) {
	q := &ask{Request: r, write: p.day.Classes[r.Class].Write}
	p.score.ask(q)
	q.deadline.Do = func(float64) { p.lose(q) }
	p.k.Set(&q.deadline, q.At+p.day.Classes[q.Class].Deadline)
	if l := p.libs[q.Caller]; l != nil {
		l.begin(q)
		return
	}
	c := p.callers[q.Caller]
	copies := 1
	if !q.write {
		copies = max(1, c.ParallelTries)
	}
	for range copies {
		p.send(q)
	}
	if c.HedgeDelay > 0 && !q.write && !q.over {
		q.hedge.Do = func(float64) {
			if len(q.open) == 1 && q.pending == 0 {
				p.send(q)
			}
		}
		p.k.Set(&q.hedge, q.At+c.HedgeDelay)
	}
}

// finish ends a request: tries that are open are taken back.
func (p *play) finish(q *ask) {
	q.over = true
	p.k.Cancel(&q.wake)
	p.k.Cancel(&q.deadline)
	p.k.Cancel(&q.hedge)
	for _, t := range slices.Clone(q.open) {
		p.close(t)
		p.res.Cancelled++
		if l := p.libs[q.Caller]; l != nil {
			l.withdraw(t)
		}
		if !p.reach(t, func(float64) { t.s.gone(t) }) {
			p.k.After(max(0, t.due-p.k.Now())+p.day.slack(), func(float64) { t.s.gone(t) })
		}
	}
}

// lose ends a request of which nothing came; its client may ask again.
func (p *play) lose(q *ask) {
	if q.over {
		return
	}
	p.finish(q)
	if next, ok := p.crowd.Retry(q.Request, p.k.Now()); ok {
		p.k.After(next.At-p.k.Now(), func(float64) { p.begin(next) })
	}
}

// send makes a try, now or after the pause of its caller; the request is lost if none may be made.
func (p *play) send(q *ask) {
	c := p.callers[q.Caller]
	if q.over {
		return
	}
	coin := func(what string) float64 { return p.messages.Split(what, q.Number).Split("", q.tries).Uniform() }
	if !c.AllowTry(p.k.Now(), q.tries, coin("throttle")) {
		p.none(q)
		return
	}
	if wait := c.RetryDelay(q.tries, coin("pause")); wait > 0 {
		q.pending++
		p.k.After(wait, func(float64) {
			if q.pending--; !q.over {
				p.try(q)
			}
		})
		return
	}
	p.try(q)
}

// none takes it that there is no node for a request.
func (p *play) none(q *ask) {
	if len(q.open) > 0 || q.pending > 0 {
		return
	}
	if q.tries == 0 {
		p.res.Unsent++
	}
	p.lose(q)
}

// try sends a request to a node.
func (p *play) try(q *ask) {
	c, now := p.callers[q.Caller], p.k.Now()
	n := c.Pick(now, p.listed, callermodel.PickParams{Subject: q.Subject, Draw: q.Draw, Tried: q.tried})
	if n < 0 {
		p.none(q)
		return
	}
	deadline := p.day.Classes[q.Class].Deadline
	c.RecordSend(n)
	p.launch(q, n, min(now+deadline*c.TryTimeoutRatio, q.At+deadline))
}

// launch sends a try to a node; its caller waits until it is due.
func (p *play) launch(q *ask, n int, due float64) {
	now, s := p.k.Now(), p.servers[n]
	q.tries++
	q.tried = append(q.tried, n)
	p.res.Tries++
	p.score.bin(now).Tries++
	t := &try{n: p.tries, nth: q.tries, atNode: true, q: q, s: s, life: s.life, sent: now, due: due}
	p.all[t.n] = t
	p.tries++
	q.open = append(q.open, t)
	t.wait.Do = func(float64) { p.giveUp(t) }
	p.k.Set(&t.wait, t.due)
	if !p.reach(t, func(float64) { s.arrive(t) }) {
		t.atNode = false
	}
}

// giveUp ends a try whose caller waits no longer.
func (p *play) giveUp(t *try) {
	if t.closed {
		return
	}
	p.close(t)
	p.k.After(p.day.slack(), func(float64) { t.s.late(t) }) // the node hears of it once the slack is over
	if l := p.libs[t.q.Caller]; l != nil {
		l.ended(t, attempt.Late, reply{load: -1})
		return
	}
	p.after(t, callermodel.TimedOut)
}

// after does what a caller does after a try that brought nothing.
func (p *play) after(t *try, e callermodel.Outcome) {
	if p.callers[t.q.Caller].MayRetry(e, t.q.write) {
		p.send(t.q)
	} else {
		p.none(t.q)
	}
}

func (p *play) close(t *try) {
	t.closed = true
	p.k.Cancel(&t.wait)
	if p.libs[t.q.Caller] == nil {
		p.callers[t.q.Caller].RecordClose(t.s.no)
	}
	t.q.open = slices.DeleteFunc(t.q.open, func(o *try) bool { return o == t })
	p.settle(t)
}

// settle lets go of a try once its caller, the node and the worker pool are done with it.
func (p *play) settle(t *try) {
	if t.closed && !t.atNode && !t.running {
		delete(p.all, t.n)
	}
}

// serve takes a result that came.
func (p *play) serve(q *ask) {
	if !q.over {
		p.useful += q.Work.Run
		p.score.serve(q, p.k.Now())
		p.finish(q)
	}
}

// heard takes what a caller hears of a try.
func (p *play) heard(t *try, r reply) {
	if t.closed {
		return
	}
	p.close(t)
	if l := p.libs[t.q.Caller]; l != nil {
		l.heard(t, r)
		return
	}
	now, c := p.k.Now(), p.callers[t.q.Caller]
	if r.refused || r.lost {
		p.res.Disconnected++
		c.RecordConnectionFailure(now, t.s.no)
		if r.refused {
			p.after(t, callermodel.ConnectFailed)
		} else {
			p.after(t, callermodel.ConnectionReset)
		}
		return
	}
	end := callermodel.Failed
	switch r.outcome {
	case core.Served:
		end = callermodel.Served
	case core.Refused:
		end = callermodel.Refused
	}
	c.RecordAnswer(now, t.s.no, end, now-t.sent, r.load, r.wait)
	switch end {
	case callermodel.Served:
		p.serve(t.q)
		return
	case callermodel.Refused:
		p.res.Refused++
		p.score.bin(now).Refused++
	default:
		p.res.Failed++
	}
	p.after(t, end)
}
