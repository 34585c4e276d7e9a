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

// Dimension is a number of a day that a file gives as a range, so that it is drawn anew for each seed.
type Dimension struct {
	Path      string // path of the field in the file, such as troubles.0.share
	Low, High float64
}

// reader reads the fields of an experiment file. It collects errors, each with the path of its field, and the fields
// that are drawn from a range.
type reader struct {
	draw       func(path string) float64 // position within the range of a field, 0 to 1
	dimensions []Dimension
	errs       []error
}

// addError records an error for a path; the empty path is the file as a whole. Only the first 20 errors are kept.
func (r *reader) addError(path, format string, args ...any) {
	if path == "" {
		path = "the file"
	}
	if len(r.errs) < 20 {
		r.errs = append(r.errs, fmt.Errorf("experiment: %s "+format, append([]any{path}, args...)...))
	}
}

// err returns all recorded errors, joined, or nil.
func (r *reader) err() error { return errors.Join(r.errs...) }

// object returns the object at a path and records an error for each unknown key. It returns nil for an absent value,
// and nil with an error for a value that is not an object.
func (r *reader) object(path string, v *fastjson.Value, known ...string) *fastjson.Value {
	if v == nil {
		return nil
	}
	o, err := v.Object()
	if err != nil {
		r.addError(path, "is %s, want an object", v.Type())
		return nil
	}
	o.Visit(func(key []byte, _ *fastjson.Value) {
		if !slices.Contains(known, string(key)) {
			r.addError(join(path, string(key)), "is not known%s", settings.Suggestion(string(key), known))
		}
	})
	return v
}

// list returns the elements of the list at a path, or nil for an absent list.
func (r *reader) list(path string, v *fastjson.Value, maxLen int) []*fastjson.Value {
	if v == nil {
		return nil
	}
	elements, err := v.Array()
	switch {
	case err != nil:
		r.addError(path, "is %s, want a list", v.Type())
		return nil
	case len(elements) > maxLen:
		r.addError(path, "has %d elements, want at most %d", len(elements), maxLen)
		return nil
	}
	return elements
}

// number reads a number within bounds. If it is invalid, it records an error and returns the lower bound.
func (r *reader) number(path string, v *fastjson.Value, low, high float64) float64 {
	f, err := v.Float64()
	if err != nil {
		r.addError(path, "is %s, want a number", v.Type())
		return low
	}
	if !(f >= low && f <= high) {
		r.addError(path, "is %v, want %v to %v", f, low, high)
		return low
	}
	return f
}

// bounds reads a range: either [low, high], or one number that stands for both.
func (r *reader) bounds(path string, v *fastjson.Value, low, high float64) vtime.Range {
	if v.Type() != fastjson.TypeArray {
		f := r.number(path, v, low, high)
		return vtime.Range{Low: f, High: f}
	}
	ends := v.GetArray()
	if len(ends) != 2 {
		r.addError(path, "has %d elements, want 2, the low and the high end", len(ends))
		return vtime.Range{Low: low, High: low}
	}
	p := vtime.Range{Low: r.number(path+".0", ends[0], low, high), High: r.number(path+".1", ends[1], low, high)}
	if p.Low > p.High {
		r.addError(path, "goes from %v down to %v", p.Low, p.High)
	}
	return p
}

// float reads a number of an object, and draws it if the file gives a range. An absent key yields the default value,
// which is in the unit of the file.
func (r *reader) float(o *fastjson.Value, path, key string, defaultValue, low, high float64) float64 {
	v := o.Get(key)
	if v == nil {
		return defaultValue
	}
	path = join(path, key)
	p := r.bounds(path, v, low, high)
	if p.Low == p.High {
		return p.Low
	}
	r.dimensions = append(r.dimensions, Dimension{path, p.Low, p.High})
	return p.At(r.draw(path))
}

// integer reads a whole number of an object. A number is drawn from a range with both ends included.
func (r *reader) integer(o *fastjson.Value, path, key string, defaultValue, low, high int) int {
	v := o.Get(key)
	if v == nil {
		return defaultValue
	}
	if p := r.bounds(join(path, key), v, float64(low), float64(high)); p.Low != float64(int(p.Low)) ||
		p.High != float64(int(p.High)) {
		r.addError(join(path, key), "is no whole number")
		return defaultValue
	} else if p.Low < p.High {
		r.dimensions = append(r.dimensions, Dimension{join(path, key), p.Low, p.High})
		return min(int(p.High), int(vtime.Range{Low: p.Low, High: p.High + 1}.At(r.draw(join(path, key)))))
	} else {
		return int(p.Low)
	}
}

// valueRange reads a range that stays a range: the simulation draws from it for each node or message.
func (r *reader) valueRange(o *fastjson.Value, path, key string, defaultValue vtime.Range, low,
	high float64) vtime.Range {
	if v := o.Get(key); v != nil {
		return r.bounds(join(path, key), v, low, high)
	}
	return defaultValue
}

// boolean reads true or false.
func (r *reader) boolean(o *fastjson.Value, path, key string, defaultValue bool) bool {
	v := o.Get(key)
	if v == nil {
		return defaultValue
	}
	b, err := v.Bool()
	if err != nil {
		r.addError(join(path, key), "is %s, want true or false", v.Type())
	}
	return b
}

// text reads a string.
func (r *reader) text(o *fastjson.Value, path, key, defaultValue string) string {
	v := o.Get(key)
	if v == nil {
		return defaultValue
	}
	b, err := v.StringBytes()
	if err != nil {
		r.addError(join(path, key), "is %s, want a string", v.Type())
	}
	return string(b)
}

// enumIndex reads a string that must be one of the names, and returns its index among them.
func (r *reader) enumIndex(o *fastjson.Value, path, key string, defaultValue int, names []string) int {
	v := o.Get(key)
	if v == nil {
		return defaultValue
	}
	name := r.text(o, path, key, "")
	i := slices.Index(names, name)
	if i < 0 {
		r.addError(join(path, key), "is %q, want one of %s%s", name, strings.Join(names, ", "),
			settings.Suggestion(name, names))
		return defaultValue
	}
	return i
}

// join appends a key to a path.
func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// at appends an index to a path.
func at(path string, i int) string { return join(path, strconv.Itoa(i)) }
