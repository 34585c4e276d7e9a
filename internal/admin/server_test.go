package admin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"pgregory.net/rapid"
)

type toy struct{ stuck chan struct{} }

func (toy) Ready() bool                   { return true }
func (toy) AppendMetrics(b []byte) []byte { return append(b, "n=1\n"...) }
func (t toy) SetDraining(_ bool, by float64) bool {
	select {
	case <-t.stuck:
		return true
	case <-time.After(time.Until(at(by))):
		return false
	}
}

// Callers that keep their connection without a whole call must not keep others out, however many they are, and what
// the node can't do in time is answered.
func TestDoorUnderSilentCallers(t *testing.T) {
	defer goleak.VerifyNone(t)
	var mu sync.Mutex
	codes := map[string]int{}
	d, err := Listen("127.0.0.1:0", toy{make(chan struct{})}, func(_ string, pairs ...any) {
		mu.Lock()
		defer mu.Unlock()
		codes[pairs[len(pairs)-1].(string)]++
	})
	if err != nil {
		t.Fatal(err)
	}
	var held []net.Conn
	for i := range 3 * MaxConns {
		c, err := net.Dial("tcp", d.Addr())
		if err != nil {
			t.Fatal(err)
		}
		if i%2 == 0 {
			fmt.Fprint(c, "GET /metr")
		}
		held = append(held, c)
		if i%8 != 0 {
			continue
		}
		if got := ask(t, d, "GET /metrics HTTP/1.1\r\n\r\n"); got != "200 n=1\n" {
			t.Fatalf("after %d silent callers: %q", i, got)
		}
	}
	if got := ask(t, d, "POST /drain HTTP/1.1\r\n\r\n"); got != "503 no\n" {
		t.Errorf("a node that does not answer: %q", got)
	}
	d.Close(now() + 5000)
	for _, c := range held {
		c.Close()
	}
	mu.Lock()
	defer mu.Unlock()
	if codes["room"] < 2*MaxConns || codes["full"] > 0 {
		t.Error(codes)
	}
}

func ask(t *testing.T, d *Server, call string) string {
	t.Helper()
	c, err := net.Dial("tcp", d.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	io.WriteString(c, call)
	r := bufio.NewReader(c)
	var status string
	fmt.Fscanf(r, "HTTP/1.1 %s", &status)
	all, _ := io.ReadAll(r)
	for i := range all {
		if i >= 4 && string(all[i-4:i]) == "\r\n\r\n" {
			return status + " " + string(all[i:])
		}
	}
	return status + " no body"
}

// Pieces of any size say the same as the whole.
func TestCallInPieces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.SampledFrom([]string{"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n", "POST /drain HTTP/1.1\r\nContent-Length: 3\r\n\r\nabcGET /",
			"POST /undrain?x=1 HTTP/1.0\r\n\r\n", "PUT /ready HTTP/1.1\r\n\r\n", "GET /x HTTP/1.1\r\n\r\n", "\r\n\r\n"}).Draw(t, "call")
		var whole, parts RequestParser
		whole.Feed([]byte(text))
		for at := 0; at < len(text); {
			n := rapid.IntRange(1, len(text)-at).Draw(t, "size")
			parts.Feed([]byte(text[at : at+n]))
			at += n
		}
		a, s, c := whole.Action()
		if a2, s2, c2 := parts.Action(); a != a2 || s != s2 || c != c2 || !whole.Done() || !parts.Done() {
			t.Fatalf("%q: %v %v %v, in pieces %v %v %v", text, a, s, c, a2, s2, c2)
		}
	})
}

func FuzzCall(f *testing.F) {
	for _, s := range []string{"GET /ready HTTP/1.1\r\n\r\n", "POST /drain HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc", "GET /metrics HTTP/1.0\r\nA:\r\n\r\n"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var c RequestParser
		for i := range b {
			c.Feed(b[i : i+1])
		}
		action, status, code := c.Action()
		if len(c.buf) > maxHead+maxBody+1 {
			t.Errorf("%d bytes are kept", len(c.buf))
		}
		if c.Done() && (action == ActionNone) != (code != "") || (status == 0) != (code == "") {
			t.Error(action, status, code)
		}
	})
}
