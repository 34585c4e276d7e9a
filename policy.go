// The decision module of whinrudder. Its interface (settings, events, actions) is in api.go.
//
// One mechanism: each server learns a limit on running requests from its own latency against a base, refuses
// arrivals that it cannot answer in time at once, and tells callers a credit derived from the limit.

package whinrudder

import (
	"cmp"
	"math"
	"slices"

	"whinrudder/internal/estimate"
	"whinrudder/internal/queue"
)

// Tunables. Times are relative to aims, ticks and periods; counts are relative to cores and limits.
const (
	leasePeriod  = 500.0 // the limit is renewed this often: several finished requests a core at usual costs
	pollsALease  = 10    // gauges are read this often in a period, to see stalls and idle cores early
	leastGrad    = 0.5   // one period at most halves the limit, as the design's starting value has it
	idleBelow    = 0.9   // cores less busy than this are idle: the limit is never cut then
	idleGrowth   = 1.25  // growth of the limit in a period with idle cores and a full limit
	crowdShare   = 0.6   // part of the crowd that the server survives which is ever put on the cores
	memoryShare  = 0.95  // part of the memory that is ever used: the host may count a little more
	ledRuns      = 10.0  // finished requests that a prior must count for to be believed in whole
	fitPull      = 3.0   // finished requests that the assumption "cost in proportion to the hint" counts for
	baseMemory   = 200.0 // finished requests that a base remembers: it ages, but outlives a crowded spell
	slowSpan     = 3000  // slowness is a ratio of sums over this time: costs are long-tailed
	slowPrior    = 2.0   // requests a core of usual cost that slowness starts with, so that few say little
	paceSpan     = 4000  // the pace is a mean over this time: long enough for the noise of long-tailed costs
	pressSpan    = 2000  // the pressure is a mean over this time: several periods, or bursts would set it off
	slowMost     = 20.0  // slowness is told apart up to this factor
	busyShare    = 0.8   // cores less busy than this have room: the pressure counts disk waits too
	sickPart     = 3.0   // a sick server hears less than its cores over this could do at their base cost
	sickFor      = 12000 // a sick server asks for no traffic for this long: lists follow in seconds
	freeShare    = 0.25  // part of the free room that each caller may use beside its share
	closeShare   = 0.9   // part of the drain's grace for which a leaving server that is needed stays open
	callersMost  = 4096  // callers that are told apart
	callerSpan   = 2000  // a caller heard of within this time takes part in the split of the credit
	closeLeast   = 10.0  // hosts close no connection that was idle for less
	connWorth    = 0.2   // a new connection costs as much as an idle one kept for this part of KeepAlive
	classSpan    = 15000 // shares of classes in the traffic are means over this time
	unreadShare  = 0.5   // part of the shortest aim spent unread at which runs give way to reading
	holdShare    = 0.4   // part of the aim that a request may wait, unread and held, before it starts
	waitsKept    = 16    // waits of the last arrivals of a class that tell which are usual
	waitsAlike   = 0.01  // part of the deadline within which two waits are alike
	waitsUsual   = 2     // alike waits among those kept that make one usual
	likely       = 0.7   // median over mean of costs: they are long-tailed
	aimMargin    = 0.03  // part of the aim kept for the way back to the client
	priorCost    = 6.0   // before anything finished a request is taken to cost its aim over this
	stallTicks   = 3.0   // a timer that is late by more ticks than this tells of a stall of the process
	quotaBurst   = 2.0   // seconds of quota that a tenant may save up
	callBase     = 50.0  // finished calls that the base of call latency remembers
	callPatience = 4.0   // a call is given up after this multiple of its usual time
	callShare    = 0.8   // part of the share of the dependency that is ever used in the mean
	callTries    = 3     // times that a call is made for one request in all
)

type phase uint8

const (
	held    phase = iota // owes an answer, not started
	running              // on the cores (or at the disk)
	waiting              // at a call that was not made yet
	calling              // its call is out
	sharing              // waits for the answer of the request it repeats
	over                 // nothing more will come of it
)

// request is one try.
type request struct {
	Arrival
	phase   phase
	settled bool    // an answer was given, or none is owed any more
	ran     bool    // was started at least once
	stopped bool    // a halt is on its way
	arrived float64 // when it reached the server
	aim     float64 // last time at which its answer earns full worth
	soon    float64 // last time at which its start must be in sight, or it is not held
	due     float64 // last time at which an answer is owed
	cost    float64 // expected core time
	value   float64 // worth per expected core time
	mem     float64 // memory while running
	begun   float64 // clock less stalls at the start of the present stretch on the cores
	service float64 // integral of the share of a core at that time
	used    float64 // core time used in earlier stretches
	lasted  float64 // clock time of earlier stretches
	calls   int     // tries of the present call
	seq     uint64  // place among all that arrived or, once started, that were started
	kb      float64 // memory that it is counted with
	sharers int     // requests that wait for its answer

	timer queue.HeapEntry[*request] // in Policy.due
	entry queue.HeapEntry[*request] // in Policy.keys
	place queue.Item[*request]      // in its line of the hold
}

