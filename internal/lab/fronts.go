package lab

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fastjson"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// FrontRun is the result of one front with a number of requests in flight.
type FrontRun struct {
	Front    string
	InFlight int     // requests in flight at a time
	Rate     float64 // answers per second
	CPU      float64 // CPU time of the server's process, in microseconds per request
	Failed   int
}

// MeasureFronts sends requests to each front of a node that program starts, with several numbers of requests in
// flight. If standard is not empty, it is the command line of a Go standard server that prints its address first;
// that server is measured for comparison. The worker pool is a fake that finishes each run at once, so that the path
// through the node is measured.
func MeasureFronts(ctx context.Context, program string, fronts []string, standard []string, requests int) (out []FrontRun, err error) {
	n, err := startNode(ctx, program, fronts, "")
	if err != nil {
		return nil, err
	}
	defer n.stop()
	run := func(label string, front, addr string, pid int) error {
		for _, inFlight := range []int{1, 16, 128} {
			r, err := loadFront(ctx, front, addr, inFlight, requests, pid)
			if err != nil {
				return fmt.Errorf("%s: %w", label, err)
			}
			r.Front = label
			out = append(out, r)
		}
		return nil
	}
	for _, f := range fronts {
		if err := run(f, f, n.addrs[f], n.pid); err != nil {
			return out, err
		}
	}
	if len(standard) == 0 {
		return out, nil
	}
	server := exec.CommandContext(ctx, standard[0], standard[1:]...)
	pipe, err := server.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := server.Start(); err != nil {
		return nil, err
	}
	defer func() { server.Process.Kill(); server.Wait() }()
	addr, err := bufio.NewReader(pipe).ReadString('\n')
	if err != nil {
		return nil, err
	}
	for _, f := range []string{"http", "h2c"} {
		if err := run("net/http "+f, f, strings.TrimSpace(addr), server.Process.Pid); err != nil {
			return out, err
		}
	}
	return out, nil
}

// testNode is a node in its own process, with a worker pool that finishes each run at once.
type testNode struct {
	addrs map[string]string // by front
	pid   int
	stop  func() // kills the process, closes the worker pool's listener and removes the node's directory
}

// labConfig is the configuration of a measured node: a format whose arguments are the addresses of the HTTP front and
// the worker pool, and the memory limit in MB.
const labConfig = `{"name":"n1","listen":"%s","pool":"%s","announce":"127.0.0.1:9","seed":"1","stop_ms":500,
"limits":{"cores":1,"memory_mb":%d,"sockets":1024},"settings":{"servers":3,"tick_ms":2,"profiles":[{"name":"status-lookup",
"aim_ms":6000,"deadline_ms":9000,"repeat":"repeatable","worth":1},{"name":"payout-book","aim_ms":6000,"deadline_ms":9000,"repeat":"once","worth":3}],"specifics":{"below":"silent","callers":1,"cores":256,
"halt":"abort","heard_for_ms":1000,"keepalive_max_ms":30000,"ram_kb":9000000,"run_factor":16,"say":"window",
"passes_deadline":true,"tells_gone":true,"own_stats":["cpu_busy","runnable","mem_used","sockets"]},
"rules":{"fall_multiple":8,"drain_grace_ms":2000}}}`

// nodeSetup describes a measured node.
type nodeSetup struct {
	fronts   []string
	sections string // further sections of the operator's file; if not empty, they begin with a comma
	memoryMB int    // memory limit of the node's process
	pool     func(net.Listener)

	upgradeDir string            // folder in which processes of the node succeed each other; empty: none
	addrs      map[string]string // listen addresses by front of the process to succeed; nil: new ones
}

// platformMemoryMB is the largest memory limit that the platform gives a node.
const platformMemoryMB = 192

// startNode starts a node with the largest memory limit of the platform and a worker pool that finishes each run at
// once. See startNodeWith.
func startNode(ctx context.Context, program string, fronts []string, sections string) (n *testNode, err error) {
	return startNodeWith(ctx, program, nodeSetup{fronts: fronts, sections: sections, memoryMB: platformMemoryMB,
		pool: instantPool})
}

// startNodeWith starts a node and waits until it is healthy.
func startNodeWith(ctx context.Context, program string, setup nodeSetup) (n *testNode, err error) {
	n = &testNode{addrs: setup.addrs}
	dir, err := os.MkdirTemp("", "node")
	if err != nil {
		return nil, err
	}
	pool, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go setup.pool(pool)
	if n.addrs == nil {
		if n.addrs, err = freeFrontAddrs(); err != nil {
			return nil, err
		}
	}
	config := fmt.Sprintf(labConfig, n.addrs["http"], pool.Addr(), setup.memoryMB)
	operator := setup.sections
	for _, f := range setup.fronts {
		if f != "http" {
			operator += fmt.Sprintf(`,%q:{"listen":%q}`, f, n.addrs[f])
		}
	}
	if setup.upgradeDir != "" {
		operator += fmt.Sprintf(`,"upgrade":{"dir":%q}`, setup.upgradeDir)
	}
	args := []string{"serve", "--config", filepath.Join(dir, "config.json")}
	if err := os.WriteFile(args[2], []byte(config), 0o600); err != nil {
		return nil, err
	}
	if operator != "" {
		path := filepath.Join(dir, "operator.json")
		if err := os.WriteFile(path, []byte("{"+operator[1:]+"}"), 0o600); err != nil {
			return nil, err
		}
		args = append(args, "--operator", path)
	}
	command := exec.CommandContext(ctx, program, args...)
	if err := command.Start(); err != nil {
		return nil, err
	}
	n.pid = command.Process.Pid
	n.stop = func() {
		command.Process.Kill()
		command.Wait()
		pool.Close()
		os.RemoveAll(dir)
	}
	if err := WaitHealthy(ctx, n.addrs["http"]); err != nil {
		n.stop()
		return nil, err
	}
	return n, nil
}

