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

// replyDropper is a node with an injected bug: once it has a stop notice, it drops the replies to requests that arrived
// more than 500 ms before the notice.
type replyDropper struct {
	baseline.Node
	arrivedAt    map[string]float64
	stopNoticeAt float64
}

func (d *replyDropper) Step(now float64, in []core.Input) (out []core.Output) {
	for _, input := range in {
		switch input := input.(type) {
		case core.RequestArrived:
			d.arrivedAt[input.ID] = now
		case core.StopNotice:
			d.stopNoticeAt = now
		}
	}
	for _, output := range d.Node.Step(now, in) {
		if reply, ok := output.(core.Reply); ok && d.stopNoticeAt > 0 && d.stopNoticeAt-d.arrivedAt[reply.ID] > 500 {
			continue
		}
		out = append(out, output)
	}
	return out
}

// A bug that appears only during a deploy is reduced, from a day with several kinds of faults, to the deploy and at
// most three requests. The experiment file of the small day violates the same rule again.
func TestInjectedBugIsReduced(t *testing.T) {
	simulate := func(d fleet.Day) fleet.Result {
		return fleet.Simulate(d, func(s whinrudder.Settings, seed uint64) (baseline.Node, error) {
			n, err := fleet.NewModuleNode(s, seed)
			return &replyDropper{Node: n, arrivedAt: map[string]float64{}}, err
		})
	}
	d := fleet.DefaultDay(4)
	d.DurationMs = 30000
	d.Faults = []fleet.Fault{{Kind: fleet.Burst, At: 1000, Duration: 4000, Factor: 1.5},
		{Kind: fleet.Slowdown, At: 2000, Duration: 9000, Share: 0.2, Factor: 5},
		{Kind: fleet.Deploy, At: 9000, Duration: 10000, Share: 0.8}, {Kind: fleet.Crash, At: 12000, Duration: 5000,
			Share: 0.2}}
	breaks := func(d fleet.Day) bool {
		return slices.ContainsFunc(simulate(d).Violations, func(b string) bool { return RuleName(b) == "lost" })
	}
	if !breaks(d) {
		t.Fatal("the injected bug violates no rule on the original day")
	}
	small, steps := Day(d, breaks, func(d fleet.Day) int { return simulate(d).Requests }, 600)
	if len(small.Faults) != 1 || small.Faults[0].Kind != fleet.Deploy || small.Nodes > 2 || len(small.Callers) != 1 ||
		len(small.OnlyRequests) > 3 || len(small.OnlyRequests) == 0 {
		t.Errorf("%d nodes, callers %v, faults %v, requests %v after %d steps, want at most 2 nodes, 1 caller, the deploy and 1 to 3 requests",
			small.Nodes, small.Callers, small.Faults, small.OnlyRequests, len(steps))
	}
	e, err := experiment.Parse(experiment.MarshalDay(small, "module"), "", nil)
	if err != nil {
		t.Fatal(err)
	}
	again, err := e.Day(0, 0, 1, nil)
	if err != nil || !breaks(again) {
		t.Errorf("the day read from the file does not lose a request: %v", err)
	}
	if b := simulate(again).Violations; len(b) == 0 || !strings.Contains(b[0], "read; ") {
		t.Errorf("violations %v, want one with the history of a read request", b)
	}
}

// For any set of conditions that a violation depends on, the small day meets them with nothing superfluous, and the
// number of simulations stays within its bound.
func TestSmallDayIsMinimal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := fleet.DefaultDay(1)
		for k := range rapid.IntRange(0, 6).Draw(t, "troubles") {
			d.Faults = append(d.Faults, fleet.Fault{Kind: fleet.FaultKind(k), At: 1, Duration: 1})
		}
		// The highest value is a kind that the day lacks.
		kind := fleet.FaultKind(rapid.IntRange(0, len(d.Faults)).Draw(t, "needs"))
		nodes := rapid.IntRange(1, 14).Draw(t, "nodes")
		requests := rapid.SliceOfNDistinct(rapid.IntRange(0, 99), 1, 4, rapid.ID[int]).Draw(t, "requests")
		calls := 0
		breaks := func(d fleet.Day) bool {
			calls++
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
			t.Skip("the original day does not violate the rule")
		}
		calls = 0
		small, _ := Day(d, breaks, func(fleet.Day) int { return 100 }, 3000)
		slices.Sort(requests)
		want := 0
		if needs(kind) {
			want = 1
		}
		if !breaks(small) || small.Nodes != nodes || len(small.Faults) != want ||
			!slices.Equal(small.OnlyRequests, requests) || calls > 3001 ||
			len(small.Callers) != 1 || small.Callers[0] != (callermodel.Behavior{MaxTries: 1, HonorsCredit: true,
			TryTimeoutRatio: 0.6}) || small.DurationMs > 2000 {
			t.Fatalf("got %d nodes, want %d; faults %v; got requests %v, want %v; callers and seconds must be minimal too; %d simulations, want at most 3001",
				small.Nodes, nodes, small.Faults, small.OnlyRequests, requests, calls)
		}
		calls = 0
		if Day(d, breaks, func(fleet.Day) int { return 100 }, 7); calls > 7 {
			t.Fatalf("%d simulations, want at most 7", calls)
		}
	})
}

// needs reports whether the violation depends on a fault of this kind.
func needs(k fleet.FaultKind) bool { return k%2 == 0 }
