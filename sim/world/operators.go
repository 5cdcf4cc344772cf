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

// Operators are clients that propose configurations: whole and partial, valid and invalid, and
// several at a time.
type Operators struct {
	world           *World
	interval        time.Duration
	document        func(marker string) Document
	proposalCount   int
	awaitedSidecars int // configurations that sidecars are still awaited to show, over all sidecars
	newestConfirmed ident.ConfigRevision
	markerOf        map[ident.ConfigRevision]string // of the confirmed proposals
}

// Document is the JSON object of a configuration.
type Document map[string]any

// configProposal is one proposal of the operators.
type configProposal struct {
	marker       string
	args         proposal.Args
	mustFail     bool                 // it is invalid or on an old base
	newestBefore ident.ConfigRevision // the newest confirmed revision when it was sent
}

// StartOperators starts operators that propose about once an interval. document makes a whole
// configuration that bears a marker as the namespace of one service.
func (w *World) StartOperators(interval time.Duration, document func(marker string) Document) *Operators {
	o := &Operators{world: w, interval: interval, document: document, markerOf: map[ident.ConfigRevision]string{}}
	o.operate()
	return o
}

// operate sends one proposal, or a few at a time.
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

// Propose sends one proposal to some core.
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
			o.confirmed(p, result)
		}
	})
}

// newProposal draws a proposal.
func (o *Operators) newProposal() configProposal {
	w := o.world
	o.proposalCount++
	p := configProposal{marker: fmt.Sprintf("mark-%d", o.proposalCount), newestBefore: o.newestConfirmed}
	document := o.document(p.marker)
	switch w.Rng.IntN(10) {
	case 0:
		document["ways"].(Document)["bad"] = Document{"host": "x", "service": "nobody"}
		p.mustFail = true
	case 1:
		document["surprise"] = 1
		p.mustFail = true
	case 2, 3:
		base := o.newestConfirmed
		if w.Rng.IntN(2) == 0 && base > 0 {
			base--
			p.mustFail = true
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

// markedService is the part of a configuration with just the service that bears the marker.
func (d Document) markedService(marker string) Document {
	for name, service := range d["services"].(Document) {
		if service.(Document)["namespace"] == marker {
			return Document{"services": Document{name: service}}
		}
	}
	return d
}

// confirmed checks the response to a proposal that was confirmed.
func (o *Operators) confirmed(p configProposal, result *node.Result) {
	w := o.world
	var accepted proposal.Accepted
	if json.Unmarshal(result.Body, &accepted) != nil || accepted.Revision == 0 {
		w.Violate(invariant.ResponseDamaged, "a confirmation without revision")
		return
	}
	revision := accepted.Revision
	w.counters.configsConfirmed++
	if p.mustFail {
		w.Violate(invariant.ConfigRejected, "an invalid or stale proposal (%s) was confirmed as revision %d", p.marker, revision)
	}
	if old, ok := o.markerOf[revision]; ok {
		w.Violate(invariant.SequenceRepeated, "revision %d was given to %s and %s", revision, old, p.marker)
	}
	if revision <= p.newestBefore {
		w.Violate(invariant.SequenceRepeated, "revision %d was given after %d was confirmed", revision, p.newestBefore)
	}
	o.markerOf[revision] = p.marker
	o.newestConfirmed = max(o.newestConfirmed, revision)
	o.awaitSidecars(revision, w.now)
}
