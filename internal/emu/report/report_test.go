package report

import (
	"encoding/xml"
	"errors"
	"io"
	"math"
	"regexp"
	"strings"
	"testing"

	"whinrudder/internal/emu/chart"
	"whinrudder/internal/emu/experiment"
	"whinrudder/internal/emu/fleet"
	"whinrudder/internal/emu/study"
)

// elements counts the elements of an SVG image by name. The image must be well-formed XML.
func elements(t *testing.T, svg []byte) map[string]int {
	t.Helper()
	counts := map[string]int{}
	for decoder := xml.NewDecoder(strings.NewReader(string(svg))); ; {
		token, err := decoder.Token()
		if errors.Is(err, io.EOF) {
			return counts
		}
		if err != nil {
			t.Fatal(err)
		}
		if start, ok := token.(xml.StartElement); ok {
			counts[start.Name.Local]++
		}
	}
}

// A day and a study can be drawn, and the page escapes names and refers to nothing outside of it.
func TestPage(t *testing.T) {
	e, err := experiment.Parse([]byte(`{"name":"a day","day":{"nodes":2,"seconds":12,"troubles":[{"kind":"burst","at":3,"for":2,"factor":2},
		{"kind":"crash","at":5,"for":2,"share":0.5}]},"variants":[{"policy":"module"},{"policy":"fixed"}],"seeds":2,"sweep":{"key":"load","values":[0.3,0.8]},
		"measure":["goal","offered","goodput","p50","p99"]}`), "", nil)
	if err != nil {
		t.Fatal(err)
	}
	all, err := study.Run([]*experiment.Experiment{e}, nil)
	if err != nil {
		t.Fatal(err)
	}
	plots, err := DrawStudy(all[0])
	if err != nil || len(plots) != 7 {
		t.Fatalf("%d plots, want 7; error %v", len(plots), err)
	}
	d, _ := e.Day(0, 0.8, 1, nil)
	results := []VariantResult{{"module", fleet.Simulate(d, fleet.NewModuleNode)},
		{"<fixed>", fleet.Simulate(d, e.Variants[1].Policy.NodeFactory())}}
	day, err := DrawDay("a day", d, results)
	if err != nil {
		t.Fatal(err)
	}
	if counts := elements(t, day); counts["path"] < 6+6 {
		t.Errorf("the day has elements %v, want at least 12 paths", counts)
	}
	for _, word := range []string{">burst<", ">crash<", ">module<", ">seconds<"} {
		if !strings.Contains(string(day), word) {
			t.Errorf("the drawing of the day does not contain %s", word)
		}
	}
	var page strings.Builder
	if err := WritePage(&page, "Rehearsal", []Section{{"one", FormatResults(d, results),
		append(plots, Plot{"the day", day})}}); err != nil {
		t.Fatal(err)
	}
	if strings.Count(page.String(), "<svg") != 8 || !strings.Contains(page.String(), "&lt;fixed&gt;") {
		t.Errorf("the page has %d drawings, want 8, and the variant name <fixed> escaped",
			strings.Count(page.String(), "<svg"))
	}
	if references := regexp.MustCompile(`(src|href)="?[a-z]+:`).FindAllString(page.String(), -1); len(references) > 0 {
		t.Errorf("the page refers to %v, want no external references", references)
	}
	if text := FormatModelErrors(results[0].Result, results[0].Result); !strings.Contains(text, "2 s: 0.000") {
		t.Errorf("model errors of equal results are not 0.000:\n%s", text)
	}
}

// NaN, infinite values, single points and empty panels do not break a drawing; an interval chart needs rows.
func TestInvalidValues(t *testing.T) {
	nan, inf := math.NaN(), math.Inf(1)
	for _, p := range []chart.Panel{{}, {Lines: []chart.Line{{Name: "x", X: []float64{1, 2}, Y: []float64{nan, inf}}}},
		{Lines: []chart.Line{{X: []float64{1}, Y: []float64{1}, Low: []float64{nan}, High: []float64{2}}},
			Shades: []chart.Shade{{From: 1, To: 1}}}} {
		svg, err := chart.SVG(p)
		if err != nil {
			t.Errorf("%+v: %v", p, err)
			continue
		}
		elements(t, svg)
	}
	if _, err := chart.Intervals("none", "", nil); err == nil {
		t.Error("an interval chart without rows is drawn, want an error")
	}
}
