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

var testLimits = Limits{Keys: 3, DiskBytes: 10000, SegmentBytes: 1000, AgeMs: 100e3, DoubtMs: 200e3}

// fakeJournal is an in-memory journal that makes all writes of a table durable when syncWrites is called.
type fakeJournal struct {
	table        *Table
	segment      uint32
	offset       uint32
	segments     []journal.Segment
	records      map[journal.Position]journal.Record
	otherEffects []Effect // effects other than writes that takeEffects has not returned yet
	writes       []Write
}

func newFakeJournal(l Limits) *fakeJournal {
	return &fakeJournal{table: New(l), segment: 1, segments: []journal.Segment{{Number: 1}}, records: map[journal.Position]journal.Record{}}
}

// takeEffects queues the writes of the table and returns its other effects.
func (d *fakeJournal) takeEffects() []Effect {
	for _, e := range d.table.Effects() {
		if w, ok := e.(Write); ok {
			d.writes = append(d.writes, w)
			continue
		}
		d.otherEffects = append(d.otherEffects, e)
	}
	out := d.otherEffects
	d.otherEffects = nil
	return out
}

// syncWrites makes all queued writes durable and returns the effects.
func (d *fakeJournal) syncWrites(now float64) []Effect {
	d.otherEffects = append(d.otherEffects, d.takeEffects()...)
	var positions []journal.Position
	for _, w := range d.writes {
		r := w.Record
		if w.CopyFrom.Segment > 0 {
			r = d.records[w.CopyFrom]
		}
		if int64(d.offset) >= d.table.limits.SegmentBytes {
			d.segment, d.offset = d.segment+1, 0
			d.segments = append(d.segments, journal.Segment{Number: d.segment})
		}
		p := journal.Position{Segment: d.segment, Offset: d.offset, Length: uint32(100 + len(r.Result))}
		d.offset += p.Length
		d.segments[len(d.segments)-1].Bytes = int64(d.offset)
		d.records[p] = r
		positions = append(positions, p)
	}
	d.writes = nil
	if len(positions) > 0 {
		d.table.WritesDurable(now, positions, append([]journal.Segment{}, d.segments...))
	}
	return d.takeEffects()
}

func digest(s string) (d [digestBytes]byte) { copy(d[:], s); return d }

// completeOperation runs an operation to a durable end.
func (d *fakeJournal) completeOperation(now float64, id, key string) []Effect {
	d.table.Begin(now, id, key, digest(key))
	d.table.WriteIntent(now, id)
	d.syncWrites(now)
	d.table.Finish(now, id, true, []byte("r"))
	return d.syncWrites(now)
}

// A full table refuses new keys and nothing else. Old ends make room, operations in doubt stay longer, and the end of a
// run whose operation was aged out has no effect, even if its key is in use again.
func TestFullTableAndExpiry(t *testing.T) {
	d := newFakeJournal(testLimits)
	d.completeOperation(1000, "a1", "a")
	d.table.Begin(1000, "b1", "b", digest("b"))
	d.table.WriteIntent(1000, "b1")
	d.syncWrites(1000)
	d.table.MarkInDoubt(5000, "b1")
	d.completeOperation(2000, "c1", "c")
	d.takeEffects()
	if v := d.table.Begin(3000, "d1", "d", digest("d")); v != (Verdict{Kind: VerdictRefused, Reason: ReasonFull}) {
		t.Errorf("new key in a full table: got %+v, want refused as full", v)
	}
	if v := d.table.Begin(3000, "a2", "a", digest("a")); v.Kind != VerdictServed {
		t.Errorf("key with a kept result: got %+v, want served", v)
	}
	if v := d.table.Begin(3000, "b2", "b", digest("b")); v != (Verdict{Kind: VerdictFails, Reason: ReasonInDoubt}) {
		t.Errorf("key in doubt: got %+v, want failed as in doubt", v)
	}
	if v := d.table.Begin(101100, "d2", "d", digest("d")); v.Kind != VerdictFirst {
		t.Errorf("new key after an end was aged out: got %+v, want first", v)
	}
	if v := d.table.Begin(201500, "b3", "b", digest("b")); v.Kind != VerdictFirst {
		t.Errorf("key whose doubt was aged out: got %+v, want first", v)
	}
	if d.table.Finish(201600, "b1", true, nil) {
		t.Error("the end of a run whose operation was aged out was accepted")
	}
	if v := d.table.Begin(201700, "b4", "b", digest("b")); v.Kind != VerdictWaits {
		t.Errorf("repeat of the new attempt: got %+v, want waiting", v)
	}
	d = newFakeJournal(testLimits)
	d.table.SetSegments([]journal.Segment{{Number: 1, Bytes: 10000}})
	if v := d.table.Begin(1000, "a1", "a", digest("a")); v.Reason != ReasonFull {
		t.Errorf("new key on a full disk: got %+v, want refused as full", v)
	}
}

