package ownership

import (
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// drainActions returns the actions that the machine asks for at a time. It leaves attempts to open the journal
// unanswered.
func drainActions(m *Machine, now float64) (actions []Action) {
	for action := m.NextAction(now); action != None; action = m.NextAction(now) {
		actions = append(actions, action)
	}
	return actions
}

func TestActions(t *testing.T) {
	for name, c := range map[string]struct {
		held   bool
		events func(m *Machine)
		want   []Action
		owns   bool
	}{
		"no successor":                     {true, func(*Machine) {}, nil, true},
		"successor opens the journal":      {false, func(*Machine) {}, []Action{Open}, false},
		"owner is succeeded":               {true, func(m *Machine) { m.SetSuccessorServing(true) }, []Action{Yield}, true},
		"succession is reported twice":     {true, func(m *Machine) { m.SetSuccessorServing(true); m.SetSuccessorServing(true) }, []Action{Yield}, true},
		"all operations are finished":      {true, func(m *Machine) { m.SetSuccessorServing(true); m.Released() }, []Action{Yield, Close}, true},
		"successor is lost before release": {true, func(m *Machine) { m.SetSuccessorServing(true); m.SetSuccessorServing(false) }, []Action{Yield, Resume}, true},
		"release crosses resume":           {true, func(m *Machine) { m.SetSuccessorServing(true); m.SetSuccessorServing(false); m.Released() }, []Action{Yield, Resume, Close}, true},
		"successor is lost after close":    {true, func(m *Machine) { m.SetSuccessorServing(true); m.Released(); m.Closed(5); m.SetSuccessorServing(false) }, []Action{Yield, Close, Open}, false},
		"journal is closed":                {true, func(m *Machine) { m.SetSuccessorServing(true); m.Released(); m.Closed(5) }, []Action{Yield, Close}, false},
		"succeeded while opening": {false, func(m *Machine) { m.NextAction(0); m.SetSuccessorServing(true); m.Opened(1, true) },
			[]Action{Yield}, true},
		"succeeded before opening":                   {false, func(m *Machine) { m.SetSuccessorServing(true) }, nil, false},
		"journal is in use":                          {false, func(m *Machine) { m.NextAction(0); m.Opened(0, false) }, nil, false},
		"results of actions that were not requested": {false, func(m *Machine) { m.Opened(0, true); m.Closed(0); m.Released() }, []Action{Open}, false},
	} {
		m := New(c.held)
		c.events(m)
		if diff := cmp.Diff(c.want, drainActions(m, 10)); diff != "" || m.Owns() != c.owns {
			t.Errorf("%s: %s, Owns() is %v, want %v", name, diff, m.Owns(), c.owns)
		}
	}
	m := New(false)
	m.NextAction(0)
	if m.Opened(0, false); m.WakeAt() != retryIntervalMs || m.NextAction(retryIntervalMs-1) != None || m.NextAction(retryIntervalMs) != Open {
		t.Error("after a failed attempt WakeAt is", m.WakeAt(), "or the attempt is not repeated exactly then")
	}
}

// Processes succeed each other, crash and become idle in any order. The test guards against two owners of the journal,
// against a process that accepts operations without owning it, and against a serving process that never gets it once
// events stop.
func TestOneOwner(t *testing.T) {
	type process struct {
		m        *Machine
		locked   bool // holds the lock of the journal
		accepts  bool // its core accepts operations
		yielding bool // its core was told to finish them
	}
	rapid.Check(t, func(t *rapid.T) {
		now := 0.0
		processes := []*process{{m: New(true), locked: true, accepts: true}}
		drive := func(p *process) {
			for action := p.m.NextAction(now); action != None; action = p.m.NextAction(now) {
				switch action {
				case Open:
					free := !slices.ContainsFunc(processes, func(o *process) bool { return o.locked })
					p.locked, p.accepts, p.yielding = free, free, false
					p.m.Opened(now, free)
				case Yield:
					p.yielding = true
				case Resume:
					p.yielding = false
				case Close:
					p.locked = false
					p.m.Closed(now)
				}
			}
		}
		check := func() {
			owners := 0
			for _, p := range processes {
				if p.locked {
					owners++
				}
				if p.accepts && !p.locked {
					t.Fatal("a process accepts operations without owning the journal")
				}
			}
			if owners > 1 {
				t.Fatal(owners, " processes own the journal, want at most 1")
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += rapid.Float64Range(0, 60).Draw(t, "later")
			switch last := processes[len(processes)-1]; rapid.IntRange(0, 4).Draw(t, "what") {
			case 0: // a successor starts and serves, unless there are two processes already
				if len(processes) == 1 {
					processes = append(processes, &process{m: New(false)})
					last.m.SetSuccessorServing(true)
				}
			case 1: // the successor crashes
				if len(processes) == 2 {
					processes = processes[:1]
					processes[0].m.SetSuccessorServing(false)
				}
			case 2: // the predecessor ends or crashes
				if len(processes) == 2 {
					processes = processes[1:]
				}
			case 3: // a core that was told to yield has finished its operations
				for _, p := range processes {
					if p.accepts && p.yielding {
						p.accepts, p.yielding = false, false
						p.m.Released()
					}
				}
			}
			if rapid.Bool().Draw(t, "drive") {
				for _, p := range processes {
					drive(p)
					check()
				}
			}
			check()
		}
		for range 10 { // no further events, except that operations in progress finish
			now += retryIntervalMs
			for _, p := range processes {
				drive(p)
				if p.accepts && p.yielding {
					p.accepts, p.yielding = false, false
					p.m.Released()
				}
				check()
			}
		}
		if serving := processes[len(processes)-1]; !serving.locked || !serving.accepts {
			t.Fatal("the serving process does not own the journal")
		}
	})
}
