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

// simulateQueue starts n runs with Poisson arrivals on a pool. It returns the mean number of runs in the pool, their
// mean latency and the rate at which they end. The first tenth of the runs is not counted.
func simulateQueue(p Params, seed vtime.Seed, rate float64, n int, drawWork func() float64) (number, latency, endRate float64) {
	var k vtime.Kernel
	arrive := distuv.Exponential{Rate: rate, Src: seed.Split("arrivals", 0).Rand()}
	inPool, area, last, from := 0, 0.0, 0.0, -1.0 // area: integral of inPool over time since from
	sum, count, counted := 0.0, 0, map[int]bool{}
	changeNumber := func(by int) {
		if from >= 0 {
			area += float64(inPool) * (k.Now() - last)
		}
		last = k.Now()
		inPool += by
	}
	l := New(&k, p, func(e Event) {
		changeNumber(-1)
		if counted[e.ID] {
			sum += e.Took
			count++
		}
	})
	var next vtime.Timer
	id := 0
	next.Do = func(now float64) {
		id++
		if id == n/10 { // the warm-up is over
			from, last = now, now
		}
		changeNumber(1)
		counted[id] = from >= 0
		l.Start(id, Work{Run: drawWork()})
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

// near checks that a value differs from the expected one by at most a relative tolerance.
func near(t *testing.T, what string, got, want, tolerance float64) {
	t.Helper()
	if math.Abs(got-want) > tolerance*want {
		t.Errorf("%s: got %.4f, want %.4f within %.1f%%", what, got, want, 100*tolerance)
	}
}

// erlangC returns the probability that all servers of an M/M/c queue are busy (Erlang, 1917).
func erlangC(c int, a float64) float64 {
	sum, term := 0.0, 1.0
	for k := range c {
		sum += term
		term *= a / float64(k+1)
	}
	top := term / (1 - a/float64(c))
	return top / (sum + top)
}

// Compares the pool with queueing theory, against errors in how cores are shared. With exponential work the mean number
// of requests in M/M/c is c*rho + C(c,a)*rho/(1-rho), both for processor sharing and for a queue. Little's law relates
// it to the mean latency for any distribution of work.
func TestMMcAndLittle(t *testing.T) {
	for _, c := range []struct {
		cores int
		rho   float64
	}{{1, 0.5}, {1, 0.8}, {4, 0.7}, {16, 0.9}} {
		t.Run(fmt.Sprint(c.cores, " cores at ", c.rho), func(t *testing.T) {
			t.Parallel()
			seed := vtime.Seed(1)
			work := distuv.Exponential{Rate: 0.01, Src: seed.Split("work", 0).Rand()} // mean 100 ms
			rate := c.rho * float64(c.cores) / 100
			number, latency, endRate := simulateQueue(Params{Cores: c.cores, Speed: 1, ColdSpeedRatio: 1}, seed, rate, 400000, work.Rand)
			a := c.rho * float64(c.cores)
			want := a + erlangC(c.cores, a)*c.rho/(1-c.rho)
			near(t, "mean number of runs", number, want, 0.03)
			near(t, "mean latency", latency, want/rate, 0.03)
			near(t, "mean number of runs by Little's law", number, endRate*latency, 0.01)
		})
	}
}

// Guards against a mean latency that depends on more than the mean of the work. Under processor sharing the mean
// latency of M/G/1 is the mean work divided by 1-rho, for any distribution (Kleinrock, Queueing Systems 2, 4.4).
func TestMG1PS(t *testing.T) {
	logNormal := func(cv float64) func(vtime.Seed) func() float64 {
		return func(s vtime.Seed) func() float64 {
			v := math.Log(1 + cv*cv)
			return distuv.LogNormal{Mu: math.Log(100) - v/2, Sigma: math.Sqrt(v), Src: s.Rand()}.Rand
		}
	}
	for name, newDraw := range map[string]func(vtime.Seed) func() float64{
		"constant":      func(vtime.Seed) func() float64 { return func() float64 { return 100 } },
		"log-normal, 2": logNormal(2),
		"hyperexponential": func(s vtime.Seed) func() float64 {
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
			number, latency, _ := simulateQueue(Params{Cores: 1, Speed: 1, ColdSpeedRatio: 1}, seed, 0.007, 500000, newDraw(seed.Split("work", 0)))
			near(t, "mean latency", latency, 100/(1-0.7), 0.04)
			near(t, "mean number of runs", number, 0.7/(1-0.7), 0.04)
		})
	}
}

// Checks single features of the model against times computed by hand: waits, reading, slowdowns, pauses, stops,
// contention, the crash of overload and both kinds of cold start.
func TestEventTimes(t *testing.T) {
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
		{"each core reads one request at a time", Params{Cores: 1, Speed: 1, ColdSpeedRatio: 1},
			[]step{{0, func(l *Pool) { l.Enqueue(1, Work{Read: 10}); l.Enqueue(2, Work{Read: 10}) }}}, []string{"10 read 1", "20 read 2"}},
		{"a slowdown", Params{Cores: 1, Speed: 1, ColdSpeedRatio: 1},
			[]step{{0, func(l *Pool) { l.Start(1, Work{Run: 100}) }}, {50, func(l *Pool) { l.SetSlowdown(5) }}}, []string{"300 done 1 took 300"}},
		{"a pause", Params{Cores: 1, Speed: 1, ColdSpeedRatio: 1},
			[]step{{0, func(l *Pool) { l.Start(1, Work{Run: 100}) }}, {50, func(l *Pool) { l.SetPaused(true) }}, {400, func(l *Pool) { l.SetPaused(false) }}},
			[]string{"450 done 1 took 450"}},
		{"a stop", Params{Cores: 1, Speed: 1, ColdSpeedRatio: 1},
			[]step{{0, func(l *Pool) { l.Start(1, Work{Run: 100}); l.Start(2, Work{Run: 100}) }}, {50, func(l *Pool) { l.Stop(1); l.Stop(1) }}},
			[]string{"50 stopped 1 took 50", "125 done 2 took 125"}},
		{"contention", Params{Cores: 1, Speed: 1, ColdSpeedRatio: 1, ContentionThreshold: 1, ContentionLoss: 0.5},
			[]step{{0, func(l *Pool) { l.Start(1, Work{Run: 100}); l.Start(2, Work{Run: 100}) }}},
			[]string{"300 done 1 took 300", "300 done 2 took 300"}},
		{"a crash: the mean of 4 exceeds 2 after 1500*ln(4/2)", Params{Cores: 1, Speed: 1, ColdSpeedRatio: 1, OverloadThreshold: 2, OverloadWindow: 1500},
			[]step{{0, func(l *Pool) {
				for id := range 4 {
					l.Start(id, Work{Run: 1e6})
				}
			}}, {2000, func(l *Pool) { l.Start(9, Work{Run: 1}) }}}, []string{"1040 crashed"}},
		{"no crash: the runs end before", Params{Cores: 1, Speed: 1, ColdSpeedRatio: 1, OverloadThreshold: 2, OverloadWindow: 1500},
			[]step{{0, func(l *Pool) {
				for id := range 4 {
					l.Start(id, Work{Run: 250})
				}
			}}}, []string{"1000 done 0 took 1000", "1000 done 1 took 1000", "1000 done 2 took 1000", "1000 done 3 took 1000"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var k vtime.Kernel
			var got []string
			words := map[Kind]string{Read: "read", Done: "done", Stopped: "stopped", Crashed: "crashed"}
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
				t.Errorf("events (-want +got):\n%s", diff)
			}
		})
	}
	var k vtime.Kernel
	l := New(&k, Params{Cores: 1, Speed: 1, ColdSpeedRatio: 0.2, RampTime: 10000}, func(e Event) {
		near(t, "latency in a cold start", e.Took, 6972, 0.01) // the integral of the speed up to then is the work
	})
	l.Start(1, Work{Run: 0.2*6972 + 0.8*6972*6972/2/10000})
	k.Run(20000)
	if !(l.SpeedRatio() == 1) {
		t.Errorf("speed ratio after the ramp time: got %v, want 1", l.SpeedRatio())
	}
	var k2 vtime.Kernel // warmed up by its work: the speed grows as exp(0.8 t / 1000)
	l = New(&k2, Params{Cores: 1, Speed: 1, ColdSpeedRatio: 0.2, RampTime: 1e9, RampWork: 1000}, func(e Event) {
		near(t, "latency in a cold start that ends by work", e.Took, 2000, 0.02)
	})
	l.Start(1, Work{Run: 250 * math.Expm1(1.6)})
	k2.Run(20000)
}

// BenchmarkRun measures a run from start to end while n runs are in the pool.
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
