// Package fleet plays days of a whole fleet in virtual time: nodes before modelled worker pools, callers with habits, a list
// of nodes that hears late, a network with delay, troubles. One seed gives one day; what decides inside the nodes is the
// only difference between two plays of it.
//
// Times are milliseconds, work is milliseconds of a standard core.
package fleet

import (
	"cmp"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat/distuv"

	"whinrudder"
	"whinrudder/internal/emu/workers"
	"whinrudder/internal/vtime"
)

// Range is where a figure is drawn from, evenly.
type Range struct{ Low, High float64 }

func (r Range) draw(rng interface{ Float64() float64 }) float64 {
	return r.Low + (r.High-r.Low)*rng.Float64()
}

// Class is one class of requests.
type Class struct {
	Name                       string
	Share                      float64
	Aim, Deadline, Worth, Late float64 // Late is the share of the worth that is left after the aim
	Work, Sleep                Range   // of the mean of a day
	Write                      bool    // it must never run twice
}

// Choice is how a caller chooses among nodes.
type Choice uint8

// The choices.
const (
	Round   Choice = iota // one after the other
	Least                 // the fewest of its own requests out
	Fastest               // the lowest mean latency that it saw
	ByKey                 // by what the request is about
)

// Habit is what a caller does.
type Habit struct {
	Choice Choice
	Tries  int     // of one request, at most; 0: without limit
	Heeds  bool    // credit and advice
	Wait   float64 // share of the deadline that it waits for a try
}

// Kind is a kind of trouble.
type Kind uint8

// The kinds of troubles.
const (
	Burst  Kind = iota // traffic is Factor times the usual
	Crash              // a Share of the nodes dies at once and comes back cold after For
	Crawl              // a Share of the nodes is Factor times slower
	Deploy             // a Share of the nodes is replaced within For, some at a time
	Pause              // a Share of the nodes stands still
)

func (k Kind) String() string { return [...]string{"burst", "crash", "crawl", "deploy", "pause"}[k] }

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
	Classes     []Class
	Reading     float64 // share of the mean work that reading a request takes
	Spread      float64 // coefficient of variation of the work of one class
	Callers     []Habit
	Delay       Range   // of a message
	ListLag     float64 // the list is so late
	Drain, Stop float64 // grace of the drain, and from the notice to the stop
	Subjects    int
	Troubles    []Trouble
	ColdFleet   bool // all nodes start cold
}

// Usual is the day of the operators of tunis-payouts without troubles: 14 nodes, the classes and habits of their page.
func Usual(seed vtime.Seed) Day {
	return Day{Seed: seed, Nodes: 14, Ms: 60000, Load: 0.6, Cores: 6, Slow: Range{0.5, 0.7}, Fast: Range{1.1, 1.5}, Cold: Range{0.2, 0.6},
		Ramp: Range{3000, 17000}, CrowdAt: Range{2, 4}, CrowdLoss: Range{0.03, 0.1}, FallAt: 8, Reading: 0.25, Spread: 0.45,
		Classes: []Class{
			{"status-lookup", 0.54, 3100, 9300, 1, 0.1, Range{240, 400}, Range{180, 440}, false},
			{"rate-quote", 0.26, 1900, 6200, 1, 0.1, Range{170, 300}, Range{71, 160}, false},
			{"payout-book", 0.20, 2500, 7800, 3, 0.2, Range{240, 400}, Range{93, 210}, true},
		},
		Callers: []Habit{{Round, 0, true, 0.6}, {Least, 3, true, 0.6}, {Fastest, 2, true, 0.6}, {ByKey, 0, false, 0.6}},
		Delay:   Range{0.5, 3}, ListLag: 1500, Drain: 2000, Stop: 12000, Subjects: 10000}
}

