package vtime

import (
	"fmt"
	"runtime"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// Timers fire by time, those of one time in the order of setting, whatever was moved or taken back.
func TestTimersFireInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var k Kernel
		type want struct {
			at  float64
			seq int
			id  int
		}
		set := map[int]want{}
		var got []int
		all := make([]Timer, 30)
		for i := range all {
			all[i].Do = func(float64) { got = append(got, i) }
		}
		for n := range rapid.IntRange(1, 100).Draw(t, "steps") {
			i := rapid.IntRange(0, len(all)-1).Draw(t, "which")
			if rapid.IntRange(0, 3).Draw(t, "cancel") == 0 {
				k.Cancel(&all[i])
				delete(set, i)
				continue
			}
			at := float64(rapid.IntRange(0, 9).Draw(t, "at"))
			k.Set(&all[i], at)
			set[i] = want{at, n, i}
		}
		var order []want
		for _, w := range set {
			order = append(order, w)
		}
		slices.SortFunc(order, func(a, b want) int {
			if a.at != b.at {
				return int(a.at - b.at)
			}
			return a.seq - b.seq
		})
		k.Run(4)
		k.Run(9)
		for i, w := range order {
			if i >= len(got) || got[i] != w.id {
				t.Fatalf("fired %v, want %v", got, order)
			}
		}
		if len(got) != len(order) || k.Now() != 9 || k.Fired() != uint64(len(got)) {
			t.Fatalf("fired %v, want %v", got, order)
		}
	})
}

// Streams of two purposes are apart, and days come out the same on any number of workers and processors.
func TestDaysAreTheSameOnAnyNumberOfWorkers(t *testing.T) {
	day := func(i int) string {
		r := Seed(7).Split("day", i).Rand()
		var k Kernel
		text := ""
		for range 50 {
			k.After(r.Float64()*100, func(now float64) { text += fmt.Sprintf("%.9f ", now) })
		}
		k.Run(100)
		return text
	}
	want := ParallelMap(20, 1, day)
	for _, workers := range []int{2, 4, 64} {
		for _, procs := range []int{1, 3} {
			before := runtime.GOMAXPROCS(procs)
			if diff := cmp.Diff(want, ParallelMap(20, workers, day)); diff != "" {
				t.Error(diff)
			}
			runtime.GOMAXPROCS(before)
		}
	}
	seen := map[Seed]bool{}
	for _, p := range []string{"arrivals", "work", "a", "rrivals"} {
		for n := range 100 {
			seen[Seed(7).Split(p, n)] = true
		}
	}
	if len(seen) != 400 {
		t.Errorf("%d seeds, want 400", len(seen))
	}
}
