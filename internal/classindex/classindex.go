// Package classindex assigns indices to the classes of requests while reloaded settings add and remove classes under
// load. A class keeps its index while it is in the settings. The index of a removed class stays reserved for the
// requests in progress, and is reused for another class only when no request of the old class is in progress any more. The package does no I/O and has no clock. Times are in milliseconds.
package classindex

import (
	"fmt"
	"slices"

	"whinrudder"
	"whinrudder/internal/settings"
)

// MaxIndices bounds the number of indices, including those reserved for removed classes.
const MaxIndices = 128

// indexReuseDelayMs is how long the index of a removed class stays reserved beyond the class's deadline. Requests that
// were read before the removal have reached the core by then.
const indexReuseDelayMs = 15e3

// Allocator assigns indices to classes. Its slices are indexed by them.
type Allocator struct {
	names      []string // including those of removed classes
	classes    []whinrudder.Class
	reusableAt []float64 // when another class may get the index; 0: the class is in the settings
}

// New returns an allocator in which each class of the settings has its position there as index.
func New(s settings.Settings) *Allocator {
	return &Allocator{slices.Clone(s.ClassNames), slices.Clone(s.Policy.Classes), make([]float64, len(s.ClassNames))}
}

// View is a copy of the assignment of indices at one time. Its readers must not modify it.
type View struct {
	Settings   whinrudder.Settings // their Classes are ordered by index and include the removed ones
	Names      []string            // names of the classes by index
	Active     map[string]int      // indices of the classes that are in the settings, by name
	NewIndices []int               // indices that the last update assigned to a new class
}

// View returns the present assignment. Its Settings are s with the classes replaced by those of the allocator.
func (a *Allocator) View(s whinrudder.Settings) View {
	v := View{Settings: s, Names: slices.Clone(a.names), Active: map[string]int{}}
	v.Settings.Classes = slices.Clone(a.classes)
	for i, n := range a.names {
		if a.reusableAt[i] == 0 {
			v.Active[n] = i
		}
	}
	return v
}

// Update applies the classes of new settings at time now. The indices in inUse are not reused. It returns an error, and changes nothing, if the indices run
// out.
func (a *Allocator) Update(s settings.Settings, now float64, inUse map[int]bool) (View, error) {
	next := Allocator{slices.Clone(a.names), slices.Clone(a.classes), slices.Clone(a.reusableAt)}
	var added []int
	// A class whose Repeat has changed counts as another class: the requests in progress keep the old value.
	find := func(name string, class whinrudder.Class) int {
		for i := range next.names {
			if next.names[i] == name && next.classes[i].Repeat == class.Repeat {
				return i
			}
		}
		return -1
	}
	kept := map[int]bool{}
	for i, n := range s.ClassNames {
		kept[find(n, s.Policy.Classes[i])] = true
	}
	for i := range next.names {
		if next.reusableAt[i] == 0 && !kept[i] {
			next.reusableAt[i] = now + next.classes[i].Deadline + indexReuseDelayMs
		}
	}
	for i, n := range s.ClassNames {
		index := find(n, s.Policy.Classes[i])
		if index < 0 {
			index = next.reusableIndex(now, inUse)
			if index < 0 {
				index = len(next.names)
				next.names, next.classes = append(next.names, ""), append(next.classes, whinrudder.Class{})
				next.reusableAt = append(next.reusableAt, 0)
			}
			added = append(added, index)
		}
		// A class that returns gets its old index, and what was learned about it remains valid.
		next.names[index], next.classes[index], next.reusableAt[index] = n, s.Policy.Classes[i], 0
	}
	if len(next.names) > MaxIndices {
		return View{},
			fmt.Errorf("classindex: %d class indices needed, including those of recently removed classes, %d at most",
				len(next.names), MaxIndices)
	}
	*a = next
	v := a.View(s.Policy)
	v.NewIndices = added
	return v, nil
}

// reusableIndex returns the index of a removed class that another one may get, or -1.
func (a *Allocator) reusableIndex(now float64, inUse map[int]bool) int {
	for i, t := range a.reusableAt {
		if t > 0 && t <= now && !inUse[i] {
			return i
		}
	}
	return -1
}
