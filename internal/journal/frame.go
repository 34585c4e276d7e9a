// Package journal is a log of records in segments, on a folder. Records are appended in batches that are synced as one;
// each has a checksum over what it says and where it stands. A journal knows nothing of what its records mean and decides
// nothing: what is live, and when the oldest segment goes, is its owner's business.
//
// A segment begins with a header that names the node, and the place up to which the segment before it counts. So what a
// crash or a failed sync leaves behind the last batch that counts is cut off by the next segment, and no file is changed
// but at its end.
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

// Version is the version of the form. A journal of a newer one is refused.
const Version = 1

// Limits of a record.
const (
	maxPayload = 16 << 10 // a result of 4 KiB, a key and the fields around them fit twice
	headSize   = 28
)

// marker begins each frame, so that what comes after damage can be found.
var marker = [4]byte{0xf7, 'w', 'h', 'r'}

// Kind says what a record tells.
type Kind uint8

// The kinds of records.
const (
	Intended Kind = iota + 1 // a run may be started from now on
	Finished                 // it ended, with a result
	Failed                   // it ended without one
	NotRun                   // it was provably not run
	header                   // of a segment
)

// Record is what is kept of an operation, or the header of a segment. Times are Unix milliseconds.
type Record struct {
	Kind       Kind    `cbor:"1,keyasint"`
	Key        string  `cbor:"2,keyasint,omitempty"`
	Digest     []byte  `cbor:"3,keyasint,omitempty"` // of the body
	Run        string  `cbor:"4,keyasint,omitempty"` // id of the request that was, or may have been, run
	At         float64 `cbor:"5,keyasint,omitempty"`
	Result     []byte  `cbor:"6,keyasint,omitempty"`
	ResolvedBy string  `cbor:"7,keyasint,omitempty"` // an operator's word: who gave it

	Version     int    `cbor:"10,keyasint,omitempty"`
	Node        string `cbor:"11,keyasint,omitempty"`
	PrevSegment uint32 `cbor:"12,keyasint,omitempty"` // the segment before this one counts up to PrevEnd
	PrevEnd     uint32 `cbor:"13,keyasint,omitempty"`
}

// Position is where a record stands.
type Position struct {
	Segment, Offset, Length uint32 // segment, first byte and size of its frame
}

// Errors of journals.
var (
	ErrOtherNode    = errors.New("the journal is another node's")
	ErrNewerVersion = errors.New("the journal is of a newer version")
	ErrDamaged      = errors.New("the journal is damaged")
)

// Damage is a place where a journal is not what was written.
type Damage struct {
	Segment, Offset uint32
	Reason          string
}

func (d Damage) Error() string {
	return fmt.Sprintf("%v: %s at byte %d: %s", ErrDamaged, name(d.Segment), d.Offset, d.Reason)
}

// Is makes it an ErrDamaged.
func (d Damage) Is(err error) bool { return err == ErrDamaged }

func name(seg uint32) string { return fmt.Sprintf("%08d.log", seg) }

// number returns the number of a segment by its name; ok tells whether it is one.
func number(name string) (seg uint32, ok bool) {
	s, is := strings.CutSuffix(name, ".log")
	n, err := strconv.ParseUint(s, 10, 32)
	return uint32(n), is && err == nil && len(s) == 8
}

// appendFrame appends a record's frame as it stands at a place of a segment, in a batch.
func appendFrame(b []byte, seg, at uint32, batch uint64, r Record) ([]byte, error) {
	payload, err := cbor.Marshal(r)
	if err != nil || len(payload) > maxPayload {
		return b, fmt.Errorf("record of %d bytes: %v", len(payload), err)
	}
	start := len(b)
	b = append(b, marker[:]...)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.LittleEndian.AppendUint64(b, batch)
	b = binary.LittleEndian.AppendUint32(b, seg)
	b = append(b, make([]byte, 8)...)
	b = append(b, payload...)
	binary.LittleEndian.PutUint64(b[start+20:], sum(b[start:], at))
	return b, nil
}

// sum is the checksum of a frame: over all but itself, and the place.
func sum(frame []byte, at uint32) uint64 {
	d := xxhash.New()
	var place [4]byte
	binary.LittleEndian.PutUint32(place[:], at)
	d.Write(place[:])
	d.Write(frame[:20])
	d.Write(frame[headSize:])
	return d.Sum64()
}

// readFrame reads the frame at the beginning of the rest of a segment, which begins at a place. An empty what tells that
// it is whole.
func readFrame(rest []byte, seg, at uint32) (r Record, size uint32, batch uint64, what string) {
	if len(rest) < headSize {
		return r, 0, 0, "a head is cut short"
	}
	n := binary.LittleEndian.Uint32(rest[4:])
	switch {
	case [4]byte(rest) != marker:
		return r, 0, 0, "no record begins here"
	case n > maxPayload:
		return r, 0, 0, "a record's size is out of bounds"
	case int(n) > len(rest)-headSize:
		return r, 0, 0, "a record is cut short"
	}
	frame := rest[:headSize+n]
	if binary.LittleEndian.Uint32(frame[16:]) != seg || sum(frame, at) != binary.LittleEndian.Uint64(frame[20:]) {
		return r, 0, 0, "a checksum is wrong"
	}
	if err := cbor.Unmarshal(frame[headSize:], &r); err != nil {
		return r, 0, 0, "a record can't be read: " + err.Error()
	}
	return r, uint32(len(frame)), binary.LittleEndian.Uint64(frame[8:]), ""
}
