package h2

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"whinrudder/internal/core"
	"whinrudder/internal/front"
	"whinrudder/internal/fronttest"
)

var testValidator = fronttest.NewValidator()

// peer is a client whose frames are fed directly to a Conn.
type peer struct {
	conn    *Conn
	now     float64
	out     bytes.Buffer // frames not yet fed
	framer  *http2.Framer
	enc     *hpack.Encoder
	encoded bytes.Buffer // output of enc
	dec     *hpack.Decoder
}

func newPeer() *peer {
	p := &peer{conn: New(testValidator, 1000), now: 1000, dec: hpack.NewDecoder(4096, nil)}
	p.framer = http2.NewFramer(&p.out, nil)
	p.framer.AllowIllegalWrites = true
	p.enc = hpack.NewEncoder(&p.encoded)
	p.out.WriteString(http2.ClientPreface)
	p.framer.WriteSettings()
	return p
}

const get = ":method=GET :scheme=http :path=/health"
const post = ":method=POST :scheme=http :path=/rpc/status req-id=00000000000000a1 req-time=1000 req-from=1 req-wait-ms=2000 req-kb=1 req-rank=0"

// block encodes a list of fields of the form name=value, separated by spaces.
func (p *peer) block(list string) []byte {
	p.encoded.Reset()
	for _, field := range strings.Fields(list) {
		i := 1 + strings.IndexByte(field[1:], '=')
		p.enc.WriteField(hpack.HeaderField{Name: field[:i], Value: field[i+1:]})
	}
	return bytes.Clone(p.encoded.Bytes())
}

func (p *peer) headers(id uint32, endStream bool, list string) {
	p.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: p.block(list), EndStream: endStream, EndHeaders: true})
}

// feed feeds the written frames to the connection and returns the frames that it sends, each as a line of text.
func (p *peer) feed() []string {
	p.conn.Feed(p.now, p.out.Bytes())
	p.out.Reset()
	return p.readFrames()
}

// readFrames returns the frames that the connection sends, each as a line of text.
func (p *peer) readFrames() (frames []string) {
	r := http2.NewFramer(nil, bytes.NewReader(p.conn.AppendOutput(p.now, nil)))
	r.ReadMetaHeaders = p.dec
	for {
		f, err := r.ReadFrame()
		if err != nil {
			return frames
		}
		switch f := f.(type) {
		case *http2.MetaHeadersFrame:
			frames = append(frames, fmt.Sprintf("headers %d %s end=%t", f.StreamID, f.PseudoValue("status"), f.StreamEnded()))
		case *http2.DataFrame:
			frames = append(frames, fmt.Sprintf("data %d %d end=%t", f.StreamID, len(f.Data()), f.StreamEnded()))
		case *http2.RSTStreamFrame:
			frames = append(frames, fmt.Sprintf("rst %d %v", f.StreamID, f.ErrCode))
		case *http2.GoAwayFrame:
			frames = append(frames, fmt.Sprintf("goaway %d %v", f.LastStreamID, f.ErrCode))
		case *http2.SettingsFrame:
			if v, ok := f.Value(http2.SettingMaxConcurrentStreams); ok {
				frames = append(frames, fmt.Sprintf("settings streams=%d", v))
			}
		case *http2.PingFrame:
			frames = append(frames, fmt.Sprintf("ping ack=%t", f.IsAck()))
		case *http2.WindowUpdateFrame:
			frames = append(frames, fmt.Sprintf("update %d %d", f.StreamID, f.Increment))
		}
	}
}

// events returns the new events for the core.
func (p *peer) events() (events []front.Event) {
	for {
		e, ok := p.conn.Next(p.now)
		if !ok {
			return events
		}
		events = append(events, e)
	}
}

