package run

import (
	"slices"
	"time"
)

// outage is a period in which a process or an endpoint was unavailable. Invariant: to is zero while
// the outage is ongoing.
type outage struct {
	from, to time.Time
	cause    string
}

func (o *outage) ongoing() bool { return o.to.IsZero() }

// covers reports whether t lies within the outage.
func (o *outage) covers(t time.Time) bool {
	return t.After(o.from) && (o.ongoing() || t.Before(o.to))
}

// overlaps reports whether the period between from and to overlaps the outage.
func (o *outage) overlaps(from, to time.Time) bool {
	return o.from.Before(to) && (o.ongoing() || o.to.After(from))
}

// coreMajority is the key in Fleet.processOutages of outages of a majority of the cores, which move
// the deadlines of every process.
const coreMajority = "a majority of cores"

// Causes of outages, as shown in the report.
const (
	causeKilled         = "its being killed"
	causeFrozen         = "its being frozen"
	causeCutOff         = "its being cut off from all"
	causeNoInformedPeer = "being cut off from all that know"
	causeStopped        = "its planned stop"
	causeHung           = "hung"
)

// beginOutage records an outage of a process that begins now and ends when end is called.
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

// deadlineStart returns the time from which a deadline of a process counts: confirmedAt, or the end
// of the last outage that began before the deadline had passed. cause is the cause of the outage that
// moved the start; ongoing is set if that outage has not ended. The caller must hold mu.
func (f *Fleet) deadlineStart(name string, confirmedAt, now time.Time, deadline time.Duration) (from time.Time, cause string, ongoing bool) {
	from = confirmedAt
	for moved := true; moved; {
		moved = false
		for _, o := range append(slices.Clone(f.processOutages[name]), f.processOutages[coreMajority]...) {
			if o.from.After(from.Add(deadline)) || o.from.After(now) {
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

// outageCauses returns the set of causes of the process's outages that overlap a period. The caller
// must hold mu.
func (f *Fleet) outageCauses(name string, from, to time.Time) map[string]bool {
	causes := map[string]bool{}
	for _, o := range f.processOutages[name] {
		if o.overlaps(from, to) {
			causes[o.cause] = true
		}
	}
	return causes
}
