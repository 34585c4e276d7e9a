// Package queue holds the plain data structures of the decision module: a heap of timed entries and a priority
// queue of items in groups. They decide nothing. They are not safe for concurrent use.
package queue

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"sort"
)

// HeapEntry is a place in a Heap; the zero value is in none. It lies inside of what it stands for.
type HeapEntry[T any] struct {
	Value T
	at    float64
	seq   uint64 // of its setting
	pos   int    // from 1; 0: in no heap
}

// Queued tells whether it is in a heap.
func (d *HeapEntry[T]) Queued() bool { return d.pos > 0 }

// Heap holds what falls due, the soonest first, those of one time in the order in which they were set. All but Len and First take time in the logarithm of its size.
type Heap[T any] struct {
	all entries[T]
	seq uint64
}

// Len returns how many there are.
func (h *Heap[T]) Len() int { return len(h.all) }

// First returns the time of the first entry; ok is false if there is none.
func (h *Heap[T]) First() (at float64, ok bool) {
	if len(h.all) == 0 {
		return 0, false
	}
	return h.all[0].at, true
}

// Set puts an entry in, or moves it to another time.
func (h *Heap[T]) Set(d *HeapEntry[T], at float64) {
	h.seq++
	d.at, d.seq = at, h.seq
	if d.Queued() {
		heap.Fix(&h.all, d.pos-1)
	} else {
		heap.Push(&h.all, d)
	}
}

// Remove takes an entry out, if it is in.
func (h *Heap[T]) Remove(d *HeapEntry[T]) {
	if d.Queued() {
		heap.Remove(&h.all, d.pos-1)
	}
}

// Pop takes out the first entry if it falls due by a time.
func (h *Heap[T]) Pop(by float64) (what T, ok bool) {
	if len(h.all) == 0 || h.all[0].at > by {
		return what, false
	}
	return heap.Pop(&h.all).(*HeapEntry[T]).Value, true
}

type entries[T any] []*HeapEntry[T]

func (e entries[T]) Len() int { return len(e) }
func (e entries[T]) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e entries[T]) Swap(i, j int) {
	e[i], e[j] = e[j], e[i]
	e[i].pos, e[j].pos = i+1, j+1
}
func (e *entries[T]) Push(x any) {
	d := x.(*HeapEntry[T])
	*e = append(*e, d)
	d.pos = len(*e)
}
func (e *entries[T]) Pop() any {
	last := len(*e) - 1
	d := (*e)[last]
	(*e)[last] = nil // it must not be kept from the collector
	*e = (*e)[:last]
	d.pos = 0
	return d
}

// Item is a place in a line; the zero value is in none. Key orders a line, Seq those of one key; a line knows
// lower bounds of the Attributes.
type Item[T any] struct {
	Value      T
	Key        float64
	Seq        uint64
	Attributes [3]float64

	block *block[T]
}

// Queued tells whether it is in a line.
func (p *Item[T]) Queued() bool { return p.block != nil }

// Representative returns the one that stands for its line.
func (p *Item[T]) Representative() T { return p.block.line.like }

// Compare orders places by their lines in a hold, and within a line; those in no line come last and are all alike.
func (p *Item[T]) Compare(o *Item[T]) int {
	if p.block == nil || o.block == nil {
		return cmp.Compare(rank(p), rank(o))
	}
	return cmp.Or(cmp.Compare(rank(p), rank(o)), p.compare(o))
}

func rank[T any](p *Item[T]) int {
	if p.block == nil {
		return math.MaxInt
	}
	return p.block.line.rank
}

// Remove takes it out of its line, if it is in one.
func (p *Item[T]) Remove() {
	if p.block != nil {
		p.block.line.remove(p)
	}
}

func (p *Item[T]) compare(o *Item[T]) int {
	return cmp.Or(cmp.Compare(p.Key, o.Key), cmp.Compare(p.Seq, o.Seq))
}

// blockMost bounds the places of a block: few enough to walk, many enough to skip.
const blockMost = 64

type block[T any] struct {
	line   *line[T]
	places []*Item[T]
	low    [3]float64
}

func (b *block[T]) first() *Item[T] { return b.places[0] }

// measure sets the lower bounds.
func (b *block[T]) measure() {
	b.low = b.first().Attributes
	for _, p := range b.places[1:] {
		b.lower(p)
	}
}

func (b *block[T]) lower(p *Item[T]) {
	for i, v := range p.Attributes {
		b.low[i] = min(b.low[i], v)
	}
}

// line keeps places in order, in blocks that can be passed over as a whole. like is one like them.
type line[T any] struct {
	like T

	value  float64
	rank   int
	n      int
	blocks []*block[T]
}

// at returns the index of the last block that does not begin after p, or 0.
func (l *line[T]) at(p *Item[T]) int {
	return max(0, sort.Search(len(l.blocks), func(i int) bool { return l.blocks[i].first().compare(p) > 0 })-1)
}

