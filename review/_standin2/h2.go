package main

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"golang.org/x/net/http2/hpack"
)

// gateway is a gateway's connection of HTTP/2 without TLS. It returns the room of what it has read after roundTrip, as a
// gateway in the other data centre does.
type gateway struct {
	w         *world
	reg       *registry
	name      string
	conn      net.Conn
	roundTrip time.Duration

	mu       sync.Mutex // guards the fields below, and writes
	enc      *hpack.Encoder
	encoded  bytes.Buffer
	next     uint32
	streams  map[uint32]*h2stream
	limit    int       // streams that may be open at a time, by the settings of the node
	goAways  []uint32  // the last stream that each GOAWAY has named
	closedAt time.Time // zero: it goes on
	closed   chan struct{}
	endErr   error
}

// h2stream is one request and its answer.
type h2stream struct {
	id      uint32
	reqID   string
	class   string
	written time.Time
	due     time.Time
	status  string
	body    []byte
	whole   bool
	reset   bool
	resetBy uint32
	ended   chan struct{}
}

const (
	frameData         = 0
	frameHeaders      = 1
	frameRstStream    = 3
	frameSettings     = 4
	framePing         = 6
	frameGoAway       = 7
	frameWindowUpdate = 8

	settingMaxConcurrentStreams = 3
	settingInitialWindowSize    = 4

	codeRefusedStream = 7
	codeCancel        = 8
)

func frame(kind, flags byte, stream uint32, payload []byte) []byte {
	b := []byte{byte(len(payload) >> 16), byte(len(payload) >> 8), byte(len(payload)), kind, flags}
	b = binary.BigEndian.AppendUint32(b, stream)
	return append(b, payload...)
}

// dialGateway connects. window is the size of a stream's window that the gateway names in its settings.
func dialGateway(w *world, reg *registry, name, addr string, window uint32, roundTrip time.Duration) (*gateway, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	g := &gateway{w: w, reg: reg, name: name, conn: c, roundTrip: roundTrip, next: 1, streams: map[uint32]*h2stream{}, limit: 1,
		closed: make(chan struct{})}
	g.enc = hpack.NewEncoder(&g.encoded)
	setting := binary.BigEndian.AppendUint32([]byte{0, settingInitialWindowSize}, window)
	c.Write(append([]byte("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"), frame(frameSettings, 0, 0, setting)...))
	go g.read()
	return g, nil
}

func (g *gateway) write(b []byte) error {
	g.conn.SetWriteDeadline(time.Now().Add(time.Second))
	_, err := g.conn.Write(b)
	return err
}

// read reads frames until the connection ends.
func (g *gateway) read() {
	dec := hpack.NewDecoder(4096, nil)
	var err error
	for {
		head := make([]byte, 9)
		if _, err = io.ReadFull(g.conn, head); err != nil {
			break
		}
		p := make([]byte, int(head[0])<<16|int(head[1])<<8|int(head[2]))
		if _, err = io.ReadFull(g.conn, p); err != nil {
			break
		}
		stream := binary.BigEndian.Uint32(head[5:]) & (1<<31 - 1)
		g.mu.Lock()
		g.handle(dec, head[3], head[4], stream, p)
		g.mu.Unlock()
	}
	g.mu.Lock()
	g.endErr, g.closedAt = err, time.Now()
	g.w.log("gateway %s: the connection has ended: %v", g.name, err)
	for _, s := range g.streams {
		if !s.whole && !s.reset {
			g.reg.end(s.reqID)
			close(s.ended)
		}
	}
	close(g.closed)
	g.mu.Unlock()
	g.conn.Close()
}

