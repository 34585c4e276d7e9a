package whinrudder

import (
	"math"
	"testing"
)

// learnedElsewhere returns a prior from a machine of another speed, in which class 1 takes twice as long as class 0.
func learnedElsewhere(n float64) Knowledge {
	return Knowledge{Classes: []ClassKnowledge{
		{Cost: CostModel{N: n, Time: 100}, Waits: []float64{3000}, Share: 2},
		{Cost: CostModel{N: n, Time: 200}, Share: 1},
	}, Limit: Estimate{Value: 2, N: 3}}
}

// runAlone runs one request of a class for ms while nothing else runs.
func (s *server) runAlone(n, class int, ms float64) {
	s.t.Helper()
	if len(actionsOf[Run](s.step(newArrival(n, class, s.now)))) != 1 {
		s.t.Fatalf("request %d was not started", n)
	}
	s.stepAfter(ms, Ended{ID: requestID(n), Code: OK, Latency: ms})
}

func TestPriorGivesRelationAndFirstRunGivesScale(t *testing.T) {
	s := newServer(t, nil)
	s.p.Adopt(learnedElsewhere(15))
	if got := s.p.classes[1].predictCost(0, s.p.priorScale()); got != 0 {
		t.Fatalf("got cost %v before any run, want 0: the prior alone gives no scale", got)
	}
	s.runAlone(1, 0, 300) // three times as slow as the donor of the prior
	if got := s.p.classes[1].predictCost(0, s.p.priorScale()); math.Abs(got-600) > 1 {
		t.Fatalf("got cost %v for class 1 without own runs, want 600 by its relation to class 0", got)
	}
}

func TestOwnRunsOutweighThePrior(t *testing.T) {
	s := newServer(t, nil)
	s.p.Adopt(learnedElsewhere(15))
	for n := range 60 {
		s.runAlone(2*n, 0, 100)
		s.runAlone(2*n+1, 1, 100) // the relation differs from the one in the prior
	}
	if got := s.p.classes[1].predictCost(0, s.p.priorScale()); got > 125 {
		t.Fatalf("got cost %v, want at most 125: the own 100 outweighs the prior", got)
	}
}

func TestAdoptedKnowledgeIsNotReturned(t *testing.T) {
	s := newServer(t, nil)
	s.p.Adopt(learnedElsewhere(15))
	k := s.p.Knowledge()
	for i, c := range k.Classes {
		if c.Cost.N != 0 || len(c.Waits) != 0 {
			t.Errorf("class %d: got %+v, want nothing that was adopted", i, c)
		}
	}
	if k.Limit.N != 0 {
		t.Errorf("got %v renewals for an adopted limit, want 0", k.Limit.N)
	}
	s.runAlone(1, 0, 300)
	if c := s.p.Knowledge().Classes[0]; c.Cost.N != 1 || c.Cost.Time != 300 || len(c.Waits) != 1 {
		t.Errorf("got %+v, want one run of 300 ms and one wait", c)
	}
}

func TestAdoptedLimitStaysWithinItsBounds(t *testing.T) {
	s := newServer(t, func(s *Settings) { s.Cold = true })
	k := learnedElsewhere(15)
	k.Limit = Estimate{Value: 1000, N: 1e6}
	s.p.Adopt(k)
	if s.p.limit > s.p.maxRunning() {
		t.Fatalf("got limit %v, want at most the ceiling %v of a cold server", s.p.limit, s.p.maxRunning())
	}
	k.Limit = Estimate{Value: 0.01, N: 1e6}
	s.p.Adopt(k)
	if s.p.limit < s.p.cores {
		t.Fatalf("got limit %v, want at least %v, the cores", s.p.limit, s.p.cores)
	}
}

// The first run of a class is added twice to its cost; Knowledge must count it once.
func TestKnowledgeCountsEachRunOnce(t *testing.T) {
	s := newServer(t, nil)
	for n := range 3 {
		s.runAlone(n, 0, 100)
		if got := s.p.Knowledge().Classes[0].Cost.N; got != float64(n+1) {
			t.Errorf("after %d runs: got N %v", n+1, got)
		}
	}
}

// A class must run even if by the prior its cost is too high to be answered in time. Otherwise the prior would never be
// corrected.
func TestHighPriorCostDoesNotPreventRuns(t *testing.T) {
	s := newServer(t, nil)
	k := learnedElsewhere(15)
	k.Classes[1].Cost.Time = 1e5
	s.p.Adopt(k)
	s.runAlone(1, 0, 100)
	s.runAlone(2, 1, 100)
	s.runAlone(3, 1, 100)
}

func TestRemovingThePriorKeepsOwnCosts(t *testing.T) {
	s := newServer(t, nil)
	s.p.Adopt(learnedElsewhere(15))
	for n := range 5 {
		s.runAlone(n, 0, 300)
	}
	s.p.Adopt(Knowledge{Classes: make([]ClassKnowledge, 2)})
	if got := s.p.classes[0].predictCost(0, s.p.priorScale()); math.Abs(got-300) > 1 || s.p.priorTrust != 0 {
		t.Fatalf("got cost %v and trust %v, want the own 300 and 0", got, s.p.priorTrust)
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