// freeFrontAddrs returns a free address for each front.
func freeFrontAddrs() (map[string]string, error) {
	addrs := map[string]string{}
	for _, f := range []string{"http", "uwsgi", "h2c"} {
		addr, err := FreeAddr()
		if err != nil {
			return nil, err
		}
		addrs[f] = addr
	}
	return addrs, nil
}

// ServeStandard serves the same answers with Go's standard server, over HTTP/1.1 and HTTP/2 without TLS, until its
// process ends. It writes its address to out first.
func ServeStandard(out io.Writer) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	fmt.Fprintln(out, l.Addr())
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	s := &http.Server{Protocols: &protocols, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		w.Header().Set("Srv-Load", "16")
		io.WriteString(w, "ok")
	})}
	return s.Serve(l)
}

// FreeAddr returns a loopback address with a free port. Another process may take the port before it is used.
func FreeAddr() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// WaitHealthy waits until a node's health check succeeds, for 5 seconds at most.
func WaitHealthy(ctx context.Context, addr string) error {
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline) && ctx.Err() == nil; time.Sleep(10 * time.Millisecond) {
		if resp, err := http.Get("http://" + addr + "/health"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == 200 {
				return nil
			}
		}
	}
	return fmt.Errorf("lab: node at %s did not become healthy", addr)
}

// instantPool is a fake worker pool that finishes each run at once.
func instantPool(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		serial := 0
		var p fastjson.Parser
		for r := bufio.NewScanner(c); r.Scan(); {
			v, err := p.ParseBytes(r.Bytes())
			if err != nil {
				break
			}
			switch string(v.GetStringBytes("msg")) {
			case "bind":
				fmt.Fprintln(c, `{"msg":"bound","how":"WARM","duration":5}`)
			case "spawn":
				serial++
				fmt.Fprintf(c, `{"msg":"finished","serial":%d,"call":"%s","how":"OK","duration":1,"blob":"b2s="}`+"\n", serial,
					v.GetStringBytes("call"))
			case "poll":
				fmt.Fprintf(c, `{"msg":"polled","cookie":"%s","stats":[0.5,1,0.1,4]}`+"\n", v.GetStringBytes("cookie"))
			}
		}
		c.Close()
	}
}

// requestIDs is the counter of request IDs. Each request of the process gets a new ID, since a node refuses a repeated
// one.
var requestIDs atomic.Uint64

// loadFront sends requests to one front with inFlight of them in flight, and measures the rate and the CPU time.
func loadFront(ctx context.Context, front, addr string, inFlight, requests, pid int) (r FrontRun, err error) {
	r.InFlight = inFlight
	var remaining atomic.Int64
	remaining.Store(int64(requests))
	var failed atomic.Int64
	var wait sync.WaitGroup
	cpu, start := cpuSeconds(pid), time.Now()
	errs := make(chan error, inFlight)
	if front == "h2c" {
		errs <- loadH2C(ctx, addr, inFlight, requests, &failed)
	} else {
		for range inFlight {
			wait.Go(func() {
				for remaining.Add(-1) >= 0 && ctx.Err() == nil {
					n := 1
					if front == "http" { // HTTP/1.1 reuses its connection for this goroutine's share of the requests
						n = int(remaining.Load()/int64(inFlight)) + 1
						remaining.Add(int64(1 - n))
					}
					if err := loadConn(front, addr, n, &failed); err != nil {
						errs <- err
						return
					}
				}
			})
		}
		wait.Wait()
	}
	select {
	case err = <-errs:
	default:
	}
	seconds := time.Since(start).Seconds()
	r.Rate, r.CPU = float64(requests)/seconds, (cpuSeconds(pid)-cpu)*1e6/float64(requests)
	r.Failed = int(failed.Load())
	return r, err
}

// cpuSeconds returns the CPU time of a process in seconds, in steps of 10 ms, or 0 if it cannot be read.
func cpuSeconds(pid int) float64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	_, rest, _ := bytes.Cut(text, []byte(") "))
	f := strings.Fields(string(rest))
	if len(f) < 13 {
		return 0
	}
	user, _ := strconv.ParseFloat(f[11], 64)
	sys, _ := strconv.ParseFloat(f[12], 64)
	return (user + sys) / 100
}

