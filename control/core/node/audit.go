package node

import (
	"encoding/json"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/audit/segment"
	"cottonarch.example/cottonarch/control/config/proposal"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/control/register/quorumread"
)

// auditState is the end of the audit log as this core last read or wrote it. Invariant: revision
// and length only rise.
type auditState struct {
	revision ident.ConfigRevision // the newest in the log
	length   int                  // the number of entries
	readAt   monotime.Time
}

// auditPrefix returns the key of the segment that the next entry of the audit log belongs to,
// as far as this core knows, so that the earlier ones are not read again. Without any
// knowledge it is the prefix of the whole log.
func (n *Node) auditPrefix() string {
	if n.audit.length == 0 {
		return segment.Prefix
	}
	return string(segment.Key(n.audit.length))
}

// extendAudit updates the known end of the audit log from a quorum read, and appends the entries
// of the configurations that were accepted since.
func (n *Node) extendAudit(now monotime.Time, reader *quorumread.Reader, fx *Effects) {
	if reader == nil || !n.takeAuditEnd(reader) {
		return
	}
	args := operation.Encode(proposal.AuditArgs{After: n.audit.revision})
	op := proposer.Operation{Key: proposal.Key, Kind: proposal.ReadAuditEntriesKind, Args: args}
	n.submitInternal(now, op, fx, func(now monotime.Time, result Result, fx *Effects) {
		var entries []proposal.AuditEntry
		if result.Failure != nil || json.Unmarshal(result.Body, &entries) != nil {
			return
		}
		n.appendAudit(now, n.audit.length, n.audit.revision, entries, fx)
	})
}

// takeAuditEnd updates the known end of the audit log from a quorum read, and reports whether
// the next entry may be appended there.
func (n *Node) takeAuditEnd(reader *quorumread.Reader) bool {
	logged, complete := AuditEntries(reader.Entries())
	if !complete {
		return false // an append is in progress, or was left on a minority: read again
	}
	from, partial := 0, reader.Prefix != segment.Prefix
	if partial {
		from = n.audit.length - n.audit.length%segment.MaxEntries
	}
	if partial && reader.Prefix != n.auditPrefix() || from+len(logged) < n.audit.length {
		return false // it was read before an append that has ended since
	}
	n.audit.length = from + len(logged)
	if len(logged) > 0 {
		n.audit.revision = logged[len(logged)-1].Revision
	}
	// After a full segment another core may have begun the next one: read that first.
	return !partial || len(logged) != segment.MaxEntries
}

// appendAudit appends the entries after a revision to the audit log, one after the other.
func (n *Node) appendAudit(now monotime.Time, index int, audited ident.ConfigRevision, entries []proposal.AuditEntry, fx *Effects) {
	for len(entries) > 0 && entries[0].Revision <= audited {
		entries = entries[1:]
	}
	if len(entries) == 0 {
		return
	}
	args := operation.Encode(segment.AppendArgs{Index: index, Entry: entries[0]})
	op := proposer.Operation{Key: segment.Key(index), Kind: segment.AppendKind, Args: args}
	n.submitInternal(now, op, fx, func(now monotime.Time, result Result, fx *Effects) {
		if result.Failure != nil {
			return
		}
		n.audit.revision, n.audit.length = entries[0].Revision, index+1
		n.appendAudit(now, index+1, n.audit.revision, entries[1:], fx)
	})
}

// AuditEntries joins the segments of the audit log. It is complete only if a majority agrees
// on every one of them.
func AuditEntries(found map[ident.Key]quorumread.Entry) (entries []proposal.AuditEntry, complete bool) {
	for _, k := range sortedKeys(found) {
		var stored segment.State
		if state := operation.State(found[k].Record.Value); len(state) > 0 && json.Unmarshal(state, &stored) != nil {
			return nil, false
		}
		if !found[k].Agreed {
			return nil, false
		}
		entries = append(entries, stored.Entries...)
	}
	return entries, true
}