// A clock that is set back by an hour between two starts of a node keeps all results, and only up to an hour longer. A
// clock that is set forward forgets the results that are old by that clock.
func TestRecoveryAfterClockChange(t *testing.T) {
	for _, c := range []struct {
		now  float64
		want VerdictKind
	}{{10e6 + 50e3, VerdictServed}, {10e6 - 3600e3, VerdictServed}, {10e6 + 101e3, VerdictFirst}} {
		d := newFakeJournal(testLimits)
		d.table.Recover(journal.Record{Kind: journal.Finished, Key: "a", Run: "a1", At: 10e6, Digest: make([]byte, digestBytes)}, journal.Position{Segment: 1, Length: 100})
		d.table.FinishRecovery(c.now, d.segments)
		if v := d.table.Begin(c.now, "a2", "a", [digestBytes]byte{}); v.Kind != c.want {
			t.Errorf("at %v: got %+v, want %v", c.now, v, c.want)
		}
	}
}

// When writes to disk stall, intents are taken back after their timeout, new operations are refused, and the end of a run
// is available before it is durable. Once the disk works again, the table continues.
func TestStalledDiskRefusesNewOperations(t *testing.T) {
	d := newFakeJournal(Limits{Keys: 10, DiskBytes: 1e6, SegmentBytes: 1000, AgeMs: 1e6, DoubtMs: 1e6})
	d.table.Begin(1000, "a1", "a", digest("a"))
	d.table.WriteIntent(1000, "a1")
	d.syncWrites(1000)
	d.table.Finish(1100, "a1", true, []byte("r"))
	d.table.Begin(1100, "b1", "b", digest("b"))
	d.table.WriteIntent(1100, "b1")
	d.table.Wait(1150, "b2", "b")
	d.takeEffects()
	if v := d.table.Begin(1500, "c1", "c", digest("c")); v.Reason != ReasonStalled {
		t.Errorf("new key while writes stall: got %+v, want refused as stalled", v)
	}
	if r, ok, ended := d.table.UnsyncedEnd("a1"); string(r) != "r" || !ok || !ended {
		t.Errorf("got unsynced end %q, ok %v, ended %v, want \"r\", true, true", r, ok, ended)
	}
	if at := d.table.WakeAt(); at != 1100+intentTimeoutMs {
		t.Errorf("got wake-up at %v, want %v", at, 1100+intentTimeoutMs)
	}
	d.table.Tick(1100 + intentTimeoutMs)
	want := []Effect{Refuse{"b1", ReasonStalled}, Refuse{"b2", ReasonNotRun}}
	if diff := cmp.Diff(want, d.takeEffects()); diff != "" {
		t.Error(diff)
	}
	want = []Effect{Serve{ID: "a1", Result: []byte("r")}}
	if diff := cmp.Diff(want, d.syncWrites(3000)); diff != "" {
		t.Error(diff)
	}
	if v := d.table.Begin(3000, "b3", "b", digest("b")); v.Kind != VerdictFirst {
		t.Errorf("key whose intent was taken back: got %+v, want first", v)
	}
}

