package core

import (
	"slices"

	"whinrudder"
)

// handleLinkSynced restarts the runs in doubt that may be repeated, once all notices of a broken link are read, and
// then starts the queued runs. A write whose start the broken link may have lost may also be running or have run
// unseen, even if it ended after the fence: it is not started again, and it is failed shortly before its due time
// unless a notice of its end comes. A read that nobody waits for is stopped.
func (c *Core) handleLinkSynced(inDoubt []string) {
	c.logEvent("link", "code", "synced", "in_doubt", len(inDoubt), "queued", len(c.startQueue))
	for _, runID := range inDoubt {
		r := c.requests[runID]
		if r == nil || !r.running || r.inDoubt {
			continue
		}
		if r.open && c.settings.Classes[r.Class].Repeat == whinrudder.Safe {
			c.logEvent("run", "id", runID, "code", "restarted")
			r.restarted = true
			c.spawn(r)
			continue
		}
		if r.hasOp && !r.open {
			c.ops.MarkInDoubt(c.now, r.ID)
		}
		caller := "gone"
		if r.open {
			caller = "waiting"
		}
		c.logEvent("run", "id", runID, "code", "doubt", "caller", caller)
		stopped := !r.open && c.settings.Classes[r.Class].Repeat == whinrudder.Safe
		if stopped {
			c.emit(Suspend{r.ID}) // no caller waits for it
		}
		if r.open {
			c.answerDeadlines.Set(&r.deadline, r.Due-returnMarginMs)
		}
		c.putInDoubt(r, stopped)
	}
	for _, runID := range c.startQueue {
		if r := c.requests[runID]; r != nil && r.queued {
			r.queued = false
			c.spawn(r)
		}
	}
	c.startQueue = c.startQueue[:0]
}

// startsNotShown returns how many of the runs that the module counts a reading of the gauges can't show, because their start
// was sent after the poll or has not been sent.
func (c *Core) startsNotShown() int {
	n := c.startsSincePoll
	for _, r := range c.requests {
		if r.running && (r.queued || r.intentPending) {
			n++
		}
	}
	return n
}

// startQueueTrimMin is the length in runs from which the start queue is searched for runs that are no longer queued.
const startQueueTrimMin = 64

// enqueueStart holds the start of a run until the link is synchronized. While the link is down, new starts keep
// coming and old ones fall due, so the queue is trimmed to stay within twice the number of requests in the table.
func (c *Core) enqueueStart(id string) {
	if len(c.startQueue) >= max(startQueueTrimMin, 2*len(c.requests)) {
		c.startQueue = slices.DeleteFunc(c.startQueue, func(s string) bool { r := c.requests[s]; return r == nil || !r.queued })
	}
	c.startQueue = append(c.startQueue, id)
}

// stopSecondRun stops the run that a start sent again may have begun after the first run had ended. Nobody waits for it,
// and the module does not know of it.
func (c *Core) stopSecondRun(r *request) {
	if r.restarted && c.settings.Halt != whinrudder.StopNone {
		c.emit(Suspend{r.ID})
	}
}

// handleRunFinished ends a run and answers its request, or has the answer wait until the end is durable.
func (c *Core) handleRunFinished(f RunFinished) {
	r := c.requests[f.ID]
	awaitsEnd := c.ops != nil && c.finishOp(f) // a run that a previous process started may have an operation, too
	if r == nil || !r.running {
		return // a run of a previous process, or a repeated notice
	}
	if r.inDoubt {
		c.doubtful.remove(r.ID)
		c.logEvent("run", "id", r.ID, "code", "resolved", "ok", f.End == RunOK)
	}
	r.running, r.maybeRan = false, f.End != RunMoot
	c.stopSecondRun(r)
	c.addEvent(whinrudder.Ended{ID: id(r.ID), Code: endCodes[f.End], Latency: f.Latency})
	c.keys.runEnded(r.ID, f.End == RunOK, f.Result, c.now, c.settings.Fresh, c.answerRepeat)
	if awaitsEnd && r.open {
		r.endPending = true
		c.answerDeadlines.Set(&r.deadline, r.Due-returnMarginMs)
	} else if f.End == RunOK {
		c.answer(r, Answer{Outcome: Served, Result: f.Result})
	} else if f.End == RunMoot {
		c.failRequest(r, reasonNotRun)
	} else {
		c.failRequest(r, reasonRunError) // no result will come
	}
	c.forgetIfDone(r)
}
