package ownership

import (
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// what the machine wants by a time, without tries that another process's lock would answer.
func all(m *Machine, now float64) (out []Action) {
	for do := m.NextAction(now); do != None; do = m.NextAction(now) {
		out = append(out, do)
	}
	return out
}

func TestTurns(t *testing.T) {
	for name, c := range map[string]struct {
		held  bool
		play  func(m *Machine)
		want  []Action
		holds bool
	}{
		"alone":                   {true, func(*Machine) {}, nil, true},
		"successor tries":         {false, func(*Machine) {}, []Action{Open}, false},
		"succeeded":               {true, func(m *Machine) { m.SetSuccessorServing(true) }, []Action{Yield}, true},
		"and told twice":          {true, func(m *Machine) { m.SetSuccessorServing(true); m.SetSuccessorServing(true) }, []Action{Yield}, true},
		"idle":                    {true, func(m *Machine) { m.SetSuccessorServing(true); m.Released() }, []Action{Yield, Close}, true},
		"successor lost in time":  {true, func(m *Machine) { m.SetSuccessorServing(true); m.SetSuccessorServing(false) }, []Action{Yield, Resume}, true},
		"idle crosses its resume": {true, func(m *Machine) { m.SetSuccessorServing(true); m.SetSuccessorServing(false); m.Released() }, []Action{Yield, Resume, Close}, true},
		"successor lost too late": {true, func(m *Machine) { m.SetSuccessorServing(true); m.Released(); m.Closed(5); m.SetSuccessorServing(false) }, []Action{Yield, Close, Open}, false},
		"given up":                {true, func(m *Machine) { m.SetSuccessorServing(true); m.Released(); m.Closed(5) }, []Action{Yield, Close}, false},
		"succeeded while it tries": {false, func(m *Machine) { m.NextAction(0); m.SetSuccessorServing(true); m.Opened(1, true) },
			[]Action{Yield}, true},
		"wanted no more": {false, func(m *Machine) { m.SetSuccessorServing(true) }, nil, false},
		"in use":         {false, func(m *Machine) { m.NextAction(0); m.Opened(0, false) }, nil, false},
		"nobody asked":   {false, func(m *Machine) { m.Opened(0, true); m.Closed(0); m.Released() }, []Action{Open}, false},
	} {
		m := New(c.held)
		c.play(m)
		if diff := cmp.Diff(c.want, all(m, 10)); diff != "" || m.Owns() != c.holds {
			t.Errorf("%s: %s, holds %v", name, diff, m.Owns())
		}
	}
	m := New(false)
	m.NextAction(0)
	if m.Opened(0, false); m.WakeAt() != again || m.NextAction(again-1) != None || m.NextAction(again) != Open {
		t.Error("a try that failed is made again at", m.WakeAt())
	}
}

// Processes succeed each other, die and come to rest in any order: at no time two have the journal, nobody takes operations
// without it, and once nothing more happens the one that serves has it.
func TestOneOwner(t *testing.T) {
	type process struct {
		m      *Machine
		lock   bool // it has the journal
		takes  bool // its core takes operations
		yields bool // its core has been told to end them
	}
	rapid.Check(t, func(t *rapid.T) {
		now := 0.0
		procs := []*process{{m: New(true), lock: true, takes: true}}
		drive := func(p *process) {
			for do := p.m.NextAction(now); do != None; do = p.m.NextAction(now) {
				switch do {
				case Open:
					free := !slices.ContainsFunc(procs, func(o *process) bool { return o.lock })
					p.lock, p.takes, p.yields = free, free, false
					p.m.Opened(now, free)
				case Yield:
					p.yields = true
				case Resume:
					p.yields = false
				case Close:
					p.lock = false
					p.m.Closed(now)
				}
			}
		}
		check := func() {
			n := 0
			for _, p := range procs {
				if p.lock {
					n++
				}
				if p.takes && !p.lock {
					t.Fatal("operations are taken without the journal")
				}
			}
			if n > 1 {
				t.Fatal(n, " have the journal")
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += rapid.Float64Range(0, 60).Draw(t, "later")
			switch last := procs[len(procs)-1]; rapid.IntRange(0, 4).Draw(t, "what") {
			case 0: // another is started, and serves: not while there are two
				if len(procs) == 1 {
					procs = append(procs, &process{m: New(false)})
					last.m.SetSuccessorServing(true)
				}
			case 1: // the successor dies
				if len(procs) == 2 {
					procs = procs[:1]
					procs[0].m.SetSuccessorServing(false)
				}
			case 2: // the old one ends, or dies
				if len(procs) == 2 {
					procs = procs[1:]
				}
			case 3: // a core that was told to has nothing in hand any more
				for _, p := range procs {
					if p.takes && p.yields {
						p.takes, p.yields = false, false
						p.m.Released()
					}
				}
			}
			if rapid.Bool().Draw(t, "drive") {
				for _, p := range procs {
					drive(p)
					check()
				}
			}
			check()
		}
		for range 10 { // nothing more happens, but that what is in hand ends
			now += again
			for _, p := range procs {
				drive(p)
				if p.takes && p.yields {
					p.takes, p.yields = false, false
					p.m.Released()
				}
				check()
			}
		}
		if serves := procs[len(procs)-1]; !serves.lock || !serves.takes {
			t.Fatal("the process that serves has no journal")
		}
	})
}
