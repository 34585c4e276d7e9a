// Package kept does the I/O for the journal of kept operations. One goroutine appends the records that the core hands
// out, with all waiting records in one batch, and another reads records back. A Unix socket in the journal's directory
// accepts the resolutions of operators. The decisions are made in package ops. Owner opens and closes the journal while
// one process of a node succeeds another, and Contents reads a journal for the operator's commands.
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

const (
	maxBatchRecords = 256
	maxBatchBytes   = 512 << 10 // a batch ends with the record that reaches this size
	retryDelayMs    = 100       // delay after a batch that could not be written
)

// socketName is the file name of the socket in the journal's directory that accepts the resolutions of operators.
const socketName = "resolve.sock"

// Host is the interface of a Store to its node.
type Host struct {
	Name string
	Send func(core.Input) // may block until the core takes the input or the node has ended
	Log  func(word string, pairs ...any)
}

// Store runs the open journal of a node.
type Store struct {
	host   Host
	dir    storage.Dir
	j      *journal.Journal
	socket net.Listener

	mu         sync.Mutex // guards writes, fetches and drops
	writes     []ops.Write
	fetches    []core.Fetch
	drops      []uint32      // segments to drop
	wakeWriter chan struct{} // signals new writes or drops
	wakeReader chan struct{} // signals new fetches
	stop       chan struct{} // closed when the node shuts down
	written    chan struct{} // closed once the queued writes are done and the journal is closed
}

// TableLimits converts the configuration to the limits of a table.
func TableLimits(o settings.KeptConfig) ops.Limits {
	return ops.Limits{Keys: o.MaxOperations, DiskBytes: int64(o.DiskMB) << 20, SegmentBytes: int64(o.SegmentMB) << 20,
		AgeMs: o.ResultTTLMs, DoubtMs: o.InDoubtTTLMs}
}

// Open opens the journal in dir and recovers its operations. now is in Unix milliseconds. No record is written before
// Start.
func Open(h Host, dir storage.Dir, o settings.KeptConfig, now float64) (*Store, *ops.Table, error) {
	table := ops.New(TableLimits(o))
	j, summary, err := journal.Open(dir, journal.Options{Node: h.Name, SegmentBytes: int64(o.SegmentMB) << 20},
		table.Recover)
	if err != nil {
		return nil, nil, err
	}
	table.FinishRecovery(now, j.Segments())
	keys, inDoubt, _, diskBytes := table.Counts()
	h.Log("kept", "code", "open", "records", summary.Records, "segments", summary.Segments, "bytes", diskBytes,
		"torn", summary.TornBytes, "keys", keys, "doubts", inDoubt)
	k := &Store{host: h, dir: dir, j: j, wakeWriter: make(chan struct{}, 1), wakeReader: make(chan struct{}, 1),
		stop: make(chan struct{}), written: make(chan struct{})}
	return k, table, nil
}

// Start starts the goroutines. path is the journal's directory, in which the operators' socket is created; if it is
// empty, there is no socket.
func (k *Store) Start(path string) error {
	if path != "" {
		path = filepath.Join(path, socketName)
		if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
			return err
		}
		listener, err := net.Listen("unix", path)
		if err != nil {
			return err
		}
		k.socket = listener
		go k.acceptOperators(listener)
	}
	go k.writeLoop()
	go k.readLoop()
	return nil
}

// HandleOutput queues an output of the core that concerns the journal and ignores all others.
func (k *Store) HandleOutput(o core.Output) {
	k.mu.Lock()
	defer k.mu.Unlock()
	wake := k.wakeWriter
	switch o := o.(type) {
	case core.Append:
		k.writes = append(k.writes, o.Write)
	case core.DropSegment:
		k.drops = append(k.drops, o.Segment)
	case core.Fetch:
		k.fetches, wake = append(k.fetches, o), k.wakeReader
	default:
		return
	}
	select {
	case wake <- struct{}{}:
	default:
	}
}