// alike is what requests of the hold have in common that are expected to cost and earn the same.
type alike struct {
	class, tenant int
	work          float64
}

func (r *request) alike() alike { return alike{r.Class, r.Tenant, r.Work} }

// class is what was learned about one class.
type class struct {
	base  estimate.Regression // core time of a request by its hinted work, slowly aging
	prior estimate.Regression // what others learned of it: n is what it counts for beside the own
	learn float64             // when the own was last added to
	runs  float64             // runs in it
	asked float64             // worth of arrivals lately
	waits [waitsKept]float64  // how long callers of the last arrivals still waited, as a ring
	seen  int                 // arrivals so far
	told  int                 // waits among them that were adopted
}

// at is what a request takes on a warm server. A prior's relation of classes goes by this server's speed.
func (c *class) at(work, speed float64) float64 {
	if c.prior.N <= 0 || speed <= 0 {
		return c.base.Predict(work, fitPull)
	}
	own, others := c.base.N*c.base.Predict(work, fitPull), c.prior.N*speed*c.prior.Predict(work, fitPull)
	return (own + others) / (c.base.N + c.prior.N)
}

// Policy decides for one server. Create it with New.
type Policy struct {
	s                 Settings
	cores             float64
	aimLeast, aimMost float64 // shortest and longest aim of the classes
	now               float64
	started           float64
	inited            bool
	actions           []Action

	reqs  map[RequestID]*request
	seq   uint64
	count [over + 1]int        // requests by phase
	kb    float64              // memory of them all
	due   queue.Heap[*request] // those that are owed an answer, by when guard must look at them
	keys  queue.Heap[*request] // those with a key entry, by its end
	hold  *queue.Grouped[alike, *request]
	queue []*request // waiting

	classes []class
	quota   []float64 // tokens of each tenant
	refresh float64   // when the tokens were last topped up

	limit           float64
	service         float64 // integral of the share of a core that each request on the cores had
	extra           float64 // what wants a core beside the runs, by the gauge
	stalled         float64 // time lost to stalls in all
	spent, done     float64 // core time that runs had lately, and the base cost of those that finished
	slow            float64 // their ratio: how much longer than the base things take now
	busy            float64 // share of the cores busy, lately
	press           float64 // offered work over what the server can do at that cost, lately
	pace            float64 // core time that runs have in a millisecond with the cores full
	renewed, ruled  float64 // renewals of the limit by own figures so far, and when the last was
	own, like, led  float64 // since a prior came: core time of runs, what it said of them; its credit
	period          period
	pollAt, leaseAt float64

	heard   []*caller
	byID    map[int]*caller
	sum, sq float64           // requests of callers heard lately, and sum of the squares by caller
	idle    estimate.IdleCost // cost of closing at each idle time, lately, in time a connection is kept
	trim    float64           // what was told last
	unread  float64           // time that requests waited before they were read, lately
	said    float64

	callLimit, callLat, callMin float64
	lingers                     []float64 // when abandoned calls leave the dependency
	callDebt                    float64   // call time beyond the share, to be made up by none

	sickTo                  float64 // checks fail until then
	closed                  bool    // it leaves and asks for no more traffic
	away                    bool    // operators drain it: checks fail, and all else goes on as always
	sick, leaving           bool
	succeeded               bool // another process of this server takes over what comes
	beside                  Beside
	closeAt, notice, stopAt float64
}

// period is what is summed up from one renewal of the limit to the next.
type period struct {
	base, lat      float64 // base latencies and latencies of the runs that ended
	ran            float64 // core time that runs had
	offered        float64 // work that arrived, at the base cost of a warm server
	busy, polls    float64 // readings of the gauge
	fullest        float64 // most requests on the cores
	callLat, callN float64 // latencies of calls
}

// caller is one whose connection may be open still.
type caller struct {
	id    int
	last  float64 // when it was last heard or answered
	open  int     // its requests in hand
	count float64 // requests lately
}

// New returns the policy of a server that starts now. The seed is for choices by chance; none is made yet.
func New(s Settings, _ uint64) (*Policy, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	p := &Policy{reqs: map[RequestID]*request{}, byID: map[int]*caller{}, said: -1, trim: s.KeepAlive}
	p.hold = queue.NewGrouped((*request).alike, func(r *request) *request { like := *r; return &like })
	p.Reconfigure(s)
	p.limit, p.pace, p.slow, p.callLimit = p.cores, p.cores, 1, max(1, s.CallShare/2)
	return p, nil
}

// Reconfigure takes settings that have passed their check in place of the old ones. Classes keep their places
// and what was learned of them, except those that are fresh; one that is gone keeps it for requests in hand.
func (p *Policy) Reconfigure(s Settings, fresh ...int) {
	p.s, p.cores = s, float64(s.Cores)
	p.aimLeast, p.aimMost = s.Classes[0].Aim, 0
	for _, c := range s.Classes {
		p.aimLeast, p.aimMost = min(p.aimLeast, c.Aim), max(p.aimMost, c.Aim)
	}
	p.classes = append(p.classes, make([]class, max(0, len(s.Classes)-len(p.classes)))...)
	for _, i := range fresh {
		p.classes[i] = class{}
	}
	p.quota = p.quota[:min(len(p.quota), len(s.Tenants))]
	for i := len(p.quota); i < len(s.Tenants); i++ {
		p.quota = append(p.quota, quotaBurst*p.quotaRate(i))
	}
}

