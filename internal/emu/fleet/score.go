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

// TimeBucket is a part of a day: worth asked for and worth got in time, by when it was first asked for, and what went on then.
type TimeBucket struct {
	OfferedWorth, EarnedWorth float64
	Tries, Refused            int
	Running                   int // in all pools, at its end
	Unread                    int
	NodesUp                   int // nodes that take connections
}

// Latencies are the times to the answer of what was served, in milliseconds, to two figures.
type Latencies struct{ h *hdrhistogram.Histogram }

// newLatencies holds up to an hour.
func newLatencies() Latencies { return Latencies{hdrhistogram.New(1, 3600e3, 2)} }

func (l Latencies) add(ms float64) { l.h.RecordValue(int64(math.Round(ms))) }

// Quantile returns the latency that a share of the answers had at most; 0 without answers.
func (l Latencies) Quantile(share float64) float64 {
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
	return fmt.Sprintf("p50 %.0f p90 %.0f p99 %.0f p99.9 %.0f of %d", l.Quantile(0.5), l.Quantile(0.9), l.Quantile(0.99), l.Quantile(0.999), l.Count())
}

// Result is what became of a day, as the operators count.
type Result struct {
	Requests, Tries               int
	ClientRetries                 int     // requests that clients made again
	GoalScore                     float64 // 0.6 of the whole, 0.2 of the worst 10 s, 0.2 of the worst class
	OverallWorthRatio             float64 // worth answered in time over worth asked for, retries credited to the first try
	WorstWindow, WorstWindowStart float64
	WorstClass                    float64
	ClassWorthRatios              []float64
	Unsent                        int // requests that a caller sent nowhere
	Refused, Failed, Disconnected int // tries: turned away, failed, cut off
	Resets                        int // tries whose connection broke without a crash of the node
	ResetReasons                  []string
	Cancelled                     int     // tries that their caller took back
	WastedWorkRatio               float64 // work of runs whose answer was of no use, over work of all runs
	RepeatedWrites                int     // writes that were run for two tries of theirs
	OverloadCrashes               int     // nodes that fell
	OfferedRate                   float64 // first tries a second
	Goodput                       float64 // requests a second that were served by their aim
	Latency                       Latencies
	Buckets                       []TimeBucket
	Violations                    []string // rules that were broken, with the history
	TimersFired                   uint64
	PeakTimers                    int
}

// score counts as a day goes on.
type score struct {
	day        *Day
	res        *Result
	asked, got []float64 // by class
	inTime     int
}

func newScore(d *Day, r *Result) *score {
	r.Buckets, r.Latency = make([]TimeBucket, max(1, int(math.Ceil(d.DurationMs/binFor)))), newLatencies()
	return &score{day: d, res: r, asked: make([]float64, len(d.Classes)), got: make([]float64, len(d.Classes))}
}

// bin returns the part of the day that a time is in.
func (s *score) bin(at float64) *TimeBucket {
	return &s.res.Buckets[min(int(at/binFor), len(s.res.Buckets)-1)]
}

// ask counts a request; what clients ask for again was counted the first time.
func (s *score) ask(q *ask) {
	if q.RetryCount > 0 {
		s.res.ClientRetries++
		return
	}
	s.res.Requests++
	s.asked[q.Class] += s.day.Classes[q.Class].Worth
	s.bin(q.At).OfferedWorth += s.day.Classes[q.Class].Worth
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
	s.bin(q.At).EarnedWorth += worth
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
	r.OverallWorthRatio, r.WorstClass, r.WorstWindow = sum(s.got)/max(1e-9, sum(s.asked)), 1, 1
	for i := range s.asked {
		share := 1.0
		if s.asked[i] > 0 {
			share = s.got[i] / s.asked[i]
		}
		r.ClassWorthRatios = append(r.ClassWorthRatios, share)
		r.WorstClass = min(r.WorstClass, share)
	}
	for i := range r.Buckets {
		if share, ok := r.WindowWorthRatio(i); ok && share < r.WorstWindow {
			r.WorstWindow, r.WorstWindowStart = share, float64(i)*binFor
		}
	}
	r.GoalScore = 0.6*r.OverallWorthRatio + 0.2*r.WorstWindow + 0.2*r.WorstClass
	r.OfferedRate, r.Goodput = float64(r.Requests)/s.day.DurationMs*1000, float64(s.inTime)/s.day.DurationMs*1000
}

// WindowWorthRatio returns the share of the worth that was got in the ten seconds from a bin on; ok is false past the end, or where
// nothing was asked for.
func (r *Result) WindowWorthRatio(from int) (share float64, ok bool) {
	long := int(windowFor / binFor)
	if from+long > len(r.Buckets) {
		return 0, false
	}
	a, g := 0.0, 0.0
	for _, b := range r.Buckets[from : from+long] {
		a, g = a+b.OfferedWorth, g+b.EarnedWorth
	}
	return g / max(1e-9, a), a > 0
}

// peakOver is how many bins the mean of PeakRuns is over: two seconds.
const peakOver = 4

// PeakRuns returns the most runs that a node of those that were up had in the mean, over two seconds.
func (r *Result) PeakRuns() (most float64) {
	for i := peakOver; i <= len(r.Buckets); i++ {
		runs, up := 0, 0
		for _, b := range r.Buckets[i-peakOver : i] {
			runs, up = runs+b.Running, up+b.NodesUp
		}
		most = max(most, float64(runs)/float64(max(1, up)))
	}
	return most
}

// BucketMs is the length of a TimeBucket.
func BucketMs() float64 { return binFor }

// sorted lists the numbers of tries in order.
func sorted(all map[int]*try) (out []int) {
	for n := range all {
		out = append(out, n)
	}
	slices.Sort(out)
	return out
}
