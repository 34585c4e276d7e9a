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

// The proxy returns results, refusals with their retry-after advice, and different status codes for requests that may
// have run and for those that did not. The client's metrics have three families.
func TestProxyAnswers(t *testing.T) {
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
	proxy := httptest.NewServer(Handler(c))
	defer proxy.Close()
	for deadline := time.Now().Add(10 * time.Second); c.Nodes() == 0 && time.Now().Before(deadline); time.Sleep(time.Millisecond) {
	}
	ask := func(class, body string, fields ...string) *http.Response {
		t.Helper()
		req, err := http.NewRequestWithContext(t.Context(), "POST", proxy.URL+"/rpc/"+class, strings.NewReader(body))
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
		time.Sleep(40 * time.Millisecond) // lets the retry-after advice of the previous case expire
		resp := ask(x.class, x.body, x.fields...)
		if resp.StatusCode != x.status || resp.Header.Get("Srv-Reason") != x.reason || resp.Header.Get("Srv-Wait-Ms") != x.wait {
			t.Errorf("%s %.20q: got %d %q %q, want %d %q %q", x.class, x.body, resp.StatusCode, resp.Header.Get("Srv-Reason"),
				resp.Header.Get("Srv-Wait-Ms"), x.status, x.reason, x.wait)
		}
		if body, _ := io.ReadAll(resp.Body); x.status == 200 && (string(body) != "did "+x.body || resp.Header.Get("Srv-Kept") != "new") {
			t.Errorf("%s: got body %q and Srv-Kept %q", x.body, body, resp.Header.Get("Srv-Kept"))
		}
	}
	if resp, err := http.Get(proxy.URL + "/health"); err != nil || resp.StatusCode != 200 {
		t.Errorf("health: got %v, error %v, want 200", resp, err)
	}
	r := prometheus.NewRegistry()
	r.MustRegister(m)
	all, err := r.Gather()
	if err != nil || len(all) != 3 {
		t.Errorf("got %d metric families, error %v, want 3", len(all), err)
	}
}

// The client as an http.RoundTripper returns the answers of nodes, 503 for requests that did not run, and an error
// for those that may have run.
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
		t.Errorf("served request: got %v, error %v, want 200 with Srv-Node", resp, err)
	}
	if resp, err := post("/rpc/book", "refuse"); err != nil || resp.StatusCode != 503 || resp.Header.Get("Srv-Reason") != "rejected" {
		t.Errorf("refused request: got %v, error %v, want 503 with reason rejected", resp, err)
	}
	if _, err := post("/rpc/book", "cut"); err == nil || !strings.Contains(err.Error(), "unknown") {
		t.Errorf("broken write: got error %v, want one with reason unknown", err)
	}
	if _, err := post("/other", ""); err == nil {
		t.Error("a path outside /rpc/ is accepted")
	}
}
