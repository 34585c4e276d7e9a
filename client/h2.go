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

// h2 is a connection of HTTP/2 without TLS, by prior knowledge.
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

func (w *h2) streams() int { return int(min(1000, w.cc.State().MaxConcurrentStreams)) }

func (w *h2) dead() bool {
	s := w.cc.State()
	return s.Closed || s.Closing
}

func (w *h2) close() { w.cc.Close() }

// unsent are the words of the library for requests that no node will run: streams above the last of a GOAWAY (RFC 9113, section
// 6.8), and connections that took none. It has no values for them.
var unsent = []string{"graceful shutdown GOAWAY", "client conn not usable", "client connection is shutting down", "client conn could not be established"}

func (w *h2) do(ctx context.Context, r *wire.Request) outcome {
	req, err := http.NewRequestWithContext(ctx, "POST", "http://"+w.addr+"/rpc/"+r.Class, bytes.NewReader(r.Body))
	if err != nil {
		return outcome{end: attempt.Unsent, err: err}
	}
	for _, f := range r.Fields() {
		req.Header.Set(f[0], f[1])
	}
	resp, err := w.cc.RoundTrip(req)
	if err != nil {
		return outcome{end: w.fault(ctx, err), err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, wire.MaxBody+1))
	switch {
	case err != nil:
		return outcome{end: w.fault(ctx, err), err: err}
	case len(body) > wire.MaxBody:
		return outcome{end: attempt.Broken, err: wire.ErrBodyTooLong}
	}
	return outcome{answer: wire.NewResponse(resp.StatusCode, resp.Header.Get, w.dead(), body)}
}

// fault says what an error proves.
func (w *h2) fault(ctx context.Context, err error) attempt.Outcome {
	if ctx.Err() != nil {
		return ended(ctx)
	}
	var stream http2.StreamError
	if errors.As(err, &stream) && stream.Code == http2.ErrCodeRefusedStream {
		return attempt.Unsent // RFC 9113, section 8.7
	}
	for _, word := range unsent {
		if strings.Contains(err.Error(), word) {
			return attempt.Unsent
		}
	}
	return attempt.Broken
}
