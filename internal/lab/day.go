// Package lab holds experiments and measurements of the payout node.
//
// The warm-up experiment compares ways to start a node in virtual time: it runs the unchanged core and decision
// module against models of a worker pool and of its callers. A seed determines one day, which is drawn in advance;
// all variants play the same day, so that their results can be compared in pairs. The other files measure real nodes
// on loopback sockets: the warm-up, the throughput of the listeners, the memory under HTTP/2 floods, the cost of
// storing results and the effect of a stalled disk.
//
// Times held in float64 are milliseconds unless a comment says otherwise.
package lab

import (
	"math/rand/v2"

	"gonum.org/v1/gonum/stat/distuv"

	"whinrudder"
	"whinrudder/internal/emu/workers"
)

// classes are the request classes of the simulated days. The ranges are those of the operators of tunis-payouts.
// Times are in milliseconds; work is in milliseconds on a core of speed 1.
var classes = []struct {
	name                     string
	share                    float64 // share of the arrivals
	aimMs, deadlineMs, worth float64
	workLowMs, workHighMs    float64 // range of the mean work of a run
	sleepLowMs, sleepHighMs  float64 // range of the mean time that a run waits off the cores
	repeat                   whinrudder.Repeatability
	lateWorth, patienceRatio float64 // patienceRatio: share of the deadline for which a caller waits
}{
	{"status-lookup", 0.54, 3100, 9300, 1, 240, 400, 180, 440, whinrudder.Safe, 0.1, 0.6},
	{"rate-quote", 0.26, 1900, 6200, 1, 170, 300, 71, 160, whinrudder.Safe, 0.1, 0.6},
	{"payout-book", 0.20, 2500, 7800, 3, 240, 400, 93, 210, whinrudder.Unsafe, 0.2, 0.6},
}

// Classes returns the class names of the simulated days, in the order of the settings.
func Classes() (names []string) {
	for _, c := range classes {
		names = append(names, c.name)
	}
	return names
}

const (
	coresPerNode      = 6
	callerCount       = 4
	creditTTLMs       = 1000 // age at which callers stop honoring a credit value
	gaugeDelayMs      = 0.2  // time the worker pool takes to answer a poll
	meanRequestKB     = 39.0 // mean size of a request
	runFactor         = 16.0 // memory of a running request as a multiple of its size
	memoryRunsPerCore = 16   // running requests per core that fill the memory
)

// nodeSettings returns the settings of a node in the simulated days.
func nodeSettings(cold bool) whinrudder.Settings {
	s := whinrudder.Settings{Servers: 12, Callers: callerCount, Cores: coresPerNode, Cold: cold,
		Memory: memoryRunsPerCore * coresPerNode * meanRequestKB * runFactor, RunFactor: runFactor, EntryKB: 10,
		Halt:       whinrudder.StopAbort,
		CreditMode: whinrudder.CreditWindow, HeardFor: creditTTLMs, ReportsCancellation: true, PassesDeadline: true,
		Dependency: whinrudder.DependencyNone,
		DeepChecks: true, MaxRetryAfter: 1000, KeepAlive: 30000, Tick: 2,
		Rules: whinrudder.Rules{AnswerGrace: 80, ColdFrom: 0.2, RampTime: 17000, DrainGrace: 2000, FallMultiple: 8,
			FallWindow: 1500},
		Goal: whinrudder.Goal{Whole: 0.6, WorstClass: 0.2, WorstWindow: 0.2}}
	for _, c := range classes {
		s.Classes = append(s.Classes, whinrudder.Class{Aim: c.aimMs, Deadline: c.deadlineMs, Worth: c.worth,
			LateWorth: c.lateWorth, Repeat: c.repeat})
	}
	return s
}

// arrival is the first attempt of a request, which a caller wants to send to the node under test.
type arrival struct {
	at     float64
	class  int
	caller int
	coin   float64 // 0 to 1: decides whether the fractional part of a credit allows this attempt
	rank   float64 // value of the Req-Rank field
	kb     float64 // value of the Req-Kb field
	wait   float64 // how long the caller waits for this attempt
	work   workers.Work
}

