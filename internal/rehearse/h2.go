package rehearse

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// h2Caller is a simple client of HTTP/2 without TLS, on the framer of x/net. It acknowledges settings, answers pings and
// sends window updates on its own, until the step mute. Its steps besides call, check and answer are:
//
//	frame NAME headers ID [end] [part] k=v ..  a list of fields, sent unchanged; part leaves END_HEADERS out
//	frame NAME data ID [end] "BYTES"
//	frame NAME rst ID CODE        CODE is the number of the error code
//	frame NAME settings k=v ..    the keys are the numbers of the settings
//	frame NAME ping, goaway, window ID N, priority ID, continuation ID [end]
//	frame NAME raw "BYTES"
//	flood NAME KIND N             ping, settings, reset, empty (DATA), continuation, hpack, data
//	mute NAME                     from here on it sends no window updates, acknowledges no settings and answers no pings
//	heard NAME WHAT ..            the next frame that is not part of an answer to a call: rst ID CODE, goaway LAST CODE
//	                              or continue ID, the status 100
type h2Caller struct {
	conn            net.Conn
	writeMu         sync.Mutex // guards the writing side of conn and the fields down to block
	blockOpen       bool       // a field block is open: no other frame may be sent in between
	deferredReplies []func()   // replies to the node that wait for the end of the field block
	framer          *http2.Framer
	encoder         *hpack.Encoder
	block           bytes.Buffer
	nextStream      uint32

	mu          sync.Mutex // guards mute and flooded
	mute        bool
	flooded     bool
	answers     chan h2Answer
	otherFrames chan string
}

// h2Answer is one complete answer, or the end of the connection if closeReason is set.
type h2Answer struct {
	fields      map[string]string
	body        []byte
	closeReason string
}

func newH2Caller(c net.Conn) *h2Caller {
	h := &h2Caller{conn: c, nextStream: 1, answers: make(chan h2Answer, 1024), otherFrames: make(chan string, 1024)}
	h.framer = http2.NewFramer(c, c)
	h.framer.AllowIllegalWrites = true
	h.encoder = hpack.NewEncoder(&h.block)
	return h
}

// start sends the preface and a settings frame before the first frame and starts the reader. Later calls do nothing.
func (h *h2Caller) start() {
	if h.nextStream > 1 || h.framer.ReadMetaHeaders != nil {
		return
	}
	h.framer.ReadMetaHeaders = hpack.NewDecoder(4096, nil)
	io.WriteString(h.conn, http2.ClientPreface)
	h.framer.WriteSettings()
	go h.readFrames()
}

// readFrames reads the frames of the node until the connection ends.
func (h *h2Caller) readFrames() {
	open := map[uint32]*h2Answer{}
	done := func(id uint32) {
		h.answers <- *open[id]
		delete(open, id)
	}
	for {
		f, err := h.framer.ReadFrame()
		if err != nil {
			h.answers <- h2Answer{closeReason: describeReadError(err)}
			return
		}
		h.mu.Lock()
		mute, flooded := h.mute, h.flooded
		h.mu.Unlock()
		switch f := f.(type) {
		case *http2.MetaHeadersFrame:
			a := &h2Answer{fields: map[string]string{}}
			for _, k := range f.Fields {
				a.fields[k.Name] = k.Value
			}
			if a.fields[":status"] == "100" {
				h.otherFrames <- fmt.Sprintf("continue %d", f.StreamID)
				continue
			}
			open[f.StreamID] = a
			if f.StreamEnded() {
				done(f.StreamID)
			}
		case *http2.DataFrame:
			if a := open[f.StreamID]; a != nil {
				a.body = append(a.body, f.Data()...)
				if f.StreamEnded() {
					done(f.StreamID)
				}
			}
			if n := uint32(len(f.Data())); n > 0 && !mute {
				h.reply(func() { h.framer.WriteWindowUpdate(0, n) })
			}
		case *http2.SettingsFrame:
			if !f.IsAck() && !mute {
				h.reply(func() { h.framer.WriteSettingsAck() })
			}
		case *http2.PingFrame:
			if !f.IsAck() && !mute {
				h.reply(func() { h.framer.WritePing(true, f.Data) })
			}
		case *http2.RSTStreamFrame:
			h.otherFrames <- fmt.Sprintf("rst %d %d", f.StreamID, f.ErrCode)
		case *http2.GoAwayFrame:
			last := fmt.Sprint(f.LastStreamID)
			if flooded { // how many streams of a flood the node handled depends on timing
				last = "N"
			}
			h.otherFrames <- fmt.Sprintf("goaway %s %d", last, f.ErrCode)
		}
	}
}

