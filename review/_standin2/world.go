package main

import (
	"cmp"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// world holds what one case needs: the repository, a temporary folder, the record and the processes that it started.
type world struct {
	root, dir string
	trouble   bool
	began     time.Time

	mu     sync.Mutex // guards the fields below
	record *os.File
	nodes  []*node
	broken []string // how the rule was broken
}

// couldNotRun ends the case with exit code 2.
type couldNotRun struct{ text string }

func newWorld(recordPath string) *world {
	root, err := os.Getwd()
	must(err)
	dir, err := os.MkdirTemp("", "review")
	must(err)
	record, err := os.Create(recordPath)
	must(err)
	return &world{root: root, dir: dir, trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), record: record}
}

func must(err error) {
	if err != nil {
		panic(couldNotRun{err.Error()})
	}
}

// log writes a line with the seconds since the start to the record.
func (w *world) log(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// breakRule notes that the rule was broken.
func (w *world) breakRule(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.log("BROKEN %s", text)
	w.mu.Lock()
	w.broken = append(w.broken, text)
	w.mu.Unlock()
}

// close kills what still runs and removes the temporary folder.
func (w *world) close() {
	w.mu.Lock()
	nodes := w.nodes
	w.mu.Unlock()
	for _, n := range nodes {
		n.kill()
	}
	os.RemoveAll(w.dir)
	w.record.Close()
}

var usedPorts sync.Map

// freeAddr returns a loopback address that nobody listens on.
func freeAddr() string {
	for {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		must(err)
		addr := l.Addr().String()
		l.Close()
		if _, used := usedPorts.LoadOrStore(addr, true); !used {
			return addr
		}
	}
}

// nodeConfig is what a node is told.
type nodeConfig struct {
	listen, pool, announce, admin string
	stopMs, memoryMB, freshMs     int
	tmpdir                        string
	operator                      string // text of the operator's file; empty: none
	classes                       []class
}

// class is a class of requests in the settings.
type class struct {
	name              string
	aimMs, deadlineMs int
	repeat            string
	worth             int
}

// usualClasses are the classes of the tunis-payouts deployment.
var usualClasses = []class{
	{name: "status-lookup", aimMs: 3100, deadlineMs: 9300, repeat: "repeatable", worth: 1},
	{name: "rate-quote", aimMs: 1900, deadlineMs: 6200, repeat: "repeatable", worth: 1},
	{name: "payout-book", aimMs: 2500, deadlineMs: 7800, repeat: "once", worth: 3},
}

// text returns the configuration file: the settings of a node of tunis-payouts, as the wire page shows them.
func (c nodeConfig) text(name string) string {
	var profiles []string
	for _, k := range c.classes {
		profiles = append(profiles, fmt.Sprintf(`{"name":%q,"aim_ms":%d,"deadline_ms":%d,"late_worth":0.0,"memory_span_ms":5000.0,"repeat":%q,"worth":%d}`,
			k.name, k.aimMs, k.deadlineMs, k.repeat, k.worth))
	}
	return fmt.Sprintf(`{"name":%q,"listen":%q,"pool":%q,"announce":%q,"seed":"8c1f30d27a5be964","stop_ms":%d,
"limits":{"cores":1.0,"memory_mb":%d,"sockets":1024},
"settings":{"allowed":{"cpu_us_per_request":0.0,"cpu_us_per_s":63726,"max_retry_after_ms":1000.0,"retry_after":true},
"clients":{"marks_retry":false},"goal":{"whole":0.6,"worst_class":0.2,"worst_tenant":0.0,"worst_window":0.2},
"over_share_worth":0.1,"parties":[],"position":2,"profiles":[%s],"report":{"fields":[],"how":"silent"},
"rules":{"cold_from":0.2,"drain_grace_ms":2000.0,"fall_multiple":8.0,"grace_to_answer_ms":80.0,"overload_for_ms":1500.0,"ramp_time_ms":17000.0},
"servers":11,"specifics":{"below":"silent","callers":3,"calls_out":0.0,"class_calls":[false,false,false],"class_skip_worth":[0.0,0.0,0.0],
"cold":false,"cores":6,"deep_checks":true,"entry_kb":189.0,"fresh_ms":%d.0,"halt":"abort","heard_for_ms":1000.0,"keepalive_max_ms":30000.0,
"linger_ms":200.0,"own_stats":["cpu_busy","runnable","mem_used","sockets"],"passes_deadline":true,"ram_kb":83538.0,"readiness":false,
"run_factor":16.0,"say":"window","share_span_ms":5000.0,"tells_gone":true},
"tariffs":{"connection":0.0,"handshake":0.0,"late_fail":0.069,"origin":0.0,"waste":0.16},
"tick_ms":2.0,"tier":0,"tiers":["payout-servers"],"workload":"server","worth_by":"request","zone":0,"zones":["tunis-lac","sousse"]}}
`, name, c.listen, c.pool, c.announce, c.stopMs, cmp.Or(c.memoryMB, 192), strings.Join(profiles, ","), c.freshMs)
}

// node is a process of the project's program.
type node struct {
	w      *world
	name   string
	cfg    nodeConfig
	config string // path of the configuration file
	log    string // path of its log
	cmd    *exec.Cmd
	exited chan struct{}
	began  time.Time
	state  string // how it ended; valid once exited is closed
}

var runLine = regexp.MustCompile(`(?m)^run = "(.*)"$`)

// startNode starts a node by the command run of the deploy file. label distinguishes the processes of a node.
func (w *world) startNode(label, name string, c nodeConfig) *node {
	deploy, err := os.ReadFile(filepath.Join(w.root, "deploy/balancer.toml"))
	must(err)
	run := runLine.FindSubmatch(deploy)
	if run == nil {
		panic(couldNotRun{"no command run in deploy/balancer.toml"})
	}
	if c.classes == nil {
		c.classes = usualClasses
	}
	n := &node{w: w, name: label, cfg: c, config: filepath.Join(w.dir, label+".json"), log: filepath.Join(w.dir, label+".log"),
		exited: make(chan struct{})}
	must(os.WriteFile(n.config, []byte(c.text(name)), 0o600))
	if n.cfg.tmpdir == "" {
		n.cfg.tmpdir = filepath.Join(w.dir, label+".tmp")
	}
	must(os.MkdirAll(n.cfg.tmpdir, 0o700))
	n.cmd = exec.Command("/bin/sh", "-c", string(run[1]))
	n.cmd.Dir = w.root
	n.cmd.Env = append(os.Environ(), "ROUTER_NAME="+name, "ROUTER_LISTEN="+c.listen, "ROUTER_CONFIG="+n.config,
		"TMPDIR="+n.cfg.tmpdir)
	if c.admin != "" {
		n.cmd.Env = append(n.cmd.Env, "ROUTER_ADMIN="+c.admin)
	}
	if c.operator != "" {
		path := filepath.Join(w.dir, label+".operator.json")
		must(os.WriteFile(path, []byte(c.operator), 0o600))
		n.cmd.Env = append(n.cmd.Env, "WHINRUDDER_OPERATOR="+path)
	}
	out, err := os.Create(n.log)
	must(err)
	n.cmd.Stdout, n.cmd.Stderr = out, out
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	must(n.cmd.Start())
	n.began = time.Now()
	out.Close()
	w.log("start %s pid=%d listen=%s pool=%s admin=%s", label, n.cmd.Process.Pid, c.listen, c.pool, c.admin)
	w.mu.Lock()
	w.nodes = append(w.nodes, n)
	w.mu.Unlock()
	go func() {
		n.cmd.Wait()
		n.state = n.cmd.ProcessState.String()
		w.log("exit %s %s", label, n.state)
		close(n.exited)
	}()
	return n
}

func (n *node) hasExited() bool {
	select {
	case <-n.exited:
		return true
	default:
		return false
	}
}

// signal sends a signal to the process.
func (n *node) signal(s syscall.Signal) {
	if !n.hasExited() {
		n.w.log("signal %s %v", n.name, s)
		n.cmd.Process.Signal(s)
	}
}

// kill kills the process, if it runs, and waits for its end.
func (n *node) kill() {
	if !n.hasExited() {
		n.signal(syscall.SIGKILL)
		<-n.exited
	}
}

// rewriteConfig replaces the configuration file.
func (n *node) rewriteConfig(name string, c nodeConfig) {
	if c.classes == nil {
		c.classes = usualClasses
	}
	must(os.WriteFile(n.config+".new", []byte(c.text(name)), 0o600))
	must(os.Rename(n.config+".new", n.config))
}

// copyLog appends the log of the process to the record.
func (n *node) copyLog() {
	b, _ := os.ReadFile(n.log)
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	fmt.Fprintf(n.w.record, "---- log of %s\n%s", n.name, b)
}

// announceService is the address of the announce service. The cases need nothing of what is reported there.
type announceService struct{ conn net.PacketConn }

func newAnnounceService() *announceService {
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	must(err)
	go func() {
		for b := make([]byte, 512); ; {
			if _, _, err := c.ReadFrom(b); err != nil {
				return
			}
		}
	}()
	return &announceService{c}
}

func (a *announceService) addr() string { return a.conn.LocalAddr().String() }
