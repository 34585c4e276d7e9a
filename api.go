// Package whinrudder decides, inside one server of a fleet, what that server takes, runs and turns away.
//
// A host creates one [Policy] for each server process with [New] and calls [Policy.Step] from a single
// goroutine whenever something happened: all events of one instant go in together, in order of arrival, and
// the actions come back in the order in which the host must carry them out. A Policy has no clock, no
// goroutine and does no I/O; it is not safe for concurrent use; it shares nothing with other Policies. A host
// persists nothing: after a restart it creates a new Policy.
//
// All times are milliseconds. Absolute times are readings of one clock of the host's choice that never goes
// back. Amounts of memory are kilobytes. Amounts of work are milliseconds of a standard core.
//
// The host owes the policy an [Ended] for each [Run] and [Reuse] that took effect, and a [Timer] for each
// [Wake]. The policy owes the host one final answer for each [Arrival] by the time it falls due: the end of a
// run, or one of [Refuse] and [Fail].
package whinrudder

import (
	"errors"
	"fmt"
	"math"
)

// RequestID names one try of a request. It is opaque and never reused within the life of a server.
type RequestID string

// Repeatability says how often a class of requests may take effect.
type Repeatability string

// The kinds of classes.
const (
	Safe   Repeatability = "safe"   // may run any number of times
	Keyed  Repeatability = "keyed"  // runs once on a node within its window; the key table links repeats
	Unsafe Repeatability = "unsafe" // runs once; a try is sent again only if the earlier one never ran
)

// StopMode says what a host can do to work that runs.
type StopMode string

// The ways to stop work.
const (
	StopNone  StopMode = "none"  // running work can't be stopped
	StopAbort StopMode = "abort" // stopped work is lost and the request returns to the hold
	StopPause StopMode = "pause" // stopped work keeps progress and memory and can be resumed
)

// CreditMode is how callers read the free value that rides on each answer.
type CreditMode string

// The readings of the free value.
const (
	CreditNone      CreditMode = "none"      // unused
	CreditWindow    CreditMode = "window"    // most requests a caller may have out with this server
	CreditThreshold CreditMode = "threshold" // callers withhold what ranks below it
	CreditShare     CreditMode = "share"     // chance, 0 to 1, that a caller does not pass this server by
)

// Dependency is what running requests call.
type Dependency string

// The kinds of dependency.
const (
	DependencyNone   Dependency = "none"   // no calls
	DependencyShared Dependency = "shared" // one dependency that all servers share
	DependencyTier   Dependency = "tier"   // a further tier of servers like this one
)

// Code is how a run or a call ended.
type Code string

// The outcomes. Those marked * prove that nothing ran.
const (
	OK            Code = "ok"
	Error         Code = "error"
	Rejected      Code = "rejected"       // * a call turned away unseen
	Timeout       Code = "timeout"        // the caller gave up on a call
	ConnectFailed Code = "connect_failed" // * nothing could be reached
	Reset         Code = "reset"          // a call was interrupted
	Cancelled     Code = "cancelled"      // a run was stopped
	Moot          Code = "moot"           // * nothing started: the request was over
)

// Class describes one class of requests.
type Class struct {
	Aim             float64       // answers within this time of arrival earn full worth
	AimStretch      float64       // the aim grows by this multiple of the request's own work, up to Deadline
	Deadline        float64       // how long a client waits in all
	Worth           float64       // worth of one request, or of one unit of work
	LateWorth       float64       // share of the worth left after the aim
	Repeat          Repeatability // what may happen twice
	Window          float64       // Keyed: how long after its arrival a request can recur
	CallsDependency bool          // may call the dependency
	SkipWorth       float64       // share of the worth that an answer keeps when a call was skipped
}

// Tenant describes one user of a shared fleet.
type Tenant struct {
	QuotaPerSecond float64 // requests a second over all servers that earn full worth
}

// Goal weighs the parts of the result.
type Goal struct {
	Whole, WorstClass, WorstTenant, WorstWindow float64
}

