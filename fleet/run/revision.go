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

// statusPoll is the result of one status request for the configuration revision that a sidecar has
// applied.
type statusPoll struct {
	sentAt    time.Time // when the request was sent
	responded bool
	revision  ident.ConfigRevision // 0 if the sidecar has applied no configuration
}

// trackRevision checks that each sidecar applies a confirmed revision within invariant.ConfigDeadline.
// The deadline counts from the confirmation, or from the end of an outage that prevented the sidecar
// from receiving the revision.
func (f *Fleet) trackRevision(ctx context.Context, revision ident.ConfigRevision, confirmedAt time.Time) {
	for _, sidecar := range f.Sidecars {
		f.revisionWaits.Go(func() { f.awaitRevision(ctx, sidecar, revision, confirmedAt) })
	}
}

// awaitRevision polls a sidecar until the sidecar has applied the revision, the deadline is violated,
// or the run ends.
func (f *Fleet) awaitRevision(ctx context.Context, sidecar *process.Process, revision ident.ConfigRevision, confirmedAt time.Time) {
	ticker := time.NewTicker(revisionPollInterval)
	defer ticker.Stop()
	for {
		if f.checkPoll(sidecar.Name, revision, confirmedAt, pollRevision(sidecar)) {
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
	sentAt := time.Now()
	_, err := sidecar.Request(statusTimeout, http.MethodGet, "/status", nil, &status)
	return statusPoll{sentAt: sentAt, responded: err == nil, revision: status.Revision}
}

// checkPoll checks the result of one poll of a sidecar, and reports whether polling is done. A
// response with an older revision proves that the new revision was not applied when the request was
// sent.
func (f *Fleet) checkPoll(sidecar string, revision ident.ConfigRevision, confirmedAt time.Time, poll statusPoll) (done bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	from, cause, ongoing := f.deadlineStart(sidecar, confirmedAt, time.Now(), invariant.ConfigDeadline)
	elapsed := poll.sentAt.Sub(from)
	late := !ongoing && elapsed > invariant.ConfigDeadline
	switch {
	case poll.responded && poll.revision >= revision:
		f.Checker.Observe(ruleConfigLate)
		if cause != "" {
			f.Checker.ObserveDelayed(ruleConfigLate, cause)
		} else {
			f.ApplyDelays = append(f.ApplyDelays, time.Since(confirmedAt))
		}
		return true
	case late && poll.responded:
		f.Checker.Observe(ruleConfigLate)
		f.Checker.Violate(f.sinceStart(poll.sentAt), ruleConfigLate,
			"%s still applies revision %d, %v after revision %d was confirmed (last outage: %q)",
			sidecar, poll.revision, poll.sentAt.Sub(confirmedAt), revision, cause)
		return true
	case late && elapsed > 2*invariant.ConfigDeadline:
		f.Checker.Observe(ruleConfigLate)
		f.Checker.Violate(f.sinceStart(poll.sentAt), ruleConfigLate,
			"%s does not respond with a status %v after revision %d was confirmed",
			sidecar, poll.sentAt.Sub(confirmedAt), revision)
		return true
	}
	return false
}
