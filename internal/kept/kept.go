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

	"whinrudder/internal/clock"
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
	s := &Store{host: h, dir: dir, j: j, wakeWriter: make(chan struct{}, 1), wakeReader: make(chan struct{}, 1),
		stop: make(chan struct{}), written: make(chan struct{})}
	return s, table, nil
}

// Start starts the goroutines. path is the journal's directory, in which the operators' socket is created; if it is
// empty, there is no socket.
func (s *Store) Start(path string) error {
	if path != "" {
		path = filepath.Join(path, socketName)
		if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
			return err
		}
		listener, err := net.Listen("unix", path)
		if err != nil {
			return err
		}
		s.socket = listener
		go s.acceptOperators(listener)
	}
	go s.writeLoop()
	go s.readLoop()
	return nil
}

// HandleOutput queues an output of the core that concerns the journal and ignores all others.
func (s *Store) HandleOutput(o core.Output) {
	s.mu.Lock()
	defer s.mu.Unlock()
	wake := s.wakeWriter
	switch o := o.(type) {
	case core.Append:
		s.writes = append(s.writes, o.Write)
	case core.DropSegment:
		s.drops = append(s.drops, o.Segment)
	case core.Fetch:
		s.fetches, wake = append(s.fetches, o), s.wakeReader
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
func (s *Store) Shutdown(deadlineMs float64) {
	close(s.stop)
	if s.socket != nil {
		s.socket.Close()
	}
	timer := time.NewTimer(time.Until(clock.Time(deadlineMs)))
	defer timer.Stop()
	select {
	case <-s.written:
	case <-timer.C:
		s.host.Log("kept", "code", "late-end")
	}
}

// nextBatch removes the next batch of writes and all segments to drop from the queues.
func (s *Store) nextBatch() (writes []ops.Write, drops []uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	count, bytes := 0, 0
	for count < min(len(s.writes), maxBatchRecords) && bytes < maxBatchBytes {
		bytes += len(s.writes[count].Record.Result) + int(s.writes[count].CopyFrom.Length) + 256
		count++
	}
	writes = append(writes, s.writes[:count]...)
	if s.writes = s.writes[count:]; len(s.writes) == 0 {
		s.writes = nil
	}
	drops, s.drops = s.drops, nil
	return writes, drops
}

// writeLoop writes batches until the node shuts down and none is left, or one fails after that.
func (s *Store) writeLoop() {
	defer close(s.written)
	defer s.j.Close()
	for {
		writes, drops := s.nextBatch()
		for _, seg := range drops {
			err := s.j.DropOldest()
			s.host.Send(core.SegmentDropped{Segment: seg, Err: err, Segments: s.j.Segments()})
		}
		stopped := false
		select {
		case <-s.stop:
			stopped = true
		default:
		}
		if len(writes) == 0 {
			if stopped {
				return
			}
			select {
			case <-s.wakeWriter:
			case <-s.stop:
			}
			continue
		}
		if !s.writeBatch(writes) && stopped {
			return
		}
	}
}

// writeBatch writes a batch and reports whether that succeeded. If a record to be copied can't be read, only that write
// fails.
func (s *Store) writeBatch(writes []ops.Write) bool {
	var records []journal.Record
	var copyErr error
	for _, write := range writes {
		record := write.Record
		if write.CopyFrom.Segment > 0 {
			var err error
			if record, err = journal.Read(s.dir, write.CopyFrom); err != nil {
				s.host.Log("kept", "code", "unreadable", "segment", write.CopyFrom.Segment, "at", write.CopyFrom.Offset,
					"error", err)
				copyErr = err
				break
			}
		}
		records = append(records, record)
	}
	if len(records) > 0 {
		positions, err := s.j.Append(records)
		if err != nil {
			s.host.Log("kept", "code", "unwritten", "records", len(writes), "error", err)
			s.host.Send(core.AppendFailed{N: len(writes), Segments: s.j.Segments()})
			s.waitBeforeRetry()
			return false
		}
		s.host.Send(core.Appended{Positions: positions, Segments: s.j.Segments()})
	}
	if copyErr != nil {
		if errors.Is(copyErr, journal.ErrDamaged) {
			s.host.Send(core.CopyUnreadable{})
		} else { // the read error may be temporary, so the record is not given up
			s.host.Send(core.AppendFailed{N: 1, Segments: s.j.Segments()})
			s.waitBeforeRetry()
		}
		if rest := writes[len(records)+1:]; len(rest) > 0 {
			return s.writeBatch(rest)
		}
	}
	return true
}

// waitBeforeRetry waits for retryDelayMs, or until the node shuts down.
func (s *Store) waitBeforeRetry() {
	timer := time.NewTimer(retryDelayMs * time.Millisecond)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.stop:
	}
}

// readLoop reads records until the node shuts down.
func (s *Store) readLoop() {
	for {
		s.mu.Lock()
		fetches := s.fetches
		s.fetches = nil
		s.mu.Unlock()
		for _, f := range fetches {
			record, err := journal.Read(s.dir, f.Position)
			s.host.Send(core.RecordFetched{ID: f.ID, Position: f.Position, Result: record.Result, Err: err})
		}
		if len(fetches) > 0 {
			continue
		}
		select {
		case <-s.wakeReader:
		case <-s.stop:
			return
		}
	}
}
