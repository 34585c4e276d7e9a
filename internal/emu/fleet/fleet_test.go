package fleet

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"whinrudder"
	"whinrudder/internal/core"
	"whinrudder/internal/emu/baseline"
	"whinrudder/internal/vtime"
)

// small is a day of a few nodes with all troubles, some of them at once.
func small(seed int) Day {
	d := DefaultDay(vtime.Seed(seed))
	d.Nodes, d.DurationMs = 5, 30000
	d.Faults = []Fault{{Kind: Burst, At: 3000, Duration: 4000, Factor: 1.5}, {Kind: Crash, At: 6000, Duration: 5000, Share: 0.2},
		{Kind: Slowdown, At: 10000, Duration: 8000, Share: 0.22, Factor: 6}, {Kind: Deploy, At: 14000, Duration: 10000, Share: 0.8},
		{Kind: PoolPause, At: 20000, Duration: 400, Share: 0.4}, {Kind: RetryStorm, At: 2000, Duration: 6000, Share: 0.3}, {Kind: MessageLoss, At: 1000, Duration: 9000, Share: 0.02},
		{Kind: Partition, At: 8000, Duration: 4000, Share: 0.2, Factor: 0.5}, {Kind: Partition, At: 22000, Duration: 4000, Share: 0.2, Factor: 1},
		{Kind: ProcessStall, At: 17000, Duration: 3000, Share: 0.2}, {Kind: ClockSkew, At: 21000, Duration: 5000, Share: 0.4, Factor: -300},
		{Kind: EnsembleOutage, At: 12000, Duration: 6000}, {Kind: LimitRetries, At: 25000, Duration: 3000, Share: 1, Factor: 0.1}, {Kind: HonorCredit, At: 26000, Duration: 1000, Share: 1}}
	d.SessionTimeout, d.ClientRetries.Share = 2000, 0.3
	d.Callers = append(d.Callers, Behavior{Strategy: PowerOfTwo, HedgeDelay: 700, TryTimeoutRatio: 0.6, HonorsCredit: true}, Behavior{Strategy: WeightedRandom, ParallelTries: 2, TryTimeoutRatio: 0.2, MaxTries: 2},
		Behavior{Strategy: RoundRobin, SubsetSize: 3, Throttle: true, RetryBudget: 0.2, BackoffBase: 20, TryTimeoutRatio: 0.6, RetriesInDoubtWrites: true})
	return d
}

func fixed(whinrudder.Settings, uint64) (baseline.Node, error) {
	return baseline.NewServer(baseline.Fixed(12), baseline.FIFO{}, 24, 2000), nil
}

// A day gives the same, to the last byte, whenever it is played, on any number of workers and processors.
func TestTheSameSeedGivesTheSameDay(t *testing.T) {
	tell := func(i int) string { return fmt.Sprintf("%+v", Simulate(small(i), NewModuleNode)) }
	want := vtime.ParallelMap(6, 1, tell)
	for _, workers := range []int{1, 4} {
		for _, procs := range []int{1, 4} {
			before := runtime.GOMAXPROCS(procs)
			if diff := cmp.Diff(want, vtime.ParallelMap(6, workers, tell)); diff != "" {
				t.Errorf("%d workers on %d processors: %s", workers, procs, diff)
			}
			runtime.GOMAXPROCS(before)
		}
	}
	if want[0] == want[1] {
		t.Error("two seeds give one day")
	}
}

// The module and the rivals keep the rules on days with all troubles, and the figures of a day agree with each other.
func TestRulesAndFigures(t *testing.T) {
	for name, make := range map[string]NodeFactory{"module": NewModuleNode, "fixed": fixed} {
		for _, r := range vtime.ParallelMap(12, runtime.GOMAXPROCS(0), func(i int) Result { return Simulate(small(i), make) }) {
			if len(r.Violations) > 0 {
				t.Errorf("%s: %s", name, strings.Join(r.Violations, "\n"))
			}
			asked, got := 0.0, 0.0
			for _, b := range r.Buckets {
				asked, got = asked+b.OfferedWorth, got+b.EarnedWorth
			}
			if d := got/asked - r.OverallWorthRatio; d > 1e-9 || d < -1e-9 || r.GoalScore > r.OverallWorthRatio+1e-9 && r.WorstClass > r.OverallWorthRatio || r.Tries < r.Requests-r.Unsent ||
				r.WastedWorkRatio < 0 || r.WastedWorkRatio > 1 || r.Latency.Quantile(0.5) > r.Latency.Quantile(0.99) || r.Requests < 500 {
				t.Errorf("%s: %+v", name, r)
			}
		}
	}
}

