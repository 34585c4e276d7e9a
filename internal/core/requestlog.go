package core

import (
	"whinrudder"
	"whinrudder/internal/counters"
)

// endReason says why a request was not served, in the log and the metrics.
type endReason string

// The reasons besides those of the decision module.
const (
	reasonPoolDown  endReason = "pool-down" // the worker pool is not up
	reasonExpired   endReason = "expired"   // its caller can't be waiting any more when it is read
	reasonOverdue   endReason = "overdue"   // it fell due while it ran, or while its start waited for the link
	reasonDoubt     endReason = "doubt"     // it fell due, and it is unknown whether its run was started
	reasonRunError  endReason = "run-error" // its run ended with an error, or was stopped
	reasonNotRun    endReason = "not-run"   // the worker pool did not start its run
	reasonStop      endReason = "stop"      // the process is about to end
	reasonSync      endReason = "late-sync" // its run ended, but the end was not durable when it fell due
	reasonOperation endReason = "operation" // the state of its kept operation; the answer says which
)

// maxRequestLines bounds the log lines about single requests in a second. Above that they are only counted.
const (
	maxRequestLines   = 200
	requestLogSpanMs  = 1000
	suppressedLogCode = "suppressed"
)

// requestLog counts the log lines about single requests.
type requestLog struct {
	spanEnds   float64
	lines      int
	suppressed int
}

// logRequest counts and logs how a request ended that was not served.
func (c *Core) logRequest(r *request, outcome Outcome) {
	if r.endReason == "" {
		r.endReason = reasonOperation
	}
	if c.endCounts != nil {
		c.endCounts.Add(string(r.endReason))
	}
	l := &c.requestLog
	if c.now >= l.spanEnds {
		if l.suppressed > 0 {
			c.logEvent("request", "code", suppressedLogCode, "lines", l.suppressed)
		}
		*l = requestLog{spanEnds: c.now + requestLogSpanMs}
	}
	if l.lines >= maxRequestLines {
		l.suppressed++
		return
	}
	l.lines++
	code := "failed"
	if outcome == Refused {
		code = "refused"
	}
	c.logEvent("request", "id", r.ID, "code", code, "reason", string(r.endReason))
}

// SetEndCounts makes the core count the requests that were not served, by reason. It must be called before the first step.
func (c *Core) SetEndCounts(counts *counters.Reasons) { c.endCounts = counts }

// refusedFor returns the reason of the module for a refusal.
func refusedFor(reason whinrudder.RefusalReason) endReason { return endReason(reason) }

// RunStats is what the node knows of its runs, beside what the worker pool last reported.
type RunStats struct {
	InProgress   int // runs that count towards what the worker pool bears
	InDoubt      int // those of them that may never have started
	QueuedStarts int // those of them whose start waits for the link
	Gauges       whinrudder.Gauges
}

// RunStats returns the present state of the runs.
func (c *Core) RunStats() RunStats {
	s := RunStats{InDoubt: c.doubtful.count(), QueuedStarts: len(c.startQueue), Gauges: c.gauges}
	if c.policy != nil {
		s.InProgress = c.policy.CurrentLoad().InProgress
	}
	return s
}
