package estimate

import (
	"math"
	"testing"
)

// The regression finds the line on which the points lie, forgets old points, assumes proportionality after a single
// point, and returns the mean on a falling line.
func TestRegression(t *testing.T) {
	var l Regression
	for i := range 500 {
		x := float64(1 + i%10)
		l.Add(x, 20+3*x, 200)
	}
	for x, want := range map[float64]float64{0: l.Y, 2: 26, 8: 44} {
		if got := l.Predict(x, 3); math.Abs(got-want) > 1 {
			t.Errorf("Predict(%v): got %v, want about %v", x, got, want)
		}
	}
	for range 2000 {
		l.Add(5, 70, 200)
	}
	if got := l.Predict(5, 3); math.Abs(got-70) > 0.1 {
		t.Errorf("after the cost changed: got %v, want 70", got)
	}
	one := Regression{}
	one.Add(4, 8, 200)
	if got := one.Predict(2, 3); math.Abs(got-4) > 1e-9 {
		t.Errorf("from one point: got %v, want 4, in proportion to x", got)
	}
	falling := Regression{}
	falling.Add(1, 9, 200)
	falling.Add(9, 1, 200)
	if got := falling.Predict(9, 0); got != falling.Y {
		t.Errorf("on a falling line: got %v, want the mean %v", got, falling.Y)
	}
}

func TestRegressionIsNotAMeanOfRatios(t *testing.T) {
	// 200 ms of disk time on every request make the ratio of time to hint huge for small hints.
	var l Regression
	for n := range 200 {
		hint := float64(1 + n%40*20)
		l.Add(hint, 200+hint, 1000)
	}
	if got := l.Predict(10, 3); got < 150 || got > 280 {
		t.Errorf("cost at a hint of 10: got %v, want about 210", got)
	}
	if got := l.Predict(800, 3); got < 850 || got > 1050 {
		t.Errorf("cost at a hint of 800: got %v, want about 1000", got)
	}
}
