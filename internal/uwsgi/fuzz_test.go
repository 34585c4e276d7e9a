package uwsgi

import (
	"encoding/binary"
	"testing"

	"whinrudder/internal/front"
	"whinrudder/internal/fronttest"
)

// FuzzParser checks for arbitrary input that the message does not depend on how the bytes are split, and that a request
// stays within its size limits.
func FuzzParser(f *testing.F) {
	validator := fronttest.NewValidator()
	var vars []byte
	for _, s := range []string{"REQUEST_METHOD", "POST", "PATH_INFO", "/rpc/status", "CONTENT_LENGTH", "2", "HTTP_REQ_ID",
		"00000000000000a1", "HTTP_REQ_TIME", "1000", "HTTP_REQ_FROM", "1", "HTTP_REQ_WAIT_MS", "20", "HTTP_REQ_KB", "1",
		"HTTP_REQ_RANK", "0.5"} {
		vars = append(binary.LittleEndian.AppendUint16(vars, uint16(len(s))), s...)
	}
	packet := append([]byte{0, byte(len(vars)), byte(len(vars) >> 8), 0}, vars...)
	f.Add(append(packet, "ok"...))
	f.Add(packet[:20])
	f.Add([]byte{0, 255, 255, 0})
	f.Add([]byte{5, 0, 0, 0})
	f.Fuzz(func(t *testing.T, b []byte) {
		fronttest.CheckParser(t, b, func() front.Parser { return New(validator) })
	})
}
