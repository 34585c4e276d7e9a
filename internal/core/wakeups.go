package core

import (
	"container/heap"
	"math"
)

// wakeups holds the timers of the module. The module sets one without a token (0) for each request that it holds and
// can't cancel it; such a timer only makes the module look at the time. Those that are due within one slot are therefore
// kept as one, at the end of the slot, so their number is bounded by the longest deadline and not by the traffic.
type wakeups struct {
	timers    timerHeap
	slotMs    float64          // length of a slot
	slots     map[float64]bool // ends of the slots that have a timer without a token
	horizonMs float64          // how far ahead timers are set
}

const (
	minWakeupSlotMs = 1
	maxWakeupSlots  = 16384
)

// setHorizon sets how far ahead timers are set at most: the longest time that a request waits.
func (w *wakeups) setHorizon(ms float64) {
	w.horizonMs = max(w.horizonMs, ms)
	w.slotMs = max(minWakeupSlotMs, w.horizonMs/maxWakeupSlots)
}

// add sets a timer.
func (w *wakeups) add(at float64, token uint64) {
	if token == 0 {
		at = math.Ceil(at/w.slotMs) * w.slotMs
		if w.slots[at] {
			return
		}
		if w.slots == nil {
			w.slots = map[float64]bool{}
		}
		w.slots[at] = true
	}
	heap.Push(&w.timers, timer{at, token})
}

// first returns the time of the first timer; ok is false if there is none.
func (w *wakeups) first() (at float64, ok bool) {
	if len(w.timers) == 0 {
		return 0, false
	}
	return w.timers[0].at, true
}

// pop removes the first timer that is due and returns its token; ok is false if none is due.
func (w *wakeups) pop(now float64) (token uint64, ok bool) {
	if len(w.timers) == 0 || w.timers[0].at > now {
		return 0, false
	}
	t := heap.Pop(&w.timers).(timer)
	if t.token == 0 {
		delete(w.slots, t.at)
	}
	return t.token, true
}

// timer is a timer of the module.
type timer struct {
	at    float64
	token uint64
}

// timerHeap implements heap.Interface: the earliest timer comes first.
type timerHeap []timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)        { *h = append(*h, x.(timer)) }
func (h *timerHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
