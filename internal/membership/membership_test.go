package membership

import (
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

var self = Entry{Name: "n1", Listen: "127.0.0.1:1", Start: "b"}

const removeDelayMs = 2000.0 // from the notice to the removal

// fakeEnsemble is a test double of an ensemble with one znode, and the driver of one machine.
type fakeEnsemble struct {
	t         *rapid.T
	m         *Machine
	now       float64
	session   int64 // the session that was opened last
	connected bool
	exists    bool // the znode exists; owner, version, content and valid describe it
	owner     int64
	version   int32
	content   Entry
	valid     bool
	leaving   bool // Leave was called
	ended     bool // the machine closed the session
	faults    bool // steps may fail
}

// step carries out one step of the machine, if there is one, and checks it. It reports whether there was one.
func (f *fakeEnsemble) step() (stepped bool, wake float64) {
	s, ok, wake := f.m.NextStep(f.now)
	if !ok {
		return false, wake
	}
	if f.ended {
		f.t.Fatal("NextStep returns a step after CloseSession")
	}
	if _, second, _ := f.m.NextStep(f.now); second {
		f.t.Fatal("NextStep returns a second step while one is pending")
	}
	if (s.Action == Create || s.Action == Replace || s.Action == Write) && f.leaving && !s.Content.Draining {
		f.t.Fatal("an entry that is not draining is written after the notice to leave")
	}
	if (s.Action == Create || s.Action == Replace) && f.leaving {
		f.t.Fatal("a node that leaves registers its entry")
	}
	if s.Action == CloseSession {
		f.ended = true
		return true, 0
	}
	outcome := 0
	if f.faults {
		outcome = rapid.IntRange(0, 5).Draw(f.t, "outcome") // 0 to 3: success, 4: refused, 5: the connection ends first
	}
	r := Result{}
	switch {
	case !f.connected || outcome == 5:
		if f.connected {
			f.close()
		}
		r.Code = ConnectionLost
	case outcome == 4:
		r.Code = Failed
	case s.Action == Read && f.exists:
		r = Result{OK, f.owner, f.version, f.content, f.valid}
	case s.Action == Create && f.exists:
		r.Code = Conflict
	case s.Action == Create:
		f.exists, f.owner, f.version, f.content, f.valid = true, f.session, 0, s.Content, true
	case !f.exists:
		r.Code = NotFound
	case s.Version != f.version:
		r.Code = Conflict
	case s.Action == Write:
		f.content, f.version = s.Content, f.version+1
	case s.Action == Replace:
		if f.owner == f.session || !f.valid || f.content.Name != self.Name || f.content.Listen != self.Listen || f.content.Start > self.Start {
			f.t.Fatal("replaces an entry of its own session, of another node or of a later start")
		}
		f.owner, f.version, f.content = f.session, 0, s.Content
	case s.Action == Remove:
		if f.owner != f.session {
			f.t.Fatal("removes an entry of another session")
		}
		f.exists = false
	}
	f.m.StepDone(f.now, s, r)
	return true, 0
}

func (f *fakeEnsemble) close() {
	f.connected = false
	f.m.ConnectionClosed(f.now)
}

func (f *fakeEnsemble) put(e Entry, valid bool) {
	f.exists, f.owner, f.version, f.content, f.valid = true, 7, 3, e, valid
	f.m.EntryChanged(f.now)
}

// Events and failures come in any order. The machine must not remove an entry of another session, must not register or
// write an entry that is not draining after the notice to leave, and must have one step pending at a time. Once events
// stop, the entry must be correct, or be removed if the node leaves, within a bounded time and number of steps.
func TestEntryFollowsTheNode(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fakeEnsemble{t: t, now: 1e6, session: 100, faults: true}
		f.m = New(self, 6000, rapid.Uint64().Draw(t, "seed"))
		drained, yielded := false, false
		for range rapid.IntRange(0, 60).Draw(t, "events") {
			switch rapid.SampledFrom([]string{"step", "step", "step", "time", "open", "close", "expire", "drain", "yield", "leave", "remove",
				"predecessor", "successor", "foreign", "garbage", "clock back"}).Draw(t, "event") {
			case "step":
				f.step()
			case "time":
				f.now += rapid.Float64Range(0, 5000).Draw(t, "ms")
			case "clock back":
				f.now -= rapid.Float64Range(0, 1e5).Draw(t, "ms")
			case "open", "expire":
				if f.connected {
					f.close()
				}
				if f.exists && f.owner == f.session {
					f.exists = false
				}
				f.session++
				f.connected = true
				f.m.SessionOpened(f.now, f.session)
			case "close":
				f.close()
			case "drain":
				drained = !drained
				f.m.Drain(f.now, drained)
			case "yield":
				yielded = !yielded
				f.m.Yield(f.now, yielded)
			case "leave":
				if !f.leaving {
					f.leaving = true
					f.m.Leave(f.now, f.now+removeDelayMs)
				}
			case "remove":
				f.exists = false
				f.m.EntryChanged(f.now)
			case "predecessor":
				f.put(Entry{Name: self.Name, Listen: self.Listen, Start: "a"}, true)
			case "successor":
				f.put(Entry{Name: self.Name, Listen: self.Listen, Start: "c"}, true)
			case "foreign":
				f.put(Entry{Name: self.Name, Listen: "127.0.0.1:2"}, true)
			case "garbage":
				f.put(Entry{}, false)
			}
		}
		f.faults = false
		if yielded {
			f.m.Yield(f.now, false)
		}
		if !f.connected && !f.ended {
			f.connected = true
			f.session++
			f.exists = false
			f.m.SessionOpened(f.now, f.session)
		}
		end, steps := f.now+removeDelayMs+2*maxStepBackoffMs, 0
		for f.now < end {
			stepped, wake := f.step()
			if stepped {
				steps++
				continue
			}
			if wake == 0 || wake > end {
				break
			}
			f.now = max(f.now, wake)
		}
		if steps > 40 {
			t.Fatalf("%d steps after the last event, want at most 40", steps)
		}
		foreign := f.exists && f.owner != f.session && !(f.valid && self.Supersedes(f.content))
		switch {
		case f.leaving && (!f.ended || f.exists && f.owner == f.session && f.connected && f.m.Phase() != Finished):
			t.Fatalf("the node has not left: session closed %t, entry %+v", f.ended, f.content)
		case f.leaving:
		case foreign && f.m.Phase() != Foreign:
			t.Fatalf("phase %d with an entry of another node, want Foreign", f.m.Phase())
		case !foreign && (f.m.Phase() != Registered || !f.exists || f.owner != f.session || f.content.Draining != drained):
			t.Fatalf("phase %d, entry %+v exists %t, drained %t, want a registered entry with that drain mark",
				f.m.Phase(), f.content, f.exists, drained)
		}
	})
}