// When a sync fails, an intent is taken back and its request is refused, an end is written again until it is durable, and
// a record without a key probes whether the disk works again.
func TestFailedWritesAreTakenBackOrRepeated(t *testing.T) {
	d := newFakeJournal(Limits{Keys: 10, DiskBytes: 1e6, SegmentBytes: 1000, AgeMs: 1e6, DoubtMs: 1e6})
	d.table.Begin(1000, "a1", "a", digest("a"))
	d.table.WriteIntent(1000, "a1")
	d.takeEffects()
	d.writes = nil
	d.table.WritesFailed(1010, 1, d.segments)
	if diff := cmp.Diff([]Effect{Refuse{"a1", ReasonStalled}}, d.takeEffects()); diff != "" {
		t.Error(diff)
	}
	if v := d.table.Begin(1020, "b1", "b", digest("b")); v.Reason != ReasonStalled {
		t.Errorf("new key after a failed write: got %+v, want refused as stalled", v)
	}
	if len(d.writes) != 1 || d.writes[0].Record.Key != "" {
		t.Errorf("got writes %+v, want one record without a key", d.writes)
	}
	d.syncWrites(1100)
	d.completeOperation(1200, "b2", "b")
	d.table.Begin(1300, "c1", "c", digest("c"))
	d.table.WriteIntent(1300, "c1")
	d.syncWrites(1300)
	d.table.Finish(1310, "c1", true, []byte("r"))
	for range 3 {
		d.takeEffects()
		d.writes = nil
		d.table.WritesFailed(1320, 1, d.segments)
	}
	if diff := cmp.Diff([]Effect{Serve{ID: "c1", Result: []byte("r")}}, d.syncWrites(1400)); diff != "" {
		t.Error(diff)
	}
}

