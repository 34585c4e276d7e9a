package memory

import "sync/atomic"

// Budget counts bytes that connections hold together. It is safe for concurrent use. A nil Budget has no bound.
type Budget struct {
	limit atomic.Int64
	used  atomic.Int64
}

// NewBudget returns a budget of some bytes.
func NewBudget(limitBytes int64) *Budget {
	b := &Budget{}
	b.SetLimit(limitBytes)
	return b
}

// SetLimit changes the bound. What is held above a lower one stays until it is released.
func (b *Budget) SetLimit(limitBytes int64) { b.limit.Store(limitBytes) }

// Reserve takes n bytes, or returns false if that many are not left.
func (b *Budget) Reserve(n int64) bool {
	if b == nil {
		return true
	}
	if b.used.Add(n) > b.limit.Load() {
		b.used.Add(-n)
		return false
	}
	return true
}

// Release gives back n bytes that Reserve took.
func (b *Budget) Release(n int64) {
	if b != nil {
		b.used.Add(-n)
	}
}

// Used returns how many bytes are held.
func (b *Budget) Used() int64 { return b.used.Load() }
