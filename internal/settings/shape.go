package settings

import (
	"fmt"
	"slices"
	"strings"

	"github.com/valyala/fastjson"
)

// shape is the set of keys that a file has, by their paths: a.b for a key of an object, a[].b for one that all objects
// of a list have.
type shape map[string]bool

func shapeOf(v *fastjson.Value) shape {
	s := shape{}
	s.add("", v)
	return s
}

func (s shape) add(path string, v *fastjson.Value) {
	switch v.Type() {
	case fastjson.TypeObject:
		v.GetObject().Visit(func(key []byte, v *fastjson.Value) {
			p := strings.TrimPrefix(path+"."+string(key), ".")
			s[p] = true
			s.add(p, v)
		})
	case fastjson.TypeArray:
		var common shape
		for _, e := range v.GetArray() {
			of := shape{}
			of.add(path+"[]", e)
			if common == nil {
				common = of
				continue
			}
			for p := range common {
				if !of[p] {
					delete(common, p)
				}
			}
		}
		for p := range common {
			s[p] = true
		}
	}
}

// CheckMissingKeys names the keys that an earlier configuration had and this one has not. One that takes the place of
// another must have them all: an absent key would pass for 0, and the node would serve by a file that lost a part on
// its way. An empty list says nothing of what is in it.
func (c Config) CheckMissingKeys(earlier Config) error {
	var missing []string
	for p := range earlier.shape {
		last := strings.LastIndex(p, "[].")
		if !c.shape[p] && (last < 0 || c.hasItems(p[:last])) {
			missing = append(missing, p)
		}
	}
	if len(missing) == 0 {
		return nil
	}
	slices.Sort(missing)
	return fmt.Errorf("config: lacks %s, which the configuration before it has", strings.Join(missing, ", "))
}

// hasItems tells whether a list has objects with keys in common.
func (c Config) hasItems(list string) bool {
	for p := range c.shape {
		if strings.HasPrefix(p, list+"[].") {
			return true
		}
	}
	return false
}
