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
	"whinrudder/internal/emu/clients"
	"whinrudder/internal/emu/habits"
	"whinrudder/internal/emu/workers"
	"whinrudder/internal/vtime"
)

// Shorthands for what a day is made of.
type (
	Range = vtime.Range
	Class = clients.Class
	Habit = habits.Habit
)

// The choices of callers.
const (
	Round    = habits.Round
	Least    = habits.Least
	Fastest  = habits.Fastest
	ByKey    = habits.ByKey
	Weighted = habits.Weighted
	Two      = habits.Two
)

// Kind is a kind of trouble.
type Kind uint8

// The kinds of troubles.
const (
	Burst     Kind = iota // traffic is Factor times the usual
	Crash                 // a Share of the nodes dies at once and comes back cold after For
	Crawl                 // a Share of the nodes is Factor times slower
	Deploy                // a Share of the nodes is replaced within For, some at a time
	Pause                 // the worker pools of a Share of the nodes stand still
	Storm                 // a Share of the callers tries without limit and heeds nothing
	Partition             // a Share of the nodes and a Factor of the callers can't reach each other; with 1 the list neither
	Stall                 // the processes of a Share of the nodes stand still
	Clock                 // the clocks of a Share of the nodes are Factor milliseconds ahead, or behind
	Loss                  // a Share of all messages is lost
	Outage                // the ensemble changes nothing
	Tame                  // a Share of the callers has a budget of retries of Factor and makes three tries
	Heed                  // a Share of the callers heeds credit and advice
	Hole                  // a Share of the nodes fails at once whatever reaches it
	Absurd                // a Share of the nodes tells a credit of Factor, and refuses with advice of a day
	Flap                  // a Share of the nodes leaves the list and comes back, over and over, each Factor seconds
)

// Kinds are the names of the kinds.
var Kinds = []string{"burst", "crash", "crawl", "deploy", "pause", "storm", "partition", "stall", "clock", "loss", "outage", "tame", "heed", "hole", "absurd", "flap"}

func (k Kind) String() string { return Kinds[k] }

// Trouble is something that goes wrong for a time. Troubles may overlap.
type Trouble struct {
	Kind          Kind
	At, For       float64
	Share, Factor float64
}

// Day is a day to be played.
type Day struct {
	Seed        vtime.Seed
	Nodes       int
	Ms          float64 // from the first request to the last
	Load        float64 // share of what the warm cores can do that clients ask for
	Cores       int
	Slow, Fast  Range // speeds of the two models, half of the nodes each
	Cold        Range // share of the speed of a cold node
	Ramp        Range
	CrowdAt     Range
	CrowdLoss   Range
	FallAt      float64
	Runs        float64 // running requests a core that fill the memory
	Classes     []Class
	Reading     float64 // share of the mean work that reading a request takes
	Spread      float64 // coefficient of variation of the work of one class
	Callers     []Habit
	Repeats     clients.Repeats
	Delay       Range   // of a message
	Loss        float64 // share of messages that are lost
	ListLag     float64 // callers hear of a change of the list so late
	Session     float64 // the ensemble keeps a silent node for so long
	Drain, Stop float64 // grace of the drain, and from the notice to the stop
	Subjects    int
	Troubles    []Trouble
	ColdFleet   bool    // all nodes start cold
	Only        []int   // numbers of the requests that are played, in order; nil: all
	Slack       float64 // beyond the grace of the rules, after which an answer is late
}

