package eventlog

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"
)

var at = time.Date(2026, 12, 1, 14, 3, 23, 45e6, time.FixedZone("", 3600))

// TestForms checks the text and JSON form of events: quoting, types of values, the time in UTC, and the code of
// an event that has none.
func TestForms(t *testing.T) {
	for _, c := range []struct {
		word       string
		pairs      []any
		text, json string
	}{
		{"ready", []any{"cold", true}, "13:03:23.045 ready cold=true",
			`{"time":"2026-12-01T13:03:23.045Z","word":"ready","cold":true,"code":"ready"}`},
		{"conn",
			[]any{"front", "http", "peer", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 80}, "code", "eof", "served", 3},
			"13:03:23.045 conn front=http peer=127.0.0.1:80 code=eof served=3",
			`{"time":"2026-12-01T13:03:23.045Z","word":"conn","front":"http","peer":"127.0.0.1:80","code":"eof","served":3}`},
		{"peer", []any{"code", "slow", "error", errors.New("a \"b\"\n"), "taker", ""},
			`13:03:23.045 peer code=slow error="a \"b\"\n" taker=""`,
			`{"time":"2026-12-01T13:03:23.045Z","word":"peer","code":"slow","error":"a \"b\"\n","taker":""}`},
		{"prior", []any{"code", "x y=z", "factor", 0.25, "kept", ""},
			`13:03:23.045 prior code="x y=z" factor=0.25 kept=`,
			`{"time":"2026-12-01T13:03:23.045Z","word":"prior","code":"x y=z","factor":0.25,"kept":""}`},
	} {
		if diff := cmp.Diff(c.text+"\n", string(AppendText(nil, at, c.word, c.pairs))); diff != "" {
			t.Error(diff)
		}
		var b bytes.Buffer
		l := zerolog.New(&b)
		WriteJSON(&l, at, c.word, c.pairs)
		if diff := cmp.Diff(c.json+"\n", b.String()); diff != "" {
			t.Error(diff)
		}
	}
}

// copyingWriter copies what is written, as a writer that keeps it must, because zerolog reuses its buffer.
type copyingWriter struct{}

func (copyingWriter) Write(b []byte) (int, error) {
	return io.Discard.Write(append(make([]byte, 0, len(b)), b...))
}

// BenchmarkLine measures the line that is logged for each connection: formatted by fmt, and in both forms of
// this package.
func BenchmarkLine(b *testing.B) {
	peer := net.Addr(&net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 40123})
	n := 7
	b.Run("printed", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			line := fmt.Appendf(nil, "%s ", time.Now().UTC().Format("15:04:05.000"))
			line = fmt.Appendf(line, "conn front=%s peer=%s code=%s served=%d"+"\n", "http", peer, "eof", n)
			io.Discard.Write(line)
		}
	})
	b.Run("text", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			io.Discard.Write(AppendText(make([]byte, 0, 128), time.Now(), "conn",
				[]any{"front", "http", "peer", peer, "code", "eof", "served", n}))
		}
	})
	b.Run("json", func(b *testing.B) {
		b.ReportAllocs()
		l := zerolog.New(copyingWriter{}) // like the node's queue of log lines
		for b.Loop() {
			WriteJSON(&l, time.Now(), "conn", []any{"front", "http", "peer", peer, "code", "eof", "served", n})
		}
	})
}
