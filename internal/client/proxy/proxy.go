// Package proxy is a small client proxy on the client library: HTTP/1.1 in, any protocol of the nodes out. It is what the kit
// uses as a caller that behaves.
package proxy

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"whinrudder/client"
)

// maxWait bounds how long a request may be waited for, and maxSkew how far a caller's clock may be ahead.
const (
	maxWait = time.Hour
	maxSkew = 5 * time.Second
)

// Handler answers POST /rpc/CLASS by calls of a client. Req-Time and Req-Wait-Ms say until when the caller waits. GET /health is 200
// while the client has a node.
func Handler(c *client.Client) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		if c.Nodes() == 0 {
			http.Error(w, "no node", http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("POST /rpc/{class}", func(w http.ResponseWriter, r *http.Request) { call(c, w, r) })
	return mux
}

// DrainHandler is a handler that can leave: its answers then end their connections, so that callers go elsewhere with nothing in
// hand, and health is bad.
type DrainHandler struct {
	Handler http.Handler
	leaving atomic.Bool
}

// Drain begins the drain. Whatever comes is answered as always.
func (f *DrainHandler) Drain() { f.leaving.Store(true) }

// ServeHTTP implements http.Handler.
func (f *DrainHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f.leaving.Load() {
		w.Header().Set("Connection", "close")
		if r.URL.Path == "/health" {
			http.Error(w, "leaving", http.StatusServiceUnavailable)
			return
		}
	}
	f.Handler.ServeHTTP(w, r)
}

// deadline returns until when a caller waits; ok is false if it does not say, or says nonsense.
func deadline(r *http.Request, now time.Time) (at time.Time, ok bool, bad bool) {
	text := r.Header.Get("Req-Wait-Ms")
	if text == "" {
		return at, false, false
	}
	wait, err := strconv.ParseFloat(text, 64)
	if err != nil || !(wait > 0 && wait <= float64(maxWait/time.Millisecond)) {
		return at, false, true
	}
	from := now
	if text := r.Header.Get("Req-Time"); text != "" {
		ms, err := strconv.ParseFloat(text, 64)
		if err != nil || !(ms > 0 && ms < 1e15) {
			return at, false, true
		}
		if sent := time.UnixMicro(int64(ms * 1e3)); sent.Before(now.Add(maxSkew)) && now.Sub(sent) < maxWait {
			from = sent
		}
	}
	if from.After(now) {
		from = now // its clock is ahead of ours
	}
	return from.Add(time.Duration(wait * float64(time.Millisecond))), true, false
}

// requestOf reads a request, whose body must come within sayFor.
func requestOf(w http.ResponseWriter, r *http.Request) (client.Request, error) {
	by := http.NewResponseController(w)
	by.SetReadDeadline(time.Now().Add(sayFor))
	q, err := client.RequestOf(r)
	if err == nil {
		by.SetReadDeadline(time.Time{})
	}
	return q, err
}

func call(c *client.Client, w http.ResponseWriter, r *http.Request) {
	fail := func(status int, reason string) {
		w.Header().Set("Srv-Reason", reason)
		w.WriteHeader(status)
	}
	q, err := requestOf(w, r)
	if err != nil {
		fail(http.StatusBadRequest, "bad-request")
		return
	}
	ctx := r.Context()
	at, ok, bad := deadline(r, time.Now())
	if bad {
		fail(http.StatusBadRequest, "bad-wait")
		return
	}
	if ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, at)
		defer cancel()
	}
	resp, err := c.Do(ctx, q)
	var fault *client.Error
	switch {
	case err == nil:
		if resp.Kept != "" {
			w.Header().Set("Srv-Kept", resp.Kept)
		}
		w.Header().Set("Srv-Node", resp.Node)
		w.Header().Set("Content-Length", strconv.Itoa(len(resp.Body)))
		w.Write(resp.Body)
	case !errors.As(err, &fault):
		fail(http.StatusNotFound, "bad-class")
	case fault.MayHaveRun():
		// 502 is all that is left to say: what ran may be asked of the books, not of another node.
		fail(http.StatusBadGateway, fault.Reason.String())
	default:
		if fault.Wait > 0 {
			w.Header().Set("Srv-Wait-Ms", strconv.FormatInt(int64(fault.Wait/time.Millisecond), 10))
		}
		fail(http.StatusServiceUnavailable, fault.Reason.String())
	}
}
