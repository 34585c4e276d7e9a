package lab

import (
	"bufio"
	"bytes"
	"context"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fastjson"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"golang.org/x/sys/unix"
)

// MemoryRun is the result of one load that hostile peers put on the memory of a node.
type MemoryRun struct {
	Load     string
	LimitMB  int     // memory_mb of the node
	PeakMB   float64 // highest anonymous memory of the node's processes together
	PeakRSS  float64 // highest resident memory of one process of the node, with pages of files, in MB
	Messages int64   // messages or connections of the hostile peers
	Calm     int64   // requests of the other callers
	Lost     int64   // those of them that got no answer
	Served   int64   // those of them that were answered with a result
	Slowest  int64   // longest time to an answer to one of them beyond the time of its run, in ms
}

// memoryLoad is a load on the memory of a node. Its send function acts on one connection and returns when that is of no
// use any more; it is called again on a new connection until the time is over.
type memoryLoad struct {
	name, front string
	conns       int
	send        func(p *memoryPeer)
	upgrade     bool // another process succeeds the node's during the load, and the first one is told to stop
}

// Sizes of what the hostile peers send. They stay within the limits of the node, so that it keeps what it reads.
const (
	paddingBytes      = 7500  // value of a header field that no front uses
	aheadBytes        = 15000 // sent while a request is in progress
	unfinishedStreams = 128
)

var memoryLoads = []memoryLoad{
	{"requests", "http", 100, sendUnknownRequests, false},
	{"upgrade", "http", 100, sendUnknownRequests, true},
	{"requests", "uwsgi", 100, func(p *memoryPeer) { p.exchange("unknown") }, false},
	{"requests", "h2c", 100, func(p *memoryPeer) { p.repeat(func() bool { return p.exchangeH2("unknown") }) }, false},
	{"unfinished", "http", 600, func(p *memoryPeer) {
		p.write([]byte("POST /rpc/status-lookup HTTP/1.1\r\nX-Note: " + strings.Repeat("x", paddingBytes)))
		p.awaitClose()
	}, false},
	{"unfinished", "uwsgi", 600, func(p *memoryPeer) {
		message := encodeRequest("uwsgi", "unknown")
		p.write(message[:len(message)-1])
		p.awaitClose()
	}, false},
	{"unfinished", "h2c", 600, func(p *memoryPeer) {
		p.exchangeH2("instant") // its answer raises the limit of streams
		for range unfinishedStreams {
			p.stream += 2
			p.headersH2(p.stream, false)
		}
		p.awaitClose()
	}, false},
	{"ahead", "http", 600, func(p *memoryPeer) {
		p.write(append(encodeRequest("http", "held"), strings.Repeat("x", aheadBytes)...))
		p.awaitClose()
	}, false},
	{"resting", "http", 600, func(p *memoryPeer) {
		if p.exchange("unknown") {
			p.awaitClose()
		}
	}, false},
	{"faults", "http", 600, func(p *memoryPeer) { // the node reads on for a moment after its answer
		p.write([]byte("POST /rpc/unknown HTTP/1.1\r\nX-Note: " + strings.Repeat("x", paddingBytes) + "\r\n\r\n" +
			strings.Repeat("x", aheadBytes)))
		p.awaitClose()
	}, false},
	{"silent", "http", 600, func(p *memoryPeer) {
		atomic.AddInt64(p.messages, 1)
		p.awaitClose()
	}, false},
	{"unread", "h2c", 600, func(p *memoryPeer) { // the answers wait for a window that never opens
		p.exchangeH2("instant")
		p.framer.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 0})
		for range unfinishedStreams {
			p.stream += 2
			p.requestH2(p.stream, "instant")
		}
		p.awaitClose()
	}, false},
}

// sendUnknownRequests sends requests that the worker pool does not know, one after another.
func sendUnknownRequests(p *memoryPeer) {
	p.repeat(func() bool { return p.exchange("unknown") })
}

