package journal

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"whinrudder/internal/storage"
	"whinrudder/internal/storagetest"
)

// openJournal opens a journal and returns its records with their positions.
func openJournal(t interface{ Fatal(...any) }, dir *storagetest.Dir) (*Journal, Summary, []Record, []Position) {
	var records []Record
	var positions []Position
	j, summary, err := Open(dir, Options{Node: "n1", SegmentBytes: 900}, func(r Record, p Position) {
		records, positions = append(records, r), append(positions, p)
	})
	if err != nil {
		t.Fatal(err)
	}
	return j, summary, records, positions
}

func testRecord(i int) Record {
	return Record{Kind: Intended, Key: fmt.Sprint("k", i), Run: fmt.Sprintf("%016x", i), At: float64(i),
		Result: make([]byte, i%50)}
}

// Guards against lost and resurrected records after failed operations, torn writes and crashes. Each batch that Append
// accepted is read back, whole and in order; a rejected batch may be read back only if no later one was accepted; and
// the journal can be used again after each reboot.
func TestBatchesOutliveCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dir := storagetest.New(rapid.Uint64().Draw(t, "seed"))
		var committed []string  // keys of the accepted batches in order
		var rejected [][]string // rejected batches, one of which may follow, or its first records
		lastRecord := 0
		for range rapid.IntRange(1, 5).Draw(t, "lives") {
			dir.SetFaults(nil)
			j, _, got, positions := openJournal(t, dir)
			var keys []string
			for i, r := range got {
				keys = append(keys, r.Key)
				if reread, err := Read(dir, positions[i]); err != nil || cmp.Diff(r, reread, cmpopts.EquateEmpty()) != "" {
					t.Fatalf("Read at %v: got %v, error %v, want %v", positions[i], reread, err, r)
				}
			}
			if len(keys) < len(committed) || !slices.Equal(committed, keys[:len(committed)]) {
				t.Fatalf("got keys %v, want first the accepted keys %v", keys, committed)
			}
			rest := keys[len(committed):]
			if len(rest) > 0 && !slices.ContainsFunc(rejected, func(batch []string) bool {
				return slices.Equal(batch[:min(len(batch), len(rest))], rest)
			}) {
				t.Fatalf("got keys %v after the accepted ones, want the start of one of the rejected batches %v",
					rest, rejected)
			}
			committed, rejected = keys, nil
			crash := dir.OpCount() + rapid.IntRange(1, 60).Draw(t, "crash after")
			failEvery := rapid.IntRange(0, 8).Draw(t, "one of so many fails")
			dir.SetFaults(func(o storagetest.Op) storagetest.Fault {
				switch {
				case o.Number == crash:
					return storagetest.Crash
				case failEvery > 1 && o.Number%(failEvery+1) == 0:
					return storagetest.Fail
				}
				return storagetest.None
			})
			for range 25 {
				var batch []Record
				var keys []string
				for range rapid.IntRange(1, 4).Draw(t, "records") {
					lastRecord++
					batch, keys = append(batch, testRecord(lastRecord)), append(keys, testRecord(lastRecord).Key)
				}
				if _, err := j.Append(batch); err == nil {
					committed, rejected = append(committed, keys...), nil
				} else if rejected = append(rejected, keys); !errors.Is(err, storagetest.ErrCrash) &&
					!errors.Is(err, storagetest.ErrInjected) {
					t.Fatal(err)
				}
			}
			dir.Reboot()
		}
	})
}

// Guards against corruption that goes unnoticed: for a flipped bit in each byte, Verify reports damage, and Open either
// fails or drops the last batch, but never returns a changed record.
func TestFlippedBitsAreFound(t *testing.T) {
	dir := storagetest.New(1)
	j, _, _, _ := openJournal(t, dir)
	lastBatchRecords := 0
	for n := range 14 {
		if _, err := j.Append([]Record{testRecord(2 * n), testRecord(2*n + 1)}); err != nil {
			t.Fatal(err)
		}
		lastBatchRecords = 2
	}
	j.Close()
	names, _ := dir.Names()
	if len(names) < 3 {
		t.Fatalf("got %d segments, want at least 3", len(names))
	}
	if _, damages, err := Verify(dir, func(Record, Position) {}); err != nil || len(damages) > 0 {
		t.Fatal(damages, err)
	}
	flips, refused, dropped := 0, 0, 0
	for _, name := range names {
		for offset := range dir.Read(name) {
			dir.FlipBit(name, offset)
			flips++
			if _, damages, err := Verify(dir, func(Record, Position) {}); err != nil || len(damages) == 0 {
				t.Fatalf("%s byte %d: Verify did not report the flipped bit (error %v)", name, offset, err)
			}
			n := 0
			j, _, err := Open(dir, Options{Node: "n1", SegmentBytes: 900}, func(r Record, _ Position) {
				if cmp.Diff(testRecord(n), r, cmpopts.EquateEmpty()) != "" {
					t.Fatalf("%s byte %d: Open returned %v as record %d", name, offset, r, n)
				}
				n++
			})
			switch {
			case err == nil && n >= 28-lastBatchRecords && n < 28:
				dropped++
			case errors.Is(err, ErrDamaged):
				refused++
			default:
				t.Fatalf("%s byte %d: Open returned %d of 28 records and error %v, want ErrDamaged or just the last batch lost",
					name, offset, n, err)
			}
			if j != nil {
				j.Close()
			}
			dir.FlipBit(name, offset)
		}
	}
	t.Logf("%d flipped bits: Open failed for %d and dropped the last batch for %d", flips, refused, dropped)
}

