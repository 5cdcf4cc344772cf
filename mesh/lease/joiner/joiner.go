// Package joiner is how a sidecar without a lease obtains one: which core it asks, how long it
// waits for the answer, and when it asks again. A Joiner is a step function: it does no I/O and
// reads no clock.
package joiner

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"slices"
	"time"

	"cottonarch.example/cottonarch/base/hashing"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/registry/record"
	"cottonarch.example/cottonarch/mesh/lease/holder"
)

const (
	// JoinTimeout bounds one join. It is longer than a core lets a join wait, so that the core's
	// answer ends it and not this bound.
	JoinTimeout = 2 * time.Second
	// minBackoff is the pause after a core that failed without a time to come back; each further
	// failure doubles it, up to maxBackoff.
	minBackoff = 30 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
	// rejectionJitter is the part of a core's Retry-After by which joins are spread beyond it.
	rejectionJitter = 0.25
	// jitterBits is how many bits of a hash make a jitter.
	jitterBits = 24
)

// Joiner chooses the core that the next join goes to. Invariants: no join begins before the
// backoff of the last failure is over; the cores are asked in an order that is the sidecar's own,
// those that failed last of all.
type Joiner struct {
	Node        ident.Node
	Zone        ident.Zone
	lastFailure map[ident.Addr]monotime.Time
	notBefore   monotime.Time
	backoff     time.Duration
	attempts    uint64
}

// New makes a joiner for a sidecar.
func New(node ident.Node, zone ident.Zone) *Joiner {
	return &Joiner{Node: node, Zone: zone, lastFailure: map[ident.Addr]monotime.Time{}}
}

// Backoff is how long no join may begin.
func (j *Joiner) Backoff(now monotime.Time) time.Duration { return max(0, j.notBefore.Since(now)) }

// NextCore chooses the core to ask next, "" if none is known: of those that failed longest ago,
// or never, the nearest. The locations are those that a core has listed.
func (j *Joiner) NextCore(cores []ident.Addr, locations []record.CoreLocation) ident.Addr {
	if len(cores) == 0 {
		return ""
	}
	distance := holder.Distances(j.Zone, locations)
	return slices.MinFunc(cores, func(a, b ident.Addr) int {
		return cmp.Or(
			cmp.Compare(j.lastFailure[a], j.lastFailure[b]),
			cmp.Compare(distance(a), distance(b)),
			cmp.Compare(holder.RendezvousWeight(j.Node, b), holder.RendezvousWeight(j.Node, a)))
	})
}

// HandleRejection takes a core's Retry-After: until then no core is asked, as what keeps one from
// granting leases keeps the others too.
func (j *Joiner) HandleRejection(now monotime.Time, core ident.Addr, retryAfter time.Duration) {
	j.noteFailure(now, core)
	j.notBefore = now.Add(retryAfter + time.Duration(j.jitter()*float64(retryAfter)*rejectionJitter))
}

// HandleFailure takes the failure of a core that gave no time to come back.
func (j *Joiner) HandleFailure(now monotime.Time, core ident.Addr) {
	j.noteFailure(now, core)
	j.backoff = min(max(2*j.backoff, minBackoff), maxBackoff)
	j.notBefore = now.Add(time.Duration((0.5 + j.jitter()) * float64(j.backoff)))
}

func (j *Joiner) noteFailure(now monotime.Time, core ident.Addr) {
	j.attempts++
	j.lastFailure[core] = now
}

// Reset forgets the failures.
func (j *Joiner) Reset() {
	clear(j.lastFailure)
	j.notBefore, j.backoff = 0, 0
}

// jitter is a number from 0 to 1 that differs between sidecars and attempts. It is not random, so
// that a simulated day runs the same again.
func (j *Joiner) jitter() float64 {
	hash := fnv.New64a()
	_, _ = fmt.Fprintf(hash, "%s %d", j.Node, j.attempts)
	return float64(hashing.Mix(hash.Sum64())>>(64-jitterBits)) / (1 << jitterBits)
}
