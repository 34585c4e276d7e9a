package callermodel

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"whinrudder/internal/vtime"
)

// Guards against picks that a caller may not make, or no pick where one is possible, after any sequence of answers and
// connection failures. The picked node must be listed, in the subset, allowed by credit and advice and not tried
// before; with LeastOutstanding and LowestLatency it must be the best of those.
func TestPickIsAllowedAndTheBest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "nodes")
		b := Behavior{Strategy: Strategy(rapid.IntRange(0, len(StrategyNames)-1).Draw(t, "choice")), HonorsCredit: rapid.Bool().Draw(t, "heeds"),
			SubsetSize: rapid.IntRange(0, n).Draw(t, "subset")}
		weights := make([]float64, n)
		for i := range weights {
			weights[i] = float64(1 + i%3)
		}
		c := New(b, weights, 1000, vtime.Seed(rapid.Uint64().Draw(t, "seed")))
		listed := slices.Repeat([]bool{true}, n)
		outstanding := make([]int, n)
		mean := make([]float64, n)
		now := 0.0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += rapid.Float64Range(0, 400).Draw(t, "later")
			i := rapid.IntRange(0, n-1).Draw(t, "node")
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				listed[i] = !listed[i]
			case 1:
				took := rapid.Float64Range(1, 1000).Draw(t, "took")
				c.RecordAnswer(now, i, Outcome(rapid.IntRange(0, 2).Draw(t, "end")), took, rapid.Float64Range(-1, 3).Draw(t, "load"), 200)
				if mean[i] == 0 {
					mean[i] = took
				}
				mean[i] += (took - mean[i]) / latencyMeanSamples
			case 2:
				c.RecordConnectionFailure(now, i)
			}
			tried := rapid.SliceOfNDistinct(rapid.IntRange(0, n-1), 0, n-1, rapid.ID[int]).Draw(t, "tried")
			p := PickParams{Subject: rapid.IntRange(0, 99).Draw(t, "subject"), Draw: rapid.Float64Range(0, 0.999).Draw(t, "coin"), Tried: tried}
			var allowed []int
			for j := range n {
				s := &c.nodes[j]
				if listed[j] && (c.subset == nil || c.subset[j]) && !slices.Contains(tried, j) &&
					(!b.HonorsCredit || s.avoidUntil <= now && s.Allows(now, 1000, p.Draw)) {
					allowed = append(allowed, j)
				}
			}
			got := c.Pick(now, listed, p)
			if got < 0 != (len(allowed) == 0) || got >= 0 && !slices.Contains(allowed, got) {
				t.Fatalf("picked node %d, want one of %v (-1 if there is none)", got, allowed)
			}
			if got < 0 {
				continue
			}
			for _, j := range allowed {
				if b.Strategy == LeastOutstanding && outstanding[j] < outstanding[got] || b.Strategy == LowestLatency && mean[j] < mean[got] {
					t.Fatalf("picked node %d of %v, want %d: outstanding %v, mean latency %v", got, allowed, j, outstanding, mean)
				}
			}
			c.RecordSend(got)
			if outstanding[got]++; rapid.Bool().Draw(t, "over") {
				c.RecordClose(got)
				outstanding[got]--
			}
		}
		if b.SubsetSize > 0 && b.SubsetSize < n {
			if got := len(slices.DeleteFunc(slices.Clone(c.subset), func(k bool) bool { return !k })); got != b.SubsetSize {
				t.Fatalf("got a subset of %d nodes, want %d", got, b.SubsetSize)
			}
		}
	})
}

// Guards against retries beyond the budget, against weights and two random choices that do not spread the requests as
// they should, and against a throttled caller that keeps sending to a node that refuses everything.
func TestBudgetWeightsAndThrottle(t *testing.T) {
	r := vtime.Seed(1).Rand()
	c := New(Behavior{RetryBudget: 0.1}, []float64{1}, 1000, 1)
	retries := 0
	for range 1000 {
		c.AllowTry(0, 0, 0)
		for n := 1; n < 5 && c.AllowTry(0, n, 0); n++ {
			retries++
		}
	}
	if want := 110; retries < want-2 || retries > want {
		t.Errorf("got %d retries, want %d to %d", retries, want-2, want)
	}
	listed := []bool{true, true, true}
	hits := make([]int, 3)
	c = New(Behavior{Strategy: WeightedRandom}, []float64{1, 2, 1}, 1000, 1)
	for range 4000 {
		hits[c.Pick(0, listed, PickParams{Draw: r.Float64()})]++
	}
	if hits[1] < 1900 || hits[1] > 2100 {
		t.Errorf("weights 1, 2, 1: got %v of 4,000 requests, want 1,900 to 2,100 at node 1", hits)
	}
	c = New(Behavior{Strategy: PowerOfTwo}, make([]float64, 3), 1000, 1)
	for range 300 {
		c.RecordSend(c.Pick(0, listed, PickParams{Draw: r.Float64()}))
	}
	for i := range 3 {
		if got := c.nodes[i].Outstanding; got < 90 || got > 110 {
			t.Errorf("node %d: got %d of 300 requests, want 90 to 110", i, got)
		}
	}
	c = New(Behavior{Throttle: true}, []float64{1}, 1000, 1)
	sent := 0
	for i := range 2000 {
		if c.AllowTry(float64(i), 0, r.Float64()) {
			sent++
			c.RecordSend(0)
			c.RecordClose(0)
			c.RecordAnswer(float64(i), 0, Refused, 1, -1, 0)
		}
	}
	if sent > 100 {
		t.Errorf("sent %d of 2,000 tries to a node that refuses all, want at most 100", sent)
	}
}

// Guards against retries of a write that may have run, and against an error in the backoff.
func TestRetries(t *testing.T) {
	for o := Served; o <= ConnectFailed; o++ {
		write, read := o == Refused || o == ConnectFailed, o != Served
		if (Behavior{}).MayRetry(o, true) != write || (Behavior{}).MayRetry(o, false) != read || (Behavior{RetriesInDoubtWrites: true}).MayRetry(o, true) != read {
			t.Errorf("outcome %d: want retries of writes %v, of reads %v", o, write, read)
		}
	}
	if got := (&Caller{Behavior: Behavior{BackoffBase: 10}}).RetryDelay(3, 0.5); got != 20 {
		t.Errorf("delay before the third retry at coin 0.5: got %v, want 20", got)
	}
}
