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

// Each exchange of testdata/answers.txt: bytes of a node, as Go quotes them, a line for each that are fed at once, and after < what
// they are.
func TestAnswers(t *testing.T) {
	f, err := os.Open("testdata/answers.txt")
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	var name, want, got string
	p := &Parser{}
	tell := func(a *Response, err error) {
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
			tell(p.End())
		case line == "more":
			tell(p.Feed(nil))
		case line != "":
			text, err := strconv.Unquote(`"` + line + `"`)
			if err != nil {
				t.Fatal(line, err)
			}
			tell(p.Feed([]byte(text)))
		}
	}
	check()
}

// A request that goes out is read by Go's own server as it was, and by the fields of uwsgi; what could end a field is refused.
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
		t.Errorf("%+v", q)
	}
	b, err := AppendUWSGI(nil, &r)
	if err != nil || int(b[1])|int(b[2])<<8 != len(b)-4-5 || !bytes.Contains(b, []byte("\x0b\x00HTTP_REQ_ID\x10\x0000000000000000a1")) {
		t.Errorf("%q, %v", b, err)
	}
	r.Key = strings.Repeat("x", 70000)
	if _, err := AppendUWSGI(nil, &r); err == nil {
		t.Error("fields over 64 KB are written")
	}
	for _, bad := range []Request{{}, {Class: "a b"}, {Class: "a/b"}, {Class: "a", Key: "x\r\ny: z"}, {Class: "a", Token: "\x00"}, {Class: "a", Body: make([]byte, MaxBody+1)}} {
		if bad.Check() == nil {
			t.Errorf("%.40v is taken", bad)
		}
	}
}

// In whatever pieces bytes come, the answers are the same.
func TestPieces(t *testing.T) {
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
					t.Fatalf("%+v", a)
				}
				got++
			}
			if err != nil {
				t.Fatal(err)
			}
		}
		if got != n || !p.Idle() {
			t.Fatalf("%d of %d", got, n)
		}
	})
}

// FuzzParser feeds bytes of a hostile node: no crash, nothing kept beyond the limits.
func FuzzParser(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nSrv-Load: 1e999\r\n\r\nok"))
	f.Add([]byte("HTTP/1.0 503 X\r\n\r\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		var p Parser
		for i, c := range b {
			a, err := p.Feed([]byte{c})
			if a != nil && (len(a.Body) > MaxBody || a.Status < 200 || a.Credit != a.Credit) {
				t.Fatalf("%+v", a)
			}
			if err != nil {
				if again, same := p.Feed(b[i:]); again != nil || same != err {
					t.Fatal("it goes on after a fault")
				}
				return
			}
		}
		p.End()
	})
}
