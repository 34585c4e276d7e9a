package study

import (
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"whinrudder/internal/vtime"
)

// Verdict is the conclusion about a difference between two variants.
type Verdict uint8

// The verdicts: no conclusion yet, no difference that matters, a higher value, a lower value.
const (
	Unclear Verdict = iota
	Same            // the difference is smaller than the effect that matters
	More
	Less
)

func (v Verdict) String() string { return [...]string{"unclear", "same", "more", "less"}[v] }

// maxErrorProbability bounds the probability of a wrong verdict, over all interim looks of one comparison.
const maxErrorProbability = 0.05

// lookErrorProbability returns the part of maxErrorProbability that may be spent at look k, counted from 1. The parts
// 6/(pi k)^2 add up to 1 over all looks, so by the union bound repeated looks do not raise the total probability of
// an error. Lan and DeMets (1983) describe tighter spending functions.
func lookErrorProbability(look int) float64 {
	k := math.Pi * float64(max(1, look))
	return maxErrorProbability * 6 / (k * k)
}

// confidenceInterval returns Student's t interval of a mean with an error probability of alpha. With fewer than two
// values it is unbounded.
func confidenceInterval(v []float64, alpha float64) (low, high float64) {
	if len(v) < 2 {
		return math.Inf(-1), math.Inf(1)
	}
	mean, deviation := stat.MeanStdDev(v, nil)
	half := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(v) - 1)}.Quantile(1-alpha/2) * deviation / math.Sqrt(float64(len(v)))
	return mean - half, mean + half
}

// Decide returns the verdict on paired differences at an interim look; the first look is 1. A difference that is
// smaller than the effect does not matter.
func Decide(diffs []float64, effect float64, look int) Verdict {
	low, high := confidenceInterval(diffs, lookErrorProbability(look))
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

// Bootstrap returns the mean and its 95% bootstrap percentile interval (Efron, 1979) from 2,000 resamples.
func Bootstrap(v []float64, seed vtime.Seed) (mean, low, high float64) {
	if len(v) == 0 {
		return 0, 0, 0
	}
	random := seed.Rand()
	means := make([]float64, 2000)
	for i := range means {
		sum := 0.0
		for range v {
			sum += v[random.IntN(len(v))]
		}
		means[i] = sum / float64(len(v))
	}
	slices.Sort(means)
	return stat.Mean(v, nil), stat.Quantile(0.025, stat.Empirical, means, nil), stat.Quantile(0.975, stat.Empirical,
		means, nil)
}
