package client

import (
	"bufio"
	"context"
	"os"
	"strings"
	"time"
)

// File is a Source that reads the nodes from the file of that path and reads it again when it changes. Each line has
// the name of a node, its address (HOST:PORT) and, if the node is draining, the word draining. Empty lines and lines
// that begin with # are ignored. While the file is missing, unreadable or malformed, the last list stays valid.
type File string

// filePollInterval is the interval between checks whether the file has changed.
const filePollInterval = 200 * time.Millisecond

// Watch implements Source. The age of a list is the age of the file's modification time, but at most the time since the
// check before.
func (f File) Watch(ctx context.Context, list func(time.Time, []Node)) {
	ticker := time.NewTicker(filePollInterval)
	defer ticker.Stop()
	var previous os.FileInfo
	var polledAt time.Time
	for {
		now := time.Now()
		if info, err := os.Stat(string(f)); err == nil && (previous == nil || info.ModTime() != previous.ModTime() ||
			info.Size() != previous.Size() || !os.SameFile(info, previous)) {
			if nodes, ok := f.read(); ok {
				age := max(0, now.Sub(info.ModTime()))
				if previous != nil {
					// The file was replaced after the last check, even if its modification time is older: clocks can be
					// set back, and files can be copied together with their times.
					age = min(age, now.Sub(polledAt))
				}
				previous = info
				list(now.Add(-age), nodes)
			}
		}
		polledAt = now
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// read returns the nodes in the file; ok is false if the file cannot be read or has a malformed line.
func (f File) read() (out []Node, ok bool) {
	text, err := os.ReadFile(string(f))
	if err != nil {
		return nil, false
	}
	for lines := bufio.NewScanner(strings.NewReader(string(text))); lines.Scan(); {
		words := strings.Fields(lines.Text())
		switch {
		case len(words) == 0 || strings.HasPrefix(words[0], "#"):
		case len(words) == 2 || len(words) == 3 && words[2] == "draining":
			out = append(out, Node{Name: words[0], Addr: words[1], Draining: len(words) == 3})
		default:
			return nil, false // probably half written: a later check reads the whole file
		}
	}
	return out, true
}
