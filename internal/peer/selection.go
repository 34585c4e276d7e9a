package peer

import (
	"cmp"
	"math"
	"slices"

	"whinrudder/internal/knowledge"
)

// Limits of a selection.
const (
	MaxSources     = 64  // sources that are considered
	wantedReports  = 3   // complete reports that end the selection: with three, a single wrong one is outvoted
	maxConnections = 6   // concurrent connections
	compareAfterMs = 400 // time after the first welcome to wait for those of other sources before comparing them
	slowAfterMs    = 500 // duration of a transfer after which another source is used in addition
)

// Action is what the driver of a selection must do with one source.
type Action struct {
	Kind ActionKind
	Addr string
}

// ActionKind is the kind of an Action.
type ActionKind uint8

// The kinds of actions.
const (
	ActionConnect ActionKind = iota // connect and send the hello
	ActionRequest                   // request the sections
	ActionClose                     // tell the source that no more data is needed, and close the connection
)

// donorState is the state of one source in a selection.
type donorState uint8

const (
	waiting    donorState = iota // not connected yet, or asked to retry later
	connecting                   // no welcome received yet
	welcomed                     // summary received
	transferring
	done
	failed
)

// donor is one source in a selection.
type donor struct {
	addr     string
	state    donorState
	summary  Summary
	at       float64 // when waiting: earliest time to connect; when transferring: start of the transfer
	slow     bool    // the transfer takes so long that it no longer counts as one in progress
	report   knowledge.Report
	complete bool
}

// SourceSelection decides, for one start of a node, which sources to connect to, which to request knowledge from, and
// when there is enough. It uses only sources that are warm and not draining, and prefers those whose knowledge is based
// on the most runs, then those with the longest uptime.
type SourceSelection struct {
	deadline       float64
	firstWelcomeAt float64 // when the first welcome was received; 0: none yet
	donors         []*donor
	finished       bool
}

// NewSourceSelection returns a selection among the sources at some addresses. It connects to them in that order and
// ends at the absolute time deadline.
func NewSourceSelection(addrs []string, deadline float64) *SourceSelection {
	s := &SourceSelection{deadline: deadline}
	for _, a := range addrs {
		if len(s.donors) < MaxSources && !slices.ContainsFunc(s.donors, func(d *donor) bool { return d.addr == a }) {
			s.donors = append(s.donors, &donor{addr: a})
		}
	}
	return s
}

// Deadline returns the absolute time at which the selection ends.
func (s *SourceSelection) Deadline() float64 { return s.deadline }

// find returns the donor with an address, or a failed one if there is none.
func (s *SourceSelection) find(addr string) *donor {
	for _, d := range s.donors {
		if d.addr == addr {
			return d
		}
	}
	return &donor{state: failed}
}

// HandleWelcome records the summary of a source.
func (s *SourceSelection) HandleWelcome(now float64, addr string, h Summary) {
	if d := s.find(addr); d.state == connecting {
		d.state, d.summary = welcomed, h
		if s.firstWelcomeAt == 0 {
			s.firstWelcomeAt = now
		}
	}
}

// HandleBusy records that a source asks for a retry after a time in milliseconds.
func (s *SourceSelection) HandleBusy(now float64, addr string, retryMs float64) {
	if d := s.find(addr); d.state == connecting || d.state == welcomed || d.state == transferring {
		d.state, d.at = waiting, now+math.Max(1, retryMs)
	}
}

// HandleFailure records that a source can't be used any more, with the sections that it sent before.
func (s *SourceSelection) HandleFailure(addr string, partial knowledge.Report) {
	if d := s.find(addr); d.state != done {
		d.state, d.report = failed, partial
	}
}

// HandleReport records the complete report of a source, with ages as of now.
func (s *SourceSelection) HandleReport(addr string, report knowledge.Report) {
	if d := s.find(addr); d.state == transferring {
		d.state, d.report, d.complete = done, report, true
	}
}

