package node

import (
	"net"
	"time"

	"golang.org/x/sys/unix"

	"whinrudder/internal/clock"
)

// pausePollMs is the pause between two looks at a connection that is not a TCP one.
const pausePollMs = 1

// pauseReading waits without reading, so that a peer that sends too much waits as well: until a time, until another goroutine
// sets the read deadline, or until the peer closes the connection, which it reports.
func (k *conn) pauseReading(until float64) (closed bool) {
	k.readDeadline = -1 // it has to be set again
	t, ok := k.c.(*net.TCPConn)
	if !ok {
		time.Sleep(pausePollMs * time.Millisecond)
		return false
	}
	raw, err := t.SyscallConn()
	if err != nil {
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
	t, ok := k.c.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return false
	}
	raw.Control(func(fd uintptr) { left = hasHungUp(fd) })
	return left
}

// hasHungUp reports whether the peer has closed its side of a connection, even if bytes from before are unread.
func hasHungUp(fd uintptr) bool {
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(fds, 0)
	return err == nil && n > 0 && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}
