package response

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/failure"
)

// notExecutedStatuses are the statuses that a client takes as proof that its request was not
// executed.
var notExecutedStatuses = map[int]bool{
	http.StatusRequestTimeout:     true,
	http.StatusMisdirectedRequest: true,
	http.StatusTooManyRequests:    true,
	http.StatusServiceUnavailable: true,
}

// For every kind of failure, the status is a 4xx or 503 if the request was not executed, and
// otherwise no status that a client takes as proof that the request was not executed.
func TestStatusMatchesNotExecutedOutcome(t *testing.T) {
	kinds := []failure.Kind{"a kind of a later release", failure.Malformed, failure.Invalid, failure.Oversize, failure.Conflict, failure.NoRoute, failure.NoEndpoint, failure.Busy, failure.DeadlineExceeded, failure.EndpointRejected,
		failure.Unreachable, failure.BadResponse, failure.LostResponse, failure.NoMajority, failure.UnknownOutcome, failure.NotFound, failure.LockHeld, failure.NotHolder, failure.Compacted, failure.Stopping,
		failure.NotReady, failure.Corrupted, failure.DiskFailed, failure.BadSettings, failure.MethodNotAllowed, failure.Internal, failure.Exhausted}
	for _, kind := range kinds {
		for _, outcome := range []failure.Outcome{failure.NotExecuted, failure.OutcomeUnknown, failure.Executed, ""} {
			w := httptest.NewRecorder()
			WriteErrorFractional(w, &failure.Error{Kind: kind, Outcome: outcome})
			detail := must.Sprintf("%s, outcome %q: %d", kind, outcome, w.Code)
			must.Eq(t, string(outcome), w.Header().Get(OutcomeHeader), detail)
			if outcome == failure.NotExecuted {
				must.True(t, w.Code < 500 || w.Code == http.StatusServiceUnavailable, detail)
			} else {
				must.False(t, notExecutedStatuses[w.Code], detail)
			}
		}
	}
}
