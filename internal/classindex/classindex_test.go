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

func terms(classes ...string) settings.Settings {
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

func TestChange(t *testing.T) {
	c := New(terms("a", "b", "p"))
	for _, step := range []struct {
		now    float64
		s      settings.Settings
		serves map[string]int
		fresh  []int
	}{
		{0, terms("b", "p", "x"), map[string]int{"b": 1, "p": 2, "x": 3}, []int{3}},
		// the place of a rests for its deadline and 15 s more
		{17999, terms("b", "p", "x", "y"), map[string]int{"b": 1, "p": 2, "x": 3, "y": 4}, []int{4}},
		{18000, terms("b", "p", "x", "y", "z"), map[string]int{"b": 1, "p": 2, "x": 3, "y": 4, "z": 0}, []int{0}},
		{18000, terms("p"), map[string]int{"p": 2}, nil},
		{18001, terms("y", "p"), map[string]int{"y": 4, "p": 2}, nil}, // it comes back to its place
	} {
		v, err := c.Update(step.s, step.now)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(step.serves, v.Active); diff != "" {
			t.Errorf("at %v: %s", step.now, diff)
		}
		if diff := cmp.Diff(step.fresh, v.NewIndices); diff != "" {
			t.Errorf("at %v: %s", step.now, diff)
		}
	}
	// A read that becomes a write is another class: runs of the old one may be started again, those of the new not.
	s := terms("y", "p")
	s.Policy.Classes[0].Repeat = whinrudder.Unsafe
	v, _ := c.Update(s, 18002)
	if at := v.Active["y"]; at == 4 || v.Settings.Classes[4].Repeat != whinrudder.Safe || v.Settings.Classes[at].Repeat != whinrudder.Unsafe {
		t.Errorf("y is at %d: %+v", at, v.Settings.Classes)
	}
}

func TestPlacesAreBounded(t *testing.T) {
	c := New(terms("a"))
	n, refused := 0, 0
	for now := 0.0; now < 200e3; now += 100 {
		n++
		before := c.View(whinrudder.Settings{})
		if _, err := c.Update(terms("a", fmt.Sprint("c", n)), now); err != nil {
			refused++
			if diff := cmp.Diff(before, c.View(whinrudder.Settings{})); diff != "" {
				t.Fatal("a change that was refused changed", diff)
			}
		}
	}
	if len(c.names) > MaxIndices || refused == 0 || refused == n {
		t.Errorf("%d places, %d of %d refused", len(c.names), refused, n)
	}
}

// Whatever comes and goes: each class of the settings has one place, no two share one, no place changes hands before its
// rest is over, and a class that stays keeps its place.
func TestPlacesHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pool := []string{"a", "b", "c", "d", "pa", "pb"}
		pick := func() settings.Settings {
			some := rapid.SliceOfNDistinct(rapid.SampledFrom(pool), 1, len(pool), rapid.ID[string]).Draw(t, "classes")
			return terms(some...)
		}
		s := pick()
		c := New(s)
		v, now := c.View(s.Policy), 0.0
		left := map[int]float64{}
		for range rapid.IntRange(1, 30).Draw(t, "changes") {
			now += rapid.Float64Range(0, 30e3).Draw(t, "pause")
			s = pick()
			w, err := c.Update(s, now)
			if err != nil {
				t.Fatal(err)
			}
			seen := map[int]bool{}
			for i, n := range s.ClassNames {
				at, ok := w.Active[n]
				if !ok || seen[at] || w.Names[at] != n || w.Settings.Classes[at] != s.Policy.Classes[i] {
					t.Fatalf("%s at %d: %+v", n, at, w)
				}
				seen[at] = true
				if was, ok := v.Active[n]; ok && was != at {
					t.Fatalf("%s moved from %d to %d", n, was, at)
				}
			}
			if len(w.Active) != len(s.ClassNames) {
				t.Fatal(w.Active)
			}
			for i, n := range v.Names {
				if w.Names[i] != n && (!slices.Contains(w.NewIndices, i) || now < left[i]+3000+restFor) {
					t.Fatalf("place %d of %s was given to %s after %v ms", i, n, w.Names[i], now-left[i])
				}
			}
			for n, at := range v.Active {
				if _, ok := w.Active[n]; !ok {
					left[at] = now
				}
			}
			v = w
		}
	})
}
