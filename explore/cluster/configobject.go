package cluster

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/config/proposal"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/control/register/quorum"
)

// The names of the operations on the configuration in traces: a proposal that names its base by the
// revision, a proposal that names its base by the version, and a read.
const (
	proposeOnRevision = "order on its epoch"
	proposeOnVersion  = "order on its release"
	readConfig        = "read"
)

// configObject is the configuration. Versions are kept equal to revisions, so that a base version
// and an equal base revision name the same configuration. Invariants: Accepted holds the contents of
// the acknowledged proposals by the resulting revision; NewestKnown is the newest revision that was
// acknowledged or read; Rejected holds the contents of the rejected proposals.
type configObject struct {
	Accepted    map[uint64]string
	NewestKnown uint64
	Rejected    map[string]bool
}

func newConfig(int) object {
	return &configObject{Accepted: map[uint64]string{}, Rejected: map[string]bool{}}
}

func (o *configObject) key() ident.Key { return proposal.Key }

func (o *configObject) operations(*client) []string {
	return []string{proposeOnRevision, proposeOnVersion, readConfig}
}

func (o *configObject) prepare(op *clientOperation) (string, json.RawMessage) {
	op.LowerBound = o.NewestKnown
	if op.Name == readConfig {
		return proposal.ReadKind, nil
	}
	body := fmt.Sprintf(`{"release":%d,"by":%q}`, op.Base+1, op.Content)
	args := proposal.Args{AllowUnknown: true, Body: json.RawMessage(body)}
	if op.Name == proposeOnVersion {
		args.BaseVersion = &op.Base
	} else {
		base := ident.ConfigRevision(op.Base)
		args.BaseRevision = &base
	}
	return proposal.ProposeKind, operation.Encode(args)
}

func (o *configObject) succeeded(c *Cluster, op *clientOperation, out proposer.Outcome) {
	if op.Name == readConfig {
		o.checkRead(c, op, out)
		return
	}
	var accepted proposal.Accepted
	_ = json.Unmarshal(out.Body, &accepted)
	revision := uint64(accepted.Revision)
	old, known := o.Accepted[revision]
	switch {
	case known && old != op.Content:
		c.recordViolation(RuleBaseConflict, "proposals %s and %s were both accepted as revision %d", old, op.Content, revision)
	case !known && revision <= op.LowerBound && !op.Resent:
		c.recordViolation(RuleRepeatedNumber, "revision %d was assigned after revision %d", revision, op.LowerBound)
	}
	for _, other := range slices.Sorted(maps.Keys(o.Accepted)) {
		if o.Accepted[other] == op.Content && other != revision {
			c.recordViolation(RuleNotIdempotent, "proposal %s was accepted as revision %d and, resent, as revision %d", op.Content, other, revision)
		}
	}
	if revision != op.Base+1 {
		c.recordViolation(RuleBaseConflict, "proposal %s on base revision %d was accepted as revision %d, after another proposal on that base", op.Content, op.Base, revision)
	}
	o.Accepted[revision] = op.Content
	o.NewestKnown = max(o.NewestKnown, revision)
	c.clients[op.Client-1].setBaseRevision(op.Object, revision)
}

// checkRead checks and records the response to a read.
func (o *configObject) checkRead(c *Cluster, op *clientOperation, out proposer.Outcome) {
	var held proposal.State
	_ = json.Unmarshal(out.Body, &held)
	if uint64(held.Revision) < op.LowerBound {
		c.recordViolation(RuleStaleRead, "client %d read revision %d of the configuration, but revision %d had been acknowledged before the read", op.Client, held.Revision, op.LowerBound)
	}
	o.checkDocument(c, held)
	o.NewestKnown = max(o.NewestKnown, uint64(held.Revision))
	c.clients[op.Client-1].setBaseRevision(op.Object, uint64(held.Revision))
}

// checkDocument checks a configuration against the acknowledged and the rejected proposals.
func (o *configObject) checkDocument(c *Cluster, held proposal.State) {
	var body struct {
		By string `json:"by"`
	}
	_ = json.Unmarshal(held.Document, &body)
	if old, known := o.Accepted[uint64(held.Revision)]; known && old != body.By {
		c.recordViolation(RuleLostWrite, "revision %d has the content of proposal %s, but proposal %s was acknowledged", held.Revision, body.By, old)
	}
	if o.Rejected[body.By] {
		c.recordViolation(RuleRejectedApplied, "proposal %s was rejected but took effect as revision %d", body.By, held.Revision)
	}
}

// checkResend checks the rejection of a proposal: a resent proposal must not be rejected if the
// proposal was accepted before.
func (o *configObject) checkResend(c *Cluster, op *clientOperation, rejection *failure.Error) {
	for _, revision := range slices.Sorted(maps.Keys(o.Accepted)) {
		if op.Resent && o.Accepted[revision] == op.Content {
			c.recordViolation(RuleNotIdempotent, "proposal %s was accepted as revision %d but rejected when resent: %s", op.Content, revision, rejection.Message)
		}
	}
}

func (o *configObject) rejected(op *clientOperation) { o.Rejected[op.Content] = true }

func (o *configObject) checkMajorityRead(c *Cluster, found quorum.Record) {
	var held proposal.State
	_ = json.Unmarshal(operation.State(found.Value), &held)
	if uint64(held.Revision) < o.NewestKnown {
		c.recordViolation(RuleLostWrite, "a majority read returns configuration revision %d, but revision %d was acknowledged", held.Revision, o.NewestKnown)
		return
	}
	if uint64(held.Revision) == o.NewestKnown && o.NewestKnown > 0 {
		o.checkDocument(c, held)
	}
}
