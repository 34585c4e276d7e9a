package journal

import (
	"errors"
	"fmt"
	"io/fs"

	"whinrudder/internal/storage"
)

// Verify reads a whole journal without locking the directory, calls visit for each valid record, and returns all
// damages. Bytes that a crash may have left after the last batch are reported as damage too, because they can't be
// distinguished from it; their Reason says so. If a running node removes a segment meanwhile, Verify starts again, up
// to 4 times.
func Verify(dir storage.Dir, visit func(Record, Position)) (summary Summary, damages []Damage, err error) {
	for range 5 {
		var records []Record
		var positions []Position
		summary, damages, err = verify(dir, func(r Record, p Position) {
			records, positions = append(records, r), append(positions, p)
		})
		if errors.Is(err, fs.ErrNotExist) {
			continue
		}
		for i, r := range records {
			visit(r, positions[i])
		}
		return summary, damages, err
	}
	return summary, damages, err
}

// verify reads a journal once.
func verify(dir storage.Dir, visit func(Record, Position)) (summary Summary, damages []Damage, err error) {
	segments, err := listSegments(dir)
	if err != nil {
		return summary, nil, err
	}
	validEnds := map[uint32]uint32{} // valid length by segment, from the header of the next one
	contents := map[uint32][]byte{}
	for _, seg := range segments {
		b, err := readSegment(dir, seg)
		if err != nil {
			return summary, damages, err
		}
		contents[seg] = b
		if h, _, _, problem := readFrame(b, seg, 0); problem == "" && h.Kind == kindHeader {
			summary.Node, summary.Version = h.Node, h.Version
			if h.PrevSegment > 0 {
				validEnds[h.PrevSegment] = h.PrevEnd
			}
		}
	}
	lastBatch := uint64(0)
	for i, seg := range segments {
		b := contents[seg]
		summary.Segments++
		summary.Bytes += int64(len(b))
		if i > 0 && segments[i-1] != seg-1 {
			damages = append(damages, Damage{seg - 1, 0, "the segment is missing"})
		}
		validEnd, known := validEnds[seg]
		if !known || int(validEnd) > len(b) {
			if known || i < len(segments)-1 {
				damages = append(damages, Damage{seg, 0, "the next segment's header gives no valid length for it"})
			}
			validEnd = uint32(len(b))
		}
		summary.TornBytes += int64(len(b)) - int64(validEnd)
		for offset := uint32(0); offset < validEnd; {
			r, size, batch, problem := readFrame(b[offset:validEnd], seg, offset)
			switch {
			case problem == "" && (offset == 0) != (r.Kind == kindHeader):
				damages = append(damages, Damage{seg, offset, "a header is missing or misplaced"})
			case problem == "" && batch < lastBatch:
				damages = append(damages, Damage{seg, offset, "a record is out of order"})
			case problem == "" && offset > 0:
				visit(r, Position{seg, offset, size})
				summary.Records++
			}
			if problem == "" {
				lastBatch, offset = batch, offset+size
				continue
			}
			next := offset + 1
			for ; next < validEnd; next++ {
				if int(next)+frameHeaderBytes <= len(b) && [4]byte(b[next:]) == marker {
					if _, _, _, problem := readFrame(b[next:validEnd], seg, next); problem == "" {
						break
					}
				}
			}
			if i == len(segments)-1 && next >= validEnd {
				problem = fmt.Sprintf("%s; the last %d bytes are what a crash left, or damage", problem, validEnd-offset)
				summary.TornBytes += int64(validEnd - offset)
			}
			damages = append(damages, Damage{seg, offset, problem})
			offset = next
		}
	}
	return summary, damages, nil
}
