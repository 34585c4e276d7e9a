package ops

import (
	"slices"

	"whinrudder/internal/journal"
)

// write sends a record on its way.
func (t *Table) write(now float64, o *op, r journal.Record) {
	t.pending = append(t.pending, &write{op: o, rec: r, since: now})
	t.do(Write{Record: r})
}

// take takes the first writes out of the line.
func (t *Table) take(n int) []*write {
	done := t.pending[:n]
	t.pending = slices.Clone(t.pending[n:])
	return done
}

// WritesDurable tells that the first writes on their way last, and where they stand.
func (t *Table) WritesDurable(now float64, places []journal.Position, segs []journal.Segment) {
	t.failing = false
	t.SetSegments(segs)
	for i, w := range t.take(len(places)) {
		o := w.op
		if o == nil || o.gone {
			continue // of no use any more
		}
		if w.from.Segment > 0 {
			if o.place == w.from {
				t.setPlace(o, places[i])
			}
			continue
		}
		switch {
		case w.rec.Kind == journal.Intended && o.state == Writing:
			t.setPlace(o, places[i])
			t.turn(o, Running, now)
			t.do(StartRun{o.run})
		case w.rec.Kind != journal.Intended && o.state == Ending:
			t.setPlace(o, places[i])
			t.turn(o, Done, now)
			t.tell(o)
		}
	}
}

// tell answers all that wait for an operation that has ended.
func (t *Table) tell(o *op) {
	result := o.result
	o.result = nil
	effect := func(id string, again bool) Effect {
		if o.end == journal.Finished {
			return Serve{id, result, again}
		}
		return Fail{id, ReasonFailed}
	}
	if o.led {
		o.led = false
		t.do(effect(o.run, false))
	}
	t.release(o, func(id string) Effect { return effect(id, true) })
}

// WritesFailed tells that the first so many writes on their way do not last. The journal cuts them off before it writes anything
// else, so an intent is taken back by that; an end must be written again.
func (t *Table) WritesFailed(now float64, n int, segs []journal.Segment) {
	t.failing = true
	t.SetSegments(segs)
	for _, w := range t.take(n) {
		o := w.op
		switch {
		case w.from.Segment > 0: // it stands where it stood
		case w.rec.Kind == journal.NotRun:
			t.pending = append(t.pending, &write{rec: w.rec, since: now})
			t.do(Write{Record: w.rec})
		case o == nil || o.gone:
		case w.rec.Kind == journal.Intended && o.state == Writing:
			if o.led {
				o.led = false
				t.do(Refuse{o.run, ReasonStalled})
			}
			t.undo(now, o, false)
		case o.state == Ending:
			t.pending = append(t.pending, &write{op: o, rec: w.rec, since: now})
			t.do(Write{Record: w.rec})
		}
	}
	if len(t.pending) == 0 { // a record of no meaning finds out when the disk is well again
		t.write(now, nil, journal.Record{Kind: journal.NotRun, At: now})
	}
}

// CopyUnreadable tells that the first write on its way was a copy of a record that can't be read. Another life would find no more
// there than this one: what is known in memory is written in its place, and a result that is lost is told as such.
func (t *Table) CopyUnreadable(now float64) {
	w := t.take(1)[0]
	o := w.op
	if o.gone || o.place != w.from || o.state == Ending {
		return
	}
	r := journal.Record{Kind: journal.Intended, Key: o.key, Digest: o.digest[:], Run: o.run, At: o.at, ResolvedBy: o.by}
	if o.state == Done {
		t.do(LogEvent{"lost-result", o.key, o.run})
		o.end, r.Kind = journal.Failed, journal.Failed
	}
	t.pending = append(t.pending, &write{op: o, rec: r, from: w.from, since: now})
	t.do(Write{Record: r})
}

// Recover takes a record of the journal, in order, when a node starts.
func (t *Table) Recover(r journal.Record, p journal.Position) {
	o := t.ops[r.Key]
	if r.Kind == journal.NotRun {
		if o != nil && o.run == r.Run {
			t.forget(o)
		}
		return
	}
	if o != nil {
		t.forget(o)
	}
	o = &op{key: r.Key, run: r.Run, at: r.At, by: r.ResolvedBy}
	copy(o.digest[:], r.Digest)
	o.age.Value = o
	t.ops[o.key], t.runs[o.run] = o, o
	t.setPlace(o, p)
	if o.state = Running; r.Kind != journal.Intended {
		o.end = r.Kind
		t.turn(o, Done, r.At)
		return
	}
	t.turn(o, InDoubt, r.At)
}

// FinishRecovery ends the recovery.
func (t *Table) FinishRecovery(now float64, segs []journal.Segment) {
	t.SetSegments(segs)
	t.expire(now)
	t.out = nil
}

// SetSegments takes what segments there are.
func (t *Table) SetSegments(segs []journal.Segment) {
	t.segs, t.disk = segs, 0
	for _, s := range segs {
		t.disk += s.Bytes
	}
}

// SegmentDropped tells whether a segment could be removed.
func (t *Table) SegmentDropped(now float64, seg uint32, ok bool, segs []journal.Segment) {
	t.dropping = 0
	if !ok {
		t.dropAt = now + dropAgain
	}
	t.SetSegments(segs)
}

// setPlace notes where the record of an operation stands that counts.
func (t *Table) setPlace(o *op, p journal.Position) {
	t.unplace(o)
	s := t.live[p.Segment]
	if s == nil {
		s = &segment{}
		t.live[p.Segment] = s
	}
	s.n++
	s.bytes += int64(p.Length)
	t.liveSum += int64(p.Length)
	o.place, o.prev, o.next = p, nil, s.first
	if s.first != nil {
		s.first.prev = o
	}
	s.first = o
}

func (t *Table) unplace(o *op) {
	s := t.live[o.place.Segment]
	if s == nil || o.place.Segment == 0 {
		return
	}
	s.n--
	s.bytes -= int64(o.place.Length)
	t.liveSum -= int64(o.place.Length)
	if o.prev != nil {
		o.prev.next = o.next
	} else {
		s.first = o.next
	}
	if o.next != nil {
		o.next.prev = o.prev
	}
	if s.n == 0 {
		delete(t.live, o.place.Segment)
	}
	o.place, o.prev, o.next = journal.Position{}, nil, nil
}

// moves tells whether the oldest segment is to be moved: most of the journal counts no more, or there are many files.
func (t *Table) moves() bool {
	if len(t.segs) < 2 || t.failing || t.dropping > 0 || t.closed {
		return false
	}
	return t.live[t.segs[0].Number] == nil || t.disk > 2*t.liveSum+2*t.limits.SegmentBytes || len(t.segs) > segsMost
}

// move copies some of what counts in the oldest segment to the end, and removes the segment once nothing in it does.
// Records on their way stand behind it, so an empty one is empty for good.
func (t *Table) move(now float64) {
	if now < max(t.copyAt, t.dropAt) || !t.moves() {
		return
	}
	t.copyAt = now + copyEvery
	oldest := t.live[t.segs[0].Number]
	if oldest == nil {
		t.dropping = t.segs[0].Number
		t.do(DropSegment{t.dropping})
		return
	}
	for _, w := range t.pending {
		if w.from.Segment > 0 {
			return // the last ones are on their way
		}
	}
	n := 0
	for o := oldest.first; o != nil && n < copyMost; o = o.next {
		if o.state == Ending {
			continue // its end is on its way
		}
		t.pending = append(t.pending, &write{op: o, from: o.place, since: now})
		t.do(Write{CopyFrom: o.place})
		n++
	}
}
