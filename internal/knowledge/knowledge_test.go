package knowledge

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"whinrudder"
)

var need = Recipient{ClassNames: []string{"status", "rate", "book"}, Settings: whinrudder.Settings{
	Classes: []whinrudder.Class{{Deadline: 9000}, {Deadline: 6000}, {Deadline: 8000}}}}

// report is a donor's whose classes take so many milliseconds each; 0 is a class it knows nothing of.
func report(node string, age float64, times ...float64) Report {
	r := Report{Node: node, Uptime: 60e3, Cores: 6, Warm: true, Limit: whinrudder.Estimate{Value: 2, N: 40, Age: age}}
	for i, t := range times {
		if t > 0 {
			r.Classes = append(r.Classes, Class{need.ClassNames[i], whinrudder.ClassKnowledge{Share: 1,
				Cost: whinrudder.CostModel{N: 150, Age: age, Time: t}, Waits: []float64{4000, 4000, 4000}}})
		}
	}
	return r
}

func own(times ...float64) (k whinrudder.Knowledge) {
	for _, t := range times {
		n := 0.0
		if t > 0 {
			n = 3
		}
		k.Classes = append(k.Classes, whinrudder.ClassKnowledge{Cost: whinrudder.CostModel{N: n, Time: t}})
	}
	return k
}

func codes(remarks []LogEntry) (out []string) {
	for _, r := range remarks {
		out = append(out, fmt.Sprintf("%s %v=%v", r.Code, r.Details[0], r.Details[1]))
	}
	return out
}

func times(p Prior) (out []float64) {
	for _, c := range p.Classes {
		out = append(out, math.Round(c.Cost.Time))
	}
	return out
}

func TestFiguresThatNoNodeCanHave(t *testing.T) {
	for want, change := range map[string]func(*Report){
		"":                       func(*Report) {},
		"node is":                func(r *Report) { r.Node = "n 1" },
		"cores is 0":             func(r *Report) { r.Cores = 0 },
		"life is -1":             func(r *Report) { r.Uptime = -1 },
		"class status cost.time": func(r *Report) { r.Classes[0].Cost.Time = 0 },
		"class rate cost.n":      func(r *Report) { r.Classes[1].Cost.N = 1e9 },
		"class rate cost.age":    func(r *Report) { r.Classes[1].Cost.Age = math.NaN() },
		"class rate cost.work_w": func(r *Report) { r.Classes[1].Cost.Work, r.Classes[1].Cost.WorkWork = 5, 1 },
		"class book wait is":     func(r *Report) { r.Classes[2].Waits = []float64{math.Inf(1)} },
		"class book waits is 17": func(r *Report) { r.Classes[2].Waits = make([]float64, 17) },
		"status twice":           func(r *Report) { r.Classes[1].Name = "status" },
		"limit is 1e+06":         func(r *Report) { r.Limit.Value = 1e6 },
		"pace is 2":              func(r *Report) { r.CoreShare = whinrudder.Estimate{Value: 2, N: 1} },
		"slow is 1000":           func(r *Report) { r.Slowdown = whinrudder.Estimate{Value: 1000, N: 1} },
	} {
		r := report("a", 0, 100, 50, 200)
		change(&r)
		err := r.Check()
		if want == "" && err != nil || want != "" && (err == nil || !strings.Contains(err.Error(), want)) {
			t.Errorf("want %q, got %v", want, err)
		}
	}
}

