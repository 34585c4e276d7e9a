// Package live plays a day of the emulator against real nodes on loopback sockets: each place of the fleet is a process of
// the node's program, its worker pool and the callers are the emulator's own models, paced by the clock. What differs from a
// play in virtual time is the node, its sockets and the machine, so that the difference is the error of the model.
package live

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"whinrudder"
	"whinrudder/internal/core"
	"whinrudder/internal/emu/baseline"
	"whinrudder/internal/emu/fleet"
	"whinrudder/internal/lab"
	"whinrudder/internal/vtime"
)

// Limits of a play on one machine, and what is allowed beyond the rules' grace for an answer that crosses sockets.
const (
	maxNodes = 16
	maxRate  = 1000.0 // requests a second

	slack    = 250.0
	pace     = time.Millisecond
	readyFor = 10 * time.Second
	stopFor  = 100.0 // a process is told of a stop that is so much sooner than the play's
)

// Host starts the processes of a play.
type Host struct {
	Program string
	front   string // beside HTTP/1.1, that is turned on by the operator's file; empty: none
	day     fleet.Day
	dir     string
	start   time.Time // of the day's time
	begun   chan struct{}

	mu    sync.Mutex
	nodes []*node
	count int
	fault error // the first process that could not be started
}

// RunDay plays a day against processes of a program, in real time. Its folder and processes are gone when it returns.
func RunDay(ctx context.Context, program string, d fleet.Day) (r fleet.Result, err error) {
	if d.Nodes > maxNodes {
		return r, fmt.Errorf("live: %d nodes, %d at most", d.Nodes, maxNodes)
	}
	for _, t := range d.Faults {
		if t.Kind == fleet.ClockSkew {
			return r, fmt.Errorf("live: the clock of one process can't be set apart from the others'")
		}
	}
	dir, err := os.MkdirTemp("", "live")
	if err != nil {
		return r, err
	}
	defer os.RemoveAll(dir)
	d.Slack = max(d.Slack, slack)
	h := &Host{Program: program, day: d, dir: dir, begun: make(chan struct{})}
	defer h.stop()
	var fault error
	r = fleet.SimulateWith(d, h.make, func(k *vtime.Kernel, to float64, poke func()) { fault = h.drive(ctx, k, to, poke) }, nil)
	return r, fault
}

// drive waits for the first processes and then lets the day go by the clock.
func (h *Host) drive(ctx context.Context, k *vtime.Kernel, to float64, poke func()) error {
	h.mu.Lock()
	first, fault := append([]*node{}, h.nodes...), h.fault
	h.mu.Unlock()
	if fault != nil {
		return fault
	}
	for _, n := range first {
		if err := n.waitReady(ctx); err != nil {
			return err
		}
	}
	h.start = time.Now()
	close(h.begun)
	tick := time.NewTicker(pace)
	defer tick.Stop()
	for k.Now() < to {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		k.Run(min(to, h.now()))
		poke()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.fault
}

// now is the time of the day, in milliseconds.
func (h *Host) now() float64 { return float64(time.Since(h.start)) / 1e6 }

func (h *Host) stop() {
	h.mu.Lock()
	all := h.nodes
	h.mu.Unlock()
	for _, n := range all {
		n.End(true)
	}
	for _, n := range all {
		<-n.exited
	}
}

// make starts a process and returns at once.
func (h *Host) make(s whinrudder.Settings, seed uint64) (baseline.Node, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	n, err := h.launch(s, seed)
	if err != nil && h.fault == nil {
		h.fault = err
	}
	if err != nil {
		return nil, err
	}
	h.nodes = append(h.nodes, n)
	return n, nil
}

// launch starts one process.
func (h *Host) launch(s whinrudder.Settings, seed uint64) (*node, error) {
	h.count++
	n := &node{h: h, name: fmt.Sprint("n", h.count), cold: s.Cold, ready: make(chan struct{}), exited: make(chan struct{}), calls: map[string]context.CancelFunc{}}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	var err error
	if n.addr, err = lab.FreeAddr(); err != nil {
		return nil, err
	}
	if n.pool, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	path := filepath.Join(h.dir, fmt.Sprint("n", h.count, ".json"))
	text, err := config(h.day, s, fmt.Sprint("n", h.count), n.addr, n.pool.Addr().String(), seed)
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, err
	}
	n.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}}
	args := []string{"serve", "--config", path}
	if n.front = n.addr; h.front != "" {
		if n.front, err = lab.FreeAddr(); err != nil {
			return nil, err
		}
		args = append(args, "--operator", path+".operator")
		if err := os.WriteFile(path+".operator", fmt.Appendf(nil, `{%q:{"listen":%q}}`, h.front, n.front), 0o600); err != nil {
			return nil, err
		}
	}
	n.process = exec.Command(h.Program, args...)
	if err := n.process.Start(); err != nil {
		n.pool.Close()
		return nil, err
	}
	go n.serveLink()
	go func() {
		n.process.Wait()
		n.pool.Close()
		n.mu.Lock()
		n.gone = true
		if n.left.IsZero() {
			n.left = time.Now()
		}
		n.out = append(n.out, core.DrainFinished{})
		n.mu.Unlock()
		close(n.exited)
	}()
	go func() {
		if lab.WaitHealthy(n.ctx, n.addr) == nil {
			n.mu.Lock()
			n.came = time.Now()
			n.mu.Unlock()
			close(n.ready)
		}
	}()
	return n, nil
}

