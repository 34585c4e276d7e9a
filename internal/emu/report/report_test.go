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

// elements counts those of a drawing; it must be well-formed.
func elements(t *testing.T, svg []byte) map[string]int {
	t.Helper()
	n := map[string]int{}
	for d := xml.NewDecoder(strings.NewReader(string(svg))); ; {
		tok, err := d.Token()
		if errors.Is(err, io.EOF) {
			return n
		}
		if err != nil {
			t.Fatal(err)
		}
		if s, ok := tok.(xml.StartElement); ok {
			n[s.Name.Local]++
		}
	}
}

// A day and a study are drawn, and the page opens without a network.
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
		t.Fatalf("%d plots, %v", len(plots), err)
	}
	d, _ := e.Day(0, 0.8, 1, nil)
	plays := []VariantResult{{"module", fleet.Simulate(d, fleet.NewModuleNode)}, {"<fixed>", fleet.Simulate(d, e.Variants[1].Policy.NodeFactory())}}
	day, err := DrawDay("a day", d, plays)
	if err != nil {
		t.Fatal(err)
	}
	if n := elements(t, day); n["path"] < 6+6 {
		t.Errorf("the day has %v", n)
	}
	for _, word := range []string{">burst<", ">crash<", ">module<", ">seconds<"} {
		if !strings.Contains(string(day), word) {
			t.Errorf("the day does not say %s", word)
		}
	}
	var page strings.Builder
	if err := WritePage(&page, "Rehearsal", []Section{{"one", FormatResults(d, plays), append(plots, Plot{"the day", day})}}); err != nil {
		t.Fatal(err)
	}
	if strings.Count(page.String(), "<svg") != 8 || !strings.Contains(page.String(), "&lt;fixed&gt;") {
		t.Errorf("the page has %d drawings", strings.Count(page.String(), "<svg"))
	}
	if refs := regexp.MustCompile(`(src|href)="?[a-z]+:`).FindAllString(page.String(), -1); len(refs) > 0 {
		t.Errorf("the page refers to %v", refs)
	}
	if text := FormatModelErrors(plays[0].Result, plays[0].Result); !strings.Contains(text, "2 s: 0.000") {
		t.Error(text)
	}
}

// Figures that are no numbers, single points and nothing at all break no drawing.
func TestOddFigures(t *testing.T) {
	nan, inf := math.NaN(), math.Inf(1)
	for _, p := range []chart.Panel{{}, {Lines: []chart.Line{{Name: "x", X: []float64{1, 2}, Y: []float64{nan, inf}}}},
		{Lines: []chart.Line{{X: []float64{1}, Y: []float64{1}, Low: []float64{nan}, High: []float64{2}}}, Shades: []chart.Shade{{From: 1, To: 1}}}} {
		svg, err := chart.SVG(p)
		if err != nil {
			t.Errorf("%+v: %v", p, err)
			continue
		}
		elements(t, svg)
	}
	if _, err := chart.Intervals("none", "", nil); err == nil {
		t.Error("no rows are drawn")
	}
}
