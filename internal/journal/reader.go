package journal

import (
	"bytes"
	"fmt"
	"math"

	"whinrudder/internal/storage"
)

// maxFrameBytes is the size of the largest frame.
const maxFrameBytes = frameHeaderBytes + maxPayloadBytes

// windowBytes is how much of a segment is held while it is read: a few of the largest frames.
const windowBytes = 4 * maxFrameBytes

// segmentReader reads a segment of any size through a window.
type segmentReader struct {
	file   storage.File
	number uint32
	size   uint32
	window []byte // content of the segment from start on
	start  uint32
}

// openSegment opens a segment for reading.
func openSegment(dir storage.Dir, number uint32) (*segmentReader, error) {
	f, err := dir.Open(segmentName(number))
	if err != nil {
		return nil, err
	}
	size, err := f.Size()
	if err == nil && size > math.MaxUint32 {
		err = fmt.Errorf("%w: %s has %d bytes", ErrDamaged, segmentName(number), size)
	}
	if err != nil {
		f.Close()
		return nil, err
	}
	return &segmentReader{file: f, number: number, size: uint32(size)}, nil
}

func (r *segmentReader) close() { r.file.Close() }

// bytesAt returns the content from an offset to end, or less of it, but no less than the largest frame has. The result is valid
// until the next call.
func (r *segmentReader) bytesAt(offset, end uint32) ([]byte, error) {
	needed := min(end-offset, maxFrameBytes)
	if offset < r.start || offset+needed > r.start+uint32(len(r.window)) {
		if r.window == nil {
			r.window = make([]byte, min(r.size, windowBytes))
		}
		r.window = r.window[:min(r.size-offset, uint32(cap(r.window)))]
		r.start = offset
		if len(r.window) > 0 {
			if _, err := r.file.ReadAt(r.window, int64(offset)); err != nil {
				r.window = r.window[:0]
				return nil, err
			}
		}
	}
	b := r.window[offset-r.start:]
	return b[:min(uint32(len(b)), end-offset)], nil
}

// frameAt reads the frame at an offset, which must end before end. See readFrame for the results.
func (r *segmentReader) frameAt(offset, end uint32) (record Record, size uint32, batch uint64, problem string, err error) {
	b, err := r.bytesAt(offset, end)
	if err != nil {
		return record, 0, 0, "", err
	}
	record, size, batch, problem = readFrame(b, r.number, offset)
	return record, size, batch, problem, nil
}

// checkTorn decides whether the invalid record at an offset can be the result of a crash. A batch is written only after
// the batch before it was synced, so a crash can tear only the last batch. If a valid record of a batch with a number
// above tornBatch follows, the invalid record is Damage.
func (r *segmentReader) checkTorn(offset uint32, tornBatch uint64) error {
	for i := offset + 1; uint64(i)+frameHeaderBytes <= uint64(r.size); {
		b, err := r.bytesAt(i, r.size)
		if err != nil {
			return err
		}
		found := bytes.Index(b, marker[:])
		if found < 0 {
			i += uint32(len(b) - len(marker) + 1)
			continue
		}
		i += uint32(found)
		if b, err = r.bytesAt(i, r.size); err != nil {
			return err
		}
		if _, _, batch, problem := readFrame(b, r.number, i); problem == "" && batch > tornBatch {
			return Damage{r.number, offset, "a record is invalid, but valid records of later batches follow"}
		}
		i++
	}
	return nil
}
