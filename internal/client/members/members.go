// Package members tracks which nodes a client may use. Its inputs are node lists, which may be out of date, and what
// nodes report about themselves in their answers; a node's own report takes precedence over an older list. In a large
// fleet it selects an evenly distributed subset of the nodes for each client. The package does no I/O and reads no
// clock: the caller passes the time. Times are milliseconds.
package members

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Node is an entry of a node list.
type Node struct {
	Name     string // identifies the node across restarts
	Addr     string
	Draining bool
}

// Limits on stored nodes and on how long each input is trusted.
const (
	MaxNodes = 4096
	// ownReportMs is how long a node's own report takes precedence over a list that is older than the report.
	ownReportMs = 5000.0
	// drainingReportMs is how long a node's report that it drains is trusted; a credit is valid for the same time. A
	// draining node still runs requests during its first seconds, and a successor that no list names yet may already
	// answer at its address: a longer time would miss both. With a shorter time the client sends it more requests
	// that it refuses and that other nodes would have run.
	drainingReportMs = 1000.0
	// emptyListIgnoredMs is how long an empty list is ignored: it is more likely that the ensemble lost its data than
	// that the whole fleet left.
	emptyListIgnoredMs = 60e3
	// massLossRatio is the share of the listed nodes that one list may remove. If a list removes more, the removed
	// nodes stay usable as a last resort for lastResortMs.
	massLossRatio = 0.5
	lastResortMs  = 30e3
)

// State says whether a node may be used.
type State uint8

// The states, best first.
const (
	Up         State = iota // listed, or it answered since it was delisted
	LastResort              // removed by a list that removed too many nodes at once; used only when no node is up
	Draining                // it reported that it drains, or its list entry is marked so; it gets no new requests
	Removed                 // delisted or unknown
)

// Member is a node together with what is known about it.
type Member struct {
	Node
	ID int // unchanged for as long as the node is known

	listed     bool
	changedAt  float64 // time of the latest change of its listing or of its draining mark
	servingAt  float64 // time of its latest answer that did not report draining; minus infinity: none
	drainingAt float64 // time of its latest report that it drains; minus infinity: none
	suspect    bool    // delisted by a list that removed more than massLossRatio
}

// Members is the set of nodes that a client knows.
type Members struct {
	self       uint64 // hash that distinguishes this client from others
	subset     int    // nodes to use; 0: all
	byName     map[string]*Member
	nextID     int
	listMade   float64 // when the latest accepted list was made
	hasList    bool    // at least one list was accepted
	emptySince float64 // when lists began to be empty; infinity: the latest list was not empty

	cached   []*Member // result of InUse as of cachedAt
	cachedAt float64
}

// inUseCacheMs is how long InUse returns its previous result when no list and no draining report came in.
const inUseCacheMs = 50.0

// New returns the members of a client without any nodes. The value of self differs between clients, so that they use
// different subsets. The client uses at most subset nodes; 0 means all.
func New(self uint64, subset int) *Members {
	return &Members{self: self, subset: subset, byName: map[string]*Member{},
		emptySince: math.Inf(1), cachedAt: math.Inf(-1)}
}

// SetList applies a node list that was made at the given time, which may be before now; a time in the future counts
// as now. A list older than the latest one is ignored, and ok is false. Entries after the first MaxNodes are ignored.
func (m *Members) SetList(now, made float64, nodes []Node) (ok bool) {
	if made = min(made, now); made < m.listMade && m.hasList {
		return false
	}
	m.listMade, m.hasList, m.cachedAt = made, true, math.Inf(-1)
	if len(nodes) == 0 {
		m.emptySince = min(m.emptySince, now)
		if now-m.emptySince < emptyListIgnoredMs {
			return true
		}
	} else {
		m.emptySince = math.Inf(1)
	}
	seen := map[string]bool{}
	for _, n := range nodes[:min(len(nodes), MaxNodes)] {
		seen[n.Name] = true
		member := m.byName[n.Name]
		if member == nil {
			member = &Member{ID: m.nextID, servingAt: math.Inf(-1), drainingAt: math.Inf(-1)}
			m.nextID++
			m.byName[n.Name] = member
		}
		if !member.listed {
			member.changedAt = made
		}
		if n.Draining && !member.Draining || !n.Draining && member.Draining {
			member.changedAt = made
		}
		member.Node, member.listed, member.suspect = n, true, false
	}
	delisted, wasListed := 0, 0
	for _, member := range m.byName {
		if member.listed {
			wasListed++
			if !seen[member.Name] {
				delisted++
			}
		}
	}
	for _, member := range m.byName {
		if member.listed && !seen[member.Name] {
			member.listed, member.changedAt, member.suspect = false, now,
				float64(delisted) > massLossRatio*float64(wasListed)
		}
	}
	m.forget(now)
	return true
}

