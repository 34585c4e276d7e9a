package core

import "slices"

// keyEntry is one kept key: the request that holds it, its result once it has ended, and the requests that wait for it.
type keyEntry struct {
	id           string
	class        int
	key          string
	until        float64 // end of the module's Keep; once the run has ended, end of the result's freshness
	ended        bool
	endedAt      float64
	result       []byte
	waiting      []string // ids of the waiting requests; some may have ended meanwhile
	waitingCount int      // how many of them still wait
}

// size returns what the entry takes.
func (e *keyEntry) size() int { return keyEntryBytes + len(e.key) + len(e.result) }

// keyTable links reads of the same key: where an answer may serve several requests, a repeat refers to the kept one.
type keyTable struct {
	nextPurge   float64 // when old entries are next removed
	bytes       int     // what the entries take
	maxBytes    int     // bound of it; above that reads run separately
	byKey       map[string]*keyEntry
	byID        map[string]*keyEntry
	repeatsByID map[string]keyRepeat // unfinished requests that repeat another, by their own id
}

// keyRepeat is a request that repeats the one of an entry.
type keyRepeat struct {
	*keyEntry
	awaitsResult bool // it waits for the result of the entry
}

const (
	maxKeyEntries   = 1024    // entries kept at a time; above that reads run separately
	keyEntryBytes   = 512     // of an entry, without its key and its result
	defaultMaxBytes = 4 << 20 // unless ChangeLimits says otherwise
	purgeIntervalMs = 1000
	minTrimWaiting  = 64 // length in requests from which a waiting list is searched for those that have ended
)

func newKeyTable() *keyTable {
	return &keyTable{maxBytes: defaultMaxBytes, byKey: map[string]*keyEntry{}, byID: map[string]*keyEntry{}, repeatsByID: map[string]keyRepeat{}}
}

func keyOf(req *Request) string { return string(rune('0'+req.Class)) + req.Key }

// repeatedID returns the id of the request that req repeats, or an empty string.
func (t *keyTable) repeatedID(req *Request, now float64) string {
	e := t.byKey[keyOf(req)]
	if e == nil || e.until < req.ArrivedAt {
		return ""
	}
	t.repeatsByID[req.ID] = keyRepeat{keyEntry: e}
	return e.id
}

// keep makes later reads of the request's key repeat this request until the given time.
func (t *keyTable) keep(req *Request, now, until float64) {
	k := keyOf(req)
	if old := t.byKey[k]; old != nil && old.id != req.ID {
		t.remove(old.id)
	}
	if now >= t.nextPurge {
		t.nextPurge = now + purgeIntervalMs
		t.purge(now)
	}
	e := t.byID[req.ID]
	if e == nil {
		if len(t.byID) >= maxKeyEntries || t.bytes+keyEntryBytes+len(k) > t.maxBytes {
			return
		}
		e = &keyEntry{id: req.ID, class: req.Class, key: k}
		t.bytes += e.size()
	}
	e.until = until
	t.byKey[k], t.byID[req.ID] = e, e
}

// purge removes the entries that are no longer kept and that no request waits for.
func (t *keyTable) purge(now float64) {
	for id, e := range t.byID {
		if e.until < now && e.waitingCount == 0 {
			t.remove(id)
		}
	}
}

// remove deletes an entry by the id of its request and returns it, or nil if there is none.
func (t *keyTable) remove(id string) *keyEntry {
	e := t.byID[id]
	if e != nil {
		delete(t.byID, id)
		t.bytes -= e.size()
		if t.byKey[e.key] == e {
			delete(t.byKey, e.key)
		}
	}
	return e
}

// dropClass removes the entries of a class, because its index goes to another one.
func (t *keyTable) dropClass(class int, serve func(id string, ok bool, result []byte)) {
	for id, e := range t.byID {
		if e.class == class {
			t.forget(id, serve)
		}
	}
}

// limitAge makes results serve for no longer than a time since the end of their run.
func (t *keyTable) limitAge(now, fresh float64) {
	for id, e := range t.byID {
		if !e.ended {
			continue
		}
		if e.until = min(e.until, e.endedAt+fresh); e.until <= now {
			t.remove(id)
		}
	}
}

// forget removes an entry. If its run has not ended, its request was dropped before it ran, so the requests that wait
// for its answer fail: otherwise they would wait until their due time for an answer that can't come.
func (t *keyTable) forget(id string, serve func(id string, ok bool, result []byte)) {
	if e := t.remove(id); e != nil && !e.ended {
		e.ended = true
		t.serveWaiting(e, serve)
	}
}

// serveWaiting serves all requests that wait for an entry.
func (t *keyTable) serveWaiting(e *keyEntry, serve func(id string, ok bool, result []byte)) {
	waiting := e.waiting
	e.waiting, e.waitingCount = nil, 0
	for _, id := range waiting {
		if t.repeatsByID[id] == (keyRepeat{e, true}) {
			delete(t.repeatsByID, id)
			serve(id, e.result != nil, e.result)
		}
	}
}

// forgetRepeat removes a request that has ended from the requests that repeat another.
func (t *keyTable) forgetRepeat(id string) {
	if r := t.repeatsByID[id]; r.awaitsResult {
		r.waitingCount--
	}
	delete(t.repeatsByID, id)
}

// serveRepeat serves a repeat with the result of the request that it repeats, now or as soon as that has ended.
func (t *keyTable) serveRepeat(id string, serve func(id string, ok bool, result []byte)) {
	r := t.repeatsByID[id]
	switch {
	case r.keyEntry == nil:
		serve(id, false, nil)
	case r.ended:
		delete(t.repeatsByID, id)
		serve(id, r.result != nil, r.result)
	default:
		t.trimWaiting(r.keyEntry)
		r.waitingCount++
		r.waiting = append(r.waiting, id)
		t.repeatsByID[id] = keyRepeat{r.keyEntry, true}
	}
}

// trimWaiting removes the requests that have ended from a waiting list, so that it stays within twice the number of those
// that still wait.
func (t *keyTable) trimWaiting(e *keyEntry) {
	if len(e.waiting) >= max(minTrimWaiting, 2*e.waitingCount) {
		e.waiting = slices.DeleteFunc(e.waiting, func(id string) bool { return t.repeatsByID[id] != keyRepeat{e, true} })
	}
}

// runEnded records the end of a run and serves the requests that wait for it.
func (t *keyTable) runEnded(id string, ok bool, result []byte, now, fresh float64,
	serve func(id string, ok bool, result []byte)) {
	e := t.byID[id]
	if e == nil {
		return
	}
	e.ended, e.endedAt, e.until = true, now, now+fresh
	if !ok {
		t.remove(id) // a failure is not reused later
		t.serveWaiting(e, serve)
		return
	}
	e.result = append([]byte{}, result...)
	t.bytes += len(result)
	t.serveWaiting(e, serve)
	if t.bytes > t.maxBytes {
		t.remove(id) // later reads run separately
	}
}
