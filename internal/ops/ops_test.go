package ops

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"whinrudder/internal/journal"
)

var limits = Limits{Keys: 3, DiskBytes: 10000, SegmentBytes: 1000, AgeMs: 100e3, DoubtMs: 200e3}

// disk is a journal that takes all that a table writes, when it is told to.
type disk struct {
	t    *Table
	seg  uint32
	at   uint32
	segs []journal.Segment
	all  map[journal.Position]journal.Record
	log  []Effect // all but writes
	wait []Write
}

func newDisk(l Limits) *disk {
	return &disk{t: New(l), seg: 1, segs: []journal.Segment{{Number: 1}}, all: map[journal.Position]journal.Record{}}
}

// effects takes what the table wants.
func (d *disk) effects() []Effect {
	for _, e := range d.t.Effects() {
		if w, ok := e.(Write); ok {
			d.wait = append(d.wait, w)
			continue
		}
		d.log = append(d.log, e)
	}
	out := d.log
	d.log = nil
	return out
}

// lay makes all that waits last.
func (d *disk) lay(now float64) []Effect {
	d.log = append(d.log, d.effects()...)
	var places []journal.Position
	for _, w := range d.wait {
		r := w.Record
		if w.CopyFrom.Segment > 0 {
			r = d.all[w.CopyFrom]
		}
		if int64(d.at) >= d.t.limits.SegmentBytes {
			d.seg, d.at = d.seg+1, 0
			d.segs = append(d.segs, journal.Segment{Number: d.seg})
		}
		p := journal.Position{Segment: d.seg, Offset: d.at, Length: uint32(100 + len(r.Result))}
		d.at += p.Length
		d.segs[len(d.segs)-1].Bytes = int64(d.at)
		d.all[p] = r
		places = append(places, p)
	}
	d.wait = nil
	if len(places) > 0 {
		d.t.WritesDurable(now, places, append([]journal.Segment{}, d.segs...))
	}
	return d.effects()
}

func digest(s string) (d [digestSize]byte) { copy(d[:], s); return d }

// book takes an operation to its end.
func (d *disk) book(now float64, id, key string) []Effect {
	d.t.Begin(now, id, key, digest(key))
	d.t.WriteIntent(now, id)
	d.lay(now)
	d.t.Finish(now, id, true, []byte("r"))
	return d.lay(now)
}

// A table that is full refuses new keys and nothing else; ages make room, doubts keep theirs for longer, and what comes
// for a key that was aged out is no word on anything.
func TestBoundsAndAges(t *testing.T) {
	d := newDisk(limits)
	d.book(1000, "a1", "a")
	d.t.Begin(1000, "b1", "b", digest("b"))
	d.t.WriteIntent(1000, "b1")
	d.lay(1000)
	d.t.MarkInDoubt(5000, "b1")
	d.book(2000, "c1", "c")
	d.effects()
	if v := d.t.Begin(3000, "d1", "d", digest("d")); v != (Verdict{Kind: VerdictRefused, Reason: ReasonFull}) {
		t.Errorf("%+v", v)
	}
	if v := d.t.Begin(3000, "a2", "a", digest("a")); v.Kind != VerdictServed {
		t.Errorf("what is kept is told: %+v", v)
	}
	if v := d.t.Begin(3000, "b2", "b", digest("b")); v != (Verdict{Kind: VerdictFails, Reason: ReasonInDoubt}) {
		t.Errorf("%+v", v)
	}
	if v := d.t.Begin(101100, "d2", "d", digest("d")); v.Kind != VerdictFirst {
		t.Errorf("an end that is old enough makes room: %+v", v)
	}
	if v := d.t.Begin(201500, "b3", "b", digest("b")); v.Kind != VerdictFirst {
		t.Errorf("a doubt that is old enough is forgotten: %+v", v)
	}
	if d.t.Finish(201600, "b1", true, nil) {
		t.Error("a result came for an operation that was aged out, and was taken")
	}
	if v := d.t.Begin(201700, "b4", "b", digest("b")); v.Kind != VerdictWaits {
		t.Errorf("the new try of the key stays as it was: %+v", v)
	}
	d = newDisk(limits)
	d.t.SetSegments([]journal.Segment{{Number: 1, Bytes: 10000}})
	if v := d.t.Begin(1000, "a1", "a", digest("a")); v.Reason != ReasonFull {
		t.Errorf("the disk is full: %+v", v)
	}
}

