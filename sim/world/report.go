package world

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"cottonarch.example/cottonarch/sim/invariant"
)

// traceBefore is the time before the first violation, in seconds, for which a report shows the
// trace.
const traceBefore = 15

// Report returns the counts of the run, the verdict of every rule, and the trace before the first
// violation.
func (w *World) Report() string {
	var b strings.Builder
	w.writeCounts(&b)
	w.writeOperationTimes(&b)
	b.WriteString(w.Checker.Text())
	w.writeFirstViolation(&b)
	return b.String()
}

// writeCounts writes the numbers of calls, messages, configurations and operations by outcome.
func (w *World) writeCounts(b *strings.Builder) {
	outcomes := map[invariant.Outcome]int{}
	for _, call := range w.Checker.Calls {
		outcomes[call.Outcome]++
	}
	fmt.Fprintf(b, "calls %d: served %d, not executed %d, unknown %d, sidecar down %d, pending %d; executions %d\n", len(w.Checker.Calls), outcomes[invariant.Served],
		outcomes[invariant.NotExecuted], outcomes[invariant.Unknown], outcomes[invariant.SidecarDown], outcomes[invariant.Pending], len(w.Checker.Executions))
	n := w.counters
	fmt.Fprintf(b, "messages %d, lost %d; configurations %d confirmed, %d rejected, %d unknown; operations %d succeeded, %d rejected, %d unknown; %d watch events\n",
		w.Links.SentMessages, w.Links.LostMessages, n.configsConfirmed, n.configsRejected, n.configsUnknown,
		n.operationsSucceeded, n.operationsRejected, n.operationsUnknown, n.watchEvents)
}

// writeOperationTimes writes the percentiles of the times of successful operations.
func (w *World) writeOperationTimes(b *strings.Builder) {
	n := len(w.OperationTimes)
	if n == 0 {
		return
	}
	slices.Sort(w.OperationTimes)
	at := func(i int) time.Duration { return w.OperationTimes[i].Round(time.Microsecond) }
	fmt.Fprintf(b, "operations took: median %v, 99%% %v, 99.9%% %v, most %v\n", at(n/2), at(n*99/100), at(n*999/1000), at(n-1))
}

// writeFirstViolation writes the earliest violation and the trace before it.
func (w *World) writeFirstViolation(b *strings.Builder) {
	if len(w.Checker.Violations) == 0 {
		return
	}
	first := w.Checker.Violations[0]
	for _, violation := range w.Checker.Violations {
		if violation.At < first.At {
			first = violation
		}
	}
	seconds := time.Duration(first.At).Seconds()
	fmt.Fprintf(b, "first violation at %.3fs: %s: %s\n", seconds, first.Rule, first.Note)
	for _, line := range w.Trace {
		var at float64
		if _, err := fmt.Sscanf(strings.TrimSpace(line), "%fs", &at); err == nil && at < seconds+0.001 && at > seconds-traceBefore {
			b.WriteString("  " + line + "\n")
		}
	}
}
