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

// Inputs and outputs about operations whose results are kept. What stores them answers Append by Appended or AppendFailed, in
// the order of the appends, and need not be fast.
type (
	// Appended tells that the first records that were to be appended last, where they stand, and what segments there are.
	Appended struct {
		Positions []journal.Position
		Segments  []journal.Segment
	}
	// AppendFailed tells that the first so many do not.
	AppendFailed struct {
		N        int
		Segments []journal.Segment
	}
	// CopyUnreadable tells that the first one was to be copied from a record that is damaged.
	CopyUnreadable struct{}
	// RecordFetched brings a record that was asked for.
	RecordFetched struct {
		ID       string
		Position journal.Position
		Result   []byte
		Err      error
	}
	// SegmentDropped tells whether a segment was removed.
	SegmentDropped struct {
		Segment  uint32
		Err      error
		Segments []journal.Segment
	}
	// Resolve is an operator's word on an operation in doubt. Done must not block.
	Resolve struct {
		Key    string
		Kind   journal.Kind
		Result []byte
		By     string
		Done   func(error)
	}

	// Append is a record to be appended; if CopyFrom is given, it is the one that stands there.
	Append struct{ ops.Write }
	// Fetch asks for the record of a place.
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

var errMoved = errors.New("another process of the node has the operations")

// KeepResults lets the core keep the results of some classes, by their names, in a table that has been recovered; nil: it comes later, by
// AdoptOps. It must be called before the first step. To the module these are classes whose repeats may share an answer; the window is 0, as what is kept takes
// none of the worker pool's memory.
func (c *Core) KeepResults(t *ops.Table, names map[int]string) {
	c.ops, c.kept = t, names
	c.settings.Classes = c.keyed(c.settings.Classes)
}

// keyed returns classes as the module is to see them.
func (c *Core) keyed(classes []whinrudder.Class) []whinrudder.Class {
	all := append([]whinrudder.Class{}, classes...)
	for i := range c.kept {
		all[i].Repeat, all[i].Window = whinrudder.Keyed, 0
	}
	return all
}

func (c *Core) keeps(class int) bool { return c.kept[class] != "" }

// OpKey is the key of an operation: tokens of two classes are apart.
func OpKey(class, token string) string { return class + "/" + token }

// begin takes a request with a token. It returns whether it goes on to the module.
func (c *Core) begin(r *request) bool {
	if c.ops == nil {
		a := c.unserved(ops.ReasonMoved)
		a.RetryAfter = c.settings.MaxRetryAfter
		c.answer(r, a)
		return false
	}
	r.op, r.key = true, OpKey(c.kept[r.Class], r.Token)
	sum := sha256.Sum256(r.Body)
	v := c.ops.Begin(c.now, r.ID, r.key, [16]byte(sum[:16]))
	switch v.Kind {
	case ops.VerdictWaits:
		r.of = v.RepeatOf
	case ops.VerdictFails:
		c.answer(r, c.unserved(v.Reason))
	case ops.VerdictRefused:
		a := c.unserved(v.Reason)
		a.RetryAfter = c.settings.MaxRetryAfter
		c.answer(r, a)
	}
	return v.Kind == ops.VerdictFirst || v.Kind == ops.VerdictWaits
}

// unserved is the answer to a request whose operation gives none.
func (c *Core) unserved(why ops.Reason) Answer {
	a := Answer{Outcome: Failed, Kept: why.String()}
	switch why {
	case ops.ReasonOtherBody:
		a.Outcome = BodyMismatch
	case ops.ReasonFull, ops.ReasonStalled, ops.ReasonNotRun, ops.ReasonMoved:
		a.Outcome = Refused
	}
	return a
}

// intend holds back a run until it lasts that it may have been started.
func (c *Core) intend(r *request) {
	if !c.ops.WriteIntent(c.now, r.ID) { // it repeats another, which the module no longer knew
		r.running = false
		c.event(whinrudder.Ended{ID: id(r.ID), Code: whinrudder.Moot})
		c.answer(r, c.unserved(ops.ReasonNotRun))
		return
	}
	r.writing = true
}

// fail ends a request without a result. What provably was not started is refused, and an end that came is told though
// it may not last yet: it is true.
func (c *Core) fail(r *request) {
	if !r.open {
		return
	}
	if !r.op {
		c.answer(r, Answer{Outcome: Failed})
		return
	}
	result, ok, ended := c.ops.UnsyncedEnd(r.ID)
	switch {
	case ended && ok && r.of != "":
		c.answer(r, Answer{Outcome: Served, Result: result, Kept: "result"})
	case ended && ok:
		c.answer(r, Answer{Outcome: Served, Result: result})
	case ended:
		c.answer(r, c.unserved(ops.ReasonFailed))
	case r.writing:
		a := c.unserved(ops.ReasonStalled)
		a.RetryAfter = c.settings.MaxRetryAfter
		c.answer(r, a)
	case r.queued:
		c.answer(r, c.unserved(ops.ReasonNotRun)) // the link is down, and its start never left
	case r.doubt:
		c.answer(r, c.unserved(ops.ReasonInDoubt))
	default:
		c.answer(r, Answer{Outcome: Failed})
	}
}

// opEnded takes the end of a run to its operation, and tells whether its requests are answered once that lasts.
func (c *Core) opEnded(f RunFinished) bool {
	if f.End == RunMoot {
		c.ops.RunNotStarted(c.now, f.ID)
		return false
	}
	return c.ops.Finish(c.now, f.ID, f.End == RunOK, f.Result)
}

// effects carries out what the operations want.
func (c *Core) effects() {
	if c.ops == nil {
		return
	}
	c.ops.Tick(c.now)
	for {
		all := c.ops.Effects()
		if len(all) == 0 {
			return
		}
		for _, e := range all {
			c.effect(e)
		}
	}
}

func (c *Core) effect(e ops.Effect) {
	switch e := e.(type) {
	case ops.Write:
		c.do(Append{e})
	case ops.StartRun:
		c.begun(e.ID)
	case ops.Serve:
		a := Answer{Outcome: Served, Result: e.Result}
		if e.Replayed {
			a.Kept = "result"
		}
		c.settle(e.ID, a, whinrudder.OK)
	case ops.Fetch:
		c.do(Fetch{e})
	case ops.Fail:
		c.settle(e.ID, c.unserved(e.Reason), whinrudder.Error)
	case ops.Refuse:
		a := c.unserved(e.Reason)
		if e.Reason == ops.ReasonStalled {
			a.RetryAfter = c.settings.MaxRetryAfter
		}
		c.settle(e.ID, a, whinrudder.Moot)
	case ops.DropSegment:
		c.do(DropSegment{e.Segment})
	case ops.LogEvent:
		c.log("kept", "code", e.Code, "key", e.Key, "run", e.Run)
	}
}

// settle answers a request of an operation, and tells the module if it waits for that.
func (c *Core) settle(s string, a Answer, code whinrudder.Code) {
	r := c.reqs[s]
	if r == nil || !r.open {
		return
	}
	if r.of != "" {
		c.event(whinrudder.Ended{ID: id(s), Code: code})
	}
	c.answer(r, a)
}

// begun hands a run over whose intent lasts.
func (c *Core) begun(s string) {
	r := c.reqs[s]
	if r == nil || !r.writing {
		c.ops.Cancel(c.now, s)
		return
	}
	r.writing = false
	if !c.linked {
		r.queued = true
		c.enqueue(r.ID)
		return
	}
	c.spawn(r)
}

// fetched serves a request with the result of an earlier one. Its record may have been moved meanwhile.
func (c *Core) fetched(f RecordFetched) {
	r := c.reqs[f.ID]
	if r == nil || !r.open {
		return
	}
	if f.Err == nil {
		c.settle(f.ID, Answer{Outcome: Served, Result: f.Result, Kept: "result"}, whinrudder.OK)
		return
	}
	if p, ok := c.ops.Position(r.key); ok && p != f.Position {
		c.do(Fetch{ops.Fetch{ID: f.ID, Position: p}})
		return
	}
	c.log("kept", "code", "unreadable", "key", r.key, "error", f.Err)
	c.settle(f.ID, Answer{Outcome: Failed, Kept: "unreadable"}, whinrudder.Error)
}

// resolve takes an operator's word.
func (c *Core) resolve(i Resolve) {
	if c.ops == nil {
		i.Done(errMoved)
		return
	}
	i.Done(c.ops.Resolve(c.now, i.Key, i.Kind, i.Result, i.By))
}

// Dump is the state of what is in hand as text, without times, for tests that compare states.
func (c *Core) Dump() string {
	var lines []string
	for _, r := range c.reqs {
		lines = append(lines, fmt.Sprint(r.ID, r.open, r.running, r.queued, r.doubt, r.writing, r.ending, r.of))
	}
	slices.Sort(lines)
	if c.ops != nil {
		lines = append(lines, c.ops.Dump())
	}
	return fmt.Sprint(strings.Join(lines, "\n"), c.linked, c.queue, c.leaving)
}
