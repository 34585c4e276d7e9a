package admin

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"whinrudder/internal/clock"
	"whinrudder/internal/eventlog"
	"whinrudder/internal/netretry"
)

// Timeouts in milliseconds.
const (
	requestTimeoutMs = 3000 // a connection without a complete request is closed after this time
	actionTimeoutMs  = 900  // an action that takes longer is answered with 503
	writeTimeoutMs   = 1000 // a peer that has not read its response in this time is disconnected
	lingerMs         = 200  // how long input is read after an error, because unread input would reset the connection
	acceptRetryMs    = 20   // pause after an accept that failed
)

// MaxConns is the maximum number of connections at a time. When it is reached, a new connection replaces the
// one that has waited longest without a complete request, so that silent peers don't keep others out.
const MaxConns = 32

// Node is the node as the server sees it. None of its methods may be called by the core's goroutine.
type Node interface {
	Ready() bool
	AppendMetrics(b []byte) []byte
	AppendRuns(b []byte) []byte
	// SetDraining starts or undoes a drain by the operator. It reports whether that was done by an absolute time, in
	// Unix milliseconds.
	SetDraining(on bool, by float64) bool
}

// Server is a running admin server. Create it with Listen.
type Server struct {
	node     Node
	listener net.Listener
	log      eventlog.Log

	mu         sync.Mutex // guards conns, closed and the flags of each conn
	conns      map[*conn]bool
	closed     bool
	goroutines sync.WaitGroup
}

type conn struct {
	net.Conn
	acceptedAt float64 // in Unix milliseconds
	busy       bool    // the request is complete
	evicted    bool    // replaced by another connection
}

// Listen listens on an address and serves requests until Close.
func Listen(addr string, node Node, log eventlog.Log) (*Server, error) {
	l, err := netretry.Listen(addr)
	if err != nil {
		return nil, err
	}
	s := &Server{node: node, listener: l, log: log, conns: map[*conn]bool{}}
	s.goroutines.Add(1)
	go s.accept()
	return s, nil
}

// Addr returns the address on which the server listens.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close ends all connections and waits for them, at most until an absolute time.
func (s *Server) Close(by float64) {
	s.listener.Close()
	s.mu.Lock()
	s.closed = true
	for c := range s.conns {
		c.SetDeadline(clock.Time(by))
		if !c.busy {
			c.Conn.Close()
		}
	}
	s.mu.Unlock()
	done := make(chan struct{})
	go func() { s.goroutines.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(time.Until(clock.Time(by))):
	}
}

func (s *Server) accept() {
	defer s.goroutines.Done()
	for {
		c, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.log("accept", "front", "admin", "error", err)
			time.Sleep(time.Until(clock.Time(clock.Now() + acceptRetryMs)))
			continue
		}
		k := &conn{Conn: c, acceptedAt: clock.Now()}
		if !s.add(k) {
			s.logAndClose(k, "full")
			continue
		}
		go s.serve(k)
	}
}

// add adds a connection to the table. If the table is full, it evicts the connection that has waited longest
// without a complete request, and returns false if there is none.
func (s *Server) add(k *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	if len(s.conns) >= MaxConns {
		var oldest *conn
		for c := range s.conns {
			if !c.busy && (oldest == nil || c.acceptedAt < oldest.acceptedAt) {
				oldest = c
			}
		}
		if oldest == nil {
			return false
		}
		oldest.evicted = true
		oldest.Conn.Close()
		delete(s.conns, oldest)
	}
	s.conns[k] = true
	s.goroutines.Add(1)
	return true
}

func (s *Server) logAndClose(k *conn, code string) {
	s.log("conn", "front", "admin", "peer", k.RemoteAddr(), "code", code)
	k.Conn.Close()
}

func (s *Server) serve(k *conn) {
	defer s.goroutines.Done()
	code := s.handle(k)
	s.mu.Lock()
	if k.evicted {
		code = "room"
	}
	delete(s.conns, k)
	s.mu.Unlock()
	s.logAndClose(k, code)
}

// handle reads the request and answers it. It returns the log code of the connection's end.
func (s *Server) handle(k *conn) string {
	var request RequestParser
	buf := make([]byte, 1024)
	k.SetReadDeadline(clock.Time(k.acceptedAt + requestTimeoutMs))
	for !request.Done() {
		n, err := k.Read(buf)
		request.Feed(buf[:n])
		switch {
		case request.Done() || err == nil:
		case errors.Is(err, os.ErrDeadlineExceeded) && request.Started():
			return "slow"
		case errors.Is(err, os.ErrDeadlineExceeded):
			return "silent"
		case errors.Is(err, io.EOF) && request.Started():
			return "part"
		case errors.Is(err, io.EOF):
			return "eof"
		case errors.Is(err, net.ErrClosed):
			return "drain"
		default:
			return "reset"
		}
	}
	s.mu.Lock()
	k.busy = !k.evicted
	s.mu.Unlock()
	action, status, code := request.Action()
	var body []byte
	if code == "" {
		status, body = s.act(action)
		code = "close"
	}
	k.SetWriteDeadline(clock.Time(clock.Now() + writeTimeoutMs))
	if _, err := k.Write(AppendResponse(nil, status, body)); err != nil {
		return "write"
	}
	if status != 200 {
		if t, ok := k.Conn.(*net.TCPConn); ok {
			t.CloseWrite()
		}
		k.SetReadDeadline(clock.Time(clock.Now() + lingerMs))
		io.CopyN(io.Discard, k, 16*maxHeadBytes)
	}
	return code
}

// act carries out an action.
func (s *Server) act(a Action) (status int, body []byte) {
	ok, text := true, "ok\n"
	switch a {
	case ActionReady:
		ok, text = s.node.Ready(), "ready\n"
	case ActionMetrics:
		return 200, s.node.AppendMetrics(nil)
	case ActionRuns:
		return 200, s.node.AppendRuns(nil)
	case ActionDrain:
		ok = s.node.SetDraining(true, clock.Now()+actionTimeoutMs)
	case ActionUndrain:
		ok = s.node.SetDraining(false, clock.Now()+actionTimeoutMs)
	}
	if !ok {
		return 503, []byte("no\n")
	}
	return 200, []byte(text)
}
