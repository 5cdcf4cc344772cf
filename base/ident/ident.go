// Package ident defines distinct types for the identifiers and counters of the mesh, so that the
// compiler rejects a disk used as a node or a lease epoch used as a configuration revision.
package ident

import (
	"crypto/rand"
	"encoding/hex"
	"hash/fnv"
	"net"
	"net/netip"
	"strings"

	"cottonarch.example/cottonarch/base/hashing"
)

// Disk identifies a data folder for the lifetime of the folder. Invariant: a folder that was emptied
// gets a new Disk, and no two folders have the same Disk.
type Disk string

// Addr is the address of a process, "ip:port". Invariant: an Addr is never a host name that needs
// to be resolved.
type Addr string

// DialSource returns the local address from which a process at a opens connections: the same IP, any
// port. It returns nil if a is not of the form ip:port.
func (a Addr) DialSource() net.Addr {
	addrPort, err := netip.ParseAddrPort(string(a))
	if err != nil {
		return nil
	}
	return net.TCPAddrFromAddrPort(netip.AddrPortFrom(addrPort.Addr(), 0))
}

// Node identifies a sidecar. A Node stays the same across restarts of the sidecar.
type Node string

// Server identifies one run of an endpoint (the endpoint's serverId).
type Server string

// Service is the host name of a service.
type Service string

// Zone is a failure zone.
type Zone string

// LeaseEpoch numbers the leases of sidecars. Invariant: lease epochs only increase.
type LeaseEpoch uint64

// MembershipEpoch numbers the memberships, the lists of voting disks. Invariant: the epoch
// increases by one from each membership to the next.
type MembershipEpoch uint64

// BallotEpoch numbers the terms of proposers. Invariant: ballot epochs only increase.
type BallotEpoch uint64

// ConfigRevision is a revision of the configuration: the Revision of the control key that holds the
// configuration. Invariant: configuration revisions only increase.
type ConfigRevision uint64

// Revision counts the changes of one control key. Invariant: the revision increases by one with each
// change and never restarts, not even when the key is deleted.
type Revision uint64

// OperationID identifies an operation of a client, so that repeats of the operation take effect only
// once.
type OperationID string

// Key is a control key, under which the cores replicate one value.
type Key string

// HasPrefix reports whether the key begins with prefix.
func (k Key) HasPrefix(prefix string) bool { return strings.HasPrefix(string(k), prefix) }

// Ballot is a Paxos ballot number, which orders the terms of one key. Invariant: Proposer holds the
// instance ID of the process, so that a restarted proposer never reuses a ballot.
type Ballot struct {
	Epoch    BallotEpoch `json:"e"`
	Proposer string      `json:"o,omitempty"`
}

// Zero reports whether b is the ballot before every term. The method is not named IsZero, because
// encoding/json would then apply a different rule for omitting the ballot.
func (b Ballot) Zero() bool { return b.Epoch == 0 }

// Less reports whether b is lower than other in the total order of ballots.
func (b Ballot) Less(other Ballot) bool {
	if b.Epoch != other.Epoch {
		return b.Epoch < other.Epoch
	}
	return b.Proposer < other.Proposer
}

// NewID returns an ID that is unique among all processes, disks and runs: 128 random bits in
// hexadecimal digits. Invariant: no clock is used, so an ID is unique even if clocks jump back.
func NewID() string {
	var random [16]byte
	_, _ = rand.Read(random[:])
	return hex.EncodeToString(random[:])
}

// firstNumberBits is the number of bits of the first request number of a run: small, because every
// request carries a request number, and large enough that the numbers of two runs do not overlap.
const firstNumberBits = 40

// FirstRequestNumber returns the number of the first request that a run of a process sends to other
// processes. instance is the instance ID of the run, or a name that contains the instance ID.
// Invariant: the request numbers of two runs do not overlap, so that a late response to an earlier
// run is never taken for a response to the current run.
func FirstRequestNumber(instance string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(instance))
	return hashing.Mix(hash.Sum64()) >> (64 - firstNumberBits)
}