// add puts in a place that is in no line.
func (l *line[T]) add(p *Item[T]) {
	l.n++
	if len(l.blocks) == 0 {
		p.block = &block[T]{line: l, places: []*Item[T]{p}, low: p.Attributes}
		l.blocks = append(l.blocks, p.block)
		return
	}
	i := l.at(p)
	b := l.blocks[i]
	j, _ := slices.BinarySearchFunc(b.places, p, (*Item[T]).compare)
	b.places = slices.Insert(b.places, j, p)
	b.lower(p)
	p.block = b
	if len(b.places) <= blockMost {
		return
	}
	half := len(b.places) / 2
	if i == len(l.blocks)-1 && j == len(b.places)-1 {
		half = j // most come in order: blocks stay full
	}
	next := &block[T]{line: l, places: slices.Clone(b.places[half:])}
	clear(b.places[half:])
	b.places = b.places[:half]
	for _, o := range next.places {
		o.block = next
	}
	b.measure()
	next.measure()
	l.blocks = slices.Insert(l.blocks, i+1, next)
}

func (l *line[T]) remove(p *Item[T]) {
	l.n--
	b := p.block
	p.block = nil
	j, _ := slices.BinarySearchFunc(b.places, p, (*Item[T]).compare)
	i := l.at(p)
	b.places = slices.Delete(b.places, j, j+1)
	if len(b.places) == 0 {
		l.blocks = slices.Delete(l.blocks, i, i+1)
		return
	}
	for k, v := range p.Attributes {
		if v <= b.low[k] {
			b.measure()
			break
		}
	}
}

// walk visits the places in order. A block is left out if skip says so. A visit may remove the place that it is at, and
// no other.
func (l *line[T]) walk(skip func(like T, n int, low [3]float64) bool, visit func(T)) {
	var buf [blockMost]*Item[T]
	for i := 0; i < len(l.blocks); {
		b := l.blocks[i]
		if !skip(l.like, len(b.places), b.low) {
			for _, p := range buf[:copy(buf[:], b.places)] {
				visit(p.Value)
			}
		}
		if i < len(l.blocks) && l.blocks[i] == b { // it was not emptied
			i++
		}
	}
}

// Grouped keeps what waits in lines: all of a line have the same key, and with it the same value. K tells what they
// have in common.
type Grouped[K comparable, T any] struct {
	lines []*line[T] // the best first, as of the last Sort
	byKey map[K]*line[T]
	key   func(T) K
	like  func(T) T
}

// NewGrouped returns a queue whose items have keys by key; like makes the one that stands for a line from its first.
func NewGrouped[K comparable, T any](key func(T) K, like func(T) T) *Grouped[K, T] {
	return &Grouped[K, T]{byKey: map[K]*line[T]{}, key: key, like: like}
}

// Add puts a place that is in no line into its line. Where that is new it stands last until the next Sort.
func (h *Grouped[K, T]) Add(p *Item[T]) {
	k := h.key(p.Value)
	l := h.byKey[k]
	if l == nil {
		l = &line[T]{like: h.like(p.Value), rank: len(h.lines)}
		h.byKey[k] = l
		h.lines = append(h.lines, l)
	}
	l.add(p)
}

// Sort drops lines that are empty and orders the others by their value, the highest first.
func (h *Grouped[K, T]) Sort(value func(like T) float64) {
	h.lines = slices.DeleteFunc(h.lines, func(l *line[T]) bool {
		if l.n == 0 {
			delete(h.byKey, h.key(l.like))
			return true
		}
		l.value = value(l.like)
		return false
	})
	slices.SortStableFunc(h.lines, func(a, b *line[T]) int { return cmp.Compare(b.value, a.value) })
	for i, l := range h.lines {
		if l.rank = i; i > 0 && l.value == h.lines[i-1].value {
			l.rank = h.lines[i-1].rank
		}
	}
}

// Walk visits all places, line by line as of the last Sort, those of lines of one value by key and number. A block of a
// line that is alone in its value is left out if skip, which hears what the line is like, how many places the block has
// and their lower bounds, says so. A visit may remove the place that it is at, and no other.
func (h *Grouped[K, T]) Walk(skip func(like T, n int, low [3]float64) bool, visit func(T)) {
	for i, j := 0, 0; i < len(h.lines); i = j {
		for j = i + 1; j < len(h.lines) && h.lines[j].rank == i; j++ {
		}
		if j == i+1 {
			h.lines[i].walk(skip, visit)
			continue
		}
		var all []*Item[T]
		for _, l := range h.lines[i:j] {
			for _, b := range l.blocks {
				all = append(all, b.places...)
			}
		}
		slices.SortStableFunc(all, (*Item[T]).compare)
		for _, p := range all {
			visit(p.Value)
		}
	}
}

// Sum adds up a figure of all that waits.
func (h *Grouped[K, T]) Sum(of func(like T) float64) (sum float64) {
	for _, l := range h.lines {
		sum += float64(l.n) * of(l.like)
	}
	return sum
}