// A calm day is served nearly whole, and one that asks for twice what there is can't be.
func TestCalmAndOverloaded(t *testing.T) {
	calm := DefaultDay(1)
	calm.DurationMs, calm.Load = 20000, 0.4
	if r := Simulate(calm, NewModuleNode); r.OverallWorthRatio < 0.98 || r.OverloadCrashes > 0 {
		t.Errorf("calm: %.3f, %d fell", r.OverallWorthRatio, r.OverloadCrashes)
	}
	calm.Load = 2
	if r := Simulate(calm, NewModuleNode); r.OverallWorthRatio > 0.75 || r.OverallWorthRatio < 0.2 || r.OverloadCrashes > 0 {
		t.Errorf("overloaded: %.3f, %d fell", r.OverallWorthRatio, r.OverloadCrashes)
	}
	calm.OverloadThreshold = 3
	if r := Simulate(calm, func(whinrudder.Settings, uint64) (baseline.Node, error) {
		return baseline.NewServer(baseline.Unlimited{}, baseline.FIFO{}, 1e6, 2000), nil
	}); r.OverloadCrashes == 0 {
		t.Errorf("nothing falls without a limit: %.3f", r.OverallWorthRatio)
	}
}

// faulty breaks a rule on purpose, once in a while.
type faulty struct {
	baseline.Node
	what string
	n    int
}

func (f *faulty) Step(now float64, in []core.Input) []core.Output {
	out := append([]core.Output{}, f.Node.Step(now, in)...)
	for i, o := range out {
		_, reply := o.(core.Reply)
		spawn, start := o.(core.Spawn)
		if reply || start {
			f.n++
		}
		switch {
		case f.n%50 != 0:
		case reply && f.what == "twice":
			return append(out, o)
		case reply && f.what == "lost":
			return append(out[:i], out[i+1:]...)
		case start && f.what == "duplicate":
			return append(out, spawn)
		}
	}
	return out
}

// A rule that is broken on purpose is found, by its name and with the history of the request.
func TestBrokenRulesAreNamed(t *testing.T) {
	for _, what := range []string{"twice", "lost", "duplicate"} {
		r := Simulate(small(1), func(s whinrudder.Settings, seed uint64) (baseline.Node, error) {
			n, err := NewModuleNode(s, seed)
			return &faulty{Node: n, what: what}, err
		})
		if len(r.Violations) == 0 || !strings.HasPrefix(r.Violations[0], what+": ") || !strings.Contains(r.Violations[0], "read; ") {
			t.Errorf("%s: %v", what, r.Violations)
		}
	}
}

// BenchmarkDay is a time of the operators' usual fleet, or of larger ones with callers in proportion.
func BenchmarkDay(b *testing.B) {
	for _, c := range []struct{ nodes, callers, seconds int }{{4, 4, 60}, {14, 4, 60}, {40, 12, 60}, {400, 120, 10}, {1000, 300, 10}} {
		b.Run(fmt.Sprint(c.nodes, " nodes"), func(b *testing.B) {
			requests := 0
			for b.Loop() {
				d := DefaultDay(1)
				d.Nodes, d.DurationMs = c.nodes, 1000*float64(c.seconds)
				for len(d.Callers) < c.callers {
					d.Callers = append(d.Callers, d.Callers[len(d.Callers)%4])
				}
				requests += Simulate(d, NewModuleNode).Requests
			}
			took := b.Elapsed().Seconds()
			b.ReportMetric(float64(requests)/took, "requests/s")
			b.ReportMetric(float64(b.N*c.seconds)/took, "virtual-s/s")
		})
	}
}

// What one caller does shifts neither what clients ask for nor what any request needs; only requests that were named are played.
func TestHabitsShiftNoDraws(t *testing.T) {
	d := small(3)
	d.ClientRetries.Share = 0
	a := Simulate(d, NewModuleNode)
	d.Callers = append([]Behavior{}, d.Callers...)
	d.Callers[0] = Behavior{Strategy: LowestLatency, MaxTries: 1, TryTimeoutRatio: 0.3}
	b := Simulate(d, NewModuleNode)
	for i := range a.Buckets {
		if a.Buckets[i].OfferedWorth != b.Buckets[i].OfferedWorth {
			t.Fatalf("bin %d: %v is asked for, and %v", i, a.Buckets[i].OfferedWorth, b.Buckets[i].OfferedWorth)
		}
	}
	d.OnlyRequests = []int{3, 17, 200}
	if r := Simulate(d, NewModuleNode); r.Requests != 3 {
		t.Errorf("%d requests are played, want 3", r.Requests)
	}
}

