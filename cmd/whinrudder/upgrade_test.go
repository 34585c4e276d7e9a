package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// keepAliveCaller is a caller that keeps its connection and, unlike net/http, does not retry by itself.
type keepAliveCaller struct {
	addr   string
	conn   net.Conn
	reader *bufio.Reader
}

// send sends a request and returns the status and the body of its answer. Token is a whole Req-Token header line or
// empty.
func (k *keepAliveCaller) send(class, token, body string) (int, string, error) {
	if k.conn == nil {
		c, err := net.Dial("tcp", k.addr)
		if err != nil {
			return 0, "", fmt.Errorf("refused: %w", err)
		}
		k.conn, k.reader = c, bufio.NewReader(c)
	}
	_, err := fmt.Fprintf(k.conn, "POST /rpc/%s HTTP/1.1\r\nReq-Id: %016x\r\nReq-Time: %d\r\nReq-From: 1\r\nReq-Wait-Ms: 800\r\nReq-Kb: 20\r\nReq-Rank: 0.5\r\n%sContent-Length: %d\r\n\r\n%s",
		class, rand.Uint64(), time.Now().UnixMilli(), token, len(body), body)
	if err != nil {
		return 0, "", fmt.Errorf("closed: %w", err)
	}
	resp, err := http.ReadResponse(k.reader, nil)
	if err != nil {
		return 0, "", fmt.Errorf("closed: %w", err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if resp.Close {
		k.conn.Close()
		k.conn = nil
	}
	return resp.StatusCode, string(text), err
}

// Guards against lost and doubled requests during an upgrade: processes with a worker pool of their own succeed each
// other under load. No connection may be refused, each result must be that of its run, and no booking may run twice. If
// results are kept, a booking is sent again if it was refused while the journal was handed over, and also once after it
// was served; both must get the result of the one run.
func TestUpgradesUnderLoad(t *testing.T) {
	for _, kept := range []bool{false, true} {
		t.Run(map[bool]string{false: "plain", true: "kept"}[kept], func(t *testing.T) { testUpgrades(t, kept) })
	}
}

// testUpgrades runs the upgrades of TestUpgradesUnderLoad, with or without kept results.
func testUpgrades(t *testing.T, kept bool) {
	program, dir := buildProgram(t)
	addr := freeAddr(t)
	const upgrades = 4
	var pools []*fakePool
	start := func() (*exec.Cmd, string) {
		pool := newFakePool(t)
		t.Cleanup(func() { pool.listener.Close() })
		pools = append(pools, pool)
		admin := freeAddr(t)
		text := exampleConfig(t, addr, pool, "9300", "900", "3100", "600", "6200", "900",
			"1900", "600", "7800", "900", "2500", "600")
		config := filepath.Join(dir, fmt.Sprint("config", len(pools), ".json"))
		if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		c := exec.Command(program, "serve", "--config", config)
		if kept {
			operator := filepath.Join(dir, "operator.json")
			text := fmt.Sprintf(`{"kept":{"dir":%q,"classes":["payout-book"],"segment_mb":1,"disk_mb":8}}`,
				filepath.Join(dir, "kept"))
			if err := os.WriteFile(operator, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
			c.Args = append(c.Args, "--operator", operator)
		}
		c.Env = append(os.Environ(), "ROUTER_ADMIN="+admin, "TMPDIR="+dir)
		if err := c.Start(); err != nil {
			t.Fatal(err)
		}
		for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
			if resp, err := http.Get("http://" + admin + "/ready"); err == nil {
				resp.Body.Close()
				if resp.StatusCode == 200 {
					return c, admin
				}
			}
		}
		t.Fatal("the process was not ready within 20 s")
		return nil, ""
	}
	node, _ := start()
	var callers sync.WaitGroup
	var mu sync.Mutex
	stop := make(chan struct{})
	statuses, wrong, served := map[int]int{}, []string{}, map[string]bool{}
	var took, bookingSeconds []float64
	for c := range 12 {
		callers.Go(func() {
			k := &keepAliveCaller{addr: addr}
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				class := []string{"status-lookup", "payout-book"}[n%2]
				body, started, token := fmt.Sprintf("%s-%d-%d", class, c, n), time.Now(), ""
				if kept && class == "payout-book" {
					token = "Req-Token: " + body + "\r\n"
				}
				status, text, err := k.send(class, token, body)
				for tries := 1; token != "" && err == nil && (status == 503 || tries == 1); tries++ {
					if status == 503 {
						time.Sleep(20 * time.Millisecond)
					}
					status, text, err = k.send(class, token, body)
				}
				mu.Lock()
				if took := time.Since(started); token != "" && status == 200 {
					bookingSeconds = append(bookingSeconds, took.Seconds())
				}
				statuses[status]++
				switch {
				case err != nil:
					wrong = append(wrong, fmt.Sprint(body, " ", err))
					k.conn = nil
				case status == 200:
					took = append(took, float64(time.Since(started).Microseconds())/1e3)
					served[body] = true
					if text != "done "+body {
						wrong = append(wrong, fmt.Sprintf("%s: got result %q", body, text))
					}
				}
				mu.Unlock()
				time.Sleep(time.Duration(rand.IntN(4000)) * time.Microsecond)
			}
		})
	}
	for range upgrades {
		time.Sleep(100 * time.Millisecond)
		successor, _ := start()
		node.Process.Signal(syscall.SIGTERM)
		if err := node.Wait(); err != nil {
			t.Error("the replaced process ended with error:", err)
		}
		node = successor
	}
	close(stop)
	callers.Wait()
	node.Process.Signal(syscall.SIGTERM)
	node.Wait()
	ran := map[string]int{}
	for i, p := range pools {
		p.mu.Lock()
		if len(p.runs) == 0 {
			wrong = append(wrong, fmt.Sprint("process ", i, " ran nothing"))
		}
		for body, n := range p.runs {
			ran[body] += n
		}
		p.mu.Unlock()
	}
	for body, n := range ran {
		if n > 1 && strings.HasPrefix(body, "payout") {
			wrong = append(wrong, fmt.Sprintf("%s ran %d times", body, n))
		}
	}
	for body := range served {
		if ran[body] == 0 {
			wrong = append(wrong, body+" was served and never ran")
		}
	}
	if len(wrong) > 0 {
		t.Error(wrong)
	}
	if len(served) < 100 {
		t.Errorf("got %d requests served, want at least 100", len(served))
	}
	slices.Sort(took)
	if kept {
		slices.Sort(bookingSeconds)
		t.Logf("bookings with a token: at most %.2f s from the first try to the result",
			bookingSeconds[len(bookingSeconds)-1])
	}
	t.Logf("%d upgrades, %v answers by status, %d runs; latency p50 %.1f ms, p99 %.1f ms", upgrades, statuses, len(ran),
		took[len(took)/2], took[len(took)*99/100])
}