// write calls do, which writes frames, with the lock of the writing side held and a write deadline set.
func (h *h2Caller) write(do func()) {
	h.writeMu.Lock()
	defer h.writeMu.Unlock()
	h.conn.SetWriteDeadline(time.Now().Add(stepTimeout))
	do()
}

// reply calls do, which writes a reply to the node, as soon as no field block is open.
func (h *h2Caller) reply(do func()) {
	h.write(func() {
		if h.blockOpen {
			h.deferredReplies = append(h.deferredReplies, do)
			return
		}
		do()
	})
}

// setBlockOpen notes that a field block has begun or ended. At its end it sends the deferred replies. The caller holds
// h.writeMu.
func (h *h2Caller) setBlockOpen(open bool) {
	if h.blockOpen = open; open {
		return
	}
	for _, do := range h.deferredReplies {
		do()
	}
	h.deferredReplies = nil
}

// writeHeaders sends a list of fields on a stream.
func (h *h2Caller) writeHeaders(id uint32, endStream, endHeaders bool, fields [][2]string) {
	h.write(func() {
		h.block.Reset()
		for _, f := range fields {
			h.encoder.WriteField(hpack.HeaderField{Name: f[0], Value: f[1]})
		}
		h.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: h.block.Bytes(),
			EndStream: endStream, EndHeaders: endHeaders})
		h.setBlockOpen(!endHeaders)
	})
}

// request sends a complete request on the next stream.
func (h *h2Caller) request(method, path, query string, fields [][2]string, body string) {
	h.start()
	id := h.nextStream
	h.nextStream += 2
	if query != "" {
		path += "?" + query
	}
	list := [][2]string{{":method", method}, {":scheme", "http"}, {":authority", "api.internal"}, {":path", path}}
	for _, f := range fields {
		list = append(list, [2]string{strings.ToLower(f[0]), f[1]})
	}
	list = append(list, [2]string{"content-length", fmt.Sprint(len(body))})
	h.writeHeaders(id, body == "", true, list)
	if body != "" {
		h.write(func() { h.framer.WriteData(id, true, []byte(body)) })
	}
}

