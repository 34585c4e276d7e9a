// Package report draws what was played: plots of days and of studies, and one page with all of it that opens without a
// network.
package report

import (
	"bytes"
	"fmt"
	"html/template"
	"io"
	"math"
	"strings"

	"whinrudder/internal/emu/chart"
	"whinrudder/internal/emu/experiment"
	"whinrudder/internal/emu/fleet"
	"whinrudder/internal/emu/study"
)

// Plot is a plot with a name that may be that of a file.
type Plot struct {
	Name string
	SVG  []byte
}

// VariantResult is what a variant did on a day.
type VariantResult struct {
	Name   string
	Result fleet.Result
}

// smooth is how many bins a point of a time series is the mean of: two seconds.
const smooth = 4

// DrawDay draws a day that was played, with its troubles shaded: worth answered in time, tries a request, what runs in the fleet.
func DrawDay(title string, d fleet.Day, plays []VariantResult) ([]byte, error) {
	var shades []chart.Shade
	for _, t := range d.Faults {
		shades = append(shades, chart.Shade{From: t.At / 1000, To: (t.At + t.Duration) / 1000, Name: t.Kind.String()})
	}
	series := func(of func(part []fleet.TimeBucket) float64) (out []chart.Line) {
		for _, p := range plays {
			l := chart.Line{Name: p.Name}
			for i := smooth; i <= len(p.Result.Buckets); i++ {
				l.X = append(l.X, float64(i)*fleet.BucketMs()/1000)
				l.Y = append(l.Y, of(p.Result.Buckets[i-smooth:i]))
			}
			out = append(out, l)
		}
		return out
	}
	asked := 0.0 // requests that a unit of worth stands for
	for _, c := range d.Classes {
		asked += c.Share * c.Worth
	}
	return chart.SVG(
		chart.Panel{Title: title, YLabel: "worth in time, share", YMax: 1.02, Shades: shades, Lines: series(func(part []fleet.TimeBucket) float64 {
			a, g := 0.0, 0.0
			for _, b := range part {
				a, g = a+b.OfferedWorth, g+b.EarnedWorth
			}
			return g / max(1e-9, a)
		})},
		chart.Panel{YLabel: "tries a request", Shades: shades, Lines: series(func(part []fleet.TimeBucket) float64 {
			a, n := 0.0, 0
			for _, b := range part {
				a, n = a+b.OfferedWorth, n+b.Tries
			}
			return float64(n) * asked / max(1e-9, a)
		})},
		chart.Panel{XLabel: "seconds", YLabel: "runs in the fleet", Shades: shades, Lines: series(func(part []fleet.TimeBucket) float64 {
			n := 0
			for _, b := range part {
				n += b.Running
			}
			return float64(n) / float64(len(part))
		})})
}

// DrawStudy draws a study: over its sweep where it has one, else the differences to the first variant.
func DrawStudy(s *study.Study) (out []Plot, err error) {
	cells := s.Cells()
	add := func(name string, svg []byte, fault error) {
		if fault != nil && err == nil {
			err = fault
		}
		out = append(out, Plot{strings.ReplaceAll(s.Name+"-"+name, " ", "-"), svg})
	}
	if s.Sweep == "" {
		if rows := differences(cells, s.Variants[0]); len(rows) > 0 {
			svg, fault := chart.Intervals(s.Name+": "+s.Measures[0]+" less that of "+s.Variants[0], s.Measures[0], rows)
			add("differences", svg, fault)
		}
		return out, err
	}
	for _, name := range s.Measures {
		m := experiment.MeasureByName(name)
		svg, fault := chart.SVG(chart.Panel{Title: s.Name + ": " + name + " by " + s.Sweep, XLabel: s.Sweep, YLabel: name + ", " + m.Unit, Lines: lines(s, cells, name, "")})
		add(name, svg, fault)
	}
	has := func(name string) bool {
		for _, m := range s.Measures {
			if m == name {
				return true
			}
		}
		return false
	}
	if has("offered") && has("goodput") {
		svg, fault := chart.SVG(chart.Panel{Title: s.Name + ": goodput by offered load", XLabel: "offered, requests/s", YLabel: "served by the aim, requests/s",
			Diagonal: true, Lines: lines(s, cells, "goodput", "offered")})
		add("goodput-by-offered", svg, fault)
	}
	if has("offered") && (has("p50") || has("p99")) {
		var all []chart.Line
		for _, q := range []string{"p50", "p90", "p99", "p999"} {
			if has(q) {
				for _, l := range lines(s, cells, q, "offered") {
					l.Name += " " + q
					all = append(all, l)
				}
			}
		}
		svg, fault := chart.SVG(chart.Panel{Title: s.Name + ": latency by offered load", XLabel: "offered, requests/s", YLabel: "ms", Lines: all})
		add("latency-by-offered", svg, fault)
	}
	return out, err
}

// lines draws a measure of each variant by the sweep, or by the mean of another measure.
func lines(s *study.Study, cells []study.Cell, name, by string) (out []chart.Line) {
	find := func(c study.Cell, name string) (m study.Estimate) {
		for _, m := range c.Estimates {
			if m.Name == name {
				return m
			}
		}
		return m
	}
	for _, v := range s.Variants {
		l := chart.Line{Name: v}
		for _, c := range cells {
			if c.Variant != v {
				continue
			}
			x, m := c.SweepValue, find(c, name)
			if by != "" {
				x = find(c, by).Mean
			}
			l.X, l.Y, l.Low, l.High = append(l.X, x), append(l.Y, m.Mean), append(l.Low, m.Low), append(l.High, m.High)
		}
		out = append(out, l)
	}
	return out
}

