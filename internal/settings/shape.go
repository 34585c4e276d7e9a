package settings

import (
	"fmt"
	"slices"
	"strings"

	"github.com/valyala/fastjson"
)

// keySet is the set of the paths of the keys that a file has: a.b for a key of an object, a[].b for a key that all
// objects of a list have.
type keySet map[string]bool

// keysOf returns the paths of all keys of v.
func keysOf(v *fastjson.Value) keySet {
	s := keySet{}
	s.add("", v)
	return s
}

// add adds the paths of the keys of v, which is at path.
func (s keySet) add(path string, v *fastjson.Value) {
	switch v.Type() {
	case fastjson.TypeObject:
		v.GetObject().Visit(func(key []byte, v *fastjson.Value) {
			p := strings.TrimPrefix(path+"."+string(key), ".")
			s[p] = true
			s.add(p, v)
		})
	case fastjson.TypeArray:
		var common keySet
		for _, e := range v.GetArray() {
			keys := keySet{}
			keys.add(path+"[]", e)
			if common == nil {
				common = keys
				continue
			}
			for p := range common {
				if !keys[p] {
					delete(common, p)
				}
			}
		}
		for p := range common {
			s[p] = true
		}
	}
}

// CheckMissingKeys returns an error that lists the keys that an earlier configuration has and this one lacks. A
// reloaded configuration must have all keys of the one before it: a missing key would be read as 0, and the node would
// serve with a file that lost a part. Keys of the objects in a list are not checked if the list is empty now.
func (c Config) CheckMissingKeys(earlier Config) error {
	var missing []string
	for p := range earlier.keys {
		last := strings.LastIndex(p, "[].")
		if !c.keys[p] && (last < 0 || c.hasItems(p[:last])) {
			missing = append(missing, p)
		}
	}
	if len(missing) == 0 {
		return nil
	}
	slices.Sort(missing)
	return fmt.Errorf("config: missing keys that the previous configuration has: %s", strings.Join(missing, ", "))
}

// hasItems reports whether the list at a path has objects with keys in common.
func (c Config) hasItems(list string) bool {
	for p := range c.keys {
		if strings.HasPrefix(p, list+"[].") {
			return true
		}
	}
	return false
}
