package run

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/fleet/process"
	"cottonarch.example/cottonarch/sim/invariant"
	"cottonarch.example/cottonarch/sim/scenario"
	"cottonarch.example/cottonarch/standin/client"
	"cottonarch.example/cottonarch/standin/endpoint"
)

func violationsByRule(f *Fleet) map[string]int {
	counts := map[string]int{}
	for _, violation := range f.Checker.Violations {
		counts[violation.Rule]++
	}
	return counts
}

// checkCase holds the logs of clients and endpoints, and the only rule that the logs violate; an empty
// rule means no violation.
type checkCase struct {
	name, rule string
	record     func(f *Fleet)
}

var (
	readKind  = &client.RequestKind{Name: "balance", Method: http.MethodGet, Service: "accounts.prairie"}
	writeKind = &client.RequestKind{Name: "move", Method: http.MethodPost, Service: "payments.prairie"}
)

// instant returns the time that many seconds after the creation of the fleet.
func instant(f *Fleet, seconds float64) time.Time {
	return f.createdAt.Add(time.Duration(seconds * float64(time.Second)))
}

// recordExecution logs an execution of a request by endpoint e.
func recordExecution(f *Fleet, id string, service ident.Service, seconds float64) {
	f.executions.Add(endpoint.Execution{ID: id, Server: "e", Service: service, ReceivedAt: instant(f, seconds)})
}

// recordCall logs the result of the request sidecar1-1.
func recordCall(f *Fleet, kind *client.RequestKind, outcome client.Outcome, seconds float64, detail string) {
	f.results.Add(client.Result{
		ID:          "sidecar1-1",
		RequestKind: kind,
		Outcome:     outcome,
		Start:       instant(f, seconds),
		Duration:    20 * time.Millisecond,
		Detail:      detail,
	})
}

// validCases violate no rule.
var validCases = []checkCase{
	{"served and executed once", "", func(f *Fleet) {
		recordCall(f, writeKind, client.Served, 5, "")
		recordExecution(f, "sidecar1-1", "payments.prairie", 5)
	}},
	{"safe request executed twice", "", func(f *Fleet) {
		recordCall(f, readKind, client.Served, 5, "")
		recordExecution(f, "sidecar1-1", "accounts.prairie", 5)
		recordExecution(f, "sidecar1-1", "accounts.prairie", 6)
	}},
	{"dropped while the sidecar is killed", "", func(f *Fleet) {
		f.processOutages["sidecar1"] = []*outage{{instant(f, 4), instant(f, 6), causeKilled}}
		recordCall(f, writeKind, client.Dropped, 5, "EOF")
	}},
	{"connection refused during a planned stop", "", func(f *Fleet) {
		f.processOutages["sidecar1"] = []*outage{{instant(f, 4), instant(f, 6), causeStopped}}
		recordCall(f, writeKind, client.Dropped, 5, "dial tcp: connect: connection refused")
	}},
	{"connection reset by the closing listener during a planned stop", "", func(f *Fleet) {
		f.processOutages["sidecar1"] = []*outage{{instant(f, 4), instant(f, 6), causeStopped}}
		recordCall(f, writeKind, client.Dropped, 5, "dial tcp: connect: connection reset by peer")
	}},
	{"executed just after the endpoint left", "", func(f *Fleet) {
		f.leaveConfirmations["e"] = instant(f, 4)
		recordCall(f, readKind, client.Served, 5, "")
		recordExecution(f, "sidecar1-1", "accounts.prairie", 5)
	}},
}

// droppedCases are requests that the client's own sidecar dropped without an excuse.
var droppedCases = []checkCase{
	{"connection reset after the request was accepted", "dropped-in-stop", func(f *Fleet) {
		f.processOutages["sidecar1"] = []*outage{{instant(f, 4), instant(f, 6), causeStopped}}
		recordCall(f, writeKind, client.Dropped, 5, "read tcp: read: connection reset by peer")
	}},
	{"connection refused without an outage", "dropped-in-stop", func(f *Fleet) {
		recordCall(f, writeKind, client.Dropped, 5, "dial tcp: connect: connection refused")
	}},
	{"dropped without an outage", "dropped-in-stop", func(f *Fleet) {
		recordCall(f, readKind, client.Dropped, 5, "EOF")
	}},
	{"dropped long after a kill", "dropped-in-stop", func(f *Fleet) {
		f.processOutages["sidecar1"] = []*outage{{instant(f, 1), instant(f, 2), causeKilled}}
		recordCall(f, readKind, client.Dropped, 5, "EOF")
	}},
	{"accepted and dropped during a planned stop", "dropped-in-stop", func(f *Fleet) {
		f.processOutages["sidecar1"] = []*outage{{instant(f, 4), instant(f, 6), causeStopped}}
		recordCall(f, readKind, client.Dropped, 5, "unexpected EOF")
	}},
}

