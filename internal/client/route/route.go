// Package route chooses the node for each request. It picks the node with the lowest cost, or in a large fleet the
// cheaper of two randomly drawn nodes. The cost depends on the requests in flight, the latency, the failures and the
// slow start of a node; its credit limits the requests in flight. Keyed requests of one subject stay on one node as
// far as its load allows. Nodes that fail are ejected for a while. The package does no I/O, reads no clock and draws
// no random numbers: the caller passes times and draws. Times are milliseconds.
package route

import (
	"math"
	"slices"

	"whinrudder/internal/client/members"
)

// Parameters of the choice.
const (
	latencyDecayMs      = 5000.0 // time constant of a latency peak's decay; a higher latency counts at once
	creditValidMs       = 1000.0 // how long a credit is valid
	unknownLatencyMs    = 300.0  // latency assumed for a node without a measurement
	keyLoadBoundRatio   = 1.25   // largest load for keyed requests / mean (Mirrokni, Thorup, Zadimoghaddam, 2018)
	maxRetryAfterMs     = 30e3   // longer retry-after advice is cut to this
	maxCreditRequests   = 1e6    // a higher credit is ignored
	maxProbeRequests    = 2      // requests in flight to a node that has not answered yet, at most
	slowStartMs         = 8000.0 // duration of a slow start
	slowStartRatio      = 0.1    // share of the usual traffic at the beginning of a slow start
	ejectAfterFailures  = 5      // consecutive failures after which a node is ejected
	ejectMs             = 5000.0 // first ejection; doubles with each further one until a request is served
	maxEjectMs          = 60e3   // longest ejection
	maxEjectedRatio     = 0.3    // share of the fleet that may be ejected at once
	failWindowResponses = 20.0   // responses over which the failure ratio is averaged
	ejectFailRatio      = 0.6    // a node with a higher failure ratio is ejected
	panicRatio          = 0.5    // if fewer of the nodes are healthy, ejections are ignored
	probeRatio          = 0.1    // share of the requests that go to nodes that have not answered yet
	fullScanNodes       = 64     // in a larger fleet only two drawn nodes are compared (Mitzenmacher, 2001)
)

// NodeStats is the routing state of one node.
type NodeStats struct {
	InFlight     int     // tries that were sent and have not ended
	latency      float64 // peak-sensitive mean as of latencyAt; 0: no measurement
	latencyAt    float64 // time of the latest latency update
	credit       float64 // requests that may be in flight; below 0: unknown
	creditAt     float64 // time at which the credit was received
	awayUntil    float64 // until then the node asked for no requests
	slowStartAt  float64 // start of the slow start; minus infinity: none
	failures     int     // consecutive failures
	failRatio    float64 // share of failures among the latest failWindowResponses results
	ejectedUntil float64 // end of the ejection; minus infinity: never ejected
	ejections    int     // ejections since the last served request
	responded    bool    // the node has answered at least once
}

// Router chooses nodes and keeps their statistics.
type Router struct {
	stats           map[int]*NodeStats // by Member.ID
	epoch           float64            // when the first node was added
	anyEjectedUntil float64            // end of the latest ejection of any node
}

// New returns a router without statistics.
func New() *Router { return &Router{stats: map[int]*NodeStats{}} }

// NodeStats returns the statistics of a node and creates them if the node is new.
func (r *Router) NodeStats(id int, now float64) *NodeStats {
	s := r.stats[id]
	if s == nil {
		s = &NodeStats{credit: -1, slowStartAt: math.Inf(-1), ejectedUntil: math.Inf(-1)}
		if len(r.stats) > 0 && now-r.epoch > slowStartMs {
			s.slowStartAt = now // it joined after the first nodes, so it may be cold
		}
		if len(r.stats) == 0 {
			r.epoch = now
		}
		r.stats[id] = s
	}
	return s
}

// Forget deletes the statistics of nodes that are not in use and have no requests in flight, once there are many of
// them.
func (r *Router) Forget(use []*members.Member) {
	if len(r.stats) <= 2*len(use)+16 {
		return
	}
	keep := map[int]bool{}
	for _, m := range use {
		keep[m.ID] = true
	}
	for id, s := range r.stats {
		if !keep[id] && s.InFlight == 0 {
			delete(r.stats, id)
		}
	}
}

// Query describes the request for which a node is wanted.
type Query struct {
	Key           uint64 // hash of the subject, if Keyed
	Keyed         bool
	Draws         [3]float64 // uniform in [0, 1): two for nodes, one for the fraction of a credit
	Exclude       []string   // names of nodes that were tried already
	AllowExcluded bool       // if no other node is usable, one that was tried may be returned
}

