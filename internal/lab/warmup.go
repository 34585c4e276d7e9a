package lab

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"whinrudder"
	"whinrudder/internal/core"
	"whinrudder/internal/emu/workers"
	"whinrudder/internal/knowledge"
)

// Times and limits of the warm-up experiment.
const (
	donorUptimeMs  = 90000              // how long a donor has served before it provides its knowledge
	dayStartMs     = 120000             // when the successors start
	dayEndMs       = dayStartMs + 60000 // end of the arrivals
	drainPeriodMs  = 10000              // extra time after dayEndMs for the last answers
	twinUptimeMs   = 30000              // how long a twin has served before the successors start
	transferMs     = 150                // duration of the transfer of knowledge
	staleAgeMs     = 600e3              // age of the knowledge of a stale donor
	worthWindowMs  = 3000               // length of the sliding window in which worth is summed
	windowStepMs   = 500                // step of that window
	steadyPeriodMs = 20000              // how long the worth must stay near the twin's to count as steady
	firstPeriodMs  = 20000              // period over which FirstShare is computed
	steadyRatio    = 0.95               // least share of the twin's worth that counts as steady
	successorCount = 10                 // nodes that start at once, as after a rolling deploy, each with its own arrivals
)

// LoadRange is the range from which the load is drawn: the offered work as a share of a warm machine's capacity.
// The bounds are inclusive.
type LoadRange struct{ Low, High float64 }

// warmDay is the day of one seed, which all variants share.
type warmDay struct {
	seed       uint64
	machine    workers.Params
	traffic    traffic
	load       float64     // offered work as a share of the warm machine's capacity
	arrivals   [][]arrival // by successor
	twinServed [][]float64 // by successor and arrival: when the warm twin answered it on time, 0 if it did not
}

// newWarmDay draws a day and plays the twins. A twin is a warm node on the same machine that has already served the
// same traffic for a while when its successor starts; it defines the steady state for each arrival.
func newWarmDay(seed uint64, load LoadRange) (*warmDay, error) {
	d := &warmDay{seed: seed}
	rng := stream(seed, "machine")
	d.machine = drawMachine(rng, rng.Float64() < 0.5)
	d.traffic = drawTraffic(stream(seed, "traffic"))
	d.load = uniform(stream(seed, "load"), load.Low, load.High)
	return d, d.drawArrivals("arrivals")
}

// drawArrivals draws the arrivals of all successors and plays the twins on them.
func (d *warmDay) drawArrivals(purpose string) error {
	warm := d.machine
	warm.ColdSpeedRatio = 1
	d.arrivals, d.twinServed = nil, nil
	for i := range successorCount {
		rng := stream(d.seed, fmt.Sprint(purpose, i))
		past := d.traffic.drawArrivals(rng, d.machine, d.load, dayStartMs-twinUptimeMs, dayStartMs)
		day := d.traffic.drawArrivals(rng, d.machine, d.load, dayStartMs, dayEndMs)
		node, err := newSimNode(warm, d.traffic, append(past, day...), dayStartMs-twinUptimeMs)
		if err != nil {
			return err
		}
		node.run(dayEndMs + drainPeriodMs)
		d.arrivals, d.twinServed = append(d.arrivals, day), append(d.twinServed, node.served[len(past):])
	}
	return nil
}

// playDonor plays a donor for donorUptimeMs and returns the report that it provides.
func (d *warmDay) playDonor(name string, oldModel bool, t traffic) (knowledge.Report, error) {
	rng := stream(d.seed, name)
	donorMachine := drawMachine(rng, oldModel)
	donorMachine.ColdSpeedRatio = 1
	node, err := newSimNode(donorMachine, t, t.drawArrivals(rng, donorMachine, d.load, 0, donorUptimeMs), 0)
	if err != nil {
		return knowledge.Report{}, err
	}
	node.run(donorUptimeMs)
	var r knowledge.Report
	node.submit(core.QueryKnowledge{Reply: func(k whinrudder.Knowledge, _ bool) {
		r = knowledge.NewReport(Classes(), k)
	}})
	r.Node, r.Uptime, r.Cores, r.Warm = name, donorUptimeMs, coresPerNode, true
	return r, r.Check()
}

// corrupted multiplies or divides each learned value of a report by 10. All waits of a class change by the same factor.
func corrupted(rng *rand.Rand, r knowledge.Report) knowledge.Report {
	r.Node = "wrong"
	r.Classes = slices.Clone(r.Classes)
	factor := func() float64 {
		if rng.Float64() < 0.5 {
			return 10
		}
		return 0.1
	}
	for i := range r.Classes {
		c := &r.Classes[i]
		c.Cost.Time *= factor()
		c.Share *= factor()
		c.Waits = slices.Clone(c.Waits)
		waitFactor := factor()
		for j := range c.Waits {
			c.Waits[j] *= waitFactor
		}
	}
	r.Limit.Value *= factor()
	return r
}