// A clock that is set back by an hour between two lives keeps what was kept, and no longer than it is told to by more than
// that hour; one that is set forward forgets what is old enough by it.
func TestClockAcrossLives(t *testing.T) {
	for _, c := range []struct {
		now  float64
		want VerdictKind
	}{{10e6 + 50e3, VerdictServed}, {10e6 - 3600e3, VerdictServed}, {10e6 + 101e3, VerdictFirst}} {
		d := newDisk(limits)
		d.t.Recover(journal.Record{Kind: journal.Finished, Key: "a", Run: "a1", At: 10e6, Digest: make([]byte, digestSize)}, journal.Position{Segment: 1, Length: 100})
		d.t.FinishRecovery(c.now, d.segs)
		if v := d.t.Begin(c.now, "a2", "a", [digestSize]byte{}); v.Kind != c.want {
			t.Errorf("at %v: %+v, want %v", c.now, v, c.want)
		}
	}
}

// A disk that takes nothing ends in refusals: intents are taken back after their time, new ones are not begun, an end is
// told early, and all goes on once it is well again.
func TestStalledDisk(t *testing.T) {
	d := newDisk(Limits{Keys: 10, DiskBytes: 1e6, SegmentBytes: 1000, AgeMs: 1e6, DoubtMs: 1e6})
	d.t.Begin(1000, "a1", "a", digest("a"))
	d.t.WriteIntent(1000, "a1")
	d.lay(1000)
	d.t.Finish(1100, "a1", true, []byte("r"))
	d.t.Begin(1100, "b1", "b", digest("b"))
	d.t.WriteIntent(1100, "b1")
	d.t.Wait(1150, "b2", "b")
	d.effects()
	if v := d.t.Begin(1500, "c1", "c", digest("c")); v.Reason != ReasonStalled {
		t.Errorf("%+v", v)
	}
	if r, ok, ended := d.t.UnsyncedEnd("a1"); string(r) != "r" || !ok || !ended {
		t.Errorf("%q %v %v", r, ok, ended)
	}
	if at := d.t.WakeAt(); at != 1100+startFor {
		t.Errorf("looked at again at %v", at)
	}
	d.t.Tick(1100 + startFor)
	want := []Effect{Refuse{"b1", ReasonStalled}, Refuse{"b2", ReasonNotRun}}
	if diff := cmp.Diff(want, d.effects()); diff != "" {
		t.Error(diff)
	}
	want = []Effect{Serve{ID: "a1", Result: []byte("r")}}
	if diff := cmp.Diff(want, d.lay(3000)); diff != "" {
		t.Error(diff)
	}
	if v := d.t.Begin(3000, "b3", "b", digest("b")); v.Kind != VerdictFirst {
		t.Errorf("what was taken back is free again: %+v", v)
	}
}

// A sync that fails: an intent counts for nothing and its request is refused, an end is written again until it lasts, and
// a record of no meaning finds out when the disk is well.
func TestLostWrites(t *testing.T) {
	d := newDisk(Limits{Keys: 10, DiskBytes: 1e6, SegmentBytes: 1000, AgeMs: 1e6, DoubtMs: 1e6})
	d.t.Begin(1000, "a1", "a", digest("a"))
	d.t.WriteIntent(1000, "a1")
	d.effects()
	d.wait = nil
	d.t.WritesFailed(1010, 1, d.segs)
	if diff := cmp.Diff([]Effect{Refuse{"a1", ReasonStalled}}, d.effects()); diff != "" {
		t.Error(diff)
	}
	if v := d.t.Begin(1020, "b1", "b", digest("b")); v.Reason != ReasonStalled {
		t.Errorf("%+v", v)
	}
	if len(d.wait) != 1 || d.wait[0].Record.Key != "" {
		t.Errorf("want one record of no meaning, got %+v", d.wait)
	}
	d.lay(1100)
	d.book(1200, "b2", "b")
	d.t.Begin(1300, "c1", "c", digest("c"))
	d.t.WriteIntent(1300, "c1")
	d.lay(1300)
	d.t.Finish(1310, "c1", true, []byte("r"))
	for range 3 {
		d.effects()
		d.wait = nil
		d.t.WritesFailed(1320, 1, d.segs)
	}
	if diff := cmp.Diff([]Effect{Serve{ID: "c1", Result: []byte("r")}}, d.lay(1400)); diff != "" {
		t.Error(diff)
	}
}

