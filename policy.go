// The decision module of whinrudder. Its interface (settings, events, actions) is in api.go.
//
// Each server learns a concurrency limit by comparing the latency of its runs with their base cost. It
// refuses at once what it cannot answer in time, and tells callers a credit that is derived from the limit.

package whinrudder

import (
	"cmp"
	"math"
	"slices"

	"whinrudder/internal/estimate"
	"whinrudder/internal/queue"
)

// Tunables. Ratios are relative to the quantity that the comment names. A span is the time constant of a
// decaying mean or sum.
const (
	// Interval between renewals of the limit: at usual costs each core finishes several requests in it.
	limitPeriodMs = 500.0
	// Readings of the gauges in each period, so that stalls and idle cores are noticed early.
	pollsPerPeriod = 10
	// One period at most halves the limit.
	minGradient = 0.5
	// Cores that are less busy than this count as idle; the limit is not reduced then.
	idleUtilization = 0.9
	// Growth of the limit in a period in which the limit was reached while cores were idle.
	idleGrowthFactor = 1.25
	// Share of the survivable number of running requests (Rules.FallMultiple) that is used.
	maxRunningRatio = 0.6
	// Share of the memory that is used: the host may account for slightly more than the policy does.
	usableMemoryRatio = 0.95
	// Number of runs behind a prior from which on the prior is trusted fully.
	fullTrustRuns = 10.0
	// Weight, in finished requests, of the assumption that cost is proportional to the work hint.
	proportionalRuns = 3.0
	// Finished requests that a base cost remembers: it ages, but outlives an overloaded spell.
	costMemoryRuns = 200.0
	// Span of the sums whose ratio is the slowdown; costs are long-tailed.
	slowdownSpanMs = 3000
	// Finished requests of usual cost that the slowdown starts with, so that a few runs change it little.
	slowdownPriorRuns = 2.0
	// Span of the mean of the effective cores: long enough to average out the noise of long-tailed costs.
	effectiveCoresSpanMs = 4000
	// Span of the means of load and utilization: several periods, because a burst alone must not raise them.
	loadSpanMs = 2000
	// Upper bound of the slowdown; its inverse is the lower bound.
	maxSlowdown = 20.0
	// Cores that are less busy than this have room, whatever the load: the load includes waits for the disk.
	// It is also the load beyond which the other servers count as overloaded.
	busyUtilization = 0.8
	// A server counts as unhealthy only while the work offered to it is below its cores divided by this.
	unhealthyLoadDivisor = 3.0
	// Time for which an unhealthy server asks for no traffic: the callers' lists follow within seconds.
	unhealthyMs = 12000
	// Share of the free room that each caller may use in addition to its own share of the limit.
	freeRoomRatio = 0.25
	// Share of Rules.DrainGrace for which a server stays open while it shuts down, if the fleet needs it.
	drainOpenRatio = 0.9
	// Number of callers that are tracked one by one.
	maxTrackedCallers = 4096
	// Number of reads whose answers are kept at a time for reads of the same key.
	maxKeptReads = 4096
	// A caller that was heard from within this time takes part in the split of the credit.
	activeCallerMs = 2000
	// Hosts do not close connections that were idle for less than this.
	minIdleTimeoutMs = 10.0
	// Cost of a new connection, as the share of KeepAlive for which keeping an idle one costs the same.
	connectionCostRatio = 0.2
	// Span of the shares that the classes have in the traffic.
	classShareSpanMs = 15000
	// Read delay, as a share of the shortest aim, at which runs leave most of the cores to reading.
	readDelayAimRatio = 0.5
	// Share of the aim, counted from when a request was read, within which it must be expected to start.
	maxHoldAimRatio = 0.4
	// Number of recent arrivals of a class whose waits are kept to find the usual waits.
	waitWindow = 16
	// Two waits count as equal if they differ by less than this share of the deadline.
	equalWaitRatio = 0.01
	// A wait is usual if at least this many of the kept waits equal it.
	usualWaitCount = 2
	// Median of the costs over their mean: costs are long-tailed.
	medianCostRatio = 0.7
	// Share of the aim that is reserved for the way of the answer back to the client.
	returnMarginRatio = 0.03
	// Before any request has finished, a request is expected to cost its aim divided by this.
	defaultCostDivisor = 6.0
	// A timer that is late by more ticks than this indicates a stall of the process.
	stallTicks = 3.0
	// Seconds of quota that a tenant can accumulate.
	quotaBurstSeconds = 2.0
	// Finished calls that the base latency of calls remembers.
	baseCallMemory = 50.0
	// A call times out after this multiple of its usual latency.
	callTimeoutFactor = 4.0
	// Share of CallShare that is used in the mean.
	usableCallRatio = 0.8
	// Attempts at a call for one request, including the first.
	maxCallTries = 3
)

