package client

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeNode is a node of any protocol whose requests are served by the function handle.
type fakeNode struct {
	addr     string
	requests atomic.Int64                                          // number of requests received
	ran      sync.Map                                              // number of runs (*atomic.Int64) by request body
	handle   func(n int64, r *http.Request, w http.ResponseWriter) // serves the nth request, counted from 1
	listener net.Listener
	stop     func()
}

func (s *fakeNode) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.handle(s.requests.Add(1), r, w)
}

// run serves a request and records that it ran.
func (s *fakeNode) run(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	count, _ := s.ran.LoadOrStore(string(body), new(atomic.Int64))
	count.(*atomic.Int64).Add(1)
	w.Header().Set("Srv-Load", "50")
	fmt.Fprintf(w, "did %s", body)
}

// refuseRequest answers 503 with Srv-Wait-Ms and, if the request must not be retried at another node, Srv-Last.
func refuseRequest(w http.ResponseWriter, waitMs string, noRetry bool) {
	w.Header().Set("Srv-Wait-Ms", waitMs)
	if noRetry {
		w.Header().Set("Srv-Last", "1")
	}
	w.WriteHeader(503)
}

// breakConn closes the connection without an answer.
func breakConn(http.ResponseWriter) { panic(http.ErrAbortHandler) }

// startNode starts a node of the given protocol and stops it at the end of the test.
func startNode(t testing.TB, protocol Protocol,
	handle func(s *fakeNode) func(n int64, r *http.Request, w http.ResponseWriter)) *fakeNode {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &fakeNode{addr: l.Addr().String(), listener: l}
	s.handle = handle(s)
	if protocol == UWSGI {
		var goroutines sync.WaitGroup
		goroutines.Go(func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				goroutines.Go(func() { s.serveUWSGI(c) })
			}
		})
		s.stop = func() { l.Close(); goroutines.Wait() }
	} else {
		var protocols http.Protocols
		protocols.SetHTTP1(protocol == HTTP)
		protocols.SetUnencryptedHTTP2(protocol == H2C)
		server := &http.Server{Handler: s, Protocols: &protocols}
		done := make(chan struct{})
		go func() { server.Serve(l); close(done) }()
		s.stop = func() { server.Close(); <-done }
	}
	t.Cleanup(s.stop)
	return s
}

// readPacket reads a uwsgi packet and the body that follows it.
func readPacket(r io.Reader) (vars map[string]string, body string, err error) {
	var header [4]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, "", err
	}
	block := make([]byte, binary.LittleEndian.Uint16(header[1:]))
	if _, err := io.ReadFull(r, block); err != nil {
		return nil, "", err
	}
	vars = map[string]string{}
	text := func() string {
		n := binary.LittleEndian.Uint16(block)
		v := string(block[2 : 2+n])
		block = block[2+n:]
		return v
	}
	for len(block) > 0 {
		k := text()
		vars[k] = text()
	}
	var n int
	fmt.Sscan(vars["CONTENT_LENGTH"], &n)
	content := make([]byte, n)
	_, err = io.ReadFull(r, content)
	return vars, string(content), err
}

// serveUWSGI reads one packet and writes the answer in the format of HTTP.
func (s *fakeNode) serveUWSGI(c net.Conn) {
	defer c.Close()
	vars, body, err := readPacket(c)
	if err != nil {
		return
	}
	r, _ := http.NewRequest("POST", "http://x"+vars["PATH_INFO"], strings.NewReader(body))
	for k, v := range vars {
		if name, ok := strings.CutPrefix(k, "HTTP_"); ok {
			r.Header.Set(strings.ReplaceAll(name, "_", "-"), v)
		}
	}
	w := &recorder{h: http.Header{}, status: 200}
	defer func() {
		if recover() != nil {
			return // breakConn was called
		}
		fmt.Fprintf(c, "HTTP/1.1 %d X\r\n", w.status)
		w.h.Write(c)
		fmt.Fprintf(c, "Content-Length: %d\r\n\r\n%s", w.body.Len(), w.body.String())
	}()
	s.handle(s.requests.Add(1), r, w)
}