// Whatever is booked, left, lost and aged out: what a new life recovers from the records is what the table holds, the
// journal stays within twice of what counts and two segments, and moving it never outruns its budget.
func TestRecoveryAgreesAndTheJournalStaysSmall(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Limits{Keys: 40, DiskBytes: 1e9, SegmentBytes: 1500, AgeMs: 20e3, DoubtMs: 1e9}
		d := newDisk(l)
		now, n := 1000.0, 0
		var running []string
		for range rapid.IntRange(20, 300).Draw(t, "steps") {
			now += float64(rapid.IntRange(1, 400).Draw(t, "ms"))
			n++
			key, id := fmt.Sprint("k", rapid.IntRange(0, 30).Draw(t, "key")), fmt.Sprint("id", n)
			switch v := d.t.Begin(now, id, key, digest(key)); v.Kind {
			case VerdictFirst:
				if rapid.IntRange(0, 3).Draw(t, "refused") == 0 {
					d.t.Detach(now, id)
				} else if d.t.WriteIntent(now, id) {
					running = append(running, id)
				}
			case VerdictWaits:
				d.t.Wait(now, id, key)
			}
			d.log = append(d.log, d.effects()...)
			if rapid.Bool().Draw(t, "lay") {
				d.log = append(d.log, d.lay(now)...)
			}
			if len(running) > 0 && rapid.Bool().Draw(t, "end") {
				i := rapid.IntRange(0, len(running)-1).Draw(t, "which")
				switch id := running[i]; rapid.IntRange(0, 4).Draw(t, "how") {
				case 0:
					d.t.RunNotStarted(now, id)
				case 1:
					d.t.MarkInDoubt(now, id)
				case 2:
					d.t.Detach(now, id)
				default:
					d.t.Finish(now, id, true, make([]byte, rapid.IntRange(0, 200).Draw(t, "bytes")))
				}
				running = append(running[:i], running[i+1:]...)
			}
			if rapid.IntRange(0, 9).Draw(t, "lost") == 0 {
				d.log = append(d.log, d.effects()...)
				if k := len(d.wait); k > 0 {
					d.wait = nil
					d.t.WritesFailed(now, k, d.segs)
				}
			}
			d.log = append(d.log, d.lay(now)...)
			before := len(d.t.pending)
			d.t.Tick(now)
			if moved := len(d.t.pending) - before; moved > copyMost {
				t.Fatalf("%d moved at once", moved)
			}
			for _, e := range d.effects() {
				if e, ok := e.(DropSegment); ok {
					if e.Segment != d.segs[0].Number || len(d.segs) < 2 {
						t.Fatalf("segment %d of %v is dropped", e.Segment, d.segs)
					}
					for p := range d.all {
						if p.Segment == e.Segment {
							delete(d.all, p)
						}
					}
					d.segs = d.segs[1:]
					d.t.SegmentDropped(now, e.Segment, true, append([]journal.Segment{}, d.segs...))
				}
			}
		}
		d.lay(now)
		for i := 0; i < 400; i++ { // let it move what it wants to
			now += copyEvery
			d.t.Tick(now)
			d.log = append(d.log, d.lay(now)...)
			for _, e := range d.log {
				if _, ok := e.(DropSegment); ok {
					for p := range d.all {
						if p.Segment == d.segs[0].Number {
							delete(d.all, p)
						}
					}
					no := d.segs[0].Number
					d.segs = d.segs[1:]
					d.t.SegmentDropped(now, no, true, append([]journal.Segment{}, d.segs...))
				}
			}
			d.log = nil
		}
		if sum := d.t.liveSum; d.t.disk > 2*sum+3*l.SegmentBytes {
			t.Fatalf("%d bytes for %d that count", d.t.disk, sum)
		}
		again := New(l)
		for _, s := range d.segs {
			for at := uint32(0); int64(at) < s.Bytes; {
				found := false
				for p, r := range d.all {
					if p.Segment == s.Number && p.Offset == at {
						again.Recover(r, p)
						at += p.Length
						found = true
					}
				}
				if !found {
					t.Fatalf("nothing at %d of segment %d", at, s.Number)
				}
			}
		}
		again.FinishRecovery(now, d.segs)
		d.t.expire(now)
		state := func(t *Table) map[string]string {
			out := map[string]string{}
			for _, i := range t.Operations() {
				if i.State == Running || i.State == Writing {
					i.State = InDoubt // to a new life
				}
				if i.State != Held {
					out[i.Key] = fmt.Sprint(i.State, i.Run, i.End, i.Position)
				}
			}
			return out
		}
		if diff := cmp.Diff(state(d.t), state(again), cmpopts.EquateEmpty()); diff != "" {
			t.Fatal(diff)
		}
	})
}

