package queue

import (
	"cmp"
	"slices"
	"testing"

	gocmp "github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// A heap returns its entries in order of time after any sequence of Set and Remove.
func TestHeapAgainstSorting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h Heap[int]
		all := make([]HeapEntry[int], 40)
		for i := range all {
			all[i].Value = i
		}
		times := map[int]float64{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			i := rapid.IntRange(0, len(all)-1).Draw(t, "which")
			if rapid.Bool().Draw(t, "set") {
				times[i] = float64(rapid.IntRange(0, 30).Draw(t, "at"))
				h.Set(&all[i], times[i])
			} else {
				delete(times, i)
				h.Remove(&all[i])
			}
			if _, queued := times[i]; all[i].Queued() != queued || h.Len() != len(times) {
				t.Fatalf("entry %d: got Queued %v, want %v; got %d entries, want %d", i, all[i].Queued(), queued,
					h.Len(), len(times))
			}
		}
		until := float64(rapid.IntRange(0, 30).Draw(t, "until"))
		last := -1.0
		for {
			i, ok := h.Pop(until)
			if !ok {
				break
			}
			if times[i] < last || times[i] > until {
				t.Fatalf("Pop(%v) returned entry %d with time %v after time %v", until, i, times[i], last)
			}
			last = times[i]
			delete(times, i)
		}
		for i, at := range times {
			if at <= until {
				t.Fatalf("entry %d with time %v is left in the heap", i, at)
			}
		}
	})
}

// Items keep their order, and a walk visits every item that is not skipped, while items are added and removed and
// values change.
func TestGroupedAgainstSorting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type item struct {
			Item[int]
			group int
		}
		all := map[int]*item{}
		q := NewGrouped(func(i int) int { return i % 3 }, func(i int) int { return i % 3 })
		n := 0
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			group := rapid.IntRange(0, 2).Draw(t, "group")
			for range rapid.IntRange(0, 100).Draw(t, "more") {
				id := 3*n + group
				p := &item{Item: Item[int]{Value: id, Key: float64(n / 3), Seq: uint64(n)}, group: group}
				if rapid.IntRange(0, 3).Draw(t, "out of order") == 0 {
					p.Key = float64(rapid.IntRange(0, 100).Draw(t, "key"))
				}
				p.Attributes = [3]float64{float64(rapid.IntRange(0, 9).Draw(t, "low")), p.Key, -p.Key}
				all[id] = p
				q.Add(&p.Item)
				n++
			}
			var values [3]float64
			for i := range values {
				values[i] = float64(rapid.IntRange(0, 3).Draw(t, "value"))
			}
			q.Sort(func(group int) float64 { return values[group] })
			low := float64(rapid.IntRange(0, 9).Draw(t, "skipped from"))
			var want []*item
			for _, p := range all {
				want = append(want, p)
			}
			slices.SortFunc(want, func(a, b *item) int {
				return cmp.Or(cmp.Compare(values[b.group], values[a.group]), a.compare(&b.Item))
			})
			var order, visited []int
			for _, p := range want {
				order = append(order, p.Value)
			}
			q.Walk(func(int, int, [3]float64) bool { return false }, func(i int) { visited = append(visited, i) })
			if diff := gocmp.Diff(order, visited); diff != "" {
				t.Fatal(diff)
			}
			last := -1
			q.Walk(func(group, n int, l [3]float64) bool { return l[0] >= low },
				func(i int) {
					if at := slices.Index(order, i); at <= last {
						t.Fatalf("item %d is visited out of order", i)
					} else {
						last = at
					}
					if p := all[i]; p.Attributes[0] < low {
						if p.Representative() != p.group {
							t.Fatalf("item %d: got group %d, want %d", i, p.Representative(), p.group)
						}
						p.Remove()
						delete(all, i)
					}
				})
			for i, p := range all {
				if p.Attributes[0] < low {
					t.Fatalf("item %d was skipped", i)
				}
			}
			if got := q.Sum(func(int) float64 { return 1 }); got != float64(len(all)) {
				t.Fatalf("got a sum of %v over the items, want %d", got, len(all))
			}
		}
	})
}

// A group whose items are added in order keeps its blocks full, so that skipping many items stays fast.
func TestBlocksStayFull(t *testing.T) {
	var g group[int]
	for i := range 6400 {
		g.add(&Item[int]{Value: i, Key: float64(i)})
	}
	if len(g.blocks) > 110 {
		t.Errorf("got %d blocks for 6400 items, want at most 110", len(g.blocks))
	}
}
