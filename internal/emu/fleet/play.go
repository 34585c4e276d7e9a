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

// request is a request of a client with its state at the caller.
type request struct {
	workload.Request
	write     bool
	tryCount  int
	delayed   int   // tries that wait for their retry delay
	runs      int   // of a write, over all tries
	tried     []int // nodes, the latest last
	openTries []*try
	call      *attempt.Call // state of the client library, for callers that use it
	wake      vtime.Timer
	closed    bool // it was served or has failed
	deadline  vtime.Timer
	hedge     vtime.Timer
}

// reply is the result of a try that reaches the caller.
type reply struct {
	outcome       core.Outcome
	credit        float64
	retryAfter    float64
	notElsewhere  bool // the node asks the caller not to try another node
	draining      bool // the node is draining
	connReset     bool // the connection was reset
	connectFailed bool // there was no connection
}

// simulation is the state of a day that is being simulated.
type simulation struct {
	day           Day
	newNode       NodeFactory
	kernel        vtime.Kernel
	until         float64 // end of the simulation
	messageSeed   vtime.Seed
	net           network.Network
	ensemble      *ensemble.Model
	ensembleTimer vtime.Timer
	listed        []bool // the list as callers know it, by node
	servers       []*server
	callers       []*callermodel.Caller
	libraries     []*library // by caller; nil: the caller does not use the client library
	generator     *workload.Generator
	liveTries     map[int]*try // by number, until the caller, the node and the pool are done with them
	tries         int          // number of tries so far
	external      ExternalWork
	lastExternal  int // number of the last external run: they count down from -1

	result      Result
	score       *score
	startedWork float64 // work of all started runs
	usefulWork  float64 // work of runs that served a request
}

// Driver advances a simulation to a time. Calling poke steps all nodes, so that outputs are handled that they have
// produced without an input.
type Driver func(k *vtime.Kernel, to float64, poke func())

// Simulate simulates a day in virtual time.
func Simulate(d Day, newNode NodeFactory) Result {
	return SimulateWith(d, newNode, func(k *vtime.Kernel, to float64, _ func()) { k.Run(to) }, nil)
}

// ExternalWork returns the work of a run that no caller of the day requested. It is called when the run starts. Nodes
// that consist of more than the core may have other callers.
type ExternalWork func(run core.Spawn) workers.Work

// SimulateWith simulates a day whose time is advanced by a Driver. With a nil ExternalWork a run that no caller of the
// day requested is a violation.
func SimulateWith(d Day, newNode NodeFactory, drive Driver, external ExternalWork) Result {
	sim := &simulation{day: d, newNode: newNode, external: external, liveTries: map[int]*try{}, messageSeed: d.Seed.Split("network", 0),
		net: network.Network{Delay: d.NetworkDelay, LossRate: d.LossRate}, listed: slices.Repeat([]bool{true}, d.Nodes),
		ensemble: ensemble.New(ensemble.Params{SessionTimeout: d.SessionTimeout, WatchDelay: d.ListLag}, d.Nodes, true)}
	longest := 0.0
	for _, c := range d.Classes {
		longest = max(longest, c.Deadline)
	}
	sim.until = d.DurationMs + longest + 1000
	sim.ensembleTimer.Do = func(float64) { sim.notifyCallers() }
	sim.score = newScore(&sim.day, &sim.result)
	var weights []float64
	for i := range d.Nodes {
		s := &server{sim: sim, index: i, params: d.poolParams(i), slowdown: 1, stallFrom: math.Inf(1), stallTo: math.Inf(-1)}
		sim.servers = append(sim.servers, s)
		weights = append(weights, d.weight(i))
		s.start(d.ColdFleet)
	}
	for i, h := range d.Callers {
		sim.callers = append(sim.callers, callermodel.New(h, weights, creditLifetimeMs, d.Seed.Split("caller", i)))
		sim.libraries = append(sim.libraries, nil)
		if h.UsesLibrary {
			sim.libraries[i] = newLibrary(sim, h, d.Seed.Split("library", i))
		}
	}
	for i, t := range d.Faults {
		sim.scheduleFault(i, t)
	}
	sim.scheduleArrivals()
	sim.scheduleSamples()
	drive(&sim.kernel, sim.until, func() {
		for _, s := range sim.servers {
			s.step()
		}
	})
	for _, n := range sortedNumbers(sim.liveTries) {
		if t := sim.liveTries[n]; t.read && !t.answered && !t.callerGone && t.incarnation == t.server.incarnation && !t.server.excusesLate(t) {
			sim.addViolation("lost: %s has no answer: %s", t.wireID(), t.historyText())
		}
	}
	for _, s := range sim.servers {
		if e, ok := s.node.(Terminator); ok && s.up {
			e.Terminate(true)
		}
	}
	sim.score.finish()
	sim.result.TimersFired = sim.kernel.Fired()
	if sim.startedWork > 0 {
		sim.result.WastedWorkRatio = max(0, sim.startedWork-sim.usefulWork) / sim.startedWork
	}
	return sim.result
}

