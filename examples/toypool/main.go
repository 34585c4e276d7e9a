// Command toypool is a toy worker pool and announce service, for trying a node on one's own machine. A run takes a
// while and its result repeats the body; nothing is really done. It keeps no notices: a node that comes back after a
// break of the link is told nothing of the meantime.
package main

import (
	"bufio"
	"encoding/base64"
	"flag"
	"fmt"
	"log"
	"net"
	"sync"
	"time"

	"github.com/valyala/fastjson"
)

func main() {
	addr := flag.String("pool", "127.0.0.1:4400", "address of the worker pool")
	reports := flag.String("announce", "127.0.0.1:2379", "address of the announce service")
	cores := flag.Int("cores", 2, "runs that are at work at a time")
	work := flag.Duration("work", 200*time.Millisecond, "how long a run takes")
	flag.Parse()
	go hear(*reports)
	l, err := net.Listen("tcp", *addr)
	if err != nil {
		log.Fatal(err)
	}
	log.Printf("worker pool on %s, %d cores, %v a run", *addr, *cores, *work)
	for {
		c, err := l.Accept()
		if err != nil {
			log.Fatal(err)
		}
		p := &pool{c: c, slots: make(chan struct{}, *cores), work: *work, began: time.Now(), runs: map[string]chan struct{}{}}
		go p.serve()
	}
}

// hear prints what changes in the reports of nodes.
func hear(addr string) {
	c, err := net.ListenPacket("udp", addr)
	if err != nil {
		log.Fatal(err)
	}
	last, buf := "", make([]byte, 256)
	for {
		n, _, err := c.ReadFrom(buf)
		if err != nil {
			log.Fatal(err)
		}
		if s := string(buf[:n]); s != last {
			last = s
			log.Print(s)
		}
	}
}

// pool serves one link.
type pool struct {
	c     net.Conn
	slots chan struct{}
	work  time.Duration
	began time.Time

	mu     sync.Mutex
	serial int
	runs   map[string]chan struct{} // closed to stop the run
}

func (p *pool) say(format string, args ...any) {
	fmt.Fprintf(p.c, format+"\n", args...)
}

func (p *pool) serve() {
	defer p.c.Close()
	var parser fastjson.Parser
	for s := bufio.NewScanner(p.c); s.Scan(); {
		v, err := parser.ParseBytes(s.Bytes())
		if err != nil {
			log.Printf("not a command: %v", err)
			return
		}
		text := func(key string) string { return string(v.GetStringBytes(key)) }
		p.mu.Lock()
		switch text("msg") {
		case "bind":
			p.say(`{"msg":"bound","how":"WARM","duration":%d}`, time.Since(p.began).Milliseconds())
		case "poll":
			p.say(`{"msg":"polled","cookie":%q,"stats":[%.2f,%d,0.1,1]}`, text("cookie"),
				float64(len(p.slots))/float64(cap(p.slots)), len(p.runs))
		case "verify":
			p.say(`{"msg":"verified","cookie":%q,"how":"OK"}`, text("cookie"))
		case "spawn":
			if id := text("call"); p.runs[id] == nil {
				p.runs[id] = make(chan struct{})
				go p.run(id, text("service"), text("blob"), p.runs[id])
			}
		case "suspend":
			if stop := p.runs[text("call")]; stop != nil {
				delete(p.runs, text("call"))
				close(stop)
			}
		}
		p.mu.Unlock()
	}
}

// run works for a while and tells how it ended.
func (p *pool) run(id, class, blob string, stop chan struct{}) {
	began, how := time.Now(), "OK"
	p.slots <- struct{}{}
	select {
	case <-time.After(p.work):
	case <-stop:
		how = "STOPPED"
	}
	<-p.slots
	body, _ := base64.StdEncoding.DecodeString(blob)
	result := base64.StdEncoding.EncodeToString(fmt.Appendf(nil, "%s done: %s", class, body))
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.runs, id)
	p.serial++
	p.say(`{"msg":"finished","serial":%d,"call":%q,"how":%q,"duration":%d,"blob":%q}`, p.serial, id, how,
		time.Since(began).Milliseconds(), result)
}
