package workers

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"gonum.org/v1/gonum/stat/distuv"

	"whinrudder/internal/vtime"
)

// simulateQueue plays a pool to which runs come by chance, and returns the mean number in it, the mean time that one took and the
// rate of ends, after a time of warming up.
func simulateQueue(p Params, seed vtime.Seed, rate float64, n int, draw func() float64) (number, took, ends float64) {
	var k vtime.Kernel
	arrive := distuv.Exponential{Rate: rate, Src: seed.Split("arrivals", 0).Rand()}
	in, area, last, from := 0, 0.0, 0.0, -1.0
	sum, count, begun := 0.0, 0, map[int]bool{}
	count2 := func(by int) {
		if from >= 0 {
			area += float64(in) * (k.Now() - last)
		}
		last = k.Now()
		in += by
	}
	l := New(&k, p, func(e Event) {
		count2(-1)
		if begun[e.ID] {
			sum += e.Took
			count++
		}
	})
	var next vtime.Timer
	id := 0
	next.Do = func(now float64) {
		id++
		if id == n/10 { // from here on it counts
			from, last = now, now
		}
		count2(1)
		begun[id] = from >= 0
		l.Start(id, Work{Run: draw()})
		if id < n {
			k.Set(&next, now+arrive.Rand())
		}
	}
	k.Set(&next, 0)
	for id < n {
		k.Run(k.Now() + 1000)
	}
	return area / (k.Now() - from), sum / float64(count), float64(count) / (k.Now() - from)
}

func near(t *testing.T, what string, got, want, part float64) {
	t.Helper()
	if math.Abs(got-want) > part*want {
		t.Errorf("%s: %.4f, theory has %.4f (within %.1f%%)", what, got, want, 100*part)
	}
}

// erlangC is the chance to find all servers busy in M/M/c (Erlang, 1917).
func erlangC(c int, a float64) float64 {
	sum, term := 0.0, 1.0
	for k := range c {
		sum += term
		term *= a / float64(k+1)
	}
	top := term / (1 - a/float64(c))
	return top / (sum + top)
}

// With exponential work the number in M/M/c is the same whether the cores are shared or queued for: c*rho +
// C(c,a)*rho/(1-rho). Little's law joins it with the mean time, whatever the work.
func TestMMcAndLittle(t *testing.T) {
	for _, c := range []struct {
		cores int
		rho   float64
	}{{1, 0.5}, {1, 0.8}, {4, 0.7}, {16, 0.9}} {
		t.Run(fmt.Sprint(c.cores, " cores at ", c.rho), func(t *testing.T) {
			t.Parallel()
			seed := vtime.Seed(1)
			work := distuv.Exponential{Rate: 0.01, Src: seed.Split("work", 0).Rand()} // 100 ms in the mean
			rate := c.rho * float64(c.cores) / 100
			number, took, ends := simulateQueue(Params{Cores: c.cores, Speed: 1, ColdSpeedRatio: 1}, seed, rate, 400000, work.Rand)
			a := c.rho * float64(c.cores)
			want := a + erlangC(c.cores, a)*c.rho/(1-c.rho)
			near(t, "number", number, want, 0.03)
			near(t, "time", took, want/rate, 0.03)
			near(t, "Little's law", number, ends*took, 0.01)
		})
	}
}

// M/G/1 under processor sharing depends on the mean of the work alone (Kleinrock, Queueing Systems 2, 4.4): the mean time
// is the mean work over 1-rho.
func TestMG1PS(t *testing.T) {
	logNormal := func(cv float64) func(vtime.Seed) func() float64 {
		return func(s vtime.Seed) func() float64 {
			v := math.Log(1 + cv*cv)
			return distuv.LogNormal{Mu: math.Log(100) - v/2, Sigma: math.Sqrt(v), Src: s.Rand()}.Rand
		}
	}
	for name, of := range map[string]func(vtime.Seed) func() float64{
		"all alike":     func(vtime.Seed) func() float64 { return func() float64 { return 100 } },
		"log-normal, 2": logNormal(2),
		"hyper": func(s vtime.Seed) func() float64 {
			r := s.Rand()
			return func() float64 {
				if r.Float64() < 0.1 {
					return 550 * r.ExpFloat64()
				}
				return 50 * r.ExpFloat64()
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			seed := vtime.Seed(3)
			number, took, _ := simulateQueue(Params{Cores: 1, Speed: 1, ColdSpeedRatio: 1}, seed, 0.007, 500000, of(seed.Split("work", 0)))
			near(t, "time", took, 100/(1-0.7), 0.04)
			near(t, "number", number, 0.7/(1-0.7), 0.04)
		})
	}
}

