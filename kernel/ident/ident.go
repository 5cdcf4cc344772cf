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

// From is the address to dial from: the same IP, any port.
func (a Addr) From() net.Addr {
	ap, err := netip.ParseAddrPort(string(a))
	if err != nil {
		return nil
	}
	return net.TCPAddrFromAddrPort(netip.AddrPortFrom(ap.Addr(), 0))
}

// Node names a sidecar; it is stable over restarts of that sidecar.
type Node string

// Server is the DESIGN's serverId: the key of a Workload.
type Server string

// Service is a service hostname: the key of a Service.
type Service string

// District is a failure zone.
type District string

// Epoch counts terms of proposers, membership, lease and manifest epochs. Invariant: each
// series only rises.
type Epoch uint64

// Revision counts changes of one control key. Invariant: rises by one a change
// and never restarts, not even when the key is deleted.
type Revision uint64

// Op names one operation of one caller; repeating it is harmless.
type Op string

// Key names one control key.
type Key string

// Under tells whether the key lies below a prefix.
func (k Key) Under(pre string) bool { return strings.HasPrefix(string(k), pre) }

// Ballot orders the terms of one key. Invariant: Owner carries the process's own
// mark, so that a restarted proposer never reuses a ballot.
type Ballot struct {
	Epoch Epoch  `json:"e"`
	Owner string `json:"o,omitempty"`
}

// Zero tells whether no term ever was.
func (b Ballot) Zero() bool { return b.Epoch == 0 }

// Less is the total order of ballots.
func (b Ballot) Less(c Ballot) bool {
	if b.Epoch != c.Epoch {
		return b.Epoch < c.Epoch
	}
	return b.Owner < c.Owner
}

// Mark makes a name that no other process, disk or run has or will have. Invariant: it
// rests on no clock, so it is new even when clocks jump back.
func Mark() string {
	var raw [16]byte
	_, _ = rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}

// firstBits is how many bits the first request number of a run has: few, as they travel
// with every request, and enough that the numbers of two runs do not meet.
const firstBits = 40

// FirstNumber is where a run of a process begins to number its requests to others; run is
// its mark, or a name that holds the mark. Invariant: the numbers of two runs lie apart, so
// that a late answer to an earlier run is never taken for an answer to this one.
func FirstNumber(run string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(run))
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return (x ^ x>>33) >> (64 - firstBits)
}
