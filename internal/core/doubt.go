package core

import (
	"cmp"
	"slices"

	"whinrudder"
	"whinrudder/internal/queue"
)

// A run is in doubt if a link broke that may have lost its start. The worker pool may have it in progress, so the decision
// module counts it towards what the pool bears until one of these proves, or makes it certain enough, that it is over:
//
//   - a notice of its end, or the answer that it was not started;
//   - for a read that was stopped: two readings of the gauges, which the pool sends after it has read the stop;
//   - its age: no run is waited for longer than the deadline of its class.
type doubtfulRun struct {
	request  *request
	readings int // readings of the gauges that are still needed after a stop; 0: no stop was sent
	entry    queue.HeapEntry[*doubtfulRun]
}

// doubtfulRuns holds the runs in doubt. Their number is bounded by what the decision module lets run.
type doubtfulRuns struct {
	byID   map[string]*doubtfulRun
	expiry queue.Heap[*doubtfulRun] // by the time at which they are taken to be over
}

// readingsAfterStop is how many readings of the gauges prove that a stop was read: the first may be the answer to a poll
// that was queued before the stop.
const readingsAfterStop = 2

// count returns the number of runs in doubt.
func (d *doubtfulRuns) count() int { return len(d.byID) }

// add adds a run that is taken to be over at a time.
func (d *doubtfulRuns) add(r *request, stopped bool, expiresAt float64) {
	if d.byID == nil {
		d.byID = map[string]*doubtfulRun{}
	}
	run := &doubtfulRun{request: r}
	if stopped {
		run.readings = readingsAfterStop
	}
	run.entry.Value = run
	d.byID[r.ID] = run
	d.expiry.Set(&run.entry, expiresAt)
}

// remove removes a run, if it is in doubt.
func (d *doubtfulRuns) remove(id string) {
	if run := d.byID[id]; run != nil {
		d.expiry.Remove(&run.entry)
		delete(d.byID, id)
	}
}

// gaugesRead notes a reading of the gauges and returns the requests whose runs are over by it.
func (d *doubtfulRuns) gaugesRead() (over []*request) {
	for _, run := range d.byID {
		if run.readings == 0 {
			continue
		}
		if run.readings--; run.readings == 0 {
			over = append(over, run.request)
		}
	}
	slices.SortFunc(over, func(a, b *request) int { return cmp.Compare(a.ID, b.ID) })
	return over
}

// expired returns the request of a run that is taken to be over by its age, or nil.
func (d *doubtfulRuns) expired(now float64) *request {
	if run, ok := d.expiry.Pop(now); ok {
		return run.request
	}
	return nil
}

// putInDoubt notes that it is unknown whether a run is in progress. stopped says that a command to stop it is on its way.
func (c *Core) putInDoubt(r *request, stopped bool) {
	r.inDoubt = true
	c.doubtful.add(r, stopped, c.now+c.settings.Classes[r.Class].Deadline)
	c.addEvent(whinrudder.Uncertain{ID: id(r.ID)})
}

// endDoubt takes a run in doubt to be over without a notice of its end. Its caller goes on waiting for one until it is due.
func (c *Core) endDoubt(r *request, end whinrudder.Code, logCode string) {
	c.doubtful.remove(r.ID)
	c.logEvent("run", "id", r.ID, "code", logCode)
	c.addEvent(whinrudder.Ended{ID: id(r.ID), Code: end})
	r.presumedOver = true
	c.forgetIfDone(r)
}

// readGauges ends the doubts that a reading of the gauges settles.
func (c *Core) readGauges() {
	for _, r := range c.doubtful.gaugesRead() {
		c.endDoubt(r, whinrudder.Cancelled, "doubt-stopped")
	}
}

// expireDoubts takes the runs to be over whose doubt has reached its age.
func (c *Core) expireDoubts() {
	for r := c.doubtful.expired(c.now); r != nil; r = c.doubtful.expired(c.now) {
		c.endDoubt(r, whinrudder.Presumed, "doubt-expired")
	}
}