// A table that is full at peak: 36,000 subjects kept, requests that name a few of them far more often than the rest and
// others that are new. Who is known is told, who is new is refused, nobody is forgotten and nothing runs.
func TestFullAtPeak(t *testing.T) {
	const subjects = 36000
	d := newDisk(Limits{Keys: subjects, DiskBytes: 1 << 40, SegmentBytes: 1 << 20, AgeMs: 1e9, DoubtMs: 1e9})
	for i := range subjects {
		key := fmt.Sprint("s", i)
		d.t.Recover(journal.Record{Kind: journal.Finished, Key: key, Run: fmt.Sprint("r", i), At: 1000, Digest: make([]byte, digestSize)},
			journal.Position{Segment: 1, Offset: uint32(100 * i), Length: 100})
	}
	d.t.FinishRecovery(1000, d.segs)
	zipf := rand.NewZipf(rand.New(rand.NewPCG(1, 1)), 1.2, 1, 2*subjects)
	counts := map[VerdictKind]int{}
	for n := range 200000 {
		subject := zipf.Uint64()
		v := d.t.Begin(2000, fmt.Sprint("q", n), fmt.Sprint("s", subject), [digestSize]byte{})
		counts[v.Kind]++
		if want := map[bool]Verdict{true: {Kind: VerdictServed}, false: {Kind: VerdictRefused, Reason: ReasonFull}}[subject < subjects]; v != want {
			t.Fatalf("s%d: %+v, want %+v", subject, v, want)
		}
	}
	if keys, _, pending, _ := d.t.Counts(); keys != subjects || pending != 0 || counts[VerdictServed] == 0 || counts[VerdictRefused] == 0 {
		t.Errorf("%d keys, %d writes, %v", keys, pending, counts)
	}
}

// What is refused or lost by a bound: an id that is that of a run for another key, a result that is too long, a line of those
// that wait and left, a segment that can't be removed, a name that is too long.
func TestOddOnes(t *testing.T) {
	l := Limits{Keys: 10, DiskBytes: 1e6, SegmentBytes: 100, AgeMs: 1e6, DoubtMs: 1e6}
	d := newDisk(l)
	d.t.Begin(1000, "a1", "a", digest("a"))
	if v := d.t.Begin(1000, "a1", "b", digest("b")); v != (Verdict{Kind: VerdictFails, Reason: ReasonOtherBody}) {
		t.Errorf("the id of another run: %+v", v)
	}
	d.t.WriteIntent(1000, "a1")
	d.lay(1000)
	for i := range 10000 {
		id := fmt.Sprint("w", i)
		d.t.Wait(1000, id, "a")
		d.t.Detach(1000, id)
	}
	d.t.Wait(1000, "stays", "a")
	if n := len(d.t.ops["a"].waiting); n > 2*waitLeast || len(d.t.waits) != 1 {
		t.Errorf("%d in the line, %d wait", n, len(d.t.waits))
	}
	d.t.Finish(1000, "a1", true, make([]byte, maxResult+1))
	want := []Effect{LogEvent{"long-result", "a", "a1"}, Fail{"a1", ReasonFailed}, Fail{"stays", ReasonFailed}}
	if diff := cmp.Diff(want, d.lay(1000)); diff != "" {
		t.Error(diff)
	}
	d.book(1000, "b1", "b")
	d.t.Begin(1000, "c1", "c", digest("c"))
	d.t.WriteIntent(1000, "c1")
	d.lay(1000)
	d.t.MarkInDoubt(1000, "c1")
	if err := d.t.Resolve(1000, "c", journal.Failed, nil, string(make([]byte, maxBy+1))); err == nil {
		t.Error("a name without a bound is taken")
	}
	d.effects()
	d.t.Tick(2000) // the first segment holds an intent that counts no more
	if got := d.effects(); len(got) != 1 || got[0] != (DropSegment{1}) {
		t.Fatalf("%+v", got)
	}
	d.t.SegmentDropped(2000, 1, false, d.segs)
	if at := d.t.WakeAt(); at != 2000+dropAgain {
		t.Errorf("tried again at %v", at)
	}
	if d.t.Tick(2500); len(d.effects()) != 0 {
		t.Error("tried again at once")
	}
	if d.t.Tick(2000 + dropAgain); len(d.effects()) != 1 {
		t.Error("not tried again")
	}
}

