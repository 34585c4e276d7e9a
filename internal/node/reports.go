package node

import (
	"net"
	"sync"
	"time"

	"whinrudder/internal/announce"
	"whinrudder/internal/clock"
)

// reporter holds the address of the announce service. A value in wake makes announceLoop send a report at once.
type reporter struct {
	mu   sync.Mutex
	addr string
	wake chan struct{}
}

func (r *reporter) currentAddr() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.addr
}

// setAddr changes the address of the announce service and triggers a report.
func (r *reporter) setAddr(addr string) {
	r.mu.Lock()
	r.addr = addr
	r.mu.Unlock()
	r.sendNow()
}

// sendNow triggers a report. It does not block.
func (r *reporter) sendNow() {
	select {
	case r.wake <- struct{}{}:
	default: // a report is already triggered and will carry the state of that moment
	}
}

// announceLoop reports to the announce service until the node ends.
func (n *Node) announceLoop() {
	var c net.Conn
	addr, lastDialError := "", ""
	for {
		if current := n.reporter.currentAddr(); c == nil || current != addr {
			if c != nil {
				c.Close()
			}
			addr = current
			dialError, err := "", error(nil)
			if c, err = net.Dial("udp", addr); err != nil {
				dialError = err.Error()
			}
			if dialError != "" && dialError != lastDialError { // each round retries; the same error is logged once
				n.log("announce", "to", addr, "code", "dial", "error", err)
			}
			lastDialError = dialError
		}
		next := clock.Now() + announce.IntervalMs
		if c != nil && !n.successorActive.Load() { // a successor reports under the same name
			c.SetWriteDeadline(clock.Time(next))
			// A write error while the service is down is ignored: the next report follows.
			c.Write(announce.Report(n.cfg.Name, n.accepting.Load()))
		}
		select {
		case <-n.done:
			return
		case <-n.reporter.wake:
		case <-time.After(time.Until(clock.Time(next))):
		}
	}
}
