package ops

import (
	"slices"

	"whinrudder/internal/journal"
)

// appendRecord issues the write of a record.
func (t *Table) appendRecord(now float64, o *operation, r journal.Record) {
	t.pendingWrites = append(t.pendingWrites, &pendingWrite{op: o, record: r, since: now})
	t.emit(Write{Record: r})
}

// takePending removes the first n pending writes and returns them.
func (t *Table) takePending(n int) []*pendingWrite {
	done := t.pendingWrites[:n]
	t.pendingWrites = slices.Clone(t.pendingWrites[n:])
	return done
}

// WritesDurable reports that the first pending writes are durable, with their positions.
func (t *Table) WritesDurable(now float64, positions []journal.Position, segments []journal.Segment) {
	t.writesFailing = false
	t.SetSegments(segments)
	for i, w := range t.takePending(len(positions)) {
		o := w.op
		if o == nil || o.forgotten {
			continue // the operation no longer needs the record
		}
		if w.copyFrom.Segment > 0 {
			if o.position == w.copyFrom {
				t.setPosition(o, positions[i])
			}
			continue
		}
		switch {
		case w.record.Kind == journal.Intended && o.state == Writing:
			t.setPosition(o, positions[i])
			t.setState(o, Running, now)
			t.emit(StartRun{o.runID})
		case w.record.Kind != journal.Intended && o.state == Ending:
			t.setPosition(o, positions[i])
			t.setState(o, Done, now)
			t.answerEnd(o)
		}
	}
}

// answerEnd answers all requests that wait for an operation that has ended.
func (t *Table) answerEnd(o *operation) {
	result := o.result
	o.result = nil
	effect := func(id string, replayed bool) Effect {
		if o.endKind == journal.Finished {
			return Serve{id, result, replayed}
		}
		return Fail{id, ReasonFailed}
	}
	if o.leaderOpen {
		o.leaderOpen = false
		t.emit(effect(o.runID, false))
	}
	t.releaseWaiting(o, func(id string) Effect { return effect(id, true) })
}

// WritesFailed reports that the first n pending writes are not durable. The journal truncates them before it writes
// anything else, so no further record is needed to take back an intent; an end must be written again.
func (t *Table) WritesFailed(now float64, n int, segments []journal.Segment) {
	t.writesFailing = true
	t.SetSegments(segments)
	for _, w := range t.takePending(n) {
		o := w.op
		switch {
		case w.copyFrom.Segment > 0: // the record stays at its old position
		case w.record.Kind == journal.NotRun:
			t.pendingWrites = append(t.pendingWrites, &pendingWrite{record: w.record, since: now})
			t.emit(Write{Record: w.record})
		case o == nil || o.forgotten:
		case w.record.Kind == journal.Intended && o.state == Writing:
			if o.leaderOpen {
				o.leaderOpen = false
				t.emit(Refuse{o.runID, ReasonStalled})
			}
			t.takeBack(now, o, false)
		case o.state == Ending:
			t.pendingWrites = append(t.pendingWrites, &pendingWrite{op: o, record: w.record, since: now})
			t.emit(Write{Record: w.record})
		}
	}
	if len(t.pendingWrites) == 0 { // a record without a key probes whether the disk works again
		t.appendRecord(now, nil, journal.Record{Kind: journal.NotRun, At: now})
	}
}

// CopyUnreadable reports that the first pending write is a copy of a record that can't be read. A later process could
// not read it either, so a record of what is known in memory replaces it. A done operation whose result is lost this way
// is recorded as failed.
func (t *Table) CopyUnreadable(now float64) {
	w := t.takePending(1)[0]
	o := w.op
	if o.forgotten || o.position != w.copyFrom || o.state == Ending {
		return
	}
	r := journal.Record{Kind: journal.Intended, Key: o.key, Digest: o.digest[:], Run: o.runID, At: o.changedAt,
		ResolvedBy: o.resolvedBy}
	if o.state == Done {
		t.emit(LogEvent{"lost-result", o.key, o.runID})
		o.endKind, r.Kind = journal.Failed, journal.Failed
	}
	t.pendingWrites = append(t.pendingWrites, &pendingWrite{op: o, record: r, copyFrom: w.copyFrom, since: now})
	t.emit(Write{Record: r})
}

