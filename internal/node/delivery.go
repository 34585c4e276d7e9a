package node

import (
	"time"

	"golang.org/x/sys/unix"

	"whinrudder/internal/clock"
)

// Bytes that arrive at a socket after it was closed reset the connection, and the kernel then drops what it has not delivered.
// So an answer is delivered before its connection is closed.

// deliveryPollMs is the pause between two looks at the kernel's send queue.
const deliveryPollMs = 1

// awaitDelivery waits until the peer has received what was written, for as long as it may take to read an answer, or until the
// connection is evicted. A peer that keeps up costs no wait.
func (k *conn) awaitDelivery() {
	if k.queuedBytes(unix.SIOCOUTQNSD) == 0 {
		return
	}
	for by := clock.Now() + defaultWriteTimeoutMs; clock.Now() < by && !k.isDelivered() && !k.node.conns.revoked(k); {
		time.Sleep(deliveryPollMs * time.Millisecond)
	}
}

// isDelivered reports whether the machine of the peer has acknowledged all that was written.
func (k *conn) isDelivered() bool { return k.queuedBytes(unix.SIOCOUTQ) == 0 }

// queuedBytes returns how many bytes the kernel holds for the peer: those that it has not acknowledged (SIOCOUTQ), or those
// that were not sent (SIOCOUTQNSD). It returns 0 if that is not known, as for a connection that is closed.
func (k *conn) queuedBytes(which uint) (queued int) {
	k.control(func(fd uintptr) {
		if n, err := unix.IoctlGetInt(int(fd), which); err == nil {
			queued = n
		}
	})
	return queued
}
