package journal

import (
	"errors"
	"fmt"
	"io/fs"
	"slices"

	"whinrudder/internal/storage"
)

// Segment is a file of a journal.
type Segment struct {
	Number uint32
	Bytes  int64
}

// Summary tells what opening a journal has found.
type Summary struct {
	Node              string
	Version           int
	Segments, Records int
	Bytes             int64
	TornBytes         int64 // bytes behind the last batch that counts
}

// Journal appends records and reads them by their places. It is used from one goroutine, but for Read.
type Journal struct {
	dir     storage.Dir
	node    string
	most    int64 // bytes from which on a segment is followed by another
	release func()

	segs  []Segment // in order; the last may be the one that is appended to
	cur   storage.File
	at    uint32 // end of what counts in the last segment
	batch uint64
	bad   bool // what follows at in the last segment is not known
	buf   []byte
}

// Options say how a journal is kept.
type Options struct {
	Node         string
	SegmentBytes int64
}

// maxSegments bounds the files of a journal.
const maxSegments = 4096

// Open takes the folder and reads a journal, or begins one, and hands each record that counts to visit, in order. What a
// crash left behind the last batch is passed over; what can't come from a crash is an error (Damage).
func Open(dir storage.Dir, o Options, visit func(Record, Position)) (*Journal, Summary, error) {
	release, err := dir.Lock()
	if err != nil {
		return nil, Summary{}, err
	}
	j := &Journal{dir: dir, node: o.Node, most: o.SegmentBytes, release: release, bad: true}
	found, err := j.replay(visit)
	if err != nil {
		release()
		return nil, found, err
	}
	return j, found, nil
}

// Close lets go of the folder. What was not synced may be lost.
func (j *Journal) Close() error {
	defer j.release()
	if j.cur == nil {
		return nil
	}
	return j.cur.Close()
}

// Segments returns the segments in order.
func (j *Journal) Segments() []Segment { return slices.Clone(j.segs) }

// Bytes returns how much all segments hold.
func (j *Journal) Bytes() (n int64) {
	for _, s := range j.segs {
		n += s.Bytes
	}
	return n
}

// numbers lists the segments of a folder in order.
func numbers(dir storage.Dir) (out []uint32, err error) {
	names, err := dir.Names()
	for _, n := range names {
		if seg, ok := number(n); ok {
			out = append(out, seg)
		}
	}
	slices.Sort(out)
	return out, err
}

// load reads a whole segment.
func load(dir storage.Dir, seg uint32) ([]byte, error) {
	f, err := dir.Open(name(seg))
	if err != nil {
		return nil, err
	}
	defer f.Close()
	size, err := f.Size()
	if err != nil {
		return nil, err
	}
	b := make([]byte, size)
	if size > 0 {
		if _, err := f.ReadAt(b, 0); err != nil {
			return nil, err
		}
	}
	return b, nil
}

func (j *Journal) replay(visit func(Record, Position)) (found Summary, err error) {
	segs, err := numbers(j.dir)
	if err != nil {
		return found, err
	}
	if len(segs) > maxSegments {
		return found, fmt.Errorf("%w: %d segments, %d at most", ErrDamaged, len(segs), maxSegments)
	}
	var next []byte
	if len(segs) > 0 {
		if next, err = load(j.dir, segs[0]); err != nil {
			return found, err
		}
	}
	for i, seg := range segs {
		b := next
		last := i == len(segs)-1
		cut := uint32(len(b))
		if !last {
			if segs[i+1] != seg+1 {
				return found, Damage{seg + 1, 0, "the segment is missing"}
			}
			if next, err = load(j.dir, seg+1); err != nil {
				return found, err
			}
			h, _, _, what := readFrame(next, seg+1, 0)
			switch {
			case what != "" && i+2 == len(segs): // the crash came while it was begun: nothing in it counts
				if err := after(next, seg+1, 0, 0); err != nil {
					return found, err
				}
				last = true
			case what != "":
				return found, Damage{seg + 1, 0, what}
			case h.PrevSegment != seg || h.PrevEnd > cut:
				return found, Damage{seg + 1, 0, "the header does not continue the segment before"}
			default:
				cut = h.PrevEnd
			}
		}
		if err := j.segment(b, seg, cut, last, &found, visit); err != nil {
			return found, err
		}
		if last && i+1 < len(segs) {
			found.TornBytes += int64(len(next))
			if err := errors.Join(j.dir.Remove(name(seg+1)), j.dir.Sync()); err != nil {
				return found, err
			}
			break
		}
	}
	return found, nil
}

