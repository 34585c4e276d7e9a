package shrink

import (
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"whinrudder"
	"whinrudder/internal/core"
	"whinrudder/internal/emu/baseline"
	"whinrudder/internal/emu/callermodel"
	"whinrudder/internal/emu/experiment"
	"whinrudder/internal/emu/fleet"
)

// forgetful is the core with a fault: it answers nothing that was in hand for over half a second when a leave is told.
type forgetful struct {
	baseline.Node
	came    map[string]float64
	leaving float64
}

func (f *forgetful) Step(now float64, in []core.Input) (out []core.Output) {
	for _, i := range in {
		switch i := i.(type) {
		case core.RequestArrived:
			f.came[i.ID] = now
		case core.StopNotice:
			f.leaving = now
		}
	}
	for _, o := range f.Node.Step(now, in) {
		if r, is := o.(core.Reply); is && f.leaving > 0 && f.leaving-f.came[r.ID] > 500 {
			continue
		}
		out = append(out, o)
	}
	return out
}

// A fault that shows itself in a deploy is found on a day with all kinds of trouble, and cut down to the deploy and a request
// or two; the file of the small day breaks the same rule again.
func TestASeededFaultIsShrunk(t *testing.T) {
	play := func(d fleet.Day) fleet.Result {
		return fleet.Simulate(d, func(s whinrudder.Settings, seed uint64) (baseline.Node, error) {
			n, err := fleet.NewModuleNode(s, seed)
			return &forgetful{Node: n, came: map[string]float64{}}, err
		})
	}
	d := fleet.DefaultDay(4)
	d.DurationMs = 30000
	d.Faults = []fleet.Fault{{Kind: fleet.Burst, At: 1000, Duration: 4000, Factor: 1.5}, {Kind: fleet.Slowdown, At: 2000, Duration: 9000, Share: 0.2, Factor: 5},
		{Kind: fleet.Deploy, At: 9000, Duration: 10000, Share: 0.8}, {Kind: fleet.Crash, At: 12000, Duration: 5000, Share: 0.2}}
	breaks := func(d fleet.Day) bool {
		return slices.ContainsFunc(play(d).Violations, func(b string) bool { return RuleName(b) == "lost" })
	}
	if !breaks(d) {
		t.Fatal("the fault does not show itself")
	}
	small, steps := Day(d, breaks, func(d fleet.Day) int { return play(d).Requests }, 600)
	if len(small.Faults) != 1 || small.Faults[0].Kind != fleet.Deploy || small.Nodes > 2 || len(small.Callers) != 1 || len(small.OnlyRequests) > 3 || len(small.OnlyRequests) == 0 {
		t.Errorf("%d nodes, callers %v, troubles %v, requests %v after %d cuts", small.Nodes, small.Callers, small.Faults, small.OnlyRequests, len(steps))
	}
	e, err := experiment.Parse(experiment.MarshalDay(small, "module"), "", nil)
	if err != nil {
		t.Fatal(err)
	}
	again, err := e.Day(0, 0, 1, nil)
	if err != nil || !breaks(again) {
		t.Errorf("the file breaks nothing: %v", err)
	}
	if b := play(again).Violations; len(b) == 0 || !strings.Contains(b[0], "read; ") {
		t.Errorf("the history is %v", b)
	}
}

// Whatever a fault hangs on, what is left holds it, nothing of it can be left out, and the bound on plays is kept.
func TestNothingIsLeftThatIsOfNoUse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := fleet.DefaultDay(1)
		for k := range rapid.IntRange(0, 6).Draw(t, "troubles") {
			d.Faults = append(d.Faults, fleet.Fault{Kind: fleet.FaultKind(k), At: 1, Duration: 1})
		}
		kind := fleet.FaultKind(rapid.IntRange(0, len(d.Faults)).Draw(t, "needs")) // the last: none of them
		nodes := rapid.IntRange(1, 14).Draw(t, "nodes")
		requests := rapid.SliceOfNDistinct(rapid.IntRange(0, 99), 1, 4, rapid.ID[int]).Draw(t, "requests")
		asked := 0
		breaks := func(d fleet.Day) bool {
			asked++
			if d.Nodes < nodes || needs(kind) && !slices.ContainsFunc(d.Faults, func(t fleet.Fault) bool { return t.Kind == kind }) {
				return false
			}
			for _, n := range requests {
				if d.OnlyRequests != nil && !slices.Contains(d.OnlyRequests, n) {
					return false
				}
			}
			return true
		}
		if !breaks(d) {
			t.Skip("the day lacks what it needs")
		}
		asked = 0
		small, _ := Day(d, breaks, func(fleet.Day) int { return 100 }, 3000)
		slices.Sort(requests)
		want := 0
		if needs(kind) {
			want = 1
		}
		if !breaks(small) || small.Nodes != nodes || len(small.Faults) != want || !slices.Equal(small.OnlyRequests, requests) || asked > 3001 ||
			len(small.Callers) != 1 || small.Callers[0] != (callermodel.Behavior{MaxTries: 1, HonorsCredit: true, TryTimeoutRatio: 0.6}) || small.DurationMs > 2000 {
			t.Fatalf("%d nodes of %d, troubles %v, requests %v of %v, %d plays", small.Nodes, nodes, small.Faults, small.OnlyRequests, requests, asked)
		}
		asked = 0
		if Day(d, breaks, func(fleet.Day) int { return 100 }, 7); asked > 7 {
			t.Fatalf("%d plays, 7 at most", asked)
		}
	})
}

func needs(k fleet.FaultKind) bool { return k%2 == 0 }
