package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"
)

// Guards against requests lost in a shutdown. Connections accepted before the listener closes are answered, also if
// half of the request or all of it arrives only afterwards. Silent and idle connections end without data.
func TestServerAnswersWhatItAccepted(t *testing.T) {
	defer goleak.VerifyNone(t)
	s, err := Listen("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := readRequest(w, r); r.Method == "POST" && err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		fmt.Fprint(w, "did ", r.URL.Path)
	}))
	if err != nil {
		t.Fatal(err)
	}
	served, ended := make(chan error, 1), make(chan error, 1)
	go func() { served <- s.Serve() }()
	dial := func(text string) net.Conn {
		c, err := net.Dial("tcp", s.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprint(c, text)
		return c
	}
	read := func(c net.Conn) (string, bool) {
		a, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			return err.Error(), true
		}
		b, _ := io.ReadAll(a.Body)
		return string(b), a.Close
	}
	idle := dial("GET /rests HTTP/1.1\r\nHost: x\r\n\r\n")
	if got, last := read(idle); got != "did /rests" || last {
		t.Fatal(got, last)
	}
	half := dial("GET /half HTTP/1.1\r\nHo")
	silent, slowBody := dial(""), dial("POST /rpc/book HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nx") // each ends by its own timeout
	late := dial("")
	go func() { ended <- s.Shutdown(time.Now()) }()
	for by := time.Now().Add(10 * time.Second); time.Now().Before(by); time.Sleep(time.Millisecond) {
		c, err := net.Dial("tcp", s.Addr().String())
		if err != nil {
			break // the listener is closed
		}
		c.Close()
	}
	fmt.Fprint(late, "GET /late HTTP/1.1\r\nHost: x\r\n\r\n")
	fmt.Fprint(half, "st: x\r\n\r\n")
	for want, c := range map[string]net.Conn{"did /half": half, "did /late": late} {
		if got, last := read(c); got != want || !last {
			t.Errorf("got %q, close %v, want %q, true", got, last, want)
		}
	}
	if a, err := http.ReadResponse(bufio.NewReader(slowBody), nil); err != nil || a.StatusCode != http.StatusBadRequest || !a.Close {
		t.Errorf("slow body: got %+v, error %v, want 400 with close", a, err)
	}
	for name, c := range map[string]net.Conn{"idle": idle, "silent": silent} {
		if b, err := io.ReadAll(c); len(b) > 0 || err != nil {
			t.Errorf("%s connection: read %q, error %v, want nothing", name, b, err)
		}
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if err := <-served; err != nil {
		t.Error(err)
	}
}

// A connection is busy from its accept or its next request to the end of the answer, and waitIdle ends at the
// given time even if a connection stays busy.
func TestConns(t *testing.T) {
	c := conns{busy: map[net.Conn]bool{}, changed: make(chan struct{}, 1)}
	a, b := &net.TCPConn{}, &net.TCPConn{}
	var got []int
	for _, step := range []struct {
		c  net.Conn
		to http.ConnState
	}{{a, http.StateNew}, {b, http.StateNew}, {a, http.StateActive}, {a, http.StateIdle}, {b, http.StateClosed}, {a, http.StateActive},
		{a, http.StateHijacked}, {b, http.StateNew}} {
		c.set(step.c, step.to)
		got = append(got, len(c.busy))
	}
	if diff := cmp.Diff([]int{1, 2, 2, 1, 0, 1, 0, 1}, got); diff != "" {
		t.Error(diff)
	}
	c.waitIdle(time.Now().Add(10 * time.Millisecond))
	go c.set(b, http.StateClosed)
	c.waitIdle(time.Now().Add(time.Hour))
}
