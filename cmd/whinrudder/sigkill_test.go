package main

import (
	"bufio"
	"cmp"
	"encoding/base64"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fastjson"

	"whinrudder/internal/lab"
)

// fakePool is a worker pool that outlives the nodes and records what ran. A run takes 2 to 16 milliseconds; its notice
// is sent over the current link or, if there is none, over the next.
type fakePool struct {
	listener net.Listener
	mu       sync.Mutex
	conn     net.Conn
	serial   int
	unsent   []string       // notices, without their serial number, that could not be sent yet
	runs     map[string]int // number of runs by request body
	spawns   map[string]int // number of commands to start a run by request body, also of those that run already
	started  map[string]bool
	runTime  time.Duration // of each run; 0: 2 to 16 ms
}

func newFakePool(t *testing.T) *fakePool {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &fakePool{listener: l, runs: map[string]int{}, spawns: map[string]int{}, started: map[string]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go b.serve(c)
		}
	}()
	return b
}

func (b *fakePool) serve(c net.Conn) {
	defer c.Close()
	for r := bufio.NewReader(c); ; {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		v := fastjson.MustParse(line)
		b.mu.Lock()
		switch string(v.GetStringBytes("msg")) {
		case "bind":
			if v.GetInt("serial") == 0 {
				b.serial = 0 // a new node starts counting at 0
			}
			b.conn = c
			fmt.Fprintln(c, `{"msg":"bound","how":"WARM","duration":9000}`)
			unsent := b.unsent
			b.unsent = nil
			for _, notice := range unsent {
				b.notify(notice)
			}
		case "poll":
			fmt.Fprintf(c, `{"msg":"polled","cookie":%q,"stats":[0.5,1,0.1,4]}`+"\n", v.GetStringBytes("cookie"))
		case "spawn":
			call := string(v.GetStringBytes("call"))
			body, _ := base64.StdEncoding.DecodeString(string(v.GetStringBytes("blob")))
			b.spawns[string(body)]++
			if !b.started[call] {
				b.started[call] = true
				b.runs[string(body)]++
				time.AfterFunc(cmp.Or(b.runTime, time.Duration(2+rand.IntN(15))*time.Millisecond), func() {
					b.mu.Lock()
					defer b.mu.Unlock()
					b.notify(fmt.Sprintf(`"call":%q,"how":"OK","duration":5,"blob":%q`, call,
						base64.StdEncoding.EncodeToString([]byte("done "+string(body)))))
				})
			}
		}
		b.mu.Unlock()
	}
}

// notify writes a notice; if that fails, the notice waits for the next link. The caller holds the lock.
func (b *fakePool) notify(notice string) {
	if b.conn == nil {
		b.unsent = append(b.unsent, notice)
		return
	}
	b.serial++
	if _, err := fmt.Fprintf(b.conn, `{"msg":"finished","serial":%d,%s}`+"\n", b.serial, notice); err != nil {
		b.unsent = append(b.unsent, notice)
	}
}

// buildProgram builds the program into a temporary folder.
func buildProgram(t *testing.T) (program, dir string) {
	t.Helper()
	dir = t.TempDir()
	program = filepath.Join(dir, "whinrudder")
	if out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return program, dir
}

func freeAddr(t *testing.T) string {
	t.Helper()
	addr, err := lab.FreeAddr()
	if err != nil {
		t.Fatal(err)
	}
	return addr
}

// exampleConfig returns examples/config.json with the given address, a worker pool of 16 cores, and replacements: pairs
// of an old and a new text.
func exampleConfig(t *testing.T, addr string, pool *fakePool, replacements ...string) string {
	t.Helper()
	text, err := os.ReadFile("../../examples/config.json")
	if err != nil {
		t.Fatal(err)
	}
	replacements = append([]string{"127.0.0.1:8080", addr, "127.0.0.1:4400", pool.listener.Addr().String(), `"cores":2`,
		`"cores":16`}, replacements...)
	return strings.NewReplacer(replacements...).Replace(string(text))
}

