package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["copies"] = copiesCase }

// copiesCase sends 150 requests a second over one connection of a gateway, a fifth of them bookings. Every second read is a
// copy of one that another node answers first: the gateway gives it up after 40 ms. TROUBLE=0: nothing is given up.
func copiesCase(w *world) {
	reg := newRegistry(w)
	p := newPool(w, reg, "A")
	p.quiet = true
	p.runFor = func(j *job) time.Duration { return 100 * time.Millisecond }
	_, h2c := startH2(w, p, 3200)
	connections := 0
	dial := func() *gateway {
		connections++
		g, err := dialGateway(w, reg, fmt.Sprint("G", connections), h2c, 65535, time.Millisecond)
		must(err)
		time.Sleep(50 * time.Millisecond) // the node's settings arrive
		return g
	}
	g := dial()
	var open sync.WaitGroup
	var mu sync.Mutex
	sent, gaveUp, unprocessed, lost := 0, 0, 0, 0
	statuses := map[string]int{}
	began := time.Now()
	for n := 0; time.Since(began) < 20*time.Second; n++ {
		time.Sleep(time.Until(began.Add(time.Duration(n) * time.Second / 150)))
		goesOn, room := g.mayOpen()
		if !goesOn {
			g = dial()
		} else if !room {
			continue // the gateway answers its caller itself
		}
		class := usualClasses[[]int{0, 1, 0, 0, 2}[n%5]].name
		isCopy := w.trouble && class != "payout-book" && n%2 == 1
		s, g := g.send(class, "", fmt.Sprint("ref ", n), 2*time.Second), g
		if s == nil {
			continue
		}
		open.Go(func() {
			if isCopy {
				select {
				case <-s.ended:
				case <-time.After(40 * time.Millisecond):
				}
				if g.giveUp(s) {
					mu.Lock()
					gaveUp++
					mu.Unlock()
					return
				}
			}
			select {
			case <-s.ended:
			case <-time.After(time.Until(s.due.Add(slack))):
			}
			g.mu.Lock()
			whole, status, reset, by := s.whole, s.status, s.reset, s.resetBy
			g.mu.Unlock()
			named := g.isNamed(s)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case whole:
				sent++
				statuses[status]++
			case named || reset && by == codeRefusedStream:
				unprocessed++
			default:
				sent++
				lost++
				w.log("LOST %s on %s, stream %d, %s: no whole answer, runs: %d", s.reqID, g.name, s.id, class, reg.runsOf(s.reqID))
			}
		})
	}
	open.Wait()
	w.log("requests that nobody gave up: %d, lost: %d; given up: %d; not processed by the node's word: %d; connections: %d; statuses: %v",
		sent, lost, gaveUp, unprocessed, connections, statuses)
	if float64(lost) > 0.003*float64(sent) {
		w.breakRule("%d of %d requests had no final answer; 3 in 1,000 may", lost, sent)
	}
}