// phase is a stage in the life of a request.
type phase uint8

const (
	held         phase = iota // not started yet; an answer is due
	running                   // on the cores or waiting for the disk
	uncertain                 // started, but it is unknown whether it is in progress
	awaitingCall              // stopped at a call to the dependency that was not made yet
	calling                   // the call was made and has not ended
	reusing                   // waits for the answer of the request that it repeats
	finished                  // nothing more happens to it
)

// request is one try of a request.
type request struct {
	Arrival
	phase          phase
	settled        bool    // an answer was given, or none is due any more
	ran            bool    // it was started at least once
	stopSent       bool    // a Stop was emitted for it
	arrived        float64 // time at which it reached the server
	aimAt          float64 // last time at which its answer earns the full worth
	latestStart    float64 // it stays in the hold only if it is expected to start by this time
	due            float64 // last time at which it must be answered
	cost           float64 // expected core time
	value          float64 // worth per expected core time
	runningKB      float64 // memory that it takes once started
	stretchStart   float64 // start of its present stretch on the cores, on the clock less all stalls
	serviceAtStart float64 // Policy.serviceTime at that moment
	coreTime       float64 // core time that it had in earlier stretches
	elapsed        float64 // duration of the earlier stretches, without stalls
	callTries      int     // attempts at the present call
	seq            uint64  // order of arrival or, once started, of its start
	countedKB      float64 // memory that it is counted with in Policy.memoryKB
	reusers        int     // requests that wait for its answer

	dueEntry queue.HeapEntry[*request] // in Policy.dueHeap
	keyEntry queue.HeapEntry[*request] // in Policy.keyHeap
	holdItem queue.Item[*request]      // in Policy.hold
}

// groupKey holds what determines the expected cost and worth of a request: held requests with the same key
// are equal in both.
type groupKey struct {
	class, tenant int
	work          float64
}

func (r *request) groupKey() groupKey { return groupKey{r.Class, r.Tenant, r.Work} }

// classStats is what the policy has learned about one class.
type classStats struct {
	cost         estimate.Regression // core time by hinted work, from this server's runs; slowly aging
	priorCost    estimate.Regression // the same as adopted from other servers; N is its weight
	learnedAt    float64             // time of the last run that entered cost
	runs         float64             // number of runs that entered cost
	demand       float64             // decaying sum of the worth of its arrivals
	waits        [waitWindow]float64 // ring buffer: how long the callers of recent arrivals still waited
	waitsSeen    int                 // number of waits that were ever written to the ring
	waitsAdopted int                 // number of those that were adopted from other servers
}

// Policy decides for one server. Create it with New.
type Policy struct {
	cfg            Settings
	cores          float64
	minAim, maxAim float64 // shortest and longest aim of the classes
	maxDeadline    float64 // longest deadline of the classes
	now            float64
	started        float64 // time of the first step
	initialized    bool
	actions        []Action // actions of the present step

	requests        map[RequestID]*request
	seq             uint64               // last sequence number given to a request
	phaseCount      [finished + 1]int    // number of requests in each phase
	memoryKB        float64              // memory of all requests
	dueHeap         queue.Heap[*request] // unanswered requests, by the time at which answerDue looks at them
	keyHeap         queue.Heap[*request] // requests with an entry in the key table, by the end of the entry
	hold            *queue.Grouped[groupKey, *request]
	callQueue       []*request // requests that wait for their call to be made
	classes         []classStats
	quotaTokens     []float64 // tokens left for each tenant
	quotaRefilledAt float64

	limit          float64 // concurrency limit
	serviceTime    float64 // integral of the share of a core that each running request had
	otherRunnable  float64 // what wants a core besides the runs; negative if runs wait for the disk
	stalledMs      float64 // total time lost to stalls of the process
	recentCoreTime float64 // decaying sum of the core time of all runs
	recentBaseTime float64 // decaying sum of the base cost of the runs that finished
	slowdown       float64 // ratio of the two sums: by how much runs take longer than their base cost
	utilization    float64 // decaying mean share of the cores that was busy
	offeredLoad    float64 // decaying mean of the offered work over what the server can do
	effectiveCores float64 // core time per millisecond that runs get while the cores are full
	renewals       float64 // number of renewals of the limit from own measurements
	renewedAt      float64 // time of the last of them
	ownCoreTime    float64 // core time of finished runs since a prior was adopted
	priorCoreTime  float64 // core time that the prior predicted for those runs
	priorTrust     float64 // trust in the prior, from 0 to 1
	period         period
	observed       observation
	pollAt         float64 // time of the next reading of the gauges
	renewAt        float64 // time of the next renewal of the limit

	callers        []*caller // callers whose connection may still be open
	callersByID    map[int]*caller
	callerRequests float64           // sum of recentRequests over the active callers
	callerSquares  float64           // sum of the squares of recentRequests
	idleCost       estimate.IdleCost // recent cost of each idle timeout, as time that connections are kept
	idleTimeout    float64           // idle timeout that the host was told last
	readDelay      float64           // moving mean of the time that requests waited before they were read
	advertised     float64           // credit that was advertised last; -1 before the first

	callLimit       float64   // concurrency limit of calls to the dependency
	callLatency     float64   // moving mean of the latency of calls
	baseCallLatency float64   // lowest latency of calls, slowly aging
	lingerEnds      []float64 // times at which abandoned calls leave the dependency
	callDebt        float64   // call time beyond the usable share; no call is made while it is positive

	unhealthyUntil float64 // health checks fail until this time while unhealthy is set
	withdrawn      bool    // the server shuts down and asks for no more traffic
	drained        bool    // drained by an operator: only health checks change
	unhealthy      bool    // health checks fail because requests wait too long before they are read
	shuttingDown   bool    // a Notice has arrived
	handedOver     bool    // another process of this server takes over the traffic
	otherProcess   Beside  // load of that process
	withdrawAt     float64 // time at which withdrawn becomes set after a Notice
	noticeAt       float64 // time of the Notice
	stopAt         float64 // time at which the server is stopped
}

