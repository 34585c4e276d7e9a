package admin

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"whinrudder/internal/eventlog"
)

// Times in milliseconds.
const (
	callFor   = 3000 // a connection without a whole call ends then
	actFor    = 900  // what a call wants is done by then, or is answered with 503
	writeFor  = 1000 // a peer that has not taken its answer by then is cut
	lingerFor = 200  // after a fault so long is read on, lest what was not read reset the answer
	acceptFor = 20   // pause after an accept that failed
)

// MaxConns bounds the connections at a time. At the bound the one that has waited longest for its call gives way: it
// owes the call, and nobody behind it should wait for that.
const MaxConns = 32

// Node is what the door asks the node. None of its methods may be called by the core's goroutine.
type Node interface {
	Ready() bool
	AppendMetrics(b []byte) []byte
	// SetDraining sends the clients away or takes them back. It tells whether that was done by an absolute time, in Unix
	// milliseconds.
	SetDraining(on bool, by float64) bool
}

// Server is an open door. Create it with Listen.
type Server struct {
	node Node
	l    net.Listener
	log  eventlog.Log

	mu    sync.Mutex
	conns map[*conn]bool
	over  bool
	wait  sync.WaitGroup
}

type conn struct {
	net.Conn
	since float64
	busy  bool // the call is whole
	given bool // its place was given to another
}

func now() float64 { return float64(time.Now().UnixNano()) / 1e6 }

func at(ms float64) time.Time { return time.UnixMicro(int64(ms * 1e3)) }

// Listen listens on an address and takes calls until Close.
func Listen(addr string, node Node, log eventlog.Log) (*Server, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	d := &Server{node: node, l: l, log: log, conns: map[*conn]bool{}}
	d.wait.Add(1)
	go d.accept()
	return d, nil
}

// Addr is the address on which it listens.
func (d *Server) Addr() string { return d.l.Addr().String() }

// Close ends all connections and waits for them, at most until an absolute time.
func (d *Server) Close(by float64) {
	d.l.Close()
	d.mu.Lock()
	d.over = true
	for c := range d.conns {
		c.SetDeadline(at(by))
		if !c.busy {
			c.Conn.Close()
		}
	}
	d.mu.Unlock()
	done := make(chan struct{})
	go func() { d.wait.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(time.Until(at(by))):
	}
}

func (d *Server) accept() {
	defer d.wait.Done()
	for {
		c, err := d.l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			d.log("accept", "front", "admin", "error", err)
			time.Sleep(time.Until(at(now() + acceptFor)))
			continue
		}
		k := &conn{Conn: c, since: now()}
		if !d.add(k) {
			d.end(k, "full")
			continue
		}
		go d.serve(k)
	}
}

// add takes a connection into the table. At the bound the one that has waited longest for its call is cut.
func (d *Server) add(k *conn) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.over {
		return false
	}
	if len(d.conns) >= MaxConns {
		var oldest *conn
		for c := range d.conns {
			if !c.busy && (oldest == nil || c.since < oldest.since) {
				oldest = c
			}
		}
		if oldest == nil {
			return false
		}
		oldest.given = true
		oldest.Conn.Close()
		delete(d.conns, oldest)
	}
	d.conns[k] = true
	d.wait.Add(1)
	return true
}

func (d *Server) end(k *conn, code string) {
	d.log("conn", "front", "admin", "peer", k.RemoteAddr(), "code", code)
	k.Conn.Close()
}

func (d *Server) serve(k *conn) {
	defer d.wait.Done()
	code := d.talk(k)
	d.mu.Lock()
	if k.given {
		code = "room"
	}
	delete(d.conns, k)
	d.mu.Unlock()
	d.end(k, code)
}

// talk reads the call and answers it. It returns the code of the end.
func (d *Server) talk(k *conn) string {
	var call RequestParser
	buf := make([]byte, 1024)
	k.SetReadDeadline(at(k.since + callFor))
	for !call.Done() {
		n, err := k.Read(buf)
		call.Feed(buf[:n])
		switch {
		case call.Done() || err == nil:
		case errors.Is(err, os.ErrDeadlineExceeded) && call.Started():
			return "slow"
		case errors.Is(err, os.ErrDeadlineExceeded):
			return "silent"
		case errors.Is(err, io.EOF) && call.Started():
			return "part"
		case errors.Is(err, io.EOF):
			return "eof"
		case errors.Is(err, net.ErrClosed):
			return "drain"
		default:
			return "reset"
		}
	}
	d.mu.Lock()
	k.busy = !k.given
	d.mu.Unlock()
	action, status, code := call.Action()
	var body []byte
	if code == "" {
		status, body = d.act(action)
		code = "close"
	}
	k.SetWriteDeadline(at(now() + writeFor))
	if _, err := k.Write(AppendResponse(nil, status, body)); err != nil {
		return "write"
	}
	if status != 200 {
		if t, ok := k.Conn.(*net.TCPConn); ok {
			t.CloseWrite()
		}
		k.SetReadDeadline(at(now() + lingerFor))
		io.CopyN(io.Discard, k, 16*maxHead)
	}
	return code
}

// act does what a call wants.
func (d *Server) act(a Action) (status int, body []byte) {
	yes, text := true, "ok\n"
	switch a {
	case ActionReady:
		yes, text = d.node.Ready(), "ready\n"
	case ActionMetrics:
		return 200, d.node.AppendMetrics(nil)
	case ActionDrain:
		yes = d.node.SetDraining(true, now()+actFor)
	case ActionUndrain:
		yes = d.node.SetDraining(false, now()+actFor)
	}
	if !yes {
		return 503, []byte("no\n")
	}
	return 200, []byte(text)
}
