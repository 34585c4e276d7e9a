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

// SpeedRun is how fast a day was played, and with how much memory.
type SpeedRun struct {
	Nodes, Callers                 int
	Requests, Tries                int
	VirtualSeconds, ElapsedSeconds float64 // seconds
	PeakHeapBytes                  uint64  // bytes at most of objects, those that are no longer in use included
}

// MeasureSpeed plays the usual day for some seconds with so many nodes, and callers in proportion, on one core's worth of work.
func MeasureSpeed(nodes []int, seconds float64) (out []SpeedRun) {
	for _, n := range nodes {
		d := fleet.DefaultDay(1)
		d.Nodes, d.DurationMs = n, 1000*seconds
		for len(d.Callers) < n*3/10 {
			d.Callers = append(d.Callers, d.Callers[len(d.Callers)%4])
		}
		runtime.GC()
		most, stop := peak()
		began := time.Now()
		r := fleet.Simulate(d, fleet.NewModuleNode)
		took := time.Since(began).Seconds()
		stop()
		out = append(out, SpeedRun{n, len(d.Callers), r.Requests, r.Tries, seconds, took, most.Load()})
	}
	return out
}

// peak watches the heap until it is stopped.
func peak() (most *atomic.Uint64, stop func()) {
	most = &atomic.Uint64{}
	over, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		tick := time.NewTicker(5 * time.Millisecond)
		defer tick.Stop()
		sample := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
		for {
			metrics.Read(sample)
			most.Store(max(most.Load(), sample[0].Value.Uint64()))
			select {
			case <-over:
				return
			case <-tick.C:
			}
		}
	}()
	return most, func() { close(over); <-ended }
}

// WriteSpeed writes the runs, and how the time of a request and the memory grow with the number of nodes: the slopes of
// straight lines through the logarithms.
func WriteSpeed(w io.Writer, all []SpeedRun) {
	fmt.Fprintf(w, "%7s %8s %9s %14s %12s %9s\n", "nodes", "callers", "requests", "virtual s/s", "requests/s", "heap MB")
	var x, time, heap []float64
	for _, r := range all {
		fmt.Fprintf(w, "%7d %8d %9d %14.1f %12.0f %9.1f\n", r.Nodes, r.Callers, r.Requests, r.VirtualSeconds/r.ElapsedSeconds, float64(r.Requests)/r.ElapsedSeconds, float64(r.PeakHeapBytes)/1e6)
		x = append(x, math.Log(float64(r.Nodes)))
		time = append(time, math.Log(r.ElapsedSeconds/float64(max(1, r.Requests))))
		heap = append(heap, math.Log(float64(max(1, r.PeakHeapBytes))))
	}
	if len(all) > 1 {
		_, t := stat.LinearRegression(x, time, nil, false)
		_, h := stat.LinearRegression(x, heap, nil, false)
		fmt.Fprintf(w, "with the nodes n, a request takes n^%.2f, memory n^%.2f\n", t, h)
	}
}
