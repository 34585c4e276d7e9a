package fleet

import (
	"fmt"
	"math"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	windowMs = 10000.0 // length of the window for Result.WorstWindow
	bucketMs = 500.0   // length of a TimeBucket
)

// TimeBucket holds the statistics of a part of a day. Worth counts by the time of the first request.
type TimeBucket struct {
	OfferedWorth, EarnedWorth float64
	Tries, Refused            int
	Running                   int // runs in all pools at the end of the bucket
	Unread                    int
	NodesUp                   int // nodes that accept connections at the end of the bucket
}

// Latencies is a histogram of the latencies of served requests, in milliseconds, with two significant digits. The zero
// value is empty.
type Latencies struct{ h *hdrhistogram.Histogram }

// newLatencies returns an empty histogram for latencies up to an hour.
func newLatencies() Latencies { return Latencies{hdrhistogram.New(1, 3600e3, 2)} }

func (l Latencies) add(ms float64) { l.h.RecordValue(int64(math.Round(ms))) }

// Quantile returns the latency that a share of the answers did not exceed; 0 without answers.
func (l Latencies) Quantile(share float64) float64 {
	if l.h == nil {
		return 0
	}
	return float64(l.h.ValueAtQuantile(100 * share))
}

// Count returns the number of answers.
func (l Latencies) Count() int64 {
	if l.h == nil {
		return 0
	}
	return l.h.TotalCount()
}

// Merge returns the combined histogram of l and o.
func (l Latencies) Merge(o Latencies) Latencies {
	sum := newLatencies()
	for _, x := range []Latencies{l, o} {
		if x.h != nil {
			sum.h.Merge(x.h)
		}
	}
	return sum
}

// String returns the usual quantiles as text.
func (l Latencies) String() string {
	return fmt.Sprintf("p50 %.0f p90 %.0f p99 %.0f p99.9 %.0f of %d", l.Quantile(0.5), l.Quantile(0.9), l.Quantile(0.99), l.Quantile(0.999), l.Count())
}

// Result is the result of a simulated day, scored as the operators do.
type Result struct {
	Requests, Tries               int
	ClientRetries                 int     // requests that clients retried
	GoalScore                     float64 // 0.6 times the whole, 0.2 times the worst 10 s and 0.2 times the worst class
	OverallWorthRatio             float64 // earned worth divided by offered worth; client retries count for neither
	WorstWindow, WorstWindowStart float64
	WorstClass                    float64
	ClassWorthRatios              []float64
	Unsent                        int // requests for which the caller made no try
	Refused, Failed, Disconnected int // tries that were refused, failed, or lost their connection
	Resets                        int // tries whose connection was reset without a crash of the node
	ResetReasons                  []string
	Cancelled                     int     // tries that their caller cancelled
	WastedWorkRatio               float64 // work of runs whose answer served no request, as a share of the work of all runs
	RepeatedWrites                int     // second and further runs of a write, for different tries
	OverloadCrashes               int     // crashes of nodes by overload or lack of memory
	OfferedRate                   float64 // requests per second, without client retries
	Goodput                       float64 // requests per second that were served within their aim
	Latency                       Latencies
	Buckets                       []TimeBucket
	Violations                    []string // broken rules, each with the history of the try
	TimersFired                   uint64
	PeakTimers                    int
}

// score collects the statistics of a day during the simulation.
type score struct {
	day             *Day
	result          *Result
	offered, earned []float64 // worth by class
	servedByAim     int
}

func newScore(d *Day, r *Result) *score {
	r.Buckets, r.Latency = make([]TimeBucket, max(1, int(math.Ceil(d.DurationMs/bucketMs)))), newLatencies()
	return &score{day: d, result: r, offered: make([]float64, len(d.Classes)), earned: make([]float64, len(d.Classes))}
}

// bucket returns the bucket of a time; the last one for times after the end of the day.
func (s *score) bucket(at float64) *TimeBucket {
	return &s.result.Buckets[min(int(at/bucketMs), len(s.result.Buckets)-1)]
}

// addRequest counts a request. A client retry was counted with its first request.
func (s *score) addRequest(req *request) {
	if req.RetryCount > 0 {
		s.result.ClientRetries++
		return
	}
	s.result.Requests++
	s.offered[req.Class] += s.day.Classes[req.Class].Worth
	s.bucket(req.At).OfferedWorth += s.day.Classes[req.Class].Worth
}

// addServed counts a served request.
func (s *score) addServed(req *request, now float64) {
	if req.RetryCount > 0 {
		return
	}
	c, took, worth := s.day.Classes[req.Class], now-req.At, 0.0
	switch {
	case took <= c.Aim:
		worth = c.Worth
		s.servedByAim++
	case took <= c.Deadline:
		worth = c.Worth * c.LateWorth
	}
	s.earned[req.Class] += worth
	s.bucket(req.At).EarnedWorth += worth
	s.result.Latency.add(took)
}

// finish computes the totals of the result.
func (s *score) finish() {
	r := s.result
	sum := func(v []float64) (s float64) {
		for _, x := range v {
			s += x
		}
		return s
	}
	r.OverallWorthRatio, r.WorstClass, r.WorstWindow = sum(s.earned)/max(1e-9, sum(s.offered)), 1, 1
	for i := range s.offered {
		share := 1.0
		if s.offered[i] > 0 {
			share = s.earned[i] / s.offered[i]
		}
		r.ClassWorthRatios = append(r.ClassWorthRatios, share)
		r.WorstClass = min(r.WorstClass, share)
	}
	for i := range r.Buckets {
		if share, ok := r.WindowWorthRatio(i); ok && share < r.WorstWindow {
			r.WorstWindow, r.WorstWindowStart = share, float64(i)*bucketMs
		}
	}
	r.GoalScore = 0.6*r.OverallWorthRatio + 0.2*r.WorstWindow + 0.2*r.WorstClass
	r.OfferedRate, r.Goodput = float64(r.Requests)/s.day.DurationMs*1000, float64(s.servedByAim)/s.day.DurationMs*1000
}

// WindowWorthRatio returns the earned share of the offered worth in the ten seconds from a bucket on; ok is false past
// the end, or if no worth was offered.
func (r *Result) WindowWorthRatio(from int) (share float64, ok bool) {
	buckets := int(windowMs / bucketMs)
	if from+buckets > len(r.Buckets) {
		return 0, false
	}
	offered, earned := 0.0, 0.0
	for _, b := range r.Buckets[from : from+buckets] {
		offered, earned = offered+b.OfferedWorth, earned+b.EarnedWorth
	}
	return earned / max(1e-9, offered), offered > 0
}

// peakBuckets is the number of buckets over which PeakRuns averages: two seconds.
const peakBuckets = 4

// PeakRuns returns the highest mean number of runs per node that is up, averaged over two seconds.
func (r *Result) PeakRuns() (most float64) {
	for i := peakBuckets; i <= len(r.Buckets); i++ {
		runs, up := 0, 0
		for _, b := range r.Buckets[i-peakBuckets : i] {
			runs, up = runs+b.Running, up+b.NodesUp
		}
		most = max(most, float64(runs)/float64(max(1, up)))
	}
	return most
}

// BucketMs is the length of a TimeBucket.
func BucketMs() float64 { return bucketMs }

// sortedNumbers returns the numbers of tries in ascending order.
func sortedNumbers(tries map[int]*try) (out []int) {
	for n := range tries {
		out = append(out, n)
	}
	slices.Sort(out)
	return out
}
