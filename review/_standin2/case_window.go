package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"
)

func init() { cases["window"] = windowCase }

// startH2 starts a node with the h2c front.
func startH2(w *world, p *pool, stopMs int) (n *node, h2c string) {
	announce := newAnnounceService()
	h2c = freeAddr()
	c := nodeConfig{listen: freeAddr(), pool: p.addr(), announce: announce.addr(), stopMs: stopMs,
		operator: fmt.Sprintf(`{"h2c":{"listen":%q}}`, h2c)}
	n = w.startNode("node", "n3", c)
	waitHealthy(c.listen, time.Now().Add(10*time.Second))
	return n, h2c
}

// windowCase lets a node drain while a booking runs whose answer a gateway reads in parts, as its window allows.
func windowCase(w *world) {
	reg := newRegistry(w)
	p := newPool(w, reg, "A")
	p.runFor = func(j *job) time.Duration { return 3200 * time.Millisecond }
	p.resultOf = func(j *job) string { return strings.Repeat("booked "+j.id+" ", 170)[:4000] }
	n, h2c := startH2(w, p, 3200)
	g, err := dialGateway(w, reg, "G", h2c, 2048, 5*time.Millisecond)
	must(err)
	time.Sleep(300 * time.Millisecond)
	s := g.send("payout-book", "", "pay 10", 7*time.Second)
	w.log("gateway G: stream %d is request %s", s.id, s.reqID)
	time.Sleep(200 * time.Millisecond)
	killAt := time.Now().Add(3200 * time.Millisecond)
	if w.trouble {
		n.signal(syscall.SIGTERM)
	}
	select {
	case <-s.ended:
	case <-time.After(time.Until(s.due.Add(slack))):
	}
	w.log("gateway G: status %s, %d bytes, whole %t, reset %t (%d)", s.status, len(s.body), s.whole, s.reset, s.resetBy)
	if !s.whole {
		w.breakRule("the answer to %s ended after %d bytes of 4000, %v before the stop; its run: %d", s.reqID, len(s.body),
			time.Until(killAt).Round(time.Millisecond), reg.runsOf(s.reqID))
	}
	time.Sleep(time.Until(killAt))
	n.kill()
}
