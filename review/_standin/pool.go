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

// pool is a stand-in of the worker pool of one payout node. It follows the protocol page: it numbers its notices, keeps
// them for a link that binds again, knows only requests that came to the machine, and answers bind once it is up.
type pool struct {
	w      *world
	cores  int
	workMs map[string]float64 // duration of a run, by class
	upAt   time.Time
	l      net.Listener
	start  time.Time

	mu      sync.Mutex
	link    net.Conn
	serial  int
	notices [][]byte
	running map[string]chan struct{}
	done    map[string]bool
	spawns  int
}

func startPool(w *world, cores int, workMs map[string]float64, upAfter time.Duration) (*pool, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &pool{w: w, cores: cores, workMs: workMs, upAt: time.Now().Add(upAfter), l: l, start: time.Now().Add(upAfter),
		running: map[string]chan struct{}{}, done: map[string]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p, nil
}

func (p *pool) addr() string { return p.l.Addr().String() }

func (p *pool) close() { p.l.Close() }

type command struct {
	Msg     string `json:"msg"`
	Serial  int    `json:"serial"`
	Call    string `json:"call"`
	Service string `json:"service"`
	Blob    string `json:"blob"`
	Cookie  string `json:"cookie"`
}

func (p *pool) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewScanner(c)
	in.Buffer(make([]byte, 64<<10), 1<<20)
	for in.Scan() {
		var m command
		if json.Unmarshal(in.Bytes(), &m) != nil {
			return
		}
		p.mu.Lock()
		if m.Msg != "bind" && p.link != c {
			p.mu.Unlock()
			return
		}
		switch m.Msg {
		case "bind":
			for time.Now().Before(p.upAt) {
				p.mu.Unlock()
				time.Sleep(time.Until(p.upAt))
				p.mu.Lock()
			}
			if p.link != nil && p.link != c {
				p.link.Close()
			}
			p.link = c
			fmt.Fprintf(c, `{"msg":"bound","how":"WARM","duration":%d}`+"\n", time.Since(p.start).Milliseconds())
			for i := m.Serial; i < len(p.notices); i++ {
				c.Write(p.notices[i])
			}
		case "poll":
			n := len(p.running)
			fmt.Fprintf(c, `{"msg":"polled","cookie":%q,"stats":[%.3f,%d,0.1,10]}`+"\n", m.Cookie,
				min(1, float64(n)/float64(p.cores)), n)
		case "verify":
			fmt.Fprintf(c, `{"msg":"verified","cookie":%q,"how":"OK"}`+"\n", m.Cookie)
		case "spawn":
			p.spawn(c, m)
		case "suspend":
			if stop := p.running[m.Call]; stop != nil {
				delete(p.running, m.Call)
				close(stop)
			}
		default:
			p.mu.Unlock()
			return
		}
		p.mu.Unlock()
	}
}

// spawn begins a run. The caller holds p.mu.
func (p *pool) spawn(c net.Conn, m command) {
	p.spawns++
	body, _ := base64.StdEncoding.DecodeString(m.Blob)
	r := p.w.find(m.Call, m.Service, body)
	if r == nil {
		fmt.Fprintf(c, `{"msg":"unknown","how":"spawn","call":%q}`+"\n", m.Call)
		return
	}
	if p.running[m.Call] != nil {
		return
	}
	p.w.mu.Lock()
	over := r.over
	if !over {
		r.runs++
	}
	runs := r.runs
	p.w.mu.Unlock()
	if over {
		p.notice(m.Call, "MOOT", 0, "")
		return
	}
	p.w.rec.line("run id=%s class=%s number=%d", r.id, r.class, runs)
	stop := make(chan struct{})
	p.running[m.Call] = stop
	go func() {
		began := time.Now()
		how, result := "OK", fmt.Sprintf("result of %s run %d", r.id, runs)
		select {
		case <-time.After(time.Duration(p.workMs[r.class] * float64(time.Millisecond))):
			p.w.mu.Lock()
			r.result = result
			p.w.mu.Unlock()
		case <-stop:
			how, result = "STOPPED", ""
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.running, r.id)
		p.w.rec.line("run-ended id=%s how=%s", r.id, how)
		p.notice(r.id, how, time.Since(began).Milliseconds(), result)
	}()
}

// notice numbers a notice, keeps it and sends it. The caller holds p.mu.
func (p *pool) notice(id, how string, ms int64, result string) {
	p.serial++
	b := fmt.Appendf(nil, `{"msg":"finished","serial":%d,"call":%q,"how":%q,"duration":%d,"blob":%q}`+"\n", p.serial, id,
		how, ms, base64.StdEncoding.EncodeToString([]byte(result)))
	p.notices = append(p.notices, b)
	if p.link != nil {
		p.link.Write(b)
	}
}
