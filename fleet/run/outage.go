package run

import (
	"slices"
	"time"
)

// outage is a time in which a process or an endpoint was out. Invariant: to is zero while
// it lasts.
type outage struct {
	from, to time.Time
	cause    string
}

func (o *outage) ongoing() bool { return o.to.IsZero() }

// covers tells whether an instant lies within the outage.
func (o *outage) covers(t time.Time) bool {
	return t.After(o.from) && (o.ongoing() || t.Before(o.to))
}

// overlaps tells whether a span has an instant in common with the outage.
func (o *outage) overlaps(from, to time.Time) bool {
	return o.from.Before(to) && (o.ongoing() || o.to.After(from))
}

// coreMajority stands for all processes in Fleet.processOutages: an outage of a majority of
// the cores excuses each of them.
const coreMajority = "a majority of cores"

// Causes of outages, as the report names them.
const (
	causeKilled         = "its being killed"
	causeFrozen         = "its being frozen"
	causeCutOff         = "its being cut off from all"
	causeNoInformedPeer = "being cut off from all that know"
	causeStopped        = "its planned stop"
	causeHung           = "hung"
)

// beginOutage notes that a process is out from now on, until end is called.
func (f *Fleet) beginOutage(name, cause string) (end func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	o := &outage{from: time.Now(), cause: cause}
	f.processOutages[name] = append(f.processOutages[name], o)
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if o.ongoing() {
			o.to = time.Now()
		}
	}
}

// boundStart is the instant from which a bound on a process runs: confirmedAt, or the end of
// the last outage that began before the bound had passed. ongoing tells that the process is
// out now; cause is that of the outage that moved the start. The caller holds mu.
func (f *Fleet) boundStart(name string, confirmedAt, now time.Time, bound time.Duration) (from time.Time, cause string, ongoing bool) {
	from = confirmedAt
	for moved := true; moved; {
		moved = false
		for _, o := range append(slices.Clone(f.processOutages[name]), f.processOutages[coreMajority]...) {
			if o.from.After(from.Add(bound)) || o.from.After(now) {
				continue
			}
			if o.ongoing() {
				return now, o.cause, true
			}
			if o.to.After(from) {
				from, cause, moved = o.to, o.cause, true
			}
		}
	}
	return from, cause, false
}

// outageCauses lists why a process was out within a span. The caller holds mu.
func (f *Fleet) outageCauses(name string, from, to time.Time) map[string]bool {
	causes := map[string]bool{}
	for _, o := range f.processOutages[name] {
		if o.overlaps(from, to) {
			causes[o.cause] = true
		}
	}
	return causes
}
