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

// A drain by call makes checks bad and nothing else: what comes is run with the same credit. A leave on top of it stays
// bad though operators take the clients back.
func TestDrainByCallChangesChecksAlone(t *testing.T) {
	p := newTestPolicy(t)
	p.Step(0, nil, nil)
	if diff := cmp.Diff([]Health{{true, false}}, find[Health](p.Step(10, []Event{Drain{true}}, nil))); diff != "" {
		t.Error(diff)
	}
	a := p.Step(20, []Event{Arrival{ID: "a", Caller: 1, MemoryKB: 10, Due: 5000}}, nil)
	if len(find[Run](a)) != 1 || len(find[Refuse](a))+len(find[Health](a)) > 0 {
		t.Error(a)
	}
	if diff := cmp.Diff([]Health{{true, true}}, find[Health](p.Step(30, []Event{Drain{false}}, nil))); diff != "" {
		t.Error(diff)
	}
	p.Step(40, []Event{Notice{StopAt: 3000}}, nil)
	for _, h := range find[Health](p.Step(50, []Event{Drain{true}, Drain{false}}, nil)) {
		if h.Healthy && p.withdrawn {
			t.Error("checks are good though the server leaves")
		}
	}
}

// Where another process takes over, no caller is sent away: the credit stays, checks are good, refusals carry no advice
// for a leave, and work whose end is not in sight before the stop is refused.
func TestSucceededServerSendsNobodyAway(t *testing.T) {
	p := newTestPolicy(t)
	p.Step(0, nil, nil)
	a := p.Step(10, []Event{Notice{StopAt: 3000, HandedOver: true}}, nil)
	for at := 20.0; at < 1500; at += 100 {
		a = append(a, p.Step(at, nil, nil)...)
	}
	if len(find[Health](a)) > 0 {
		t.Error(find[Health](a))
	}
	for _, v := range find[Advertise](a) {
		if v.Credit <= 0 {
			t.Error("the credit is told as", v.Credit)
		}
	}
	a = p.Step(1500, []Event{Arrival{ID: "a", Caller: 1, MemoryKB: 10, Due: 9000}}, nil)
	if len(find[Run](a)) != 1 {
		t.Error(a)
	}
	a = p.Step(2980, []Event{Arrival{ID: "b", Caller: 1, MemoryKB: 10, Due: 9000}}, nil)
	if diff := cmp.Diff([]Refuse{{ID: "b"}}, find[Refuse](a)); diff != "" {
		t.Error(diff)
	}
}

// Two processes on the same cores run together what one may.
func TestBesideCountsAgainstTheLimit(t *testing.T) {
	runs := func(beside Beside) int {
		p := newTestPolicy(t)
		p.Step(0, nil, nil)
		p.Step(1, []Event{beside}, nil)
		var events []Event
		for _, id := range []RequestID{"a", "b", "c", "d", "e", "f"} {
			events = append(events, Arrival{ID: id, Caller: 1, MemoryKB: 10, Due: 9000})
		}
		n := len(find[Run](p.Step(10, events, nil)))
		if got := p.CurrentLoad(); got.InProgress != n {
			t.Errorf("%d live are told, %d run here", got.InProgress, n)
		}
		return n
	}
	alone := runs(Beside{})
	if got := runs(Beside{InProgress: 1}); alone < 2 || got != alone-1 {
		t.Errorf("%d run beside one, %d alone", got, alone)
	}
	if got := runs(Beside{MemoryKB: newTestPolicy(t).cfg.Memory}); got != 0 {
		t.Errorf("%d run where the memory is full beside", got)
	}
}

// New settings add a class, which is served, and keep what was learned of the others; a place that begins anew knows
// nothing of the class that had it.
func TestRetune(t *testing.T) {
	p := newTestPolicy(t)
	p.Step(0, nil, nil)
	p.Step(10, []Event{Arrival{ID: "a", Caller: 1, MemoryKB: 10, Due: 9000}}, nil)
	p.Step(110, []Event{Ended{ID: "a", Code: OK, Latency: 100}}, nil)
	s := p.cfg
	s.Classes = append(append([]Class{}, s.Classes...), s.Classes[0])
	p.Reconfigure(s, len(s.Classes)-1)
	a := p.Step(200, []Event{Arrival{ID: "b", Caller: 1, MemoryKB: 10, Due: 9000, Class: len(s.Classes) - 1}}, nil)
	if len(find[Run](a)) != 1 {
		t.Error(a)
	}
	if k := p.Knowledge().Classes; k[0].Cost.N == 0 || k[len(s.Classes)-1].Cost.N != 0 {
		t.Error(k)
	}
	p.Reconfigure(s, 0)
	if k := p.Knowledge().Classes; k[0].Cost.N != 0 {
		t.Error(k)
	}
}
