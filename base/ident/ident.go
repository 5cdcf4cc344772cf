// Package ident holds the small types that name things in the mesh.
package ident

import (
	"crypto/rand"
	"encoding/hex"
	"hash/fnv"
	"net"
	"net/netip"
	"strings"
)

// Disk names one data folder for the whole of its life. Invariant: a folder that
// comes back empty gets a new Disk; two folders never share one.
type Disk string

// Addr is a peer address, "ip:port". Invariant: never resolved by name.
type Addr string

// DialSource is the address to dial from: the same IP, any port.
func (a Addr) DialSource() net.Addr {
	addrPort, err := netip.ParseAddrPort(string(a))
	if err != nil {
		return nil
	}
	return net.TCPAddrFromAddrPort(netip.AddrPortFrom(addrPort.Addr(), 0))
}

// Node names a sidecar; it is stable over restarts of that sidecar.
type Node string

// Server is the DESIGN's serverId: the key of a Workload.
type Server string

// Service is a service hostname: the key of a Service.
type Service string

// Zone is a failure zone.
type Zone string

// Epoch counts terms of proposers, membership, lease and manifest epochs. Invariant: each
// series only rises.
type Epoch uint64

// Revision counts changes of one control key. Invariant: rises by one a change
// and never restarts, not even when the key is deleted.
type Revision uint64

// OperationID names one operation of one caller; repeating it is harmless.
type OperationID string

// Key names one control key.
type Key string

// HasPrefix tells whether the key lies below a prefix.
func (k Key) HasPrefix(prefix string) bool { return strings.HasPrefix(string(k), prefix) }

// Ballot orders the terms of one key. Invariant: Owner carries the process's own
// mark, so that a restarted proposer never reuses a ballot.
type Ballot struct {
	Epoch    Epoch  `json:"e"`
	Proposer string `json:"o,omitempty"`
}

// Zero tells whether no term ever was.
func (b Ballot) Zero() bool { return b.Epoch == 0 }

// Less is the total order of ballots.
func (b Ballot) Less(other Ballot) bool {
	if b.Epoch != other.Epoch {
		return b.Epoch < other.Epoch
	}
	return b.Proposer < other.Proposer
}

// NewID makes a name that no other process, disk or run has or will have. Invariant: it
// rests on no clock, so it is new even when clocks jump back.
func NewID() string {
	var random [16]byte
	_, _ = rand.Read(random[:])
	return hex.EncodeToString(random[:])
}

// firstNumberBits is how many bits the first request number of a run has: few, as they travel
// with every request, and enough that the numbers of two runs do not meet.
const firstNumberBits = 40

// FirstRequestNumber is where a run of a process begins to number its requests to others; run is
// its mark, or a name that holds the mark. Invariant: the numbers of two runs lie apart, so
// that a late answer to an earlier run is never taken for an answer to this one.
func FirstRequestNumber(instance string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(instance))
	mixed := hash.Sum64()
	mixed ^= mixed >> 33
	mixed *= 0xff51afd7ed558ccd
	return (mixed ^ mixed>>33) >> (64 - firstNumberBits)
}
