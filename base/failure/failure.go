// Package failure gives every failure a type: its kind, and whether the operation was executed.
package failure

import (
	"fmt"

	"github.com/juju/errors"
)

// Kind is the type of a failure as it is shown outside.
type Kind string

// Outcome says whether the operation took effect.
type Outcome string

// The three outcomes. Invariant: NotExecuted is said only when proved.
const (
	NotExecuted    Outcome = "no"
	OutcomeUnknown Outcome = "unknown"
	Executed       Outcome = "yes"
)

// The kinds of failure.
const (
	Malformed        Kind = "malformed"
	Invalid          Kind = "invalid"
	Oversize         Kind = "oversize"
	Conflict         Kind = "conflict"
	NoRoute          Kind = "no-way"
	NoWorkload       Kind = "no-workload"
	Busy             Kind = "busy"
	DeadlineExceeded Kind = "late"
	EndpointRejected Kind = "gate"
	Unreachable      Kind = "unreached"
	BadResponse      Kind = "bad-return"
	LostResponse     Kind = "lost-return"
	NoMajority       Kind = "no-majority"
	UnknownOutcome   Kind = "unknown-fate"
	NotFound         Kind = "missing"
	LockHeld         Kind = "held"
	NotHolder        Kind = "not-holder"
	Compacted        Kind = "forgotten"
	Stopping         Kind = "stopping"
	NotReady         Kind = "not-ready"
	Damaged          Kind = "damaged"
	DiskFailed       Kind = "disk-failed"
	BadSettings      Kind = "bad-boot"
	NotPermitted     Kind = "not-permitted"
	Internal         Kind = "internal"
	Exhausted        Kind = "full"
)

// codes maps each kind to its HTTP status.
var statusByKind = map[Kind]int{
	Malformed: 400, Invalid: 422, Oversize: 413, Conflict: 409, NoRoute: 404, NoWorkload: 503,
	Busy: 503, DeadlineExceeded: 504, EndpointRejected: 503, Unreachable: 503, BadResponse: 502, LostResponse: 502,
	NoMajority: 503, UnknownOutcome: 504, NotFound: 404, LockHeld: 409, NotHolder: 409, Compacted: 410,
	Stopping: 503, NotReady: 503, Damaged: 500, DiskFailed: 503, BadSettings: 400, NotPermitted: 405,
	Internal: 500, Exhausted: 507,
}

// Error is one failure. Invariant: Kind is one of the constants above.
type Error struct {
	Kind       Kind    `json:"defect"`
	Outcome    Outcome `json:"fate"`
	Note       string  `json:"note,omitempty"`
	Path       string  `json:"path,omitempty"`
	RetryAfter float64 `json:"retryAfterS,omitempty"` // seconds
	Faults     []Fault `json:"faults,omitempty"`
	// CurrentRevision is, at a conflict, the revision that the thing has: 0 when there is none.
	CurrentRevision *uint64 `json:"revision,omitempty"`
	cause           error
}

// Fault is one fault of an input, at a path.
type Fault struct {
	Path string `json:"path"`
	Note string `json:"note"`
}

// Error makes it an error.
func (e *Error) Error() string {
	text := string(e.Kind)
	if e.Note != "" {
		text += ": " + e.Note
	}
	for _, fault := range e.Faults {
		text += fmt.Sprintf("\n  %s: %s", fault.Path, fault.Note)
	}
	return text
}

// Status is the HTTP status for the failure.
func (e *Error) Status() int {
	if code, ok := statusByKind[e.Kind]; ok {
		return code
	}
	return 500
}

// New makes an error whose operation certainly did not happen.
func New(kind Kind, format string, args ...any) *Error {
	return &Error{Kind: kind, Outcome: NotExecuted, Note: fmt.Sprintf(format, args...)}
}

// NewUnknown makes an error whose operation may have happened.
func NewUnknown(kind Kind, format string, args ...any) *Error {
	return &Error{Kind: kind, Outcome: OutcomeUnknown, Note: fmt.Sprintf(format, args...)}
}

// WithRetryAfter adds a Retry-After.
func (e *Error) WithRetryAfter(seconds float64) *Error { e.RetryAfter = seconds; return e }

// From finds the typed error within an error, or wraps it as internal with an unknown outcome.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	var typed *Error
	if errors.As(err, &typed) {
		return typed
	}
	return NewUnknown(Internal, "%s", err.Error())
}

// Unwrap gives the cause, if there is one.
func (e *Error) Unwrap() error { return e.cause }

// Wrap gives an error of another library a type and a trace.
func Wrap(err error, kind Kind, note string) error {
	if err == nil {
		return nil
	}
	return errors.Trace(&Error{Kind: kind, Outcome: OutcomeUnknown, Note: note + ": " + err.Error(), cause: err})
}

// As looks for a typed error within an error.
func As(err error, target **Error) bool { return errors.As(err, target) }
