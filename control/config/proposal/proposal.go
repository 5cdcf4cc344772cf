// Package proposal implements the state machine of the control key that stores the configuration.
// The state machine accepts or rejects the operators' proposals.
package proposal

import (
	"encoding/json"
	"fmt"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/config/history"
	"cottonarch.example/cottonarch/control/coordination/operation"
)

// Key is the control key of the configuration. Invariant: its revision is the revision of
// the configuration.
const Key ident.Key = "manifest"

// The kinds of operations on the configuration.
const (
	ProposeKind          = "manifest/offer"
	ReadKind             = "manifest/read"
	ReadRevisionKind     = "manifest/epoch"
	ReadAuditEntriesKind = "manifest/lines"
)

// Handlers returns the handlers of the operations on the configuration.
func Handlers() operation.Table {
	return operation.Table{ProposeKind: propose, ReadKind: readState, ReadRevisionKind: readRevision, ReadAuditEntriesKind: readAuditEntries}
}

// Args are the arguments of a proposal.
type Args struct {
	// Partial means MergePatch. Releases that do not support Kind set Partial.
	Partial bool `json:"partial,omitempty"`
	Kind    Kind `json:"kind,omitempty"`
	// BaseRevision, if set, is the revision on which the proposal is based.
	BaseRevision *ident.ConfigRevision `json:"baseEpoch,omitempty"`
	// BaseVersion, if set, is the version on which the proposal is based, 0 if there is no version
	// yet; the proposal must then have a higher version.
	BaseVersion *uint64 `json:"baseRelease,omitempty"`
	// AllowUnknown accepts unknown fields, which are stored and ignored.
	AllowUnknown bool `json:"loose,omitempty"`
	// OperationID is the identifier that the operator assigned to the proposal, "" if none.
	OperationID string `json:"op,omitempty"`
	// Body is the document or the patch as sent by the operator.
	Body json.RawMessage `json:"manifest"`
}

// Accepted is the response to an accepted proposal.
type Accepted struct {
	Revision ident.ConfigRevision `json:"epoch"`
	Version  uint64               `json:"release,omitempty"`
}

func (a Args) kind() Kind {
	if a.Partial {
		return MergePatch
	}
	return a.Kind
}

// fingerprint identifies the proposal by its kind, base, identifier and body, re-encoded with
// sorted fields. Stored logs hold fingerprints, so the hashed text must not change.
func (a Args) fingerprint(encodedBody json.RawMessage) history.Fingerprint {
	base := ""
	switch {
	case a.BaseVersion != nil:
		base = fmt.Sprint("release ", *a.BaseVersion)
	case a.BaseRevision != nil:
		base = fmt.Sprint("epoch ", *a.BaseRevision)
	}
	return history.FingerprintOf(string(a.kind()), base, a.OperationID, string(encodedBody))
}

// status returns the status of the proposal according to the log. A proposal with neither a base
// nor an identifier is always treated as a new proposal.
func (a Args) status(log history.Log, fingerprint history.Fingerprint) (history.Status, history.Change) {
	switch {
	case a.BaseVersion != nil:
		return log.StatusOnVersion(*a.BaseVersion, fingerprint)
	case a.BaseRevision != nil:
		return log.StatusOnRevision(*a.BaseRevision, fingerprint)
	case a.OperationID != "":
		return log.StatusOf(fingerprint)
	default:
		return history.Undecided, history.Change{}
	}
}

// markOutcomeUnknown sets the outcome of a rejection to unknown if the proposal may have been
// accepted before: the proposal names no base, and the log does not reach back to the first
// revision.
func (a Args) markOutcomeUnknown(log history.Log, err *failure.Error) *failure.Error {
	if status, _ := a.status(log, ""); status == history.Unknown {
		err.Outcome = failure.OutcomeUnknown
	}
	return err
}