// MemoryLoadNames returns the names of the loads in the order in which they run.
func MemoryLoadNames() (names []string) {
	for _, l := range allMemoryLoads() {
		names = append(names, l.fullName())
	}
	return names
}

// MeasureMemory puts one load on a new node with a memory limit, beside calm callers of the HTTP front, and returns the
// highest anonymous memory of the node's processes together. It does not enforce the limit.
func MeasureMemory(ctx context.Context, program, name string, limitMB int, length time.Duration) (r MemoryRun, err error) {
	r = MemoryRun{Load: name, LimitMB: limitMB}
	var load memoryLoad
	for _, l := range allMemoryLoads() {
		if l.fullName() == name {
			load = l
		}
	}
	if load.send == nil {
		return r, fmt.Errorf("lab: unknown memory load %q", name)
	}
	setup := nodeSetup{fronts: load.fronts(), memoryMB: limitMB, pool: selectivePool}
	if load.upgrade {
		if setup.upgradeDir, err = os.MkdirTemp("", "upgrade"); err != nil {
			return r, err
		}
		defer os.RemoveAll(setup.upgradeDir)
	}
	n, err := startNodeWith(ctx, program, setup)
	if err != nil {
		return r, err
	}
	defer n.stop()
	processes := []*testNode{n}
	end := time.Now().Add(length)
	var wait sync.WaitGroup
	for range 12 {
		wait.Go(func() { callCalmly(n.addrs["http"], end, &r) })
	}
	time.Sleep(length / 10) // some calm requests are open when the load begins
	for range load.conns {
		wait.Go(func() {
			for time.Now().Before(end) && ctx.Err() == nil {
				front, send := load.next()
				p, err := dialMemoryPeer(front, n.addrs[front], end, &r.Messages)
				if err != nil {
					time.Sleep(20 * time.Millisecond)
					continue
				}
				send(p)
				p.conn.Close()
			}
		})
	}
	for upgradeAt := end.Add(-length * 2 / 3); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if load.upgrade && len(processes) == 1 && time.Now().After(upgradeAt) {
			setup.addrs = n.addrs
			successor, err := startNodeWith(ctx, program, setup)
			if err != nil {
				return r, err
			}
			defer successor.stop()
			processes = append(processes, successor)
			time.AfterFunc(settleTime, func() { syscall.Kill(n.pid, syscall.SIGTERM) })
		}
		sum := 0.0
		for _, p := range processes {
			sum += memoryMB(p.pid, "RssAnon")
			r.PeakRSS = max(r.PeakRSS, memoryMB(p.pid, "VmRSS"))
		}
		r.PeakMB = max(r.PeakMB, sum)
	}
	wait.Wait()
	if memoryMB(processes[len(processes)-1].pid, "RssAnon") == 0 {
		return r, errors.New("lab: the process of the node has ended")
	}
	return r, nil
}

// WriteMemory writes the runs as a table.
func WriteMemory(w io.Writer, all []MemoryRun) {
	fmt.Fprintf(w, "%-24s %8s %8s %8s %9s %6s %7s %6s %8s\n", "load", "limit MB", "peak MB", "RSS MB", "messages", "calm", "served",
		"lost", "late ms")
	for _, r := range all {
		fmt.Fprintf(w, "%-24s %8d %8.1f %8.1f %9d %6d %7d %6d %8d\n", r.Load, r.LimitMB, r.PeakMB, r.PeakRSS, r.Messages, r.Calm,
			r.Served, r.Lost, r.Slowest)
	}
}

const (
	// calmAnswerTimeout is how long a calm caller waits for an answer: longer than its request says.
	calmAnswerTimeout = 7 * time.Second
	// crossingTime is how long a request may be on its way to a resting connection that the node closes meanwhile. The
	// platform has such a request sent again.
	crossingTime = 50 * time.Millisecond
)

