// Package live plays a day of the emulator in real time against real nodes on loopback sockets. Each node of the
// fleet is a process of the node's program, while its worker pool and the callers are the emulator's models, paced by
// the clock. Compared with the same day in virtual time, only the node, its sockets and the machine differ, so the
// difference of the results is the error of the node model. The package can also replace the modeled callers by real
// clients or proxies.
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

// Limits of a day that one machine can play, and the timing of a play.
const (
	maxNodes             = 16
	maxRequestsPerSecond = 1000.0

	slackMs      = 250.0            // tolerance beyond the grace of the rules, for answers that cross sockets
	stepInterval = time.Millisecond // interval at which the simulation catches up with the clock
	readyTimeout = 10 * time.Second
	stopLeadMs   = 100.0 // the stop time limit of a process is shorter than that of the day by this much
)

// Host starts and owns the node processes of one day.
type Host struct {
	Program  string
	protocol string // protocol that the operator's file enables beside HTTP/1.1; empty if none
	day      fleet.Day
	dir      string        // temporary folder of configuration files
	start    time.Time     // wall-clock time at which the day begins; valid once started is closed
	started  chan struct{} // closed when the day begins

	mu       sync.Mutex
	nodes    []*node
	count    int   // number of processes started so far, for their names
	startErr error // error of the first process that could not be started
}

// RunDay plays a day in real time against processes of the node program. When it returns, the processes have exited and
// its temporary folder is removed. A day with clock skew is refused, as is one with more than maxNodes nodes.
func RunDay(ctx context.Context, program string, d fleet.Day) (r fleet.Result, err error) {
	if d.Nodes > maxNodes {
		return r, fmt.Errorf("live: the day has %d nodes, want at most %d", d.Nodes, maxNodes)
	}
	for _, t := range d.Faults {
		if t.Kind == fleet.ClockSkew {
			return r, fmt.Errorf("live: clock skew is not supported: processes of one machine share its clock")
		}
	}
	dir, err := os.MkdirTemp("", "live")
	if err != nil {
		return r, err
	}
	defer os.RemoveAll(dir)
	d.Slack = max(d.Slack, slackMs)
	h := &Host{Program: program, day: d, dir: dir, started: make(chan struct{})}
	defer h.stop()
	var driveErr error
	r = fleet.SimulateWith(d, h.startNode, func(k *vtime.Kernel, to float64, poke func()) { driveErr = h.drive(ctx, k, to, poke) }, nil)
	return r, driveErr
}

