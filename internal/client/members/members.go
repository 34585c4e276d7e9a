// Package members knows which nodes a client may use: from lists that hear late, and from what nodes said themselves, which
// goes before a list that is older. It holds the client's even share of a large fleet. It is state without I/O and without a
// clock. Times are milliseconds.
package members

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Node is a node as a list has it.
type Node struct {
	Name     string // what tells it from others, over its lives
	Addr     string
	Draining bool
}

// Limits of what is known.
const (
	MaxNodes = 4096
	// wordFor is how long a node's own word goes before a list that is older than it.
	wordFor = 5000.0
	// leavesFor is how long a node's word that it leaves is believed: as long as a credit is heeded. A node that drains still runs
	// what comes in its first seconds, and may have a successor in its place that no list names yet: who left it alone for
	// longer would miss both. Asked more often, it turns away what others would have taken.
	leavesFor = 1000.0
	// emptyFor is how long an empty list is not believed: an ensemble that lost its data is likelier than a fleet that left.
	emptyFor = 60e3
	// shrunk is the share of the fleet that one list may take away at once; with more the others are kept as a last resort
	// for lostFor.
	shrunk  = 0.5
	lostFor = 30e3
)

// State is how far a node may be used.
type State uint8

// The states, the better first.
const (
	Up         State = iota // listed, or its own word says so
	LastResort              // a list that lost too much at once has lost it: the last resort
	Draining                // it said that it leaves, or its mark does: nothing new goes there
	Removed
)

// Member is a node and what is known of it.
type Member struct {
	Node
	ID int // it keeps it while it is known

	listed  bool
	since   float64 // its listing or delisting was heard of then
	word    float64 // it last answered as one that stays
	leaving float64 // it last said that it leaves; minus infinity: never
	suspect bool    // delisted by a list that lost too much
}

// Members are the nodes of a client.
type Members struct {
	self   uint64
	subset int
	byName map[string]*Member
	next   int
	listAt float64 // when the latest list was made
	heard  bool    // there was a list
	empty  float64 // the list is empty since; infinity: it is not

	use   []*Member // as of useAt
	useAt float64
}

// useFor is how long what is in use is taken for the same, if nothing was heard that changes it.
const useFor = 50.0

// New returns the members of a client. Self tells clients apart, so that they use different subsets; subset 0 is all nodes.
func New(self uint64, subset int) *Members {
	return &Members{self: self, subset: subset, byName: map[string]*Member{}, empty: math.Inf(1), useAt: math.Inf(-1)}
}

// SetList takes a list that was made at a time, which may be before now; one of the future was made now. One that is older than
// the latest is passed over, and ok is false; of one that is too long the first MaxNodes count.
func (m *Members) SetList(now, made float64, nodes []Node) (ok bool) {
	if made = min(made, now); made < m.listAt && m.heard {
		return false
	}
	m.listAt, m.heard, m.useAt = made, true, math.Inf(-1)
	if len(nodes) == 0 {
		m.empty = min(m.empty, now)
		if now-m.empty < emptyFor {
			return true
		}
	} else {
		m.empty = math.Inf(1)
	}
	seen := map[string]bool{}
	for _, n := range nodes[:min(len(nodes), MaxNodes)] {
		seen[n.Name] = true
		e := m.byName[n.Name]
		if e == nil {
			e = &Member{ID: m.next, word: math.Inf(-1), leaving: math.Inf(-1)}
			m.next++
			m.byName[n.Name] = e
		}
		if !e.listed {
			e.since = made
		}
		if n.Draining && !e.Draining || !n.Draining && e.Draining {
			e.since = made
		}
		e.Node, e.listed, e.suspect = n, true, false
	}
	lost, before := 0, 0
	for _, e := range m.byName {
		if e.listed {
			before++
			if !seen[e.Name] {
				lost++
			}
		}
	}
	for _, e := range m.byName {
		if e.listed && !seen[e.Name] {
			e.listed, e.since, e.suspect = false, now, float64(lost) > shrunk*float64(before)
		}
	}
	m.forget(now)
	return true
}

// forget lets go of nodes that are gone for long.
func (m *Members) forget(now float64) {
	for name, e := range m.byName {
		if !e.listed && now-e.since > max(lostFor, wordFor) && now-e.word > wordFor {
			delete(m.byName, name)
		}
	}
	for name, e := range m.byName { // a list that is all new each time must not add up
		if len(m.byName) <= 2*MaxNodes {
			return
		}
		if !e.listed {
			delete(m.byName, name)
		}
	}
}

// MarkServing takes an answer of a node that says nothing of leaving.
func (m *Members) MarkServing(now float64, name string) {
	if e := m.byName[name]; e != nil {
		e.word = now
	}
}

// MarkDraining takes a node's word that it leaves: a closing answer while it drains, a GOAWAY.
func (m *Members) MarkDraining(now float64, name string) {
	if e := m.byName[name]; e != nil {
		e.leaving = now
		m.useAt = math.Inf(-1)
	}
}

// State returns how far a node may be used.
func (m *Members) State(now float64, name string) State {
	e := m.byName[name]
	if e == nil {
		return Removed
	}
	return m.state(now, e)
}

func (m *Members) state(now float64, e *Member) State {
	// The latest word counts: what it said itself before what an older list says.
	if e.leaving > e.word && e.leaving > e.since && now-e.leaving < leavesFor {
		return Draining
	}
	if e.listed && !e.Draining {
		return Up
	}
	if e.word > e.since && now-e.word < wordFor {
		return Up // it answered after the list took it away
	}
	switch {
	case e.listed:
		return Draining
	case e.suspect && now-e.since < lostFor:
		return LastResort
	}
	return Removed
}

// InUse returns the nodes that the client uses, in an order that is its own: those that are up, of its subset; where there are
// none, lost ones. They are valid until the next call that changes anything.
func (m *Members) InUse(now float64) (out []*Member) {
	if now >= m.useAt && now < m.useAt+useFor {
		return m.use
	}
	defer func() { m.use, m.useAt = out, now }()
	for _, want := range []State{Up, LastResort} {
		for _, e := range m.byName {
			if m.state(now, e) == want {
				out = append(out, e)
			}
		}
		if len(out) > 0 {
			break
		}
	}
	type ranked struct {
		e *Member
		h uint64
	}
	all := make([]ranked, len(out))
	for i, e := range out {
		all[i] = ranked{e, Score(m.self, e.Name)}
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Or(cmp.Compare(b.h, a.h), cmp.Compare(a.e.Name, b.e.Name)) })
	for i := range all {
		out[i] = all[i].e
	}
	if m.subset > 0 && m.subset < len(out) {
		out = out[:m.subset]
	}
	return out
}

// Len returns how many nodes are known.
func (m *Members) Len() int { return len(m.byName) }

// Score is the weight of a node for a key by rendezvous hashing (Thaler and Ravishankar, 1998): the highest is used. When
// a node comes or goes, only what falls to it moves.
func Score(key uint64, name string) uint64 {
	x := xxhash.Sum64String(name) ^ key*0x9e3779b97f4a7c15
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	return x ^ x>>32
}