// period holds what is accumulated between two renewals of the limit.
type period struct {
	baseLatency    float64 // sum of the base latencies of the runs that ended
	latency        float64 // sum of their latencies
	coreTime       float64 // core time that runs had
	offeredWork    float64 // work that arrived, at the base cost of a warm server
	utilizationSum float64 // sum of the gauge readings
	polls          float64 // number of gauge readings
	maxRunning     float64 // highest number of running requests
	callLatency    float64 // sum of the latencies of calls
	calls          float64 // number of those calls
}

// caller is a caller whose connection may still be open.
type caller struct {
	id             int
	lastSeen       float64 // time of its last request, or of the last answer to it
	outstanding    int     // its requests without an answer
	recentRequests float64 // decaying number of its requests
}

// New returns the policy of a server that starts now. The second argument is a seed for random choices; the
// policy makes none so far.
func New(s Settings, _ uint64) (*Policy, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	p := &Policy{requests: map[RequestID]*request{}, callersByID: map[int]*caller{}, advertised: -1,
		idleTimeout: s.KeepAlive}
	p.hold = queue.NewGrouped((*request).groupKey, func(r *request) *request { clone := *r; return &clone })
	p.Reconfigure(s)
	p.limit, p.effectiveCores, p.slowdown, p.callLimit = p.cores, p.cores, 1, max(1, s.CallShare/2)
	return p, nil
}

// Reconfigure replaces the settings by s, which must have passed Check. A class is identified by its index
// and keeps what was learned about it, unless its index is in fresh. The statistics of a class that s no
// longer has are kept for its unfinished requests.
func (p *Policy) Reconfigure(s Settings, fresh ...int) {
	p.cfg, p.cores = s, float64(s.Cores)
	p.minAim, p.maxAim, p.maxDeadline = s.Classes[0].Aim, 0, 0
	for _, c := range s.Classes {
		p.minAim, p.maxAim = min(p.minAim, c.Aim), max(p.maxAim, c.Aim)
		p.maxDeadline = max(p.maxDeadline, c.Deadline)
	}
	p.classes = append(p.classes, make([]classStats, max(0, len(s.Classes)-len(p.classes)))...)
	for _, i := range fresh {
		p.classes[i] = classStats{}
	}
	p.limitKeptReads(fresh)
	p.quotaTokens = p.quotaTokens[:min(len(p.quotaTokens), len(s.Tenants))]
	for i := len(p.quotaTokens); i < len(s.Tenants); i++ {
		p.quotaTokens = append(p.quotaTokens, quotaBurstSeconds*p.quotaRate(i))
	}
}

