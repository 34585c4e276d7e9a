package attempt

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

func shared() *ClientState {
	return &ClientState{RetryBudget: &Budget{Ratio: 0.1, tokens: 10}, WaitBudget: &Budget{Ratio: 0.1, tokens: 10}, Throttle: NewThrottle(), Latencies: NewLatencies(1)}
}

// A call by hand: the end of each try, and what the call comes to.
func TestCalls(t *testing.T) {
	type try struct {
		end  Outcome
		stay bool
	}
	for _, c := range []struct {
		name   string
		class  Class
		tries  []try
		reason Reason
		sent   int
	}{
		{"served", Class{}, []try{{end: Served}}, None, 1},
		{"a read is tried again", Class{}, []try{{end: Failed}, {end: Broken}, {end: Served}}, None, 3},
		{"three times at most", Class{}, []try{{end: Failed}, {end: Failed}, {end: Failed}}, Failure, 3},
		{"as often as the class says", Class{Tries: 1}, []try{{end: Failed}}, Failure, 1},
		{"a write that was refused did not run", Class{Write: true}, []try{{end: Refused}, {end: Served}}, None, 2},
		{"a write that was not sent", Class{Write: true}, []try{{end: Unsent}, {end: Unsent}, {end: Served}}, None, 3},
		{"a write whose connection broke", Class{Write: true}, []try{{end: Broken}}, Unknown, 1},
		{"a write that failed", Class{Write: true}, []try{{end: Refused}, {end: Failed}}, Unknown, 2},
		{"a write that was late", Class{Write: true}, []try{{end: Late}}, Unknown, 1},
		{"all refuse", Class{Write: true}, []try{{end: Refused}, {end: Refused}, {end: Refused}}, Rejected, 3},
		{"not to be passed over", Class{}, []try{{end: Refused, stay: true}}, Rejected, 1},
		{"no connection", Class{Write: true}, []try{{end: Unsent}, {end: Unsent}, {end: Unsent}}, NoNode, 3},
	} {
		now := 0.0
		call := New(now, 10000, c.class, 0, shared(), 0.5)
		for i, x := range c.tries {
			do := call.Next(now, 0.5)
			if do.Kind == Sleep {
				now = do.At
				do = call.Next(now, 0.5)
			}
			if do.Kind != Try || do.Retry != (i > 0) || do.Due <= now || do.Due > 10000 || c.class.Write && do.Due != 10000 {
				t.Fatalf("%s: try %d: %+v", c.name, i, do)
			}
			call.TrySent(now)
			now += 100
			call.TryEnded(now, x.end, 100, 250, x.stay)
		}
		if do := call.Next(now, 0.5); do.Kind != Done || do.Reason != c.reason || call.Tries() != c.sent {
			t.Errorf("%s: %+v after %d tries", c.name, do, call.Tries())
		}
	}
}

// What can't be answered in time is not sent, a wait that can't be afforded is not made, and a call that is over stays so.
func TestTime(t *testing.T) {
	s := shared()
	for range usualEvery {
		s.Latencies.Add(0, 400)
	}
	if do := New(0, 150, Class{}, 0, s, 0.5).Next(0, 0); do.Kind != Done || do.Reason != NoTime {
		t.Errorf("150 ms are left of the usual 400: %+v", do)
	}
	c := New(0, 1000, Class{}, 0, s, 0.5)
	c.NoNodeFree(0, 900)
	if do := c.Next(0, 0); do.Kind != Done || do.Reason != NoNode {
		t.Errorf("no node is free until just before the end: %+v", do)
	}
	c = New(0, 10000, Class{}, 0, s, 0.5)
	c.NoNodeFree(0, 200)
	if do := c.Next(0, 0); do.Kind != Sleep || do.At != 200 {
		t.Errorf("no node is free for a while: %+v", do)
	}
	c = New(0, 2000, Class{}, 0, s, 0.5)
	if do := c.Next(0, 0); do.Due != 1200 {
		t.Errorf("a read leaves time for another try: %+v", do)
	}
	c.TrySent(0)
	if do := c.Next(2000, 0); do.Kind != Done || do.Reason != Failure {
		t.Errorf("the end of its time: %+v", do)
	}
	c.TryEnded(2500, Served, 2500, 0, false)
	c = New(0, 2000, Class{Write: true}, 0, s, 0.5)
	c.TrySent(0)
	c.Cancel()
	if do := c.Next(10, 0); do.Reason != Cancelled {
		t.Errorf("cancelled: %+v", do)
	}
}

