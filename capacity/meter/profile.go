package meter

import (
	"bytes"
	"runtime/pprof"
	"strings"
	"time"

	"github.com/google/pprof/profile"

	"cottonarch.example/cottonarch/base/failure"
)

// Profile samples this process for a while and returns each activity's share of its processor
// time; the shares sum to 1. Work done under a request's label is that path's; other work is
// that of the innermost function of this project.
func Profile(duration time.Duration) (map[string]float64, error) {
	var raw bytes.Buffer
	if err := pprof.StartCPUProfile(&raw); err != nil {
		return nil, failure.Wrap(err, failure.Internal, "profile")
	}
	time.Sleep(duration)
	pprof.StopCPUProfile()
	parsed, err := profile.Parse(&raw)
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, "profile")
	}
	return ShareByActivity(parsed), nil
}

// ShareByActivity sums a profile by activity and divides by its total.
func ShareByActivity(parsed *profile.Profile) map[string]float64 {
	shares, total := map[string]float64{}, 0.0
	for _, sample := range parsed.Sample {
		value := float64(sample.Value[len(sample.Value)-1])
		shares[activityOfSample(sample)] += value
		total += value
	}
	for name := range shares {
		shares[name] /= max(total, 1)
	}
	return shares
}

// activityOfSample gives the name of the activity that a sample was spent on.
func activityOfSample(sample *profile.Sample) string {
	if labels := sample.Label[PathLabel]; len(labels) > 0 {
		return ActivityOf(labels[0]).Name
	}
	outermost := ""
	for _, location := range sample.Location { // from the innermost function out
		for _, line := range location.Line {
			if line.Function == nil {
				continue
			}
			outermost = line.Function.Name
			name, ours := strings.CutPrefix(outermost, modulePrefix)
			if !ours {
				continue
			}
			if activity, ok := activityOfFunction(activityByFunction, name); ok {
				return activity.Name
			}
		}
	}
	if activity, ok := activityOfFunction(activityByOutermost, outermost); ok {
		return activity.Name
	}
	return otherActivity
}