// What a pool does with one request, by hand: waits, crawls, pauses, a cold start, a stop and a fall.
func TestOneByOne(t *testing.T) {
	type step struct {
		at float64
		do func(l *Pool)
	}
	for _, c := range []struct {
		name  string
		p     Params
		steps []step
		want  []string
	}{
		{"a run with a wait", Params{Cores: 2, Speed: 2, ColdSpeedRatio: 1},
			[]step{{0, func(l *Pool) { l.Start(1, Work{Run: 100, Sleep: 30}) }}}, []string{"80 done 1 took 80"}},
		{"reading one a core", Params{Cores: 1, Speed: 1, ColdSpeedRatio: 1},
			[]step{{0, func(l *Pool) { l.Enqueue(1, Work{Read: 10}); l.Enqueue(2, Work{Read: 10}) }}}, []string{"10 read 1", "20 read 2"}},
		{"a crawl", Params{Cores: 1, Speed: 1, ColdSpeedRatio: 1},
			[]step{{0, func(l *Pool) { l.Start(1, Work{Run: 100}) }}, {50, func(l *Pool) { l.SetSlowdown(5) }}}, []string{"300 done 1 took 300"}},
		{"a pause", Params{Cores: 1, Speed: 1, ColdSpeedRatio: 1},
			[]step{{0, func(l *Pool) { l.Start(1, Work{Run: 100}) }}, {50, func(l *Pool) { l.SetPaused(true) }}, {400, func(l *Pool) { l.SetPaused(false) }}},
			[]string{"450 done 1 took 450"}},
		{"a stop", Params{Cores: 1, Speed: 1, ColdSpeedRatio: 1},
			[]step{{0, func(l *Pool) { l.Start(1, Work{Run: 100}); l.Start(2, Work{Run: 100}) }}, {50, func(l *Pool) { l.Stop(1); l.Stop(1) }}},
			[]string{"50 stopped 1 took 50", "125 done 2 took 125"}},
		{"crowding", Params{Cores: 1, Speed: 1, ColdSpeedRatio: 1, ContentionThreshold: 1, ContentionLoss: 0.5},
			[]step{{0, func(l *Pool) { l.Start(1, Work{Run: 100}); l.Start(2, Work{Run: 100}) }}},
			[]string{"300 done 1 took 300", "300 done 2 took 300"}},
		{"a fall: the mean of 4 passes 2 after 1500*ln(4/2)", Params{Cores: 1, Speed: 1, ColdSpeedRatio: 1, OverloadThreshold: 2, OverloadWindow: 1500},
			[]step{{0, func(l *Pool) {
				for id := range 4 {
					l.Start(id, Work{Run: 1e6})
				}
			}}, {2000, func(l *Pool) { l.Start(9, Work{Run: 1}) }}}, []string{"1040 fell"}},
		{"no fall: it ends before", Params{Cores: 1, Speed: 1, ColdSpeedRatio: 1, OverloadThreshold: 2, OverloadWindow: 1500},
			[]step{{0, func(l *Pool) {
				for id := range 4 {
					l.Start(id, Work{Run: 250})
				}
			}}}, []string{"1000 done 0 took 1000", "1000 done 1 took 1000", "1000 done 2 took 1000", "1000 done 3 took 1000"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var k vtime.Kernel
			var got []string
			words := map[Kind]string{Read: "read", Done: "done", Stopped: "stopped", Crashed: "fell"}
			l := New(&k, c.p, func(e Event) {
				s := fmt.Sprintf("%.0f %s", k.Now(), words[e.Kind])
				if e.Kind != Crashed {
					s += fmt.Sprint(" ", e.ID)
				}
				if e.Took > 0 {
					s += fmt.Sprintf(" took %.0f", e.Took)
				}
				got = append(got, s)
			})
			for _, s := range c.steps {
				k.Run(s.at)
				s.do(l)
			}
			k.Run(1e6)
			slices.Sort(got)
			slices.Sort(c.want)
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
	var k vtime.Kernel
	l := New(&k, Params{Cores: 1, Speed: 1, ColdSpeedRatio: 0.2, RampTime: 10000}, func(e Event) {
		near(t, "a cold start", e.Took, 6972, 0.01) // the integral of its speed is the work
	})
	l.Start(1, Work{Run: 0.2*6972 + 0.8*6972*6972/2/10000})
	k.Run(20000)
	if !(l.SpeedRatio() == 1) {
		t.Error("it is not warm")
	}
	var k2 vtime.Kernel // warm by what it does: the work done grows as exp(0.8 t / 1000)
	l = New(&k2, Params{Cores: 1, Speed: 1, ColdSpeedRatio: 0.2, RampTime: 1e9, RampWork: 1000}, func(e Event) {
		near(t, "a start that warms by work", e.Took, 2000, 0.02)
	})
	l.Start(1, Work{Run: 250 * math.Expm1(1.6)})
	k2.Run(20000)
}

// BenchmarkRun is the life of a run, with so many others on the cores.
func BenchmarkRun(b *testing.B) {
	for _, n := range []int{1, 10, 100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var k vtime.Kernel
			id := 0
			var l *Pool
			start := func() {
				id++
				l.Start(id, Work{Run: 50 + float64(id*7919%100), Sleep: 10})
			}
			l = New(&k, Params{Cores: 8, Speed: 1, ColdSpeedRatio: 1}, func(Event) { start() })
			for range n {
				start()
			}
			for b.Loop() {
				for was := id; id == was; {
					at, _ := k.Next()
					k.Run(at)
				}
			}
		})
	}
}
