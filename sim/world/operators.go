package world

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/audit/segment"
	"cottonarch.example/cottonarch/control/config/proposal"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/core/node"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/sim/invariant"
)

// Operators offers manifests: whole and partial, good and bad, in races.
type Operators struct {
	world           *World
	document        func(mark string) map[string]any
	proposalCount   int
	awaitedSidecars int // epochs that sidecars are still awaited to have
	newestConfirmed ident.Epoch
	markerOf        map[ident.Epoch]string
	shownRevisions  map[ident.Addr]*ident.Epoch
}

// StartOperators starts the operators; base makes the whole manifest around a mark.
func (w *World) StartOperators(interval time.Duration, document func(mark string) map[string]any) *Operators {
	o := &Operators{world: w, document: document, markerOf: map[ident.Epoch]string{}, shownRevisions: map[ident.Addr]*ident.Epoch{}}
	var next func()
	next = func() {
		if w.Closed {
			return
		}
		n := 1
		if w.Rng.IntN(4) == 0 {
			n = 2 + w.Rng.IntN(3) // a race
		}
		for range n {
			o.Propose()
		}
		w.After(interval/2+time.Duration(w.Rng.Int64N(int64(interval))), next)
	}
	next()
	return o
}

// Propose sends one manifest to some core.
func (o *Operators) Propose() {
	w := o.world
	o.proposalCount++
	marker := fmt.Sprintf("mark-%d", o.proposalCount)
	document := o.document(marker)
	args := proposal.Args{}
	mustFail := false
	switch w.Rng.IntN(10) {
	case 0: // dangling
		document["ways"].(map[string]any)["bad"] = map[string]any{"host": "x", "service": "nobody"}
		mustFail = true
	case 1: // unknown field
		document["surprise"] = 1
		mustFail = true
	case 2, 3: // stale or true base
		base := o.newestConfirmed
		if w.Rng.IntN(2) == 0 && base > 0 {
			base--
			mustFail = true
		}
		args.BaseRevision = &base
	case 4, 5, 6: // a part: only one service's namespace
		services := document["services"].(map[string]any)
		for name, service := range services {
			if service.(map[string]any)["namespace"] == marker {
				document = map[string]any{"services": map[string]any{name: service}}
			}
		}
		args.Partial = true
		if o.newestConfirmed == 0 {
			args.Partial, document = false, o.document(marker)
		}
	}
	args.Body = operation.Encode(document)
	newestBefore := o.newestConfirmed
	w.request(proposer.Operation{Key: proposal.Key, Kind: "manifest/offer", Args: operation.Encode(args)}, func(e *node.Result) {
		w.Checker.Observed["manifest-turned"]++
		switch {
		case notExecuted(e):
			w.Counters["manifest-no"]++
			w.Checker.ProposalRejected(marker, string(e.Failure.Kind))
		case e == nil || e.Failure != nil:
			w.Counters["manifest-unknown"]++
		default:
			var confirmed proposal.Accepted
			if json.Unmarshal(e.Body, &confirmed) != nil || confirmed.Revision == 0 {
				w.Violate("damaged", "a yes without epoch")
				return
			}
			w.Counters["manifest-yes"]++
			if mustFail {
				w.Violate("manifest-turned", "a bad or stale manifest (%s) was confirmed as epoch %d", marker, confirmed.Revision)
			}
			if old, ok := o.markerOf[confirmed.Revision]; ok {
				w.Violate("number-repeated", "epoch %d was given to %s and %s", confirmed.Revision, old, marker)
			}
			if confirmed.Revision <= newestBefore {
				w.Violate("number-repeated", "epoch %d was given after %d was confirmed", confirmed.Revision, newestBefore)
			}
			o.markerOf[confirmed.Revision] = marker
			o.newestConfirmed = max(o.newestConfirmed, confirmed.Revision)
			o.awaitSidecars(confirmed.Revision, w.now)
		}
	})
}

// awaitSidecars follows the epoch to every sidecar. The bound runs from the confirmation, or
// from the end of what kept everybody from making that sidecar know it.
func (o *Operators) awaitSidecars(revision ident.Epoch, confirmedAt monotime.Time) {
	for _, s := range o.world.Sidecars {
		o.awaitedSidecars++
		o.awaitSidecar(s, revision, confirmedAt, "")
	}
}

func (o *Operators) awaitSidecar(s *Sidecar, revision ident.Epoch, from monotime.Time, cause string) {
	w := o.world
	const rule = "manifest-late"
	shown := ident.Epoch(0)
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
		w.After(20*time.Millisecond, func() { o.awaitSidecar(s, revision, from, cause) })
		return
	}
	o.awaitedSidecars--
	w.Checker.Observe(rule)
	if cause != "" {
		w.Checker.ObserveDelayed(rule, cause)
	}
	if late {
		w.Violate(rule, "%s has epoch %d more than two seconds after %d was confirmed, waited for the end of %q; %s", s.Node, shown, revision, cause, s.configCache.Describe())
	}
}

// Close counts what was still out at the day's end.
func (o *Operators) Close() {
	for range o.awaitedSidecars {
		o.world.Checker.Excuse("manifest-late", causeDayEnd)
	}
}

// CheckAuditLog looks whether the audit log has every confirmed epoch once, and in order.
func (o *Operators) CheckAuditLog() {
	w := o.world
	for _, c := range w.Cores {
		if !c.Healthy() {
			continue
		}
		c.lastTicket++
		c.onEnd[c.lastTicket] = func(e node.Result) {
			entries, ok := node.AuditEntries(e.Found)
			if e.Failure != nil || !ok {
				w.Violate("audit", "the audit log can't be read at day's end: %v", e.Failure)
				return
			}
			logged := map[ident.Epoch]bool{}
			last := ident.Epoch(0)
			for _, entry := range entries {
				if entry.Revision <= last || len(entry.SHA256) != 64 {
					w.Violate("audit", "epoch %d stands after %d", entry.Revision, last)
				}
				last, logged[entry.Revision] = entry.Revision, true
			}
			for _, epoch := range slices.Sorted(maps.Keys(o.markerOf)) {
				w.Checker.Observed["audit"]++
				if !logged[epoch] {
					w.Violate("audit", "epoch %d was confirmed and is not in the log", epoch)
				}
			}
		}
		c.applyEffects(c.node.QuorumRead(c.watchedTime(), c.lastTicket, segment.Prefix, true, 4*time.Second))
		return
	}
}

// ReadBack reads the manifest at every core at the end of the day.
func (o *Operators) ReadBack() {
	w := o.world
	for _, c := range w.Cores {
		if !c.running || c.frozen {
			continue
		}
		newest := o.newestConfirmed
		c.Submit(proposer.Operation{Key: proposal.Key, Kind: "manifest/read"}, 4*time.Second, func(e node.Result) {
			var held proposal.State
			if e.Failure != nil || json.Unmarshal(e.Body, &held) != nil {
				w.Violate("slow-recovery", "core %s can't read the manifest at day's end: %v", c.Addr, e.Failure)
				return
			}
			w.Checker.Observed["manifest-turned"]++
			if held.Revision < newest {
				w.Violate("manifest-turned", "core %s reads epoch %d at day's end, %d was confirmed", c.Addr, held.Revision, newest)
			}
		})
	}
}
