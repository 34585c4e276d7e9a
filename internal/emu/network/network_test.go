package network

import (
	"math"
	"testing"

	"whinrudder/internal/vtime"
)

// Guards against wrong arrival times: the delay without faults, the retransmission timeout after a loss, the first
// retransmission after the end of a partition, and never if every message is lost.
func TestArrivalTime(t *testing.T) {
	plain := Network{Delay: vtime.Range{Low: 1, High: 3}}
	lossy, dead, partitioned := plain, plain, plain
	lossy.AddLoss(LossPeriod{100, 200, 0.3})
	dead.LossRate = 1
	partitioned.AddPartition(Partition{From: 100, To: 700, Callers: []bool{true, false}, Nodes: []bool{false, true}})
	sum, late := 0.0, 0
	for i := range 4000 {
		s := vtime.Seed(7).Split("message", i)
		if at := plain.ArrivalTime(50, s, 0, 0); at < 51 || at > 53 || at != plain.ArrivalTime(50, s, 1, 1) {
			t.Fatalf("without faults: got arrival at %v, want 51 to 53 and the same for all callers and nodes", at)
		}
		if at := lossy.ArrivalTime(150, s, 0, 0); at > 153 {
			late++
			sum += at
		}
		if at := lossy.ArrivalTime(250, s, 0, 0); at > 253 {
			t.Fatalf("arrival after the loss period: got %v, want at most 253", at)
		}
	}
	if late < 1100 || late > 1300 {
		t.Errorf("loss rate 0.3: got %d of 4,000 messages late, want 1,100 to 1,300", late)
	}
	for _, c := range []struct {
		at           float64
		caller, node int
		want         float64 // time of the last transmission
	}{{150, 0, 1, 750}, {150, 1, 1, 150}, {150, 0, 0, 150}, {99, 0, 1, 99}, {650, 0, 1, 850}} {
		if at := partitioned.ArrivalTime(c.at, 1, c.caller, c.node) - c.want; at < 1 || at > 3 {
			t.Errorf("%+v: arrived %v after the last transmission, want 1 to 3", c, at)
		}
	}
	if at := dead.ArrivalTime(0, 1, 0, 0); !math.IsInf(at, 1) {
		t.Errorf("loss rate 1: got arrival at %v, want never", at)
	}
}
