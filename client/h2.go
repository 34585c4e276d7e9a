package client

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"

	"golang.org/x/net/http2"

	"whinrudder/internal/client/attempt"
	"whinrudder/internal/client/wire"
)

// h2 is a connection of HTTP/2 without TLS, by prior knowledge. It carries concurrent requests.
type h2 struct {
	//lint:ignore SA1019 http.ClientConn has no State, which streams and dead read; moving to it would change behaviour
	cc   *http2.ClientConn
	addr string
}

func newH2(c net.Conn, addr string) (conn, error) {
	//lint:ignore SA1019 http.ClientConn has no State, which streams and dead read; moving to it would change behaviour
	t := &http2.Transport{AllowHTTP: true, DisableCompression: true}
	//lint:ignore SA1019 http.ClientConn has no State, which streams and dead read; moving to it would change behaviour
	cc, err := t.NewClientConn(c)
	if err != nil {
		c.Close()
		return nil, err
	}
	return &h2{cc, addr}, nil
}

func (w *h2) maxStreams() int { return int(min(1000, w.cc.State().MaxConcurrentStreams)) }

func (w *h2) unusable() bool {
	s := w.cc.State()
	return s.Closed || s.Closing
}

func (w *h2) close() { w.cc.Close() }

// unsentErrorTexts are parts of the error texts of package http2 for requests that no node runs: streams above the last
// stream of a GOAWAY (RFC 9113, section 6.8) and connections that accept no requests. The package has no error values
// for them.
var unsentErrorTexts = []string{"graceful shutdown GOAWAY", "client conn not usable",
	"client connection is shutting down", "client conn could not be established"}

func (w *h2) roundTrip(ctx context.Context, r *wire.Request) tryResult {
	req, err := http.NewRequestWithContext(ctx, "POST", "http://"+w.addr+"/rpc/"+r.Class, bytes.NewReader(r.Body))
	if err != nil {
		return tryResult{outcome: attempt.Unsent, err: err}
	}
	for _, field := range r.Fields() {
		req.Header.Set(field[0], field[1])
	}
	resp, err := w.cc.RoundTrip(req)
	if err != nil {
		return tryResult{outcome: w.outcomeOf(ctx, err), err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, wire.MaxBody+1))
	switch {
	case err != nil:
		return tryResult{outcome: w.outcomeOf(ctx, err), err: err}
	case len(body) > wire.MaxBody:
		return tryResult{outcome: attempt.Broken, err: wire.ErrBodyTooLong}
	}
	return tryResult{answer: wire.NewResponse(resp.StatusCode, resp.Header.Get, w.unusable(), body)}
}

// outcomeOf returns the outcome of a try that ended with err. It is Unsent only if err proves that the node did not run
// the request.
func (w *h2) outcomeOf(ctx context.Context, err error) attempt.Outcome {
	if ctx.Err() != nil {
		return contextOutcome(ctx)
	}
	var streamErr http2.StreamError
	if errors.As(err, &streamErr) && streamErr.Code == http2.ErrCodeRefusedStream {
		return attempt.Unsent // RFC 9113, section 8.7
	}
	for _, text := range unsentErrorTexts {
		if strings.Contains(err.Error(), text) {
			return attempt.Unsent
		}
	}
	return attempt.Broken
}
