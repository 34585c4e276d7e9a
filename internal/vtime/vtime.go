// Package vtime is a kernel of virtual time: timers that fire in order, random streams that are split by purpose, and days
// that are played side by side with the same result on any number of processors. Times are milliseconds.
package vtime

import (
	"container/heap"
	"encoding/binary"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// Timer fires once at a time; it lies inside of what it wakes and can be set again and again. Do must be set before.
type Timer struct {
	Do func(now float64)

	at  float64
	seq uint64
	pos int // from 1; 0: not set
}

// On tells whether it is set.
func (t *Timer) On() bool { return t.pos > 0 }

// Kernel holds what is to happen. It is used from one goroutine.
type Kernel struct {
	now   float64
	seq   uint64
	fired uint64
	all   timers
}

// Now returns the present time.
func (k *Kernel) Now() float64 { return k.now }

// Fired returns how many timers have fired.
func (k *Kernel) Fired() uint64 { return k.fired }

// Set lets a timer fire at a time, or now if that is over. Timers of one time fire in the order in which they were set.
func (k *Kernel) Set(t *Timer, at float64) {
	k.seq++
	t.at, t.seq = max(at, k.now), k.seq
	if t.On() {
		heap.Fix(&k.all, t.pos-1)
	} else {
		heap.Push(&k.all, t)
	}
}

// After makes a timer that fires after so long.
func (k *Kernel) After(ms float64, do func(now float64)) *Timer {
	t := &Timer{Do: do}
	k.Set(t, k.now+ms)
	return t
}

// Cancel takes a timer back, if it is set.
func (k *Kernel) Cancel(t *Timer) {
	if t.On() {
		heap.Remove(&k.all, t.pos-1)
	}
}

// Run fires all that falls due until a time, which is the present one then.
func (k *Kernel) Run(to float64) {
	for len(k.all) > 0 && k.all[0].at <= to {
		t := heap.Pop(&k.all).(*Timer)
		k.now = t.at
		k.fired++
		t.Do(k.now)
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

type timers []*Timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].seq < t[j].seq
}
func (t timers) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].pos, t[j].pos = i+1, j+1
}
func (t *timers) Push(x any) {
	n := x.(*Timer)
	*t = append(*t, n)
	n.pos = len(*t)
}
func (t *timers) Pop() any {
	last := len(*t) - 1
	n := (*t)[last]
	(*t)[last] = nil
	*t = (*t)[:last]
	n.pos = 0
	return n
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
