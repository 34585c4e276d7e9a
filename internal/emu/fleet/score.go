package fleet

import (
	"fmt"
	"math"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// windowFor is how long the worst part of a day is, and binFor how finely a day is told.
const (
	windowFor = 10000.0
	binFor    = 500.0
)

// Bin is a part of a day: worth asked for and worth got in time, by when it was first asked for, and what went on then.
type Bin struct {
	Asked, Got     float64
	Tries, Refused int
	Running        int // in all pools, at its end
	Unread         int
	Up             int // nodes that take connections
}

// Latencies are the times to the answer of what was served, in milliseconds, to two figures.
type Latencies struct{ h *hdrhistogram.Histogram }

// newLatencies holds up to an hour.
func newLatencies() Latencies { return Latencies{hdrhistogram.New(1, 3600e3, 2)} }

func (l Latencies) add(ms float64) { l.h.RecordValue(int64(math.Round(ms))) }

// At returns the latency that a share of the answers had at most; 0 without answers.
func (l Latencies) At(share float64) float64 {
	if l.h == nil {
		return 0
	}
	return float64(l.h.ValueAtQuantile(100 * share))
}

// Count returns how many answers there were.
func (l Latencies) Count() int64 {
	if l.h == nil {
		return 0
	}
	return l.h.TotalCount()
}

// Merge returns the latencies of both.
func (l Latencies) Merge(o Latencies) Latencies {
	sum := newLatencies()
	for _, x := range []Latencies{l, o} {
		if x.h != nil {
			sum.h.Merge(x.h)
		}
	}
	return sum
}

// String tells the usual quantiles.
func (l Latencies) String() string {
	return fmt.Sprintf("p50 %.0f p90 %.0f p99 %.0f p99.9 %.0f of %d", l.At(0.5), l.At(0.9), l.At(0.99), l.At(0.999), l.Count())
}

// Result is what became of a day, as the operators count.
type Result struct {
	Requests, Tries       int
	Repeats               int     // requests that clients made again
	Goal                  float64 // 0.6 of the whole, 0.2 of the worst 10 s, 0.2 of the worst class
	Whole                 float64 // worth answered in time over worth asked for, retries credited to the first try
	WorstWindow, WorstAt  float64
	WorstClass            float64
	ByClass               []float64
	Withheld              int // requests that a caller sent nowhere
	Refused, Failed, Lost int // tries: turned away, failed, cut off
	Resets                int // tries whose connection broke without a crash of the node
	ResetWhy              []string
	Cancelled             int     // tries that their caller took back
	Waste                 float64 // work of runs whose answer was of no use, over work of all runs
	Again                 int     // writes that were run for two tries of theirs
	Fell                  int     // nodes that fell
	Offered               float64 // first tries a second
	Goodput               float64 // requests a second that were served by their aim
	Latency               Latencies
	Bins                  []Bin
	Broken                []string // rules that were broken, with the history
	Fired                 uint64
	PeakTimers            int
}

// score counts as a day goes on.
type score struct {
	day        *Day
	res        *Result
	asked, got []float64 // by class
	inTime     int
}

func newScore(d *Day, r *Result) *score {
	r.Bins, r.Latency = make([]Bin, max(1, int(math.Ceil(d.Ms/binFor)))), newLatencies()
	return &score{day: d, res: r, asked: make([]float64, len(d.Classes)), got: make([]float64, len(d.Classes))}
}

// bin returns the part of the day that a time is in.
func (s *score) bin(at float64) *Bin { return &s.res.Bins[min(int(at/binFor), len(s.res.Bins)-1)] }

// ask counts a request; what clients ask for again was counted the first time.
func (s *score) ask(q *ask) {
	if q.RetryCount > 0 {
		s.res.Repeats++
		return
	}
	s.res.Requests++
	s.asked[q.Class] += s.day.Classes[q.Class].Worth
	s.bin(q.At).Asked += s.day.Classes[q.Class].Worth
}

// serve counts a request that was served.
func (s *score) serve(q *ask, now float64) {
	if q.RetryCount > 0 {
		return
	}
	c, took, worth := s.day.Classes[q.Class], now-q.At, 0.0
	switch {
	case took <= c.Aim:
		worth = c.Worth
		s.inTime++
	case took <= c.Deadline:
		worth = c.Worth * c.LateWorth
	}
	s.got[q.Class] += worth
	s.bin(q.At).Got += worth
	s.res.Latency.add(took)
}

// end sums up.
func (s *score) end() {
	r := s.res
	sum := func(v []float64) (s float64) {
		for _, x := range v {
			s += x
		}
		return s
	}
	r.Whole, r.WorstClass, r.WorstWindow = sum(s.got)/max(1e-9, sum(s.asked)), 1, 1
	for i := range s.asked {
		share := 1.0
		if s.asked[i] > 0 {
			share = s.got[i] / s.asked[i]
		}
		r.ByClass = append(r.ByClass, share)
		r.WorstClass = min(r.WorstClass, share)
	}
	for i := range r.Bins {
		if share, ok := r.Window(i); ok && share < r.WorstWindow {
			r.WorstWindow, r.WorstAt = share, float64(i)*binFor
		}
	}
	r.Goal = 0.6*r.Whole + 0.2*r.WorstWindow + 0.2*r.WorstClass
	r.Offered, r.Goodput = float64(r.Requests)/s.day.Ms*1000, float64(s.inTime)/s.day.Ms*1000
}

// Window returns the share of the worth that was got in the ten seconds from a bin on; ok is false past the end, or where
// nothing was asked for.
func (r *Result) Window(from int) (share float64, ok bool) {
	long := int(windowFor / binFor)
	if from+long > len(r.Bins) {
		return 0, false
	}
	a, g := 0.0, 0.0
	for _, b := range r.Bins[from : from+long] {
		a, g = a+b.Asked, g+b.Got
	}
	return g / max(1e-9, a), a > 0
}

// peakOver is how many bins the mean of PeakRuns is over: two seconds.
const peakOver = 4

// PeakRuns returns the most runs that a node of those that were up had in the mean, over two seconds.
func (r *Result) PeakRuns() (most float64) {
	for i := peakOver; i <= len(r.Bins); i++ {
		runs, up := 0, 0
		for _, b := range r.Bins[i-peakOver : i] {
			runs, up = runs+b.Running, up+b.Up
		}
		most = max(most, float64(runs)/float64(max(1, up)))
	}
	return most
}

// BinMs is the length of a Bin.
func BinMs() float64 { return binFor }

// sorted lists the numbers of tries in order.
func sorted(all map[int]*try) (out []int) {
	for n := range all {
		out = append(out, n)
	}
	slices.Sort(out)
	return out
}
