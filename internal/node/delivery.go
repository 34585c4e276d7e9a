package node

import (
	"net"
	"time"

	"golang.org/x/sys/unix"

	"whinrudder/internal/clock"
)

// Bytes that arrive at a socket after it was closed reset the connection, and the kernel then drops what it has not delivered.
// So an answer is delivered before its connection is closed.

// deliveryPollMs is the pause between two looks at the kernel's send queue.
const deliveryPollMs = 1

// awaitDelivery waits until the peer has received what was written, for as long as it may take to read an answer. A peer that
// keeps up costs no wait.
func (k *conn) awaitDelivery() {
	if queuedBytes(k.c, unix.SIOCOUTQNSD) == 0 {
		return
	}
	for by := clock.Now() + defaultWriteTimeoutMs; clock.Now() < by && !k.isDelivered(); {
		time.Sleep(deliveryPollMs * time.Millisecond)
	}
}

// isDelivered reports whether the machine of the peer has acknowledged all that was written.
func (k *conn) isDelivered() bool { return queuedBytes(k.c, unix.SIOCOUTQ) == 0 }

// queuedBytes returns how many bytes the kernel holds for the peer: those that it has not acknowledged (SIOCOUTQ), or those
// that were not sent (SIOCOUTQNSD). It returns 0 if that is not known, as for a connection that is closed.
func queuedBytes(c net.Conn, which uint) int {
	t, ok := c.(*net.TCPConn)
	if !ok {
		return 0
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return 0
	}
	queued := 0
	if raw.Control(func(fd uintptr) { queued, err = unix.IoctlGetInt(int(fd), which) }) != nil || err != nil {
		return 0
	}
	return queued
}
