package settings

import (
	"fmt"
	"slices"

	"github.com/valyala/fastjson"

	"whinrudder"
)

// KeptConfig is the section kept of the operator's file: the classes whose results are kept, the folder and the
// limits.
type KeptConfig struct {
	Dir                       string   // folder of the journal, on persistent storage; empty: no results are kept
	Classes                   []string // names of the classes whose requests may carry a token
	MaxOperations             int      // limit on the operations that are kept at a time
	DiskMB                    int      // limit on the size of the journal
	SegmentMB                 int      // size of one segment of the journal
	ResultTTLMs, InDoubtTTLMs float64  // how long a finished operation is kept, and one in doubt
}

// maxKeptDirBytes leaves room for the name of a socket: the path of a Unix socket has at most 108 bytes.
const maxKeptDirBytes = 90

// Enabled reports whether results are kept.
func (k KeptConfig) Enabled() bool { return k.Dir != "" }

// keptConfig parses and checks the section kept.
func (r *reader) keptConfig(v *fastjson.Value) KeptConfig {
	r.beginObject(v, "kept.", "dir", "classes", "keys", "disk_mb", "segment_mb", "age_ms", "doubt_ms")
	k := KeptConfig{Dir: r.text(v, "dir")}
	for _, e := range r.list(v, "classes") {
		k.Classes = append(k.Classes, string(e.GetStringBytes()))
	}
	integer := func(key string, defaultValue, low, high float64) int {
		f := r.numberInRange(v, "kept.", key, defaultValue, low, high)
		if f != float64(int(f)) {
			r.addError("kept.%s is %v, want a whole number", key, f)
		}
		return int(f)
	}
	k.MaxOperations, k.DiskMB, k.SegmentMB = integer("keys", 36000, 1, 4e6), integer("disk_mb", 512, 4, 1e6),
		integer("segment_mb", 8, 1, 512)
	k.ResultTTLMs = r.numberInRange(v, "kept.", "age_ms", 24*3600e3, 1000, 366*24*3600e3)
	k.InDoubtTTLMs = r.numberInRange(v, "kept.", "doubt_ms", 30*24*3600e3, 1000, 366*24*3600e3)
	if k.Dir == "" {
		r.addError("kept.dir is empty")
	}
	if len(k.Dir) > maxKeptDirBytes {
		r.addError("kept.dir has %d bytes, want at most %d: the path of a socket in it is limited",
			len(k.Dir), maxKeptDirBytes)
	}
	if len(k.Classes) == 0 {
		r.addError("kept.classes is empty")
	}
	if k.InDoubtTTLMs < k.ResultTTLMs {
		r.addError("kept.doubt_ms is %v, want age_ms at least: a doubt must not be forgotten before an end",
			k.InDoubtTTLMs)
	}
	if k.DiskMB < 4*k.SegmentMB {
		r.addError("kept.disk_mb is %d, want four segments at least", k.DiskMB)
	}
	return k
}

// toJSON returns the section kept with its effective values.
func (k KeptConfig) toJSON(a *fastjson.Arena, list func([]string) *fastjson.Value) *fastjson.Value {
	v := a.NewObject()
	v.Set("dir", a.NewString(k.Dir))
	v.Set("classes", list(k.Classes))
	for _, f := range []struct {
		key string
		n   float64
	}{{"keys", float64(k.MaxOperations)}, {"disk_mb", float64(k.DiskMB)}, {"segment_mb", float64(k.SegmentMB)},
		{"age_ms", k.ResultTTLMs}, {"doubt_ms", k.InDoubtTTLMs}} {
		v.Set(f.key, a.NewNumberFloat64(f.n))
	}
	return v
}

// operationBytes is the memory that one kept operation takes, with its key and its entries in the tables.
const operationBytes = 400

// MemoryBytes returns the memory that the operations take at most, 0 if no results are kept.
func (k KeptConfig) MemoryBytes() int64 {
	if !k.Enabled() {
		return 0
	}
	return int64(k.MaxOperations) * operationBytes
}

// KeptClassNames returns the names of the classes whose results are kept, by class number, or an error if the section
// kept does not match the configuration c. Only classes with repeat "once" may be listed: requests of the others may
// simply run again. The table of operations may take at most half of the node's memory.
func (o Operator) KeptClassNames(c Config) (names map[int]string, err error) {
	for _, n := range o.Kept.Classes {
		i := slices.Index(c.Settings.ClassNames, n)
		if i < 0 || c.Settings.Policy.Classes[i].Repeat != whinrudder.Unsafe {
			return nil, fmt.Errorf("operator: kept.classes names %q, want a class of the settings that runs once", n)
		}
		if names == nil {
			names = map[int]string{}
		}
		names[i] = n
	}
	if mb := float64(o.Kept.MemoryBytes()) / (1 << 20); mb > float64(c.MemoryMB)/2 {
		return nil, fmt.Errorf("operator: kept.keys is %d, which takes %.0f MB of the node's %d, want half at most",
			o.Kept.MaxOperations, mb, c.MemoryMB)
	}
	return names, nil
}
