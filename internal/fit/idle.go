package fit

import "math"

// idleSteps is how many idle times are weighed, each half of the one before.
const idleSteps = 12

// Idle holds what closing idle connections would have cost under each choice of an idle time: keep, keep/2, keep/4
// and so on, in the time that connections are kept.
type Idle [idleSteps]float64

// Back takes in that a caller came back after a gap. A connection that was closed by then costs worth times keep.
func (c *Idle) Back(gap, keep, worth float64) {
	c.add(gap, keep, worth*keep)
}

// Away takes in that a caller has been away for a gap so far.
func (c *Idle) Away(gap, keep float64) { c.add(gap, keep, 0) }

func (c *Idle) add(gap, keep, again float64) {
	at := keep
	for i := range c {
		c[i] += min(gap, at)
		if gap > at {
			c[i] += again
		}
		at /= 2
	}
}

// Fade makes what was taken in count for a part of it.
func (c *Idle) Fade(part float64) {
	for i := range c {
		c[i] *= part
	}
}

// Least returns the idle time that costs least, the longest of equals.
func (c *Idle) Least(keep float64) float64 {
	best := 0
	for i := range c {
		if c[i] < c[best] {
			best = i
		}
	}
	return keep / math.Exp2(float64(best))
}