// callCalmly sends requests that the worker pool runs, one after another, and counts their answers.
func callCalmly(addr string, end time.Time, r *MemoryRun) {
	for time.Now().Before(end) {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			time.Sleep(20 * time.Millisecond) // a refused connection carries no request
			continue
		}
		in := bufio.NewReader(c)
		for n := 0; time.Now().Before(end); n++ {
			c.SetDeadline(time.Now().Add(calmAnswerTimeout))
			started := time.Now()
			c.Write(encodeRequest("http", "calm")) // the read finds an error as well
			if n > 0 && hasHungUp(c) {
				break // the node had closed it before the request was there
			}
			if _, err := in.Peek(1); err != nil && n > 0 && time.Since(started) < crossingTime {
				break
			}
			atomic.AddInt64(&r.Calm, 1)
			resp, err := http.ReadResponse(in, nil)
			if err != nil {
				atomic.AddInt64(&r.Lost, 1)
				break
			}
			io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			if resp.StatusCode == 200 {
				atomic.AddInt64(&r.Served, 1)
				r.noteLate(time.Since(started) - calmRunTime)
			}
			if resp.Close {
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
		c.Close()
	}
}

// hasHungUp reports whether the node has closed its side of a connection. It is exact where this process gets no processor for a
// while, and the times that it takes are not.
func hasHungUp(c net.Conn) (closed bool) {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(fds, 0)
		closed = err == nil && n > 0
	})
	return closed
}

// noteLate notes how long an answer took beyond the time of its run.
func (r *MemoryRun) noteLate(late time.Duration) {
	for {
		slowest := atomic.LoadInt64(&r.Slowest)
		if late.Milliseconds() <= slowest || atomic.CompareAndSwapInt64(&r.Slowest, slowest, late.Milliseconds()) {
			return
		}
	}
}

// memoryPeer is a connection of a hostile peer.
type memoryPeer struct {
	conn     net.Conn
	reader   *bufio.Reader
	front    string
	end      time.Time
	messages *int64

	framer      *http2.Framer // nil unless the front is h2c
	encoder     *hpack.Encoder
	headerBlock bytes.Buffer
	stream      uint32 // of the latest request; odd
}

func dialMemoryPeer(front, addr string, end time.Time, messages *int64) (*memoryPeer, error) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	c.SetDeadline(end)
	p := &memoryPeer{conn: c, reader: bufio.NewReader(c), front: front, end: end, messages: messages}
	if front == "h2c" {
		io.WriteString(c, http2.ClientPreface)
		p.framer = http2.NewFramer(c, p.reader)
		p.encoder = hpack.NewEncoder(&p.headerBlock)
		p.stream = ^uint32(0) // the first request has stream 1
		p.framer.WriteSettings()
		p.framer.WriteSettingsAck()
	}
	return p, nil
}

// repeat calls do until it returns false or the time is over.
func (p *memoryPeer) repeat(do func() bool) {
	for time.Now().Before(p.end) && do() {
	}
}

func (p *memoryPeer) write(b []byte) bool {
	atomic.AddInt64(p.messages, 1)
	_, err := p.conn.Write(b)
	return err == nil
}

// awaitClose reads and discards until the node closes the connection.
func (p *memoryPeer) awaitClose() { io.Copy(io.Discard, p.reader) }

// exchange sends a request with a body and reads the answer. It returns false once the connection ends.
func (p *memoryPeer) exchange(body string) bool {
	if !p.write(encodeRequest(p.front, body)) {
		return false
	}
	resp, err := http.ReadResponse(p.reader, nil)
	if err != nil {
		return false
	}
	io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	return !resp.Close
}

// headersH2 opens a stream with the header fields of a request.
func (p *memoryPeer) headersH2(id uint32, end bool) bool {
	atomic.AddInt64(p.messages, 1)
	p.headerBlock.Reset()
	for _, f := range append([][2]string{{":method", "POST"}, {":scheme", "http"}, {":path", "/rpc/status-lookup"}},
		memoryFields()...) {
		p.encoder.WriteField(hpack.HeaderField{Name: strings.ToLower(f[0]), Value: f[1], Sensitive: true})
	}
	return p.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: p.headerBlock.Bytes(), EndStream: end,
		EndHeaders: true}) == nil
}

