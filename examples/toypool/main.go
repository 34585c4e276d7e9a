// Command toypool is a simulated worker pool and announce service, to try out a node on a single machine. A run waits
// for a fixed time and its result repeats the body. The pool does not keep notices: a node that reconnects does not
// learn which runs finished while the link was broken.
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
	reportAddr := flag.String("announce", "127.0.0.1:2379", "address of the announce service")
	cores := flag.Int("cores", 2, "runs at work at the same time")
	runTime := flag.Duration("work", 200*time.Millisecond, "how long each run takes")
	flag.Parse()
	go logReports(*reportAddr)
	listener, err := net.Listen("tcp", *addr)
	if err != nil {
		log.Fatal(err)
	}
	log.Printf("worker pool on %s, %d cores, %v per run", *addr, *cores, *runTime)
	for {
		c, err := listener.Accept()
		if err != nil {
			log.Fatal(err)
		}
		p := &pool{conn: c, slots: make(chan struct{}, *cores), runTime: *runTime, started: time.Now(),
			runs: map[string]chan struct{}{}}
		go p.serve()
	}
}

// logReports logs each load report that differs from the one before.
func logReports(addr string) {
	conn, err := net.ListenPacket("udp", addr)
	if err != nil {
		log.Fatal(err)
	}
	last, buf := "", make([]byte, 256)
	for {
		n, _, err := conn.ReadFrom(buf)
		if err != nil {
			log.Fatal(err)
		}
		if s := string(buf[:n]); s != last {
			last = s
			log.Print(s)
		}
	}
}

// pool serves one link to a node.
type pool struct {
	conn    net.Conn
	slots   chan struct{} // one element per run at work; capacity: cores
	runTime time.Duration // duration of a run
	started time.Time     // of the link

	mu     sync.Mutex               // guards serial, runs and writes
	serial int                      // number of the latest notice
	runs   map[string]chan struct{} // by call id; closed to stop the run
}

// send writes one message to the node.
func (p *pool) send(format string, args ...any) {
	fmt.Fprintf(p.conn, format+"\n", args...)
}

// serve reads and executes the commands of the node until the link ends.
func (p *pool) serve() {
	defer p.conn.Close()
	var parser fastjson.Parser
	for scanner := bufio.NewScanner(p.conn); scanner.Scan(); {
		command, err := parser.ParseBytes(scanner.Bytes())
		if err != nil {
			log.Printf("received line is not JSON: %v", err)
			return
		}
		text := func(key string) string { return string(command.GetStringBytes(key)) }
		p.mu.Lock()
		switch text("msg") {
		case "bind":
			p.send(`{"msg":"bound","how":"WARM","duration":%d}`, time.Since(p.started).Milliseconds())
		case "poll":
			p.send(`{"msg":"polled","cookie":%q,"stats":[%.2f,%d,0.1,1]}`, text("cookie"),
				float64(len(p.slots))/float64(cap(p.slots)), len(p.runs))
		case "verify":
			p.send(`{"msg":"verified","cookie":%q,"how":"OK"}`, text("cookie"))
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

// run waits for a core and then for the duration of a run or the command to stop it, and sends the notice of its end.
func (p *pool) run(id, class, blob string, stop chan struct{}) {
	started, how := time.Now(), "OK"
	p.slots <- struct{}{}
	select {
	case <-time.After(p.runTime):
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
	p.send(`{"msg":"finished","serial":%d,"call":%q,"how":%q,"duration":%d,"blob":%q}`, p.serial, id, how,
		time.Since(started).Milliseconds(), result)
}