// Guards against a booking that runs twice or is answered wrongly after a crash: a node is killed ten times while
// callers send bookings, each token until it is served or in doubt and each try with a new id. No token may run twice,
// each result must be that of its run, and the journal must be intact.
func TestKeptResultsSurviveSIGKILL(t *testing.T) {
	program, dir := buildProgram(t)
	pool := newFakePool(t)
	defer pool.listener.Close()
	addr := freeAddr(t)
	config, operator := filepath.Join(dir, "config.json"), filepath.Join(dir, "operator.json")
	keptDir := filepath.Join(dir, "kept")
	text := exampleConfig(t, addr, pool)
	for f, s := range map[string]string{config: text,
		operator: fmt.Sprintf(`{"kept":{"dir":%q,"classes":["payout-book"],"segment_mb":1,"disk_mb":8}}`, keptDir)} {
		if err := os.WriteFile(f, []byte(s), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	start := func() *exec.Cmd {
		c := exec.Command(program, "serve", "--config", config, "--operator", operator)
		if err := c.Start(); err != nil {
			t.Fatal(err)
		}
		return c
	}
	node := start()
	stop := make(chan struct{})
	var callers sync.WaitGroup
	var mu sync.Mutex
	served, doubts, tries, wrong := 0, 0, 0, []string{}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	sendBooking := func(token string) bool {
		req, _ := http.NewRequest("POST", "http://"+addr+"/rpc/payout-book", strings.NewReader(token))
		for k, v := range map[string]string{"Req-Id": fmt.Sprintf("%016x", rand.Uint64()),
			"Req-Time": fmt.Sprint(time.Now().UnixMilli()), "Req-From": "1", "Req-Wait-Ms": "3000",
			"Req-Kb": "20", "Req-Rank": "0.5", "Req-Token": token} {
			req.Header.Set(k, v)
		}
		resp, err := client.Do(req)
		mu.Lock()
		defer mu.Unlock()
		tries++
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		switch {
		case err != nil:
			return false
		case resp.StatusCode == 200 && string(body) != "done "+token:
			wrong = append(wrong, fmt.Sprintf("%s: got result %q", token, body))
		case resp.StatusCode == 200:
			served++
		case resp.Header.Get("Srv-Kept") == "in-doubt":
			doubts++ // the notice has not arrived yet, or the booking did not run
		default:
			return false
		}
		return true
	}
	for c := range 8 {
		callers.Go(func() {
			for n := 0; ; n++ {
				for try := 0; ; try++ {
					select {
					case <-stop:
						return
					default:
					}
					if sendBooking(fmt.Sprintf("t%d-%d", c, n)) && try%2 == 1 { // most bookings are sent twice
						break
					}
					time.Sleep(2 * time.Millisecond)
				}
			}
		})
	}
	const kills = 10
	servedSoFar := func() int {
		mu.Lock()
		defer mu.Unlock()
		return served
	}
	for range kills { // each process serves at least ten requests before it is killed, however long its start takes
		before := servedSoFar()
		for deadline := time.Now().Add(20 * time.Second); servedSoFar() < before+10 && time.Now().Before(deadline); {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(time.Duration(rand.IntN(100)) * time.Millisecond)
		node.Process.Kill()
		node.Wait()
		node = start()
	}
	for before, deadline := servedSoFar(), time.Now().Add(20*time.Second); servedSoFar() < before+10 &&
		time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	close(stop)
	callers.Wait()
	node.Process.Kill()
	node.Wait()
	pool.mu.Lock()
	defer pool.mu.Unlock()
	for token, n := range pool.runs {
		if n > 1 {
			wrong = append(wrong, fmt.Sprintf("%s ran %d times", token, n))
		}
	}
	if len(wrong) > 0 {
		t.Error(wrong)
	}
	if served < 20 || len(pool.runs) < 20 {
		t.Errorf("got %d results of %d runs, want at least 20 of each", served, len(pool.runs))
	}
	out, err := exec.Command(program, "kept", "verify", "--dir", keptDir).CombinedOutput()
	if err != nil && !strings.Contains(string(out), "what a crash left") {
		t.Errorf("%v: %s", err, out)
	}
	t.Logf("%d kills, %d tries, %d runs of as many tokens, %d served, %d in doubt", kills, tries,
		len(pool.runs), served, doubts)
}
