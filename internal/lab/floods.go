package lab

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// FloodRun is the result of one flood on the HTTP/2 port of a node.
type FloodRun struct {
	Flood       string
	Connections int     // connections opened by all hostile clients
	Frames      int     // rounds of the flood's frames that were sent
	PeakMB      float64 // peak resident memory of the node's process, in MB
	BeforeMB    float64 // resident memory before the flood, in MB
	Healthy     bool    // every health check over HTTP/1.1 was answered during the flood
}

// floods maps each kind to a function that sends until the node closes the connection. It returns the number of rounds.
var floods = map[string]func(p *flooder) int{
	"rapid-reset": func(p *flooder) int {
		return p.repeat(func(i int) {
			p.headers(uint32(2*i+1), true)
			p.framer.WriteRSTStream(uint32(2*i+1), http2.ErrCodeCancel)
		})
	},
	"ping":     func(p *flooder) int { return p.repeat(func(int) { p.framer.WritePing(false, [8]byte{}) }) },
	"settings": func(p *flooder) int { return p.repeat(func(int) { p.framer.WriteSettings() }) },
	"empty-data": func(p *flooder) int {
		p.headers(1, false)
		return p.repeat(func(int) { p.framer.WriteData(1, false, nil) })
	},
	"data": func(p *flooder) int {
		p.headers(1, false)
		b := make([]byte, 16000)
		return p.repeat(func(int) { p.framer.WriteData(1, false, b) })
	},
	"bodies": func(p *flooder) int { // as many streams as possible, each with a body that does not end
		b := make([]byte, 2048)
		return p.repeat(func(i int) {
			p.headers(uint32(2*i+1), false)
			p.framer.WriteData(uint32(2*i+1), false, b)
		})
	},
	"continuation": func(p *flooder) int {
		p.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: 1})
		b := make([]byte, 1000)
		return p.repeat(func(int) { p.framer.WriteContinuation(1, false, b) })
	},
	"hpack": func(p *flooder) int {
		return p.repeat(func(i int) {
			p.headerBlock.Reset()
			p.encoder.WriteField(hpack.HeaderField{Name: "x", Value: strings.Repeat("x", 3900)})
			p.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: uint32(2*i + 1), EndStream: true, EndHeaders: true,
				BlockFragment: append(bytes.Clone(p.headerBlock.Bytes()), bytes.Repeat([]byte{0x80 | 62}, 12000)...)})
		})
	},
	"zero-window": func(p *flooder) int { // answers wait for a flow-control window that never opens
		p.framer.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 0})
		return p.repeat(func(i int) {
			p.headers(uint32(2*i+1), true)
			time.Sleep(time.Millisecond)
		})
	},
	"half-preface": func(p *flooder) int { p.awaitClose(); return 0 },
}

// FloodKinds lists the floods in the order in which they run.
var FloodKinds = []string{"rapid-reset", "ping", "settings", "empty-data", "data", "bodies", "continuation", "hpack",
	"zero-window", "half-preface"}

// flooder is a hostile connection. It implements io.Writer so that a failed write ends the flood.
type flooder struct {
	conn        net.Conn
	framer      *http2.Framer
	encoder     *hpack.Encoder
	headerBlock bytes.Buffer
	writeErr    error     // the first failed write
	deadline    time.Time // end of the flood
}

func (f *flooder) Write(b []byte) (int, error) {
	n, err := f.conn.Write(b)
	if err != nil && f.writeErr == nil {
		f.writeErr = err
	}
	return n, err
}

// repeat repeats a round of frames until a write fails or the flood's time is up, and returns the number of rounds.
func (f *flooder) repeat(do func(i int)) (n int) {
	for ; f.writeErr == nil && time.Now().Before(f.deadline); n++ {
		do(n)
	}
	return n
}

// awaitClose reads and discards until the connection is closed.
func (f *flooder) awaitClose() { io.Copy(io.Discard, f.conn) }

// headers sends the header fields of a request; end closes the stream.
func (f *flooder) headers(id uint32, end bool) {
	f.headerBlock.Reset()
	for _, k := range append([][2]string{{":method", "POST"}, {":scheme", "http"}, {":path", "/rpc/status-lookup"}},
		requestFields(requestIDs.Add(1))...) {
		f.encoder.WriteField(hpack.HeaderField{Name: k[0], Value: k[1]})
	}
	f.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: f.headerBlock.Bytes(), EndStream: end,
		EndHeaders: true})
}

// MeasureFloods runs each flood for some seconds against the HTTP/2 port of a new node, on several connections that
// are reopened whenever the node closes them. It records the memory of the node's process and whether the node still
// answers health checks.
func MeasureFloods(ctx context.Context, program string, seconds int) (out []FloodRun, err error) {
	for _, kind := range FloodKinds {
		n, err := startNode(ctx, program, []string{"h2c"}, "")
		if err != nil {
			return out, err
		}
		r := FloodRun{Flood: kind, BeforeMB: memoryMB(n.pid, "VmRSS"), Healthy: true}
		end := time.Now().Add(time.Duration(seconds) * time.Second)
		type counts struct{ conns, frames int }
		const connCount = 8
		done := make(chan counts, connCount)
		for range connCount {
			go func() {
				var s counts
				for time.Now().Before(end) && ctx.Err() == nil {
					c, err := net.Dial("tcp", n.addrs["h2c"])
					if err != nil {
						break
					}
					c.SetDeadline(end)
					f := &flooder{conn: c, deadline: end}
					f.framer = http2.NewFramer(f, nil)
					f.framer.AllowIllegalWrites = true
					f.encoder = hpack.NewEncoder(&f.headerBlock)
					if kind == "half-preface" {
						io.WriteString(c, http2.ClientPreface[:10])
					} else {
						io.WriteString(c, http2.ClientPreface)
						f.framer.WriteSettings()
						go f.awaitClose()
					}
					s.frames += floods[kind](f)
					s.conns++
					c.Close()
				}
				done <- s
			}()
		}
		for time.Now().Before(end) {
			r.Healthy = r.Healthy && WaitHealthy(ctx, n.addrs["http"]) == nil
			time.Sleep(50 * time.Millisecond)
		}
		for range connCount {
			s := <-done
			r.Connections += s.conns
			r.Frames += s.frames
		}
		r.PeakMB = memoryMB(n.pid, "VmHWM")
		n.stop()
		out = append(out, r)
	}
	return out, nil
}

// memoryMB returns a memory field of a process's status file, such as VmRSS, in MB, or 0 if it cannot be read.
func memoryMB(pid int, name string) float64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for l := range strings.Lines(string(text)) {
		if f := strings.Fields(l); len(f) > 1 && f[0] == name+":" {
			kb, _ := strconv.ParseFloat(f[1], 64)
			return kb / 1024
		}
	}
	return 0
}

// WriteFloods writes the runs as a table.
func WriteFloods(w io.Writer, all []FloodRun) {
	fmt.Fprintf(w, "%-14s %11s %9s %10s %8s %8s\n", "flood", "connections", "frames", "before MB", "peak MB", "healthy")
	for _, r := range all {
		fmt.Fprintf(w, "%-14s %11d %9d %10.1f %8.1f %8t\n", r.Flood, r.Connections, r.Frames, r.BeforeMB, r.PeakMB, r.Healthy)
	}
}
