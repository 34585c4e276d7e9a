package vtime

import (
	"fmt"
	"runtime"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// Guards against timers that fire in the wrong order or not at all after other timers were moved or cancelled: they
// must fire by time, and those with the same time in the order in which they were set.
func TestTimersFireInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var k Kernel
		type setTimer struct {
			at  float64
			seq int
			id  int
		}
		set := map[int]setTimer{}
		var got []int
		timers := make([]Timer, 30)
		for i := range timers {
			timers[i].Do = func(float64) { got = append(got, i) }
		}
		for n := range rapid.IntRange(1, 100).Draw(t, "steps") {
			i := rapid.IntRange(0, len(timers)-1).Draw(t, "which")
			if rapid.IntRange(0, 3).Draw(t, "cancel") == 0 {
				k.Cancel(&timers[i])
				delete(set, i)
				continue
			}
			at := float64(rapid.IntRange(0, 9).Draw(t, "at"))
			k.Set(&timers[i], at)
			set[i] = setTimer{at, n, i}
		}
		var want []setTimer
		for _, w := range set {
			want = append(want, w)
		}
		slices.SortFunc(want, func(a, b setTimer) int {
			if a.at != b.at {
				return int(a.at - b.at)
			}
			return a.seq - b.seq
		})
		k.Run(4)
		k.Run(9)
		for i, w := range want {
			if i >= len(got) || got[i] != w.id {
				t.Fatalf("fired timers %v, want %v", got, want)
			}
		}
		if len(got) != len(want) || k.Now() != 9 || k.Fired() != uint64(len(got)) {
			t.Fatalf("fired timers %v (counted %d) until time %v, want %v until time 9", got, k.Fired(), k.Now(), want)
		}
	})
}

// Guards against results that depend on parallelism, which happens if simulations share state, and against two purposes
// or items that get the same seed.
func TestResultsDoNotDependOnParallelism(t *testing.T) {
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
				t.Errorf("%d workers on %d processors (-want +got):\n%s", workers, procs, diff)
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
		t.Errorf("got %d different seeds, want 400", len(seen))
	}
}