// Step takes all events of one instant, in order, and appends the actions that answer them.
func (p *Policy) Step(now float64, events []Event, actions []Action) []Action {
	p.actions = actions
	if !p.inited {
		p.inited = true
		p.now, p.started, p.refresh, p.leaseAt = now, now, now, now+leasePeriod
		p.do(Health{Cached: true, Healthy: true})
		p.poll()
		p.advertise()
	}
	p.advance(now)
	for _, e := range events {
		switch e := e.(type) {
		case Arrival:
			p.arrive(e)
		case Ended:
			p.ended(e)
		case Gone:
			p.gone(p.reqs[e.ID])
		case AtCall:
			if r := p.reqs[e.ID]; r != nil && r.phase == running {
				p.offCore(r, waiting)
			}
		case Called:
			p.called(e)
		case Notice:
			if !p.leaving {
				p.leaving, p.notice, p.stopAt = true, now, e.StopAt
				p.closeAt = now
				if p.succeeded = e.HandedOver; p.succeeded {
					p.closeAt = math.Inf(1)
				} else if p.needed() {
					p.closeAt += min(closeShare*p.s.Rules.DrainGrace, (p.stopAt-now)/2)
					p.do(Wake{At: p.closeAt})
				}
				p.do(Wake{At: p.stopAt - 3*p.s.Tick})
			}
		case Beside:
			p.beside = e
		case Drain:
			p.away = e.On
			p.do(Health{Cached: true, Healthy: !p.sick && !p.away && !p.closed})
		case Timer:
			p.timer(e)
		}
	}
	p.health()
	p.guard()
	p.calls()
	p.admit()
	p.advertise()
	out := p.actions
	p.actions = nil
	return out
}

func (p *Policy) do(a Action) { p.actions = append(p.actions, a) }

// warm is the share of full speed that a server which started cold has at least.
func (p *Policy) warm() float64 {
	if !p.s.Cold || p.s.Rules.RampTime <= 0 {
		return 1
	}
	return min(1, p.s.Rules.ColdFrom+(1-p.s.Rules.ColdFrom)*(p.now-p.started)/p.s.Rules.RampTime)
}

// crowd is the most requests that are ever put on the cores: a ceiling, scaled while cold.
func (p *Policy) crowd() float64 {
	return max(1, crowdShare*(1+(p.s.Rules.FallMultiple-1)*p.warm())*p.cores)
}

// move brings a request to a phase, in which it takes so much memory. It is in the hold no more.
func (p *Policy) move(r *request, to phase, kb float64) {
	p.count[r.phase]--
	p.count[to]++
	p.kb += kb - r.kb
	r.phase, r.kb = to, kb
	if r.place.Remove(); to == waiting {
		p.queue = append(p.queue, r)
	}
}

// live counts those that were started and are not over, here and beside.
func (p *Policy) live() int {
	return p.count[running] + p.count[waiting] + p.count[calling] + p.beside.InProgress
}

func (p *Policy) used() float64 { return p.kb + float64(p.keys.Len())*p.s.EntryKB + p.beside.MemoryKB }

// advance moves the integrals up to now. Disk waits show in the gauge only: extra may be negative.
func (p *Policy) advance(now float64) {
	on := float64(p.count[running])
	p.period.fullest = max(p.period.fullest, on)
	dt := now - p.now
	share := dt * min(1, p.cores/max(1, on+p.extra))
	p.service += share
	p.period.ran += on * share
	p.spent += on * share * p.warm()
	out := float64(len(p.lingers) + p.count[calling])
	p.callDebt = max(0, p.callDebt+(out-callShare*p.s.CallShare)*dt)
	p.now = now
	for len(p.lingers) > 0 && p.lingers[0] <= now {
		p.lingers = p.lingers[1:]
	}
	for r, ok := p.keys.Pop(now); ok; r, ok = p.keys.Pop(now) {
		p.drop(r)
	}
}

// drop forgets a request about which nothing more can come.
func (p *Policy) drop(r *request) {
	if r.phase == over && !r.entry.Queued() {
		delete(p.reqs, r.ID)
	}
}

func (p *Policy) poll() {
	p.pollAt = p.now + leasePeriod/pollsALease
	p.do(Wake{At: p.pollAt, Token: 1})
}

func (p *Policy) timer(e Timer) {
	if e.Token != 1 {
		return
	}
	if late := p.now - p.pollAt; late > stallTicks*p.s.Tick {
		// A stall of the process inflates every latency that spans it; it says nothing about crowding.
		p.stalled += late
		p.service -= late * min(1, p.cores/max(1, float64(p.count[running])+p.extra))
	}
	if g := e.Gauges; g.CPU >= 0 {
		p.period.busy += g.CPU
		p.period.polls++
		p.extra += (g.Runnable - float64(p.count[running]) - p.extra) / pollsALease * 2
	}
	if p.now >= p.leaseAt {
		p.lease()
	}
	p.poll()
}

