package core

import (
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"whinrudder"
	"whinrudder/internal/knowledge"
)

func newPrior(times ...float64) knowledge.Prior {
	p := knowledge.Prior{Donors: []string{"d"}, Trust: knowledge.DefaultTrustParams}
	for i, t := range times {
		p.ClassNames = append(p.ClassNames, fmt.Sprint("c", i))
		p.Classes = append(p.Classes, whinrudder.ClassKnowledge{Cost: whinrudder.CostModel{N: 15, Time: t}})
	}
	return p
}

// priorLogLines returns the log lines about a prior among the outputs.
func priorLogLines(out []Output) (all []string) {
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

// A prior that arrives before the worker pool is up is adopted once the module exists. What was adopted is not reported
// as the node's own knowledge, and a draining node ignores a prior.
func TestPriorIsAdoptedOnceTheModuleExists(t *testing.T) {
	c := newCore(t)
	queryKnowledge := func() (k whinrudder.Knowledge, known bool) {
		c.Step(c.now, []Input{QueryKnowledge{Reply: func(got whinrudder.Knowledge, ok bool) { k, known = got, ok }}})
		return k, known
	}
	if _, known := queryKnowledge(); known {
		t.Error("got knowledge before the worker pool is up, want none")
	}
	if got := priorLogLines(c.Step(1e12, []Input{AdoptPrior{newPrior(100, 50)}})); got != nil {
		t.Errorf("got log lines %q before the module exists, want none", got)
	}
	got := priorLogLines(c.Step(1e12, []Input{PoolReady{Cold: true, Age: 5}, LinkSynced{}}))
	if diff := cmp.Diff([]string{"prior code=adopted donors=d"}, got); diff != "" {
		t.Error(diff)
	}
	if k, known := queryKnowledge(); !known || k.Classes[0].Cost.N != 0 {
		t.Errorf("got knowledge %+v, want own knowledge without the adopted prior", k)
	}
	if diff := cmp.Diff([]string{"prior code=leaving donors=d"},
		priorLogLines(c.Step(1e12+1, []Input{StopNotice{StopAt: 1e12 + 3000}, AdoptPrior{newPrior(100, 50)}}))); diff != "" {
		t.Error(diff)
	}
}

// A prior that arrives after the node has learned enough from its own runs changes nothing.
func TestLatePriorIsNotAdopted(t *testing.T) {
	c := newCore(t)
	now := 1e12
	c.Step(now, []Input{PoolReady{}, LinkSynced{}})
	for n := range 40 {
		id := fmt.Sprintf("%016x", n)
		c.Step(now, []Input{RequestArrived{&Request{ID: id, Class: n % 2, ArrivedAt: now, Due: now + 3000, KB: 1, ReplyTo: discardSink{}}}})
		now += 100
		c.Step(now, []Input{RunFinished{ID: id, End: RunOK, Latency: 100}})
	}
	got := priorLogLines(c.Step(now, []Input{AdoptPrior{newPrior(1000, 5)}}))
	if len(got) != 3 || !strings.HasPrefix(got[0], "prior code=enough class=c0") || got[2] != "prior code=unused donors=d" {
		t.Errorf("got log lines %q, want the prior unused", got)
	}
}

type discardSink struct{}

func (discardSink) Deliver(Answer) {}

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

// BenchmarkStep measures a step with one arrival and one end of a run. Twenty nodes that ask for knowledge all the time
// cost one export in 250 ms, which is one in 25 steps here. The last case is the cost if each of them had its own export.
func BenchmarkStep(b *testing.B) {
	for _, t := range []struct {
		name                string
		queryEvery, queries int
	}{{"alone", 0, 0}, {"twenty-takers", 25, 1}, {"twenty-takers-uncached", 25, 20}} {
		b.Run(t.name, func(b *testing.B) {
			c := newCore(b)
			now := 1e12
			c.Step(now, []Input{PoolReady{}, LinkSynced{}})
			query := QueryKnowledge{Reply: func(whinrudder.Knowledge, bool) {}}
			n := 0
			for b.Loop() {
				id := fmt.Sprintf("%016x", n)
				in := []Input{RequestArrived{&Request{ID: id, Class: n % 2, Caller: n % 3, ArrivedAt: now, Due: now + 3000, KB: 1, ReplyTo: discardSink{}}}}
				if n > 8 {
					in = append(in, RunFinished{ID: fmt.Sprintf("%016x", n-8), End: RunOK, Latency: 80})
				}
				if t.queryEvery > 0 && n%t.queryEvery == 0 {
					for range t.queries {
						in = append(in, query)
					}
				}
				c.Step(now, in)
				now += 10
				n++
			}
		})
	}
}
