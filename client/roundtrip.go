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

// RoundTripper returns the client as a transport for an http.Client. Requests are POSTs to /rpc/CLASS of any host; the
// headers Req-Subject, Req-Key, Req-Token, Req-Kb and Req-Rank set the fields of Request. A result is a response with
// status 200 and the headers Srv-Node and, if the node sent it, Srv-Kept. If it is proven that the request did not run,
// the response has status 503, Srv-Reason and, if nodes asked the caller to wait, Srv-Wait-Ms. Otherwise RoundTrip
// returns an error, also if the context of the request is done.
func (c *Client) RoundTripper() http.RoundTripper { return roundTripper{c} }

// roundTripper implements http.RoundTripper.
type roundTripper struct{ c *Client }

// RequestOf converts an HTTP request to a Request, by the rules of RoundTripper. It reads the body. The error reports
// why the request is invalid or that its body cannot be read.
func RequestOf(r *http.Request) (q Request, err error) {
	class, ok := strings.CutPrefix(r.URL.Path, "/rpc/")
	if !ok || r.Method != http.MethodPost {
		return q, errors.New("client: request is not POST /rpc/CLASS")
	}
	q = Request{Class: class, Subject: r.Header.Get("Req-Subject"), Key: r.Header.Get("Req-Key"),
		Token: r.Header.Get("Req-Token")}
	for _, field := range []struct {
		name   string
		target *float64
	}{{"Req-Kb", &q.KB}, {"Req-Rank", &q.Rank}} {
		if value := r.Header.Get(field.name); value != "" {
			if *field.target, err = strconv.ParseFloat(value, 64); err != nil || *field.target < 0 {
				return q, fmt.Errorf("client: %s %q is not a number of at least 0", field.name, value)
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
	out := &http.Response{StatusCode: 200, Status: "200 OK", Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: http.Header{}, Request: r}
	var callErr *Error
	switch {
	case err == nil:
		out.Body, out.ContentLength = io.NopCloser(bytes.NewReader(resp.Body)), int64(len(resp.Body))
		out.Header.Set("Srv-Node", resp.Node)
		if resp.Kept != "" {
			out.Header.Set("Srv-Kept", resp.Kept)
		}
		return out, nil
	case errors.As(err, &callErr) && !callErr.MayHaveRun() && r.Context().Err() == nil:
		out.StatusCode, out.Status, out.Body = 503, "503 Service Unavailable", http.NoBody
		out.Header.Set("Srv-Reason", callErr.Reason.String())
		if callErr.Wait > 0 {
			out.Header.Set("Srv-Wait-Ms", strconv.FormatInt(int64(callErr.Wait/time.Millisecond), 10))
		}
		return out, nil
	}
	return nil, err
}

// check reports why a request cannot be sent.
func (q Request) check() error {
	w := wire.Request{Class: q.Class, Key: q.Key, Token: q.Token, Body: q.Body}
	return w.Check()
}

// MayHaveRun reports whether the request may have run at a node. If it returns false, it is proven that it did not run.
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