// requestFields returns the header fields of a request.
func requestFields(id uint64) [][2]string {
	return [][2]string{{"req-id", fmt.Sprintf("%016x", id)}, {"req-time", strconv.FormatInt(time.Now().UnixMilli(), 10)},
		{"req-from", "1"}, {"req-wait-ms", "5000"}, {"req-kb", "20"}, {"req-rank", "0.5"}}
}

// appendRequest appends a request in the form of the HTTP or the uwsgi front.
func appendRequest(b []byte, front string, fields [][2]string, body string) []byte {
	if front == "http" {
		b = append(b, "POST /rpc/status-lookup HTTP/1.1\r\nHost: a\r\n"...)
		for _, f := range fields {
			b = fmt.Appendf(b, "%s: %s\r\n", f[0], f[1])
		}
		return fmt.Appendf(b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	}
	vars := [][2]string{{"REQUEST_METHOD", "POST"}, {"PATH_INFO", "/rpc/status-lookup"},
		{"CONTENT_LENGTH", strconv.Itoa(len(body))}}
	for _, f := range fields {
		vars = append(vars, [2]string{"HTTP_" + strings.ToUpper(strings.ReplaceAll(f[0], "-", "_")), f[1]})
	}
	var packet []byte
	for _, v := range vars {
		for _, s := range v {
			packet = append(append(packet, byte(len(s)), byte(len(s)>>8)), s...)
		}
	}
	b = append(append(b, 0, byte(len(packet)), byte(len(packet)>>8), 0), packet...)
	return append(b, body...)
}

// loadConn sends n requests one after another on one connection.
func loadConn(front, addr string, n int, failed *atomic.Int64) error {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(time.Minute))
	r := bufio.NewReader(c)
	var b []byte
	for range n {
		b = appendRequest(b[:0], front, requestFields(requestIDs.Add(1)), "ok")
		if _, err := c.Write(b); err != nil {
			return err
		}
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			return err
		}
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if resp.StatusCode != 200 {
			failed.Add(1)
		}
	}
	return nil
}

// loadH2C sends requests on one HTTP/2 connection with up to inFlight streams open.
func loadH2C(ctx context.Context, addr string, inFlight, requests int, failed *atomic.Int64) error {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(time.Minute))
	w := bufio.NewWriter(c)
	framer := http2.NewFramer(w, bufio.NewReader(c))
	framer.ReadMetaHeaders = hpack.NewDecoder(4096, nil)
	io.WriteString(w, http2.ClientPreface)
	framer.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 1 << 20})
	framer.WriteWindowUpdate(0, 1<<30)
	var headerBlock bytes.Buffer
	encoder := hpack.NewEncoder(&headerBlock)
	sent, answered, open, limit := 0, 0, 0, 1 // limit: streams that the server allows; 1 until its settings arrive
	send := func() error {
		for sent < requests && open < min(inFlight, limit) {
			headerBlock.Reset()
			for _, f := range append([][2]string{{":method", "POST"}, {":scheme", "http"}, {":path", "/rpc/status-lookup"},
				{":authority", "a"}, {"content-length", "2"}}, requestFields(requestIDs.Add(1))...) {
				encoder.WriteField(hpack.HeaderField{Name: f[0], Value: f[1]})
			}
			id := uint32(2*sent + 1)
			if err := framer.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: headerBlock.Bytes(),
				EndHeaders: true}); err != nil {
				return err
			}
			if err := framer.WriteData(id, true, []byte("ok")); err != nil {
				return err
			}
			sent++
			open++
		}
		return w.Flush()
	}
	for answered < requests && ctx.Err() == nil {
		if err := send(); err != nil {
			return err
		}
		f, err := framer.ReadFrame()
		if err != nil {
			return err
		}
		ended := false
		switch f := f.(type) {
		case *http2.SettingsFrame:
			if v, ok := f.Value(http2.SettingMaxConcurrentStreams); ok {
				limit = int(v)
			}
			if !f.IsAck() {
				framer.WriteSettingsAck()
			}
		case *http2.PingFrame:
			if !f.IsAck() {
				framer.WritePing(true, f.Data)
			}
		case *http2.MetaHeadersFrame:
			if f.PseudoValue("status") != "200" {
				failed.Add(1)
			}
			ended = f.StreamEnded()
		case *http2.DataFrame:
			ended = f.StreamEnded()
		case *http2.RSTStreamFrame:
			failed.Add(1)
			ended = true
		case *http2.GoAwayFrame:
			return fmt.Errorf("lab: server sent %v with debug data %q", f, f.DebugData())
		}
		if ended {
			answered++
			open--
		}
	}
	return nil
}

// WriteFronts writes the runs as a table.
func WriteFronts(w io.Writer, all []FrontRun) {
	fmt.Fprintf(w, "%-14s %8s %10s %14s %7s\n", "front", "in hand", "a second", "CPU us each", "failed")
	for _, r := range all {
		fmt.Fprintf(w, "%-14s %8d %10.0f %14.1f %7d\n", r.Front, r.InFlight, r.Rate, r.CPU, r.Failed)
	}
}
