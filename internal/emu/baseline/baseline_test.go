package baseline

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"

	"whinrudder"
	"whinrudder/internal/core"
)

var _ Node = (*core.Core)(nil) // the decision module runs through the same interface

type sink struct{}

func (sink) Deliver(core.Answer) {}

// servers returns a constructor for each baseline, by name.
func servers() map[string]func() *Server {
	return map[string]func() *Server{
		"no limit":  func() *Server { return NewServer(Unlimited{}, FIFO{}, 1000, 2000) },
		"fixed":     func() *Server { return NewServer(Fixed(4), FIFO{}, 8, 2000) },
		"codel":     func() *Server { return NewServer(Fixed(4), NewCoDel(10), 1000, 2000) },
		"aimd":      func() *Server { return NewServer(NewAIMD(4, 500), FIFO{}, 20, 2000) },
		"gradient2": func() *Server { return NewServer(NewGradient2(4), FIFO{}, 20, 2000) },
		"vegas":     func() *Server { return NewServer(NewVegas(4), FIFO{}, 20, 2000) },
	}
}

// Guards each baseline against broken rules under random events: every request gets one answer by its due time, nothing
// runs after its answer, beyond the limit or after the grace of a drain, and no state is left at the end.
func TestBaselinesKeepRules(t *testing.T) {
	for name, newServer := range servers() {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				s := newServer()
				now, n := 1000.0, 0
				type req struct {
					arrived, due float64
					answers      int
					gone         bool
					started      bool
				}
				reqs := map[string]*req{}
				running := []string{}
				notice, stop := math.Inf(1), math.Inf(1)
				step := func(in ...core.Input) {
					for _, o := range s.Step(now, in) {
						switch o := o.(type) {
						case core.Reply:
							r := reqs[o.ID]
							if r.answers++; r.answers > 1 || r.gone {
								t.Fatalf("request %s: got %d answers, caller gone %v; want one answer to a present caller", o.ID, r.answers, r.gone)
							}
							if o.Outcome == core.Refused && r.started {
								t.Fatalf("request %s was refused after it was started", o.ID)
							}
						case core.Spawn:
							r := reqs[o.ID]
							if r.started || r.answers > 0 || r.gone || r.arrived > notice+2000 {
								t.Fatalf("request %s must not be started (stop notice at %v): %+v", o.ID, notice, r)
							}
							r.started = true
							running = append(running, o.ID)
							if float64(len(running)) > max(1, s.limiter.Limit()) {
								t.Fatalf("%d requests run, want at most the limit %v; the server counts %d", len(running), s.limiter.Limit(), s.running)
							}
						}
					}
					for id, r := range reqs {
						if r.answers == 0 && !r.gone && now > r.due {
							t.Fatalf("request %s has no answer at %v, want one by %v", id, now, r.due)
						}
					}
				}
				for range rapid.IntRange(10, 150).Draw(t, "steps") {
					to := now + float64(rapid.IntRange(0, 80).Draw(t, "ms"))
					for at := s.Next(); at > 0 && at <= to; at = s.Next() {
						now = max(now, at)
						step()
					}
					now = to
					switch what := rapid.IntRange(0, 9).Draw(t, "what"); {
					case what < 5:
						n++
						id := fmt.Sprint("r", n)
						r := &req{arrived: now, due: min(now+float64(rapid.IntRange(1, 900).Draw(t, "wait")), stop)}
						reqs[id] = r
						step(core.RequestArrived{Request: &core.Request{ID: id, ArrivedAt: now, Due: r.due, ReplyTo: sink{}}})
					case what < 8 && len(running) > 0:
						i := rapid.IntRange(0, len(running)-1).Draw(t, "which")
						id := running[i]
						running = append(running[:i], running[i+1:]...)
						end := core.RunEnd(rapid.IntRange(0, 3).Draw(t, "how"))
						step(core.RunFinished{ID: id, End: end, Latency: float64(rapid.IntRange(1, 900).Draw(t, "took"))})
					case what == 8:
						for id, r := range reqs {
							if !r.gone && r.answers == 0 && id == fmt.Sprint("r", n) {
								r.gone = true
								step(core.CallerGone{ID: id, ReplyTo: sink{}})
							}
						}
					case what == 9 && math.IsInf(notice, 1) && rapid.IntRange(0, 5).Draw(t, "leave") == 0:
						notice, stop = now, now+3000
						for _, r := range reqs {
							r.due = min(r.due, stop)
						}
						step(core.StopNotice{StopAt: stop})
					}
				}
				finish := func() {
					for len(running) > 0 {
						id := running[0]
						running = running[1:]
						step(core.RunFinished{ID: id, End: core.RunOK, Latency: 5})
					}
				}
				finish()
				for at := s.Next(); at > 0; at = s.Next() {
					now = max(now, at)
					step()
					finish()
				}
				if s.Open() != 0 || len(s.requests) > len(running) {
					t.Fatalf("at the end: %d open and %d stored requests, want 0 and at most %d", s.Open(), len(s.requests), len(running))
				}
			})
		})
	}
}