// Rules holds the figures behind the four rules.
type Rules struct {
	AnswerGrace  float64 // an answer counts this long after it fell due
	ColdFrom     float64 // share of full speed at which a cold server starts, at least
	RampTime     float64 // a cold server is warm after this time, at the latest
	DrainGrace   float64 // what arrives later than this after the notice must not run
	FallMultiple float64 // requests on the cores, for each core, that a warm server survives
	FallWindow   float64 // the time over which they are averaged
}

// Settings is all that a policy knows of its server at the start.
type Settings struct {
	Servers             int // servers in the fleet
	Callers             int // callers of the fleet
	Cores               int
	Cold                bool    // the process was only just started
	Memory              float64 // kilobytes
	RunFactor           float64 // memory of a running request over that of a held one
	EntryKB             float64 // memory of a key entry
	Classes             []Class
	Tenants             []Tenant
	OverShareWorth      float64 // worth of a request beyond its tenant's quota, as a share
	WorthByWork         bool    // worth counts for each unit of work
	Halt                StopMode
	CreditMode          CreditMode
	HeardFor            float64 // how long a caller heeds the free value; 0: without end
	ReportsCancellation bool    // the server hears of callers that gave up
	PassesDeadline      bool    // arrivals carry their due time
	Dependency          Dependency
	CallShare           float64 // mean calls this server may have in the dependency's hands
	CallShareWindow     float64 // the time over which that mean is taken
	CallLinger          float64 // how long an abandoned call stays in the dependency's hands
	Fresh               float64 // how long an answer to a read may serve others
	DeepChecks          bool    // health checks do real work unless answered from store
	MaxRetryAfter       float64 // longest stay-away advice that is heeded; 0: none
	KeepAlive           float64 // longest time a connection stays open idle
	Tick                float64 // shortest time between two steps
	Rules               Rules
	Goal                Goal
}

// Check reports all settings that make no sense, together, each by its name. Figures must be finite and not
// negative; Cores, Memory and each Aim positive; Deadline at least Aim; FallMultiple at least 1; Classes not
// empty; Repeat and Halt known words.
func (s Settings) Check() error {
	var errs []error
	want := func(ok bool, what string, args ...any) {
		if !ok {
			errs = append(errs, fmt.Errorf("whinrudder: settings: "+what, args...))
		}
	}
	figure := func(name string, v float64) {
		want(v >= 0 && !math.IsInf(v, 0), "%s is %v, want a finite figure not below 0", name, v)
	}
	want(s.Cores > 0, "Cores is %d, want at least 1", s.Cores)
	want(s.Servers >= 0, "Servers is %d, want none or more", s.Servers)
	want(s.Callers >= 0, "Callers is %d, want none or more", s.Callers)
	want(len(s.Classes) > 0, "Classes is empty")
	want(s.Memory > 0, "Memory is %v, want more than 0", s.Memory)
	r := s.Rules
	for _, f := range []struct {
		name string
		v    float64
	}{
		{"Memory", s.Memory}, {"RunFactor", s.RunFactor}, {"EntryKB", s.EntryKB}, {"Tick", s.Tick},
		{"OverShareWorth", s.OverShareWorth}, {"HeardFor", s.HeardFor}, {"CallShare", s.CallShare},
		{"CallShareWindow", s.CallShareWindow}, {"CallLinger", s.CallLinger}, {"Fresh", s.Fresh},
		{"MaxRetryAfter", s.MaxRetryAfter}, {"KeepAlive", s.KeepAlive}, {"Rules.AnswerGrace", r.AnswerGrace},
		{"Rules.ColdFrom", r.ColdFrom}, {"Rules.RampTime", r.RampTime}, {"Rules.DrainGrace", r.DrainGrace},
		{"Rules.FallMultiple", r.FallMultiple}, {"Rules.FallWindow", r.FallWindow},
	} {
		figure(f.name, f.v)
	}
	want(r.FallMultiple >= 1, "Rules.FallMultiple is %v, want at least 1", r.FallMultiple)
	want(s.Halt == StopNone || s.Halt == StopAbort || s.Halt == StopPause, "Halt %q is unknown", s.Halt)
	for i, t := range s.Tenants {
		figure(fmt.Sprintf("Tenants[%d].QuotaPerSecond", i), t.QuotaPerSecond)
	}
	for i, c := range s.Classes {
		want(c.Aim > 0 && c.Deadline >= c.Aim, "Classes[%d]: want 0 < Aim <= Deadline, got %v, %v", i,
			c.Aim, c.Deadline)
		known := c.Repeat == Safe || c.Repeat == Keyed || c.Repeat == Unsafe
		want(known, "Classes[%d].Repeat %q is unknown", i, c.Repeat)
		figure(fmt.Sprintf("Classes[%d].Deadline", i), c.Deadline)
		figure(fmt.Sprintf("Classes[%d].AimStretch", i), c.AimStretch)
		figure(fmt.Sprintf("Classes[%d].Worth", i), c.Worth)
		figure(fmt.Sprintf("Classes[%d].LateWorth", i), c.LateWorth)
		figure(fmt.Sprintf("Classes[%d].Window", i), c.Window)
		figure(fmt.Sprintf("Classes[%d].SkipWorth", i), c.SkipWorth)
	}
	return errors.Join(errs...)
}

