// Package journal is a write-ahead log of checksummed records in segment files. Records are appended in batches, and
// each batch is synced as a whole. The checksum of a record covers its content and its position. The journal does not
// interpret records: its user decides which records are live and when the oldest segment is dropped.
//
// A segment begins with a header that holds the node's name and the valid length of the segment before it. Whatever a
// crash or a failed sync leaves after the last committed batch is thereby excluded by the next segment's header, so
// files are only ever appended to and never truncated or overwritten.
package journal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// Version is the version of the journal's format. A journal with a newer version is refused.
const Version = 1

// Sizes of the parts of a frame. A frame is a header followed by the record as CBOR. The header holds the marker, the
// payload length, the batch number, the segment number and the checksum.
const (
	maxPayloadBytes  = 16 << 10 // twice the size of a result of 4 KiB with its key and the other fields
	frameHeaderBytes = 28
)

// marker begins each frame, so that the frames after a damaged one can be found.
var marker = [4]byte{0xf7, 'w', 'h', 'r'}

// Kind is the kind of a record.
type Kind uint8

// The kinds of records.
const (
	Intended   Kind = iota + 1 // the operation may be run from now on
	Finished                   // the run ended with a result
	Failed                     // the run ended without a result
	NotRun                     // the operation was provably not run
	kindHeader                 // the header of a segment
)

// Record is a state of an operation or the header of a segment. The first group of fields belongs to operations, the
// second to headers.
type Record struct {
	Kind       Kind    `cbor:"1,keyasint"`
	Key        string  `cbor:"2,keyasint,omitempty"`
	Digest     []byte  `cbor:"3,keyasint,omitempty"` // digest of the request's body
	Run        string  `cbor:"4,keyasint,omitempty"` // ID of the request that was or may have been run
	At         float64 `cbor:"5,keyasint,omitempty"` // Unix milliseconds
	Result     []byte  `cbor:"6,keyasint,omitempty"`
	ResolvedBy string  `cbor:"7,keyasint,omitempty"` // the operator who resolved the operation, if one did

	Version     int    `cbor:"10,keyasint,omitempty"`
	Node        string `cbor:"11,keyasint,omitempty"`
	PrevSegment uint32 `cbor:"12,keyasint,omitempty"` // the preceding segment; 0 in segment 1
	PrevEnd     uint32 `cbor:"13,keyasint,omitempty"` // the valid length of the preceding segment in bytes
}

// Position locates a record's frame: its segment, the offset of its first byte and its length in bytes.
type Position struct {
	Segment, Offset, Length uint32
}

// Errors returned by Open and Read.
var (
	ErrOtherNode    = errors.New("the journal belongs to another node")
	ErrNewerVersion = errors.New("the journal has a newer version")
	ErrDamaged      = errors.New("the journal is damaged")
)

// Damage is a position at which a journal's content is not valid.
type Damage struct {
	Segment, Offset uint32
	Reason          string
}

func (d Damage) Error() string {
	return fmt.Sprintf("%v: %s at byte %d: %s", ErrDamaged, segmentName(d.Segment), d.Offset, d.Reason)
}

// Is reports whether err is ErrDamaged, so that errors.Is recognizes a Damage as one.
func (d Damage) Is(err error) bool { return err == ErrDamaged }

// segmentName returns the file name of a segment.
func segmentName(seg uint32) string { return fmt.Sprintf("%08d.log", seg) }

// segmentNumber returns the number of the segment with a file name. ok is false if the name is not that of a segment.
func segmentNumber(name string) (seg uint32, ok bool) {
	digits, hasSuffix := strings.CutSuffix(name, ".log")
	n, err := strconv.ParseUint(digits, 10, 32)
	return uint32(n), hasSuffix && err == nil && len(digits) == 8
}

// appendFrame appends to b the frame of a record that is to be written at an offset of a segment as part of a batch.
func appendFrame(b []byte, seg, offset uint32, batch uint64, r Record) ([]byte, error) {
	payload, err := cbor.Marshal(r)
	if err != nil || len(payload) > maxPayloadBytes {
		return b, fmt.Errorf("can't encode a record of %d bytes within %d: %v", len(payload), maxPayloadBytes, err)
	}
	start := len(b)
	b = append(b, marker[:]...)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.LittleEndian.AppendUint64(b, batch)
	b = binary.LittleEndian.AppendUint32(b, seg)
	b = append(b, make([]byte, 8)...)
	b = append(b, payload...)
	binary.LittleEndian.PutUint64(b[start+20:], frameChecksum(b[start:], offset))
	return b, nil
}

// frameChecksum returns the checksum of a frame: over its offset in the segment and the whole frame except the
// checksum.
func frameChecksum(frame []byte, offset uint32) uint64 {
	h := xxhash.New()
	var offsetBytes [4]byte
	binary.LittleEndian.PutUint32(offsetBytes[:], offset)
	h.Write(offsetBytes[:])
	h.Write(frame[:20])
	h.Write(frame[frameHeaderBytes:])
	return h.Sum64()
}

// readFrame reads the frame at the start of rest, which is the part of a segment from an offset on. problem says why
// there is no valid frame, and is empty if there is one.
func readFrame(rest []byte, seg, offset uint32) (r Record, size uint32, batch uint64, problem string) {
	if len(rest) < frameHeaderBytes {
		return r, 0, 0, "a frame header is cut short"
	}
	n := binary.LittleEndian.Uint32(rest[4:])
	switch {
	case [4]byte(rest) != marker:
		return r, 0, 0, "no frame begins here"
	case n > maxPayloadBytes:
		return r, 0, 0, "the length of a record exceeds the limit"
	case int(n) > len(rest)-frameHeaderBytes:
		return r, 0, 0, "a record is cut short"
	}
	frame := rest[:frameHeaderBytes+n]
	if binary.LittleEndian.Uint32(frame[16:]) != seg ||
		frameChecksum(frame, offset) != binary.LittleEndian.Uint64(frame[20:]) {
		return r, 0, 0, "a checksum does not match"
	}
	if err := cbor.Unmarshal(frame[frameHeaderBytes:], &r); err != nil {
		return r, 0, 0, "a record can't be decoded: " + err.Error()
	}
	return r, uint32(len(frame)), binary.LittleEndian.Uint64(frame[8:]), ""
}
