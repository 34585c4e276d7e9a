package peer

import (
	"whinrudder"
	"whinrudder/internal/knowledge"
)

// hello opens a connection.
type hello struct {
	Node     string   `cbor:"node"`
	Versions []uint64 `cbor:"versions"`
}

// Summary is what a giver says of itself before it gives.
type Summary struct {
	Node     string  `cbor:"node"`
	UptimeMs float64 `cbor:"life_ms"`
	Cores    int     `cbor:"cores"`
	Warm     bool    `cbor:"warm"`
	Draining bool    `cbor:"draining"`
	Runs     float64 `cbor:"runs"`
}

// SummaryOf returns the head of a report.
func SummaryOf(r knowledge.Report) Summary {
	return Summary{r.Node, r.Uptime, r.Cores, r.Warm, r.Draining, r.Runs()}
}

type end struct {
	Sections int `cbor:"sections"`
}

type busy struct {
	Retry float64 `cbor:"retry_ms"`
	Code  string  `cbor:"code"`
}

type refuse struct {
	Code string `cbor:"code"`
}

// section is one class, or the figures that belong to none.
type section struct {
	Class    string  `cbor:"class,omitempty"`
	Runs     float64 `cbor:"runs,omitempty"`
	Age      float64 `cbor:"age_ms,omitempty"`
	Time     float64 `cbor:"time_ms,omitempty"`
	Work     float64 `cbor:"work,omitempty"`
	WorkWork float64 `cbor:"work_work,omitempty"`
	WorkTime float64 `cbor:"work_time,omitempty"`
	Share    float64 `cbor:"share,omitempty"`
	// Usual waits, the newest first, in milliseconds.
	Waits   []float64         `cbor:"waits_ms,omitempty"`
	Figures map[string]figure `cbor:"figures,omitempty"`
}

type figure struct {
	Value float64 `cbor:"value"`
	N     float64 `cbor:"n"`
	Age   float64 `cbor:"age_ms"`
}

// AppendSections appends a report as frames: its head, a section for each class and one for the figures, and the end.
// A transfer and a snapshot hold the same.
func AppendSections(b []byte, r knowledge.Report) []byte {
	for _, c := range r.Classes {
		b = frame(b, KindSection, section{Class: c.Name, Runs: c.Cost.N, Age: c.Cost.Age, Time: c.Cost.Time, Work: c.Cost.Work,
			WorkWork: c.Cost.WorkWork, WorkTime: c.Cost.WorkTime, Share: c.Share, Waits: c.Waits})
	}
	figures := map[string]figure{}
	for name, f := range figuresOf(&r) {
		if f.N > 0 {
			figures[name] = figure{f.Value, f.N, f.Age}
		}
	}
	b = frame(b, KindSection, section{Figures: figures})
	return frame(b, KindEnd, end{len(r.Classes) + 1})
}

func figuresOf(r *knowledge.Report) map[string]*whinrudder.Estimate {
	return map[string]*whinrudder.Estimate{"limit": &r.Limit, "pace": &r.CoreShare, "slow": &r.Slowdown, "call_base": &r.BaseCallLatency}
}

// ReportAssembler puts the sections of one report together. A section counts once it is whole.
type ReportAssembler struct {
	report   knowledge.Report
	sections int
	whole    bool
}

// NewReportAssembler returns the gatherer of what a giver with that head gives.
func NewReportAssembler(h Summary) *ReportAssembler {
	return &ReportAssembler{report: knowledge.Report{Node: h.Node, Uptime: h.UptimeMs, Cores: h.Cores, Warm: h.Warm,
		Draining: h.Draining}}
}

// Add takes a Section or an End.
func (g *ReportAssembler) Add(f Frame) *Fault {
	switch {
	case g.whole:
		return fault("bad-order", "a frame of kind %d after the end", f.Kind)
	case f.Kind == KindEnd:
		var e end
		if err := read(f, &e); err != nil {
			return err
		}
		if e.Sections != g.sections {
			return fault("bad-count", "%d sections came, %d were sent", g.sections, e.Sections)
		}
		g.whole = true
		return nil
	case f.Kind != KindSection:
		return fault("bad-order", "a frame of kind %d among sections", f.Kind)
	case g.sections >= MaxSections:
		return fault("long-transfer", "over %d sections", MaxSections)
	}
	var s section
	if err := read(f, &s); err != nil {
		return err
	}
	next := g.report
	if s.Class != "" {
		next.Classes = append(next.Classes[:len(next.Classes):len(next.Classes)], knowledge.Class{Name: s.Class,
			ClassKnowledge: whinrudder.ClassKnowledge{Share: s.Share, Waits: s.Waits, Cost: whinrudder.CostModel{N: s.Runs, Age: s.Age,
				Time: s.Time, Work: s.Work, WorkWork: s.WorkWork, WorkTime: s.WorkTime}}})
	}
	for name, to := range figuresOf(&next) {
		if f, ok := s.Figures[name]; ok {
			*to = whinrudder.Estimate{Value: f.Value, N: f.N, Age: f.Age}
		}
	}
	if err := next.Check(); err != nil {
		// Who says what no node can have is not believed in what came before it either.
		g.report.Classes, g.report.Limit, g.report.BaseCallLatency = nil, whinrudder.Estimate{}, whinrudder.Estimate{}
		return fault("bad-figure", "%v", err)
	}
	g.report = next
	g.sections++
	return nil
}

// Report returns what has come whole so far, and whether that is all.
func (g *ReportAssembler) Report() (r knowledge.Report, whole bool) { return g.report, g.whole }

// AppendRefuse appends the frame that ends a connection with a code.
func AppendRefuse(b []byte, code string) []byte { return frame(b, KindRefuse, refuse{code}) }

// DescribeFrame names a frame, with its code if it has one, for transcripts.
func DescribeFrame(f Frame) string {
	name := map[Kind]string{KindHello: "hello", KindWelcome: "welcome", KindTake: "take", KindSection: "section",
		KindEnd: "end", KindBusy: "busy", KindRefuse: "refuse", KindSnapshot: "snapshot"}[f.Kind]
	var code refuse
	if (f.Kind == KindRefuse || f.Kind == KindBusy) && read(f, &code) == nil {
		name += ":" + word(code.Code)
	}
	return name
}
