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

// Times of the warm-up experiment.
const (
	donorFor   = 90000  // how long a donor has served before it gives
	dayFrom    = 120000 // the successors start
	dayTo      = dayFrom + 60000
	dayAfter   = 10000 // the day is played on for so long, until all is answered
	twinFor    = 30000 // how long a twin has served when the successors start
	takenFor   = 150   // the transfer takes so long
	staleFor   = 600e3 // age of a stale donor's knowledge
	window     = 3000  // worth is counted over so long
	windowBy   = 500   // and looked at so often
	staysFor   = 20000 // what stays for so long is steady
	firstFor   = 20000 // the worth of the start is counted over so long
	steadyLow  = 0.95  // of the worth of the twin
	successors = 10    // that start at once, as after a rolling deploy, each with traffic of its own
)

// LoadRange is the range of the share of a warm machine's cores that callers ask for.
type LoadRange struct{ Low, High float64 }

// warmDay is what one seed gives to all variants.
type warmDay struct {
	seed    uint64
	machine workers.Params
	traffic traffic
	load    float64
	streams [][]arrival // of the successors
	twin    [][]float64 // when the warm twin of each had answered each arrival
}

// newWarmDay draws a day and plays the twins: nodes on the same machine that have served the same traffic for a while
// when the successors start. They are the steady state, arrival by arrival.
func newWarmDay(seed uint64, load LoadRange) (*warmDay, error) {
	d := &warmDay{seed: seed}
	rng := stream(seed, "machine")
	d.machine = machine(rng, rng.Float64() < 0.5)
	d.traffic = drawTraffic(stream(seed, "traffic"))
	d.load = between(stream(seed, "load"), load.Low, load.High)
	return d, d.draw("arrivals")
}

// draw draws the arrivals and plays the twins on them.
func (d *warmDay) draw(purpose string) error {
	warm := d.machine
	warm.ColdSpeedRatio = 1
	d.streams, d.twin = nil, nil
	for i := range successors {
		rng := stream(d.seed, fmt.Sprint(purpose, i))
		past := d.traffic.arrivals(rng, d.machine, d.load, dayFrom-twinFor, dayFrom)
		day := d.traffic.arrivals(rng, d.machine, d.load, dayFrom, dayTo)
		h, err := newHost(warm, d.traffic, append(past, day...), dayFrom-twinFor)
		if err != nil {
			return err
		}
		h.run(dayTo + dayAfter)
		d.streams, d.twin = append(d.streams, day), append(d.twin, h.served[len(past):])
	}
	return nil
}

// donor plays a donor's life and returns what it would give.
func (d *warmDay) donor(name string, old bool, t traffic) (knowledge.Report, error) {
	rng := stream(d.seed, name)
	m := machine(rng, old)
	m.ColdSpeedRatio = 1
	h, err := newHost(m, t, t.arrivals(rng, m, d.load, 0, donorFor), 0)
	if err != nil {
		return knowledge.Report{}, err
	}
	h.run(donorFor)
	var r knowledge.Report
	h.tell(core.QueryKnowledge{Reply: func(k whinrudder.Knowledge, _ bool) { r = knowledge.NewReport(Classes(), k) }})
	r.Node, r.Uptime, r.Cores, r.Warm = name, donorFor, cores, true
	return r, r.Check()
}

// wrong makes each field of a report wrong by a factor of 10, up or down.
func wrong(rng *rand.Rand, r knowledge.Report) knowledge.Report {
	r.Node = "wrong"
	r.Classes = slices.Clone(r.Classes)
	by := func() float64 {
		if rng.Float64() < 0.5 {
			return 10
		}
		return 0.1
	}
	for i := range r.Classes {
		c := &r.Classes[i]
		c.Cost.Time *= by()
		c.Share *= by()
		c.Waits = slices.Clone(c.Waits)
		f := by()
		for j := range c.Waits {
			c.Waits[j] *= f
		}
	}
	r.Limit.Value *= by()
	return r
}