// Checks the rule of each limiter and discipline against values computed by hand from its source.
func TestLimitersAndCoDel(t *testing.T) {
	a := NewAIMD(10, 100)
	a.Sample(0, 50, 5, true)
	a.Sample(0, 50, 2, true) // the limit is not in use
	a.Sample(0, 101, 11, true)
	if a.Limit() != 9 {
		t.Errorf("AIMD: got %v, want 9 (10, up to 11, down to 9)", a.Limit())
	}
	g := NewGradient2(20)
	for range 200 {
		g.Sample(0, 100, int(g.Limit()), true)
	}
	steady := g.Limit()
	for range 20 {
		g.Sample(0, 400, int(g.Limit()), true)
	}
	if steady < 150 || g.Limit() > steady*0.6 {
		t.Errorf("gradient2: got a steady limit of %v and %v at four times the latency, want at least 150 and at most 60%% of the steady one", steady, g.Limit())
	}
	v := NewVegas(20)
	v.Sample(0, 100, 20, true)
	v.Sample(0, 100.1, 20, true) // a queue of ceil(20*0.001) = 1 is below log10(20) = 1.3
	if want := 20 + 6*math.Log10(20); math.Abs(v.Limit()-want) > 1e-9 {
		t.Errorf("vegas: got %v, want %v", v.Limit(), want)
	}
	before := v.Limit()
	v.Sample(0, 200, 28, true) // half of the limit is queued
	if want := before - math.Log10(before); math.Abs(v.Limit()-want) > 1e-9 {
		t.Errorf("vegas: got %v, want %v", v.Limit(), want)
	}
	c := NewCoDel(1)
	c.RecordEmpty(0)
	if run, drop := c.Select(50, []QueuedRequest{{ArrivedAt: 10}, {ArrivedAt: 40}}); run != 0 || drop != nil {
		t.Errorf("codel without overload: got run %d, drop %v, want 0 and none", run, drop)
	}
	if run, drop := c.Select(150, []QueuedRequest{{ArrivedAt: 100}, {ArrivedAt: 146}, {ArrivedAt: 148}}); run != 2 || len(drop) != 1 {
		t.Errorf("codel in overload: got run %d, drop %v, want the newest run (2) and only the oldest dropped", run, drop)
	}
	if run, drop := c.Select(200, []QueuedRequest{{ArrivedAt: 100}}); run != -1 || len(drop) != 1 {
		t.Errorf("codel with only late requests: got run %d, drop %v, want -1 and one dropped", run, drop)
	}
}

// Checks that the core and a baseline start a request through the same interface.
func TestCoreIsNode(t *testing.T) {
	c, err := core.New(whinrudder.Settings{Cores: 1, Memory: 1e6, Tick: 2, Halt: whinrudder.StopAbort, CreditMode: whinrudder.CreditWindow, PassesDeadline: true,
		Rules:   whinrudder.Rules{FallMultiple: 8},
		Classes: []whinrudder.Class{{Aim: 1000, Deadline: 2000, Worth: 1, Repeat: whinrudder.Safe}}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	for _, n := range []Node{c, NewServer(Fixed(1), FIFO{}, 1, 2000)} {
		n.Step(1000, []core.Input{core.PoolReady{}, core.LinkSynced{}})
		starts := 0
		for _, o := range n.Step(1000, []core.Input{core.RequestArrived{Request: &core.Request{ID: "a", ArrivedAt: 1000, Due: 2500, KB: 1, ReplyTo: sink{}}}}) {
			if _, ok := o.(core.Spawn); ok {
				starts++
			}
		}
		if starts != 1 || n.Open() != 1 {
			t.Errorf("%T: got %d starts and %d open requests, want 1 and 1", n, starts, n.Open())
		}
	}
}