// Each case sends a protocol violation, or a valid but unusual frame, after both sides have exchanged settings. It
// compares the frames that the connection sends with the error codes that RFC 9113 demands, and the code for the log
// if the connection closes. The numbers in the names are sections of RFC 9113, or of RFC 7541 after "hpack".
func TestProtocolViolations(t *testing.T) {
	raw := func(p *peer, kind, flags byte, id uint32, payload ...byte) {
		p.out.Write(append(appendFrameHeader(nil, len(payload), kind, flags, id), payload...))
	}
	zeros := func(n int) []byte { return make([]byte, n) }
	for _, c := range []struct {
		name string
		send func(p *peer)
		want []string
		code string // empty if the connection stays open
	}{
		{"unknown frame type (4.1)", func(p *peer) { raw(p, 0x16, 0, 0, 1); p.framer.WritePing(false, [8]byte{}) }, []string{"ping ack=true"}, ""},
		{"frame too long (4.2)", func(p *peer) { raw(p, 0, 0, 1, zeros(16385)...) }, []string{"goaway 0 FRAME_SIZE_ERROR"}, "long-frame"},
		{"bad block (4.3)", func(p *peer) { raw(p, 1, 5, 1, 0xff, 0xff, 0xff) }, []string{"goaway 0 COMPRESSION_ERROR"}, "bad-hpack"},
		{"frame within a block (4.3)", func(p *peer) {
			raw(p, 1, 1, 1, p.block(get)...)
			p.framer.WritePing(false, [8]byte{})
		}, []string{"goaway 0 PROTOCOL_ERROR"}, "bad-continuation"},
		{"DATA on an idle stream (5.1)", func(p *peer) { p.framer.WriteData(1, true, nil) }, []string{"goaway 0 PROTOCOL_ERROR"}, "idle-stream"},
		{"RST_STREAM on an idle stream (5.1)", func(p *peer) { p.framer.WriteRSTStream(1, 8) }, []string{"goaway 0 PROTOCOL_ERROR"}, "idle-stream"},
		{"WINDOW_UPDATE on an idle stream (5.1)", func(p *peer) { p.framer.WriteWindowUpdate(1, 8) }, []string{"goaway 0 PROTOCOL_ERROR"}, "idle-stream"},
		{"CONTINUATION on an idle stream (5.1)", func(p *peer) { p.framer.WriteContinuation(1, true, nil) }, []string{"goaway 0 PROTOCOL_ERROR"}, "bad-continuation"},
		{"DATA after END_STREAM (5.1)", func(p *peer) { p.headers(1, true, post); p.framer.WriteData(1, true, nil) }, []string{"rst 1 STREAM_CLOSED"}, ""},
		{"HEADERS after END_STREAM (5.1)", func(p *peer) { p.headers(1, true, post); p.headers(1, true, get) }, []string{"rst 1 STREAM_CLOSED"}, ""},
		{"PRIORITY on any stream (5.1)", func(p *peer) { raw(p, 2, 0, 9, 0, 0, 0, 1, 0); p.headers(1, true, ":method=GET :scheme=http :path=/x") },
			[]string{"headers 1 404 end=false", "data 1 0 end=true"}, ""},
		{"DATA after RST_STREAM (5.1)", func(p *peer) {
			p.headers(1, false, post)
			p.framer.WriteRSTStream(1, 8)
			p.framer.WriteData(1, true, nil)
		},
			[]string{"rst 1 STREAM_CLOSED"}, ""},
		{"HEADERS after RST_STREAM (5.1)", func(p *peer) { p.headers(1, false, post); p.framer.WriteRSTStream(1, 8); p.headers(1, true, get) },
			[]string{"rst 1 STREAM_CLOSED"}, ""},
		{"even id (5.1.1)", func(p *peer) { p.headers(2, true, get) }, []string{"goaway 0 PROTOCOL_ERROR"}, "bad-stream"},
		{"lower id (5.1.1)", func(p *peer) { p.headers(5, true, get); p.headers(3, true, get) }, []string{"goaway 5 PROTOCOL_ERROR"}, "bad-stream"},
		{"depends on itself", func(p *peer) { raw(p, 1, 0x25, 1, append([]byte{0, 0, 0, 1, 0}, p.block(get)...)...) },
			[]string{"rst 1 PROTOCOL_ERROR"}, ""},
		{"DATA on stream 0 (6.1)", func(p *peer) { raw(p, 0, 0, 0, 1) }, []string{"goaway 0 PROTOCOL_ERROR"}, "bad-stream"},
		{"padding over the frame (6.1)", func(p *peer) { p.headers(1, false, post); raw(p, 0, 8, 1, 9, 1) }, []string{"goaway 1 PROTOCOL_ERROR"}, "bad-padding"},
		{"HEADERS on stream 0 (6.2)", func(p *peer) { raw(p, 1, 5, 0) }, []string{"goaway 0 PROTOCOL_ERROR"}, "bad-stream"},
		{"HEADERS padding (6.2)", func(p *peer) { raw(p, 1, 13, 1, 9, 1) }, []string{"goaway 0 PROTOCOL_ERROR"}, "bad-padding"},
		{"PRIORITY on stream 0 (6.3)", func(p *peer) { raw(p, 2, 0, 0, zeros(5)...) }, []string{"goaway 0 PROTOCOL_ERROR"}, "bad-stream"},
		{"PRIORITY of 4 bytes (6.3)", func(p *peer) { p.headers(1, false, post); raw(p, 2, 0, 1, zeros(4)...) }, []string{"rst 1 FRAME_SIZE_ERROR"}, ""},
		{"RST_STREAM on stream 0 (6.4)", func(p *peer) { raw(p, 3, 0, 0, zeros(4)...) }, []string{"goaway 0 PROTOCOL_ERROR"}, "bad-stream"},
		{"RST_STREAM of 3 bytes (6.4)", func(p *peer) { p.headers(1, false, post); raw(p, 3, 0, 1, zeros(3)...) }, []string{"goaway 1 FRAME_SIZE_ERROR"}, "bad-size"},
		{"SETTINGS ACK with a payload (6.5)", func(p *peer) { raw(p, 4, 1, 0, 1) }, []string{"goaway 0 FRAME_SIZE_ERROR"}, "bad-size"},
		{"SETTINGS on a stream (6.5)", func(p *peer) { raw(p, 4, 0, 1) }, []string{"goaway 0 PROTOCOL_ERROR"}, "bad-stream"},
		{"SETTINGS of 5 bytes (6.5)", func(p *peer) { raw(p, 4, 0, 0, zeros(5)...) }, []string{"goaway 0 FRAME_SIZE_ERROR"}, "bad-size"},
		{"ENABLE_PUSH 2 (6.5.2)", func(p *peer) { p.framer.WriteSettings(http2.Setting{ID: 2, Val: 2}) }, []string{"goaway 0 PROTOCOL_ERROR"}, "bad-setting"},
		{"INITIAL_WINDOW_SIZE 2^31 (6.5.2)", func(p *peer) { p.framer.WriteSettings(http2.Setting{ID: 4, Val: 1 << 31}) }, []string{"goaway 0 FLOW_CONTROL_ERROR"}, "bad-setting"},
		{"MAX_FRAME_SIZE 16383 (6.5.2)", func(p *peer) { p.framer.WriteSettings(http2.Setting{ID: 5, Val: 16383}) }, []string{"goaway 0 PROTOCOL_ERROR"}, "bad-setting"},
		{"MAX_FRAME_SIZE 2^24 (6.5.2)", func(p *peer) { p.framer.WriteSettings(http2.Setting{ID: 5, Val: 1 << 24}) }, []string{"goaway 0 PROTOCOL_ERROR"}, "bad-setting"},
		{"unknown setting (6.5.2)", func(p *peer) {
			p.framer.WriteSettings(http2.Setting{ID: 0xff, Val: 1})
			p.framer.WritePing(false, [8]byte{})
		}, []string{"ping ack=true"}, ""},
		{"PUSH_PROMISE (6.6)", func(p *peer) { raw(p, 5, 4, 1, zeros(4)...) }, []string{"goaway 0 PROTOCOL_ERROR"}, "bad-push"},
		{"PING ACK unasked (6.7)", func(p *peer) { p.framer.WritePing(true, [8]byte{}) }, nil, ""},
		{"PING on a stream (6.7)", func(p *peer) { raw(p, 6, 0, 1, zeros(8)...) }, []string{"goaway 0 PROTOCOL_ERROR"}, "bad-stream"},
		{"PING of 6 bytes (6.7)", func(p *peer) { raw(p, 6, 0, 0, zeros(6)...) }, []string{"goaway 0 FRAME_SIZE_ERROR"}, "bad-size"},
		{"GOAWAY on a stream (6.8)", func(p *peer) { raw(p, 7, 0, 1, zeros(8)...) }, []string{"goaway 0 PROTOCOL_ERROR"}, "bad-stream"},
		{"WINDOW_UPDATE of 0 (6.9)", func(p *peer) { raw(p, 8, 0, 0, zeros(4)...) }, []string{"goaway 0 PROTOCOL_ERROR"}, "bad-update"},
		{"WINDOW_UPDATE of 0 on a stream (6.9)", func(p *peer) { p.headers(1, false, post); raw(p, 8, 0, 1, zeros(4)...) }, []string{"rst 1 PROTOCOL_ERROR"}, ""},
		{"WINDOW_UPDATE of 3 bytes (6.9)", func(p *peer) { raw(p, 8, 0, 0, zeros(3)...) }, []string{"goaway 0 FRAME_SIZE_ERROR"}, "bad-size"},
		{"window over 2^31-1 (6.9.1)", func(p *peer) { p.framer.WriteWindowUpdate(0, maxUint31) }, []string{"goaway 0 FLOW_CONTROL_ERROR"}, "flow-control"},
		{"stream window over 2^31-1 (6.9.1)", func(p *peer) { p.headers(1, false, post); p.framer.WriteWindowUpdate(1, maxUint31) }, []string{"rst 1 FLOW_CONTROL_ERROR"}, ""},
		{"CONTINUATION after END_HEADERS (6.10)", func(p *peer) { p.headers(1, false, post); p.framer.WriteContinuation(1, true, nil) },
			[]string{"goaway 1 PROTOCOL_ERROR"}, "bad-continuation"},
		{"trailers that don't end (8.1)", func(p *peer) { p.headers(1, false, post); p.headers(1, false, "x=1") }, []string{"rst 1 PROTOCOL_ERROR"}, ""},
		{"pseudo field in trailers (8.1)", func(p *peer) { p.headers(1, false, post); p.headers(1, true, ":method=GET") }, []string{"rst 1 PROTOCOL_ERROR"}, ""},
		{"upper case (8.2.1)", func(p *peer) { p.headers(1, true, get+" X-Test=1") }, []string{"rst 1 PROTOCOL_ERROR"}, ""},
		{"unknown pseudo field (8.3)", func(p *peer) { p.headers(1, true, get+" :test=1") }, []string{"rst 1 PROTOCOL_ERROR"}, ""},
		{"response pseudo field (8.3)", func(p *peer) { p.headers(1, true, get+" :status=200") }, []string{"rst 1 PROTOCOL_ERROR"}, ""},
		{"pseudo field after others (8.3)", func(p *peer) { p.headers(1, true, ":method=GET :scheme=http x=1 :path=/") }, []string{"rst 1 PROTOCOL_ERROR"}, ""},
		{"connection (8.2.2)", func(p *peer) { p.headers(1, true, get+" connection=keep-alive") }, []string{"rst 1 PROTOCOL_ERROR"}, ""},
		{"te (8.2.2)", func(p *peer) { p.headers(1, true, get+" te=trailers,deflate") }, []string{"rst 1 PROTOCOL_ERROR"}, ""},
		{"empty path (8.3.1)", func(p *peer) { p.headers(1, true, ":method=GET :scheme=http :path=") }, []string{"rst 1 PROTOCOL_ERROR"}, ""},
		{"no method (8.3.1)", func(p *peer) { p.headers(1, true, ":scheme=http :path=/") }, []string{"rst 1 PROTOCOL_ERROR"}, ""},
		{"two paths (8.3.1)", func(p *peer) { p.headers(1, true, get+" :path=/") }, []string{"rst 1 PROTOCOL_ERROR"}, ""},
		{"less DATA than content-length (8.1.1)", func(p *peer) { p.headers(1, false, post+" content-length=9"); p.framer.WriteData(1, true, []byte("x")) },
			[]string{"rst 1 PROTOCOL_ERROR"}, ""},
		{"more DATA than content-length (8.1.1)", func(p *peer) {
			p.headers(1, false, post+" content-length=1")
			p.framer.WriteData(1, false, []byte("xx"))
		},
			[]string{"rst 1 PROTOCOL_ERROR"}, ""},
		{"body over 2 KiB", func(p *peer) { p.headers(1, false, post); p.framer.WriteData(1, false, zeros(3000)) },
			[]string{"headers 1 413 end=false", "data 1 0 end=true", "rst 1 NO_ERROR"}, ""},
		{"stream window ignored (6.9.1)", func(p *peer) {
			p.headers(1, false, post)
			for range 3 {
				p.framer.WriteData(1, false, zeros(16384))
			}
		}, []string{"update 0 49152", "rst 1 FLOW_CONTROL_ERROR"}, ""},
		{"head over 8 KiB", func(p *peer) { p.headers(1, true, get+" x="+strings.Repeat("y", 9000)) }, []string{"headers 1 431 end=false", "data 1 0 end=true"}, ""},
		{"PRIORITY of a wrong size on a closed stream (6.3)", func(p *peer) {
			p.headers(1, true, get+"none")
			p.feed()
			raw(p, 2, 0, 1, 0, 0, 0, 0)
		}, []string{"goaway 1 FRAME_SIZE_ERROR"}, "bad-priority"},
		{"table size over the limit (hpack 6.3)", func(p *peer) { raw(p, 1, 5, 1, append([]byte{0x3f, 0xe2, 0x1f}, p.block(get)...)...) },
			[]string{"goaway 0 COMPRESSION_ERROR"}, "bad-hpack"},
		{"table size after a field (hpack 4.2)", func(p *peer) { raw(p, 1, 5, 1, append(p.block(get), 0x20)...) }, []string{"goaway 0 COMPRESSION_ERROR"}, "bad-hpack"},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newPeer()
			p.feed()
			c.send(p)
			if diff := cmp.Diff(c.want, p.feed()); diff != "" {
				t.Errorf("frames differ (-want +got):\n%s", diff)
			}
			if code, _ := p.conn.CloseReason(); code != c.code {
				t.Errorf("got close code %q, want %q", code, c.code)
			}
		})
	}
}

