package journal

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"whinrudder/internal/storagetest"
)

// read opens a journal and returns what it holds.
func read(t interface{ Fatal(...any) }, dir *storagetest.Dir) (*Journal, Summary, []Record, []Position) {
	var all []Record
	var places []Position
	j, found, err := Open(dir, Options{Node: "n1", SegmentBytes: 900}, func(r Record, p Position) {
		all, places = append(all, r), append(places, p)
	})
	if err != nil {
		t.Fatal(err)
	}
	return j, found, all, places
}

func record(n int) Record {
	return Record{Kind: Intended, Key: fmt.Sprint("k", n), Run: fmt.Sprintf("%016x", n), At: float64(n),
		Result: make([]byte, n%50)}
}

// Whatever fails, tears and crashes: a batch that was taken is read back, whole and in order, one that was not taken may
// be there only if nothing was taken after it, and the journal can be used again after each reboot.
func TestBatchesOutliveCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dir := storagetest.New(rapid.Uint64().Draw(t, "seed"))
		var sure []string    // keys in order
		var maybe [][]string // batches of which one, or its beginning, may follow
		n := 0
		for range rapid.IntRange(1, 5).Draw(t, "lives") {
			dir.SetFaults(nil)
			j, _, got, places := read(t, dir)
			var keys []string
			for i, r := range got {
				keys = append(keys, r.Key)
				if again, err := Read(dir, places[i]); err != nil || cmp.Diff(r, again, cmpopts.EquateEmpty()) != "" {
					t.Fatalf("%v at %v: %v, %v", r, places[i], again, err)
				}
			}
			if len(keys) < len(sure) || !slices.Equal(sure, keys[:len(sure)]) {
				t.Fatalf("taken %v, read %v", sure, keys)
			}
			rest := keys[len(sure):]
			if len(rest) > 0 && !slices.ContainsFunc(maybe, func(m []string) bool { return slices.Equal(m[:min(len(m), len(rest))], rest) }) {
				t.Fatalf("read %v after what was taken, but one of %v might be there", rest, maybe)
			}
			sure, maybe = keys, nil
			crash := dir.OpCount() + rapid.IntRange(1, 60).Draw(t, "crash after")
			flaky := rapid.IntRange(0, 8).Draw(t, "one of so many fails")
			dir.SetFaults(func(o storagetest.Op) storagetest.Fault {
				switch {
				case o.Number == crash:
					return storagetest.Crash
				case flaky > 1 && o.Number%(flaky+1) == 0:
					return storagetest.Fail
				}
				return storagetest.None
			})
			for range 25 {
				var batch []Record
				var keys []string
				for range rapid.IntRange(1, 4).Draw(t, "records") {
					n++
					batch, keys = append(batch, record(n)), append(keys, record(n).Key)
				}
				if _, err := j.Append(batch); err == nil {
					sure, maybe = append(sure, keys...), nil
				} else if maybe = append(maybe, keys); !errors.Is(err, storagetest.ErrCrash) && !errors.Is(err, storagetest.ErrInjected) {
					t.Fatal(err)
				}
			}
			dir.Reboot()
		}
	})
}

// Each flipped bit is found by Verify, and Open never takes one for something else: it refuses, or drops the last batch.
func TestEachFlippedByteIsFound(t *testing.T) {
	dir := storagetest.New(1)
	j, _, _, _ := read(t, dir)
	last := 0
	for n := range 14 {
		if _, err := j.Append([]Record{record(2 * n), record(2*n + 1)}); err != nil {
			t.Fatal(err)
		}
		last = 2
	}
	j.Close()
	names, _ := dir.Names()
	if len(names) < 3 {
		t.Fatalf("%d segments, want some", len(names))
	}
	if _, all, err := Verify(dir, func(Record, Position) {}); err != nil || len(all) > 0 {
		t.Fatal(all, err)
	}
	flips, refused, dropped := 0, 0, 0
	for _, name := range names {
		for at := range dir.Read(name) {
			dir.FlipBit(name, at)
			flips++
			if _, all, err := Verify(dir, func(Record, Position) {}); err != nil || len(all) == 0 {
				t.Fatalf("%s byte %d: not found (%v)", name, at, err)
			}
			n := 0
			j, _, err := Open(dir, Options{Node: "n1", SegmentBytes: 900}, func(r Record, _ Position) {
				if cmp.Diff(record(n), r, cmpopts.EquateEmpty()) != "" {
					t.Fatalf("%s byte %d: %v is read as the record %d", name, at, r, n)
				}
				n++
			})
			switch {
			case err == nil && n >= 28-last && n < 28:
				dropped++
			case errors.Is(err, ErrDamaged):
				refused++
			default:
				t.Fatalf("%s byte %d: %d records, %v", name, at, n, err)
			}
			if j != nil {
				j.Close()
			}
			dir.FlipBit(name, at)
		}
	}
	t.Logf("%d flips: %d refused, %d dropped the last batch", flips, refused, dropped)
}

// A journal is refused by another node, by an older program and while it is in use, and a segment that is gone is missed.
func TestWhatIsRefused(t *testing.T) {
	open := func(dir *storagetest.Dir, node string) error {
		j, _, err := Open(dir, Options{Node: node, SegmentBytes: 900}, func(Record, Position) {})
		if err == nil {
			j.Close()
		}
		return err
	}
	make := func() (*storagetest.Dir, *Journal) {
		dir := storagetest.New(1)
		j, _, _, _ := read(t, dir)
		for n := range 60 {
			if _, err := j.Append([]Record{record(n)}); err != nil {
				t.Fatal(err)
			}
		}
		return dir, j
	}
	dir, j := make()
	if err := open(dir, "n1"); err == nil {
		t.Error("two have the folder")
	}
	j.Close()
	if err := open(dir, "n2"); !errors.Is(err, ErrOtherNode) {
		t.Error(err)
	}
	dir.Remove(name(2))
	if err := open(dir, "n1"); !errors.Is(err, ErrDamaged) {
		t.Error(err)
	}
	dir = storagetest.New(1)
	f, _ := dir.Create(name(1))
	b, err := appendFrame(nil, 1, 0, 1, Record{Kind: header, Version: Version + 1, Node: "n1"})
	if err != nil {
		t.Fatal(err)
	}
	f.Write(b)
	if err := open(dir, "n1"); !errors.Is(err, ErrNewerVersion) {
		t.Error(err)
	}
	dir, j = make()
	if err := j.DropOldest(); err != nil {
		t.Error(err)
	}
	j.Close()
	if err := open(dir, "n1"); err != nil {
		t.Error(err)
	}
}

// A whole frame in another place than its own is none.
func TestFrameKnowsItsPlace(t *testing.T) {
	b, err := appendFrame(nil, 1, 0, 1, record(7))
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range []Position{{1, 0, 0}, {1, 64, 0}, {2, 0, 0}} {
		if _, _, _, what := readFrame(b, p.Segment, p.Offset); (what == "") != (p == Position{1, 0, 0}) {
			t.Errorf("at %v: %q", p, what)
		}
	}
}

func FuzzFrame(f *testing.F) {
	b, err := appendFrame(nil, 1, 0, 1, record(7))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add(b[:20])
	f.Fuzz(func(t *testing.T, b []byte) {
		if r, size, _, what := readFrame(b, 1, 0); what == "" && int(size) > len(b) {
			t.Errorf("%v of %d bytes out of %d", r, size, len(b))
		}
	})
}
