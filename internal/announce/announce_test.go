package announce

import (
	"math"
	"testing"
)

// Where a quarter of the reports get lost, all of those within the 3 s that a node stays listed must not: over a day of
// some thousand such spans that is to happen less than once in a hundred days.
func TestReportsOutliveLosses(t *testing.T) {
	if p := math.Pow(0.25, math.Floor(3000.0/IntervalMs)); p > 1e-6 {
		t.Errorf("a node falls off the list with a chance of %v in 3 s", p)
	}
}
