package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["successor"] = successorCase }

// successorCase upgrades a node under a light load. The worker pool of the new process comes up long after that process
// (TROUBLE=0: at once). The platform waits for 6 s, as its page says, and then tells the old process to stop. Only requests
// that are written after the old process has ended count as lost.
func successorCase(w *world) {
	reg, announce := newRegistry(w), newAnnounceService()
	poolA := newPool(w, reg, "A")
	c := nodeConfig{listen: freeAddr(), pool: poolA.addr(), announce: announce.addr(), admin: freeAddr(), stopMs: 3200,
		tmpdir: w.dir + "/shared"}
	a := w.startNode("old", "n3", c)
	if !waitReady(c.admin, time.Now().Add(10*time.Second)) {
		panic(couldNotRun{"the first process was not ready within 10 s"})
	}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	var mu sync.Mutex
	sent, lost := 0, 0
	for i := range 8 {
		callers.Go(func() {
			k := &caller{w: w, reg: reg, addr: c.listen, number: i + 1}
			defer k.close()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(200 * time.Millisecond):
				}
				if !announce.listed("n3") {
					continue
				}
				class, alone := usualClasses[n%3].name, a.hasExited()
				id, got := k.send(class, "", fmt.Sprintf("pay %d %d", i, n), 2500*time.Millisecond)
				if got.crossed() {
					w.log("caller %d: %s crossed a close and is sent again", i, id)
					id, got = k.send(class, "", fmt.Sprintf("pay %d %d", i, n), 2500*time.Millisecond)
				}
				w.log("caller %d: %s %s status=%d after %.3f s err=%v", i, id, class, got.status, got.ended.Sub(got.written).Seconds(), got.err)
				mu.Lock()
				if !got.refused {
					sent++
				}
				if !got.refused && (got.status == 0 || got.ended.After(got.due.Add(slack))) {
					w.log("LOST %s: written to an accepted connection, no whole answer by its due time; the old process had ended: %t", id, alone)
					if alone {
						lost++
					}
				}
				if got.status == 200 && !reg.isResult(id, got.body) {
					w.breakRule("%s was served with a result that no run of it made", id)
				}
				mu.Unlock()
			}
		})
	}
	time.Sleep(2 * time.Second)
	poolB := newPool(w, reg, "B")
	if w.trouble {
		poolB.upAt = time.Now().Add(16 * time.Second)
	}
	next := c
	next.pool, next.admin = poolB.addr(), freeAddr()
	b := w.startNode("new", "n3", next)
	ready := waitReady(next.admin, time.Now().Add(6*time.Second))
	w.log("the new process says ready: %t", ready)
	a.signal(syscall.SIGTERM)
	select {
	case <-a.exited:
	case <-time.After(3700 * time.Millisecond):
		a.kill()
	}
	w.log("the old process has ended; a health check of the node: status %d (0: no answer within 1 s)", get(c.listen, "/health"))
	time.Sleep(time.Until(b.startedAt().Add(20 * time.Second)))
	if b.hasExited() {
		w.breakRule("the new process has exited: %s", b.state)
	}
	close(stop)
	callers.Wait()
	b.signal(syscall.SIGTERM)
	select {
	case <-b.exited:
	case <-time.After(4 * time.Second):
	}
	w.log("requests written: %d, lost: %d", sent, lost)
	if float64(lost) > 0.003*float64(sent) {
		w.breakRule("%d of %d requests had no final answer in their time, all of them written after the old process had ended; 3 in 1,000 may", lost, sent)
	}
}