// A record that can't be read is written anew from what is known: an intent whole, an end without its result.
func TestUnreadableRecordsAreWrittenAnew(t *testing.T) {
	d := newDisk(Limits{Keys: 10, DiskBytes: 1e6, SegmentBytes: 100, AgeMs: 1e6, DoubtMs: 1e6})
	d.book(1000, "a1", "a")
	d.t.Begin(1000, "b1", "b", digest("b"))
	d.t.WriteIntent(1000, "b1")
	d.lay(1000)
	before := [2]journal.Position{d.t.ops["a"].place, d.t.ops["b"].place}
	for _, key := range []string{"a", "b"} {
		o := d.t.ops[key]
		d.t.pending = append(d.t.pending, &write{op: o, from: o.place, since: 1000})
		d.t.CopyUnreadable(1000)
		d.lay(1000)
	}
	a, b := d.t.ops["a"], d.t.ops["b"]
	if a.place == before[0] || b.place == before[1] || b.state != Running {
		t.Errorf("%v, %v", a, b)
	}
	if r := d.all[a.place]; r.Kind != journal.Failed || r.Run != "a1" || r.At != 1000 {
		t.Errorf("%+v", r)
	}
	if r := d.all[b.place]; r.Kind != journal.Intended || r.Run != "b1" || string(r.Digest) != string(b.digest[:]) {
		t.Errorf("%+v", r)
	}
	if v := d.t.Begin(1000, "a2", "a", digest("a")); v != (Verdict{Kind: VerdictFails, Reason: ReasonFailed}) {
		t.Errorf("%+v", v)
	}
}

// Word that a run in doubt was never started frees its key.
func TestMootEndsADoubt(t *testing.T) {
	d := newDisk(limits)
	d.t.Begin(1000, "a1", "a", digest("a"))
	d.t.WriteIntent(1000, "a1")
	d.lay(1000)
	d.t.MarkInDoubt(1000, "a1")
	d.t.RunNotStarted(1000, "a1")
	if v := d.t.Begin(1000, "a2", "a", digest("a")); v.Kind != VerdictFirst {
		t.Errorf("%+v", v)
	}
}

// A table that is closed takes no new operations and ends those in hand: it is idle once each is done or in doubt and all of
// it lasts, repeats that wait included.
func TestClosedTableComesToRest(t *testing.T) {
	x := New(Limits{Keys: 10, DiskBytes: 1 << 20, SegmentBytes: 1 << 16, AgeMs: 1e6, DoubtMs: 1e6})
	lasts := func(n int) {
		x.WritesDurable(1, make([]journal.Position, n), nil)
		x.Effects()
	}
	for _, id := range []string{"a", "b"} {
		x.Begin(0, id, "key-"+id, [digestSize]byte{})
		x.WriteIntent(0, id)
	}
	lasts(2)
	x.SetClosed(true)
	idle := []bool{x.Idle()}
	if v := x.Begin(1, "c", "key-c", [digestSize]byte{}); v.Kind != VerdictRefused || v.Reason != ReasonMoved {
		t.Error(v)
	}
	if v := x.Begin(1, "d", "key-a", [digestSize]byte{}); v.Kind != VerdictWaits {
		t.Error(v)
	}
	x.Wait(1, "d", "key-a")
	x.Finish(2, "a", true, nil)
	idle = append(idle, x.Idle())
	lasts(1)
	idle = append(idle, x.Idle())
	x.MarkInDoubt(3, "b")
	idle = append(idle, x.Idle())
	x.Resolve(4, "key-b", journal.NotRun, nil, "")
	idle = append(idle, x.Idle())
	lasts(1)
	idle = append(idle, x.Idle())
	if want := []bool{false, false, false, true, false, true}; !slices.Equal(idle, want) {
		t.Errorf("idle %v, want %v", idle, want)
	}
	x.SetClosed(false)
	if v := x.Begin(5, "c", "key-c", [digestSize]byte{}); v.Kind != VerdictFirst {
		t.Error(v)
	}
}
