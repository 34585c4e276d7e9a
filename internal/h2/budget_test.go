package h2

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"golang.org/x/net/http2"

	"whinrudder/internal/core"
)

// flood exhausts one budget of a connection.
type flood struct {
	code string // of the log
	send func(p *peer)
}

// floods returns a flood of each kind. The streams above 1 are theirs.
func floods() []flood {
	repeat := func(n int, send func(p *peer, i int)) func(p *peer) {
		return func(p *peer) {
			for i := range n {
				send(p, i)
			}
		}
	}
	id := func(i int) uint32 { return uint32(3 + 2*i) }
	return []flood{
		{"flood-ping", repeat(200, func(p *peer, _ int) { p.framer.WritePing(false, [8]byte{}) })},
		{"flood-settings", repeat(200, func(p *peer, _ int) { p.framer.WriteSettings() })},
		{"flood-empty", func(p *peer) {
			p.headers(3, false, post)
			repeat(200, func(p *peer, _ int) { p.framer.WriteData(3, false, nil) })(p)
		}},
		{"flood-update", repeat(4000, func(p *peer, _ int) { p.framer.WriteWindowUpdate(0, 1) })},
		{"flood-priority", repeat(600, func(p *peer, _ int) { p.framer.WritePriority(9, http2.PriorityParam{}) })},
		{"flood-unknown", repeat(200, func(p *peer, _ int) { p.framer.WriteRawFrame(0x42, 0, 0, nil) })},
		{"flood-reset", repeat(400, func(p *peer, i int) { p.headers(id(i), true, post); p.framer.WriteRSTStream(id(i), 8) })},
		{"flood-refused", repeat(400, func(p *peer, i int) { p.headers(id(i), true, post) })},
		{"flood-fault", repeat(400, func(p *peer, i int) { p.headers(id(i), true, get+" X-Bad=1") })},
		{"flood-stray", func(p *peer) {
			p.headers(3, true, post)
			p.framer.WriteRSTStream(3, 8)
			repeat(600, func(p *peer, _ int) { p.framer.WriteWindowUpdate(3, 1) })(p)
		}},
		{"flood-continuation", func(p *peer) {
			p.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: 3, BlockFragment: p.block(post)})
			repeat(40, func(p *peer, _ int) { p.framer.WriteContinuation(3, false, []byte{0}) })(p)
			p.framer.WriteContinuation(3, true, nil)
		}},
		{"flood-hpack", func(p *peer) {
			large := p.block("x=" + strings.Repeat("y", 4000))
			p.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: 3, EndHeaders: true, EndStream: true,
				BlockFragment: append(large, bytesOf(0xbe, 100)...)})
		}},
		{"slow", func(p *peer) {
			p.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: 3, BlockFragment: p.block(post)})
			p.feed()
			p.now += requestTimeoutMs
			p.conn.HandleDeadline(p.now, 30000)
			p.framer.WriteContinuation(3, true, nil)
		}},
		{"settings-timeout", func(p *peer) {
			p.now = 1000 + settingsAckTimeoutMs
			p.conn.HandleDeadline(p.now, 30000)
		}},
	}
}

// bytesOf returns a slice of n equal bytes.
func bytesOf(b byte, n int) []byte { return slices.Repeat([]byte{b}, n) }

// longPost is a request whose caller waits for longer than any flood of the test lasts.
var longPost = strings.Replace(post, "req-wait-ms=2000", "req-wait-ms=9000", 1)

// newPeerAtWork returns a peer that has had its connection for some seconds and has a request in progress on stream 1.
func newPeerAtWork() *peer {
	p := newPeer()
	p.feed()
	p.now += 4500
	p.headers(1, true, longPost)
	p.feed()
	return p
}

// Guards against requests that are lost because another user of their connection exhausts one of its budgets (review/7): the
// streams that are open are answered before the connection ends, and further ones are not run.
func TestExhaustedBudgetKeepsOpenStreams(t *testing.T) {
	for _, f := range floods() {
		t.Run(f.code, func(t *testing.T) {
			p := newPeerAtWork()
			if got := p.events(); len(got) != 1 {
				t.Fatalf("got events %v, want a request", got)
			}
			f.send(p)
			frames := p.feed()
			if !slices.ContainsFunc(frames, func(s string) bool { return strings.HasPrefix(s, "goaway") }) {
				t.Errorf("got frames %v, want GOAWAY", frames)
			}
			if code, _ := p.conn.CloseReason(); code != "" {
				t.Fatalf("the connection was closed with %q while a stream is open", code)
			}
			for _, e := range p.events() {
				if e.Request != nil {
					p.conn.Answer(p.now, e.Tag, core.Answer{Credit: -1})
				}
			}
			p.readFrames()
			p.headers(1001, true, post)
			p.feed()
			if got := p.events(); len(got) != 0 {
				t.Errorf("got events %v for a stream above the GOAWAY, want none", got)
			}
			p.conn.Answer(p.now, 1, core.Answer{Credit: -1, Result: []byte("ok")})
			frames = p.readFrames()
			if !slices.Contains(frames, "data 1 2 end=true") {
				t.Errorf("got frames %v, want the answer of stream 1", frames)
			}
			for by := p.now + 20000; p.now < by; p.now += 100 { // what the flood itself left open ends by its deadlines
				p.conn.HandleDeadline(p.now, 30000)
				p.readFrames()
			}
			if code, linger := p.conn.CloseReason(); code != f.code || !linger {
				t.Errorf("closed with %q, want %q once no stream is open", code, f.code)
			}
		})
	}
}

