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
	out := map[string]int{}
	for _, x := range f.Checker.Violations {
		out[x.Rule]++
	}
	return out
}

// judgeCase is what clients and endpoints logged, and the one rule that it violates; none if empty.
type judgeCase struct {
	name, rule string
	record     func(f *Fleet)
}

var (
	readKind  = &client.RequestKind{Name: "balance", Method: http.MethodGet, Service: "accounts.prairie"}
	writeKind = &client.RequestKind{Name: "move", Method: http.MethodPost, Service: "payments.prairie"}
)

// instant is that many seconds after the fleet began.
func instant(f *Fleet, seconds float64) time.Time {
	return f.began.Add(time.Duration(seconds * float64(time.Second)))
}

// recordExecution logs that endpoint e executed a request.
func recordExecution(f *Fleet, id string, service ident.Service, seconds float64) {
	f.endpointLog.Add(endpoint.Execution{ID: id, Server: "e", Service: service, ReceivedAt: instant(f, seconds)})
}

// recordCall logs the result of the request sidecar1-1.
func recordCall(f *Fleet, kind *client.RequestKind, outcome client.Outcome, seconds float64, note string) {
	f.clientLog.Add(client.Result{
		ID:          "sidecar1-1",
		RequestKind: kind,
		Outcome:     outcome,
		Start:       instant(f, seconds),
		Duration:    20 * time.Millisecond,
		Detail:      note,
	})
}

// correctCases violate no rule.
var correctCases = []judgeCase{
	{"served once", "", func(f *Fleet) {
		recordCall(f, writeKind, client.Served, 5, "")
		recordExecution(f, "sidecar1-1", "payments.prairie", 5)
	}},
	{"a safe one twice", "", func(f *Fleet) {
		recordCall(f, readKind, client.Served, 5, "")
		recordExecution(f, "sidecar1-1", "accounts.prairie", 5)
		recordExecution(f, "sidecar1-1", "accounts.prairie", 6)
	}},
	{"dropped by a kill", "", func(f *Fleet) {
		f.processOutages["sidecar1"] = []*outage{{instant(f, 4), instant(f, 6), causeKilled}}
		recordCall(f, writeKind, client.Dropped, 5, "EOF")
	}},
	{"came after a stop", "", func(f *Fleet) {
		f.processOutages["sidecar1"] = []*outage{{instant(f, 4), instant(f, 6), causeStopped}}
		recordCall(f, writeKind, client.Dropped, 5, "dial tcp: connect: connection refused")
	}},
	{"found the listener closing", "", func(f *Fleet) {
		f.processOutages["sidecar1"] = []*outage{{instant(f, 4), instant(f, 6), causeStopped}}
		recordCall(f, writeKind, client.Dropped, 5, "dial tcp: connect: connection reset by peer")
	}},
	{"just after it left", "", func(f *Fleet) {
		f.leftAt["e"] = instant(f, 4)
		recordCall(f, readKind, client.Served, 5, "")
		recordExecution(f, "sidecar1-1", "accounts.prairie", 5)
	}},
}

// droppedCases are requests that their own sidecar dropped without an excuse.
var droppedCases = []judgeCase{
	{"reset once it was taken", "dropped-in-stop", func(f *Fleet) {
		f.processOutages["sidecar1"] = []*outage{{instant(f, 4), instant(f, 6), causeStopped}}
		recordCall(f, writeKind, client.Dropped, 5, "read tcp: read: connection reset by peer")
	}},
	{"refused without a cause", "dropped-in-stop", func(f *Fleet) {
		recordCall(f, writeKind, client.Dropped, 5, "dial tcp: connect: connection refused")
	}},
	{"dropped without a cause", "dropped-in-stop", func(f *Fleet) {
		recordCall(f, readKind, client.Dropped, 5, "EOF")
	}},
	{"dropped long after a kill", "dropped-in-stop", func(f *Fleet) {
		f.processOutages["sidecar1"] = []*outage{{instant(f, 1), instant(f, 2), causeKilled}}
		recordCall(f, readKind, client.Dropped, 5, "EOF")
	}},
	{"taken, and dropped in a stop", "dropped-in-stop", func(f *Fleet) {
		f.processOutages["sidecar1"] = []*outage{{instant(f, 4), instant(f, 6), causeStopped}}
		recordCall(f, readKind, client.Dropped, 5, "unexpected EOF")
	}},
}

