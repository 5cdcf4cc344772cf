package meter

import (
	"bytes"
	"runtime/pprof"
	"strings"
	"time"

	"github.com/google/pprof/profile"

	"cottonarch.example/cottonarch/base/failure"
)

// Profile takes a CPU profile of this process for the duration and returns each activity's share of the
// CPU time. The shares sum to 1. A sample with a path label counts for the activity of the path; any other
// sample counts for the activity of the innermost known function of this module.
func Profile(duration time.Duration) (map[string]float64, error) {
	var raw bytes.Buffer
	if err := pprof.StartCPUProfile(&raw); err != nil {
		return nil, failure.Wrap(err, failure.Internal, "start the CPU profile")
	}
	time.Sleep(duration)
	pprof.StopCPUProfile()
	parsed, err := profile.Parse(&raw)
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, "parse the CPU profile")
	}
	return ShareByActivity(parsed), nil
}

// ShareByActivity returns each activity's share of the total of a profile.
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

// activityOfSample returns the name of the activity that a sample belongs to.
func activityOfSample(sample *profile.Sample) string {
	if labels := sample.Label[PathLabel]; len(labels) > 0 {
		return ActivityOf(labels[0]).Name
	}
	outermost := ""
	for _, location := range sample.Location { // from the innermost function to the outermost
		for _, line := range location.Line {
			if line.Function == nil {
				continue
			}
			outermost = line.Function.Name
			name, inModule := strings.CutPrefix(outermost, modulePrefix)
			if !inModule {
				continue
			}
			if activity, ok := lookUpActivity(activityByFunction, name); ok {
				return activity.Name
			}
		}
	}
	if activity, ok := lookUpActivity(activityByOutermostFunction, outermost); ok {
		return activity.Name
	}
	return otherActivity
}
