package attempt

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

func newState() *ClientState {
	return &ClientState{RetryBudget: &Budget{Ratio: 0.1, tokens: 10}, WaitBudget: &Budget{Ratio: 0.1, tokens: 10}, Throttle: NewThrottle(), Latencies: NewLatencies(1)}
}

// Checks the reason and the number of tries of a call for given outcomes of its tries.
func TestCallOutcomes(t *testing.T) {
	type try struct {
		outcome Outcome
		noRetry bool
	}
	for _, c := range []struct {
		name   string
		class  Class
		tries  []try
		reason Reason
		sent   int
	}{
		{"served", Class{}, []try{{outcome: Served}}, None, 1},
		{"a read is retried", Class{}, []try{{outcome: Failed}, {outcome: Broken}, {outcome: Served}}, None, 3},
		{"at most three tries by default", Class{}, []try{{outcome: Failed}, {outcome: Failed}, {outcome: Failed}}, Failure, 3},
		{"the class limits the tries", Class{Tries: 1}, []try{{outcome: Failed}}, Failure, 1},
		{"a refused write is retried", Class{Write: true}, []try{{outcome: Refused}, {outcome: Served}}, None, 2},
		{"an unsent write is retried", Class{Write: true}, []try{{outcome: Unsent}, {outcome: Unsent}, {outcome: Served}}, None, 3},
		{"a write is not retried after a broken connection", Class{Write: true}, []try{{outcome: Broken}}, Unknown, 1},
		{"a write is not retried after a failure", Class{Write: true}, []try{{outcome: Refused}, {outcome: Failed}}, Unknown, 2},
		{"a write is not retried after a timeout", Class{Write: true}, []try{{outcome: Late}}, Unknown, 1},
		{"all nodes refuse", Class{Write: true}, []try{{outcome: Refused}, {outcome: Refused}, {outcome: Refused}}, Rejected, 3},
		{"a node asks not to retry elsewhere", Class{}, []try{{outcome: Refused, noRetry: true}}, Rejected, 1},
		{"no connection", Class{Write: true}, []try{{outcome: Unsent}, {outcome: Unsent}, {outcome: Unsent}}, NoNode, 3},
	} {
		now := 0.0
		call := New(now, 10000, c.class, 0, newState(), 0.5)
		for i, x := range c.tries {
			action := call.Next(now, 0.5)
			if action.Kind == Sleep {
				now = action.At
				action = call.Next(now, 0.5)
			}
			if action.Kind != Try || action.Retry != (i > 0) || action.Due <= now || action.Due > 10000 || c.class.Write && action.Due != 10000 {
				t.Fatalf("%s: try %d: unexpected action %+v", c.name, i, action)
			}
			call.TrySent(now)
			now += 100
			call.TryEnded(now, x.outcome, 100, 250, x.noRetry)
		}
		if action := call.Next(now, 0.5); action.Kind != Done || action.Reason != c.reason || call.Tries() != c.sent {
			t.Errorf("%s: got %+v after %d tries, want reason %v after %d", c.name, action, call.Tries(), c.reason, c.sent)
		}
	}
}

// Guards against tries and waits that cannot end before the call's deadline, and against a call that goes on after it.
func TestDeadlines(t *testing.T) {
	s := newState()
	for range quantileEveryResponses {
		s.Latencies.Add(0, 400)
	}
	if action := New(0, 150, Class{}, 0, s, 0.5).Next(0, 0); action.Kind != Done || action.Reason != NoTime {
		t.Errorf("150 ms left with a latency of 400 ms: got %+v, want Done with NoTime", action)
	}
	c := New(0, 1000, Class{}, 0, s, 0.5)
	c.NoNodeFree(0, 900)
	if action := c.Next(0, 0); action.Kind != Done || action.Reason != NoNode {
		t.Errorf("no node is free until shortly before the deadline: got %+v, want Done with NoNode", action)
	}
	c = New(0, 10000, Class{}, 0, s, 0.5)
	c.NoNodeFree(0, 200)
	if action := c.Next(0, 0); action.Kind != Sleep || action.At != 200 {
		t.Errorf("no node is free for 200 ms: got %+v, want a sleep until 200", action)
	}
	c = New(0, 2000, Class{}, 0, s, 0.5)
	if action := c.Next(0, 0); action.Due != 1200 {
		t.Errorf("try of a read with 2,000 ms left: got %+v, want a deadline of 1,200", action)
	}
	c.TrySent(0)
	if action := c.Next(2000, 0); action.Kind != Done || action.Reason != Failure {
		t.Errorf("read at its deadline: got %+v, want Done with Failure", action)
	}
	c.TryEnded(2500, Served, 2500, 0, false)
	c = New(0, 2000, Class{Write: true}, 0, s, 0.5)
	c.TrySent(0)
	c.Cancel()
	if action := c.Next(10, 0); action.Reason != Cancelled {
		t.Errorf("cancelled call: got %+v, want reason Cancelled", action)
	}
}

