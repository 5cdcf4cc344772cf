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

// auditHashLength is the length of the SHA-256 of a configuration, in hexadecimal.
const auditHashLength = 64

const (
	// confirmPollInterval is how often a sidecar is checked for a confirmed configuration.
	confirmPollInterval = 20 * time.Millisecond
	// finalReadBudget is how long a core works at a read at the end of the day.
	finalReadBudget = 4 * time.Second
)

// awaitSidecars follows a confirmed configuration to every sidecar. The bound runs from the
// confirmation, or from the end of what kept everybody from making that sidecar know it.
func (o *Operators) awaitSidecars(revision ident.ConfigRevision, confirmedAt monotime.Time) {
	for _, s := range o.world.Sidecars {
		o.awaitedSidecars++
		o.awaitSidecar(s, revision, confirmedAt, "")
	}
}

// awaitSidecar follows a confirmed configuration to one sidecar. The bound runs from a time
// that was the end of a cause, if one is given.
func (o *Operators) awaitSidecar(s *Sidecar, revision ident.ConfigRevision, from monotime.Time, cause string) {
	w := o.world
	shown := ident.ConfigRevision(0)
	if s.running {
		shown = s.router.Revision()
	}
	if shown < revision {
		if unreachable := w.unreachableCause(s, revision); unreachable != "" {
			from, cause = w.now, unreachable
		}
	}
	late := w.now.Since(from) > invariant.ConfigDeadline
	if shown < revision && !late {
		w.After(confirmPollInterval, func() { o.awaitSidecar(s, revision, from, cause) })
		return
	}
	o.awaitedSidecars--
	w.Checker.Observe(invariant.ConfigLate)
	if cause != "" {
		w.Checker.ObserveDelayed(invariant.ConfigLate, cause)
	}
	if late {
		w.Violate(invariant.ConfigLate, "%s has revision %d more than two seconds after %d was confirmed, waited for the end of %q; %s", s.Node, shown, revision, cause, s.configCache.Describe())
	}
}

// ExcusePending excuses the sidecars that were still awaited when the day ended.
func (o *Operators) ExcusePending() {
	for range o.awaitedSidecars {
		o.world.Checker.Excuse(invariant.ConfigLate, causeDayEnd)
	}
}

// CheckAuditLog checks that the audit log has every confirmed revision once, and in order.
func (o *Operators) CheckAuditLog() {
	for _, c := range o.world.Cores {
		if c.Healthy() {
			c.quorumRead(segment.Prefix, true, finalReadBudget, o.checkAuditEntries)
			return
		}
	}
}

func (o *Operators) checkAuditEntries(result node.Result) {
	w := o.world
	entries, ok := node.AuditEntries(result.Found)
	if result.Failure != nil || !ok {
		w.Violate(invariant.AuditLog, "the audit log can't be read at day's end: %v", result.Failure)
		return
	}
	logged := map[ident.ConfigRevision]bool{}
	last := ident.ConfigRevision(0)
	for _, entry := range entries {
		if entry.Revision <= last || len(entry.SHA256) != auditHashLength {
			w.Violate(invariant.AuditLog, "revision %d stands after %d", entry.Revision, last)
		}
		last, logged[entry.Revision] = entry.Revision, true
	}
	for _, revision := range slices.Sorted(maps.Keys(o.markerOf)) {
		w.Checker.Observe(invariant.AuditLog)
		if !logged[revision] {
			w.Violate(invariant.AuditLog, "revision %d was confirmed and is not in the log", revision)
		}
	}
}

// CheckFinalConfig reads the configuration at every core at the end of the day.
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
				w.Violate(invariant.SlowRecovery, "core %s can't read the configuration at day's end: %v", c.Addr, result.Failure)
				return
			}
			w.Checker.Observe(invariant.ConfigRejected)
			if state.Revision < newest {
				w.Violate(invariant.ConfigRejected, "core %s reads revision %d at day's end, %d was confirmed", c.Addr, state.Revision, newest)
			}
		})
	}
}
