package experiment

import (
	"math"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"whinrudder/internal/emu/callermodel"
	"whinrudder/internal/emu/fleet"
	"whinrudder/internal/emu/workload"
	"whinrudder/internal/template"
	"whinrudder/internal/vtime"
)

// Every fault of a file is named by its path.
func TestFaultsAreNamed(t *testing.T) {
	text, err := os.ReadFile("testdata/faults.txt")
	if err != nil {
		t.Fatal(err)
	}
	file, want := "", ""
	check := func() {
		if file == "" {
			return
		}
		_, err := Parse([]byte(file), "f.jsonnet", template.Evaluate)
		got := "nothing"
		if err != nil {
			if got = err.Error() + "\n"; strings.Contains(got, "RUNTIME") {
				got, _, _ = strings.Cut(got, "\n")
				got += "\n"
			}
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("%s: %s", file, diff)
		}
	}
	for line := range strings.Lines(string(text)) {
		switch {
		case strings.HasPrefix(line, "#"):
		case strings.HasPrefix(line, "< "):
			want += line[2:]
		default:
			check()
			file, want = strings.TrimSpace(line), ""
		}
	}
	check()
}

// The days that ship can be read and drawn, each figure within its range, and by the seed alone.
func TestFamilies(t *testing.T) {
	for _, f := range Families() {
		text, _ := FamilySource(f)
		e, err := Parse(text, f, template.Evaluate)
		if err != nil || e.Name != f {
			t.Fatalf("%s: %q %v", f, e.Name, err)
		}
		if len(e.Dimensions()) < 2 {
			t.Errorf("%s: draws %v", f, e.Dimensions())
		}
		for seed := range vtime.Seed(20) {
			for v := range e.Variants {
				d, err := e.Day(v, 0, seed, nil)
				again, _ := e.Day(v, 0, seed, nil)
				if err != nil || d.Nodes < 11 || d.Nodes > 14 || cmp.Diff(d, again) != "" {
					t.Fatalf("%s, seed %d: %d nodes, %v", f, seed, d.Nodes, err)
				}
			}
		}
	}
}

// A sweep, ranges, and patches of variants give the figures they say.
func TestDrawing(t *testing.T) {
	e, err := Parse([]byte(`{"day":{"load":[0.2,0.4],"nodes":[3,5],"troubles":[{"kind":"crawl","at":[1,3],"factor":4}]},
		"variants":[{"policy":"module"},{"name":"few","policy":"fixed","limit":3,"day":{"nodes":2}}],"sweep":{"key":"troubles.0.factor","from":2,"to":8,"steps":3}}`), "", nil)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]float64{2, 5, 8}, e.Sweep.Values); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]Dimension{{"nodes", 3, 5}, {"load", 0.2, 0.4}, {"troubles.0.at", 1, 3}}, e.Dimensions()); diff != "" {
		t.Error(diff)
	}
	nodes := map[int]int{}
	for s := range vtime.Seed(300) {
		d, err := e.Day(0, 5, s, nil)
		if err != nil || d.Load < 0.2 || d.Load > 0.4 || d.Faults[0].Factor != 5 || d.Faults[0].At < 1000 || d.Faults[0].At > 3000 {
			t.Fatalf("%+v %v", d, err)
		}
		nodes[d.Nodes]++
	}
	if len(nodes) != 3 || nodes[3] < 70 || nodes[4] < 70 || nodes[5] < 70 {
		t.Errorf("nodes are drawn as %v", nodes)
	}
	if d, err := e.Day(1, 2, 1, func(string) float64 { return 1 }); err != nil || d.Nodes != 2 || d.Load != 0.4 {
		t.Errorf("%d nodes, load %v, %v", d.Nodes, d.Load, err)
	}
	for _, s := range []Sweep{{Key: "callers.9.tries", Values: []float64{1}}, {Key: "load", Values: nil}, {Key: "troubles.0", Values: []float64{1}}} {
		if e.SetSweep(s) == nil {
			t.Errorf("takes %+v", s)
		}
	}
}

// Any day that is written is read again as it was.
func TestWrittenDaysAreReadAgain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := func(name string, high int) int { return rapid.IntRange(1, high).Draw(t, name) }
		span := func(name string, most int) vtime.Range {
			low := n(name, most)
			return vtime.Range{Low: float64(low), High: float64(low + n(name, most))}
		}
		d := fleet.DefaultDay(vtime.Seed(rapid.Uint64().Draw(t, "seed")))
		d.Nodes, d.DurationMs, d.Load, d.Cores = n("nodes", 2000), 1000*float64(n("seconds", 3600)), float64(n("load", 200))/64, n("cores", 64)
		d.RampTime, d.NetworkDelay, d.FastSpeed = vtime.Range{Low: 1000, High: 1000 * float64(n("ramp", 60))}, span("delay", 50), span("fast", 4)
		d.ClientRetries = workload.ClientRetries{Share: float64(n("share", 64)) / 64, Delay: vtime.Range{Low: 1000, High: 8000}, Max: n("most", 9)}
		d.ColdFleet, d.SessionTimeout = rapid.Bool().Draw(t, "cold"), 500*float64(n("session", 20))
		d.Callers = nil
		for range n("callers", 5) {
			d.Callers = append(d.Callers, callermodel.Behavior{Strategy: callermodel.Strategy(n("choice", len(callermodel.StrategyNames)) - 1), MaxTries: n("tries", 9), HonorsCredit: rapid.Bool().Draw(t, "heeds"),
				TryTimeoutRatio: float64(n("wait", 64)) / 64, HedgeDelay: float64(n("hedge", 900)), ParallelTries: n("copies", 4), RetryBudget: float64(n("budget", 64)) / 64,
				Throttle: rapid.Bool().Draw(t, "throttle"), SubsetSize: n("subset", 9), RetriesInDoubtWrites: rapid.Bool().Draw(t, "blind"), BackoffBase: float64(n("pause", 99))})
		}
		for range n("troubles", 4) {
			d.Faults = append(d.Faults, fleet.Fault{Kind: fleet.FaultKind(n("kind", len(fleet.FaultKindNames)) - 1), At: 250 * float64(n("at", 99)), Duration: 250 * float64(n("for", 99)),
				Share: float64(n("hit", 64)) / 64, Factor: float64(n("factor", 9))})
		}
		if rapid.Bool().Draw(t, "some") {
			d.OnlyRequests = []int{n("first", 10), 10 + n("second", 1000)}
		}
		e, err := Parse(MarshalDay(d, "aimd"), "", nil)
		if err != nil {
			t.Fatal(err)
		}
		got, err := e.Day(0, 0, 99, nil)
		if diff := cmp.Diff(d, got); err != nil || diff != "" || e.Variants[0].Policy.Name != "aimd" || len(e.Dimensions()) > 0 {
			t.Fatal(err, diff)
		}
	})
}

// Every policy makes a node, and every measure can be taken of a day.
func TestPoliciesAndMeasures(t *testing.T) {
	d := fleet.DefaultDay(1)
	d.Nodes, d.DurationMs, d.Load = 2, 3000, 0.3
	for _, p := range PolicyNames {
		r := fleet.Simulate(d, NewPolicy(p).NodeFactory())
		if r.Requests < 20 || len(r.Violations) > 0 {
			t.Errorf("%s: %d requests, %v", p, r.Requests, r.Violations)
		}
		for _, m := range Measures {
			if v := m.Value(&r); math.IsNaN(v) || v < 0 {
				t.Errorf("%s: %s is %v", p, m.Name, v)
			}
		}
	}
}
