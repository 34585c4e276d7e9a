package route

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"whinrudder/internal/client/members"
)

func fleet(n int) (out []*members.Member) {
	for i := range n {
		out = append(out, &members.Member{Node: members.Node{Name: fmt.Sprint("n", i)}, ID: i})
	}
	return out
}

func draws(r *rand.Rand) (d [3]float64) { return [3]float64{r.Float64(), r.Float64(), r.Float64()} }

// markServed records one served try for each node.
func markServed(r *Router, use []*members.Member, took float64) {
	for _, m := range use {
		r.TrySent(0, m.ID)
		r.TryEnded(0, m.ID, Result{Took: took, Credit: -1}, len(use))
	}
}

// sendMany sends n requests that stay in flight and returns how many each node got.
func sendMany(r *Router, use []*members.Member, now float64, n int, q Query) []int {
	hits := make([]int, len(use))
	rng := rand.New(rand.NewPCG(1, 2))
	for range n {
		q.Draws = draws(rng)
		if m, _ := r.Pick(now, use, q); m != nil {
			r.TrySent(now, m.ID)
			hits[m.ID]++
		}
	}
	return hits
}

// Guards against a choice that ignores the requests in flight, the latency, the credit or the slow start of a node.
func TestCost(t *testing.T) {
	use := fleet(4)
	r := New()
	markServed(r, use, 100)
	if hits := sendMany(r, use, 10, 400, Query{}); hits[0] < 99 || hits[3] < 99 {
		t.Errorf("equal nodes got %v requests, want an even spread", hits)
	}
	r = New()
	markServed(r, use, 100)
	r.TrySent(0, 2)
	r.TryEnded(0, 2, Result{Took: 900, Credit: -1}, 4) // nine times slower, without and then with a large credit
	r.TrySent(0, 2)
	r.TryEnded(0, 2, Result{Took: 900, Credit: 50}, 4)
	if hits := sendMany(r, use, 10, 400, Query{}); hits[2] > 50 {
		t.Errorf("requests per node are %v, want at most 50 for the slow node 2", hits)
	}
	if m := r.stats[2].currentLatency(60e3); m > 350 {
		t.Errorf("latency a minute after a peak is %v ms, want at most 350", m)
	}
	r = New()
	markServed(r, use, 100)
	r.TrySent(0, 1)
	r.TryEnded(0, 1, Result{Took: 100, Credit: 3}, 4)
	if hits := sendMany(r, use, 10, 400, Query{}); hits[1] != 3 {
		t.Errorf("requests per node are %v, want 3 for node 1 with a credit of 3", hits)
	}
	if _, until := r.Pick(10, use[1:2], Query{}); until != creditValidMs {
		t.Errorf("until = %v, want %v", until, creditValidMs)
	}
	late := append(fleet(4), &members.Member{Node: members.Node{Name: "new"}, ID: 4})
	r = New()
	markServed(r, use, 100)
	r.NodeStats(4, 20e3)
	r.TrySent(20e3, 4)
	r.TryEnded(20e3, 4, Result{Took: 100, Credit: -1}, 5)
	if hits := sendMany(r, late, 20e3, 400, Query{}); hits[4] > 40 {
		t.Errorf("requests per node are %v, want at most 40 for the new node 4", hits)
	}
	r = New()
	markServed(r, use[:3], 100)
	if hits := sendMany(r, use, 1, 400, Query{}); hits[3] > maxProbeRequests {
		t.Errorf("requests per node are %v, want at most %d for node 3, which has not answered yet", hits, maxProbeRequests)
	}
}

// A node that fails fast looks idle and attracts requests. It must be ejected and return with a slow start, and at
// most a share of the fleet may be ejected at once.
func TestEjection(t *testing.T) {
	use := fleet(10)
	r := New()
	markServed(r, use, 100)
	fail := func(now float64, id int) {
		r.TrySent(now, id)
		r.TryEnded(now, id, Result{Took: 1, Credit: 100, Failed: true}, len(use))
	}
	for range ejectAfterFailures {
		fail(1, 7)
	}
	if !r.Ejected(2, 7) || r.Ejected(1+ejectMs, 7) {
		t.Error("a node with five consecutive failures is not ejected for exactly the ejection time")
	}
	for i := range 200 {
		if m, _ := r.Pick(100, use, Query{Draws: [3]float64{float64(i) / 200, float64(i*7%200) / 200, 0}}); m.ID == 7 {
			t.Fatal("the ejected node was picked")
		}
	}
	if hits := sendMany(r, use, 1+ejectMs, 100, Query{}); hits[7] > 5 {
		t.Errorf("requests per node after the ejection are %v, want at most 5 for node 7 in its slow start", hits)
	}
	for i := range ejectAfterFailures {
		fail(2+ejectMs+float64(i), 7)
	}
	if !r.Ejected(2+2*ejectMs, 7) {
		t.Error("the second ejection does not last longer than the first")
	}
	for id := range 7 {
		for range ejectAfterFailures {
			fail(20e3, id)
		}
	}
	ejected := 0
	for id := range use {
		if r.Ejected(20001, id) {
			ejected++
		}
	}
	if ejected != 3 {
		t.Errorf("%d of 10 nodes are ejected, want 3", ejected)
	}
}

