// Package fleet simulates days of a whole fleet in virtual time: nodes in front of modelled worker pools, callers with
// configured behavior, a list of nodes that is updated with a delay, a network with delay and loss, and faults. One
// seed gives one day: two simulations of it differ only by the admission policy inside the nodes.
//
// Times are milliseconds, work is milliseconds of a standard core.
package fleet

import (
	"math"
	"slices"

	"whinrudder"
	"whinrudder/internal/emu/callermodel"
	"whinrudder/internal/emu/workers"
	"whinrudder/internal/emu/workload"
	"whinrudder/internal/vtime"
)

// Aliases of the types that describe a day.
type (
	Range    = vtime.Range
	Class    = workload.Class
	Behavior = callermodel.Behavior
)

// The strategies of callers.
const (
	RoundRobin       = callermodel.RoundRobin
	LeastOutstanding = callermodel.LeastOutstanding
	LowestLatency    = callermodel.LowestLatency
	HashBySubject    = callermodel.HashBySubject
	WeightedRandom   = callermodel.WeightedRandom
	PowerOfTwo       = callermodel.PowerOfTwo
)

// FaultKind is a kind of fault.
type FaultKind uint8

// The kinds of faults.
const (
	Burst          FaultKind = iota // the request rate is multiplied by Factor
	Crash                           // a Share of the nodes crashes at once and restarts cold after Duration
	Slowdown                        // a Share of the nodes is Factor times slower
	Deploy                          // a Share of the nodes is drained and replaced, spread evenly over Duration
	PoolPause                       // the worker pools of a Share of the nodes stop working
	RetryStorm                      // a Share of the callers retries without limit and ignores credit and advice
	Partition                       // a Share of the nodes is cut off from a share Factor of the callers; if 1, from the ensemble too
	ProcessStall                    // the processes of a Share of the nodes stop
	ClockSkew                       // the clocks of a Share of the nodes are ahead by Factor milliseconds; negative: behind
	MessageLoss                     // a Share of all messages is lost
	EnsembleOutage                  // the ensemble does not answer: the list does not change
	LimitRetries                    // a Share of the callers has a retry budget of Factor and makes at most three tries
	HonorCredit                     // a Share of the callers honors credit and advice
	BlackHole                       // a Share of the nodes fails every request at once
	BogusCredit                     // a Share of the nodes reports a credit of Factor, and a retry-after of a day with refusals
	Flap                            // a Share of the nodes leaves the list or returns to it every Factor seconds
)

// FaultKindNames holds the names of the kinds, as experiment files use them.
var FaultKindNames = []string{"burst", "crash", "crawl", "deploy", "pause", "storm", "partition", "stall", "clock", "loss", "outage", "tame", "heed", "hole", "absurd", "flap"}

func (k FaultKind) String() string { return FaultKindNames[k] }

// Fault is a fault that lasts for a time. Faults may overlap. Share and Factor depend on the kind.
type Fault struct {
	Kind          FaultKind
	At, Duration  float64
	Share, Factor float64
}

// Day describes a day to simulate.
type Day struct {
	Seed                  vtime.Seed
	Nodes                 int
	DurationMs            float64 // from the first request to the last
	Load                  float64 // requested work as a share of the capacity of the warm cores
	Cores                 int
	SlowSpeed, FastSpeed  Range // speeds of the two models, half of the nodes each
	ColdSpeedRatio        Range // speed of a cold node as a share of its full speed
	RampTime              Range
	ContentionThreshold   Range
	ContentionLoss        Range
	OverloadThreshold     float64
	MemoryRunsPerCore     float64 // running requests per core that fill the memory
	Classes               []Class
	ReadWorkRatio         float64 // work of reading a request as a share of the mean work of a run
	WorkCV                float64 // coefficient of variation of the work within a class
	Callers               []Behavior
	ClientRetries         workload.ClientRetries
	NetworkDelay          Range   // of a message
	LossRate              float64 // share of messages that are lost
	ListLag               float64 // time from a change of the list to its notification of callers
	SessionTimeout        float64 // time without heartbeats after which a node leaves the list
	DrainGrace, StopDelay float64 // grace of a drain; time from the stop notice to the stop
	Subjects              int
	Faults                []Fault
	ColdFleet             bool    // all nodes start cold
	OnlyRequests          []int   // numbers of the requests to simulate, in ascending order; nil: all
	Slack                 float64 // time after the answer grace of the rules from which an answer counts as late
}

// DefaultDay returns the day of the operators of tunis-payouts without faults: 14 nodes and their classes and callers.
func DefaultDay(seed vtime.Seed) Day {
	return Day{Seed: seed, Nodes: 14, DurationMs: 60000, Load: 0.6, Cores: 6, SlowSpeed: between(0.5, 0.7), FastSpeed: between(1.1, 1.5), ColdSpeedRatio: between(0.2, 0.6),
		RampTime: between(3000, 17000), ContentionThreshold: between(2, 4), ContentionLoss: between(0.03, 0.1), OverloadThreshold: 8, MemoryRunsPerCore: 16, ReadWorkRatio: 0.25, WorkCV: 0.45,
		Classes: []Class{
			{Name: "status-lookup", Share: 0.54, Aim: 3100, Deadline: 9300, Worth: 1, LateWorth: 0.1, Work: between(240, 400), Sleep: between(180, 440), Write: false},
			{Name: "rate-quote", Share: 0.26, Aim: 1900, Deadline: 6200, Worth: 1, LateWorth: 0.1, Work: between(170, 300), Sleep: between(71, 160), Write: false},
			{Name: "payout-book", Share: 0.20, Aim: 2500, Deadline: 7800, Worth: 3, LateWorth: 0.2, Work: between(240, 400), Sleep: between(93, 210), Write: true},
		},
		Callers: []Behavior{{Strategy: RoundRobin, HonorsCredit: true, TryTimeoutRatio: 0.6}, {Strategy: LeastOutstanding, MaxTries: 3, HonorsCredit: true, TryTimeoutRatio: 0.6},
			{Strategy: LowestLatency, MaxTries: 2, HonorsCredit: true, TryTimeoutRatio: 0.6}, {Strategy: HashBySubject, TryTimeoutRatio: 0.6}},
		ClientRetries: workload.ClientRetries{Delay: between(2000, 6000), Max: 3},
		NetworkDelay:  between(0.5, 3), ListLag: 1500, DrainGrace: 2000, StopDelay: 12000, Subjects: 10000, Slack: 50}
}

