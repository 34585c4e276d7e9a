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

// smallDay returns a day of five nodes with many kinds of faults, some of them at once.
func smallDay(seed int) Day {
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

// newFixedNode is a NodeFactory of nodes with a fixed limit.
func newFixedNode(whinrudder.Settings, uint64) (baseline.Node, error) {
	return baseline.NewServer(baseline.Fixed(12), baseline.FIFO{}, 24, 2000), nil
}

// Guards against results that depend on parallelism or chance: a day must give the same result, byte for byte, on any
// number of workers and processors, and another seed another result.
func TestSameSeedGivesSameDay(t *testing.T) {
	simulate := func(i int) string { return fmt.Sprintf("%+v", Simulate(smallDay(i), NewModuleNode)) }
	want := vtime.ParallelMap(6, 1, simulate)
	for _, workers := range []int{1, 4} {
		for _, procs := range []int{1, 4} {
			before := runtime.GOMAXPROCS(procs)
			if diff := cmp.Diff(want, vtime.ParallelMap(6, workers, simulate)); diff != "" {
				t.Errorf("%d workers on %d processors (-want +got):\n%s", workers, procs, diff)
			}
			runtime.GOMAXPROCS(before)
		}
	}
	if want[0] == want[1] {
		t.Error("seeds 0 and 1 gave the same result, want different ones")
	}
}

// Guards against broken rules on days with many faults, by the module and by a fixed limit, and against a Result whose
// values contradict each other.
func TestRulesAndResults(t *testing.T) {
	for name, newNode := range map[string]NodeFactory{"module": NewModuleNode, "fixed": newFixedNode} {
		for _, r := range vtime.ParallelMap(12, runtime.GOMAXPROCS(0), func(i int) Result { return Simulate(smallDay(i), newNode) }) {
			if len(r.Violations) > 0 {
				t.Errorf("%s: got violations, want none:\n%s", name, strings.Join(r.Violations, "\n"))
			}
			offered, earned := 0.0, 0.0
			for _, b := range r.Buckets {
				offered, earned = offered+b.OfferedWorth, earned+b.EarnedWorth
			}
			if d := earned/offered - r.OverallWorthRatio; d > 1e-9 || d < -1e-9 || r.GoalScore > r.OverallWorthRatio+1e-9 && r.WorstClass > r.OverallWorthRatio || r.Tries < r.Requests-r.Unsent ||
				r.WastedWorkRatio < 0 || r.WastedWorkRatio > 1 || r.Latency.Quantile(0.5) > r.Latency.Quantile(0.99) || r.Requests < 500 {
				t.Errorf("%s: inconsistent result, whole by buckets differs by %v: %+v", name, d, r)
			}
		}
	}
}

// Checks the score at both ends: a load of 0.4 is served almost completely, a load of 2 cannot be, and without a limit
// nodes crash of overload.
func TestLowAndHighLoad(t *testing.T) {
	calm := DefaultDay(1)
	calm.DurationMs, calm.Load = 20000, 0.4
	if r := Simulate(calm, NewModuleNode); r.OverallWorthRatio < 0.98 || r.OverloadCrashes > 0 {
		t.Errorf("load 0.4: got whole %.3f and %d crashes, want at least 0.98 and 0", r.OverallWorthRatio, r.OverloadCrashes)
	}
	calm.Load = 2
	if r := Simulate(calm, NewModuleNode); r.OverallWorthRatio > 0.75 || r.OverallWorthRatio < 0.2 || r.OverloadCrashes > 0 {
		t.Errorf("load 2: got whole %.3f and %d crashes, want 0.2 to 0.75 and 0", r.OverallWorthRatio, r.OverloadCrashes)
	}
	calm.OverloadThreshold = 3
	if r := Simulate(calm, func(whinrudder.Settings, uint64) (baseline.Node, error) {
		return baseline.NewServer(baseline.Unlimited{}, baseline.FIFO{}, 1e6, 2000), nil
	}); r.OverloadCrashes == 0 {
		t.Errorf("load 2 without a limit: got no crashes (whole %.3f), want some", r.OverallWorthRatio)
	}
}

// faulty wraps a node and breaks a rule at every 50th answer or start.
type faulty struct {
	baseline.Node
	rule string
	n    int // answers and starts so far
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
		case reply && f.rule == "twice":
			return append(out, o)
		case reply && f.rule == "lost":
			return append(out[:i], out[i+1:]...)
		case start && f.rule == "duplicate":
			return append(out, spawn)
		}
	}
	return out
}

// Guards against violations that are not detected: a node that breaks a rule on purpose must be reported with the name
// of the rule and the history of the request.
func TestViolationsAreReported(t *testing.T) {
	for _, rule := range []string{"twice", "lost", "duplicate"} {
		r := Simulate(smallDay(1), func(s whinrudder.Settings, seed uint64) (baseline.Node, error) {
			n, err := NewModuleNode(s, seed)
			return &faulty{Node: n, rule: rule}, err
		})
		if len(r.Violations) == 0 || !strings.HasPrefix(r.Violations[0], rule+": ") || !strings.Contains(r.Violations[0], "read; ") {
			t.Errorf("got violations %v, want the first to name %q and contain a read", r.Violations, rule)
		}
	}
}

