package core

import (
	"fmt"
	"testing"

	"whinrudder"
	"whinrudder/internal/knowledge"
)

// reloadCore is a core with two classes of reads, whose answers may serve others, and the settings of its last reload.
type reloadCore struct {
	*Core
	settings whinrudder.Settings
	now      float64
	requests int
}

func newReloadCore(t *testing.T, freshMs float64) *reloadCore {
	t.Helper()
	r := &reloadCore{now: 1000, settings: whinrudder.Settings{Cores: 8, Memory: 1e6, Tick: 2, RunFactor: 1, Halt: whinrudder.StopAbort,
		Rules: whinrudder.Rules{FallMultiple: 8}, Fresh: freshMs,
		Classes: []whinrudder.Class{{Aim: 1000, Deadline: 3000, Worth: 1, Repeat: whinrudder.Safe},
			{Aim: 1000, Deadline: 3000, Worth: 1, Repeat: whinrudder.Safe}}}}
	c, err := New(r.settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	r.Core = c
	c.Step(r.now, []Input{PoolReady{}, LinkSynced{}})
	return r
}

// ask sends a read of a class with a key and returns the result that it is served at once; started tells whether it runs
// instead, and the run then ends with a result of its own.
func (r *reloadCore) ask(class int, key string) (result string, started bool) {
	r.requests++
	id := fmt.Sprintf("%016x", r.requests)
	r.now++
	out := r.Step(r.now, []Input{RequestArrived{&Request{ID: id, Class: class, Key: key, ArrivedAt: r.now, Due: r.now + 3000, KB: 1,
		ReplyTo: sink("a")}}})
	for _, o := range out {
		switch o := o.(type) {
		case Spawn:
			started = true
		case Reply:
			return string(o.Result), false
		}
	}
	if started {
		r.now++
		r.Step(r.now, []Input{RunFinished{ID: id, Latency: 1, Result: fmt.Append(nil, "class ", class, " by ", id)}})
	}
	return "", started
}

// reload applies changed settings.
func (r *reloadCore) reload(names []string, newIndices ...int) {
	r.now++
	r.Step(r.now, []Input{ChangeSettings{Settings: r.settings, ClassNames: names, NewIndices: newIndices}})
}

// Guards against a read that is served with the result of another class (review/8): what is kept under the index of a dropped
// class must not be there for the class that gets the index. Other classes keep what they have.
func TestReassignedIndexServesNoForeignResult(t *testing.T) {
	r := newReloadCore(t, 30000)
	for class := range 2 {
		if _, started := r.ask(class, "k"); !started {
			t.Fatal("the first read did not run")
		}
		if got, _ := r.ask(class, "k"); got == "" {
			t.Fatal("the second read was not served with the first one's result")
		}
	}
	r.reload(nil, 0)
	if got, started := r.ask(0, "k"); !started {
		t.Errorf("a read of the new class was served with %q", got)
	}
	if got, _ := r.ask(1, "k"); got == "" {
		t.Error("the other class lost its result")
	}
	if r.keys.bytes > 4*keyEntryBytes {
		t.Errorf("the results that are kept count %d bytes", r.keys.bytes)
	}
}

// Guards against a read that is served with a result that is too old by the settings in force (review/8): a lower fresh_ms holds
// for what is kept already, and raising it again does not bring that back.
func TestLowerFreshHoldsForKeptResults(t *testing.T) {
	r := newReloadCore(t, 30000)
	r.ask(0, "k")
	r.now += 100
	r.settings.Fresh = 50
	r.reload(nil)
	if got, started := r.ask(0, "k"); !started {
		t.Errorf("served with %q, over 100 ms after it ended and with fresh_ms 50", got)
	}
	if got, _ := r.ask(0, "k"); got == "" {
		t.Error("a result that is fresh by the new settings does not serve")
	}
	r.now += 60
	r.settings.Fresh = 0
	r.reload(nil)
	r.settings.Fresh = 30000
	r.reload(nil)
	if got, started := r.ask(0, "k"); !started {
		t.Errorf("served with %q, which fresh_ms 0 had ended", got)
	}
}

// Guards against a class that starts with what was learned about another one: a prior that was made before a reload is not used
// for a class that got the index of another one by it, whether the module exists already or not.
func TestPriorOfAReassignedIndexIsDropped(t *testing.T) {
	prior := knowledge.Prior{ClassNames: []string{"old", "stays"}, Donors: []string{"n2"},
		Knowledge: whinrudder.Knowledge{Classes: []whinrudder.ClassKnowledge{{Cost: whinrudder.CostModel{N: 50, Time: 5000}}, {}}}}
	for _, poolFirst := range []bool{true, false} {
		for name, want := range map[string]string{"old": "adopted", "new": "unused"} {
			r := newReloadCore(t, 0)
			first, second := []Input{PoolReady{}, LinkSynced{}}, []Input{AdoptPrior{prior}}
			if !poolFirst {
				first, second = second, first
			}
			r.Core, _ = New(r.settings, 1)
			r.Step(r.now, first)
			r.Step(r.now, []Input{ChangeSettings{Settings: r.settings, ClassNames: []string{name, "stays"}}})
			got := ""
			for _, o := range r.Step(r.now, second) {
				if e, ok := o.(LogEvent); ok && e.Event == "prior" {
					got = e.Pairs[1].(string)
				}
			}
			if got != want {
				t.Errorf("pool first %t, class %s: the prior is %s, want %s", poolFirst, name, got, want)
			}
		}
	}
}

// Guards against a request whose class changes while it is in progress: the classes of the requests that have no answer, or
// whose run has not ended, are reported, so that their indices are not given away.
func TestClassesInUse(t *testing.T) {
	r := newReloadCore(t, 0)
	inUse := func() (got map[int]bool) {
		r.now++
		r.Step(r.now, []Input{QueryClassesInUse{Reply: func(classes map[int]bool) { got = classes }}})
		return got
	}
	request := &Request{ID: "00000000000000a1", Class: 1, ArrivedAt: r.now, Due: r.now + 100, KB: 1, ReplyTo: sink("a")}
	r.Step(r.now, []Input{RequestArrived{request}})
	r.now += 500 // it is answered, and its run goes on
	r.Step(r.now, nil)
	if got := inUse(); !got[1] || got[0] {
		t.Errorf("got %v in use, want class 1", got)
	}
	r.Step(r.now, []Input{RunFinished{ID: request.ID, Latency: 500}})
	if got := inUse(); len(got) != 0 {
		t.Errorf("got %v in use, want none", got)
	}
}
