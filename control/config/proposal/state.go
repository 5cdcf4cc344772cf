package proposal

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/config/history"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/register/proposer"
)

// State is the state of the control key: the newest configuration and the data needed to evaluate
// proposals. Invariants: Version never decreases; as long as every proposal names a base version,
// each change increases Version.
type State struct {
	// Revision is the revision of the control key at which Document took effect.
	Revision ident.ConfigRevision `json:"epoch"`
	// Version is the version that the operators assigned to the document.
	Version uint64 `json:"release,omitempty"`
	// AllowUnknown is true if Document may have fields and names that only validation.Lenient
	// accepts.
	AllowUnknown bool            `json:"loose,omitempty"`
	Document     json.RawMessage `json:"manifest"`
	// AuditEntries are the newest entries for the audit log in order of revision; the last entry is
	// the entry of Revision.
	AuditEntries []AuditEntry `json:"lines,omitempty"`
	// Log holds the newest accepted proposals.
	Log *history.Log `json:"chain,omitempty"`
}

// isCurrent reports whether the proposal is the whole configuration in force.
func (s *State) isCurrent(args Args, encodedBody json.RawMessage) bool {
	if args.kind() != FullConfig || len(s.AuditEntries) == 0 {
		return false
	}
	last := s.AuditEntries[len(s.AuditEntries)-1]
	return last.Revision == s.Revision && last.SHA256 == digest(encodedBody)
}

// digest returns the SHA-256 sum of an encoded document, in hexadecimal.
func digest(document json.RawMessage) string {
	hash := sha256.Sum256(document)
	return hex.EncodeToString(hash[:])
}

// readState responds with the configuration in force.
func readState(_ proposer.Context, rawState, rawArgs json.RawMessage) operation.Result {
	current, _, err := operation.DecodeAs[State, Args](rawState, rawArgs)
	if err != nil {
		return operation.Rejected(err)
	}
	current.AuditEntries, current.Log = nil, nil
	return operation.Result{Body: operation.Encode(current)}
}

// readRevision responds with the newest revision, which is the revision of the control key.
func readRevision(context proposer.Context, _, _ json.RawMessage) operation.Result {
	return operation.Result{Body: operation.Encode(Accepted{Revision: ident.ConfigRevision(context.Revision)})}
}
