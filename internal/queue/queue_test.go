package queue

import (
	"cmp"
	"slices"
	"testing"

	gocmp "github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// A heap gives back what is in it by time, whatever was moved or removed before.
func TestHeapAgainstSorting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h Heap[int]
		all := make([]HeapEntry[int], 40)
		for i := range all {
			all[i].Value = i
		}
		in := map[int]float64{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			i := rapid.IntRange(0, len(all)-1).Draw(t, "which")
			if rapid.Bool().Draw(t, "set") {
				in[i] = float64(rapid.IntRange(0, 30).Draw(t, "at"))
				h.Set(&all[i], in[i])
			} else {
				delete(in, i)
				h.Remove(&all[i])
			}
			if _, is := in[i]; all[i].Queued() != is || h.Len() != len(in) {
				t.Fatalf("%d in: %v, %d entries, want %d", i, all[i].Queued(), h.Len(), len(in))
			}
		}
		by := float64(rapid.IntRange(0, 30).Draw(t, "by"))
		last := -1.0
		for {
			i, ok := h.Pop(by)
			if !ok {
				break
			}
			if in[i] < last || in[i] > by {
				t.Fatalf("%d of %v after %v, by %v", i, in[i], last, by)
			}
			last = in[i]
			delete(in, i)
		}
		for i, at := range in {
			if at <= by {
				t.Fatalf("%d of %v was left", i, at)
			}
		}
	})
}

// A hold keeps its order and its bounds, and a walk visits what it must, while places come and go and values change.
func TestGroupedAgainstSorting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type item struct {
			Item[int]
			line int
		}
		all := map[int]*item{}
		h := NewGrouped(func(i int) int { return i % 3 }, func(i int) int { return i % 3 })
		n := 0
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			li := rapid.IntRange(0, 2).Draw(t, "line")
			for range rapid.IntRange(0, 100).Draw(t, "more") {
				id := 3*n + li
				p := &item{Item: Item[int]{Value: id, Key: float64(n / 3), Seq: uint64(n)}, line: li}
				if rapid.IntRange(0, 3).Draw(t, "out of turn") == 0 {
					p.Key = float64(rapid.IntRange(0, 100).Draw(t, "key"))
				}
				p.Attributes = [3]float64{float64(rapid.IntRange(0, 9).Draw(t, "low")), p.Key, -p.Key}
				all[id] = p
				h.Add(&p.Item)
				n++
			}
			var values [3]float64
			for i := range values {
				values[i] = float64(rapid.IntRange(0, 3).Draw(t, "value"))
			}
			h.Sort(func(line int) float64 { return values[line] })
			low := float64(rapid.IntRange(0, 9).Draw(t, "skipped from"))
			var want []*item
			for _, p := range all {
				want = append(want, p)
			}
			slices.SortFunc(want, func(a, b *item) int {
				return cmp.Or(cmp.Compare(values[b.line], values[a.line]), a.compare(&b.Item))
			})
			var order, met []int
			for _, p := range want {
				order = append(order, p.Value)
			}
			h.Walk(func(int, int, [3]float64) bool { return false }, func(i int) { met = append(met, i) })
			if diff := gocmp.Diff(order, met); diff != "" {
				t.Fatal(diff)
			}
			last := -1
			h.Walk(func(line, n int, l [3]float64) bool { return l[0] >= low },
				func(i int) {
					if at := slices.Index(order, i); at <= last {
						t.Fatalf("%d is visited out of order", i)
					} else {
						last = at
					}
					if p := all[i]; p.Attributes[0] < low {
						if p.Representative() != p.line {
							t.Fatalf("%d of line %d is in line %d", i, p.line, p.Representative())
						}
						p.Remove()
						delete(all, i)
					}
				})
			for i, p := range all {
				if p.Attributes[0] < low {
					t.Fatalf("%d was passed over", i)
				}
			}
			if got := h.Sum(func(int) float64 { return 1 }); got != float64(len(all)) {
				t.Fatalf("%v places, want %d", got, len(all))
			}
		}
	})
}

// A line whose places come in order keeps its blocks full: what is passed over is passed over fast.
func TestBlocksStayFull(t *testing.T) {
	var l line[int]
	for i := range 6400 {
		l.add(&Item[int]{Value: i, Key: float64(i)})
	}
	if len(l.blocks) > 110 {
		t.Errorf("%d blocks for 6400 places", len(l.blocks))
	}
}
