package core

// ring remembers the ids of requests that are over, so that none is taken twice while its caller may still wait.
type ring struct {
	keep float64 // for so long
	ids  []past  // in order of their ends
	seen map[string]bool
}

type past struct {
	id string
	at float64
}

const maxIDs = 16384 // ids remembered at a time; beyond, the oldest are forgotten early

func (r *ring) has(id string) bool { return r.seen[id] }

func (r *ring) add(id string, now float64) {
	if r.seen == nil {
		r.seen = map[string]bool{}
	}
	old := 0
	for old < len(r.ids) && (r.ids[old].at < now-r.keep || len(r.ids)-old >= maxIDs) {
		delete(r.seen, r.ids[old].id)
		old++
	}
	r.ids = append(r.ids[old:], past{id, now})
	r.seen[id] = true
}

// entry is one kept key: the request that holds it, its result once there is one, and who waits for it.
type entry struct {
	id      string
	key     string
	until   float64 // of the module's Keep; once it is over, of its freshness
	over    bool
	result  []byte
	waiting []string // some may have left
	n       int      // and so many have not
}

// keyTable links reads of one key: where answers may serve others, a repeat names the kept request.
type keyTable struct {
	clean  float64 // when entries that are old are looked for again
	byKey  map[string]*entry
	byID   map[string]*entry
	repeat map[string]repeat // requests in hand that repeat another, by their id
}

// repeat is a request that repeats the one of an entry.
type repeat struct {
	*entry
	waits bool // for its result
}

const (
	maxEntries = 1024 // entries kept at a time; beyond, reads run by themselves
	cleanEvery = 1000 // milliseconds
)

func newKeyTable() *keyTable {
	return &keyTable{byKey: map[string]*entry{}, byID: map[string]*entry{}, repeat: map[string]repeat{}}
}

func keyOf(q *Request) string { return string(rune('0'+q.Class)) + q.Key }

// repeats returns the id of the request that q repeats, or an empty one.
func (t *keyTable) repeats(q *Request, now float64) string {
	e := t.byKey[keyOf(q)]
	if e == nil || e.until < q.ArrivedAt {
		return ""
	}
	t.repeat[q.ID] = repeat{entry: e}
	return e.id
}

func (t *keyTable) keep(q *Request, now, until float64) {
	k := keyOf(q)
	if old := t.byKey[k]; old != nil && old.id != q.ID {
		delete(t.byID, old.id)
	}
	if now >= t.clean {
		t.clean = now + cleanEvery
		t.purge(now)
	}
	e := t.byID[q.ID]
	if e == nil {
		if len(t.byID) >= maxEntries {
			return
		}
		e = &entry{id: q.ID, key: k}
	}
	e.until = until
	t.byKey[k], t.byID[q.ID] = e, e
}

// purge takes out what is over and no longer fresh.
func (t *keyTable) purge(now float64) {
	for id, e := range t.byID {
		if e.until < now && e.n == 0 {
			t.remove(id)
		}
	}
}

func (t *keyTable) remove(id string) *entry {
	e := t.byID[id]
	if e != nil {
		delete(t.byID, id)
		if t.byKey[e.key] == e {
			delete(t.byKey, e.key)
		}
	}
	return e
}

// forget drops an entry. Its request was dropped before it ran, so those that wait for its answer fail: they
// would wait to the end of their time for something that can't come.
func (t *keyTable) forget(id string, serve func(id string, ok bool, result []byte)) {
	if e := t.remove(id); e != nil && !e.over {
		e.over = true
		t.release(e, serve)
	}
}

// release serves all that wait for an entry.
func (t *keyTable) release(e *entry, serve func(id string, ok bool, result []byte)) {
	waiting := e.waiting
	e.waiting, e.n = nil, 0
	for _, w := range waiting {
		if t.repeat[w] == (repeat{e, true}) {
			delete(t.repeat, w)
			serve(w, e.result != nil, e.result)
		}
	}
}

// gone forgets that a request repeats another: it is over.
func (t *keyTable) gone(id string) {
	if r := t.repeat[id]; r.waits {
		r.n--
	}
	delete(t.repeat, id)
}

// reuse serves a repeat with the result that it repeats, now or when there is one.
func (t *keyTable) reuse(id string, serve func(id string, ok bool, result []byte)) {
	r := t.repeat[id]
	switch {
	case r.entry == nil:
		serve(id, false, nil)
	case r.over:
		delete(t.repeat, id)
		serve(id, r.result != nil, r.result)
	default:
		r.n++
		r.waiting = append(r.waiting, id)
		t.repeat[id] = repeat{r.entry, true}
	}
}

// ended hands the end of a run to those that wait for it.
func (t *keyTable) ended(id string, ok bool, result []byte, now, fresh float64,
	serve func(id string, ok bool, result []byte)) {
	e := t.byID[id]
	if e == nil {
		return
	}
	e.over, e.until = true, now+fresh
	if ok {
		e.result = append([]byte{}, result...)
	} else {
		t.remove(id) // a failure serves nobody later
	}
	t.release(e, serve)
}
