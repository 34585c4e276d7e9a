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

// Each error in a file is reported with the path of its field. The cases are in testdata/faults.txt.
func TestParseErrors(t *testing.T) {
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

// The built-in families parse, draw the number of nodes within its range, and yield the same day twice for the same
// seed.
func TestFamilies(t *testing.T) {
	for _, f := range Families() {
		text, _ := FamilySource(f)
		e, err := Parse(text, f, template.Evaluate)
		if err != nil || e.Name != f {
			t.Fatalf("%s: name %q, error %v", f, e.Name, err)
		}
		if len(e.Dimensions()) < 2 {
			t.Errorf("%s: drawn fields are %v, want at least 2", f, e.Dimensions())
		}
		for seed := range vtime.Seed(20) {
			for v := range e.Variants {
				d, err := e.Day(v, 0, seed, nil)
				again, _ := e.Day(v, 0, seed, nil)
				if err != nil || d.Nodes < 11 || d.Nodes > 14 || cmp.Diff(d, again) != "" {
					t.Fatalf("%s, seed %d: %d nodes, want 11 to 14 and the same day twice; error %v", f, seed,
						d.Nodes, err)
				}
			}
		}
	}
}

// Sweeps, ranges and patches of variants set the fields that they name, and invalid sweeps are refused.
func TestDraw(t *testing.T) {
	e, err := Parse([]byte(`{"day":{"load":[0.2,0.4],"nodes":[3,5],"troubles":[{"kind":"crawl","at":[1,3],"factor":4}]},
		"variants":[{"policy":"module"},{"name":"few","policy":"fixed","limit":3,"day":{"nodes":2}}],"sweep":{"key":"troubles.0.factor","from":2,"to":8,"steps":3}}`), "", nil)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]float64{2, 5, 8}, e.Sweep.Values); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]Dimension{{"nodes", 3, 5}, {"load", 0.2, 0.4}, {"troubles.0.at", 1, 3}},
		e.Dimensions()); diff != "" {
		t.Error(diff)
	}
	nodes := map[int]int{}
	for s := range vtime.Seed(300) {
		d, err := e.Day(0, 5, s, nil)
		if err != nil || d.Load < 0.2 || d.Load > 0.4 || d.Faults[0].Factor != 5 || d.Faults[0].At < 1000 ||
			d.Faults[0].At > 3000 {
			t.Fatalf("seed %d: day %+v, error %v", s, d, err)
		}
		nodes[d.Nodes]++
	}
	if len(nodes) != 3 || nodes[3] < 70 || nodes[4] < 70 || nodes[5] < 70 {
		t.Errorf("counts of drawn node numbers are %v, want at least 70 each of 3, 4 and 5 only", nodes)
	}
	if d, err := e.Day(1, 2, 1, func(string) float64 { return 1 }); err != nil || d.Nodes != 2 || d.Load != 0.4 {
		t.Errorf("%d nodes, load %v, error %v, want 2 nodes and load 0.4", d.Nodes, d.Load, err)
	}
	for _, s := range []Sweep{{Key: "callers.9.tries", Values: []float64{1}}, {Key: "load", Values: nil},
		{Key: "troubles.0", Values: []float64{1}}} {
		if e.SetSweep(s) == nil {
			t.Errorf("sweep %+v is accepted, want an error", s)
		}
	}
}

// A day that is written by MarshalDay and parsed again is unchanged.
func TestMarshalDayRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := func(name string, high int) int { return rapid.IntRange(1, high).Draw(t, name) }
		interval := func(name string, highest int) vtime.Range {
			low := n(name, highest)
			return vtime.Range{Low: float64(low), High: float64(low + n(name, highest))}
		}
		d := fleet.DefaultDay(vtime.Seed(rapid.Uint64().Draw(t, "seed")))
		d.Nodes, d.DurationMs, d.Load, d.Cores = n("nodes", 2000), 1000*float64(n("seconds", 3600)),
			float64(n("load", 200))/64, n("cores", 64)
		d.RampTime, d.NetworkDelay, d.FastSpeed = vtime.Range{Low: 1000, High: 1000 * float64(n("ramp", 60))},
			interval("delay", 50), interval("fast", 4)
		d.ClientRetries = workload.ClientRetries{Share: float64(n("share", 64)) / 64, Delay: vtime.Range{Low: 1000,
			High: 8000}, Max: n("most", 9)}
		d.ColdFleet, d.SessionTimeout = rapid.Bool().Draw(t, "cold"), 500*float64(n("session", 20))
		d.Callers = nil
		for range n("callers", 5) {
			d.Callers = append(d.Callers, callermodel.Behavior{Strategy: callermodel.Strategy(n("choice",
				len(callermodel.StrategyNames)) - 1), MaxTries: n("tries", 9), HonorsCredit: rapid.Bool().Draw(t,
				"heeds"),
				TryTimeoutRatio: float64(n("wait", 64)) / 64, HedgeDelay: float64(n("hedge", 900)),
				ParallelTries: n("copies", 4), RetryBudget: float64(n("budget", 64)) / 64,
				Throttle: rapid.Bool().Draw(t, "throttle"), SubsetSize: n("subset", 9),
				RetriesInDoubtWrites: rapid.Bool().Draw(t, "blind"), BackoffBase: float64(n("pause", 99))})
		}
		for range n("troubles", 4) {
			d.Faults = append(d.Faults, fleet.Fault{Kind: fleet.FaultKind(n("kind", len(fleet.FaultKindNames)) - 1),
				At: 250 * float64(n("at", 99)), Duration: 250 * float64(n("for", 99)),
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
		if diff := cmp.Diff(d, got); err != nil || diff != "" || e.Variants[0].Policy.Name != "aimd" ||
			len(e.Dimensions()) > 0 {
			t.Fatalf("error %v, policy %q, drawn fields %v, difference: %s", err, e.Variants[0].Policy.Name,
				e.Dimensions(), diff)
		}
	})
}

// Every policy can run a day, and every measure of its result is a non-negative number.
func TestPoliciesAndMeasures(t *testing.T) {
	d := fleet.DefaultDay(1)
	d.Nodes, d.DurationMs, d.Load = 2, 3000, 0.3
	for _, p := range PolicyNames {
		r := fleet.Simulate(d, NewPolicy(p).NodeFactory())
		if r.Requests < 20 || len(r.Violations) > 0 {
			t.Errorf("%s: %d requests and violations %v, want at least 20 and none", p, r.Requests, r.Violations)
		}
		for _, m := range Measures {
			if v := m.Value(&r); math.IsNaN(v) || v < 0 {
				t.Errorf("%s: %s is %v, want a non-negative number", p, m.Name, v)
			}
		}
	}
}
