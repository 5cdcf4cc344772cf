package holder

import (
	"testing"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/ident"
)

// The weights determine which core each sidecar prefers, and must not change between releases.
func TestRendezvousWeightHasKnownValues(t *testing.T) {
	for core, want := range map[ident.Addr]uint64{"": 0xbd1ce8919a1c0650, "127.0.0.1:7000": 0xa917b338e1f489d9, "127.0.0.1:7001": 0x2a47862f190ed5ef} {
		must.Eq(t, want, RendezvousWeight("sidecar-1", core), must.Sprint(core))
	}
}
