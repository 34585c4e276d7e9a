package ops

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"whinrudder/internal/journal"
)

// Dump returns the state of the table as text, without times, for tools and for tests that compare states.
func (t *Table) Dump() string {
	var lines []string
	for _, o := range t.opsByKey {
		live := 0
		for _, id := range o.waiting {
			if t.opsByWaiter[id] == o {
				live++
			}
		}
		lines = append(lines, fmt.Sprint(o.key, " ", o.state, " ", o.runID, " ", o.leaderOpen, " ", o.endKind, " ", live,
			" ", o.position.Segment > 0))
	}
	slices.Sort(lines)
	for _, w := range t.pendingWrites {
		lines = append(lines, fmt.Sprint("write ", w.record.Kind, " ", w.record.Run, " ", w.copyFrom.Segment > 0))
	}
	return fmt.Sprint(strings.Join(lines, "\n"), "\nfailing ", t.writesFailing)
}

// Operation is an operation as operators see it.
type Operation struct {
	Key, Run, ResolvedBy string
	State                State
	End                  journal.Kind // of an operation that is ending or done
	At                   float64
	Position             journal.Position
}

// Operations returns the operations in order of their last change.
func (t *Table) Operations() (out []Operation) {
	for _, o := range t.opsByKey {
		out = append(out, Operation{o.key, o.runID, o.resolvedBy, o.state, o.endKind, o.changedAt, o.position})
	}
	slices.SortFunc(out, func(a, b Operation) int { return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Key, b.Key)) })
	return out
}
