// Package proposal is the machine of the manifest's control key.
package proposal

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/config/decode"
	"cottonarch.example/cottonarch/control/config/history"
	"cottonarch.example/cottonarch/control/config/merge"
	"cottonarch.example/cottonarch/control/config/patch"
	"cottonarch.example/cottonarch/control/config/validation"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/register/proposer"
)

// Key is the manifest's control key. Invariant: its revision is the manifest epoch.
const Key ident.Key = "manifest"

// Kind is how an offer's body stands to the manifest in force.
type Kind string

// The kinds of offer.
const (
	FullConfig Kind = ""       // it is the manifest
	MergePatch Kind = "part"   // laid over it field by field, null takes away
	ItemPatch  Kind = "change" // named items put in and taken away
)

// composeByKind make a whole manifest of the newest one and a body.
var composeByKind = map[Kind]func(base, body map[string]any, allowUnknown bool) (map[string]any, *failure.Error){
	FullConfig: func(_, body map[string]any, _ bool) (map[string]any, *failure.Error) { return body, nil },
	MergePatch: func(base, body map[string]any, _ bool) (map[string]any, *failure.Error) {
		return merge.Merge(base, body), nil
	},
	ItemPatch: patch.Apply,
}

// Args are an operator's offer.
type Args struct {
	// Partial is Kind Part, as releases before Kind said it.
	Partial      bool         `json:"partial,omitempty"`
	Kind         Kind         `json:"kind,omitempty"`
	BaseRevision *ident.Epoch `json:"baseEpoch,omitempty"`
	// BaseVersion, when given, is the release that the offer builds on, 0 for none yet. The
	// offer then needs a release above it. See answered for what a repeat is told.
	BaseVersion *uint64 `json:"baseRelease,omitempty"`
	// AllowUnknown keeps and ignores fields that the mesh does not know.
	AllowUnknown bool `json:"loose,omitempty"`
	// OperationID is the operator's own name for the proposal, if it gave one.
	OperationID string `json:"op,omitempty"`
	// Body is the manifest as sent.
	Body json.RawMessage `json:"manifest"`
}

func (a Args) kind() Kind {
	if a.Partial {
		return MergePatch
	}
	return a.Kind
}

// State is the state: the newest manifest, whole, and the epoch it came in force with.
// Invariant: Release never falls; with base releases given, it rises with every change.
type State struct {
	Revision     ident.Epoch     `json:"epoch"`
	Version      uint64          `json:"release,omitempty"`
	AllowUnknown bool            `json:"loose,omitempty"`
	Document     json.RawMessage `json:"manifest"`
	// AuditEntries are the newest lines for the audit log, in order of epoch; the last is that of
	// the newest epoch.
	AuditEntries []AuditEntry `json:"lines,omitempty"`
	// Log are the newest proposals that were taken.
	Log *history.Log `json:"chain,omitempty"`
}

// AuditEntry says what an epoch brought. Invariant: Sum is the SHA-256 of the whole manifest
// as it is stored and read back.
type AuditEntry struct {
	Revision ident.Epoch `json:"epoch"`
	SHA256   string      `json:"sha256"`
	Partial  bool        `json:"partial,omitempty"`
}

// maxAuditEntries is how many lines wait for the audit log at most.
const maxAuditEntries = 256

// AuditArgs are those of a question for the lines. Invariant: the audit log holds every
// line up to the epoch After.
type AuditArgs struct {
	After ident.Epoch `json:"after,omitempty"`
}

// auditedThrough is what an owner knows in its term of the audit log: every line up to this
// epoch stands there. A new owner knows nothing, and drops no line until it is told.
type auditedThrough ident.Epoch

// Accepted is the return to a winning offer.
type Accepted struct {
	Revision ident.Epoch `json:"epoch"`
	Version  uint64      `json:"release,omitempty"`
}

// Handlers are the handlers.
func Handlers() operation.Table {
	return operation.Table{"manifest/offer": propose, "manifest/read": readState, "manifest/epoch": readRevision, "manifest/lines": readAuditEntries}
}

