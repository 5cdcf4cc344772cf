package proposal

import (
	"encoding/json"
	"slices"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/register/proposer"
)

// maxAuditEntries bounds the stored entries that are not yet known to be in the audit log.
const maxAuditEntries = 256

// AuditEntry records the configuration of one revision for the audit log.
type AuditEntry struct {
	Revision ident.ConfigRevision `json:"epoch"`
	// SHA256 is the SHA-256 sum, in hexadecimal, of the whole document as it is stored.
	SHA256  string `json:"sha256"`
	Partial bool   `json:"partial,omitempty"`
}

// AuditArgs are the arguments of a read of the audit entries. Invariant: the audit log holds
// every entry up to the revision After.
type AuditArgs struct {
	After ident.ConfigRevision `json:"after,omitempty"`
}

// auditedThrough is the revision up to which the proposer knows, in its term, that the audit log
// holds every entry. The value is 0 for a new proposer, which therefore drops no entry until a read
// of the entries names the revision.
type auditedThrough ident.ConfigRevision

// pendingAuditEntries returns the entries that are not known to be in the audit log.
func (s *State) pendingAuditEntries(context proposer.Context) []AuditEntry {
	audited, _ := context.Decoded.(auditedThrough)
	return slices.DeleteFunc(s.AuditEntries, func(entry AuditEntry) bool { return entry.Revision <= ident.ConfigRevision(audited) })
}

// newestEntries returns the last maxAuditEntries entries.
func newestEntries(entries []AuditEntry) []AuditEntry {
	return entries[max(0, len(entries)-maxAuditEntries):]
}

// readAuditEntries responds with the stored audit entries, and keeps in Decoded the revision up to
// which the audit log holds every entry.
func readAuditEntries(context proposer.Context, rawState, rawArgs json.RawMessage) operation.Result {
	current, args, err := operation.DecodeAs[State, AuditArgs](rawState, rawArgs)
	if err != nil {
		return operation.Rejected(err)
	}
	audited, _ := context.Decoded.(auditedThrough)
	return operation.Result{Body: operation.Encode(current.AuditEntries), Decoded: max(audited, auditedThrough(args.After))}
}
