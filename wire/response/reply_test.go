package response

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/failure"
)

// notExecutedStatuses are the statuses by which a caller is told that its request never runs.
var notExecutedStatuses = map[int]bool{http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true, http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true}

// Whatever the kind of a failure: a failure of the mesh's own that is proved not to have run
// is told by a promise, and no other failure is.
func TestNotExecutedIsSaidOnlyWhenProved(t *testing.T) {
	kinds := []failure.Kind{"a kind of a later release", failure.Malformed, failure.Invalid, failure.Oversize, failure.Conflict, failure.NoRoute, failure.NoWorkload, failure.Busy, failure.DeadlineExceeded, failure.EndpointRejected,
		failure.Unreachable, failure.BadResponse, failure.LostResponse, failure.NoMajority, failure.UnknownOutcome, failure.NotFound, failure.LockHeld, failure.NotHolder, failure.Compacted, failure.Stopping,
		failure.NotReady, failure.Damaged, failure.DiskFailed, failure.BadSettings, failure.NotPermitted, failure.Internal, failure.Exhausted}
	for _, kind := range kinds {
		for _, outcome := range []failure.Outcome{failure.NotExecuted, failure.OutcomeUnknown, failure.Executed, ""} {
			w := httptest.NewRecorder()
			WriteErrorFractional(w, &failure.Error{Kind: kind, Outcome: outcome})
			context := must.Sprintf("%s, fate %q: %d", kind, outcome, w.Code)
			must.Eq(t, string(outcome), w.Header().Get(OutcomeHeader), context)
			if outcome == failure.NotExecuted {
				must.True(t, w.Code < 500 || w.Code == http.StatusServiceUnavailable, context)
			} else {
				must.False(t, notExecutedStatuses[w.Code], context)
			}
		}
	}
}