// scheduleArrivals schedules the requests of the clients one after the other.
func (sim *simulation) scheduleArrivals() {
	sim.generator = workload.New(sim.day.Workload(), sim.day.Seed)
	var next vtime.Timer
	var req workload.Request
	draw := func() {
		for {
			var ok bool
			if req, ok = sim.generator.Next(); !ok {
				return
			}
			if sim.day.OnlyRequests == nil {
				break
			}
			if _, is := slices.BinarySearch(sim.day.OnlyRequests, req.Number); is {
				break
			}
		}
		sim.kernel.Set(&next, req.At)
	}
	next.Do = func(float64) {
		now := req
		draw()
		sim.begin(now)
	}
	draw()
}

// scheduleSamples records the state of the nodes at the end of each bucket.
func (sim *simulation) scheduleSamples() {
	var next vtime.Timer
	i := 0
	next.Do = func(now float64) {
		b := &sim.result.Buckets[i]
		for _, s := range sim.servers {
			if s.up {
				b.NodesUp, b.Running, b.Unread = b.NodesUp+1, b.Running+s.pool.Running(), b.Unread+s.pool.Unread()
			}
		}
		sim.result.PeakTimers = max(sim.result.PeakTimers, sim.kernel.Len())
		if i++; i < len(sim.result.Buckets) {
			sim.kernel.Set(&next, now+bucketMs)
		}
	}
	sim.kernel.Set(&next, bucketMs)
}

// nextMessageSeed returns the seed of the next message of a try. It depends only on the numbers of the request, the try
// and the message, so that the decisions of a policy do not change the draws for other requests.
func (t *try) nextMessageSeed() vtime.Seed {
	t.messagesSent++
	return t.server.sim.messageSeed.Split("", t.req.Number).Split("", t.nth*64+t.messagesSent)
}

// transmit sends a message of a try over the network and calls onArrival when it arrives. It returns false if the
// message never arrives.
func (sim *simulation) transmit(t *try, onArrival func(now float64)) bool {
	at := sim.net.ArrivalTime(sim.kernel.Now(), t.nextMessageSeed(), t.req.Caller, t.server.index)
	if math.IsInf(at, 1) {
		return false
	}
	sim.kernel.After(at-sim.kernel.Now(), onArrival)
	return true
}

// addViolation records a broken rule. Only the first 20 are kept.
func (sim *simulation) addViolation(format string, args ...any) {
	if len(sim.result.Violations) < 20 {
		sim.result.Violations = append(sim.result.Violations, fmt.Sprintf(format, args...))
	}
}

// begin starts a request of a client.
func (sim *simulation) begin(r workload.Request) {
	req := &request{Request: r, write: sim.day.Classes[r.Class].Write}
	sim.score.addRequest(req)
	req.deadline.Do = func(float64) { sim.fail(req) }
	sim.kernel.Set(&req.deadline, req.At+sim.day.Classes[req.Class].Deadline)
	if l := sim.libraries[req.Caller]; l != nil {
		l.begin(req)
		return
	}
	c := sim.callers[req.Caller]
	copies := 1
	if !req.write {
		copies = max(1, c.ParallelTries)
	}
	for range copies {
		sim.send(req)
	}
	if c.HedgeDelay > 0 && !req.write && !req.closed {
		req.hedge.Do = func(float64) {
			if len(req.openTries) == 1 && req.delayed == 0 {
				sim.send(req)
			}
		}
		sim.kernel.Set(&req.hedge, req.At+c.HedgeDelay)
	}
}

// finish closes a request and cancels its open tries.
func (sim *simulation) finish(req *request) {
	req.closed = true
	sim.kernel.Cancel(&req.wake)
	sim.kernel.Cancel(&req.deadline)
	sim.kernel.Cancel(&req.hedge)
	for _, t := range slices.Clone(req.openTries) {
		sim.closeTry(t)
		sim.result.Cancelled++
		if l := sim.libraries[req.Caller]; l != nil {
			l.withdraw(t)
		}
		if !sim.transmit(t, func(float64) { t.server.callerGone(t) }) {
			sim.kernel.After(max(0, t.due-sim.kernel.Now())+sim.day.answerSlack(), func(float64) { t.server.callerGone(t) })
		}
	}
}

// fail closes a request that was not served. Its client may retry it.
func (sim *simulation) fail(req *request) {
	if req.closed {
		return
	}
	sim.finish(req)
	if next, ok := sim.generator.Retry(req.Request, sim.kernel.Now()); ok {
		sim.kernel.After(next.At-sim.kernel.Now(), func(float64) { sim.begin(next) })
	}
}

// send makes a try now or after the retry delay of the caller. If the caller may not make one, see noTry.
func (sim *simulation) send(req *request) {
	c := sim.callers[req.Caller]
	if req.closed {
		return
	}
	drawCoin := func(what string) float64 {
		return sim.messageSeed.Split(what, req.Number).Split("", req.tryCount).Uniform()
	}
	if !c.AllowTry(sim.kernel.Now(), req.tryCount, drawCoin("throttle")) {
		sim.noTry(req)
		return
	}
	if wait := c.RetryDelay(req.tryCount, drawCoin("pause")); wait > 0 {
		req.delayed++
		sim.kernel.After(wait, func(float64) {
			if req.delayed--; !req.closed {
				sim.sendTry(req)
			}
		})
		return
	}
	sim.sendTry(req)
}