// lease renews the limit: the rule of the design, once a period.
func (p *Policy) lease() {
	p.leaseAt = p.now + leasePeriod
	busy := 1.0
	if p.period.polls > 0 {
		busy = p.period.busy / p.period.polls
	}
	full := p.period.fullest >= math.Floor(p.limit)
	switch {
	case busy < idleBelow && full:
		p.limit *= idleGrowth
	case busy >= idleBelow && p.period.lat > 0:
		g := min(1, max(leastGrad, p.period.base/p.period.lat))
		next := p.limit*g + math.Sqrt(p.limit)
		if next < p.limit || full {
			p.limit = next
		}
	}
	if full || busy >= idleBelow && p.period.lat > 0 {
		p.renewed, p.ruled = p.renewed+1, p.now
	}
	p.limit = min(max(p.limit, p.cores), p.crowd())
	if busy >= 0.5 {
		p.pace += (min(p.cores, p.period.ran/(leasePeriod*busy)) - p.pace) * leasePeriod / paceSpan
		p.pace = max(p.pace, p.cores/4)
	}
	// Time spent by all runs over the base cost of those that finished: it sees those that don't end, too.
	prior := 0.0
	for _, c := range p.classes {
		fed := c.prior.N * c.prior.N / max(1, c.prior.N+c.base.N)
		prior = max(prior, (slowPrior+fed)*c.at(c.base.X, p.speed()))
	}
	if prior > 0 {
		p.slow = min(max((p.spent+prior)/(p.done+prior), 1.0/slowMost), slowMost)
	}
	fade := math.Exp(-leasePeriod / slowSpan)
	p.spent, p.done = p.spent*fade, p.done*fade
	decay := math.Exp(-leasePeriod / classSpan)
	for i := range p.classes {
		p.classes[i].asked *= decay
	}
	if p.period.callN > 0 {
		g := min(1, max(leastGrad, p.callMin*p.period.callN/p.period.callLat))
		p.callLimit = p.callLimit*g + math.Sqrt(p.callLimit)
	}
	p.callLimit = min(max(1, p.callLimit), max(1, p.s.CallShare))
	p.busy += (busy - p.busy) * leasePeriod / pressSpan
	p.press += (p.period.offered/leasePeriod/p.pace - p.press) * leasePeriod / pressSpan
	p.period = period{}
	p.connections()
}

func (p *Policy) quotaRate(tenant int) float64 {
	return p.s.Tenants[tenant].QuotaPerSecond / max(1, float64(p.s.Servers))
}

// expect sets what a request is expected to cost here and to earn for it.
func (p *Policy) expect(r *request) {
	c := &p.classes[r.Class]
	cost := c.at(r.Work, p.speed()) * p.slow
	if c.base.N < fitPull && (c.base.N == 0 || c.prior.N > 0) {
		// A prior must not keep a class from showing what it takes.
		usual := cmp.Or(r.Work, p.s.Classes[r.Class].Aim/priorCost)
		cost = min(cmp.Or(cost, usual), max(usual, c.base.Predict(r.Work, fitPull)*p.slow))
	}
	r.cost = max(cost/p.warm(), p.s.Tick, 1e-3)
	worth := p.worth(r)
	if r.Tenant < len(p.quota) && p.quota[r.Tenant] < 1 && p.quotaRate(r.Tenant) > 0 {
		worth *= p.s.OverShareWorth
	}
	r.value = worth / r.cost
}

func (p *Policy) worth(r *request) float64 {
	w := p.s.Classes[r.Class].Worth
	if p.s.WorthByWork && r.Work > 0 {
		w *= r.Work
	}
	return w
}