// Usual is the day of the operators of tunis-payouts without troubles: 14 nodes, the classes and habits of their page.
func Usual(seed vtime.Seed) Day {
	return Day{Seed: seed, Nodes: 14, Ms: 60000, Load: 0.6, Cores: 6, Slow: from(0.5, 0.7), Fast: from(1.1, 1.5), Cold: from(0.2, 0.6),
		Ramp: from(3000, 17000), CrowdAt: from(2, 4), CrowdLoss: from(0.03, 0.1), FallAt: 8, Runs: 16, Reading: 0.25, Spread: 0.45,
		Classes: []Class{
			{Name: "status-lookup", Share: 0.54, Aim: 3100, Deadline: 9300, Worth: 1, Late: 0.1, Work: from(240, 400), Sleep: from(180, 440), Write: false},
			{Name: "rate-quote", Share: 0.26, Aim: 1900, Deadline: 6200, Worth: 1, Late: 0.1, Work: from(170, 300), Sleep: from(71, 160), Write: false},
			{Name: "payout-book", Share: 0.20, Aim: 2500, Deadline: 7800, Worth: 3, Late: 0.2, Work: from(240, 400), Sleep: from(93, 210), Write: true},
		},
		Callers: []Habit{{Choice: Round, Heeds: true, Wait: 0.6}, {Choice: Least, Tries: 3, Heeds: true, Wait: 0.6},
			{Choice: Fastest, Tries: 2, Heeds: true, Wait: 0.6}, {Choice: ByKey, Wait: 0.6}},
		Repeats: clients.Repeats{After: from(2000, 6000), Most: 3},
		Delay:   from(0.5, 3), ListLag: 1500, Drain: 2000, Stop: 12000, Subjects: 10000, Slack: 50}
}

func from(low, high float64) Range { return Range{Low: low, High: high} }

// Settings are those of a node of the day.
func (d Day) Settings(cold bool) whinrudder.Settings {
	s := whinrudder.Settings{Servers: d.Nodes, Callers: len(d.Callers), Cores: d.Cores, Cold: cold, Memory: d.Runs * float64(d.Cores) * heldKB * runFactor,
		RunFactor: runFactor, EntryKB: 10, Halt: whinrudder.StopAbort, CreditMode: whinrudder.CreditWindow, HeardFor: heardFor, ReportsCancellation: true,
		PassesDeadline: true, Dependency: whinrudder.DependencyNone, DeepChecks: true, MaxRetryAfter: 1000, KeepAlive: 30000, Tick: 2,
		Rules: whinrudder.Rules{AnswerGrace: answerGrace, ColdFrom: d.Cold.Low, RampTime: d.Ramp.High, DrainGrace: d.Drain,
			FallMultiple: d.FallAt, FallWindow: fallWindow},
		Goal: whinrudder.Goal{Whole: 0.6, WorstClass: 0.2, WorstWindow: 0.2}}
	for _, c := range d.Classes {
		w := whinrudder.Class{Aim: c.Aim, Deadline: c.Deadline, Worth: c.Worth, LateWorth: c.Late, Repeat: whinrudder.Safe}
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
	p := workers.Params{Cores: d.Cores, Speed: d.Fast.At(r.Float64()), ColdFrom: d.Cold.At(r.Float64()),
		Ramp: d.Ramp.At(r.Float64()), CrowdAt: d.CrowdAt.At(r.Float64()), CrowdLoss: d.CrowdLoss.At(r.Float64()), FallAt: d.FallAt, FallWindow: fallWindow}
	if slow := d.Slow.At(r.Float64()); i%2 == 0 {
		p.Speed = slow
	}
	return p
}

// weight is what the operators gave a place: by its model, not by what it really is.
func (d Day) weight(i int) float64 {
	r := d.Fast
	if i%2 == 0 {
		r = d.Slow
	}
	return r.At(0.5)
}

// Clients returns those of the day.
func (d Day) Clients() clients.Params {
	figures := d.Seed.Split("classes", 0).Rand()
	p := clients.Params{Ms: d.Ms, Classes: d.Classes, Spread: d.Spread, Callers: len(d.Callers), Subjects: d.Subjects, Repeats: d.Repeats}
	mean := 0.0
	for _, c := range d.Classes {
		p.Run, p.Sleep = append(p.Run, c.Work.At(figures.Float64())), append(p.Sleep, c.Sleep.At(figures.Float64()))
		mean += c.Share * p.Run[len(p.Run)-1]
	}
	speed := 0.0
	for i := range d.Nodes {
		speed += d.machine(i).Speed * float64(d.Cores)
	}
	p.Read = mean * d.Reading
	p.Rate = d.Load * speed / (mean + p.Read)
	for _, t := range d.Troubles {
		if t.Kind == Burst {
			p.Surges = append(p.Surges, clients.Surge{From: t.At, To: t.At + t.For, Factor: t.Factor})
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
