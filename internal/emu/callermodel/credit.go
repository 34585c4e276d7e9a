package callermodel

import "math"

// Credit is the credit that a node reported to a caller, and the number of requests that the caller has outstanding there.
type Credit struct {
	Value, UpdatedAt float64 // Value below 0: the node has not reported a credit yet
	Outstanding      int
}

// Allows reports whether the credit allows one more request. The fractional part of a credit is the probability of one
// more request, decided by coin, a number from 0 to 1. A credit does not limit the caller after lifetime milliseconds.
func (c *Credit) Allows(now, lifetime, coin float64) bool {
	if c.Value < 0 || now-c.UpdatedAt >= lifetime {
		return true
	}
	whole, fraction := math.Modf(c.Value)
	return float64(c.Outstanding) < whole || float64(c.Outstanding) == whole && coin < fraction
}