// Whatever operations are completed, abandoned, lost and aged out: the records recover to the contents of the table, the
// journal stays within twice its current records plus three segments, and a round of compaction never copies more than
// maxCopiesPerRound records.
func TestRecoveryAgreesAndTheJournalStaysSmall(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Keys: 40, DiskBytes: 1e9, SegmentBytes: 1500, AgeMs: 20e3, DoubtMs: 1e9}
		d := newFakeJournal(limits)
		now, n := 1000.0, 0
		var running []string
		for range rapid.IntRange(20, 300).Draw(t, "steps") {
			now += float64(rapid.IntRange(1, 400).Draw(t, "ms"))
			n++
			key, id := fmt.Sprint("k", rapid.IntRange(0, 30).Draw(t, "key")), fmt.Sprint("id", n)
			switch v := d.table.Begin(now, id, key, digest(key)); v.Kind {
			case VerdictFirst:
				if rapid.IntRange(0, 3).Draw(t, "refused") == 0 {
					d.table.Detach(now, id)
				} else if d.table.WriteIntent(now, id) {
					running = append(running, id)
				}
			case VerdictWaits:
				d.table.Wait(now, id, key)
			}
			d.otherEffects = append(d.otherEffects, d.takeEffects()...)
			if rapid.Bool().Draw(t, "sync") {
				d.otherEffects = append(d.otherEffects, d.syncWrites(now)...)
			}
			if len(running) > 0 && rapid.Bool().Draw(t, "end") {
				i := rapid.IntRange(0, len(running)-1).Draw(t, "which")
				switch id := running[i]; rapid.IntRange(0, 4).Draw(t, "how") {
				case 0:
					d.table.RunNotStarted(now, id)
				case 1:
					d.table.MarkInDoubt(now, id)
				case 2:
					d.table.Detach(now, id)
				default:
					d.table.Finish(now, id, true, make([]byte, rapid.IntRange(0, 200).Draw(t, "bytes")))
				}
				running = append(running[:i], running[i+1:]...)
			}
			if rapid.IntRange(0, 9).Draw(t, "lost") == 0 {
				d.otherEffects = append(d.otherEffects, d.takeEffects()...)
				if failed := len(d.writes); failed > 0 {
					d.writes = nil
					d.table.WritesFailed(now, failed, d.segments)
				}
			}
			d.otherEffects = append(d.otherEffects, d.syncWrites(now)...)
			before := len(d.table.pendingWrites)
			d.table.Tick(now)
			if moved := len(d.table.pendingWrites) - before; moved > maxCopiesPerRound {
				t.Fatalf("got %d records copied in one round, want at most %d", moved, maxCopiesPerRound)
			}
			for _, e := range d.takeEffects() {
				if e, ok := e.(DropSegment); ok {
					if e.Segment != d.segments[0].Number || len(d.segments) < 2 {
						t.Fatalf("segment %d of %v is dropped, want only the oldest of several", e.Segment, d.segments)
					}
					for p := range d.records {
						if p.Segment == e.Segment {
							delete(d.records, p)
						}
					}
					d.segments = d.segments[1:]
					d.table.SegmentDropped(now, e.Segment, true, append([]journal.Segment{}, d.segments...))
				}
			}
		}
		d.syncWrites(now)
		for i := 0; i < 400; i++ { // let compaction finish
			now += copyIntervalMs
			d.table.Tick(now)
			d.otherEffects = append(d.otherEffects, d.syncWrites(now)...)
			for _, e := range d.otherEffects {
				if _, ok := e.(DropSegment); ok {
					for p := range d.records {
						if p.Segment == d.segments[0].Number {
							delete(d.records, p)
						}
					}
					number := d.segments[0].Number
					d.segments = d.segments[1:]
					d.table.SegmentDropped(now, number, true, append([]journal.Segment{}, d.segments...))
				}
			}
			d.otherEffects = nil
		}
		if liveBytes := d.table.liveBytes; d.table.diskBytes > 2*liveBytes+3*limits.SegmentBytes {
			t.Fatalf("journal size is %d bytes for %d bytes of current records", d.table.diskBytes, liveBytes)
		}
		recovered := New(limits)
		for _, s := range d.segments {
			for at := uint32(0); int64(at) < s.Bytes; {
				found := false
				for p, r := range d.records {
					if p.Segment == s.Number && p.Offset == at {
						recovered.Recover(r, p)
						at += p.Length
						found = true
					}
				}
				if !found {
					t.Fatalf("no record at offset %d of segment %d", at, s.Number)
				}
			}
		}
		recovered.FinishRecovery(now, d.segments)
		d.table.expire(now)
		state := func(t *Table) map[string]string {
			out := map[string]string{}
			for _, i := range t.Operations() {
				if i.State == Running || i.State == Writing {
					i.State = InDoubt // after a restart
				}
				if i.State != Held {
					out[i.Key] = fmt.Sprint(i.State, i.Run, i.End, i.Position)
				}
			}
			return out
		}
		if diff := cmp.Diff(state(d.table), state(recovered), cmpopts.EquateEmpty()); diff != "" {
			t.Fatal(diff)
		}
	})
}

// A full table at peak load holds 36,000 keys, and requests name a few of them far more often than the rest, and also new
// ones. Known keys are served, new keys are refused, no key is forgotten and nothing runs.
func TestFullTableUnderPeakLoad(t *testing.T) {
	const subjects = 36000
	d := newFakeJournal(Limits{Keys: subjects, DiskBytes: 1 << 40, SegmentBytes: 1 << 20, AgeMs: 1e9, DoubtMs: 1e9})
	for i := range subjects {
		key := fmt.Sprint("s", i)
		d.table.Recover(journal.Record{Kind: journal.Finished, Key: key, Run: fmt.Sprint("r", i), At: 1000, Digest: make([]byte, digestBytes)},
			journal.Position{Segment: 1, Offset: uint32(100 * i), Length: 100})
	}
	d.table.FinishRecovery(1000, d.segments)
	zipf := rand.NewZipf(rand.New(rand.NewPCG(1, 1)), 1.2, 1, 2*subjects)
	counts := map[VerdictKind]int{}
	for n := range 200000 {
		subject := zipf.Uint64()
		v := d.table.Begin(2000, fmt.Sprint("q", n), fmt.Sprint("s", subject), [digestBytes]byte{})
		counts[v.Kind]++
		if want := map[bool]Verdict{true: {Kind: VerdictServed}, false: {Kind: VerdictRefused, Reason: ReasonFull}}[subject < subjects]; v != want {
			t.Fatalf("key s%d: got %+v, want %+v", subject, v, want)
		}
	}
	if keys, _, pending, _ := d.table.Counts(); keys != subjects || pending != 0 || counts[VerdictServed] == 0 || counts[VerdictRefused] == 0 {
		t.Errorf("got %d keys, %d pending writes and verdicts %v, want %d, 0 and some served and some refused",
			keys, pending, counts, subjects)
	}
}

