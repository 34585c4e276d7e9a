package client

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// exchange plays one recorded conversation between calls of a client and a scripted node. A conversation is a text file
// with one step per line. Each step is written down as it took place, and this transcript is compared with the file.
//
//	protocol P              http, h2c or uwsgi; the first step
//	call NAME CLASS BODY [MS]   a call begins, with a deadline after MS milliseconds
//	end NAME ...            how it ended: served and the body, or the reason; then the outcomes of its tries
//	accept C                the node accepts a connection
//	C read ...              the next request: stream, class, again if it is marked as a retry, body
//	C answer N STATUS [Field: value,...] BODY   the node answers the request of stream N; 0 without streams
//	C rst N CODE            the node sends RST_STREAM with a code of RFC 9113
//	C goaway N              the node sends GOAWAY with the last stream N
//	C close, C reset        the node closes or resets the connection
//	C gone                  the client has closed the connection, or reset the stream that is named
//	wait MS                 a pause of MS milliseconds
type exchange struct {
	t        *testing.T
	protocol Protocol
	listener net.Listener
	client   *Client
	conns    map[string]*scriptedConn
	results  map[string]chan string
	calls    sync.WaitGroup
}

// scriptedConn is the node's end of a connection.
type scriptedConn struct {
	c      net.Conn
	r      *bufio.Reader
	h2     *http2.Framer
	mu     sync.Mutex  // guards writes
	events chan string // transcript lines, without the connection, of what was received; closed when the reader ends
}

// exchangeTimeout is the maximum duration of a step, and of a call that sets no time.
const exchangeTimeout = 10 * time.Second

