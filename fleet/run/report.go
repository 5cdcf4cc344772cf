package run

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"cottonarch.example/cottonarch/standin/client"
)

// maxViolationsShown is how many violations the report spells out.
const maxViolationsShown = 20

// Report is the text of what happened: counts, times and the judgement of each rule.
func (f *Fleet) Report() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(f.Counts)) {
		fmt.Fprintf(&b, "%-24s %d\n", name, f.Counts[name])
	}
	if n := len(f.ApplyDelays); n > 0 {
		delays := summarize(f.ApplyDelays, time.Millisecond)
		fmt.Fprintf(&b, "in force after confirm   %s, of %d node epochs\n", delays, n)
	}
	f.writeResponseTimes(&b)
	b.WriteString(f.Checker.Text())
	b.WriteString(f.Checker.Summary() + "\n")
	for _, violation := range f.Checker.Violations[:min(maxViolationsShown, len(f.Checker.Violations))] {
		fmt.Fprintf(&b, "breach at %.1fs: %s: %s\n", time.Duration(violation.At).Seconds(), violation.Rule, violation.Note)
	}
	return b.String()
}

// writeResponseTimes writes how long calls took, by their outcome at the client.
func (f *Fleet) writeResponseTimes(b *strings.Builder) {
	took := map[client.Outcome][]time.Duration{}
	for _, call := range f.clientLog.All() {
		took[call.Outcome] = append(took[call.Outcome], call.Duration)
	}
	for _, outcome := range []client.Outcome{client.Served, client.NotExecuted, client.Unknown} {
		if len(took[outcome]) > 0 {
			fmt.Fprintf(b, "%-8s in              %s\n", outcome, summarize(took[outcome], 100*time.Microsecond))
		}
	}
}

// summarize gives median, 99th percentile and maximum of at least one duration. It sorts the
// durations; the maximum is always rounded to milliseconds.
func summarize(durations []time.Duration, precision time.Duration) string {
	slices.Sort(durations)
	n := len(durations)
	median, p99, maximum := durations[n/2], durations[n*99/100], durations[n-1]
	return fmt.Sprintf("median %v, 99%% %v, most %v",
		median.Round(precision), p99.Round(precision), maximum.Round(time.Millisecond))
}
