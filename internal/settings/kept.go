package settings

import (
	"fmt"
	"slices"

	"github.com/valyala/fastjson"

	"whinrudder"
)

// KeptConfig says of which classes results are kept, and where.
type KeptConfig struct {
	Dir                       string   // folder on a disk that survives; empty: off
	Classes                   []string // whose requests may have a token
	MaxOperations             int      // operations at a time
	DiskMB                    int
	SegmentMB                 int
	ResultTTLMs, InDoubtTTLMs float64 // how long an end is kept, and a doubt
}

// maxDir leaves room for the name of a socket in the 108 bytes that its path may have.
const maxDir = 90

// Enabled tells whether results are kept.
func (k KeptConfig) Enabled() bool { return k.Dir != "" }

func (r *reader) kept(v *fastjson.Value) KeptConfig {
	r.only(v, "kept.", "dir", "classes", "keys", "disk_mb", "segment_mb", "age_ms", "doubt_ms")
	k := KeptConfig{Dir: r.text(v, "dir")}
	for _, e := range r.list(v, "classes") {
		k.Classes = append(k.Classes, string(e.GetStringBytes()))
	}
	whole := func(key string, usual, low, high float64) int {
		f := r.within(v, "kept.", key, usual, low, high)
		if f != float64(int(f)) {
			r.fault("kept.%s is %v, want a whole number", key, f)
		}
		return int(f)
	}
	k.MaxOperations, k.DiskMB, k.SegmentMB = whole("keys", 36000, 1, 4e6), whole("disk_mb", 512, 4, 1e6), whole("segment_mb", 8, 1, 512)
	k.ResultTTLMs = r.within(v, "kept.", "age_ms", 24*3600e3, 1000, 366*24*3600e3)
	k.InDoubtTTLMs = r.within(v, "kept.", "doubt_ms", 30*24*3600e3, 1000, 366*24*3600e3)
	if k.Dir == "" {
		r.fault("kept.dir is empty")
	}
	if len(k.Dir) > maxDir {
		r.fault("kept.dir has %d characters, %d at most: a socket in it must have a path", len(k.Dir), maxDir)
	}
	if len(k.Classes) == 0 {
		r.fault("kept.classes is empty")
	}
	if k.InDoubtTTLMs < k.ResultTTLMs {
		r.fault("kept.doubt_ms is %v, want age_ms at least: a doubt must not be forgotten before an end", k.InDoubtTTLMs)
	}
	if k.DiskMB < 4*k.SegmentMB {
		r.fault("kept.disk_mb is %d, want four segments at least", k.DiskMB)
	}
	return k
}

func (k KeptConfig) print(a *fastjson.Arena, list func([]string) *fastjson.Value) *fastjson.Value {
	v := a.NewObject()
	v.Set("dir", a.NewString(k.Dir))
	v.Set("classes", list(k.Classes))
	for _, f := range []struct {
		key string
		n   float64
	}{{"keys", float64(k.MaxOperations)}, {"disk_mb", float64(k.DiskMB)}, {"segment_mb", float64(k.SegmentMB)}, {"age_ms", k.ResultTTLMs},
		{"doubt_ms", k.InDoubtTTLMs}} {
		v.Set(f.key, a.NewNumberFloat64(f.n))
	}
	return v
}

// keyBytes is the memory that an operation takes, its key and its places in the tables included.
const keyBytes = 400

// KeptClassNames names the classes whose results are kept, by their numbers, and finds what does not fit a
// configuration. Only classes that run once are kept: the others may run again. The table may take half of the node's
// memory.
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
	if mb := float64(o.Kept.MaxOperations) * keyBytes / (1 << 20); mb > float64(c.MemoryMB)/2 {
		return nil, fmt.Errorf("operator: kept.keys is %d, which takes %.0f MB of the node's %d, want half at most", o.Kept.MaxOperations, mb, c.MemoryMB)
	}
	return names, nil
}
