package study

import (
	"fmt"
	"io"
	"math"
	"runtime"
	"runtime/metrics"
	"sync/atomic"
	"time"

	"gonum.org/v1/gonum/stat"

	"whinrudder/internal/emu/fleet"
)

// SpeedRun is the time and memory that the simulation of one day took.
type SpeedRun struct {
	Nodes, Callers                 int
	Requests, Tries                int
	VirtualSeconds, ElapsedSeconds float64
	PeakHeapBytes                  uint64 // peak size of the heap objects, including garbage that was not collected yet
}

// MeasureSpeed simulates the default day, shortened or extended to a number of seconds, once for each number of
// nodes. The callers grow in proportion to the nodes. The days are simulated one after another.
func MeasureSpeed(nodes []int, seconds float64) (out []SpeedRun) {
	for _, n := range nodes {
		d := fleet.DefaultDay(1)
		d.Nodes, d.DurationMs = n, 1000*seconds
		for len(d.Callers) < n*3/10 {
			d.Callers = append(d.Callers, d.Callers[len(d.Callers)%4])
		}
		runtime.GC()
		peakBytes, stop := watchHeap()
		started := time.Now()
		r := fleet.Simulate(d, fleet.NewModuleNode)
		elapsed := time.Since(started).Seconds()
		stop()
		out = append(out, SpeedRun{n, len(d.Callers), r.Requests, r.Tries, seconds, elapsed, peakBytes.Load()})
	}
	return out
}

// watchHeap samples the size of the heap until stop is called, and keeps its peak.
func watchHeap() (peakBytes *atomic.Uint64, stop func()) {
	peakBytes = &atomic.Uint64{}
	stopped, exited := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(exited)
		ticker := time.NewTicker(5 * time.Millisecond)
		defer ticker.Stop()
		sample := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
		for {
			metrics.Read(sample)
			peakBytes.Store(max(peakBytes.Load(), sample[0].Value.Uint64()))
			select {
			case <-stopped:
				return
			case <-ticker.C:
			}
		}
	}()
	return peakBytes, func() { close(stopped); <-exited }
}

// WriteSpeed writes the runs as a table, and the exponents by which the time per request and the memory grow with the
// number of nodes. The exponents are the slopes of linear regressions in logarithmic scale.
func WriteSpeed(w io.Writer, all []SpeedRun) {
	fmt.Fprintf(w, "%7s %8s %9s %14s %12s %9s\n", "nodes", "callers", "requests", "virtual s/s", "requests/s",
		"heap MB")
	var logNodes, logTime, logHeap []float64
	for _, r := range all {
		fmt.Fprintf(w, "%7d %8d %9d %14.1f %12.0f %9.1f\n", r.Nodes, r.Callers, r.Requests,
			r.VirtualSeconds/r.ElapsedSeconds, float64(r.Requests)/r.ElapsedSeconds, float64(r.PeakHeapBytes)/1e6)
		logNodes = append(logNodes, math.Log(float64(r.Nodes)))
		logTime = append(logTime, math.Log(r.ElapsedSeconds/float64(max(1, r.Requests))))
		logHeap = append(logHeap, math.Log(float64(max(1, r.PeakHeapBytes))))
	}
	if len(all) > 1 {
		_, timeExponent := stat.LinearRegression(logNodes, logTime, nil, false)
		_, heapExponent := stat.LinearRegression(logNodes, logHeap, nil, false)
		fmt.Fprintf(w, "with the nodes n, a request takes n^%.2f, memory n^%.2f\n", timeExponent, heapExponent)
	}
}
