package leasetable

import (
	"testing"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/ident"
)

// Guards against a change of the entry hash: cores of different releases compare checksums that
// are computed from these hashes.
func TestLeaseVersionHashIsStable(t *testing.T) {
	for node, want := range map[ident.Node]uint64{"": 0x46a5d0e4b2c8f9c, "a": 0x45cf059b01cb02c, "sidecar-1": 0x2ea84db3349a24da} {
		must.Eq(t, want, leaseVersion{epoch: 1 << 20, seq: 3}.hash(node), must.Sprint(node))
	}
}
