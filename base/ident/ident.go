// Package ident holds the small types that identify things in the mesh, so that a disk is not
// taken for a node, nor a lease's epoch for a configuration's revision.
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

// Disk identifies one data folder for the whole of its life. Invariant: a folder that
// comes back empty gets a new Disk; two folders never share one.
type Disk string

// Addr is the address of a process, "ip:port". Invariant: it is never resolved by name.
type Addr string

// DialSource returns the address that a process at a dials from: the same IP, any port. It returns
// nil if a is not of the form ip:port.
func (a Addr) DialSource() net.Addr {
	addrPort, err := netip.ParseAddrPort(string(a))
	if err != nil {
		return nil
	}
	return net.TCPAddrFromAddrPort(netip.AddrPortFrom(addrPort.Addr(), 0))
}

// Node identifies a sidecar; it is stable over restarts of that sidecar.
type Node string

// Server identifies one run of an endpoint (its serverId).
type Server string

// Service is the host name of a service.
type Service string

// Zone is a failure zone.
type Zone string

// LeaseEpoch counts the leases of the sidecars. Invariant: it only rises.
type LeaseEpoch uint64

// MembershipEpoch numbers the memberships, the lists of the disks that vote. Invariant: it rises
// by one from a membership to the next.
type MembershipEpoch uint64

// BallotEpoch counts the terms of proposers. Invariant: it only rises.
type BallotEpoch uint64

// ConfigRevision is a revision of the configuration: the Revision of the control key that holds
// it. Invariant: it only rises.
type ConfigRevision uint64

// Revision counts the changes of one control key. Invariant: it rises by one with each change
// and never restarts, not even when the key is deleted.
type Revision uint64

// OperationID identifies one operation of one client, so that a repeat takes effect once.
type OperationID string

// Key is a control key.
type Key string

// HasPrefix reports whether the key lies below a prefix.
func (k Key) HasPrefix(prefix string) bool { return strings.HasPrefix(string(k), prefix) }

// Ballot orders the terms of one key, as in Paxos. Invariant: Proposer holds the process's own
// instance ID, so that a restarted proposer never reuses a ballot.
type Ballot struct {
	Epoch    BallotEpoch `json:"e"`
	Proposer string      `json:"o,omitempty"`
}

// Zero reports whether it is the ballot before every term. It is not named IsZero: encoding/json
// would then leave it out by another rule.
func (b Ballot) Zero() bool { return b.Epoch == 0 }

// Less is the total order of ballots.
func (b Ballot) Less(other Ballot) bool {
	if b.Epoch != other.Epoch {
		return b.Epoch < other.Epoch
	}
	return b.Proposer < other.Proposer
}

// NewID makes an ID that no other process, disk or run has or will have: 128 random bits in
// hexadecimal digits. Invariant: it rests on no clock, so it is new even when clocks jump back.
func NewID() string {
	var random [16]byte
	_, _ = rand.Read(random[:])
	return hex.EncodeToString(random[:])
}

// firstNumberBits is how many bits the first request number of a run has: few, as they travel
// with every request, and enough that the numbers of two runs do not meet.
const firstNumberBits = 40

// FirstRequestNumber returns where a run of a process begins to number its requests to others;
// instance is the run's instance ID, or a name that contains it. Invariant: the numbers of two runs
// lie apart, so that a late answer to an earlier run is never taken for an answer to this one.
func FirstRequestNumber(instance string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(instance))
	return hashing.Mix(hash.Sum64()) >> (64 - firstNumberBits)
}
