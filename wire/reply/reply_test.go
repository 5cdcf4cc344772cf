package reply

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/kernel/failure"
)

// promises are the statuses by which a caller is told that its request never runs.
var promises = map[int]bool{http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true, http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true}

// Whatever the kind of a failure: a failure of the mesh's own that is proved not to have run
// is told by a promise, and no other failure is.
func TestFinePromisesWhatIsProved(t *testing.T) {
	kinds := []failure.Kind{"a kind of a later release", failure.Malformed, failure.Invalid, failure.Oversize, failure.Conflict, failure.NoRoute, failure.NoWorkload, failure.Busy, failure.Late, failure.Gate,
		failure.Unreached, failure.BadResponse, failure.LostResponse, failure.NoMajority, failure.UnknownOutcome, failure.Missing, failure.Held, failure.NotHolder, failure.Forgotten, failure.Stopping,
		failure.NotReady, failure.Damaged, failure.DiskFailed, failure.BadSettings, failure.NotPermitted, failure.Internal, failure.Full}
	for _, kind := range kinds {
		for _, fate := range []failure.Outcome{failure.NotExecuted, failure.OutcomeUnknown, failure.Executed, ""} {
			w := httptest.NewRecorder()
			Fine(w, &failure.Error{Kind: kind, Outcome: fate})
			say := must.Sprintf("%s, fate %q: %d", kind, fate, w.Code)
			must.Eq(t, string(fate), w.Header().Get(FateHeader), say)
			if fate == failure.NotExecuted {
				must.True(t, w.Code < 500 || w.Code == http.StatusServiceUnavailable, say)
			} else {
				must.False(t, promises[w.Code], say)
			}
		}
	}
}
