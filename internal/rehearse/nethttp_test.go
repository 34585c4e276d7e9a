package rehearse

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// Guards against answers that are lost or mixed up between streams: the standard library's client sends a hundred
// concurrent requests over one HTTP/2 connection without TLS. Each must run once and be answered with the result of
// its own run.
func TestStandardClientOverH2C(t *testing.T) {
	play := &player{protocol: "h2c", options: defaultOptions(), callers: map[string]*caller{}, log: newLogRecorder()}
	defer play.close()
	for _, step := range []string{"node cores=64", "pool up"} {
		if got, err := play.step(step); err != nil || got != step {
			t.Fatalf("step %q: got %q, error %v", step, got, err)
		}
	}
	var mu sync.Mutex
	runsByBody := map[string]int{} // by body
	go func() {                    // a worker pool that finishes each run at once
		serial := 0
		for line := range play.pool.lines {
			if _, id, ok := strings.Cut(line, `"call":"`); ok && strings.Contains(line, `"msg":"spawn"`) {
				serial++
				_, blob, _ := strings.Cut(line, `"blob":"`)
				blob, _, _ = strings.Cut(blob, `"`)
				mu.Lock()
				runsByBody[blob]++
				mu.Unlock()
				play.pool.write(fmt.Sprintf(`{"msg":"finished","serial":%d,"call":"%s","how":"OK","duration":1,"blob":"%s"}`,
					serial, id[:16], blob))
			}
		}
	}()
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{Protocols: &protocols, HTTP2: &http.HTTP2Config{StrictMaxConcurrentRequests: true}}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	// Refused requests are retried until they are served, two at a time. How long that takes depends on the machine.
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(12*stepTimeout))
	defer cancel()
	// The first request opens the connection that the others share, within the stream limit that the node announces.
	if resp, err := client.Get("http://" + play.node.Addr("h2c") + "/health"); err != nil || resp.StatusCode != 200 {
		t.Fatalf("health check: got %v, error %v, want status 200", resp, err)
	} else {
		resp.Body.Close()
	}
	var wait sync.WaitGroup
	for n := range 100 {
		wait.Go(func() {
			body := fmt.Sprint("body ", n)
			// On a slow machine the node refuses some requests. They have not run, and are retried under a new id.
			for try := 0; sendBooking(ctx, t, client, play.node.Addr("h2c"), body, 1000*try+n+1) && ctx.Err() == nil; try++ {
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	wait.Wait()
	mu.Lock()
	defer mu.Unlock()
	if len(runsByBody) != 100 {
		t.Errorf("got runs of %d bodies, want 100", len(runsByBody))
	}
	for blob, n := range runsByBody {
		if n != 1 {
			t.Errorf("body %s: got %d runs, want 1", blob, n)
		}
	}
}

// sendBooking sends a booking and reports whether it was refused. An answer that is neither a refusal nor the result of
// this booking is a test error.
func sendBooking(ctx context.Context, t *testing.T, client *http.Client, addr, body string, id int) bool {
	req, err := http.NewRequestWithContext(ctx, "POST", "http://"+addr+"/rpc/payout-book", strings.NewReader(body))
	if err != nil {
		t.Error(err)
		return false
	}
	for k, v := range map[string]string{"Req-Id": fmt.Sprintf("%016x", id), "Req-Time": fmt.Sprint(time.Now().UnixMilli()),
		"Req-From": fmt.Sprint(id % 8), "Req-Wait-Ms": "9000", "Req-Kb": "1", "Req-Rank": "0.5"} {
		req.Header.Set(k, v)
	}
	resp, err := client.Do(req)
	if err != nil {
		t.Error(err)
		return false
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	if resp.StatusCode == 503 && resp.ProtoMajor == 2 {
		return true
	}
	if err != nil || resp.ProtoMajor != 2 || resp.StatusCode != 200 || string(got) != body {
		t.Errorf("%s: got HTTP/%d, status %d, body %q, error %v, want HTTP/2, status 200 and the same body",
			body, resp.ProtoMajor, resp.StatusCode, got, err)
	}
	return false
}