// count returns the number of sources in some states.
func (s *SourceSelection) count(states ...donorState) (n int) {
	for _, d := range s.donors {
		if slices.Contains(states, d.state) {
			n++
		}
	}
	return n
}

// usable reports whether a source is worth a transfer.
func usable(h Summary) bool { return !h.Draining && h.Warm && h.Runs > 0 }

// Step returns the actions to perform now. It returns true once the selection has ended: at its deadline, with enough
// reports, or without any source left.
func (s *SourceSelection) Step(now float64) (actions []Action, finished bool) {
	if s.finished {
		return nil, true
	}
	for _, d := range s.donors {
		if d.state == welcomed && !usable(d.summary) {
			d.state = failed
			actions = append(actions, Action{ActionClose, d.addr})
		}
		if d.state == transferring && !d.slow && now >= d.at+slowAfterMs {
			d.slow = true
		}
	}
	comparing := s.firstWelcomeAt > 0 && now < s.firstWelcomeAt+compareAfterMs && s.count(connecting) > 0
	if !comparing {
		actions = append(actions, s.request(now)...)
	}
	actions = append(actions, s.connect(now)...)
	if now >= s.deadline || s.count(done) >= wantedReports || s.idle(now) {
		s.finished = true
		for _, d := range s.donors {
			if d.state == connecting || d.state == welcomed || d.state == transferring {
				actions = append(actions, Action{ActionClose, d.addr})
			}
		}
	}
	return actions, s.finished
}

// request starts transfers from the best of the welcomed sources until enough are done or in progress. Slow ones do not
// count.
func (s *SourceSelection) request(now float64) (actions []Action) {
	var candidates []*donor
	working := s.count(done)
	for _, d := range s.donors {
		switch {
		case d.state == welcomed:
			candidates = append(candidates, d)
		case d.state == transferring && !d.slow:
			working++
		}
	}
	slices.SortStableFunc(candidates, func(a, b *donor) int {
		return cmp.Or(cmp.Compare(b.summary.Runs, a.summary.Runs), cmp.Compare(b.summary.UptimeMs, a.summary.UptimeMs))
	})
	for _, d := range candidates[:min(len(candidates), max(0, wantedReports-working))] {
		d.state, d.at = transferring, now
		actions = append(actions, Action{ActionRequest, d.addr})
	}
	return actions
}

// connect connects to waiting sources while there are too few connections and reports.
func (s *SourceSelection) connect(now float64) (actions []Action) {
	for _, d := range s.donors {
		if s.count(connecting, welcomed, transferring) >= maxConnections ||
			s.count(done)+s.count(welcomed) >= maxConnections {
			break
		}
		if d.state == waiting && now >= d.at {
			d.state = connecting
			actions = append(actions, Action{ActionConnect, d.addr})
		}
	}
	return actions
}

// idle reports whether no source can deliver anything more before the deadline.
func (s *SourceSelection) idle(now float64) bool {
	for _, d := range s.donors {
		if d.state == waiting && d.at < s.deadline || d.state == connecting || d.state == welcomed ||
			d.state == transferring {
			return false
		}
	}
	return true
}

// NextDeadline returns the latest time at which Step must be called again.
func (s *SourceSelection) NextDeadline(now float64) float64 {
	next := s.deadline
	for _, d := range s.donors {
		switch {
		case d.state == waiting && d.at > now:
			next = min(next, d.at)
		case d.state == transferring && !d.slow:
			next = min(next, d.at+slowAfterMs)
		case d.state == welcomed && s.firstWelcomeAt > 0:
			next = min(next, max(now+1, s.firstWelcomeAt+compareAfterMs))
		}
	}
	return next
}

// Reports returns the reports to merge: all complete ones or, if there is none, the partial ones.
func (s *SourceSelection) Reports() (out []knowledge.Report) {
	for _, complete := range []bool{true, false} {
		for _, d := range s.donors {
			if d.complete == complete && len(d.report.Classes) > 0 {
				out = append(out, d.report)
			}
		}
		if len(out) > 0 {
			return out
		}
	}
	return nil
}
