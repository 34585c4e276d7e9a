// Package memory divides the memory limit of a node's process among the things that grow with its traffic, and counts
// what connections take from a common budget. docs/memory.md has the sum.
package memory

// ConnBytes is the most that a connection holds that carries one message at a time: its goroutine's stack, its buffers,
// and its request with all that the core, the decision module and the link to the worker pool keep for it.
const ConnBytes = 40 << 10

// idBytes is what an id of an ended request takes: its text, its entry and its share of the map.
const idBytes = 128

// Plan holds the bounds that follow from a memory limit.
type Plan struct {
	MaxConns    int   // connections of callers
	SharedBytes int64 // what connections with many requests at a time may hold beyond ConnBytes, together
	MaxIDs      int   // ids of ended requests that may have run, and as many of others
	ResultBytes int   // results that are kept to serve several requests, with their keys
}

// Shares of the memory limit. The rest, more than a third, is for the program, what does not grow with the traffic, and
// what the garbage collector has not freed yet.
const (
	connsShare  = 5.0 / 16
	sharedShare = 1.0 / 8
	idsShare    = 1.0 / 8 // both histories
	resultShare = 1.0 / 32
)

// NewPlan returns the plan for a process with a memory limit, of which some is reserved for other purposes.
func NewPlan(limitBytes, reservedBytes int64) Plan {
	free := float64(max(0, limitBytes-reservedBytes))
	return Plan{MaxConns: int(free * connsShare / ConnBytes), SharedBytes: int64(free * sharedShare),
		MaxIDs: int(free * idsShare / 2 / idBytes), ResultBytes: int(free * resultShare)}
}
