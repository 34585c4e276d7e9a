package core

import (
	"slices"
	"testing"

	"whinrudder"
)

// claimingCore is a core whose node has another process that has taken over.
func claimingCore(t *testing.T) *reloadCore {
	r := newReloadCore(t, 0)
	r.Step(r.now, []Input{QueryLoad{Claim: true, Reply: func(whinrudder.Beside, []string) {}}})
	return r
}

// arrive reads a request and returns the outputs.
func (r *reloadCore) arrive(id string) []Output {
	r.now++
	return r.Step(r.now, []Input{RequestArrived{&Request{ID: id, ArrivedAt: r.now, Due: r.now + 100, KB: 1, ReplyTo: sink(id)}}})
}

// outcomesAndRuns returns the outcomes of the replies and the ids of the runs in outputs.
func outcomesAndRuns(out []Output) (outcomes []Outcome, runs []string) {
	for _, o := range out {
		switch o := o.(type) {
		case Reply:
			outcomes = append(outcomes, o.Outcome)
		case Spawn:
			runs = append(runs, o.ID)
		}
	}
	return outcomes, runs
}

const claimedID = "00000000000000a1"

// Guards against an id that runs at both processes of an upgrade: a request that the old process reads runs only once the new one
// has granted its claim. One that is known there is a duplicate; one without an answer is refused when it falls due; the loss of
// the new process lets it run.
func TestClaimedRequestsWaitForTheOtherProcess(t *testing.T) {
	for name, test := range map[string]struct {
		after    float64
		answer   []Input
		outcomes []Outcome
		runs     []string
	}{
		"granted":   {0, []Input{ClaimAnswered{Granted: []string{claimedID, "other"}}}, nil, []string{claimedID}},
		"known":     {0, []Input{ClaimAnswered{Known: []string{claimedID, "other"}}}, []Outcome{Duplicate}, nil},
		"no answer": {200, nil, []Outcome{Refused}, nil},
		"lost":      {0, []Input{QueryLoad{Stop: true}}, nil, []string{claimedID}},
		"left": {0, []Input{CallerGone{claimedID, sink(claimedID)}, ClaimAnswered{Granted: []string{claimedID}}}, nil,
			nil},
	} {
		r := claimingCore(t)
		out := r.arrive(claimedID)
		if _, runs := outcomesAndRuns(out); len(runs) > 0 || !slices.ContainsFunc(out, func(o Output) bool {
			c, ok := o.(Claim)
			return ok && slices.Equal(c.IDs, []string{claimedID})
		}) {
			t.Errorf("%s: got %v at the arrival, want a claim and no run", name, out)
		}
		r.now += test.after
		outcomes, runs := outcomesAndRuns(r.Step(r.now, test.answer))
		if !slices.Equal(outcomes, test.outcomes) || !slices.Equal(runs, test.runs) {
			t.Errorf("%s: got outcomes %v and runs %v, want %v and %v", name, outcomes, runs, test.outcomes, test.runs)
		}
	}
}

// Guards against an id that both processes of an upgrade get at the same time: the new one grants an id that it does not know,
// and from then on it is a duplicate there.
func TestGrantedIDIsADuplicate(t *testing.T) {
	r := newReloadCore(t, 0)
	r.arrive("00000000000000b1")
	var granted, known []string
	ask := ClaimIDs{IDs: []string{claimedID, "00000000000000b1"}, Reply: func(g, k []string) { granted, known = g, k }}
	r.Step(r.now, []Input{ask})
	if !slices.Equal(granted, []string{claimedID}) || !slices.Equal(known, []string{"00000000000000b1"}) {
		t.Errorf("granted %v, known %v", granted, known)
	}
	if outcomes, runs := outcomesAndRuns(r.arrive(claimedID)); !slices.Equal(outcomes, []Outcome{Duplicate}) || len(runs) > 0 {
		t.Errorf("got outcomes %v and runs %v of a granted id, want a duplicate", outcomes, runs)
	}
}
