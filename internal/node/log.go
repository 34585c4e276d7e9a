package node

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// logRoom is how many lines may wait: more than a node has connections at its limit of sockets on the platform.
const logRoom = 2048

// logger writes lines to a log that may be read slowly or not at all. Nothing waits for it, least of all the core:
// lines for which there is no room are dropped, and counted.
type logger struct {
	lines   chan []byte
	flushed chan chan struct{}
	dropped atomic.Int64
}

func newLogger(w io.Writer) *logger {
	l := &logger{lines: make(chan []byte, logRoom), flushed: make(chan chan struct{})}
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
				w.Write(line("log dropped=%d", n))
			}
		}
	}()
	return l
}

func line(format string, args ...any) []byte {
	b := fmt.Appendf(nil, "%s ", time.Now().UTC().Format("15:04:05.000"))
	return fmt.Appendf(b, format+"\n", args...)
}

// printf writes a line if there is room for it: for more than all connections at once, if anybody reads the log.
func (l *logger) printf(format string, args ...any) {
	select {
	case l.lines <- line(format, args...):
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
