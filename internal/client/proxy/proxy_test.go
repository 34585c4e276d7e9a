package proxy

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"whinrudder/client"
	"whinrudder/client/metrics"
)

// What comes back through the proxy for what a node does: results, refusals with their advice, and what may have run told apart
// from what did not. The collectors count it.
func TestAnswers(t *testing.T) {
	var waits atomic.Value
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		waits.Store(r.Header.Get("Req-Wait-Ms"))
		body, _ := io.ReadAll(r.Body)
		switch string(body) {
		case "refuse":
			w.Header().Set("Srv-Wait-Ms", "30")
			w.Header().Set("Srv-Last", "1")
			w.WriteHeader(503)
		case "cut":
			panic(http.ErrAbortHandler)
		case "hang":
			<-r.Context().Done()
		default:
			w.Header().Set("Srv-Kept", "new")
			fmt.Fprintf(w, "did %s", body)
		}
	}))
	defer node.Close()
	m := metrics.New()
	c, err := client.New(client.Options{Source: client.Fixed{strings.TrimPrefix(node.URL, "http://")}, Hooks: m.Hooks(),
		Classes: []client.Class{{Name: "rate-quote"}, {Name: "payout-book", Write: true}}})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	front := httptest.NewServer(Handler(c))
	defer front.Close()
	for deadline := time.Now().Add(10 * time.Second); c.Nodes() == 0 && time.Now().Before(deadline); time.Sleep(time.Millisecond) {
	}
	ask := func(class, body string, fields ...string) *http.Response {
		t.Helper()
		req, err := http.NewRequestWithContext(t.Context(), "POST", front.URL+"/rpc/"+class, strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		for i := 0; i < len(fields); i += 2 {
			req.Header.Set(fields[i], fields[i+1])
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { resp.Body.Close() })
		return resp
	}
	for _, x := range []struct {
		class, body  string
		fields       []string
		status       int
		reason, wait string
	}{
		{"payout-book", "one", nil, 200, "", ""},
		{"payout-book", "two", []string{"Req-Wait-Ms", "5000", "Req-Time", fmt.Sprint(time.Now().UnixMilli() + 3600e3)}, 200, "", ""},
		{"payout-book", "refuse", nil, 503, "rejected", "30"},
		{"payout-book", "cut", nil, 502, "unknown", ""},
		{"payout-book", "hang", []string{"Req-Wait-Ms", "80"}, 502, "unknown", ""},
		{"rate-quote", "hang", []string{"Req-Wait-Ms", "80"}, 502, "failure", ""},
		{"none", "", nil, 404, "bad-class", ""},
		{"rate-quote", "", []string{"Req-Wait-Ms", "soon"}, 400, "bad-wait", ""},
		{"rate-quote", "", []string{"Req-Wait-Ms", "10", "Req-Time", "-1"}, 400, "bad-wait", ""},
		{"rate-quote", "", []string{"Req-Kb", "many"}, 400, "bad-request", ""},
		{"rate-quote", "", []string{"Req-Key", "two words"}, 400, "bad-request", ""},
		{"rate-quote", strings.Repeat("x", 1<<20+1), nil, 400, "bad-request", ""},
	} {
		time.Sleep(40 * time.Millisecond) // the advice of the one before is over
		resp := ask(x.class, x.body, x.fields...)
		if resp.StatusCode != x.status || resp.Header.Get("Srv-Reason") != x.reason || resp.Header.Get("Srv-Wait-Ms") != x.wait {
			t.Errorf("%s %s: %d %s %s", x.class, x.body, resp.StatusCode, resp.Header.Get("Srv-Reason"), resp.Header.Get("Srv-Wait-Ms"))
		}
		if body, _ := io.ReadAll(resp.Body); x.status == 200 && (string(body) != "did "+x.body || resp.Header.Get("Srv-Kept") != "new") {
			t.Errorf("%s: %q", x.body, body)
		}
	}
	if resp, err := http.Get(front.URL + "/health"); err != nil || resp.StatusCode != 200 {
		t.Errorf("health: %v %v", resp, err)
	}
	r := prometheus.NewRegistry()
	r.MustRegister(m)
	all, err := r.Gather()
	if err != nil || len(all) != 3 {
		t.Errorf("%d families, %v", len(all), err)
	}
}

// The client as a RoundTripper: answers of nodes, 503 for what did not run, an error for what may have.
func TestRoundTripper(t *testing.T) {
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch body, _ := io.ReadAll(r.Body); string(body) {
		case "refuse":
			w.Header().Set("Srv-Last", "1")
			w.WriteHeader(503)
		case "cut":
			panic(http.ErrAbortHandler)
		default:
			io.WriteString(w, "ok")
		}
	}))
	defer node.Close()
	c, err := client.New(client.Options{Source: client.Fixed{strings.TrimPrefix(node.URL, "http://")}, Classes: []client.Class{{Name: "book", Write: true}}})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	h := &http.Client{Transport: c.RoundTripper()}
	post := func(path, body string) (*http.Response, error) {
		ctx, cancel := context.WithDeadline(t.Context(), time.Now().Add(10*time.Second))
		t.Cleanup(cancel)
		req, _ := http.NewRequestWithContext(ctx, "POST", "http://fleet"+path, strings.NewReader(body))
		return h.Do(req)
	}
	if resp, err := post("/rpc/book", "x"); err != nil || resp.StatusCode != 200 || resp.Header.Get("Srv-Node") == "" {
		t.Errorf("%v %v", resp, err)
	}
	if resp, err := post("/rpc/book", "refuse"); err != nil || resp.StatusCode != 503 || resp.Header.Get("Srv-Reason") != "rejected" {
		t.Errorf("%v %v", resp, err)
	}
	if _, err := post("/rpc/book", "cut"); err == nil || !strings.Contains(err.Error(), "unknown") {
		t.Errorf("a broken booking: %v", err)
	}
	if _, err := post("/other", ""); err == nil {
		t.Error("another path is called")
	}
}
