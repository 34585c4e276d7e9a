package proxy

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"whinrudder/internal/acceptdrain"
)

// Timeouts of a server.
const (
	// noticePeriod is how long a server that shuts down still accepts connections and closes each connection with its
	// next answer, so that connections in use end between requests.
	noticePeriod = 2 * time.Second
	// drainTimeout is how long after the notice the server waits for requests in flight.
	drainTimeout = 15 * time.Second
	// readTimeout is the time from the accept of a connection to the end of the header of its first request, and the
	// time for a body.
	readTimeout = 5 * time.Second
	// idleTimeout is how long a connection may be idle between requests.
	idleTimeout = time.Minute
)

// Server serves a handler on one listener and shuts down without dropping requests. http.Server.Shutdown alone does
// not answer requests that it reads after its start, on connections just accepted and on those that have sent part of
// a request.
type Server struct {
	handler  *DrainHandler
	listener *acceptdrain.Listener
	http     *http.Server
	conns    conns
}

// Listen returns a server that serves a handler on a TCP address.
func Listen(addr string, h http.Handler) (*Server, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &Server{handler: &DrainHandler{Handler: h}, listener: acceptdrain.New(l.(*net.TCPListener)),
		conns: conns{busy: map[net.Conn]bool{}, changed: make(chan struct{}, 1)}}
	s.http = &http.Server{Handler: s.handler, ReadHeaderTimeout: readTimeout, IdleTimeout: idleTimeout,
		ConnState: func(c net.Conn, state http.ConnState) { s.conns.set(c, state) }}
	return s, nil
}

// Addr returns the address of the listener.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Serve serves until the listener is closed. It returns nil if Shutdown closed it.
func (s *Server) Serve() error {
	err := s.http.Serve(s.listener)
	if s.handler.draining.Load() && (errors.Is(err, net.ErrClosed) || errors.Is(err, http.ErrServerClosed)) {
		return nil
	}
	return err
}

// Shutdown answers requests until noticePeriod after the notice and closes each connection with its answer. It then
// closes the listener and answers the requests on connections accepted by then. It returns when no connection is left
// or, with an error, drainTimeout after the notice.
func (s *Server) Shutdown(notice time.Time) error {
	until := notice.Add(drainTimeout)
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	s.handler.Drain()
	time.Sleep(time.Until(notice.Add(noticePeriod)))
	err := s.listener.Drain(until)
	s.conns.waitIdle(until)
	return errors.Join(err, s.http.Shutdown(ctx))
}

// conns tracks busy connections: those with a request that is being answered, and new ones, whose first request may
// have arrived in part. Both states end within a bounded time.
type conns struct {
	mu      sync.Mutex
	busy    map[net.Conn]bool
	changed chan struct{} // signals that a connection is no longer busy
}

func (c *conns) set(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateNew || state == http.StateActive {
		c.busy[conn] = true
		return
	}
	delete(c.busy, conn)
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// waitIdle waits until no connection is busy, at most until the given time.
func (c *conns) waitIdle(until time.Time) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	for {
		c.mu.Lock()
		n := len(c.busy)
		c.mu.Unlock()
		if n == 0 {
			return
		}
		select {
		case <-c.changed:
		case <-timer.C:
			return
		}
	}
}
