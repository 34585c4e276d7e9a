package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// freeAddr returns a loopback address with a free port.
func freeAddr() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// settings returns the settings of a small deployment. They are those of the sample on the wire page, for six cores.
func settings() map[string]any {
	profile := func(name string, aim, deadline, worth float64, repeat string) map[string]any {
		return map[string]any{"name": name, "aim_ms": aim, "deadline_ms": deadline, "late_worth": 0.2,
			"memory_span_ms": 5000, "repeat": repeat, "worth": worth}
	}
	return map[string]any{
		"allowed": map[string]any{"cpu_us_per_request": 0, "cpu_us_per_s": 63726, "max_retry_after_ms": 1000, "retry_after": true},
		"clients": map[string]any{"marks_retry": false},
		"goal":    map[string]any{"whole": 0.6, "worst_class": 0.2, "worst_tenant": 0, "worst_window": 0.2},
		"parties": []any{}, "over_share_worth": 0.1, "position": 2, "servers": 3, "tick_ms": 2, "tier": 0,
		"tiers": []any{"payout-servers"}, "workload": "server", "worth_by": "request", "zone": 0, "zones": []any{"a"},
		"profiles": []any{profile("status-lookup", 3100, 9300, 1, "repeatable"),
			profile("rate-quote", 1900, 6200, 1, "repeatable"), profile("payout-book", 2500, 7800, 3, "once")},
		"report": map[string]any{"fields": []any{}, "how": "silent"},
		"rules": map[string]any{"cold_from": 0.2, "drain_grace_ms": 2000, "fall_multiple": 8, "grace_to_answer_ms": 80,
			"overload_for_ms": 1500, "ramp_time_ms": 17000},
		"specifics": map[string]any{"below": "silent", "callers": 3, "calls_out": 0, "class_calls": []any{false, false, false},
			"class_skip_worth": []any{0, 0, 0}, "cold": false, "cores": 6, "deep_checks": true, "entry_kb": 189,
			"fresh_ms": 0, "halt": "abort", "heard_for_ms": 1000, "keepalive_max_ms": 30000, "linger_ms": 200,
			"own_stats":       []any{"cpu_busy", "runnable", "mem_used", "sockets"},
			"passes_deadline": true, "ram_kb": 83538, "readiness": false, "run_factor": 16, "say": "window",
			"share_span_ms": 5000, "tells_gone": true},
		"tariffs": map[string]any{"connection": 0, "handshake": 0, "late_fail": 0.069, "origin": 0, "waste": 0.16},
	}
}

// config is the configuration of a payout node.
type config struct {
	name, listen, pool, announce, admin string
	stopMs                              float64
	memoryMB, sockets                   int
	settings                            map[string]any
}

func (c config) write(path string) error {
	v := map[string]any{"name": c.name, "listen": c.listen, "pool": c.pool, "announce": c.announce,
		"seed": "8c1f30d27a5be964", "stop_ms": c.stopMs,
		"limits":   map[string]any{"cores": 1.0, "memory_mb": c.memoryMB, "sockets": c.sockets},
		"settings": c.settings}
	if c.admin != "" {
		v["admin"] = c.admin
	}
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return os.WriteFile(path, b, 0o600)
}

// node is a running payout node.
type node struct {
	cmd    *exec.Cmd
	exited chan struct{}
	log    string
}

// runCommand returns the command that starts a payout node, from the deploy file below root.
func runCommand(root string) (string, error) {
	b, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	m := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(b)
	if m == nil {
		return "", fmt.Errorf("the deploy file has no run command")
	}
	return string(m[1]), nil
}

// startNode starts a payout node as the deployment page says: the command run by /bin/sh -c from the root, with the
// configuration in the environment and a private TMPDIR.
func startNode(root string, c config, configPath, tmp, logPath string, extra ...string) (*node, error) {
	run, err := runCommand(root)
	if err != nil {
		return nil, err
	}
	logFile, err := os.Create(logPath)
	if err != nil {
		return nil, err
	}
	defer logFile.Close()
	cmd := exec.Command("/bin/sh", "-c", run)
	cmd.Dir = root
	cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "TMPDIR=" + tmp, "ROUTER_NAME=" + c.name,
		"ROUTER_LISTEN=" + c.listen, "ROUTER_CONFIG=" + configPath}, extra...)
	if c.admin != "" {
		cmd.Env = append(cmd.Env, "ROUTER_ADMIN="+c.admin)
	}
	cmd.Stdout, cmd.Stderr = logFile, logFile
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	n := &node{cmd: cmd, exited: make(chan struct{}), log: logPath}
	go func() { cmd.Wait(); close(n.exited) }()
	return n, nil
}

func (n *node) pid() int { return n.cmd.Process.Pid }

func (n *node) signal(s syscall.Signal) { n.cmd.Process.Signal(s) }

func (n *node) running() bool {
	select {
	case <-n.exited:
		return false
	default:
		return true
	}
}

// kill ends the process and waits for it.
func (n *node) kill() {
	if n == nil {
		return
	}
	n.cmd.Process.Kill()
	<-n.exited
}

// anonymousMB returns the anonymous resident memory of the process in MB. Pages of files, such as the program's own, are
// left out.
func (n *node) anonymousMB() float64 {
	b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.pid()))
	for line := range strings.Lines(string(b)) {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "RssAnon:" {
			kb, _ := strconv.ParseFloat(f[1], 64)
			return kb / 1024
		}
	}
	return 0
}

// waitHealthy waits until the node answers a health check with 200.
func waitHealthy(addr string, by time.Time) bool {
	for time.Now().Before(by) {
		if healthy(addr) {
			return true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

// healthy makes one health check on a connection of its own.
func healthy(addr string) bool { return getStatus(addr, "GET", "/health") == 200 }

// getStatus makes one call without a body and returns the status, or 0 if there was no answer within a second.
func getStatus(addr, method, path string) int {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return 0
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", method, path)
	buf := make([]byte, 12)
	for n := 0; n < len(buf); {
		k, err := c.Read(buf[n:])
		if n += k; err != nil {
			return 0
		}
	}
	status, _ := strconv.Atoi(string(buf[9:12]))
	return status
}