// Shutdown closes the socket, writes the queued records and closes the journal. It stops waiting for that at
// deadlineMs, in Unix milliseconds.
func (k *Store) Shutdown(deadlineMs float64) {
	close(k.stop)
	if k.socket != nil {
		k.socket.Close()
	}
	timer := time.NewTimer(time.Until(time.UnixMicro(int64(deadlineMs * 1e3))))
	defer timer.Stop()
	select {
	case <-k.written:
	case <-timer.C:
		k.host.Log("kept", "code", "late-end")
	}
}

// nextBatch removes the next batch of writes and all segments to drop from the queues.
func (k *Store) nextBatch() (writes []ops.Write, drops []uint32) {
	k.mu.Lock()
	defer k.mu.Unlock()
	count, bytes := 0, 0
	for count < min(len(k.writes), maxBatchRecords) && bytes < maxBatchBytes {
		bytes += len(k.writes[count].Record.Result) + int(k.writes[count].CopyFrom.Length) + 256
		count++
	}
	writes = append(writes, k.writes[:count]...)
	if k.writes = k.writes[count:]; len(k.writes) == 0 {
		k.writes = nil
	}
	drops, k.drops = k.drops, nil
	return writes, drops
}

// writeLoop writes batches until the node shuts down and none is left, or one fails after that.
func (k *Store) writeLoop() {
	defer close(k.written)
	defer k.j.Close()
	for {
		writes, drops := k.nextBatch()
		for _, seg := range drops {
			err := k.j.DropOldest()
			k.host.Send(core.SegmentDropped{Segment: seg, Err: err, Segments: k.j.Segments()})
		}
		stopped := false
		select {
		case <-k.stop:
			stopped = true
		default:
		}
		if len(writes) == 0 {
			if stopped {
				return
			}
			select {
			case <-k.wakeWriter:
			case <-k.stop:
			}
			continue
		}
		if !k.writeBatch(writes) && stopped {
			return
		}
	}
}

// writeBatch writes a batch and reports whether that succeeded. If a record to be copied can't be read, only that write
// fails.
func (k *Store) writeBatch(writes []ops.Write) bool {
	var records []journal.Record
	var copyErr error
	for _, write := range writes {
		record := write.Record
		if write.CopyFrom.Segment > 0 {
			var err error
			if record, err = journal.Read(k.dir, write.CopyFrom); err != nil {
				k.host.Log("kept", "code", "unreadable", "segment", write.CopyFrom.Segment, "at", write.CopyFrom.Offset,
					"error", err)
				copyErr = err
				break
			}
		}
		records = append(records, record)
	}
	if len(records) > 0 {
		positions, err := k.j.Append(records)
		if err != nil {
			k.host.Log("kept", "code", "unwritten", "records", len(writes), "error", err)
			k.host.Send(core.AppendFailed{N: len(writes), Segments: k.j.Segments()})
			k.waitBeforeRetry()
			return false
		}
		k.host.Send(core.Appended{Positions: positions, Segments: k.j.Segments()})
	}
	if copyErr != nil {
		if errors.Is(copyErr, journal.ErrDamaged) {
			k.host.Send(core.CopyUnreadable{})
		} else { // the read error may be temporary, so the record is not given up
			k.host.Send(core.AppendFailed{N: 1, Segments: k.j.Segments()})
			k.waitBeforeRetry()
		}
		if rest := writes[len(records)+1:]; len(rest) > 0 {
			return k.writeBatch(rest)
		}
	}
	return true
}

// waitBeforeRetry waits for retryDelayMs, or until the node shuts down.
func (k *Store) waitBeforeRetry() {
	timer := time.NewTimer(retryDelayMs * time.Millisecond)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-k.stop:
	}
}

// readLoop reads records until the node shuts down.
func (k *Store) readLoop() {
	for {
		k.mu.Lock()
		fetches := k.fetches
		k.fetches = nil
		k.mu.Unlock()
		for _, f := range fetches {
			record, err := journal.Read(k.dir, f.Position)
			k.host.Send(core.RecordFetched{ID: f.ID, Position: f.Position, Result: record.Result, Err: err})
		}
		if len(fetches) > 0 {
			continue
		}
		select {
		case <-k.wakeReader:
		case <-k.stop:
			return
		}
	}
}
