package whinrudder

import (
	"math"
	"testing"
)

// taught is a prior in which class 1 takes twice as long as class 0, on a machine of another speed.
func taught(n float64) Knowledge {
	return Knowledge{Classes: []ClassKnowledge{
		{Cost: CostModel{N: n, Time: 100}, Waits: []float64{3000}, Share: 2},
		{Cost: CostModel{N: n, Time: 200}, Share: 1},
	}, Limit: Estimate{Value: 2, N: 3}}
}

// serve runs one request of a class alone, for so long.
func (s *server) serve(n, class int, ms float64) {
	s.t.Helper()
	if len(find[Run](s.step(arrival(n, class, s.now)))) != 1 {
		s.t.Fatalf("request %d was not started", n)
	}
	s.after(ms, Ended{ID: id(n), Code: OK, Latency: ms})
}

func TestRelationComesFromThePriorAndScaleFromTheFirstRun(t *testing.T) {
	s := newServer(t, nil)
	s.p.Adopt(taught(15))
	if got := s.p.classes[1].predictCost(0, s.p.priorScale()); got != 0 {
		t.Fatalf("before any run a prior says nothing of this machine, got %v", got)
	}
	s.serve(1, 0, 300) // three times as slow as the donor
	if got := s.p.classes[1].predictCost(0, s.p.priorScale()); math.Abs(got-600) > 1 {
		t.Fatalf("class 1 has no run, its relation says 600 here, got %v", got)
	}
}

func TestPriorAgesOutAsOwnRunsCome(t *testing.T) {
	s := newServer(t, nil)
	s.p.Adopt(taught(15))
	for n := range 60 {
		s.serve(2*n, 0, 100)
		s.serve(2*n+1, 1, 100) // the relation is another by now
	}
	if got := s.p.classes[1].predictCost(0, s.p.priorScale()); got > 125 {
		t.Fatalf("want the own 100 to outweigh the prior, got %v", got)
	}
}

func TestAdoptedIsNoMeasurement(t *testing.T) {
	s := newServer(t, nil)
	s.p.Adopt(taught(15))
	k := s.p.Knowledge()
	for i, c := range k.Classes {
		if c.Cost.N != 0 || len(c.Waits) != 0 {
			t.Errorf("class %d: what was adopted is handed out: %+v", i, c)
		}
	}
	if k.Limit.N != 0 {
		t.Errorf("an adopted limit counts as %v renewals", k.Limit.N)
	}
	s.serve(1, 0, 300)
	if c := s.p.Knowledge().Classes[0]; c.Cost.N != 1 || c.Cost.Time != 300 || len(c.Waits) != 1 {
		t.Errorf("want one run of 300 ms and one wait, got %+v", c)
	}
}

func TestAdoptedLimitStaysUnderTheCeiling(t *testing.T) {
	s := newServer(t, func(s *Settings) { s.Cold = true })
	k := taught(15)
	k.Limit = Estimate{Value: 1000, N: 1e6}
	s.p.Adopt(k)
	if s.p.limit > s.p.maxRunning() {
		t.Fatalf("limit %v is over the crowd %v that a cold server survives", s.p.limit, s.p.maxRunning())
	}
	k.Limit = Estimate{Value: 0.01, N: 1e6}
	s.p.Adopt(k)
	if s.p.limit < s.p.cores {
		t.Fatalf("limit %v is under its floor", s.p.limit)
	}
}

// The first run of a class stands twice in its base; what is handed out counts it once.
func TestEvidenceCountsRuns(t *testing.T) {
	s := newServer(t, nil)
	for n := range 3 {
		s.serve(n, 0, 100)
		if got := s.p.Knowledge().Classes[0].Cost.N; got != float64(n+1) {
			t.Errorf("after %d runs the evidence is %v", n+1, got)
		}
	}
}

// A class that a prior calls too dear to be answered in time must still be tried, or the prior would never be judged.
func TestDearPriorDoesNotKeepAClassFromRunning(t *testing.T) {
	s := newServer(t, nil)
	k := taught(15)
	k.Classes[1].Cost.Time = 1e5
	s.p.Adopt(k)
	s.serve(1, 0, 100)
	s.serve(2, 1, 100)
	s.serve(3, 1, 100)
}

func TestWithdrawnPriorLeavesTheOwnFits(t *testing.T) {
	s := newServer(t, nil)
	s.p.Adopt(taught(15))
	for n := range 5 {
		s.serve(n, 0, 300)
	}
	s.p.Adopt(Knowledge{Classes: make([]ClassKnowledge, 2)})
	if got := s.p.classes[0].predictCost(0, s.p.priorScale()); math.Abs(got-300) > 1 || s.p.priorTrust != 0 {
		t.Fatalf("want the own 300 and no trust left, got %v, %v", got, s.p.priorTrust)
	}
}

func BenchmarkKnowledge(b *testing.B) {
	p, err := New(settings(), 1)
	if err != nil {
		b.Fatal(err)
	}
	p.Step(1000, nil, nil)
	for b.Loop() {
		p.Knowledge()
	}
}
