// Package fleet plays days of a whole fleet in virtual time: nodes before modelled worker pools, callers with habits, a list
// of nodes that hears late, a network with delay, troubles. One seed gives one day; what decides inside the nodes is the
// only difference between two plays of it.
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

// Shorthands for what a day is made of.
type (
	Range    = vtime.Range
	Class    = workload.Class
	Behavior = callermodel.Behavior
)

// The choices of callers.
const (
	RoundRobin       = callermodel.RoundRobin
	LeastOutstanding = callermodel.LeastOutstanding
	LowestLatency    = callermodel.LowestLatency
	HashBySubject    = callermodel.HashBySubject
	WeightedRandom   = callermodel.WeightedRandom
	PowerOfTwo       = callermodel.PowerOfTwo
)

// FaultKind is a kind of trouble.
type FaultKind uint8

// The kinds of troubles.
const (
	Burst          FaultKind = iota // traffic is Factor times the usual
	Crash                           // a Share of the nodes dies at once and comes back cold after Duration
	Slowdown                        // a Share of the nodes is Factor times slower
	Deploy                          // a Share of the nodes is replaced within Duration, some at a time
	PoolPause                       // the worker pools of a Share of the nodes stand still
	RetryStorm                      // a Share of the callers tries without limit and heeds nothing
	Partition                       // a Share of the nodes and a Factor of the callers can't reach each other; with 1 the list neither
	ProcessStall                    // the processes of a Share of the nodes stand still
	ClockSkew                       // the clocks of a Share of the nodes are Factor milliseconds ahead, or behind
	MessageLoss                     // a Share of all messages is lost
	EnsembleOutage                  // the ensemble changes nothing
	LimitRetries                    // a Share of the callers has a budget of retries of Factor and makes three tries
	HonorCredit                     // a Share of the callers heeds credit and advice
	BlackHole                       // a Share of the nodes fails at once whatever reaches it
	BogusCredit                     // a Share of the nodes tells a credit of Factor, and refuses with advice of a day
	Flap                            // a Share of the nodes leaves the list and comes back, over and over, each Factor seconds
)

// FaultKindNames are the names of the kinds.
var FaultKindNames = []string{"burst", "crash", "crawl", "deploy", "pause", "storm", "partition", "stall", "clock", "loss", "outage", "tame", "heed", "hole", "absurd", "flap"}

func (k FaultKind) String() string { return FaultKindNames[k] }

// Fault is something that goes wrong for a time. Faults may overlap.
type Fault struct {
	Kind          FaultKind
	At, Duration  float64
	Share, Factor float64
}

// Day is a day to be played.
type Day struct {
	Seed                  vtime.Seed
	Nodes                 int
	DurationMs            float64 // from the first request to the last
	Load                  float64 // share of what the warm cores can do that clients ask for
	Cores                 int
	SlowSpeed, FastSpeed  Range // speeds of the two models, half of the nodes each
	ColdSpeedRatio        Range // share of the speed of a cold node
	RampTime              Range
	ContentionThreshold   Range
	ContentionLoss        Range
	OverloadThreshold     float64
	MemoryRunsPerCore     float64 // running requests a core that fill the memory
	Classes               []Class
	ReadWorkRatio         float64 // share of the mean work that reading a request takes
	WorkCV                float64 // coefficient of variation of the work of one class
	Callers               []Behavior
	ClientRetries         workload.ClientRetries
	NetworkDelay          Range   // of a message
	LossRate              float64 // share of messages that are lost
	ListLag               float64 // callers hear of a change of the list so late
	SessionTimeout        float64 // the ensemble keeps a silent node for so long
	DrainGrace, StopDelay float64 // grace of the drain, and from the notice to the stop
	Subjects              int
	Faults                []Fault
	ColdFleet             bool    // all nodes start cold
	OnlyRequests          []int   // numbers of the requests that are played, in order; nil: all
	Slack                 float64 // beyond the grace of the rules, after which an answer is late
}

