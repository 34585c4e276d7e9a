package node

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"whinrudder/internal/eventlog"
)

// logRoom is how many lines may wait: more than a node has connections at its limit of sockets on the platform.
const logRoom = 2048

// lineSize is what most lines need, in bytes.
const lineSize = 128

// logger writes events to a log that may be read slowly or not at all. Nothing waits for it, least of all the core:
// lines for which there is no room are dropped, and counted.
type logger struct {
	lines   chan []byte
	flushed chan chan struct{}
	dropped atomic.Int64
	json    *zerolog.Logger // nil where the log is text
}

// newLogger returns the logger of a log, in the form that the operator's file names.
func newLogger(w io.Writer, json bool) *logger {
	l := &logger{lines: make(chan []byte, logRoom), flushed: make(chan chan struct{})}
	if json {
		to := zerolog.New(l)
		l.json = &to
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

// event writes a line if there is room for it: for more than all connections at once, if anybody reads the log.
func (l *logger) event(word string, pairs ...any) {
	if l.json != nil {
		eventlog.WriteJSON(l.json, time.Now(), word, pairs)
		return
	}
	l.put(eventlog.AppendText(make([]byte, 0, lineSize), time.Now(), word, pairs))
}

// Write takes a line of zerolog, which keeps its buffer.
func (l *logger) Write(b []byte) (int, error) {
	l.put(append(make([]byte, 0, len(b)), b...))
	return len(b), nil
}

func (l *logger) put(b []byte) {
	select {
	case l.lines <- b:
	default:
		l.dropped.Add(1)
	}
}

// flush waits until what was written so far is out, or until an absolute time.
func (l *logger) flush(by float64) {
	late := time.After(time.Until(at(by)))
	done := make(chan struct{})
	select {
	case l.flushed <- done:
	case <-late:
		return
	}
	select {
	case <-done:
	case <-late:
	}
}