func TestMerge(t *testing.T) {
	for _, c := range []struct {
		name    string
		reports []Report
		times   []float64
		remarks []string
	}{
		{"one", []Report{report("a", 0, 100, 50, 200)}, []float64{100, 50, 200}, nil},
		{"none", nil, []float64{0, 0, 0}, nil},
		{"other model", []Report{report("a", 0, 100, 50, 200), report("b", 0, 230, 115, 460)}, []float64{100, 50, 200}, nil},
		{"contradiction", []Report{report("a", 0, 100, 50, 200), report("b", 0, 100, 50, 900)}, []float64{100, 50, 0},
			[]string{"contradiction field=cost"}},
		{"two good and one wrong", []Report{report("a", 0, 100, 50, 200), report("b", 0, 110, 50, 210),
			report("c", 0, 1000, 50, 20)}, []float64{100, 50, 191}, nil},
		{"old ones hold against a wrong fresh one", []Report{report("a", 6e5, 100, 50, 200), report("b", 6e5, 100, 50, 200),
			report("c", 0, 100, 500, 200)}, []float64{100, 50, 200}, nil},
		{"too old", []Report{report("a", 901e3, 100, 50, 200)}, []float64{0, 0, 0}, nil},
		{"class unknown there", []Report{report("a", 0, 100, 50)}, []float64{100, 50, 0}, nil},
		{"other classes", []Report{report("a", 0, 100, 50, 200), report("b", 0, 100, 50, 200), report("c", 0, 0, 0, 7)},
			[]float64{100, 50, 200}, []string{"other-classes donor=c"}},
		{"no two machines differ so", []Report{report("a", 0, 100, 50, 200), report("b", 0, 2000, 1000, 4000)},
			[]float64{0, 0, 0}, []string{"contradiction field=scale"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, remarks := Merge(DefaultTrustParams, need, c.reports)
			if diff := cmp.Diff(c.times, times(p)); diff != "" {
				t.Error(diff)
			}
			if diff := cmp.Diff(c.remarks, codes(remarks)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestClassesGoByName(t *testing.T) {
	r := report("a", 0, 100, 50, 200)
	r.Classes[0], r.Classes[2] = r.Classes[2], r.Classes[0]
	r.Classes[1].Name = "renamed"
	p, _ := Merge(DefaultTrustParams, need, []Report{r})
	if diff := cmp.Diff([]float64{100, 0, 200}, times(p)); diff != "" {
		t.Error(diff)
	}
}

func TestWeightFadesToNothing(t *testing.T) {
	d := DefaultTrustParams
	if d.weight(0) != 1 || d.weight(d.HalfLife) != 0.5 || d.weight(d.MaxAge) != 0 || d.weight(math.NaN()) != 0 {
		t.Error(d.weight(0), d.weight(d.HalfLife), d.weight(d.MaxAge))
	}
}

func TestTrial(t *testing.T) {
	for _, c := range []struct {
		name    string
		own     whinrudder.Knowledge
		left    []float64
		remarks []string
	}{
		{"no runs yet", own(0, 0, 0), []float64{100, 50, 200}, nil},
		{"agrees", own(90, 60, 220), []float64{100, 50, 200}, nil},
		{"another machine", own(250, 120, 520), []float64{100, 50, 200}, nil},
		{"one class wrong", own(100, 500, 200), []float64{100, 0, 200}, []string{"distrusted class=rate"}},
		{"two that contradict", own(100, 500, 0), []float64{0, 0, 200}, []string{"distrusted class=status", "distrusted class=rate"}},
		{"no machine differs so", own(5000, 2500, 10000), []float64{0, 0, 0},
			[]string{"distrusted class=status", "distrusted class=rate", "distrusted class=book"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, _ := Merge(DefaultTrustParams, need, []Report{report("a", 0, 100, 50, 200)})
			trial, _, remarks, use := NewPriorValidator(1000, p, own(0, 0, 0))
			if !use || len(remarks) > 0 {
				t.Fatal("not begun", remarks)
			}
			_, remarks, changed := trial.Recheck(2000, c.own)
			if diff := cmp.Diff(c.left, times(trial.prior)); diff != "" {
				t.Error(diff)
			}
			if diff := cmp.Diff(c.remarks, codes(remarks)); diff != "" || changed != (c.remarks != nil) {
				t.Error(diff, changed)
			}
		})
	}
}

// A class that nobody asks for must not keep a prior for ever: it goes when the fact in it has reached its end.
func TestPriorThatIsNeverTriedGetsTooOld(t *testing.T) {
	p, _ := Merge(DefaultTrustParams, need, []Report{report("a", 300e3, 100, 50, 200)})
	trial, _, _, _ := NewPriorValidator(1000, p, own(0, 0, 0))
	if _, _, changed := trial.Recheck(1000+DefaultTrustParams.MaxAge-300e3-1, own(100, 0, 0)); changed {
		t.Error("given up before its end")
	}
	k, _, changed := trial.Recheck(1000+DefaultTrustParams.MaxAge-300e3, own(100, 0, 0))
	if !changed || k.Classes[1].Cost.N != 0 || trial.Active() {
		t.Errorf("want all given up, got %+v, open %t", k.Classes, trial.Active())
	}
}

func TestNodeThatKnowsEnoughTakesNothing(t *testing.T) {
	p, _ := Merge(DefaultTrustParams, need, []Report{report("a", 0, 100, 50, 200)})
	known := own(100, 50, 200)
	for i := range known.Classes {
		known.Classes[i].Cost.N = 100
	}
	known.Limit = whinrudder.Estimate{Value: 2, N: 50}
	p.Classes = append([]whinrudder.ClassKnowledge{}, p.Classes...)
	for i := range p.Classes {
		p.Classes[i].Waits = nil
	}
	_, _, remarks, use := NewPriorValidator(1000, p, known)
	if diff := cmp.Diff([]string{"enough class=status", "enough class=rate", "enough class=book"}, codes(remarks)); diff != "" || use {
		t.Error(diff, use)
	}
}

// Whatever one donor of three or more says, the result lies within what the others span: the scale of their costs,
// the relation of each class to it, the limit, and what it counts for.
func TestOneWrongDonorMovesNothingBeyondTheOthers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		figure := rapid.Float64Range(10, 1000)
		var honest []Report
		for i := range rapid.IntRange(2, 5).Draw(t, "honest") {
			r := report(string(rune('a'+i)), rapid.Float64Range(0, 800e3).Draw(t, "age"), figure.Draw(t, "s"),
				figure.Draw(t, "r"), figure.Draw(t, "b"))
			r.Limit.Value = rapid.Float64Range(1, 5).Draw(t, "limit")
			honest = append(honest, r)
		}
		liar := honest[0]
		liar.Node, liar.Classes = "liar", append([]Class{}, liar.Classes...)
		for i := range liar.Classes {
			liar.Classes[i].Cost.Time *= rapid.SampledFrom([]float64{0.1, 1, 10}).Draw(t, "by")
			liar.Classes[i].Cost.Age = 0
			liar.Classes[i].Share *= rapid.SampledFrom([]float64{0.1, 1, 10}).Draw(t, "by")
		}
		liar.Limit.Value *= rapid.SampledFrom([]float64{0.1, 1, 10}).Draw(t, "by")
		liar.Limit.Age = 0
		all := append([]Report{}, honest...)
		at := rapid.IntRange(0, len(honest)).Draw(t, "place")
		all = append(all[:at], append([]Report{liar}, all[at:]...)...)
		p, _ := Merge(DefaultTrustParams, need, all)

		within := func(what string, got float64, of func(Report) float64) {
			low, high := math.Inf(1), 0.0
			for _, r := range honest {
				low, high = min(low, of(r)), max(high, of(r))
			}
			if got < low*(1-1e-9) || got > high*(1+1e-9) {
				t.Fatalf("%s is %v, honest donors span %v to %v", what, got, low, high)
			}
		}
		scale := func(r Report) float64 {
			return median([]float64{r.Classes[0].Cost.Time, r.Classes[1].Cost.Time, r.Classes[2].Cost.Time})
		}
		within("limit", p.Limit.Value, func(r Report) float64 { return r.Limit.Value })
		for i := range need.ClassNames {
			lowS, highS, lowR, highR := math.Inf(1), 0.0, math.Inf(1), 0.0
			for _, r := range honest {
				lowS, highS = min(lowS, scale(r)), max(highS, scale(r))
				rel := r.Classes[i].Cost.Time / scale(r)
				lowR, highR = min(lowR, rel), max(highR, rel)
			}
			if got := p.Classes[i].Cost.Time; got < lowS*lowR*(1-1e-9) || got > highS*highR*(1+1e-9) {
				t.Fatalf("cost %d is %v, honest donors span %v to %v", i, got, lowS*lowR, highS*highR)
			}
		}
	})
}

// Older knowledge never counts for more, and merging does not depend on the order of donors that differ.
func TestMergeProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		age := rapid.Float64Range(0, 1e6).Draw(t, "age")
		r := report("a", age, 100, 50, 200)
		young, _ := Merge(DefaultTrustParams, need, []Report{r})
		old, _ := Merge(DefaultTrustParams, need, []Report{r.AgedBy(rapid.Float64Range(0, 1e6).Draw(t, "more"))})
		for i := range need.ClassNames {
			if n := old.Classes[i].Cost.N; n > young.Classes[i].Cost.N || n > DefaultTrustParams.MaxRunWeight {
				t.Fatalf("counts for %v when older, %v before", n, young.Classes[i].Cost.N)
			}
		}
		var all []Report
		for i := range rapid.IntRange(1, 5).Draw(t, "donors") {
			all = append(all, report(string(rune('a'+i)), age, rapid.Float64Range(1, 1000).Draw(t, "s"),
				rapid.Float64Range(1, 1000).Draw(t, "r"), rapid.Float64Range(1, 1000).Draw(t, "b")))
		}
		p, _ := Merge(DefaultTrustParams, need, all)
		for i, j := 0, len(all)-1; i < j; i, j = i+1, j-1 {
			all[i], all[j] = all[j], all[i]
		}
		q, _ := Merge(DefaultTrustParams, need, all)
		if diff := cmp.Diff(times(p), times(q)); diff != "" {
			t.Fatal(diff)
		}
	})
}
