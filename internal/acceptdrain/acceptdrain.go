// Package acceptdrain closes a TCP listener with as few connection resets as possible. Closing a listener
// resets the connections that the kernel has established for it but that have not been accepted yet; their
// callers can't know whether their requests were executed. A Listener first accepts all pending connections and
// closes when there are none.
package acceptdrain

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Listener is a TCP listener that can be drained. Create it with New.
type Listener struct {
	*net.TCPListener
	draining  atomic.Bool
	accept    func(fd int) (int, error) // unix.Accept4; replaced in tests
	closeOnce sync.Once
	closeErr  error         // the error of closing TCPListener
	closed    chan struct{} // closed with the listener
}

// New returns a listener that can be drained.
func New(l *net.TCPListener) *Listener {
	return &Listener{TCPListener: l, closed: make(chan struct{}), accept: func(fd int) (int, error) {
		n, _, err := unix.Accept4(fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		return n, err
	}}
}

// acceptRetryPause is the pause after an accept that failed because the system lacked resources.
const acceptRetryPause = 5 * time.Millisecond

// Accept implements net.Listener. After Drain was called it returns pending connections without blocking, and
// then net.ErrClosed.
func (l *Listener) Accept() (net.Conn, error) {
	for !l.draining.Load() {
		c, err := l.TCPListener.Accept()
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return c, err
		}
	}
	for {
		c, err := l.acceptPending()
		switch {
		case errors.Is(err, unix.EAGAIN):
			l.Close()
			return nil, net.ErrClosed
		case errors.Is(err, unix.ECONNABORTED), errors.Is(err, unix.EINTR):
			continue // the caller has closed its connection, or the call was interrupted
		case errors.Is(err, unix.EMFILE), errors.Is(err, unix.ENFILE),
			errors.Is(err, unix.ENOBUFS), errors.Is(err, unix.ENOMEM):
			time.Sleep(acceptRetryPause) // requests that finish free resources; the deadline of Drain ends this loop
			continue
		}
		return c, err
	}
}

// acceptPending accepts a pending connection. If there is none, it shuts the socket down immediately and
// returns unix.EAGAIN; only a connection that is established between these two system calls is reset. The
// accept of the Go runtime can't be used for this: once its deadline has passed, it returns without looking at
// the socket.
func (l *Listener) acceptPending() (net.Conn, error) {
	raw, err := l.SyscallConn()
	if err != nil {
		return nil, err
	}
	fd, acceptErr := -1, error(nil)
	err = raw.Control(func(s uintptr) {
		if fd, acceptErr = l.accept(int(s)); acceptErr == unix.EAGAIN {
			unix.Shutdown(int(s), unix.SHUT_RD)
		}
	})
	if err := errors.Join(err, acceptErr); err != nil {
		return nil, err
	}
	f := os.NewFile(uintptr(fd), "accepted")
	defer f.Close()
	return net.FileConn(f)
}

// Drain makes the goroutine that calls Accept, which must be running, accept all pending connections and then
// close the listener. It returns when the listener is closed. At the absolute time by it closes the listener
// even if connections are pending.
func (l *Listener) Drain(by time.Time) error {
	l.draining.Store(true)
	l.SetDeadline(time.Unix(1, 0))
	timeout := time.NewTimer(time.Until(by))
	defer timeout.Stop()
	select {
	case <-l.closed:
	case <-timeout.C:
	}
	return l.Close()
}

// Close implements net.Listener. It may be called more than once.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() {
		l.closeErr = l.TCPListener.Close()
		close(l.closed)
	})
	return l.closeErr
}
