// Package h2 implements the server side of an HTTP/2 cleartext connection with prior knowledge (RFC 9113) as a state
// machine: its input is received bytes and absolute times, and it does no I/O. Header compression (RFC 7541) is that
// of golang.org/x/net/http2/hpack.
package h2

import (
	"encoding/binary"
	"fmt"
)

// Frame types (RFC 9113, 6).
const (
	frameData         = 0
	frameHeaders      = 1
	framePriority     = 2
	frameRstStream    = 3
	frameSettings     = 4
	framePushPromise  = 5
	framePing         = 6
	frameGoAway       = 7
	frameWindowUpdate = 8
	frameContinuation = 9
)

// Frame flags (RFC 9113, 6).
const (
	flagAck        = 1
	flagEndStream  = 1
	flagEndHeaders = 4
	flagPadded     = 8
	flagPriority   = 32
)

// ErrCode is an error code (RFC 9113, 7).
type ErrCode uint32

// The error codes that the server sends, and constants of the protocol.
const (
	NoError                     ErrCode = 0
	ProtocolError               ErrCode = 1
	FlowControlError            ErrCode = 3
	SettingsTimeout             ErrCode = 4
	StreamClosed                ErrCode = 5
	FrameSizeError              ErrCode = 6
	RefusedStream               ErrCode = 7
	Cancel                      ErrCode = 8
	CompressionError            ErrCode = 9
	EnhanceYourCalm             ErrCode = 11
	maxUint31                           = 1<<31 - 1 // largest window size and largest stream id
	initialWindowBytes                  = 65535     // initial window of streams and of the connection (RFC 9113, 6.9.2)
	minFrameBytes                       = 16384     // every peer accepts payloads of this size (RFC 9113, 4.2)
	maxFrameBytes                       = 1<<24 - 1
	preface                             = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
	frameHeaderBytes                    = 9
	settingHeaderTableSize              = 1 // identifiers of settings (RFC 9113, 6.5.2)
	settingEnablePush                   = 2
	settingMaxConcurrentStreams         = 3
	settingInitialWindowSize            = 4
	settingMaxFrameSize                 = 5
	settingMaxHeaderListSize            = 6
	drainPingData                       = "draining" // payload of the PING of a drain
	settingsAckTimeoutMs                = 5000       // for the acknowledgement of a SETTINGS frame
)

// frameHeader is the header of a frame (RFC 9113, 4.1).
type frameHeader struct {
	length int // of the payload
	kind   byte
	flags  byte
	stream uint32
}

func parseFrameHeader(b []byte) frameHeader {
	return frameHeader{int(b[0])<<16 | int(b[1])<<8 | int(b[2]), b[3], b[4], binary.BigEndian.Uint32(b[5:]) & maxUint31}
}

func (h frameHeader) has(flag byte) bool { return h.flags&flag != 0 }

// appendFrameHeader appends the header of a frame.
func appendFrameHeader(b []byte, length int, kind, flags byte, stream uint32) []byte {
	b = append(b, byte(length>>16), byte(length>>8), byte(length), kind, flags)
	return binary.BigEndian.AppendUint32(b, stream)
}

func appendRstStream(b []byte, stream uint32, code ErrCode) []byte {
	return binary.BigEndian.AppendUint32(appendFrameHeader(b, 4, frameRstStream, 0, stream), uint32(code))
}

func appendGoAway(b []byte, lastID uint32, code ErrCode, debugData string) []byte {
	b = appendFrameHeader(b, 8+len(debugData), frameGoAway, 0, 0)
	b = binary.BigEndian.AppendUint32(b, lastID)
	b = binary.BigEndian.AppendUint32(b, uint32(code))
	return append(b, debugData...)
}

func appendWindowUpdate(b []byte, stream uint32, increment int) []byte {
	return binary.BigEndian.AppendUint32(appendFrameHeader(b, 4, frameWindowUpdate, 0, stream), uint32(increment))
}

// appendSettings appends a SETTINGS frame; pairs alternates identifiers and values.
func appendSettings(b []byte, pairs ...uint32) []byte {
	b = appendFrameHeader(b, 3*len(pairs), frameSettings, 0, 0)
	for i := 0; i+1 < len(pairs); i += 2 {
		b = binary.BigEndian.AppendUint16(b, uint16(pairs[i]))
		b = binary.BigEndian.AppendUint32(b, pairs[i+1])
	}
	return b
}

// stripPadding removes the padding of a payload (RFC 9113, 6.1). It returns false if the padding exceeds the payload.
func stripPadding(h frameHeader, p []byte) ([]byte, bool) {
	if !h.has(flagPadded) {
		return p, true
	}
	if len(p) < 1 || int(p[0]) >= len(p) {
		return nil, false
	}
	return p[1 : len(p)-int(p[0])], true
}

// budget is a token bucket that limits events which cost the node more than the peer.
type budget struct {
	name      string  // of the flood code in the log
	burst     float64 // events that may come at once
	perSecond float64 // events that are restored each second
	spent     float64 // events not yet restored
	last      float64 // time of the last event, Unix ms
}

// spend takes one event from the budget. It returns false if none is left.
func (b *budget) spend(now float64) bool {
	b.spent = max(0, b.spent-(now-b.last)/1000*b.perSecond)
	b.last = now
	b.spent++
	return b.spent <= b.burst
}

// earn gives back events that the node's own frames make the peer send.
func (b *budget) earn(events float64) { b.spent = max(0, b.spent-events) }

// code returns the reason for closing the connection when the budget is exhausted.
func (b *budget) code() string { return fmt.Sprintf("flood-%s", b.name) }
