// Package counters counts the outcomes of requests by class, as metrics for operators. Counters start at 0 with
// the process. The core's goroutine writes them; any goroutine may read them at any time without blocking it.
package counters

import (
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

	mu      sync.Mutex // guards classes
	classes []*Class   // in order of first use
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
	line := func(n int64, path ...string) {
		b = append(b, "svc"...)
		for _, p := range path {
			b = append(append(b, '.'), p...)
		}
		b = strconv.AppendInt(append(b, '='), n, 10)
		b = append(b, '\n')
	}
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
