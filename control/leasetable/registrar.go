package leasetable

import (
	"fmt"
	"hash/fnv"

	"cottonarch.example/cottonarch/base/hashing"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
)

// leaseVersion identifies the newest report that a registrar has received from one sidecar.
type leaseVersion struct {
	epoch ident.LeaseEpoch
	seq   uint64
}

// hash returns the hash of one entry of a registrar's list. Cores of different releases compare
// checksums that combine these hashes, so the hashed text must not change.
func (v leaseVersion) hash(node ident.Node) uint64 {
	hash := fnv.New64a()
	_, _ = fmt.Fprintf(hash, "%s\x00%d\x00%d", node, v.epoch, v.seq)
	return hashing.Mix(hash.Sum64())
}

// registrar is the list of one registrar: the sidecars that renew their leases at one core.
// Invariants: checksum is the XOR of the hashes of the list's entries, with which two cores compare
// their copies of the list; lastHeard is the time at which the list was last confirmed to be
// current.
type registrar struct {
	leases    map[ident.Node]leaseVersion
	checksum  uint64
	lastHeard monotime.Time
}

func newRegistrar() *registrar { return &registrar{leases: map[ident.Node]leaseVersion{}} }

func (r *registrar) add(node ident.Node, version leaseVersion) {
	r.remove(node)
	r.leases[node] = version
	r.checksum ^= version.hash(node)
}

func (r *registrar) remove(node ident.Node) {
	if version, ok := r.leases[node]; ok {
		r.checksum ^= version.hash(node)
		delete(r.leases, node)
	}
}

// contains reports whether the list contains a sidecar.
func (r *registrar) contains(node ident.Node) bool {
	_, ok := r.leases[node]
	return ok
}

// keepsAlive reports whether the list was confirmed within LeaseTTL and contains the sidecar with
// the given lease epoch.
func (r *registrar) keepsAlive(now monotime.Time, node ident.Node, leaseEpoch ident.LeaseEpoch) bool {
	version, ok := r.leases[node]
	return ok && version.epoch == leaseEpoch && now.Since(r.lastHeard) <= LeaseTTL
}