// noTry handles that no further try can be made: the request fails once no other try is open or delayed.
func (sim *simulation) noTry(req *request) {
	if len(req.openTries) > 0 || req.delayed > 0 {
		return
	}
	if req.tryCount == 0 {
		sim.result.Unsent++
	}
	sim.fail(req)
}

// sendTry picks a node and sends it a try.
func (sim *simulation) sendTry(req *request) {
	c, now := sim.callers[req.Caller], sim.kernel.Now()
	n := c.Pick(now, sim.listed, callermodel.PickParams{Subject: req.Subject, Draw: req.Draw, Tried: req.tried})
	if n < 0 {
		sim.noTry(req)
		return
	}
	deadline := sim.day.Classes[req.Class].Deadline
	c.RecordSend(n)
	sim.sendTo(req, n, min(now+deadline*c.TryTimeoutRatio, req.At+deadline))
}

// sendTo sends a try to a node. Its caller waits for it until due.
func (sim *simulation) sendTo(req *request, n int, due float64) {
	now, s := sim.kernel.Now(), sim.servers[n]
	req.tryCount++
	req.tried = append(req.tried, n)
	sim.result.Tries++
	sim.score.bucket(now).Tries++
	t := &try{number: sim.tries, nth: req.tryCount, atNode: true, req: req, server: s, incarnation: s.incarnation, sentAt: now, due: due}
	sim.liveTries[t.number] = t
	sim.tries++
	req.openTries = append(req.openTries, t)
	t.timeout.Do = func(float64) { sim.timeOut(t) }
	sim.kernel.Set(&t.timeout, t.due)
	if !sim.transmit(t, func(float64) { s.accept(t) }) {
		t.atNode = false
	}
}

// timeOut closes a try whose due time has passed.
func (sim *simulation) timeOut(t *try) {
	if t.closed {
		return
	}
	sim.closeTry(t)
	sim.kernel.After(sim.day.answerSlack(), func(float64) { t.server.tryTimedOut(t) }) // the node may still answer within the slack
	if l := sim.libraries[t.req.Caller]; l != nil {
		l.tryEnded(t, attempt.Late, reply{credit: -1})
		return
	}
	sim.afterFailure(t, callermodel.TimedOut)
}

// afterFailure retries a request after a failed try, or handles that it cannot be retried.
func (sim *simulation) afterFailure(t *try, outcome callermodel.Outcome) {
	if sim.callers[t.req.Caller].MayRetry(outcome, t.req.write) {
		sim.send(t.req)
	} else {
		sim.noTry(t.req)
	}
}

// closeTry closes a try at its caller.
func (sim *simulation) closeTry(t *try) {
	t.closed = true
	sim.kernel.Cancel(&t.timeout)
	if sim.libraries[t.req.Caller] == nil {
		sim.callers[t.req.Caller].RecordClose(t.server.index)
	}
	t.req.openTries = slices.DeleteFunc(t.req.openTries, func(o *try) bool { return o == t })
	sim.release(t)
}

// release forgets a try once its caller, the node and the worker pool are done with it.
func (sim *simulation) release(t *try) {
	if t.closed && !t.atNode && !t.running {
		delete(sim.liveTries, t.number)
	}
}

// serve closes a request that was served.
func (sim *simulation) serve(req *request) {
	if !req.closed {
		sim.usefulWork += req.Work.Run
		sim.score.addServed(req, sim.kernel.Now())
		sim.finish(req)
	}
}

// receive handles the reply to a try at its caller.
func (sim *simulation) receive(t *try, r reply) {
	if t.closed {
		return
	}
	sim.closeTry(t)
	if l := sim.libraries[t.req.Caller]; l != nil {
		l.receive(t, r)
		return
	}
	now, c := sim.kernel.Now(), sim.callers[t.req.Caller]
	if r.connectFailed || r.connReset {
		sim.result.Disconnected++
		c.RecordConnectionFailure(now, t.server.index)
		if r.connectFailed {
			sim.afterFailure(t, callermodel.ConnectFailed)
		} else {
			sim.afterFailure(t, callermodel.ConnectionReset)
		}
		return
	}
	outcome := callermodel.Failed
	switch r.outcome {
	case core.Served:
		outcome = callermodel.Served
	case core.Refused:
		outcome = callermodel.Refused
	}
	c.RecordAnswer(now, t.server.index, outcome, now-t.sentAt, r.credit, r.retryAfter)
	switch outcome {
	case callermodel.Served:
		sim.serve(t.req)
		return
	case callermodel.Refused:
		sim.result.Refused++
		sim.score.bucket(now).Refused++
	default:
		sim.result.Failed++
	}
	sim.afterFailure(t, outcome)
}