// BenchmarkDay simulates the operators' usual fleet and other sizes, with callers in proportion to the larger ones.
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

// Guards against a behavior of callers that changes the draws of the workload, and checks that only the listed requests
// are simulated.
func TestBehaviorDoesNotChangeWorkload(t *testing.T) {
	d := smallDay(3)
	d.ClientRetries.Share = 0
	a := Simulate(d, NewModuleNode)
	d.Callers = append([]Behavior{}, d.Callers...)
	d.Callers[0] = Behavior{Strategy: LowestLatency, MaxTries: 1, TryTimeoutRatio: 0.3}
	b := Simulate(d, NewModuleNode)
	for i := range a.Buckets {
		if a.Buckets[i].OfferedWorth != b.Buckets[i].OfferedWorth {
			t.Fatalf("bucket %d: offered worth %v and %v with different behavior, want the same", i, a.Buckets[i].OfferedWorth, b.Buckets[i].OfferedWorth)
		}
	}
	d.OnlyRequests = []int{3, 17, 200}
	if r := Simulate(d, NewModuleNode); r.Requests != 3 {
		t.Errorf("got %d requests, want 3", r.Requests)
	}
}

// Guards against faults without effect or with a wrong one: each must reduce the score to its range and break no rule.
func TestFaults(t *testing.T) {
	calm := DefaultDay(2)
	calm.DurationMs, calm.Load = 30000, 0.5
	base := Simulate(calm, NewModuleNode)
	for _, c := range []struct {
		fault Fault
		low   float64 // bounds of OverallWorthRatio
		high  float64
		up    int // nodes up at 15 s
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
		d.Faults = []Fault{c.fault}
		r := Simulate(d, NewModuleNode)
		if len(r.Violations) > 0 || r.OverallWorthRatio < c.low || r.OverallWorthRatio > c.high || r.Buckets[29].NodesUp != c.up {
			t.Errorf("%+v: got whole %.3f and %d nodes up, want %.3f to %.3f and %d; violations %v", c.fault, r.OverallWorthRatio, r.Buckets[29].NodesUp, c.low, c.high, c.up, r.Violations)
		}
	}
}

// Guards the memory model: a node without a limit crashes when its memory is full, and the module prevents that.
func TestMemory(t *testing.T) {
	d := DefaultDay(1)
	d.Nodes, d.DurationMs, d.Load, d.OverloadThreshold = 2, 20000, 3, 0
	unlimited := func(whinrudder.Settings, uint64) (baseline.Node, error) {
		return baseline.NewServer(baseline.Unlimited{}, baseline.FIFO{}, 1e6, 2000), nil
	}
	if r := Simulate(d, unlimited); r.OverloadCrashes > 0 || r.PeakRuns() < 13 {
		t.Errorf("memory for 16 runs per core: got %d crashes and a peak of %.0f runs, want 0 and at least 13", r.OverloadCrashes, r.PeakRuns())
	}
	d.MemoryRunsPerCore = 2
	if r := Simulate(d, unlimited); r.OverloadCrashes == 0 || r.PeakRuns() > 12 {
		t.Errorf("memory for 12 runs: got %d crashes and a peak of %.1f runs, want some and at most 12", r.OverloadCrashes, r.PeakRuns())
	}
	if r := Simulate(d, NewModuleNode); r.OverloadCrashes > 0 {
		t.Errorf("module: got %d crashes, want 0", r.OverloadCrashes)
	}
}

// Guards against faults of answers and of the list without effect: a black hole fails tries, a bogus credit makes
// callers that honor it send more, so that more is refused, and a flapping list lowers the score.
func TestFaultsOfAnswersAndList(t *testing.T) {
	simulate := func(kind FaultKind, share, factor float64) Result {
		d := DefaultDay(7)
		d.DurationMs, d.Nodes, d.Load = 15000, 6, 0.9
		d.Callers = []Behavior{{Strategy: LeastOutstanding, MaxTries: 2, HonorsCredit: true, TryTimeoutRatio: 0.6}}
		if share > 0 {
			d.Faults = []Fault{{Kind: kind, At: 3000, Duration: 9000, Share: share, Factor: factor}}
		}
		r := Simulate(d, NewModuleNode)
		if len(r.Violations) > 0 {
			t.Errorf("%v: got violations %v, want none", kind, r.Violations)
		}
		return r
	}
	calm := simulate(BlackHole, 0, 0)
	if hole := simulate(BlackHole, 0.3, 1); calm.Failed > 0 || hole.Failed < 20 {
		t.Errorf("failed tries: got %d with black holes and %d without, want at least 20 and 0", hole.Failed, calm.Failed)
	}
	if bogus := simulate(BogusCredit, 1, 1e9); bogus.Refused <= calm.Refused {
		t.Errorf("refused tries: got %d with a bogus credit and %d without, want more with it", bogus.Refused, calm.Refused)
	}
	flap, empty := simulate(Flap, 0.5, 1), simulate(Flap, 1, 100)
	if empty.Unsent <= calm.Unsent || flap.GoalScore >= calm.GoalScore {
		t.Errorf("unsent requests: got %d with an empty list and %d without, want more with it; goal: got %.3f with a flapping list and %.3f without, want less with it", empty.Unsent, calm.Unsent, flap.GoalScore, calm.GoalScore)
	}
}
