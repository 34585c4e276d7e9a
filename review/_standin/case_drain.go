package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["drain-upgrade"] = drainUpgrade }

// drainUpgrade plays a drain by call: operators call POST /drain at the door of the running process and do not undo it.
// The platform makes a health check every 0.1 s. From 4 s after the call on none may be answered as good.
//
// The trouble is an upgrade, as the operators' pages say: 1.5 s before the call a second process is started beside the
// running one, with the same addresses, another address of the door and another worker pool, which comes up three
// seconds later, so that the new process says no to GET /ready at the time of the call. The old process gets SIGTERM six
// seconds after the start of the new one, and SIGKILL 3.7 s after that if it has not ended.
//
// DRAIN_FIRST=1 in the environment makes the call before the new process is started, for comparison.
func drainUpgrade(s *stage) (int, error) {
	work := map[string]float64{"payout-book": 300, "status-lookup": 300, "rate-quote": 200}
	firstPool, err := startPool(s.w, 6, work, 0)
	if err != nil {
		return 0, err
	}
	defer firstPool.close()
	c := config{name: "n1", listen: freeAddr(), pool: firstPool.addr(), announce: s.announce, admin: freeAddr(),
		stopMs: 3200, memoryMB: 192, sockets: 1024, settings: settings()}
	old, err := s.start(c, "old", "tmp")
	if err != nil {
		return 0, err
	}
	if !waitHealthy(c.listen, time.Now().Add(10*time.Second)) {
		return 0, fmt.Errorf("the node did not become healthy")
	}
	ended := time.Now().Add(14 * time.Second)
	var proxies sync.WaitGroup
	for from := 1; from <= 3; from++ {
		class := []string{"payout-book", "status-lookup", "rate-quote"}[from-1]
		proxies.Go(func() {
			k := &proxyConn{w: s.w, addr: c.listen}
			defer k.close()
			for time.Now().Before(ended) {
				k.call(s.w.arrive(class, from, 3000, []byte("pay "+newID())))
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	var called time.Time
	drain := func() error {
		status := getStatus(c.admin, "POST", "/drain")
		called = time.Now()
		s.rec.say("POST /drain at the door of the running process: %d", status)
		if status < 200 || status > 299 {
			return fmt.Errorf("the door did not say yes")
		}
		return nil
	}
	drainFirst := envInt("DRAIN_FIRST", 0) == 1
	if drainFirst {
		if err := drain(); err != nil {
			return 0, err
		}
		time.Sleep(500 * time.Millisecond)
	}
	started := time.Now()
	var second *node
	next := c
	if s.trouble {
		secondPool, err := startPool(s.w, 6, work, 3*time.Second)
		if err != nil {
			return 0, err
		}
		defer secondPool.close()
		next.pool, next.admin = secondPool.addr(), freeAddr()
		if second, err = s.start(next, "new", "tmp"); err != nil {
			return 0, err
		}
	}
	time.Sleep(1500 * time.Millisecond)
	if s.trouble {
		s.rec.say("GET /ready at the door of the new process: %d", getStatus(next.admin, "GET", "/ready"))
	}
	if !drainFirst {
		if err := drain(); err != nil {
			return 0, err
		}
	}
	ready, termed, killed := false, false, false
	good, bad, late := 0, 0, 0
	for time.Now().Before(ended) {
		time.Sleep(100 * time.Millisecond)
		since := time.Since(started)
		if s.trouble && !ready && getStatus(next.admin, "GET", "/ready") == 200 {
			ready = true
			s.rec.say("GET /ready at the door of the new process: 200 after %.1f s", since.Seconds())
		}
		if s.trouble && !termed && since >= 6*time.Second {
			termed = true
			old.signal(syscall.SIGTERM)
			s.rec.line("SIGTERM to the old process")
		}
		if termed && !killed && since >= 9700*time.Millisecond {
			killed = true
			if old.running() {
				old.signal(syscall.SIGKILL)
				s.rec.line("SIGKILL to the old process")
			}
		}
		asked := time.Since(called)
		status := getStatus(c.listen, "GET", "/health")
		s.rec.line("health status=%d after-drain=%.2f", status, asked.Seconds())
		switch {
		case status == 200 && asked > 4*time.Second+50*time.Millisecond:
			late++
		case status == 200:
			good++
		default:
			bad++
		}
	}
	proxies.Wait()
	if !s.trouble && !old.running() {
		return 0, fmt.Errorf("the node has ended")
	}
	if s.trouble && (!ready || !second.running()) {
		return 0, fmt.Errorf("the new process did not come into service")
	}
	all, served, refused, failed, lost, _ := s.w.count()
	s.rec.say("health checks after the call: bad %d, good in the first 4 s %d, good later %d", bad, good, late)
	s.rec.say("requests %d: served %d, refused %d, failed %d, lost %d", all, served, refused, failed, lost)
	if late > 0 {
		s.rec.say("rule broken: drain, %d good answers later than 4 s after the call", late)
		return broken, nil
	}
	return held, nil
}