// misrunCases are requests that were executed or answered as they must not be.
var misrunCases = []judgeCase{
	{"an unsafe one twice", "double-run", func(f *Fleet) {
		recordCall(f, writeKind, client.Unknown, 5, "")
		recordExecution(f, "sidecar1-1", "payments.prairie", 5)
		recordExecution(f, "sidecar1-1", "payments.prairie", 6)
	}},
	{"not run, and ran", "false-not-run", func(f *Fleet) {
		recordCall(f, writeKind, client.NotExecuted, 5, "")
		recordExecution(f, "sidecar1-1", "payments.prairie", 9)
	}},
	{"run by another service", "wrong-service", func(f *Fleet) {
		recordCall(f, readKind, client.Unknown, 5, "")
		recordExecution(f, "sidecar1-1", "payments.prairie", 5)
	}},
	{"long after it left", "late-to-leaver", func(f *Fleet) {
		f.leftAt["e"] = instant(f, 2)
		recordCall(f, readKind, client.Served, 5, "")
		recordExecution(f, "sidecar1-1", "accounts.prairie", 5)
	}},
	{"long after it was lost", "late-to-leaver", func(f *Fleet) {
		f.endpointOutages["e"] = []*outage{{instant(f, 2), time.Time{}, "hung"}}
		recordCall(f, readKind, client.Served, 5, "")
		recordExecution(f, "sidecar1-1", "accounts.prairie", 5)
	}},
	{"another request's response", "wrong-return", func(f *Fleet) {
		recordCall(f, readKind, client.Wrong, 5, "{}")
		recordExecution(f, "sidecar1-1", "accounts.prairie", 5)
	}},
	{"a response without an execution", "wrong-return", func(f *Fleet) {
		recordCall(f, readKind, client.Served, 5, "")
	}},
}

// Each case is one thing that a faulty mesh would leave in the logs of clients and endpoints:
// the judge names its rule and no other. The correct ones violate none.
func TestJudgeCatchesEachViolation(t *testing.T) {
	for _, c := range slices.Concat(correctCases, droppedCases, misrunCases) {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(Options{Deployment: scenario.Deployments["prairie"]})
			c.record(f)
			f.judge(0, f.sinceStart(instant(f, 20)))
			want := map[string]int{}
			if c.rule != "" {
				want[c.rule] = 1
			}
			must.Eq(t, want, violationsByRule(f), must.Sprint(f.Report()))
		})
	}
}

// A revision that is missing two seconds after the end of what kept it away is a violation,
// and only then.
func TestConfigLateIsCountedFromTheFaultsEnd(t *testing.T) {
	for _, c := range []struct {
		name    string
		outages []*outage     // in seconds from the confirmation, as Unix times
		askedAt time.Duration // of a poll that finds the revision missing
		late    bool
	}{
		{"in time", nil, 1900 * time.Millisecond, false},
		{"late", nil, 2100 * time.Millisecond, true},
		{"cut until now", []*outage{{cause: causeCutOff}}, 9 * time.Second, false},
		{"cut until a second ago", []*outage{{to: time.Unix(8, 0), cause: causeCutOff}}, 9 * time.Second, false},
		{"cut until three seconds ago", []*outage{{to: time.Unix(6, 0), cause: causeCutOff}}, 9 * time.Second, true},
		{"cut only later", []*outage{{from: time.Unix(5, 0), cause: causeCutOff}}, 9 * time.Second, true},
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
			f.judgeRevision("s", 7, base, statusPoll{askedAt: base.Add(c.askedAt), answered: true, revision: 6})
			must.Eq(t, c.late, violationsByRule(f)["manifest-late"] == 1)
		})
	}
}

// A revision that goes back, or too many retries over all nodes, is caught.
func TestCounterTotalsCatchViolations(t *testing.T) {
	for _, retries := range []int64{80, 100} {
		f := newFleet(Options{})
		ct := f.newCounterTotals()
		at := time.Now()
		for i := range 24 {
			for _, sidecar := range []string{"a", "b"} {
				ct.add(sidecar, map[string]int64{"manifest_epoch": 3, "calls.x": int64(i), "further_tries.x": retries / 2 * int64(i) / 23})
			}
			ct.judge(at.Add(time.Duration(i) * 500 * time.Millisecond))
		}
		must.Eq(t, retries > 90, violationsByRule(f)["further-tries"] > 0, must.Sprint(retries))
		must.Eq(t, 0, violationsByRule(f)["manifest-back"])
		ct.add("a", map[string]int64{"manifest_epoch": 2})
		must.Eq(t, 1, violationsByRule(f)["manifest-back"])
	}
}

