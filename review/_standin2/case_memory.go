package main

import (
	"fmt"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["memory"] = memoryCase }

const (
	memoryMB  = 48    // of the node's limits
	transfers = 36000 // bookings whose results are kept: as many as the node keeps by default
)

var rssAnon = regexp.MustCompile(`(?m)^RssAnon:\s+(\d+) kB`)

// anonKB returns the anonymous memory of the process, in kB. Pages of files do not count.
func (n *node) anonKB() int {
	b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.cmd.Process.Pid))
	m := rssAnon.FindSubmatch(b)
	if m == nil {
		return 0
	}
	kB, _ := strconv.Atoi(string(m[1]))
	return kB
}

// watchMemory kills the process once it is over its limit, as the platform does, and reports the peak and whether it did.
func (n *node) watchMemory(until <-chan struct{}) (peakKB int, killed bool) {
	for !n.hasExited() {
		kB := n.anonKB()
		peakKB = max(peakKB, kB)
		if kB > memoryMB<<10 {
			n.w.log("platform: %s has %d kB of %d, %v after its start: it is killed", n.name, kB, memoryMB<<10, time.Since(n.began).Round(time.Millisecond))
			n.kill()
			return peakKB, true
		}
		select {
		case <-until:
			return peakKB, false
		case <-time.After(time.Millisecond):
		}
	}
	return peakKB, false
}

// memoryCase fills the store of kept results, kills the node with its worker pool, and starts both again.
func memoryCase(w *world) {
	reg, announce := newRegistry(w), newAnnounceService()
	startPool := func(name string) *pool {
		p := newPool(w, reg, name)
		p.quiet = true
		p.runFor = func(*job) time.Duration { return time.Millisecond }
		p.resultOf = func(j *job) string { return strings.Repeat("receipt of "+j.body+" ", 300)[:4000] }
		return p
	}
	p := startPool("A")
	c := nodeConfig{listen: freeAddr(), pool: p.addr(), announce: announce.addr(), stopMs: 3200, memoryMB: memoryMB,
		operator: fmt.Sprintf(`{"kept":{"dir":%q,"classes":["payout-book"]}}`, w.dir+"/kept")}
	n := w.startNode("first", "n3", c)
	over := make(chan struct{})
	type watched struct {
		peakKB int
		killed bool
	}
	result := make(chan watched, 1)
	go func() {
		peak, killed := n.watchMemory(over)
		result <- watched{peak, killed}
	}()
	waitHealthy(c.listen, time.Now().Add(10*time.Second))
	var next, done atomic.Int64
	var callers sync.WaitGroup
	fillUntil := time.Now().Add(70 * time.Second)
	for i := range 32 {
		callers.Go(func() {
			k := &caller{w: w, reg: reg, addr: c.listen, number: i%3 + 1}
			defer k.close()
			for m := next.Add(1); m <= transfers && time.Now().Before(fillUntil) && !n.hasExited(); m = next.Add(1) {
				for range 50 {
					if _, got := k.send("payout-book", fmt.Sprintf("%032x", 7919*m), fmt.Sprint("pay ", m), 2*time.Second); got.status == 200 {
						done.Add(1)
						break
					}
					time.Sleep(20 * time.Millisecond)
				}
			}
		})
	}
	callers.Wait()
	time.Sleep(2 * time.Second)
	close(over)
	first := <-result
	w.log("bookings served: %d of %d; peak memory of the process %d kB of %d", done.Load(), transfers, first.peakKB, memoryMB<<10)
	if first.killed {
		w.breakRule("the node went over its memory limit while it took bookings")
		return
	}
	if done.Load() < transfers*9/10 {
		panic(couldNotRun{fmt.Sprintf("only %d bookings were served in time", done.Load())})
	}
	if !w.trouble {
		return
	}
	n.signal(syscall.SIGKILL)
	<-n.exited
	p.close()
	p = startPool("B")
	c.pool = p.addr()
	for i := range 3 {
		n = w.startNode(fmt.Sprint("start", i+1), "n3", c)
		settled := make(chan struct{})
		time.AfterFunc(5*time.Second, func() { close(settled) })
		peak, killed := n.watchMemory(settled)
		w.log("start %d: peak memory of the process %d kB of %d, killed %t", i+1, peak, memoryMB<<10, killed)
		if !killed && n.hasExited() {
			w.breakRule("the process has exited: %s", n.state)
			return
		}
		if !killed {
			k := &caller{w: w, reg: reg, addr: c.listen, number: 1}
			_, got := k.send("payout-book", fmt.Sprintf("%032x", 7919), "pay 1", 2*time.Second)
			w.log("the first booking's token again: status %d kept=%s", got.status, got.kept)
			k.close()
			return
		}
		w.breakRule("start %d with the kept results took over %d MB (limit %d MB), so the node was killed before it served", i+1, peak>>10, memoryMB)
	}
}
