package pooltest

import (
	"bufio"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/valyala/fastjson"
)

// tickInterval is how often the pool does its work.
const tickInterval = 2 * time.Millisecond

// keptNotices is how many notices the pool keeps for a node that connects again.
const keptNotices = 4000

// Pool is a worker pool on a loopback address.
type Pool struct {
	listener net.Listener
	closed   chan struct{}

	mu      sync.Mutex // guards the fields below
	workers *workers
	conn    net.Conn // the current link; nil: none
	notices []string // by serial number, from firstSerial on
	first   int      // serial number of the first of them
	fault   LinkFault
	cut     Cut
	lastCut time.Time
}

// Cut is a break of the link that the start of a run triggers.
type Cut struct {
	Fault    LinkFault     // of the link from that start on; NoFault: no cuts
	After    time.Duration // from that start until the link breaks
	Every    time.Duration // between two cuts, at least
	HoldBind time.Duration // from the break until the pool answers a bind
}

// LinkFault is what happens to a link before it breaks.
type LinkFault uint8

// The faults of a link.
const (
	NoFault      LinkFault = iota
	LoseAnswers            // commands are carried out, but nothing is sent any more
	LoseCommands           // commands are read and lost; the pool goes on sending notices
)

// New starts a pool at a free address.
func New(p Params) (*Pool, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	pool := &Pool{listener: l, closed: make(chan struct{}), workers: newWorkers(p, time.Now()), first: 1}
	go pool.accept(l)
	go pool.work()
	return pool, nil
}

// Addr returns the address of the pool.
func (p *Pool) Addr() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listener.Addr().String()
}

// Close ends the pool.
func (p *Pool) Close() {
	close(p.closed)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listener.Close()
	p.dropLink()
}

// Report returns what the pool has seen so far.
func (p *Pool) Report() Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.workers.report
	r.RanTwice, r.LateStarts = slices.Clone(r.RanTwice), slices.Clone(r.LateStarts)
	return r
}

// Running returns the number of runs in progress.
func (p *Pool) Running() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.workers.running)
}

// Announce books a request that a caller is about to write to the node.
func (p *Pool) Announce(id string, kb float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.workers.announce(id, kb)
}

// Answered notes that a request is over for its caller.
func (p *Pool) Answered(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.workers.answer(id)
}

// ForbidLateStarts makes starts of requests that are announced from now on a fault.
func (p *Pool) ForbidLateStarts() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.workers.lateStartsForbidden = true
}

// moveGrace is how long a link to the old address stays open after a move.
const moveGrace = 1500 * time.Millisecond

// Move makes the pool accept links at a new address only. The present link stays open for a while.
func (p *Pool) Move() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listener.Close()
	p.listener = l
	go p.accept(l)
	if old := p.conn; old != nil {
		time.AfterFunc(moveGrace, func() { old.Close() })
	}
	return nil
}

// SetSlowdown makes all runs take longer by a factor from now on. What the pool survives stays the same.
func (p *Pool) SetSlowdown(factor float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance(time.Now())
	p.workers.slowdown = factor
}

// SetCut makes starts of runs break the link.
func (p *Pool) SetCut(c Cut) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = c
}

// cutAfterStart begins a cut if it is time for one.
func (p *Pool) cutAfterStart(now time.Time) {
	if p.cut.Fault == NoFault || p.fault != NoFault || now.Sub(p.lastCut) < p.cut.Every {
		return
	}
	p.lastCut, p.fault = now, p.cut.Fault
	go p.BreakLink(p.cut.Fault, p.cut.After)
}

// BreakLink breaks the link after it has had a fault for some time.
func (p *Pool) BreakLink(fault LinkFault, after time.Duration) {
	p.mu.Lock()
	p.fault = fault
	p.mu.Unlock()
	time.Sleep(after)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = NoFault
	p.dropLink()
}

// dropLink closes the current link.
func (p *Pool) dropLink() {
	if p.conn != nil {
		p.conn.Close()
		p.conn = nil
	}
}

