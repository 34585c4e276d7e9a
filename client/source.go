package client

import (
	"bufio"
	"context"
	"os"
	"strings"
	"time"
)

// File is a list of nodes in a file that is read again when it changes: a line a node, with its name, its address and, if it
// drains, the word draining. Empty lines, and those that begin with #, say nothing. A file that is not there, or that can't be
// read, changes nothing.
type File string

// fileEvery is how often a file is looked at.
const fileEvery = 200 * time.Millisecond

// Watch implements Source.
func (f File) Watch(ctx context.Context, list func(time.Time, []Node)) {
	tick := time.NewTicker(fileEvery)
	defer tick.Stop()
	var last os.FileInfo
	var looked time.Time
	for {
		now := time.Now()
		if info, err := os.Stat(string(f)); err == nil && (last == nil || info.ModTime() != last.ModTime() || info.Size() != last.Size() || !os.SameFile(info, last)) {
			if nodes, ok := f.read(); ok {
				age := max(0, now.Sub(info.ModTime()))
				if last != nil {
					// It came since the last look, whatever its time says: clocks are set back, and files are copied with theirs.
					age = min(age, now.Sub(looked))
				}
				last = info
				list(now.Add(-age), nodes)
			}
		}
		looked = now
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// read returns the nodes of the file; ok is false if it is not a list.
func (f File) read() (out []Node, ok bool) {
	text, err := os.ReadFile(string(f))
	if err != nil {
		return nil, false
	}
	for lines := bufio.NewScanner(strings.NewReader(string(text))); lines.Scan(); {
		w := strings.Fields(lines.Text())
		switch {
		case len(w) == 0 || strings.HasPrefix(w[0], "#"):
		case len(w) == 2 || len(w) == 3 && w[2] == "draining":
			out = append(out, Node{Name: w[0], Addr: w[1], Draining: len(w) == 3})
		default:
			return nil, false // half written: the rest comes
		}
	}
	return out, true
}
