package fleet

import (
	"os"
	"runtime"
	"strings"
	"testing"
)

// A long day by hand: WHINRUDDER_BIG=1 plays 1,000 nodes and 300 callers for half a minute and tells the memory.
func TestBigDay(t *testing.T) {
	if os.Getenv("WHINRUDDER_BIG") == "" {
		t.Skip("it takes long")
	}
	d := Usual(1)
	d.Nodes, d.Ms = 1000, 30000
	for len(d.Callers) < 300 {
		d.Callers = append(d.Callers, d.Callers[len(d.Callers)%4])
	}
	r := Play(d, Module)
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	text, err := os.ReadFile("/proc/self/status")
	if err != nil {
		t.Skip(err)
	}
	for line := range strings.Lines(string(text)) {
		if strings.HasPrefix(line, "VmHWM") {
			t.Logf("%d requests, %d tries, whole %.4f, %s, %d bytes allocated", r.Requests, r.Tries, r.Whole, strings.TrimSpace(line), m.TotalAlloc)
		}
	}
}
