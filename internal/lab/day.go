// Package lab plays experiments in virtual time: the core with the decision module, unchanged, before a model of a
// worker pool and of its callers. One seed gives one day, drawn ahead, and all variants of an experiment play the same
// day, so that they are compared in pairs.
//
// Times are milliseconds.
package lab

import (
	"math/rand/v2"

	"gonum.org/v1/gonum/stat/distuv"

	"whinrudder"
	"whinrudder/internal/emu/workers"
)

// The habits and figures of the days: the ranges in which the operators of tunis-payouts have them.
var classes = []struct {
	name                  string
	share                 float64
	aim, deadline, worth  float64
	workLow, workHigh     float64
	sleepLow, sleepHigh   float64
	repeat                whinrudder.Repeatability
	lateWorth, patienceOf float64
}{
	{"status-lookup", 0.54, 3100, 9300, 1, 240, 400, 180, 440, whinrudder.Safe, 0.1, 0.6},
	{"rate-quote", 0.26, 1900, 6200, 1, 170, 300, 71, 160, whinrudder.Safe, 0.1, 0.6},
	{"payout-book", 0.20, 2500, 7800, 3, 240, 400, 93, 210, whinrudder.Unsafe, 0.2, 0.6},
}

// Classes returns the names of the classes of the days, in the order of the settings.
func Classes() (names []string) {
	for _, c := range classes {
		names = append(names, c.name)
	}
	return names
}

const (
	cores      = 6
	callers    = 4
	heardFor   = 1000
	gaugeAfter = 0.2 // answers of the worker pool to a poll take so long
	heldKB     = 39.0
	runFactor  = 16.0
	runsFill   = 16 // running requests a core that fill the memory
)

// nodeSettings are those of a node of the days.
func nodeSettings(cold bool) whinrudder.Settings {
	s := whinrudder.Settings{Servers: 12, Callers: callers, Cores: cores, Cold: cold,
		Memory: runsFill * cores * heldKB * runFactor, RunFactor: runFactor, EntryKB: 10, Halt: whinrudder.StopAbort,
		CreditMode: whinrudder.CreditWindow, HeardFor: heardFor, ReportsCancellation: true, PassesDeadline: true, Dependency: whinrudder.DependencyNone,
		DeepChecks: true, MaxRetryAfter: 1000, KeepAlive: 30000, Tick: 2,
		Rules: whinrudder.Rules{AnswerGrace: 80, ColdFrom: 0.2, RampTime: 17000, DrainGrace: 2000, FallMultiple: 8,
			FallWindow: 1500},
		Goal: whinrudder.Goal{Whole: 0.6, WorstClass: 0.2, WorstWindow: 0.2}}
	for _, c := range classes {
		s.Classes = append(s.Classes, whinrudder.Class{Aim: c.aim, Deadline: c.deadline, Worth: c.worth,
			LateWorth: c.lateWorth, Repeat: c.repeat})
	}
	return s
}

// arrival is one first try that wants to go to the node under test.
type arrival struct {
	at     float64
	class  int
	caller int
	coin   float64 // 0 to 1: whether the last place of a broken credit is used
	rank   float64
	kb     float64
	wait   float64 // how long its caller waits for this try
	work   workers.Work
}

// traffic is what a fleet's callers ask: it does not belong to one machine.
type traffic struct {
	mean, sleep []float64 // of each class
	cv          float64   // of the work of one class
	reading     float64   // share of the mean work that reading takes
	heeds       []bool    // whether each caller heeds the credit
}

// machine draws one of the two models: half of a fleet has each.
func machine(rng *rand.Rand, old bool) workers.Params {
	p := workers.Params{Cores: cores, Speed: between(rng, 1.1, 1.5), ColdSpeedRatio: between(rng, 0.2, 0.6),
		RampTime: between(rng, 3000, 17000), ContentionThreshold: between(rng, 2, 4), ContentionLoss: between(rng, 0.03, 0.1), OverloadThreshold: 8,
		OverloadWindow: 1500}
	slow := between(rng, 0.5, 0.7)
	if old {
		p.Speed = slow
	}
	if work := between(rng, 10, 40) * 1000 * cores; rng.Float64() < 0.5 {
		p.RampWork = work // it warms by what it does, and by the time at the latest
	}
	return p
}

func drawTraffic(rng *rand.Rand) traffic {
	t := traffic{cv: between(rng, 0.2, 0.7), reading: between(rng, 0.22, 0.28)}
	for _, c := range classes {
		t.mean = append(t.mean, between(rng, c.workLow, c.workHigh))
		t.sleep = append(t.sleep, between(rng, c.sleepLow, c.sleepHigh))
	}
	for range callers {
		t.heeds = append(t.heeds, rng.Float64() < 0.9)
	}
	return t
}

// meanWork is the mean work of one request, its reading included.
func (t traffic) meanWork() (work float64) {
	for i, c := range classes {
		work += c.share * t.mean[i]
	}
	return work * (1 + t.reading)
}

// arrivals draws the tries from one time to another, as many as take the given share of the machine's cores.
func (t traffic) arrivals(rng *rand.Rand, p workers.Params, load, from, to float64) (out []arrival) {
	gap := t.meanWork() / (p.Speed * cores * load)
	mean := 0.0
	for i, c := range classes {
		mean += c.share * t.mean[i]
	}
	next := distuv.Exponential{Rate: 1 / gap, Src: rng}
	for at := from + next.Rand(); at < to; at += next.Rand() {
		a := arrival{at: at, caller: rng.IntN(callers), coin: rng.Float64(), rank: rng.Float64(), kb: between(rng, 22, 56)}
		for x := rng.Float64(); a.class < len(classes)-1 && x >= classes[a.class].share; a.class++ {
			x -= classes[a.class].share
		}
		a.wait = classes[a.class].deadline * classes[a.class].patienceOf
		a.work = workers.Work{Read: mean * t.reading, Run: longTailed(rng, t.mean[a.class], t.cv),
			Sleep: longTailed(rng, t.sleep[a.class], 0.3)}
		out = append(out, a)
	}
	return out
}

// longTailed draws from a log-normal distribution of a mean and a coefficient of variation.
func longTailed(rng *rand.Rand, mean, cv float64) float64 {
	d := logNormal(mean, cv)
	d.Src = rng
	return d.Rand()
}

func between(rng *rand.Rand, low, high float64) float64 { return low + (high-low)*rng.Float64() }

// stream returns the random numbers of one purpose of a seed: another purpose's draws don't shift them.
func stream(seed uint64, purpose string) *rand.Rand {
	return rand.New(rand.NewPCG(seed, xxhash64(purpose)))
}
