package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { cases["deploy"] = deployCase }

// deployCase upgrades a node that keeps results while a booking runs. The booking's caller comes back with its token.
func deployCase(w *world) {
	reg, announce := newRegistry(w), newAnnounceService()
	poolA := newPool(w, reg, "A")
	const runTime = 4500 * time.Millisecond
	poolA.runFor = func(j *job) time.Duration { return runTime }
	poolA.resultOf = func(j *job) string { return "booked by " + j.id }
	c := nodeConfig{listen: freeAddr(), pool: poolA.addr(), announce: announce.addr(), admin: freeAddr(), stopMs: 3200,
		tmpdir:   w.dir + "/shared",
		operator: fmt.Sprintf(`{"kept":{"dir":%q,"classes":["payout-book"]}}`, w.dir+"/kept")}
	a := w.startNode("old", "n3", c)
	if !waitReady(c.admin, time.Now().Add(10*time.Second)) {
		panic(couldNotRun{"the first process was not ready within 10 s"})
	}
	const token = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"
	var firstID string
	var first answer
	firstEnded := make(chan struct{})
	k := &caller{w: w, reg: reg, addr: c.listen, number: 1}
	go func() {
		firstID, first = k.send("payout-book", token, "pay 10", 7500*time.Millisecond)
		close(firstEnded)
	}()
	time.Sleep(200 * time.Millisecond)
	runEnds := time.Now().Add(runTime)
	if w.trouble {
		poolB := newPool(w, reg, "B")
		poolB.resultOf = poolA.resultOf
		next := c
		next.pool, next.admin = poolB.addr(), freeAddr()
		w.startNode("new", "n3", next)
		if !waitReady(next.admin, time.Now().Add(6*time.Second)) {
			panic(couldNotRun{"the new process was not ready within 6 s"})
		}
		a.signal(syscall.SIGTERM)
		select {
		case <-a.exited:
		case <-time.After(3700 * time.Millisecond):
			a.kill()
		}
	}
	<-firstEnded
	w.log("first try %s: status %d %q %s", firstID, first.status, first.body, first.kept)
	if runs := reg.runsOf(firstID); runs != 1 {
		panic(couldNotRun{fmt.Sprintf("the first try ran %d times", runs)})
	}
	result := ""
	if first.status == 200 {
		result = first.body
	}
	tries := 0
	for until := runEnds.Add(20 * time.Second); result == "" && time.Now().Before(until); {
		time.Sleep(time.Second)
		id, got := k.send("payout-book", token, "pay 10", 3*time.Second)
		w.log("further try %s: status %d %q kept=%s err=%v", id, got.status, got.body, got.kept, got.err)
		if tries++; got.status == 200 {
			result = got.body
		}
	}
	runs := 0
	reg.mu.Lock()
	for _, j := range reg.sent {
		runs += len(j.runs)
	}
	reg.mu.Unlock()
	w.log("runs of the booking: %d", runs)
	if runs > 1 {
		w.breakRule("the booking ran %d times", runs)
	}
	if want := "booked by " + firstID; result != want {
		w.breakRule("the booking ran once and ended well, and none of %d further tries, until 20 s later, was answered with its result: got %q, want %q", tries, result, want)
	}
}