// drive waits until the first processes are ready, and then advances the simulation with the clock until the end of the
// day. After each advance, poke lets the simulation take the outputs of the processes.
func (h *Host) drive(ctx context.Context, k *vtime.Kernel, to float64, poke func()) error {
	h.mu.Lock()
	first, startErr := append([]*node{}, h.nodes...), h.startErr
	h.mu.Unlock()
	if startErr != nil {
		return startErr
	}
	for _, n := range first {
		if err := n.waitReady(ctx); err != nil {
			return err
		}
	}
	h.start = time.Now()
	close(h.started)
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for k.Now() < to {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		k.Run(min(to, h.now()))
		poke()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.startErr
}

// now returns the time since the start of the day, in milliseconds.
func (h *Host) now() float64 { return float64(time.Since(h.start)) / 1e6 }

// stop kills all processes and waits until they have exited.
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

// startNode starts a process without waiting until it is ready. It keeps the first error for drive to return.
func (h *Host) startNode(s whinrudder.Settings, seed uint64) (baseline.Node, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	n, err := h.launch(s, seed)
	if err != nil && h.startErr == nil {
		h.startErr = err
	}
	if err != nil {
		return nil, err
	}
	h.nodes = append(h.nodes, n)
	return n, nil
}

// launch starts one process and the goroutines that serve its worker pool, watch its exit and wait for its readiness.
// The caller holds the lock.
func (h *Host) launch(s whinrudder.Settings, seed uint64) (*node, error) {
	h.count++
	n := &node{h: h, name: fmt.Sprint("n", h.count), cold: s.Cold, ready: make(chan struct{}),
		exited: make(chan struct{}), cancels: map[string]context.CancelFunc{}}
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
	if n.clientAddr = n.addr; h.protocol != "" {
		if n.clientAddr, err = lab.FreeAddr(); err != nil {
			return nil, err
		}
		args = append(args, "--operator", path+".operator")
		if err := os.WriteFile(path+".operator", fmt.Appendf(nil, `{%q:{"listen":%q}}`, h.protocol, n.clientAddr),
			0o600); err != nil {
			return nil, err
		}
	}
	n.process = exec.Command(h.Program, args...)
	if err := n.process.Start(); err != nil {
		n.pool.Close()
		return nil, err
	}
	go n.servePool()
	go func() {
		n.process.Wait()
		n.pool.Close()
		n.mu.Lock()
		n.hasExited = true
		if n.leftAt.IsZero() {
			n.leftAt = time.Now()
		}
		n.outputs = append(n.outputs, core.DrainFinished{})
		n.mu.Unlock()
		close(n.exited)
	}()
	go func() {
		if lab.WaitHealthy(n.ctx, n.addr) == nil {
			n.mu.Lock()
			n.readyAt = time.Now()
			n.mu.Unlock()
			close(n.ready)
		}
	}()
	return n, nil
}

// node is one process, adapted to the interface of a simulated node.
type node struct {
	h          *Host
	cold       bool
	name       string
	addr       string
	clientAddr string // address that clients and proxies connect to
	pool       net.Listener
	process    *exec.Cmd
	client     *http.Client
	ctx        context.Context
	cancel     context.CancelFunc
	ready      chan struct{} // closed once the process serves
	exited     chan struct{} // closed once the process has exited

	mu        sync.Mutex                    // guards the fields below
	outputs   []core.Output                 // outputs that the simulation has not taken yet
	poolConn  net.Conn                      // connection of the process to its worker pool; nil if none
	serial    int                           // number of the last finished run
	cookies   []string                      // unanswered polls, the oldest first
	hasExited bool                          // the process has exited
	readyAt   time.Time                     // time at which it became ready; zero before
	leftAt    time.Time                     // time at which it exited or was told to stop; zero before
	cancels   map[string]context.CancelFunc // cancel functions of the open requests, by request id
}

// waitReady waits until the process serves, and fails after readyTimeout or if the process exits.
func (n *node) waitReady(ctx context.Context) error {
	waitCtx, cancel := context.WithDeadline(ctx, time.Now().Add(readyTimeout))
	defer cancel()
	select {
	case <-n.ready:
		return nil
	case <-n.exited:
		return fmt.Errorf("live: the node at %s exited before it was ready", n.addr)
	case <-waitCtx.Done():
		return fmt.Errorf("live: the node at %s is not ready", n.addr)
	}
}

// Next implements baseline.Node. Pending outputs of the process are due at once: it returns a tiny positive time,
// because 0 means that nothing is pending.
func (n *node) Next() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.outputs) > 0 {
		return 1e-9
	}
	return 0
}

// Open implements baseline.Node: it returns the number of open requests.
func (n *node) Open() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.cancels)
}

// Step implements baseline.Node: it passes the inputs of the models to the process, and returns the outputs of the
// process since the last call.
func (n *node) Step(_ float64, in []core.Input) []core.Output {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, input := range in {
		switch input := input.(type) {
		case core.RequestArrived:
			ctx, cancel := context.WithCancel(n.ctx)
			n.cancels[input.ID] = cancel
			go n.send(ctx, input.Request)
		case core.CallerGone:
			if cancel := n.cancels[input.ID]; cancel != nil {
				cancel()
			}
		case core.RunFinished:
			how := map[core.RunEnd]string{core.RunOK: "OK", core.RunStopped: "STOPPED"}[input.End]
			n.serial++
			n.writeLine(`{"msg":"finished","serial":%d,"call":"%s","how":%q,"duration":%.3f,"blob":"b2s="}`, n.serial,
				input.ID, how, input.Latency)
		case core.GaugesRead:
			if len(n.cookies) > 0 {
				gauges := input.Gauges
				n.writeLine(`{"msg":"polled","cookie":%q,"stats":[%.4f,%.0f,%.4f,%.0f]}`, n.cookies[0], gauges.CPU,
					gauges.Runnable, gauges.Memory, gauges.Conns)
				n.cookies = n.cookies[1:]
			}
		case core.StopNotice:
			n.leftAt = time.Now()
			n.process.Process.Signal(syscall.SIGTERM)
		}
	}
	outputs := n.outputs
	n.outputs = nil
	return outputs
}

