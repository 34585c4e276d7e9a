package journal

import (
	"errors"
	"fmt"
	"io/fs"

	"whinrudder/internal/storage"
)

// Verify reads a whole journal, without taking the folder, hands each record that is whole to visit, and returns all that
// is wrong. What a crash may leave behind the last batch counts as wrong, too, as nothing tells it from damage: its Reason
// says so. A running node may remove a segment meanwhile; then it begins again, a few times.
func Verify(dir storage.Dir, visit func(Record, Position)) (found Summary, all []Damage, err error) {
	for range 5 {
		var records []Record
		var places []Position
		found, all, err = verify(dir, func(r Record, p Position) { records, places = append(records, r), append(places, p) })
		if errors.Is(err, fs.ErrNotExist) {
			continue
		}
		for i, r := range records {
			visit(r, places[i])
		}
		return found, all, err
	}
	return found, all, err
}

func verify(dir storage.Dir, visit func(Record, Position)) (found Summary, all []Damage, err error) {
	segs, err := numbers(dir)
	if err != nil {
		return found, nil, err
	}
	cuts := map[uint32]uint32{} // by segment, from the header of the next
	texts := map[uint32][]byte{}
	for _, seg := range segs {
		b, err := load(dir, seg)
		if err != nil {
			return found, all, err
		}
		texts[seg] = b
		if h, _, _, what := readFrame(b, seg, 0); what == "" && h.Kind == header {
			found.Node, found.Version = h.Node, h.Version
			if h.PrevSegment > 0 {
				cuts[h.PrevSegment] = h.PrevEnd
			}
		}
	}
	batch := uint64(0)
	for i, seg := range segs {
		b := texts[seg]
		found.Segments++
		found.Bytes += int64(len(b))
		if i > 0 && segs[i-1] != seg-1 {
			all = append(all, Damage{seg - 1, 0, "the segment is missing"})
		}
		cut, ok := cuts[seg]
		if !ok || int(cut) > len(b) {
			if ok || i < len(segs)-1 {
				all = append(all, Damage{seg, 0, "the next header does not tell how much of it counts"})
			}
			cut = uint32(len(b))
		}
		found.TornBytes += int64(len(b)) - int64(cut)
		for at := uint32(0); at < cut; {
			r, size, n, what := readFrame(b[at:cut], seg, at)
			switch {
			case what == "" && (at == 0) != (r.Kind == header):
				all = append(all, Damage{seg, at, "a header is not where it belongs"})
			case what == "" && n < batch:
				all = append(all, Damage{seg, at, "a record is out of order"})
			case what == "" && at > 0:
				visit(r, Position{seg, at, size})
				found.Records++
			}
			if what == "" {
				batch, at = n, at+size
				continue
			}
			next := at + 1
			for ; next < cut; next++ {
				if int(next)+headSize <= len(b) && [4]byte(b[next:]) == marker {
					if _, _, _, what := readFrame(b[next:cut], seg, next); what == "" {
						break
					}
				}
			}
			if i == len(segs)-1 && next >= cut {
				what = fmt.Sprintf("%s; the last %d bytes are what a crash left, or damage", what, cut-at)
				found.TornBytes += int64(cut - at)
			}
			all = append(all, Damage{seg, at, what})
			at = next
		}
	}
	return found, all, nil
}