// Open fails for another node's journal, for one of a newer version, while another holder has the lock, and if a
// segment in the middle is missing. It succeeds after the oldest segment was dropped.
func TestRefusedJournals(t *testing.T) {
	openAs := func(dir *storagetest.Dir, node string) error {
		j, _, err := Open(dir, Options{Node: node, SegmentBytes: 900}, func(Record, Position) {})
		if err == nil {
			j.Close()
		}
		return err
	}
	newJournal := func() (*storagetest.Dir, *Journal) {
		dir := storagetest.New(1)
		j, _, _, _ := openJournal(t, dir)
		for n := range 60 {
			if _, err := j.Append([]Record{testRecord(n)}); err != nil {
				t.Fatal(err)
			}
		}
		return dir, j
	}
	dir, j := newJournal()
	if err := openAs(dir, "n1"); err == nil {
		t.Error("a second Open of a locked directory succeeded")
	}
	j.Close()
	if err := openAs(dir, "n2"); !errors.Is(err, ErrOtherNode) {
		t.Errorf("Open by another node: got error %v, want %v", err, ErrOtherNode)
	}
	dir.Remove(segmentName(2))
	if err := openAs(dir, "n1"); !errors.Is(err, ErrDamaged) {
		t.Errorf("Open without segment 2: got error %v, want %v", err, ErrDamaged)
	}
	dir = storagetest.New(1)
	f, _ := dir.Create(segmentName(1))
	b, err := appendFrame(nil, 1, 0, 1, Record{Kind: kindHeader, Version: Version + 1, Node: "n1"})
	if err != nil {
		t.Fatal(err)
	}
	f.Write(b)
	if err := openAs(dir, "n1"); !errors.Is(err, ErrNewerVersion) {
		t.Errorf("Open of a newer version: got error %v, want %v", err, ErrNewerVersion)
	}
	dir, j = newJournal()
	if err := j.DropOldest(); err != nil {
		t.Error(err)
	}
	j.Close()
	if err := openAs(dir, "n1"); err != nil {
		t.Errorf("Open after DropOldest: %v", err)
	}
}

// A frame is valid only at the segment and offset for which it was written.
func TestFrameIsBoundToItsPosition(t *testing.T) {
	b, err := appendFrame(nil, 1, 0, 1, testRecord(7))
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range []Position{{1, 0, 0}, {1, 64, 0}, {2, 0, 0}} {
		if _, _, _, problem := readFrame(b, p.Segment, p.Offset); (problem == "") != (p == Position{1, 0, 0}) {
			t.Errorf("readFrame at %v: got problem %q", p, problem)
		}
	}
}

func FuzzFrame(f *testing.F) {
	b, err := appendFrame(nil, 1, 0, 1, testRecord(7))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add(b[:20])
	f.Fuzz(func(t *testing.T, b []byte) {
		if r, size, _, problem := readFrame(b, 1, 0); problem == "" && int(size) > len(b) {
			t.Errorf("got record %v of %d bytes from %d bytes of input", r, size, len(b))
		}
	})
}

// readSizes is a directory that notes the largest read of its files.
type readSizes struct {
	storage.Dir
	largest *int
}

func (d readSizes) Open(name string) (storage.File, error) {
	f, err := d.Dir.Open(name)
	return sizedReads{f, d.largest}, err
}

type sizedReads struct {
	storage.File
	largest *int
}

func (f sizedReads) ReadAt(p []byte, offset int64) (int, error) {
	*f.largest = max(*f.largest, len(p))
	return f.File.ReadAt(p, offset)
}

// Guards against a start that takes more memory than the node may have (review/6): however large the segments are, recovery
// holds a small part of them at a time, also where it looks behind a damaged record.
func TestRecoveryReadsInPiecesOfABoundSize(t *testing.T) {
	dir := storagetest.New(1)
	j, _, err := Open(dir, Options{Node: "n1", SegmentBytes: 1 << 30}, nil)
	if err != nil {
		t.Fatal(err)
	}
	const batches, size = 100, 15000
	for i := range batches {
		if _, err := j.Append([]Record{{Kind: Finished, Key: fmt.Sprint(i), Result: make([]byte, size)}}); err != nil {
			t.Fatal(err)
		}
	}
	if j.Close(); j.Bytes() < batches*size {
		t.Fatalf("the journal has %d bytes", j.Bytes())
	}
	largest, records := 0, 0
	again, _, err := Open(readSizes{dir, &largest}, Options{Node: "n1", SegmentBytes: 1 << 30}, func(Record, Position) { records++ })
	if err != nil || records != batches || largest > windowBytes {
		t.Errorf("got %d of %d records with reads of up to %d bytes and error %v, want reads of at most %d", records, batches, largest,
			err, windowBytes)
	}
	again.Close()
}
