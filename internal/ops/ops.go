// Package ops tracks the operations of requests that carry an idempotency key, so that an operation that may have run is
// never run again, even across crashes. Table is a state machine without I/O and without a clock: its callers report
// events, and it returns as effects what must be written, started and answered. An operation passes through the states
//
//	Held -> Writing -> Running -> Ending -> Done
//
// and is forgotten when it provably did not run. An operation that may have run and whose end is unknown is InDoubt. It
// leaves that state only by a notice of the worker pool, by an operator's decision, or by the age limit for doubts.
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

// State is the state of an operation.
type State uint8

// The states of an operation.
const (
	Held    State = iota // its first request is open, and no record of it is written
	Writing              // its intent is being written to disk
	Running              // its intent is durable: it was started or will be
	Ending               // it ended, and its end is being written to disk
	Done                 // its end is durable
	InDoubt              // it may have run, and its end is unknown
)

func (s State) String() string {
	return [...]string{"held", "writing", "running", "ending", "done", "in-doubt"}[s]
}

// Limits are the limits of a table.
type Limits struct {
	Keys         int     // number of operations
	DiskBytes    int64   // of all segments; from this size on no new operation is accepted
	SegmentBytes int64   // of one segment
	AgeMs        float64 // how long the end of an operation is kept
	DoubtMs      float64 // how long an operation in doubt is kept
}

// Time limits in milliseconds, and size limits.
const (
	stallThresholdMs     = 300  // new operations are refused while a write takes longer
	intentTimeoutMs      = 1000 // an intent that is not durable by then is taken back
	copyIntervalMs       = 20   // minimum time between two rounds of compaction
	maxCopiesPerRound    = 32   // records copied in one round
	dropRetryMs          = 1000 // delay before the removal of a segment is retried
	maxSegments          = 64   // above this number the oldest segment is compacted, whatever it holds
	maxResultBytes       = 8 << 10
	maxResolverNameBytes = 64
	waitingTrimMin       = 64 // a list of this many waiting requests is cleared of those that left before it grows
)

// Reason is why a request of an operation is not served.
type Reason uint8

// The reasons why a request is not served.
const (
	ReasonFailed    Reason = iota // the operation ended without a result
	ReasonInDoubt                 // it may have run, and its end is unknown
	ReasonOtherBody               // the key was used with another body
	ReasonFull                    // the table or the disk is full
	ReasonStalled                 // writes to disk fail or take too long
	ReasonNotRun                  // the request that it waited for was not run
	ReasonMoved                   // the operations are given up to another process of the node
)

func (r Reason) String() string {
	return [...]string{"failed", "in-doubt", "other-body", "full", "stalled", "not-run", "moved"}[r]
}

// An Effect is an action that the caller must carry out. Effects are carried out in order.
type Effect interface{ effect() }

