package study

import (
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"whinrudder/internal/vtime"
)

// Verdict is what is known of a difference.
type Verdict uint8

// The verdicts.
const (
	Unclear Verdict = iota
	Same            // the difference is under the effect that matters
	More
	Less
)

func (v Verdict) String() string { return [...]string{"unclear", "same", "more", "less"}[v] }

// level is the chance at most of a wrong verdict, over all looks of one comparison.
const level = 0.05

// spent is the share of level that may be used up at a look, from 1 on: level times 6/(pi k)^2, which sums to level over all
// looks, so that looking often makes no verdict likelier (the union bound; Lan and DeMets, 1983, spend it more finely).
func spent(look int) float64 {
	k := math.Pi * float64(max(1, look))
	return level * 6 / (k * k)
}

// interval returns Student's interval of a mean with a chance of error.
func interval(v []float64, alpha float64) (low, high float64) {
	if len(v) < 2 {
		return math.Inf(-1), math.Inf(1)
	}
	mean, dev := stat.MeanStdDev(v, nil)
	half := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(v) - 1)}.Quantile(1-alpha/2) * dev / math.Sqrt(float64(len(v)))
	return mean - half, mean + half
}

// Decide says what paired differences show at a look, the first is 1: a difference under the effect is none that matters.
func Decide(diffs []float64, effect float64, look int) Verdict {
	low, high := interval(diffs, spent(look))
	switch {
	case low >= -effect && high <= effect:
		return Same
	case low > 0:
		return More
	case high < 0:
		return Less
	}
	return Unclear
}

// Bootstrap returns the mean and its 95% percentile interval (Efron, 1979), from 2,000 samples.
func Bootstrap(v []float64, seed vtime.Seed) (mean, low, high float64) {
	if len(v) == 0 {
		return 0, 0, 0
	}
	r := seed.Rand()
	means := make([]float64, 2000)
	for i := range means {
		sum := 0.0
		for range v {
			sum += v[r.IntN(len(v))]
		}
		means[i] = sum / float64(len(v))
	}
	slices.Sort(means)
	return stat.Mean(v, nil), stat.Quantile(0.025, stat.Empirical, means, nil), stat.Quantile(0.975, stat.Empirical, means, nil)
}
