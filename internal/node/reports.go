package node

import (
	"net"
	"sync"
	"time"

	"whinrudder/internal/announce"
)

// reporter holds where the reports go. A quick word that something has changed sends one at once.
type reporter struct {
	mu   sync.Mutex
	addr string
	wake chan struct{}
}

func (r *reporter) to() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.addr
}

// move makes the reports go to another address, the first one at once.
func (r *reporter) move(addr string) {
	r.mu.Lock()
	r.addr = addr
	r.mu.Unlock()
	r.now()
}

// now sends a report at once. It does not wait.
func (r *reporter) now() {
	select {
	case r.wake <- struct{}{}:
	default: // one is on its way, and will tell what holds then
	}
}

// announce reports to the announce service until the node ends.
func (n *Node) announce() {
	var c net.Conn
	addr, refused := "", ""
	for {
		if to := n.reports.to(); c == nil || to != addr {
			if c != nil {
				c.Close()
			}
			addr = to
			why, err := "", error(nil)
			if c, err = net.Dial("udp", addr); err != nil {
				why = err.Error()
			}
			if why != "" && why != refused { // the next round tries again, and leaves no line for the same reason
				n.log("announce", "to", addr, "code", "dial", "error", err)
			}
			refused = why
		}
		next := now() + announce.IntervalMs
		if c != nil && !n.moving.Load() { // a successor reports under the same name
			c.SetWriteDeadline(at(next))
			// A report that is refused while the service is down is of no account: the next one follows.
			c.Write(announce.Report(n.cfg.Name, n.taking.Load()))
		}
		select {
		case <-n.over:
			return
		case <-n.reports.wake:
		case <-time.After(time.Until(at(next))):
		}
	}
}
