package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { cases["classes"] = classesCase }

// classesCase drops a class by a new configuration and adds another one by a further configuration, at a site where the
// answer to a read may serve others for 30 s. TROUBLE=0: the node has both classes from its start, and nothing is changed.
func classesCase(w *world) {
	reg, announce := newRegistry(w), newAnnounceService()
	p := newPool(w, reg, "A")
	p.resultOf = func(j *job) string { return "result of class " + j.class + " for request " + j.id }
	lookup, quote, book := usualClasses[0], usualClasses[1], usualClasses[2]
	fee := quote
	fee.name = "fee-quote"
	c := nodeConfig{listen: freeAddr(), pool: p.addr(), announce: announce.addr(), stopMs: 3200, freshMs: 30000,
		classes: []class{lookup, quote, book}}
	if !w.trouble {
		c.classes = []class{lookup, quote, book, fee}
	}
	n := w.startNode("node", "n3", c)
	waitHealthy(c.listen, time.Now().Add(10*time.Second))
	time.Sleep(1200 * time.Millisecond) // a new configuration never comes in the first second of service
	began := time.Now()
	k := &caller{w: w, reg: reg, addr: c.listen, number: 1, key: "7f3a9c21e0b4d655"}
	ask := func(class string) {
		id, got := k.send(class, "", "ref 17", 2*time.Second)
		k.close()
		w.log("%s: request %s with key %s: status %d %q", class, id, k.key, got.status, got.body)
		if got.status != 200 {
			panic(couldNotRun{fmt.Sprintf("the request was not served: status %d, %v", got.status, got.err)})
		}
		reg.mu.Lock()
		found := false
		for _, j := range reg.sent { // an answer may be that of another read of this class and key
			found = found || j.class == class && j.results[got.body]
		}
		reg.mu.Unlock()
		if found {
			return
		}
		w.breakRule("a request of class %s was served with %q, which no run of a request of its class made", class, got.body)
	}
	ask("rate-quote")
	reload := func(what string, classes ...class) {
		if w.trouble {
			c.classes = classes
			n.rewriteConfig("n3", c)
			w.log("new configuration: %s", what)
			n.signal(syscall.SIGHUP)
		}
	}
	time.Sleep(time.Second)
	reload("rate-quote is dropped", lookup, book)
	time.Sleep(22 * time.Second)
	reload("fee-quote is added", lookup, book, fee)
	time.Sleep(1500 * time.Millisecond) // client proxies start using a new class 1.2 s later
	for range 3 {
		ask("fee-quote")
		time.Sleep(200 * time.Millisecond)
	}
	w.log("%v since the read of rate-quote", time.Since(began).Round(time.Millisecond))
}