// Estimate is one learned figure. In a prior N is what it counts for; in knowledge, what it rests on.
type Estimate struct {
	Value float64
	N     float64 // observations; 0: the figure is absent
	Age   float64 // since the last of them
}

// CostModel holds the moments of an aging straight fit of core time by hinted work, as means. Without hints
// Work is 0.
type CostModel struct {
	N, Age             float64 // observations, 200 at most, and the time since the last
	Work, Time         float64 // hinted work, core time on a warm server of this speed
	WorkWork, WorkTime float64 // square of the work, product of both
}

// ClassKnowledge is what was learned of one class.
type ClassKnowledge struct {
	Cost  CostModel
	Waits []float64 // how long callers of the last arrivals still waited, the newest first; 16 at most
	Share float64   // worth asked for lately, to be compared with that of the other classes
}

// Knowledge is what a policy has learned that outlives it. Classes stand in the order of [Settings]. Costs,
// the pace and slowness belong to the machine; the relation of the costs, waits and shares to the traffic.
type Knowledge struct {
	Classes         []ClassKnowledge
	Limit           Estimate // requests on the cores, for each core
	CoreShare       Estimate // core time that runs have in a millisecond with the cores full, for each core
	Slowdown        Estimate // how much longer runs take now than their base
	BaseCallLatency Estimate // lowest latency of calls
}

// Knowledge returns what the own runs have taught so far. What was adopted is no part of it.
func (p *Policy) Knowledge() Knowledge {
	figure := func(v float64) Estimate { return Estimate{v / p.cores, p.renewed, p.now - p.ruled} }
	k := Knowledge{Limit: figure(p.limit), CoreShare: figure(p.pace), Slowdown: figure(p.slow * p.cores)}
	if p.callLat > 0 {
		k.BaseCallLatency = Estimate{p.callMin, p.renewed, p.now - p.ruled}
	}
	for i := range p.classes {
		c := &p.classes[i]
		l := ClassKnowledge{Share: c.asked, Cost: CostModel{N: min(c.runs, baseMemory), Age: p.now - c.learn,
			Work: c.base.X, Time: c.base.Y, WorkWork: c.base.XX, WorkTime: c.base.XY}}
		for j := range min(c.seen-c.told, waitsKept) {
			l.Waits = append(l.Waits, c.waits[(c.seen-1-j)%waitsKept])
		}
		k.Classes = append(k.Classes, l)
	}
	return k
}

// An Event is something that happened to the server.
type Event interface{ event() }

