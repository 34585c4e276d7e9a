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

// h2Caller is a toy client of HTTP/2 without TLS on x/net's framer. It answers settings and pings by itself, unless it is
// told to be mute, and gives windows back. Steps beside call, check and answer:
//
//	frame NAME headers ID [end] [part] k=v ..  a list of fields, as it stands; part leaves END_HEADERS out
//	frame NAME data ID [end] "BYTES"
//	frame NAME rst ID CODE        by the number of the code
//	frame NAME settings k=v ..    by the numbers of the settings
//	frame NAME ping, goaway, window ID N, priority ID, continuation ID [end]
//	frame NAME raw "BYTES"
//	flood NAME KIND N             ping, settings, reset, empty (DATA), continuation, hpack, data
//	mute NAME                     it gives no windows back and answers no ping from here on
//	heard NAME WHAT ..            the next frame that is no answer to a call: rst ID CODE, goaway LAST CODE
type h2Caller struct {
	c    net.Conn
	w    sync.Mutex // of the writing side
	part bool       // a block of fields is open: no other frame may come in between
	owed []func()   // answers to the node that wait for its end
	fr   *http2.Framer
	enc  *hpack.Encoder
	buf  bytes.Buffer
	next uint32

	mu      sync.Mutex // of what follows
	mute    bool
	flooded bool
	answers chan h2Answer
	others  chan string
}

// h2Answer is one whole answer, or the end of the connection.
type h2Answer struct {
	fields map[string]string
	body   []byte
	end    string
}

func newH2Caller(c net.Conn) *h2Caller {
	h := &h2Caller{c: c, next: 1, answers: make(chan h2Answer, 1024), others: make(chan string, 1024)}
	h.fr = http2.NewFramer(c, c)
	h.fr.AllowIllegalWrites = true
	h.enc = hpack.NewEncoder(&h.buf)
	return h
}

// open sends the preface and our settings before the first frame, and begins to read.
func (h *h2Caller) open() {
	if h.next > 1 || h.fr.ReadMetaHeaders != nil {
		return
	}
	h.fr.ReadMetaHeaders = hpack.NewDecoder(4096, nil)
	io.WriteString(h.c, http2.ClientPreface)
	h.fr.WriteSettings()
	go h.read()
}

// read takes the frames of the node until the connection ends.
func (h *h2Caller) read() {
	open := map[uint32]*h2Answer{}
	done := func(id uint32) {
		h.answers <- *open[id]
		delete(open, id)
	}
	for {
		f, err := h.fr.ReadFrame()
		if err != nil {
			h.answers <- h2Answer{end: plain(err)}
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
				h.others <- fmt.Sprintf("continue %d", f.StreamID)
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
				h.reply(func() { h.fr.WriteWindowUpdate(0, n) })
			}
		case *http2.SettingsFrame:
			if !f.IsAck() && !mute {
				h.reply(func() { h.fr.WriteSettingsAck() })
			}
		case *http2.PingFrame:
			if !f.IsAck() && !mute {
				h.reply(func() { h.fr.WritePing(true, f.Data) })
			}
		case *http2.RSTStreamFrame:
			h.others <- fmt.Sprintf("rst %d %d", f.StreamID, f.ErrCode)
		case *http2.GoAwayFrame:
			last := fmt.Sprint(f.LastStreamID)
			if flooded { // how far a flood came hangs on the time that it took
				last = "N"
			}
			h.others <- fmt.Sprintf("goaway %s %d", last, f.ErrCode)
		}
	}
}

func (h *h2Caller) write(do func()) {
	h.w.Lock()
	defer h.w.Unlock()
	h.c.SetWriteDeadline(time.Now().Add(patience))
	do()
}

// reply answers the node, once no block of fields is open.
func (h *h2Caller) reply(do func()) {
	h.write(func() {
		if h.part {
			h.owed = append(h.owed, do)
			return
		}
		do()
	})
}

// block takes it that a block of fields has begun or has ended, on the writing side.
func (h *h2Caller) block(open bool) {
	if h.part = open; open {
		return
	}
	for _, do := range h.owed {
		do()
	}
	h.owed = nil
}

// headers sends a list of fields on a stream.
func (h *h2Caller) headers(id uint32, end, whole bool, fields [][2]string) {
	h.write(func() {
		h.buf.Reset()
		for _, f := range fields {
			h.enc.WriteField(hpack.HeaderField{Name: f[0], Value: f[1]})
		}
		h.fr.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: h.buf.Bytes(), EndStream: end, EndHeaders: whole})
		h.block(!whole)
	})
}

