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

// standIn is a node of any protocol that does as it is told: how says what is done with the nth request.
type standIn struct {
	addr string
	n    atomic.Int64
	ran  sync.Map // bodies that ran, with how often
	how  func(n int64, r *http.Request, w http.ResponseWriter)
	l    net.Listener
	stop func()
}

func (s *standIn) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.how(s.n.Add(1), r, w)
}

// run serves a request, and notes that it ran.
func (s *standIn) run(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	n, _ := s.ran.LoadOrStore(string(body), new(atomic.Int64))
	n.(*atomic.Int64).Add(1)
	w.Header().Set("Srv-Load", "50")
	fmt.Fprintf(w, "did %s", body)
}

func refuse(w http.ResponseWriter, wait string, last bool) {
	w.Header().Set("Srv-Wait-Ms", wait)
	if last {
		w.Header().Set("Srv-Last", "1")
	}
	w.WriteHeader(503)
}

// cut breaks the connection with the request in hand.
func cut(http.ResponseWriter) { panic(http.ErrAbortHandler) }

func start(t testing.TB, p Protocol, how func(s *standIn) func(n int64, r *http.Request, w http.ResponseWriter)) *standIn {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &standIn{addr: l.Addr().String(), l: l}
	s.how = how(s)
	if p == UWSGI {
		var wait sync.WaitGroup
		wait.Go(func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				wait.Go(func() { s.uwsgi(c) })
			}
		})
		s.stop = func() { l.Close(); wait.Wait() }
	} else {
		var protocols http.Protocols
		protocols.SetHTTP1(p == HTTP)
		protocols.SetUnencryptedHTTP2(p == H2C)
		srv := &http.Server{Handler: s, Protocols: &protocols}
		done := make(chan struct{})
		go func() { srv.Serve(l); close(done) }()
		s.stop = func() { srv.Close(); <-done }
	}
	t.Cleanup(s.stop)
	return s
}

// readPacket reads a uwsgi packet and the body behind it.
func readPacket(r io.Reader) (vars map[string]string, body string, err error) {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, "", err
	}
	b := make([]byte, binary.LittleEndian.Uint16(head[1:]))
	if _, err := io.ReadFull(r, b); err != nil {
		return nil, "", err
	}
	vars = map[string]string{}
	text := func() string {
		n := binary.LittleEndian.Uint16(b)
		v := string(b[2 : 2+n])
		b = b[2+n:]
		return v
	}
	for len(b) > 0 {
		k := text()
		vars[k] = text()
	}
	var n int
	fmt.Sscan(vars["CONTENT_LENGTH"], &n)
	all := make([]byte, n)
	_, err = io.ReadFull(r, all)
	return vars, string(all), err
}

// uwsgi reads one packet and answers it in the form of HTTP.
func (s *standIn) uwsgi(c net.Conn) {
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
			return // cut
		}
		fmt.Fprintf(c, "HTTP/1.1 %d X\r\n", w.status)
		w.h.Write(c)
		fmt.Fprintf(c, "Content-Length: %d\r\n\r\n%s", w.body.Len(), w.body.String())
	}()
	s.how(s.n.Add(1), r, w)
}

type recorder struct {
	h      http.Header
	status int
	body   strings.Builder
}

func (r *recorder) Header() http.Header         { return r.h }
func (r *recorder) WriteHeader(s int)           { r.status = s }
func (r *recorder) Write(b []byte) (int, error) { return r.body.Write(b) }

var classes = []Class{{Name: "rate-quote"}, {Name: "payout-book", Write: true}}

