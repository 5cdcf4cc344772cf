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

// judgedFrom is how long after the start the recovery rules begin to look at the traffic.
const judgedFrom = 2 * time.Second

// outcomes maps a client's outcome of a request to the one that the checker judges by.
var outcomes = map[client.Outcome]invariant.Outcome{
	client.Served:      invariant.Served,
	client.NotExecuted: invariant.NotExecuted,
	client.Unknown:     invariant.Unknown,
	client.Dropped:     invariant.Unknown,
	client.Wrong:       invariant.Unknown,
	client.Abandoned:   invariant.Unknown,
}

// judge fills the checker from the logs of the clients and the endpoints, and finishes it.
func (f *Fleet) judge(startedAt, endedAt monotime.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	kinds := map[string]*client.RequestKind{}
	for _, call := range f.clientLog.All() {
		kinds[call.ID] = call.RequestKind
		f.judgeCall(call)
	}
	for _, execution := range f.endpointLog.All() {
		f.judgeExecution(execution, kinds)
	}
	f.judgeLeft()
	f.Checker.Finish(startedAt.Add(judgedFrom), endedAt)
}

// atMostOnce tells whether requests of a kind must not be executed twice.
func atMostOnce(kind *client.RequestKind) bool { return kind != nil && kind.Method != http.MethodGet }

// judgeCall gives the checker the result of one client's request. The caller holds mu.
func (f *Fleet) judgeCall(call client.Result) {
	began := f.sinceStart(call.Start)
	f.Checker.Calls = append(f.Checker.Calls, &invariant.Call{
		ID:         call.ID,
		Service:    call.RequestKind.Service,
		AtMostOnce: atMostOnce(call.RequestKind),
		Began:      began,
		Ended:      f.sinceStart(call.Start.Add(call.Duration)),
		Outcome:    outcomes[call.Outcome],
		Reason:     call.Detail,
		Complete:   true,
	})
	f.Counts["calls "+string(call.Outcome)]++
	f.countFailure(call)
	if call.Outcome == client.Wrong {
		f.Checker.Violate(began, ruleWrongResponse, "%s got %d %.200s", call.ID, call.Status, call.Detail)
	}
	f.judgeDropped(call)
}

// countFailure counts a failed call by the kind of failure that its response named. The
// caller holds mu.
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

// judgeExecution gives the checker one request that an endpoint executed. kinds are those of the clients'
// requests by id. Calls that endpoints make themselves have an id that ends with
// endpoint.ForwardedIDSuffix and go to the first kind's service. The caller holds mu.
func (f *Fleet) judgeExecution(execution endpoint.Execution, kinds map[string]*client.RequestKind) {
	var requested ident.Service
	kind := kinds[execution.ID]
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

// leaveConfirmedAt is when an endpoint's leave was confirmed, 0 if it was not. The caller
// holds mu.
func (f *Fleet) leaveConfirmedAt(server ident.Server) monotime.Time {
	if leftAt, left := f.leftAt[server]; left {
		return f.sinceStart(leftAt)
	}
	return 0
}

// lossConfirmedAt is from when an endpoint counted as lost at an instant, 0 if it did not.
// The caller holds mu.
func (f *Fleet) lossConfirmedAt(server ident.Server, at time.Time) (lostAt monotime.Time) {
	for _, o := range f.endpointOutages[server] {
		if o.covers(at) {
			lostAt = f.sinceStart(o.from)
		}
	}
	return lostAt
}

// judgeDropped judges a request that its own machine's sidecar gave no whole response to. It
// is excused only while that sidecar was killed, frozen or, for one that came after a planned
// stop, had no listener to take it. The caller holds mu.
func (f *Fleet) judgeDropped(call client.Result) {
	if call.Outcome == client.Abandoned {
		return
	}
	if call.Outcome != client.Dropped {
		f.Checker.Observe(ruleDropped)
		return
	}
	sidecar, _, _ := strings.Cut(call.ID, "-")
	causes := f.outageCauses(sidecar, call.Start, call.Start.Add(call.Duration))
	switch {
	case causes[causeKilled]:
		f.Checker.Excuse(ruleDropped, causeKilled)
	case causes[causeFrozen]:
		f.Checker.Excuse(ruleDropped, causeFrozen)
	case causes[causeStopped] && strings.Contains(call.Detail, ": connect: "): // no connection: nothing was taken
		f.Checker.Excuse(ruleDropped, excuseAfterStopping)
	default:
		f.Checker.Observe(ruleDropped)
		f.Checker.Violate(f.sinceStart(call.Start), ruleDropped, "%s was dropped: %s", call.ID, call.Detail)
	}
}
