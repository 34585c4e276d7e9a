package kept

import (
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"runtime"
	"testing"

	"whinrudder/internal/journal"
	"whinrudder/internal/storagetest"
)

func b64(s string) string { return base64.StdEncoding.EncodeToString([]byte(s)) }

// life plays the life of a few operations: a first try, a repeat that waits, one that comes later, one whose caller leaves,
// one that is cut off by a broken link, enough of them to fill some segments.
func life(w *world) {
	for i := range 12 {
		k := fmt.Sprint("k", i%5)
		w.ask(k, "b:"+k)
		w.lay()
		if i%3 == 0 {
			w.ask(k, "b:"+k)
		}
		if i == 7 {
			w.unlink()
		}
		if w.linked {
			w.read()
		}
		w.lay()
		if i%4 == 1 {
			w.leave(w.ask(k, "b:"+k))
		}
		for _, id := range w.unfinished() {
			if i%2 == 1 {
				w.finish(id)
			}
		}
		if i == 9 && !w.dead {
			w.relink()
		}
		w.lay()
		w.pass(30)
		w.ask(fmt.Sprint("other", i), "b:"+fmt.Sprint("other", i))
		w.leave(w.ask(fmt.Sprint("never", i), "")) // before its intent lasts
		w.lay()
		w.pass(25)
	}
}

func keysOf(w *world) (keys []string) {
	for i := range 5 {
		keys = append(keys, fmt.Sprint("k", i))
	}
	for i := range 12 {
		keys = append(keys, fmt.Sprint("other", i))
	}
	return keys
}

// The node is killed, or its disk fails or is full, at every single operation on the disk, and once more in the recovery:
// no key runs twice, every request has one answer, what was promised is kept.
func TestCrashAtEveryOperation(t *testing.T) {
	clean := newWorld(1, usual)
	life(clean)
	clean.calm(keysOf(clean))
	for _, e := range clean.wrong {
		t.Fatal(e)
	}
	total := clean.dir.OpCount()
	points, moved := 0, clean.j.Segments()[0].Number
	for _, fault := range []storagetest.Fault{storagetest.Crash, storagetest.Fail, storagetest.Full} {
		for _, back := range []bool{true, false} {
			for at := 1; at <= total; at++ {
				w := newWorld(uint64(at), usual)
				w.back = back
				w.dir.SetFaults(func(o storagetest.Op) storagetest.Fault {
					if o.Number == at {
						return fault
					}
					return storagetest.None
				})
				life(w)
				points++
				if fault == storagetest.Crash {
					w.crash()
					again := w.dir.OpCount() + 1 + at%4
					w.dir.SetFaults(func(o storagetest.Op) storagetest.Fault {
						if o.Number == again {
							return storagetest.Crash
						}
						return storagetest.None
					})
					w.boot()
					if w.failed == nil {
						w.ask("k1", "b:k1")
						w.lay()
					}
					w.crash()
					w.dir.SetFaults(nil)
					w.boot()
				}
				w.calm(keysOf(w))
				for _, e := range w.wrong {
					t.Fatalf("%d of %d, fault %d, notices reach back %v: %s", at, total, fault, back, e)
				}
			}
		}
	}
	t.Logf("%d points of %d operations; the oldest segment at the end of a clean life is %d", points, total, moved)
	if moved == 1 {
		t.Error("no segment was moved")
	}
}

// Records of a journal as another life would have left them.
func fill(tb testing.TB, dir *storagetest.Dir, n int, at float64) {
	j, _, err := journal.Open(dir, journal.Options{Node: "n1", SegmentBytes: 1 << 20}, func(journal.Record, journal.Position) {})
	if err != nil {
		tb.Fatal(err)
	}
	var batch []journal.Record
	for i := range n {
		key := fmt.Sprintf("book/s%d", i)
		digest := sha256.Sum256(fmt.Appendf(nil, "b:s%d", i))
		batch = append(batch, journal.Record{Kind: journal.Finished, Key: key, Digest: digest[:16], Run: fmt.Sprintf("f%015x", i),
			At: at, Result: []byte("r:" + key)})
		if len(batch) == 1000 || i == n-1 {
			if _, err := j.Append(batch); err != nil {
				tb.Fatal(err)
			}
			batch = batch[:0]
		}
	}
	j.Close()
}

