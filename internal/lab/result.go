package lab

import (
	"errors"
	"fmt"
	"io"
	"math"
	"runtime"
	"slices"
	"sync"

	"github.com/valyala/fastjson"
	"gonum.org/v1/gonum/stat"
)

// DayResult is the outcome of one variant's successors on the day of one seed.
type DayResult struct {
	Variant    string
	Seed       uint64
	SteadyMs   float64 // time in milliseconds until the on-time worth stays within 5% of the steady state
	FirstShare float64 // on-time worth of the first 20 s as a share of the steady state's
	Fell       int     // worker pools that crashed
}

// Summary compares a variant with the cold one in pairs of the same seed.
type Summary struct {
	Variant        string
	Pairs          int
	MedianSteadyMs float64    // median of SteadyMs
	MedianRatio    float64    // median over the pairs of SteadyMs divided by the cold variant's
	RatioInterval  [2]float64 // 95% confidence interval of MedianRatio
	MeanGain       float64    // mean over the pairs of FirstShare minus the cold variant's
	GainInterval   [2]float64 // 95% confidence interval of MeanGain
	WorseThanNoise bool       // GainInterval lies entirely below the range of the noise
	Fell           int        // worker pools that crashed
	noise          float64    // largest gain or loss that a repeated cold start shows by chance
	ratios, gains  []float64  // by pair
}

