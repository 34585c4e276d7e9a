package journal

import (
	"errors"
	"fmt"
	"io/fs"
	"slices"

	"whinrudder/internal/storage"
)

// Segment is one file of a journal.
type Segment struct {
	Number uint32
	Bytes  int64 // the size of the file, including invalid bytes at its end
}

// Summary describes what Open or Verify has read.
type Summary struct {
	Node              string
	Version           int
	Segments, Records int
	Bytes             int64
	TornBytes         int64 // bytes outside the committed batches
}

// Journal is an open journal to which records are appended. It is not safe for concurrent use. The function Read may be
// called at any time.
type Journal struct {
	dir          storage.Dir
	node         string
	segmentBytes int64 // a segment of at least this size is followed by a new one
	release      func()

	segments        []Segment    // in order of their numbers
	file            storage.File // the last segment, opened for appending; nil until the first Append
	end             uint32       // the valid length of the last segment in bytes
	batch           uint64       // number of the last batch
	needsNewSegment bool         // the content of the last segment after end is unknown
	buf             []byte       // reused for the frames of a batch
}

// Options are the parameters of a journal.
type Options struct {
	Node         string // a journal with another node's name is refused
	SegmentBytes int64  // a segment of at least this size is followed by a new one
}

// maxSegments is the largest number of segments of a journal.
const maxSegments = 4096

// Open locks the directory, reads its journal, if it has one, and calls visit for each committed record in order. Bytes
// that a crash can have left after the last committed batch are ignored; any other invalid content is an error
// (Damage).
func Open(dir storage.Dir, o Options, visit func(Record, Position)) (*Journal, Summary, error) {
	release, err := dir.Lock()
	if err != nil {
		return nil, Summary{}, err
	}
	j := &Journal{dir: dir, node: o.Node, segmentBytes: o.SegmentBytes, release: release, needsNewSegment: true}
	summary, err := j.replay(visit)
	if err != nil {
		release()
		return nil, summary, err
	}
	return j, summary, nil
}

// Close closes the journal and unlocks the directory. Data that was not synced may be lost.
func (j *Journal) Close() error {
	defer j.release()
	if j.file == nil {
		return nil
	}
	return j.file.Close()
}

// Segments returns the segments in order of their numbers.
func (j *Journal) Segments() []Segment { return slices.Clone(j.segments) }

// Bytes returns the total size of all segments.
func (j *Journal) Bytes() (n int64) {
	for _, s := range j.segments {
		n += s.Bytes
	}
	return n
}

// listSegments returns the numbers of a directory's segments in order.
func listSegments(dir storage.Dir) (out []uint32, err error) {
	names, err := dir.Names()
	for _, n := range names {
		if seg, ok := segmentNumber(n); ok {
			out = append(out, seg)
		}
	}
	slices.Sort(out)
	return out, err
}

