// Package classindex gives the classes of requests their places while new settings add and drop classes under load. A
// class keeps its place for as long as it is in the settings; one that is dropped keeps it for what is in hand, and
// the place is given to another class only when nothing of the old one can be in hand any more. It does no I/O and has
// no clock.
package classindex

import (
	"fmt"
	"slices"

	"whinrudder"
	"whinrudder/internal/settings"
)

// MaxIndices bounds the places, those of dropped classes included.
const MaxIndices = 128

// restFor is how long the place of a dropped class rests beyond the class's deadline, in milliseconds: requests that
// were read before are in hand at most that long, and what is known of their runs goes with them.
const restFor = 15e3

// Allocator holds the places of classes.
type Allocator struct {
	names   []string // by place; those of dropped classes included
	classes []whinrudder.Class
	free    []float64 // when the place may be given to another class; 0: the class is in the settings
}

// New returns a catalog of the classes that settings begin with, each in its place there.
func New(s settings.Settings) *Allocator {
	return &Allocator{slices.Clone(s.ClassNames), slices.Clone(s.Policy.Classes), make([]float64, len(s.ClassNames))}
}

// View is the catalog after a change. What reads it must not change it.
type View struct {
	Settings   whinrudder.Settings // with classes by place
	Names      []string            // by place
	Active     map[string]int      // places of the classes that are in the settings
	NewIndices []int               // places that begin anew
}

// View returns the catalog as it is under settings.
func (c *Allocator) View(s whinrudder.Settings) View {
	v := View{Settings: s, Names: slices.Clone(c.names), Active: map[string]int{}}
	v.Settings.Classes = slices.Clone(c.classes)
	for i, n := range c.names {
		if c.free[i] == 0 {
			v.Active[n] = i
		}
	}
	return v
}

// Update takes over the classes of new settings at a time. An error means that nothing was changed: there are no
// places left.
func (c *Allocator) Update(s settings.Settings, now float64) (View, error) {
	next := Allocator{slices.Clone(c.names), slices.Clone(c.classes), slices.Clone(c.free)}
	var fresh []int
	// One that may run another number of times than before is another class: what is in hand of the old one stays that.
	place := func(name string, k whinrudder.Class) int {
		for i := range next.names {
			if next.names[i] == name && next.classes[i].Repeat == k.Repeat {
				return i
			}
		}
		return -1
	}
	stays := map[int]bool{}
	for i, n := range s.ClassNames {
		stays[place(n, s.Policy.Classes[i])] = true
	}
	for i := range next.names {
		if next.free[i] == 0 && !stays[i] {
			next.free[i] = now + next.classes[i].Deadline + restFor
		}
	}
	for i, n := range s.ClassNames {
		at := place(n, s.Policy.Classes[i])
		if at < 0 {
			at = slices.IndexFunc(next.free, func(t float64) bool { return t > 0 && t <= now })
			if at < 0 {
				at = len(next.names)
				next.names, next.classes = append(next.names, ""), append(next.classes, whinrudder.Class{})
				next.free = append(next.free, 0)
			}
			fresh = append(fresh, at)
		}
		// A class that comes back is what it was, and what was learned of it holds.
		next.names[at], next.classes[at], next.free[at] = n, s.Policy.Classes[i], 0
	}
	if len(next.names) > MaxIndices {
		return View{}, fmt.Errorf("catalog: %d places for classes are wanted, those dropped lately included, %d at most", len(next.names), MaxIndices)
	}
	*c = next
	v := c.View(s.Policy)
	v.NewIndices = fresh
	return v, nil
}
