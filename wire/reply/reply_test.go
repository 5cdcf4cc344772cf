package reply

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/kernel/defect"
)

// promises are the statuses by which a caller is told that its request never runs.
var promises = map[int]bool{http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true, http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true}

// Whatever the kind of a defect: a failure of the mesh's own that is proved not to have run
// is told by a promise, and no other failure is.
func TestFinePromisesWhatIsProved(t *testing.T) {
	kinds := []defect.Kind{"a kind of a later release", defect.Malformed, defect.Invalid, defect.Oversize, defect.Conflict, defect.NoWay, defect.NoWorkload, defect.Busy, defect.Late, defect.Gate,
		defect.Unreached, defect.BadReturn, defect.LostReturn, defect.NoMajority, defect.Unknown, defect.Missing, defect.Held, defect.NotHolder, defect.Forgotten, defect.Stopping,
		defect.NotReady, defect.Damaged, defect.DiskFailed, defect.BadBoot, defect.NotPermitted, defect.Internal, defect.Full}
	for _, kind := range kinds {
		for _, fate := range []defect.Fate{defect.FateNo, defect.FateUnknown, defect.FateYes, ""} {
			w := httptest.NewRecorder()
			Fine(w, &defect.Defect{Kind: kind, Fate: fate})
			say := must.Sprintf("%s, fate %q: %d", kind, fate, w.Code)
			must.Eq(t, string(fate), w.Header().Get(FateHeader), say)
			if fate == defect.FateNo {
				must.True(t, w.Code < 500 || w.Code == http.StatusServiceUnavailable, say)
			} else {
				must.False(t, promises[w.Code], say)
			}
		}
	}
}