// requestH2 sends a request with a body.
func (p *memoryPeer) requestH2(id uint32, body string) bool {
	return p.headersH2(id, false) && p.framer.WriteData(id, true, []byte(body)) == nil
}

// exchangeH2 sends a request and reads until its stream has ended. It returns false once the connection ends.
func (p *memoryPeer) exchangeH2(body string) bool {
	p.stream += 2
	id := p.stream
	if !p.requestH2(id, body) {
		return false
	}
	for {
		f, err := p.framer.ReadFrame()
		if err != nil || f.Header().Type == http2.FrameGoAway {
			return false
		}
		_, reset := f.(*http2.RSTStreamFrame)
		if f.Header().StreamID == id && (reset || f.Header().Flags.Has(http2.FlagDataEndStream)) {
			return true
		}
	}
}

// memoryFields returns the header fields of a request that is due late and has a long field that nobody uses.
func memoryFields() [][2]string {
	fields := requestFields(requestIDs.Add(1))
	for i := range fields {
		if fields[i][0] == "req-wait-ms" {
			fields[i][1] = "9000"
		}
	}
	return append(fields, [2]string{"x-note", strings.Repeat("x", paddingBytes)})
}

// encodeRequest returns a request in the form of a front. Calm requests are short and due earlier than the others.
func encodeRequest(front, body string) []byte {
	if body == "calm" {
		return appendRequest(nil, front, requestFields(requestIDs.Add(1)), body)
	}
	return appendRequest(nil, front, memoryFields(), body)
}

// Run times of the worker pool of a memory run.
const (
	calmRunTime = 700 * time.Millisecond
	heldRunTime = 4 * time.Second
)

// resultBytes is the size of a result: the largest that the platform allows.
const resultBytes = 4096

// selectivePool is a fake worker pool that runs requests by their body: a calm one takes calmRunTime, a held one
// heldRunTime, an instant one no time, and it knows no others.
func selectivePool(l net.Listener) {
	result := base64.StdEncoding.EncodeToString(bytes.Repeat([]byte("r"), resultBytes))
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		var mu sync.Mutex // guards serial and the order of the notices
		serial := 0
		finish := func(call string) {
			mu.Lock()
			defer mu.Unlock()
			serial++
			fmt.Fprintf(c, `{"msg":"finished","serial":%d,"call":"%s","how":"OK","duration":700,"blob":"%s"}`+"\n", serial,
				call, result)
		}
		say := func(format string, args ...any) {
			mu.Lock()
			defer mu.Unlock()
			fmt.Fprintf(c, format+"\n", args...)
		}
		var p fastjson.Parser
		for r := bufio.NewScanner(c); r.Scan(); {
			v, err := p.ParseBytes(r.Bytes())
			if err != nil {
				break
			}
			call := string(v.GetStringBytes("call"))
			switch string(v.GetStringBytes("msg")) {
			case "bind":
				say(`{"msg":"bound","how":"WARM","duration":5}`)
			case "poll":
				say(`{"msg":"polled","cookie":"%s","stats":[0.5,1,0.1,4]}`, v.GetStringBytes("cookie"))
			case "spawn":
				body, _ := base64.StdEncoding.DecodeString(string(v.GetStringBytes("blob")))
				switch string(body) {
				case "calm":
					time.AfterFunc(calmRunTime, func() { finish(call) })
				case "held":
					time.AfterFunc(heldRunTime, func() { finish(call) })
				case "instant":
					finish(call)
				default:
					say(`{"msg":"unknown","how":"spawn","call":"%s"}`, call)
				}
			}
		}
		c.Close()
	}
}
