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

// The traffic is what was asked for, part by part, and asking again shifts nothing of it.
func TestTraffic(t *testing.T) {
	a, b := New(params(), 1), New(params(), 1)
	var parts [5]int
	var work [2]float64
	var n [2]int
	last := 0.0
	for q, ok := a.Next(); ok; q, ok = a.Next() {
		if again, ok := b.Next(); !ok || again != q {
			t.Fatalf("%+v, with repeats in between %+v", q, again)
		}
		b.Retry(q, q.At+50)
		if q.At < last || q.Number != n[0]+n[1] {
			t.Fatalf("out of order: %+v", q)
		}
		last = q.At
		parts[int(q.At/20e3)]++
		work[q.Class] += q.Work.Run
		n[q.Class]++
	}
	for i, want := range []float64{4000, 12000, 4000, 1000, 4000} {
		if d := float64(parts[i]) - want; math.Abs(d) > 4*math.Sqrt(want) {
			t.Errorf("part %d has %d requests, want about %v", i, parts[i], want)
		}
	}
	for i, want := range []float64{100, 200} {
		if got := work[i] / float64(n[i]); math.Abs(got/want-1) > 0.05 {
			t.Errorf("class %d has a mean work of %v, want %v", i, got, want)
		}
	}
}

// A wish is asked for again by the share of clients that do, so often at most, and not by those that are held off.
func TestAgain(t *testing.T) {
	c := New(params(), 1)
	count := func(at float64) (n int) {
		for i := range 4000 {
			q, ok := Request{Number: i}, true
			for times := 0; ok; times++ {
				if q, ok = c.Retry(q, at); ok {
					if n++; q.RetryCount > 2 || q.At < at+100 || q.At > at+200 || q.Number < repeatsFrom || q.RetryCount != times+1 {
						t.Fatalf("%+v", q)
					}
				}
			}
		}
		return n
	}
	if n := count(1000); n < 2800 || n > 3200 {
		t.Errorf("%d of 4,000 ask again, want about 3,000 with the second time", n)
	}
	if n := count(70e3); n < 420 || n > 650 {
		t.Errorf("%d of 4,000 ask again while held off to a quarter", n)
	}
	if n := count(100e3); n != 0 {
		t.Errorf("%d ask again after the end", n)
	}
}
