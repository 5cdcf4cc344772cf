package mesh

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A lone change goes out soon; changes that follow one another closely are gathered for
// longer, but never a manifest.
func TestChangesInQuickSuccessionAreGathered(t *testing.T) {
	must.Eq(t, gather, gathering(time.Second, false))
	must.Eq(t, gather, gathering(toldLately, false))
	must.Eq(t, gatherMore, gathering(0, false))
	must.Eq(t, gatherMore, gathering(toldLately-1, false))
	must.Eq(t, gather, gathering(0, true))
}
