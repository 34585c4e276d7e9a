package core

import (
	"fmt"
	"runtime"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"whinrudder"
)

type sink string

func (sink) Deliver(Answer) {}

// A deep health check starts work in the worker pool unless the module reports a cached result. It fails if the work
// fails, if it has not ended in time, or if the link to the pool is lost.
func TestDeepChecksRunWorkAndTimeOut(t *testing.T) {
	c, err := New(whinrudder.Settings{Cores: 1, Memory: 1e6, Tick: 2, Halt: whinrudder.StopAbort, CreditMode: whinrudder.CreditNone,
		Rules:   whinrudder.Rules{FallMultiple: 8},
		Classes: []whinrudder.Class{{Aim: 1, Deadline: 2, Repeat: whinrudder.Safe}}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	c.Step(1000, []Input{PoolReady{}, LinkSynced{}})
	c.health = whinrudder.Health{Healthy: true} // with these settings the module always reports a cached result
	reply := func(to string, o Outcome, at float64) Output {
		return Reply{sink(to), Answer{Outcome: o, Credit: -1, WriteDeadline: at + writeTimeoutMs}}
	}
	polls := cmpopts.IgnoreSliceElements(func(o Output) bool { _, poll := o.(Poll); return poll })
	for _, s := range []struct {
		at   float64
		in   []Input
		want []Output
	}{
		{1001, []Input{HealthCheck{false, sink("a")}, HealthCheck{true, sink("b")}, HealthCheck{true, sink("c")}},
			[]Output{reply("a", Served, 1001), Verify{"check1"}, Verify{"check2"}}},
		{1002, []Input{CheckFinished{"check1", false}, CheckFinished{"unknown", true}}, []Output{reply("b", Failed, 1002)}},
		{1001 + checkTimeoutMs, nil, []Output{reply("c", Failed, 1001+checkTimeoutMs)}},
		{3000, []Input{LinkLost{}, HealthCheck{true, sink("d")}}, []Output{reply("d", Failed, 3000)}},
	} {
		got := append([]Output{}, c.Step(s.at, s.in)...)
		if diff := cmp.Diff(s.want, got, polls, cmpopts.EquateEmpty()); diff != "" {
			t.Errorf("outputs at %v (-want +got): %s", s.at, diff)
		}
	}
}

// A draining node closes its connections only once the module reports it unhealthy. Until then it serves in full, and
// closing earlier would cost callers a new connection for each request.
func TestDrainingNodeKeepsConnectionsWhileHealthy(t *testing.T) {
	c, err := New(whinrudder.Settings{Cores: 1, Memory: 1e6, Tick: 2, Halt: whinrudder.StopAbort, CreditMode: whinrudder.CreditNone,
		Rules:   whinrudder.Rules{FallMultiple: 8},
		Classes: []whinrudder.Class{{Aim: 1, Deadline: 2, Repeat: whinrudder.Safe}}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	c.Step(1000, []Input{PoolReady{}, LinkSynced{}, StopNotice{StopAt: 5000}})
	for healthy, outcome := range map[bool]Outcome{true: Served, false: Failed} {
		c.health.Healthy = healthy // set here because the module reports itself unhealthy at once
		want := []Output{Reply{sink("a"), Answer{Outcome: outcome, Credit: -1, WriteDeadline: 1001 + writeTimeoutMs, Close: !healthy}}}
		if diff := cmp.Diff(want, append([]Output{}, c.Step(1001, []Input{HealthCheck{false, sink("a")}})...)); diff != "" {
			t.Error(diff)
		}
	}
}

// An id is remembered for as long as its caller may still wait, however many other requests came since, so that it can't
// run twice. It is forgotten after that, so that memory does not grow.
func TestIDsAreRememberedUntilTheDeadlinePasses(t *testing.T) {
	c, err := New(whinrudder.Settings{Cores: 1, Memory: 1e6, Halt: whinrudder.StopAbort, Rules: whinrudder.Rules{FallMultiple: 8},
		Classes: []whinrudder.Class{{Aim: 1, Deadline: 9000, Repeat: whinrudder.Unsafe}}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	sendRequest := func(id string, at float64) Outcome { // there is no worker pool, so a request with an unknown id is refused
		out := c.Step(at, []Input{RequestArrived{&Request{ID: id, ArrivedAt: at, Due: at + 1000, ReplyTo: sink("a")}}})
		return out[len(out)-1].(Reply).Outcome
	}
	var got []Outcome
	got = append(got, sendRequest("first", 1000))
	for n := range 8000 {
		sendRequest(fmt.Sprint(n), 1000+float64(n)/2)
	}
	got = append(got, sendRequest("first", 5000), sendRequest("last", 20000), sendRequest("first", 20001))
	if diff := cmp.Diff([]Outcome{Refused, Duplicate, Refused, Refused}, got); diff != "" {
		t.Error(diff)
	}
	h := c.recentIDs.neverRan
	if n := len(h.ids) + len(h.seen) + c.recentIDs.ran.count(); n != 4 {
		t.Errorf("got %d entries for ids, want 4 for two ids", n)
	}
}

// The core fails a request while its caller still waits, because a later answer would be useless. This covers a run that
// has not ended and a write whose start a broken link may have lost.
func TestForcedAnswersArriveBeforeTheCallerTimesOut(t *testing.T) {
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
		if reply.Outcome != Failed || c.now > 2001-returnMarginMs || c.now < 1950 {
			t.Errorf("%s: got outcome %v at %v, want Failed between 1950 and %v", name, reply.Outcome, c.now, 2001-returnMarginMs)
		}
	}
}

// An answered request leaves the heap of answer deadlines at once, and it keeps neither its body nor its sink: a node that
// answers a thousand requests a second must not hold their bodies and connections for seconds.
func TestAnsweredRequestsReleaseTheirBody(t *testing.T) {
	c, err := New(whinrudder.Settings{Cores: 1, Memory: 1e6, Halt: whinrudder.StopAbort, Rules: whinrudder.Rules{FallMultiple: 8},
		Classes: []whinrudder.Class{{Aim: 1, Deadline: 9000, Repeat: whinrudder.Unsafe}}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	for n := range 3 { // there is no worker pool, so all are refused
		r := &Request{ID: fmt.Sprint(n), ArrivedAt: 1000, Due: 2000, Body: []byte("body"), ReplyTo: sink("a")}
		c.Step(1000, []Input{RequestArrived{r}})
		if r.Body != nil || r.ReplyTo != nil {
			t.Errorf("answered request %s still holds its body or its sink", r.ID)
		}
		if n := c.answerDeadlines.Len(); n != 0 {
			t.Errorf("got %d queued requests, want 0", n)
		}
	}
	if next := c.Next(); next != 0 {
		t.Errorf("got next step at %v, want 0", next)
	}
}

// Guards against memory that grows with the rate of requests (review/2): with a request open that is due first, requests
// that are due later and are answered at once must leave nothing behind but their ids, up to a number.
func TestAnsweredRequestsLeaveOnlyTheirIDs(t *testing.T) {
	const flood = 100000
	c, now := newSharingCore(t)
	arrive := func(id string, wait float64) Input {
		return RequestArrived{&Request{ID: id, ArrivedAt: now, Due: now + wait, KB: 1, ReplyTo: sink(id)}}
	}
	c.Step(now, []Input{arrive("first", 2000)})
	before := liveBytes()
	for i := range flood {
		now += 0.005
		var unknown []Input
		for _, o := range c.Step(now, []Input{arrive(fmt.Sprintf("%016x", i), 3000)}) {
			if s, ok := o.(Spawn); ok {
				unknown = append(unknown, RunNotStarted{s.ID})
			}
		}
		c.Step(now, unknown)
	}
	const idBytes = 160 // of an id in the history: the text, the entry and its share of the map
	if grown := liveBytes() - before; grown > defaultMaxIDs*idBytes+(1<<20) {
		t.Errorf("%d answered requests left %d kB, want at most %d", flood, grown>>10, (defaultMaxIDs*idBytes+(1<<20))>>10)
	}
	if c.Open() != 1 || c.answerDeadlines.Len() != 1 || len(c.requests) != 1 {
		t.Errorf("got %d open requests, %d deadlines and %d entries, want 1 of each", c.Open(), c.answerDeadlines.Len(),
			len(c.requests))
	}
	if n := len(c.wakeups.timers); n > 3100 {
		t.Errorf("got %d timers, want at most one for each of 3000 ms and a few of the module's own", n)
	}
}

// liveBytes returns the size of the live heap.
func liveBytes() int {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int(m.HeapAlloc)
}

// Guards against a booking that runs twice because a flood of other ids displaced its id (review/2): ids whose request may
// have run are remembered until their time is over, whatever number of requests that never ran come after them.
func TestIDsThatRanOutliveAFlood(t *testing.T) {
	c, now := newSharingCore(t)
	arrive := func(id string) Input {
		return RequestArrived{&Request{ID: id, ArrivedAt: now, Due: now + 2000, KB: 1, ReplyTo: sink(id)}}
	}
	c.Step(now, []Input{arrive("ran"), RunFinished{ID: "ran", End: RunOK}})
	c.Step(now, []Input{RunFinished{ID: "ran", End: RunOK}})
	for i := range 2 * defaultMaxIDs {
		id := fmt.Sprint("unknown", i)
		c.Step(now, []Input{arrive(id)})
		c.Step(now, []Input{RunNotStarted{id}})
	}
	out := c.Step(now+1, []Input{arrive("ran")})
	if r, ok := out[len(out)-1].(Reply); !ok || r.Outcome != Duplicate {
		t.Errorf("got %v for an id that ran, want a duplicate", out)
	}
	if n := c.recentIDs.neverRan.count(); n > defaultMaxIDs {
		t.Errorf("got %d ids that never ran, want at most %d", n, defaultMaxIDs)
	}
}

// Guards against a timer that fires early or is lost when timers share a slot: the module must be called at or after each
// time that it asked for, within a slot.
func TestTimersOfOneSlotFireAtItsEnd(t *testing.T) {
	var w wakeups
	w.setHorizon(3000)
	for _, at := range []float64{10.2, 10.9, 11, 12.5} {
		w.add(at, 0)
	}
	w.add(10.5, 1)
	var got []float64
	for at, ok := w.first(); ok; at, ok = w.first() {
		token, due := w.pop(at)
		if _, early := w.pop(at - 0.01); early || !due {
			t.Fatalf("a timer fired early or not at all at %v", at)
		}
		got = append(got, at, float64(token))
	}
	if diff := cmp.Diff([]float64{10.5, 1, 11, 0, 13, 0}, got); diff != "" {
		t.Error(diff)
	}
	w.add(11, 0)
	if at, ok := w.first(); !ok || at != 11 {
		t.Errorf("got a first timer at %v, %t after the slot was used once, want 11", at, ok)
	}
}

// If the worker pool has been up and warm for an hour, the module must not start with timers that are an hour late.
func TestWarmStartHasNoOverdueTimers(t *testing.T) {
	for cold, want := range map[bool]bool{false: true, true: false} {
		c, err := New(whinrudder.Settings{Cores: 1, Memory: 1e6, Tick: 2, Halt: whinrudder.StopAbort, CreditMode: whinrudder.CreditNone,
			Rules:   whinrudder.Rules{FallMultiple: 8, RampTime: 17000},
			Classes: []whinrudder.Class{{Aim: 1, Deadline: 2, Repeat: whinrudder.Safe}}}, 1)
		if err != nil {
			t.Fatal(err)
		}
		c.now = 1e7
		c.handleInput(PoolReady{Cold: cold, Age: 3600e3}) // a whole Step would also fire the late timers
		if got := c.Next() > 1e7; got != want {
			t.Errorf("cold %t: got first timer in the future %t, want %t", cold, got, want)
		}
	}
}

// loadedCore returns a core with the given number of open requests, a third of them running.
func loadedCore(tb testing.TB, requests int) (c *Core, runs []string, now float64) {
	c, err := New(whinrudder.Settings{Cores: 1 + requests/3, Memory: 1e9, Tick: 2, Halt: whinrudder.StopAbort, Callers: 3,
		CreditMode: whinrudder.CreditWindow, PassesDeadline: true, Rules: whinrudder.Rules{FallMultiple: 6},
		Classes: []whinrudder.Class{{Aim: 1e6, Deadline: 3e6, Worth: 1, Repeat: whinrudder.Safe}}}, 1)
	if err != nil {
		tb.Fatal(err)
	}
	now = 1000.0
	c.Step(now, []Input{PoolReady{}, LinkSynced{}})
	var in []Input
	for i := range requests {
		in = append(in, RequestArrived{&Request{ID: fmt.Sprint(i), ArrivedAt: now, Due: now + 3e6, KB: 30, ReplyTo: sink("a")}})
	}
	for _, o := range c.Step(now, in) {
		if s, ok := o.(Spawn); ok {
			runs = append(runs, s.ID)
		}
	}
	if c.Open() != requests {
		tb.Fatalf("got %d open requests, want %d", c.Open(), requests)
	}
	return c, runs, now
}

// BenchmarkIdleStep measures a step without inputs, by the number of open requests.
func BenchmarkIdleStep(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c, _, now := loadedCore(b, n)
			for b.Loop() {
				now += 0.001
				c.Step(now, nil)
				c.Next()
			}
		})
	}
}

// BenchmarkBusyStep measures a step with one end of a run and one arrival, by the number of open requests.
func BenchmarkBusyStep(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c, runs, now := loadedCore(b, n)
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

// The number of starts that wait for the link to the worker pool stays bounded while the link is down, however many
// requests arrive and are abandoned by their callers.
func TestStartQueueIsBoundedWhileTheLinkIsDown(t *testing.T) {
	c, now := newSharingCore(t)
	c.Step(now, []Input{LinkLost{}})
	maxQueued := 0
	for i := range 5000 {
		now += 10
		c.Step(now, []Input{RequestArrived{&Request{ID: fmt.Sprint(i), ArrivedAt: now, Due: now + 2000, KB: 30, ReplyTo: sink("a")}},
			CallerGone{fmt.Sprint(i - 2), sink("a")}})
		maxQueued = max(maxQueued, len(c.startQueue))
	}
	if maxQueued == 0 || maxQueued > startQueueTrimMin {
		t.Errorf("got at most %d waiting starts, want between 1 and %d", maxQueued, startQueueTrimMin)
	}
	starts := 0
	for _, o := range c.Step(now, []Input{LinkSynced{}}) {
		if _, ok := o.(Spawn); ok {
			starts++
		}
	}
	if starts != c.Open() || starts == 0 {
		t.Errorf("got %d starts once the link is synchronized, want one for each of the %d open requests and at least one", starts, c.Open())
	}
}

// Guards against a request that stays unanswered because another caller sent its id and left (review/1). Only the caller
// of the open request can give it up, whether the other one leaves in the step of its arrival, later or repeatedly.
func TestLeavingCallerOfADuplicateKeepsTheOpenRequest(t *testing.T) {
	c, now := newSharingCore(t)
	arrive := func(from string) Input {
		return RequestArrived{&Request{ID: "a", ArrivedAt: now, Due: now + 2000, KB: 30, ReplyTo: sink(from)}}
	}
	c.Step(now, []Input{arrive("owner")})
	c.Step(now+1, []Input{arrive("other"), CallerGone{"a", sink("other")}, arrive("third")})
	c.Step(now+2, []Input{CallerGone{"a", sink("third")}, CallerGone{"a", sink("third")}})
	if c.Open() != 1 {
		t.Fatalf("got %d open requests after other callers left, want 1", c.Open())
	}
	out := c.Step(now+3, []Input{RunFinished{ID: "a", Result: []byte("r")}})
	answered := slices.ContainsFunc(out, func(o Output) bool {
		r, ok := o.(Reply)
		return ok && r.To == sink("owner") && r.Outcome == Served
	})
	if !answered {
		t.Errorf("got %v, want an answer to the first caller", out)
	}
	c.Step(now+4, []Input{RequestArrived{&Request{ID: "b", ArrivedAt: now, Due: now + 2000, KB: 30, ReplyTo: sink("owner")}}})
	c.Step(now+5, []Input{CallerGone{"b", sink("owner")}})
	if c.Open() != 0 {
		t.Errorf("got %d open requests after their own caller left, want 0", c.Open())
	}
}

// Requests that wait for the answer of another are removed when their callers leave or when they fall due, and the
// remaining ones are served.
func TestWaitingRepeatsAreRemovedWhenTheyEnd(t *testing.T) {
	c, now := newSharingCore(t)
	arrive := func(id string, due float64) Input {
		return RequestArrived{&Request{ID: id, Key: "k", ArrivedAt: now, Due: due, KB: 30, ReplyTo: sink(id)}}
	}
	c.Step(now, []Input{arrive("first", now+2000)})
	for i := range 1000 {
		c.Step(now, []Input{arrive(fmt.Sprint("left", i), now+2000)})
	}
	c.Step(now, []Input{arrive("due", now+100), arrive("served", now+2000)})
	for i := range 1000 {
		c.Step(now, []Input{CallerGone{fmt.Sprint("left", i), sink(fmt.Sprint("left", i))}})
	}
	now += 200
	c.Step(now, nil)
	if len(c.keys.repeatsByID) != 1 || c.keys.byID["first"].waitingCount != 1 || c.Open() != 2 {
		t.Errorf("got %d repeats and %d open requests, want 1 and 2, with one waiting for the first", len(c.keys.repeatsByID), c.Open())
	}
	served := 0
	for _, o := range c.Step(now, []Input{RunFinished{ID: "first", Result: []byte("r")}}) {
		if r, ok := o.(Reply); ok && r.Outcome == Served {
			served++
		}
	}
	if served != 2 || len(c.keys.repeatsByID) != 0 || c.Open() != 0 {
		t.Errorf("got %d served, %d repeats, %d open, want 2, 0, 0", served, len(c.keys.repeatsByID), c.Open())
	}
}

// newSharingCore returns a serving core with four CPU cores, in which the answer to a read may serve other reads.
func newSharingCore(t *testing.T) (c *Core, now float64) {
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

// A request that another process of the node read must not run here, whether it is unfinished or ended there. Each id is
// reported once.
func TestSharedIDsAreTreatedAsDuplicates(t *testing.T) {
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
	var reported [][]string
	share := QueryLoad{Reply: func(load whinrudder.Beside, ids []string) {
		slices.Sort(ids)
		reported = append(reported, ids)
		next.Step(1003, []Input{SiblingLoad{load, ids}})
	}}
	old.Step(1001, []Input{arrive("a"), arrive("b"), RunFinished{ID: "a", End: RunOK}})
	old.Step(1002, []Input{share, arrive("c"), share, share})
	if diff := cmp.Diff([][]string{{"a", "b"}, {"c"}, nil}, reported, cmpopts.EquateEmpty()); diff != "" {
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
			t.Errorf("request %s: got outcomes %v and spawned %t, want known %t", id, outcome, spawned, known)
		}
	}
	old.Step(1005, []Input{QueryLoad{Stop: true}, arrive("e")})
	if len(old.unsharedIDs) > 0 {
		t.Error("ids are still collected after the sharing stopped")
	}
}

// Guards against kept results that take the node over its memory limit: they stay within their bound, and what is left out
// is only not shared. The list of requests that wait for one result is bounded by those that still wait.
func TestKeptResultsStayWithinTheirBytes(t *testing.T) {
	c, now := newSharingCore(t)
	c.Step(now, []Input{ChangeLimits{MaxIDs: 1000, ResultBytes: 20000}})
	arrive := func(id, key string) Input {
		return RequestArrived{&Request{ID: id, Key: key, ArrivedAt: now, Due: now + 2000, KB: 1, ReplyTo: sink(id)}}
	}
	for i := range 100 {
		id := fmt.Sprint("r", i)
		c.Step(now, []Input{arrive(id, id)})
		c.Step(now, []Input{RunFinished{ID: id, Result: make([]byte, 4096)}})
		if sum := 0; c.keys.bytes > 20000 {
			t.Fatalf("got %d bytes of results, want at most 20000", c.keys.bytes)
		} else {
			for _, e := range c.keys.byID {
				sum += e.size()
			}
			if sum != c.keys.bytes || sum == 0 {
				t.Fatalf("got %d bytes counted, want %d and more than 0", c.keys.bytes, sum)
			}
		}
	}
	now += 5000
	c.Step(now, []Input{arrive("first", "k")})
	for i := range 1000 {
		id := fmt.Sprint("repeat", i)
		c.Step(now, []Input{arrive(id, "k"), CallerGone{fmt.Sprint("repeat", i-2), sink(fmt.Sprint("repeat", i-2))}})
	}
	e := c.keys.byID["first"]
	if e == nil || len(e.waiting) > minTrimWaiting || e.waitingCount > 2 {
		t.Errorf("got %+v, want at most %d entries in the list of those that wait", e, minTrimWaiting)
	}
}

// Guards against orders of the operators that are lost or undone when two processes report them to each other (review/3):
// the latest order holds, whatever the order in which the reports come, and two orders of the same time end alike.
func TestLatestDrainOrderHolds(t *testing.T) {
	c, now := newSharingCore(t)
	var state DrainState
	done := func(s DrainState) { state = s }
	healthy := func() bool {
		for _, o := range c.Step(now, []Input{HealthCheck{ReplyTo: sink("check")}}) {
			if r, ok := o.(Reply); ok {
				return r.Outcome == Served
			}
		}
		return false
	}
	for i, s := range []struct {
		order DrainState
		want  DrainState
	}{
		{DrainState{On: false, Revision: 0}, DrainState{false, 1}}, // orders to this process
		{DrainState{On: true, Revision: 0}, DrainState{true, 2}},
		{DrainState{On: false, Revision: 1}, DrainState{true, 2}}, // an earlier one, reported late
		{DrainState{On: false, Revision: 2}, DrainState{true, 2}}, // one of the same time
		{DrainState{On: false, Revision: 5}, DrainState{false, 5}},
		{DrainState{On: true, Revision: 5}, DrainState{true, 5}},
		{DrainState{On: false, Revision: 0}, DrainState{false, 6}},
	} {
		now++
		c.Step(now, []Input{OperatorDrain{DrainState: s.order, Done: done}})
		if state != s.want || healthy() != !s.want.On {
			t.Errorf("order %d: got %+v and healthy %t, want %+v", i, state, healthy(), s.want)
		}
	}
}