// Step processes all events of one instant, in order, and returns actions with the resulting actions
// appended.
func (p *Policy) Step(now float64, events []Event, actions []Action) []Action {
	p.actions = actions
	if !p.initialized {
		p.initialized = true
		p.now, p.started, p.quotaRefilledAt, p.renewAt = now, now, now, now+limitPeriodMs
		p.emit(Health{Cached: true, Healthy: true})
		p.schedulePoll()
		p.advertise()
	}
	p.advance(now)
	for _, e := range events {
		switch e := e.(type) {
		case Arrival:
			p.onArrival(e)
		case Ended:
			p.onEnded(e)
		case Uncertain:
			p.onUncertain(p.requests[e.ID])
		case Gone:
			p.onGone(p.requests[e.ID])
		case AtCall:
			if r := p.requests[e.ID]; r != nil && r.phase == running {
				p.leaveCores(r, awaitingCall)
			}
		case Called:
			p.onCalled(e)
		case Notice:
			if !p.shuttingDown {
				p.shuttingDown, p.noticeAt, p.stopAt = true, cmp.Or(e.At, now), e.StopAt
				p.withdrawAt = now
				if p.handedOver = e.HandedOver; p.handedOver {
					p.withdrawAt = math.Inf(1)
				} else if p.neededByFleet() {
					p.withdrawAt += min(drainOpenRatio*p.cfg.Rules.DrainGrace, (p.stopAt-now)/2)
					p.emit(Wake{At: p.withdrawAt})
				}
				p.emit(Wake{At: p.stopAt - 3*p.cfg.Tick})
			}
		case Beside:
			p.observed.addUnexplained(p.otherProcess.InProgress - e.InProgress)
			p.otherProcess = e
		case Drain:
			p.drained = e.On
			p.emit(Health{Cached: true, Healthy: !p.unhealthy && !p.drained && !p.withdrawn})
		case Timer:
			p.onTimer(e)
		case Observed:
			p.observe(e)
		}
	}
	p.updateHealth()
	p.answerDue()
	p.makeCalls()
	p.admit()
	p.advertise()
	out := p.actions
	p.actions = nil
	return out
}

func (p *Policy) emit(action Action) { p.actions = append(p.actions, action) }

// warmupRatio returns the least share of full speed that this server has: below 1 after a cold start.
func (p *Policy) warmupRatio() float64 {
	if !p.cfg.Cold || p.cfg.Rules.RampTime <= 0 {
		return 1
	}
	return min(1, p.cfg.Rules.ColdFrom+(1-p.cfg.Rules.ColdFrom)*(p.now-p.started)/p.cfg.Rules.RampTime)
}

// survivableRuns returns the number of running requests that the server survives. It is lower while cold.
func (p *Policy) survivableRuns() float64 {
	return (1 + (p.cfg.Rules.FallMultiple-1)*p.warmupRatio()) * p.cores
}

// maxRunning returns the ceiling on requests that are in progress.
func (p *Policy) maxRunning() float64 { return max(1, maxRunningRatio*p.survivableRuns()) }

// setPhase moves a request to another phase, in which it takes kb of memory, and removes it from the hold.
func (p *Policy) setPhase(r *request, to phase, kb float64) {
	p.phaseCount[r.phase]--
	p.phaseCount[to]++
	p.memoryKB += kb - r.countedKB
	r.phase, r.countedKB = to, kb
	if r.holdItem.Remove(); to == awaitingCall {
		p.callQueue = append(p.callQueue, r)
	}
}

// startedCount returns the number of requests that were started and are not known to have ended, in this
// process and in the other one.
func (p *Policy) startedCount() int {
	return p.phaseCount[running] + p.phaseCount[uncertain] + p.phaseCount[awaitingCall] +
		p.phaseCount[calling] + p.otherProcess.InProgress
}

// usedMemory returns the memory of all requests and key entries, and that of the other process.
func (p *Policy) usedMemory() float64 {
	return p.memoryKB + float64(p.keyHeap.Len())*p.cfg.EntryKB + p.otherProcess.MemoryKB
}

// advance moves the clock and all integrals over time to now. Runs that wait for the disk are counted as
// running but do not show in the gauge of runnable work, so otherRunnable may be negative.
func (p *Policy) advance(now float64) {
	runs := float64(p.phaseCount[running])
	p.period.maxRunning = max(p.period.maxRunning, runs)
	dt := now - p.now
	coreTime := dt * min(1, p.cores/max(1, runs+p.otherRunnable))
	p.serviceTime += coreTime
	p.period.coreTime += runs * coreTime
	p.recentCoreTime += runs * coreTime * p.warmupRatio()
	outstandingCalls := float64(len(p.lingerEnds) + p.phaseCount[calling])
	p.callDebt = max(0, p.callDebt+(outstandingCalls-usableCallRatio*p.cfg.CallShare)*dt)
	p.now = now
	for len(p.lingerEnds) > 0 && p.lingerEnds[0] <= now {
		p.lingerEnds = p.lingerEnds[1:]
	}
	for r, ok := p.keyHeap.Pop(now); ok; r, ok = p.keyHeap.Pop(now) {
		p.forgetIfDone(r)
	}
}

// forgetIfDone deletes a request that is finished and has no entry in the key table.
func (p *Policy) forgetIfDone(r *request) {
	if r.phase == finished && !r.keyEntry.Queued() {
		delete(p.requests, r.ID)
	}
}

// quotaRate returns this server's part of a tenant's quota, in requests per second.
func (p *Policy) quotaRate(tenant int) float64 {
	return p.cfg.Tenants[tenant].QuotaPerSecond / max(1, float64(p.cfg.Servers))
}

