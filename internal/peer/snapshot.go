package peer

import "whinrudder/internal/knowledge"

// KindSnapshot is the kind of the first frame of a snapshot file. A Welcome, the sections and an End follow, as in a
// transfer.
const KindSnapshot Kind = 9

// snapshotHeader is the payload of the first frame of a snapshot file.
type snapshotHeader struct {
	Node      string  `cbor:"node"`
	WrittenMs float64 `cbor:"written_ms"` // Unix time
}

// maxClockSkewMs is how far in the future a snapshot may have been written, because clocks are set back slightly now
// and then.
const maxClockSkewMs = 1000

// AppendSnapshot appends the contents of a snapshot file that is written at a Unix time in milliseconds.
func AppendSnapshot(b []byte, r knowledge.Report, writtenMs float64) []byte {
	b = appendMessage(b, KindSnapshot, snapshotHeader{r.Node, writtenMs})
	b = appendMessage(b, KindWelcome, SummaryOf(r))
	return AppendSections(b, r)
}

// ReadSnapshot decodes the snapshot file of an earlier process of a node, and adds the time since it was written to the
// ages. It refuses a file that is incomplete or damaged, of another node, from the future or too old, with a code.
func ReadSnapshot(b []byte, node string, now float64) (knowledge.Report, *Fault) {
	var r Reader
	r.Feed(b)
	next := func(kind Kind, v any) *Fault {
		f, ok, bad := r.Next()
		switch {
		case bad != nil:
			return &Fault{"torn", bad.Error()}
		case !ok || f.Kind != kind:
			return newFault("torn", "no complete frame of kind %d", kind)
		}
		return decodePayload(f, v)
	}
	var w snapshotHeader
	if bad := next(KindSnapshot, &w); bad != nil {
		return knowledge.Report{}, bad
	}
	var h Summary
	if bad := next(KindWelcome, &h); bad != nil {
		return knowledge.Report{}, bad
	}
	switch {
	case w.Node != node || h.Node != node:
		return knowledge.Report{}, newFault("foreign", "snapshot is of node %.64q, this is %s", w.Node, node)
	case !(w.WrittenMs <= now+maxClockSkewMs):
		return knowledge.Report{}, newFault("future", "snapshot was written %.0f s in the future",
			(w.WrittenMs-now)/1000)
	case !(w.WrittenMs > 0):
		return knowledge.Report{}, newFault("bad-figure", "written_ms is %v", w.WrittenMs)
	}
	assembler := NewReportAssembler(h)
	for !assembler.complete {
		f, ok, bad := r.Next()
		switch {
		case bad != nil:
			return knowledge.Report{}, &Fault{"torn", bad.Error()}
		case !ok:
			return knowledge.Report{}, newFault("torn", "snapshot ends after %d sections", assembler.sections)
		}
		if bad := assembler.Add(f); bad != nil {
			return knowledge.Report{}, bad
		}
	}
	if r.Buffered() > 0 {
		return knowledge.Report{}, newFault("torn", "%d bytes after the end frame", r.Buffered())
	}
	report := assembler.report.AgedBy(now - w.WrittenMs)
	if err := report.Check(); err != nil {
		return knowledge.Report{}, newFault("old", "%v", err)
	}
	return report, nil
}
