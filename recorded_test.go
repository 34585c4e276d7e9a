package whinrudder

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/google/go-cmp/cmp"
)

var record = flag.Bool("record", false, "rewrite the recorded days; only for intended changes of decisions")

// actionLine formats an action as a recorded day has it. Numbers have six decimal places, because the order of a sum
// may change the last digits.
func actionLine(a Action) string {
	switch a := a.(type) {
	case Refuse:
		return fmt.Sprintf("refuse %s %.6f %t", a.ID, a.RetryAfter, a.NoRetryElsewhere)
	case Keep:
		return fmt.Sprintf("keep %s %.6f", a.ID, a.TTL)
	case Call:
		return fmt.Sprintf("call %s %.6f", a.ID, a.Timeout)
	case Advertise:
		return fmt.Sprintf("advertise %.6f", a.Credit)
	case Wake:
		return fmt.Sprintf("wake %.6f %d", a.At, a.Token)
	case CloseIdle:
		return fmt.Sprintf("close %.6f", a.After)
	}
	return fmt.Sprintf("%T %v", a, a)
}

// recordDay plays a day of random legal events and returns all actions with their time, one per line.
func recordDay(t *testing.T, seed uint64, ticks int, rate float64, change func(*Settings)) (lines []string) {
	s := settings()
	change(&s)
	p, err := New(s, seed)
	if err != nil {
		t.Fatal(err)
	}
	h := &host{t: t, settings: s, policy: p, rng: rand.New(rand.NewPCG(seed, 99)), now: 1000,
		tries:    map[RequestID]*try{},
		keyRanAt: map[string]float64{}, keyHolder: map[string]*try{}}
	h.onAction = func(a Action) { lines = append(lines, fmt.Sprintf("%.0f %s", h.now, actionLine(a))) }
	h.step()
	for range ticks {
		h.now += s.Tick
		h.step(h.randomEvents(rate)...)
	}
	h.shutDown(rate / 4)
	return lines
}

// chunkLines is the number of lines of a recorded day that one hash covers.
const chunkLines = 2000

// The actions of recorded days must stay the same, line by line, so that an optimization changes no decision. After an
// intended change of decisions the file is rewritten with -record, and the commit says why.
func TestRecordedDaysGiveTheSameActions(t *testing.T) {
	var got []string
	for seed := range uint64(24) {
		lines := recordDay(t, seed, 900, 0.1+0.03*float64(seed), func(s *Settings) {
			s.Halt = []StopMode{StopAbort, StopPause, StopNone}[seed%3]
			s.CreditMode = []CreditMode{CreditWindow, CreditThreshold, CreditShare, CreditWindow}[seed%4]
			s.PassesDeadline, s.ReportsCancellation, s.Cold = seed%5 != 0, seed%7 != 0, seed%6 == 0
			s.WorthByWork = seed%4 == 1
			s.Memory = []float64{3000, 8000, 200000}[seed%3]
			s.Cores = []int{1, 2, 4, 16}[seed%4]
			s.Callers, s.KeepAlive = []int{3, 200}[seed%2], 30000
			s.Classes = append(s.Classes, Class{Aim: 800, Deadline: 2000, Worth: 1, Repeat: Unsafe,
				CallsDependency: true},
				Class{Aim: 900, Deadline: 2500, Worth: 1, Repeat: Safe, CallsDependency: true, SkipWorth: 0.3},
				Class{Aim: 2500, Deadline: 6000, Worth: 4, LateWorth: 0.2, Repeat: Safe})
			s.Classes[0].LateWorth = []float64{0, 0.2}[seed%2]
			if seed%2 == 0 {
				s.Dependency, s.CallShare, s.CallShareWindow, s.CallLinger = DependencyShared, 2.5, 5000, 200
				s.Tenants = []Tenant{{QuotaPerSecond: 20}, {}}
			}
		})
		for i := 0; i < len(lines); i += chunkLines {
			chunk := strings.Join(lines[i:min(len(lines), i+chunkLines)], "\n")
			got = append(got, fmt.Sprintf("seed %d line %d %016x", seed, i, xxhash.Sum64String(chunk)))
		}
	}
	const file = "testdata/recorded-days.txt"
	if *record {
		if err := os.WriteFile(file, []byte(strings.Join(got, "\n")+"\n"), 0o600); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(strings.Split(strings.TrimSpace(string(want)), "\n"), got); diff != "" {
		t.Error(diff)
	}
}

// policyWithRequests returns a policy with n requests, a quarter of them running, and its time.
func policyWithRequests(tb testing.TB, n int) (*Policy, float64) {
	s := settings()
	s.Cores, s.Memory, s.Rules.FallMultiple = max(1, n/4), 1e9, 6
	s.Classes = []Class{{Aim: 1e6, Deadline: 3e6, Worth: 1, Repeat: Safe},
		{Aim: 2e6, Deadline: 3e6, Worth: 2, Repeat: Unsafe}}
	p, err := New(s, 1)
	if err != nil {
		tb.Fatal(err)
	}
	now := 1000.0
	p.Step(now, nil, nil)
	var events []Event
	for i := range n {
		a := newArrival(i, i%2, now)
		a.Due, a.WorkKnown, a.Work = now+3e6, true, 1
		events = append(events, a)
	}
	p.Step(now, events, nil)
	if got := len(p.requests); got != n {
		tb.Fatalf("got %d requests, want %d", got, n)
	}
	return p, now
}

// BenchmarkIdleStep measures a step without events, with 10 to 10000 requests in hand.
func BenchmarkIdleStep(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p, now := policyWithRequests(b, n)
			buf := []Action(nil)
			for b.Loop() {
				now += 0.001
				buf = p.Step(now, nil, buf[:0])
			}
		})
	}
}

// BenchmarkBusyStep measures the end of a run and an arrival, with 10 to 10000 requests in hand.
func BenchmarkBusyStep(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p, now := policyWithRequests(b, n)
			buf := []Action(nil)
			var runs []RequestID
			for i := range n {
				if r := p.requests[requestID(i)]; r.phase == running {
					runs = append(runs, r.ID)
				}
			}
			next := n
			for b.Loop() {
				now += 0.001
				a := newArrival(next, next%2, now)
				a.Due, a.WorkKnown, a.Work = now+3e6, true, 1
				next++
				end := Ended{ID: runs[0], Code: OK, Latency: 1}
				runs = runs[1:]
				buf = p.Step(now, []Event{end, a}, buf[:0])
				for _, a := range buf {
					if r, ok := a.(Run); ok {
						runs = append(runs, r.ID)
					}
				}
			}
		})
	}
}

// BenchmarkFullStep measures an arrival that is refused because the hold is as long as it may be.
func BenchmarkFullStep(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := settings()
			s.Cores, s.Memory, s.Rules.FallMultiple = max(1, n/5), 1e9, 1
			s.Classes = []Class{{Aim: 1000, Deadline: 3000, Worth: 1, Repeat: Safe}}
			p, err := New(s, 1)
			if err != nil {
				b.Fatal(err)
			}
			now, next, refused := 1000.0, 0, 0
			buf := p.Step(now, nil, nil)
			arrive := func() {
				a := newArrival(next, 0, now)
				a.Due, a.WorkKnown, a.Work = now+3000, true, 100
				next++
				buf = p.Step(now, []Event{a}, buf[:0])
				for _, a := range buf {
					if _, ok := a.(Refuse); ok {
						refused++
					}
				}
			}
			for refused == 0 {
				arrive()
			}
			b.ReportMetric(float64(len(p.requests)), "in-hand")
			for b.Loop() {
				arrive()
			}
		})
	}
}
