package ops

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"whinrudder/internal/journal"
)

// Dump is the state of the table as text, without times, for tools and for tests that compare states.
func (t *Table) Dump() string {
	var lines []string
	for _, o := range t.ops {
		live := 0
		for _, id := range o.waiting {
			if t.waits[id] == o {
				live++
			}
		}
		lines = append(lines, fmt.Sprint(o.key, " ", o.state, " ", o.run, " ", o.led, " ", o.end, " ", live, " ", o.place.Segment > 0))
	}
	slices.Sort(lines)
	for _, w := range t.pending {
		lines = append(lines, fmt.Sprint("write ", w.rec.Kind, " ", w.rec.Run, " ", w.from.Segment > 0))
	}
	return fmt.Sprint(strings.Join(lines, "\n"), "\nfailing ", t.failing)
}

// Operation is an operation as operators see it.
type Operation struct {
	Key, Run, ResolvedBy string
	State                State
	End                  journal.Kind // of one that is done
	At                   float64
	Position             journal.Position
}

// Operations lists the operations in order of their last change.
func (t *Table) Operations() (out []Operation) {
	for _, o := range t.ops {
		out = append(out, Operation{o.key, o.run, o.by, o.state, o.end, o.at, o.place})
	}
	slices.SortFunc(out, func(a, b Operation) int { return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Key, b.Key)) })
	return out
}