// traffic describes the requests of a fleet's callers. It does not depend on the machine that serves them.
type traffic struct {
	workMeans, sleepMeans []float64 // mean work and mean waiting time of a run, by class
	workCV                float64   // coefficient of variation of the work within a class
	readRatio             float64   // work of reading a request, as a share of the mean work
	honorsCredit          []bool    // whether each caller honors the credit
}

// drawMachine draws a machine of one of the two models; each makes up half of a fleet. The old one is slower.
func drawMachine(rng *rand.Rand, oldModel bool) workers.Params {
	p := workers.Params{Cores: coresPerNode, Speed: uniform(rng, 1.1, 1.5), ColdSpeedRatio: uniform(rng, 0.2, 0.6),
		RampTime: uniform(rng, 3000, 17000), ContentionThreshold: uniform(rng, 2, 4),
		ContentionLoss: uniform(rng, 0.03, 0.1), OverloadThreshold: 8, OverloadWindow: 1500}
	slow := uniform(rng, 0.5, 0.7)
	if oldModel {
		p.Speed = slow
	}
	if work := uniform(rng, 10, 40) * 1000 * coresPerNode; rng.Float64() < 0.5 {
		p.RampWork = work // it warms up with the work done, or after RampTime if that comes first
	}
	return p
}

// drawTraffic draws the traffic of a day.
func drawTraffic(rng *rand.Rand) traffic {
	t := traffic{workCV: uniform(rng, 0.2, 0.7), readRatio: uniform(rng, 0.22, 0.28)}
	for _, c := range classes {
		t.workMeans = append(t.workMeans, uniform(rng, c.workLowMs, c.workHighMs))
		t.sleepMeans = append(t.sleepMeans, uniform(rng, c.sleepLowMs, c.sleepHighMs))
	}
	for range callerCount {
		t.honorsCredit = append(t.honorsCredit, rng.Float64() < 0.9)
	}
	return t
}

// meanWork returns the mean work of a request, including the work of reading it.
func (t traffic) meanWork() (work float64) {
	for i, c := range classes {
		work += c.share * t.workMeans[i]
	}
	return work * (1 + t.readRatio)
}

// drawArrivals draws the attempts between two times. At their mean rate, the offered work is the share load of the
// machine's capacity when it is warm.
func (t traffic) drawArrivals(rng *rand.Rand, machine workers.Params, load, from, to float64) (out []arrival) {
	meanGap := t.meanWork() / (machine.Speed * coresPerNode * load)
	mean := 0.0
	for i, c := range classes {
		mean += c.share * t.workMeans[i]
	}
	gaps := distuv.Exponential{Rate: 1 / meanGap, Src: rng}
	for at := from + gaps.Rand(); at < to; at += gaps.Rand() {
		a := arrival{at: at, caller: rng.IntN(callerCount), coin: rng.Float64(), rank: rng.Float64(),
			kb: uniform(rng, 22, 56)}
		for x := rng.Float64(); a.class < len(classes)-1 && x >= classes[a.class].share; a.class++ {
			x -= classes[a.class].share
		}
		a.wait = classes[a.class].deadlineMs * classes[a.class].patienceRatio
		a.work = workers.Work{Read: mean * t.readRatio, Run: drawLogNormal(rng, t.workMeans[a.class], t.workCV),
			Sleep: drawLogNormal(rng, t.sleepMeans[a.class], 0.3)}
		out = append(out, a)
	}
	return out
}

// drawLogNormal draws from the log-normal distribution with the given mean and coefficient of variation.
func drawLogNormal(rng *rand.Rand, mean, cv float64) float64 {
	d := logNormal(mean, cv)
	d.Src = rng
	return d.Rand()
}

// uniform draws from the uniform distribution between low and high.
func uniform(rng *rand.Rand, low, high float64) float64 { return low + (high-low)*rng.Float64() }

// stream returns the random number generator of a seed for one purpose. Draws for one purpose do not affect another's.
func stream(seed uint64, purpose string) *rand.Rand {
	return rand.New(rand.NewPCG(seed, xxhash64(purpose)))
}
