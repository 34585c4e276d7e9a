package node

import (
	"errors"
	"net"
	"os"
	"slices"
	"sync"
	"time"

	"whinrudder/internal/clock"
	"whinrudder/internal/core"
	"whinrudder/internal/handover"
	"whinrudder/internal/pool"
)

// Times of the collection of late results, in milliseconds.
const (
	collectForMs     = 600e3 // longer than a run takes
	collectRetryMs   = 250   // pause before the worker pool is dialed again
	unreachableMs    = 5000  // a worker pool that can't be reached for this long has ended with its process
	collectReadMs    = 250   // a read returns at least this often, to notice the end of the node
	collectDialMs    = 200
	collectWriteMs   = 500
	collectBufferLen = 8 << 10
)

// lateResults reads the results of kept operations whose runs outlive the process that started them: that process reports its
// links to worker pools, and its successor reads their notices once it has the journal and that process has ended. Nothing is
// started over these links.
type lateResults struct {
	node *Node

	mu               sync.Mutex // guards the fields below
	reported         []handover.PoolLink
	doubts           bool // the journal is open here and has operations in doubt
	predecessorEnded bool
	collecting       []handover.PoolLink
}

// report notes the predecessor's links.
func (r *lateResults) report(links []handover.PoolLink) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reported = links
}

// journalOpened notes that this process has the journal now.
func (r *lateResults) journalOpened(inDoubt int) {
	r.mu.Lock()
	r.doubts = inDoubt > 0
	r.mu.Unlock()
	r.start()
}

// endOfPredecessor notes that the predecessor has ended.
func (r *lateResults) endOfPredecessor() {
	r.mu.Lock()
	r.predecessorEnded = true
	r.mu.Unlock()
	r.start()
}

// start reads the reported links once there is something to learn from them.
func (r *lateResults) start() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.doubts || !r.predecessorEnded {
		return
	}
	for _, l := range r.reported {
		r.collecting = append(r.collecting, l)
		go r.collect(l)
	}
	r.reported = nil
}

// links returns the links that this process reads, or would read, for processes before it.
func (r *lateResults) links() []handover.PoolLink {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append(slices.Clone(r.collecting), r.reported...)
}

// update notes how far a link was read, or that it is read no more.
func (r *lateResults) update(addr string, serial uint64, ended bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.collecting {
		if r.collecting[i].Addr == addr {
			r.collecting[i].Serial = serial
		}
	}
	if ended {
		r.collecting = slices.DeleteFunc(r.collecting, func(l handover.PoolLink) bool { return l.Addr == addr })
	}
}

// collect reads one link until its time is over or the worker pool has ended.
func (r *lateResults) collect(l handover.PoolLink) {
	n, link := r.node, pool.NewCollector(l.Serial)
	n.log("late-results", "pool", l.Addr, "code", "reading", "after", l.Serial)
	code, reachedAt := "over", clock.Now()
	for until := clock.Now() + collectForMs; clock.Now() < until && !n.hasEnded(); {
		c, err := net.DialTimeout("tcp", l.Addr, collectDialMs*time.Millisecond)
		if err != nil && clock.Now() > reachedAt+unreachableMs {
			code = "unreachable"
			break
		}
		if err == nil {
			r.read(c, link, l.Addr, until)
			c.Close()
			reachedAt = clock.Now()
		}
		time.Sleep(collectRetryMs * time.Millisecond)
	}
	r.update(l.Addr, link.Serial(), true)
	n.log("late-results", "pool", l.Addr, "code", code, "serial", link.Serial())
}

// read passes the ends of runs that a connection reports to the core, until it ends.
func (r *lateResults) read(c net.Conn, link *pool.Link, addr string, until float64) {
	out, buf := link.StartConnection(), make([]byte, collectBufferLen)
	for clock.Now() < until && !r.node.hasEnded() {
		c.SetWriteDeadline(clock.Time(clock.Now() + collectWriteMs))
		if _, err := c.Write(out); err != nil {
			return
		}
		c.SetReadDeadline(clock.Time(clock.Now() + collectReadMs))
		read, err := c.Read(buf)
		inputs, reply, feedErr := link.Feed(buf[:read])
		for _, i := range inputs {
			if f, ok := i.(core.RunFinished); ok {
				r.node.submit(f)
			}
		}
		r.update(addr, link.Serial(), false)
		if feedErr != nil && !link.Bound() || err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		out = reply
	}
}
