// Package estimate provides the statistics with which the decision module learns costs: an aging linear regression and
// the cost of idle timeouts. It contains no policy of its own.
package estimate

// Regression is an aging linear regression of y on x. N is the number of observations; the other fields are the means
// of x, y, x*x and x*y. Without work hints every x is 0 and the prediction is the mean of y. It is not a mean of the
// ratios y/x: part of the time does not grow with the work, so small hints would produce huge ratios.
type Regression struct{ N, X, Y, XX, XY float64 }

// Add adds an observation. A new observation gets a weight of at least 1/memory, so that older ones decay.
func (r *Regression) Add(x, y, memory float64) {
	r.N++
	weight := 1 / min(r.N, memory)
	r.X += (x - r.X) * weight
	r.Y += (y - r.Y) * weight
	r.XX += (x*x - r.XX) * weight
	r.XY += (x*y - r.XY) * weight
}

// Predict returns the expected y at x. The assumption that y is proportional to x counts for pull observations, so that
// it prevails while there are few real ones.
func (r *Regression) Predict(x, pull float64) float64 {
	if r.X <= 0 || x <= 0 {
		return r.Y
	}
	pull /= r.N
	slope := (r.XY - r.X*r.Y + pull*r.X*r.Y) / (r.XX - r.X*r.X + pull*r.X*r.X)
	slope = min(max(slope, 0), r.Y/r.X)
	return r.Y + slope*(x-r.X)
}
