package callermodel

import "math"

// Credit is what a caller was told of a node, and what it has out there.
type Credit struct {
	Value, UpdatedAt float64 // Value below 0: nothing was told yet
	Outstanding      int
}

// Allows tells whether there is room for one more. Of a broken credit the coin, 0 to 1, decides on the last place; one that
// was heard of longer ago than it is heeded for does not hold.
func (c *Credit) Allows(now, heardFor, coin float64) bool {
	if c.Value < 0 || now-c.UpdatedAt >= heardFor {
		return true
	}
	whole, part := math.Modf(c.Value)
	return float64(c.Outstanding) < whole || float64(c.Outstanding) == whole && coin < part
}