// node is one process, as the fleet sees a node.
type node struct {
	h       *Host
	cold    bool
	name    string
	addr    string
	front   string // address that clients are told
	pool    net.Listener
	process *exec.Cmd
	client  *http.Client
	ctx     context.Context
	cancel  context.CancelFunc
	ready   chan struct{} // it serves
	exited  chan struct{}

	mu      sync.Mutex // of all below
	out     []core.Output
	link    net.Conn
	serial  int
	cookies []string
	gone    bool
	came    time.Time                     // it served from then on
	left    time.Time                     // it died, or was told to leave; zero: neither
	calls   map[string]context.CancelFunc // requests under way
}

func (n *node) waitReady(ctx context.Context) error {
	wait, cancel := context.WithDeadline(ctx, time.Now().Add(readyFor))
	defer cancel()
	select {
	case <-n.ready:
		return nil
	case <-n.exited:
		return fmt.Errorf("live: the node at %s has ended", n.addr)
	case <-wait.Done():
		return fmt.Errorf("live: the node at %s does not come up", n.addr)
	}
}

// Next implements baseline.Node: what the process told is to be taken at once.
func (n *node) Next() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.out) > 0 {
		return 1e-9
	}
	return 0
}

// Open implements baseline.Node.
func (n *node) Open() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.calls)
}

// Step implements baseline.Node: it hands to the process what the models tell, and returns what the process told.
func (n *node) Step(_ float64, in []core.Input) []core.Output {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, i := range in {
		switch i := i.(type) {
		case core.RequestArrived:
			ctx, cancel := context.WithCancel(n.ctx)
			n.calls[i.ID] = cancel
			go n.send(ctx, i.Request)
		case core.CallerGone:
			if cancel := n.calls[i.ID]; cancel != nil {
				cancel()
			}
		case core.RunFinished:
			how := map[core.RunEnd]string{core.RunOK: "OK", core.RunStopped: "STOPPED"}[i.End]
			n.serial++
			n.tell(`{"msg":"finished","serial":%d,"call":"%s","how":%q,"duration":%.3f,"blob":"b2s="}`, n.serial, i.ID, how, i.Latency)
		case core.GaugesRead:
			if len(n.cookies) > 0 {
				g := i.Gauges
				n.tell(`{"msg":"polled","cookie":%q,"stats":[%.4f,%.0f,%.4f,%.0f]}`, n.cookies[0], g.CPU, g.Runnable, g.Memory, g.Conns)
				n.cookies = n.cookies[1:]
			}
		case core.StopNotice:
			n.left = time.Now()
			n.process.Process.Signal(syscall.SIGTERM)
		}
	}
	out := n.out
	n.out = nil
	return out
}

// tell writes a line to the process, under the lock. Lines are few and short: the socket's buffer holds them.
func (n *node) tell(format string, args ...any) {
	if n.link != nil {
		n.link.SetWriteDeadline(time.Now().Add(time.Second))
		fmt.Fprintf(n.link, format+"\n", args...)
	}
}

// Terminate ends the process.
func (n *node) End(bool) {
	n.process.Process.Kill()
	n.cancel()
	n.pool.Close()
	n.client.CloseIdleConnections()
}

