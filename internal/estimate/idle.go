package estimate

import "math"

// idleTimeouts is the number of idle timeouts that are compared; each is half of the one before.
const idleTimeouts = 12

// IdleCost holds the cost that each choice of an idle timeout would have had: keep, keep/2, keep/4 and so on. The unit
// is the time for which an idle connection is kept.
type IdleCost [idleTimeouts]float64

// AddReturn records that a caller came back after a gap. Reopening a connection that was closed by then costs worth
// times keep.
func (c *IdleCost) AddReturn(gap, keep, worth float64) {
	c.addGap(gap, keep, worth*keep)
}

// AddAbsence records that a caller has sent nothing for a gap so far.
func (c *IdleCost) AddAbsence(gap, keep float64) { c.addGap(gap, keep, 0) }

func (c *IdleCost) addGap(gap, keep, reopenCost float64) {
	timeout := keep
	for i := range c {
		c[i] += min(gap, timeout)
		if gap > timeout {
			c[i] += reopenCost
		}
		timeout /= 2
	}
}

// Decay multiplies all recorded costs by a factor.
func (c *IdleCost) Decay(factor float64) {
	for i := range c {
		c[i] *= factor
	}
}

// BestTimeout returns the idle timeout with the lowest cost, the longest one if several are equal.
func (c *IdleCost) BestTimeout(keep float64) float64 {
	best := 0
	for i := range c {
		if c[i] < c[best] {
			best = i
		}
	}
	return keep / math.Exp2(float64(best))
}
