package world

import (
	"maps"
	"slices"
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/audit/segment"
	"cottonarch.example/cottonarch/control/config/proposal"
	"cottonarch.example/cottonarch/control/core/node"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/sim/invariant"
)

// auditHashLength is the length of the hexadecimal SHA-256 of a configuration.
const auditHashLength = 64

const (
	// confirmPollInterval is the interval between checks whether a sidecar enforces a confirmed
	// configuration.
	confirmPollInterval = 20 * time.Millisecond
	// finalReadBudget is the time that a core has for a read at the end of the run.
	finalReadBudget = 4 * time.Second
)

// awaitSidecars checks that every sidecar enforces a confirmed configuration in time. The deadline
// counts from the confirmation, or from the end of the last time at which no process could deliver
// the configuration to that sidecar.
func (o *Operators) awaitSidecars(revision ident.ConfigRevision, confirmedAt monotime.Time) {
	for _, s := range o.world.Sidecars {
		o.pendingObservations++
		o.awaitSidecar(s, revision, confirmedAt, "")
	}
}

// awaitSidecar checks that one sidecar enforces a confirmed configuration in time. The deadline
// counts from a time; if cause is not empty, a fault with that cause lasted until that time.
func (o *Operators) awaitSidecar(s *Sidecar, revision ident.ConfigRevision, from monotime.Time, cause string) {
	w := o.world
	enforced := ident.ConfigRevision(0)
	if s.running {
		enforced = s.router.Revision()
	}
	if enforced < revision {
		if unreachable := w.unreachableCause(s, revision); unreachable != "" {
			from, cause = w.now, unreachable
		}
	}
	late := w.now.Since(from) > invariant.ConfigDeadline
	if enforced < revision && !late {
		w.After(confirmPollInterval, func() { o.awaitSidecar(s, revision, from, cause) })
		return
	}
	o.pendingObservations--
	w.Checker.Observe(invariant.ConfigLate)
	if cause != "" {
		w.Checker.ObserveDelayed(invariant.ConfigLate, cause)
	}
	if late {
		w.Violate(invariant.ConfigLate, "%s enforces revision %d; revision %d could have been delivered more than two seconds ago (last cause of delay: %q); %s", s.Node, enforced, revision, cause, s.configCache.Describe())
	}
}

// ExcusePending excuses the sidecars that were still awaited at the end of the run.
func (o *Operators) ExcusePending() {
	for range o.pendingObservations {
		o.world.Checker.Excuse(invariant.ConfigLate, causeRunEnd)
	}
}

// CheckAuditLog checks that the audit log has every confirmed revision once and in order. The log
// is read at the first healthy core.
func (o *Operators) CheckAuditLog() {
	for _, c := range o.world.Cores {
		if c.Healthy() {
			c.quorumRead(segment.Prefix, true, finalReadBudget, o.checkAuditEntries)
			return
		}
	}
}

// checkAuditEntries checks the entries of the audit log against the confirmed revisions.
func (o *Operators) checkAuditEntries(result node.Result) {
	w := o.world
	entries, ok := node.AuditEntries(result.Found)
	if result.Failure != nil || !ok {
		w.Violate(invariant.AuditLog, "the audit log can't be read at the end of the run: %v", result.Failure)
		return
	}
	logged := map[ident.ConfigRevision]bool{}
	last := ident.ConfigRevision(0)
	for _, entry := range entries {
		if entry.Revision <= last || len(entry.SHA256) != auditHashLength {
			w.Violate(invariant.AuditLog, "the audit entry of revision %d follows the entry of revision %d, or has a malformed hash", entry.Revision, last)
		}
		last, logged[entry.Revision] = entry.Revision, true
	}
	for _, revision := range slices.Sorted(maps.Keys(o.markerOf)) {
		w.Checker.Observe(invariant.AuditLog)
		if !logged[revision] {
			w.Violate(invariant.AuditLog, "revision %d was confirmed and is not in the audit log", revision)
		}
	}
}

// CheckFinalConfig reads the configuration at every running core at the end of the run, and checks
// that no core returns a revision older than the newest confirmed revision.
func (o *Operators) CheckFinalConfig() {
	w := o.world
	for _, c := range w.Cores {
		if !c.running || c.frozen {
			continue
		}
		newest := o.newestConfirmed
		c.Submit(proposer.Operation{Key: proposal.Key, Kind: proposal.ReadKind}, finalReadBudget, func(result node.Result) {
			var state proposal.State
			if !succeeded(&result, &state) {
				w.Violate(invariant.SlowRecovery, "core %s can't read the configuration at the end of the run: %v", c.Addr, result.Failure)
				return
			}
			w.Checker.Observe(invariant.ConfigRejected)
			if state.Revision < newest {
				w.Violate(invariant.ConfigRejected, "core %s reads revision %d at the end of the run, but revision %d was confirmed", c.Addr, state.Revision, newest)
			}
		})
	}
}