// A read is hedged once it takes longer than nearly all do, a write never; the one that is late does not end the call.
func TestHedge(t *testing.T) {
	s := shared()
	for range usualEvery {
		s.Latencies.Add(0, 100)
	}
	c := New(0, 10000, Class{Hedge: true}, 0, s, 0.5)
	c.Next(0, 0)
	c.TrySent(0)
	high := s.Latencies.P95(0)
	if do := c.Next(0, 0); do.Kind != Sleep || do.At != high {
		t.Errorf("%+v, want a sleep until %v", do, high)
	}
	do := c.Next(high, 0)
	if do.Kind != Try || !do.Hedge || !do.Retry {
		t.Errorf("%+v, want a hedge", do)
	}
	c.TrySent(high)
	c.TryEnded(high+50, Failed, 50, 0, false)
	if do := c.Next(high+50, 0); do.Kind != Sleep {
		t.Errorf("the first try is still out: %+v", do)
	}
	c.TryEnded(high+60, Served, high+60, 0, false)
	if do := c.Next(high+60, 0); do.Kind != Done || do.Reason != None {
		t.Errorf("%+v", do)
	}
	w := New(0, 10000, Class{Write: true, Hedge: true}, 0, s, 0.5)
	w.TrySent(0)
	if do := w.Next(5000, 0); do.Kind != Sleep {
		t.Errorf("a write is hedged: %+v", do)
	}
}

// Whatever nodes do, tries that are not first ones stay within the budget, a write runs on after no end that proves nothing, a
// call ends by its due time, and once it is over it wants nothing more.
func TestCallsKeepTheirWord(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &ClientState{RetryBudget: NewBudget(), WaitBudget: NewBudget(), Throttle: NewThrottle(), Latencies: NewLatencies(1)}
		now, first, again := 0.0, 0, 0
		for range rapid.IntRange(1, 60).Draw(t, "calls") {
			write := rapid.Bool().Draw(t, "write")
			due := now + rapid.Float64Range(1, 5000).Draw(t, "time")
			c := New(now, due, Class{Write: write, Hedge: rapid.Bool().Draw(t, "hedge")}, 0, s, rapid.Float64Range(0, 0.999).Draw(t, "draw"))
			unknown := false
			for step := 0; ; step++ {
				if step > 200 {
					t.Fatal("it does not end")
				}
				do := c.Next(now, rapid.Float64Range(0, 1).Draw(t, "pause"))
				if do.Kind == Done {
					if again := c.Next(now+1, 0); again.Kind != Done || again.Reason != do.Reason {
						t.Fatalf("%+v, and then %+v", do, again)
					}
					if write && unknown && do.Reason != Unknown && do.Reason != None {
						t.Fatalf("a write that may have run ends as %v", do.Reason)
					}
					break
				}
				if do.Kind == Try {
					if now >= due || do.Due > due || unknown && write {
						t.Fatalf("%+v at %v of %v, unknown %v", do, now, due, unknown)
					}
					if rapid.IntRange(0, 4).Draw(t, "none") == 0 {
						c.NoNodeFree(now, now+rapid.Float64Range(0, 2000).Draw(t, "until"))
						continue
					}
					if do.Retry {
						again++
					} else {
						first++
					}
					c.TrySent(now)
					continue
				}
				to := math.Min(do.At, due)
				if c.OpenTries() > 0 && rapid.Bool().Draw(t, "ends") {
					now += (to - now) * rapid.Float64Range(0, 1).Draw(t, "when")
					e := Outcome(rapid.IntRange(int(Served), int(Late)).Draw(t, "end"))
					unknown = unknown || e == Failed || e == Broken || e == Late
					c.TryEnded(now, e, 100, 100, rapid.Bool().Draw(t, "stay"))
					continue
				}
				now = to
				if c.OpenTries() > 0 && to >= due {
					unknown = true
				}
			}
		}
		if most := budgetFirst + 0.1*float64(first+60) + 1 + now/1000; float64(again) > most {
			t.Fatalf("%d tries beside %d first ones in %.0f ms, %v at most", again, first, now, most)
		}
	})
}

// A budget is a share and a trickle; throttling lets most through while nodes take half, and few once they take none.
func TestBudgetAndThrottle(t *testing.T) {
	b := NewBudget()
	taken := 0
	for i := range 5000 {
		b.Deposit(float64(i) * 10)
		for b.Spend(float64(i) * 10) {
			taken++
		}
	}
	if taken < 350 || taken > 520 {
		t.Errorf("%d of 5,000 are tried again, want about 400 and the trickle", taken)
	}
	for _, c := range []struct {
		end       Outcome
		low, high int
	}{{Served, 1000, 1000}, {Refused, 20, 250}, {Failed, 1000, 1000}} {
		th, sent := NewThrottle(), 0
		for i := range 1000 {
			if !th.ShouldReject(float64(i)*10, float64(i*617%1000)/1000) {
				sent++
				th.RecordTry(float64(i)*10, c.end)
			}
		}
		if sent < c.low || sent > c.high {
			t.Errorf("%v: %d of 1,000 go out", c.end, sent)
		}
	}
	// Calls under way were not turned away: a client that begins with many holds none back. Those for which no node was free were.
	th, held := NewThrottle(), 0
	for range 500 {
		if th.ShouldReject(0, 0) {
			held++
		}
	}
	if held > 0 {
		t.Errorf("%d calls are held back before anything was heard", held)
	}
	for range 100 {
		th.RecordNoNode()
	}
	if !th.ShouldReject(0, 0.5) {
		t.Error("none is held back though no node is ever free")
	}
}
