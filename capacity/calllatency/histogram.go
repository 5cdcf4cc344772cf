package calllatency

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Quantiles are the percentiles that are noted, with their names in a Point.
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

// recordDuration records a duration, or the end of the histogram's range that it lies beyond.
func recordDuration(histogram *hdrhistogram.Histogram, duration time.Duration) {
	_ = histogram.RecordValue(int64(max(minDuration, min(duration, maxDuration))))
}

// quantiles gives the Quantiles in milliseconds.
func quantiles(histogram *hdrhistogram.Histogram) map[string]float64 {
	values := map[string]float64{}
	for _, quantile := range Quantiles {
		values[quantile.Name] = float64(histogram.ValueAtPercentile(quantile.Percentile)) / float64(time.Millisecond)
	}
	return values
}
