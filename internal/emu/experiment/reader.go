package experiment

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/valyala/fastjson"

	"whinrudder/internal/settings"
	"whinrudder/internal/vtime"
)

// Dimension is a figure of a day that a file gives as a range: it is drawn anew for each seed.
type Dimension struct {
	Path      string // as in the file: troubles.0.share
	Low, High float64
}

// reader reads a file and gathers its faults, by the path of the field. Draw says where in its range a figure is, 0 to 1.
type reader struct {
	draw   func(path string) float64
	dims   []Dimension
	faults []error
}

func (r *reader) fault(path, format string, args ...any) {
	if path == "" {
		path = "the file"
	}
	if len(r.faults) < 20 {
		r.faults = append(r.faults, fmt.Errorf("experiment: %s "+format, append([]any{path}, args...)...))
	}
}

func (r *reader) err() error { return errors.Join(r.faults...) }

// object returns the object at a path, or nil with a fault; an absent one is nil without.
func (r *reader) object(path string, v *fastjson.Value, known ...string) *fastjson.Value {
	if v == nil {
		return nil
	}
	o, err := v.Object()
	if err != nil {
		r.fault(path, "is %s, want an object", v.Type())
		return nil
	}
	o.Visit(func(key []byte, _ *fastjson.Value) {
		if !slices.Contains(known, string(key)) {
			r.fault(join(path, string(key)), "is not known%s", settings.Suggestion(string(key), known))
		}
	})
	return v
}

// list returns the elements at a path; an absent list is nil.
func (r *reader) list(path string, v *fastjson.Value, most int) []*fastjson.Value {
	if v == nil {
		return nil
	}
	all, err := v.Array()
	switch {
	case err != nil:
		r.fault(path, "is %s, want a list", v.Type())
		return nil
	case len(all) > most:
		r.fault(path, "has %d elements, %d at most", len(all), most)
		return nil
	}
	return all
}

// number reads one figure of a value.
func (r *reader) number(path string, v *fastjson.Value, low, high float64) float64 {
	f, err := v.Float64()
	if err != nil {
		r.fault(path, "is %s, want a number", v.Type())
		return low
	}
	if !(f >= low && f <= high) {
		r.fault(path, "is %v, want %v to %v", f, low, high)
		return low
	}
	return f
}

// pair reads [low, high], or one number for both.
func (r *reader) pair(path string, v *fastjson.Value, low, high float64) vtime.Range {
	if v.Type() != fastjson.TypeArray {
		f := r.number(path, v, low, high)
		return vtime.Range{Low: f, High: f}
	}
	all := v.GetArray()
	if len(all) != 2 {
		r.fault(path, "has %d elements, want a low and a high one", len(all))
		return vtime.Range{Low: low, High: low}
	}
	p := vtime.Range{Low: r.number(path+".0", all[0], low, high), High: r.number(path+".1", all[1], low, high)}
	if p.Low > p.High {
		r.fault(path, "goes from %v down to %v", p.Low, p.High)
	}
	return p
}

// figure reads a figure of an object, drawn if it is a range; an absent one is the usual, which stands in the same unit.
func (r *reader) figure(o *fastjson.Value, path, key string, usual, low, high float64) float64 {
	v := o.Get(key)
	if v == nil {
		return usual
	}
	path = join(path, key)
	p := r.pair(path, v, low, high)
	if p.Low == p.High {
		return p.Low
	}
	r.dims = append(r.dims, Dimension{path, p.Low, p.High})
	return p.At(r.draw(path))
}

// count reads a whole number; a range is drawn with both ends.
func (r *reader) count(o *fastjson.Value, path, key string, usual, low, high int) int {
	v := o.Get(key)
	if v == nil {
		return usual
	}
	if p := r.pair(join(path, key), v, float64(low), float64(high)); p.Low != float64(int(p.Low)) || p.High != float64(int(p.High)) {
		r.fault(join(path, key), "is no whole number")
		return usual
	} else if p.Low < p.High {
		r.dims = append(r.dims, Dimension{join(path, key), p.Low, p.High})
		return min(int(p.High), int(vtime.Range{Low: p.Low, High: p.High + 1}.At(r.draw(join(path, key)))))
	} else {
		return int(p.Low)
	}
}

// span reads a range that stays one: it is drawn for each node or message.
func (r *reader) span(o *fastjson.Value, path, key string, usual vtime.Range, low, high float64) vtime.Range {
	if v := o.Get(key); v != nil {
		return r.pair(join(path, key), v, low, high)
	}
	return usual
}

func (r *reader) flag(o *fastjson.Value, path, key string, usual bool) bool {
	v := o.Get(key)
	if v == nil {
		return usual
	}
	b, err := v.Bool()
	if err != nil {
		r.fault(join(path, key), "is %s, want true or false", v.Type())
	}
	return b
}

func (r *reader) text(o *fastjson.Value, path, key, usual string) string {
	v := o.Get(key)
	if v == nil {
		return usual
	}
	b, err := v.StringBytes()
	if err != nil {
		r.fault(join(path, key), "is %s, want a text", v.Type())
	}
	return string(b)
}

// named reads one of some names and returns its number.
func (r *reader) named(o *fastjson.Value, path, key string, usual int, names []string) int {
	v := o.Get(key)
	if v == nil {
		return usual
	}
	word := r.text(o, path, key, "")
	i := slices.Index(names, word)
	if i < 0 {
		r.fault(join(path, key), "is %q, want one of %s%s", word, strings.Join(names, ", "), settings.Suggestion(word, names))
		return usual
	}
	return i
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func at(path string, i int) string { return join(path, strconv.Itoa(i)) }