// sendFrame carries out the step frame. text is the line after the caller's name.
func (h *h2Caller) sendFrame(text string) error {
	h.start()
	words := strings.Fields(text)
	if len(words) == 0 {
		return fmt.Errorf("the step frame names no kind of frame")
	}
	number := func(i int) uint32 {
		if i >= len(words) {
			return 0
		}
		n, _ := strconv.ParseUint(words[i], 0, 32)
		return uint32(n)
	}
	end, endHeaders := strings.Contains(text, " end"), !strings.Contains(text, " part")
	quoted := ""
	if i := strings.IndexByte(text, '"'); i >= 0 {
		q, err := strconv.Unquote(text[i:])
		if err != nil {
			return err
		}
		quoted = q
	}
	switch words[0] {
	case "headers":
		var fields [][2]string
		for _, w := range words[2:] {
			if i := strings.IndexByte(w[1:], '='); i >= 0 {
				v := strings.ReplaceAll(w[i+2:], "%TIME%", fmt.Sprint(time.Now().UnixMilli()))
				fields = append(fields, [2]string{w[:i+1], v})
			}
		}
		h.writeHeaders(number(1), end, endHeaders, fields)
		h.nextStream = max(h.nextStream, number(1)+2)
	case "data":
		h.write(func() { h.framer.WriteData(number(1), end, []byte(quoted)) })
	case "rst":
		h.write(func() { h.framer.WriteRSTStream(number(1), http2.ErrCode(number(2))) })
	case "settings":
		var settings []http2.Setting
		for _, w := range words[1:] {
			var id uint16
			var v uint32
			fmt.Sscanf(w, "%d=%d", &id, &v)
			settings = append(settings, http2.Setting{ID: http2.SettingID(id), Val: v})
		}
		h.write(func() { h.framer.WriteSettings(settings...) })
	case "ping":
		h.write(func() { h.framer.WritePing(false, [8]byte{}) })
	case "goaway":
		h.write(func() { h.framer.WriteGoAway(0, 0, nil) })
	case "window":
		h.write(func() { h.framer.WriteWindowUpdate(number(1), number(2)) })
	case "priority":
		h.write(func() { h.framer.WritePriority(number(1), http2.PriorityParam{}) })
	case "continuation":
		h.write(func() { h.framer.WriteContinuation(number(1), end, []byte(quoted)); h.setBlockOpen(!end) })
	case "raw":
		h.write(func() { io.WriteString(h.conn, quoted) })
	default:
		return fmt.Errorf("unknown frame %q", words[0])
	}
	return nil
}

// sendFlood carries out the step flood: it sends many frames of one kind as fast as it can, without waiting for the
// node's reaction. text is the kind and the number of frames.
func (h *h2Caller) sendFlood(text string) error {
	var kind string
	var n int
	if _, err := fmt.Sscan(text, &kind, &n); err != nil {
		return err
	}
	h.start()
	h.mu.Lock()
	h.flooded = true
	h.mu.Unlock()
	get := [][2]string{{":method", "GET"}, {":scheme", "http"}, {":path", "/health"}}
	post := [][2]string{{":method", "POST"}, {":scheme", "http"}, {":path", "/rpc/status-lookup"}}
	switch kind {
	case "empty", "data":
		h.writeHeaders(1, false, true, post)
	case "continuation":
		h.writeHeaders(1, true, false, get)
	case "hpack": // one large field, then references to it of one byte each
		h.writeHeaders(1, true, false, append(get, [2]string{"x-large", strings.Repeat("x", 3500)}))
		h.write(func() {
			h.framer.WriteContinuation(1, true, bytes.Repeat([]byte{0x80 | 62}, 12000))
			h.setBlockOpen(false)
		})
		return nil
	}
	for i := range n {
		id := uint32(2*i + 1)
		switch kind {
		case "ping":
			h.write(func() { h.framer.WritePing(false, [8]byte{}) })
		case "settings":
			h.write(func() { h.framer.WriteSettings() })
		case "reset":
			h.writeHeaders(id, false, true, post)
			h.write(func() { h.framer.WriteRSTStream(id, http2.ErrCodeCancel) })
		case "empty":
			h.write(func() { h.framer.WriteData(1, false, nil) })
		case "continuation":
			h.write(func() { h.framer.WriteContinuation(1, false, nil) })
		case "data": // ignores the flow-control windows
			h.write(func() { h.framer.WriteData(1, false, make([]byte, 16000)) })
		default:
			return fmt.Errorf("unknown flood %q", kind)
		}
	}
	return nil
}

// nextAnswer waits for the next answer.
func (h *h2Caller) nextAnswer() h2Answer {
	select {
	case a := <-h.answers:
		return a
	case <-time.After(stepTimeout):
		return h2Answer{closeReason: "nothing came"}
	}
}

// nextOtherFrame waits for the next frame that is not part of an answer.
func (h *h2Caller) nextOtherFrame() string {
	select {
	case s := <-h.otherFrames:
		return s
	case <-time.After(stepTimeout):
		return "nothing"
	}
}
