// Package ops keeps the operations of requests that carry a key of their own, so that one that may have run is never run
// again, across crashes too. Table is a state machine without I/O and without a clock: it is told what happens, and says
// what is to be written, started and answered. An operation goes
//
//	Held -> Writing -> Running -> Ending -> Done
//
// and is forgotten when it provably did not run. One that may have run and whose end nobody can tell is InDoubt: word of
// the worker pool or of an operator ends that, nothing else.
//
// All times are Unix milliseconds.
package ops

import (
	"bytes"
	"fmt"
	"slices"

	"whinrudder/internal/journal"
	"whinrudder/internal/queue"
)

// State is how far an operation has come.
type State uint8

// The states.
const (
	Held    State = iota // a request leads it, and nothing was promised
	Writing              // its intent is on the way to the disk
	Running              // its intent lasts: it was started, or will be
	Ending               // it ended, and word of that is on the way to the disk
	Done                 // its end lasts
	InDoubt              // it may have run
)

func (s State) String() string {
	return [...]string{"held", "writing", "running", "ending", "done", "in-doubt"}[s]
}

// Limits of a table.
type Limits struct {
	Keys         int     // operations at a time
	DiskBytes    int64   // of all segments; beyond, no new operation is taken
	SegmentBytes int64   // of one
	AgeMs        float64 // an end is kept for so long
	DoubtMs      float64 // and a doubt
}

// Times in milliseconds, and budgets.
const (
	stallFor  = 300  // a write that takes longer lets new operations be refused
	startFor  = 1000 // an intent that does not last by then is taken back
	copyEvery = 20   // the oldest segment is moved this often
	copyMost  = 32   // and so many records at a time
	dropAgain = 1000 // a segment that could not be removed is tried again after so long
	segsMost  = 64   // more segments are moved together, whatever they hold
	maxResult = 8 << 10
	maxBy     = 64
	waitLeast = 64 // a line of so many that wait is looked through for those that left before it grows
)

// Reason is why an operation's request is not served.
type Reason uint8

// The reasons.
const (
	ReasonFailed    Reason = iota // the operation ended without a result
	ReasonInDoubt                 // it may have run
	ReasonOtherBody               // the key was used with another body
	ReasonFull                    // no more operations are taken
	ReasonStalled                 // the disk does not take what must last
	ReasonNotRun                  // the request that it waited for was not run
	ReasonMoved                   // another process of the node is to have the operations
)

func (w Reason) String() string {
	return [...]string{"failed", "in-doubt", "other-body", "full", "stalled", "not-run", "moved"}[w]
}

// An Effect is something that must be done, in order.
type Effect interface{ effect() }

type (
	// Write appends a record to the journal. The answers WritesDurable and WritesFailed come in the order of the writes. If CopyFrom is
	// given, the record is the one that stands there.
	Write struct {
		Record   journal.Record
		CopyFrom journal.Position
	}
	// StartRun hands a run to the worker pool.
	StartRun struct{ ID string }
	// Serve answers a request with a result.
	Serve struct {
		ID       string
		Result   []byte
		Replayed bool // it is that of an earlier request
	}
	// Fetch serves a request with the result of a record.
	Fetch struct {
		ID       string
		Position journal.Position
	}
	// Fail answers a request that may have run.
	Fail struct {
		ID     string
		Reason Reason
	}
	// Refuse answers a request that provably was not run.
	Refuse struct {
		ID     string
		Reason Reason
	}
	// DropSegment removes the oldest segment.
	DropSegment struct{ Segment uint32 }
	// LogEvent is for the log.
	LogEvent struct{ Code, Key, Run string }
)

func (Write) effect()       {}
func (StartRun) effect()    {}
func (Serve) effect()       {}
func (Fetch) effect()       {}
func (Fail) effect()        {}
func (Refuse) effect()      {}
func (DropSegment) effect() {}
func (LogEvent) effect()    {}

// op is one operation.
type op struct {
	key    string
	digest [digestSize]byte
	run    string // id of the request that is run for it
	state  State
	end    journal.Kind // of Ending and Done
	led    bool         // the request of that id is owed an answer
	gone   bool         // it is in the table no more
	at     float64      // of the last change of its state

	waiting []string // requests that repeat it, in order
	result  []byte   // until it lasts
	by      string

	age        queue.HeapEntry[*op] // of those that are aged out
	place      journal.Position     // of the record that counts; no segment: none
	prev, next *op                  // in its segment
}

