package memory

import "testing"

// The bounds that follow from a memory limit must fit into it with what the program itself takes, for one process and for
// two that share the limit in an upgrade, from the smallest limit of the platform on (review/2).
func TestPlansFitTheirLimit(t *testing.T) {
	const programBytes = 4 << 20 // anonymous memory of a node without traffic, its log queue and the module's tables
	for _, mb := range []int64{32, 48, 64, 80, 96, 192} {
		for _, processes := range []int64{1, 2} {
			limit := mb << 20 / processes
			p := NewPlan(limit, 0)
			sum := int64(p.MaxConns)*ConnBytes + p.SharedBytes + 2*int64(p.MaxIDs)*idBytes + int64(p.ResultBytes) + programBytes
			if sum > limit*9/10 {
				t.Errorf("%d MB, %d processes: the bounds add up to %d kB of %d", mb, processes, sum>>10, limit>>10)
			}
			if p.MaxConns*int(processes) < 256 {
				t.Errorf("%d MB, %d processes: got %d connections, want 256 for half of 512 descriptors", mb, processes, p.MaxConns)
			}
			if p.SharedBytes < 1<<20 || p.MaxIDs < 8192 {
				t.Errorf("%d MB, %d processes: got %+v, want 1 MB for streams and 8192 ids", mb, processes, p)
			}
		}
	}
	if p := NewPlan(32<<20, 16<<20); p != NewPlan(16<<20, 0) {
		t.Errorf("got %+v with half of the limit reserved, want the plan of half the limit", p)
	}
}

// A budget counts what is held, refuses what is over its bound, and lets what is held above a lower bound go.
func TestBudget(t *testing.T) {
	b := NewBudget(100)
	if !b.Reserve(60) || b.Reserve(41) || !b.Reserve(40) {
		t.Error("got a wrong answer within 100 bytes")
	}
	b.SetLimit(50)
	b.Release(60)
	if b.Reserve(11) || !b.Reserve(10) || b.Used() != 50 {
		t.Errorf("got %d bytes used after the bound was lowered, want 50", b.Used())
	}
	var unbounded *Budget
	if !unbounded.Reserve(1 << 40) {
		t.Error("a nil budget refused")
	}
	unbounded.Release(1 << 40)
}
