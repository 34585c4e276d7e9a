package network

import (
	"math"
	"testing"

	"whinrudder/internal/vtime"
)

// Messages take their delay, lost ones a resend more, and those that meet a cut get through after its end or never.
func TestArrives(t *testing.T) {
	plain := Network{Delay: vtime.Range{Low: 1, High: 3}}
	lossy, dead, cut := plain, plain, plain
	lossy.AddLoss(LossPeriod{100, 200, 0.3})
	dead.LossRate = 1
	cut.AddPartition(Partition{From: 100, To: 700, Callers: []bool{true, false}, Nodes: []bool{false, true}})
	sum, late := 0.0, 0
	for i := range 4000 {
		s := vtime.Seed(7).Split("message", i)
		if at := plain.ArrivalTime(50, s, 0, 0); at < 51 || at > 53 || at != plain.ArrivalTime(50, s, 1, 1) {
			t.Fatalf("plain: %v", at)
		}
		if at := lossy.ArrivalTime(150, s, 0, 0); at > 153 {
			late++
			sum += at
		}
		if at := lossy.ArrivalTime(250, s, 0, 0); at > 253 {
			t.Fatalf("after the losses: %v", at)
		}
	}
	if late < 1100 || late > 1300 {
		t.Errorf("%d of 4,000 are late at a loss of 0.3", late)
	}
	for _, c := range []struct {
		at           float64
		caller, node int
		want         float64 // sent for the last time
	}{{150, 0, 1, 750}, {150, 1, 1, 150}, {150, 0, 0, 150}, {99, 0, 1, 99}, {650, 0, 1, 850}} {
		if at := cut.ArrivalTime(c.at, 1, c.caller, c.node) - c.want; at < 1 || at > 3 {
			t.Errorf("%+v: %v later", c, at)
		}
	}
	if at := dead.ArrivalTime(0, 1, 0, 0); !math.IsInf(at, 1) {
		t.Errorf("all is lost, and it arrives at %v", at)
	}
}