// A read is hedged once it takes longer than the 95th percentile, a write never; a failed hedge does not end the call
// while the first try is open.
func TestHedge(t *testing.T) {
	s := newState()
	for range quantileEveryResponses {
		s.Latencies.Add(0, 100)
	}
	c := New(0, 10000, Class{Hedge: true}, 0, s, 0.5)
	c.Next(0, 0)
	c.TrySent(0)
	p95 := s.Latencies.P95(0)
	if action := c.Next(0, 0); action.Kind != Sleep || action.At != p95 {
		t.Errorf("got %+v, want a sleep until %v", action, p95)
	}
	action := c.Next(p95, 0)
	if action.Kind != Try || !action.Hedge || !action.Retry {
		t.Errorf("got %+v, want a hedge", action)
	}
	c.TrySent(p95)
	c.TryEnded(p95+50, Failed, 50, 0, false)
	if action := c.Next(p95+50, 0); action.Kind != Sleep {
		t.Errorf("first try still open: got %+v, want a sleep", action)
	}
	c.TryEnded(p95+60, Served, p95+60, 0, false)
	if action := c.Next(p95+60, 0); action.Kind != Done || action.Reason != None {
		t.Errorf("after the first try was served: got %+v, want Done with None", action)
	}
	w := New(0, 10000, Class{Write: true, Hedge: true}, 0, s, 0.5)
	w.TrySent(0)
	if action := w.Next(5000, 0); action.Kind != Sleep {
		t.Errorf("open write: got %+v, want a sleep without a hedge", action)
	}
}

// For any behavior of the nodes, retries and hedges stay within the budget, a write is not retried once it may have
// run, a call ends by its deadline, and an ended call stays ended with the same reason.
func TestCallInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &ClientState{RetryBudget: NewBudget(), WaitBudget: NewBudget(), Throttle: NewThrottle(), Latencies: NewLatencies(1)}
		now, first, retries := 0.0, 0, 0
		for range rapid.IntRange(1, 60).Draw(t, "calls") {
			write := rapid.Bool().Draw(t, "write")
			due := now + rapid.Float64Range(1, 5000).Draw(t, "time")
			c := New(now, due, Class{Write: write, Hedge: rapid.Bool().Draw(t, "hedge")}, 0, s, rapid.Float64Range(0, 0.999).Draw(t, "draw"))
			mayHaveRun := false
			for step := 0; ; step++ {
				if step > 200 {
					t.Fatal("the call does not end within 200 steps")
				}
				action := c.Next(now, rapid.Float64Range(0, 1).Draw(t, "pause"))
				if action.Kind == Done {
					if again := c.Next(now+1, 0); again.Kind != Done || again.Reason != action.Reason {
						t.Fatalf("an ended call returned %+v, then %+v", action, again)
					}
					if write && mayHaveRun && action.Reason != Unknown && action.Reason != None {
						t.Fatalf("a write that may have run ends as %v", action.Reason)
					}
					break
				}
				if action.Kind == Try {
					if now >= due || action.Due > due || mayHaveRun && write {
						t.Fatalf("action %+v at time %v with deadline %v, may have run: %v", action, now, due, mayHaveRun)
					}
					if rapid.IntRange(0, 4).Draw(t, "none") == 0 {
						c.NoNodeFree(now, now+rapid.Float64Range(0, 2000).Draw(t, "until"))
						continue
					}
					if action.Retry {
						retries++
					} else {
						first++
					}
					c.TrySent(now)
					continue
				}
				to := math.Min(action.At, due)
				if c.OpenTries() > 0 && rapid.Bool().Draw(t, "ends") {
					now += (to - now) * rapid.Float64Range(0, 1).Draw(t, "when")
					e := Outcome(rapid.IntRange(int(Served), int(Late)).Draw(t, "end"))
					mayHaveRun = mayHaveRun || e == Failed || e == Broken || e == Late
					c.TryEnded(now, e, 100, 100, rapid.Bool().Draw(t, "stay"))
					continue
				}
				now = to
				if c.OpenTries() > 0 && to >= due {
					mayHaveRun = true
				}
			}
		}
		if limit := initialBudgetTokens + 0.1*float64(first+60) + 1 + now/1000; float64(retries) > limit {
			t.Fatalf("%d retries and hedges with %d first tries in %.0f ms, want at most %v", retries, first, now, limit)
		}
	})
}

// A budget allows a share of the calls plus a minimum rate. A throttle lets all calls through while nodes accept
// them, and few when they refuse all.
func TestBudgetAndThrottle(t *testing.T) {
	b := NewBudget()
	spent := 0
	for i := range 5000 {
		b.Deposit(float64(i) * 10)
		for b.Spend(float64(i) * 10) {
			spent++
		}
	}
	if spent < 350 || spent > 520 {
		t.Errorf("%d retries for 5,000 calls, want about 400 plus the minimum rate", spent)
	}
	for _, c := range []struct {
		outcome   Outcome
		low, high int
	}{{Served, 1000, 1000}, {Refused, 20, 250}, {Failed, 1000, 1000}} {
		th, sent := NewThrottle(), 0
		for i := range 1000 {
			if !th.ShouldReject(float64(i)*10, float64(i*617%1000)/1000) {
				sent++
				th.RecordTry(float64(i)*10, c.outcome)
			}
		}
		if sent < c.low || sent > c.high {
			t.Errorf("outcome %v: %d of 1,000 calls are sent, want %d to %d", c.outcome, sent, c.low, c.high)
		}
	}
	// Calls in flight do not count as refused: a client that starts with many calls rejects none. Calls without a
	// free node do count.
	th, rejected := NewThrottle(), 0
	for range 500 {
		if th.ShouldReject(0, 0) {
			rejected++
		}
	}
	if rejected > 0 {
		t.Errorf("%d calls are rejected before any try ended, want 0", rejected)
	}
	for range 100 {
		th.RecordNoNode()
	}
	if !th.ShouldReject(0, 0.5) {
		t.Error("no call is rejected although no node is ever free")
	}
}
