package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

func nowMs() float64 { return float64(time.Now().UnixNano()) / 1e6 }

// request is a request of a client proxy. The worker pool knows it from before its last byte is written.
type request struct {
	id, class string
	body      []byte
	from      int
	arrived   float64 // Req-Time
	wait      float64 // Req-Wait-Ms
	due       float64

	// Guarded by world.mu.
	over    bool // answered, or given up by its caller
	runs    int  // runs that were begun
	result  string
	status  int // of the answer; 0: none
	answer  string
	lost    string // why it counts as lost; empty: it does not
	written float64
}

// world holds the requests that came to the machine, for the worker pool and for the rules.
type world struct {
	rec *record
	mu  sync.Mutex
	all map[string]*request
}

func newWorld(rec *record) *world { return &world{rec: rec, all: map[string]*request{}} }

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// arrive registers a request that is about to be written.
func (w *world) arrive(class string, from int, wait float64, body []byte) *request {
	r := &request{id: newID(), class: class, from: from, wait: wait, body: body, arrived: float64(time.Now().UnixMilli())}
	r.due = r.arrived + wait
	w.mu.Lock()
	w.all[r.id] = r
	w.mu.Unlock()
	w.rec.line("sent id=%s class=%s from=%d wait=%.0f", r.id, r.class, r.from, r.wait)
	return r
}

// find returns the request with an id, class and body, or nil: then the worker pool does not know it.
func (w *world) find(id, class string, body []byte) *request {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.all[id]
	if r == nil || r.class != class || string(r.body) != string(body) {
		return nil
	}
	return r
}

// open returns requests of the class that have no answer yet and were written at least ageMs ago.
func (w *world) open(class string, ageMs float64) (out []*request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.all {
		if !r.over && (class == "" || r.class == class) && r.written > 0 && nowMs()-r.written >= ageMs {
			out = append(out, r)
		}
	}
	return out
}

// count returns how many requests there are, how many of them are lost, and how many ran more than once.
func (w *world) count() (all, served, refused, failed, lost, twice int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.all {
		all++
		switch {
		case r.lost != "":
			lost++
		case r.status == 200:
			served++
		case r.status == 429 || r.status == 503:
			refused++
		default:
			failed++
		}
		if r.runs > 1 && r.class == "payout-book" {
			twice++
		}
	}
	return
}
