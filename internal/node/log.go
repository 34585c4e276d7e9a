package node

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"whinrudder/internal/clock"
	"whinrudder/internal/eventlog"
)

// logQueueLines is how many lines may wait to be written: more than a node has connections at its limit of
// sockets on the platform.
const logQueueLines = 2048

// typicalLineBytes is enough for most lines.
const typicalLineBytes = 128

// logger writes events to a log that may be read slowly or not at all. Callers never wait for it, least of all
// the core: when the queue is full, lines are dropped and counted.
type logger struct {
	lines   chan []byte
	flushed chan chan struct{} // each channel is closed once the lines queued before it are written
	dropped atomic.Int64       // lines dropped since the last "log" event
	json    *zerolog.Logger    // nil if the log is text
}

// newLogger returns a logger that writes to w as text or as JSON.
func newLogger(w io.Writer, json bool) *logger {
	l := &logger{lines: make(chan []byte, logQueueLines), flushed: make(chan chan struct{})}
	if json {
		zl := zerolog.New(l)
		l.json = &zl
	}
	go func() {
		for {
			select {
			case b := <-l.lines:
				w.Write(b)
			case done := <-l.flushed:
				for len(l.lines) > 0 {
					w.Write(<-l.lines)
				}
				close(done)
			}
			if n := l.dropped.Swap(0); n > 0 {
				l.event("log", "dropped", int(n))
			}
		}
	}()
	return l
}

// event queues a line. The queue has room for a line from every connection at once, provided that the log is
// read.
func (l *logger) event(word string, pairs ...any) {
	if l.json != nil {
		eventlog.WriteJSON(l.json, time.Now(), word, pairs)
		return
	}
	l.enqueue(eventlog.AppendText(make([]byte, 0, typicalLineBytes), time.Now(), word, pairs))
}

// Write queues a line from zerolog. It copies the line because zerolog reuses its buffer.
func (l *logger) Write(b []byte) (int, error) {
	l.enqueue(append(make([]byte, 0, len(b)), b...))
	return len(b), nil
}

func (l *logger) enqueue(b []byte) {
	select {
	case l.lines <- b:
	default:
		l.dropped.Add(1)
	}
}

// flush waits until the queued lines are written, at most until an absolute time.
func (l *logger) flush(by float64) {
	timeout := time.After(time.Until(clock.Time(by)))
	done := make(chan struct{})
	select {
	case l.flushed <- done:
	case <-timeout:
		return
	}
	select {
	case <-done:
	case <-timeout:
	}
}
