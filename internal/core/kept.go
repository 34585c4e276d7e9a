package core

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"slices"
	"strings"

	"whinrudder"
	"whinrudder/internal/journal"
	"whinrudder/internal/ops"
)

// Inputs and outputs for operations whose results are kept. The journal driver answers Append with Appended or
// AppendFailed, in the order of the appends, and need not be fast.
type (
	// Appended reports that the first pending appends are durable, with their positions and the present segments.
	Appended struct {
		Positions []journal.Position
		Segments  []journal.Segment
	}
	// AppendFailed reports that the first N pending appends are not durable.
	AppendFailed struct {
		N        int
		Segments []journal.Segment
	}
	// CopyUnreadable reports that the first pending append is a copy of a record that is damaged.
	CopyUnreadable struct{}
	// RecordFetched delivers a record that Fetch asked for.
	RecordFetched struct {
		ID       string
		Position journal.Position
		Result   []byte
		Err      error
	}
	// SegmentDropped reports the removal of a segment; Err is nil if it succeeded.
	SegmentDropped struct {
		Segment  uint32
		Err      error
		Segments []journal.Segment
	}
	// Resolve is an operator's decision about an operation in doubt. Done must not block.
	Resolve struct {
		Key    string
		Kind   journal.Kind
		Result []byte
		By     string
		Done   func(error)
	}

	// Append appends a record to the journal. If CopyFrom is set, it copies the record at that position.
	Append struct{ ops.Write }
	// Fetch reads the record at a position.
	Fetch struct{ ops.Fetch }
	// DropSegment removes the oldest segment.
	DropSegment struct{ Segment uint32 }
)

func (Appended) input()       {}
func (AppendFailed) input()   {}
func (CopyUnreadable) input() {}
func (RecordFetched) input()  {}
func (SegmentDropped) input() {}
func (Resolve) input()        {}
func (Append) output()        {}
func (Fetch) output()         {}
func (DropSegment) output()   {}

var errMoved = errors.New("the operations belong to another process of the node")

// KeepResults makes the core keep the results of the named classes in a recovered table. If t is nil, the table
// follows with AdoptOps. It must be called before the first step. The module treats these as classes whose repeats may
// share an answer; their window is 0 because kept results take no memory of the worker pool.
func (c *Core) KeepResults(t *ops.Table, names map[int]string) {
	c.ops, c.keptClasses = t, names
	c.settings.Classes = c.moduleClasses(c.settings.Classes)
}

// moduleClasses returns the classes as the module must see them.
func (c *Core) moduleClasses(classes []whinrudder.Class) []whinrudder.Class {
	all := append([]whinrudder.Class{}, classes...)
	for i := range c.keptClasses {
		all[i].Repeat, all[i].Window = whinrudder.Keyed, 0
	}
	return all
}

// keepsResults reports whether results of the class are kept.
func (c *Core) keepsResults(class int) bool { return c.keptClasses[class] != "" }

// OpKey returns the key of an operation: the same token in two classes gives two keys.
func OpKey(class, token string) string { return class + "/" + token }

// beginOp looks up the operation of a request with a token and answers the request if it can't be run. It reports
// whether the request goes on to the module.
func (c *Core) beginOp(r *request) bool {
	if c.ops == nil {
		a := c.answerForReason(ops.ReasonMoved)
		a.RetryAfter = c.settings.MaxRetryAfter
		c.answer(r, a)
		return false
	}
	r.hasOp, r.opKey = true, OpKey(c.keptClasses[r.Class], r.Token)
	sum := sha256.Sum256(r.Body)
	v := c.ops.Begin(c.now, r.ID, r.opKey, [16]byte(sum[:16]))
	switch v.Kind {
	case ops.VerdictWaits:
		r.repeatOf = v.RepeatOf
	case ops.VerdictFails:
		c.answer(r, c.answerForReason(v.Reason))
	case ops.VerdictRefused:
		a := c.answerForReason(v.Reason)
		a.RetryAfter = c.settings.MaxRetryAfter
		c.answer(r, a)
	}
	return v.Kind == ops.VerdictFirst || v.Kind == ops.VerdictWaits
}

// answerForReason returns the answer to a request whose operation has no result to serve.
func (c *Core) answerForReason(reason ops.Reason) Answer {
	a := Answer{Outcome: Failed, Kept: reason.String()}
	switch reason {
	case ops.ReasonOtherBody:
		a.Outcome = BodyMismatch
	case ops.ReasonFull, ops.ReasonStalled, ops.ReasonNotRun, ops.ReasonMoved:
		a.Outcome = Refused
	}
	return a
}

// writeIntent holds back a run until the record that it may have started is durable.
func (c *Core) writeIntent(r *request) {
	if !c.ops.WriteIntent(c.now, r.ID) { // it repeats a request that the module no longer knows
		r.running = false
		c.addEvent(whinrudder.Ended{ID: id(r.ID), Code: whinrudder.Moot})
		c.answer(r, c.answerForReason(ops.ReasonNotRun))
		return
	}
	r.intentPending = true
}

