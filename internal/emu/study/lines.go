package study

import (
	"bufio"
	"fmt"
	"io"

	"github.com/valyala/fastjson"

	"whinrudder/internal/emu/experiment"
)

// WriteJSONLines writes studies as JSON lines: for each one line of type "study", and one of type "day" for each day played.
func WriteJSONLines(w io.Writer, all []*Study) error {
	b := bufio.NewWriter(w)
	var a fastjson.Arena
	texts := func(v []string) *fastjson.Value {
		l := a.NewArray()
		for i, x := range v {
			l.SetArrayItem(i, a.NewString(x))
		}
		return l
	}
	line := func(o *fastjson.Value) {
		b.Write(append(o.MarshalTo(nil), '\n'))
		a.Reset()
	}
	for _, s := range all {
		o := a.NewObject()
		o.Set("type", a.NewString("study"))
		o.Set("name", a.NewString(s.Name))
		o.Set("sweep", a.NewString(s.Sweep))
		o.Set("variants", texts(s.Variants))
		o.Set("measure", texts(s.Measures))
		o.Set("effect", a.NewNumberFloat64(s.MinEffect))
		o.Set("seeds", a.NewNumberInt(s.Seeds))
		line(o)
		for _, d := range s.Days {
			o := a.NewObject()
			o.Set("type", a.NewString("day"))
			o.Set("study", a.NewString(s.Name))
			o.Set("variant", a.NewString(d.Variant))
			if s.Sweep != "" {
				o.Set("x", a.NewNumberFloat64(d.SweepValue))
			}
			o.Set("seed", a.NewNumberString(fmt.Sprint(d.Seed)))
			for i, m := range s.Measures {
				o.Set(m, a.NewNumberFloat64(d.Values[i]))
			}
			o.Set("nodes_fell", a.NewNumberInt(d.OverloadCrashes))
			o.Set("rules_broken", texts(d.Violations))
			line(o)
		}
	}
	return b.Flush()
}

// maxLine bounds a line of a file of results.
const maxLine = 1 << 20

// ReadJSONLines reads what WriteJSONLines wrote. The error names the line.
func ReadJSONLines(r io.Reader) (out []*Study, err error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLine)
	by := map[string]*Study{}
	for n := 1; lines.Scan(); n++ {
		v, err := fastjson.ParseBytes(lines.Bytes())
		if err != nil {
			return nil, fmt.Errorf("results: line %d: %w", n, err)
		}
		texts := func(key string) (out []string) {
			for _, e := range v.GetArray(key) {
				out = append(out, string(e.GetStringBytes()))
			}
			return out
		}
		switch kind := string(v.GetStringBytes("type")); kind {
		case "study":
			s := &Study{Name: string(v.GetStringBytes("name")), Sweep: string(v.GetStringBytes("sweep")), Variants: texts("variants"),
				Measures: texts("measure"), MinEffect: v.GetFloat64("effect"), Seeds: v.GetInt("seeds")}
			if len(s.Measures) == 0 || len(s.Variants) == 0 || by[s.Name] != nil {
				return nil, fmt.Errorf("results: line %d: study %q has no variants or no measures, or is there twice", n, s.Name)
			}
			for _, m := range s.Measures {
				if experiment.MeasureByName(m) == nil {
					return nil, fmt.Errorf("results: line %d: measure %q is not known", n, m)
				}
			}
			by[s.Name] = s
			out = append(out, s)
		case "day":
			s := by[string(v.GetStringBytes("study"))]
			if s == nil {
				return nil, fmt.Errorf("results: line %d: a day of no study", n)
			}
			d := DayResult{Family: s.Name, Variant: string(v.GetStringBytes("variant")), SweepValue: v.GetFloat64("x"), Seed: v.GetUint64("seed"),
				OverloadCrashes: v.GetInt("nodes_fell"), Violations: texts("rules_broken")}
			for _, m := range s.Measures {
				x := v.Get(m)
				if x == nil || x.Type() != fastjson.TypeNumber {
					return nil, fmt.Errorf("results: line %d: %s is absent", n, m)
				}
				d.Values = append(d.Values, x.GetFloat64())
			}
			s.Days = append(s.Days, d)
		default:
			return nil, fmt.Errorf("results: line %d: type %q is not known", n, kind)
		}
	}
	return out, lines.Err()
}