func (p *Policy) arrive(a Arrival) {
	if a.Class < 0 || a.Class >= len(p.s.Classes) || p.reqs[a.ID] != nil {
		return
	}
	sc := p.s.Classes[a.Class]
	if !a.WorkKnown {
		a.Work = 0
	}
	p.seq++
	r := &request{Arrival: a, arrived: p.now - a.ReadDelay, seq: p.seq}
	r.timer.Value, r.entry.Value, r.place.Value = r, r, r
	p.reqs[a.ID] = r
	p.count[held]++
	p.hear(a.Caller)
	p.unread += (a.ReadDelay - p.unread) / p.cores
	r.due = r.arrived + sc.Deadline
	if p.s.PassesDeadline && a.Due > 0 {
		r.due = a.Due
	}
	r.due = max(r.due-2*p.s.Tick, p.now)
	r.aim = min(p.born(r)+min(sc.Aim+sc.AimStretch*a.Work, sc.Deadline)*(1-aimMargin), r.due)
	// Well within the aim: the client's clock may have started with an earlier try, and a line lasts.
	r.soon = p.now + holdShare*sc.Aim
	r.mem = a.MemoryKB * p.s.RunFactor
	p.classes[a.Class].asked += p.worth(r)
	p.period.offered += p.classes[a.Class].at(r.Work, p.speed())
	p.expect(r)
	if r.RepeatOf != "" && sc.Repeat != Unsafe {
		o := p.reqs[r.RepeatOf]
		if !(o != nil && o.phase == over && !o.ran) && p.used()+r.MemoryKB <= memoryShare*p.s.Memory {
			p.move(r, sharing, r.MemoryKB)
			if o != nil {
				o.sharers++
			}
			p.due.Set(&r.timer, r.due)
			p.do(Reuse{r.ID})
			p.do(Wake{At: r.due})
			return
		}
		if sc.Repeat == Keyed && (o == nil || o.ran) {
			p.answer(r, Fail{r.ID})
			return
		}
	}
	if p.leaving && r.arrived > p.notice+p.s.Rules.DrainGrace {
		p.refuse(r)
		return
	}
	need := r.MemoryKB
	if sc.Repeat == Keyed {
		need += p.s.EntryKB
	}
	if p.used()+need > memoryShare*p.s.Memory {
		p.refuse(r)
		return
	}
	// One answer to a read may serve others, if there is room for its entry.
	reads := sc.Repeat == Safe && p.s.Fresh > 0 && r.Key != "" &&
		p.used()+need+p.s.EntryKB <= memoryShare*p.s.Memory
	if sc.Repeat == Keyed || reads {
		p.keep(r)
	}
	p.move(r, held, r.MemoryKB)
	r.place.Key, r.place.Seq, r.place.Attributes = r.aim, r.seq, [3]float64{r.soon, r.aim, r.mem - r.MemoryKB}
	p.hold.Add(&r.place)
	p.due.Set(&r.timer, r.due)
	p.do(Wake{At: r.due})
}

// born is when the client's clock started, as far as it can be told. Callers wait a usual time for a try; one
// that is cut short by the end of the client's patience tells its age. It guards against running what is late
// already, by retries or slow callers; where waits are all different it may take a first try for a late one.
func (p *Policy) born(r *request) float64 {
	if !p.s.PassesDeadline || r.Due <= 0 {
		return r.arrived
	}
	c, deadline := &p.classes[r.Class], p.s.Classes[r.Class].Deadline
	wait, alike := r.Due-r.arrived, 0
	for _, w := range c.waits {
		if math.Abs(w-wait) < waitsAlike*deadline {
			alike++
		}
	}
	c.waits[c.seen%waitsKept] = wait
	c.seen++
	if alike >= waitsUsual || c.seen <= waitsKept {
		return r.arrived
	}
	return min(r.arrived, r.Due-deadline)
}

// keep enters a request into the table at reading: its window opened when it reached the server. A read is
// kept while its answer can come and be fresh.
func (p *Policy) keep(r *request) {
	end := r.arrived + p.s.Classes[r.Class].Window + 2*p.s.Tick
	if p.s.Classes[r.Class].Repeat == Safe {
		end = r.due + p.s.Fresh
	}
	if end <= p.now {
		return
	}
	p.keys.Set(&r.entry, end)
	p.do(Keep{r.ID, end - p.now})
}

func (p *Policy) hear(id int) {
	c := p.byID[id]
	if c == nil && len(p.heard) >= callersMost {
		return // numbers are the callers' own choice: they must not fill the memory
	}
	if c == nil {
		c = &caller{id: id}
		p.byID[id] = c
		p.heard = append(p.heard, c)
	} else if c.open == 0 {
		p.idle.AddReturn(p.now-c.last, p.s.KeepAlive, connWorth)
	}
	p.sum++
	p.sq += 2*c.count + 1
	c.last = p.now
	c.count++
	c.open++
}

// settle notes that nothing is owed for a request any more.
func (p *Policy) settle(r *request) {
	if c := p.byID[r.Caller]; c != nil && !r.settled {
		c.last = p.now
		c.open--
	}
	r.settled = true
	p.due.Remove(&r.timer)
}

// connections closes idle connections where keeping them costs more than opening new ones: many rare callers
// fill a table that takes a part of the cores and denies the rest. With few busy callers it closes none.
// It may hurt where new connections cost much more than assumed.
func (p *Policy) connections() {
	costs := p.idle
	p.sum, p.sq = 0, 0
	p.heard = slices.DeleteFunc(p.heard, func(c *caller) bool {
		c.count *= math.Exp(-leasePeriod / callerSpan)
		if c.open > 0 || p.now-c.last <= callerSpan {
			p.sum += c.count
			p.sq += c.count * c.count
		}
		if c.open > 0 {
			return false
		}
		costs.AddAbsence(p.now-c.last, p.s.KeepAlive)
		old := p.now-c.last > max(callerSpan, p.s.KeepAlive)
		if old {
			p.idle.AddAbsence(p.now-c.last, p.s.KeepAlive)
			delete(p.byID, c.id)
		}
		return old
	})
	p.idle.Decay(math.Exp(-leasePeriod / max(leasePeriod, p.s.KeepAlive)))
	if at := max(closeLeast, costs.BestTimeout(p.s.KeepAlive)); at != p.trim && p.s.KeepAlive > 0 {
		p.trim = at
		p.do(CloseIdle{at})
	}
}

