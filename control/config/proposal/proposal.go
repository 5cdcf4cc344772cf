// Package proposal is the state machine of the control key that stores the configuration:
// it accepts and rejects the operators' proposals.
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

// Handlers returns the operations of the control key.
func Handlers() operation.Table {
	return operation.Table{ProposeKind: propose, ReadKind: readState, ReadRevisionKind: readRevision, ReadAuditEntriesKind: readAuditEntries}
}

// Args are the arguments of a proposal.
type Args struct {
	// Partial is how releases without Kind say MergePatch.
	Partial bool `json:"partial,omitempty"`
	Kind    Kind `json:"kind,omitempty"`
	// BaseRevision, when given, is the revision that the proposal builds on.
	BaseRevision *ident.ConfigRevision `json:"baseEpoch,omitempty"`
	// BaseVersion, when given, is the version that the proposal builds on, 0 for none yet; the
	// proposal must then have a higher version.
	BaseVersion *uint64 `json:"baseRelease,omitempty"`
	// AllowUnknown accepts fields that the mesh does not know; they are stored and ignored.
	AllowUnknown bool `json:"loose,omitempty"`
	// OperationID is the operator's own identifier of the proposal, if it gave one.
	OperationID string `json:"op,omitempty"`
	// Body is the document or the patch as it was sent.
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

// fingerprint identifies the proposal by its kind, its base, its identifier and its body,
// re-encoded with sorted fields. Stored logs hold fingerprints: what is hashed must not change.
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

// status returns what the log knows of the proposal. One that has neither a base nor an
// identifier is always a new one.
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

// markUncertain makes the outcome of a rejection unknown if the proposal may have been
// accepted before: it names no base and the log has forgotten changes.
func (a Args) markUncertain(log history.Log, err *failure.Error) *failure.Error {
	if status, _ := a.status(log, ""); status == history.Unknown {
		err.Outcome = failure.OutcomeUnknown
	}
	return err
}
