package hashing

import (
	"testing"

	"github.com/shoenig/test/must"
)

// Finalize returns the published values of MurmurHash3's fmix64. The values of Finalize and Mix
// must not change, because other processes and stored data depend on them.
func TestKnownValues(t *testing.T) {
	for x, want := range map[uint64]uint64{0: 0, 1: 0xb456bcfc34c2cb2c, 2: 0x3abf2a20650683e7} {
		must.Eq(t, want, Finalize(x))
	}
	for x, want := range map[uint64]uint64{0: 0, 1: 0xff51afd792fd5b26} {
		must.Eq(t, want, Mix(x))
	}
}