const digestSize = 16

// write is a record on its way.
type write struct {
	op    *op
	rec   journal.Record
	from  journal.Position // of a copy
	since float64
}

// segment is what is known of a segment that holds records that count.
type segment struct {
	n     int
	bytes int64
	first *op
}

// Table holds all operations of a node. It is used from one goroutine.
type Table struct {
	limits Limits
	ops    map[string]*op
	runs   map[string]*op // by the id that they are run under
	waits  map[string]*op // by the ids of requests that wait
	ages   queue.Heap[*op]
	doubts int
	ends   int  // operations that are done
	closed bool // no new ones are taken

	pending []*write // in order
	failing bool     // the last write did not last
	writing []*op    // in order of their intents; some have gone on

	segs     []journal.Segment
	live     map[uint32]*segment
	liveSum  int64
	disk     int64
	copyAt   float64
	dropping uint32
	dropAt   float64

	out []Effect
}

// New returns an empty table.
func New(l Limits) *Table {
	return &Table{limits: l, ops: map[string]*op{}, runs: map[string]*op{}, waits: map[string]*op{}, live: map[uint32]*segment{}}
}

func (t *Table) do(e Effect) { t.out = append(t.out, e) }

// Effects returns what is to be done since the last call.
func (t *Table) Effects() []Effect {
	out := t.out
	t.out = nil
	return out
}

// Verdict is what becomes of a request that has a key.
type Verdict struct {
	Kind     VerdictKind
	RepeatOf string // VerdictWaits: the id of the request that it repeats
	Reason   Reason // VerdictFails, VerdictRefused
}

// VerdictKind is the kind of a verdict.
type VerdictKind uint8

// The kinds of verdicts.
const (
	VerdictFirst   VerdictKind = iota // it is the first: it is for the module to say whether it runs
	VerdictWaits                      // it repeats one in hand
	VerdictServed                     // there is a result: an effect tells which
	VerdictFails                      // it can't be run, and may have been
	VerdictRefused                    // it is not run
)

// Begin takes a request of a key. The digest tells bodies apart.
func (t *Table) Begin(now float64, id, key string, digest [digestSize]byte) Verdict {
	t.expire(now)
	o := t.ops[key]
	switch {
	case o == nil && t.closed:
		return Verdict{Kind: VerdictRefused, Reason: ReasonMoved}
	case o == nil && (len(t.ops) >= t.limits.Keys || t.disk >= t.limits.DiskBytes):
		return Verdict{Kind: VerdictRefused, Reason: ReasonFull}
	case o == nil && t.Stalled(now):
		return Verdict{Kind: VerdictRefused, Reason: ReasonStalled}
	case o == nil && t.runs[id] != nil:
		return Verdict{Kind: VerdictFails, Reason: ReasonOtherBody} // the id is that of a run for another key
	case o == nil:
		o = &op{key: key, digest: digest, run: id, led: true, at: now}
		o.age.Value = o
		t.ops[key], t.runs[id] = o, o
		return Verdict{Kind: VerdictFirst}
	case o.digest != digest:
		t.do(LogEvent{"other-body", key, id})
		return Verdict{Kind: VerdictFails, Reason: ReasonOtherBody}
	case o.state == InDoubt:
		t.do(LogEvent{"in-doubt", key, o.run})
		return Verdict{Kind: VerdictFails, Reason: ReasonInDoubt}
	case o.state == Done && o.end == journal.Failed:
		return Verdict{Kind: VerdictFails, Reason: ReasonFailed}
	case o.state == Done:
		t.do(Fetch{id, o.place})
		return Verdict{Kind: VerdictServed}
	}
	return Verdict{Kind: VerdictWaits, RepeatOf: o.run}
}

// Position returns where the result of a key stands now, for a fetch that crossed a move.
func (t *Table) Position(key string) (journal.Position, bool) {
	o := t.ops[key]
	if o == nil || o.state != Done || o.end != journal.Finished {
		return journal.Position{}, false
	}
	return o.place, true
}