// The stream limit follows the credit. A lower limit takes effect when the peer acknowledges it; streams over the limit
// are refused and do not reach the core.
func TestStreamLimitFollowsCredit(t *testing.T) {
	p := newPeer()
	if diff := cmp.Diff([]string{"settings streams=16"}, p.feed()); diff != "" {
		t.Errorf("frames differ (-want +got):\n%s", diff)
	}
	p.framer.WriteSettingsAck()
	p.headers(1, true, get)
	p.feed()
	if got := p.events(); len(got) != 1 {
		t.Fatalf("got %d events, want 1: %v", len(got), got)
	}
	p.conn.Answer(p.now, 1, core.Answer{Credit: 1.5})
	if diff := cmp.Diff([]string{"settings streams=2", "headers 1 200 end=false", "data 1 0 end=true"}, p.readFrames()); diff != "" {
		t.Errorf("frames differ (-want +got):\n%s", diff)
	}
	for id := uint32(3); id < 9; id += 2 { // in flight when the limit was lowered
		p.headers(id, true, get)
	}
	if got := p.feed(); len(got) != 0 {
		t.Errorf("got %v before the peer acknowledged the limit, want no frames", got)
	}
	p.framer.WriteSettingsAck()
	p.headers(9, true, get)
	if diff := cmp.Diff([]string{"rst 9 REFUSED_STREAM"}, p.feed()); diff != "" {
		t.Errorf("frames differ (-want +got):\n%s", diff)
	}
	if got := p.events(); len(got) != 3 {
		t.Errorf("got %d events, want 3 requests: %v", len(got), got)
	}
}

