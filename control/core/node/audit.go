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

// auditState describes the end of the audit log as of this core's last read or append. Invariant:
// revision and length never decrease.
type auditState struct {
	revision ident.ConfigRevision // the newest revision in the log
	length   int                  // the number of entries
	readAt   monotime.Time
}

// auditPrefix returns the key prefix to read: the key of the segment to which the next entry of the
// audit log belongs, so that earlier segments are not read again. If the length of the log is
// unknown, auditPrefix returns the prefix of the whole log.
func (n *Node) auditPrefix() string {
	if n.audit.length == 0 {
		return segment.Prefix
	}
	return string(segment.Key(n.audit.length))
}

// extendAudit updates the known end of the audit log from a quorum read, and appends entries for
// the configurations that were accepted after the last entry.
func (n *Node) extendAudit(now monotime.Time, reader *quorumread.Reader, fx *Effects) {
	if reader == nil || !n.updateAuditEnd(reader) {
		return
	}
	args := operation.Encode(proposal.AuditArgs{After: n.audit.revision})
	op := proposer.Operation{Key: proposal.Key, Kind: proposal.ReadAuditEntriesKind, Args: args}
	n.submitInternal(now, op, fx, func(now monotime.Time, result Result, fx *Effects) {
		var entries []proposal.AuditEntry
		if result.Failure != nil || json.Unmarshal(result.Body, &entries) != nil {
			return
		}
		n.appendAuditEntries(now, n.audit.length, n.audit.revision, entries, fx)
	})
}

// updateAuditEnd updates the known end of the audit log from a quorum read, and reports whether the
// next entry may be appended at that end.
func (n *Node) updateAuditEnd(reader *quorumread.Reader) bool {
	logged, complete := AuditEntries(reader.Entries())
	if !complete {
		return false // an append is in progress or reached only a minority: the log is read again
	}
	from, partial := 0, reader.Prefix != segment.Prefix
	if partial {
		from = n.audit.length - n.audit.length%segment.MaxEntries
	}
	if partial && reader.Prefix != n.auditPrefix() || from+len(logged) < n.audit.length {
		return false // the read is older than an append that has completed
	}
	n.audit.length = from + len(logged)
	if len(logged) > 0 {
		n.audit.revision = logged[len(logged)-1].Revision
	}
	// If the segment is full, another core may have started the next segment, which must be read
	// first.
	return !partial || len(logged) != segment.MaxEntries
}

// appendAuditEntries appends the entries newer than lastRevision to the audit log, one at a time.
func (n *Node) appendAuditEntries(now monotime.Time, index int, lastRevision ident.ConfigRevision, entries []proposal.AuditEntry, fx *Effects) {
	for len(entries) > 0 && entries[0].Revision <= lastRevision {
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
		n.appendAuditEntries(now, index+1, n.audit.revision, entries[1:], fx)
	})
}

// AuditEntries concatenates the entries of all segments of the audit log. complete is true only if
// every segment could be decoded and a majority agrees on every segment.
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
