// Package report presents results of the emulator: charts of days and studies, text tables, and one HTML page that
// needs nothing from the network.
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

// Plot is a chart with a name that can serve as a file name.
type Plot struct {
	Name string
	SVG  []byte
}

// VariantResult is the result of one variant on a day.
type VariantResult struct {
	Name   string
	Result fleet.Result
}

// smoothingBuckets is the number of time buckets that a point of a time series averages over, which is two seconds.
const smoothingBuckets = 4

// DrawDay draws the time series of a day, with its faults shaded: the share of worth earned in time, the tries per
// request, and the number of runs in the fleet.
func DrawDay(title string, d fleet.Day, results []VariantResult) ([]byte, error) {
	var shades []chart.Shade
	for _, t := range d.Faults {
		shades = append(shades, chart.Shade{From: t.At / 1000, To: (t.At + t.Duration) / 1000, Name: t.Kind.String()})
	}
	series := func(value func(buckets []fleet.TimeBucket) float64) (out []chart.Line) {
		for _, result := range results {
			line := chart.Line{Name: result.Name}
			for i := smoothingBuckets; i <= len(result.Result.Buckets); i++ {
				line.X = append(line.X, float64(i)*fleet.BucketMs()/1000)
				line.Y = append(line.Y, value(result.Result.Buckets[i-smoothingBuckets:i]))
			}
			out = append(out, line)
		}
		return out
	}
	meanWorth := 0.0 // mean worth of a request, which converts offered worth into requests
	for _, c := range d.Classes {
		meanWorth += c.Share * c.Worth
	}
	return chart.SVG(
		chart.Panel{Title: title, YLabel: "worth in time, share", YMax: 1.02, Shades: shades,
			Lines: series(func(buckets []fleet.TimeBucket) float64 {
				offered, earned := 0.0, 0.0
				for _, b := range buckets {
					offered, earned = offered+b.OfferedWorth, earned+b.EarnedWorth
				}
				return earned / max(1e-9, offered)
			})},
		chart.Panel{YLabel: "tries a request", Shades: shades, Lines: series(func(buckets []fleet.TimeBucket) float64 {
			offered, tries := 0.0, 0
			for _, b := range buckets {
				offered, tries = offered+b.OfferedWorth, tries+b.Tries
			}
			return float64(tries) * meanWorth / max(1e-9, offered)
		})},
		chart.Panel{XLabel: "seconds", YLabel: "runs in the fleet", Shades: shades,
			Lines: series(func(buckets []fleet.TimeBucket) float64 {
				running := 0
				for _, b := range buckets {
					running += b.Running
				}
				return float64(running) / float64(len(buckets))
			})})
}

// DrawStudy draws a study. With a sweep, it draws each measure over the sweep, and goodput and latency over the
// offered load if they were measured. Without a sweep, it draws the differences to the first variant.
func DrawStudy(s *study.Study) (out []Plot, err error) {
	cells := s.Cells()
	add := func(name string, svg []byte, drawErr error) {
		if drawErr != nil && err == nil {
			err = drawErr
		}
		out = append(out, Plot{strings.ReplaceAll(s.Name+"-"+name, " ", "-"), svg})
	}
	if s.Sweep == "" {
		if rows := differences(cells, s.Variants[0]); len(rows) > 0 {
			svg, drawErr := chart.Intervals(s.Name+": "+s.Measures[0]+" less that of "+s.Variants[0], s.Measures[0],
				rows)
			add("differences", svg, drawErr)
		}
		return out, err
	}
	for _, name := range s.Measures {
		m := experiment.MeasureByName(name)
		svg, drawErr := chart.SVG(chart.Panel{Title: s.Name + ": " + name + " by " + s.Sweep, XLabel: s.Sweep,
			YLabel: name + ", " + m.Unit, Lines: lines(s, cells, name, "")})
		add(name, svg, drawErr)
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
		svg, drawErr := chart.SVG(chart.Panel{Title: s.Name + ": goodput by offered load",
			XLabel: "offered, requests/s", YLabel: "served by the aim, requests/s",
			Diagonal: true, Lines: lines(s, cells, "goodput", "offered")})
		add("goodput-by-offered", svg, drawErr)
	}
	if has("offered") && (has("p50") || has("p99")) {
		var all []chart.Line
		for _, quantile := range []string{"p50", "p90", "p99", "p999"} {
			if has(quantile) {
				for _, line := range lines(s, cells, quantile, "offered") {
					line.Name += " " + quantile
					all = append(all, line)
				}
			}
		}
		svg, drawErr := chart.SVG(chart.Panel{Title: s.Name + ": latency by offered load",
			XLabel: "offered, requests/s", YLabel: "ms", Lines: all})
		add("latency-by-offered", svg, drawErr)
	}
	return out, err
}

// lines returns a line per variant with a measure over the sweep or, if by is not empty, over the mean of the measure
// by.
func lines(s *study.Study, cells []study.Cell, name, by string) (out []chart.Line) {
	find := func(cell study.Cell, name string) (estimate study.Estimate) {
		for _, estimate := range cell.Estimates {
			if estimate.Name == name {
				return estimate
			}
		}
		return estimate
	}
	for _, variant := range s.Variants {
		line := chart.Line{Name: variant}
		for _, cell := range cells {
			if cell.Variant != variant {
				continue
			}
			x, estimate := cell.SweepValue, find(cell, name)
			if by != "" {
				x = find(cell, by).Mean
			}
			line.X, line.Y, line.Low, line.High = append(line.X, x), append(line.Y, estimate.Mean),
				append(line.Low, estimate.Low), append(line.High, estimate.High)
		}
		out = append(out, line)
	}
	return out
}

