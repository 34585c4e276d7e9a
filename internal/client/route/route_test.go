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

// served tells the router that all nodes have answered once.
func served(r *Router, use []*members.Member, took float64) {
	for _, m := range use {
		r.TrySent(0, m.ID)
		r.TryEnded(0, m.ID, Result{Took: took, Credit: -1}, len(use))
	}
}

// spread sends so many requests that stay out, and counts them by node.
func spread(r *Router, use []*members.Member, now float64, n int, w Query) []int {
	hits := make([]int, len(use))
	rng := rand.New(rand.NewPCG(1, 2))
	for range n {
		w.Draws = draws(rng)
		if m, _ := r.Pick(now, use, w); m != nil {
			r.TrySent(now, m.ID)
			hits[m.ID]++
		}
	}
	return hits
}

// Requests go by what nodes have in hand, how fast they are, the credit they told, and how long they are there.
func TestCost(t *testing.T) {
	use := fleet(4)
	r := New()
	served(r, use, 100)
	if hits := spread(r, use, 10, 400, Query{}); hits[0] < 99 || hits[3] < 99 {
		t.Errorf("alike nodes have %v", hits)
	}
	r = New()
	served(r, use, 100)
	r.TrySent(0, 2)
	r.TryEnded(0, 2, Result{Took: 900, Credit: -1}, 4) // nine times slower, with an open credit
	r.TrySent(0, 2)
	r.TryEnded(0, 2, Result{Took: 900, Credit: 50}, 4)
	if hits := spread(r, use, 10, 400, Query{}); hits[2] > 50 {
		t.Errorf("the slow one has %v", hits)
	}
	if m := r.stats[2].mean(60e3); m > 350 {
		t.Errorf("after a minute the peak still counts: %v", m)
	}
	r = New()
	served(r, use, 100)
	r.TrySent(0, 1)
	r.TryEnded(0, 1, Result{Took: 100, Credit: 3}, 4)
	if hits := spread(r, use, 10, 400, Query{}); hits[1] != 3 {
		t.Errorf("a credit of 3 is used as %v", hits)
	}
	if _, until := r.Pick(10, use[1:2], Query{}); until != creditFor {
		t.Errorf("there is room again at %v", until)
	}
	late := append(fleet(4), &members.Member{Node: members.Node{Name: "new"}, ID: 4})
	r = New()
	served(r, use, 100)
	r.NodeStats(4, 20e3)
	r.TrySent(20e3, 4)
	r.TryEnded(20e3, 4, Result{Took: 100, Credit: -1}, 5)
	if hits := spread(r, late, 20e3, 400, Query{}); hits[4] > 40 {
		t.Errorf("a new node has %v at once", hits)
	}
	r = New()
	served(r, use[:3], 100)
	if hits := spread(r, use, 1, 400, Query{}); hits[3] > probes {
		t.Errorf("a node not heard of has %v", hits)
	}
}

// A black hole, which fails fast, is ejected, and comes back by a slow start; not more than a share of the fleet is.
func TestEjection(t *testing.T) {
	use := fleet(10)
	r := New()
	served(r, use, 100)
	fail := func(now float64, id int) {
		r.TrySent(now, id)
		r.TryEnded(now, id, Result{Took: 1, Credit: 100, Failed: true}, len(use))
	}
	for range ejectAfter {
		fail(1, 7)
	}
	if !r.Ejected(2, 7) || r.Ejected(1+ejectFor, 7) {
		t.Error("a node that fails five times in a row is not kept away for its time")
	}
	for i := range 200 {
		if m, _ := r.Pick(100, use, Query{Draws: [3]float64{float64(i) / 200, float64(i*7%200) / 200, 0}}); m.ID == 7 {
			t.Fatal("it is chosen")
		}
	}
	if hits := spread(r, use, 1+ejectFor, 100, Query{}); hits[7] > 5 {
		t.Errorf("it comes back at once: %v", hits)
	}
	for i := range ejectAfter {
		fail(2+ejectFor+float64(i), 7)
	}
	if !r.Ejected(2+2*ejectFor, 7) {
		t.Error("the second time is no longer than the first")
	}
	for id := range 7 {
		for range ejectAfter {
			fail(20e3, id)
		}
	}
	out := 0
	for id := range use {
		if r.Ejected(20001, id) {
			out++
		}
	}
	if out != 3 {
		t.Errorf("%d of 10 are ejected, 3 at most", out)
	}
}

