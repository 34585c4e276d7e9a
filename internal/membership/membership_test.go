package membership

import (
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

var self = Entry{Name: "n1", Listen: "127.0.0.1:1", Start: "b"}

const leaveTime = 2000.0 // from the notice to the removal

// world is an ensemble with one place, as a machine meets it.
type world struct {
	t       *rapid.T
	m       *Machine
	now     float64
	last    int64 // session that was opened last
	open    bool
	there   bool
	owner   int64
	version int32
	content Entry
	known   bool
	left    bool
	ended   bool
	draws   bool // steps may fail
}

// step takes one step of the machine, if it wants one, and checks it. It tells whether there was one.
func (w *world) step() (took bool, wake float64) {
	s, ok, wake := w.m.NextStep(w.now)
	if !ok {
		return false, wake
	}
	if w.ended {
		w.t.Fatal("a step after the end")
	}
	if _, twice, _ := w.m.NextStep(w.now); twice {
		w.t.Fatal("two steps at once")
	}
	if (s.Action == Create || s.Action == Replace || s.Action == Write) && w.left && !s.Content.Draining {
		w.t.Fatal("serving is written after the notice to leave")
	}
	if (s.Action == Create || s.Action == Replace) && w.left {
		w.t.Fatal("a node that leaves registers")
	}
	if s.Action == CloseSession {
		w.ended = true
		return true, 0
	}
	outcome := 0
	if w.draws {
		outcome = rapid.IntRange(0, 5).Draw(w.t, "outcome") // 0 to 3: it works, 4: refused, 5: the connection ends first
	}
	r := Result{}
	switch {
	case !w.open || outcome == 5:
		if w.open {
			w.close()
		}
		r.Code = ConnectionLost
	case outcome == 4:
		r.Code = Failed
	case s.Action == Read && w.there:
		r = Result{OK, w.owner, w.version, w.content, w.known}
	case s.Action == Create && w.there:
		r.Code = Conflict
	case s.Action == Create:
		w.there, w.owner, w.version, w.content, w.known = true, w.last, 0, s.Content, true
	case !w.there:
		r.Code = NotFound
	case s.Version != w.version:
		r.Code = Conflict
	case s.Action == Write:
		w.content, w.version = s.Content, w.version+1
	case s.Action == Replace:
		if w.owner == w.last || !w.known || w.content.Name != self.Name || w.content.Listen != self.Listen || w.content.Start > self.Start {
			w.t.Fatal("takes what is another's")
		}
		w.owner, w.version, w.content = w.last, 0, s.Content
	case s.Action == Remove:
		if w.owner != w.last {
			w.t.Fatal("removes what is another's")
		}
		w.there = false
	}
	w.m.StepDone(w.now, s, r)
	return true, 0
}

func (w *world) close() {
	w.open = false
	w.m.ConnectionClosed(w.now)
}

func (w *world) put(e Entry, known bool) {
	w.there, w.owner, w.version, w.content, w.known = true, 7, 3, e, known
	w.m.EntryChanged(w.now)
}

// Whatever happens in whatever order: nobody else's entry is removed, nothing is registered and nothing that serves is
// written after the notice to leave, one step is out at a time; and once it is calm the entry stands as it should, or is
// gone, within a bounded time and few steps.
func TestEntryFollowsTheNode(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, now: 1e6, last: 100, draws: true}
		w.m = New(self, 6000, rapid.Uint64().Draw(t, "seed"))
		drained, yielded := false, false
		for range rapid.IntRange(0, 60).Draw(t, "events") {
			switch rapid.SampledFrom([]string{"step", "step", "step", "time", "open", "close", "expire", "drain", "yield", "leave", "remove",
				"former", "successor", "foreign", "garbage", "back"}).Draw(t, "event") {
			case "step":
				w.step()
			case "time":
				w.now += rapid.Float64Range(0, 5000).Draw(t, "ms")
			case "back":
				w.now -= rapid.Float64Range(0, 1e5).Draw(t, "ms")
			case "open", "expire":
				if w.open {
					w.close()
				}
				if w.there && w.owner == w.last {
					w.there = false
				}
				w.last++
				w.open = true
				w.m.SessionOpened(w.now, w.last)
			case "close":
				w.close()
			case "drain":
				drained = !drained
				w.m.Drain(w.now, drained)
			case "yield":
				yielded = !yielded
				w.m.Yield(w.now, yielded)
			case "leave":
				if !w.left {
					w.left = true
					w.m.Leave(w.now, w.now+leaveTime)
				}
			case "remove":
				w.there = false
				w.m.EntryChanged(w.now)
			case "former":
				w.put(Entry{Name: self.Name, Listen: self.Listen, Start: "a"}, true)
			case "successor":
				w.put(Entry{Name: self.Name, Listen: self.Listen, Start: "c"}, true)
			case "foreign":
				w.put(Entry{Name: self.Name, Listen: "127.0.0.1:2"}, true)
			case "garbage":
				w.put(Entry{}, false)
			}
		}
		w.draws = false
		if yielded {
			w.m.Yield(w.now, false)
		}
		if !w.open && !w.ended {
			w.open = true
			w.last++
			w.there = false
			w.m.SessionOpened(w.now, w.last)
		}
		end, steps := w.now+leaveTime+2*stepMost, 0
		for w.now < end {
			took, wake := w.step()
			if took {
				steps++
				continue
			}
			if wake == 0 || wake > end {
				break
			}
			w.now = max(w.now, wake)
		}
		if steps > 40 {
			t.Fatalf("%d steps in a calm minute", steps)
		}
		foreign := w.there && w.owner != w.last && !(w.known && self.Supersedes(w.content))
		switch {
		case w.left && (!w.ended || w.there && w.owner == w.last && w.open && w.m.Phase() != Finished):
			t.Fatalf("not gone: ended %t, entry %+v", w.ended, w.content)
		case w.left:
		case foreign && w.m.Phase() != Foreign:
			t.Fatalf("phase %d of what is another's", w.m.Phase())
		case !foreign && (w.m.Phase() != Registered || !w.there || w.owner != w.last || w.content.Draining != drained):
			t.Fatalf("phase %d, entry %+v there %t, drained %t", w.m.Phase(), w.content, w.there, drained)
		}
	})
}

