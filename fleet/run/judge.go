package run

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/sim/invariant"
	"cottonarch.example/cottonarch/standin/client"
)

// judge fills the checkers from the books and the ledgers.
func (f *Fleet) judge(startedAt, endedAt monotime.Time) {
	serviceByID := map[string]ident.Service{}
	unsafeByID := map[string]bool{}
	outcomes := map[client.Outcome]invariant.Outcome{client.Served: invariant.Served, client.NotExecuted: invariant.NotExecuted, client.Unknown: invariant.Unknown, client.Dropped: invariant.Unknown, client.Wrong: invariant.Unknown}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range f.clientLog.All() {
		serviceByID[t.ID], unsafeByID[t.ID] = t.Kind.Service, t.Kind.Method != "GET"
		f.Checker.Calls = append(f.Checker.Calls, &invariant.Call{ID: t.ID, Service: t.Kind.Service, AtMostOnce: t.Kind.Method != "GET", Began: f.sinceStart(t.Start), Ended: f.sinceStart(t.Start.Add(t.Duration)), Outcome: outcomes[t.Outcome], Reason: t.Note, Complete: true})
		f.Counts["calls "+string(t.Outcome)]++
		var why struct {
			Defect string `json:"defect"`
		}
		if (t.Outcome == client.NotExecuted || t.Outcome == client.Unknown) && json.Unmarshal([]byte(t.Note), &why) == nil {
			f.Counts["  "+string(t.Outcome)+" "+why.Defect]++
		}
		if t.Outcome == client.Wrong {
			f.Checker.Violate(f.sinceStart(t.Start), "wrong-return", "%s got %d %.200s", t.ID, t.Status, t.Note)
		}
		f.judgeDropped(t)
	}
	firstService := f.Deployment.RequestKinds[0].Service
	for _, execution := range f.endpointLog.All() {
		wantService, ok := serviceByID[execution.ID]
		if !ok && strings.HasSuffix(execution.ID, "-on") {
			wantService, ok = firstService, true
			f.Counts["onward calls run"]++
		}
		if !ok {
			continue
		}
		var leftAt monotime.Time
		if t, gone := f.leftAt[execution.Server]; gone {
			leftAt = f.sinceStart(t)
		}
		var lostAt monotime.Time
		for _, o := range f.endpointOutages[execution.Server] {
			if execution.ReceivedAt.After(o.from) && (o.to.IsZero() || execution.ReceivedAt.Before(o.to)) {
				lostAt = f.sinceStart(o.from)
			}
		}
		f.Checker.Executed(invariant.Execution{ID: execution.ID, Server: execution.Server, Service: execution.Service, RequestedService: wantService, ArrivedAt: f.sinceStart(execution.ReceivedAt), LeaveConfirmedAt: leftAt, LossConfirmedAt: lostAt, AtMostOnce: unsafeByID[execution.ID]})
		f.Counts["runs"]++
	}
	f.Checker.Finish(startedAt.Add(2*time.Second), endedAt)
}

// judgeDropped judges a request that its own machine's sidecar gave no whole return to. It is
// excused only while that sidecar was killed, frozen or, for one that came after a
// planned stop, not there to take it.
func (f *Fleet) judgeDropped(call client.Result) {
	const rule = "dropped-in-stop"
	node, _, _ := strings.Cut(call.ID, "-")
	if call.Outcome != client.Dropped {
		f.Checker.Observe(rule)
		return
	}
	causes := f.outageCauses(node, call.Start, call.Start.Add(call.Duration))
	switch {
	case causes[causeKilled]:
		f.Checker.Excuse(rule, causeKilled)
	case causes[causeFrozen]:
		f.Checker.Excuse(rule, causeFrozen)
	case causes[causeStopped] && strings.Contains(call.Note, ": connect: "): // no connection: nothing was taken
		f.Checker.Excuse(rule, "coming after a planned stop")
	default:
		f.Checker.Observe(rule)
		f.Checker.Violate(f.sinceStart(call.Start), rule, "%s was dropped: %s", call.ID, call.Note)
	}
}

// Report is the report.
func (f *Fleet) Report() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var b strings.Builder
	var names []string
	for n := range f.Counts {
		if !strings.HasPrefix(n, "epoch ") {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	for _, n := range names {
		fmt.Fprintf(&b, "%-24s %d\n", n, f.Counts[n])
	}
	if n := len(f.ApplyDelays); n > 0 {
		slices.Sort(f.ApplyDelays)
		fmt.Fprintf(&b, "in force after confirm   median %v, 99%% %v, most %v, of %d node epochs\n", f.ApplyDelays[n/2].Round(time.Millisecond), f.ApplyDelays[n*99/100].Round(time.Millisecond), f.ApplyDelays[n-1].Round(time.Millisecond), n)
	}
	took := map[client.Outcome][]time.Duration{}
	for _, t := range f.clientLog.All() {
		took[t.Outcome] = append(took[t.Outcome], t.Duration)
	}
	for _, outcome := range []client.Outcome{client.Served, client.NotExecuted, client.Unknown} {
		took := took[outcome]
		n := len(took)
		if n == 0 {
			continue
		}
		slices.Sort(took)
		fmt.Fprintf(&b, "%-8s in              median %v, 99%% %v, most %v\n", outcome, took[n/2].Round(100*time.Microsecond), took[n*99/100].Round(100*time.Microsecond), took[n-1].Round(time.Millisecond))
	}
	b.WriteString(f.Checker.Text())
	b.WriteString(f.Checker.Summary() + "\n")
	for i, x := range f.Checker.Violations {
		if i >= 20 {
			break
		}
		fmt.Fprintf(&b, "breach at %.1fs: %s: %s\n", time.Duration(x.At).Seconds(), x.Rule, x.Note)
	}
	return b.String()
}