// peak returns the largest number of times that fall into any 100 ms.
func peak(times []float64) (most int) {
	slices.Sort(times)
	for i, j := 0, 0; j < len(times); j++ {
		for times[j]-times[i] >= 100 {
			i++
		}
		most = max(most, j-i+1)
	}
	return most
}

// libraryPauseMs is the pause of the ZooKeeper client library after each round of its servers, before it calls DialAt.
const libraryPauseMs = 1000.0

// 300 nodes lose their ensemble at the same instant, for 20 s. The test guards against nodes that all reconnect at once,
// against a node that retries too fast, and against a session that expires because its node reconnects too late.
func TestReconnectionsAreSpread(t *testing.T) {
	const sessionMs, outageMs = 6000.0, 20000.0
	var allAttempts, returnDelays []float64
	for seed := range uint64(300) {
		m := New(self, sessionMs, seed)
		m.SessionOpened(0, 1)
		m.ConnectionClosed(0)
		attempts := []float64{}
		for {
			at := m.DialAt(previous(attempts) + libraryPauseMs)
			attempts = append(attempts, at)
			if at >= outageMs {
				break
			}
			m.ConnectionClosed(at)
		}
		if n := peak(slices.Clone(attempts)); n > 1 {
			t.Fatalf("a node makes %d connection attempts within 100 ms, want at most 1", n)
		}
		allAttempts, returnDelays = append(allAttempts, attempts...), append(returnDelays, attempts[len(attempts)-1]-outageMs)
	}
	t.Logf("%d attempts, peak within 100 ms %d of 300 (300 without a spread), last node back after %.0f ms", len(allAttempts),
		peak(allAttempts), slices.Max(returnDelays))
	if n := peak(allAttempts); n > 75 {
		t.Errorf("%d of 300 nodes attempt to connect within 100 ms, want at most 75", n)
	}
	if slices.Max(returnDelays) > sessionMs*maxDialBackoffRatio {
		t.Errorf("the last node reconnects %.0f ms after the ensemble returned", slices.Max(returnDelays))
	}
}

