// Package whinrudder decides, inside one server of a fleet, which requests that server runs and which it
// refuses.
//
// A host creates one [Policy] for each server process with [New] and calls [Policy.Step] from a single
// goroutine whenever something happened: it passes all events of one instant together, in order of arrival,
// and carries out the returned actions in their order. A Policy has no clock, starts no goroutine and does no
// I/O. It is not safe for concurrent use, and shares nothing with other Policies. It needs no storage: after
// a restart the host creates a new Policy.
//
// All times are in milliseconds. Absolute times are readings of one monotonic clock that the host chooses.
// Amounts of memory are in kilobytes. Amounts of work are in milliseconds of a standard core.
//
// The host must report an [Ended] for each [Run] and [Reuse] that took effect, and a [Timer] for each [Wake].
// The policy gives one final answer for each [Arrival] by the time it is due: the end of a run, a [Refuse] or
// a [Fail].
package whinrudder

import (
	"errors"
	"fmt"
	"math"
)

// RequestID identifies one try of a request. It is opaque and is not reused during the life of a server.
type RequestID string

// Repeatability says how often a class of requests may take effect.
type Repeatability string

// The values of Repeatability.
const (
	Safe   Repeatability = "safe"   // may run any number of times
	Keyed  Repeatability = "keyed"  // runs once on a node within its window; the key table links repeats
	Unsafe Repeatability = "unsafe" // runs once; a try is sent again only if the earlier one never ran
)

// StopMode says what a host can do to running work.
type StopMode string

// The values of StopMode.
const (
	StopNone  StopMode = "none"  // running work cannot be stopped
	StopAbort StopMode = "abort" // stopped work is lost and the request returns to the hold
	StopPause StopMode = "pause" // stopped work keeps progress and memory and can be resumed
)

// CreditMode says how callers interpret the free value that each answer carries.
type CreditMode string

// The values of CreditMode.
const (
	CreditNone      CreditMode = "none"      // the free value is not used
	CreditWindow    CreditMode = "window"    // requests that a caller may have outstanding at this server
	CreditThreshold CreditMode = "threshold" // callers withhold requests that rank below it
	CreditShare     CreditMode = "share"     // probability, 0 to 1, that a caller does not skip this server
)

// Dependency says what running requests call.
type Dependency string

// The values of Dependency.
const (
	DependencyNone   Dependency = "none"   // no calls
	DependencyShared Dependency = "shared" // one dependency that all servers share
	DependencyTier   Dependency = "tier"   // a further tier of servers like this one
)

// Code is the outcome of a run or a call.
type Code string

// The values of Code. Those marked * prove that nothing ran.
const (
	OK            Code = "ok"
	Error         Code = "error"
	Rejected      Code = "rejected"       // * the call was refused before it was processed
	Timeout       Code = "timeout"        // the caller abandoned the call
	ConnectFailed Code = "connect_failed" // * no connection could be made
	Reset         Code = "reset"          // the call was interrupted
	Cancelled     Code = "cancelled"      // the run was stopped
	Moot          Code = "moot"           // * nothing was started, because the request had ended
	Presumed      Code = "presumed"       // nothing was heard of an uncertain run for too long
)

// Class describes one class of requests.
type Class struct {
	Aim             float64       // answers within this time of arrival earn full worth
	AimStretch      float64       // the aim grows by this multiple of the request's own work, up to Deadline
	Deadline        float64       // total time that a client waits
	Worth           float64       // worth of one request, or of one unit of work if WorthByWork is set
	LateWorth       float64       // share of the worth that an answer after the aim keeps
	Repeat          Repeatability // how often a request may take effect
	Window          float64       // Keyed only: time after its arrival in which a request can be repeated
	CallsDependency bool          // may call the dependency
	SkipWorth       float64       // share of the worth that an answer keeps if a call was skipped
}

// Tenant describes one tenant of a shared fleet.
type Tenant struct {
	QuotaPerSecond float64 // requests per second, over all servers, that earn the full worth
}

// Goal holds the weights of the parts of the result.
type Goal struct {
	Whole, WorstClass, WorstTenant, WorstWindow float64
}

// Rules holds the parameters of the four rules.
type Rules struct {
	AnswerGrace  float64 // an answer still counts this long after it was due
	ColdFrom     float64 // least share of full speed at which a cold server starts
	RampTime     float64 // longest time until a cold server is warm
	DrainGrace   float64 // requests that arrive later than this after the notice must not run
	FallMultiple float64 // running requests per core that a warm server survives
	FallWindow   float64 // time over which the running requests are averaged
}

