// Package vtime is a kernel of virtual time: timers that fire in order, random streams that are split by purpose, and days
// that are played side by side with the same result on any number of processors. Times are milliseconds.
package vtime

import (
	"encoding/binary"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"whinrudder/internal/order"
)

// Timer fires once at a time; it lies inside of what it wakes and can be set again and again. Do must be set before.
type Timer struct {
	Do func(now float64)

	due order.Due[*Timer]
}

// On tells whether it is set.
func (t *Timer) On() bool { return t.due.In() }

// Kernel holds what is to happen. It is used from one goroutine.
type Kernel struct {
	now   float64
	fired uint64
	all   order.Heap[*Timer]
}

// Now returns the present time.
func (k *Kernel) Now() float64 { return k.now }

// Fired returns how many timers have fired.
func (k *Kernel) Fired() uint64 { return k.fired }

// Set lets a timer fire at a time, or now if that is over. Timers of one time fire in the order in which they were set.
func (k *Kernel) Set(t *Timer, at float64) {
	t.due.What = t
	k.all.Set(&t.due, max(at, k.now))
}

// After makes a timer that fires after so long.
func (k *Kernel) After(ms float64, do func(now float64)) *Timer {
	t := &Timer{Do: do}
	k.Set(t, k.now+ms)
	return t
}

// Cancel takes a timer back, if it is set.
func (k *Kernel) Cancel(t *Timer) { k.all.Remove(&t.due) }

// Run fires all that falls due until a time, which is the present one then.
func (k *Kernel) Run(to float64) {
	for {
		at, _ := k.all.First()
		t, ok := k.all.Pop(to)
		if !ok {
			break
		}
		k.now = at
		k.fired++
		t.Do(k.now)
	}
	k.now = max(k.now, to)
}

// Next returns when the next timer fires; ok is false if there is none.
func (k *Kernel) Next() (at float64, ok bool) { return k.all.First() }

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

// Each plays n days on so many workers and returns what they give, in order. A day must share nothing with another.
func Each[T any](n, workers int, day func(i int) T) []T {
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