// Health checks and faults are answered at once, so that none is open when the next one comes. Those of the last 100 ms
// therefore count against the stream limit together. They do not delay valid requests.
func TestChecksAndFaultsAreLimitedTogether(t *testing.T) {
	p := newPeer()
	p.framer.WriteSettingsAck()
	p.feed()
	id := uint32(1)
	ask := func(list string) []string {
		p.headers(id, true, list)
		id += 2
		frames := p.feed()
		for _, e := range p.events() {
			if e.Code == "" {
				p.conn.Answer(p.now, e.Tag, core.Answer{Credit: -1})
			}
		}
		return append(frames, p.readFrames()...)
	}
	for i := range initialStreams {
		list := get
		if i%2 == 0 {
			list = get + "none"
		}
		if got := ask(list); len(got) != 2 {
			t.Fatalf("message %d: got frames %v, want 2", i, got)
		}
	}
	if diff := cmp.Diff([]string{"rst 33 REFUSED_STREAM"}, ask(get)); diff != "" {
		t.Errorf("health check over the limit: frames differ (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]string{"headers 35 200 end=false", "data 35 0 end=true"}, ask(post)); diff != "" {
		t.Errorf("request: frames differ (-want +got):\n%s", diff)
	}
	p.now += smallWindowMs
	if diff := cmp.Diff([]string{"headers 37 200 end=false", "data 37 0 end=true"}, ask(get)); diff != "" {
		t.Errorf("health check 100 ms later: frames differ (-want +got):\n%s", diff)
	}
}

// Answers share the connection in quanta, in turn. An exhausted window blocks only its own stream, and an answer past
// its due time is reset instead of sent.
func TestAnswersTakeTurns(t *testing.T) {
	p := newPeer()
	p.framer.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 2000})
	for id := uint32(1); id < 6; id += 2 {
		p.headers(id, true, strings.Replace(post, "a1", fmt.Sprintf("a%d", id), 1))
	}
	p.feed()
	p.events()
	for id := uint32(1); id < 6; id += 2 {
		p.conn.Answer(p.now, id, core.Answer{ID: "x", Credit: 16, Result: make([]byte, 1500*id)})
	}
	if diff := cmp.Diff([]string{"headers 1 200 end=false", "data 1 1024 end=false", "headers 3 200 end=false", "data 3 1024 end=false",
		"headers 5 200 end=false", "data 5 1024 end=false", "data 1 476 end=true", "data 3 976 end=false", "data 5 976 end=false"},
		p.readFrames()); diff != "" {
		t.Errorf("frames differ (-want +got):\n%s", diff)
	}
	p.framer.WriteWindowUpdate(5, 1)
	if diff := cmp.Diff([]string{"data 5 1 end=false"}, p.feed()); diff != "" {
		t.Errorf("frames differ (-want +got):\n%s", diff)
	}
	p.now = p.conn.NextDeadline(30000)
	p.conn.HandleDeadline(p.now, 30000)
	if diff := cmp.Diff([]string{"rst 3 CANCEL", "rst 5 CANCEL"}, p.readFrames()); diff != "" || p.now != 3000+answerGraceMs+1 {
		t.Errorf("deadline at %v, want %v; frames differ (-want +got):\n%s", p.now, 3000+answerGraceMs+1, diff)
	}
}

