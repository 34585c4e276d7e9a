// Package kept drives the journal of operations: one goroutine appends what the core wants to last, as many records at
// a time as wait, one reads records that stand there, and a socket in the folder takes the word of operators. It decides
// nothing; see ops for that.
package kept

import (
	"errors"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"whinrudder/internal/core"
	"whinrudder/internal/journal"
	"whinrudder/internal/ops"
	"whinrudder/internal/settings"
	"whinrudder/internal/storage"
)

// Bounds of a batch, and pauses in milliseconds.
const (
	batchMost  = 256
	batchBytes = 512 << 10
	failPause  = 100 // after a batch that did not last
)

// socketName is the socket in the folder that takes the word of operators.
const socketName = "resolve.sock"

// Host is the node around a keeper.
type Host struct {
	Name string
	Send func(core.Input) // may block until the core takes it, or the node has ended
	Log  func(word string, pairs ...any)
}

// Store holds the journal of a node.
type Store struct {
	host   Host
	dir    storage.Dir
	j      *journal.Journal
	socket net.Listener

	mu      sync.Mutex // of the queues
	writes  []ops.Write
	fetches []core.Fetch
	drops   []uint32
	wake    chan struct{}
	wakeF   chan struct{}
	over    chan struct{} // closed once the node ends
	done    chan struct{} // closed once all is written
}

// TableLimits returns the limits of a table.
func TableLimits(o settings.KeptConfig) ops.Limits {
	return ops.Limits{Keys: o.MaxOperations, DiskBytes: int64(o.DiskMB) << 20, SegmentBytes: int64(o.SegmentMB) << 20, AgeMs: o.ResultTTLMs,
		DoubtMs: o.InDoubtTTLMs}
}

// Open recovers the operations of a folder. Nothing is written before Start.
func Open(h Host, dir storage.Dir, o settings.KeptConfig, now float64) (*Store, *ops.Table, error) {
	t := ops.New(TableLimits(o))
	j, found, err := journal.Open(dir, journal.Options{Node: h.Name, SegmentBytes: int64(o.SegmentMB) << 20}, t.Recover)
	if err != nil {
		return nil, nil, err
	}
	t.FinishRecovery(now, j.Segments())
	keys, doubts, _, disk := t.Counts()
	h.Log("kept", "code", "open", "records", found.Records, "segments", found.Segments, "bytes", disk, "torn", found.TornBytes,
		"keys", keys, "doubts", doubts)
	k := &Store{host: h, dir: dir, j: j, wake: make(chan struct{}, 1), wakeF: make(chan struct{}, 1),
		over: make(chan struct{}), done: make(chan struct{})}
	return k, t, nil
}

// Start starts the goroutines. An empty path has no socket.
func (k *Store) Start(path string) error {
	if path != "" {
		path = filepath.Join(path, socketName)
		if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
			return err
		}
		l, err := net.Listen("unix", path)
		if err != nil {
			return err
		}
		k.socket = l
		go k.listen(l)
	}
	go k.append()
	go k.fetch()
	return nil
}

// HandleOutput takes an output of the core that is for the journal.
func (k *Store) HandleOutput(o core.Output) {
	k.mu.Lock()
	defer k.mu.Unlock()
	wake := k.wake
	switch o := o.(type) {
	case core.Append:
		k.writes = append(k.writes, o.Write)
	case core.DropSegment:
		k.drops = append(k.drops, o.Segment)
	case core.Fetch:
		k.fetches, wake = append(k.fetches, o), k.wakeF
	default:
		return
	}
	select {
	case wake <- struct{}{}:
	default:
	}
}

// Shutdown writes what is left, as far as there is time.
func (k *Store) Shutdown(by float64) {
	close(k.over)
	if k.socket != nil {
		k.socket.Close()
	}
	t := time.NewTimer(time.Until(time.UnixMicro(int64(by * 1e3))))
	defer t.Stop()
	select {
	case <-k.done:
	case <-t.C:
		k.host.Log("kept", "code", "late-end")
	}
}

// batch takes what is to be written next.
func (k *Store) batch() (out []ops.Write, drops []uint32) {
	k.mu.Lock()
	defer k.mu.Unlock()
	n, bytes := 0, 0
	for n < min(len(k.writes), batchMost) && bytes < batchBytes {
		bytes += len(k.writes[n].Record.Result) + int(k.writes[n].CopyFrom.Length) + 256
		n++
	}
	out = append(out, k.writes[:n]...)
	if k.writes = k.writes[n:]; len(k.writes) == 0 {
		k.writes = nil
	}
	drops, k.drops = k.drops, nil
	return out, drops
}

// append writes batches as long as there are any, or the node lives.
func (k *Store) append() {
	defer close(k.done)
	defer k.j.Close()
	for {
		all, drops := k.batch()
		for _, seg := range drops {
			err := k.j.DropOldest()
			k.host.Send(core.SegmentDropped{Segment: seg, Err: err, Segments: k.j.Segments()})
		}
		ended := false
		select {
		case <-k.over:
			ended = true
		default:
		}
		if len(all) == 0 {
			if ended {
				return
			}
			select {
			case <-k.wake:
			case <-k.over:
			}
			continue
		}
		if !k.lay(all) && ended {
			return
		}
	}
}

// lay writes a batch. Copies that can't be read fail alone.
func (k *Store) lay(all []ops.Write) bool {
	var records []journal.Record
	var bad error
	for _, w := range all {
		r := w.Record
		if w.CopyFrom.Segment > 0 {
			var err error
			if r, err = journal.Read(k.dir, w.CopyFrom); err != nil {
				k.host.Log("kept", "code", "unreadable", "segment", w.CopyFrom.Segment, "at", w.CopyFrom.Offset, "error", err)
				bad = err
				break
			}
		}
		records = append(records, r)
	}
	if len(records) > 0 {
		places, err := k.j.Append(records)
		if err != nil {
			k.host.Log("kept", "code", "unwritten", "records", len(all), "error", err)
			k.host.Send(core.AppendFailed{N: len(all), Segments: k.j.Segments()})
			k.pause()
			return false
		}
		k.host.Send(core.Appended{Positions: places, Segments: k.j.Segments()})
	}
	if bad != nil {
		if errors.Is(bad, journal.ErrDamaged) {
			k.host.Send(core.CopyUnreadable{})
		} else { // the disk may read it another time: nothing is given up
			k.host.Send(core.AppendFailed{N: 1, Segments: k.j.Segments()})
			k.pause()
		}
		if rest := all[len(records)+1:]; len(rest) > 0 {
			return k.lay(rest)
		}
	}
	return true
}

// pause waits for a while before a disk is tried again.
func (k *Store) pause() {
	t := time.NewTimer(failPause * time.Millisecond)
	defer t.Stop()
	select {
	case <-t.C:
	case <-k.over:
	}
}

// fetch reads records.
func (k *Store) fetch() {
	for {
		k.mu.Lock()
		all := k.fetches
		k.fetches = nil
		k.mu.Unlock()
		for _, f := range all {
			r, err := journal.Read(k.dir, f.Position)
			k.host.Send(core.RecordFetched{ID: f.ID, Position: f.Position, Result: r.Result, Err: err})
		}
		if len(all) > 0 {
			continue
		}
		select {
		case <-k.wakeF:
		case <-k.over:
			return
		}
	}
}