func open(t *testing.T, p Protocol, o Options, nodes ...*standIn) *Client {
	t.Helper()
	var list Fixed
	for _, n := range nodes {
		list = append(list, n.addr)
	}
	o.Protocol = p
	if o.Source == nil {
		o.Source = list
	}
	if o.Classes == nil {
		o.Classes = classes
	}
	c, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

func within(t *testing.T, d time.Duration) context.Context {
	ctx, cancel := context.WithDeadline(t.Context(), time.Now().Add(d))
	t.Cleanup(cancel)
	return ctx
}

// Over each protocol: results come, a refused booking goes to another node, one whose connection broke does not, and a read does.
func TestProtocols(t *testing.T) {
	for _, p := range []Protocol{HTTP, H2C, UWSGI} {
		t.Run(string(p), func(t *testing.T) {
			good := start(t, p, func(s *standIn) func(int64, *http.Request, http.ResponseWriter) {
				return func(_ int64, r *http.Request, w http.ResponseWriter) { s.run(w, r) }
			})
			bad := start(t, p, func(s *standIn) func(int64, *http.Request, http.ResponseWriter) {
				return func(_ int64, r *http.Request, w http.ResponseWriter) {
					if strings.HasSuffix(r.URL.Path, "payout-book") {
						refuse(w, "1", false)
						return
					}
					cut(w)
				}
			})
			c := open(t, p, Options{}, good, bad)
			for i := range 200 {
				class := classes[i%2].Name
				resp, err := c.Do(within(t, 20*time.Second), Request{Class: class, Body: []byte(fmt.Sprint(i))})
				if err != nil || string(resp.Body) != fmt.Sprint("did ", i) {
					t.Fatalf("%s %d: %v %v", class, i, resp, err)
				}
			}
			if bad.n.Load() == 0 {
				t.Error("the bad node was asked nothing")
			}
			for i := range 200 {
				if n, ok := good.ran.Load(fmt.Sprint(i)); !ok || n.(*atomic.Int64).Load() != 1 {
					t.Errorf("%d did not run once", i)
				}
			}
			broken := open(t, p, Options{}, start(t, p, func(s *standIn) func(int64, *http.Request, http.ResponseWriter) {
				return func(_ int64, r *http.Request, w http.ResponseWriter) { io.ReadAll(r.Body); cut(w) }
			}), good)
			unknown := 0
			for i := range 200 {
				_, err := broken.Do(within(t, 20*time.Second), Request{Class: "payout-book", Body: []byte(fmt.Sprint("b", i))})
				var fault *Error
				switch {
				case err == nil:
				case errors.Is(err, ErrUnknown) && errors.As(err, &fault) && fault.Reason == Unknown && fault.MayHaveRun() && fault.Tries[len(fault.Tries)-1].Outcome == "broken":
					unknown++
					if _, ran := good.ran.Load(fmt.Sprint("b", i)); ran {
						t.Errorf("b%d went on to another node", i)
					}
				default:
					t.Errorf("b%d: %v", i, err)
				}
			}
			if unknown == 0 || unknown > 10 {
				t.Errorf("%d of 200 are unknown: a node that breaks each is kept away from after some", unknown)
			}
		})
	}
}

// What comes of a call where no node can serve: quickly, with what is known, and nothing ran.
func TestNothingRan(t *testing.T) {
	full := start(t, HTTP, func(*standIn) func(int64, *http.Request, http.ResponseWriter) {
		return func(_ int64, _ *http.Request, w http.ResponseWriter) { refuse(w, "700", false) }
	})
	stays := start(t, HTTP, func(*standIn) func(int64, *http.Request, http.ResponseWriter) {
		return func(_ int64, _ *http.Request, w http.ResponseWriter) { refuse(w, "5", true) }
	})
	dead := start(t, HTTP, func(*standIn) func(int64, *http.Request, http.ResponseWriter) { return nil })
	dead.stop()
	for _, x := range []struct {
		name   string
		node   *standIn
		reason Reason
		most   int
	}{{"all refuse", full, Rejected, 3}, {"not to be passed over", stays, Rejected, 1}, {"dead", dead, NoNode, 3}} {
		c := open(t, HTTP, Options{}, x.node)
		_, err := c.Do(within(t, 3*time.Second), Request{Class: "payout-book"})
		var fault *Error
		if !errors.As(err, &fault) || errors.Is(err, ErrUnknown) || fault.MayHaveRun() || fault.Reason != x.reason && fault.Reason != NoNode || len(fault.Tries) > x.most {
			t.Errorf("%s: %v", x.name, err)
		}
		if x.reason == Rejected && fault.Wait == 0 {
			t.Errorf("%s: the advice is lost", x.name)
		}
	}
	c := open(t, HTTP, Options{}, full)
	if _, err := c.Do(within(t, time.Second), Request{Class: "none"}); err == nil {
		t.Error("a class that is not known is called")
	}
	if _, err := c.Do(within(t, time.Second), Request{Class: "rate-quote", Key: "a\r\nb"}); err == nil {
		t.Error("a key that would end its field is sent")
	}
	c.Close()
	if _, err := c.Do(within(t, time.Second), Request{Class: "rate-quote"}); err == nil {
		t.Error("a closed client calls")
	}
}

// A call that is taken back after nothing but refusals is not in doubt; one with a try that is out is.
func TestDoubt(t *testing.T) {
	for _, x := range []struct {
		outcome string
		doubt   bool
	}{{"refused", false}, {"unsent", false}, {"open", true}, {"late", true}, {"broken", true}} {
		if err := (&Error{Reason: Cancelled, Tries: []Try{{Outcome: x.outcome}}}); errors.Is(err, ErrUnknown) != x.doubt {
			t.Errorf("%s: %v", x.outcome, err)
		}
	}
}

// A caller that goes is heard of by the node; a deadline ends a call; a slow node is hedged.
func TestTimeAndHedge(t *testing.T) {
	gone := make(chan struct{}, 9)
	hang := func(r *http.Request) {
		io.ReadAll(r.Body)
		select {
		case <-r.Context().Done():
			gone <- struct{}{}
		case <-time.After(20 * time.Second):
		}
	}
	slow := start(t, HTTP, func(*standIn) func(int64, *http.Request, http.ResponseWriter) {
		return func(_ int64, r *http.Request, _ http.ResponseWriter) { hang(r) }
	})
	c := open(t, HTTP, Options{}, slow)
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err := c.Do(ctx, Request{Class: "payout-book"})
	var fault *Error
	if !errors.As(err, &fault) || fault.Reason != Cancelled || !errors.Is(err, context.Canceled) || !errors.Is(err, ErrUnknown) {
		t.Errorf("cancelled: %v", err)
	}
	<-gone
	if _, err = c.Do(within(t, 100*time.Millisecond), Request{Class: "payout-book"}); !errors.Is(err, ErrUnknown) {
		t.Errorf("late: %v", err)
	}
	<-gone
	hangs := atomic.Bool{} // the next request without a rank does, whichever node has it
	either := func(s *standIn) func(int64, *http.Request, http.ResponseWriter) {
		return func(_ int64, r *http.Request, w http.ResponseWriter) {
			if r.Header.Get("Req-Rank") != "0.5000" && hangs.CompareAndSwap(true, false) {
				hang(r)
				return
			}
			s.run(w, r)
		}
	}
	hedges := atomic.Int64{}
	c = open(t, HTTP, Options{Hooks: Hooks{Try: func(_, _ string, again, hedge bool) {
		if hedge && again {
			hedges.Add(1)
		}
	}}}, start(t, HTTP, either), start(t, HTTP, either))
	for i := range 200 { // both learn to be usual
		if _, err := c.Do(within(t, 20*time.Second), Request{Class: "rate-quote", Rank: 0.5}); err != nil {
			t.Fatal(i, err)
		}
	}
	before := hedges.Load()
	hangs.Store(true)
	if _, err := c.Do(within(t, 15*time.Second), Request{Class: "rate-quote"}); err != nil || hedges.Load() == before {
		t.Errorf("%v, %d hedges", err, hedges.Load()-before)
	}
	<-gone // the loser is given up
}

// Thousands of goroutines share a client; connections stay within their limits, and each request runs once.
func TestManyGoroutines(t *testing.T) {
	var nodes []*standIn
	var most, now atomic.Int64
	for range 4 {
		nodes = append(nodes, start(t, HTTP, func(s *standIn) func(int64, *http.Request, http.ResponseWriter) {
			return func(_ int64, r *http.Request, w http.ResponseWriter) {
				if n := now.Add(1); n > most.Load() {
					most.Store(n)
				}
				s.run(w, r)
				now.Add(-1)
			}
		}))
	}
	c := open(t, HTTP, Options{}, nodes...)
	var wait sync.WaitGroup
	var failed atomic.Int64
	for i := range 2000 {
		wait.Go(func() {
			if _, err := c.Do(within(t, 60*time.Second), Request{Class: "payout-book", Body: []byte(fmt.Sprint(i))}); err != nil {
				failed.Add(1)
			}
		})
	}
	wait.Wait()
	ran := 0
	for _, n := range nodes {
		n.ran.Range(func(k, v any) bool {
			if ran++; v.(*atomic.Int64).Load() != 1 {
				t.Errorf("%v ran %d times", k, v.(*atomic.Int64).Load())
			}
			return true
		})
	}
	if most.Load() > 4*64 || ran+int(failed.Load()) != 2000 {
		t.Errorf("%d at once, %d ran, %d failed", most.Load(), ran, failed.Load())
	}
}