// work does the work of the runs until the pool is closed.
func (p *Pool) work() {
	for ticker := time.NewTicker(tickInterval); ; {
		select {
		case <-p.closed:
			ticker.Stop()
			return
		case now := <-ticker.C:
			p.mu.Lock()
			p.advance(now)
			p.mu.Unlock()
		}
	}
}

// advance does the work up to now and sends the notices of the runs that ended.
func (p *Pool) advance(now time.Time) {
	for _, j := range p.workers.advance(now) {
		p.notifyEnd(j, "OK", now)
	}
}

func (p *Pool) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

// serve reads the commands of one link.
func (p *Pool) serve(c net.Conn) {
	defer c.Close()
	var parser fastjson.Parser
	for scanner := bufio.NewScanner(c); scanner.Scan(); {
		v, err := parser.ParseBytes(scanner.Bytes())
		if err != nil {
			return
		}
		p.mu.Lock()
		p.command(c, v)
		p.mu.Unlock()
	}
}

// command carries out one command.
func (p *Pool) command(c net.Conn, v *fastjson.Value) {
	text := func(key string) string { return string(v.GetStringBytes(key)) }
	now := time.Now()
	if text("msg") == "bind" {
		p.dropLink()
		p.conn = c
		serial := v.GetInt("serial")
		time.AfterFunc(p.lastCut.Add(p.cut.After+p.cut.HoldBind).Sub(now), func() { p.bind(c, serial) })
		return
	}
	if p.conn != c {
		return
	}
	if p.fault == LoseCommands {
		p.workers.report.LostCommands++
		return
	}
	p.advance(now)
	switch text("msg") {
	case "spawn":
		p.cutAfterStart(now)
		known, moot := p.workers.start(now, text("call"), text("service"), text("blob"))
		switch {
		case !known:
			p.send(`{"msg":"unknown","how":"spawn","call":%q}`, text("call"))
		case moot:
			p.notify(fmt.Sprintf(`"call":%q,"how":"MOOT","duration":0,"blob":""`, text("call")))
		}
	case "suspend":
		if j := p.workers.stop(text("call")); j != nil {
			p.notifyEnd(j, "STOPPED", now)
		}
	case "poll":
		p.send(`{"msg":"polled","cookie":%q,"stats":[%.3f,%d,%.4f,4]}`, text("cookie"), p.workers.utilization(),
			len(p.workers.running), p.workers.memory()/max(1, p.workers.p.MemoryKB))
	case "verify":
		p.send(`{"msg":"verified","cookie":%q,"how":"OK"}`, text("cookie"))
	}
}

// bind answers a bind, unless another link has replaced this one: it sends the notices after serial.
func (p *Pool) bind(c net.Conn, serial int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != c {
		return
	}
	now := time.Now()
	if serial == 0 { // a new process of the node
		p.notices, p.first = nil, 1
	}
	how := "WARM"
	if p.workers.speed(now) < 1 {
		how = "COLD"
	}
	p.send(`{"msg":"bound","how":%q,"duration":%d}`, how, now.Sub(p.workers.startedAt).Milliseconds())
	for i, notice := range p.notices {
		if n := p.first + i; n > serial {
			p.send(`{"msg":"finished","serial":%d,%s}`, n, notice)
		}
	}
}

// notifyEnd reports the end of a run, with its body as the result.
func (p *Pool) notifyEnd(j *job, how string, now time.Time) {
	p.notify(fmt.Sprintf(`"call":%q,"how":%q,"duration":%d,"blob":%q`, j.id, how, now.Sub(j.startedAt).Milliseconds(), j.body))
}

// notify numbers a notice, keeps it and sends it.
func (p *Pool) notify(notice string) {
	p.notices = append(p.notices, notice)
	if len(p.notices) > keptNotices {
		p.notices = p.notices[1:]
		p.first++
	}
	p.send(`{"msg":"finished","serial":%d,%s}`, p.first+len(p.notices)-1, notice)
}

// send sends a line over the current link, if there is one and it has no fault.
func (p *Pool) send(format string, args ...any) {
	if p.conn != nil && p.fault != LoseAnswers {
		fmt.Fprintf(p.conn, format+"\n", args...)
	}
}
