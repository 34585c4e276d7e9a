// Package proxy is a small client proxy built on the client library: it accepts requests over HTTP/1.1 and sends them
// to nodes over any of their protocols. The kit uses it as a well-behaved caller.
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

// maxWait is the longest time that a caller may wait for an answer. A Req-Time that is maxSkew or more ahead of the
// proxy's clock is ignored.
const (
	maxWait = time.Hour
	maxSkew = 5 * time.Second
)

// Handler returns a handler that answers POST /rpc/CLASS by calls of the client. Req-Time and Req-Wait-Ms give the
// deadline of the caller. GET /health answers 200 while the client has a node, otherwise 503.
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

// DrainHandler wraps a handler for graceful shutdown. During the drain each answer closes its connection, so that
// callers move to another proxy between requests, and the health check fails.
type DrainHandler struct {
	Handler  http.Handler
	draining atomic.Bool
}

// Drain starts the drain. Requests are still answered.
func (h *DrainHandler) Drain() { h.draining.Store(true) }

// ServeHTTP implements http.Handler.
func (h *DrainHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.draining.Load() {
		w.Header().Set("Connection", "close")
		if r.URL.Path == "/health" {
			http.Error(w, "leaving", http.StatusServiceUnavailable)
			return
		}
	}
	h.Handler.ServeHTTP(w, r)
}

// deadline returns the time until which the caller waits. If the request does not give one, ok is false; if it gives
// an invalid one, ok is false and bad is true.
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
		from = now // the caller's clock is ahead of the proxy's
	}
	return from.Add(time.Duration(wait * float64(time.Millisecond))), true, false
}

// readRequest reads a request, whose body must arrive within readTimeout.
func readRequest(w http.ResponseWriter, r *http.Request) (client.Request, error) {
	control := http.NewResponseController(w)
	control.SetReadDeadline(time.Now().Add(readTimeout))
	q, err := client.RequestOf(r)
	if err == nil {
		control.SetReadDeadline(time.Time{})
	}
	return q, err
}

func call(c *client.Client, w http.ResponseWriter, r *http.Request) {
	fail := func(status int, reason string) {
		w.Header().Set("Srv-Reason", reason)
		w.WriteHeader(status)
	}
	q, err := readRequest(w, r)
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
	var callErr *client.Error
	switch {
	case err == nil:
		if resp.Kept != "" {
			w.Header().Set("Srv-Kept", resp.Kept)
		}
		w.Header().Set("Srv-Node", resp.Node)
		w.Header().Set("Content-Length", strconv.Itoa(len(resp.Body)))
		w.Write(resp.Body)
	case !errors.As(err, &callErr):
		fail(http.StatusNotFound, "bad-class")
	case callErr.MayHaveRun():
		// 502 tells the caller that the operation may have run: it must look up the outcome and not retry on another
		// node.
		fail(http.StatusBadGateway, callErr.Reason.String())
	default:
		if callErr.Wait > 0 {
			w.Header().Set("Srv-Wait-Ms", strconv.FormatInt(int64(callErr.Wait/time.Millisecond), 10))
		}
		fail(http.StatusServiceUnavailable, callErr.Reason.String())
	}
}
