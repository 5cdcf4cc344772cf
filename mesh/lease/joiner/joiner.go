// Package joiner is how a sidecar without a lease looks for one: which core it asks, how
// long it waits for the answer, and when it asks again.
package joiner

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"slices"
	"time"

	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/monotime"
	"cottonarch.example/cottonarch/mesh/lease/holder"
	"cottonarch.example/cottonarch/mesh/registry/record"
)

const (
	// Patience is how long one join may take: longer than a core lets it wait, so that the
	// core's answer, and not this bound, ends it.
	Patience = 2 * time.Second
	// A core that failed without saying when to come back is followed by another after
	// pauseLeast; each further failure doubles the pause up to pauseMost.
	pauseLeast = 30 * time.Millisecond
	pauseMost  = 400 * time.Millisecond
)

// Joiner is the step function. Invariants: no join begins before the pause that the last
// failure asked for is over; the cores are asked in an order that is the sidecar's own,
// those that failed last of all.
type Joiner struct {
	Node     ident.Node
	District ident.District
	failed   map[ident.Addr]monotime.Time
	next     monotime.Time
	pause    time.Duration
	tries    uint64
}

// New makes one for a sidecar.
func New(node ident.Node, district ident.District) *Joiner {
	return &Joiner{Node: node, District: district, failed: map[ident.Addr]monotime.Time{}}
}

// Wait is how long no join may begin.
func (j *Joiner) Wait(now monotime.Time) time.Duration { return max(0, j.next.Since(now)) }

// Core chooses the core to ask next, "" if none is known. Places tell the districts of
// those that a core has told of: the own district goes first.
func (j *Joiner) Core(cores []ident.Addr, places []record.Place) ident.Addr {
	class := map[ident.Addr]int{}
	for _, a := range cores {
		class[a] = 2 // no core has told of it
	}
	for _, p := range places {
		class[p.Addr] = 1
		if p.District == j.District {
			class[p.Addr] = 0
		}
	}
	if len(cores) == 0 {
		return ""
	}
	return slices.MinFunc(cores, func(a, b ident.Addr) int {
		return cmp.Or(cmp.Compare(j.failed[a], j.failed[b]), cmp.Compare(class[a], class[b]),
			cmp.Compare(holder.Weight(j.Node, b), holder.Weight(j.Node, a)))
	})
}

// Refused takes a core's word to come back after a while: until then no core is asked, for
// what keeps one from granting leases keeps the others too.
func (j *Joiner) Refused(now monotime.Time, core ident.Addr, after time.Duration) {
	j.tries++
	j.failed[core] = now
	j.next = now.Add(after + time.Duration(j.fraction()*float64(after)/4))
}

// Failed takes the failure of a core that did not say when to come back.
func (j *Joiner) Failed(now monotime.Time, core ident.Addr) {
	j.tries++
	j.failed[core] = now
	j.pause = min(max(2*j.pause, pauseLeast), pauseMost)
	j.next = now.Add(time.Duration((0.5 + j.fraction()) * float64(j.pause)))
}

// Joined forgets the failures.
func (j *Joiner) Joined() {
	clear(j.failed)
	j.next, j.pause = 0, 0
}

// fraction is a number from 0 to 1 of this sidecar and this try.
func (j *Joiner) fraction() float64 {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%s %d", j.Node, j.tries)
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return float64(x>>40) / (1 << 24)
}