// Settings is what a policy knows about its server at the start.
type Settings struct {
	Servers             int // servers in the fleet
	Callers             int // callers of the fleet
	Cores               int
	Cold                bool    // the process has just started
	Memory              float64 // kilobytes
	RunFactor           float64 // ratio of the memory of a running request to that of a held one
	EntryKB             float64 // memory of an entry in the key table
	Classes             []Class
	Tenants             []Tenant
	OverShareWorth      float64 // share of its worth that a request beyond its tenant's quota keeps
	WorthByWork         bool    // the worth of a request is multiplied by its work
	Halt                StopMode
	CreditMode          CreditMode
	HeardFor            float64 // how long a caller respects the free value; 0: without limit
	ReportsCancellation bool    // the host reports callers that gave up
	PassesDeadline      bool    // arrivals carry their due time
	Dependency          Dependency
	CallShare           float64 // mean number of calls that this server may have at the dependency
	CallShareWindow     float64 // time over which that mean is taken
	CallLinger          float64 // how long an abandoned call still occupies the dependency
	Fresh               float64 // how long the answer to a read may serve other reads of the same key
	DeepChecks          bool    // health checks do real work unless their answer is cached
	MaxRetryAfter       float64 // longest RetryAfter that callers respect; 0: they respect none
	KeepAlive           float64 // longest time that an idle connection stays open
	Tick                float64 // shortest time between two steps
	Rules               Rules
	Goal                Goal
}

// Check reports all invalid settings in one error, each by its name. Numbers must be finite and not negative;
// Cores, Memory and each Aim must be positive, Deadline at least Aim, and FallMultiple at least 1; Classes
// must not be empty; Repeat and Halt must have one of their defined values.
func (s Settings) Check() error {
	var errs []error
	require := func(ok bool, what string, args ...any) {
		if !ok {
			errs = append(errs, fmt.Errorf("whinrudder: settings: "+what, args...))
		}
	}
	checkNumber := func(name string, v float64) {
		require(v >= 0 && !math.IsInf(v, 0), "%s is %v, want a finite figure not below 0", name, v)
	}
	require(s.Cores > 0, "Cores is %d, want at least 1", s.Cores)
	require(s.Servers >= 0, "Servers is %d, want none or more", s.Servers)
	require(s.Callers >= 0, "Callers is %d, want none or more", s.Callers)
	require(len(s.Classes) > 0, "Classes is empty")
	require(s.Memory > 0, "Memory is %v, want more than 0", s.Memory)
	rules := s.Rules
	for _, number := range []struct {
		name string
		v    float64
	}{
		{"Memory", s.Memory}, {"RunFactor", s.RunFactor}, {"EntryKB", s.EntryKB}, {"Tick", s.Tick},
		{"OverShareWorth", s.OverShareWorth}, {"HeardFor", s.HeardFor}, {"CallShare", s.CallShare},
		{"CallShareWindow", s.CallShareWindow}, {"CallLinger", s.CallLinger}, {"Fresh", s.Fresh},
		{"MaxRetryAfter", s.MaxRetryAfter}, {"KeepAlive", s.KeepAlive},
		{"Rules.AnswerGrace", rules.AnswerGrace}, {"Rules.ColdFrom", rules.ColdFrom},
		{"Rules.RampTime", rules.RampTime}, {"Rules.DrainGrace", rules.DrainGrace},
		{"Rules.FallMultiple", rules.FallMultiple}, {"Rules.FallWindow", rules.FallWindow},
	} {
		checkNumber(number.name, number.v)
	}
	require(rules.FallMultiple >= 1, "Rules.FallMultiple is %v, want at least 1", rules.FallMultiple)
	require(s.Halt == StopNone || s.Halt == StopAbort || s.Halt == StopPause, "Halt %q is unknown", s.Halt)
	for i, t := range s.Tenants {
		checkNumber(fmt.Sprintf("Tenants[%d].QuotaPerSecond", i), t.QuotaPerSecond)
	}
	for i, c := range s.Classes {
		require(c.Aim > 0 && c.Deadline >= c.Aim, "Classes[%d]: want 0 < Aim <= Deadline, got %v, %v", i,
			c.Aim, c.Deadline)
		known := c.Repeat == Safe || c.Repeat == Keyed || c.Repeat == Unsafe
		require(known, "Classes[%d].Repeat %q is unknown", i, c.Repeat)
		checkNumber(fmt.Sprintf("Classes[%d].Deadline", i), c.Deadline)
		checkNumber(fmt.Sprintf("Classes[%d].AimStretch", i), c.AimStretch)
		checkNumber(fmt.Sprintf("Classes[%d].Worth", i), c.Worth)
		checkNumber(fmt.Sprintf("Classes[%d].LateWorth", i), c.LateWorth)
		checkNumber(fmt.Sprintf("Classes[%d].Window", i), c.Window)
		checkNumber(fmt.Sprintf("Classes[%d].SkipWorth", i), c.SkipWorth)
	}
	return errors.Join(errs...)
}