// estimateRequest sets the expected cost of a request on this server and its value, the worth per cost.
func (p *Policy) estimateRequest(r *request) {
	stats := &p.classes[r.Class]
	cost := stats.predictCost(r.Work, p.priorScale()) * p.slowdown
	if stats.cost.N < proportionalRuns && (stats.cost.N == 0 || stats.priorCost.N > 0) {
		// A prior that overestimates a class must not keep it from running, or its cost is never measured.
		fallback := cmp.Or(r.Work, p.cfg.Classes[r.Class].Aim/defaultCostDivisor)
		cost = min(cmp.Or(cost, fallback),
			max(fallback, stats.cost.Predict(r.Work, proportionalRuns)*p.slowdown))
	}
	r.cost = max(cost/p.warmupRatio(), p.cfg.Tick, 1e-3)
	worth := p.worth(r)
	if r.Tenant < len(p.quotaTokens) && p.quotaTokens[r.Tenant] < 1 && p.quotaRate(r.Tenant) > 0 {
		worth *= p.cfg.OverShareWorth
	}
	r.value = worth / r.cost
}

// worth returns what a timely answer to the request earns.
func (p *Policy) worth(r *request) float64 {
	w := p.cfg.Classes[r.Class].Worth
	if p.cfg.WorthByWork && r.Work > 0 {
		w *= r.Work
	}
	return w
}

// onArrival answers the request from the one that it repeats, refuses it, or puts it into the hold.
func (p *Policy) onArrival(a Arrival) {
	if a.Class < 0 || a.Class >= len(p.cfg.Classes) || p.requests[a.ID] != nil {
		return
	}
	class := p.cfg.Classes[a.Class]
	if !a.WorkKnown {
		a.Work = 0
	}
	p.seq++
	r := &request{Arrival: a, arrived: p.now - a.ReadDelay, seq: p.seq}
	r.dueEntry.Value, r.keyEntry.Value, r.holdItem.Value = r, r, r
	p.requests[a.ID] = r
	p.phaseCount[held]++
	p.recordCaller(a.Caller)
	p.readDelay += (a.ReadDelay - p.readDelay) / p.cores
	r.due = r.arrived + class.Deadline
	if p.cfg.PassesDeadline && a.Due > 0 {
		r.due = a.Due
	}
	r.due = max(r.due-2*p.cfg.Tick, p.now)
	r.aimAt = min(p.clientStart(r)+
		min(class.Aim+class.AimStretch*a.Work, class.Deadline)*(1-returnMarginRatio), r.due)
	// The start must be well within the aim: the client's clock may have started with an earlier try, and a
	// queue that has built up lasts.
	r.latestStart = p.now + maxHoldAimRatio*class.Aim
	r.runningKB = a.MemoryKB * p.cfg.RunFactor
	p.classes[a.Class].demand += p.worth(r)
	p.period.offeredWork += p.classes[a.Class].predictCost(r.Work, p.priorScale())
	p.estimateRequest(r)
	if r.RepeatOf != "" && class.Repeat != Unsafe {
		original := p.requests[r.RepeatOf]
		if !(original != nil && original.phase == finished && !original.ran) &&
			p.usedMemory()+r.MemoryKB <= usableMemoryRatio*p.cfg.Memory {
			p.setPhase(r, reusing, r.MemoryKB)
			if original != nil {
				original.reusers++
			}
			p.dueHeap.Set(&r.dueEntry, r.due)
			p.emit(Reuse{r.ID})
			p.emit(Wake{At: r.due})
			return
		}
		if class.Repeat == Keyed && (original == nil || original.ran) {
			p.answer(r, Fail{r.ID})
			return
		}
	}
	if p.shuttingDown && r.arrived > p.noticeAt+p.cfg.Rules.DrainGrace {
		p.refuse(r, RefusedDraining)
		return
	}
	neededKB := r.MemoryKB
	if class.Repeat == Keyed {
		neededKB += p.cfg.EntryKB
	}
	if p.memoryInUse()+neededKB > usableMemoryRatio*p.cfg.Memory {
		p.refuse(r, RefusedNoMemory)
		return
	}
	// The answer to a read can serve other reads of the same key if there is memory for its entry.
	keepRead := class.Repeat == Safe && p.cfg.Fresh > 0 && r.Key != "" && p.keyHeap.Len() < maxKeptReads &&
		p.usedMemory()+neededKB+p.cfg.EntryKB <= usableMemoryRatio*p.cfg.Memory
	if class.Repeat == Keyed || keepRead {
		p.keepKey(r)
	}
	p.setPhase(r, held, r.MemoryKB)
	r.holdItem.Key, r.holdItem.Seq, r.holdItem.Attributes = r.aimAt, r.seq,
		[3]float64{r.latestStart, r.aimAt, r.runningKB - r.MemoryKB}
	p.hold.Add(&r.holdItem)
	p.dueHeap.Set(&r.dueEntry, r.due)
	p.emit(Wake{At: r.due})
}

