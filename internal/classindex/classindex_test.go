package classindex

import (
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"whinrudder"
	"whinrudder/internal/settings"
)

// makeSettings returns settings with some classes. Those whose names begin with p are unsafe, the others safe.
func makeSettings(classes ...string) settings.Settings {
	s := settings.Settings{ClassNames: classes}
	for _, n := range classes {
		k := whinrudder.Class{Aim: 1000, Deadline: 3000, Repeat: whinrudder.Safe}
		if n[0] == 'p' {
			k.Repeat = whinrudder.Unsafe
		}
		s.Policy.Classes = append(s.Policy.Classes, k)
	}
	return s
}

func TestUpdate(t *testing.T) {
	a := New(makeSettings("a", "b", "p"))
	for _, step := range []struct {
		now    float64
		s      settings.Settings
		active map[string]int
		added  []int
	}{
		{0, makeSettings("b", "p", "x"), map[string]int{"b": 1, "p": 2, "x": 3}, []int{3}},
		// the index of a stays reserved for its deadline of 3 s and 15 s more
		{17999, makeSettings("b", "p", "x", "y"), map[string]int{"b": 1, "p": 2, "x": 3, "y": 4}, []int{4}},
		{18000, makeSettings("b", "p", "x", "y", "z"), map[string]int{"b": 1, "p": 2, "x": 3, "y": 4, "z": 0},
			[]int{0}},
		{18000, makeSettings("p"), map[string]int{"p": 2}, nil},
		{18001, makeSettings("y", "p"), map[string]int{"y": 4, "p": 2}, nil}, // y returns to its old index
	} {
		v, err := a.Update(step.s, step.now, nil)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(step.active, v.Active); diff != "" {
			t.Errorf("at %v: %s", step.now, diff)
		}
		if diff := cmp.Diff(step.added, v.NewIndices); diff != "" {
			t.Errorf("at %v: %s", step.now, diff)
		}
	}
	// A class that changes from safe to unsafe counts as another class: runs of the old one may be repeated, those of
	// the new one not.
	s := makeSettings("y", "p")
	s.Policy.Classes[0].Repeat = whinrudder.Unsafe
	v, _ := a.Update(s, 18002, nil)
	if index := v.Active["y"]; index == 4 || v.Settings.Classes[4].Repeat != whinrudder.Safe ||
		v.Settings.Classes[index].Repeat != whinrudder.Unsafe {
		t.Errorf("y has index %d in %+v, want a new index for the unsafe class and 4 still safe", index,
			v.Settings.Classes)
	}
}

// Guards against a request that goes to the worker pool under the name of another class, or is stopped by that class's rules: an
// index is not given away while a request of the removed class is in progress, however long that lasts.
func TestIndexInUseIsNotReused(t *testing.T) {
	a := New(makeSettings("a", "b"))
	a.Update(makeSettings("b"), 0, nil)
	v, err := a.Update(makeSettings("b", "c"), 1e6, map[int]bool{0: true})
	if err != nil || v.Active["c"] != 2 {
		t.Errorf("got %v and error %v, want a new index for c", v.Active, err)
	}
	v, err = a.Update(makeSettings("b", "c", "d"), 1e6, nil)
	if err != nil || v.Active["d"] != 0 {
		t.Errorf("got %v and error %v, want the index 0 for d", v.Active, err)
	}
}

func TestIndicesAreBounded(t *testing.T) {
	a := New(makeSettings("a"))
	n, refused := 0, 0
	for now := 0.0; now < 200e3; now += 100 {
		n++
		before := a.View(whinrudder.Settings{})
		if _, err := a.Update(makeSettings("a", fmt.Sprint("c", n)), now, nil); err != nil {
			refused++
			if diff := cmp.Diff(before, a.View(whinrudder.Settings{})); diff != "" {
				t.Fatal("a refused update changed the assignment: ", diff)
			}
		}
	}
	if len(a.names) > MaxIndices || refused == 0 || refused == n {
		t.Errorf("got %d indices and %d of %d updates refused, want at most MaxIndices and only some updates refused",
			len(a.names), refused, n)
	}
}

// After any sequence of updates, each class of the settings has an index of its own, a class that stays keeps its
// index, and no index is reused before its delay has passed.
func TestIndicesAreStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pool := []string{"a", "b", "c", "d", "pa", "pb"}
		pick := func() settings.Settings {
			some := rapid.SliceOfNDistinct(rapid.SampledFrom(pool), 1, len(pool), rapid.ID[string]).Draw(t, "classes")
			return makeSettings(some...)
		}
		s := pick()
		a := New(s)
		v, now := a.View(s.Policy), 0.0
		removedAt := map[int]float64{}
		for range rapid.IntRange(1, 30).Draw(t, "changes") {
			now += rapid.Float64Range(0, 30e3).Draw(t, "pause")
			s = pick()
			w, err := a.Update(s, now, nil)
			if err != nil {
				t.Fatal(err)
			}
			seen := map[int]bool{}
			for i, n := range s.ClassNames {
				index, ok := w.Active[n]
				if !ok || seen[index] || w.Names[index] != n ||
					w.Settings.Classes[index] != s.Policy.Classes[i] {
					t.Fatalf("class %s has index %d, want an index of its own with its name and settings, in %+v", n,
						index, w)
				}
				seen[index] = true
				if was, ok := v.Active[n]; ok && was != index {
					t.Fatalf("class %s moved from index %d to %d", n, was, index)
				}
			}
			if len(w.Active) != len(s.ClassNames) {
				t.Fatal(w.Active)
			}
			for i, n := range v.Names {
				if w.Names[i] != n && (!slices.Contains(w.NewIndices, i) || now < removedAt[i]+3000+indexReuseDelayMs) {
					t.Fatalf("index %d of class %s was reused for %s %v ms after its removal", i, n, w.Names[i],
						now-removedAt[i])
				}
			}
			for n, index := range v.Active {
				if _, ok := w.Active[n]; !ok {
					removedAt[index] = now
				}
			}
			v = w
		}
	})
}