// peak returns the most of these times that fall into any 100 ms.
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

// libraryWait is the pause that the ZooKeeper client makes after each round of its servers, before it asks.
const libraryWait = 1000.0

// Three hundred nodes lose their ensemble at one instant, and it is away for 20 s. They don't come back at once, tries of each are
// bounded in any second, and a session that is there again hears of its node before it expires.
func TestNodesDoNotComeBackAtOnce(t *testing.T) {
	const session, back = 6000.0, 20000.0
	var tries, last []float64
	for seed := range uint64(300) {
		m := New(self, session, seed)
		m.SessionOpened(0, 1)
		m.ConnectionClosed(0)
		own := []float64{}
		for {
			at := m.DialAt(previous(own) + libraryWait)
			own = append(own, at)
			if at >= back {
				break
			}
			m.ConnectionClosed(at)
		}
		if n := peak(slices.Clone(own)); n > 1 {
			t.Fatalf("a node tries %d times in 100 ms", n)
		}
		tries, last = append(tries, own...), append(last, own[len(own)-1]-back)
	}
	t.Logf("tries %d, most in 100 ms %d of 300 (all at once without a spread), last node back after %.0f ms", len(tries), peak(tries),
		slices.Max(last))
	if n := peak(tries); n > 75 {
		t.Errorf("%d of 300 nodes try within 100 ms", n)
	}
	if slices.Max(last) > session*dialMost {
		t.Errorf("a node comes back %.0f ms after its ensemble", slices.Max(last))
	}
}

// previous returns the time of the last try, or 0.
func previous(own []float64) float64 {
	if len(own) == 0 {
		return 0
	}
	return own[len(own)-1]
}

// A connection that flaps faster than a session is tried no faster than one that can't be made.
func TestFlappingIsBounded(t *testing.T) {
	m, now, tries := New(self, 6000, 1), 0.0, 0
	for now < 60000 {
		now = m.DialAt(now) + 1
		m.SessionOpened(now, 1)
		m.ConnectionClosed(now)
		at := m.dialAt
		if m.ConnectionClosed(now); m.dialAt != at {
			t.Fatal("one end, told twice, is drawn a pause for twice")
		}
		tries++
	}
	if most := 60000/(6000*dialPart*leastPart) + 1; float64(tries) > most {
		t.Errorf("%d connections in a minute, %.0f at most", tries, most)
	}
}

// A step that is refused is tried again at growing pauses, within the bound.
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
	if steps < 10*60e3/stepMost || steps > 50 {
		t.Errorf("%d steps in ten minutes", steps)
	}
}

// Later starts have names that sort behind, on every clock of the next centuries.
func TestStartsSort(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		at := rapid.Float64Range(0, 1e13).Draw(t, "at")
		a := NewStartID(at, rapid.Uint64().Draw(t, "a"))
		b := NewStartID(at+1+rapid.Float64Range(0, 1e12).Draw(t, "after"), rapid.Uint64().Draw(t, "b"))
		if a >= b || len(a) != 16 || len(b) != 16 {
			t.Fatalf("%s, later %s", a, b)
		}
	})
}

// Entries are read as they are written, and those of older nodes and of others are no fault.
func TestEntries(t *testing.T) {
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
			t.Errorf("%q is taken for an entry", bad)
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
		once, ok := ParseEntry(e.Append(nil)) // bytes that are no UTF-8 are replaced
		twice, _ := ParseEntry(once.Append(nil))
		if diff := cmp.Diff(once, twice); diff != "" || !ok || once.Draining != e.Draining {
			t.Error(diff)
		}
	})
}
