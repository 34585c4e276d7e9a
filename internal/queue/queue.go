// Package queue provides the data structures of the decision module: a heap of timed entries and a priority queue
// of items in groups. They contain no policy of their own and are not safe for concurrent use.
package queue

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"sort"
)

// HeapEntry is an element of a Heap; the zero value is in no heap. It is usually a field of the struct that Value
// refers to.
type HeapEntry[T any] struct {
	Value T
	time  float64
	seq   uint64 // order of the calls of Set
	pos   int    // index in the heap plus 1; 0: in no heap
}

// Queued reports whether the entry is in a heap.
func (e *HeapEntry[T]) Queued() bool { return e.pos > 0 }

// Time returns the time of an entry that is in a heap.
func (e *HeapEntry[T]) Time() float64 { return e.time }

// Heap is a priority queue of entries by time, the earliest first. Entries with the same time are in the order in which
// they were set. Set, Remove and Pop take time logarithmic in the number of entries.
type Heap[T any] struct {
	entries entryHeap[T]
	seq     uint64
}

// Len returns the number of entries.
func (h *Heap[T]) Len() int { return len(h.entries) }

// First returns the time of the first entry; ok is false if the heap is empty.
func (h *Heap[T]) First() (time float64, ok bool) {
	if len(h.entries) == 0 {
		return 0, false
	}
	return h.entries[0].time, true
}

// Set adds an entry, or moves it to another time if it is in the heap.
func (h *Heap[T]) Set(e *HeapEntry[T], time float64) {
	h.seq++
	e.time, e.seq = time, h.seq
	if e.Queued() {
		heap.Fix(&h.entries, e.pos-1)
	} else {
		heap.Push(&h.entries, e)
	}
}

// Remove removes an entry if it is in the heap.
func (h *Heap[T]) Remove(e *HeapEntry[T]) {
	if e.Queued() {
		heap.Remove(&h.entries, e.pos-1)
	}
}

// Pop removes the first entry and returns its value if its time is not after until; ok is false otherwise.
func (h *Heap[T]) Pop(until float64) (value T, ok bool) {
	if len(h.entries) == 0 || h.entries[0].time > until {
		return value, false
	}
	return heap.Pop(&h.entries).(*HeapEntry[T]).Value, true
}

// entryHeap implements heap.Interface and keeps the positions of the entries.
type entryHeap[T any] []*HeapEntry[T]

func (e entryHeap[T]) Len() int { return len(e) }
func (e entryHeap[T]) Less(i, j int) bool {
	return e[i].time < e[j].time || e[i].time == e[j].time && e[i].seq < e[j].seq
}
func (e entryHeap[T]) Swap(i, j int) {
	e[i], e[j] = e[j], e[i]
	e[i].pos, e[j].pos = i+1, j+1
}
func (e *entryHeap[T]) Push(x any) {
	entry := x.(*HeapEntry[T])
	*e = append(*e, entry)
	entry.pos = len(*e)
}
func (e *entryHeap[T]) Pop() any {
	last := len(*e) - 1
	entry := (*e)[last]
	(*e)[last] = nil // allow the entry to be garbage collected
	*e = (*e)[:last]
	entry.pos = 0
	return entry
}

// Item is an element of a group of a Grouped queue; the zero value is in no group. Items of a group are ordered by Key,
// and by Seq where the keys are equal. The group keeps lower bounds of the Attributes.
type Item[T any] struct {
	Value      T
	Key        float64
	Seq        uint64
	Attributes [3]float64

	block *block[T]
}

// Queued reports whether the item is in a group.
func (i *Item[T]) Queued() bool { return i.block != nil }

// Representative returns the value that represents the group of the item, which must be in one.
func (i *Item[T]) Representative() T { return i.block.group.representative }

// Compare orders items by the rank of their groups as of the last Sort, then by Key and Seq. Items in no group come
// last and are equal to each other.
func (i *Item[T]) Compare(other *Item[T]) int {
	if i.block == nil || other.block == nil {
		return cmp.Compare(rank(i), rank(other))
	}
	return cmp.Or(cmp.Compare(rank(i), rank(other)), i.compare(other))
}

// rank returns the rank of the item's group, or the highest number if it is in none.
func rank[T any](i *Item[T]) int {
	if i.block == nil {
		return math.MaxInt
	}
	return i.block.group.rank
}

// Remove removes the item from its group, if it is in one.
func (i *Item[T]) Remove() {
	if i.block != nil {
		i.block.group.remove(i)
	}
}

func (i *Item[T]) compare(other *Item[T]) int {
	return cmp.Or(cmp.Compare(i.Key, other.Key), cmp.Compare(i.Seq, other.Seq))
}

// maxBlockItems is the maximal number of items in a block: small enough to search a block item by item, large enough
// that skipping a whole block saves time.
const maxBlockItems = 64

// block is a run of consecutive items of a group that a walk can skip as a whole.
type block[T any] struct {
	group       *group[T]
	items       []*Item[T]
	lowerBounds [3]float64 // of each of the Attributes of the items
}

func (b *block[T]) first() *Item[T] { return b.items[0] }

// computeBounds sets the lower bounds from all items.
func (b *block[T]) computeBounds() {
	b.lowerBounds = b.first().Attributes
	for _, item := range b.items[1:] {
		b.updateBounds(item)
	}
}

// updateBounds includes an added item in the lower bounds.
func (b *block[T]) updateBounds(item *Item[T]) {
	for i, v := range item.Attributes {
		b.lowerBounds[i] = min(b.lowerBounds[i], v)
	}
}

// group keeps the items of one key in order, in blocks.
type group[T any] struct {
	representative T // a value with the same key as the items

	value  float64 // as of the last Sort
	rank   int     // index of the first group of the same value, as of the last Sort
	size   int     // number of items
	blocks []*block[T]
}