// differences returns the differences of the first measure to the first variant, a row per cell of the other variants.
func differences(cells []study.Cell, first string) (rows []chart.Row) {
	for _, c := range cells {
		if c.Variant != first {
			estimate := c.Estimates[0]
			rows = append(rows, chart.Row{Name: c.Variant, Mean: estimate.Diff, Low: estimate.DiffLow,
				High: estimate.DiffHigh})
		}
	}
	return rows
}

// DrawFamilies draws the differences of several studies in one chart, labeled with the first variant and measure of the
// first study.
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

// Section is a section of a page.
type Section struct {
	Title string
	Text  string // preformatted text, empty if none
	Plots []Plot
}

// svg returns the SVG element without the XML prolog, for embedding in HTML.
func (p Plot) svg() template.HTML {
	svg := p.SVG
	if i := bytes.Index(svg, []byte("<svg")); i > 0 {
		svg = svg[i:]
	}
	return template.HTML(svg)
}

// page is the template of the HTML page, with inline styles and drawings.
var page = template.Must(template.New("page").Funcs(template.FuncMap{"svg": Plot.svg}).Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Title}}</title>
<style>body{font-family:sans-serif;max-width:1100px;margin:2em auto;color:#222}pre{overflow-x:auto;background:#f5f5f5;padding:.7em;font-size:12px}
svg{max-width:100%;height:auto}nav a{margin-right:1em}</style></head><body><h1>{{.Title}}</h1>
<nav>{{range $i, $s := .Sections}}<a href="#s{{$i}}">{{$s.Title}}</a>{{end}}</nav>
{{range $i, $s := .Sections}}<section id="s{{$i}}"><h2>{{$s.Title}}</h2>{{if $s.Text}}<pre>{{$s.Text}}</pre>{{end}}
{{range $s.Plots}}<figure>{{svg .}}<figcaption>{{.Name}}</figcaption></figure>{{end}}</section>
{{end}}</body></html>
`))

// WritePage writes an HTML page with sections.
func WritePage(w io.Writer, title string, sections []Section) error {
	return page.Execute(w, struct {
		Title    string
		Sections []Section
	}{title, sections})
}

// FormatResults formats the results of a day as a text table, with the violations and unexpected connection resets of
// each variant.
func FormatResults(d fleet.Day, results []VariantResult) string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d, %d nodes of %d cores, %d callers, load %.2f, %.0f s\n", uint64(d.Seed), d.Nodes,
		d.Cores, len(d.Callers), d.Load, d.DurationMs/1000)
	for _, t := range d.Faults {
		fmt.Fprintf(&b, "  %5.1f to %5.1f s  %-9s share %.2f, factor %.2f\n", t.At/1000, (t.At+t.Duration)/1000,
			t.Kind, t.Share, t.Factor)
	}
	fmt.Fprintf(&b, "%-12s %6s %6s %13s %6s %9s %8s %6s %6s %5s %7s  %s\n", "", "goal", "whole", "worst 10 s at",
		"class", "requests", "tries", "waste", "again",
		"fell", "broken", "latency in ms")
	for _, p := range results {
		r := p.Result
		fmt.Fprintf(&b, "%-12s %6.3f %6.3f %6.3f %4.0f s %6.3f %9d %8.2f %6.3f %6d %5d %7d  %v\n", p.Name,
			r.GoalScore, r.OverallWorthRatio, r.WorstWindow, r.WorstWindowStart/1000,
			r.WorstClass, r.Requests, float64(r.Tries)/float64(max(1, r.Requests)), r.WastedWorkRatio,
			r.RepeatedWrites, r.OverloadCrashes, len(r.Violations), r.Latency)
		for _, violation := range r.Violations {
			fmt.Fprintln(&b, "   ", violation)
		}
		if r.Resets > 0 {
			fmt.Fprintf(&b, "    %d connections broke without a crash: %s\n", r.Resets,
				strings.Join(r.ResetReasons, "\n      "))
		}
	}
	return b.String()
}

// FormatModelErrors compares the result of a day in virtual time with the result of the same day on real nodes. The
// measure "broken" is left out.
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
	var errorSum float64
	windows := 0
	for i := 0; i+smoothingBuckets <= min(len(emulated.Buckets), len(real.Buckets)); i += smoothingBuckets {
		offered, emulatedWorth, realWorth := 0.0, 0.0, 0.0
		for j := i; j < i+smoothingBuckets; j++ {
			offered, emulatedWorth, realWorth = offered+emulated.Buckets[j].OfferedWorth,
				emulatedWorth+emulated.Buckets[j].EarnedWorth, realWorth+real.Buckets[j].EarnedWorth
		}
		if offered > 0 {
			errorSum += math.Abs(emulatedWorth-realWorth) / offered
			windows++
		}
	}
	fmt.Fprintf(&b, "mean absolute error of the share in time over %d times of 2 s: %.3f\n", windows,
		errorSum/float64(max(1, windows)))
	return b.String()
}
