// Package shrink reduces a day that violates a rule to a small day that still violates it: with fewer faults, seconds,
// nodes, callers, classes and requests, and simpler callers. Requests are reduced by delta debugging (Zeller and
// Hildebrandt, 2002). The package runs no simulation itself, it calls a function for that, and does no file access.
package shrink

import (
	"slices"
	"strings"

	"whinrudder/internal/emu/callermodel"
	"whinrudder/internal/emu/fleet"
)

// RuleName returns the name of the violated rule, which is the part of a violation's text before the first colon.
func RuleName(broken string) string {
	name, _, _ := strings.Cut(broken, ":")
	return name
}

// Step is a reduction that kept the violation.
type Step struct {
	Change      string
	Simulations int // number of simulations up to and including this step
}

// shrinker is the state of a reduction.
type shrinker struct {
	day            fleet.Day // smallest day found so far
	breaks         func(fleet.Day) bool
	simulations    int // simulations run so far
	maxSimulations int
	steps          []Step
}

// Day reduces d to a small day for which breaks still returns true; breaks(d) must be true. It calls breaks at most
// maxSimulations times. The function countRequests returns the number of requests of a day. Day also returns the steps
// that led to the small day.
func Day(d fleet.Day, breaks func(fleet.Day) bool, countRequests func(fleet.Day) int,
	maxSimulations int) (fleet.Day, []Step) {
	s := &shrinker{day: d, breaks: breaks, maxSimulations: maxSimulations}
	for {
		before := len(s.steps)
		s.removeFaults()
		s.shortenDay()
		s.removeNodes()
		s.removeCallers()
		s.simplify()
		if len(s.steps) == before || s.simulations >= s.maxSimulations {
			break
		}
	}
	s.removeRequests(countRequests(s.day))
	s.removeFaults() // with fewer requests, further faults may be unnecessary
	s.simplify()
	return s.day, s.steps
}

// try replaces the current day by d if d still breaks the rule and the number of simulations allows the check.
func (s *shrinker) try(change string, d fleet.Day) bool {
	if s.simulations >= s.maxSimulations {
		return false
	}
	s.simulations++
	if !s.breaks(d) {
		return false
	}
	s.day = d
	s.steps = append(s.steps, Step{change, s.simulations})
	return true
}

// removeFaults removes the faults that the violation does not need, the last one first.
func (s *shrinker) removeFaults() {
	for i := len(s.day.Faults) - 1; i >= 0; i-- {
		d := s.day
		d.Faults = slices.Delete(slices.Clone(d.Faults), i, i+1)
		s.try("no "+s.day.Faults[i].Kind.String(), d)
	}
}

// shortenDay ends the day earlier. Faults after its end no longer take place.
func (s *shrinker) shortenDay() {
	for _, share := range []float64{0.5, 0.75, 0.9} {
		for s.day.DurationMs > 1000 {
			d := s.day
			if d.DurationMs *= share; !s.try("shorter", d) {
				break
			}
		}
	}
}

// removeNodes halves the number of nodes as often as possible, then removes single nodes.
func (s *shrinker) removeNodes() {
	for _, reduce := range []func(n int) int{func(n int) int { return n / 2 }, func(n int) int { return n - 1 }} {
		for s.day.Nodes > 1 {
			d := s.day
			if d.Nodes = reduce(d.Nodes); !s.try("fewer nodes", d) {
				break
			}
		}
	}
}

// removeCallers removes callers in blocks of decreasing size.
func (s *shrinker) removeCallers() {
	for size := len(s.day.Callers) / 2; size >= 1; size /= 2 {
		for from := 0; from+size <= len(s.day.Callers) && len(s.day.Callers) > size; {
			d := s.day
			if d.Callers = slices.Delete(slices.Clone(d.Callers), from, from+size); !s.try("fewer callers", d) {
				from += size
			}
		}
	}
}

// simplify replaces parts of the day by simpler ones, which makes the day easier to understand.
func (s *shrinker) simplify() {
	simplest := callermodel.Behavior{Strategy: callermodel.RoundRobin, MaxTries: 1, HonorsCredit: true,
		TryTimeoutRatio: 0.6}
	for i := range s.day.Callers {
		if h := s.day.Callers[i]; h != simplest {
			d := s.day
			d.Callers = slices.Clone(d.Callers)
			d.Callers[i] = simplest
			s.try("a caller that tries once", d)
		}
	}
	for _, c := range []struct {
		change  string
		applies func(d *fleet.Day) bool
		apply   func(d *fleet.Day)
	}{
		{"a warm fleet", func(d *fleet.Day) bool { return d.ColdFleet }, func(d *fleet.Day) { d.ColdFleet = false }},
		{"clients ask once", func(d *fleet.Day) bool { return d.ClientRetries.Share > 0 }, func(d *fleet.Day) { d.ClientRetries.Share = 0 }},
		{"no loss", func(d *fleet.Day) bool { return d.LossRate > 0 }, func(d *fleet.Day) { d.LossRate = 0 }},
		{"a list that hears at once", func(d *fleet.Day) bool { return d.ListLag+d.SessionTimeout > 0 }, func(d *fleet.Day) { d.ListLag, d.SessionTimeout = 0, 0 }},
		{"one class", func(d *fleet.Day) bool { return len(d.Classes) > 1 }, func(d *fleet.Day) { d.Classes = onlyClass(d.Classes, 0) }},
		{"the last class", func(d *fleet.Day) bool { return len(d.Classes) > 1 }, func(d *fleet.Day) { d.Classes = onlyClass(d.Classes, len(d.Classes)-1) }},
		{"even work", func(d *fleet.Day) bool { return d.WorkCV > 0 }, func(d *fleet.Day) { d.WorkCV = 0 }},
	} {
		if c.applies(&s.day) {
			d := s.day
			c.apply(&d)
			s.try(c.change, d)
		}
	}
}

// onlyClass returns a list of one class that gets all requests.
func onlyClass(all []fleet.Class, i int) []fleet.Class {
	c := all[i]
	c.Share = 1
	return []fleet.Class{c}
}

// removeRequests removes as many requests as possible by delta debugging: it tries to leave out parts of the list of
// requests, in ever smaller parts. The argument is the number of requests of the day.
func (s *shrinker) removeRequests(total int) {
	kept := s.day.OnlyRequests
	if kept == nil {
		for i := range total {
			kept = append(kept, i)
		}
	}
	for parts := 2; len(kept) > 1; {
		size := (len(kept) + parts - 1) / parts
		removed := false
		for from := 0; from < len(kept); from += size {
			d := s.day
			d.OnlyRequests = slices.Delete(slices.Clone(kept), from, min(from+size, len(kept)))
			if s.try("fewer requests", d) {
				kept, removed = d.OnlyRequests, true
				parts = max(2, parts-1)
				break
			}
		}
		switch {
		case removed:
		case size == 1 || s.simulations >= s.maxSimulations:
			return
		default:
			parts = min(2*parts, len(kept))
		}
	}
}