// Pick returns the node for a request among those in use. If no node can take it, m is nil and until is the earliest
// time at which one may; infinity means that the time is unknown.
func (r *Router) Pick(now float64, use []*members.Member, q Query) (m *members.Member, until float64) {
	if m = r.sample(now, use, q); m != nil {
		return m, 0
	}
	until = math.Inf(1)
	var usable []*members.Member
	healthy := 0
	for _, m := range use {
		if r.NodeStats(m.ID, now).ejectedUntil <= now {
			healthy++
		}
	}
	ignoreHealth := float64(healthy) < panicRatio*float64(len(use))
	for _, m := range use {
		if slices.Contains(q.Exclude, m.Name) {
			continue
		}
		s := r.stats[m.ID]
		if freeAt := s.freeAt(now, q.Draws[2], ignoreHealth); freeAt > now {
			until = min(until, freeAt)
			continue
		}
		usable = append(usable, m)
	}
	switch {
	case len(usable) == 0 && q.AllowExcluded && len(q.Exclude) > 0:
		q.Exclude, q.AllowExcluded = nil, false
		return r.Pick(now, use, q)
	case len(usable) == 0:
		return nil, until
	case q.Keyed:
		return r.byKey(now, usable, q.Key), 0
	}
	n := float64(len(usable))
	start := min(int(q.Draws[0]*n), len(usable)-1)
	a := usable[start]
	if q.Draws[1] < probeRatio {
		for i := range usable { // prefer a node that has not answered yet
			if m := usable[(start+i)%len(usable)]; !r.stats[m.ID].responded {
				return m, 0
			}
		}
	}
	if len(usable) <= fullScanNodes {
		for _, m := range usable {
			if r.cost(now, m) < r.cost(now, a) {
				a = m
			}
		}
		return a, 0
	}
	x := q.Draws[1]
	if x >= probeRatio {
		x = (x - probeRatio) / (1 - probeRatio)
	} else {
		x /= probeRatio
	}
	b := usable[min(int(x*n), len(usable)-1)]
	if r.cost(now, b) < r.cost(now, a) {
		a = b
	}
	return a, 0
}

// maxSampleDraws is how many nodes of a large fleet are drawn before Pick scans all nodes.
const maxSampleDraws = 16

