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

// Guards against the wrong precedence between lists and the nodes' own reports, which depends on their age.
func TestListsAndReports(t *testing.T) {
	for _, c := range []struct {
		name  string
		steps func(m *Members)
		at    float64
		want  []string
	}{
		{"one list", func(m *Members) {}, 100, []string{"a", "b", "c", "d"}},
		{"a node reports draining", func(m *Members) { m.MarkDraining(200, "b") }, 300, []string{"a", "c", "d"}},
		{"a draining report expires, since a successor may answer at the address", func(m *Members) { m.MarkDraining(200, "b") }, 1201, []string{"a", "b", "c", "d"}},
		{"a newer list overrides a draining report", func(m *Members) { m.MarkDraining(200, "b"); m.SetList(6000, 5500, nodes("a", "b", "c", "d")) }, 6000,
			[]string{"a", "b", "c", "d"}},
		{"a restarted node serves again", func(m *Members) { m.MarkDraining(200, "b"); m.MarkServing(900, "b") }, 1000, []string{"a", "b", "c", "d"}},
		{"a list removes a node", func(m *Members) { m.SetList(1000, 900, nodes("a", "b", "c")) }, 1001, []string{"a", "b", "c"}},
		{"a node answers after it was delisted", func(m *Members) { m.SetList(1000, 900, nodes("a", "b", "c")); m.MarkServing(1500, "d") }, 2000,
			[]string{"a", "b", "c", "d"}},
		{"an answer of a delisted node expires", func(m *Members) { m.SetList(1000, 900, nodes("a", "b", "c")); m.MarkServing(1500, "d") }, 7000, []string{"a", "b", "c"}},
		{"an older list that arrives later is ignored", func(m *Members) { m.SetList(1000, 900, nodes("a", "b", "c")); m.SetList(1100, 500, nodes("d")) }, 1200,
			[]string{"a", "b", "c"}},
		{"an empty list is ignored at first", func(m *Members) { m.SetList(1000, 1000, nil) }, 1100, []string{"a", "b", "c", "d"}},
		{"an empty list is accepted after a minute", func(m *Members) { m.SetList(1000, 1000, nil); m.SetList(62000, 62000, nil) }, 200000, nil},
		{"nodes removed by a list that removes most are a last resort", func(m *Members) { m.SetList(1000, 1000, nodes("a")); m.MarkDraining(1100, "a") }, 1200,
			[]string{"b", "c", "d"}},
		{"last-resort nodes are not used while a node is up", func(m *Members) { m.SetList(1000, 1000, nodes("a")) }, 1200, []string{"a"}},
		{"a list from the future counts as made now", func(m *Members) { m.SetList(100, 1e9, nodes("a", "b", "c", "d", "e")); m.MarkDraining(200, "e") }, 300,
			[]string{"a", "b", "c", "d"}},
		{"a list entry is marked as draining", func(m *Members) { m.SetList(1000, 900, []Node{{Name: "a", Draining: true}, {Name: "b"}}) }, 1100, []string{"b"}},
		{"reports of an unknown node are ignored", func(m *Members) { m.MarkDraining(100, "x"); m.MarkServing(100, "x") }, 200, []string{"a", "b", "c", "d"}},
	} {
		m := New(1, 0)
		m.SetList(0, 0, nodes("a", "b", "c", "d"))
		m.InUse(0)
		c.steps(m)
		if diff := cmp.Diff(c.want, names(m.InUse(c.at))); diff != "" {
			t.Errorf("%s: %s", c.name, diff)
		}
	}
}

// Removing a node replaces only that node in each client's subset, and the subsets spread the clients evenly over the
// nodes.
func TestSubsetsAreStableAndEven(t *testing.T) {
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
			t.Fatalf("client %d: %d nodes of its subset were replaced and its size is %d, want %d", c, lost, len(after), k)
		}
		moved += lost
	}
	if want := clients * k / n; moved < want/2 || moved > 2*want {
		t.Errorf("%d subset entries were replaced, want about %d", moved, want)
	}
	for x, l := range load {
		if mean := clients * k / n; l < mean/2 || l > 2*mean {
			t.Errorf("node %s has %d clients, want about the mean of %d", x, l, mean)
		}
	}
}

// Guards against unbounded memory when every list names new nodes.
func TestKnownNodesAreBounded(t *testing.T) {
	m := New(1, 0)
	for i := range 8 {
		var l []Node
		for j := range MaxNodes + 10 {
			l = append(l, Node{Name: fmt.Sprint(i, "-", j)})
		}
		m.SetList(float64(i), float64(i), l)
		if m.Len() > 2*MaxNodes {
			t.Fatalf("%d nodes are known after %d lists, want at most %d", m.Len(), i+1, 2*MaxNodes)
		}
	}
	if got := len(m.InUse(8)); got != MaxNodes {
		t.Errorf("got %d nodes in use, want %d", got, MaxNodes)
	}
}

// For any sequence of lists and answers, at least one node is in use until empty lists are accepted, and the number
// of known nodes stays bounded.
func TestSomeNodeIsInUse(t *testing.T) {
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
			if len(m.InUse(now)) == 0 && m.emptySince > now {
				t.Fatal("no node is in use although no empty list was accepted")
			}
			if m.Len() > 10 {
				t.Fatalf("%d nodes are known, want at most 10", m.Len())
			}
		}
	})
}