// clientStart estimates when the client's own clock started. Callers wait the same usual time for each try; a
// try with an unusual, shorter wait is cut short by the client's deadline, so the client started one deadline
// before it. This guards against running requests that are already too late because of retries or slow
// callers. Where all waits differ, a first try can be mistaken for a late one.
func (p *Policy) clientStart(r *request) float64 {
	if !p.cfg.PassesDeadline || r.Due <= 0 {
		return r.arrived
	}
	stats, deadline := &p.classes[r.Class], p.cfg.Classes[r.Class].Deadline
	wait, equal := r.Due-r.arrived, 0
	for _, w := range stats.waits {
		if math.Abs(w-wait) < equalWaitRatio*deadline {
			equal++
		}
	}
	stats.waits[stats.waitsSeen%waitWindow] = wait
	stats.waitsSeen++
	if equal >= usualWaitCount || stats.waitsSeen <= waitWindow {
		return r.arrived
	}
	return min(r.arrived, r.Due-deadline)
}

// keepKey enters a request into the key table. The window is counted from the time at which the request
// reached the server. A read is kept for as long as its answer can still come and be fresh.
func (p *Policy) keepKey(r *request) {
	end := r.arrived + p.cfg.Classes[r.Class].Window + 2*p.cfg.Tick
	if p.cfg.Classes[r.Class].Repeat == Safe {
		end = r.due + p.cfg.Fresh
	}
	if end <= p.now {
		return
	}
	p.keyHeap.Set(&r.keyEntry, end)
	p.emit(Keep{r.ID, end - p.now})
}

// limitKeptReads applies new settings to the reads in the key table: a shorter freshness holds for them as
// well, and those of the given classes are no longer kept.
func (p *Policy) limitKeptReads(dropped []int) {
	for _, r := range p.requests {
		if !r.keyEntry.Queued() || p.cfg.Classes[r.Class].Repeat != Safe {
			continue
		}
		end := r.due + p.cfg.Fresh
		if slices.Contains(dropped, r.Class) {
			end = p.now
		}
		if end < r.keyEntry.Time() {
			p.keyHeap.Set(&r.keyEntry, end)
		}
	}
}

// answer emits the final answer of a request, unless it is settled, and finishes it if nothing of it is in
// progress.
func (p *Policy) answer(r *request, action Action) {
	if r.settled {
		return
	}
	p.settle(r)
	p.emit(action)
	if r.phase == held || r.phase == reusing {
		p.finish(r)
	}
}

// finish ends a request. Its key entry stays if it ran.
func (p *Policy) finish(r *request) {
	if original := p.requests[r.RepeatOf]; original != nil && r.phase == reusing {
		original.reusers--
	}
	p.setPhase(r, finished, 0)
	if !r.ran && r.keyEntry.Queued() {
		p.keyHeap.Remove(&r.keyEntry)
		p.emit(Forget{r.ID})
	}
	p.forgetIfDone(r)
}

// refuse rejects a request that never ran; a started request does not return to the hold. RetryAfter is the
// longest advice that callers heed if the server shuts down or is unhealthy, and otherwise the expected time
// to drain the hold, including the refused request. If this server is overloaded the whole fleet is taken to
// be: sending callers to other servers only makes those fuller, so the caller is asked not to retry
// elsewhere.
func (p *Policy) refuse(r *request, reason RefusalReason) {
	leaving := p.shuttingDown && !p.handedOver
	refusal := Refuse{ID: r.ID, Reason: reason,
		NoRetryElsewhere: p.offeredLoad > 1 && p.utilization >= busyUtilization && !leaving}
	switch {
	case leaving || p.unhealthy:
		refusal.RetryAfter = p.cfg.MaxRetryAfter
	case !refusal.NoRetryElsewhere:
		holdCost := p.hold.Sum(func(representative *request) float64 { return representative.cost })
		refusal.RetryAfter = min(holdCost/p.effectiveCores, p.cfg.MaxRetryAfter)
	}
	p.answer(r, refusal)
}

// remainingCost returns the core time that a started request is still expected to need. It is at least a
// third of the expected cost, because runs that take longer than expected tend to take much longer.
func (p *Policy) remainingCost(r *request) float64 {
	coreTime := r.coreTime
	if r.phase == running {
		coreTime += p.serviceTime - r.serviceAtStart
	}
	return max(r.cost-coreTime, r.cost/3)
}

// onGone handles a caller that gave up.
func (p *Policy) onGone(r *request) {
	if r == nil || r.phase == finished {
		return
	}
	p.settle(r)
	switch r.phase {
	case held, reusing:
		p.finish(r)
	case running:
		p.stopRun(r)
	}
}

