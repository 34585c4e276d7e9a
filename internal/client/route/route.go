// Package route chooses nodes for requests: the cheapest, or of a large fleet that of two drawn ones, by what they have in hand, their latency, the credit
// they told and how cold they are; by key where a subject shall keep to a node; away from those that fail. It is state
// without I/O, without a clock and without chance: draws are handed in. Times are milliseconds.
package route

import (
	"math"
	"slices"

	"whinrudder/internal/client/members"
)

// Figures of the choice.
const (
	decay      = 5000.0 // a latency's weight falls by e in so long; a higher one counts at once (peak-sensitive mean)
	creditFor  = 1000.0 // a credit is heeded for so long
	usual      = 300.0  // the cost of a node of which nothing is known, in milliseconds
	bound      = 1.25   // by key: times the mean load that a node may have (Mirrokni, Thorup, Zadimoghaddam, 2018)
	maxAdvice  = 30e3   // advice to stay away is believed for so long at most
	maxCredit  = 1e6
	probes     = 2 // requests that a node of which nothing is known may have out
	slowFor    = 8000.0
	slowFrom   = 0.1 // share of the usual traffic with which a node comes back
	ejectAfter = 5   // failures in a row
	ejectFor   = 5000.0
	ejectMost  = 60e3
	ejectShare = 0.3 // of the fleet that may be ejected at once
	failWindow = 20.0
	failShare  = 0.6 // of the latest answers that are failures
	panicShare = 0.5 // of the fleet that must be usable, or health is not looked at
	probeShare = 0.1 // of the requests goes to nodes of which nothing is known, while there are any
	lookAtAll  = 64  // with more nodes two drawn ones are compared (Mitzenmacher, 2001)
)

// Stat is what is known of a node.
type Stat struct {
	Out     int
	latency float64 // peak-sensitive mean; 0: none was seen
	at      float64 // of it
	credit  float64 // below 0: none
	heard   float64 // of the credit
	away    float64
	began   float64 // traffic rises from then on
	fails   int     // in a row
	share   float64 // of the latest answers that are failures, over failWindow
	ejected float64 // until
	times   int     // ejected in a row
	seen    bool    // it has answered
}

// Router chooses.
type Router struct {
	stats       map[int]*Stat // by ID of the member
	epoch       float64
	ejectedTill float64 // no node is ejected from then on
}

// New returns a router.
func New() *Router { return &Router{stats: map[int]*Stat{}} }

// Stat returns what is known of a node, which is made if it is new.
func (r *Router) Stat(id int, now float64) *Stat {
	s := r.stats[id]
	if s == nil {
		s = &Stat{credit: -1, began: math.Inf(-1), ejected: math.Inf(-1)}
		if len(r.stats) > 0 && now-r.epoch > slowFor {
			s.began = now // it came later than the others: it may be cold
		}
		if len(r.stats) == 0 {
			r.epoch = now
		}
		r.stats[id] = s
	}
	return s
}

// Forget lets go of nodes that are not in use and have nothing out.
func (r *Router) Forget(use []*members.Member) {
	if len(r.stats) <= 2*len(use)+16 {
		return
	}
	keep := map[int]bool{}
	for _, m := range use {
		keep[m.ID] = true
	}
	for id, s := range r.stats {
		if !keep[id] && s.Out == 0 {
			delete(r.stats, id)
		}
	}
}

// Want is what a node is looked for.
type Want struct {
	Key     uint64 // of the subject, if Keyed
	Keyed   bool
	Draws   [3]float64 // evenly from 0 to 1: two for nodes, one for a credit's last place
	Exclude []string   // names of nodes that were tried
	Last    bool       // where nothing else is left, one that was tried will do
}

