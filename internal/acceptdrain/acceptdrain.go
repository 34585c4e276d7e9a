// Package acceptdrain ends a listener with as few resets as can be. A listener that is closed resets the connections that the
// kernel has established for it and that nobody has accepted; their callers can't tell whether what they sent has run. A
// Listener that leaves takes all that wait, and closes at the moment at which none does.
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

// Listener is a TCP listener that can leave. Create it with New.
type Listener struct {
	*net.TCPListener
	leaving atomic.Bool
	accept  func(fd int) (int, error) // as unix.Accept4; tests put their own
	once    sync.Once
	err     error         // of the close
	gone    chan struct{} // closed with the listener
}

// New returns a listener that can leave.
func New(l *net.TCPListener) *Listener {
	return &Listener{TCPListener: l, gone: make(chan struct{}), accept: func(fd int) (int, error) {
		n, _, err := unix.Accept4(fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		return n, err
	}}
}

// againFor is the pause after an accept for which the system had no room.
const againFor = 5 * time.Millisecond

// Accept implements net.Listener. After Drain it returns what waits, without waiting itself, and then net.ErrClosed.
func (l *Listener) Accept() (net.Conn, error) {
	for !l.leaving.Load() {
		c, err := l.TCPListener.Accept()
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return c, err
		}
	}
	for {
		c, err := l.next()
		switch {
		case errors.Is(err, unix.EAGAIN):
			l.Close()
			return nil, net.ErrClosed
		case errors.Is(err, unix.ECONNABORTED), errors.Is(err, unix.EINTR):
			continue // that caller is gone
		case errors.Is(err, unix.EMFILE), errors.Is(err, unix.ENFILE), errors.Is(err, unix.ENOBUFS), errors.Is(err, unix.ENOMEM):
			time.Sleep(againFor) // what is in hand ends and makes room; Drain has an end
			continue
		}
		return c, err
	}
}

// next accepts what waits. If nothing does it shuts the socket in the same breath and returns unix.EAGAIN: whoever is
// established between the two calls is reset. The runtime's own accept can't do it: once its time is over it does not look.
func (l *Listener) next() (net.Conn, error) {
	raw, err := l.SyscallConn()
	if err != nil {
		return nil, err
	}
	fd, bad := -1, error(nil)
	err = raw.Control(func(s uintptr) {
		if fd, bad = l.accept(int(s)); bad == unix.EAGAIN {
			unix.Shutdown(int(s), unix.SHUT_RD)
		}
	})
	if err := errors.Join(err, bad); err != nil {
		return nil, err
	}
	f := os.NewFile(uintptr(fd), "accepted")
	defer f.Close()
	return net.FileConn(f)
}

// Drain takes all that waits and then closes the listener, by the goroutine that accepts, which must be at work. It returns
// once the listener is closed, or at an absolute time at which it closes it with whatever waits.
func (l *Listener) Drain(by time.Time) error {
	l.leaving.Store(true)
	l.SetDeadline(time.Unix(1, 0))
	late := time.NewTimer(time.Until(by))
	defer late.Stop()
	select {
	case <-l.gone:
	case <-late.C:
	}
	return l.Close()
}

// Close implements net.Listener. It may be called again.
func (l *Listener) Close() error {
	l.once.Do(func() {
		l.err = l.TCPListener.Close()
		close(l.gone)
	})
	return l.err
}
