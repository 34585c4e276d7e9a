package h2

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"whinrudder/internal/core"
	"whinrudder/internal/memory"
)

// Guards against streams that take the node over its memory limit (review/2 on another front): once the budget that all
// connections share is used up, a further stream is refused before anything runs, but each connection can have one. What
// ends gives its part back.
func TestStreamsStayWithinTheSharedBudget(t *testing.T) {
	const oneStream = streamBytes + maxResultBytes + bodyCopies*2048 + 400
	budget := memory.NewBudget(oneStream)
	p, q := newPeer(), newPeer()
	p.conn.SetBudget(budget)
	q.conn.SetBudget(budget)
	p.feed()
	q.feed()
	for _, id := range []uint32{1, 3, 5} { // the first is free, the second fits, the third does not
		p.headers(id, false, post)
	}
	q.headers(1, false, post)
	q.headers(3, false, post)
	if diff := cmp.Diff([]string{"rst 5 REFUSED_STREAM"}, p.feed()); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]string{"rst 3 REFUSED_STREAM"}, q.feed()); diff != "" {
		t.Error(diff)
	}
	if e := q.events(); len(e) != 1 || e[0].Code != "memory" {
		t.Errorf("got events %v, want one with code memory", e)
	}
	p.events()
	p.framer.WriteData(3, true, []byte("body"))
	p.feed()
	if budget.Used() >= oneStream/2+bodyCopies*2048/2 || budget.Used() < streamBytes {
		t.Errorf("got %d bytes held by a complete request, want what its body needs", budget.Used())
	}
	p.conn.Answer(p.now, p.events()[0].Tag, core.Answer{Credit: -1})
	p.readFrames()
	if budget.Used() != 0 {
		t.Errorf("got %d bytes held after the answer, want 0", budget.Used())
	}
	p.headers(7, false, strings.Replace(post, "a1", "a7", 1))
	p.feed()
	p.conn.Release()
	if budget.Used() != 0 {
		t.Errorf("got %d bytes held after the connection, want 0", budget.Used())
	}
}
