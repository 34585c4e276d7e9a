package workload

import (
	"math"
	"testing"

	"whinrudder/internal/vtime"
)

func params() Params {
	return Params{DurationMs: 100e3, Rate: 0.2, Classes: []Class{{Share: 0.7}, {Share: 0.3}}, RunWork: []float64{100, 200}, SleepTime: []float64{0, 0}, ReadWork: 10, WorkCV: 0.5,
		Callers: 4, Subjects: 100, ClientRetries: ClientRetries{Share: 0.5, Delay: vtime.Range{Low: 100, High: 200}, Max: 2},
		Surges: []Surge{{From: 20e3, To: 40e3, Factor: 3}, {From: 60e3, To: 80e3, Factor: 0.25}}}
}

// Guards against a rate that ignores surges, wrong shares of work, and retries that change the draws of first requests.
// The day has five parts of 20 s with different rates; a second generator draws retries in between.
func TestTraffic(t *testing.T) {
	a, b := New(params(), 1), New(params(), 1)
	var parts [5]int
	var work [2]float64
	var n [2]int
	last := 0.0
	for q, ok := a.Next(); ok; q, ok = a.Next() {
		if other, ok := b.Next(); !ok || other != q {
			t.Fatalf("request with retries in between: got %+v, want %+v", other, q)
		}
		b.Retry(q, q.At+50)
		if q.At < last || q.Number != n[0]+n[1] {
			t.Fatalf("request %+v at %v is out of order, want number %d", q, q.At, n[0]+n[1])
		}
		last = q.At
		parts[int(q.At/20e3)]++
		work[q.Class] += q.Work.Run
		n[q.Class]++
	}
	for i, want := range []float64{4000, 12000, 4000, 1000, 4000} {
		if d := float64(parts[i]) - want; math.Abs(d) > 4*math.Sqrt(want) {
			t.Errorf("part %d: got %d requests, want about %v", i, parts[i], want)
		}
	}
	for i, want := range []float64{100, 200} {
		if got := work[i] / float64(n[i]); math.Abs(got/want-1) > 0.05 {
			t.Errorf("class %d: got a mean work of %v, want about %v", i, got, want)
		}
	}
}

// Checks how many clients retry: by their share, at most Max times, within the range of delays, less while a surge
// factor below 1 holds requests back, and not after the end of the day.
func TestRetry(t *testing.T) {
	c := New(params(), 1)
	count := func(at float64) (n int) {
		for i := range 4000 {
			q, ok := Request{Number: i}, true
			for times := 0; ok; times++ {
				if q, ok = c.Retry(q, at); ok {
					if n++; q.RetryCount > 2 || q.At < at+100 || q.At > at+200 || q.Number < firstRetryNumber || q.RetryCount != times+1 {
						t.Fatalf("retry %d at %v: got %+v", times+1, at, q)
					}
				}
			}
		}
		return n
	}
	if n := count(1000); n < 2800 || n > 3200 {
		t.Errorf("got %d retries of 4,000 requests, want about 3,000 including second retries", n)
	}
	if n := count(70e3); n < 420 || n > 650 {
		t.Errorf("got %d retries of 4,000 requests at a surge factor of 0.25, want 420 to 650", n)
	}
	if n := count(100e3); n != 0 {
		t.Errorf("got %d retries after the end of the day, want 0", n)
	}
}
