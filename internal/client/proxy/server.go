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

// A proxy that is told to end says so with each answer for leaveFor: connections that are used end so with nothing in hand. Then
// it takes nothing new, and waits until drainFor after the notice for what it has in hand.
const (
	leaveFor = 2 * time.Second
	drainFor = 15 * time.Second
	// sayFor is how long a connection has from its accept to the end of its first request's fields, and a body to its end.
	sayFor = 5 * time.Second
	// restFor is how long a connection may be at rest.
	restFor = time.Minute
)

// Server serves a handler on one listener, and leaves without a loss. http.Server.Shutdown by itself drops what it reads
// from then on, unanswered: of connections just accepted, and of those that had said half of a request.
type Server struct {
	front *DrainHandler
	l     *acceptdrain.Listener
	http  *http.Server
	conns conns
}

// Listen returns a server for a handler on a TCP address.
func Listen(addr string, h http.Handler) (*Server, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &Server{front: &DrainHandler{Handler: h}, l: acceptdrain.New(l.(*net.TCPListener)), conns: conns{busy: map[net.Conn]bool{}, moved: make(chan struct{}, 1)}}
	s.http = &http.Server{Handler: s.front, ReadHeaderTimeout: sayFor, IdleTimeout: restFor,
		ConnState: func(c net.Conn, to http.ConnState) { s.conns.set(c, to) }}
	return s, nil
}

// Addr returns the address of the listener.
func (s *Server) Addr() net.Addr { return s.l.Addr() }

// Serve serves until the end of the listener, which is no error if Shutdown brought it about.
func (s *Server) Serve() error {
	err := s.http.Serve(s.l)
	if s.front.leaving.Load() && (errors.Is(err, net.ErrClosed) || errors.Is(err, http.ErrServerClosed)) {
		return nil
	}
	return err
}

// Shutdown answers what comes until leaveFor after the notice, each time with the word that the connection ends, then closes the
// listener, and answers what was accepted by then. It returns when no connection is left, or drainFor after the notice with an
// error.
func (s *Server) Shutdown(notice time.Time) error {
	by := notice.Add(drainFor)
	ctx, cancel := context.WithDeadline(context.Background(), by)
	defer cancel()
	s.front.Drain()
	time.Sleep(time.Until(notice.Add(leaveFor)))
	err := s.l.Drain(by)
	s.conns.rest(by)
	return errors.Join(err, s.http.Shutdown(ctx))
}

// conns counts connections that may have something in hand: a request that is being answered, or, on one just accepted, a first
// request of which the server has seen any part. Each ends one of the two within a bounded time.
type conns struct {
	mu    sync.Mutex
	busy  map[net.Conn]bool
	moved chan struct{} // there is one less
}

func (c *conns) set(k net.Conn, to http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if to == http.StateNew || to == http.StateActive {
		c.busy[k] = true
		return
	}
	delete(c.busy, k)
	select {
	case c.moved <- struct{}{}:
	default:
	}
}

// rest waits until nothing is in hand, or until an absolute time.
func (c *conns) rest(by time.Time) {
	late := time.NewTimer(time.Until(by))
	defer late.Stop()
	for {
		c.mu.Lock()
		n := len(c.busy)
		c.mu.Unlock()
		if n == 0 {
			return
		}
		select {
		case <-c.moved:
		case <-late.C:
			return
		}
	}
}