// Absurd words of nodes are bounded.
func TestAbsurdWords(t *testing.T) {
	use := fleet(1)
	for _, a := range []Result{{Credit: 1e300}, {Credit: math.Inf(1)}, {Credit: math.NaN()}, {Credit: -1, RetryAfter: 86400e3}, {Credit: -1, RetryAfter: math.Inf(1)},
		{Credit: -1, RetryAfter: math.NaN()}, {Credit: 0}} {
		r := New()
		r.TrySent(0, 0)
		r.TryEnded(0, 0, a, 1)
		if _, until := r.Pick(0, use, Query{}); until > maxAdvice {
			t.Errorf("%+v: away until %v", a, until)
		}
		if m, _ := r.Pick(maxAdvice, use, Query{}); m == nil {
			t.Errorf("%+v: nothing after %v", a, maxAdvice)
		}
	}
}

// By key a subject keeps to its node while that has room, no node has more than its bound, and little moves when one goes.
func TestByKey(t *testing.T) {
	use := fleet(10)
	r := New()
	served(r, use, 100)
	hits := make([]int, 10)
	sum := 0
	for key := range uint64(500) {
		m, _ := r.Pick(1, use, Query{Keyed: true, Key: key % 7}) // few keys, very popular
		hits[m.ID]++
		sum++
		r.TrySent(1, m.ID)
		if float64(hits[m.ID]) > math.Ceil(bound*float64(sum)/10) {
			t.Fatalf("%v of %d", hits, sum)
		}
	}
	r = New()
	served(r, use, 100)
	moved := 0
	for key := range uint64(1000) {
		a, _ := r.Pick(1, use, Query{Keyed: true, Key: key})
		b, _ := r.Pick(1, use[1:], Query{Keyed: true, Key: key})
		if a != b {
			moved++
			if a != use[0] {
				t.Fatal("a key moves whose node stays")
			}
		}
	}
	if moved < 60 || moved > 140 {
		t.Errorf("%d of 1,000 keys move, want about 100", moved)
	}
}

// Whatever happens, what is out is counted, a pick is in use and not excluded, and there is one whenever nothing forbids it.
func TestPicks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.OneOf(rapid.IntRange(1, 8), rapid.IntRange(lookAtAll-1, lookAtAll+9)).Draw(t, "nodes")
		use, r := fleet(n), New()
		out := make([]int, n)
		now := 0.0
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += rapid.Float64Range(0, 2000).Draw(t, "later")
			i := rapid.IntRange(0, n-1).Draw(t, "node")
			if out[i] > 0 && rapid.Bool().Draw(t, "ends") {
				out[i]--
				r.TryEnded(now, i, Result{Took: rapid.Float64Range(0, 5000).Draw(t, "took"), Credit: rapid.Float64Range(-1, 5).Draw(t, "credit"),
					RetryAfter: rapid.Float64Range(0, 500).Draw(t, "wait"), Failed: rapid.Bool().Draw(t, "failed"), Cancelled: rapid.Bool().Draw(t, "unheard"),
					Refused: rapid.Bool().Draw(t, "refused"), NoResponse: rapid.Bool().Draw(t, "no answer")}, n)
			}
			w := Query{Keyed: rapid.Bool().Draw(t, "keyed"), Key: rapid.Uint64().Draw(t, "key"), Exclude: []string{use[i].Name}, AllowExcluded: rapid.Bool().Draw(t, "last"),
				Draws: [3]float64{rapid.Float64Range(0, 1).Draw(t, "a"), rapid.Float64Range(0, 1).Draw(t, "b"), rapid.Float64Range(0, 0.999).Draw(t, "c")}}
			m, until := r.Pick(now, use, w)
			if m == nil && until <= now || m != nil && m.ID == i && !w.AllowExcluded {
				t.Fatalf("%v until %v at %v", m, until, now)
			}
			if m != nil {
				r.TrySent(now, m.ID)
				out[m.ID]++
			}
			for j := range n {
				if got := r.NodeStats(j, now).InFlight; got != out[j] {
					t.Fatalf("node %d has %d out, want %d", j, got, out[j])
				}
			}
		}
	})
}

// BenchmarkPick is a pick and its end among so many nodes.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			use, r := fleet(n), New()
			served(r, use, 100)
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