// answer gives the final answer of a request and forgets what can be forgotten.
func (p *Policy) answer(r *request, a Action) {
	if r.settled {
		return
	}
	p.settle(r)
	p.do(a)
	if r.phase == held || r.phase == sharing {
		p.finish(r)
	}
}

// finish forgets what is known of a request, but for its key entry.
func (p *Policy) finish(r *request) {
	if o := p.reqs[r.RepeatOf]; o != nil && r.phase == sharing {
		o.sharers--
	}
	p.move(r, over, 0)
	if !r.ran && r.entry.Queued() {
		p.keys.Remove(&r.entry)
		p.do(Forget{r.ID})
	}
	p.drop(r)
}

// refuse turns away a request of the hold. Nothing there ever ran: what was started does not come back to it.
// The advice is when to come back: a server that leaves or is sick wants nothing for as long as is heeded,
// one that is full says how long its line lasts, the one turned away included. Where the fleet as a whole is
// overloaded, a server that sends callers away only makes the others fuller: it asks not to be passed over.
func (p *Policy) refuse(r *request) {
	leaves := p.leaving && !p.succeeded
	a := Refuse{ID: r.ID, NoRetryElsewhere: p.press > 1 && p.busy >= busyShare && !leaves}
	switch {
	case leaves || p.sick:
		a.RetryAfter = p.s.MaxRetryAfter
	case !a.NoRetryElsewhere:
		line := p.hold.Sum(func(like *request) float64 { return like.cost })
		a.RetryAfter = min(line/p.pace, p.s.MaxRetryAfter)
	}
	p.answer(r, a)
}

// left is the core time that a started request is expected to need still; long ones tend to be longer.
func (p *Policy) left(r *request) float64 {
	used := r.used
	if r.phase == running {
		used += p.service - r.service
	}
	return max(r.cost-used, r.cost/3)
}

func (p *Policy) gone(r *request) {
	if r == nil || r.phase == over {
		return
	}
	p.settle(r)
	switch r.phase {
	case held, sharing:
		p.finish(r)
	case running:
		p.halt(r)
	}
}

// halt stops work that nobody awaits. Keyed work runs on: its repeats live on its answer, as do those of a
// read that others wait for.
func (p *Policy) halt(r *request) {
	if r.phase != running || r.stopped || p.s.Halt == StopNone || p.s.Classes[r.Class].Repeat != Safe ||
		r.sharers > 0 {
		return
	}
	r.stopped = true
	p.do(Stop{r.ID})
}

// offCore books the stretch on the cores that ended.
func (p *Policy) offCore(r *request, to phase) {
	r.used += p.service - r.service
	r.lasted += p.now - p.stalled - r.begun
	p.move(r, to, r.mem)
	r.calls = 0
}

func (p *Policy) onCore(r *request) {
	p.move(r, running, r.mem)
	r.service, r.begun = p.service, p.now-p.stalled
}

func (p *Policy) start(r *request) {
	if r.Tenant < len(p.quota) {
		p.quota[r.Tenant]--
	}
	p.seq++
	r.ran, r.seq = true, p.seq
	if sc := p.s.Classes[r.Class]; sc.LateWorth <= 0 && sc.Repeat == Safe {
		p.due.Set(&r.timer, min(r.due, math.Nextafter(r.aim, math.Inf(1)))) // late answers earn nothing
	}
	p.onCore(r)
	p.do(Run{r.ID})
}

func (p *Policy) ended(e Ended) {
	r := p.reqs[e.ID]
	if r == nil || r.phase == over || r.phase == held {
		return
	}
	if r.phase == running {
		p.offCore(r, running)
	}
	switch {
	case r.phase != sharing && (e.Code == OK || r.stopped):
		p.learn(r, e.Code == OK)
	case e.Code == Moot:
		p.unlearn(r)
	}
	p.settle(r)
	p.finish(r)
}

// unlearn takes back what an arrival told of the traffic: what the host could not start may be nobody's.
func (p *Policy) unlearn(r *request) {
	p.classes[r.Class].asked = max(0, p.classes[r.Class].asked-p.worth(r))
	p.period.offered = max(0, p.period.offered-p.classes[r.Class].at(r.Work, p.speed()))
	if c := p.byID[r.Caller]; c != nil {
		was := c.count
		c.count = max(0, was-1)
		p.sum += c.count - was
		p.sq += c.count*c.count - was*was
	}
}

// learn takes the figures of a run: whole ones give costs, stopped ones tell of crowding alone.
func (p *Policy) learn(r *request, whole bool) {
	c := &p.classes[r.Class]
	base, used := &c.base, r.used*p.warm()
	if c.prior.N > 0 && whole {
		p.own, p.like = p.own+used, p.like+c.prior.Predict(r.Work, fitPull)
	} else if base.N == 0 && whole {
		base.Add(r.Work, used, baseMemory)
	}
	usual := c.at(r.Work, p.speed())
	p.period.base += usual / p.warm()
	p.period.lat += r.lasted
	if whole {
		p.done += usual
		base.Add(r.Work, used, baseMemory)
		c.learn, c.runs = p.now, c.runs+1
	}
}