// Wait lets a request wait for the end of the operation that it repeats, which may have come by now.
func (t *Table) Wait(now float64, id, key string) {
	o := t.ops[key]
	switch {
	case o == nil:
		t.do(Refuse{id, ReasonNotRun}) // it was given up meanwhile
	case o.state == InDoubt:
		t.do(Fail{id, ReasonInDoubt})
	case o.state == Done && o.end == journal.Failed:
		t.do(Fail{id, ReasonFailed})
	case o.state == Done:
		t.do(Fetch{id, o.place})
	default:
		if n := len(o.waiting); n >= waitLeast && n == cap(o.waiting) {
			o.waiting = slices.DeleteFunc(o.waiting, func(id string) bool { return t.waits[id] != o })
		}
		o.waiting = append(o.waiting, id)
		t.waits[id] = o
	}
}

// WriteIntent takes the module's word that a request is to be run. StartRun comes once that lasts.
func (t *Table) WriteIntent(now float64, id string) bool {
	o := t.runs[id]
	if o == nil || o.state != Held || !o.led {
		return false
	}
	t.turn(o, Writing, now)
	t.write(now, o, journal.Record{Kind: journal.Intended, Key: o.key, Digest: o.digest[:], Run: id, At: now})
	t.writing = append(t.writing, o)
	return true
}

// Detach tells that a request is answered, or that its caller is gone. What was not started for it, is not.
func (t *Table) Detach(now float64, id string) {
	if o := t.waits[id]; o != nil {
		delete(t.waits, id)
		return // it stays in the line, unanswered
	}
	o := t.runs[id]
	if o == nil || !o.led {
		return
	}
	o.led = false
	if o.state == Held || o.state == Writing {
		t.undo(now, o, o.state == Writing)
	}
}

// Cancel takes back a request that was to be started and was not handed over: it provably did not run.
func (t *Table) Cancel(now float64, id string) {
	if o := t.runs[id]; o != nil && (o.state == Writing || o.state == Running) {
		t.undo(now, o, true)
	}
}

// RunNotStarted tells that the worker pool did not start a run.
func (t *Table) RunNotStarted(now float64, run string) {
	if o := t.runs[run]; o != nil && (o.state == Running || o.state == InDoubt) {
		t.undo(now, o, true)
	}
}

// undo forgets an operation that provably did not run. If its intent was written, that is taken back on the disk, too.
func (t *Table) undo(now float64, o *op, written bool) {
	if written {
		t.write(now, nil, journal.Record{Kind: journal.NotRun, Key: o.key, Run: o.run, At: now, ResolvedBy: o.by})
	}
	t.forget(o)
	t.release(o, func(id string) Effect { return Refuse{id, ReasonNotRun} })
}

// Finish tells that a run is over. It returns false if it is none of ours that was running or in doubt.
func (t *Table) Finish(now float64, run string, ok bool, result []byte) bool {
	o := t.runs[run]
	if o == nil || o.state != Running && o.state != InDoubt {
		return false
	}
	if o.state == InDoubt {
		t.do(LogEvent{"resolved", o.key, run})
	}
	o.end, o.result = journal.Failed, nil
	if ok {
		o.end, o.result = journal.Finished, bytes.Clone(result)
	}
	if len(result) > maxResult {
		t.do(LogEvent{"long-result", o.key, run})
		o.end = journal.Failed // it is told once, and can't be kept
	}
	t.turn(o, Ending, now)
	t.writeEnd(now, o)
	return true
}

func (t *Table) writeEnd(now float64, o *op) {
	t.write(now, o, journal.Record{Kind: o.end, Key: o.key, Digest: o.digest[:], Run: o.run, At: o.at, Result: o.result, ResolvedBy: o.by})
}

// MarkInDoubt tells that nothing more will be heard of a run in its time.
func (t *Table) MarkInDoubt(now float64, run string) {
	if o := t.runs[run]; o != nil && o.state == Running {
		t.turn(o, InDoubt, now)
		t.do(LogEvent{"doubt", o.key, run})
		t.release(o, func(id string) Effect { return Fail{id, ReasonInDoubt} })
	}
}

// UnsyncedEnd returns the end of an operation that is not sure to last yet, for a request that can't wait for that.
func (t *Table) UnsyncedEnd(id string) (result []byte, ok, ended bool) {
	o := t.waits[id]
	if o == nil {
		o = t.runs[id]
	}
	if o == nil || o.state != Ending {
		return nil, false, false
	}
	return o.result, o.end == journal.Finished, true
}