func (g *gateway) handle(dec *hpack.Decoder, kind, flags byte, stream uint32, p []byte) {
	s := g.streams[stream]
	switch kind {
	case frameSettings:
		if flags&1 == 0 {
			for ; len(p) >= 6; p = p[6:] {
				if binary.BigEndian.Uint16(p) == settingMaxConcurrentStreams {
					g.limit = int(binary.BigEndian.Uint32(p[2:]))
				}
			}
			g.write(frame(frameSettings, 1, 0, nil))
		}
	case framePing:
		if flags&1 == 0 {
			ack := frame(framePing, 1, 0, p)
			time.AfterFunc(g.roundTrip, func() { g.mu.Lock(); defer g.mu.Unlock(); g.write(ack) })
		}
	case frameGoAway:
		last := binary.BigEndian.Uint32(p) & (1<<31 - 1)
		g.w.log("gateway %s: GOAWAY names stream %d, code %d", g.name, last, binary.BigEndian.Uint32(p[4:]))
		g.goAways = append(g.goAways, last)
	case frameHeaders:
		fields, err := dec.DecodeFull(p)
		if err != nil || s == nil {
			return
		}
		for _, f := range fields {
			if f.Name == ":status" {
				s.status = f.Value
			}
		}
		g.endIf(s, flags)
	case frameData:
		if s == nil {
			return
		}
		s.body = append(s.body, p...)
		if n := uint32(len(p)); n > 0 {
			update := binary.BigEndian.AppendUint32(nil, n)
			last := flags&1 != 0
			time.AfterFunc(g.roundTrip, func() {
				g.mu.Lock()
				defer g.mu.Unlock()
				b := frame(frameWindowUpdate, 0, 0, update)
				if !last && !s.reset {
					b = append(b, frame(frameWindowUpdate, 0, stream, update)...)
				}
				g.write(b)
			})
		}
		g.endIf(s, flags)
	case frameRstStream:
		if s != nil && !s.whole && !s.reset {
			s.reset, s.resetBy = true, binary.BigEndian.Uint32(p)
			g.reg.end(s.reqID)
			close(s.ended)
		}
	}
}

func (g *gateway) endIf(s *h2stream, flags byte) {
	if flags&1 != 0 && !s.whole && !s.reset {
		s.whole = true
		g.reg.end(s.reqID)
		close(s.ended)
	}
}

// mayOpen reports whether another stream may be opened now: the connection goes on, no GOAWAY has come, and there is room.
func (g *gateway) mayOpen() (open, room bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, s := range g.streams {
		if !s.whole && !s.reset {
			n++
		}
	}
	return g.closedAt.IsZero() && len(g.goAways) == 0, n < g.limit
}

// giveUp resets a stream whose caller is gone, unless it has its answer. It reports whether it did.
func (g *gateway) giveUp(s *h2stream) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s.whole || s.reset || !g.closedAt.IsZero() {
		return false
	}
	g.write(frame(frameRstStream, 0, s.id, binary.BigEndian.AppendUint32(nil, codeCancel)))
	s.reset, s.resetBy = true, codeCancel
	g.reg.end(s.reqID)
	close(s.ended)
	return true
}

// isNamed reports whether a GOAWAY says that a stream was not processed.
func (g *gateway) isNamed(s *h2stream) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, last := range g.goAways {
		if s.id > last {
			return true
		}
	}
	return false
}

// send opens a stream with a request. It returns nil if the connection has ended.
func (g *gateway) send(class, token, body string, wait time.Duration) *h2stream {
	id := newID()
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.closedAt.IsZero() {
		return nil
	}
	g.reg.book(id, class, token, body)
	now := time.Now()
	s := &h2stream{id: g.next, reqID: id, class: class, due: now.Add(wait), ended: make(chan struct{})}
	g.next += 2
	g.encoded.Reset()
	fields := []hpack.HeaderField{{Name: ":method", Value: "POST"}, {Name: ":scheme", Value: "http"},
		{Name: ":authority", Value: "node"}, {Name: ":path", Value: "/rpc/" + class}, {Name: "req-id", Value: id},
		{Name: "req-time", Value: fmt.Sprint(now.UnixMilli())}, {Name: "req-from", Value: "7"},
		{Name: "req-wait-ms", Value: fmt.Sprint(wait.Milliseconds())}, {Name: "req-kb", Value: "30.0"},
		{Name: "req-rank", Value: "0.5000"}, {Name: "content-length", Value: fmt.Sprint(len(body))}}
	if token != "" {
		fields = append(fields, hpack.HeaderField{Name: "req-token", Value: token})
	}
	for _, f := range fields {
		g.enc.WriteField(f)
	}
	g.streams[s.id] = s
	b := frame(frameHeaders, 4, s.id, bytes.Clone(g.encoded.Bytes()))
	if err := g.write(append(b, frame(frameData, 1, s.id, []byte(body))...)); err != nil {
		g.w.log("gateway %s: stream %d could not be written: %v", g.name, s.id, err)
		delete(g.streams, s.id)
		return nil
	}
	s.written = time.Now()
	return s
}
