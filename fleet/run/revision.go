package run

import (
	"context"
	"net/http"
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/fleet/process"
	"cottonarch.example/cottonarch/sim/invariant"
)

const (
	revisionPollInterval = 15 * time.Millisecond
	statusTimeout        = 500 * time.Millisecond
)

// statusPoll is the result of one request for the revision that a sidecar has in force.
type statusPoll struct {
	askedAt  time.Time // when the request was sent
	answered bool
	revision ident.ConfigRevision // in the response; 0 is none
}

// trackRevision judges for each sidecar when it has a confirmed revision in force. The bound runs
// from the confirmation, or from the end of an outage that kept the revision from that sidecar.
func (f *Fleet) trackRevision(ctx context.Context, revision ident.ConfigRevision, confirmedAt time.Time) {
	for _, sidecar := range f.Sidecars {
		f.revisionWaits.Go(func() { f.awaitRevision(ctx, sidecar, revision, confirmedAt) })
	}
}

// awaitRevision polls a sidecar until the revision is judged or the run ends.
func (f *Fleet) awaitRevision(ctx context.Context, sidecar *process.Process, revision ident.ConfigRevision, confirmedAt time.Time) {
	ticker := time.NewTicker(revisionPollInterval)
	defer ticker.Stop()
	for {
		if f.judgeRevision(sidecar.Name, revision, confirmedAt, pollRevision(sidecar)) {
			return
		}
		select {
		case <-ctx.Done():
			f.mu.Lock()
			f.Checker.Excuse(ruleConfigLate, excuseRunEnded)
			f.mu.Unlock()
			return
		case <-ticker.C:
		}
	}
}

func pollRevision(sidecar *process.Process) statusPoll {
	var status struct {
		Revision ident.ConfigRevision `json:"manifest"`
	}
	askedAt := time.Now()
	_, err := sidecar.Request(statusTimeout, http.MethodGet, "/status", nil, &status)
	return statusPoll{askedAt: askedAt, answered: err == nil, revision: status.Revision}
}

// judgeRevision judges one poll of a sidecar, and tells whether no further one is needed. A
// response with an older revision proves that the new one was not in force yet when the request
// was sent.
func (f *Fleet) judgeRevision(sidecar string, revision ident.ConfigRevision, confirmedAt time.Time, poll statusPoll) (done bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	from, cause, ongoing := f.boundStart(sidecar, confirmedAt, time.Now(), invariant.ConfigDeadline)
	elapsed := poll.askedAt.Sub(from)
	late := !ongoing && elapsed > invariant.ConfigDeadline
	switch {
	case poll.answered && poll.revision >= revision:
		f.Checker.Observe(ruleConfigLate)
		if cause != "" {
			f.Checker.ObserveDelayed(ruleConfigLate, cause)
		} else {
			f.ApplyDelays = append(f.ApplyDelays, time.Since(confirmedAt))
		}
		return true
	case late && poll.answered:
		f.Checker.Observe(ruleConfigLate)
		f.Checker.Violate(f.sinceStart(poll.askedAt), ruleConfigLate,
			"%s has revision %d %v after %d was confirmed, waited for the end of %q",
			sidecar, poll.revision, poll.askedAt.Sub(confirmedAt), revision, cause)
		return true
	case late && elapsed > 2*invariant.ConfigDeadline:
		f.Checker.Observe(ruleConfigLate)
		f.Checker.Violate(f.sinceStart(poll.askedAt), ruleConfigLate,
			"%s does not answer which revision is in force, %v after %d was confirmed",
			sidecar, poll.askedAt.Sub(confirmedAt), revision)
		return true
	}
	return false
}
