package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// leavingFronts are the fronts at which callers leave.
var leavingFronts = []string{"http", "uwsgi", "h2c"}

// leavingNode is a node whose processes succeed each other, with a worker pool of its own for each.
type leavingNode struct {
	program, dir string
	runTime      time.Duration     // of the runs of its worker pools; 0: the usual one
	replacements []string          // in the configuration, see exampleConfig
	addrs        map[string]string // of the fronts
	pools        []*fakePool
	processes    []*exec.Cmd
}

func newLeavingNode(t *testing.T, sections ...string) *leavingNode {
	t.Helper()
	program, dir := buildProgram(t)
	n := &leavingNode{program: program, dir: dir, addrs: map[string]string{}}
	for _, f := range leavingFronts {
		n.addrs[f] = freeAddr(t)
	}
	operator := fmt.Sprintf(`{"uwsgi":{"listen":%q},"h2c":{"listen":%q},"upgrade":{"dir":%q}%s}`, n.addrs["uwsgi"],
		n.addrs["h2c"], dir, strings.Join(sections, ""))
	if err := os.WriteFile(filepath.Join(dir, "operator.json"), []byte(operator), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		for _, c := range n.processes {
			c.Process.Kill()
			c.Wait()
		}
	})
	return n
}

// start starts another process and waits until it is ready.
func (n *leavingNode) start(t *testing.T) {
	t.Helper()
	pool := newFakePool(t)
	pool.runTime = n.runTime
	t.Cleanup(func() { pool.listener.Close() })
	admin := freeAddr(t)
	config := filepath.Join(n.dir, fmt.Sprint("config", len(n.pools), ".json"))
	if err := os.WriteFile(config, []byte(exampleConfig(t, n.addrs["http"], pool, n.replacements...)), 0o600); err != nil {
		t.Fatal(err)
	}
	c := exec.Command(n.program, "serve", "--config", config, "--operator", filepath.Join(n.dir, "operator.json"))
	c.Env = append(os.Environ(), "ROUTER_ADMIN="+admin)
	log, err := os.OpenFile(filepath.Join(n.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	n.pools, n.processes = append(n.pools, pool), append(n.processes, c)
	for by := time.Now().Add(20 * time.Second); time.Now().Before(by); time.Sleep(5 * time.Millisecond) {
		if resp, err := http.Get("http://" + admin + "/ready"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == 200 {
				return
			}
		}
	}
	t.Fatal("the process was not ready within 20 s")
}

// runs returns how often each request was started at any of the worker pools, by its body.
func (n *leavingNode) runs() map[string]int {
	sum := map[string]int{}
	for _, p := range n.pools {
		p.mu.Lock()
		for body, spawns := range p.spawns {
			sum[body] += spawns
		}
		p.mu.Unlock()
	}
	return sum
}

// encodeBooking returns the bytes of a booking on a new connection of a front; its id is its body as well.
func encodeBooking(front, id string, stream uint32) []byte {
	fields := [][2]string{{"req-id", id}, {"req-time", fmt.Sprint(time.Now().UnixMilli())}, {"req-from", "1"},
		{"req-wait-ms", "2000"}, {"req-kb", "20"}, {"req-rank", "0.5"}}
	var b bytes.Buffer
	switch front {
	case "http":
		b.WriteString("POST /rpc/payout-book HTTP/1.1\r\n")
		for _, f := range fields {
			fmt.Fprintf(&b, "%s: %s\r\n", f[0], f[1])
		}
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(id), id)
	case "uwsgi":
		var vars []byte
		add := func(s string) { vars = append(append(vars, byte(len(s)), byte(len(s)>>8)), s...) }
		for _, f := range append(fields, [2]string{"content-length", fmt.Sprint(len(id))}) {
			name := strings.ToUpper(strings.ReplaceAll(f[0], "-", "_"))
			if f[0] != "content-length" {
				name = "HTTP_" + name
			}
			add(name)
			add(f[1])
		}
		for _, s := range []string{"REQUEST_METHOD", "POST", "PATH_INFO", "/rpc/payout-book"} {
			add(s)
		}
		b.Write(append([]byte{0, byte(len(vars)), byte(len(vars) >> 8), 0}, vars...))
		b.WriteString(id)
	case "h2c":
		framer := http2.NewFramer(&b, nil)
		if stream == 1 {
			b.WriteString(http2.ClientPreface)
			framer.WriteSettings()
		}
		var block bytes.Buffer
		encoder := hpack.NewEncoder(&block)
		for _, f := range append([][2]string{{":method", "POST"}, {":scheme", "http"}, {":path", "/rpc/payout-book"}}, fields...) {
			encoder.WriteField(hpack.HeaderField{Name: f[0], Value: f[1], Sensitive: true})
		}
		framer.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: block.Bytes(), EndHeaders: true})
		framer.WriteData(stream, true, []byte(id))
	}
	return b.Bytes()
}

// Guards against an id that runs twice because it comes again after its caller has left, also at the other process of an
// upgrade: callers at each front send bookings, leave after some milliseconds and send the same id again on a new connection,
// while processes succeed each other.
func TestIDRunsOnceThoughItsCallerLeaves(t *testing.T) {
	n := newLeavingNode(t)
	n.start(t)
	stop := make(chan struct{})
	var callers sync.WaitGroup
	var mu sync.Mutex
	tries := 0
	for c := range 24 {
		front := leavingFronts[c%len(leavingFronts)]
		callers.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				id := fmt.Sprintf("%016x", rand.Uint64())
				for range 2 {
					if c, err := net.Dial("tcp", n.addrs[front]); err == nil {
						c.Write(encodeBooking(front, id, 1))
						time.Sleep(time.Duration(rand.IntN(6000)) * time.Microsecond)
						c.Close()
					}
				}
				mu.Lock()
				tries++
				mu.Unlock()
			}
		})
	}
	const upgrades = 3
	for range upgrades {
		time.Sleep(150 * time.Millisecond)
		n.start(t)
		old := n.processes[len(n.processes)-2]
		time.Sleep(100 * time.Millisecond)
		old.Process.Signal(syscall.SIGTERM)
		old.Wait()
	}
	close(stop)
	callers.Wait()
	runs, twice := n.runs(), 0
	for _, count := range runs {
		if count > 1 {
			twice++
		}
	}
	t.Logf("%d ids, %d of them ran", tries, len(runs))
	if twice > 0 || len(runs) < 100 {
		t.Errorf("%d of %d ids ran twice, want none of 100 or more", twice, len(runs))
	}
}

// Guards against requests that are sent on after their caller has left: a caller writes many bookings at once on one connection
// and closes it with most of them unread. Nothing may start once the node can know that.
func TestNothingStartsAfterItsCallerHasLeft(t *testing.T) {
	n := newLeavingNode(t)
	n.start(t)
	for _, front := range leavingFronts {
		const requests = 100
		sent := map[string]bool{}
		for range 20 {
			c, err := net.Dial("tcp", n.addrs[front])
			if err != nil {
				t.Fatal(err)
			}
			var b []byte
			for i := range requests {
				id := fmt.Sprintf("%016x", rand.Uint64())
				sent[id] = true
				b = append(b, encodeBooking(front, id, uint32(1+2*i))...)
			}
			c.Write(b)
			c.Close()
		}
		time.Sleep(300 * time.Millisecond)
		ran := 0
		for id := range n.runs() {
			if sent[id] {
				ran++
			}
		}
		t.Logf("%s: %d of %d ran", front, ran, len(sent))
		if ran > len(sent)/50 {
			t.Errorf("%s: %d of %d requests ran though their caller had left", front, ran, len(sent))
		}
	}
}
