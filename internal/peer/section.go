package peer

import (
	"whinrudder"
	"whinrudder/internal/knowledge"
)

// helloPayload is the payload of a Hello frame.
type helloPayload struct {
	Node     string   `cbor:"node"`
	Versions []uint64 `cbor:"versions"`
}

// Summary describes a source and its knowledge, before the transfer.
type Summary struct {
	Node     string  `cbor:"node"`
	UptimeMs float64 `cbor:"life_ms"`
	Cores    int     `cbor:"cores"`
	Warm     bool    `cbor:"warm"`
	Draining bool    `cbor:"draining"`
	Runs     float64 `cbor:"runs"` // finished runs behind the knowledge
}

// SummaryOf returns the summary of a report.
func SummaryOf(r knowledge.Report) Summary {
	return Summary{r.Node, r.Uptime, r.Cores, r.Warm, r.Draining, r.Runs()}
}

// endPayload is the payload of an End frame.
type endPayload struct {
	Sections int `cbor:"sections"`
}

// busyPayload is the payload of a Busy frame.
type busyPayload struct {
	RetryMs float64 `cbor:"retry_ms"`
	Code    string  `cbor:"code"`
}

// refusePayload is the payload of a Refuse frame.
type refusePayload struct {
	Code string `cbor:"code"`
}

// sectionPayload is the payload of a Section frame: the knowledge of one class, or the estimates that belong to no
// class.
type sectionPayload struct {
	Class    string  `cbor:"class,omitempty"`
	Runs     float64 `cbor:"runs,omitempty"`
	Age      float64 `cbor:"age_ms,omitempty"`
	Time     float64 `cbor:"time_ms,omitempty"`
	Work     float64 `cbor:"work,omitempty"`
	WorkWork float64 `cbor:"work_work,omitempty"`
	WorkTime float64 `cbor:"work_time,omitempty"`
	Share    float64 `cbor:"share,omitempty"`
	// Recent waits of callers, the newest first, in milliseconds.
	Waits     []float64                  `cbor:"waits_ms,omitempty"`
	Estimates map[string]estimatePayload `cbor:"figures,omitempty"`
}

// estimatePayload is one estimate that belongs to no class.
type estimatePayload struct {
	Value float64 `cbor:"value"`
	N     float64 `cbor:"n"`
	Age   float64 `cbor:"age_ms"`
}

// AppendSections appends the contents of a report as frames: a section for each class, one for the estimates without
// class, and the end. A transfer and a snapshot contain the same frames, after a Summary.
func AppendSections(b []byte, r knowledge.Report) []byte {
	for _, c := range r.Classes {
		b = appendMessage(b, KindSection, sectionPayload{Class: c.Name, Runs: c.Cost.N, Age: c.Cost.Age,
			Time: c.Cost.Time, Work: c.Cost.Work, WorkWork: c.Cost.WorkWork, WorkTime: c.Cost.WorkTime,
			Share: c.Share, Waits: c.Waits})
	}
	estimates := map[string]estimatePayload{}
	for name, f := range estimatesOf(&r) {
		if f.N > 0 {
			estimates[name] = estimatePayload{f.Value, f.N, f.Age}
		}
	}
	b = appendMessage(b, KindSection, sectionPayload{Estimates: estimates})
	return appendMessage(b, KindEnd, endPayload{len(r.Classes) + 1})
}

// estimatesOf returns the estimates of a report that belong to no class, by their names in the protocol.
func estimatesOf(r *knowledge.Report) map[string]*whinrudder.Estimate {
	return map[string]*whinrudder.Estimate{"limit": &r.Limit, "pace": &r.CoreShare, "slow": &r.Slowdown,
		"call_base": &r.BaseCallLatency}
}

// ReportAssembler assembles a report from its summary and its sections.
type ReportAssembler struct {
	report   knowledge.Report
	sections int
	complete bool
}

// NewReportAssembler returns an assembler for the report of a source with the given summary.
func NewReportAssembler(h Summary) *ReportAssembler {
	return &ReportAssembler{report: knowledge.Report{Node: h.Node, Uptime: h.UptimeMs, Cores: h.Cores, Warm: h.Warm,
		Draining: h.Draining}}
}

// Add adds the contents of a Section frame, or completes the report with an End frame.
func (a *ReportAssembler) Add(f Frame) *Fault {
	switch {
	case a.complete:
		return newFault("bad-order", "frame of kind %d after the end frame", f.Kind)
	case f.Kind == KindEnd:
		var e endPayload
		if err := decodePayload(f, &e); err != nil {
			return err
		}
		if e.Sections != a.sections {
			return newFault("bad-count", "received %d sections, the end frame counts %d", a.sections, e.Sections)
		}
		a.complete = true
		return nil
	case f.Kind != KindSection:
		return newFault("bad-order", "frame of kind %d among the sections", f.Kind)
	case a.sections >= MaxSections:
		return newFault("long-transfer", "more than %d sections", MaxSections)
	}
	var s sectionPayload
	if err := decodePayload(f, &s); err != nil {
		return err
	}
	next := a.report
	if s.Class != "" {
		next.Classes = append(next.Classes[:len(next.Classes):len(next.Classes)], knowledge.Class{Name: s.Class,
			ClassKnowledge: whinrudder.ClassKnowledge{Share: s.Share, Waits: s.Waits, Cost: whinrudder.CostModel{
				N: s.Runs, Age: s.Age, Time: s.Time, Work: s.Work, WorkWork: s.WorkWork, WorkTime: s.WorkTime}}})
	}
	for name, to := range estimatesOf(&next) {
		if f, ok := s.Estimates[name]; ok {
			*to = whinrudder.Estimate{Value: f.Value, N: f.N, Age: f.Age}
		}
	}
	if err := next.Check(); err != nil {
		// A source that sends an invalid value is not trusted in its earlier sections either.
		a.report.Classes, a.report.Limit, a.report.BaseCallLatency = nil, whinrudder.Estimate{}, whinrudder.Estimate{}
		return newFault("bad-figure", "%v", err)
	}
	a.report = next
	a.sections++
	return nil
}

// Report returns the report of the sections added so far, and whether it is complete.
func (a *ReportAssembler) Report() (r knowledge.Report, complete bool) { return a.report, a.complete }

// AppendRefuse appends a Refuse frame with a code.
func AppendRefuse(b []byte, code string) []byte {
	return appendMessage(b, KindRefuse, refusePayload{code})
}

// DescribeFrame returns the name of a frame's kind, with the code if the frame has one, for transcripts.
func DescribeFrame(f Frame) string {
	name := map[Kind]string{KindHello: "hello", KindWelcome: "welcome", KindTake: "take", KindSection: "section",
		KindEnd: "end", KindBusy: "busy", KindRefuse: "refuse", KindSnapshot: "snapshot"}[f.Kind]
	var code refusePayload
	if (f.Kind == KindRefuse || f.Kind == KindBusy) && decodePayload(f, &code) == nil {
		name += ":" + sanitizeCode(code.Code)
	}
	return name
}