// Adopt takes what other servers learned in place of what was adopted before; none of it is a measurement.
// Costs count for N own runs and tell the relation of classes; the scale comes from the first own runs. The
// limit is a mean of own renewals and the N of the prior, under the ceiling; the rest serves meanwhile.
func (p *Policy) Adopt(k Knowledge) {
	p.own, p.like, p.led = 0, 0, 0
	for i := range min(len(p.classes), len(k.Classes)) {
		c, l := &p.classes[i], k.Classes[i]
		f := l.Cost
		c.prior = estimate.Regression{N: f.N, X: f.Work, Y: f.Time, XX: f.WorkWork, XY: f.WorkTime}
		p.led = max(p.led, min(1, c.prior.N/ledRuns))
		if c.asked == 0 {
			c.asked = l.Share
		}
		for fresh := c.seen == c.told; fresh && len(l.Waits) > 0 && c.seen < waitsKept; c.told = c.seen {
			c.waits[c.seen] = l.Waits[c.seen%len(l.Waits)]
			c.seen++
		}
	}
	if k.Limit.N > 0 {
		p.limit += (k.Limit.Value*p.cores - p.limit) * k.Limit.N / (k.Limit.N + p.renewed)
		p.limit = min(max(p.limit, p.cores), p.crowd())
	}
	if k.BaseCallLatency.N > 0 && p.callLat == 0 {
		p.callLat, p.callMin = k.BaseCallLatency.Value, k.BaseCallLatency.Value
	}
}

// speed is how much longer the runs here take than the prior says, or 0 before any has ended.
func (p *Policy) speed() float64 { return p.own / max(p.like, 1e-9) }

// turns orders what falls due at once.
var turns = [...]int{sharing: 0, held: 1, running: 2, waiting: 2, calling: 2, over: 3}

// guard answers what falls due and gives up what can earn nothing any more.
func (p *Policy) guard() {
	by, all := p.now, []*request(nil)
	if p.stopping() {
		by = math.Inf(1)
	}
	for r, ok := p.due.Pop(by); ok; r, ok = p.due.Pop(by) {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b *request) int {
		return cmp.Or(turns[a.phase]-turns[b.phase], a.place.Compare(&b.place), cmp.Compare(a.seq, b.seq))
	})
	for _, r := range all {
		if r.phase == held {
			p.refuse(r)
			continue
		}
		p.answer(r, Fail{r.ID})
		p.halt(r)
	}
}

// health fails checks while requests wait unread for longer than any aim: all that is read is too late then.
// It guards against a slow or hanging machine that callers go on choosing. A fleet slow as a whole must
// not fail checks, or its list would empty: its servers still read more than a sick one does.
func (p *Policy) health() {
	if p.leaving {
		if !p.closed && p.now >= p.closeAt {
			p.closed = true
			p.do(Health{Cached: true, Healthy: false})
		}
		return
	}
	if !p.sick && p.unread > p.aimMost && p.press*p.pace < p.cores/sickPart {
		p.sick, p.sickTo = true, p.now+sickFor
		p.do(Health{Cached: true, Healthy: false})
	}
	if p.sick && p.now > p.sickTo {
		p.sick = false
		p.do(Health{Cached: true, Healthy: !p.away})
	}
}

// needed tells whether the other servers would be too full without this one. Callers hear of its successor
// seconds late, so one that leaves stays open for most of its grace then.
func (p *Policy) needed() bool {
	return p.press*float64(p.s.Servers) > busyShare*float64(p.s.Servers-1)
}

func (p *Policy) stopping() bool { return p.leaving && p.now >= p.stopAt-3*p.s.Tick }

// admit starts the best of the hold within the limit and refuses at once what can't be answered in time.
func (p *Policy) admit() {
	for i := range p.quota {
		p.quota[i] = min(p.quota[i]+p.quotaRate(i)*(p.now-p.refresh)/1000, quotaBurst*p.quotaRate(i)+1)
	}
	p.refresh = p.now
	p.hold.Sort(func(like *request) float64 {
		p.expect(like)
		return like.value
	})
	ahead, stretch, slots := 0.0, max(1, p.limit/p.cores), math.Floor(p.slots())
	fits := func(kb float64) bool {
		return float64(p.count[running]+p.beside.InProgress) < slots && float64(p.live()) < p.crowd() &&
			p.used()+kb <= memoryShare*p.s.Memory
	}
	// lasts tells whether the last of n more is started and answered in time.
	lasts := func(n, cost, soon, aim float64) bool {
		start, end := p.now+(ahead+(n-1)*cost)/p.pace, p.now+(ahead+n*cost)/p.pace+cost*stretch
		return start <= soon && end <= aim && !(p.leaving && end > p.stopAt)
	}
	p.hold.Walk(func(like *request, n int, low [3]float64) bool {
		if fits(low[2]) || !lasts(float64(n), like.cost, low[0], low[1]) {
			return false
		}
		ahead += float64(n) * like.cost
		return true
	}, func(r *request) {
		r.cost = r.place.Representative().cost
		on := float64(p.count[running])
		switch can := fits(r.mem - r.MemoryKB); {
		case can && p.now+likely*r.cost*max(1, (on+1+p.extra)/p.cores) <= r.aim:
			p.start(r)
		case !can && lasts(1, r.cost, r.soon, r.aim):
			ahead += r.cost
		default:
			p.refuse(r)
		}
	})
}