// writeLine writes a message of the worker pool to the process. The caller holds the lock; that is acceptable because
// the messages are few and short enough for the socket's buffer.
func (n *node) writeLine(format string, args ...any) {
	if n.poolConn != nil {
		n.poolConn.SetWriteDeadline(time.Now().Add(time.Second))
		fmt.Fprintf(n.poolConn, format+"\n", args...)
	}
}

// End implements baseline.Node: it kills the process and closes its connections.
func (n *node) End(bool) {
	n.process.Process.Kill()
	n.cancel()
	n.pool.Close()
	n.client.CloseIdleConnections()
}

// send sends a request to the process and queues its answer, or the reset of its connection, as an output.
func (n *node) send(ctx context.Context, r *core.Request) {
	a, err := n.call(ctx, r)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cancels[r.ID]()
	delete(n.cancels, r.ID)
	switch {
	case n.hasExited || errors.Is(err, context.Canceled):
		// The simulation already knows that the process exited or that the caller gave up.
	case err != nil:
		n.outputs = append(n.outputs, fleet.ConnectionReset{Reply: core.Reply{To: r.ReplyTo}, Reason: err.Error()})
	default:
		a.ID = r.ID
		n.outputs = append(n.outputs, core.Reply{To: r.ReplyTo, Answer: a})
	}
}

// call sends a request once the process is ready, and returns its answer.
func (n *node) call(ctx context.Context, r *core.Request) (a core.Answer, err error) {
	select {
	case <-n.ready:
	case <-ctx.Done():
		return a, ctx.Err()
	}
	req, err := http.NewRequestWithContext(ctx, "POST", "http://"+n.addr+"/rpc/"+n.h.day.Classes[r.Class].Name,
		bytes.NewReader(nil))
	if err != nil {
		return a, err
	}
	arrivedAt := float64(n.h.start.UnixNano())/1e6 + r.ArrivedAt
	for k, v := range map[string]string{"Req-Id": r.ID, "Req-Time": fmt.Sprintf("%.3f", arrivedAt),
		"Req-From":    fmt.Sprint(r.Caller),
		"Req-Wait-Ms": fmt.Sprintf("%.3f", r.Due-r.ArrivedAt), "Req-Kb": fmt.Sprintf("%.1f", r.KB),
		"Req-Rank": fmt.Sprintf("%.4f", r.Rank)} {
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

// config returns the configuration file of a process, in the format that the platform writes.
func config(d fleet.Day, s whinrudder.Settings, name, listen, pool string, seed uint64) ([]byte, error) {
	type object = map[string]any
	var profiles []object
	for i, c := range s.Classes {
		repeat := "repeatable"
		if d.Classes[i].Write {
			repeat = "once"
		}
		profiles = append(profiles, object{"name": d.Classes[i].Name, "aim_ms": c.Aim, "deadline_ms": c.Deadline,
			"worth":      c.Worth,
			"late_worth": c.LateWorth, "repeat": repeat})
	}
	return json.Marshal(object{"name": name, "listen": listen, "pool": pool, "announce": "127.0.0.1:9",
		"seed":    strconv.FormatUint(seed, 16),
		"stop_ms": d.StopDelay - stopLeadMs, "limits": object{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"settings": object{"servers": s.Servers, "tick_ms": s.Tick, "profiles": profiles,
			"specifics": object{"below": "silent", "callers": s.Callers, "cores": s.Cores, "cold": s.Cold,
				"halt": "abort", "say": "window",
				"heard_for_ms": s.HeardFor, "keepalive_max_ms": s.KeepAlive, "ram_kb": s.Memory,
				"run_factor": s.RunFactor, "entry_kb": s.EntryKB,
				"passes_deadline": s.PassesDeadline, "tells_gone": s.ReportsCancellation, "deep_checks": s.DeepChecks,
				"own_stats": []string{"cpu_busy", "runnable", "mem_used", "sockets"}},
			"rules": object{"grace_to_answer_ms": s.Rules.AnswerGrace, "cold_from": s.Rules.ColdFrom,
				"ramp_time_ms":   s.Rules.RampTime,
				"drain_grace_ms": s.Rules.DrainGrace, "fall_multiple": s.Rules.FallMultiple,
				"overload_for_ms": s.Rules.FallWindow},
			"allowed": object{"retry_after": s.MaxRetryAfter > 0, "max_retry_after_ms": s.MaxRetryAfter},
			"goal": object{"whole": s.Goal.Whole, "worst_class": s.Goal.WorstClass,
				"worst_window": s.Goal.WorstWindow}}})
}
