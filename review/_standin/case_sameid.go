package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

func init() { cases["same-id"] = sameID }

// sameID plays calm client proxies. With the trouble, another client sends the ids of their open requests with other
// bodies, in two forms, each after the other:
//
//   - leave: it closes the connection once the request is written, as a client that stops waiting does;
//   - long: it sends more bytes than Content-Length says, and reads what it is sent until the connection ends.
func sameID(s *stage) (int, error) {
	p, err := startPool(s.w, 6, map[string]float64{"payout-book": 900, "status-lookup": 700, "rate-quote": 500}, 0)
	if err != nil {
		return 0, err
	}
	defer p.close()
	c := config{name: "n1", listen: freeAddr(), pool: p.addr(), announce: s.announce, stopMs: 3200, memoryMB: 192,
		sockets: 1024, settings: settings()}
	n, err := s.start(c, "n1", "tmp")
	if err != nil {
		return 0, err
	}
	if !waitHealthy(c.listen, time.Now().Add(10*time.Second)) {
		return 0, fmt.Errorf("the node did not become healthy")
	}
	ended := time.Now().Add(12 * time.Second)
	var proxies sync.WaitGroup
	for from := 1; from <= 3; from++ {
		class := []string{"payout-book", "status-lookup", "rate-quote"}[from-1]
		wait := []float64{3000, 3000, 3000}[from-1]
		for range 2 {
			proxies.Go(func() {
				k := &proxyConn{w: s.w, addr: c.listen}
				defer k.close()
				for time.Now().Before(ended) {
					r := s.w.arrive(class, from, wait, []byte("pay "+newID()))
					k.call(r)
					time.Sleep(50 * time.Millisecond)
				}
			})
		}
	}
	hit := map[string]string{} // form of the trouble, by id of the request
	if s.trouble {
		for i := 0; time.Now().Before(ended.Add(-time.Second)); i++ {
			time.Sleep(300 * time.Millisecond)
			for _, r := range s.w.open("", 100) {
				if hit[r.id] == "" {
					hit[r.id] = []string{"leave", "long"}[i%2]
					s.otherClient(c.listen, r, hit[r.id])
					break
				}
			}
		}
	}
	proxies.Wait()
	if !n.running() {
		s.rec.say("the node has ended")
		return broken, nil
	}
	all, served, refused, failed, lost, twice := s.w.count()
	byForm := map[string][2]int{}
	s.w.mu.Lock()
	for _, r := range s.w.all {
		form := hit[r.id]
		if form == "" {
			form = "none"
		}
		v := byForm[form]
		v[0]++
		if r.lost != "" {
			v[1]++
		}
		byForm[form] = v
	}
	s.w.mu.Unlock()
	for _, form := range []string{"none", "leave", "long"} {
		s.rec.say("requests whose id another client sent in form %-5s: %3d, lost %d", form, byForm[form][0], byForm[form][1])
	}
	s.rec.say("requests %d: served %d, refused %d, failed %d, lost %d; bookings run twice %d", all, served, refused, failed,
		lost, twice)
	if served == 0 {
		return 0, fmt.Errorf("nothing was served")
	}
	if float64(lost) > 0.003*float64(all) {
		s.rec.say("rule broken: lost, %d of %d requests have no final answer, more than 3 in 1,000", lost, all)
		return broken, nil
	}
	return held, nil
}

// otherClient sends the id of an open request with another body.
func (s *stage) otherClient(addr string, r *request, form string) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return
	}
	body := "another body"
	text := fmt.Sprintf("POST /rpc/%s HTTP/1.1\r\nHost: api.internal\r\nReq-Id: %s\r\nReq-Time: %d\r\nReq-From: 9\r\n"+
		"Req-Wait-Ms: 3000\r\nReq-Kb: 24.5\r\nReq-Rank: 0.6250\r\nContent-Length: %d\r\n\r\n%s", r.class, r.id,
		time.Now().UnixMilli(), len(body), body)
	s.rec.line("other-client id=%s form=%s", r.id, form)
	if form == "leave" {
		fmt.Fprint(c, text)
		c.Close()
		return
	}
	go func() {
		defer c.Close()
		c.SetDeadline(time.Now().Add(5 * time.Second))
		fmt.Fprint(c, text+strings.Repeat("x", 256<<10))
		in := bufio.NewReader(c)
		status, _, _, err := readAnswer(in)
		s.rec.line("other-client id=%s form=%s status=%d error=%v", r.id, form, status, err)
	}()
}
