package node

import (
	"errors"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"whinrudder/internal/clock"
)

// pausePollMs is the pause between two looks at a connection that has no descriptor.
const pausePollMs = 1

// pauseReading waits without reading, so that a peer that sends too much waits as well: until a time, until another goroutine
// sets the read deadline, or until the peer closes the connection, which it reports.
func (k *conn) pauseReading(until float64) (closed bool) {
	k.readDeadline = -1 // it has to be set again
	raw := k.rawConn()
	if raw == nil {
		time.Sleep(pausePollMs * time.Millisecond)
		return false
	}
	k.c.SetReadDeadline(clock.Time(until))
	if k.hasWork() {
		return false // it arrived before SetReadDeadline, which may have overwritten the wake-up
	}
	raw.Read(func(fd uintptr) bool {
		closed = hasHungUp(fd)
		return closed
	})
	return closed
}

// hasPeerLeft reports whether the peer has closed the connection, even if bytes from before are unread: nobody waits for the
// answers to what it sent.
func (k *conn) hasPeerLeft() (left bool) {
	k.control(func(fd uintptr) { left = hasHungUp(fd) })
	return left
}

// hasUnreadBytes reports whether something has arrived that was not read, be it the end of the connection.
func (k *conn) hasUnreadBytes() (unread bool) {
	k.control(func(fd uintptr) { unread = poll(fd, unix.POLLIN) != 0 })
	return unread
}

// maxArrivedReads is how often readArrived tries to read. Another goroutine may end a read to wake this one.
const maxArrivedReads = 4

// readArrived reads what has arrived. If that is nothing, the error is os.ErrDeadlineExceeded. A read with a deadline is no way to
// look: if this goroutine gets to run late, the deadline has passed, and such a read does not look at the socket.
func (k *conn) readArrived(buf []byte) (n int, err error) {
	k.readDeadline = -1 // it has to be set again
	if k.rawConn() == nil {
		k.c.SetReadDeadline(clock.Time(clock.Now() + lateReadMs))
		return k.c.Read(buf)
	}
	err = os.ErrDeadlineExceeded
	for try := 0; try < maxArrivedReads && errors.Is(err, os.ErrDeadlineExceeded) && k.hasUnreadBytes(); try++ {
		k.c.SetReadDeadline(time.Time{})
		n, err = k.c.Read(buf)
	}
	return n, err
}

// control calls look with the descriptor of a TCP connection that is not closed.
func (k *conn) control(look func(fd uintptr)) {
	if raw := k.rawConn(); raw != nil {
		raw.Control(look)
	}
}

// rawConn gives access to the descriptor of a connection; it returns nil for one that has none, such as a pipe.
func (k *conn) rawConn() syscall.RawConn {
	if c, ok := k.c.(syscall.Conn); ok && k.raw == nil {
		k.raw, _ = c.SyscallConn()
	}
	return k.raw
}

// hasHungUp reports whether the peer has closed its side of a connection, even if bytes from before are unread.
func hasHungUp(fd uintptr) bool {
	return poll(fd, unix.POLLRDHUP)&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// poll returns which of some events, and errors, hold for a descriptor now; 0 if that is not known.
func poll(fd uintptr, events int16) int16 {
	fds := []unix.PollFd{{Fd: int32(fd), Events: events}}
	if n, err := unix.Poll(fds, 0); err != nil || n == 0 {
		return 0
	}
	return fds[0].Revents
}
