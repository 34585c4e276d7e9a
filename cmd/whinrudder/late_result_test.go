package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Guards against the result of a kept booking that is lost because its run outlives the process that started it in an upgrade
// (review/9): the processes after it read the result at its worker pool, also if it was killed, and across two upgrades. The
// booking runs once.
func TestResultOutlivesItsProcess(t *testing.T) {
	for name, test := range map[string]struct {
		upgrades int
		stop     syscall.Signal
	}{
		"stopped": {1, syscall.SIGTERM}, "killed": {1, syscall.SIGKILL}, "two upgrades": {2, syscall.SIGTERM},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			n := newLeavingNode(t, fmt.Sprintf(`,"kept":{"dir":%q,"classes":["payout-book"],"segment_mb":1,"disk_mb":8}`,
				filepath.Join(t.TempDir(), "kept")))
			n.runTime = time.Duration(4*test.upgrades) * time.Second
			n.replacements = []string{"9300", "900", "3100", "600", "6200", "900", "1900", "600", "7800", "900", "2500", "600"}
			n.start(t)
			ask := func() (status int, body string) {
				req, _ := http.NewRequest("POST", "http://"+n.addrs["http"]+"/rpc/payout-book", strings.NewReader("booking"))
				for k, v := range map[string]string{"Req-Id": fmt.Sprintf("%016x", rand.Uint64()),
					"Req-Time": fmt.Sprint(time.Now().UnixMilli()), "Req-From": "1", "Req-Wait-Ms": "800", "Req-Kb": "20",
					"Req-Rank": "0.5", "Req-Token": "token"} {
					req.Header.Set(k, v)
				}
				resp, err := http.DefaultClient.Do(req)
				if err != nil {
					return 0, err.Error()
				}
				defer resp.Body.Close()
				text, _ := io.ReadAll(resp.Body)
				return resp.StatusCode, string(text)
			}
			ask()
			for range test.upgrades {
				n.start(t)
				old := n.processes[len(n.processes)-2]
				old.Process.Signal(test.stop)
				old.Wait()
			}
			status, body := 0, ""
			for by := time.Now().Add(15 * time.Second); status != 200 && time.Now().Before(by); time.Sleep(200 * time.Millisecond) {
				status, body = ask()
			}
			if runs := n.runs()["booking"]; status != 200 || body != "done booking" || runs != 1 {
				t.Errorf("got status %d and %q, and %d runs, want the result of one run", status, body, runs)
			}
		})
	}
}
