package world

import (
	"encoding/json"
	"fmt"
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/config/proposal"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/core/node"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/sim/invariant"
)

// Operators are clients that propose configurations: full and partial, valid and invalid, and
// several at the same time.
type Operators struct {
	world               *World
	interval            time.Duration
	document            func(marker string) Document
	proposalCount       int
	pendingObservations int // pairs of a confirmed configuration and a sidecar that has not enforced that configuration yet
	newestConfirmed     ident.ConfigRevision
	markerOf            map[ident.ConfigRevision]string // markers of the confirmed proposals
}

// Document is the JSON object of a configuration.
type Document map[string]any

// configProposal is one proposal of an operator.
type configProposal struct {
	marker         string
	args           proposal.Args
	mustBeRejected bool                 // the proposal is invalid or based on an old revision
	newestBefore   ident.ConfigRevision // newest confirmed revision when the proposal was sent
}

// StartOperators starts operators that propose about once per interval. document returns a full
// configuration in which the namespace of one service is the marker.
func (w *World) StartOperators(interval time.Duration, document func(marker string) Document) *Operators {
	o := &Operators{world: w, interval: interval, document: document, markerOf: map[ident.ConfigRevision]string{}}
	o.operate()
	return o
}

// operate sends one proposal, or a few at the same time.
func (o *Operators) operate() {
	w := o.world
	if w.ClientsStopped {
		return
	}
	n := 1
	if w.Rng.IntN(4) == 0 {
		n = 2 + w.Rng.IntN(3)
	}
	for range n {
		o.Propose()
	}
	w.After(w.jittered(o.interval), o.operate)
}

// Propose sends one proposal to a random core.
func (o *Operators) Propose() {
	w := o.world
	p := o.newProposal()
	w.request(proposer.Operation{Key: proposal.Key, Kind: proposal.ProposeKind, Args: operation.Encode(p.args)}, func(result *node.Result) {
		w.Checker.Observe(invariant.ConfigRejected)
		switch {
		case notExecuted(result):
			w.counters.configsRejected++
			w.Checker.ProposalRejected(p.marker, string(result.Failure.Kind))
		case result == nil || result.Failure != nil:
			w.counters.configsUnknown++
		default:
			o.checkConfirmation(p, result)
		}
	})
}

// newProposal returns a random proposal.
func (o *Operators) newProposal() configProposal {
	w := o.world
	o.proposalCount++
	p := configProposal{marker: fmt.Sprintf("mark-%d", o.proposalCount), newestBefore: o.newestConfirmed}
	document := o.document(p.marker)
	switch w.Rng.IntN(10) {
	case 0:
		document["ways"].(Document)["bad"] = Document{"host": "x", "service": "nobody"}
		p.mustBeRejected = true
	case 1:
		document["surprise"] = 1
		p.mustBeRejected = true
	case 2, 3:
		base := o.newestConfirmed
		if w.Rng.IntN(2) == 0 && base > 0 {
			base--
			p.mustBeRejected = true
		}
		p.args.BaseRevision = &base
	case 4, 5, 6:
		if o.newestConfirmed == 0 {
			document = o.document(p.marker)
			break
		}
		p.args.Partial = true
		document = document.markedService(p.marker)
	}
	p.args.Body = operation.Encode(document)
	return p
}

// markedService returns a partial configuration with only the service whose namespace is the
// marker.
func (d Document) markedService(marker string) Document {
	for name, service := range d["services"].(Document) {
		if service.(Document)["namespace"] == marker {
			return Document{"services": Document{name: service}}
		}
	}
	return d
}

// checkConfirmation checks the response to a proposal that was confirmed.
func (o *Operators) checkConfirmation(p configProposal, result *node.Result) {
	w := o.world
	var accepted proposal.Accepted
	if json.Unmarshal(result.Body, &accepted) != nil || accepted.Revision == 0 {
		w.Violate(invariant.ResponseDamaged, "the response to a confirmed proposal has no revision")
		return
	}
	revision := accepted.Revision
	w.counters.configsConfirmed++
	if p.mustBeRejected {
		w.Violate(invariant.ConfigRejected, "the invalid or stale proposal %s was confirmed as revision %d", p.marker, revision)
	}
	if old, ok := o.markerOf[revision]; ok {
		w.Violate(invariant.SequenceRepeated, "revision %d was assigned to proposal %s and to proposal %s", revision, old, p.marker)
	}
	if revision <= p.newestBefore {
		w.Violate(invariant.SequenceRepeated, "revision %d was assigned after revision %d was confirmed", revision, p.newestBefore)
	}
	o.markerOf[revision] = p.marker
	o.newestConfirmed = max(o.newestConfirmed, revision)
	o.awaitSidecars(revision, w.now)
}
