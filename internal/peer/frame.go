// Package peer implements the protocol by which a node transfers what it has learned to another node, as described in
// docs/peer-protocol.md. It contains the frames with their checksums, the state machines of the source and of the
// receiver, which are fed bytes and use no socket, the budget of a source, the selection of sources by a receiver, and
// the snapshot file. The package has no clock: callers pass absolute times in Unix milliseconds.
//
// The protocol page and the log call the source of a transfer the giver or donor, and the receiver the taker.
package peer

import (
	"encoding/binary"
	"errors"
	"fmt"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// Version is the only supported version of the protocol.
const Version = 1

// Kind is the kind of a frame.
type Kind uint8

// The kinds of frames.
const (
	KindHello   Kind = 1 // from the receiver: its name and the versions that it supports
	KindWelcome Kind = 2 // from the source: a Summary of it and its knowledge
	KindTake    Kind = 3 // from the receiver: request for the sections
	KindSection Kind = 4 // from the source: one section, complete in itself
	KindEnd     Kind = 5 // from the source: the number of sections sent
	KindBusy    Kind = 6 // from the source: when to retry
	KindRefuse  Kind = 7 // from either: a code for the reason; the sender then closes the connection
)

const (
	headerBytes = 16
	// MaxPayloadBytes bounds the payload of a frame. A longer frame is refused before its payload is read.
	MaxPayloadBytes = 16 << 10
	// MaxSections bounds the sections of a transfer and thereby, with MaxPayloadBytes, its size.
	MaxSections = 80
	magic       = 0x574b // "WK", the first two bytes of each frame
)

// Fault is an error that ends a connection. Code is the reason in the log and in a Refuse frame.
type Fault struct{ Code, Text string }

func (f *Fault) Error() string { return "code=" + f.Code + " " + f.Text }

func newFault(code, format string, args ...any) *Fault {
	return &Fault{code, fmt.Sprintf(format, args...)}
}

// Frame is one frame of the protocol without its header.
type Frame struct {
	Kind    Kind
	Payload []byte
}

// AppendFrame appends a frame: two bytes of magic, one each of version and kind, four of payload length, eight of
// checksum, then the payload. Numbers are big-endian. The checksum is XXH64 of the first eight bytes and the payload.
func AppendFrame(b []byte, f Frame) []byte {
	start := len(b)
	b = binary.BigEndian.AppendUint16(b, magic)
	b = append(b, Version, byte(f.Kind))
	b = binary.BigEndian.AppendUint32(b, uint32(len(f.Payload)))
	b = binary.BigEndian.AppendUint64(b, checksum(b[start:start+8], f.Payload))
	return append(b, f.Payload...)
}

func checksum(header, payload []byte) uint64 {
	d := xxhash.New()
	d.Write(header)
	d.Write(payload)
	return d.Sum64()
}

// Reader splits the bytes of one direction of a connection into frames.
type Reader struct {
	buf []byte
}

// Feed adds bytes that were read from the connection.
func (r *Reader) Feed(b []byte) { r.buf = append(r.buf, b...) }

// Buffered returns the number of bytes that Next has not yet returned in a frame.
func (r *Reader) Buffered() int { return len(r.buf) }

// Next returns the next complete frame, or false if it needs more bytes. It must not be called again after a fault.
func (r *Reader) Next() (Frame, bool, *Fault) {
	if len(r.buf) >= 2 && binary.BigEndian.Uint16(r.buf) != magic {
		return Frame{}, false, newFault("bad-magic", "frame starts with %x", r.buf[:2])
	}
	if len(r.buf) >= 3 && r.buf[2] != Version {
		return Frame{}, false, newFault("bad-version", "frame has version %d, want %d", r.buf[2], Version)
	}
	if len(r.buf) < headerBytes {
		return Frame{}, false, nil
	}
	size := binary.BigEndian.Uint32(r.buf[4:])
	if size > MaxPayloadBytes {
		return Frame{}, false, newFault("long-frame", "payload length %d exceeds the limit of %d bytes", size,
			MaxPayloadBytes)
	}
	end := headerBytes + int(size)
	if len(r.buf) < end {
		return Frame{}, false, nil
	}
	f := Frame{Kind(r.buf[3]), append([]byte{}, r.buf[headerBytes:end]...)}
	if sum := binary.BigEndian.Uint64(r.buf[8:]); sum != checksum(r.buf[:8], f.Payload) {
		return Frame{}, false, newFault("bad-checksum", "checksum of a frame of kind %d is wrong", f.Kind)
	}
	r.buf = r.buf[:copy(r.buf, r.buf[end:])]
	return f, true, nil
}

// Payloads are CBOR (RFC 8949), written in its core deterministic encoding. Unknown keys are accepted, as later
// versions may add some. Both modes are built at their first use, so that a node without peers does not pay for them.
var (
	encMode = sync.OnceValue(func() cbor.EncMode {
		m, err := cbor.CoreDetEncOptions().EncMode()
		if err != nil {
			panic(err)
		}
		return m
	})
	decMode = sync.OnceValue(func() cbor.DecMode {
		m, err := cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxNestedLevels: 8, MaxArrayElements: 256,
			MaxMapPairs: 64, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
			NaN: cbor.NaNDecodeForbidden, Inf: cbor.InfDecodeForbidden}.DecMode()
		if err != nil {
			panic(err)
		}
		return m
	})
)

// AppendValue appends a frame whose payload is v in CBOR, for other protocols that use the same frames.
func AppendValue(b []byte, k Kind, v any) []byte { return appendMessage(b, k, v) }

// DecodeValue decodes the payload of a frame into v, for other protocols that use the same frames.
func DecodeValue(f Frame, v any) *Fault { return decodePayload(f, v) }

// NewFault returns a fault with a code and a formatted text.
func NewFault(code, format string, args ...any) *Fault { return newFault(code, format, args...) }

// appendMessage appends a frame whose payload is v in CBOR.
func appendMessage(b []byte, k Kind, v any) []byte {
	payload, err := encMode().Marshal(v)
	if err != nil {
		panic(err) // callers pass only plain values, which CBOR can encode
	}
	return AppendFrame(b, Frame{k, payload})
}

// decodePayload decodes the payload of a frame into v.
func decodePayload(f Frame, v any) *Fault {
	if err := decMode().Unmarshal(f.Payload, v); err != nil {
		var extra *cbor.ExtraneousDataError
		if errors.As(err, &extra) {
			return newFault("bad-payload", "frame of kind %d has extra bytes after its value", f.Kind)
		}
		return newFault("bad-payload", "payload of a frame of kind %d: %v", f.Kind, err)
	}
	return nil
}
