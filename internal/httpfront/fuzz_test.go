package httpfront

import (
	"testing"

	"whinrudder/internal/front"
	"whinrudder/internal/fronttest"
)

// FuzzParser checks for arbitrary input that the messages do not depend on how the bytes are split, and that requests
// stay within their size limits.
func FuzzParser(f *testing.F) {
	validator := fronttest.NewValidator()
	f.Add([]byte("POST /rpc/status HTTP/1.1\r\nReq-Id: 00000000000000a1\r\nReq-Time: 1000\r\nReq-From: 1\r\nReq-Wait-Ms: 20\r\n" +
		"Req-Kb: 1\r\nReq-Rank: 0.5\r\nContent-Length: 2\r\n\r\nokGET /health?real=1 HTTP/1.0\r\n\r\n"))
	f.Add([]byte("GET /health HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n"))
	f.Add([]byte("POST /rpc/status HTTP/1.1\r\nContent-Length: -1\r\n\r\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		fronttest.CheckParser(t, b, func() front.Parser { return New(validator) })
	})
}
