// Package joiner decides how a sidecar without a lease obtains a lease: which core the sidecar
// asks, how long the sidecar waits for the response, and when the sidecar retries. A Joiner is a
// step function: a Joiner does no I/O and reads no clock.
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
	// JoinTimeout is the timeout of one join. JoinTimeout is longer than a core keeps a join
	// waiting, so that a join normally ends with the core's response instead of the timeout.
	JoinTimeout = 2 * time.Second
	// minBackoff is the backoff after the first failure without a Retry-After; each further failure
	// doubles the backoff, up to maxBackoff.
	minBackoff = 30 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
	// rejectionJitter is the maximum jitter that is added to a core's Retry-After, as a fraction of
	// the Retry-After.
	rejectionJitter = 0.25
	// jitterBits is how many bits of a hash the jitter uses.
	jitterBits = 24
)

// Joiner chooses the core for the next join. Invariants: no join begins before the backoff of the
// last failure is over; each sidecar asks the cores in its own order, in which cores that failed
// come last.
type Joiner struct {
	Node        ident.Node
	Zone        ident.Zone
	lastFailure map[ident.Addr]monotime.Time
	notBefore   monotime.Time
	backoff     time.Duration
	attempts    uint64
}

// New returns a joiner for the sidecar of a node in a zone.
func New(node ident.Node, zone ident.Zone) *Joiner {
	return &Joiner{Node: node, Zone: zone, lastFailure: map[ident.Addr]monotime.Time{}}
}

// Backoff returns the time until the next join may begin.
func (j *Joiner) Backoff(now monotime.Time) time.Duration { return max(0, j.notBefore.Since(now)) }

// NextCore chooses the core to ask next, "" if no core is known. Cores that never failed come
// first, then the cores whose last failure is oldest; among equals, the nearest core comes first.
// The locations are the list of cores that a core has returned.
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

// HandleRejection applies a core's Retry-After to all cores: whatever prevents one core from
// granting leases prevents the other cores too.
func (j *Joiner) HandleRejection(now monotime.Time, core ident.Addr, retryAfter time.Duration) {
	j.recordFailure(now, core)
	j.notBefore = now.Add(retryAfter + time.Duration(j.jitter()*float64(retryAfter)*rejectionJitter))
}

// HandleFailure processes the failure of a core that returned no Retry-After.
func (j *Joiner) HandleFailure(now monotime.Time, core ident.Addr) {
	j.recordFailure(now, core)
	j.backoff = min(max(2*j.backoff, minBackoff), maxBackoff)
	j.notBefore = now.Add(time.Duration((0.5 + j.jitter()) * float64(j.backoff)))
}

func (j *Joiner) recordFailure(now monotime.Time, core ident.Addr) {
	j.attempts++
	j.lastFailure[core] = now
}

// Reset clears the failures and the backoff.
func (j *Joiner) Reset() {
	clear(j.lastFailure)
	j.notBefore, j.backoff = 0, 0
}

// jitter returns a number from 0 to 1 that differs between sidecars and attempts. The number is
// derived from a hash instead of a random source, so that simulator runs are reproducible.
func (j *Joiner) jitter() float64 {
	hash := fnv.New64a()
	_, _ = fmt.Fprintf(hash, "%s %d", j.Node, j.attempts)
	return float64(hashing.Mix(hash.Sum64())>>(64-jitterBits)) / (1 << jitterBits)
}