// slots is the limit, less when requests wait long to be read: reading shares the cores with the runs, and
// what is read too late can't be served. It is the one case in which fewer run than there are cores.
func (p *Policy) slots() float64 {
	return max(1, p.limit*min(1, 1.25-p.unread/(unreadShare*p.aimLeast)))
}

// calls makes the calls that requests wait for, within the share of the dependency.
func (p *Policy) calls() {
	out := float64(len(p.lingers) + p.count[calling])
	p.queue = slices.DeleteFunc(p.queue, func(r *request) bool { return r.phase != waiting || r.settled })
	slices.SortFunc(p.queue, func(a, b *request) int {
		return cmp.Or(cmp.Compare(a.aim, b.aim), cmp.Compare(a.seq, b.seq))
	})
	p.queue = slices.Compact(p.queue) // one may have come back since the last step
	for _, r := range p.queue {
		sc := p.s.Classes[r.Class]
		usual := p.callLat
		can := p.s.CallShare <= 0 ||
			out < max(1, math.Floor(p.callLimit)) && p.callDebt <= 0
		hopeless := p.now+usual+p.left(r) > r.aim
		switch {
		case r.calls >= callTries || (hopeless && sc.SkipWorth > 0):
			if sc.SkipWorth > 0 {
				p.do(Skip{r.ID})
				p.onCore(r)
			} else if r.calls >= callTries {
				p.answer(r, Fail{r.ID})
			}
		case can:
			p.move(r, calling, r.mem)
			r.calls++
			out++
			limit := r.due - p.now
			if usual > 0 {
				limit = min(limit, max(callPatience*usual, 10*p.s.Tick))
			}
			p.do(Call{r.ID, max(limit, p.s.Tick)})
		}
	}
}

func (p *Policy) called(e Called) {
	r := p.reqs[e.ID]
	if r == nil || r.phase != calling {
		return
	}
	if e.Code == Timeout {
		p.lingers = append(p.lingers, p.now+p.s.CallLinger)
	}
	if e.Code == OK {
		if p.callLat == 0 {
			p.callLat, p.callMin = e.Latency, e.Latency
		}
		p.callLat += (e.Latency - p.callLat) / 10
		p.callMin = min(p.callMin, e.Latency) + (e.Latency-min(p.callMin, e.Latency))/callBase
		p.period.callLat += e.Latency
		p.period.callN++
		p.onCore(r)
		return
	}
	p.move(r, waiting, r.mem)
	proven := e.Code == Rejected || e.Code == ConnectFailed || e.Code == Moot
	if p.s.Classes[r.Class].Repeat != Safe && !proven {
		r.calls = callTries // it may have taken effect: never call again
	}
}

// advertise tells callers the credit: the limit over the callers heard lately, by their traffic.
func (p *Policy) advertise() {
	if p.s.CreditMode == CreditNone {
		return
	}
	v := 0.0
	if !p.closed {
		v = p.credit()
	}
	if math.Abs(v-p.said) > 0.05*max(p.said, 0.5) || (v == 0) != (p.said == 0) {
		p.said = v
		p.do(Advertise{v})
	}
}

// credit is a caller's share of the room and a part of what is free of it: the demands of few callers come
// unevenly, and shares alone would turn away at the callers what idle cores could do. Of a full server only
// the share is left; it falls with the square of what is in hand over the room, so that a line soon goes.
func (p *Policy) credit() float64 {
	callers := max(1, float64(p.s.Callers)/2)
	if p.sq > 0 {
		callers = p.sum * p.sum / p.sq
	}
	room := min(p.limit*max(p.led, p.warm()), p.feasible()) // a prior knows what is feasible
	inHand := float64(p.live() + p.count[held])
	fullness := inHand / max(1, room)
	switch p.s.CreditMode {
	case CreditShare:
		return min(1, 1/max(1, fullness))
	case CreditThreshold:
		return max(0, 1-1/max(1, fullness))
	}
	return min(room, room/callers+freeShare*max(0, room-inHand)) / max(1, fullness*fullness)
}

// feasible is how many requests of usual cost can be in hand and still be answered within half of their aim.
func (p *Policy) feasible() float64 {
	cost, aim, asked := 0.0, 0.0, 0.0
	for i, c := range p.classes {
		if base := c.at(max(c.base.X, c.prior.X), p.speed()); base > 0 {
			cost += c.asked * base * p.slow / p.warm()
			aim += c.asked * p.s.Classes[i].Aim
			asked += c.asked
		}
	}
	if cost <= 0 || asked <= 0 {
		return p.limit
	}
	return max(0.25, (aim/2-asked*p.unread)/cost*p.pace)
}