// Recover applies a record of the journal when a node starts. Records must come in the order of the journal.
func (t *Table) Recover(r journal.Record, p journal.Position) {
	o := t.opsByKey[r.Key]
	if r.Kind == journal.NotRun {
		if o != nil && o.runID == r.Run {
			t.forget(o)
		}
		return
	}
	if o != nil {
		t.forget(o)
	}
	o = &operation{key: r.Key, runID: r.Run, changedAt: r.At, resolvedBy: r.ResolvedBy}
	copy(o.digest[:], r.Digest)
	o.expiry.Value = o
	t.opsByKey[o.key], t.opsByRun[o.runID] = o, o
	t.setPosition(o, p)
	if o.state = Running; r.Kind != journal.Intended {
		o.endKind = r.Kind
		t.setState(o, Done, r.At)
		return
	}
	t.setState(o, InDoubt, r.At)
}

// FinishRecovery ends the recovery: it sets the present segments and forgets the operations that are too old.
func (t *Table) FinishRecovery(now float64, segments []journal.Segment) {
	t.SetSegments(segments)
	t.expire(now)
	t.effects = nil
}

// SetSegments sets the present segments of the journal.
func (t *Table) SetSegments(segments []journal.Segment) {
	t.segments, t.diskBytes = segments, 0
	for _, s := range segments {
		t.diskBytes += s.Bytes
	}
}

// SegmentDropped reports whether a segment was removed.
func (t *Table) SegmentDropped(now float64, seg uint32, ok bool, segments []journal.Segment) {
	t.droppingSegment = 0
	if !ok {
		t.dropRetryAt = now + dropRetryMs
	}
	t.SetSegments(segments)
}

// setPosition sets the position of an operation's current record.
func (t *Table) setPosition(o *operation, p journal.Position) {
	t.clearPosition(o)
	s := t.liveSegments[p.Segment]
	if s == nil {
		s = &liveSegment{}
		t.liveSegments[p.Segment] = s
	}
	s.count++
	s.bytes += int64(p.Length)
	t.liveBytes += int64(p.Length)
	o.position, o.prev, o.next = p, nil, s.first
	if s.first != nil {
		s.first.prev = o
	}
	s.first = o
}

// clearPosition removes an operation from the list of its segment.
func (t *Table) clearPosition(o *operation) {
	s := t.liveSegments[o.position.Segment]
	if s == nil || o.position.Segment == 0 {
		return
	}
	s.count--
	s.bytes -= int64(o.position.Length)
	t.liveBytes -= int64(o.position.Length)
	if o.prev != nil {
		o.prev.next = o.next
	} else {
		s.first = o.next
	}
	if o.next != nil {
		o.next.prev = o.prev
	}
	if s.count == 0 {
		delete(t.liveSegments, o.position.Segment)
	}
	o.position, o.prev, o.next = journal.Position{}, nil, nil
}

// needsCompaction reports whether the oldest segment must be compacted: it or most of the journal holds no current
// records, or there are too many segments.
func (t *Table) needsCompaction() bool {
	if len(t.segments) < 2 || t.writesFailing || t.droppingSegment > 0 || t.closed {
		return false
	}
	return t.liveSegments[t.segments[0].Number] == nil ||
		t.diskBytes > 2*t.liveBytes+2*t.limits.SegmentBytes || len(t.segments) > maxSegments
}

// compact copies some current records of the oldest segment to the end of the journal, and removes the segment once it
// holds none. Pending writes go to later segments, so no current record is added to an empty oldest segment.
func (t *Table) compact(now float64) {
	if now < max(t.nextCopyAt, t.dropRetryAt) || !t.needsCompaction() {
		return
	}
	t.nextCopyAt = now + copyIntervalMs
	oldest := t.liveSegments[t.segments[0].Number]
	if oldest == nil {
		t.droppingSegment = t.segments[0].Number
		t.emit(DropSegment{t.droppingSegment})
		return
	}
	for _, w := range t.pendingWrites {
		if w.copyFrom.Segment > 0 {
			return // the copies of the last round are pending
		}
	}
	n := 0
	for o := oldest.first; o != nil && n < maxCopiesPerRound; o = o.next {
		if o.state == Ending {
			continue // its end is being written
		}
		t.pendingWrites = append(t.pendingWrites, &pendingWrite{op: o, copyFrom: o.position, since: now})
		t.emit(Write{CopyFrom: o.position})
		n++
	}
}
