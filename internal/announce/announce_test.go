package announce

import (
	"math"
	"testing"
)

// If a quarter of the reports are lost, the probability of losing all of those within the 3 s that a node stays
// listed must be small: over a day of some thousand such spans it is to happen less than once in a hundred
// days.
func TestReportsToleratePacketLoss(t *testing.T) {
	if p := math.Pow(0.25, math.Floor(3000.0/IntervalMs)); p > 1e-6 {
		t.Errorf("a node loses its listing within 3 s with probability %v, want at most 1e-6", p)
	}
}