// Pick returns the node for a request among those in use. If there is none, until is when there may be one again; infinity: it
// can't be told.
func (r *Router) Pick(now float64, use []*members.Member, w Want) (m *members.Member, until float64) {
	if m = r.draw(now, use, w); m != nil {
		return m, 0
	}
	until = math.Inf(1)
	var may []*members.Member
	healthy := 0
	for _, m := range use {
		if r.Stat(m.ID, now).ejected <= now {
			healthy++
		}
	}
	blind := float64(healthy) < panicShare*float64(len(use))
	for _, m := range use {
		if slices.Contains(w.Exclude, m.Name) {
			continue
		}
		s := r.stats[m.ID]
		if free := s.free(now, w.Draws[2], blind); free > now {
			until = min(until, free)
			continue
		}
		may = append(may, m)
	}
	switch {
	case len(may) == 0 && w.Last && len(w.Exclude) > 0:
		w.Exclude, w.Last = nil, false
		return r.Pick(now, use, w)
	case len(may) == 0:
		return nil, until
	case w.Keyed:
		return r.byKey(now, may, w.Key), 0
	}
	n := float64(len(may))
	first := min(int(w.Draws[0]*n), len(may)-1)
	a := may[first]
	if w.Draws[1] < probeShare {
		for i := range may { // one of which nothing is known yet, if there is one
			if m := may[(first+i)%len(may)]; !r.stats[m.ID].seen {
				return m, 0
			}
		}
	}
	if len(may) <= lookAtAll {
		for _, m := range may {
			if r.cost(now, m) < r.cost(now, a) {
				a = m
			}
		}
		return a, 0
	}
	x := w.Draws[1]
	if x >= probeShare {
		x = (x - probeShare) / (1 - probeShare)
	} else {
		x /= probeShare
	}
	b := may[min(int(x*n), len(may)-1)]
	if r.cost(now, b) < r.cost(now, a) {
		a = b
	}
	return a, 0
}

// fastDraws is how many nodes of a large fleet are drawn before all are looked at.
const fastDraws = 16

// draw returns the cheaper of two drawn nodes that may take a request, without a look at all of a large fleet; nil: it found no two.
func (r *Router) draw(now float64, use []*members.Member, w Want) (a *members.Member) {
	if len(use) <= lookAtAll || w.Keyed || r.anyEjected(now) {
		return nil
	}
	x := math.Float64bits(w.Draws[0]) ^ math.Float64bits(w.Draws[1])<<1
	for range fastDraws {
		// splitmix64 (Steele, Lea and Flood, 2014) makes more draws of those that were handed in
		x += 0x9e3779b97f4a7c15
		z := (x ^ x>>30) * 0xbf58476d1ce4e5b9
		z = (z ^ z>>27) * 0x94d049bb133111eb
		m := use[(z^z>>31)%uint64(len(use))]
		if m == a || slices.Contains(w.Exclude, m.Name) || r.Stat(m.ID, now).free(now, w.Draws[2], false) > now {
			continue
		}
		if a != nil {
			if r.cost(now, m) < r.cost(now, a) {
				return m
			}
			return a
		}
		a = m
	}
	return nil
}

// anyEjected tells whether a node is kept from requests.
func (r *Router) anyEjected(now float64) bool { return now < r.ejectedTill }

// byKey returns the first node by rendezvous hashing whose load is within bounds.
func (r *Router) byKey(now float64, may []*members.Member, key uint64) *members.Member {
	sum := 0
	for _, m := range may {
		sum += r.stats[m.ID].Out
	}
	most := int(math.Ceil(bound * float64(sum+1) / float64(len(may))))
	var best, least *members.Member
	var high uint64
	for _, m := range may {
		if s := r.stats[m.ID]; least == nil || s.Out < r.stats[least.ID].Out {
			least = m
		}
		if h := members.Score(key, m.Name); r.stats[m.ID].Out < most && (best == nil || h > high) {
			best, high = m, h
		}
	}
	if best == nil {
		return least
	}
	return best
}

// free returns when a node may take one more request; now or before: it may.
func (s *Stat) free(now, coin float64, blind bool) float64 {
	if s.away > now {
		return s.away
	}
	if s.ejected > now && !blind {
		return s.ejected
	}
	if !s.seen && s.Out >= probes && !blind {
		return now + usual
	}
	if s.credit < 0 || now-s.heard >= creditFor {
		return now
	}
	whole, part := math.Modf(s.credit)
	if out := float64(s.Out); out < whole || out == whole && coin < part {
		return now
	}
	return s.heard + creditFor
}

