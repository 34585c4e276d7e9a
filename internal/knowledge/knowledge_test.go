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

var recipient = Recipient{ClassNames: []string{"status", "rate", "book"}, Settings: whinrudder.Settings{
	Classes: []whinrudder.Class{{Deadline: 9000}, {Deadline: 6000}, {Deadline: 8000}}}}

// makeReport returns the report of a donor. Times are the costs of its classes in milliseconds; a class with cost 0 is
// unknown to the donor.
func makeReport(node string, age float64, times ...float64) Report {
	r := Report{Node: node, Uptime: 60e3, Cores: 6, Warm: true, Limit: whinrudder.Estimate{Value: 2, N: 40, Age: age}}
	for i, t := range times {
		if t > 0 {
			r.Classes = append(r.Classes, Class{recipient.ClassNames[i], whinrudder.ClassKnowledge{Share: 1,
				Cost: whinrudder.CostModel{N: 150, Age: age, Time: t}, Waits: []float64{4000, 4000, 4000}}})
		}
	}
	return r
}

// ownKnowledge returns the knowledge of a node after three runs of each class with a cost above 0.
func ownKnowledge(times ...float64) (k whinrudder.Knowledge) {
	for _, t := range times {
		n := 0.0
		if t > 0 {
			n = 3
		}
		k.Classes = append(k.Classes, whinrudder.ClassKnowledge{Cost: whinrudder.CostModel{N: n, Time: t}})
	}
	return k
}

// formatEntries returns the code and the first detail of each log entry.
func formatEntries(logEntries []LogEntry) (out []string) {
	for _, r := range logEntries {
		out = append(out, fmt.Sprintf("%s %v=%v", r.Code, r.Details[0], r.Details[1]))
	}
	return out
}

// classTimes returns the prior's costs by class, rounded to milliseconds.
func classTimes(p Prior) (out []float64) {
	for _, c := range p.Classes {
		out = append(out, math.Round(c.Cost.Time))
	}
	return out
}

func TestCheckRejectsInvalidFields(t *testing.T) {
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
		r := makeReport("a", 0, 100, 50, 200)
		change(&r)
		err := r.Check()
		if want == "" && err != nil || want != "" && (err == nil || !strings.Contains(err.Error(), want)) {
			t.Errorf("Check returned %v, want an error with %q", err, want)
		}
	}
}

