// Package ensemble is a model of the list of nodes as an ensemble keeps it: a session and an ephemeral znode for each node,
// sessions that expire when nothing is heard of them, watchers that hear late, and outages in which nothing changes and no
// session expires. It is a state machine without I/O and without a clock of its own. Times are milliseconds.
package ensemble

import (
	"math"
)

// Params describe an ensemble.
type Params struct {
	SessionTimeout float64 // a silent session is kept so long; 0: its end is seen at once
	WatchDelay     float64 // watchers hear of a change so late
}

// Change is what watchers hear: a node has come to the list or has left it.
type Change struct {
	Node   int
	Listed bool
}

// session is that of one node.
type session struct {
	there   bool    // its znode exists
	silent  float64 // nothing was heard of it since; infinity: it is heard
	alive   bool    // the node wants its znode
	pending []told  // changes that watchers have not heard of
	heard   bool    // what they last heard
}

type told struct {
	at float64
	on bool
}

// Model is an ensemble.
type Model struct {
	p    Params
	down bool
	up   float64 // since when the ensemble answers: silence counts from then at the earliest
	all  []session
	due  float64 // nothing happens before
}

// New returns an ensemble that lists all nodes, or none.
func New(p Params, nodes int, listed bool) *Model {
	m := &Model{p: p, all: make([]session, nodes), due: math.Inf(1)}
	for i := range m.all {
		m.all[i] = session{there: listed, alive: listed, silent: math.Inf(1), heard: listed}
	}
	return m
}

// Join takes a node that registers. In an outage that waits for its end.
func (m *Model) Join(now float64, node int) {
	s := &m.all[node]
	s.alive, s.silent = true, math.Inf(1)
	m.settle(now)
}

// Leave takes a node that takes its znode away, as one does that drains.
func (m *Model) Leave(now float64, node int) {
	s := &m.all[node]
	s.alive, s.silent = false, math.Inf(1)
	m.settle(now)
}

// Disconnect takes a node of which nothing more is heard: it died, stands still, or is cut off.
func (m *Model) Disconnect(now float64, node int) {
	if s := &m.all[node]; math.IsInf(s.silent, 1) {
		s.silent = now
	}
	m.settle(now)
}

// BeginOutage begins an outage.
func (m *Model) BeginOutage(now float64) {
	m.settle(now)
	m.down = true
	m.due = m.next()
}

// EndOutage ends an outage. Sessions get their whole time anew, as from a new leader.
func (m *Model) EndOutage(now float64) {
	m.down, m.up = false, now
	m.settle(now)
}

// settle lets the znodes be what the sessions say.
func (m *Model) settle(now float64) {
	if !m.down {
		for i := range m.all {
			s := &m.all[i]
			want := s.alive && now < m.expires(s)
			if want != s.there {
				s.there = want
				s.pending = append(s.pending, told{now + m.p.WatchDelay, want})
			}
		}
	}
	m.due = m.next()
}

// expires returns when a silent session ends.
func (m *Model) expires(s *session) float64 { return max(s.silent, m.up) + m.p.SessionTimeout }

func (m *Model) next() float64 {
	at := math.Inf(1)
	for i := range m.all {
		s := &m.all[i]
		if len(s.pending) > 0 {
			at = min(at, s.pending[0].at)
		}
		if !m.down && s.there {
			at = min(at, m.expires(s))
		}
	}
	return at
}

// Next returns when Step has something to do; infinity: never, as it stands.
func (m *Model) Next() float64 { return m.due }

// Step returns what watchers hear by a time, node by node.
func (m *Model) Step(now float64) (out []Change) {
	if now < m.due {
		return nil
	}
	m.settle(now)
	for i := range m.all {
		s := &m.all[i]
		on := s.heard
		for len(s.pending) > 0 && s.pending[0].at <= now {
			on, s.pending = s.pending[0].on, s.pending[1:]
		}
		if on != s.heard {
			s.heard = on
			out = append(out, Change{i, on})
		}
	}
	m.due = m.next()
	return out
}
