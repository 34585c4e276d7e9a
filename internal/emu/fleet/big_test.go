package fleet

import (
	"os"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"
)

// Simulates a large fleet, only on request: WHINRUDDER_BIG=600 simulates 600 seconds of 1,000 nodes with 10 cores and
// 300 callers, with a crash of a fifth of the nodes and a deploy, and logs time and memory.
func TestBigDay(t *testing.T) {
	seconds, err := strconv.ParseFloat(os.Getenv("WHINRUDDER_BIG"), 64)
	if err != nil {
		t.Skip("takes long; set WHINRUDDER_BIG to the number of seconds to simulate")
	}
	d := DefaultDay(1)
	d.Nodes, d.DurationMs, d.Cores, d.Load = 1000, 1000*seconds, 10, 0.64
	d.Faults = []Fault{{Kind: Crash, At: 0.3 * d.DurationMs, Duration: 20000, Share: 0.2}, {Kind: Deploy, At: 0.6 * d.DurationMs, Duration: 38000, Share: 0.86}}
	for len(d.Callers) < 300 {
		d.Callers = append(d.Callers, d.Callers[len(d.Callers)%4])
	}
	began := time.Now()
	r := Simulate(d, NewModuleNode)
	took := time.Since(began)
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	text, err := os.ReadFile("/proc/self/status")
	if err != nil {
		t.Skip(err)
	}
	for line := range strings.Lines(string(text)) {
		if strings.HasPrefix(line, "VmHWM") {
			t.Logf("%d requests, %.0f per second, %d tries, whole %.4f, worst 10 s %.4f, took %v, %s, at most %d timers, %d violations", r.Requests,
				r.OfferedRate, r.Tries, r.OverallWorthRatio, r.WorstWindow, took, strings.TrimSpace(line), r.PeakTimers, len(r.Violations))
			if len(r.Violations) > 0 {
				t.Error(r.Violations[0])
			}
		}
	}
}