// Arrival is a request that was read and now waits in the hold.
type Arrival struct {
	ID        RequestID
	Due       float64 // absolute time at which its caller gives up; 0: unknown
	Caller    int
	ReadDelay float64 // time since it reached the server
	WorkKnown bool    // Work is meaningful
	Retry     bool    // marked as a retry or a second copy
	Write     bool
	RepeatOf  RequestID // the kept or unfinished request that this one repeats, or empty
	Key       string    // what it is about
	MemoryKB  float64   // memory it takes while held
	Work      float64   // expected work
	Rank      float64   // place by worth, from 0 to under 1
	Tenant    int
	Class     int
}

// Ended reports the end of a run, a resumed run or a Reuse.
type Ended struct {
	ID      RequestID
	Code    Code
	Latency float64 // since the action that began it
}

// Gone reports that the caller of a request gave up; nothing is owed to it any more.
type Gone struct{ ID RequestID }

// AtCall reports that a run waits, off the cores, to call the dependency.
type AtCall struct{ ID RequestID }

// Called reports the end of a call. Unless it is OK the request waits at its call again.
type Called struct {
	ID      RequestID
	Code    Code
	Latency float64
}

// Notice tells the server that it will be stopped at the given absolute time. Where another process of the
// same server has taken over what comes, no caller is to be sent away.
type Notice struct {
	StopAt     float64
	HandedOver bool
}

// Beside tells what another process of the same server has in hand on the same cores, while one takes over
// from the other: what was started there and is not over, and the memory that all of it takes.
type Beside struct {
	InProgress int     // requests that were started there and have not ended
	MemoryKB   float64 // memory that all its requests take
}

// CurrentLoad returns what this process has in hand, as Beside reports it to another.
func (p *Policy) CurrentLoad() Beside {
	// Sums of floats are not exact.
	return Beside{p.live() - p.beside.InProgress, max(0, p.used()-p.beside.MemoryKB)}
}

// Drain tells that operators send the clients away from this server, or take them back. The server goes on
// serving whatever comes.
type Drain struct{ On bool }

// Timer reports that a Wake is due, with the server's own gauges.
type Timer struct {
	Token  uint64
	Gauges Gauges
}

// Gauges are the server's measurements of itself.
type Gauges struct {
	CPU      float64 // share of the cores busy over the last half second; negative: not measured
	Runnable float64 // all that wants a core at this moment
	Memory   float64 // share of memory in use
	Conns    float64 // open connections
}

func (Arrival) event() {}
func (Ended) event()   {}
func (Gone) event()    {}
func (AtCall) event()  {}
func (Called) event()  {}
func (Notice) event()  {}
func (Beside) event()  {}
func (Drain) event()   {}
func (Timer) event()   {}

// An Action is something the host must do at once.
type Action interface{ action() }

// Run starts a held request or resumes a paused one.
type Run struct{ ID RequestID }

// Stop halts a running request as Settings.Halt says. It is not an answer.
type Stop struct{ ID RequestID }

// Refuse answers that the request was turned away and never ran.
type Refuse struct {
	ID               RequestID
	RetryAfter       float64 // how long the caller should stay away; 0: no advice
	NoRetryElsewhere bool    // asks the caller not to try another server
}

// Fail answers with an error.
type Fail struct{ ID RequestID }

// Call makes the call that a request waits for.
type Call struct {
	ID      RequestID
	Timeout float64
}

// Skip goes on without the call.
type Skip struct{ ID RequestID }

// Keep enters a request into the key table, or renews its entry, for so long from now.
type Keep struct {
	ID  RequestID
	TTL float64
}

// Forget drops a request's entry in the key table.
type Forget struct{ ID RequestID }

// Reuse serves a request with the answer of the one it repeats.
type Reuse struct{ ID RequestID }

// Health sets the answer of health checks: whether it is given from store (Cached), and whether it is good.
type Health struct{ Cached, Healthy bool }

// Advertise sets the free value.
type Advertise struct{ Credit float64 }

// CloseIdle closes connections that were idle for so long.
type CloseIdle struct{ After float64 }

// Wake asks for a Timer at an absolute time.
type Wake struct {
	At    float64
	Token uint64
}

// Log is a line for the operators.
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