type (
	// Write appends a record to the journal. WritesDurable and WritesFailed report the outcomes in the order of the
	// writes. If CopyFrom is set, the record at that position is copied instead of Record.
	Write struct {
		Record   journal.Record
		CopyFrom journal.Position
	}
	// StartRun starts a run in the worker pool.
	StartRun struct{ ID string }
	// Serve answers a request with a result.
	Serve struct {
		ID       string
		Result   []byte
		Replayed bool // the result is that of an earlier request
	}
	// Fetch answers a request with the result in a record.
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
	// LogEvent is a log entry.
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

// operation is one operation of the table.
type operation struct {
	key        string
	digest     [digestBytes]byte
	runID      string // id of the request whose run it is
	state      State
	endKind    journal.Kind // in the states Ending and Done
	leaderOpen bool         // the request with the id runID has no answer yet
	forgotten  bool         // it was removed from the table
	changedAt  float64      // when it entered its state; Done and InDoubt keep the time of the state before

	waiting    []string // ids of the requests that repeat it, in order of arrival; some may have left
	result     []byte   // kept in memory until its record is durable
	resolvedBy string   // name of the operator who resolved it; empty: none

	expiry     queue.HeapEntry[*operation] // entry in Table.expiries
	position   journal.Position            // position of its current record; segment 0: none
	prev, next *operation                  // neighbors in the list of its liveSegment
}

const digestBytes = 16 // length of the digest of a request body

// pendingWrite is a record that is being written.
type pendingWrite struct {
	op       *operation
	record   journal.Record
	copyFrom journal.Position // source of a copy; segment 0: not a copy
	since    float64          // when it was issued
}

// liveSegment describes a segment that holds current records of operations.
type liveSegment struct {
	count int        // current records in it
	bytes int64      // their total size
	first *operation // head of the list of their operations
}

// Table holds all operations of a node. It is used from one goroutine.
type Table struct {
	limits      Limits
	opsByKey    map[string]*operation
	opsByRun    map[string]*operation // by run id
	opsByWaiter map[string]*operation // by the ids of the requests that wait for them
	expiries    queue.Heap[*operation]
	doubtCount  int
	doneCount   int  // operations in the state Done
	closed      bool // no new operations are accepted

	pendingWrites []*pendingWrite // in order of issue
	writesFailing bool            // the last write failed
	intentQueue   []*operation    // in order of their intents; some may have left the state Writing

	segments        []journal.Segment       // all segments of the journal, the oldest first
	liveSegments    map[uint32]*liveSegment // those with current records, by number
	liveBytes       int64                   // size of all current records
	diskBytes       int64                   // size of all segments
	nextCopyAt      float64                 // when the next round of compaction may start
	droppingSegment uint32                  // segment whose removal is pending; 0: none
	dropRetryAt     float64                 // after a failed removal, when compaction may continue

	effects []Effect // since the last call of Effects
}

// New returns an empty table.
func New(l Limits) *Table {
	return &Table{limits: l, opsByKey: map[string]*operation{}, opsByRun: map[string]*operation{},
		opsByWaiter: map[string]*operation{}, liveSegments: map[uint32]*liveSegment{}}
}

func (t *Table) emit(e Effect) { t.effects = append(t.effects, e) }

// Effects returns the effects since the last call.
func (t *Table) Effects() []Effect {
	out := t.effects
	t.effects = nil
	return out
}

// Verdict is the decision about a request that has a key.
type Verdict struct {
	Kind     VerdictKind
	RepeatOf string // VerdictWaits: the id of the request that it repeats
	Reason   Reason // VerdictFails, VerdictRefused
}

// VerdictKind is the kind of a verdict.
type VerdictKind uint8

// The kinds of verdicts.
const (
	VerdictFirst   VerdictKind = iota // it is the first of its operation: the decision module decides whether it runs
	VerdictWaits                      // it repeats an unfinished request
	VerdictServed                     // there is a result, and a Fetch effect follows
	VerdictFails                      // it must not run, and its operation may have run
	VerdictRefused                    // it is not run, and its operation is not in the table
)

// Begin decides what happens to a request with a key. The digest distinguishes bodies.
func (t *Table) Begin(now float64, id, key string, digest [digestBytes]byte) Verdict {
	t.expire(now)
	o := t.opsByKey[key]
	switch {
	case o == nil && t.closed:
		return Verdict{Kind: VerdictRefused, Reason: ReasonMoved}
	case o == nil && (len(t.opsByKey) >= t.limits.Keys || t.diskBytes >= t.limits.DiskBytes):
		return Verdict{Kind: VerdictRefused, Reason: ReasonFull}
	case o == nil && t.Stalled(now):
		return Verdict{Kind: VerdictRefused, Reason: ReasonStalled}
	case o == nil && t.opsByRun[id] != nil:
		return Verdict{Kind: VerdictFails, Reason: ReasonOtherBody} // a run for another key has this id
	case o == nil:
		o = &operation{key: key, digest: digest, runID: id, leaderOpen: true, changedAt: now}
		o.expiry.Value = o
		t.opsByKey[key], t.opsByRun[id] = o, o
		return Verdict{Kind: VerdictFirst}
	case o.digest != digest:
		t.emit(LogEvent{"other-body", key, id})
		return Verdict{Kind: VerdictFails, Reason: ReasonOtherBody}
	case o.state == InDoubt:
		t.emit(LogEvent{"in-doubt", key, o.runID})
		return Verdict{Kind: VerdictFails, Reason: ReasonInDoubt}
	case o.state == Done && o.endKind == journal.Failed:
		return Verdict{Kind: VerdictFails, Reason: ReasonFailed}
	case o.state == Done:
		t.emit(Fetch{id, o.position})
		return Verdict{Kind: VerdictServed}
	}
	return Verdict{Kind: VerdictWaits, RepeatOf: o.runID}
}

// Position returns the current position of the result of a key, for a fetch whose record was moved meanwhile.
func (t *Table) Position(key string) (journal.Position, bool) {
	o := t.opsByKey[key]
	if o == nil || o.state != Done || o.endKind != journal.Finished {
		return journal.Position{}, false
	}
	return o.position, true
}

// Wait makes a request wait for the end of the operation that it repeats. If that has ended by now, the request is
// answered at once.
func (t *Table) Wait(now float64, id, key string) {
	o := t.opsByKey[key]
	switch {
	case o == nil:
		t.emit(Refuse{id, ReasonNotRun}) // the operation was taken back meanwhile
	case o.state == InDoubt:
		t.emit(Fail{id, ReasonInDoubt})
	case o.state == Done && o.endKind == journal.Failed:
		t.emit(Fail{id, ReasonFailed})
	case o.state == Done:
		t.emit(Fetch{id, o.position})
	default:
		if n := len(o.waiting); n >= waitingTrimMin && n == cap(o.waiting) {
			o.waiting = slices.DeleteFunc(o.waiting, func(id string) bool { return t.opsByWaiter[id] != o })
		}
		o.waiting = append(o.waiting, id)
		t.opsByWaiter[id] = o
	}
}

// WriteIntent records that the request's run may start, as the decision module wants. StartRun follows once the record
// is durable. It returns false if the request does not lead an operation in the state Held.
func (t *Table) WriteIntent(now float64, id string) bool {
	o := t.opsByRun[id]
	if o == nil || o.state != Held || !o.leaderOpen {
		return false
	}
	t.setState(o, Writing, now)
	t.appendRecord(now, o, journal.Record{Kind: journal.Intended, Key: o.key, Digest: o.digest[:], Run: id, At: now})
	t.intentQueue = append(t.intentQueue, o)
	return true
}

// Detach reports that a request was answered or that its caller left. If its run has not started, it will not start.
func (t *Table) Detach(now float64, id string) {
	if o := t.opsByWaiter[id]; o != nil {
		delete(t.opsByWaiter, id)
		return // it stays in the waiting list without being answered
	}
	o := t.opsByRun[id]
	if o == nil || !o.leaderOpen {
		return
	}
	o.leaderOpen = false
	if o.state == Held || o.state == Writing {
		t.takeBack(now, o, o.state == Writing)
	}
}

// Cancel takes back a run that was to be started but was not sent to the worker pool: it provably did not run.
func (t *Table) Cancel(now float64, id string) {
	if o := t.opsByRun[id]; o != nil && (o.state == Writing || o.state == Running) {
		t.takeBack(now, o, true)
	}
}

// RunNotStarted reports that the worker pool did not start a run.
func (t *Table) RunNotStarted(now float64, run string) {
	if o := t.opsByRun[run]; o != nil && (o.state == Running || o.state == InDoubt) {
		t.takeBack(now, o, true)
	}
}

// takeBack forgets an operation that provably did not run. If its intent was written, a record in the journal cancels it.
func (t *Table) takeBack(now float64, o *operation, written bool) {
	if written {
		t.appendRecord(now, nil, journal.Record{Kind: journal.NotRun, Key: o.key, Run: o.runID, At: now,
			ResolvedBy: o.resolvedBy})
	}
	t.forget(o)
	t.releaseWaiting(o, func(id string) Effect { return Refuse{id, ReasonNotRun} })
}

// Finish reports the end of a run. It returns false unless an operation with this run is running or in doubt.
func (t *Table) Finish(now float64, run string, ok bool, result []byte) bool {
	o := t.opsByRun[run]
	if o == nil || o.state != Running && o.state != InDoubt {
		return false
	}
	if o.state == InDoubt {
		t.emit(LogEvent{"resolved", o.key, run})
	}
	o.endKind, o.result = journal.Failed, nil
	if ok {
		o.endKind, o.result = journal.Finished, bytes.Clone(result)
	}
	if len(result) > maxResultBytes {
		t.emit(LogEvent{"long-result", o.key, run})
		o.endKind = journal.Failed // the result is too long to be kept, so the operation counts as failed
	}
	t.setState(o, Ending, now)
	t.writeEnd(now, o)
	return true
}

// writeEnd writes the record of an operation's end.
func (t *Table) writeEnd(now float64, o *operation) {
	t.appendRecord(now, o, journal.Record{Kind: o.endKind, Key: o.key, Digest: o.digest[:], Run: o.runID,
		At: o.changedAt, Result: o.result, ResolvedBy: o.resolvedBy})
}

// MarkInDoubt reports that no notice of the end of a run is expected before its due time.
func (t *Table) MarkInDoubt(now float64, run string) {
	if o := t.opsByRun[run]; o != nil && o.state == Running {
		t.setState(o, InDoubt, now)
		t.emit(LogEvent{"doubt", o.key, run})
		t.releaseWaiting(o, func(id string) Effect { return Fail{id, ReasonInDoubt} })
	}
}

// UnsyncedEnd returns the end of an operation whose record is not durable yet, for a request that can't wait for that.
func (t *Table) UnsyncedEnd(id string) (result []byte, ok, ended bool) {
	o := t.opsByWaiter[id]
	if o == nil {
		o = t.opsByRun[id]
	}
	if o == nil || o.state != Ending {
		return nil, false, false
	}
	return o.result, o.endKind == journal.Finished, true
}

// Resolve applies an operator's decision about an operation in doubt.
func (t *Table) Resolve(now float64, key string, kind journal.Kind, result []byte, by string) error {
	o := t.opsByKey[key]
	switch {
	case o == nil:
		return fmt.Errorf("%q is not kept", key)
	case o.state != InDoubt:
		return fmt.Errorf("%q is %v: only what is in doubt can be resolved", key, o.state)
	case len(by) > maxResolverNameBytes:
		return fmt.Errorf("operator name length %d exceeds the limit of %d bytes", len(by), maxResolverNameBytes)
	case kind == journal.Finished && len(result) > maxResultBytes:
		return fmt.Errorf("result length %d exceeds the limit of %d bytes", len(result), maxResultBytes)
	}
	o.resolvedBy = by
	t.emit(LogEvent{"resolved-by", key, by})
	if kind == journal.NotRun {
		t.takeBack(now, o, true)
		return nil
	}
	o.endKind, o.result = kind, result
	t.setState(o, Ending, now)
	t.writeEnd(now, o)
	return nil
}

// releaseWaiting answers all requests that wait for an operation.
func (t *Table) releaseWaiting(o *operation, effectFor func(id string) Effect) {
	for _, id := range o.waiting {
		if t.opsByWaiter[id] == o {
			delete(t.opsByWaiter, id)
			t.emit(effectFor(id))
		}
	}
	o.waiting = nil
}

// setState moves an operation to a state and schedules its expiry.
func (t *Table) setState(o *operation, state State, now float64) {
	t.uncountState(o)
	t.expiries.Remove(&o.expiry)
	switch state {
	case Done:
		t.doneCount++
		t.expiries.Set(&o.expiry, o.changedAt+t.limits.AgeMs)
	case InDoubt:
		t.doubtCount++
		t.expiries.Set(&o.expiry, o.changedAt+t.limits.DoubtMs)
	default:
		o.changedAt = now
	}
	o.state = state
}

// forget removes an operation from the table.
func (t *Table) forget(o *operation) {
	t.uncountState(o)
	t.expiries.Remove(&o.expiry)
	t.clearPosition(o)
	o.forgotten = true
	if t.opsByKey[o.key] == o {
		delete(t.opsByKey, o.key)
	}
	if t.opsByRun[o.runID] == o {
		delete(t.opsByRun, o.runID)
	}
}

// uncountState removes an operation from the count of its state.
func (t *Table) uncountState(o *operation) {
	switch o.state {
	case InDoubt:
		t.doubtCount--
	case Done:
		t.doneCount--
	}
}

// SetClosed makes the table refuse new operations, or accept them again. Unfinished ones continue, and their repeats
// wait for them.
func (t *Table) SetClosed(on bool) { t.closed = on }

// Idle reports whether no work is unfinished: every operation is done or in doubt, no write and no removal of a segment
// is pending, and no request waits.
func (t *Table) Idle() bool {
	return len(t.opsByKey) == t.doneCount+t.doubtCount && len(t.pendingWrites) == 0 && len(t.opsByWaiter) == 0 &&
		t.droppingSegment == 0
}

// expire forgets the operations whose time limit has passed.
func (t *Table) expire(now float64) {
	for o, ok := t.expiries.Pop(now); ok; o, ok = t.expiries.Pop(now) {
		if o.state == InDoubt {
			t.emit(LogEvent{"doubt-aged-out", o.key, o.runID})
		}
		t.forget(o)
	}
}

// Stalled reports whether writes to disk fail or take too long.
func (t *Table) Stalled(now float64) bool {
	return t.writesFailing || len(t.pendingWrites) > 0 && now-t.pendingWrites[0].since > stallThresholdMs
}

// WakeAt returns the time at which Tick must be called again, or 0 if nothing is scheduled.
func (t *Table) WakeAt() (at float64) {
	sooner := func(when float64) {
		if at == 0 || when < at {
			at = when
		}
	}
	for len(t.intentQueue) > 0 && (t.intentQueue[0].forgotten || t.intentQueue[0].state != Writing) {
		t.intentQueue = t.intentQueue[1:]
	}
	if len(t.intentQueue) > 0 {
		sooner(t.intentQueue[0].changedAt + intentTimeoutMs)
	}
	if t.needsCompaction() {
		sooner(max(t.nextCopyAt, t.dropRetryAt))
	}
	return at
}

// Tick takes back intents that are not durable in time, and compacts the journal.
func (t *Table) Tick(now float64) {
	for len(t.intentQueue) > 0 {
		o := t.intentQueue[0]
		waits := !o.forgotten && o.state == Writing
		if waits && now < o.changedAt+intentTimeoutMs {
			break
		}
		if t.intentQueue = t.intentQueue[1:]; waits {
			if o.leaderOpen {
				t.emit(Refuse{o.runID, ReasonStalled})
			}
			t.takeBack(now, o, true)
		}
	}
	t.compact(now)
}

// Counts returns the number of operations, of operations in doubt and of pending writes, and the journal's size in bytes.
func (t *Table) Counts() (keys, doubts, pending int, disk int64) {
	return len(t.opsByKey), t.doubtCount, len(t.pendingWrites), t.diskBytes
}