// segment reads the records of a segment up to a cut.
func (j *Journal) segment(b []byte, seg, cut uint32, last bool, found *Summary, visit func(Record, Position)) error {
	at := uint32(0)
	for at < cut {
		r, size, batch, what := readFrame(b[at:cut], seg, at)
		if what != "" {
			if !last {
				return Damage{seg, at, what}
			}
			if err := after(b, seg, at, j.batch+1); err != nil {
				return err
			}
			break
		}
		switch {
		case at == 0 && r.Kind != header:
			return Damage{seg, at, "the header is missing"}
		case at == 0 && r.Version > Version:
			return fmt.Errorf("%w: %d, this program knows up to %d", ErrNewerVersion, r.Version, Version)
		case at == 0 && r.Node != j.node:
			return fmt.Errorf("%w: %q, not %q", ErrOtherNode, r.Node, j.node)
		case at > 0 && r.Kind == header, batch < j.batch:
			return Damage{seg, at, "a record is out of order"}
		case at == 0:
			found.Node, found.Version = r.Node, r.Version
		default:
			visit(r, Position{seg, at, size})
			found.Records++
		}
		j.batch = batch
		at += size
	}
	if last && at == 0 { // it was never begun
		found.TornBytes += int64(len(b))
		return errors.Join(j.dir.Remove(name(seg)), j.dir.Sync())
	}
	found.Segments++
	found.Bytes += int64(len(b))
	found.TornBytes += int64(uint32(len(b)) - at)
	j.segs = append(j.segs, Segment{seg, int64(len(b))})
	j.at = at
	return nil
}

// after looks behind a record that is not whole. Records are handed over a batch at a time, and the next only after the
// last was synced: a whole record of a batch over the one that a crash may have torn means that this is not its work.
func after(b []byte, seg, at uint32, torn uint64) error {
	for i := at + 1; int(i)+headSize <= len(b); i++ {
		if [4]byte(b[i:]) != marker {
			continue
		}
		if _, _, n, what := readFrame(b[i:], seg, i); what == "" && n > torn {
			return Damage{seg, at, "a record is not whole, and later ones are"}
		}
	}
	return nil
}

// Append writes records as one batch and returns their places once they are sure to outlive a crash. After an error none
// of them counts: they were cut off, or will be before anything else is written.
func (j *Journal) Append(records []Record) ([]Position, error) {
	if j.bad || j.cur == nil || int64(j.at) >= j.most {
		if err := j.begin(); err != nil {
			return nil, err
		}
	}
	j.batch++
	j.buf = j.buf[:0]
	places := make([]Position, 0, len(records))
	seg := j.segs[len(j.segs)-1].Number
	for _, r := range records {
		from := len(j.buf)
		at := j.at + uint32(from)
		var err error
		if j.buf, err = appendFrame(j.buf, seg, at, j.batch, r); err != nil {
			return nil, err
		}
		places = append(places, Position{seg, at, uint32(len(j.buf) - from)})
	}
	if err := j.write(j.buf); err != nil {
		j.bad = true
		return nil, err
	}
	return places, nil
}

// write appends bytes to the last segment and makes them last.
func (j *Journal) write(b []byte) error {
	n, err := j.cur.Write(b)
	j.segs[len(j.segs)-1].Bytes += int64(n)
	if err == nil {
		err = j.cur.Sync()
	}
	if err == nil {
		j.at += uint32(len(b))
	}
	return err
}

// begin starts a segment. Its header says how much of the one before counts.
func (j *Journal) begin() error {
	if j.cur != nil {
		j.cur.Close()
		j.cur = nil
	}
	h := Record{Kind: header, Version: Version, Node: j.node}
	no := uint32(1)
	if n := len(j.segs); n > 0 {
		h.PrevSegment, h.PrevEnd = j.segs[n-1].Number, j.at
		no = h.PrevSegment + 1
	}
	if len(j.segs) >= maxSegments {
		return fmt.Errorf("%d segments are the most there may be", maxSegments)
	}
	j.batch++
	b, err := appendFrame(nil, no, 0, j.batch, h)
	if err != nil {
		return err
	}
	f, err := j.dir.Create(name(no))
	if errors.Is(err, fs.ErrExist) { // an earlier try could not be taken back
		if err = j.dir.Remove(name(no)); err == nil {
			f, err = j.dir.Create(name(no))
		}
	}
	if err != nil {
		return err
	}
	if _, err = f.Write(b); err == nil {
		err = errors.Join(f.Sync(), j.dir.Sync())
	}
	if err != nil { // nothing in it counts, and its number is free again
		return errors.Join(err, f.Close(), j.dir.Remove(name(no)))
	}
	j.cur, j.at, j.bad = f, uint32(len(b)), false
	j.segs = append(j.segs, Segment{no, int64(len(b))})
	return nil
}

// Read returns the record of a place. It may be called from any goroutine.
func Read(dir storage.Dir, p Position) (Record, error) {
	f, err := dir.Open(name(p.Segment))
	if err != nil {
		return Record{}, err
	}
	defer f.Close()
	b := make([]byte, p.Length)
	if _, err := f.ReadAt(b, int64(p.Offset)); err != nil {
		return Record{}, err
	}
	r, _, _, what := readFrame(b, p.Segment, p.Offset)
	if what != "" {
		return Record{}, Damage{p.Segment, p.Offset, what}
	}
	return r, nil
}

// DropOldest removes the oldest segment, which must not be the last.
func (j *Journal) DropOldest() error {
	if len(j.segs) < 2 {
		return errors.New("the last segment can't go")
	}
	if err := errors.Join(j.dir.Remove(name(j.segs[0].Number)), j.dir.Sync()); err != nil {
		return err
	}
	j.segs = j.segs[1:]
	return nil
}