// Settings are those of a node of the day.
func (d Day) Settings(cold bool) whinrudder.Settings {
	s := whinrudder.Settings{Servers: d.Nodes, Callers: len(d.Callers), Cores: d.Cores, Cold: cold, Memory: 16 * float64(d.Cores) * 39 * 16,
		RunFactor: 16, EntryKB: 10, Halt: whinrudder.HaltAbort, Say: whinrudder.SayWindow, HeardFor: heardFor, TellsGone: true,
		PassesDeadline: true, Below: whinrudder.BelowNone, DeepChecks: true, MaxRetryAfter: 1000, KeepAlive: 30000, Tick: 2,
		Rules: whinrudder.Rules{AnswerGrace: 80, ColdFrom: d.Cold.Low, RampTime: d.Ramp.High, DrainGrace: d.Drain,
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

// slack is how long after its due time an answer counts: the grace of the rules and what sockets are allowed.
func (d Day) slack() float64 { return 80 + 50 }

const (
	heardFor   = 1000.0 // a credit is heeded for so long
	fallWindow = 1500.0
	gaugeAfter = 0.2 // answers of the worker pool to a poll take so long
)

// request is what a client wants.
type request struct {
	no      int
	at      float64
	class   int
	caller  int
	subject int
	coin    float64
	rank    float64
	kb      float64
	work    workers.Work
}

// machine draws the worker pool of a place in the fleet; it stays the same over its lives.
func (d Day) machine(i int) workers.Params {
	r := d.Seed.Split("machine", i).Rand()
	p := workers.Params{Cores: d.Cores, Speed: d.Fast.draw(r), ColdFrom: d.Cold.draw(r), Ramp: d.Ramp.draw(r), CrowdAt: d.CrowdAt.draw(r),
		CrowdLoss: d.CrowdLoss.draw(r), FallAt: d.FallAt, FallWindow: fallWindow}
	if slow := d.Slow.draw(r); i%2 == 0 {
		p.Speed = slow
	}
	return p
}

// draw draws all requests of a day, in order.
func (d Day) draw() (all []request) {
	figures := d.Seed.Split("classes", 0).Rand()
	var run, sleep []float64
	mean := 0.0
	for _, c := range d.Classes {
		run, sleep = append(run, c.Work.draw(figures)), append(sleep, c.Sleep.draw(figures))
		mean += c.Share * run[len(run)-1]
	}
	speed := 0.0
	for i := range d.Nodes {
		speed += d.machine(i).Speed * float64(d.Cores)
	}
	usual := d.Load * speed / (mean * (1 + d.Reading)) // requests a millisecond
	most := usual
	for _, t := range d.Troubles {
		if t.Kind == Burst {
			most *= max(1, t.Factor)
		}
	}
	arrive := distuv.Exponential{Rate: most, Src: d.Seed.Split("arrivals", 0).Rand()}
	thin, what := d.Seed.Split("thin", 0).Rand(), d.Seed.Split("requests", 0).Rand()
	v := math.Log(1 + d.Spread*d.Spread)
	long := distuv.LogNormal{Mu: -v / 2, Sigma: math.Sqrt(v), Src: d.Seed.Split("work", 0).Rand()}
	for at := arrive.Rand(); at < d.Ms; at += arrive.Rand() {
		rate := usual
		for _, t := range d.Troubles {
			if t.Kind == Burst && at >= t.At && at < t.At+t.For {
				rate *= t.Factor
			}
		}
		if thin.Float64()*most >= rate {
			continue
		}
		q := request{no: len(all), at: at, caller: what.IntN(len(d.Callers)), coin: what.Float64(), rank: what.Float64(), kb: 22 + 34*what.Float64(),
			subject: int(float64(d.Subjects) * math.Pow(what.Float64(), 3))} // few are far more popular than the rest
		for x := what.Float64(); q.class < len(d.Classes)-1 && x >= d.Classes[q.class].Share; q.class++ {
			x -= d.Classes[q.class].Share
		}
		q.work = workers.Work{Read: mean * d.Reading, Run: run[q.class] * long.Rand(), Sleep: sleep[q.class]}
		all = append(all, q)
	}
	return all
}

// some draws which nodes a trouble hits.
func (d Day) some(i int, t Trouble) []int {
	n := int(math.Ceil(t.Share * float64(d.Nodes)))
	all := d.Seed.Split("trouble", i).Rand().Perm(d.Nodes)
	out := all[:min(n, d.Nodes)]
	slices.SortFunc(out, func(a, b int) int { return cmp.Compare(a, b) })
	return out
}