func differences(cells []study.Cell, first string) (rows []chart.Row) {
	for _, c := range cells {
		if c.Variant != first {
			m := c.Estimates[0]
			rows = append(rows, chart.Row{Name: c.Variant, Mean: m.Diff, Low: m.DiffLow, High: m.DiffHigh})
		}
	}
	return rows
}

// DrawFamilies draws the differences of many studies in one plot.
func DrawFamilies(all []*study.Study) ([]byte, error) {
	var rows []chart.Row
	for _, s := range all {
		for _, r := range differences(s.Cells(), s.Variants[0]) {
			r.Name = s.Name + ", " + r.Name
			rows = append(rows, r)
		}
	}
	return chart.Intervals("difference to "+all[0].Variants[0]+", 95%", all[0].Measures[0], rows)
}

// Section is a part of a page.
type Section struct {
	Title string
	Text  string // as it stands, in a fixed width
	Plots []Plot
}

// svg returns a plot without the head of a file, as it stands inside of a page.
func (n Plot) svg() template.HTML {
	b := n.SVG
	if i := bytes.Index(b, []byte("<svg")); i > 0 {
		b = b[i:]
	}
	return template.HTML(b)
}

var page = template.Must(template.New("page").Funcs(template.FuncMap{"svg": Plot.svg}).Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Title}}</title>
<style>body{font-family:sans-serif;max-width:1100px;margin:2em auto;color:#222}pre{overflow-x:auto;background:#f5f5f5;padding:.7em;font-size:12px}
svg{max-width:100%;height:auto}nav a{margin-right:1em}</style></head><body><h1>{{.Title}}</h1>
<nav>{{range $i, $s := .Sections}}<a href="#s{{$i}}">{{$s.Title}}</a>{{end}}</nav>
{{range $i, $s := .Sections}}<section id="s{{$i}}"><h2>{{$s.Title}}</h2>{{if $s.Text}}<pre>{{$s.Text}}</pre>{{end}}
{{range $s.Plots}}<figure>{{svg .}}<figcaption>{{.Name}}</figcaption></figure>{{end}}</section>
{{end}}</body></html>
`))

// WritePage writes a page.
func WritePage(w io.Writer, title string, sections []Section) error {
	return page.Execute(w, struct {
		Title    string
		Sections []Section
	}{title, sections})
}

// FormatResults tells a result of a day as people read it.
func FormatResults(d fleet.Day, plays []VariantResult) string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d, %d nodes of %d cores, %d callers, load %.2f, %.0f s\n", uint64(d.Seed), d.Nodes, d.Cores, len(d.Callers), d.Load, d.DurationMs/1000)
	for _, t := range d.Faults {
		fmt.Fprintf(&b, "  %5.1f to %5.1f s  %-9s share %.2f, factor %.2f\n", t.At/1000, (t.At+t.Duration)/1000, t.Kind, t.Share, t.Factor)
	}
	fmt.Fprintf(&b, "%-12s %6s %6s %13s %6s %9s %8s %6s %6s %5s %7s  %s\n", "", "goal", "whole", "worst 10 s at", "class", "requests", "tries", "waste", "again",
		"fell", "broken", "latency in ms")
	for _, p := range plays {
		r := p.Result
		fmt.Fprintf(&b, "%-12s %6.3f %6.3f %6.3f %4.0f s %6.3f %9d %8.2f %6.3f %6d %5d %7d  %v\n", p.Name, r.GoalScore, r.OverallWorthRatio, r.WorstWindow, r.WorstWindowStart/1000,
			r.WorstClass, r.Requests, float64(r.Tries)/float64(max(1, r.Requests)), r.WastedWorkRatio, r.RepeatedWrites, r.OverloadCrashes, len(r.Violations), r.Latency)
		for _, x := range r.Violations {
			fmt.Fprintln(&b, "   ", x)
		}
		if r.Resets > 0 {
			fmt.Fprintf(&b, "    %d connections broke without a crash: %s\n", r.Resets, strings.Join(r.ResetReasons, "\n      "))
		}
	}
	return b.String()
}

// FormatModelErrors tells how far a play in virtual time is from a real one.
func FormatModelErrors(emulated, real fleet.Result) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%-14s %9s %9s %9s\n", "", "emulated", "real", "error")
	for _, m := range experiment.Measures {
		if x, y := m.Value(&emulated), m.Value(&real); m.Name != "broken" {
			fmt.Fprintf(&b, "%-14s %9.3f %9.3f %+9.3f\n", m.Name, x, y, x-y)
		}
	}
	for i := range emulated.ClassWorthRatios {
		x, y := emulated.ClassWorthRatios[i], real.ClassWorthRatios[i]
		fmt.Fprintf(&b, "%-14s %9.3f %9.3f %+9.3f\n", fmt.Sprint("class ", i), x, y, x-y)
	}
	var off float64
	n := 0
	for i := 0; i+smooth <= min(len(emulated.Buckets), len(real.Buckets)); i += smooth {
		a, x, y := 0.0, 0.0, 0.0
		for j := i; j < i+smooth; j++ {
			a, x, y = a+emulated.Buckets[j].OfferedWorth, x+emulated.Buckets[j].EarnedWorth, y+real.Buckets[j].EarnedWorth
		}
		if a > 0 {
			off += math.Abs(x-y) / a
			n++
		}
	}
	fmt.Fprintf(&b, "mean absolute error of the share in time over %d times of 2 s: %.3f\n", n, off/float64(max(1, n)))
	return b.String()
}