// cost is by what is in hand, how long an answer takes, and what else makes a request there dear. The credit bounds what is in hand and
// is no part of it: weighing by the room that is left sends all clients to the same nodes.
func (r *Router) cost(now float64, m *members.Member) float64 {
	s := r.stats[m.ID]
	latency := usual
	if s.latency > 0 {
		latency = s.mean(now)
	}
	// The square root: most of what is in hand waits on this client's own share of a node, and latencies are noise beside it.
	cost := math.Sqrt(latency) * float64(s.Out+1)
	cost /= s.warmth(now)
	return cost * (1 + 4*s.share)
}

// warmth is the share of the usual traffic that a node shall have.
func (s *Stat) warmth(now float64) float64 {
	up := (now - s.began) / slowFor
	if up >= 1 {
		return 1
	}
	return slowFrom + (1-slowFrom)*math.Max(0, up)
}

// mean is the latency now: a peak fades, so that a node that was slow is tried again.
func (s *Stat) mean(now float64) float64 {
	f := math.Exp(-(now - s.at) / decay)
	return s.latency*f + math.Min(s.latency, usual)*(1-f)
}

// Sent takes a try that went out.
func (r *Router) Sent(now float64, id int) { r.Stat(id, now).Out++ }

// Answer is what came of a try.
type Answer struct {
	Took     float64
	Credit   float64 // below 0: it told none
	Wait     float64 // advice to stay away
	Refused  bool    // turned away
	Failed   bool    // an error, a broken connection, no answer in time
	Unheard  bool    // the client took the try back: nothing is learned but that it took so long at least
	NoAnswer bool    // nothing came from the node itself
}

// Ended takes the end of a try. Ejections hang on how many nodes there are.
func (r *Router) Ended(now float64, id int, a Answer, fleet int) {
	s := r.Stat(id, now)
	s.Out--
	if a.Credit >= 0 && a.Credit <= maxCredit && !math.IsNaN(a.Credit) {
		s.credit, s.heard = a.Credit, now
	}
	if a.Wait > 0 && !math.IsNaN(a.Wait) {
		s.away = math.Max(s.away, now+math.Min(a.Wait, maxAdvice))
	}
	if a.Unheard {
		if mean := s.mean(now); a.Took > mean && s.latency > 0 {
			s.latency, s.at = a.Took, now // it is that slow at least
		}
		return
	}
	s.seen = s.seen || !a.NoAnswer
	fail := 0.0
	if a.Failed {
		fail = 1
	}
	s.share += (fail - s.share) / failWindow
	if a.Failed {
		s.fails++
		if s.fails >= ejectAfter || s.share > failShare || a.NoAnswer && s.fails >= 2 {
			r.eject(now, s, fleet)
		}
		return
	}
	if s.fails = 0; a.Refused {
		return // how fast it refuses says nothing of how fast it works
	}
	s.times = 0
	if s.latency == 0 {
		s.latency, s.at = a.Took, now
		return
	}
	mean := s.mean(now)
	if a.Took > mean {
		mean = a.Took // a peak counts at once
	} else {
		mean += (a.Took - mean) / 4
	}
	s.latency, s.at = mean, now
}

// eject keeps a node from requests for a while, if not too many are kept from already; it comes back by a slow start.
func (r *Router) eject(now float64, s *Stat, fleet int) {
	if s.ejected > now {
		return
	}
	out := 0
	for _, o := range r.stats {
		if o.ejected > now {
			out++
		}
	}
	if float64(out+1) > math.Max(1, ejectShare*float64(fleet)) {
		return
	}
	s.ejected = now + math.Min(ejectMost, math.Ldexp(ejectFor, min(s.times, 10)))
	r.ejectedTill = math.Max(r.ejectedTill, s.ejected)
	s.times++
	s.fails, s.share, s.began = 0, s.share/2, s.ejected
}

// Ejected tells whether a node is kept from requests.
func (r *Router) Ejected(now float64, id int) bool {
	s := r.stats[id]
	return s != nil && s.ejected > now
}