// DefaultDay is the day of the operators of tunis-payouts without troubles: 14 nodes, the classes and habits of their page.
func DefaultDay(seed vtime.Seed) Day {
	return Day{Seed: seed, Nodes: 14, DurationMs: 60000, Load: 0.6, Cores: 6, SlowSpeed: from(0.5, 0.7), FastSpeed: from(1.1, 1.5), ColdSpeedRatio: from(0.2, 0.6),
		RampTime: from(3000, 17000), ContentionThreshold: from(2, 4), ContentionLoss: from(0.03, 0.1), OverloadThreshold: 8, MemoryRunsPerCore: 16, ReadWorkRatio: 0.25, WorkCV: 0.45,
		Classes: []Class{
			{Name: "status-lookup", Share: 0.54, Aim: 3100, Deadline: 9300, Worth: 1, LateWorth: 0.1, Work: from(240, 400), Sleep: from(180, 440), Write: false},
			{Name: "rate-quote", Share: 0.26, Aim: 1900, Deadline: 6200, Worth: 1, LateWorth: 0.1, Work: from(170, 300), Sleep: from(71, 160), Write: false},
			{Name: "payout-book", Share: 0.20, Aim: 2500, Deadline: 7800, Worth: 3, LateWorth: 0.2, Work: from(240, 400), Sleep: from(93, 210), Write: true},
		},
		Callers: []Behavior{{Strategy: RoundRobin, HonorsCredit: true, TryTimeoutRatio: 0.6}, {Strategy: LeastOutstanding, MaxTries: 3, HonorsCredit: true, TryTimeoutRatio: 0.6},
			{Strategy: LowestLatency, MaxTries: 2, HonorsCredit: true, TryTimeoutRatio: 0.6}, {Strategy: HashBySubject, TryTimeoutRatio: 0.6}},
		ClientRetries: workload.ClientRetries{Delay: from(2000, 6000), Max: 3},
		NetworkDelay:  from(0.5, 3), ListLag: 1500, DrainGrace: 2000, StopDelay: 12000, Subjects: 10000, Slack: 50}
}

func from(low, high float64) Range { return Range{Low: low, High: high} }

// Settings are those of a node of the day.
func (d Day) Settings(cold bool) whinrudder.Settings {
	s := whinrudder.Settings{Servers: d.Nodes, Callers: len(d.Callers), Cores: d.Cores, Cold: cold, Memory: d.MemoryRunsPerCore * float64(d.Cores) * heldKB * runFactor,
		RunFactor: runFactor, EntryKB: 10, Halt: whinrudder.StopAbort, CreditMode: whinrudder.CreditWindow, HeardFor: heardFor, ReportsCancellation: true,
		PassesDeadline: true, Dependency: whinrudder.DependencyNone, DeepChecks: true, MaxRetryAfter: 1000, KeepAlive: 30000, Tick: 2,
		Rules: whinrudder.Rules{AnswerGrace: answerGrace, ColdFrom: d.ColdSpeedRatio.Low, RampTime: d.RampTime.High, DrainGrace: d.DrainGrace,
			FallMultiple: d.OverloadThreshold, FallWindow: fallWindow},
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

// slack is how long after its due time an answer counts: the grace of the rules and what is allowed on top.
func (d Day) slack() float64 { return answerGrace + d.Slack }

const (
	answerGrace = 80.0
	heardFor    = 1000.0 // a credit is heeded for so long
	fallWindow  = 1500.0
	gaugeAfter  = 0.2  // answers of the worker pool to a poll take so long
	heldKB      = 39.0 // mean memory of a request that is held
	runFactor   = 16.0 // times that of one that runs
)

// machine draws the worker pool of a place in the fleet; it stays the same over its lives.
func (d Day) machine(i int) workers.Params {
	r := d.Seed.Split("machine", i).Rand()
	p := workers.Params{Cores: d.Cores, Speed: d.FastSpeed.At(r.Float64()), ColdSpeedRatio: d.ColdSpeedRatio.At(r.Float64()),
		RampTime: d.RampTime.At(r.Float64()), ContentionThreshold: d.ContentionThreshold.At(r.Float64()), ContentionLoss: d.ContentionLoss.At(r.Float64()), OverloadThreshold: d.OverloadThreshold, OverloadWindow: fallWindow}
	if slow := d.SlowSpeed.At(r.Float64()); i%2 == 0 {
		p.Speed = slow
	}
	return p
}

// weight is what the operators gave a place: by its model, not by what it really is.
func (d Day) weight(i int) float64 {
	r := d.FastSpeed
	if i%2 == 0 {
		r = d.SlowSpeed
	}
	return r.At(0.5)
}

// Workload returns those of the day.
func (d Day) Workload() workload.Params {
	figures := d.Seed.Split("classes", 0).Rand()
	p := workload.Params{DurationMs: d.DurationMs, Classes: d.Classes, WorkCV: d.WorkCV, Callers: len(d.Callers), Subjects: d.Subjects, ClientRetries: d.ClientRetries}
	mean := 0.0
	for _, c := range d.Classes {
		p.RunWork, p.SleepTime = append(p.RunWork, c.Work.At(figures.Float64())), append(p.SleepTime, c.Sleep.At(figures.Float64()))
		mean += c.Share * p.RunWork[len(p.RunWork)-1]
	}
	speed := 0.0
	for i := range d.Nodes {
		speed += d.machine(i).Speed * float64(d.Cores)
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

// some draws which of so many a trouble hits.
func (d Day) some(i int, share float64, of int, what string) []int {
	n := int(math.Ceil(share * float64(of)))
	out := d.Seed.Split(what, i).Rand().Perm(of)[:min(n, of)]
	slices.Sort(out)
	return out
}