// forget deletes nodes that were delisted long ago and have not answered lately.
func (m *Members) forget(now float64) {
	for name, member := range m.byName {
		if !member.listed && now-member.changedAt > max(lastResortMs, ownReportMs) &&
			now-member.servingAt > ownReportMs {
			delete(m.byName, name)
		}
	}
	for name, member := range m.byName { // bounds memory when every list names new nodes
		if len(m.byName) <= 2*MaxNodes {
			return
		}
		if !member.listed {
			delete(m.byName, name)
		}
	}
}

// MarkServing records an answer of a node that did not report draining.
func (m *Members) MarkServing(now float64, name string) {
	if member := m.byName[name]; member != nil {
		member.servingAt = now
	}
}

// MarkDraining records a node's report that it drains: an answer that closes the connection while it drains, or a
// GOAWAY.
func (m *Members) MarkDraining(now float64, name string) {
	if member := m.byName[name]; member != nil {
		member.drainingAt = now
		m.cachedAt = math.Inf(-1)
	}
}

// State reports whether a node may be used.
func (m *Members) State(now float64, name string) State {
	member := m.byName[name]
	if member == nil {
		return Removed
	}
	return m.state(now, member)
}

func (m *Members) state(now float64, member *Member) State {
	// The latest information counts: the node's own report takes precedence over an older list.
	if member.drainingAt > member.servingAt && member.drainingAt > member.changedAt &&
		now-member.drainingAt < drainingReportMs {
		return Draining
	}
	if member.listed && !member.Draining {
		return Up
	}
	if member.servingAt > member.changedAt && now-member.servingAt < ownReportMs {
		return Up // it answered after it was delisted or marked as draining
	}
	switch {
	case member.listed:
		return Draining
	case member.suspect && now-member.changedAt < lastResortMs:
		return LastResort
	}
	return Removed
}

// InUse returns the nodes that the client uses: its subset of the nodes that are up or, if none is up, of the nodes
// in state LastResort. Their order is specific to the client. The result is valid until the next call that changes
// the members.
func (m *Members) InUse(now float64) (out []*Member) {
	if now >= m.cachedAt && now < m.cachedAt+inUseCacheMs {
		return m.cached
	}
	defer func() { m.cached, m.cachedAt = out, now }()
	for _, state := range []State{Up, LastResort} {
		for _, member := range m.byName {
			if m.state(now, member) == state {
				out = append(out, member)
			}
		}
		if len(out) > 0 {
			break
		}
	}
	type scored struct {
		member *Member
		score  uint64
	}
	byScore := make([]scored, len(out))
	for i, member := range out {
		byScore[i] = scored{member, Score(m.self, member.Name)}
	}
	slices.SortFunc(byScore, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.member.Name, b.member.Name))
	})
	for i := range byScore {
		out[i] = byScore[i].member
	}
	if m.subset > 0 && m.subset < len(out) {
		out = out[:m.subset]
	}
	return out
}

// Len returns the number of known nodes.
func (m *Members) Len() int { return len(m.byName) }

// Score returns the weight of a node for a key by rendezvous hashing (Thaler and Ravishankar, 1998): a key uses the
// node with the highest score. When a node joins or leaves, only the keys of that node move.
func Score(key uint64, name string) uint64 {
	x := xxhash.Sum64String(name) ^ key*0x9e3779b97f4a7c15
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	return x ^ x>>32
}