// Guards against a change in what the client sends, retries and reports: each conversation in testdata/exchanges must
// take place as recorded.
func TestExchanges(t *testing.T) {
	files, _ := filepath.Glob("testdata/exchanges/*.txt")
	if len(files) == 0 {
		t.Fatal("no files match testdata/exchanges/*.txt")
	}
	for _, f := range files {
		t.Run(strings.TrimSuffix(filepath.Base(f), ".txt"), func(t *testing.T) {
			text, err := os.ReadFile(f)
			if err != nil {
				t.Fatal(err)
			}
			x := &exchange{t: t, conns: map[string]*scriptedConn{}, results: map[string]chan string{}}
			defer x.close()
			var want, got []string
			for line := range strings.Lines(string(text)) {
				if line = strings.TrimSpace(line); line != "" && line[0] != '#' {
					want = append(want, line)
					got = append(got, x.step(line))
				}
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func (x *exchange) close() {
	if x.client != nil {
		x.client.Close()
	}
	x.calls.Wait()
	if x.listener != nil {
		x.listener.Close()
	}
	for _, n := range x.conns {
		n.c.Close()
	}
	for _, n := range x.conns {
		for range n.events { // wait until the reader has ended
		}
	}
}

// step carries out a line and returns the line as it took place.
func (x *exchange) step(line string) string {
	words := strings.Fields(line)
	switch words[0] {
	case "protocol":
		x.protocol = Protocol(words[1])
		var err error
		if x.listener, err = net.Listen("tcp", "127.0.0.1:0"); err == nil {
			x.client, err = New(Options{Source: Fixed{x.listener.Addr().String()}, Protocol: x.protocol,
				Classes: []Class{{Name: "read", NoHedge: true}, {Name: "book", Write: true}}})
		}
		if err != nil {
			x.t.Fatal(err)
		}
		return line
	case "call":
		wait := exchangeTimeout
		if len(words) > 4 {
			ms, _ := strconv.Atoi(words[4])
			wait = time.Duration(ms) * time.Millisecond
		}
		ended := make(chan string, 1)
		x.results[words[1]] = ended
		x.calls.Go(func() {
			ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(wait))
			defer cancel()
			r, err := x.client.Do(ctx, Request{Class: words[2], Body: []byte(words[3])})
			var callErr *Error
			switch {
			case err == nil:
				ended <- fmt.Sprintf("served %s in %d", r.Body, r.Tries)
			case errors.As(err, &callErr):
				text := callErr.Reason.String()
				for _, t := range callErr.Tries {
					if t.Outcome == "open" { // the call ended before the end of the try was recorded
						t.Outcome = "late"
					}
					text += " " + t.Outcome
				}
				if errors.Is(err, ErrUnknown) {
					text += ", may have run"
				}
				ended <- text
			default:
				ended <- err.Error()
			}
		})
		return line
	case "end":
		select {
		case text := <-x.results[words[1]]:
			return "end " + words[1] + " " + text
		case <-time.After(exchangeTimeout):
			return "end " + words[1] + " never"
		}
	case "accept":
		x.listener.(*net.TCPListener).SetDeadline(time.Now().Add(exchangeTimeout))
		c, err := x.listener.Accept()
		if err != nil {
			return "accept nothing"
		}
		node := &scriptedConn{c: c, r: bufio.NewReader(c), events: make(chan string, 16)}
		x.conns[words[1]] = node
		switch x.protocol {
		case H2C:
			io.ReadFull(node.r, make([]byte, len(http2.ClientPreface)))
			node.h2 = http2.NewFramer(c, node.r)
			node.h2.ReadMetaHeaders = hpack.NewDecoder(4096, nil)
			node.h2.WriteSettings(http2.Setting{ID: http2.SettingMaxConcurrentStreams, Val: 100})
			go node.readH2()
		case UWSGI:
			go node.readUWSGI()
		default:
			go node.readHTTP()
		}
		return line
	case "wait":
		ms, _ := strconv.Atoi(words[1])
		time.Sleep(time.Duration(ms) * time.Millisecond)
		return line
	}
	node := x.conns[words[0]]
	if node == nil {
		return line + ": no such connection"
	}
	streamID := func(i int) uint32 {
		v, _ := strconv.ParseUint(words[i], 10, 31)
		return uint32(v)
	}
	node.mu.Lock()
	defer node.mu.Unlock()
	switch words[1] {
	case "read", "gone":
		node.mu.Unlock()
		defer node.mu.Lock()
		select {
		case text := <-node.events:
			return words[0] + " " + text
		case <-time.After(exchangeTimeout):
			return words[0] + " nothing"
		}
	case "answer":
		node.answer(streamID(2), words[3], strings.Split(strings.Join(words[4:len(words)-1], " "), ","),
			words[len(words)-1])
	case "rst":
		codes := map[string]http2.ErrCode{"REFUSED_STREAM": http2.ErrCodeRefusedStream, "CANCEL": http2.ErrCodeCancel,
			"INTERNAL_ERROR": http2.ErrCodeInternal}
		node.h2.WriteRSTStream(streamID(2), codes[words[3]])
	case "goaway":
		node.h2.WriteGoAway(streamID(2), http2.ErrCodeNo, nil)
	case "close":
		node.c.Close()
	case "reset":
		node.c.(*net.TCPConn).SetLinger(0)
		node.c.Close()
	}
	return line
}

// answer writes an answer in the encoding of the protocol.
func (n *scriptedConn) answer(stream uint32, status string, fields []string, body string) {
	if n.h2 == nil {
		text := "HTTP/1.1 " + status + " X\r\n"
		for _, f := range fields {
			if f != "" {
				text += f + "\r\n"
			}
		}
		fmt.Fprintf(n.c, "%sContent-Length: %d\r\n\r\n%s", text, len(body), body)
		return
	}
	var block bytes.Buffer
	encoder := hpack.NewEncoder(&block)
	encoder.WriteField(hpack.HeaderField{Name: ":status", Value: status})
	for _, f := range fields {
		if k, v, ok := strings.Cut(f, ": "); ok {
			encoder.WriteField(hpack.HeaderField{Name: strings.ToLower(k), Value: v})
		}
	}
	n.h2.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: block.Bytes(), EndHeaders: true})
	n.h2.WriteData(stream, true, []byte(body))
}

// reportRequest adds a request to the events.
func (n *scriptedConn) reportRequest(stream uint32, path, retry, body string) {
	text := fmt.Sprintf("read %d %s ", stream, path[strings.LastIndexByte(path, '/')+1:])
	if retry != "" {
		text += "again "
	}
	n.events <- text + body
}

func (n *scriptedConn) readHTTP() {
	defer close(n.events)
	for {
		r, err := http.ReadRequest(n.r)
		if err != nil {
			n.events <- "gone"
			return
		}
		body, _ := io.ReadAll(r.Body)
		n.reportRequest(0, r.URL.Path, r.Header.Get("Req-Retry"), string(body))
	}
}

func (n *scriptedConn) readUWSGI() {
	defer close(n.events)
	vars, body, err := readPacket(n.r)
	if err == nil {
		n.reportRequest(0, vars["PATH_INFO"], vars["HTTP_REQ_RETRY"], body)
		io.Copy(io.Discard, n.r)
	}
	n.events <- "gone"
}

func (n *scriptedConn) readH2() {
	defer close(n.events)
	type request struct{ path, retry, body string }
	requests := map[uint32]*request{}
	finish := func(id uint32) {
		if r := requests[id]; r != nil {
			n.reportRequest(id, r.path, r.retry, r.body)
		}
	}
	for {
		frame, err := n.h2.ReadFrame()
		if err != nil {
			n.events <- "gone"
			return
		}
		switch frame := frame.(type) {
		case *http2.SettingsFrame:
			if !frame.IsAck() {
				n.mu.Lock()
				n.h2.WriteSettingsAck()
				n.mu.Unlock()
			}
		case *http2.PingFrame:
			if !frame.IsAck() {
				n.mu.Lock()
				n.h2.WritePing(true, frame.Data)
				n.mu.Unlock()
			}
		case *http2.MetaHeadersFrame:
			r := &request{path: frame.PseudoValue("path")}
			for _, h := range frame.RegularFields() {
				if h.Name == "req-retry" {
					r.retry = h.Value
				}
			}
			requests[frame.StreamID] = r
			if frame.StreamEnded() {
				finish(frame.StreamID)
			}
		case *http2.DataFrame:
			if r := requests[frame.StreamID]; r != nil {
				r.body += string(frame.Data())
			}
			if frame.StreamEnded() {
				finish(frame.StreamID)
			}
		case *http2.RSTStreamFrame:
			n.events <- fmt.Sprint("gone ", frame.StreamID)
		}
	}
}