// sample returns the cheaper of two drawn nodes that can take a request, without scanning all nodes of a large fleet.
// It returns nil if it does not find two such nodes, or if all nodes must be scanned.
func (r *Router) sample(now float64, use []*members.Member, q Query) (a *members.Member) {
	if len(use) <= fullScanNodes || q.Keyed || r.anyEjected(now) {
		return nil
	}
	x := math.Float64bits(q.Draws[0]) ^ math.Float64bits(q.Draws[1])<<1
	for range maxSampleDraws {
		// splitmix64 (Steele, Lea and Flood, 2014) derives further draws from the ones in the query
		x += 0x9e3779b97f4a7c15
		z := (x ^ x>>30) * 0xbf58476d1ce4e5b9
		z = (z ^ z>>27) * 0x94d049bb133111eb
		m := use[(z^z>>31)%uint64(len(use))]
		if m == a || slices.Contains(q.Exclude, m.Name) || r.NodeStats(m.ID, now).freeAt(now, q.Draws[2], false) > now {
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

// anyEjected reports whether any node may be ejected now.
func (r *Router) anyEjected(now float64) bool { return now < r.anyEjectedUntil }

// byKey returns the node with the highest rendezvous score for the key whose load is within the bound, or the least
// loaded node if none is.
func (r *Router) byKey(now float64, usable []*members.Member, key uint64) *members.Member {
	totalInFlight := 0
	for _, m := range usable {
		totalInFlight += r.stats[m.ID].InFlight
	}
	maxInFlight := int(math.Ceil(keyLoadBoundRatio * float64(totalInFlight+1) / float64(len(usable))))
	var best, least *members.Member
	var bestScore uint64
	for _, m := range usable {
		if s := r.stats[m.ID]; least == nil || s.InFlight < r.stats[least.ID].InFlight {
			least = m
		}
		if score := members.Score(key, m.Name); r.stats[m.ID].InFlight < maxInFlight &&
			(best == nil || score > bestScore) {
			best, bestScore = m, score
		}
	}
	if best == nil {
		return least
	}
	return best
}

// freeAt returns when the node can take one more request; a time not after now means that it can take one now. The
// draw decides whether the fraction of a credit counts as one more request.
func (s *NodeStats) freeAt(now, draw float64, ignoreHealth bool) float64 {
	if s.awayUntil > now {
		return s.awayUntil
	}
	if s.ejectedUntil > now && !ignoreHealth {
		return s.ejectedUntil
	}
	if !s.responded && s.InFlight >= maxProbeRequests && !ignoreHealth {
		return now + unknownLatencyMs
	}
	if s.credit < 0 || now-s.creditAt >= creditValidMs {
		return now
	}
	whole, part := math.Modf(s.credit)
	if out := float64(s.InFlight); out < whole || out == whole && draw < part {
		return now
	}
	return s.creditAt + creditValidMs
}

// cost returns the cost of one more request to a node, by its requests in flight, latency, slow start and failures.
// The credit only limits the requests in flight: weighting by the remaining credit would send all clients to the same
// nodes.
func (r *Router) cost(now float64, m *members.Member) float64 {
	s := r.stats[m.ID]
	latency := unknownLatencyMs
	if s.latency > 0 {
		latency = s.currentLatency(now)
	}
	// The square root reduces the weight of latency: most requests in flight wait for this client's own share of the
	// node, and latency differences are noise compared with that.
	cost := math.Sqrt(latency) * float64(s.InFlight+1)
	cost /= s.warmth(now)
	return cost * (1 + 4*s.failRatio)
}

// warmth returns the share of the usual traffic that the node gets at its stage of the slow start; 1 after it.
func (s *NodeStats) warmth(now float64) float64 {
	progress := (now - s.slowStartAt) / slowStartMs
	if progress >= 1 {
		return 1
	}
	return slowStartRatio + (1-slowStartRatio)*math.Max(0, progress)
}

// currentLatency returns the latency estimate for now. A peak decays, so that a node that was slow is tried again.
func (s *NodeStats) currentLatency(now float64) float64 {
	f := math.Exp(-(now - s.latencyAt) / latencyDecayMs)
	return s.latency*f + math.Min(s.latency, unknownLatencyMs)*(1-f)
}

// TrySent records a try that was sent to a node.
func (r *Router) TrySent(now float64, id int) { r.NodeStats(id, now).InFlight++ }

// Result describes the end of a try.
type Result struct {
	Took       float64 // milliseconds from sending the try to its end
	Credit     float64 // credit in the answer; below 0: none
	RetryAfter float64 // milliseconds for which the node asked for no requests; 0: none
	Refused    bool    // the node refused the request
	Failed     bool    // an error answer, a broken connection, or no answer in time
	Cancelled  bool    // the client withdrew the try: Took is only a lower bound of the latency
	NoResponse bool    // the node itself did not answer
}

// TryEnded records the end of a try. The number of nodes in the fleet limits ejections.
func (r *Router) TryEnded(now float64, id int, result Result, fleet int) {
	s := r.NodeStats(id, now)
	s.InFlight--
	if result.Credit >= 0 && result.Credit <= maxCreditRequests && !math.IsNaN(result.Credit) {
		s.credit, s.creditAt = result.Credit, now
	}
	if result.RetryAfter > 0 && !math.IsNaN(result.RetryAfter) {
		s.awayUntil = math.Max(s.awayUntil, now+math.Min(result.RetryAfter, maxRetryAfterMs))
	}
	if result.Cancelled {
		if latency := s.currentLatency(now); result.Took > latency && s.latency > 0 {
			s.latency, s.latencyAt = result.Took, now // a lower bound of its latency
		}
		return
	}
	s.responded = s.responded || !result.NoResponse
	failed := 0.0
	if result.Failed {
		failed = 1
	}
	s.failRatio += (failed - s.failRatio) / failWindowResponses
	if result.Failed {
		s.failures++
		if s.failures >= ejectAfterFailures || s.failRatio > ejectFailRatio || result.NoResponse && s.failures >= 2 {
			r.eject(now, s, fleet)
		}
		return
	}
	if s.failures = 0; result.Refused {
		return // the time of a refusal does not measure how fast the node runs requests
	}
	s.ejections = 0
	if s.latency == 0 {
		s.latency, s.latencyAt = result.Took, now
		return
	}
	latency := s.currentLatency(now)
	if result.Took > latency {
		latency = result.Took // a peak counts at once
	} else {
		latency += (result.Took - latency) / 4
	}
	s.latency, s.latencyAt = latency, now
}

// eject excludes a node from requests for a while, unless too many nodes are ejected already. The node returns with a
// slow start.
func (r *Router) eject(now float64, s *NodeStats, fleet int) {
	if s.ejectedUntil > now {
		return
	}
	ejected := 0
	for _, o := range r.stats {
		if o.ejectedUntil > now {
			ejected++
		}
	}
	if float64(ejected+1) > math.Max(1, maxEjectedRatio*float64(fleet)) {
		return
	}
	s.ejectedUntil = now + math.Min(maxEjectMs, math.Ldexp(ejectMs, min(s.ejections, 10)))
	r.anyEjectedUntil = math.Max(r.anyEjectedUntil, s.ejectedUntil)
	s.ejections++
	s.failures, s.failRatio, s.slowStartAt = 0, s.failRatio/2, s.ejectedUntil
}

// Ejected reports whether a node is ejected now.
func (r *Router) Ejected(now float64, id int) bool {
	s := r.stats[id]
	return s != nil && s.ejectedUntil > now
}
