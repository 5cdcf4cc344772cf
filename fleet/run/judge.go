package run

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/sim/invariant"
	"cottonarch.example/cottonarch/standin/client"
	"cottonarch.example/cottonarch/standin/endpoint"
)

// recoveryWarmUp is the time after the start of the traffic from which the recovery rules measure the
// normal request rate.
const recoveryWarmUp = 2 * time.Second

// checkerOutcomes maps a client's outcome of a request to the checker's outcome.
var checkerOutcomes = map[client.Outcome]invariant.Outcome{
	client.Served:      invariant.Served,
	client.NotExecuted: invariant.NotExecuted,
	client.Unknown:     invariant.Unknown,
	client.Dropped:     invariant.Unknown,
	client.Wrong:       invariant.Unknown,
	client.Abandoned:   invariant.Unknown,
}

// checkRun passes the results of the clients and the executions of the endpoints to the checker, and
// finishes the checker.
func (f *Fleet) checkRun(startedAt, endedAt monotime.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	kindByID := map[string]*client.RequestKind{}
	for _, call := range f.results.All() {
		kindByID[call.ID] = call.RequestKind
		f.checkCall(call)
	}
	for _, execution := range f.executions.All() {
		f.checkExecution(execution, kindByID)
	}
	f.checkAbandoned()
	f.Checker.Finish(startedAt.Add(recoveryWarmUp), endedAt)
}

// atMostOnce reports whether requests of a kind must not be executed more than once.
func atMostOnce(kind *client.RequestKind) bool { return kind != nil && kind.Method != http.MethodGet }

// checkCall passes the result of one client's request to the checker. The caller must hold mu.
func (f *Fleet) checkCall(call client.Result) {
	began := f.sinceStart(call.Start)
	f.Checker.Calls = append(f.Checker.Calls, &invariant.Call{
		ID:         call.ID,
		Service:    call.RequestKind.Service,
		AtMostOnce: atMostOnce(call.RequestKind),
		Began:      began,
		Ended:      f.sinceStart(call.Start.Add(call.Duration)),
		Outcome:    checkerOutcomes[call.Outcome],
		Reason:     call.Detail,
		Complete:   true,
	})
	f.Counts["calls "+string(call.Outcome)]++
	f.countFailure(call)
	if call.Outcome == client.Wrong {
		f.Checker.Violate(began, ruleWrongResponse, "%s got a wrong response: status %d, body %.200s", call.ID, call.Status, call.Detail)
	}
	f.checkDropped(call)
}

// countFailure counts a failed call by the kind of failure in the response. The caller must hold mu.
func (f *Fleet) countFailure(call client.Result) {
	if call.Outcome != client.NotExecuted && call.Outcome != client.Unknown {
		return
	}
	var cause struct {
		Kind failure.Kind `json:"defect"`
	}
	if json.Unmarshal([]byte(call.Detail), &cause) == nil {
		f.Counts["  "+string(call.Outcome)+" "+string(cause.Kind)]++
	}
}

// checkExecution passes one execution of a request to the checker. kindByID holds the kinds of the
// clients' requests by request id. Requests that endpoints send themselves have an id that ends with
// endpoint.ForwardedIDSuffix and go to the service of the first request kind. The caller must hold mu.
func (f *Fleet) checkExecution(execution endpoint.Execution, kindByID map[string]*client.RequestKind) {
	var requested ident.Service
	kind := kindByID[execution.ID]
	switch {
	case kind != nil:
		requested = kind.Service
	case strings.HasSuffix(execution.ID, endpoint.ForwardedIDSuffix):
		requested = f.Deployment.RequestKinds[0].Service
		f.Counts["onward calls run"]++
	default:
		return
	}
	f.Checker.Executed(invariant.Execution{
		ID:               execution.ID,
		Server:           execution.Server,
		Service:          execution.Service,
		RequestedService: requested,
		ArrivedAt:        f.sinceStart(execution.ReceivedAt),
		LeaveConfirmedAt: f.leaveConfirmedAt(execution.Server),
		LossConfirmedAt:  f.lossConfirmedAt(execution.Server, execution.ReceivedAt),
		AtMostOnce:       atMostOnce(kind),
	})
	f.Counts["runs"]++
}

// leaveConfirmedAt returns when the sidecar confirmed that an endpoint leaves, or 0 without a
// confirmation. The caller must hold mu.
func (f *Fleet) leaveConfirmedAt(server ident.Server) monotime.Time {
	if leftAt, left := f.leaveConfirmations[server]; left {
		return f.sinceStart(leftAt)
	}
	return 0
}

// lossConfirmedAt returns the beginning of the endpoint's outage that covers a time, or 0 if no outage
// covers the time. The caller must hold mu.
func (f *Fleet) lossConfirmedAt(server ident.Server, at time.Time) (lostAt monotime.Time) {
	for _, o := range f.endpointOutages[server] {
		if o.covers(at) {
			lostAt = f.sinceStart(o.from)
		}
	}
	return lostAt
}

// checkDropped checks that the client's own sidecar gave a complete response. A dropped request is
// excused only if the sidecar was killed or frozen meanwhile, or if the sidecar had no listener because
// of a planned stop. The caller must hold mu.
func (f *Fleet) checkDropped(call client.Result) {
	if call.Outcome == client.Abandoned {
		return
	}
	if call.Outcome != client.Dropped {
		f.Checker.Observe(ruleDroppedInStop)
		return
	}
	sidecar, _, _ := strings.Cut(call.ID, "-")
	causes := f.outageCauses(sidecar, call.Start, call.Start.Add(call.Duration))
	switch {
	case causes[causeKilled]:
		f.Checker.Excuse(ruleDroppedInStop, causeKilled)
	case causes[causeFrozen]:
		f.Checker.Excuse(ruleDroppedInStop, causeFrozen)
	case causes[causeStopped] && strings.Contains(call.Detail, ": connect: "): // without a connection, the sidecar accepted nothing
		f.Checker.Excuse(ruleDroppedInStop, excuseAfterPlannedStop)
	default:
		f.Checker.Observe(ruleDroppedInStop)
		f.Checker.Violate(f.sinceStart(call.Start), ruleDroppedInStop, "%s got no complete response: %s", call.ID, call.Detail)
	}
}
