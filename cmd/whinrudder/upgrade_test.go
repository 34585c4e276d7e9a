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

// keptAlive is a caller that keeps its connection, and does not come again by itself as net/http would.
type keptAlive struct {
	addr string
	c    net.Conn
	r    *bufio.Reader
}

// ask sends a request, with a token if there is one, and returns the status and the body of its answer.
func (k *keptAlive) ask(class, token, body string) (int, string, error) {
	if k.c == nil {
		c, err := net.Dial("tcp", k.addr)
		if err != nil {
			return 0, "", fmt.Errorf("refused: %w", err)
		}
		k.c, k.r = c, bufio.NewReader(c)
	}
	_, err := fmt.Fprintf(k.c, "POST /rpc/%s HTTP/1.1\r\nReq-Id: %016x\r\nReq-Time: %d\r\nReq-From: 1\r\nReq-Wait-Ms: 800\r\nReq-Kb: 20\r\nReq-Rank: 0.5\r\n%sContent-Length: %d\r\n\r\n%s",
		class, rand.Uint64(), time.Now().UnixMilli(), token, len(body), body)
	if err != nil {
		return 0, "", fmt.Errorf("closed: %w", err)
	}
	a, err := http.ReadResponse(k.r, nil)
	if err != nil {
		return 0, "", fmt.Errorf("closed: %w", err)
	}
	defer a.Body.Close()
	text, err := io.ReadAll(a.Body)
	if a.Close {
		k.c.Close()
		k.c = nil
	}
	return a.StatusCode, string(text), err
}

// Real processes succeed each other under load, each with a worker pool of its own: no request is turned back at the door,
// all that is served is the result of its run, and nothing runs twice. Where results are kept, a booking that was refused while the
// journal passed comes again, as one does whose answer was served, and both get the result of the one run.
func TestUpgradedAgainAndAgain(t *testing.T) {
	for _, kept := range []bool{false, true} {
		t.Run(map[bool]string{false: "plain", true: "kept"}[kept], func(t *testing.T) { upgradeAgainAndAgain(t, kept) })
	}
}

func upgradeAgainAndAgain(t *testing.T, kept bool) {
	program, dir := build(t)
	addr := freeAddr(t)
	const upgrades = 4
	var pools []*bookkeeper
	start := func() (*exec.Cmd, string) {
		pool := newBookkeeper(t)
		t.Cleanup(func() { pool.l.Close() })
		pools = append(pools, pool)
		admin := freeAddr(t)
		text := example(t, addr, pool, "9300", "900", "3100", "600", "6200", "900", "1900", "600", "7800", "900", "2500", "600")
		config := filepath.Join(dir, fmt.Sprint("config", len(pools), ".json"))
		if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		c := exec.Command(program, "serve", "--config", config)
		if kept {
			operator := filepath.Join(dir, "operator.json")
			text := fmt.Sprintf(`{"kept":{"dir":%q,"classes":["payout-book"],"segment_mb":1,"disk_mb":8}}`, filepath.Join(dir, "kept"))
			if err := os.WriteFile(operator, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
			c.Args = append(c.Args, "--operator", operator)
		}
		c.Env = append(os.Environ(), "ROUTER_ADMIN="+admin, "TMPDIR="+dir)
		if err := c.Start(); err != nil {
			t.Fatal(err)
		}
		for late := time.Now().Add(20 * time.Second); time.Now().Before(late); time.Sleep(5 * time.Millisecond) {
			if a, err := http.Get("http://" + admin + "/ready"); err == nil {
				a.Body.Close()
				if a.StatusCode == 200 {
					return c, admin
				}
			}
		}
		t.Fatal("the process was never ready")
		return nil, ""
	}
	node, _ := start()
	var wg sync.WaitGroup
	var mu sync.Mutex
	stop := make(chan struct{})
	statuses, wrong, served := map[int]int{}, []string{}, map[string]bool{}
	var took, passed []float64
	for c := range 12 {
		wg.Go(func() {
			k := &keptAlive{addr: addr}
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				class := []string{"status-lookup", "payout-book"}[n%2]
				body, begun, token := fmt.Sprintf("%s-%d-%d", class, c, n), time.Now(), ""
				if kept && class == "payout-book" {
					token = "Req-Token: " + body + "\r\n"
				}
				status, text, err := k.ask(class, token, body)
				for tries := 1; token != "" && err == nil && (status == 503 || tries == 1); tries++ {
					if status == 503 {
						time.Sleep(20 * time.Millisecond)
					}
					status, text, err = k.ask(class, token, body)
				}
				mu.Lock()
				if took := time.Since(begun); token != "" && status == 200 {
					passed = append(passed, took.Seconds())
				}
				statuses[status]++
				switch {
				case err != nil:
					wrong = append(wrong, fmt.Sprint(body, " ", err))
					k.c = nil
				case status == 200:
					took = append(took, float64(time.Since(begun).Microseconds())/1e3)
					served[body] = true
					if text != "done "+body {
						wrong = append(wrong, fmt.Sprintf("%s is served %q", body, text))
					}
				}
				mu.Unlock()
				time.Sleep(time.Duration(rand.IntN(4000)) * time.Microsecond)
			}
		})
	}
	for range upgrades {
		time.Sleep(100 * time.Millisecond)
		next, _ := start()
		node.Process.Signal(syscall.SIGTERM)
		if err := node.Wait(); err != nil {
			t.Error("the process that was succeeded:", err)
		}
		node = next
	}
	close(stop)
	wg.Wait()
	node.Process.Signal(syscall.SIGTERM)
	node.Wait()
	ran := map[string]int{}
	for i, p := range pools {
		p.mu.Lock()
		if len(p.ran) == 0 {
			wrong = append(wrong, fmt.Sprint("process ", i, " ran nothing"))
		}
		for body, n := range p.ran {
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
		t.Errorf("%d served: too few to show anything", len(served))
	}
	slices.Sort(took)
	if kept {
		slices.Sort(passed)
		t.Logf("bookings with a token: the longest from the first try to the result %.2f s", passed[len(passed)-1])
	}
	t.Logf("%d upgrades, %v answers by status, %d runs; served in the median %.1f ms, 99 of 100 %.1f ms", upgrades, statuses, len(ran), took[len(took)/2], took[len(took)*99/100])
}
