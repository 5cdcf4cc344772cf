// Package joiner is how a sidecar without a lease looks for one: which core it asks, how
// long it waits for the answer, and when it asks again.
package joiner

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"slices"
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/registry/record"
	"cottonarch.example/cottonarch/mesh/lease/holder"
)

const (
	// JoinTimeout is how long one join may take: longer than a core lets it wait, so that the
	// core's answer, and not this bound, ends it.
	JoinTimeout = 2 * time.Second
	// A core that failed without saying when to come back is followed by another after
	// pauseLeast; each further failure doubles the pause up to pauseMost.
	minBackoff = 30 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
)

// Joiner is the step function. Invariants: no join begins before the pause that the last
// failure asked for is over; the cores are asked in an order that is the sidecar's own,
// those that failed last of all.
type Joiner struct {
	Node        ident.Node
	Zone        ident.Zone
	lastFailure map[ident.Addr]monotime.Time
	notBefore   monotime.Time
	backoff     time.Duration
	attempts    uint64
}

// New makes one for a sidecar.
func New(node ident.Node, zone ident.Zone) *Joiner {
	return &Joiner{Node: node, Zone: zone, lastFailure: map[ident.Addr]monotime.Time{}}
}

// Backoff is how long no join may begin.
func (j *Joiner) Backoff(now monotime.Time) time.Duration { return max(0, j.notBefore.Since(now)) }

// NextCore chooses the core to ask next, "" if none is known. Places tell the districts of
// those that a core has told of: the own district goes first.
func (j *Joiner) NextCore(cores []ident.Addr, locations []record.CoreLocation) ident.Addr {
	distance := map[ident.Addr]int{}
	for _, a := range cores {
		distance[a] = 2 // no core has told of it
	}
	for _, location := range locations {
		distance[location.Addr] = 1
		if location.Zone == j.Zone {
			distance[location.Addr] = 0
		}
	}
	if len(cores) == 0 {
		return ""
	}
	return slices.MinFunc(cores, func(a, b ident.Addr) int {
		return cmp.Or(cmp.Compare(j.lastFailure[a], j.lastFailure[b]), cmp.Compare(distance[a], distance[b]),
			cmp.Compare(holder.RendezvousWeight(j.Node, b), holder.RendezvousWeight(j.Node, a)))
	})
}

// HandleRejection takes a core's word to come back after a while: until then no core is asked, for
// what keeps one from granting leases keeps the others too.
func (j *Joiner) HandleRejection(now monotime.Time, core ident.Addr, retryAfter time.Duration) {
	j.attempts++
	j.lastFailure[core] = now
	j.notBefore = now.Add(retryAfter + time.Duration(j.jitter()*float64(retryAfter)/4))
}

// HandleFailure takes the failure of a core that did not say when to come back.
func (j *Joiner) HandleFailure(now monotime.Time, core ident.Addr) {
	j.attempts++
	j.lastFailure[core] = now
	j.backoff = min(max(2*j.backoff, minBackoff), maxBackoff)
	j.notBefore = now.Add(time.Duration((0.5 + j.jitter()) * float64(j.backoff)))
}

// Reset forgets the failures.
func (j *Joiner) Reset() {
	clear(j.lastFailure)
	j.notBefore, j.backoff = 0, 0
}

// jitter is a number from 0 to 1 of this sidecar and this try.
func (j *Joiner) jitter() float64 {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%s %d", j.Node, j.attempts)
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return float64(x>>40) / (1 << 24)
}
