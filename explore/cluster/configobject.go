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

const (
	proposeOnRevision = "order on its epoch"
	proposeOnVersion  = "order on its release"
	readConfig        = "read"
)

// configObject is the configuration. Versions are kept equal to revisions, so a proposal is based
// on the same configuration whichever of the two it names. Invariants: Accepted holds the content
// of the proposal that was acknowledged, by the revision that it made; Rejected holds the
// contents that were rejected.
type configObject struct {
	Accepted map[uint64]string
	Floor    uint64
	Rejected map[string]bool
}

func newConfig(int) object {
	return &configObject{Accepted: map[uint64]string{}, Rejected: map[string]bool{}}
}

func (m *configObject) key() ident.Key { return proposal.Key }

func (m *configObject) operations(*client) []string {
	return []string{proposeOnRevision, proposeOnVersion, readConfig}
}

func (m *configObject) prepare(op *clientOperation) (string, json.RawMessage) {
	op.Floor = m.Floor
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

func (m *configObject) succeeded(c *Cluster, op *clientOperation, out proposer.Outcome) {
	if op.Name == readConfig {
		m.checkRead(c, op, out)
		return
	}
	var yes proposal.Accepted
	_ = json.Unmarshal(out.Body, &yes)
	revision := uint64(yes.Revision)
	old, known := m.Accepted[revision]
	switch {
	case known && old != op.Content:
		c.violate(RuleBaseConflict, "%s and %s were both accepted as revision %d", old, op.Content, revision)
	case !known && revision <= op.Floor && !op.Resent:
		c.violate(RuleRepeatedNumber, "revision %d was given after %d", revision, op.Floor)
	}
	for _, other := range slices.Sorted(maps.Keys(m.Accepted)) {
		if m.Accepted[other] == op.Content && other != revision {
			c.violate(RuleNotIdempotent, "%s was accepted as revision %d and, resent, as %d", op.Content, other, revision)
		}
	}
	if revision != op.Base+1 {
		c.violate(RuleBaseConflict, "%s is based on revision %d and was accepted as revision %d, after another on that base", op.Content, op.Base, revision)
	}
	m.Accepted[revision] = op.Content
	m.Floor = max(m.Floor, revision)
	c.clients[op.Client-1].setBase(op.Object, revision)
}

// checkRead checks the response to a read.
func (m *configObject) checkRead(c *Cluster, op *clientOperation, out proposer.Outcome) {
	var held proposal.State
	_ = json.Unmarshal(out.Body, &held)
	if uint64(held.Revision) < op.Floor {
		c.violate(RuleStaleRead, "client %d read revision %d, %d had been acknowledged", op.Client, held.Revision, op.Floor)
	}
	m.compare(c, held)
	m.Floor = max(m.Floor, uint64(held.Revision))
	c.clients[op.Client-1].setBase(op.Object, uint64(held.Revision))
}

// compare compares a configuration with what was acknowledged and rejected.
func (m *configObject) compare(c *Cluster, held proposal.State) {
	var body struct {
		By string `json:"by"`
	}
	_ = json.Unmarshal(held.Document, &body)
	if old, known := m.Accepted[uint64(held.Revision)]; known && old != body.By {
		c.violate(RuleLostWrite, "revision %d has %s, %s was acknowledged", held.Revision, body.By, old)
	}
	if m.Rejected[body.By] {
		c.violate(RuleRejectedApplied, "%s was rejected and is in force as revision %d", body.By, held.Revision)
	}
}

// checkResend checks the rejection of a proposal: it must not have been accepted before.
func (m *configObject) checkResend(c *Cluster, op *clientOperation, rejection *failure.Error) {
	for _, revision := range slices.Sorted(maps.Keys(m.Accepted)) {
		if op.Resent && m.Accepted[revision] == op.Content {
			c.violate(RuleNotIdempotent, "%s was accepted as revision %d and, resent, is rejected: %s", op.Content, revision, rejection.Message)
		}
	}
}

func (m *configObject) rejected(op *clientOperation) { m.Rejected[op.Content] = true }

func (m *configObject) inspect(c *Cluster, found quorum.Record) {
	var held proposal.State
	_ = json.Unmarshal(operation.State(found.Value), &held)
	if uint64(held.Revision) < m.Floor {
		c.violate(RuleLostWrite, "a majority knows revision %d, %d was acknowledged", held.Revision, m.Floor)
		return
	}
	if uint64(held.Revision) == m.Floor && m.Floor > 0 {
		m.compare(c, held)
	}
}
