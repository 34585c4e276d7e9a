package core

import (
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"whinrudder"
	"whinrudder/internal/knowledge"
)

func priorOf(times ...float64) knowledge.Prior {
	p := knowledge.Prior{Donors: []string{"d"}, Trust: knowledge.DefaultTrustParams}
	for i, t := range times {
		p.ClassNames = append(p.ClassNames, fmt.Sprint("c", i))
		p.Classes = append(p.Classes, whinrudder.ClassKnowledge{Cost: whinrudder.CostModel{N: 15, Time: t}})
	}
	return p
}

// lines returns the lines of the log among outputs that tell of a prior.
func lines(out []Output) (all []string) {
	for _, o := range out {
		if l, ok := o.(LogEvent); ok && l.Event == "prior" {
			text := "prior"
			for i := 0; i < len(l.Pairs); i += 2 {
				text += fmt.Sprintf(" %v=%v", l.Pairs[i], l.Pairs[i+1])
			}
			all = append(all, text)
		}
	}
	return all
}

func TestPriorWaitsForTheModuleAndIsTried(t *testing.T) {
	c := newCore(t)
	told := func() (k whinrudder.Knowledge, known bool) {
		c.Step(c.now, []Input{QueryKnowledge{Reply: func(got whinrudder.Knowledge, ok bool) { k, known = got, ok }}})
		return k, known
	}
	if _, known := told(); known {
		t.Error("something is known before the worker pool is up")
	}
	if got := lines(c.Step(1e12, []Input{AdoptPrior{priorOf(100, 50)}})); got != nil {
		t.Errorf("adopted without a module: %q", got)
	}
	got := lines(c.Step(1e12, []Input{PoolReady{Cold: true, Age: 5}, LinkSynced{}}))
	if diff := cmp.Diff([]string{"prior code=adopted donors=d"}, got); diff != "" {
		t.Error(diff)
	}
	if k, known := told(); !known || k.Classes[0].Cost.N != 0 {
		t.Errorf("what was adopted is told on: %+v", k)
	}
	if diff := cmp.Diff([]string{"prior code=leaving donors=d"},
		lines(c.Step(1e12+1, []Input{StopNotice{StopAt: 1e12 + 3000}, AdoptPrior{priorOf(100, 50)}}))); diff != "" {
		t.Error(diff)
	}
}

// A transfer that ends after the node has learned enough by itself changes nothing.
func TestLatePriorIsNotTaken(t *testing.T) {
	c := newCore(t)
	now := 1e12
	c.Step(now, []Input{PoolReady{}, LinkSynced{}})
	for n := range 40 {
		id := fmt.Sprintf("%016x", n)
		c.Step(now, []Input{RequestArrived{&Request{ID: id, Class: n % 2, ArrivedAt: now, Due: now + 3000, KB: 1, ReplyTo: mailbox{}}}})
		now += 100
		c.Step(now, []Input{RunFinished{ID: id, End: RunOK, Latency: 100}})
	}
	got := lines(c.Step(now, []Input{AdoptPrior{priorOf(1000, 5)}}))
	if len(got) != 3 || !strings.HasPrefix(got[0], "prior code=enough class=c0") || got[2] != "prior code=unused donors=d" {
		t.Errorf("want it unused, got %q", got)
	}
}

type mailbox struct{}

func (mailbox) Deliver(Answer) {}

func newCore(tb testing.TB) *Core {
	class := whinrudder.Class{Aim: 1000, Deadline: 3000, Worth: 1, Repeat: whinrudder.Safe}
	c, err := New(whinrudder.Settings{Servers: 3, Callers: 3, Cores: 6, Memory: 1e6, RunFactor: 16, Tick: 2,
		Classes: []whinrudder.Class{class, class}, Halt: whinrudder.StopAbort, CreditMode: whinrudder.CreditWindow, HeardFor: 1000,
		ReportsCancellation: true, PassesDeadline: true, Rules: whinrudder.Rules{ColdFrom: 0.2, RampTime: 17000, DrainGrace: 2000,
			FallMultiple: 8, FallWindow: 1500}}, 1)
	if err != nil {
		tb.Fatal(err)
	}
	return c
}

// BenchmarkStep is a step of the core with an arrival and an end in it. Twenty takers that ask without end cost one
// export in 250 ms, which is one in 25 steps here; the last is what it would be if each of them had its own.
func BenchmarkStep(b *testing.B) {
	for _, t := range []struct {
		name        string
		every, asks int
	}{{"alone", 0, 0}, {"twenty-takers", 25, 1}, {"twenty-takers-uncached", 25, 20}} {
		b.Run(t.name, func(b *testing.B) {
			c := newCore(b)
			now := 1e12
			c.Step(now, []Input{PoolReady{}, LinkSynced{}})
			ask := QueryKnowledge{Reply: func(whinrudder.Knowledge, bool) {}}
			n := 0
			for b.Loop() {
				id := fmt.Sprintf("%016x", n)
				in := []Input{RequestArrived{&Request{ID: id, Class: n % 2, Caller: n % 3, ArrivedAt: now, Due: now + 3000, KB: 1, ReplyTo: mailbox{}}}}
				if n > 8 {
					in = append(in, RunFinished{ID: fmt.Sprintf("%016x", n-8), End: RunOK, Latency: 80})
				}
				if t.every > 0 && n%t.every == 0 {
					for range t.asks {
						in = append(in, ask)
					}
				}
				c.Step(now, in)
				now += 10
				n++
			}
		})
	}
}
