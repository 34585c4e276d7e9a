// Package study compares policies on families of days: all play the same days, and what is told are the differences in
// pairs, with intervals by bootstrap.
package study

import (
	"fmt"
	"io"
	"math/rand/v2"
	"runtime"
	"slices"

	"github.com/valyala/fastjson"
	"gonum.org/v1/gonum/stat"

	"whinrudder"
	"whinrudder/internal/emu/fleet"
	"whinrudder/internal/emu/rivals"
	"whinrudder/internal/vtime"
)

// Family is a kind of day; Of draws one from a seed.
type Family struct {
	Name string
	Of   func(seed vtime.Seed) fleet.Day
}

// Families are the kinds of days that the operators have seen, by the ranges of their page.
func Families() []Family {
	day := func(name string, low, high float64, trouble func(r *rand.Rand, d *fleet.Day)) Family {
		return Family{name, func(seed vtime.Seed) fleet.Day {
			d := fleet.Usual(seed)
			r := seed.Split("family "+name, 0).Rand()
			d.Load = low + (high-low)*r.Float64()
			d.Nodes = 11 + r.IntN(4)
			trouble(r, &d)
			return d
		}}
	}
	in := func(r *rand.Rand, low, high float64) float64 { return low + (high-low)*r.Float64() }
	crash := func(r *rand.Rand, d *fleet.Day) {
		d.Troubles = append(d.Troubles, fleet.Trouble{Kind: fleet.Crash, At: in(r, 10e3, 30e3), For: in(r, 5e3, 25e3), Share: in(r, 0.1, 0.2)})
	}
	crawl := func(r *rand.Rand, d *fleet.Day) {
		d.Troubles = append(d.Troubles, fleet.Trouble{Kind: fleet.Crawl, At: in(r, 5e3, 25e3), For: in(r, 11e3, 32e3), Share: in(r, 0.1, 0.22),
			Factor: in(r, 3.2, 9)})
	}
	deploy := func(r *rand.Rand, d *fleet.Day) {
		d.Troubles = append(d.Troubles, fleet.Trouble{Kind: fleet.Deploy, At: in(r, 5e3, 15e3), For: in(r, 25e3, 38e3), Share: in(r, 0.6, 0.86)})
	}
	return []Family{
		day("calm", 0.4, 0.7, func(*rand.Rand, *fleet.Day) {}),
		day("burst", 0.6, 0.75, func(r *rand.Rand, d *fleet.Day) {
			for at := in(r, 5e3, 12e3); at < 50e3; at += in(r, 12e3, 20e3) {
				d.Troubles = append(d.Troubles, fleet.Trouble{Kind: fleet.Burst, At: at, For: in(r, 2.9e3, 9.3e3), Factor: in(r, 1.3, 1.6)})
			}
		}),
		day("crash", 0.55, 0.75, crash),
		day("crawl", 0.5, 0.7, crawl),
		day("deploy", 0.5, 0.7, deploy),
		day("overload", 0.9, 1.1, func(*rand.Rand, *fleet.Day) {}),
		day("cold fleet", 0.5, 0.7, func(_ *rand.Rand, d *fleet.Day) { d.ColdFleet = true }),
		day("storm", 0.8, 1.0, func(r *rand.Rand, d *fleet.Day) { // callers that try without limit, during a deploy
			deploy(r, d)
			for i := range d.Callers {
				d.Callers[i].Tries, d.Callers[i].Heeds = 0, false
			}
		}),
		day("fastest", 0.5, 0.7, func(r *rand.Rand, d *fleet.Day) { // a crawl while callers choose by the fastest
			crawl(r, d)
			for i := range d.Callers {
				d.Callers[i].Choice = fleet.Fastest
			}
		}),
	}
}

// Variant is a policy to be compared.
type Variant struct {
	Name string
	Make fleet.Make
}

// Variants returns the module, which is the first, and its rivals. The hand-set limits are for the operators' cores.
func Variants() []Variant {
	server := func(name string, l func() rivals.Limiter, how func() rivals.Discipline, most int) Variant {
		return Variant{name, func(s whinrudder.Settings, _ uint64) (rivals.Node, error) {
			return rivals.NewServer(l(), how(), most, s.Rules.DrainGrace), nil
		}}
	}
	fifo := func() rivals.Discipline { return rivals.FIFO{} }
	return []Variant{
		{"module", fleet.Module},
		server("none", func() rivals.Limiter { return rivals.None{} }, fifo, 0),
		server("fixed", func() rivals.Limiter { return rivals.Fixed(9) }, fifo, 9),
		server("codel", func() rivals.Limiter { return rivals.Fixed(9) }, func() rivals.Discipline { return rivals.NewCoDel(10) }, 1000),
		server("aimd", func() rivals.Limiter { return rivals.NewAIMD(6, 1500) }, fifo, 6),
		server("gradient2", func() rivals.Limiter { return rivals.NewGradient2(6) }, fifo, 6),
		server("vegas", func() rivals.Limiter { return rivals.NewVegas(6) }, fifo, 6),
	}
}

