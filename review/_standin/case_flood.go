package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["flood"] = flood }

// flood plays calm client proxies. With the trouble, a hundred connections of other clients send requests at full
// speed, one at a time on each connection, and read each answer. Each request has a new id, which the worker pool does
// not know, and a head of about 3 KB. The platform looks at the memory of the node every 10 ms and kills it above the
// limit of its configuration.
//
// For experiments the environment changes the figures: PAD (bytes of the further header field), CONNS, MEMORY_MB.
func flood(s *stage) (int, error) {
	pad, conns, memoryMB := envInt("PAD", 3000), envInt("CONNS", 100), envInt("MEMORY_MB", 192)
	p, err := startPool(s.w, 6, map[string]float64{"payout-book": 700, "status-lookup": 700, "rate-quote": 500}, 0)
	if err != nil {
		return 0, err
	}
	defer p.close()
	c := config{name: "n1", listen: freeAddr(), pool: p.addr(), announce: s.announce, stopMs: 3200, memoryMB: memoryMB,
		sockets: 512, settings: settings()}
	n, err := s.start(c, "n1", "tmp")
	if err != nil {
		return 0, err
	}
	if !waitHealthy(c.listen, time.Now().Add(10*time.Second)) {
		return 0, fmt.Errorf("the node did not become healthy")
	}
	begun := time.Now()
	ended := begun.Add(20 * time.Second)
	var killed atomic.Bool // by the platform, for memory
	var proxies sync.WaitGroup
	for i := range 12 {
		from := i%3 + 1
		class := []string{"payout-book", "status-lookup", "rate-quote"}[from-1]
		proxies.Go(func() {
			k := &proxyConn{w: s.w, addr: c.listen}
			defer k.close()
			for time.Now().Before(ended) && !killed.Load() {
				k.call(s.w.arrive(class, from, 6000, []byte("pay "+newID())))
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	time.Sleep(2 * time.Second)
	var sent, answered, served atomic.Int64
	if s.trouble {
		s.rec.line("other clients begin")
		for range conns {
			go func() {
				for time.Now().Before(ended) && !killed.Load() {
					sendUnknown(c.listen, pad, ended, &sent, &answered, &served)
				}
			}()
		}
	}
	peak, lastLine := 0.0, time.Now()
	for time.Now().Before(ended) && n.running() {
		now := n.anonymousMB()
		peak = max(peak, now)
		if now > float64(memoryMB) {
			s.rec.say("the platform kills the node: %.0f MB of anonymous memory, memory_mb is %d", now, memoryMB)
			killed.Store(true)
			n.signal(syscall.SIGKILL)
			<-n.exited
			break
		}
		if time.Since(lastLine) >= 250*time.Millisecond {
			lastLine = time.Now()
			s.rec.line("memory anonymous=%.0f other-clients sent=%d answered=%d served=%d", now, sent.Load(), answered.Load(),
				served.Load())
		}
		time.Sleep(10 * time.Millisecond)
	}
	crashed := !n.running()
	proxies.Wait()
	all, ok, refused, failed, lost, _ := s.w.count()
	s.rec.say("peak of anonymous memory %.0f MB of %d; other clients: sent %d, answered %d, served %d", peak, memoryMB,
		sent.Load(), answered.Load(), served.Load())
	s.rec.say("requests of client proxies %d: served %d, refused %d, failed %d, lost %d", all, ok, refused, failed, lost)
	if ok == 0 {
		return 0, fmt.Errorf("nothing was served")
	}
	if crashed {
		s.rec.say("rule broken: crash, the node has ended %.1f s after the other clients began",
			time.Since(begun.Add(2*time.Second)).Seconds())
		return broken, nil
	}
	return held, nil
}

// sendUnknown sends requests on one connection until that ends. The worker pool knows none of their ids.
func sendUnknown(addr string, pad int, until time.Time, sent, answered, served *atomic.Int64) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		time.Sleep(50 * time.Millisecond)
		return
	}
	defer c.Close()
	c.SetDeadline(until)
	in := bufio.NewReader(c)
	further := strings.Repeat("x", pad)
	for time.Now().Before(until) {
		if _, err := fmt.Fprintf(c, "POST /rpc/status-lookup HTTP/1.1\r\nHost: api.internal\r\nReq-Id: %s\r\nReq-Time: %d\r\n"+
			"Req-From: 9\r\nReq-Wait-Ms: 9000\r\nReq-Kb: 24.5\r\nReq-Rank: 0.6250\r\nX-Note: %s\r\nContent-Length: 0\r\n\r\n",
			newID(), time.Now().UnixMilli(), further); err != nil {
			return
		}
		sent.Add(1)
		status, _, last, err := readAnswer(in)
		if err != nil {
			return
		}
		answered.Add(1)
		if status == 200 {
			served.Add(1)
		}
		if last {
			return
		}
	}
}

// envInt returns the whole number in an environment variable, or else a default.
func envInt(name string, otherwise int) int {
	if v, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return v
	}
	return otherwise
}
