// Package shrink cuts a day that breaks a rule down to a small one that still breaks it: fewer troubles, seconds, nodes,
// callers, habits, classes and requests. The requests go by delta debugging (Zeller and Hildebrandt, 2002). It plays nothing
// itself and knows no files.
package shrink

import (
	"slices"
	"strings"

	"whinrudder/internal/emu/callermodel"
	"whinrudder/internal/emu/fleet"
)

// RuleName returns the name of a rule that was broken, as the history of it begins.
func RuleName(broken string) string {
	name, _, _ := strings.Cut(broken, ":")
	return name
}

// Step is a cut that held.
type Step struct {
	Change      string
	Simulations int // so far
}

// shrinker is a search under way.
type shrinker struct {
	day    fleet.Day
	breaks func(fleet.Day) bool
	plays  int
	most   int
	steps  []Step
}

// Day returns a small day that still breaks, which breaks tells; d must. Most bounds how often it is asked. Requests tells how
// many a day has.
func Day(d fleet.Day, breaks func(fleet.Day) bool, requests func(fleet.Day) int, most int) (fleet.Day, []Step) {
	s := &shrinker{day: d, breaks: breaks, most: most}
	for {
		before := len(s.steps)
		s.troubles()
		s.time()
		s.nodes()
		s.callers()
		s.plain()
		if len(s.steps) == before || s.plays >= s.most {
			break
		}
	}
	s.requests(requests(s.day))
	s.troubles() // with few requests more of them may be of no use
	s.plain()
	return s.day, s.steps
}

// try keeps a day if it still breaks.
func (s *shrinker) try(what string, d fleet.Day) bool {
	if s.plays >= s.most {
		return false
	}
	s.plays++
	if !s.breaks(d) {
		return false
	}
	s.day = d
	s.steps = append(s.steps, Step{what, s.plays})
	return true
}

func (s *shrinker) troubles() {
	for i := len(s.day.Faults) - 1; i >= 0; i-- {
		d := s.day
		d.Faults = slices.Delete(slices.Clone(d.Faults), i, i+1)
		s.try("no "+s.day.Faults[i].Kind.String(), d)
	}
}

// time ends the day sooner, and troubles with it.
func (s *shrinker) time() {
	for _, share := range []float64{0.5, 0.75, 0.9} {
		for s.day.DurationMs > 1000 {
			d := s.day
			if d.DurationMs *= share; !s.try("shorter", d) {
				break
			}
		}
	}
}

func (s *shrinker) nodes() {
	for _, less := range []func(n int) int{func(n int) int { return n / 2 }, func(n int) int { return n - 1 }} {
		for s.day.Nodes > 1 {
			d := s.day
			if d.Nodes = less(d.Nodes); !s.try("fewer nodes", d) {
				break
			}
		}
	}
}

func (s *shrinker) callers() {
	for n := len(s.day.Callers) / 2; n >= 1; n /= 2 {
		for from := 0; from+n <= len(s.day.Callers) && len(s.day.Callers) > n; {
			d := s.day
			if d.Callers = slices.Delete(slices.Clone(d.Callers), from, from+n); !s.try("fewer callers", d) {
				from += n
			}
		}
	}
}

// plain takes away what may be of no use: each of these makes the day easier to tell.
func (s *shrinker) plain() {
	usual := callermodel.Behavior{Strategy: callermodel.RoundRobin, MaxTries: 1, HonorsCredit: true, TryTimeoutRatio: 0.6}
	for i := range s.day.Callers {
		if h := s.day.Callers[i]; h != usual {
			d := s.day
			d.Callers = slices.Clone(d.Callers)
			d.Callers[i] = usual
			s.try("a caller that tries once", d)
		}
	}
	for _, c := range []struct {
		what string
		is   func(d *fleet.Day) bool
		do   func(d *fleet.Day)
	}{
		{"a warm fleet", func(d *fleet.Day) bool { return d.ColdFleet }, func(d *fleet.Day) { d.ColdFleet = false }},
		{"clients ask once", func(d *fleet.Day) bool { return d.ClientRetries.Share > 0 }, func(d *fleet.Day) { d.ClientRetries.Share = 0 }},
		{"no loss", func(d *fleet.Day) bool { return d.LossRate > 0 }, func(d *fleet.Day) { d.LossRate = 0 }},
		{"a list that hears at once", func(d *fleet.Day) bool { return d.ListLag+d.SessionTimeout > 0 }, func(d *fleet.Day) { d.ListLag, d.SessionTimeout = 0, 0 }},
		{"one class", func(d *fleet.Day) bool { return len(d.Classes) > 1 }, func(d *fleet.Day) { d.Classes = only(d.Classes, 0) }},
		{"the last class", func(d *fleet.Day) bool { return len(d.Classes) > 1 }, func(d *fleet.Day) { d.Classes = only(d.Classes, len(d.Classes)-1) }},
		{"even work", func(d *fleet.Day) bool { return d.WorkCV > 0 }, func(d *fleet.Day) { d.WorkCV = 0 }},
	} {
		if c.is(&s.day) {
			d := s.day
			c.do(&d)
			s.try(c.what, d)
		}
	}
}

func only(all []fleet.Class, i int) []fleet.Class {
	c := all[i]
	c.Share = 1
	return []fleet.Class{c}
}

// requests leaves out as many requests as it can, by delta debugging: parts of the list are left out, finer and finer.
func (s *shrinker) requests(n int) {
	all := s.day.OnlyRequests
	if all == nil {
		for i := range n {
			all = append(all, i)
		}
	}
	for parts := 2; len(all) > 1; {
		size := (len(all) + parts - 1) / parts
		cut := false
		for from := 0; from < len(all); from += size {
			d := s.day
			d.OnlyRequests = slices.Delete(slices.Clone(all), from, min(from+size, len(all)))
			if s.try("fewer requests", d) {
				all, cut = d.OnlyRequests, true
				parts = max(2, parts-1)
				break
			}
		}
		switch {
		case cut:
		case size == 1 || s.plays >= s.most:
			return
		default:
			parts = min(2*parts, len(all))
		}
	}
}