// Cell is what a variant did on a family.
type Cell struct {
	Family, Variant string
	Goals           []float64 // by seed
	Mean            float64
	Low, High       float64 // 95% interval of the mean difference to the first variant
	Less            float64 // that difference
	Waste, Tries    float64 // means: share of work, tries a request
	Fell, Broken    int
	FirstBroken     string
}

// Run plays all variants on all families of days, as many seeds from the first on.
func Run(families []Family, variants []Variant, first vtime.Seed, seeds int, progress func(done, all int)) (out []Cell) {
	n := len(families) * len(variants) * seeds
	done := make(chan struct{}, n)
	go func() {
		for i := 1; i <= n; i++ {
			<-done
			if progress != nil && i%100 == 0 {
				progress(i, n)
			}
		}
	}()
	results := vtime.Each(n, runtime.GOMAXPROCS(0), func(i int) fleet.Result {
		f, v, s := families[i/(len(variants)*seeds)], variants[i/seeds%len(variants)], i%seeds
		d := f.Of(first + vtime.Seed(s))
		r := fleet.Play(d, v.Make)
		r.Bins = nil
		done <- struct{}{}
		return r
	})
	for fi, f := range families {
		var base []float64
		for vi, v := range variants {
			c := Cell{Family: f.Name, Variant: v.Name}
			for s := range seeds {
				r := results[(fi*len(variants)+vi)*seeds+s]
				c.Goals = append(c.Goals, r.Goal)
				c.Waste += r.Waste / float64(seeds)
				c.Tries += float64(r.Tries) / float64(max(1, r.Requests)) / float64(seeds)
				c.Fell += r.Fell
				if c.Broken += len(r.Broken); c.FirstBroken == "" && len(r.Broken) > 0 {
					c.FirstBroken = fmt.Sprintf("seed %d: %s", uint64(first)+uint64(s), r.Broken[0])
				}
			}
			c.Mean = stat.Mean(c.Goals, nil)
			if vi == 0 {
				base = c.Goals
			}
			diffs := make([]float64, seeds)
			for s := range diffs {
				diffs[s] = c.Goals[s] - base[s]
			}
			c.Less, c.Low, c.High = Bootstrap(diffs, first.Split(f.Name+v.Name, 0))
			out = append(out, c)
		}
	}
	return out
}

// Bootstrap returns the mean and its 95% percentile interval (Efron, 1979), from 2,000 samples.
func Bootstrap(v []float64, seed vtime.Seed) (mean, low, high float64) {
	r := seed.Rand()
	means := make([]float64, 2000)
	for i := range means {
		sum := 0.0
		for range v {
			sum += v[r.IntN(len(v))]
		}
		means[i] = sum / float64(len(v))
	}
	slices.Sort(means)
	return stat.Mean(v, nil), stat.Quantile(0.025, stat.Empirical, means, nil), stat.Quantile(0.975, stat.Empirical, means, nil)
}

// Write writes the cells as people read them, and as JSON lines if more is given.
func Write(w, more io.Writer, cells []Cell) error {
	fmt.Fprintf(w, "%-12s %-10s %7s %22s %7s %7s %5s %7s\n", "family", "policy", "goal", "less the first (95%)", "waste", "tries", "fell", "broken")
	var a fastjson.Arena
	for _, c := range cells {
		less := ""
		if c.Less != 0 || c.Low != 0 || c.High != 0 {
			less = fmt.Sprintf("%+.3f (%+.3f, %+.3f)", c.Less, c.Low, c.High)
		}
		fmt.Fprintf(w, "%-12s %-10s %7.3f %22s %7.3f %7.2f %5d %7d\n", c.Family, c.Variant, c.Mean, less, c.Waste, c.Tries, c.Fell, c.Broken)
		if c.FirstBroken != "" {
			fmt.Fprintln(w, "    ", c.FirstBroken)
		}
		if more == nil {
			continue
		}
		a.Reset()
		o, goals := a.NewObject(), a.NewArray()
		for i, g := range c.Goals {
			goals.SetArrayItem(i, a.NewNumberFloat64(g))
		}
		for _, f := range []struct {
			key string
			v   *fastjson.Value
		}{{"family", a.NewString(c.Family)}, {"policy", a.NewString(c.Variant)}, {"goals", goals}, {"less", a.NewNumberFloat64(c.Less)},
			{"low", a.NewNumberFloat64(c.Low)}, {"high", a.NewNumberFloat64(c.High)}, {"waste", a.NewNumberFloat64(c.Waste)},
			{"tries", a.NewNumberFloat64(c.Tries)}, {"fell", a.NewNumberInt(c.Fell)}, {"broken", a.NewNumberInt(c.Broken)}} {
			o.Set(f.key, f.v)
		}
		if _, err := more.Write(append(o.MarshalTo(nil), '\n')); err != nil {
			return err
		}
	}
	return nil
}