// Each trouble does what it is for: it costs what it should, and no node breaks a rule by it.
func TestTroubles(t *testing.T) {
	calm := DefaultDay(2)
	calm.DurationMs, calm.Load = 30000, 0.5
	base := Simulate(calm, NewModuleNode)
	for _, c := range []struct {
		t    Fault
		low  float64 // of the whole
		high float64
		up   int // nodes that take connections at 15 s
	}{
		{Fault{Kind: Partition, At: 5000, Duration: 20000, Share: 1, Factor: 1}, 0.1, 0.5, 14},
		{Fault{Kind: Partition, At: 5000, Duration: 20000, Share: 0.2, Factor: 0.5}, 0.7, 0.99, 14},
		{Fault{Kind: ProcessStall, At: 5000, Duration: 20000, Share: 0.2}, 0.6, 0.99, 14},
		{Fault{Kind: ClockSkew, At: 5000, Duration: 20000, Share: 1, Factor: 60000}, 0.1, 0.5, 14},
		{Fault{Kind: MessageLoss, At: 5000, Duration: 20000, Share: 0.3}, 0.8, base.OverallWorthRatio, 14},
		{Fault{Kind: EnsembleOutage, At: 5000, Duration: 20000}, base.OverallWorthRatio - 0.01, base.OverallWorthRatio + 0.01, 14},
		{Fault{Kind: Crash, At: 5000, Duration: 20000, Share: 0.5}, 0.5, 0.995, 7},
		{Fault{Kind: PoolPause, At: 5000, Duration: 20000, Share: 1}, 0.1, 0.5, 14},
	} {
		d := calm
		d.Faults = []Fault{c.t}
		r := Simulate(d, NewModuleNode)
		if len(r.Violations) > 0 || r.OverallWorthRatio < c.low || r.OverallWorthRatio > c.high || r.Buckets[29].NodesUp != c.up {
			t.Errorf("%+v: whole %.3f, %d nodes, %v", c.t, r.OverallWorthRatio, r.Buckets[29].NodesUp, r.Violations)
		}
	}
}

// A node that takes on more than its memory holds is gone, and the module sees to it that it does not.
func TestMemory(t *testing.T) {
	d := DefaultDay(1)
	d.Nodes, d.DurationMs, d.Load, d.OverloadThreshold = 2, 20000, 3, 0
	none := func(whinrudder.Settings, uint64) (baseline.Node, error) {
		return baseline.NewServer(baseline.Unlimited{}, baseline.FIFO{}, 1e6, 2000), nil
	}
	if r := Simulate(d, none); r.OverloadCrashes > 0 || r.PeakRuns() < 13 {
		t.Errorf("%d fell with room for 16 runs a core, peak %.0f", r.OverloadCrashes, r.PeakRuns())
	}
	d.MemoryRunsPerCore = 2
	if r := Simulate(d, none); r.OverloadCrashes == 0 || r.PeakRuns() > 12 {
		t.Errorf("%d fell with room for 12 runs, peak %.1f", r.OverloadCrashes, r.PeakRuns())
	}
	if r := Simulate(d, NewModuleNode); r.OverloadCrashes > 0 {
		t.Errorf("the module lets %d fall", r.OverloadCrashes)
	}
}

// Troubles of words and lists do what their names say: a black hole fails what reaches it and no node counts it, an absurd
// credit lets heeding callers send more, and a list that flaps costs those that believe it.
func TestTroublesOfWordsAndLists(t *testing.T) {
	play := func(kind FaultKind, share, factor float64) Result {
		d := DefaultDay(7)
		d.DurationMs, d.Nodes, d.Load = 15000, 6, 0.9
		d.Callers = []Behavior{{Strategy: LeastOutstanding, MaxTries: 2, HonorsCredit: true, TryTimeoutRatio: 0.6}}
		if share > 0 {
			d.Faults = []Fault{{Kind: kind, At: 3000, Duration: 9000, Share: share, Factor: factor}}
		}
		r := Simulate(d, NewModuleNode)
		if len(r.Violations) > 0 {
			t.Error(kind, r.Violations)
		}
		return r
	}
	calm := play(BlackHole, 0, 0)
	if hole := play(BlackHole, 0.3, 1); calm.Failed > 0 || hole.Failed < 20 {
		t.Errorf("%d tries failed in black holes, %d without", hole.Failed, calm.Failed)
	}
	if absurd := play(BogusCredit, 1, 1e9); absurd.Refused <= calm.Refused {
		t.Errorf("%d refusals with an absurd credit, %d without", absurd.Refused, calm.Refused)
	}
	flap, empty := play(Flap, 0.5, 1), play(Flap, 1, 100)
	if empty.Unsent <= calm.Unsent || flap.GoalScore >= calm.GoalScore {
		t.Errorf("withheld %d with an empty list, %d without; goal %.3f with a list that flaps, %.3f without", empty.Unsent, calm.Unsent, flap.GoalScore, calm.GoalScore)
	}
}
