package wire

import (
	"bufio"
	"bytes"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// Replays testdata/answers.txt. Each line is a piece of a node's answer in Go's string escapes and is fed at once;
// lines that begin with < are the expected results. The line "end" ends the connection, "more" feeds no bytes.
func TestAnswers(t *testing.T) {
	f, err := os.Open("testdata/answers.txt")
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	var name, want, got string
	p := &Parser{}
	record := func(a *Response, err error) {
		switch {
		case err != nil:
			got += err.Error() + "\n"
		case a != nil:
			got += fmt.Sprintf("%d load %v wait %v last %v close %v kept %q body %q\n", a.Status, a.Credit, a.RetryAfter, a.NoRetry, a.Close, a.Kept, a.Body)
		}
	}
	check := func() {
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
	}
	for lines := bufio.NewScanner(f); lines.Scan(); {
		switch line := lines.Text(); {
		case strings.HasPrefix(line, "# "):
			check()
			name, want, got, p = line, "", "", &Parser{}
		case strings.HasPrefix(line, "< "):
			want += line[2:] + "\n"
		case line == "end":
			record(p.End())
		case line == "more":
			record(p.Feed(nil))
		case line != "":
			text, err := strconv.Unquote(`"` + line + `"`)
			if err != nil {
				t.Fatal(line, err)
			}
			record(p.Feed([]byte(text)))
		}
	}
	check()
}

// An encoded request is read back by Go's HTTP server code, its uwsgi packet has the right length and fields, and
// values that could end a field are rejected.
func TestRequests(t *testing.T) {
	r := Request{Class: "payout-book", ID: "00000000000000a1", Caller: 3, Sent: 1000.5, Wait: 250, KB: 12, Rank: 0.25, Key: "k", Token: "t", Retry: true, Body: []byte("hello")}
	if err := r.Check(); err != nil {
		t.Fatal(err)
	}
	q, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(AppendHTTP(nil, &r, "n:80"))))
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range r.Fields() {
		if got := q.Header.Get(f[0]); got != f[1] {
			t.Errorf("%s is %q, want %q", f[0], got, f[1])
		}
	}
	if q.URL.Path != "/rpc/payout-book" || q.Host != "n:80" || q.ContentLength != 5 || len(r.Fields()) != 9 {
		t.Errorf("unexpected request: %+v with %d fields, want 9", q, len(r.Fields()))
	}
	b, err := AppendUWSGI(nil, &r)
	if err != nil || int(b[1])|int(b[2])<<8 != len(b)-4-5 || !bytes.Contains(b, []byte("\x0b\x00HTTP_REQ_ID\x10\x0000000000000000a1")) {
		t.Errorf("unexpected uwsgi packet: %q, error %v", b, err)
	}
	r.Key = strings.Repeat("x", 70000)
	if _, err := AppendUWSGI(nil, &r); err == nil {
		t.Error("fields over 64 KB are encoded for uwsgi")
	}
	for _, bad := range []Request{{}, {Class: "a b"}, {Class: "a/b"}, {Class: "a", Key: "x\r\ny: z"}, {Class: "a", Token: "\x00"}, {Class: "a", Body: make([]byte, MaxBody+1)}} {
		if bad.Check() == nil {
			t.Errorf("Check accepts %.40v", bad)
		}
	}
}

// The answers do not depend on the pieces in which their bytes arrive.
func TestSplitAnswers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := ""
		n := rapid.IntRange(1, 4).Draw(t, "answers")
		for i := range n {
			body := rapid.StringN(0, 30, 60).Draw(t, "body")
			text += fmt.Sprintf("HTTP/1.1 %d X\r\nSrv-Load: %d\r\nContent-Length: %d\r\n\r\n%s", 200+i, i, len(body), body)
		}
		var p Parser
		got := 0
		for len(text) > 0 {
			k := rapid.IntRange(1, len(text)).Draw(t, "piece")
			a, err := p.Feed([]byte(text[:k]))
			text = text[k:]
			for ; a != nil; a, err = p.Feed(nil) {
				if a.Status != 200+got || a.Credit != float64(got) {
					t.Fatalf("answer %d: unexpected %+v", got, a)
				}
				got++
			}
			if err != nil {
				t.Fatal(err)
			}
		}
		if got != n || !p.Idle() {
			t.Fatalf("got %d of %d answers, idle %v", got, n, p.Idle())
		}
	})
}

// FuzzParser feeds the bytes of a hostile node: the parser must not crash, return an invalid answer or continue after
// an error.
func FuzzParser(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nSrv-Load: 1e999\r\n\r\nok"))
	f.Add([]byte("HTTP/1.0 503 X\r\n\r\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		var p Parser
		for i, c := range b {
			a, err := p.Feed([]byte{c})
			if a != nil && (len(a.Body) > MaxBody || a.Status < 200 || a.Credit != a.Credit) {
				t.Fatalf("invalid answer %+v", a)
			}
			if err != nil {
				if again, same := p.Feed(b[i:]); again != nil || same != err {
					t.Fatal("the parser continues after an error")
				}
				return
			}
		}
		p.End()
	})
}
