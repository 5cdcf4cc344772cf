package proposal

import (
	"encoding/json"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/config/decode"
	"cottonarch.example/cottonarch/control/config/history"
	"cottonarch.example/cottonarch/control/config/validation"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/register/proposer"
)

// propose accepts a proposal as the next configuration, or rejects it.
func propose(context proposer.Context, rawState, rawArgs json.RawMessage) operation.Result {
	current, args, err := operation.DecodeAs[State, Args](rawState, rawArgs)
	if err != nil {
		return operation.Rejected(err)
	}
	body, err := decode.Parse(args.Body)
	if err != nil {
		return operation.Rejected(err)
	}
	encodedBody := operation.Encode(body)
	log := current.Log.ContinueAt(current.Revision, current.Version)
	fingerprint := args.fingerprint(encodedBody)
	if result, ok := current.answerWithoutEvaluation(args, log, fingerprint, encodedBody); ok {
		return result
	}
	next, err := current.evaluate(context, args, body)
	if err != nil {
		return operation.Rejected(args.markOutcomeUnknown(log, err))
	}
	log = log.Append(next.Version, fingerprint)
	next.Log = &log
	return operation.Result{
		State:   operation.Encode(next),
		Body:    operation.Encode(Accepted{next.Revision, next.Version}),
		Decoded: context.Decoded,
	}
}

// answerWithoutEvaluation answers a proposal that was decided before or whose base is not the
// newest revision or version. It reports false for any other proposal. A repeat of an accepted
// proposal gets the first response again, and so does a proposal of the whole configuration in
// force. Conflict is the answer only if the log proves that the proposal was not accepted; if the
// log does not reach back to the base, the outcome is unknown.
func (s *State) answerWithoutEvaluation(
	args Args, log history.Log, fingerprint history.Fingerprint, encodedBody json.RawMessage,
) (operation.Result, bool) {
	status, change := args.status(log, fingerprint)
	if status == history.Accepted {
		return operation.Result{Body: operation.Encode(Accepted{change.Revision, change.Version})}, true
	}
	if args.BaseVersion != nil && s.isCurrent(args, encodedBody) {
		return operation.Result{Body: operation.Encode(Accepted{s.Revision, s.Version})}, true
	}
	switch {
	case status == history.Undecided || args.BaseVersion == nil && args.BaseRevision == nil:
		return operation.Result{}, false
	case status == history.Unknown:
		return operation.Rejected(failure.NewUnknown(failure.UnknownOutcome,
			"the configuration is at revision %d and version %d; the log no longer shows whether this proposal was accepted before",
			s.Revision, s.Version)), true
	case args.BaseVersion != nil:
		return operation.Rejected(failure.New(failure.Conflict,
			"the configuration is at version %d, not %d", s.Version, *args.BaseVersion)), true
	default:
		return operation.Rejected(failure.New(failure.Conflict,
			"the configuration is at revision %d, not %d", s.Revision, *args.BaseRevision)), true
	}
}

// evaluate validates a proposal against the configuration in force and returns the next state,
// without its Log.
func (s *State) evaluate(context proposer.Context, args Args, body map[string]any) (next State, err *failure.Error) {
	document, err := s.compose(args, body)
	if err != nil {
		return next, err
	}
	allowUnknown := args.AllowUnknown || args.kind() != FullConfig && s.AllowUnknown
	validate := validation.Strict
	if allowUnknown {
		validate = validation.Lenient
	}
	config, err := validate(document)
	if err != nil {
		return next, err
	}
	if err := s.checkVersion(args, body, config.Version); err != nil {
		return next, err
	}
	encoded := operation.Encode(document)
	if len(encoded) > validation.MaxBytes {
		return next, failure.New(failure.Oversize, "a configuration has at most %d bytes", validation.MaxBytes)
	}
	next = State{
		Revision:     ident.ConfigRevision(context.Revision) + 1,
		Version:      max(s.Version, config.Version),
		AllowUnknown: allowUnknown,
		Document:     encoded,
	}
	entry := AuditEntry{Revision: next.Revision, SHA256: digest(encoded), Partial: args.kind() != FullConfig}
	next.AuditEntries = newestEntries(append(s.pendingAuditEntries(context), entry))
	return next, nil
}

// compose returns the whole proposed document.
func (s *State) compose(args Args, body map[string]any) (map[string]any, *failure.Error) {
	composeDocument, ok := composers[args.kind()]
	if !ok {
		return nil, failure.New(failure.Malformed, "unknown kind of proposal %q", args.Kind)
	}
	base := map[string]any{}
	if args.kind() != FullConfig && len(s.Document) > 0 {
		var err *failure.Error
		if base, err = decode.Parse(s.Document); err != nil {
			return nil, err
		}
	}
	return composeDocument(base, body, args.AllowUnknown)
}

// checkVersion checks the version of a proposal. A proposal with a base version must have a version
// above the version in force; any other proposal must not have a version below the version in force.
func (s *State) checkVersion(args Args, body map[string]any, version uint64) *failure.Error {
	_, given := body["release"]
	if args.BaseVersion != nil && (!given || version <= s.Version) || given && version < s.Version {
		faults := &decode.Faults{}
		faults.Add("release", "must be above %d", s.Version)
		return faults.Err(failure.Invalid)
	}
	return nil
}