// previous returns the time of the last attempt, or 0.
func previous(attempts []float64) float64 {
	if len(attempts) == 0 {
		return 0
	}
	return attempts[len(attempts)-1]
}

// A connection that flaps within a session timeout must not be retried faster than one that cannot be established.
// Reporting the end of a connection twice must not extend the pause.
func TestFlappingIsBounded(t *testing.T) {
	m, now, attempts := New(self, 6000, 1), 0.0, 0
	for now < 60000 {
		now = m.DialAt(now) + 1
		m.SessionOpened(now, 1)
		m.ConnectionClosed(now)
		at := m.dialAt
		if m.ConnectionClosed(now); m.dialAt != at {
			t.Fatal("the second report of one connection end changes dialAt")
		}
		attempts++
	}
	if most := 60000/(6000*firstDialBackoffRatio*minPauseRatio) + 1; float64(attempts) > most {
		t.Errorf("%d connections in a minute, want at most %.0f", attempts, most)
	}
}

// A step that is refused is retried with growing pauses, neither too often nor too rarely.
func TestRefusedStepsAreBounded(t *testing.T) {
	m, now, steps := New(self, 6000, 1), 0.0, 0
	m.SessionOpened(0, 1)
	for now < 10*60e3 {
		s, ok, wake := m.NextStep(now)
		if !ok {
			now = wake
			continue
		}
		steps++
		m.StepDone(now, s, Result{Code: Failed})
	}
	if steps < 10*60e3/maxStepBackoffMs || steps > 50 {
		t.Errorf("%d steps in ten minutes, want %.0f to 50", steps, 10*60e3/maxStepBackoffMs)
	}
}

// The IDs of later starts sort after those of earlier ones, for any clock of the next centuries.
func TestStartIDsSort(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		at := rapid.Float64Range(0, 1e13).Draw(t, "at")
		a := NewStartID(at, rapid.Uint64().Draw(t, "a"))
		b := NewStartID(at+1+rapid.Float64Range(0, 1e12).Draw(t, "after"), rapid.Uint64().Draw(t, "b"))
		if a >= b || len(a) != 16 || len(b) != 16 {
			t.Fatalf("start ID %s, later start ID %s, want ascending IDs of 16 characters", a, b)
		}
	})
}

// Entries survive a round trip. Entries of older nodes and with unknown keys are parsed, and anything else is rejected.
func TestEntryFormat(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := Entry{Name: rapid.String().Draw(t, "name"), Listen: rapid.String().Draw(t, "listen"), H2C: rapid.String().Draw(t, "h2c"),
			Start: rapid.StringMatching("[0-9a-f]{16}").Draw(t, "start"), Draining: rapid.Bool().Draw(t, "draining")}
		got, ok := ParseEntry(e.Append(nil))
		if diff := cmp.Diff(e, got); diff != "" || !ok {
			t.Fatal(diff)
		}
	})
	old, ok := ParseEntry([]byte(`{"name":"n","listen":"l","uwsgi":"","more":[1]}`))
	if diff := cmp.Diff(Entry{Name: "n", Listen: "l"}, old); diff != "" || !ok {
		t.Error(diff)
	}
	for _, bad := range []string{"", "peer", "[]", "3", `{"name":`} {
		if _, ok := ParseEntry([]byte(bad)); ok {
			t.Errorf("%q is parsed as an entry", bad)
		}
	}
}

func FuzzParseEntry(f *testing.F) {
	f.Add([]byte(`{"name":"n","listen":"l","draining":true}`))
	f.Add([]byte(`{"name":1,"draining":"x"}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		e, ok := ParseEntry(b)
		if !ok {
			return
		}
		once, ok := ParseEntry(e.Append(nil)) // bytes that are not UTF-8 are replaced
		twice, _ := ParseEntry(once.Append(nil))
		if diff := cmp.Diff(once, twice); diff != "" || !ok || once.Draining != e.Draining {
			t.Error(diff)
		}
	})
}
