package message

import (
	"testing"

	"github.com/shoenig/test/must"
)

// InstanceHash must return the same values in all releases, because cores of different releases
// compare hashes.
func TestInstanceHashHasKnownValues(t *testing.T) {
	for instanceID, want := range map[string]uint64{"": 0xecba3df2c3383c52, "a": 0xed8170de1919a24d, "0123456789abcdef0123456789abcdef": 0x4bf6a0d75a895d6d} {
		must.Eq(t, want, InstanceHash(instanceID), must.Sprint(instanceID))
	}
}
