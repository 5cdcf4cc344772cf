package calllatency

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Quantiles lists the reported percentiles with their names in the maps of a Point.
var Quantiles = []struct {
	Name       string
	Percentile float64
}{{"p50", 50}, {"p99", 99}, {"p99.9", 99.9}}

// Range and precision of the histograms, which hold nanoseconds.
const (
	minDuration       = time.Microsecond
	maxDuration       = time.Minute
	significantDigits = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(int64(minDuration), int64(maxDuration), significantDigits)
}

// recordDuration records a duration, clamped to the histogram's range.
func recordDuration(histogram *hdrhistogram.Histogram, duration time.Duration) {
	_ = histogram.RecordValue(int64(max(minDuration, min(duration, maxDuration))))
}

// quantiles returns the values of the Quantiles in milliseconds, by name.
func quantiles(histogram *hdrhistogram.Histogram) map[string]float64 {
	values := map[string]float64{}
	for _, quantile := range Quantiles {
		values[quantile.Name] = float64(histogram.ValueAtPercentile(quantile.Percentile)) / float64(time.Millisecond)
	}
	return values
}
