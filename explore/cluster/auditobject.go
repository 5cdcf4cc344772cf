package cluster

import (
	"encoding/json"
	"maps"
	"slices"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/audit/segment"
	"cottonarch.example/cottonarch/control/config/proposal"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/control/register/quorum"
)

// auditObject is a segment of the audit log. The number of an entry in the segment, from 1, takes
// the place of a revision.
type auditObject struct{ revisionedObject }

func newAudit(index int) object { return &auditObject{newRevisionedObject(index)} }

func (a *auditObject) key() ident.Key { return segment.Key(a.Index * segment.MaxEntries) }

func (a *auditObject) operations(*client) []string { return []string{"append"} }

// auditRevisionStep is the difference between the configuration revisions of successive entries.
const auditRevisionStep = 5

func (a *auditObject) prepare(op *clientOperation) (string, json.RawMessage) {
	op.LowerBound = a.NewestKnown
	op.Base = a.NewestKnown
	entry := proposal.AuditEntry{Revision: ident.ConfigRevision(auditRevisionStep * (a.NewestKnown + 1)), SHA256: op.Content}
	return segment.AppendKind, operation.Encode(segment.AppendArgs{Index: a.Index*segment.MaxEntries + int(a.NewestKnown), Entry: entry})
}

func (a *auditObject) succeeded(c *Cluster, op *clientOperation, _ proposer.Outcome) {
	a.observeValue(c, a.key(), op.Base+1, op.Content)
}

func (a *auditObject) checkMajorityRead(c *Cluster, found quorum.Record) {
	var log segment.State
	_ = json.Unmarshal(operation.State(found.Value), &log)
	for _, at := range slices.Sorted(maps.Keys(a.Values)) {
		if at > uint64(len(log.Entries)) || log.Entries[at-1].SHA256 != a.Values[at] {
			c.recordViolation(RuleLostWrite, "a majority read does not return entry %d of %s, which was acknowledged", at, a.key())
		}
	}
}