// executionCases are requests that were executed or answered incorrectly.
var executionCases = []checkCase{
	{"unsafe request executed twice", "double-run", func(f *Fleet) {
		recordCall(f, writeKind, client.Unknown, 5, "")
		recordExecution(f, "sidecar1-1", "payments.prairie", 5)
		recordExecution(f, "sidecar1-1", "payments.prairie", 6)
	}},
	{"reported as not executed, but executed", "false-not-run", func(f *Fleet) {
		recordCall(f, writeKind, client.NotExecuted, 5, "")
		recordExecution(f, "sidecar1-1", "payments.prairie", 9)
	}},
	{"executed by another service", "wrong-service", func(f *Fleet) {
		recordCall(f, readKind, client.Unknown, 5, "")
		recordExecution(f, "sidecar1-1", "payments.prairie", 5)
	}},
	{"executed long after the endpoint left", "late-to-leaver", func(f *Fleet) {
		f.leaveConfirmations["e"] = instant(f, 2)
		recordCall(f, readKind, client.Served, 5, "")
		recordExecution(f, "sidecar1-1", "accounts.prairie", 5)
	}},
	{"executed long after the endpoint was lost", "late-to-leaver", func(f *Fleet) {
		f.endpointOutages["e"] = []*outage{{instant(f, 2), time.Time{}, "hung"}}
		recordCall(f, readKind, client.Served, 5, "")
		recordExecution(f, "sidecar1-1", "accounts.prairie", 5)
	}},
	{"response of another request", "wrong-return", func(f *Fleet) {
		recordCall(f, readKind, client.Wrong, 5, "{}")
		recordExecution(f, "sidecar1-1", "accounts.prairie", 5)
	}},
	{"response without an execution", "wrong-return", func(f *Fleet) {
		recordCall(f, readKind, client.Served, 5, "")
	}},
}

// Each case holds the logs of one fault of a mesh. The checker reports the violated rule and no other
// rule, and reports no violation for the valid cases.
func TestCheckerDetectsEachViolation(t *testing.T) {
	for _, c := range slices.Concat(validCases, droppedCases, executionCases) {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(Options{Deployment: scenario.Deployments["prairie"]})
			c.record(f)
			f.checkRun(0, f.sinceStart(instant(f, 20)))
			want := map[string]int{}
			if c.rule != "" {
				want[c.rule] = 1
			}
			must.Eq(t, want, violationsByRule(f), must.Sprint(f.Report()))
		})
	}
}

// A revision that a sidecar has not applied two seconds after the end of an outage of the sidecar is a
// violation. Before that time, or during the outage, a missing revision is no violation.
func TestConfigDeadlineStartsAtOutageEnd(t *testing.T) {
	for _, c := range []struct {
		name    string
		outages []*outage     // seconds since the confirmation, as Unix times
		askedAt time.Duration // time of a poll that returns an older revision
		late    bool
	}{
		{"within the deadline", nil, 1900 * time.Millisecond, false},
		{"after the deadline", nil, 2100 * time.Millisecond, true},
		{"outage is ongoing", []*outage{{cause: causeCutOff}}, 9 * time.Second, false},
		{"outage ended one second ago", []*outage{{to: time.Unix(8, 0), cause: causeCutOff}}, 9 * time.Second, false},
		{"outage ended three seconds ago", []*outage{{to: time.Unix(6, 0), cause: causeCutOff}}, 9 * time.Second, true},
		{"outage began after the deadline", []*outage{{from: time.Unix(5, 0), cause: causeCutOff}}, 9 * time.Second, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(Options{})
			base := time.Now().Add(-10 * time.Second)
			for _, o := range c.outages {
				from := base
				if !o.from.IsZero() {
					from = base.Add(time.Duration(o.from.Unix()) * time.Second)
				}
				to := time.Time{}
				if !o.to.IsZero() {
					to = base.Add(time.Duration(o.to.Unix()) * time.Second)
				}
				f.processOutages["s"] = append(f.processOutages["s"], &outage{from, to, o.cause})
			}
			f.checkPoll("s", 7, base, statusPoll{sentAt: base.Add(c.askedAt), responded: true, revision: 6})
			must.Eq(t, c.late, violationsByRule(f)["manifest-late"] == 1)
		})
	}
}

