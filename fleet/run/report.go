package run

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"cottonarch.example/cottonarch/standin/client"
)

// maxViolationsShown is the number of violations that the report describes.
const maxViolationsShown = 20

// Report returns the text of the run's report: event counts, durations, the verdict of each rule and
// the first violations.
func (f *Fleet) Report() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(f.Counts)) {
		fmt.Fprintf(&b, "%-24s %d\n", name, f.Counts[name])
	}
	if n := len(f.ApplyDelays); n > 0 {
		delays := summarize(f.ApplyDelays, time.Millisecond)
		fmt.Fprintf(&b, "in force after confirm   %s, of %d pairs of sidecar and revision\n", delays, n)
	}
	f.writeResponseTimes(&b)
	b.WriteString(f.Checker.Text())
	b.WriteString(f.Checker.Summary() + "\n")
	for _, violation := range f.Checker.Violations[:min(maxViolationsShown, len(f.Checker.Violations))] {
		fmt.Fprintf(&b, "breach at %.1fs: %s: %s\n", time.Duration(violation.At).Seconds(), violation.Rule, violation.Note)
	}
	return b.String()
}

// writeResponseTimes writes the durations of calls by the outcome at the client.
func (f *Fleet) writeResponseTimes(b *strings.Builder) {
	durationsByOutcome := map[client.Outcome][]time.Duration{}
	for _, call := range f.results.All() {
		durationsByOutcome[call.Outcome] = append(durationsByOutcome[call.Outcome], call.Duration)
	}
	for _, outcome := range []client.Outcome{client.Served, client.NotExecuted, client.Unknown} {
		if len(durationsByOutcome[outcome]) > 0 {
			fmt.Fprintf(b, "%-8s in              %s\n", outcome, summarize(durationsByOutcome[outcome], 100*time.Microsecond))
		}
	}
}

// summarize formats the median, the 99th percentile and the maximum of durations, which must not be
// empty and which summarize sorts in place. The maximum is rounded to milliseconds, whatever the
// precision.
func summarize(durations []time.Duration, precision time.Duration) string {
	slices.Sort(durations)
	n := len(durations)
	median, p99, maximum := durations[n/2], durations[n*99/100], durations[n-1]
	return fmt.Sprintf("median %v, 99%% %v, most %v",
		median.Round(precision), p99.Round(precision), maximum.Round(time.Millisecond))
}