// drifted is the traffic of a fleet some minutes ago: its classes took other work then.
func drifted(rng *rand.Rand, t traffic) traffic {
	was := t
	was.mean, was.sleep = nil, nil
	for i := range t.mean {
		was.mean = append(was.mean, t.mean[i]*between(rng, 0.6, 1.6))
		was.sleep = append(was.sleep, t.sleep[i]*between(rng, 0.6, 1.6))
	}
	return was
}

// Variants are the ways in which successors start: again is a cold one with other traffic, which shows the noise.
var Variants = []string{"cold", "again", "fresh", "other-model", "stale", "wrong", "two-good-one-wrong"}

// reports returns what the successors of a variant are fed.
func (d *warmDay) reports(variant string) (out []knowledge.Report, err error) {
	old := d.machine.Speed < 0.9
	give := func(name string, old bool, t traffic) knowledge.Report {
		r, e := d.donor(name, old, t)
		if e != nil && err == nil {
			err = fmt.Errorf("donor %s: %w", name, e)
		}
		return r
	}
	switch variant {
	case "fresh":
		out = append(out, give("fresh", old, d.traffic))
	case "other-model":
		out = append(out, give("other", !old, d.traffic))
	case "stale":
		was := drifted(stream(d.seed, "drift"), d.traffic)
		out = append(out, give("stale", old, was).AgedBy(staleFor))
	case "wrong":
		out = append(out, wrong(stream(d.seed, "wrong"), give("fresh", old, d.traffic)))
	case "two-good-one-wrong":
		out = append(out, give("fresh", old, d.traffic), give("other", !old, d.traffic),
			wrong(stream(d.seed, "wrong"), give("third", old, d.traffic)))
	}
	return out, err
}

// outcome is how the successors of one variant fared.
type outcome struct {
	served [][]float64
	fell   int
	lines  []string
}

// play plays the successors, fed by some reports or by none.
func (d *warmDay) play(reports []knowledge.Report) (o outcome, err error) {
	need := knowledge.Recipient{ClassNames: Classes(), Settings: nodeSettings(true)}
	prior, _ := knowledge.Merge(knowledge.DefaultTrustParams, need, reports)
	for _, day := range d.streams {
		h, err := newHost(d.machine, d.traffic, day, dayFrom)
		if err != nil {
			return o, err
		}
		h.run(dayFrom + takenFor)
		if len(reports) > 0 {
			h.tell(core.AdoptPrior{Prior: prior})
		}
		h.run(dayTo + dayAfter)
		o.served, o.lines = append(o.served, h.served), append(o.lines, h.lines...)
		if h.fell {
			o.fell++
		}
	}
	return o, nil
}

// worth sums what was answered in time of what came within a window.
func (d *warmDay) worth(served [][]float64, from, to float64) (sum float64) {
	for s, day := range d.streams {
		for i, a := range day {
			if a.at >= from && a.at < to && served[s][i] > 0 {
				sum += classes[a.class].worth
			}
		}
	}
	return sum
}

// steady returns how long after their start the successors stay within a twentieth of their twins' worth for staysFor;
// the whole day if they never do.
func (d *warmDay) steady(served [][]float64) float64 {
	since := 0.0
	for at := 0.0; at+window <= dayTo-dayFrom; at += windowBy {
		got, want := d.worth(served, dayFrom+at, dayFrom+at+window), d.worth(d.twin, dayFrom+at, dayFrom+at+window)
		switch {
		case got < steadyLow*want:
			since = at + windowBy
		case at-since >= staysFor:
			return since
		}
	}
	return dayTo - dayFrom
}

// again returns the same day with other arrivals: what differs between it and the day is noise.
func (d *warmDay) again() (*warmDay, error) {
	o := *d
	return &o, o.draw("arrivals of another day")
}
