package core

import (
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"whinrudder"
)

type sink string

func (sink) Deliver(Answer) {}

// A deep check does work unless the module answers from store; one that gets no word of it in time is bad, and no
// more are at work than the bound allows.
func TestDeepChecksDoWork(t *testing.T) {
	c, err := New(whinrudder.Settings{Cores: 1, Memory: 1e6, Tick: 2, Halt: whinrudder.StopAbort, CreditMode: whinrudder.CreditNone,
		Rules:   whinrudder.Rules{FallMultiple: 8},
		Classes: []whinrudder.Class{{Aim: 1, Deadline: 2, Repeat: whinrudder.Safe}}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	c.Step(1000, []Input{PoolReady{}, LinkSynced{}})
	c.health = whinrudder.Health{Healthy: true} // the module here always answers from store
	reply := func(to string, o Outcome, at float64) Output {
		return Reply{sink(to), Answer{Outcome: o, Credit: -1, WriteDeadline: at + writeWait}}
	}
	polls := cmpopts.IgnoreSliceElements(func(o Output) bool { _, poll := o.(Poll); return poll })
	for _, s := range []struct {
		at   float64
		in   []Input
		want []Output
	}{
		{1001, []Input{HealthCheck{false, sink("a")}, HealthCheck{true, sink("b")}, HealthCheck{true, sink("c")}},
			[]Output{reply("a", Served, 1001), Verify{"check1"}, Verify{"check2"}}},
		{1002, []Input{CheckFinished{"check1", false}, CheckFinished{"nobody's", true}}, []Output{reply("b", Failed, 1002)}},
		{1001 + checkWait, nil, []Output{reply("c", Failed, 1001+checkWait)}},
		{3000, []Input{LinkLost{}, HealthCheck{true, sink("d")}}, []Output{reply("d", Failed, 3000)}},
	} {
		got := append([]Output{}, c.Step(s.at, s.in)...)
		if diff := cmp.Diff(s.want, got, polls, cmpopts.EquateEmpty()); diff != "" {
			t.Errorf("at %v: %s", s.at, diff)
		}
	}
}

// A node that leaves ends its connections only once the module calls it no good: until then it serves in full, and
// callers would pay for a new connection with each request.
func TestLeavingNodeKeepsConnectionsWhileItIsGood(t *testing.T) {
	c, err := New(whinrudder.Settings{Cores: 1, Memory: 1e6, Tick: 2, Halt: whinrudder.StopAbort, CreditMode: whinrudder.CreditNone,
		Rules:   whinrudder.Rules{FallMultiple: 8},
		Classes: []whinrudder.Class{{Aim: 1, Deadline: 2, Repeat: whinrudder.Safe}}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	c.Step(1000, []Input{PoolReady{}, LinkSynced{}, StopNotice{StopAt: 5000}})
	for good, outcome := range map[bool]Outcome{true: Served, false: Failed} {
		c.health.Healthy = good // the module here is not needed, and calls itself bad at once
		want := []Output{Reply{sink("a"), Answer{Outcome: outcome, Credit: -1, WriteDeadline: 1001 + writeWait, Close: !good}}}
		if diff := cmp.Diff(want, append([]Output{}, c.Step(1001, []Input{HealthCheck{false, sink("a")}})...)); diff != "" {
			t.Error(diff)
		}
	}
}

// An id is remembered for as long as its caller may still wait, however many others came since, and no longer: it must
// not run twice, and the memory must not grow.
func TestIDsAreRememberedForTheirTime(t *testing.T) {
	c, err := New(whinrudder.Settings{Cores: 1, Memory: 1e6, Halt: whinrudder.StopAbort, Rules: whinrudder.Rules{FallMultiple: 8},
		Classes: []whinrudder.Class{{Aim: 1, Deadline: 9000, Repeat: whinrudder.Unsafe}}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	ask := func(id string, at float64) Outcome { // there is no worker pool, so that what is not known is refused
		out := c.Step(at, []Input{RequestArrived{&Request{ID: id, ArrivedAt: at, Due: at + 1000, ReplyTo: sink("a")}}})
		return out[len(out)-1].(Reply).Outcome
	}
	var got []Outcome
	got = append(got, ask("first", 1000))
	for n := range 8000 {
		ask(fmt.Sprint(n), 1000+float64(n)/2)
	}
	got = append(got, ask("first", 5000), ask("last", 20000), ask("first", 20001))
	if diff := cmp.Diff([]Outcome{Refused, Duplicate, Refused, Refused}, got); diff != "" {
		t.Error(diff)
	}
	if n := len(c.recent.ids) + len(c.recent.seen); n != 4 {
		t.Errorf("%d ids are kept of two", n)
	}
}

// Who gave up has no use for an answer: one that is due by force comes while its caller still waits, for a run that
// goes on and for a write that a broken link may have lost.
func TestAnswersComeBeforeCallersStopWaiting(t *testing.T) {
	for name, in := range map[string][]Input{"running": nil, "doubt": {LinkLost{}, LinkSynced{InDoubt: []string{"w"}}}} {
		c, err := New(whinrudder.Settings{Cores: 1, Memory: 1e6, Tick: 2, PassesDeadline: true, Halt: whinrudder.StopAbort,
			CreditMode: whinrudder.CreditNone, Rules: whinrudder.Rules{FallMultiple: 8},
			Classes: []whinrudder.Class{{Aim: 500, Deadline: 2000, Repeat: whinrudder.Unsafe}}}, 1)
		if err != nil {
			t.Fatal(err)
		}
		c.Step(1000, []Input{PoolReady{}, LinkSynced{}})
		c.Step(1001, []Input{RequestArrived{&Request{ID: "w", ArrivedAt: 1001, Due: 2001, KB: 1, ReplyTo: sink("a")}}})
		out := c.Step(1002, in)
		for c.Open() > 0 {
			out = c.Step(c.Next(), nil)
		}
		reply := out[slices.IndexFunc(out, func(o Output) bool { _, ok := o.(Reply); return ok })].(Reply)
		if reply.Outcome != Failed || c.now > 2001-wayBack || c.now < 1950 {
			t.Errorf("%s: outcome %v at %v", name, reply.Outcome, c.now)
		}
	}
}

// What is answered leaves the queue of due requests by the next look at it, or stays there without its body: a node
// that answers a thousand requests a second must not keep them for seconds.
func TestAnsweredRequestsKeepNoBody(t *testing.T) {
	c, err := New(whinrudder.Settings{Cores: 1, Memory: 1e6, Halt: whinrudder.StopAbort, Rules: whinrudder.Rules{FallMultiple: 8},
		Classes: []whinrudder.Class{{Aim: 1, Deadline: 9000, Repeat: whinrudder.Unsafe}}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	for n := range 3 { // there is no worker pool: all are refused
		c.Step(1000, []Input{RequestArrived{&Request{ID: fmt.Sprint(n), ArrivedAt: 1000, Due: 2000, Body: []byte("body"), ReplyTo: sink("a")}}})
	}
	for _, d := range c.latest {
		if d.what.Body != nil {
			t.Errorf("%s keeps its body", d.what.ID)
		}
	}
	if next := c.Next(); next != 0 || len(c.latest) != 0 {
		t.Errorf("next step at %v, %d in the queue", next, len(c.latest))
	}
}

// The module of a worker pool that has been up for an hour must not begin with timers that are an hour late.
func TestWarmStartHasNoPast(t *testing.T) {
	for cold, want := range map[bool]bool{false: true, true: false} {
		c, err := New(whinrudder.Settings{Cores: 1, Memory: 1e6, Tick: 2, Halt: whinrudder.StopAbort, CreditMode: whinrudder.CreditNone,
			Rules:   whinrudder.Rules{FallMultiple: 8, RampTime: 17000},
			Classes: []whinrudder.Class{{Aim: 1, Deadline: 2, Repeat: whinrudder.Safe}}}, 1)
		if err != nil {
			t.Fatal(err)
		}
		c.now = 1e7
		c.take(PoolReady{Cold: cold, Age: 3600e3}) // the rest of a step would run the late timers
		if got := c.Next() > 1e7; got != want {
			t.Errorf("cold %t: first timer ahead is %t", cold, got)
		}
	}
}

// loaded returns a core with so many requests in hand, a third of them running.
func loaded(tb testing.TB, n int) (c *Core, runs []string, now float64) {
	c, err := New(whinrudder.Settings{Cores: 1 + n/3, Memory: 1e9, Tick: 2, Halt: whinrudder.StopAbort, Callers: 3,
		CreditMode: whinrudder.CreditWindow, PassesDeadline: true, Rules: whinrudder.Rules{FallMultiple: 6},
		Classes: []whinrudder.Class{{Aim: 1e6, Deadline: 3e6, Worth: 1, Repeat: whinrudder.Safe}}}, 1)
	if err != nil {
		tb.Fatal(err)
	}
	now = 1000.0
	c.Step(now, []Input{PoolReady{}, LinkSynced{}})
	var in []Input
	for i := range n {
		in = append(in, RequestArrived{&Request{ID: fmt.Sprint(i), ArrivedAt: now, Due: now + 3e6, KB: 30, ReplyTo: sink("a")}})
	}
	for _, o := range c.Step(now, in) {
		if s, ok := o.(Spawn); ok {
			runs = append(runs, s.ID)
		}
	}
	if c.Open() != n {
		tb.Fatalf("%d in hand, want %d", c.Open(), n)
	}
	return c, runs, now
}

// BenchmarkIdleStep is a step in which nothing happens, with so many requests in hand.
func BenchmarkIdleStep(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c, _, now := loaded(b, n)
			for b.Loop() {
				now += 0.001
				c.Step(now, nil)
				c.Next()
			}
		})
	}
}

// BenchmarkBusyStep is the end of a run and an arrival, with so many requests in hand.
func BenchmarkBusyStep(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c, runs, now := loaded(b, n)
			next := n
			for b.Loop() {
				now += 0.001
				next++
				out := c.Step(now, []Input{RunFinished{ID: runs[0], Latency: 1},
					RequestArrived{&Request{ID: fmt.Sprint(next), ArrivedAt: now, Due: now + 3e6, KB: 30, ReplyTo: sink("a")}}})
				runs = runs[1:]
				for _, o := range out {
					if s, ok := o.(Spawn); ok {
						runs = append(runs, s.ID)
					}
				}
				c.Next()
			}
		})
	}
}

// Starts that wait for the link to the worker pool stay bounded while it is down, however many come and leave again.
func TestQueueForTheLinkIsBounded(t *testing.T) {
	c, now := sharing(t)
	c.Step(now, []Input{LinkLost{}})
	most := 0
	for i := range 5000 {
		now += 10
		c.Step(now, []Input{RequestArrived{&Request{ID: fmt.Sprint(i), ArrivedAt: now, Due: now + 2000, KB: 30, ReplyTo: sink("a")}},
			CallerGone{fmt.Sprint(i - 2)}})
		most = max(most, len(c.queue))
	}
	if most == 0 || most > queueLeast {
		t.Errorf("%d starts wait at most, want some and %d at most", most, queueLeast)
	}
	starts := 0
	for _, o := range c.Step(now, []Input{LinkSynced{}}) {
		if _, ok := o.(Spawn); ok {
			starts++
		}
	}
	if starts != c.Open() || starts == 0 {
		t.Errorf("%d starts once the link is in step, want one for each of %d in hand", starts, c.Open())
	}
}

// Requests that wait for the answer of another are forgotten when they leave or fall due, and the rest are served.
func TestWaitingForAResultLeavesNothingBehind(t *testing.T) {
	c, now := sharing(t)
	ask := func(id string, due float64) Input {
		return RequestArrived{&Request{ID: id, Key: "k", ArrivedAt: now, Due: due, KB: 30, ReplyTo: sink(id)}}
	}
	c.Step(now, []Input{ask("first", now+2000)})
	for i := range 1000 {
		c.Step(now, []Input{ask(fmt.Sprint("left", i), now+2000)})
	}
	c.Step(now, []Input{ask("due", now+100), ask("served", now+2000)})
	for i := range 1000 {
		c.Step(now, []Input{CallerGone{fmt.Sprint("left", i)}})
	}
	now += 200
	c.Step(now, nil)
	if len(c.keys.repeat) != 1 || c.keys.byID["first"].n != 1 || c.Open() != 2 {
		t.Errorf("%d repeats, %d open, want the last alone and the first", len(c.keys.repeat), c.Open())
	}
	served := 0
	for _, o := range c.Step(now, []Input{RunFinished{ID: "first", Result: []byte("r")}}) {
		if r, ok := o.(Reply); ok && r.Outcome == Served {
			served++
		}
	}
	if served != 2 || len(c.keys.repeat) != 0 || c.Open() != 0 {
		t.Errorf("%d served, %d repeats, %d open, want 2 and none", served, len(c.keys.repeat), c.Open())
	}
}

// sharing returns a core of four cores that serves, where answers to reads may serve others.
func sharing(t *testing.T) (c *Core, now float64) {
	t.Helper()
	c, err := New(whinrudder.Settings{Cores: 4, Memory: 1e9, Tick: 2, Halt: whinrudder.StopAbort, Callers: 3, Fresh: 500,
		CreditMode: whinrudder.CreditWindow, PassesDeadline: true, Rules: whinrudder.Rules{FallMultiple: 6},
		Classes: []whinrudder.Class{{Aim: 1000, Deadline: 3000, Worth: 1, Repeat: whinrudder.Safe}}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	c.Step(1000, []Input{PoolReady{}, LinkSynced{}})
	return c, 1000
}

// What another process of the node read must not run here, whether it was in hand there or over; each id is told once.
func TestSharedIDsAreDoubled(t *testing.T) {
	newCore := func() *Core {
		c, err := New(whinrudder.Settings{Cores: 4, Memory: 1e6, Tick: 2, Halt: whinrudder.StopAbort, CreditMode: whinrudder.CreditNone,
			Rules: whinrudder.Rules{FallMultiple: 8}, Classes: []whinrudder.Class{{Aim: 1000, Deadline: 2000, Repeat: whinrudder.Unsafe}}}, 1)
		if err != nil {
			t.Fatal(err)
		}
		c.Step(1000, []Input{PoolReady{}, LinkSynced{}})
		return c
	}
	old, next := newCore(), newCore()
	arrive := func(id string) Input {
		return RequestArrived{&Request{ID: id, ArrivedAt: 1000, Due: 2500, KB: 10, ReplyTo: sink(id)}}
	}
	var told [][]string
	share := QueryLoad{Reply: func(load whinrudder.Beside, ids []string) {
		slices.Sort(ids)
		told = append(told, ids)
		next.Step(1003, []Input{SiblingLoad{load, ids}})
	}}
	old.Step(1001, []Input{arrive("a"), arrive("b"), RunFinished{ID: "a", End: RunOK}})
	old.Step(1002, []Input{share, arrive("c"), share, share})
	if diff := cmp.Diff([][]string{{"a", "b"}, {"c"}, nil}, told, cmpopts.EquateEmpty()); diff != "" {
		t.Error(diff)
	}
	for _, id := range []string{"a", "b", "c", "d"} {
		var outcome []Outcome
		spawned := false
		for _, o := range next.Step(1004, []Input{arrive(id)}) {
			switch o := o.(type) {
			case Reply:
				outcome = append(outcome, o.Outcome)
			case Spawn:
				spawned = true
			}
		}
		if known := id != "d"; known != slices.Equal(outcome, []Outcome{Duplicate}) || known == spawned {
			t.Error(id, outcome, spawned)
		}
	}
	old.Step(1005, []Input{QueryLoad{Stop: true}, arrive("e")})
	if len(old.fresh) > 0 {
		t.Error("ids are kept for nobody")
	}
}