// With 36,000 subjects kept, the node is killed after every step of the life of an operation and at every operation on the
// disk within it: none runs twice, all that was kept is still told, and memory and disk stay within their bounds.
func TestKilledAtEveryStepWith36000Subjects(t *testing.T) {
	const subjects = 36000
	full := usual
	full.MaxOperations, full.SegmentMB, full.DiskMB = subjects+10, 4000, 64 // segments of 1.2 MB
	base := storagetest.New(1)
	fill(t, base, subjects, 1e6)
	steps := []func(w *world){
		func(w *world) { w.ask("k", "b:k") },
		(*world).lay,
		(*world).read,
		func(w *world) { w.ask("k", "b:k") },
		func(w *world) {
			for _, id := range w.unfinished() {
				w.finish(id)
			}
		},
		(*world).lay,
		func(w *world) { w.ask("k", "b:k") },
		(*world).lay,
	}
	play := func(after, fault int) (ops int, w *world) {
		w = newWorldOn(base.Clone(uint64(100*after+fault+1)), full)
		if w.failed != nil {
			t.Fatal(w.failed)
		}
		from := w.dir.OpCount()
		w.dir.SetFaults(func(o storagetest.Op) storagetest.Fault {
			if o.Number == from+fault {
				return storagetest.Crash
			}
			return storagetest.None
		})
		for _, s := range steps[:after] {
			s(w)
		}
		return w.dir.OpCount() - from, w
	}
	total, _ := play(len(steps), 0)
	points := 0
	most := int64(0)
	check := func(w *world, what string) {
		points++
		w.crash()
		w.calm([]string{"k", "s0", "s17", "s35999"})
		for _, e := range w.wrong {
			t.Fatalf("%s: %s", what, e)
		}
		if keys, _, _, _ := w.table.Counts(); keys != subjects+1 {
			t.Fatalf("%s: %d keys", what, keys)
		}
		most = max(most, w.dir.Bytes())
	}
	for n := range len(steps) + 1 {
		_, w := play(n, 0)
		check(w, fmt.Sprint("after step ", n))
	}
	for f := 1; f <= total; f++ {
		_, w := play(len(steps), f)
		check(w, fmt.Sprint("at operation ", f))
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	_, w := play(0, 0)
	runtime.GC()
	runtime.ReadMemStats(&after)
	memory := int64(after.HeapAlloc) - int64(before.HeapAlloc) - w.dir.Bytes()
	t.Logf("%d points; %d bytes on the disk at most, %d bytes of memory, %d a subject", points, most, memory, memory/subjects)
	if most > int64(full.DiskMB)<<20 || memory > 40<<20 {
		t.Errorf("%d bytes on the disk, %d of memory", most, memory)
	}
	runtime.KeepAlive(w)
}

// A disk that is full for a while: what is in hand is answered, new bookings are refused and provably not run, and once
// there is room all goes on.
func TestFullDisk(t *testing.T) {
	w := newWorld(1, usual)
	w.ask("a", "b:a")
	w.lay()
	w.read()
	w.dir.SetCapacity(w.dir.Bytes() + 50) // the end of a does not fit
	for _, id := range w.unfinished() {
		w.finish(id)
	}
	refused := 0
	for i := range 20 {
		w.lay()
		if a := w.ask(fmt.Sprint("n", i), ""); len(a.answers) == 1 && a.answers[0].Kept == "stalled" && a.answers[0].RetryAfter > 0 {
			refused++
		}
		w.pass(100)
	}
	if len(w.order) != 1 || refused < 15 {
		t.Errorf("%d runs, %d refused", len(w.order), refused)
	}
	w.dir.SetCapacity(0)
	w.lay()
	w.lay()
	w.calm([]string{"a", "n0", "n19"})
	for _, e := range w.wrong {
		t.Error(e)
	}
}

// A byte that goes bad while the node runs costs one result: its segment is moved all the same, the journal stays small and
// the others are told as before.
func TestBadByteDoesNotHoldUpTheMoving(t *testing.T) {
	w := newWorld(1, usual)
	book := func(key string) {
		w.ask(key, "b:"+key)
		w.lay()
		w.read()
		for _, id := range w.unfinished() {
			w.finish(id)
		}
		w.lay()
	}
	book("a")
	book("b")
	for _, i := range w.table.Operations() {
		if i.Key == "book/a" {
			w.dir.FlipBit(fmt.Sprintf("%08d.log", i.Position.Segment), int(i.Position.Offset+i.Position.Length-3))
		}
	}
	read := w.ask("a", "b:a")
	w.lay()
	if len(read.answers) != 1 || read.answers[0].Kept != "unreadable" {
		t.Errorf("%+v", read.answers)
	}
	for i := range 40 {
		w.leave(w.ask(fmt.Sprint("n", i), "")) // what counts no more
		w.lay()
		w.pass(40)
		w.lay()
	}
	if first := w.j.Segments()[0].Number; first < 5 || w.j.Bytes() > 2000 {
		t.Errorf("%d bytes, the first segment is %d", w.j.Bytes(), first)
	}
	if a, b := w.last("a"), w.last("b"); a.answers[0].Kept != "failed" || string(b.answers[0].Result) != "r:book/b" {
		t.Errorf("%+v, %+v", a.answers, b.answers)
	}
	w.crash()
	w.boot()
	if w.failed != nil {
		t.Error(w.failed)
	}
}

// An end that does not last in time is told by the due time all the same, and to those that wait for it as well.
func TestLateSyncIsToldInTime(t *testing.T) {
	w := newWorld(1, usual)
	a := w.ask("a", "b:a")
	w.lay()
	w.read()
	b := w.ask("a", "b:a")
	for _, id := range w.unfinished() {
		w.finish(id)
	}
	for w.now < a.due && len(a.answers) == 0 {
		w.pass(5)
	}
	w.pass(a.due - w.now)
	for _, x := range []*try{a, b} {
		if len(x.answers) != 1 || string(x.answers[0].Result) != "r:book/a" {
			t.Errorf("%s: %+v at its due time", x.id, x.answers)
		}
	}
	w.calm([]string{"a"})
	for _, e := range w.wrong {
		t.Error(e)
	}
}
