// Package counters counts what becomes of requests, by class, for operators. Counts grow from 0 with the process. The
// core's goroutine writes them, and anybody may read them at any time without waiting for it.
package counters

import (
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
)

// maxClasses bounds the classes that are counted by name: those of the present settings, and some that are no more.
const maxClasses = 256

// Class counts the requests of one class.
type Class struct {
	Name     string
	Answered atomic.Int64 // served
	Deferred atomic.Int64 // refused
	Errored  atomic.Int64 // failed
	Sends    atomic.Int64 // runs handed to the worker pool
}

// Registry holds the figures of one process.
type Registry struct {
	ConfLoaded  atomic.Int64 // configurations taken over at SIGHUP
	ConfInvalid atomic.Int64 // configurations turned down at SIGHUP

	mu  sync.Mutex
	all []*Class // by first use
}

// Classes returns the counts of classes by their names, in that order. The same name has the same counts for the life
// of the process; only where there are too many names, those that are not wanted now are dropped.
func (b *Registry) Classes(names []string) []*Class {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]*Class, len(names))
	for i, n := range names {
		at := slices.IndexFunc(b.all, func(c *Class) bool { return c.Name == n })
		if at < 0 {
			at = len(b.all)
			b.all = append(b.all, &Class{Name: n})
		}
		out[i] = b.all[at]
	}
	if len(b.all) > maxClasses {
		b.all = slices.DeleteFunc(b.all, func(c *Class) bool { return !slices.Contains(names, c.Name) })
	}
	return out
}

// AppendText appends all figures, a line each: svc.transactions.CLASS.NAME=N and svc.NAME=N. Current is how many requests
// are owed an answer.
func (b *Registry) AppendText(to []byte, current int) []byte {
	b.mu.Lock()
	all := slices.Clone(b.all)
	b.mu.Unlock()
	line := func(n int64, path ...string) {
		to = append(to, "svc"...)
		for _, p := range path {
			to = append(append(to, '.'), p...)
		}
		to = strconv.AppendInt(append(to, '='), n, 10)
		to = append(to, '\n')
	}
	for _, c := range all {
		line(c.Answered.Load(), "transactions", c.Name, "answered")
		line(c.Deferred.Load(), "transactions", c.Name, "deferred")
		line(c.Errored.Load(), "transactions", c.Name, "errored")
		line(c.Sends.Load(), "transactions", c.Name, "sends")
	}
	line(int64(current), "current")
	line(b.ConfLoaded.Load(), "conf_loaded")
	line(b.ConfInvalid.Load(), "conf_invalid")
	return to
}