// Estimate is one learned quantity.
type Estimate struct {
	Value float64
	N     float64 // observations behind it or, in a prior, its weight; 0: the quantity is absent
	Age   float64 // time since the last observation
}

// CostModel holds the moments, as means, of an aging linear regression of core time on hinted work. Without
// hints Work is 0.
type CostModel struct {
	N, Age             float64 // number of observations, at most 200, and the time since the last one
	Work, Time         float64 // hinted work, and core time on a warm server of this speed
	WorkWork, WorkTime float64 // square of the work, and product of work and time
}

// ClassKnowledge is what was learned about one class.
type ClassKnowledge struct {
	Cost  CostModel
	Waits []float64 // how long callers of the last arrivals still waited, newest first, at most 16
	Share float64   // recently requested worth, for comparison with the other classes
}

// Knowledge is what a policy has learned that is of use to other policies. Classes are in the order of
// [Settings]. Costs, CoreShare and Slowdown depend on the machine; the relation between the costs, the waits
// and the shares depend on the traffic.
type Knowledge struct {
	Classes         []ClassKnowledge
	Limit           Estimate // concurrency limit per core
	CoreShare       Estimate // core time per millisecond and core that runs get while the cores are full
	Slowdown        Estimate // factor by which runs currently take longer than their base
	BaseCallLatency Estimate // lowest latency of calls
}

// Knowledge returns what was learned from this server's own runs, without what was adopted.
func (p *Policy) Knowledge() Knowledge {
	perCore := func(v float64) Estimate { return Estimate{v / p.cores, p.renewals, p.now - p.renewedAt} }
	k := Knowledge{Limit: perCore(p.limit), CoreShare: perCore(p.effectiveCores),
		Slowdown: perCore(p.slowdown * p.cores)}
	if p.callLatency > 0 {
		k.BaseCallLatency = Estimate{p.baseCallLatency, p.renewals, p.now - p.renewedAt}
	}
	for i := range p.classes {
		stats := &p.classes[i]
		learned := ClassKnowledge{Share: stats.demand, Cost: CostModel{N: min(stats.runs, costMemoryRuns),
			Age: p.now - stats.learnedAt, Work: stats.cost.X, Time: stats.cost.Y, WorkWork: stats.cost.XX,
			WorkTime: stats.cost.XY}}
		for j := range min(stats.waitsSeen-stats.waitsAdopted, waitWindow) {
			learned.Waits = append(learned.Waits, stats.waits[(stats.waitsSeen-1-j)%waitWindow])
		}
		k.Classes = append(k.Classes, learned)
	}
	return k
}

// An Event is something that happened to the server.
type Event interface{ event() }

// Arrival is a request that the host has read and that has not been started.
type Arrival struct {
	ID        RequestID
	Due       float64 // absolute time at which its caller gives up; 0: unknown
	Caller    int
	ReadDelay float64 // time between its reaching the server and being read
	WorkKnown bool    // Work is meaningful
	Retry     bool    // marked as a retry or a second copy
	Write     bool
	RepeatOf  RequestID // the kept or unfinished request that this one repeats, or empty
	Key       string    // what the request is about; reads with the same key can share an answer
	MemoryKB  float64   // memory it takes while held
	Work      float64   // expected work
	Rank      float64   // rank by worth, from 0 to below 1
	Tenant    int
	Class     int
}

// Ended reports the end of a run, a resumed run or a Reuse.
type Ended struct {
	ID      RequestID
	Code    Code
	Latency float64 // time since the action that began it
}

// Uncertain reports that it is unknown whether a run is in progress: its start may have been lost. From then
// on it takes up no place of the limit, but it counts towards what the server survives until Ended.
type Uncertain struct{ ID RequestID }

// Gone reports that the caller of a request gave up. The request needs no answer any more.
type Gone struct{ ID RequestID }

// AtCall reports that a run has left the cores and waits to call the dependency.
type AtCall struct{ ID RequestID }

// Called reports the end of a call. Unless Code is OK, the request waits for its call again.
type Called struct {
	ID      RequestID
	Code    Code
	Latency float64
}