// The checks detect a revision that decreases and too many retries over all nodes.
func TestCounterTotalsDetectViolations(t *testing.T) {
	for _, retries := range []int64{80, 100} {
		f := newFleet(Options{})
		ct := f.newCounterTotals()
		at := time.Now()
		for i := range 24 {
			for _, sidecar := range []string{"a", "b"} {
				ct.add(sidecar, map[string]int64{"manifest_epoch": 3, "calls.x": int64(i), "further_tries.x": retries / 2 * int64(i) / 23})
			}
			ct.checkRetries(at.Add(time.Duration(i) * 500 * time.Millisecond))
		}
		must.Eq(t, retries > 90, violationsByRule(f)["further-tries"] > 0, must.Sprint(retries))
		must.Eq(t, 0, violationsByRule(f)["manifest-back"])
		ct.add("a", map[string]int64{"manifest_epoch": 2})
		must.Eq(t, 1, violationsByRule(f)["manifest-back"])
	}
}

// The core of this test breaks all guarantees: every client gets every lock, sequence numbers repeat,
// keys return old revisions, watch positions are compacted immediately, and every configuration is
// confirmed with the same revision. The fleet's clients must detect each violation.
func TestClientsDetectFaultyCore(t *testing.T) {
	var keys atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		respond := func(code int, v any) {
			w.WriteHeader(code)
			_ = json.NewEncoder(w).Encode(v)
		}
		switch {
		case strings.HasSuffix(r.URL.Path, "/claim"):
			respond(200, map[string]any{"fence": 1})
		case strings.HasPrefix(r.URL.Path, "/numbers"):
			respond(200, map[string]any{"number": 5})
		case strings.HasPrefix(r.URL.Path, "/keys"):
			respond(200, map[string]any{"revision": 90 - keys.Add(1), "value": fmt.Sprint(keys.Load())})
		case strings.HasPrefix(r.URL.Path, "/watch"):
			respond(410, map[string]any{"defect": "forgotten"})
		case r.URL.Path == "/manifest":
			respond(200, map[string]any{"epoch": 1})
		default:
			respond(200, map[string]any{})
		}
	}))
	defer srv.Close()
	d := scenario.Deployments["prairie"]
	d.Locks, d.Keys = 1, 1
	f := newFleet(Options{Deployment: d, Scale: 1})
	f.Cores = []*process.Process{{Name: "core1", ListenAddr: srv.Listener.Addr().String()}}
	f.clients = newCoordinationClients(f)
	ctx, stop := context.WithCancel(context.Background())
	stop() // with an ended context, clients release locks immediately
	for i := range 12 {
		f.clients.acquireLock(ctx, fmt.Sprint("app", i))
		f.clients.nextNumber()
		f.clients.readOrWriteKey()
	}
	watching, end := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer end()
	f.clients.watchKeys(watching)
	f.proposeAndCheck(ctx, proposal{config: f.newConfig("bad"), method: "PUT", marker: "bad", mustFail: true})
	f.proposeAndCheck(ctx, proposal{config: f.newConfig("again"), method: "PUT", marker: "again"})
	got := violationsByRule(f)
	for _, rule := range []string{"lock-shared", "number-repeated", "stale-read", "watch-forgotten", "manifest-turned"} {
		must.Positive(t, got[rule], must.Sprint(rule, got))
	}
}