// stopRun stops a run whose answer nobody waits for. Keyed runs go on, because their repeats get the same
// answer, and so does a read whose answer other requests wait for.
func (p *Policy) stopRun(r *request) {
	if r.phase != running || r.stopSent || p.cfg.Halt == StopNone || p.cfg.Classes[r.Class].Repeat != Safe ||
		r.reusers > 0 {
		return
	}
	r.stopSent = true
	p.emit(Stop{r.ID})
}

// leaveCores adds the stretch on the cores that ends now to the totals of the request and moves it to a
// phase.
func (p *Policy) leaveCores(r *request, to phase) {
	r.coreTime += p.serviceTime - r.serviceAtStart
	r.elapsed += p.now - p.stalledMs - r.stretchStart
	p.setPhase(r, to, r.runningKB)
	r.callTries = 0
}

// enterCores begins a stretch of a request on the cores.
func (p *Policy) enterCores(r *request) {
	p.setPhase(r, running, r.runningKB)
	r.serviceAtStart, r.stretchStart = p.serviceTime, p.now-p.stalledMs
}

// onUncertain handles a run that may or may not be in progress. Its place in the limit is free, because most
// such runs were never started, but it goes on counting towards the memory and the number of runs that the
// server survives.
func (p *Policy) onUncertain(r *request) {
	if r != nil && r.phase == running {
		p.leaveCores(r, uncertain)
	}
}

// startRun starts a held request.
func (p *Policy) startRun(r *request) {
	if r.Tenant < len(p.quotaTokens) {
		p.quotaTokens[r.Tenant]--
	}
	p.seq++
	r.ran, r.seq = true, p.seq
	if class := p.cfg.Classes[r.Class]; class.LateWorth <= 0 && class.Repeat == Safe {
		// Answers after the aim earn nothing: give up right after it.
		p.dueHeap.Set(&r.dueEntry, min(r.due, math.Nextafter(r.aimAt, math.Inf(1))))
	}
	p.enterCores(r)
	p.observed.noteStart(r.runningKB - r.MemoryKB)
	p.emit(Run{r.ID})
}

// onEnded handles the end of a run or of a reuse.
func (p *Policy) onEnded(e Ended) {
	r := p.requests[e.ID]
	if r == nil || r.phase == finished || r.phase == held {
		return
	}
	if r.phase == running {
		p.leaveCores(r, running)
	}
	switch {
	case e.Code == Presumed:
		p.observed.addUnexplained(1) // until the next reading of the gauges shows otherwise
	case r.phase == uncertain && e.Code != Moot: // how long it was on the cores is unknown
	case r.phase != reusing && (e.Code == OK || r.stopSent):
		p.recordRun(r, e.Code == OK)
	case e.Code == Moot:
		p.undoArrival(r)
	}
	p.settle(r)
	p.finish(r)
}

// undoArrival removes an arrival from the traffic statistics. A request that the host could not start may
// have no real caller behind it.
func (p *Policy) undoArrival(r *request) {
	p.classes[r.Class].demand = max(0, p.classes[r.Class].demand-p.worth(r))
	p.period.offeredWork = max(0, p.period.offeredWork-p.classes[r.Class].predictCost(r.Work, p.priorScale()))
	if c := p.callersByID[r.Caller]; c != nil {
		before := c.recentRequests
		c.recentRequests = max(0, before-1)
		p.callerRequests += c.recentRequests - before
		p.callerSquares += c.recentRequests*c.recentRequests - before*before
	}
}

// recordRun adds a run to the statistics. Only complete runs count for costs; the latency of stopped runs
// counts for the limit.
func (p *Policy) recordRun(r *request, complete bool) {
	stats := &p.classes[r.Class]
	cost, coreTime := &stats.cost, r.coreTime*p.warmupRatio()
	if stats.priorCost.N > 0 && complete {
		p.ownCoreTime, p.priorCoreTime = p.ownCoreTime+coreTime,
			p.priorCoreTime+stats.priorCost.Predict(r.Work, proportionalRuns)
	} else if cost.N == 0 && complete {
		cost.Add(r.Work, coreTime, costMemoryRuns)
	}
	expected := stats.predictCost(r.Work, p.priorScale())
	p.period.baseLatency += expected / p.warmupRatio()
	p.period.latency += r.elapsed
	if complete {
		p.recentBaseTime += expected
		cost.Add(r.Work, coreTime, costMemoryRuns)
		stats.learnedAt, stats.runs = p.now, stats.runs+1
	}
}

// phaseOrder is the order, by phase, in which requests that fall due in the same step are handled.
var phaseOrder = [...]int{reusing: 0, held: 1, running: 2, uncertain: 2, awaitingCall: 2, calling: 2,
	finished: 3}

