// Package peer is the protocol by which a node gives what it has learned to another, as docs/peer-protocol.md has it:
// frames with a checksum each, a giver and a taker as state machines that are fed bytes and know no socket, the budget
// of a giver, and the round in which a taker chooses its donors. It has no clock: absolute times in Unix milliseconds
// go in.
package peer

import (
	"encoding/binary"
	"errors"
	"fmt"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// Version is the one version that is spoken.
const Version = 1

// Kind is the kind of a frame.
type Kind uint8

// The kinds of frames.
const (
	KindHello   Kind = 1 // taker: who it is and which versions it speaks
	KindWelcome Kind = 2 // giver: who it is and how well founded its knowledge is
	KindTake    Kind = 3 // taker: wants the sections
	KindSection Kind = 4 // giver: one section, whole
	KindEnd     Kind = 5 // giver: how many sections there were
	KindBusy    Kind = 6 // giver: come back later
	KindRefuse  Kind = 7 // either: a code of the reason, then the close
)

const (
	headSize = 16
	// MaxPayloadBytes bounds the payload of a frame. What announces more is refused before a byte of it is read.
	MaxPayloadBytes = 16 << 10
	// MaxSections bounds the sections of a transfer, and with MaxPayloadBytes its size.
	MaxSections = 80
	magic       = 0x574b // "WK", the first two bytes of each frame
)

// A Fault ends a connection. Code is the reason that the log gives, and that a Refuse frame carries.
type Fault struct{ Code, Text string }

func (f *Fault) Error() string { return "code=" + f.Code + " " + f.Text }

func fault(code, format string, args ...any) *Fault {
	return &Fault{code, fmt.Sprintf(format, args...)}
}

// Frame is one frame.
type Frame struct {
	Kind    Kind
	Payload []byte
}

// AppendFrame appends a frame: magic, version, kind, four bytes of length, eight of checksum, then the payload. All
// numbers are big-endian. The checksum is XXH64 of the first eight bytes and the payload.
func AppendFrame(b []byte, f Frame) []byte {
	at := len(b)
	b = binary.BigEndian.AppendUint16(b, magic)
	b = append(b, Version, byte(f.Kind))
	b = binary.BigEndian.AppendUint32(b, uint32(len(f.Payload)))
	b = binary.BigEndian.AppendUint64(b, checksum(b[at:at+8], f.Payload))
	return append(b, f.Payload...)
}

func checksum(head, payload []byte) uint64 {
	d := xxhash.New()
	d.Write(head)
	d.Write(payload)
	return d.Sum64()
}

// Reader takes the bytes of one direction apart into frames.
type Reader struct {
	buf []byte
}

// Feed takes bytes that were read.
func (r *Reader) Feed(b []byte) { r.buf = append(r.buf, b...) }

// Buffered tells how many bytes belong to no frame yet.
func (r *Reader) Buffered() int { return len(r.buf) }

// Next returns the next whole frame, or false if more bytes are needed. After a fault it must not be called again.
func (r *Reader) Next() (Frame, bool, *Fault) {
	if len(r.buf) >= 2 && binary.BigEndian.Uint16(r.buf) != magic {
		return Frame{}, false, fault("bad-magic", "got %x", r.buf[:2])
	}
	if len(r.buf) >= 3 && r.buf[2] != Version {
		return Frame{}, false, fault("bad-version", "got %d, want %d", r.buf[2], Version)
	}
	if len(r.buf) < headSize {
		return Frame{}, false, nil
	}
	size := binary.BigEndian.Uint32(r.buf[4:])
	if size > MaxPayloadBytes {
		return Frame{}, false, fault("long-frame", "announces %d bytes, %d at most", size, MaxPayloadBytes)
	}
	whole := headSize + int(size)
	if len(r.buf) < whole {
		return Frame{}, false, nil
	}
	f := Frame{Kind(r.buf[3]), append([]byte{}, r.buf[headSize:whole]...)}
	if sum := binary.BigEndian.Uint64(r.buf[8:]); sum != checksum(r.buf[:8], f.Payload) {
		return Frame{}, false, fault("bad-checksum", "of a frame of kind %d", f.Kind)
	}
	r.buf = r.buf[:copy(r.buf, r.buf[whole:])]
	return f, true, nil
}

// The encoding is CBOR (RFC 8949) in its core deterministic form; what is read may hold keys of later versions. It is set
// up at its first use: a node without peers does not pay for it.
var (
	encoding = sync.OnceValue(func() cbor.EncMode {
		m, err := cbor.CoreDetEncOptions().EncMode()
		if err != nil {
			panic(err)
		}
		return m
	})
	decoding = sync.OnceValue(func() cbor.DecMode {
		m, err := cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxNestedLevels: 8, MaxArrayElements: 256,
			MaxMapPairs: 64, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden, NaN: cbor.NaNDecodeForbidden,
			Inf: cbor.InfDecodeForbidden}.DecMode()
		if err != nil {
			panic(err)
		}
		return m
	})
)

// AppendValue appends a frame whose payload is a plain value in CBOR, for protocols that share the frames.
func AppendValue(b []byte, k Kind, v any) []byte { return frame(b, k, v) }

// DecodeValue decodes the payload of a frame into v.
func DecodeValue(f Frame, v any) *Fault { return read(f, v) }

// NewFault returns a fault with a code.
func NewFault(code, format string, args ...any) *Fault { return fault(code, format, args...) }

func frame(b []byte, k Kind, v any) []byte {
	payload, err := encoding().Marshal(v)
	if err != nil {
		panic(err) // plain values of this package's own
	}
	return AppendFrame(b, Frame{k, payload})
}

// read decodes a payload into v, or says that it can't be.
func read(f Frame, v any) *Fault {
	if err := decoding().Unmarshal(f.Payload, v); err != nil {
		var extra *cbor.ExtraneousDataError
		if errors.As(err, &extra) {
			return fault("bad-payload", "bytes behind the value of a frame of kind %d", f.Kind)
		}
		return fault("bad-payload", "of a frame of kind %d: %v", f.Kind, err)
	}
	return nil
}
