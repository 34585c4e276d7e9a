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

// FloodRun is what a node's process did under one flood on its HTTP/2 port.
type FloodRun struct {
	Flood       string
	Connections int
	Frames      int
	PeakMB      float64 // resident memory at its highest, in MB
	BeforeMB    float64 // and before the flood
	Healthy     bool    // a caller over HTTP/1.1 was answered all the while
}

// floods are the kinds; each sends until the node closes the connection and returns how many frames went out.
var floods = map[string]func(p *flooder) int{
	"rapid-reset": func(p *flooder) int {
		return p.until(func(i int) {
			p.headers(uint32(2*i+1), true)
			p.fr.WriteRSTStream(uint32(2*i+1), http2.ErrCodeCancel)
		})
	},
	"ping":     func(p *flooder) int { return p.until(func(int) { p.fr.WritePing(false, [8]byte{}) }) },
	"settings": func(p *flooder) int { return p.until(func(int) { p.fr.WriteSettings() }) },
	"empty-data": func(p *flooder) int {
		p.headers(1, false)
		return p.until(func(int) { p.fr.WriteData(1, false, nil) })
	},
	"data": func(p *flooder) int {
		p.headers(1, false)
		b := make([]byte, 16000)
		return p.until(func(int) { p.fr.WriteData(1, false, b) })
	},
	"bodies": func(p *flooder) int { // as many streams as there can be, each with all of a body but its end
		b := make([]byte, 2048)
		return p.until(func(i int) {
			p.headers(uint32(2*i+1), false)
			p.fr.WriteData(uint32(2*i+1), false, b)
		})
	},
	"continuation": func(p *flooder) int {
		p.fr.WriteHeaders(http2.HeadersFrameParam{StreamID: 1})
		b := make([]byte, 1000)
		return p.until(func(int) { p.fr.WriteContinuation(1, false, b) })
	},
	"hpack": func(p *flooder) int {
		return p.until(func(i int) {
			p.hp.Reset()
			p.enc.WriteField(hpack.HeaderField{Name: "x", Value: strings.Repeat("x", 3900)})
			p.fr.WriteHeaders(http2.HeadersFrameParam{StreamID: uint32(2*i + 1), EndStream: true, EndHeaders: true,
				BlockFragment: append(bytes.Clone(p.hp.Bytes()), bytes.Repeat([]byte{0x80 | 62}, 12000)...)})
		})
	},
	"zero-window": func(p *flooder) int { // answers wait for a window that never opens
		p.fr.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 0})
		return p.until(func(i int) {
			p.headers(uint32(2*i+1), true)
			time.Sleep(time.Millisecond)
		})
	},
	"half-preface": func(p *flooder) int { p.wait(); return 0 },
}

// FloodKinds are the floods in the order in which they are played.
var FloodKinds = []string{"rapid-reset", "ping", "settings", "empty-data", "data", "bodies", "continuation", "hpack",
	"zero-window", "half-preface"}

// flooder is one hostile connection.
type flooder struct {
	c   net.Conn
	fr  *http2.Framer
	enc *hpack.Encoder
	hp  bytes.Buffer
	bad error
	by  time.Time
}

func (f *flooder) Write(b []byte) (int, error) {
	n, err := f.c.Write(b)
	if err != nil && f.bad == nil {
		f.bad = err
	}
	return n, err
}

// until repeats until the connection is closed or the time is over.
func (f *flooder) until(do func(i int)) (n int) {
	for ; f.bad == nil && time.Now().Before(f.by); n++ {
		do(n)
	}
	return n
}

// wait waits until the node closes the connection.
func (f *flooder) wait() { io.Copy(io.Discard, f.c) }

func (f *flooder) headers(id uint32, end bool) {
	f.hp.Reset()
	for _, k := range append([][2]string{{":method", "POST"}, {":scheme", "http"}, {":path", "/rpc/status-lookup"}},
		fieldsOf(ids.Add(1))...) {
		f.enc.WriteField(hpack.HeaderField{Name: k[0], Value: k[1]})
	}
	f.fr.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: f.hp.Bytes(), EndStream: end, EndHeaders: true})
}

// MeasureFloods plays each flood for some seconds against the HTTP/2 port of a node, on several connections that are made again
// whenever the node closes them, and watches the memory of its process and whether it goes on to answer others.
func MeasureFloods(ctx context.Context, program string, seconds int) (out []FloodRun, err error) {
	for _, kind := range FloodKinds {
		n, err := startNode(ctx, program, []string{"h2c"}, "")
		if err != nil {
			return out, err
		}
		r := FloodRun{Flood: kind, BeforeMB: memoryOf(n.pid, "VmRSS"), Healthy: true}
		by := time.Now().Add(time.Duration(seconds) * time.Second)
		type sum struct{ conns, frames int }
		const hostile = 8
		done := make(chan sum, hostile)
		for range hostile {
			go func() {
				var s sum
				for time.Now().Before(by) && ctx.Err() == nil {
					c, err := net.Dial("tcp", n.addrs["h2c"])
					if err != nil {
						break
					}
					c.SetDeadline(by)
					f := &flooder{c: c, by: by}
					f.fr = http2.NewFramer(f, nil)
					f.fr.AllowIllegalWrites = true
					f.enc = hpack.NewEncoder(&f.hp)
					if kind == "half-preface" {
						io.WriteString(c, http2.ClientPreface[:10])
					} else {
						io.WriteString(c, http2.ClientPreface)
						f.fr.WriteSettings()
						go f.wait()
					}
					s.frames += floods[kind](f)
					s.conns++
					c.Close()
				}
				done <- s
			}()
		}
		for time.Now().Before(by) {
			r.Healthy = r.Healthy && WaitHealthy(ctx, n.addrs["http"]) == nil
			time.Sleep(50 * time.Millisecond)
		}
		for range hostile {
			s := <-done
			r.Connections += s.conns
			r.Frames += s.frames
		}
		r.PeakMB = memoryOf(n.pid, "VmHWM")
		n.stop()
		out = append(out, r)
	}
	return out, nil
}

// memoryOf returns a figure of a process's memory in MB.
func memoryOf(pid int, name string) float64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for l := range strings.Lines(string(text)) {
		if f := strings.Fields(l); len(f) > 1 && f[0] == name+":" {
			kb, _ := strconv.ParseFloat(f[1], 64)
			return kb / 1024
		}
	}
	return 0
}

// WriteFloods writes the runs as people read them.
func WriteFloods(w io.Writer, all []FloodRun) {
	fmt.Fprintf(w, "%-14s %11s %9s %10s %8s %8s\n", "flood", "connections", "frames", "before MB", "peak MB", "healthy")
	for _, r := range all {
		fmt.Fprintf(w, "%-14s %11d %9d %10.1f %8.1f %8t\n", r.Flood, r.Connections, r.Frames, r.BeforeMB, r.PeakMB, r.Healthy)
	}
}