// Notice announces that the server will be stopped at an absolute time. HandedOver says that another process
// of the same server takes over the traffic, so that callers need not go elsewhere.
type Notice struct {
	At         float64 // when it was given; 0: now
	StopAt     float64
	HandedOver bool
}

// Beside reports the load of another process of the same server on the same cores during a handover between
// the two.
type Beside struct {
	InProgress int     // requests that were started there and have not ended
	MemoryKB   float64 // memory that all its requests take
}

// CurrentLoad returns the load of this process, in the form in which another process gets it as Beside.
func (p *Policy) CurrentLoad() Beside {
	// Floating-point sums are inexact: the difference can be slightly negative.
	return Beside{p.startedCount() - p.otherProcess.InProgress,
		max(0, p.usedMemory()-p.otherProcess.MemoryKB)}
}

// Drain reports that operators direct clients away from this server (On) or back to it. The server keeps
// serving the requests that arrive.
type Drain struct{ On bool }

// Timer reports that a Wake is due, together with the readings of the gauges.
type Timer struct {
	Token  uint64
	Gauges Gauges
}

// Observed reports readings of the gauges as soon as they arrive. A host reports it if runs can be in
// progress that the policy does not know of.
type Observed struct {
	Gauges
	NotStarted int // runs that the policy started and that the reading can't show yet
}

// Gauges are the host's measurements of the server.
type Gauges struct {
	CPU      float64 // share of the cores that was busy over the last half second; negative: not measured
	Runnable float64 // number of everything that wants a core at this moment
	Memory   float64 // share of memory in use
	Conns    float64 // open connections
}

func (Arrival) event()   {}
func (Ended) event()     {}
func (Uncertain) event() {}
func (Gone) event()      {}
func (AtCall) event()    {}
func (Called) event()    {}
func (Notice) event()    {}
func (Beside) event()    {}
func (Drain) event()     {}
func (Timer) event()     {}
func (Observed) event()  {}

// An Action is something the host must do at once.
type Action interface{ action() }

// Run starts a held request or resumes a paused one.
type Run struct{ ID RequestID }

// Stop stops a running request in the way that Settings.Halt says. It is not an answer.
type Stop struct{ ID RequestID }

// RefusalReason says why a request was refused. It is for the operators' log and metrics only.
type RefusalReason string

// The values of RefusalReason.
const (
	RefusedNoMemory RefusalReason = "memory"  // its memory does not fit beside that of the requests in hand
	RefusedTooLate  RefusalReason = "late"    // it can't be expected to be answered in time
	RefusedOverdue  RefusalReason = "overdue" // it fell due in the hold
	RefusedDraining RefusalReason = "drain"   // it arrived after the grace of a drain
)

// RefusalReasons lists all reasons.
var RefusalReasons = []RefusalReason{RefusedNoMemory, RefusedTooLate, RefusedOverdue, RefusedDraining}

// Refuse answers that the request was refused and never ran.
type Refuse struct {
	ID               RequestID
	RetryAfter       float64 // time for which the caller should send nothing; 0: no advice
	NoRetryElsewhere bool    // asks the caller not to try another server
	Reason           RefusalReason
}

// Fail answers with an error.
type Fail struct{ ID RequestID }

// Call makes the call that a request waits for.
type Call struct {
	ID      RequestID
	Timeout float64
}

// Skip continues a request without its call.
type Skip struct{ ID RequestID }

// Keep enters a request into the key table, or renews its entry, for a time of TTL from now.
type Keep struct {
	ID  RequestID
	TTL float64
}

// Forget drops a request's entry in the key table.
type Forget struct{ ID RequestID }

// Reuse serves a request with the answer of the one that it repeats.
type Reuse struct{ ID RequestID }

// Health sets the answer of health checks: whether it is cached, and whether it is good.
type Health struct{ Cached, Healthy bool }

// Advertise sets the free value that answers carry.
type Advertise struct{ Credit float64 }

// CloseIdle sets the time after which idle connections are closed.
type CloseIdle struct{ After float64 }

// Wake asks for a Timer at an absolute time.
type Wake struct {
	At    float64
	Token uint64
}

// Log is a line for the operators' log.
type Log struct{ Text string }

func (Run) action()       {}
func (Stop) action()      {}
func (Refuse) action()    {}
func (Fail) action()      {}
func (Call) action()      {}
func (Skip) action()      {}
func (Keep) action()      {}
func (Forget) action()    {}
func (Reuse) action()     {}
func (Health) action()    {}
func (Advertise) action() {}
func (CloseIdle) action() {}
func (Wake) action()      {}
func (Log) action()       {}