// recorder is an http.ResponseWriter that stores the answer.
type recorder struct {
	h      http.Header
	status int
	body   strings.Builder
}

func (r *recorder) Header() http.Header         { return r.h }
func (r *recorder) WriteHeader(s int)           { r.status = s }
func (r *recorder) Write(b []byte) (int, error) { return r.body.Write(b) }

var classes = []Class{{Name: "rate-quote"}, {Name: "payout-book", Write: true}}

// newClient returns a client of the given nodes, with the test's classes unless the options have others.
func newClient(t *testing.T, protocol Protocol, options Options, nodes ...*fakeNode) *Client {
	t.Helper()
	var addrs Fixed
	for _, n := range nodes {
		addrs = append(addrs, n.addr)
	}
	options.Protocol = protocol
	if options.Source == nil {
		options.Source = addrs
	}
	if options.Classes == nil {
		options.Classes = classes
	}
	c, err := New(options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

// withDeadline returns a context that ends after d.
func withDeadline(t *testing.T, d time.Duration) context.Context {
	ctx, cancel := context.WithDeadline(t.Context(), time.Now().Add(d))
	t.Cleanup(cancel)
	return ctx
}

// Guards against a write that runs twice and a read that is given up early, over each protocol: a refused write and a
// read whose connection broke are retried at another node, a write whose connection broke is not.
func TestProtocols(t *testing.T) {
	for _, protocol := range []Protocol{HTTP, H2C, UWSGI} {
		t.Run(string(protocol), func(t *testing.T) {
			good := startNode(t, protocol, func(s *fakeNode) func(int64, *http.Request, http.ResponseWriter) {
				return func(_ int64, r *http.Request, w http.ResponseWriter) { s.run(w, r) }
			})
			bad := startNode(t, protocol, func(s *fakeNode) func(int64, *http.Request, http.ResponseWriter) {
				return func(_ int64, r *http.Request, w http.ResponseWriter) {
					if strings.HasSuffix(r.URL.Path, "payout-book") {
						refuseRequest(w, "1", false)
						return
					}
					breakConn(w)
				}
			})
			c := newClient(t, protocol, Options{}, good, bad)
			for i := range 200 {
				class := classes[i%2].Name
				resp, err := c.Do(withDeadline(t, 20*time.Second), Request{Class: class, Body: []byte(fmt.Sprint(i))})
				if err != nil || string(resp.Body) != fmt.Sprint("did ", i) {
					t.Fatalf("%s %d: got response %v, error %v", class, i, resp, err)
				}
			}
			if bad.requests.Load() == 0 {
				t.Error("the failing node received no requests")
			}
			for i := range 200 {
				if n, ok := good.ran.Load(fmt.Sprint(i)); !ok || n.(*atomic.Int64).Load() != 1 {
					t.Errorf("request %d did not run exactly once", i)
				}
			}
			broken := newClient(t, protocol, Options{}, startNode(t, protocol,
				func(s *fakeNode) func(int64, *http.Request, http.ResponseWriter) {
					return func(_ int64, r *http.Request, w http.ResponseWriter) { io.ReadAll(r.Body); breakConn(w) }
				}), good)
			unknown := 0
			for i := range 200 {
				_, err := broken.Do(withDeadline(t, 20*time.Second), Request{Class: "payout-book",
					Body: []byte(fmt.Sprint("b", i))})
				var callErr *Error
				switch {
				case err == nil:
				case errors.Is(err, ErrUnknown) && errors.As(err, &callErr) && callErr.Reason == Unknown &&
					callErr.MayHaveRun() && callErr.Tries[len(callErr.Tries)-1].Outcome == "broken":
					unknown++
					if _, ran := good.ran.Load(fmt.Sprint("b", i)); ran {
						t.Errorf("write b%d was retried at another node", i)
					}
				default:
					t.Errorf("b%d: got error %v", i, err)
				}
			}
			if unknown == 0 || unknown > 10 {
				t.Errorf("got %d unknown outcomes of 200 writes, want 1 to 10: the breaking node is not avoided",
					unknown)
			}
		})
	}
}

// Guards against an error that hides that nothing ran: if no node serves a call, it ends after few tries, and its error
// has the reason and the time that the node asked the caller to wait.
func TestErrorsProveThatNothingRan(t *testing.T) {
	refusing := startNode(t, HTTP, func(*fakeNode) func(int64, *http.Request, http.ResponseWriter) {
		return func(_ int64, _ *http.Request, w http.ResponseWriter) { refuseRequest(w, "700", false) }
	})
	noRetry := startNode(t, HTTP, func(*fakeNode) func(int64, *http.Request, http.ResponseWriter) {
		return func(_ int64, _ *http.Request, w http.ResponseWriter) { refuseRequest(w, "5", true) }
	})
	dead := startNode(t, HTTP, func(*fakeNode) func(int64, *http.Request, http.ResponseWriter) { return nil })
	dead.stop()
	for _, test := range []struct {
		name     string
		node     *fakeNode
		reason   Reason
		maxTries int
	}{{"all refuse", refusing, Rejected, 3}, {"refuse without retry", noRetry, Rejected, 1}, {"dead", dead, NoNode, 3}} {
		c := newClient(t, HTTP, Options{}, test.node)
		_, err := c.Do(withDeadline(t, 3*time.Second), Request{Class: "payout-book"})
		var callErr *Error
		if !errors.As(err, &callErr) || errors.Is(err, ErrUnknown) || callErr.MayHaveRun() ||
			callErr.Reason != test.reason && callErr.Reason != NoNode || len(callErr.Tries) > test.maxTries {
			t.Errorf("%s: got error %v", test.name, err)
		}
		if test.reason == Rejected && callErr.Wait == 0 {
			t.Errorf("%s: the error has no Wait", test.name)
		}
	}
	c := newClient(t, HTTP, Options{}, refusing)
	if _, err := c.Do(withDeadline(t, time.Second), Request{Class: "none"}); err == nil {
		t.Error("a call of an unknown class succeeded")
	}
	if _, err := c.Do(withDeadline(t, time.Second), Request{Class: "rate-quote", Key: "a\r\nb"}); err == nil {
		t.Error("a call with a line break in its key succeeded")
	}
	c.Close()
	if _, err := c.Do(withDeadline(t, time.Second), Request{Class: "rate-quote"}); err == nil {
		t.Error("a call of a closed client succeeded")
	}
}

// Guards against a wrong ErrUnknown of a cancelled call: it may have run only if a try was neither refused nor unsent.
func TestUnknownOutcomeOfCancelledCall(t *testing.T) {
	for _, test := range []struct {
		outcome string
		unknown bool
	}{{"refused", false}, {"unsent", false}, {"open", true}, {"late", true}, {"broken", true}} {
		if err := (&Error{Reason: Cancelled, Tries: []Try{{Outcome: test.outcome}}}); errors.Is(err, ErrUnknown) != test.unknown {
			t.Errorf("%s: got error %v, want unknown %v", test.outcome, err, test.unknown)
		}
	}
}

// Guards against requests that go on after their caller has left: the node notices a cancelled call, a call that
// reached its deadline, and the slower of a read and its hedge.
func TestCancelDeadlineAndHedge(t *testing.T) {
	abandoned := make(chan struct{}, 9)
	blockUntilCancelled := func(r *http.Request) {
		io.ReadAll(r.Body)
		select {
		case <-r.Context().Done():
			abandoned <- struct{}{}
		case <-time.After(20 * time.Second):
		}
	}
	slow := startNode(t, HTTP, func(*fakeNode) func(int64, *http.Request, http.ResponseWriter) {
		return func(_ int64, r *http.Request, _ http.ResponseWriter) { blockUntilCancelled(r) }
	})
	c := newClient(t, HTTP, Options{}, slow)
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err := c.Do(ctx, Request{Class: "payout-book"})
	var callErr *Error
	if !errors.As(err, &callErr) || callErr.Reason != Cancelled || !errors.Is(err, context.Canceled) ||
		!errors.Is(err, ErrUnknown) {
		t.Errorf("cancelled: got error %v", err)
	}
	<-abandoned
	if _, err = c.Do(withDeadline(t, 100*time.Millisecond), Request{Class: "payout-book"}); !errors.Is(err, ErrUnknown) {
		t.Errorf("deadline: got error %v, want ErrUnknown", err)
	}
	<-abandoned
	blockNext := atomic.Bool{} // block the next request without a rank, at whichever node
	handle := func(s *fakeNode) func(int64, *http.Request, http.ResponseWriter) {
		return func(_ int64, r *http.Request, w http.ResponseWriter) {
			if r.Header.Get("Req-Rank") != "0.5000" && blockNext.CompareAndSwap(true, false) {
				blockUntilCancelled(r)
				return
			}
			s.run(w, r)
		}
	}
	hedges := atomic.Int64{}
	c = newClient(t, HTTP, Options{Hooks: Hooks{Try: func(_, _ string, retry, hedge bool) {
		if hedge && retry {
			hedges.Add(1)
		}
	}}}, startNode(t, HTTP, handle), startNode(t, HTTP, handle))
	for i := range 200 { // the client learns the usual latency
		if _, err := c.Do(withDeadline(t, 20*time.Second), Request{Class: "rate-quote", Rank: 0.5}); err != nil {
			t.Fatal(i, err)
		}
	}
	before := hedges.Load()
	blockNext.Store(true)
	if _, err := c.Do(withDeadline(t, 15*time.Second), Request{Class: "rate-quote"}); err != nil || hedges.Load() == before {
		t.Errorf("got error %v and %d hedges, want no error and a hedge", err, hedges.Load()-before)
	}
	<-abandoned // the client cancels the slower try
}

// Guards against races between calls: 2000 concurrent calls share a client, no request runs twice, and no more than 64
// connections to each of the four nodes are in use.
func TestManyGoroutines(t *testing.T) {
	var nodes []*fakeNode
	var peak, active atomic.Int64
	for range 4 {
		nodes = append(nodes, startNode(t, HTTP, func(s *fakeNode) func(int64, *http.Request, http.ResponseWriter) {
			return func(_ int64, r *http.Request, w http.ResponseWriter) {
				if n := active.Add(1); n > peak.Load() {
					peak.Store(n)
				}
				s.run(w, r)
				active.Add(-1)
			}
		}))
	}
	c := newClient(t, HTTP, Options{}, nodes...)
	var goroutines sync.WaitGroup
	var failed atomic.Int64
	for i := range 2000 {
		goroutines.Go(func() {
			if _, err := c.Do(withDeadline(t, 60*time.Second), Request{Class: "payout-book",
				Body: []byte(fmt.Sprint(i))}); err != nil {
				failed.Add(1)
			}
		})
	}
	goroutines.Wait()
	ran := 0
	for _, n := range nodes {
		n.ran.Range(func(k, v any) bool {
			if ran++; v.(*atomic.Int64).Load() != 1 {
				t.Errorf("%v ran %d times", k, v.(*atomic.Int64).Load())
			}
			return true
		})
	}
	if peak.Load() > 4*64 || ran+int(failed.Load()) != 2000 {
		t.Errorf("got %d requests at once, %d run and %d failed calls, want at most 256 at once and 2000 in total",
			peak.Load(), ran, failed.Load())
	}
}