// request sends a whole request on the next stream.
func (h *h2Caller) request(method, path, query string, fields [][2]string, body string) {
	h.open()
	id := h.next
	h.next += 2
	if query != "" {
		path += "?" + query
	}
	list := [][2]string{{":method", method}, {":scheme", "http"}, {":authority", "api.internal"}, {":path", path}}
	for _, f := range fields {
		list = append(list, [2]string{strings.ToLower(f[0]), f[1]})
	}
	list = append(list, [2]string{"content-length", fmt.Sprint(len(body))})
	h.headers(id, body == "", true, list)
	if body != "" {
		h.write(func() { h.fr.WriteData(id, true, []byte(body)) })
	}
}

// frame carries out a step that sends one frame.
func (h *h2Caller) frame(text string) error {
	h.open()
	words := strings.Fields(text)
	if len(words) == 0 {
		return fmt.Errorf("which frame?")
	}
	num := func(i int) uint32 {
		if i >= len(words) {
			return 0
		}
		n, _ := strconv.ParseUint(words[i], 0, 32)
		return uint32(n)
	}
	end, whole := strings.Contains(text, " end"), !strings.Contains(text, " part")
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
		h.headers(num(1), end, whole, fields)
		h.next = max(h.next, num(1)+2)
	case "data":
		h.write(func() { h.fr.WriteData(num(1), end, []byte(quoted)) })
	case "rst":
		h.write(func() { h.fr.WriteRSTStream(num(1), http2.ErrCode(num(2))) })
	case "settings":
		var all []http2.Setting
		for _, w := range words[1:] {
			var id uint16
			var v uint32
			fmt.Sscanf(w, "%d=%d", &id, &v)
			all = append(all, http2.Setting{ID: http2.SettingID(id), Val: v})
		}
		h.write(func() { h.fr.WriteSettings(all...) })
	case "ping":
		h.write(func() { h.fr.WritePing(false, [8]byte{}) })
	case "goaway":
		h.write(func() { h.fr.WriteGoAway(0, 0, nil) })
	case "window":
		h.write(func() { h.fr.WriteWindowUpdate(num(1), num(2)) })
	case "priority":
		h.write(func() { h.fr.WritePriority(num(1), http2.PriorityParam{}) })
	case "continuation":
		h.write(func() { h.fr.WriteContinuation(num(1), end, []byte(quoted)); h.block(!end) })
	case "raw":
		h.write(func() { io.WriteString(h.c, quoted) })
	default:
		return fmt.Errorf("unknown frame %q", words[0])
	}
	return nil
}

// flood sends so many frames of a kind as fast as it can, and does not wait for what the node says of it.
func (h *h2Caller) flood(text string) error {
	var kind string
	var n int
	if _, err := fmt.Sscan(text, &kind, &n); err != nil {
		return err
	}
	h.open()
	h.mu.Lock()
	h.flooded = true
	h.mu.Unlock()
	get := [][2]string{{":method", "GET"}, {":scheme", "http"}, {":path", "/health"}}
	post := [][2]string{{":method", "POST"}, {":scheme", "http"}, {":path", "/rpc/status-lookup"}}
	switch kind {
	case "empty", "data":
		h.headers(1, false, true, post)
	case "continuation":
		h.headers(1, true, false, get)
	case "hpack": // one large field, then references to it: a byte each
		h.headers(1, true, false, append(get, [2]string{"x-large", strings.Repeat("x", 3500)}))
		h.write(func() { h.fr.WriteContinuation(1, true, bytes.Repeat([]byte{0x80 | 62}, 12000)); h.block(false) })
		return nil
	}
	for i := range n {
		id := uint32(2*i + 1)
		switch kind {
		case "ping":
			h.write(func() { h.fr.WritePing(false, [8]byte{}) })
		case "settings":
			h.write(func() { h.fr.WriteSettings() })
		case "reset":
			h.headers(id, false, true, post)
			h.write(func() { h.fr.WriteRSTStream(id, http2.ErrCodeCancel) })
		case "empty":
			h.write(func() { h.fr.WriteData(1, false, nil) })
		case "continuation":
			h.write(func() { h.fr.WriteContinuation(1, false, nil) })
		case "data": // windows are passed over
			h.write(func() { h.fr.WriteData(1, false, make([]byte, 16000)) })
		default:
			return fmt.Errorf("unknown flood %q", kind)
		}
	}
	return nil
}

// hear waits for the next answer, and heardOther for the next other frame.
func (h *h2Caller) hear() h2Answer {
	select {
	case a := <-h.answers:
		return a
	case <-time.After(patience):
		return h2Answer{end: "nothing came"}
	}
}

func (h *h2Caller) heardOther() string {
	select {
	case s := <-h.others:
		return s
	case <-time.After(patience):
		return "nothing"
	}
}
