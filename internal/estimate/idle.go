package estimate

import "math"

// idleSteps is how many idle times are weighed, each half of the one before.
const idleSteps = 12

// IdleCost holds what closing idle connections would have cost under each choice of an idle time: keep, keep/2, keep/4
// and so on, in the time that connections are kept.
type IdleCost [idleSteps]float64

// AddReturn takes in that a caller came back after a gap. A connection that was closed by then costs worth times keep.
func (c *IdleCost) AddReturn(gap, keep, worth float64) {
	c.add(gap, keep, worth*keep)
}

// AddAbsence takes in that a caller has been away for a gap so far.
func (c *IdleCost) AddAbsence(gap, keep float64) { c.add(gap, keep, 0) }

func (c *IdleCost) add(gap, keep, again float64) {
	at := keep
	for i := range c {
		c[i] += min(gap, at)
		if gap > at {
			c[i] += again
		}
		at /= 2
	}
}

// Decay makes what was taken in count for a part of it.
func (c *IdleCost) Decay(part float64) {
	for i := range c {
		c[i] *= part
	}
}

// BestTimeout returns the idle time that costs least, the longest of equals.
func (c *IdleCost) BestTimeout(keep float64) float64 {
	best := 0
	for i := range c {
		if c[i] < c[best] {
			best = i
		}
	}
	return keep / math.Exp2(float64(best))
}