func propose(context proposer.Context, rawState, rawArgs json.RawMessage) operation.Result {
	var current State
	var args Args
	if err := operation.Decode(rawState, rawArgs, &current, &args); err != nil {
		return operation.Rejected(err)
	}
	body, err := decode.Parse(args.Body)
	if err != nil {
		return operation.Rejected(err)
	}
	sent := operation.Encode(body)
	log := current.Log.ContinueAt(current.Revision, current.Version)
	fingerprint := args.fingerprint(sent)
	if result, ok := current.answerWithoutEvaluation(args, log, fingerprint, sent); ok {
		return result
	}
	next, err := current.evaluate(context, args, body)
	if err != nil {
		return operation.Rejected(args.markUncertain(log, err))
	}
	log = log.Append(next.Version, fingerprint)
	next.Log = &log
	return operation.Result{State: operation.Encode(next), Body: operation.Encode(Accepted{next.Revision, next.Version}), Decoded: context.Decoded}
}

// answerWithoutEvaluation is the return to a proposal that need not be judged, or must not be any more. A
// repeat of a taken one is told the first yes again, and so is the whole manifest that is
// the newest. A conflict is said only where it is proved that this proposal was not taken;
// where that is forgotten its fate is unknown.
func (s *State) answerWithoutEvaluation(a Args, log history.Log, fingerprint history.Fingerprint, sent json.RawMessage) (operation.Result, bool) {
	status, change := a.status(log, fingerprint)
	if status == history.Accepted {
		return operation.Result{Body: operation.Encode(Accepted{change.Revision, change.Version})}, true
	}
	if a.BaseVersion != nil && s.isCurrent(a, sent) {
		return operation.Result{Body: operation.Encode(Accepted{s.Revision, s.Version})}, true
	}
	switch {
	case status == history.Undecided || a.BaseVersion == nil && a.BaseRevision == nil:
		return operation.Result{}, false
	case status == history.Forgotten:
		return operation.Rejected(failure.NewUnknown(failure.UnknownOutcome, "the manifest is at epoch %d and release %d; whether this was taken long before is not known any more", s.Revision, s.Version)), true
	case a.BaseVersion != nil:
		return operation.Rejected(failure.New(failure.Conflict, "the manifest is at release %d, not %d", s.Version, *a.BaseVersion)), true
	default:
		return operation.Rejected(failure.New(failure.Conflict, "the manifest is at epoch %d, not %d", s.Revision, *a.BaseRevision)), true
	}
}

// status is what is known of the proposal. One that names neither a base nor itself is
// always a new one.
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

// markUncertain leaves a refusal's fate unknown where the proposal may have been taken before: it
// names itself and no base, and the chain has forgotten changes.
func (a Args) markUncertain(log history.Log, err *failure.Error) *failure.Error {
	if status, _ := a.status(log, ""); status == history.Forgotten {
		err.Outcome = failure.OutcomeUnknown
	}
	return err
}

// evaluate judges a proposal on the newest manifest and gives the state after it.
func (s *State) evaluate(context proposer.Context, a Args, body map[string]any) (next State, err *failure.Error) {
	document, err := s.compose(a, body)
	if err != nil {
		return next, err
	}
	allowUnknown := a.AllowUnknown || a.kind() != FullConfig && s.AllowUnknown
	validate := validation.Strict
	if allowUnknown {
		validate = validation.Lenient
	}
	config, err := validate(document)
	if err != nil {
		return next, err
	}
	if err := s.checkVersion(a, body, config.Version); err != nil {
		return next, err
	}
	encoded := operation.Encode(document)
	if len(encoded) > validation.MaxBytes {
		return next, failure.New(failure.Oversize, "a manifest is at most %d bytes", validation.MaxBytes)
	}
	next = State{Revision: ident.Epoch(context.Revision) + 1, Version: max(s.Version, config.Version), AllowUnknown: allowUnknown, Document: encoded}
	next.AuditEntries = lastEntries(append(s.pendingAuditEntries(context), AuditEntry{Revision: next.Revision, SHA256: digest(encoded), Partial: a.kind() != FullConfig}))
	return next, nil
}

