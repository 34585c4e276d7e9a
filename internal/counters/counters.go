// Package counters counts the outcomes of requests by class, as metrics for operators. Counters start at 0 with
// the process. The core's goroutine writes them; any goroutine may read them at any time without blocking it.
package counters

import (
	"maps"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
)

// maxClasses is the number of classes above which counters of classes that are no longer configured are
// dropped.
const maxClasses = 256

// Class counts the requests of one class.
type Class struct {
	Name     string
	Answered atomic.Int64 // served
	Deferred atomic.Int64 // refused
	Errored  atomic.Int64 // failed
	Sends    atomic.Int64 // runs handed to the worker pool
}

// Registry holds the counters of one process.
type Registry struct {
	ConfLoaded  atomic.Int64 // configurations applied at SIGHUP
	ConfInvalid atomic.Int64 // configurations rejected at SIGHUP

	Runs       Runs
	LinkBreaks atomic.Int64 // ends of the link to the worker pool
	Ends       Reasons      // requests that were not served, by reason

	mu      sync.Mutex // guards classes
	classes []*Class   // in order of first use
}

// Runs is what the node believes about its runs, beside what the worker pool reported last.
type Runs struct {
	InProgress    atomic.Int64
	InDoubt       atomic.Int64 // those that may never have started
	QueuedStarts  atomic.Int64 // those whose start waits for the link
	PoolRunnable  atomic.Int64 // what wants a core of the worker pool; -1: not reported
	PoolMemoryPct atomic.Int64 // memory in use there, in percent; -1: not reported
}

// Reasons counts by reason. The zero value is ready to use. The reasons must be from a fixed list.
type Reasons struct {
	mu     sync.Mutex
	counts map[string]int64
}

// Add counts one more for a reason.
func (r *Reasons) Add(reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts == nil {
		r.counts = map[string]int64{}
	}
	r.counts[reason]++
}

// each calls do for all reasons that were counted, in alphabetical order.
func (r *Reasons) each(do func(reason string, n int64)) {
	r.mu.Lock()
	counts := maps.Clone(r.counts)
	r.mu.Unlock()
	for _, reason := range slices.Sorted(maps.Keys(counts)) {
		do(reason, counts[reason])
	}
}

// Classes returns the counters of classes by their names, in the order of names. The same name has the same
// counters for the life of the process, unless there are more than maxClasses: then the counters of classes
// that are not in names are dropped.
func (r *Registry) Classes(names []string) []*Class {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]*Class, len(names))
	for i, n := range names {
		index := slices.IndexFunc(r.classes, func(c *Class) bool { return c.Name == n })
		if index < 0 {
			index = len(r.classes)
			r.classes = append(r.classes, &Class{Name: n})
		}
		out[i] = r.classes[index]
	}
	if len(r.classes) > maxClasses {
		r.classes = slices.DeleteFunc(r.classes, func(c *Class) bool { return !slices.Contains(names, c.Name) })
	}
	return out
}

// AppendText appends all metrics, one per line: svc.transactions.CLASS.NAME=N and svc.NAME=N. The parameter
// current is the number of requests that have not been answered.
func (r *Registry) AppendText(b []byte, current int) []byte {
	r.mu.Lock()
	classes := slices.Clone(r.classes)
	r.mu.Unlock()
	line := func(n int64, path ...string) { b = appendLine(b, n, path...) }
	for _, c := range classes {
		line(c.Answered.Load(), "transactions", c.Name, "answered")
		line(c.Deferred.Load(), "transactions", c.Name, "deferred")
		line(c.Errored.Load(), "transactions", c.Name, "errored")
		line(c.Sends.Load(), "transactions", c.Name, "sends")
	}
	line(int64(current), "current")
	line(r.ConfLoaded.Load(), "conf_loaded")
	line(r.ConfInvalid.Load(), "conf_invalid")
	return b
}

// AppendRuns appends what the node believes about its runs, what the worker pool reported last, and the requests that
// were not served by reason, one per line.
func (r *Registry) AppendRuns(b []byte) []byte {
	line := func(n int64, path ...string) { b = appendLine(b, n, path...) }
	line(r.Runs.InProgress.Load(), "runs", "in_progress")
	line(r.Runs.InDoubt.Load(), "runs", "in_doubt")
	line(r.Runs.QueuedStarts.Load(), "runs", "queued_starts")
	line(r.Runs.PoolRunnable.Load(), "pool", "runnable")
	line(r.Runs.PoolMemoryPct.Load(), "pool", "memory_percent")
	line(r.LinkBreaks.Load(), "link_breaks")
	r.Ends.each(func(reason string, n int64) { line(n, "not_served", reason) })
	return b
}

// appendLine appends a line with the name svc.PATH, its parts joined by dots.
func appendLine(b []byte, n int64, path ...string) []byte {
	b = append(b, "svc"...)
	for _, p := range path {
		b = append(append(b, '.'), p...)
	}
	return append(strconv.AppendInt(append(b, '='), n, 10), '\n')
}
