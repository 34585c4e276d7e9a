// Package vtime is a kernel of virtual time: timers that fire in order, random streams that are split by purpose, and days
// that are played side by side with the same result on any number of processors. Times are milliseconds.
package vtime

import (
	"encoding/binary"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// Timer fires once at a time; it lies inside of what it wakes and can be set again and again. Do must be set before.
type Timer struct {
	Do func(now float64)

	pos int // in the heap, from 1; 0: not set
}

// IsSet tells whether it is set.
func (t *Timer) IsSet() bool { return t.pos > 0 }

// Kernel holds what is to happen. It is used from one goroutine.
type Kernel struct {
	now   float64
	fired uint64
	seq   uint64
	all   []entry // a heap of arity 4: half as deep as a binary one, and its children lie side by side
}

// entry is a timer that is set; those of one time go by seq.
type entry struct {
	at  float64
	seq uint64
	t   *Timer
}

func (e *entry) before(o *entry) bool { return e.at < o.at || e.at == o.at && e.seq < o.seq }

const arity = 4

// Now returns the present time.
func (k *Kernel) Now() float64 { return k.now }

// Fired returns how many timers have fired.
func (k *Kernel) Fired() uint64 { return k.fired }

// Len returns how many timers are set.
func (k *Kernel) Len() int { return len(k.all) }

// Set lets a timer fire at a time, or now if that is over. Timers of one time fire in the order in which they were set.
func (k *Kernel) Set(t *Timer, at float64) {
	k.seq++
	e := entry{max(at, k.now), k.seq, t}
	if t.pos == 0 {
		k.all = append(k.all, e)
		k.up(len(k.all)-1, e)
		return
	}
	k.fix(t.pos-1, e)
}

// After makes a timer that fires after so long.
func (k *Kernel) After(ms float64, do func(now float64)) *Timer {
	t := &Timer{Do: do}
	k.Set(t, k.now+ms)
	return t
}

// Cancel takes a timer back, if it is set.
func (k *Kernel) Cancel(t *Timer) {
	if t.pos == 0 {
		return
	}
	i, last := t.pos-1, len(k.all)-1
	t.pos = 0
	e := k.all[last]
	k.all[last] = entry{} // it must not be kept from the collector
	if k.all = k.all[:last]; i < last {
		k.fix(i, e)
	}
}

// fix puts an entry in the place of one that is taken out.
func (k *Kernel) fix(i int, e entry) {
	if i > 0 && e.before(&k.all[(i-1)/arity]) {
		k.up(i, e)
	} else {
		k.down(i, e)
	}
}

func (k *Kernel) up(i int, e entry) {
	for i > 0 {
		p := (i - 1) / arity
		if !e.before(&k.all[p]) {
			break
		}
		k.put(i, k.all[p])
		i = p
	}
	k.put(i, e)
}

func (k *Kernel) down(i int, e entry) {
	for {
		first := i*arity + 1
		if first >= len(k.all) {
			break
		}
		least := first
		for c := first + 1; c < min(first+arity, len(k.all)); c++ {
			if k.all[c].before(&k.all[least]) {
				least = c
			}
		}
		if !k.all[least].before(&e) {
			break
		}
		k.put(i, k.all[least])
		i = least
	}
	k.put(i, e)
}

func (k *Kernel) put(i int, e entry) {
	k.all[i] = e
	e.t.pos = i + 1
}

// Run fires all that falls due until a time, which is the present one then.
func (k *Kernel) Run(to float64) {
	for len(k.all) > 0 && k.all[0].at <= to {
		e := k.all[0]
		k.Cancel(e.t)
		k.now = e.at
		k.fired++
		e.t.Do(k.now)
	}
	k.now = max(k.now, to)
}

// Next returns when the next timer fires; ok is false if there is none.
func (k *Kernel) Next() (at float64, ok bool) {
	if len(k.all) == 0 {
		return 0, false
	}
	return k.all[0].at, true
}

// Seed is where random streams come from.
type Seed uint64

// Split returns the seed of a purpose, and of a thing by its number within it. What is drawn from one seed shifts nothing
// that is drawn from another.
func (s Seed) Split(purpose string, n int) Seed {
	b := binary.LittleEndian.AppendUint64(make([]byte, 0, 64), uint64(s))
	b = binary.LittleEndian.AppendUint64(b, uint64(n))
	return Seed(xxhash.Sum64(append(b, purpose...)))
}

// Rand returns the random numbers of a seed.
func (s Seed) Rand() *rand.Rand { return rand.New(rand.NewPCG(uint64(s), 0x9e3779b97f4a7c15)) }

// Uniform returns the one number from 0 to 1, without 1, that a seed stands for: where one draw is all that is wanted.
func (s Seed) Uniform() float64 { return float64(s>>11) / (1 << 53) }

// Range is where a figure is drawn from, evenly.
type Range struct{ Low, High float64 }

// At returns the figure at a part of the range, 0 to 1.
func (r Range) At(part float64) float64 { return r.Low + (r.High-r.Low)*part }

// ParallelMap plays n days on so many workers and returns what they give, in order. A day must share nothing with another.
func ParallelMap[T any](n, workers int, day func(i int) T) []T {
	out := make([]T, n)
	var next atomic.Int64
	var wait sync.WaitGroup
	for range min(n, max(1, workers)) {
		wait.Go(func() {
			for i := int(next.Add(1)) - 1; i < n; i = int(next.Add(1)) - 1 {
				out[i] = day(i)
			}
		})
	}
	wait.Wait()
	return out
}
