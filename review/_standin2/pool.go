package main

import (
	"bufio"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"
)

// registry knows all requests that clients have sent to a payout node, and what ran. The worker pools of a node share it.
type registry struct {
	w  *world
	mu sync.Mutex
	// all fields below are guarded by mu
	sent map[string]*job
}

// job is a request as the client sent it, and its runs.
type job struct {
	id, class, body, token string
	sentAt                 time.Time
	over                   bool // it is answered, or its caller has given it up
	running                bool
	runs                   []time.Time // starts
	results                map[string]bool
}

func newRegistry(w *world) *registry { return &registry{w: w, sent: map[string]*job{}} }

// book notes a request before it is written.
func (r *registry) book(id, class, token, body string) *job {
	r.mu.Lock()
	defer r.mu.Unlock()
	j := &job{id: id, class: class, body: body, token: token, sentAt: time.Now(), results: map[string]bool{}}
	r.sent[id] = j
	return j
}

// end notes that a request is over for its caller.
func (r *registry) end(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if j := r.sent[id]; j != nil {
		j.over = true
	}
}

// runs returns how often a request was run.
func (r *registry) runsOf(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if j := r.sent[id]; j != nil {
		return len(j.runs)
	}
	return 0
}

// pool is a worker pool at one address, with its own numbers of notices.
type pool struct {
	w        *world
	reg      *registry
	name     string
	runFor   func(j *job) time.Duration // how long a run takes
	resultOf func(j *job) string
	upAt     time.Time // when it is up: bound waits until then
	started  time.Time
	cores    int
	ramKB    float64

	mu       sync.Mutex
	listener net.Listener
	link     net.Conn
	notices  []string // all notices; number i+1 at index i
	inHand   int
	quiet    bool // its runs are not logged
}

func newPool(w *world, reg *registry, name string) *pool {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	p := &pool{w: w, reg: reg, name: name, started: time.Now(), cores: 6, ramKB: 83538, listener: l,
		runFor:   func(*job) time.Duration { return 150 * time.Millisecond },
		resultOf: func(j *job) string { return "done " + j.id + " " + j.body }}
	go p.accept(l)
	return p
}

func (p *pool) addr() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listener.Addr().String()
}

func (p *pool) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

// command is a command of the payout node.
type command struct {
	Msg, Call, Service, Blob, Cookie string
	Serial                           int
}

func (p *pool) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewScanner(c)
	in.Buffer(make([]byte, 64<<10), 64<<10)
	for in.Scan() {
		var m command
		if json.Unmarshal(in.Bytes(), &m) != nil {
			return
		}
		switch m.Msg {
		case "bind":
			if wait := time.Until(p.upAt); wait > 0 {
				p.w.log("pool %s: a link is accepted, bound waits for %.1f s", p.name, wait.Seconds())
				time.Sleep(wait)
			}
			p.bind(c, m.Serial)
		default:
			p.mu.Lock()
			current := p.link == c
			p.mu.Unlock()
			if !current {
				return
			}
			if !p.command(c, m) {
				return
			}
		}
	}
}

func (p *pool) bind(c net.Conn, serial int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.link != nil && p.link != c {
		p.link.Close()
	}
	p.link = c
	p.w.log("pool %s: bound, after notice %d of %d", p.name, serial, len(p.notices))
	fmt.Fprintf(c, `{"msg":"bound","how":"WARM","duration":%d}`+"\n", time.Since(p.started).Milliseconds())
	for i := max(serial, len(p.notices)-4000); i < len(p.notices); i++ {
		fmt.Fprintf(c, "%s\n", p.notices[i])
	}
}

func (p *pool) send(c net.Conn, line string) {
	if c != nil {
		c.SetWriteDeadline(time.Now().Add(2 * time.Second))
		fmt.Fprintf(c, "%s\n", line)
	}
}

// command carries out one command.
func (p *pool) command(c net.Conn, m command) bool {
	switch m.Msg {
	case "spawn":
		body, err := base64.StdEncoding.DecodeString(m.Blob)
		if err != nil {
			return false
		}
		p.spawn(c, m.Call, m.Service, string(body))
	case "suspend":
		p.stop(m.Call)
	case "poll":
		p.mu.Lock()
		busy := min(1, float64(p.inHand)/float64(p.cores))
		p.send(c, fmt.Sprintf(`{"msg":"polled","cookie":%q,"stats":[%.3f,%d,%.4f,4]}`, m.Cookie, busy, p.inHand, float64(p.inHand)*480/p.ramKB))
		p.mu.Unlock()
	case "verify":
		p.mu.Lock()
		p.send(c, fmt.Sprintf(`{"msg":"verified","cookie":%q,"how":"OK"}`, m.Cookie))
		p.mu.Unlock()
	default:
		return false
	}
	return true
}

func (p *pool) spawn(c net.Conn, id, class, body string) {
	p.reg.mu.Lock()
	j := p.reg.sent[id]
	switch {
	case j == nil || j.class != class || j.body != body:
		p.reg.mu.Unlock()
		p.w.log("pool %s: spawn %s is of no request", p.name, id)
		p.mu.Lock()
		p.send(c, fmt.Sprintf(`{"msg":"unknown","how":"spawn","call":%q}`, id))
		p.mu.Unlock()
		return
	case j.running:
		p.reg.mu.Unlock()
		return
	case j.over:
		p.reg.mu.Unlock()
		p.w.log("pool %s: spawn %s is moot", p.name, id)
		p.notice(id, "MOOT", 0, "")
		return
	}
	j.running = true
	j.runs = append(j.runs, time.Now())
	n := len(j.runs)
	p.reg.mu.Unlock()
	if !p.quiet {
		p.w.log("pool %s: run %s %s (start %d)", p.name, id, class, n)
	}
	p.mu.Lock()
	p.inHand++
	p.mu.Unlock()
	took := p.runFor(j)
	time.AfterFunc(took, func() { p.finish(j, n, took, "OK") })
}

// finish ends run n of a request, unless it has ended.
func (p *pool) finish(j *job, n int, took time.Duration, how string) {
	p.reg.mu.Lock()
	if !j.running || len(j.runs) != n {
		p.reg.mu.Unlock()
		return
	}
	j.running = false
	result := ""
	if how == "OK" {
		result = p.resultOf(j)
		j.results[result] = true
	}
	p.reg.mu.Unlock()
	if !p.quiet {
		p.w.log("pool %s: end %s %s", p.name, j.id, how)
	}
	p.mu.Lock()
	p.inHand--
	p.mu.Unlock()
	p.notice(j.id, how, took, result)
}

func (p *pool) stop(id string) {
	p.reg.mu.Lock()
	j := p.reg.sent[id]
	running, n := j != nil && j.running, 0
	if running {
		n = len(j.runs)
	}
	p.reg.mu.Unlock()
	if running {
		p.finish(j, n, 0, "STOPPED")
	}
}

func (p *pool) notice(id, how string, took time.Duration, result string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	line := fmt.Sprintf(`{"msg":"finished","serial":%d,"call":%q,"how":%q,"duration":%d,"blob":%q}`, len(p.notices)+1, id, how,
		took.Milliseconds(), base64.StdEncoding.EncodeToString([]byte(result)))
	p.notices = append(p.notices, line)
	p.send(p.link, line)
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listener.Close()
	if p.link != nil {
		p.link.Close()
	}
}
