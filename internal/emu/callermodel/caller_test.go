package callermodel

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"whinrudder/internal/vtime"
)

// Whatever a caller is told, it picks a listed node of its subset that it may go to, one that it did not try before unless all
// were tried, and the best of them by its habit.
func TestPickIsAllowedAndTheBest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "nodes")
		h := Behavior{Strategy: Strategy(rapid.IntRange(0, len(StrategyNames)-1).Draw(t, "choice")), HonorsCredit: rapid.Bool().Draw(t, "heeds"),
			SubsetSize: rapid.IntRange(0, n).Draw(t, "subset")}
		weights := make([]float64, n)
		for i := range weights {
			weights[i] = float64(1 + i%3)
		}
		c := New(h, weights, 1000, vtime.Seed(rapid.Uint64().Draw(t, "seed")))
		listed := slices.Repeat([]bool{true}, n)
		out := make([]int, n)
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
				mean[i] += (took - mean[i]) / meanOf
			case 2:
				c.RecordConnectionFailure(now, i)
			}
			tried := rapid.SliceOfNDistinct(rapid.IntRange(0, n-1), 0, n-1, rapid.ID[int]).Draw(t, "tried")
			w := PickParams{Subject: rapid.IntRange(0, 99).Draw(t, "subject"), Draw: rapid.Float64Range(0, 0.999).Draw(t, "coin"), Tried: tried}
			var may []int
			for j := range n {
				v := &c.seen[j]
				if listed[j] && (c.known == nil || c.known[j]) && !slices.Contains(tried, j) &&
					(!h.HonorsCredit || v.away <= now && v.Allows(now, 1000, w.Draw)) {
					may = append(may, j)
				}
			}
			got := c.Pick(now, listed, w)
			if got < 0 != (len(may) == 0) || got >= 0 && !slices.Contains(may, got) {
				t.Fatalf("picks %d of %v", got, may)
			}
			if got < 0 {
				continue
			}
			for _, j := range may {
				if h.Strategy == LeastOutstanding && out[j] < out[got] || h.Strategy == LowestLatency && mean[j] < mean[got] {
					t.Fatalf("picks %d of %v: out %v, mean %v", got, may, out, mean)
				}
			}
			c.RecordSend(got)
			if out[got]++; rapid.Bool().Draw(t, "over") {
				c.RecordClose(got)
				out[got]--
			}
		}
		if h.SubsetSize > 0 && h.SubsetSize < n {
			if got := len(slices.DeleteFunc(slices.Clone(c.known), func(k bool) bool { return !k })); got != h.SubsetSize {
				t.Fatalf("knows %d nodes, want %d", got, h.SubsetSize)
			}
		}
	})
}

// A budget bounds tries after the first; weights and the two choices spread as they should; a throttled caller gives up most
// of what is always turned away.
func TestBudgetWeightsAndThrottle(t *testing.T) {
	r := vtime.Seed(1).Rand()
	c := New(Behavior{RetryBudget: 0.1}, []float64{1}, 1000, 1)
	again := 0
	for range 1000 {
		c.AllowTry(0, 0, 0)
		for n := 1; n < 5 && c.AllowTry(0, n, 0); n++ {
			again++
		}
	}
	if want := 110; again < want-2 || again > want {
		t.Errorf("%d more tries, want about %d", again, want)
	}
	listed := []bool{true, true, true}
	hits := make([]int, 3)
	c = New(Behavior{Strategy: WeightedRandom}, []float64{1, 2, 1}, 1000, 1)
	for range 4000 {
		hits[c.Pick(0, listed, PickParams{Draw: r.Float64()})]++
	}
	if hits[1] < 1900 || hits[1] > 2100 {
		t.Errorf("weights 1, 2, 1 give %v", hits)
	}
	c = New(Behavior{Strategy: PowerOfTwo}, make([]float64, 3), 1000, 1)
	for range 300 {
		c.RecordSend(c.Pick(0, listed, PickParams{Draw: r.Float64()}))
	}
	for i := range 3 {
		if out := c.seen[i].Outstanding; out < 90 || out > 110 {
			t.Errorf("node %d has %d of 300", i, out)
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
		t.Errorf("%d of 2,000 are sent to a node that turns all away", sent)
	}
}

// What may be tried again: a write only if it provably did not run.
func TestRepeats(t *testing.T) {
	for e := Served; e <= ConnectFailed; e++ {
		write, read := e == Refused || e == ConnectFailed, e != Served
		if (Behavior{}).MayRetry(e, true) != write || (Behavior{}).MayRetry(e, false) != read || (Behavior{RetriesInDoubtWrites: true}).MayRetry(e, true) != read {
			t.Errorf("end %d", e)
		}
	}
	if got := (&Caller{Behavior: Behavior{BackoffBase: 10}}).RetryDelay(3, 0.5); got != 20 {
		t.Errorf("pause before the third repeat at half: %v", got)
	}
}