// A core that keeps none of its guarantees: everybody gets every lock, numbers repeat, keys
// show old revisions, positions of watches are forgotten, any configuration is confirmed
// under one revision. The fleet's clients catch each.
func TestClientsCatchAFaultyCore(t *testing.T) {
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
	stop() // nobody holds a lock for long
	for i := range 12 {
		f.clients.useLock(ctx, fmt.Sprint("app", i))
		f.clients.takeNumber()
		f.clients.useKey()
	}
	watching, end := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer end()
	f.clients.followKeys(watching)
	f.proposeAndJudge(ctx, proposal{config: f.newConfig("bad"), method: "PUT", marker: "bad", mustFail: true})
	f.proposeAndJudge(ctx, proposal{config: f.newConfig("again"), method: "PUT", marker: "again"})
	got := violationsByRule(f)
	for _, rule := range []string{"lock-shared", "number-repeated", "stale-read", "watch-forgotten", "manifest-turned"} {
		must.Positive(t, got[rule], must.Sprint(rule, got))
	}
}

// A loss after which less than a quarter of the normal rate is served 15 s later is caught;
// one after which more is served is not.
func TestJudgeCatchesASlowRecovery(t *testing.T) {
	kind := &client.RequestKind{Name: "balance", Method: "GET", Service: "accounts.prairie"}
	for _, after := range []int{1, 5} { // calls a second after the loss, of ten before
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
				at := f.began.Add(time.Duration(s)*time.Second + time.Duration(i)*time.Second/time.Duration(rate))
				f.clientLog.Add(client.Result{ID: id, RequestKind: kind, Outcome: client.Served, Start: at, Duration: time.Millisecond})
				f.endpointLog.Add(endpoint.Execution{ID: id, Server: "e", Service: "accounts.prairie", ReceivedAt: at})
			}
		}
		f.Checker.Outages = []invariant.Outage{
			{At: f.sinceStart(instant(f, 20)), Name: "herd"},
			{At: f.sinceStart(instant(f, 50)), Name: "late"},
		}
		f.judge(0, f.sinceStart(instant(f, 60)))
		must.Eq(t, after == 1, violationsByRule(f)["slow-recovery"] == 1, must.Sprint(f.Report()))
		must.Eq(t, 1, f.Checker.Excused["slow-recovery"]["the day ended"])
	}
}

// Work for clients that left: a few requests sent on late and a few runs that go on are borne; more are
// not, unless a sidecar on their way was out.
func TestJudgeCatchesWorkForClientsThatLeft(t *testing.T) {
	const clients, leftAt = 20, 1.0
	for _, c := range []struct {
		name      string
		kind      *client.RequestKind
		arrivesAt func(n int) float64 // of request n
		endsAt    func(n int) float64
		out       bool // the caller's sidecar is killed meanwhile
		violated  bool
	}{
		{"all end at once", readKind, func(int) float64 { return 0.5 }, func(int) float64 { return 1.1 }, false, false},
		{"a quarter goes on", readKind, func(int) float64 { return 0.5 }, func(n int) float64 { return 1.1 + float64(n%4/3) }, false, false},
		{"half go on", readKind, func(int) float64 { return 0.5 }, func(n int) float64 { return 1.1 + float64(n%2) }, false, true},
		{"half go on, their sidecar is killed", readKind, func(int) float64 { return 0.5 }, func(n int) float64 { return 1.1 + float64(n%2) }, true, false},
		{"runs that can't be repeated go on", writeKind, func(int) float64 { return 0.5 }, func(int) float64 { return 3 }, false, false},
		{"three are sent on", readKind, func(n int) float64 { return 0.5 + 1.5*float64(n/17) }, func(int) float64 { return 1.1 }, false, false},
		{"four are sent on", writeKind, func(n int) float64 { return 0.5 + 1.5*float64(n/16) }, func(int) float64 { return 1.1 }, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(Options{Deployment: scenario.Deployments["prairie"]})
			for n := range clients {
				id := fmt.Sprint("sidecar1-", n)
				f.clientLog.Add(client.Result{ID: id, RequestKind: c.kind, Outcome: client.Abandoned, Start: instant(f, 0), Duration: time.Second})
				execution := endpoint.Execution{ID: id, Server: "e", Service: c.kind.Service, WorkTime: 3 * time.Second}
				execution.ReceivedAt, execution.EndedAt = instant(f, c.arrivesAt(n)), instant(f, c.endsAt(n))
				f.endpointLog.Add(execution)
			}
			if c.out {
				f.processOutages["sidecar1"] = []*outage{{from: instant(f, leftAt-0.2), to: instant(f, leftAt+0.2), cause: causeKilled}}
			}
			f.judge(0, f.now())
			must.Eq(t, c.violated, violationsByRule(f)[ruleWorkForLeft] > 0, must.Sprint(f.Counts))
			must.Eq(t, c.out, f.Checker.Observed[ruleWorkForLeft] == 0)
		})
	}
}