// readSegment returns the content of a segment.
func readSegment(dir storage.Dir, seg uint32) ([]byte, error) {
	f, err := dir.Open(segmentName(seg))
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

// replay reads all segments and calls visit for each committed record. It holds a part of a segment at a time.
func (j *Journal) replay(visit func(Record, Position)) (summary Summary, err error) {
	segments, err := listSegments(j.dir)
	if err != nil || len(segments) == 0 {
		return summary, err
	}
	if len(segments) > maxSegments {
		return summary, fmt.Errorf("%w: %d segments exceed the limit of %d", ErrDamaged, len(segments), maxSegments)
	}
	current, err := openSegment(j.dir, segments[0])
	if err != nil {
		return summary, err
	}
	defer func() { current.close() }()
	for i, number := range segments {
		if i == len(segments)-1 {
			return summary, j.replaySegment(current, current.size, true, &summary, visit)
		}
		if segments[i+1] != number+1 {
			return summary, Damage{number + 1, 0, "the segment is missing"}
		}
		next, err := openSegment(j.dir, number+1)
		if err != nil {
			return summary, err
		}
		validEnd, uncommitted, err := validEndBefore(next, current, i+2 == len(segments))
		if err == nil {
			err = j.replaySegment(current, validEnd, uncommitted, &summary, visit)
		}
		current.close()
		current = next
		if err != nil {
			return summary, err
		}
		if uncommitted {
			summary.TornBytes += int64(next.size)
			return summary, errors.Join(j.dir.Remove(segmentName(number+1)), j.dir.Sync())
		}
	}
	return summary, nil
}

// validEndBefore returns the valid length of a segment, which the header of the next one holds. uncommitted reports that a
// crash interrupted the creation of the next one, if that is the last: nothing in it is committed.
func validEndBefore(next, current *segmentReader, nextIsLast bool) (validEnd uint32, uncommitted bool, err error) {
	header, _, _, problem, err := next.frameAt(0, next.size)
	switch {
	case err != nil:
		return 0, false, err
	case problem != "" && nextIsLast:
		return current.size, true, next.checkTorn(0, 0)
	case problem != "":
		return 0, false, Damage{next.number, 0, problem}
	case header.PrevSegment != current.number || header.PrevEnd > current.size:
		return 0, false, Damage{next.number, 0, "the header does not match the preceding segment"}
	}
	return header.PrevEnd, false, nil
}

// replaySegment reads the records of a segment up to validEnd. In the last segment, a torn batch may end them earlier.
func (j *Journal) replaySegment(s *segmentReader, validEnd uint32, last bool, summary *Summary,
	visit func(Record, Position)) error {
	offset := uint32(0)
	for offset < validEnd {
		r, size, batch, problem, err := s.frameAt(offset, validEnd)
		if err != nil {
			return err
		}
		if problem != "" {
			if !last {
				return Damage{s.number, offset, problem}
			}
			if err := s.checkTorn(offset, j.batch+1); err != nil {
				return err
			}
			break
		}
		switch {
		case offset == 0 && r.Kind != kindHeader:
			return Damage{s.number, offset, "the header is missing"}
		case offset == 0 && r.Version > Version:
			return fmt.Errorf("%w: %d, the newest supported version is %d", ErrNewerVersion, r.Version, Version)
		case offset == 0 && r.Node != j.node:
			return fmt.Errorf("%w: %q, want %q", ErrOtherNode, r.Node, j.node)
		case offset > 0 && r.Kind == kindHeader, batch < j.batch:
			return Damage{s.number, offset, "a record is out of order"}
		case offset == 0:
			summary.Node, summary.Version = r.Node, r.Version
		default:
			visit(r, Position{s.number, offset, size})
			summary.Records++
		}
		j.batch = batch
		offset += size
	}
	if last && offset == 0 { // the segment has no valid header: a crash interrupted its creation
		summary.TornBytes += int64(s.size)
		return errors.Join(j.dir.Remove(segmentName(s.number)), j.dir.Sync())
	}
	summary.Segments++
	summary.Bytes += int64(s.size)
	summary.TornBytes += int64(s.size - offset)
	j.segments = append(j.segments, Segment{s.number, int64(s.size)})
	j.end = offset
	return nil
}

// Append writes records as one batch and returns their positions once they are durable. After an error none of them is
// committed: a next segment, whose header excludes whatever was written of them, is begun before any other record is
// written. If the process ends before that, Open may still find the whole batch or its first records.
func (j *Journal) Append(records []Record) ([]Position, error) {
	if j.needsNewSegment || j.file == nil || int64(j.end) >= j.segmentBytes {
		if err := j.beginSegment(); err != nil {
			return nil, err
		}
	}
	j.batch++
	j.buf = j.buf[:0]
	positions := make([]Position, 0, len(records))
	seg := j.segments[len(j.segments)-1].Number
	for _, r := range records {
		from := len(j.buf)
		offset := j.end + uint32(from)
		var err error
		if j.buf, err = appendFrame(j.buf, seg, offset, j.batch, r); err != nil {
			return nil, err
		}
		positions = append(positions, Position{seg, offset, uint32(len(j.buf) - from)})
	}
	if err := j.write(j.buf); err != nil {
		j.needsNewSegment = true
		return nil, err
	}
	return positions, nil
}

// write appends bytes to the last segment and syncs it.
func (j *Journal) write(b []byte) error {
	n, err := j.file.Write(b)
	j.segments[len(j.segments)-1].Bytes += int64(n)
	if err == nil {
		err = j.file.Sync()
	}
	if err == nil {
		j.end += uint32(len(b))
	}
	return err
}

// beginSegment creates a segment. Its header holds the valid length of the preceding segment.
func (j *Journal) beginSegment() error {
	if j.file != nil {
		j.file.Close()
		j.file = nil
	}
	header := Record{Kind: kindHeader, Version: Version, Node: j.node}
	number := uint32(1)
	if n := len(j.segments); n > 0 {
		header.PrevSegment, header.PrevEnd = j.segments[n-1].Number, j.end
		number = header.PrevSegment + 1
	}
	if len(j.segments) >= maxSegments {
		return fmt.Errorf("the journal has reached the limit of %d segments", maxSegments)
	}
	j.batch++
	b, err := appendFrame(nil, number, 0, j.batch, header)
	if err != nil {
		return err
	}
	f, err := j.dir.Create(segmentName(number))
	if errors.Is(err, fs.ErrExist) { // a failed earlier attempt could not be removed
		if err = j.dir.Remove(segmentName(number)); err == nil {
			f, err = j.dir.Create(segmentName(number))
		}
	}
	if err != nil {
		return err
	}
	if _, err = f.Write(b); err == nil {
		err = errors.Join(f.Sync(), j.dir.Sync())
	}
	if err != nil { // the segment holds no records yet, so its number can be used again
		return errors.Join(err, f.Close(), j.dir.Remove(segmentName(number)))
	}
	j.file, j.end, j.needsNewSegment = f, uint32(len(b)), false
	j.segments = append(j.segments, Segment{number, int64(len(b))})
	return nil
}

// Read returns the record at a position. It may be called from any goroutine.
func Read(dir storage.Dir, p Position) (Record, error) {
	f, err := dir.Open(segmentName(p.Segment))
	if err != nil {
		return Record{}, err
	}
	defer f.Close()
	b := make([]byte, p.Length)
	if _, err := f.ReadAt(b, int64(p.Offset)); err != nil {
		return Record{}, err
	}
	r, _, _, problem := readFrame(b, p.Segment, p.Offset)
	if problem != "" {
		return Record{}, Damage{p.Segment, p.Offset, problem}
	}
	return r, nil
}

// DropOldest removes the oldest segment. The last segment can't be removed.
func (j *Journal) DropOldest() error {
	if len(j.segments) < 2 {
		return errors.New("the last segment of a journal can't be dropped")
	}
	if err := errors.Join(j.dir.Remove(segmentName(j.segments[0].Number)), j.dir.Sync()); err != nil {
		return err
	}
	j.segments = j.segments[1:]
	return nil
}