// Guards against absurd credits and retry-after values of a node that exclude it for too long.
func TestAbsurdAdviceIsBounded(t *testing.T) {
	use := fleet(1)
	for _, a := range []Result{{Credit: 1e300}, {Credit: math.Inf(1)}, {Credit: math.NaN()}, {Credit: -1, RetryAfter: 86400e3}, {Credit: -1, RetryAfter: math.Inf(1)},
		{Credit: -1, RetryAfter: math.NaN()}, {Credit: 0}} {
		r := New()
		r.TrySent(0, 0)
		r.TryEnded(0, 0, a, 1)
		if _, until := r.Pick(0, use, Query{}); until > maxRetryAfterMs {
			t.Errorf("%+v: until = %v, want at most %v", a, until, maxRetryAfterMs)
		}
		if m, _ := r.Pick(maxRetryAfterMs, use, Query{}); m == nil {
			t.Errorf("%+v: no node is picked at %v", a, maxRetryAfterMs)
		}
	}
}

// Keyed requests of a subject stay on its node while that is within its load bound, no node exceeds the bound, and
// only the keys of a removed node move.
func TestByKey(t *testing.T) {
	use := fleet(10)
	r := New()
	markServed(r, use, 100)
	hits := make([]int, 10)
	sum := 0
	for key := range uint64(500) {
		m, _ := r.Pick(1, use, Query{Keyed: true, Key: key % 7}) // few keys, very popular
		hits[m.ID]++
		sum++
		r.TrySent(1, m.ID)
		if float64(hits[m.ID]) > math.Ceil(keyLoadBoundRatio*float64(sum)/10) {
			t.Fatalf("requests per node are %v of %d, more than the bound of node %d", hits, sum, m.ID)
		}
	}
	r = New()
	markServed(r, use, 100)
	moved := 0
	for key := range uint64(1000) {
		a, _ := r.Pick(1, use, Query{Keyed: true, Key: key})
		b, _ := r.Pick(1, use[1:], Query{Keyed: true, Key: key})
		if a != b {
			moved++
			if a != use[0] {
				t.Fatal("a key moved although its node stays")
			}
		}
	}
	if moved < 60 || moved > 140 {
		t.Errorf("%d of 1,000 keys moved, want about 100", moved)
	}
}

// For any sequence of events, the requests in flight are counted right, an excluded node is picked only if allowed,
// and without a pick the returned time is in the future.
func TestPicks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.OneOf(rapid.IntRange(1, 8), rapid.IntRange(fullScanNodes-1, fullScanNodes+9)).Draw(t, "nodes")
		use, r := fleet(n), New()
		inFlight := make([]int, n)
		now := 0.0
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += rapid.Float64Range(0, 2000).Draw(t, "later")
			i := rapid.IntRange(0, n-1).Draw(t, "node")
			if inFlight[i] > 0 && rapid.Bool().Draw(t, "ends") {
				inFlight[i]--
				r.TryEnded(now, i, Result{Took: rapid.Float64Range(0, 5000).Draw(t, "took"), Credit: rapid.Float64Range(-1, 5).Draw(t, "credit"),
					RetryAfter: rapid.Float64Range(0, 500).Draw(t, "wait"), Failed: rapid.Bool().Draw(t, "failed"), Cancelled: rapid.Bool().Draw(t, "cancelled"),
					Refused: rapid.Bool().Draw(t, "refused"), NoResponse: rapid.Bool().Draw(t, "no response")}, n)
			}
			q := Query{Keyed: rapid.Bool().Draw(t, "keyed"), Key: rapid.Uint64().Draw(t, "key"), Exclude: []string{use[i].Name}, AllowExcluded: rapid.Bool().Draw(t, "allow excluded"),
				Draws: [3]float64{rapid.Float64Range(0, 1).Draw(t, "a"), rapid.Float64Range(0, 1).Draw(t, "b"), rapid.Float64Range(0, 0.999).Draw(t, "c")}}
			m, until := r.Pick(now, use, q)
			if m == nil && until <= now || m != nil && m.ID == i && !q.AllowExcluded {
				t.Fatalf("picked %v, until %v, at time %v", m, until, now)
			}
			if m != nil {
				r.TrySent(now, m.ID)
				inFlight[m.ID]++
			}
			for j := range n {
				if got := r.NodeStats(j, now).InFlight; got != inFlight[j] {
					t.Fatalf("node %d has %d requests in flight, want %d", j, got, inFlight[j])
				}
			}
		}
	})
}

// BenchmarkPick measures a pick and the end of its try by fleet size.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			use, r := fleet(n), New()
			markServed(r, use, 100)
			rng := rand.New(rand.NewPCG(1, 2))
			b.ReportAllocs()
			now := 0.0
			for b.Loop() {
				now += 0.1
				m, _ := r.Pick(now, use, Query{Draws: draws(rng)})
				r.TrySent(now, m.ID)
				r.TryEnded(now, m.ID, Result{Took: 100, Credit: 20}, n)
			}
		})
	}
}
