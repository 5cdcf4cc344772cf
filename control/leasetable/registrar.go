package leasetable

import (
	"fmt"
	"hash/fnv"

	"cottonarch.example/cottonarch/base/hashing"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
)

// leaseVersion identifies the newest report that a registrar has of one sidecar.
type leaseVersion struct {
	epoch ident.LeaseEpoch
	seq   uint64
}

// hash is the hash of an entry of a registrar's list.
func (v leaseVersion) hash(node ident.Node) uint64 {
	hash := fnv.New64a()
	_, _ = fmt.Fprintf(hash, "%s\x00%d\x00%d", node, v.epoch, v.seq)
	return hashing.Mix(hash.Sum64())
}

// registrar is one core with the list of the sidecars that renew at it. Invariants: sum is the
// exclusive or of the hashes of the list's entries, by which two cores compare their copies of it;
// lastHeard is when the list was last confirmed to be current.
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

// has reports whether a sidecar is on the list.
func (r *registrar) has(node ident.Node) bool {
	_, ok := r.leases[node]
	return ok
}

// keepsAlive reports whether the list was confirmed within LeaseTTL and holds the sidecar under
// that lease.
func (r *registrar) keepsAlive(now monotime.Time, node ident.Node, leaseEpoch ident.LeaseEpoch) bool {
	version, ok := r.leases[node]
	return ok && version.epoch == leaseEpoch && now.Since(r.lastHeard) <= LeaseTTL
}
