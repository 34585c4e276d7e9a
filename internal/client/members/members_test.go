package members

import (
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func nodes(names ...string) (out []Node) {
	for _, n := range names {
		out = append(out, Node{Name: n, Addr: n + ":80"})
	}
	return out
}

func names(all []*Member) (out []string) {
	for _, m := range all {
		out = append(out, m.Name)
	}
	slices.Sort(out)
	return out
}

// What is in use after lists and words of nodes, by their age.
func TestListsAndWords(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(m *Members)
		at   float64
		want []string
	}{
		{"a list", func(m *Members) {}, 100, []string{"a", "b", "c", "d"}},
		{"one leaves by its own word", func(m *Members) { m.MarkDraining(200, "b") }, 300, []string{"a", "c", "d"}},
		{"and is asked again soon: its successor has its place", func(m *Members) { m.MarkDraining(200, "b") }, 1201, []string{"a", "b", "c", "d"}},
		{"the word is old by the next list", func(m *Members) { m.MarkDraining(200, "b"); m.SetList(6000, 5500, nodes("a", "b", "c", "d")) }, 6000,
			[]string{"a", "b", "c", "d"}},
		{"it is back in another life", func(m *Members) { m.MarkDraining(200, "b"); m.MarkServing(900, "b") }, 1000, []string{"a", "b", "c", "d"}},
		{"the list loses one", func(m *Members) { m.SetList(1000, 900, nodes("a", "b", "c")) }, 1001, []string{"a", "b", "c"}},
		{"it answered after it was lost", func(m *Members) { m.SetList(1000, 900, nodes("a", "b", "c")); m.MarkServing(1500, "d") }, 2000,
			[]string{"a", "b", "c", "d"}},
		{"not for ever", func(m *Members) { m.SetList(1000, 900, nodes("a", "b", "c")); m.MarkServing(1500, "d") }, 7000, []string{"a", "b", "c"}},
		{"an older list that comes later", func(m *Members) { m.SetList(1000, 900, nodes("a", "b", "c")); m.SetList(1100, 500, nodes("d")) }, 1200,
			[]string{"a", "b", "c"}},
		{"an empty list is not believed", func(m *Members) { m.SetList(1000, 1000, nil) }, 1100, []string{"a", "b", "c", "d"}},
		{"for a minute", func(m *Members) { m.SetList(1000, 1000, nil); m.SetList(62000, 62000, nil) }, 200000, nil},
		{"a list that loses most leaves them as a last resort", func(m *Members) { m.SetList(1000, 1000, nodes("a")); m.MarkDraining(1100, "a") }, 1200,
			[]string{"b", "c", "d"}},
		{"while one is up they are not used", func(m *Members) { m.SetList(1000, 1000, nodes("a")) }, 1200, []string{"a"}},
		{"a list of the future is one of now", func(m *Members) { m.SetList(100, 1e9, nodes("a", "b", "c", "d", "e")); m.MarkDraining(200, "e") }, 300,
			[]string{"a", "b", "c", "d"}},
		{"a draining mark", func(m *Members) { m.SetList(1000, 900, []Node{{Name: "a", Draining: true}, {Name: "b"}}) }, 1100, []string{"b"}},
		{"a node nobody knows says things", func(m *Members) { m.MarkDraining(100, "x"); m.MarkServing(100, "x") }, 200, []string{"a", "b", "c", "d"}},
	} {
		m := New(1, 0)
		m.SetList(0, 0, nodes("a", "b", "c", "d"))
		m.InUse(0)
		c.do(m)
		if diff := cmp.Diff(c.want, names(m.InUse(c.at))); diff != "" {
			t.Errorf("%s: %s", c.name, diff)
		}
	}
}

// Of a subset little moves when one node goes or comes, and clients' subsets are about even.
func TestSubsetsMoveLittle(t *testing.T) {
	const n, k, clients = 100, 20, 300
	var all []string
	for i := range n {
		all = append(all, fmt.Sprint("node", i))
	}
	load := map[string]int{}
	moved := 0
	for c := range clients {
		m := New(uint64(c)*7919+1, k)
		m.SetList(0, 0, nodes(all...))
		before := names(m.InUse(0))
		for _, x := range before {
			load[x]++
		}
		m.SetList(100, 100, nodes(all[1:]...))
		after := names(m.InUse(100))
		lost := 0
		for _, x := range before {
			if !slices.Contains(after, x) {
				lost++
			}
		}
		if lost > 1 || lost == 1 != slices.Contains(before, all[0]) || len(after) != k {
			t.Fatalf("client %d: %d moved", c, lost)
		}
		moved += lost
	}
	if want := clients * k / n; moved < want/2 || moved > 2*want {
		t.Errorf("%d connections move, want about %d", moved, want)
	}
	for x, l := range load {
		if mean := clients * k / n; l < mean/2 || l > 2*mean {
			t.Errorf("%s has %d clients, %d in the mean", x, l, mean)
		}
	}
}

// Lists that name other nodes each time leave no more behind than the bound.
func TestWhatIsKnownIsBounded(t *testing.T) {
	m := New(1, 0)
	for i := range 8 {
		var l []Node
		for j := range MaxNodes + 10 {
			l = append(l, Node{Name: fmt.Sprint(i, "-", j)})
		}
		m.SetList(float64(i), float64(i), l)
		if m.Len() > 2*MaxNodes {
			t.Fatalf("%d nodes are known after %d lists", m.Len(), i+1)
		}
	}
	if got := len(m.InUse(8)); got != MaxNodes {
		t.Errorf("%d are in use", got)
	}
}

// However lists flap and whatever nodes say, something is in use while any node was ever listed within the last while, and what is
// known is bounded.
func TestSomethingIsInUse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New(rapid.Uint64().Draw(t, "self"), rapid.IntRange(0, 4).Draw(t, "subset"))
		m.SetList(0, 0, nodes("n0", "n1", "n2"))
		now := 0.0
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			now += rapid.Float64Range(0, 3000).Draw(t, "later")
			name := fmt.Sprint("n", rapid.IntRange(0, 9).Draw(t, "node"))
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				var l []Node
				for i := range 10 {
					if rapid.Bool().Draw(t, "listed") {
						l = append(l, Node{Name: fmt.Sprint("n", i)})
					}
				}
				m.SetList(now, now-rapid.Float64Range(0, 5000).Draw(t, "lag"), l)
			case 1:
				m.MarkServing(now, name)
			}
			if len(m.InUse(now)) == 0 && m.empty > now {
				t.Fatal("nothing is in use")
			}
			if m.Len() > 10 {
				t.Fatal(m.Len())
			}
		}
	})
}