// driftedTraffic returns the traffic of some minutes earlier, when the classes took different work.
func driftedTraffic(rng *rand.Rand, t traffic) traffic {
	earlier := t
	earlier.workMeans, earlier.sleepMeans = nil, nil
	for i := range t.workMeans {
		earlier.workMeans = append(earlier.workMeans, t.workMeans[i]*uniform(rng, 0.6, 1.6))
		earlier.sleepMeans = append(earlier.sleepMeans, t.sleepMeans[i]*uniform(rng, 0.6, 1.6))
	}
	return earlier
}

// Variants are the ways in which successors start. The variant again is a cold start with other arrivals, which shows
// the noise of the comparison.
var Variants = []string{"cold", "again", "fresh", "other-model", "stale", "wrong", "two-good-one-wrong"}

// reports returns the donors' reports that the successors of a variant adopt.
func (d *warmDay) reports(variant string) (out []knowledge.Report, err error) {
	oldModel := d.machine.Speed < 0.9
	donorReport := func(name string, ofOldModel bool, t traffic) knowledge.Report {
		r, e := d.playDonor(name, ofOldModel, t)
		if e != nil && err == nil {
			err = fmt.Errorf("donor %s: %w", name, e)
		}
		return r
	}
	switch variant {
	case "fresh":
		out = append(out, donorReport("fresh", oldModel, d.traffic))
	case "other-model":
		out = append(out, donorReport("other", !oldModel, d.traffic))
	case "stale":
		earlier := driftedTraffic(stream(d.seed, "drift"), d.traffic)
		out = append(out, donorReport("stale", oldModel, earlier).AgedBy(staleAgeMs))
	case "wrong":
		out = append(out, corrupted(stream(d.seed, "wrong"), donorReport("fresh", oldModel, d.traffic)))
	case "two-good-one-wrong":
		out = append(out, donorReport("fresh", oldModel, d.traffic), donorReport("other", !oldModel, d.traffic),
			corrupted(stream(d.seed, "wrong"), donorReport("third", oldModel, d.traffic)))
	}
	return out, err
}

// outcome is the result of the successors of one variant.
type outcome struct {
	served   [][]float64 // by successor and arrival: when it was answered on time, 0 if it was not
	crashes  int         // worker pools that crashed
	logLines []string    // log of all successors' cores
}

// play plays the successors. With reports, they adopt the merged reports after the transfer time.
func (d *warmDay) play(reports []knowledge.Report) (o outcome, err error) {
	recipient := knowledge.Recipient{ClassNames: Classes(), Settings: nodeSettings(true)}
	prior, _ := knowledge.Merge(knowledge.DefaultTrustParams, recipient, reports)
	for _, day := range d.arrivals {
		node, err := newSimNode(d.machine, d.traffic, day, dayStartMs)
		if err != nil {
			return o, err
		}
		node.run(dayStartMs + transferMs)
		if len(reports) > 0 {
			node.submit(core.AdoptPrior{Prior: prior})
		}
		node.run(dayEndMs + drainPeriodMs)
		o.served, o.logLines = append(o.served, node.served), append(o.logLines, node.logLines...)
		if node.poolCrashed {
			o.crashes++
		}
	}
	return o, nil
}

// onTimeWorth returns the worth of the requests that arrived within a window and were answered on time.
func (d *warmDay) onTimeWorth(served [][]float64, from, to float64) (sum float64) {
	for s, day := range d.arrivals {
		for i, a := range day {
			if a.at >= from && a.at < to && served[s][i] > 0 {
				sum += classes[a.class].worth
			}
		}
	}
	return sum
}

// timeToSteady returns the time after the start from which the successors keep at least steadyRatio of their twins'
// worth for steadyPeriodMs, or the length of the day if that never happens.
func (d *warmDay) timeToSteady(served [][]float64) float64 {
	steadySince := 0.0
	for at := 0.0; at+worthWindowMs <= dayEndMs-dayStartMs; at += windowStepMs {
		worth, twinWorth := d.onTimeWorth(served, dayStartMs+at, dayStartMs+at+worthWindowMs),
			d.onTimeWorth(d.twinServed, dayStartMs+at, dayStartMs+at+worthWindowMs)
		switch {
		case worth < steadyRatio*twinWorth:
			steadySince = at + windowStepMs
		case at-steadySince >= steadyPeriodMs:
			return steadySince
		}
	}
	return dayEndMs - dayStartMs
}

// withOtherArrivals returns the same day with other arrivals. Differences between the two days are noise.
func (d *warmDay) withOtherArrivals() (*warmDay, error) {
	o := *d
	return &o, o.drawArrivals("arrivals of another day")
}
