package whinrudder

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

func newTestPolicy(t *testing.T) *Policy {
	t.Helper()
	p, err := New(settings(), 1)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// A drain by an operator makes health checks fail and changes nothing else: arriving requests run, and the credit
// stays. After a Notice the checks stay failing even if the operator ends the drain.
func TestOperatorDrainChangesOnlyHealthChecks(t *testing.T) {
	p := newTestPolicy(t)
	p.Step(0, nil, nil)
	if diff := cmp.Diff([]Health{{true, false}}, actionsOf[Health](p.Step(10, []Event{Drain{true}}, nil))); diff != "" {
		t.Error(diff)
	}
	a := p.Step(20, []Event{Arrival{ID: "a", Caller: 1, MemoryKB: 10, Due: 5000}}, nil)
	if len(actionsOf[Run](a)) != 1 || len(actionsOf[Refuse](a))+len(actionsOf[Health](a)) > 0 {
		t.Errorf("got %v, want one Run, no Refuse and no Health", a)
	}
	if diff := cmp.Diff([]Health{{true, true}}, actionsOf[Health](p.Step(30, []Event{Drain{false}}, nil))); diff != "" {
		t.Error(diff)
	}
	p.Step(40, []Event{Notice{StopAt: 3000}}, nil)
	for _, h := range actionsOf[Health](p.Step(50, []Event{Drain{true}, Drain{false}}, nil)) {
		if h.Healthy && p.withdrawn {
			t.Error("got passing health checks while the server shuts down")
		}
	}
}

// If another process takes over, no caller is sent away: the credit stays, health checks pass, refusals carry no
// RetryAfter, and only work that would not end before the stop is refused.
func TestHandedOverServerSendsNoCallerAway(t *testing.T) {
	p := newTestPolicy(t)
	p.Step(0, nil, nil)
	a := p.Step(10, []Event{Notice{StopAt: 3000, HandedOver: true}}, nil)
	for at := 20.0; at < 1500; at += 100 {
		a = append(a, p.Step(at, nil, nil)...)
	}
	if len(actionsOf[Health](a)) > 0 {
		t.Error(actionsOf[Health](a))
	}
	for _, v := range actionsOf[Advertise](a) {
		if v.Credit <= 0 {
			t.Errorf("got credit %v, want more than 0", v.Credit)
		}
	}
	a = p.Step(1500, []Event{Arrival{ID: "a", Caller: 1, MemoryKB: 10, Due: 9000}}, nil)
	if len(actionsOf[Run](a)) != 1 {
		t.Errorf("got %v, want one Run", a)
	}
	a = p.Step(2980, []Event{Arrival{ID: "b", Caller: 1, MemoryKB: 10, Due: 9000}}, nil)
	if diff := cmp.Diff([]Refuse{{ID: "b", Reason: RefusedDraining}}, actionsOf[Refuse](a)); diff != "" {
		t.Error(diff)
	}
}

// Two processes on the same cores together run as many requests as one alone may.
func TestLoadOfTheOtherProcessCountsAgainstTheLimit(t *testing.T) {
	runs := func(beside Beside) int {
		p := newTestPolicy(t)
		p.Step(0, nil, nil)
		p.Step(1, []Event{beside}, nil)
		var events []Event
		for _, id := range []RequestID{"a", "b", "c", "d", "e", "f"} {
			events = append(events, Arrival{ID: id, Caller: 1, MemoryKB: 10, Due: 9000})
		}
		n := len(actionsOf[Run](p.Step(10, events, nil)))
		if got := p.CurrentLoad(); got.InProgress != n {
			t.Errorf("got %d requests in progress, want %d", got.InProgress, n)
		}
		return n
	}
	alone := runs(Beside{})
	if got := runs(Beside{InProgress: 1}); alone < 2 || got != alone-1 {
		t.Errorf("got %d runs beside one of the other process and %d alone; want one fewer, and at least 2 alone",
			got, alone)
	}
	if got := runs(Beside{MemoryKB: newTestPolicy(t).cfg.Memory}); got != 0 {
		t.Errorf("got %d runs while the other process uses all memory, want 0", got)
	}
}

// Reconfigure can add a class, which is then served, and keeps what was learned about the others. An index that is
// listed as fresh loses what was learned about its previous class.
func TestReconfigure(t *testing.T) {
	p := newTestPolicy(t)
	p.Step(0, nil, nil)
	p.Step(10, []Event{Arrival{ID: "a", Caller: 1, MemoryKB: 10, Due: 9000}}, nil)
	p.Step(110, []Event{Ended{ID: "a", Code: OK, Latency: 100}}, nil)
	s := p.cfg
	s.Classes = append(append([]Class{}, s.Classes...), s.Classes[0])
	p.Reconfigure(s, len(s.Classes)-1)
	a := p.Step(200, []Event{Arrival{ID: "b", Caller: 1, MemoryKB: 10, Due: 9000, Class: len(s.Classes) - 1}}, nil)
	if len(actionsOf[Run](a)) != 1 {
		t.Errorf("got %v, want one Run", a)
	}
	if k := p.Knowledge().Classes; k[0].Cost.N == 0 || k[len(s.Classes)-1].Cost.N != 0 {
		t.Errorf("got %v, want runs of the first class and none of the last", k)
	}
	p.Reconfigure(s, 0)
	if k := p.Knowledge().Classes; k[0].Cost.N != 0 {
		t.Errorf("got %v, want no runs of the first class", k)
	}
}

// Guards against memory that counts as used for results that no longer serve anyone (review/8): after a shorter Fresh, and after
// the index of a class goes to another one, kept reads are forgotten by the new settings.
func TestReconfigureLimitsKeptReads(t *testing.T) {
	for name, change := range map[string]func(p *Policy, s Settings){
		"shorter": func(p *Policy, s Settings) { s.Fresh = 1; p.Reconfigure(s) },
		"dropped": func(p *Policy, s Settings) { p.Reconfigure(s, 0) },
		"same":    func(p *Policy, s Settings) { p.Reconfigure(s) },
	} {
		p := newTestPolicy(t)
		s := p.cfg
		s.Fresh = 60000
		p.Reconfigure(s)
		p.Step(0, nil, nil)
		p.Step(10, []Event{Arrival{ID: "a", Caller: 1, MemoryKB: 10, Due: 1000, Key: "k"}}, nil)
		p.Step(110, []Event{Ended{ID: "a", Code: OK, Latency: 100}}, nil)
		if p.keyHeap.Len() != 1 {
			t.Fatalf("%d reads are kept, want 1", p.keyHeap.Len())
		}
		change(p, s)
		p.Step(2000, nil, nil)
		if got, want := p.keyHeap.Len(), map[string]int{"same": 1}[name]; got != want {
			t.Errorf("%s: %d reads are kept, want %d", name, got, want)
		}
	}
}
