// Package vtime is a discrete-event simulation kernel: timers that fire in order of virtual time, random streams that
// are split by purpose, and a parallel map that runs independent simulations with the same results on any number of
// processors. Times are milliseconds.
package vtime

import (
	"encoding/binary"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// Timer calls Do once at the time for which it is set, and can then be set again. It is usually embedded in the object
// that it wakes. Do must be assigned before the timer is set.
type Timer struct {
	Do func(now float64)

	pos int // position in the heap, counted from 1; 0: not set
}

// IsSet reports whether the timer is set.
func (t *Timer) IsSet() bool { return t.pos > 0 }

// Kernel holds the virtual clock and the timers that are set. It must be used from one goroutine only. The zero value
// is a kernel at time 0 without timers.
type Kernel struct {
	now   float64
	fired uint64  // number of timers that have fired
	seq   uint64  // number of calls of Set
	heap  []entry // 4-ary: half as deep as a binary heap, with the children of an entry adjacent in memory
}

// entry is a timer that is set. Entries with the same time are ordered by seq.
type entry struct {
	at  float64
	seq uint64
	t   *Timer
}

func (e *entry) before(o *entry) bool { return e.at < o.at || e.at == o.at && e.seq < o.seq }

const arity = 4

// Now returns the current virtual time.
func (k *Kernel) Now() float64 { return k.now }

// Fired returns how many timers have fired.
func (k *Kernel) Fired() uint64 { return k.fired }

// Len returns how many timers are set.
func (k *Kernel) Len() int { return len(k.heap) }

// Set sets a timer to fire at a time, or now if that time has passed. A timer that is already set is moved. Timers with
// the same time fire in the order in which they were set.
func (k *Kernel) Set(t *Timer, at float64) {
	k.seq++
	e := entry{max(at, k.now), k.seq, t}
	if t.pos == 0 {
		k.heap = append(k.heap, e)
		k.up(len(k.heap)-1, e)
		return
	}
	k.fix(t.pos-1, e)
}

// After returns a new timer that is set to fire after ms milliseconds.
func (k *Kernel) After(ms float64, do func(now float64)) *Timer {
	t := &Timer{Do: do}
	k.Set(t, k.now+ms)
	return t
}

// Cancel removes a timer if it is set.
func (k *Kernel) Cancel(t *Timer) {
	if t.pos == 0 {
		return
	}
	i, last := t.pos-1, len(k.heap)-1
	t.pos = 0
	e := k.heap[last]
	k.heap[last] = entry{} // lets the garbage collector free the timer
	if k.heap = k.heap[:last]; i < last {
		k.fix(i, e)
	}
}

// fix puts an entry at index i, in place of the one there, and restores the heap order.
func (k *Kernel) fix(i int, e entry) {
	if i > 0 && e.before(&k.heap[(i-1)/arity]) {
		k.up(i, e)
	} else {
		k.down(i, e)
	}
}

// up moves an entry from index i towards the root to its place.
func (k *Kernel) up(i int, e entry) {
	for i > 0 {
		p := (i - 1) / arity
		if !e.before(&k.heap[p]) {
			break
		}
		k.put(i, k.heap[p])
		i = p
	}
	k.put(i, e)
}

// down moves an entry from index i towards the leaves to its place.
func (k *Kernel) down(i int, e entry) {
	for {
		first := i*arity + 1
		if first >= len(k.heap) {
			break
		}
		smallest := first
		for c := first + 1; c < min(first+arity, len(k.heap)); c++ {
			if k.heap[c].before(&k.heap[smallest]) {
				smallest = c
			}
		}
		if !k.heap[smallest].before(&e) {
			break
		}
		k.put(i, k.heap[smallest])
		i = smallest
	}
	k.put(i, e)
}

// put stores an entry at index i and records the position in its timer.
func (k *Kernel) put(i int, e entry) {
	k.heap[i] = e
	e.t.pos = i + 1
}

// Run fires all timers that are due up to and including a time, then sets the clock to that time.
func (k *Kernel) Run(to float64) {
	for len(k.heap) > 0 && k.heap[0].at <= to {
		e := k.heap[0]
		k.Cancel(e.t)
		k.now = e.at
		k.fired++
		e.t.Do(k.now)
	}
	k.now = max(k.now, to)
}

// Next returns the time of the next timer; ok is false if no timer is set.
func (k *Kernel) Next() (at float64, ok bool) {
	if len(k.heap) == 0 {
		return 0, false
	}
	return k.heap[0].at, true
}

// Seed is the seed of a random stream, from which the seeds of further streams are derived.
type Seed uint64

// Split derives the seed of a purpose and of item n within it. Streams of different seeds are independent: draws from
// one do not shift the draws from another.
func (s Seed) Split(purpose string, n int) Seed {
	b := binary.LittleEndian.AppendUint64(make([]byte, 0, 64), uint64(s))
	b = binary.LittleEndian.AppendUint64(b, uint64(n))
	return Seed(xxhash.Sum64(append(b, purpose...)))
}

// Rand returns a new random number generator that starts from the seed.
func (s Seed) Rand() *rand.Rand { return rand.New(rand.NewPCG(uint64(s), 0x9e3779b97f4a7c15)) }

// Uniform maps the seed to one number in [0, 1). It replaces Rand where a single draw is needed.
func (s Seed) Uniform() float64 { return float64(s>>11) / (1 << 53) }

// Range is an interval from which a value is drawn uniformly.
type Range struct{ Low, High float64 }

// At returns the value at a fraction of the range, from 0 (Low) to 1 (High).
func (r Range) At(fraction float64) float64 { return r.Low + (r.High-r.Low)*fraction }

// ParallelMap calls task for each i from 0 to n-1 on the given number of goroutines and returns the results in order of
// i. Calls must not share state.
func ParallelMap[T any](n, workers int, task func(i int) T) []T {
	out := make([]T, n)
	var next atomic.Int64
	var wg sync.WaitGroup
	for range min(n, max(1, workers)) {
		wg.Go(func() {
			for i := int(next.Add(1)) - 1; i < n; i = int(next.Add(1)) - 1 {
				out[i] = task(i)
			}
		})
	}
	wg.Wait()
	return out
}