// fingerprint names the proposal by its kind, its base, its own name and its body with its fields
// in order.
func (a Args) fingerprint(sent json.RawMessage) history.Fingerprint {
	base := ""
	switch {
	case a.BaseVersion != nil:
		base = fmt.Sprint("release ", *a.BaseVersion)
	case a.BaseRevision != nil:
		base = fmt.Sprint("epoch ", *a.BaseRevision)
	}
	return history.FingerprintOf(string(a.kind()), base, a.OperationID, string(sent))
}

// isCurrent tells whether the proposal is the whole manifest in force.
func (s *State) isCurrent(a Args, sent json.RawMessage) bool {
	count := len(s.AuditEntries)
	return a.kind() == FullConfig && count > 0 && s.AuditEntries[count-1].Revision == s.Revision && s.AuditEntries[count-1].SHA256 == digest(sent)
}

// compose makes the whole manifest that is offered.
func (s *State) compose(a Args, body map[string]any) (map[string]any, *failure.Error) {
	composeDocument, ok := composeByKind[a.kind()]
	if !ok {
		return nil, failure.New(failure.Malformed, "no kind of offer %q", a.Kind)
	}
	base := map[string]any{}
	if a.kind() != FullConfig && len(s.Document) > 0 {
		var err *failure.Error
		if base, err = decode.Parse(s.Document); err != nil {
			return nil, err
		}
	}
	return composeDocument(base, body, a.AllowUnknown)
}

// checkVersion looks at the release: with a base release it must be given and above the one in
// force, else it must not be below it.
func (s *State) checkVersion(a Args, body map[string]any, version uint64) *failure.Error {
	_, given := body["release"]
	if a.BaseVersion != nil && (!given || version <= s.Version) || given && version < s.Version {
		err := failure.New(failure.Invalid, "1 faults")
		err.Faults = []failure.Fault{{Path: "release", Note: fmt.Sprintf("must be above %d", s.Version)}}
		return err
	}
	return nil
}

// pendingAuditEntries are the lines that the audit log is not known to hold.
func (s *State) pendingAuditEntries(context proposer.Context) []AuditEntry {
	audited, _ := context.Decoded.(auditedThrough)
	return slices.DeleteFunc(s.AuditEntries, func(entry AuditEntry) bool { return entry.Revision <= ident.Epoch(audited) })
}

func digest(body json.RawMessage) string {
	hash := sha256.Sum256(body)
	return hex.EncodeToString(hash[:])
}

func lastEntries[T any](entries []T) []T { return entries[max(0, len(entries)-maxAuditEntries):] }

func readState(_ proposer.Context, rawState, rawArgs json.RawMessage) operation.Result {
	var current State
	var args Args
	if err := operation.Decode(rawState, rawArgs, &current, &args); err != nil {
		return operation.Rejected(err)
	}
	current.AuditEntries, current.Log = nil, nil
	return operation.Result{Body: operation.Encode(current)}
}

// readAuditEntries tells the lines that wait for the audit log, and learns up to where it has them.
func readAuditEntries(context proposer.Context, rawState, rawArgs json.RawMessage) operation.Result {
	var current State
	var args AuditArgs
	if err := operation.Decode(rawState, rawArgs, &current, &args); err != nil {
		return operation.Rejected(err)
	}
	audited, _ := context.Decoded.(auditedThrough)
	return operation.Result{Body: operation.Encode(current.AuditEntries), Decoded: max(audited, auditedThrough(args.After))}
}

// readRevision tells the newest epoch, which is the key's revision.
func readRevision(context proposer.Context, _, _ json.RawMessage) operation.Result {
	return operation.Result{Body: operation.Encode(Accepted{Revision: ident.Epoch(context.Revision)})}
}
