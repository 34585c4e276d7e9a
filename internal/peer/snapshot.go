package peer

import "whinrudder/internal/knowledge"

// KindSnapshot opens a snapshot file; a Welcome, the sections and an End follow, as in a transfer.
const KindSnapshot Kind = 9

type written struct {
	Node string  `cbor:"node"`
	At   float64 `cbor:"written_ms"`
}

// clockSlack is how far a snapshot may lie in the future: clocks are set back by a little now and then.
const clockSlack = 1000

// AppendSnapshot appends the report of a node as a file that was written at a Unix time in milliseconds.
func AppendSnapshot(b []byte, r knowledge.Report, at float64) []byte {
	b = frame(b, KindSnapshot, written{r.Node, at})
	b = frame(b, KindWelcome, SummaryOf(r))
	return AppendSections(b, r)
}

// ReadSnapshot reads the file of an earlier life of a node and ages it by the wall clock. A file that is torn, another
// node's or from the future is refused with a code.
func ReadSnapshot(b []byte, node string, now float64) (knowledge.Report, *Fault) {
	var r Reader
	r.Feed(b)
	next := func(kind Kind, v any) *Fault {
		f, ok, bad := r.Next()
		switch {
		case bad != nil:
			return &Fault{"torn", bad.Error()}
		case !ok || f.Kind != kind:
			return fault("torn", "no whole frame of kind %d", kind)
		}
		return read(f, v)
	}
	var w written
	if bad := next(KindSnapshot, &w); bad != nil {
		return knowledge.Report{}, bad
	}
	var h Summary
	if bad := next(KindWelcome, &h); bad != nil {
		return knowledge.Report{}, bad
	}
	switch {
	case w.Node != node || h.Node != node:
		return knowledge.Report{}, fault("foreign", "it is of %.64q, this is %s", w.Node, node)
	case !(w.At <= now+clockSlack):
		return knowledge.Report{}, fault("future", "it was written %.0f s from now", (w.At-now)/1000)
	case !(w.At > 0):
		return knowledge.Report{}, fault("bad-figure", "written_ms is %v", w.At)
	}
	g := NewReportAssembler(h)
	for !g.whole {
		f, ok, bad := r.Next()
		switch {
		case bad != nil:
			return knowledge.Report{}, &Fault{"torn", bad.Error()}
		case !ok:
			return knowledge.Report{}, fault("torn", "it ends after %d sections", g.sections)
		}
		if bad := g.Add(f); bad != nil {
			return knowledge.Report{}, bad
		}
	}
	if r.Buffered() > 0 {
		return knowledge.Report{}, fault("torn", "%d bytes behind the end", r.Buffered())
	}
	report := g.report.AgedBy(now - w.At)
	if err := report.Check(); err != nil {
		return knowledge.Report{}, fault("old", "%v", err)
	}
	return report, nil
}
