package peer

import (
	"cmp"
	"math"
	"slices"

	"whinrudder/internal/knowledge"
)

// Limits of a round.
const (
	MaxSources = 64  // donors that are considered
	wantDonors = 3   // reports that are wanted: with three, one that is wrong is outvoted
	askAtOnce  = 6   // connections at a time
	headsFor   = 400 // donors are compared once so long has passed since the first welcome, or all have spoken
	slowAfter  = 500 // a donor that has not given all by then gets a second beside it
)

// Action is what a round wants of its driver, about one donor.
type Action struct {
	Kind ActionKind
	Addr string
}

// ActionKind is a word of a round.
type ActionKind uint8

// The words.
const (
	ActionConnect ActionKind = iota // connect and say hello
	ActionRequest                   // ask for the sections
	ActionClose                     // take leave and close
)

type donorState uint8

const (
	waiting  donorState = iota // not asked yet, or put off
	asked                      // connected, no welcome yet
	welcomed                   // may be taken from
	taking
	done
	failed
)

type donor struct {
	addr   string
	state  donorState
	head   Summary
	at     float64 // when it may be asked, or when it was taken from
	second bool    // another was asked beside it, as it was slow
	report knowledge.Report
	whole  bool
}

// SourceSelection is the choice of donors of one start: whom to ask, whom to take from, and when it is enough. It prefers donors
// that are not draining and warm, then those whose knowledge rests on most runs, then the longest observed.
type SourceSelection struct {
	by     float64
	first  float64 // when the first welcome came; 0: none yet
	donors []*donor
	over   bool
}

// NewSourceSelection returns a round over some donors, in the order in which they are to be asked, that ends at an absolute time.
func NewSourceSelection(addrs []string, by float64) *SourceSelection {
	r := &SourceSelection{by: by}
	for _, a := range addrs {
		if len(r.donors) < MaxSources && !slices.ContainsFunc(r.donors, func(d *donor) bool { return d.addr == a }) {
			r.donors = append(r.donors, &donor{addr: a})
		}
	}
	return r
}

// Deadline returns the absolute time at which the round ends.
func (r *SourceSelection) Deadline() float64 { return r.by }

func (r *SourceSelection) find(addr string) *donor {
	for _, d := range r.donors {
		if d.addr == addr {
			return d
		}
	}
	return &donor{state: failed}
}

// HandleWelcome notes the head of a donor.
func (r *SourceSelection) HandleWelcome(now float64, addr string, h Summary) {
	if d := r.find(addr); d.state == asked {
		d.state, d.head = welcomed, h
		if r.first == 0 {
			r.first = now
		}
	}
}

// HandleBusy notes that a donor wants to be asked again after so long.
func (r *SourceSelection) HandleBusy(now float64, addr string, retry float64) {
	if d := r.find(addr); d.state == asked || d.state == welcomed || d.state == taking {
		d.state, d.at = waiting, now+math.Max(1, retry)
	}
}

// HandleFailure notes that a donor is of no use any more. What came whole of it before may count.
func (r *SourceSelection) HandleFailure(addr string, part knowledge.Report) {
	if d := r.find(addr); d.state != done {
		d.state, d.report = failed, part
	}
}

// HandleReport notes all that a donor has to give, aged to the present.
func (r *SourceSelection) HandleReport(addr string, all knowledge.Report) {
	if d := r.find(addr); d.state == taking {
		d.state, d.report, d.whole = done, all, true
	}
}

func (r *SourceSelection) count(in ...donorState) (n int) {
	for _, d := range r.donors {
		if slices.Contains(in, d.state) {
			n++
		}
	}
	return n
}

// usable tells whether a welcomed donor is worth taking from.
func usable(h Summary) bool { return !h.Draining && h.Warm && h.Runs > 0 }

// Step decides what is to be done now. It returns true once the round is over: by time, with enough reports, or with
// nobody left to ask.
func (r *SourceSelection) Step(now float64) (todo []Action, over bool) {
	if r.over {
		return nil, true
	}
	for _, d := range r.donors {
		if d.state == welcomed && !usable(d.head) {
			d.state = failed
			todo = append(todo, Action{ActionClose, d.addr})
		}
		if d.state == taking && !d.second && now >= d.at+slowAfter {
			d.second = true
		}
	}
	comparing := r.first > 0 && now < r.first+headsFor && r.count(asked) > 0
	if !comparing {
		todo = append(todo, r.take(now)...)
	}
	todo = append(todo, r.ask(now)...)
	if now >= r.by || r.count(done) >= wantDonors || r.idle(now) {
		r.over = true
		for _, d := range r.donors {
			if d.state == asked || d.state == welcomed || d.state == taking {
				todo = append(todo, Action{ActionClose, d.addr})
			}
		}
	}
	return todo, r.over
}

// take chooses the best of the welcomed donors until enough are at work; one that is slow does not count as one.
func (r *SourceSelection) take(now float64) (todo []Action) {
	var ready []*donor
	busy := r.count(done)
	for _, d := range r.donors {
		switch {
		case d.state == welcomed:
			ready = append(ready, d)
		case d.state == taking && !d.second:
			busy++
		}
	}
	slices.SortStableFunc(ready, func(a, b *donor) int {
		return cmp.Or(cmp.Compare(b.head.Runs, a.head.Runs), cmp.Compare(b.head.UptimeMs, a.head.UptimeMs))
	})
	for _, d := range ready[:min(len(ready), max(0, wantDonors-busy))] {
		d.state, d.at = taking, now
		todo = append(todo, Action{ActionRequest, d.addr})
	}
	return todo
}

// ask connects to donors that were not asked yet, as long as enough are not at hand.
func (r *SourceSelection) ask(now float64) (todo []Action) {
	for _, d := range r.donors {
		if r.count(asked, welcomed, taking) >= askAtOnce || r.count(done)+r.count(welcomed) >= askAtOnce {
			break
		}
		if d.state == waiting && now >= d.at {
			d.state = asked
			todo = append(todo, Action{ActionConnect, d.addr})
		}
	}
	return todo
}

// idle tells that nothing more can come of the round before its end.
func (r *SourceSelection) idle(now float64) bool {
	for _, d := range r.donors {
		if d.state == waiting && d.at < r.by || d.state == asked || d.state == welcomed || d.state == taking {
			return false
		}
	}
	return true
}

// NextDeadline returns when Step must be called again at the latest.
func (r *SourceSelection) NextDeadline(now float64) float64 {
	next := r.by
	for _, d := range r.donors {
		switch {
		case d.state == waiting && d.at > now:
			next = min(next, d.at)
		case d.state == taking && !d.second:
			next = min(next, d.at+slowAfter)
		case d.state == welcomed && r.first > 0:
			next = min(next, max(now+1, r.first+headsFor))
		}
	}
	return next
}

// Reports returns what is to be merged: all whole reports, or, if there is none, what came whole of the others.
func (r *SourceSelection) Reports() (out []knowledge.Report) {
	for _, whole := range []bool{true, false} {
		for _, d := range r.donors {
			if d.whole == whole && len(d.report.Classes) > 0 {
				out = append(out, d.report)
			}
		}
		if len(out) > 0 {
			return out
		}
	}
	return nil
}