// Guards against a flood that takes the processor while the connection has a stream open: each frame beyond a budget delays
// the next read, but no flood may keep the frames of others out for long.
func TestExcessFramesSlowReadingDown(t *testing.T) {
	for _, f := range floods() {
		p := newPeerAtWork()
		f.send(p)
		p.feed()
		if after := p.conn.ReadAfter(); after <= p.now || after > p.now+2000 {
			t.Errorf("%s: reading goes on after %v ms", f.code, after-p.now)
		}
	}
}

// Guards against a request that is reset as too slow because the node itself reads its connection slowly: only the time in which
// the peer could be read counts. One that does not come is reset all the same.
func TestSlowReadingLeavesTimeForRequests(t *testing.T) {
	p := newPeerAtWork()
	p.headers(3, false, longPost)
	p.headers(5, false, longPost)
	p.feed()
	floods()[0].send(p) // PING
	p.feed()
	for range 10000 {
		p.framer.WritePing(false, [8]byte{})
	}
	p.feed()
	p.now = p.conn.ReadAfter()
	if p.now < 4500+requestTimeoutMs {
		t.Fatalf("reading goes on at %v", p.now)
	}
	p.conn.HandleDeadline(p.now, 30000)
	p.events()
	p.framer.WriteData(3, true, []byte("body"))
	p.feed()
	if got := p.events(); len(got) != 1 || got[0].Tag != 3 || got[0].Request == nil {
		t.Errorf("got events %v, want the request of stream 3", got)
	}
	p.now += requestTimeoutMs + 10
	p.conn.HandleDeadline(p.now, 30000)
	if got := p.readFrames(); !slices.Contains(got, "rst 5 CANCEL") {
		t.Errorf("got frames %v, want a reset of stream 5, whose body does not come", got)
	}
}

// Guards against a gateway that is cut off although it keeps to RFC 9113 (review/7): 150 requests a second, half of the reads
// given up after 40 ms, and answers in full numbers whose windows it gives back frame by frame, also on streams that
// have ended.
func TestBusyGatewayStaysConnected(t *testing.T) {
	p := newPeer()
	p.feed()
	p.framer.WriteSettingsAck()
	given := map[float64]uint32{} // streams to reset, by time
	for i := range 3000 {
		id := uint32(1 + 2*i)
		p.now = 1000 + float64(i)
		if i%7 == 0 { // about 150 a second, of which the core answers none before 100 ms
			p.headers(id, true, longPost)
			if i%14 == 0 {
				given[p.now+40] = id
			}
		} else { // others are answered at once
			p.headers(id, true, post)
		}
		if reset := given[p.now]; reset != 0 {
			p.framer.WriteRSTStream(reset, http2.ErrCodeCancel)
		}
		frames := p.feed()
		for _, e := range p.events() {
			if e.Request != nil && (i%7 != 0 || i%14 != 0) {
				p.conn.Answer(p.now, e.Tag, core.Answer{Credit: 128, Result: make([]byte, 4096)})
			}
		}
		frames = append(frames, p.readFrames()...)
		for _, f := range frames {
			var stream, size uint32
			if n, _ := fmt.Sscanf(f, "data %d %d", &stream, &size); n == 2 && size > 0 {
				p.framer.WriteWindowUpdate(0, size)
				p.framer.WriteWindowUpdate(stream, size)
			}
			if strings.HasPrefix(f, "settings") {
				p.framer.WriteSettingsAck()
			}
			if strings.HasPrefix(f, "goaway") {
				t.Fatalf("after %d requests: %s %v", i, f, p.conn.endCode)
			}
		}
	}
	if code, _ := p.conn.CloseReason(); code != "" {
		t.Errorf("closed with %q", code)
	}
}

// Guards against a connection that ends because of frames that were on their way when the node reset a stream, if the stream
// has been forgotten since.
func TestLateFramesOnForgottenStreams(t *testing.T) {
	p := newPeer()
	p.headers(1, false, post)
	p.framer.WriteData(1, false, make([]byte, 3000))
	p.feed() // 413, and a reset that asks the peer to stop
	for i := range maxClosedStreams + 10 {
		p.now += smallWindowMs
		p.headers(uint32(3+2*i), true, get+"none")
		p.feed()
	}
	p.framer.WriteData(1, false, make([]byte, 100))
	p.headers(1, true, "x=1")
	if got := p.feed(); len(got) != 0 {
		t.Errorf("got %v for late frames, want none", got)
	}
	if code, _ := p.conn.CloseReason(); code != "" {
		t.Errorf("closed with %q", code)
	}
}