// Limits and retries of the table: an id that belongs to a run for another key, a list of requests that waited and left, a
// result that is too long, an operator name that is too long, and a segment that can't be removed.
func TestLimitsAndRetries(t *testing.T) {
	limits := Limits{Keys: 10, DiskBytes: 1e6, SegmentBytes: 100, AgeMs: 1e6, DoubtMs: 1e6}
	d := newFakeJournal(limits)
	d.table.Begin(1000, "a1", "a", digest("a"))
	if v := d.table.Begin(1000, "a1", "b", digest("b")); v != (Verdict{Kind: VerdictFails, Reason: ReasonOtherBody}) {
		t.Errorf("id of a run for another key: got %+v, want failed as other body", v)
	}
	d.table.WriteIntent(1000, "a1")
	d.syncWrites(1000)
	for i := range 10000 {
		id := fmt.Sprint("w", i)
		d.table.Wait(1000, id, "a")
		d.table.Detach(1000, id)
	}
	d.table.Wait(1000, "stays", "a")
	if n := len(d.table.opsByKey["a"].waiting); n > 2*waitingTrimMin || len(d.table.opsByWaiter) != 1 {
		t.Errorf("got %d list entries and %d waiting requests, want at most %d and 1", n, len(d.table.opsByWaiter), 2*waitingTrimMin)
	}
	d.table.Finish(1000, "a1", true, make([]byte, maxResultBytes+1))
	want := []Effect{LogEvent{"long-result", "a", "a1"}, Fail{"a1", ReasonFailed}, Fail{"stays", ReasonFailed}}
	if diff := cmp.Diff(want, d.syncWrites(1000)); diff != "" {
		t.Error(diff)
	}
	d.completeOperation(1000, "b1", "b")
	d.table.Begin(1000, "c1", "c", digest("c"))
	d.table.WriteIntent(1000, "c1")
	d.syncWrites(1000)
	d.table.MarkInDoubt(1000, "c1")
	if err := d.table.Resolve(1000, "c", journal.Failed, nil, string(make([]byte, maxResolverNameBytes+1))); err == nil {
		t.Error("an operator name above the limit is accepted")
	}
	d.takeEffects()
	d.table.Tick(2000) // the first segment holds only an intent that is no longer current
	if got := d.takeEffects(); len(got) != 1 || got[0] != (DropSegment{1}) {
		t.Fatalf("got effects %+v, want the removal of segment 1", got)
	}
	d.table.SegmentDropped(2000, 1, false, d.segments)
	if at := d.table.WakeAt(); at != 2000+dropRetryMs {
		t.Errorf("got wake-up at %v, want %v", at, 2000+dropRetryMs)
	}
	if d.table.Tick(2500); len(d.takeEffects()) != 0 {
		t.Error("the removal of the segment is retried too early")
	}
	if d.table.Tick(2000 + dropRetryMs); len(d.takeEffects()) != 1 {
		t.Error("the removal of the segment is not retried")
	}
}