func TestMerge(t *testing.T) {
	for _, c := range []struct {
		name       string
		reports    []Report
		times      []float64
		logEntries []string
	}{
		{"one donor", []Report{makeReport("a", 0, 100, 50, 200)}, []float64{100, 50, 200}, nil},
		{"no donor", nil, []float64{0, 0, 0}, nil},
		{"donor on another machine model", []Report{makeReport("a", 0, 100, 50, 200),
			makeReport("b", 0, 230, 115, 460)},
			[]float64{100, 50, 200}, nil},
		{"two donors contradict each other in one class", []Report{makeReport("a", 0, 100, 50, 200),
			makeReport("b", 0, 100, 50, 900)},
			[]float64{100, 50, 0},
			[]string{"contradiction field=cost"}},
		{"one wrong donor of three", []Report{makeReport("a", 0, 100, 50, 200), makeReport("b", 0, 110, 50, 210),
			makeReport("c", 0, 1000, 50, 20)}, []float64{100, 50, 191}, nil},
		{"two old reports outvote a wrong fresh one", []Report{makeReport("a", 6e5, 100, 50, 200),
			makeReport("b", 6e5, 100, 50, 200),
			makeReport("c", 0, 100, 500, 200)}, []float64{100, 50, 200}, nil},
		{"report too old", []Report{makeReport("a", 901e3, 100, 50, 200)}, []float64{0, 0, 0}, nil},
		{"class unknown to the donor", []Report{makeReport("a", 0, 100, 50)}, []float64{100, 50, 0}, nil},
		{"donor lacks common classes", []Report{makeReport("a", 0, 100, 50, 200), makeReport("b", 0, 100, 50, 200),
			makeReport("c", 0, 0, 0, 7)},
			[]float64{100, 50, 200}, []string{"other-classes donor=c"}},
		{"speed differs by more than two machines can", []Report{makeReport("a", 0, 100, 50, 200),
			makeReport("b", 0, 2000, 1000, 4000)},
			[]float64{0, 0, 0}, []string{"contradiction field=scale"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, logEntries := Merge(DefaultTrustParams, recipient, c.reports)
			if diff := cmp.Diff(c.times, classTimes(p)); diff != "" {
				t.Error(diff)
			}
			if diff := cmp.Diff(c.logEntries, formatEntries(logEntries)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestMergeMatchesClassesByName(t *testing.T) {
	r := makeReport("a", 0, 100, 50, 200)
	r.Classes[0], r.Classes[2] = r.Classes[2], r.Classes[0]
	r.Classes[1].Name = "renamed"
	p, _ := Merge(DefaultTrustParams, recipient, []Report{r})
	if diff := cmp.Diff([]float64{100, 0, 200}, classTimes(p)); diff != "" {
		t.Error(diff)
	}
}

func TestWeightDecaysToZero(t *testing.T) {
	d := DefaultTrustParams
	if d.weight(0) != 1 || d.weight(d.HalfLife) != 0.5 || d.weight(d.MaxAge) != 0 || d.weight(math.NaN()) != 0 {
		t.Errorf("weights at ages 0, HalfLife and MaxAge are %v, %v and %v, want 1, 0.5 and 0 (and 0 for NaN)",
			d.weight(0), d.weight(d.HalfLife), d.weight(d.MaxAge))
	}
}

func TestPriorValidator(t *testing.T) {
	for _, c := range []struct {
		name       string
		own        whinrudder.Knowledge
		left       []float64
		logEntries []string
	}{
		{"no runs yet", ownKnowledge(0, 0, 0), []float64{100, 50, 200}, nil},
		{"own runs agree", ownKnowledge(90, 60, 220), []float64{100, 50, 200}, nil},
		{"machine of another speed", ownKnowledge(250, 120, 520), []float64{100, 50, 200}, nil},
		{"one class wrong", ownKnowledge(100, 500, 200), []float64{100, 0, 200}, []string{"distrusted class=rate"}},
		{"only two classes, which contradict each other", ownKnowledge(100, 500, 0), []float64{0, 0, 200},
			[]string{"distrusted class=status", "distrusted class=rate"}},
		{"speed differs by more than two machines can", ownKnowledge(5000, 2500, 10000), []float64{0, 0, 0},
			[]string{"distrusted class=status", "distrusted class=rate", "distrusted class=book"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, _ := Merge(DefaultTrustParams, recipient, []Report{makeReport("a", 0, 100, 50, 200)})
			validator, _, logEntries, useful := NewPriorValidator(1000, p, ownKnowledge(0, 0, 0))
			if !useful || len(logEntries) > 0 {
				t.Fatalf("got useful %t with log entries %v, want true without entries", useful, logEntries)
			}
			_, logEntries, changed := validator.Recheck(2000, c.own)
			if diff := cmp.Diff(c.left, classTimes(validator.prior)); diff != "" {
				t.Error(diff)
			}
			if diff := cmp.Diff(c.logEntries, formatEntries(logEntries)); diff != "" ||
				changed != (c.logEntries != nil) {
				t.Error(diff, changed)
			}
		})
	}
}

// The prior of a class without own runs must not last for ever: it is dropped when its estimates reach MaxAge.
func TestPriorWithoutOwnRunsExpires(t *testing.T) {
	p, _ := Merge(DefaultTrustParams, recipient, []Report{makeReport("a", 300e3, 100, 50, 200)})
	validator, _, _, _ := NewPriorValidator(1000, p, ownKnowledge(0, 0, 0))
	if _, _, changed := validator.Recheck(1000+DefaultTrustParams.MaxAge-300e3-1, ownKnowledge(100, 0, 0)); changed {
		t.Error("the prior was dropped before it reached MaxAge")
	}
	k, _, changed := validator.Recheck(1000+DefaultTrustParams.MaxAge-300e3, ownKnowledge(100, 0, 0))
	if !changed || k.Classes[1].Cost.N != 0 || validator.Active() {
		t.Errorf("got classes %+v, active %t, want the whole prior dropped", k.Classes, validator.Active())
	}
}

func TestPriorIsOfNoUseToNodeWithOwnKnowledge(t *testing.T) {
	p, _ := Merge(DefaultTrustParams, recipient, []Report{makeReport("a", 0, 100, 50, 200)})
	known := ownKnowledge(100, 50, 200)
	for i := range known.Classes {
		known.Classes[i].Cost.N = 100
	}
	known.Limit = whinrudder.Estimate{Value: 2, N: 50}
	p.Classes = append([]whinrudder.ClassKnowledge{}, p.Classes...)
	for i := range p.Classes {
		p.Classes[i].Waits = nil
	}
	_, _, logEntries, useful := NewPriorValidator(1000, p, known)
	if diff := cmp.Diff([]string{"enough class=status", "enough class=rate", "enough class=book"},
		formatEntries(logEntries)); diff != "" || useful {
		t.Error(diff, useful)
	}
}

// A single wrong donor among three or more must not move the result out of the range of the others: neither the scale
// of the costs, nor the ratio of each class to it, nor the limit.
func TestMergeStaysWithinHonestDonors(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		costMs := rapid.Float64Range(10, 1000)
		var honest []Report
		for i := range rapid.IntRange(2, 5).Draw(t, "honest") {
			r := makeReport(string(rune('a'+i)), rapid.Float64Range(0, 800e3).Draw(t, "age"), costMs.Draw(t, "s"),
				costMs.Draw(t, "r"), costMs.Draw(t, "b"))
			r.Limit.Value = rapid.Float64Range(1, 5).Draw(t, "limit")
			honest = append(honest, r)
		}
		wrong := honest[0]
		wrong.Node, wrong.Classes = "liar", append([]Class{}, wrong.Classes...)
		for i := range wrong.Classes {
			wrong.Classes[i].Cost.Time *= rapid.SampledFrom([]float64{0.1, 1, 10}).Draw(t, "by")
			wrong.Classes[i].Cost.Age = 0
			wrong.Classes[i].Share *= rapid.SampledFrom([]float64{0.1, 1, 10}).Draw(t, "by")
		}
		wrong.Limit.Value *= rapid.SampledFrom([]float64{0.1, 1, 10}).Draw(t, "by")
		wrong.Limit.Age = 0
		all := append([]Report{}, honest...)
		at := rapid.IntRange(0, len(honest)).Draw(t, "place")
		all = append(all[:at], append([]Report{wrong}, all[at:]...)...)
		p, _ := Merge(DefaultTrustParams, recipient, all)

		within := func(what string, got float64, get func(Report) float64) {
			low, high := math.Inf(1), 0.0
			for _, r := range honest {
				low, high = min(low, get(r)), max(high, get(r))
			}
			if got < low*(1-1e-9) || got > high*(1+1e-9) {
				t.Fatalf("%s is %v, want it within the range of the honest donors, %v to %v", what, got, low, high)
			}
		}
		scale := func(r Report) float64 {
			return median([]float64{r.Classes[0].Cost.Time, r.Classes[1].Cost.Time, r.Classes[2].Cost.Time})
		}
		within("limit", p.Limit.Value, func(r Report) float64 { return r.Limit.Value })
		for i := range recipient.ClassNames {
			lowScale, highScale, lowRatio, highRatio := math.Inf(1), 0.0, math.Inf(1), 0.0
			for _, r := range honest {
				lowScale, highScale = min(lowScale, scale(r)), max(highScale, scale(r))
				ratio := r.Classes[i].Cost.Time / scale(r)
				lowRatio, highRatio = min(lowRatio, ratio), max(highRatio, ratio)
			}
			if got := p.Classes[i].Cost.Time; got < lowScale*lowRatio*(1-1e-9) || got > highScale*highRatio*(1+1e-9) {
				t.Fatalf("cost of class %d is %v, want it within the range of the honest donors, %v to %v", i, got,
					lowScale*lowRatio, highScale*highRatio)
			}
		}
	})
}

// Older knowledge never has more weight, and the order of the reports does not change the result.
func TestMergeProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		age := rapid.Float64Range(0, 1e6).Draw(t, "age")
		r := makeReport("a", age, 100, 50, 200)
		fresh, _ := Merge(DefaultTrustParams, recipient, []Report{r})
		old, _ := Merge(DefaultTrustParams, recipient, []Report{r.AgedBy(rapid.Float64Range(0, 1e6).Draw(t, "more"))})
		for i := range recipient.ClassNames {
			if n := old.Classes[i].Cost.N; n > fresh.Classes[i].Cost.N || n > DefaultTrustParams.MaxRunWeight {
				t.Fatalf("weight of the older report is %v, of the fresher one %v, want no more, MaxRunWeight at most",
					n, fresh.Classes[i].Cost.N)
			}
		}
		var all []Report
		for i := range rapid.IntRange(1, 5).Draw(t, "donors") {
			all = append(all, makeReport(string(rune('a'+i)), age, rapid.Float64Range(1, 1000).Draw(t, "s"),
				rapid.Float64Range(1, 1000).Draw(t, "r"), rapid.Float64Range(1, 1000).Draw(t, "b")))
		}
		p, _ := Merge(DefaultTrustParams, recipient, all)
		for i, j := 0, len(all)-1; i < j; i, j = i+1, j-1 {
			all[i], all[j] = all[j], all[i]
		}
		q, _ := Merge(DefaultTrustParams, recipient, all)
		if diff := cmp.Diff(classTimes(p), classTimes(q)); diff != "" {
			t.Fatal(diff)
		}
	})
}
