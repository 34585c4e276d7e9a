// Package ensemble is a model of the list of nodes that a ZooKeeper ensemble keeps: a session and an ephemeral znode
// for each node, sessions that expire without heartbeats, watchers that are notified after a delay, and outages in
// which nothing changes and no session expires. It is a state machine without I/O and without a clock. Times are
// milliseconds.
package ensemble

import (
	"math"
)

// Params describes an ensemble.
type Params struct {
	SessionTimeout float64 // time without heartbeats after which a session expires; 0: at once
	WatchDelay     float64 // time from a change to its notification
}

// Change is a notification of watchers: a node was added to the list or removed from it.
type Change struct {
	Node   int
	Listed bool
}

// session is the state of one node.
type session struct {
	exists      bool           // its znode exists
	silentSince float64        // start of the time without heartbeats; infinity: heartbeats arrive
	registered  bool           // the node wants its znode to exist
	pending     []notification // not yet delivered to watchers, oldest first
	delivered   bool           // whether the last notification said that the node is listed
}

// notification informs watchers at a time whether a node is listed.
type notification struct {
	at     float64
	listed bool
}

// Model is the state of an ensemble.
type Model struct {
	p        Params
	down     bool      // an outage is under way
	upSince  float64   // end of the last outage; time without heartbeats counts from then at the earliest
	sessions []session // by node
	nextAt   float64   // see Next
}

// New returns an ensemble that lists all nodes if listed is true, and no node otherwise.
func New(p Params, nodes int, listed bool) *Model {
	m := &Model{p: p, sessions: make([]session, nodes), nextAt: math.Inf(1)}
	for i := range m.sessions {
		m.sessions[i] = session{exists: listed, registered: listed, silentSince: math.Inf(1), delivered: listed}
	}
	return m
}

// Join registers a node, or records that its heartbeats arrive again. In an outage, this takes effect at its end.
func (m *Model) Join(now float64, node int) {
	s := &m.sessions[node]
	s.registered, s.silentSince = true, math.Inf(1)
	m.updateZnodes(now)
}

// Leave records that a node deletes its znode, as a draining node does.
func (m *Model) Leave(now float64, node int) {
	s := &m.sessions[node]
	s.registered, s.silentSince = false, math.Inf(1)
	m.updateZnodes(now)
}

// Disconnect records that the heartbeats of a node stop: it died, is stalled, or is partitioned off.
func (m *Model) Disconnect(now float64, node int) {
	if s := &m.sessions[node]; math.IsInf(s.silentSince, 1) {
		s.silentSince = now
	}
	m.updateZnodes(now)
}

// BeginOutage begins an outage.
func (m *Model) BeginOutage(now float64) {
	m.updateZnodes(now)
	m.down = true
	m.nextAt = m.nextEvent()
}

// EndOutage ends an outage. All sessions get their full timeout again, as after the election of a new leader.
func (m *Model) EndOutage(now float64) {
	m.down, m.upSince = false, now
	m.updateZnodes(now)
}

// updateZnodes creates and deletes znodes according to the sessions. In an outage, nothing changes.
func (m *Model) updateZnodes(now float64) {
	if !m.down {
		for i := range m.sessions {
			s := &m.sessions[i]
			exists := s.registered && now < m.expiresAt(s)
			if exists != s.exists {
				s.exists = exists
				s.pending = append(s.pending, notification{now + m.p.WatchDelay, exists})
			}
		}
	}
	m.nextAt = m.nextEvent()
}

// expiresAt returns the time at which a session expires if no heartbeat arrives before.
func (m *Model) expiresAt(s *session) float64 {
	return max(s.silentSince, m.upSince) + m.p.SessionTimeout
}

// nextEvent returns the earliest time of a notification or an expiry.
func (m *Model) nextEvent() float64 {
	at := math.Inf(1)
	for i := range m.sessions {
		s := &m.sessions[i]
		if len(s.pending) > 0 {
			at = min(at, s.pending[0].at)
		}
		if !m.down && s.exists {
			at = min(at, m.expiresAt(s))
		}
	}
	return at
}

// Next returns the time at which Step has to be called next; infinity if nothing is due.
func (m *Model) Next() float64 { return m.nextAt }

// Step advances to a time and returns the changes of which watchers are notified by then, in order of nodes.
func (m *Model) Step(now float64) (out []Change) {
	if now < m.nextAt {
		return nil
	}
	m.updateZnodes(now)
	for i := range m.sessions {
		s := &m.sessions[i]
		listed := s.delivered
		for len(s.pending) > 0 && s.pending[0].at <= now {
			listed, s.pending = s.pending[0].listed, s.pending[1:]
		}
		if listed != s.delivered {
			s.delivered = listed
			out = append(out, Change{i, listed})
		}
	}
	m.nextAt = m.nextEvent()
	return out
}