// send sends a request and hands its answer on.
func (n *node) send(ctx context.Context, r *core.Request) {
	a, err := n.call(ctx, r)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.calls[r.ID]()
	delete(n.calls, r.ID)
	switch {
	case n.gone || errors.Is(err, context.Canceled): // it died, which the fleet knows, or its caller left
	case err != nil:
		n.out = append(n.out, fleet.ConnectionReset{Reply: core.Reply{To: r.ReplyTo}, Reason: err.Error()})
	default:
		a.ID = r.ID
		n.out = append(n.out, core.Reply{To: r.ReplyTo, Answer: a})
	}
}

// call returns the answer to a request.
func (n *node) call(ctx context.Context, r *core.Request) (a core.Answer, err error) {
	select {
	case <-n.ready:
	case <-ctx.Done():
		return a, ctx.Err()
	}
	req, err := http.NewRequestWithContext(ctx, "POST", "http://"+n.addr+"/rpc/"+n.h.day.Classes[r.Class].Name, bytes.NewReader(nil))
	if err != nil {
		return a, err
	}
	came := float64(n.h.start.UnixNano())/1e6 + r.ArrivedAt
	for k, v := range map[string]string{"Req-Id": r.ID, "Req-Time": fmt.Sprintf("%.3f", came), "Req-From": fmt.Sprint(r.Caller),
		"Req-Wait-Ms": fmt.Sprintf("%.3f", r.Due-r.ArrivedAt), "Req-Kb": fmt.Sprintf("%.1f", r.KB), "Req-Rank": fmt.Sprintf("%.4f", r.Rank)} {
		req.Header.Set(k, v)
	}
	resp, err := n.client.Do(req)
	if err != nil {
		return a, err
	}
	io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	a.Credit = -1
	if v, err := strconv.ParseFloat(resp.Header.Get("Srv-Load"), 64); err == nil {
		a.Credit = v
	}
	if v, err := strconv.ParseFloat(resp.Header.Get("Srv-Wait-Ms"), 64); err == nil {
		a.RetryAfter = v
	}
	switch resp.StatusCode {
	case 200:
		a.Outcome = core.Served
	case 503:
		a.Outcome = core.Refused
	default:
		a.Outcome = core.Failed
	}
	return a, nil
}

// config is the configuration of a process, as the platform writes it.
func config(d fleet.Day, s whinrudder.Settings, name, listen, pool string, seed uint64) ([]byte, error) {
	type object = map[string]any
	var profiles []object
	for i, c := range s.Classes {
		repeat := "repeatable"
		if d.Classes[i].Write {
			repeat = "once"
		}
		profiles = append(profiles, object{"name": d.Classes[i].Name, "aim_ms": c.Aim, "deadline_ms": c.Deadline, "worth": c.Worth,
			"late_worth": c.LateWorth, "repeat": repeat})
	}
	return json.Marshal(object{"name": name, "listen": listen, "pool": pool, "announce": "127.0.0.1:9", "seed": strconv.FormatUint(seed, 16),
		"stop_ms": d.StopDelay - stopFor, "limits": object{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"settings": object{"servers": s.Servers, "tick_ms": s.Tick, "profiles": profiles,
			"specifics": object{"below": "silent", "callers": s.Callers, "cores": s.Cores, "cold": s.Cold, "halt": "abort", "say": "window",
				"heard_for_ms": s.HeardFor, "keepalive_max_ms": s.KeepAlive, "ram_kb": s.Memory, "run_factor": s.RunFactor, "entry_kb": s.EntryKB,
				"passes_deadline": s.PassesDeadline, "tells_gone": s.ReportsCancellation, "deep_checks": s.DeepChecks,
				"own_stats": []string{"cpu_busy", "runnable", "mem_used", "sockets"}},
			"rules": object{"grace_to_answer_ms": s.Rules.AnswerGrace, "cold_from": s.Rules.ColdFrom, "ramp_time_ms": s.Rules.RampTime,
				"drain_grace_ms": s.Rules.DrainGrace, "fall_multiple": s.Rules.FallMultiple, "overload_for_ms": s.Rules.FallWindow},
			"allowed": object{"retry_after": s.MaxRetryAfter > 0, "max_retry_after_ms": s.MaxRetryAfter},
			"goal":    object{"whole": s.Goal.Whole, "worst_class": s.Goal.WorstClass, "worst_window": s.Goal.WorstWindow}}})
}