// A request that is reset before the core has received it never reaches the core. A later reset cancels the request
// once, and the core's answer is not sent.
func TestResetBeforeAndAfterDelivery(t *testing.T) {
	p := newPeer()
	p.headers(1, true, post)
	p.framer.WriteRSTStream(1, http2.ErrCodeCancel)
	p.feed()
	if got := p.events(); len(got) != 0 {
		t.Errorf("got events %v for a request reset before delivery, want none", got)
	}
	p.headers(3, true, post)
	p.feed()
	p.events()
	p.framer.WriteRSTStream(3, http2.ErrCodeCancel)
	p.feed()
	if got := p.events(); len(got) != 1 || !got[0].Cancelled || got[0].Tag != 3 {
		t.Errorf("got events %v, want one cancellation of stream 3", got)
	}
	p.conn.Answer(p.now, 3, core.Answer{ID: "x", Credit: 1})
	if got := p.readFrames(); len(got) > 0 && strings.HasPrefix(got[0], "headers") {
		t.Errorf("got an answer on a reset stream: %v", got)
	}
}

// FuzzConn checks for arbitrary input that the connection does not panic, that its close code does not depend on how
// the bytes are split, and that it stays within its limits.
func FuzzConn(f *testing.F) {
	p := newPeer()
	p.headers(1, false, post)
	p.framer.WriteData(1, true, []byte("body"))
	p.headers(3, true, get)
	p.framer.WriteSettings(http2.Setting{ID: 4, Val: 1})
	p.framer.WriteWindowUpdate(0, 99)
	p.framer.WritePing(false, [8]byte{})
	p.framer.WriteRSTStream(1, 8)
	f.Add(bytes.Clone(p.out.Bytes()))
	f.Add([]byte(http2.ClientPreface))
	f.Fuzz(func(t *testing.T, b []byte) {
		if len(b) > 1<<16 {
			return
		}
		codes := map[string]bool{}
		for _, pieceSize := range []int{len(b) + 1, 7} {
			c := New(testValidator, 1000)
			for rest := b; len(rest) > 0; {
				n := min(pieceSize, len(rest))
				c.Feed(1000, rest[:n])
				rest = rest[n:]
			}
			for {
				e, ok := c.Next(1000)
				if !ok {
					break
				}
				if e.Code == "" && !e.Cancelled {
					c.Answer(1000, e.Tag, core.Answer{Credit: 4, Result: make([]byte, 3000)})
				}
			}
			c.AppendOutput(1000, nil)
			c.HandleDeadline(c.NextDeadline(100), 100)
			c.StartDrain(5000)
			c.AppendOutput(5000, nil)
			if len(c.streams) > MaxStreams || c.in.Len() > minFrameBytes+frameHeaderBytes+4096 || len(c.closedIDs) > maxClosedStreams {
				t.Fatalf("limits exceeded: %d streams, %d buffered bytes, %d remembered closed streams", len(c.streams), c.in.Len(), len(c.closedIDs))
			}
			code, _ := c.CloseReason()
			codes[code] = true
		}
		if len(codes) > 1 && !codes["close"] {
			t.Fatalf("the close code depends on how the input is split: %v", codes)
		}
	})
}