// RunWarmUp plays all variants on the days of consecutive seeds, several days in parallel. It returns the results in
// order of seed and variant, and the summaries in order of variant. If progress is not nil, it is called after each
// seed with the number of seeds done.
func RunWarmUp(first uint64, seeds int, load LoadRange, progress func(done int)) ([]DayResult, []Summary, error) {
	if seeds < 1 || !(load.Low > 0 && load.Low <= load.High && load.High <= 1.5) {
		return nil, nil, fmt.Errorf("lab: got %d seeds and load range %v, need at least one seed and 0 < low <= high <= 1.5",
			seeds, load)
	}
	days := make([][]DayResult, seeds)
	errs := make([]error, seeds)
	var wait sync.WaitGroup
	var mu sync.Mutex
	nextDay, done := 0, 0
	for range min(runtime.NumCPU(), seeds) {
		wait.Go(func() {
			for {
				mu.Lock()
				i := nextDay
				nextDay++
				mu.Unlock()
				if i >= seeds {
					return
				}
				days[i], errs[i] = playVariants(first+uint64(i), load)
				mu.Lock()
				done++
				if progress != nil {
					progress(done)
				}
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	if err := errors.Join(errs...); err != nil {
		return nil, nil, err
	}
	return slices.Concat(days...), summaries(days), nil
}

// playVariants plays the day of one seed with all variants.
func playVariants(seed uint64, load LoadRange) (out []DayResult, err error) {
	d, err := newWarmDay(seed, load)
	if err != nil {
		return nil, err
	}
	for _, v := range Variants {
		day := d
		if v == "again" {
			if day, err = d.withOtherArrivals(); err != nil {
				return nil, err
			}
		}
		reports, err := d.reports(v)
		if err != nil {
			return nil, fmt.Errorf("lab: seed %d: %w", seed, err)
		}
		outcome, err := day.play(reports)
		if err != nil {
			return nil, err
		}
		steadyWorth := day.onTimeWorth(day.twinServed, dayStartMs, dayStartMs+firstPeriodMs)
		out = append(out, DayResult{v, seed, day.timeToSteady(outcome.served),
			day.onTimeWorth(outcome.served, dayStartMs, dayStartMs+firstPeriodMs) / math.Max(1, steadyWorth),
			outcome.crashes})
	}
	return out, nil
}

// bootstrapSamples is the number of resamples of a bootstrap interval.
const bootstrapSamples = 4000

// bootstrap returns the 95% confidence interval of a statistic of values by the percentile bootstrap (Efron 1979).
func bootstrap(values []float64, statistic func([]float64) float64) [2]float64 {
	rng := stream(uint64(len(values)), "bootstrap")
	statistics, sample := make([]float64, bootstrapSamples), make([]float64, len(values))
	for i := range statistics {
		for j := range sample {
			sample[j] = values[rng.IntN(len(values))]
		}
		statistics[i] = statistic(sample)
	}
	slices.Sort(statistics)
	return [2]float64{stat.Quantile(0.025, stat.Empirical, statistics, nil), stat.Quantile(0.975, stat.Empirical, statistics, nil)}
}

// median returns the median; with an even number of values it is the mean of the two in the median.
func median(v []float64) float64 {
	s := slices.Clone(v)
	slices.Sort(s)
	return (stat.Quantile(0.5, stat.Empirical, s, nil) + s[len(s)/2]) / 2
}

func mean(v []float64) float64 { return stat.Mean(v, nil) }

// summaries compares each variant with the first one, which is cold.
func summaries(days [][]DayResult) (out []Summary) {
	noise := 0.0
	for v, name := range Variants {
		s := Summary{Variant: name, Pairs: len(days)}
		var times []float64
		for _, day := range days {
			cold, p := day[0], day[v]
			times = append(times, p.SteadyMs)
			s.ratios = append(s.ratios, math.Max(p.SteadyMs, windowStepMs)/math.Max(cold.SteadyMs, windowStepMs))
			s.gains = append(s.gains, p.FirstShare-cold.FirstShare)
			s.Fell += p.Fell
		}
		s.MedianSteadyMs, s.MedianRatio, s.MeanGain = median(times), median(s.ratios), mean(s.gains)
		s.RatioInterval, s.GainInterval = bootstrap(s.ratios, median), bootstrap(s.gains, mean)
		if name == "again" {
			noise = math.Max(-s.GainInterval[0], s.GainInterval[1])
		}
		s.noise = noise
		s.WorseThanNoise = s.GainInterval[1] < -noise
		out = append(out, s)
	}
	return out
}

// WriteJSON writes one line per day and variant, then one line with the summaries.
func WriteJSON(w io.Writer, pairs []DayResult, all []Summary) error {
	var a fastjson.Arena
	number := func(v float64) *fastjson.Value { return a.NewNumberFloat64(math.Round(v*1e4) / 1e4) }
	interval := func(v [2]float64) *fastjson.Value {
		l := a.NewArray()
		l.SetArrayItem(0, number(v[0]))
		l.SetArrayItem(1, number(v[1]))
		return l
	}
	writeLine := func(o *fastjson.Value) error {
		_, err := w.Write(append(o.MarshalTo(nil), '\n'))
		a.Reset()
		return err
	}
	for _, p := range pairs {
		o := a.NewObject()
		o.Set("variant", a.NewString(p.Variant))
		o.Set("seed", a.NewNumberString(fmt.Sprint(p.Seed)))
		o.Set("steady_ms", number(p.SteadyMs))
		o.Set("first_share", number(p.FirstShare))
		o.Set("fell", a.NewNumberInt(p.Fell))
		if err := writeLine(o); err != nil {
			return err
		}
	}
	root := a.NewObject()
	for _, s := range all {
		o := a.NewObject()
		o.Set("pairs", a.NewNumberInt(s.Pairs))
		o.Set("median_steady_ms", number(s.MedianSteadyMs))
		o.Set("median_ratio_to_cold", number(s.MedianRatio))
		o.Set("ratio_interval", interval(s.RatioInterval))
		o.Set("mean_gain", number(s.MeanGain))
		o.Set("gain_interval", interval(s.GainInterval))
		o.Set("worse_than_noise", map[bool]*fastjson.Value{true: a.NewTrue(), false: a.NewFalse()}[s.WorseThanNoise])
		o.Set("fell", a.NewNumberInt(s.Fell))
		root.Set(s.Variant, o)
	}
	top := a.NewObject()
	top.Set("summary", root)
	return writeLine(top)
}

// WriteSummaries writes the summaries as a table.
func WriteSummaries(w io.Writer, all []Summary) {
	fmt.Fprintf(w, "%-20s %5s %10s %8s %16s %8s %18s %5s\n", "variant", "pairs", "steady s", "ratio", "95% within", "gain",
		"95% within", "fell")
	for _, s := range all {
		fmt.Fprintf(w, "%-20s %5d %10.1f %8.2f    %5.2f to %5.2f %+8.3f   %+6.3f to %+6.3f %5d\n", s.Variant, s.Pairs,
			s.MedianSteadyMs/1000, s.MedianRatio, s.RatioInterval[0], s.RatioInterval[1], s.MeanGain,
			s.GainInterval[0], s.GainInterval[1], s.Fell)
	}
}
