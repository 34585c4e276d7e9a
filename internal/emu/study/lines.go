package study

import (
	"bufio"
	"fmt"
	"io"

	"github.com/valyala/fastjson"

	"whinrudder/internal/emu/experiment"
)

// WriteJSONLines writes studies as JSON lines: for each study a line of type "study", followed by a line of type
// "day" for each of its days.
func WriteJSONLines(w io.Writer, all []*Study) error {
	b := bufio.NewWriter(w)
	var a fastjson.Arena
	stringArray := func(v []string) *fastjson.Value {
		array := a.NewArray()
		for i, x := range v {
			array.SetArrayItem(i, a.NewString(x))
		}
		return array
	}
	writeLine := func(o *fastjson.Value) {
		b.Write(append(o.MarshalTo(nil), '\n'))
		a.Reset()
	}
	for _, s := range all {
		o := a.NewObject()
		o.Set("type", a.NewString("study"))
		o.Set("name", a.NewString(s.Name))
		o.Set("sweep", a.NewString(s.Sweep))
		o.Set("variants", stringArray(s.Variants))
		o.Set("measure", stringArray(s.Measures))
		o.Set("effect", a.NewNumberFloat64(s.MinEffect))
		o.Set("seeds", a.NewNumberInt(s.Seeds))
		writeLine(o)
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
			o.Set("rules_broken", stringArray(d.Violations))
			writeLine(o)
		}
	}
	return b.Flush()
}

// maxLineBytes bounds the length of a line of a result file.
const maxLineBytes = 1 << 20

// ReadJSONLines reads studies in the format of WriteJSONLines. Its errors contain the number of the line.
func ReadJSONLines(r io.Reader) (out []*Study, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	byName := map[string]*Study{}
	for lineNumber := 1; scanner.Scan(); lineNumber++ {
		v, err := fastjson.ParseBytes(scanner.Bytes())
		if err != nil {
			return nil, fmt.Errorf("results: line %d: %w", lineNumber, err)
		}
		stringsAt := func(key string) (out []string) {
			for _, e := range v.GetArray(key) {
				out = append(out, string(e.GetStringBytes()))
			}
			return out
		}
		switch lineType := string(v.GetStringBytes("type")); lineType {
		case "study":
			s := &Study{Name: string(v.GetStringBytes("name")), Sweep: string(v.GetStringBytes("sweep")),
				Variants: stringsAt("variants"),
				Measures: stringsAt("measure"), MinEffect: v.GetFloat64("effect"), Seeds: v.GetInt("seeds")}
			if len(s.Measures) == 0 || len(s.Variants) == 0 || byName[s.Name] != nil {
				return nil, fmt.Errorf("results: line %d: study %q has no variants, has no measures or is a duplicate", lineNumber, s.Name)
			}
			for _, m := range s.Measures {
				if experiment.MeasureByName(m) == nil {
					return nil, fmt.Errorf("results: line %d: unknown measure %q", lineNumber, m)
				}
			}
			byName[s.Name] = s
			out = append(out, s)
		case "day":
			s := byName[string(v.GetStringBytes("study"))]
			if s == nil {
				return nil, fmt.Errorf("results: line %d: the day belongs to no study", lineNumber)
			}
			d := DayResult{Family: s.Name, Variant: string(v.GetStringBytes("variant")),
				SweepValue: v.GetFloat64("x"), Seed: v.GetUint64("seed"),
				OverloadCrashes: v.GetInt("nodes_fell"), Violations: stringsAt("rules_broken")}
			for _, m := range s.Measures {
				number := v.Get(m)
				if number == nil || number.Type() != fastjson.TypeNumber {
					return nil, fmt.Errorf("results: line %d: measure %s is absent or not a number", lineNumber, m)
				}
				d.Values = append(d.Values, number.GetFloat64())
			}
			s.Days = append(s.Days, d)
		default:
			return nil, fmt.Errorf("results: line %d: unknown line type %q", lineNumber, lineType)
		}
	}
	return out, scanner.Err()
}