// failRequest answers a request that can't wait any longer. A run that provably did not start is refused. The end of a
// run that ended is reported even if its record is not durable yet, because it is known to be true.
func (c *Core) failRequest(r *request, reason endReason) {
	if !r.open {
		return
	}
	if r.endReason = reason; r.inDoubt {
		r.endReason = reasonDoubt
	}
	if r.claimPending {
		c.answer(r, Answer{Outcome: Refused}) // the other process did not answer, and the request never ran
		return
	}
	if !r.hasOp {
		c.answer(r, Answer{Outcome: Failed})
		return
	}
	result, ok, ended := c.ops.UnsyncedEnd(r.ID)
	switch {
	case ended && ok && r.repeatOf != "":
		c.answer(r, Answer{Outcome: Served, Result: result, Kept: "result"})
	case ended && ok:
		c.answer(r, Answer{Outcome: Served, Result: result})
	case ended:
		c.answer(r, c.answerForReason(ops.ReasonFailed))
	case r.intentPending:
		a := c.answerForReason(ops.ReasonStalled)
		a.RetryAfter = c.settings.MaxRetryAfter
		c.answer(r, a)
	case r.queued:
		c.answer(r, c.answerForReason(ops.ReasonNotRun)) // the link is down, and its start was never sent
	case r.inDoubt:
		c.answer(r, c.answerForReason(ops.ReasonInDoubt))
	default:
		c.answer(r, Answer{Outcome: Failed})
	}
}

// finishOp passes the end of a run to its operation and reports whether the answer must wait until the end is durable.
func (c *Core) finishOp(f RunFinished) bool {
	if f.End == RunMoot {
		c.ops.RunNotStarted(c.now, f.ID)
		return false
	}
	return c.ops.Finish(c.now, f.ID, f.End == RunOK, f.Result)
}

// applyOpEffects carries out all effects of the operation table.
func (c *Core) applyOpEffects() {
	if c.ops == nil {
		return
	}
	c.ops.Tick(c.now)
	for {
		effects := c.ops.Effects()
		if len(effects) == 0 {
			return
		}
		for _, e := range effects {
			c.applyOpEffect(e)
		}
	}
}

func (c *Core) applyOpEffect(e ops.Effect) {
	switch e := e.(type) {
	case ops.Write:
		c.emit(Append{e})
	case ops.StartRun:
		c.handleIntentDurable(e.ID)
	case ops.Serve:
		a := Answer{Outcome: Served, Result: e.Result}
		if e.Replayed {
			a.Kept = "result"
		}
		c.answerOpRequest(e.ID, a, whinrudder.OK)
	case ops.Fetch:
		c.emit(Fetch{e})
	case ops.Fail:
		c.answerOpRequest(e.ID, c.answerForReason(e.Reason), whinrudder.Error)
	case ops.Refuse:
		a := c.answerForReason(e.Reason)
		if e.Reason == ops.ReasonStalled {
			a.RetryAfter = c.settings.MaxRetryAfter
		}
		c.answerOpRequest(e.ID, a, whinrudder.Moot)
	case ops.DropSegment:
		c.emit(DropSegment{e.Segment})
	case ops.LogEvent:
		c.logEvent("kept", "code", e.Code, "key", e.Key, "run", e.Run)
	}
}

// answerOpRequest answers a request of an operation. The module is notified if the request is a repeat, because it
// waits for the end of those.
func (c *Core) answerOpRequest(requestID string, a Answer, code whinrudder.Code) {
	r := c.requests[requestID]
	if r == nil || !r.open {
		return
	}
	if r.repeatOf != "" {
		c.addEvent(whinrudder.Ended{ID: id(requestID), Code: code})
	}
	c.answer(r, a)
}

// handleIntentDurable starts a run whose intent is durable.
func (c *Core) handleIntentDurable(requestID string) {
	r := c.requests[requestID]
	if r == nil || !r.intentPending {
		c.ops.Cancel(c.now, requestID)
		return
	}
	r.intentPending = false
	if !c.linkSynced {
		r.queued = true
		c.enqueueStart(r.ID)
		return
	}
	c.spawn(r)
}

// handleRecordFetched answers a request with the kept result of an earlier one. If its record has been moved
// meanwhile, it is fetched again from its new position.
func (c *Core) handleRecordFetched(f RecordFetched) {
	r := c.requests[f.ID]
	if r == nil || !r.open {
		return
	}
	if f.Err == nil {
		c.answerOpRequest(f.ID, Answer{Outcome: Served, Result: f.Result, Kept: "result"}, whinrudder.OK)
		return
	}
	if p, ok := c.ops.Position(r.opKey); ok && p != f.Position {
		c.emit(Fetch{ops.Fetch{ID: f.ID, Position: p}})
		return
	}
	c.logEvent("kept", "code", "unreadable", "key", r.opKey, "error", f.Err)
	c.answerOpRequest(f.ID, Answer{Outcome: Failed, Kept: "unreadable"}, whinrudder.Error)
}

// resolveOp applies an operator's decision about an operation in doubt.
func (c *Core) resolveOp(i Resolve) {
	if c.ops == nil {
		i.Done(errMoved)
		return
	}
	i.Done(c.ops.Resolve(c.now, i.Key, i.Kind, i.Result, i.By))
}

// Dump returns the state of all requests as text, without times, for tests that compare states.
func (c *Core) Dump() string {
	var lines []string
	for _, r := range c.requests {
		lines = append(lines, fmt.Sprint(r.ID, r.open, r.running, r.queued, r.inDoubt, r.intentPending, r.endPending, r.repeatOf))
	}
	slices.Sort(lines)
	if c.ops != nil {
		lines = append(lines, c.ops.Dump())
	}
	return fmt.Sprint(strings.Join(lines, "\n"), c.linkSynced, c.startQueue, c.draining)
}
