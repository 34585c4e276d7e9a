package core

// endedIDs remembers the ids of ended requests, so that none is accepted twice while its caller may still wait. Ids whose
// request may have run are kept apart from the others: requests that are refused at once, or that the worker pool does not
// know, can come in any number and must not displace an id that must not run again.
type endedIDs struct {
	ran      idHistory // ids whose request may have run
	neverRan idHistory
}

// defaultMaxIDs is how many ids each history remembers, unless ChangeLimits says otherwise.
const defaultMaxIDs = 16384

// newEndedIDs returns an empty history of requests that wait for no longer than longestMs.
func newEndedIDs(longestMs float64) endedIDs {
	e := endedIDs{ran: newIDHistory(defaultMaxIDs), neverRan: newIDHistory(defaultMaxIDs)}
	e.setLongestWait(longestMs)
	return e
}

// setLongestWait sets how long requests wait at most. It never shortens the time for which ids are remembered.
func (e *endedIDs) setLongestWait(ms float64) {
	for _, h := range []*idHistory{&e.ran, &e.neverRan} {
		h.retentionMs = max(h.retentionMs, ms+idMarginMs)
	}
}

// setMaxIDs sets how many ids each history remembers.
func (e *endedIDs) setMaxIDs(n int) { e.ran.maxIDs, e.neverRan.maxIDs = max(1, n), max(1, n) }

func (e *endedIDs) has(id string) bool { return e.ran.has(id) || e.neverRan.has(id) }

// add remembers the id of a request that ended now.
func (e *endedIDs) add(id string, mayHaveRun bool, now float64) {
	if mayHaveRun {
		e.ran.add(id, now)
	} else {
		e.neverRan.add(id, now)
	}
}

// idHistory remembers ids for a time, up to a number.
type idHistory struct {
	retentionMs float64  // how long an id is remembered
	maxIDs      int      // above that the oldest are forgotten early
	ids         []pastID // in the order in which they ended; those before first are forgotten
	first       int
	seen        map[string]bool
}

type pastID struct {
	id      string
	endedAt float64
}

func newIDHistory(maxIDs int) idHistory { return idHistory{maxIDs: maxIDs, seen: map[string]bool{}} }

func (h *idHistory) has(id string) bool { return h.seen[id] }

// count returns how many ids are remembered.
func (h *idHistory) count() int { return len(h.ids) - h.first }

// remembered returns the remembered ids, the oldest first.
func (h *idHistory) remembered() []pastID { return h.ids[h.first:] }

func (h *idHistory) add(id string, now float64) {
	for h.count() > 0 && (h.ids[h.first].endedAt < now-h.retentionMs || h.count() >= h.maxIDs) {
		delete(h.seen, h.ids[h.first].id)
		h.ids[h.first] = pastID{}
		h.first++
	}
	if h.first > len(h.ids)/2 { // reuse the room of the forgotten ids
		kept := copy(h.ids, h.ids[h.first:])
		clear(h.ids[kept:])
		h.ids, h.first = h.ids[:kept], 0
	}
	h.ids = append(h.ids, pastID{id, now})
	h.seen[id] = true
}