// Resolve takes an operator's word on an operation in doubt.
func (t *Table) Resolve(now float64, key string, kind journal.Kind, result []byte, by string) error {
	o := t.ops[key]
	switch {
	case o == nil:
		return fmt.Errorf("%q is not kept", key)
	case o.state != InDoubt:
		return fmt.Errorf("%q is %v: only what is in doubt can be resolved", key, o.state)
	case len(by) > maxBy:
		return fmt.Errorf("a name of %d characters, %d at most", len(by), maxBy)
	case kind == journal.Finished && len(result) > maxResult:
		return fmt.Errorf("a result of %d bytes, %d at most", len(result), maxResult)
	}
	o.by = by
	t.do(LogEvent{"resolved-by", key, by})
	if kind == journal.NotRun {
		t.undo(now, o, true)
		return nil
	}
	o.end, o.result = kind, result
	t.turn(o, Ending, now)
	t.writeEnd(now, o)
	return nil
}

// release answers all that wait for an operation.
func (t *Table) release(o *op, with func(id string) Effect) {
	for _, id := range o.waiting {
		if t.waits[id] == o {
			delete(t.waits, id)
			t.do(with(id))
		}
	}
	o.waiting = nil
}

// turn brings an operation to a state.
func (t *Table) turn(o *op, s State, now float64) {
	t.uncount(o)
	t.ages.Remove(&o.age)
	switch s {
	case Done:
		t.ends++
		t.ages.Set(&o.age, o.at+t.limits.AgeMs)
	case InDoubt:
		t.doubts++
		t.ages.Set(&o.age, o.at+t.limits.DoubtMs)
	default:
		o.at = now
	}
	o.state = s
}

// forget takes an operation out of the table.
func (t *Table) forget(o *op) {
	t.uncount(o)
	t.ages.Remove(&o.age)
	t.unplace(o)
	o.gone = true
	if t.ops[o.key] == o {
		delete(t.ops, o.key)
	}
	if t.runs[o.run] == o {
		delete(t.runs, o.run)
	}
}

// uncount takes an operation out of those of its state.
func (t *Table) uncount(o *op) {
	switch o.state {
	case InDoubt:
		t.doubts--
	case Done:
		t.ends--
	}
}

// SetClosed lets the table take no new operations, or take them again. Those in hand go on, and their repeats wait for them.
func (t *Table) SetClosed(on bool) { t.closed = on }

// Idle tells that nothing is in hand: every operation is done or in doubt, and all that was to be written lasts.
func (t *Table) Idle() bool {
	return len(t.ops) == t.ends+t.doubts && len(t.pending) == 0 && len(t.waits) == 0 && t.dropping == 0
}

// expire forgets what is old enough.
func (t *Table) expire(now float64) {
	for o, ok := t.ages.Pop(now); ok; o, ok = t.ages.Pop(now) {
		if o.state == InDoubt {
			t.do(LogEvent{"doubt-aged-out", o.key, o.run})
		}
		t.forget(o)
	}
}

// Stalled tells that the disk does not take what must last in time.
func (t *Table) Stalled(now float64) bool {
	return t.failing || len(t.pending) > 0 && now-t.pending[0].since > stallFor
}

// WakeAt returns when Tick must be called again, or 0.
func (t *Table) WakeAt() (at float64) {
	sooner := func(when float64) {
		if at == 0 || when < at {
			at = when
		}
	}
	for len(t.writing) > 0 && (t.writing[0].gone || t.writing[0].state != Writing) {
		t.writing = t.writing[1:]
	}
	if len(t.writing) > 0 {
		sooner(t.writing[0].at + startFor)
	}
	if t.moves() {
		sooner(max(t.copyAt, t.dropAt))
	}
	return at
}

// Tick does what falls due.
func (t *Table) Tick(now float64) {
	for len(t.writing) > 0 {
		o := t.writing[0]
		waits := !o.gone && o.state == Writing
		if waits && now < o.at+startFor {
			break
		}
		if t.writing = t.writing[1:]; waits {
			if o.led {
				t.do(Refuse{o.run, ReasonStalled})
			}
			t.undo(now, o, true)
		}
	}
	t.move(now)
}

// Counts tells what the table holds.
func (t *Table) Counts() (keys, doubts, pending int, disk int64) {
	return len(t.ops), t.doubts, len(t.pending), t.disk
}