// blockIndex returns the index of the last block that does not begin after item, or 0.
func (g *group[T]) blockIndex(item *Item[T]) int {
	return max(0, sort.Search(len(g.blocks), func(i int) bool { return g.blocks[i].first().compare(item) > 0 })-1)
}

// add adds an item that is in no group.
func (g *group[T]) add(item *Item[T]) {
	g.size++
	if len(g.blocks) == 0 {
		item.block = &block[T]{group: g, items: []*Item[T]{item}, lowerBounds: item.Attributes}
		g.blocks = append(g.blocks, item.block)
		return
	}
	i := g.blockIndex(item)
	b := g.blocks[i]
	j, _ := slices.BinarySearchFunc(b.items, item, (*Item[T]).compare)
	b.items = slices.Insert(b.items, j, item)
	b.updateBounds(item)
	item.block = b
	if len(b.items) <= maxBlockItems {
		return
	}
	half := len(b.items) / 2
	if i == len(g.blocks)-1 && j == len(b.items)-1 {
		half = j // most items arrive in order: leave the block full
	}
	next := &block[T]{group: g, items: slices.Clone(b.items[half:])}
	clear(b.items[half:])
	b.items = b.items[:half]
	for _, moved := range next.items {
		moved.block = next
	}
	b.computeBounds()
	next.computeBounds()
	g.blocks = slices.Insert(g.blocks, i+1, next)
}

// remove removes an item of this group.
func (g *group[T]) remove(item *Item[T]) {
	g.size--
	b := item.block
	item.block = nil
	j, _ := slices.BinarySearchFunc(b.items, item, (*Item[T]).compare)
	i := g.blockIndex(item)
	b.items = slices.Delete(b.items, j, j+1)
	if len(b.items) == 0 {
		g.blocks = slices.Delete(g.blocks, i, i+1)
		return
	}
	for k, v := range item.Attributes {
		if v <= b.lowerBounds[k] {
			b.computeBounds()
			break
		}
	}
}

// walk visits the items in order. It leaves out a block for which skip returns true. The visit of an item may remove
// that item, but no other.
func (g *group[T]) walk(skip func(representative T, n int, lowerBounds [3]float64) bool, visit func(T)) {
	var buf [maxBlockItems]*Item[T]
	for i := 0; i < len(g.blocks); {
		b := g.blocks[i]
		if !skip(g.representative, len(b.items), b.lowerBounds) {
			for _, item := range buf[:copy(buf[:], b.items)] {
				visit(item.Value)
			}
		}
		if i < len(g.blocks) && g.blocks[i] == b { // it still has items
			i++
		}
	}
}

// Grouped is a priority queue of items in groups. All items of a group have the same group key K and therefore the same
// value, so that it is computed once for each group.
type Grouped[K comparable, T any] struct {
	groups    []*group[T] // by descending value, as of the last Sort
	byKey     map[K]*group[T]
	key       func(T) K
	represent func(T) T
}

// NewGrouped returns an empty queue. The function key returns the group key of a value; represent makes the
// representative of a group from the value of its first item.
func NewGrouped[K comparable, T any](key func(T) K, represent func(T) T) *Grouped[K, T] {
	return &Grouped[K, T]{byKey: map[K]*group[T]{}, key: key, represent: represent}
}

// Add adds an item that is in no group to the group of its key. A new group comes last until the next Sort.
func (q *Grouped[K, T]) Add(item *Item[T]) {
	k := q.key(item.Value)
	g := q.byKey[k]
	if g == nil {
		g = &group[T]{representative: q.represent(item.Value), rank: len(q.groups)}
		q.byKey[k] = g
		q.groups = append(q.groups, g)
	}
	g.add(item)
}

// Sort deletes empty groups and orders the others by value, the highest first.
func (q *Grouped[K, T]) Sort(value func(representative T) float64) {
	q.groups = slices.DeleteFunc(q.groups, func(g *group[T]) bool {
		if g.size == 0 {
			delete(q.byKey, q.key(g.representative))
			return true
		}
		g.value = value(g.representative)
		return false
	})
	slices.SortStableFunc(q.groups, func(a, b *group[T]) int { return cmp.Compare(b.value, a.value) })
	for i, g := range q.groups {
		if g.rank = i; i > 0 && g.value == q.groups[i-1].value {
			g.rank = q.groups[i-1].rank
		}
	}
}

// Walk visits all items, group by group in the order of the last Sort. The items of groups with equal values are merged
// in the order of Key and Seq. If no other group has the same value, Walk leaves out each block of the group for which
// skip returns true; skip gets the group's representative, the number of items in the block and their lower bounds. The
// visit of an item may remove that item, but no other.
func (q *Grouped[K, T]) Walk(skip func(representative T, n int, lowerBounds [3]float64) bool, visit func(T)) {
	for i, j := 0, 0; i < len(q.groups); i = j {
		for j = i + 1; j < len(q.groups) && q.groups[j].rank == i; j++ {
		}
		if j == i+1 {
			q.groups[i].walk(skip, visit)
			continue
		}
		var all []*Item[T]
		for _, g := range q.groups[i:j] {
			for _, b := range g.blocks {
				all = append(all, b.items...)
			}
		}
		slices.SortStableFunc(all, (*Item[T]).compare)
		for _, item := range all {
			visit(item.Value)
		}
	}
}

// Sum returns the sum of a quantity over all items; each group's representative stands for its items.
func (q *Grouped[K, T]) Sum(quantity func(representative T) float64) (sum float64) {
	for _, g := range q.groups {
		sum += float64(g.size) * quantity(g.representative)
	}
	return sum
}