func between(low, high float64) Range { return Range{Low: low, High: high} }

// Settings returns the settings of a node of the day.
func (d Day) Settings(cold bool) whinrudder.Settings {
	s := whinrudder.Settings{Servers: d.Nodes, Callers: len(d.Callers), Cores: d.Cores, Cold: cold, Memory: d.MemoryRunsPerCore * float64(d.Cores) * meanHeldKB * runMemoryFactor,
		RunFactor: runMemoryFactor, EntryKB: 10, Halt: whinrudder.StopAbort, CreditMode: whinrudder.CreditWindow, HeardFor: creditLifetimeMs, ReportsCancellation: true,
		PassesDeadline: true, Dependency: whinrudder.DependencyNone, DeepChecks: true, MaxRetryAfter: 1000, KeepAlive: 30000, Tick: 2,
		Rules: whinrudder.Rules{AnswerGrace: answerGraceMs, ColdFrom: d.ColdSpeedRatio.Low, RampTime: d.RampTime.High, DrainGrace: d.DrainGrace,
			FallMultiple: d.OverloadThreshold, FallWindow: overloadWindowMs},
		Goal: whinrudder.Goal{Whole: 0.6, WorstClass: 0.2, WorstWindow: 0.2}}
	for _, c := range d.Classes {
		w := whinrudder.Class{Aim: c.Aim, Deadline: c.Deadline, Worth: c.Worth, LateWorth: c.LateWorth, Repeat: whinrudder.Safe}
		if c.Write {
			w.Repeat = whinrudder.Unsafe
		}
		s.Classes = append(s.Classes, w)
	}
	return s
}

// answerSlack returns the time after the due time until which an answer still counts: the grace of the rules and Slack.
func (d Day) answerSlack() float64 { return answerGraceMs + d.Slack }

const (
	answerGraceMs    = 80.0
	creditLifetimeMs = 1000.0 // time for which callers honor a credit
	overloadWindowMs = 1500.0
	pollLatencyMs    = 0.2  // latency of the worker pool's answer to a poll
	meanHeldKB       = 39.0 // mean memory of a held request
	runMemoryFactor  = 16.0 // memory of a running request as a multiple of that of a held one
)

// poolParams draws the worker pool of a server. It stays the same over restarts.
func (d Day) poolParams(i int) workers.Params {
	r := d.Seed.Split("machine", i).Rand()
	p := workers.Params{Cores: d.Cores, Speed: d.FastSpeed.At(r.Float64()), ColdSpeedRatio: d.ColdSpeedRatio.At(r.Float64()),
		RampTime: d.RampTime.At(r.Float64()), ContentionThreshold: d.ContentionThreshold.At(r.Float64()), ContentionLoss: d.ContentionLoss.At(r.Float64()), OverloadThreshold: d.OverloadThreshold, OverloadWindow: overloadWindowMs}
	if slow := d.SlowSpeed.At(r.Float64()); i%2 == 0 {
		p.Speed = slow
	}
	return p
}

// weight returns the weight that the operators set for a server. It depends on the model, not on the drawn speed.
func (d Day) weight(i int) float64 {
	r := d.FastSpeed
	if i%2 == 0 {
		r = d.SlowSpeed
	}
	return r.At(0.5)
}

// Workload returns the workload parameters of the day.
func (d Day) Workload() workload.Params {
	rng := d.Seed.Split("classes", 0).Rand()
	p := workload.Params{DurationMs: d.DurationMs, Classes: d.Classes, WorkCV: d.WorkCV, Callers: len(d.Callers), Subjects: d.Subjects, ClientRetries: d.ClientRetries}
	mean := 0.0
	for _, c := range d.Classes {
		p.RunWork, p.SleepTime = append(p.RunWork, c.Work.At(rng.Float64())), append(p.SleepTime, c.Sleep.At(rng.Float64()))
		mean += c.Share * p.RunWork[len(p.RunWork)-1]
	}
	speed := 0.0
	for i := range d.Nodes {
		speed += d.poolParams(i).Speed * float64(d.Cores)
	}
	p.ReadWork = mean * d.ReadWorkRatio
	p.Rate = d.Load * speed / (mean + p.ReadWork)
	for _, t := range d.Faults {
		if t.Kind == Burst {
			p.Surges = append(p.Surges, workload.Surge{From: t.At, To: t.At + t.Duration, Factor: t.Factor})
		}
	}
	return p
}

// chooseTargets draws which share of a total a fault affects, and returns their indexes in ascending order.
func (d Day) chooseTargets(fault int, share float64, total int, purpose string) []int {
	n := int(math.Ceil(share * float64(total)))
	out := d.Seed.Split(purpose, fault).Rand().Perm(total)[:min(n, total)]
	slices.Sort(out)
	return out
}