// A record that can't be read is written again from what is in memory: an intent completely, an end without its result.
func TestUnreadableRecordsAreRewritten(t *testing.T) {
	d := newFakeJournal(Limits{Keys: 10, DiskBytes: 1e6, SegmentBytes: 100, AgeMs: 1e6, DoubtMs: 1e6})
	d.completeOperation(1000, "a1", "a")
	d.table.Begin(1000, "b1", "b", digest("b"))
	d.table.WriteIntent(1000, "b1")
	d.syncWrites(1000)
	before := [2]journal.Position{d.table.opsByKey["a"].position, d.table.opsByKey["b"].position}
	for _, key := range []string{"a", "b"} {
		o := d.table.opsByKey[key]
		d.table.pendingWrites = append(d.table.pendingWrites, &pendingWrite{op: o, copyFrom: o.position, since: 1000})
		d.table.CopyUnreadable(1000)
		d.syncWrites(1000)
	}
	a, b := d.table.opsByKey["a"], d.table.opsByKey["b"]
	if a.position == before[0] || b.position == before[1] || b.state != Running {
		t.Errorf("got operations %v and %v, want both at new positions and b running", a, b)
	}
	if r := d.records[a.position]; r.Kind != journal.Failed || r.Run != "a1" || r.At != 1000 {
		t.Errorf("record of a: got %+v, want run a1 failed at 1000", r)
	}
	if r := d.records[b.position]; r.Kind != journal.Intended || r.Run != "b1" || string(r.Digest) != string(b.digest[:]) {
		t.Errorf("record of b: got %+v, want the intent of run b1 with its digest", r)
	}
	if v := d.table.Begin(1000, "a2", "a", digest("a")); v != (Verdict{Kind: VerdictFails, Reason: ReasonFailed}) {
		t.Errorf("repeat of a: got %+v, want failed", v)
	}
}

// A notice that a run in doubt was not started makes its key available again.
func TestRunNotStartedEndsDoubt(t *testing.T) {
	d := newFakeJournal(testLimits)
	d.table.Begin(1000, "a1", "a", digest("a"))
	d.table.WriteIntent(1000, "a1")
	d.syncWrites(1000)
	d.table.MarkInDoubt(1000, "a1")
	d.table.RunNotStarted(1000, "a1")
	if v := d.table.Begin(1000, "a2", "a", digest("a")); v.Kind != VerdictFirst {
		t.Errorf("got %+v, want first", v)
	}
}

// A closed table refuses new operations and finishes the others. It is idle once each operation is done or in doubt, all
// writes are durable and no repeat waits.
func TestClosedTableBecomesIdle(t *testing.T) {
	table := New(Limits{Keys: 10, DiskBytes: 1 << 20, SegmentBytes: 1 << 16, AgeMs: 1e6, DoubtMs: 1e6})
	syncWrites := func(n int) {
		table.WritesDurable(1, make([]journal.Position, n), nil)
		table.Effects()
	}
	for _, id := range []string{"a", "b"} {
		table.Begin(0, id, "key-"+id, [digestBytes]byte{})
		table.WriteIntent(0, id)
	}
	syncWrites(2)
	table.SetClosed(true)
	idle := []bool{table.Idle()}
	if v := table.Begin(1, "c", "key-c", [digestBytes]byte{}); v.Kind != VerdictRefused || v.Reason != ReasonMoved {
		t.Errorf("new key in a closed table: got %+v, want refused as moved", v)
	}
	if v := table.Begin(1, "d", "key-a", [digestBytes]byte{}); v.Kind != VerdictWaits {
		t.Errorf("repeat in a closed table: got %+v, want waiting", v)
	}
	table.Wait(1, "d", "key-a")
	table.Finish(2, "a", true, nil)
	idle = append(idle, table.Idle())
	syncWrites(1)
	idle = append(idle, table.Idle())
	table.MarkInDoubt(3, "b")
	idle = append(idle, table.Idle())
	table.Resolve(4, "key-b", journal.NotRun, nil, "")
	idle = append(idle, table.Idle())
	syncWrites(1)
	idle = append(idle, table.Idle())
	if want := []bool{false, false, false, true, false, true}; !slices.Equal(idle, want) {
		t.Errorf("got idle %v, want %v", idle, want)
	}
	table.SetClosed(false)
	if v := table.Begin(5, "c", "key-c", [digestBytes]byte{}); v.Kind != VerdictFirst {
		t.Errorf("new key in a reopened table: got %+v, want first", v)
	}
}
