// Package estimate holds the statistics that the decision module learns costs with. It decides nothing.
package estimate

// Regression is an aging straight fit of y by x, kept as the moments of both: N observations, means of x, y, x*x and
// x*y. Without hints every x is 0 and it is a mean. It is not a mean of ratios: part of the time does not grow with the
// work, and small hints would make huge ratios.
type Regression struct{ N, X, Y, XX, XY float64 }

// Add takes an observation in; the fit forgets what lies further back than so many observations.
func (l *Regression) Add(x, y, memory float64) {
	l.N++
	w := 1 / min(l.N, memory)
	l.X += (x - l.X) * w
	l.Y += (y - l.Y) * w
	l.XX += (x*x - l.XX) * w
	l.XY += (x*y - l.XY) * w
}

// Predict returns the fit at x, drawn towards proportion while few have been seen: that assumption counts for pull
// observations.
func (l *Regression) Predict(x, pull float64) float64 {
	if l.X <= 0 || x <= 0 {
		return l.Y
	}
	pull /= l.N
	slope := (l.XY - l.X*l.Y + pull*l.X*l.Y) / (l.XX - l.X*l.X + pull*l.X*l.X)
	slope = min(max(slope, 0), l.Y/l.X)
	return l.Y + slope*(x-l.X)
}