// An outage is a violation if less than a quarter of the normal rate is served 15 s later, and is no
// violation if more is served. An outage too close to the end of the run is excused.
func TestCheckerDetectsSlowRecovery(t *testing.T) {
	kind := &client.RequestKind{Name: "balance", Method: "GET", Service: "accounts.prairie"}
	for _, after := range []int{1, 5} { // calls per second after the outage; ten before
		f := newFleet(Options{Deployment: scenario.Deployments["prairie"]})
		n := 0
		for s := range 60 {
			rate := 10
			if s >= 20 {
				rate = after
			}
			for i := range rate {
				n++
				id := fmt.Sprint("sidecar1-", n)
				at := f.createdAt.Add(time.Duration(s)*time.Second + time.Duration(i)*time.Second/time.Duration(rate))
				f.results.Add(client.Result{ID: id, RequestKind: kind, Outcome: client.Served, Start: at, Duration: time.Millisecond})
				f.executions.Add(endpoint.Execution{ID: id, Server: "e", Service: "accounts.prairie", ReceivedAt: at})
			}
		}
		f.Checker.Outages = []invariant.Outage{
			{At: f.sinceStart(instant(f, 20)), Name: "herd"},
			{At: f.sinceStart(instant(f, 50)), Name: "late"},
		}
		f.checkRun(0, f.sinceStart(instant(f, 60)))
		must.Eq(t, after == 1, violationsByRule(f)["slow-recovery"] == 1, must.Sprint(f.Report()))
		must.Eq(t, 1, f.Checker.Excused["slow-recovery"]["the day ended"])
	}
}

// A few abandoned requests may reach an endpoint late, and a few of their executions may continue. More
// of either is a violation, unless a sidecar on the requests' path had an outage.
func TestCheckerDetectsWorkForAbandonedRequests(t *testing.T) {
	const clients, abandonedAt = 20, 1.0
	for _, c := range []struct {
		name          string
		kind          *client.RequestKind
		arrivesAt     func(n int) float64 // arrival of request n at the endpoint
		endsAt        func(n int) float64
		sidecarKilled bool // the sidecar of the clients is killed when the clients abandon
		violated      bool
	}{
		{"all executions end at once", readKind, func(int) float64 { return 0.5 }, func(int) float64 { return 1.1 }, false, false},
		{"a quarter of the executions continues", readKind, func(int) float64 { return 0.5 }, func(n int) float64 { return 1.1 + float64(n%4/3) }, false, false},
		{"half of the executions continue", readKind, func(int) float64 { return 0.5 }, func(n int) float64 { return 1.1 + float64(n%2) }, false, true},
		{"half of the executions continue, sidecar killed", readKind, func(int) float64 { return 0.5 }, func(n int) float64 { return 1.1 + float64(n%2) }, true, false},
		{"executions that must not be repeated continue", writeKind, func(int) float64 { return 0.5 }, func(int) float64 { return 3 }, false, false},
		{"three requests arrive late", readKind, func(n int) float64 { return 0.5 + 1.5*float64(n/17) }, func(int) float64 { return 1.1 }, false, false},
		{"four requests arrive late", writeKind, func(n int) float64 { return 0.5 + 1.5*float64(n/16) }, func(int) float64 { return 1.1 }, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(Options{Deployment: scenario.Deployments["prairie"]})
			for n := range clients {
				id := fmt.Sprint("sidecar1-", n)
				f.results.Add(client.Result{ID: id, RequestKind: c.kind, Outcome: client.Abandoned, Start: instant(f, 0), Duration: time.Second})
				execution := endpoint.Execution{ID: id, Server: "e", Service: c.kind.Service, WorkTime: 3 * time.Second}
				execution.ReceivedAt, execution.EndedAt = instant(f, c.arrivesAt(n)), instant(f, c.endsAt(n))
				f.executions.Add(execution)
			}
			if c.sidecarKilled {
				f.processOutages["sidecar1"] = []*outage{{from: instant(f, abandonedAt-0.2), to: instant(f, abandonedAt+0.2), cause: causeKilled}}
			}
			f.checkRun(0, f.now())
			must.Eq(t, c.violated, violationsByRule(f)[ruleAbandonedWork] > 0, must.Sprint(f.Counts))
			must.Eq(t, c.sidecarKilled, f.Checker.Observed[ruleAbandonedWork] == 0)
		})
	}
}