// answerDue answers the requests that fall due and gives up those whose answers can earn nothing any more.
func (p *Policy) answerDue() {
	until, due := p.now, []*request(nil)
	if p.stopImminent() {
		until = math.Inf(1)
	}
	for r, ok := p.dueHeap.Pop(until); ok; r, ok = p.dueHeap.Pop(until) {
		due = append(due, r)
	}
	slices.SortFunc(due, func(a, b *request) int {
		return cmp.Or(phaseOrder[a.phase]-phaseOrder[b.phase], a.holdItem.Compare(&b.holdItem),
			cmp.Compare(a.seq, b.seq))
	})
	for _, r := range due {
		if r.phase == held {
			p.refuse(r, RefusedOverdue)
			continue
		}
		p.answer(r, Fail{r.ID})
		p.stopRun(r)
	}
}

// updateHealth makes health checks fail while requests wait unread for longer than the longest aim, because
// whatever is read then is too late. This guards against a slow or hanging machine that callers go on
// choosing. If the whole fleet is slow, checks must not fail, or the callers' list of servers would empty:
// such servers still read more work than a single unhealthy one does.
func (p *Policy) updateHealth() {
	if p.shuttingDown {
		if !p.withdrawn && p.now >= p.withdrawAt {
			p.withdrawn = true
			p.emit(Health{Cached: true, Healthy: false})
		}
		return
	}
	if !p.unhealthy && p.readDelay > p.maxAim &&
		p.offeredLoad*p.effectiveCores < p.cores/unhealthyLoadDivisor {
		p.unhealthy, p.unhealthyUntil = true, p.now+unhealthyMs
		p.emit(Health{Cached: true, Healthy: false})
	}
	if p.unhealthy && p.now > p.unhealthyUntil {
		p.unhealthy = false
		p.emit(Health{Cached: true, Healthy: !p.drained})
	}
}

// neededByFleet reports whether the other servers would be overloaded without this one. Callers learn of its
// successor only seconds later, so a needed server stays open for most of its grace time.
func (p *Policy) neededByFleet() bool {
	return p.offeredLoad*float64(p.cfg.Servers) > busyUtilization*float64(p.cfg.Servers-1)
}

// stopImminent reports whether the stop is so near that everything must be answered now.
func (p *Policy) stopImminent() bool { return p.shuttingDown && p.now >= p.stopAt-3*p.cfg.Tick }

// admit starts the most valuable held requests within the limit, and refuses at once those that cannot be
// answered in time.
func (p *Policy) admit() {
	for i := range p.quotaTokens {
		p.quotaTokens[i] = min(p.quotaTokens[i]+p.quotaRate(i)*(p.now-p.quotaRefilledAt)/1000,
			quotaBurstSeconds*p.quotaRate(i)+1)
	}
	p.quotaRefilledAt = p.now
	p.hold.Sort(func(representative *request) float64 {
		p.estimateRequest(representative)
		return representative.value
	})
	aheadCost, stretch, slots := 0.0, max(1, p.limit/p.cores), math.Floor(p.runSlots())
	canStart := func(kb float64) bool {
		return float64(p.phaseCount[running]+p.otherProcess.InProgress) < slots &&
			float64(p.startedCount()) < p.maxRunning() && !p.crowded() &&
			p.memoryInUse()+kb <= usableMemoryRatio*p.cfg.Memory
	}
	// inTime reports whether the last of n further requests of this cost is started and answered in time.
	inTime := func(n, cost, latestStart, aimAt float64) bool {
		start, end := p.now+(aheadCost+(n-1)*cost)/p.effectiveCores,
			p.now+(aheadCost+n*cost)/p.effectiveCores+cost*stretch
		return start <= latestStart && end <= aimAt && !(p.shuttingDown && end > p.stopAt)
	}
	p.hold.Walk(func(representative *request, n int, lowerBounds [3]float64) bool {
		if canStart(lowerBounds[2]) ||
			!inTime(float64(n), representative.cost, lowerBounds[0], lowerBounds[1]) {
			return false
		}
		aheadCost += float64(n) * representative.cost
		return true
	}, func(r *request) {
		r.cost = r.holdItem.Representative().cost
		runs := float64(p.phaseCount[running])
		switch startable := canStart(r.runningKB - r.MemoryKB); {
		case startable && p.now+medianCostRatio*r.cost*max(1, (runs+1+p.otherRunnable)/p.cores) <= r.aimAt:
			p.startRun(r)
		case !startable && inTime(1, r.cost, r.latestStart, r.aimAt):
			aheadCost += r.cost
		default:
			p.refuse(r, RefusedTooLate)
		}
	})
}

// runSlots returns the limit, reduced while requests wait long to be read: reading shares the cores with the
// runs, and what is read too late cannot be served. This is the only case in which fewer requests run than
// there are cores.
func (p *Policy) runSlots() float64 {
	return max(1, p.limit*min(1, 1.25-p.readDelay/(readDelayAimRatio*p.minAim)))
}
