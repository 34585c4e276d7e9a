package client

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"whinrudder/internal/client/wire"
)

// RoundTripper returns the client for those who have an http.Client already. Requests are POSTs to /rpc/CLASS, of any host; the
// fields Req-Subject, Req-Key, Req-Token, Req-Kb and Req-Rank are those of Request. What provably did not run is an answer 503, with
// Srv-Wait-Ms where nodes asked for it; all else without a result is an error.
func (c *Client) RoundTripper() http.RoundTripper { return roundTripper{c} }

type roundTripper struct{ c *Client }

// RequestOf returns the call that an HTTP request stands for.
func RequestOf(r *http.Request) (q Request, err error) {
	class, ok := strings.CutPrefix(r.URL.Path, "/rpc/")
	if !ok || r.Method != http.MethodPost {
		return q, errors.New("client: want POST /rpc/CLASS")
	}
	q = Request{Class: class, Subject: r.Header.Get("Req-Subject"), Key: r.Header.Get("Req-Key"), Token: r.Header.Get("Req-Token")}
	for _, f := range []struct {
		name string
		to   *float64
	}{{"Req-Kb", &q.KB}, {"Req-Rank", &q.Rank}} {
		if v := r.Header.Get(f.name); v != "" {
			if *f.to, err = strconv.ParseFloat(v, 64); err != nil || *f.to < 0 {
				return q, fmt.Errorf("client: %s is %q, want a number from 0 on", f.name, v)
			}
		}
	}
	if r.Body != nil {
		if q.Body, err = io.ReadAll(io.LimitReader(r.Body, wire.MaxBody+1)); err != nil {
			return q, err
		}
	}
	return q, q.check()
}

// RoundTrip implements http.RoundTripper.
func (t roundTripper) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Body != nil {
		defer r.Body.Close()
	}
	q, err := RequestOf(r)
	if err != nil {
		return nil, err
	}
	resp, err := t.c.Do(r.Context(), q)
	out := &http.Response{StatusCode: 200, Status: "200 OK", Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: http.Header{}, Request: r}
	var fault *Error
	switch {
	case err == nil:
		out.Body, out.ContentLength = io.NopCloser(bytes.NewReader(resp.Body)), int64(len(resp.Body))
		out.Header.Set("Srv-Node", resp.Node)
		if resp.Kept != "" {
			out.Header.Set("Srv-Kept", resp.Kept)
		}
		return out, nil
	case errors.As(err, &fault) && !fault.MayHaveRun() && r.Context().Err() == nil:
		out.StatusCode, out.Status, out.Body = 503, "503 Service Unavailable", http.NoBody
		out.Header.Set("Srv-Reason", fault.Reason.String())
		if fault.Wait > 0 {
			out.Header.Set("Srv-Wait-Ms", strconv.FormatInt(int64(fault.Wait/time.Millisecond), 10))
		}
		return out, nil
	}
	return nil, err
}

// check tells whether a request can be sent.
func (q Request) check() error {
	w := wire.Request{Class: q.Class, Key: q.Key, Token: q.Token, Body: q.Body}
	return w.Check()
}

// MayHaveRun tells whether the request may have run at a node; if not, it is proven that it did not.
func (e *Error) MayHaveRun() bool {
	switch e.Reason {
	case Rejected, NoNode, Throttled, NoTime:
		return false
	}
	for _, t := range e.Tries {
		if t.Outcome != "refused" && t.Outcome != "unsent" {
			return true
		}
	}
	return false
}
