// Package failure is the typed error of all packages: its kind, and whether the operation that
// failed was executed.
package failure

import (
	"fmt"
	"net/http"

	"github.com/juju/errors"
)

// Kind is the kind of a failure, as clients see it.
type Kind string

// Outcome says whether the operation took effect.
type Outcome string

// The three outcomes. Invariant: NotExecuted is given only when proved.
const (
	NotExecuted    Outcome = "no"
	OutcomeUnknown Outcome = "unknown"
	Executed       Outcome = "yes"
)

// The kinds of failure.
const (
	// The input.
	Malformed        Kind = "malformed" // it cannot be parsed
	Invalid          Kind = "invalid"   // it parses, and breaks a rule
	Oversize         Kind = "oversize"
	MethodNotAllowed Kind = "not-permitted" // the path does not have the method
	BadSettings      Kind = "bad-boot"

	// The state that the operation met.
	Conflict  Kind = "conflict" // another revision than the one that was given
	NotFound  Kind = "missing"
	LockHeld  Kind = "held" // by another holder
	NotHolder Kind = "not-holder"
	Compacted Kind = "forgotten" // the changes that were asked for are no longer kept
	Exhausted Kind = "full"      // no room or no number is left

	// The path of a request to an endpoint and back.
	NoRoute            Kind = "no-way"
	NoEndpoint         Kind = "no-workload" // no endpoint of the service may be chosen
	EndpointRejected   Kind = "gate"        // the destination's sidecar rejected it before its endpoint
	Unreachable        Kind = "unreached"   // no connection could be made
	BadResponse        Kind = "bad-return"  // malformed, or not one to the request
	LostResponse       Kind = "lost-return" // the connection broke before the response was complete
	ClientDisconnected Kind = "client-left" // the client closed its connection; nobody waits for a response

	// Time and load.
	Busy             Kind = "busy"
	DeadlineExceeded Kind = "late"
	NotReady         Kind = "not-ready"
	Stopping         Kind = "stopping"

	// The control plane.
	NoMajority     Kind = "no-majority"
	UnknownOutcome Kind = "unknown-fate"
	Corrupted      Kind = "damaged" // what is stored cannot be read
	DiskFailed     Kind = "disk-failed"
	Internal       Kind = "internal"
)

// statusByKind holds the HTTP status of each kind.
var statusByKind = map[Kind]int{
	Malformed:        http.StatusBadRequest,
	Invalid:          http.StatusUnprocessableEntity,
	Oversize:         http.StatusRequestEntityTooLarge,
	MethodNotAllowed: http.StatusMethodNotAllowed,
	BadSettings:      http.StatusBadRequest,

	Conflict:  http.StatusConflict,
	NotFound:  http.StatusNotFound,
	LockHeld:  http.StatusConflict,
	NotHolder: http.StatusConflict,
	Compacted: http.StatusGone,
	Exhausted: http.StatusInsufficientStorage,

	NoRoute:            http.StatusNotFound,
	NoEndpoint:         http.StatusServiceUnavailable,
	EndpointRejected:   http.StatusServiceUnavailable,
	Unreachable:        http.StatusServiceUnavailable,
	BadResponse:        http.StatusBadGateway,
	LostResponse:       http.StatusBadGateway,
	ClientDisconnected: http.StatusServiceUnavailable,

	Busy:             http.StatusServiceUnavailable,
	DeadlineExceeded: http.StatusGatewayTimeout,
	NotReady:         http.StatusServiceUnavailable,
	Stopping:         http.StatusServiceUnavailable,

	NoMajority:     http.StatusServiceUnavailable,
	UnknownOutcome: http.StatusGatewayTimeout,
	Corrupted:      http.StatusInternalServerError,
	DiskFailed:     http.StatusServiceUnavailable,
	Internal:       http.StatusInternalServerError,
}

// Error is one failure. Invariant: Kind is one of the constants above.
type Error struct {
	Kind       Kind    `json:"defect"`
	Outcome    Outcome `json:"fate"`
	Message    string  `json:"note,omitempty"`
	Path       string  `json:"path,omitempty"`
	RetryAfter float64 `json:"retryAfterS,omitempty"` // seconds
	Faults     []Fault `json:"faults,omitempty"`
	// CurrentRevision is, at a conflict, the present revision: 0 when there is none yet.
	CurrentRevision *uint64 `json:"revision,omitempty"`
	cause           error
}

// Fault is one fault of an input, at the path of a field.
type Fault struct {
	Path    string `json:"path"`
	Message string `json:"note"`
}

// Error returns the kind, the note and all faults.
func (e *Error) Error() string {
	text := string(e.Kind)
	if e.Message != "" {
		text += ": " + e.Message
	}
	for _, fault := range e.Faults {
		text += fmt.Sprintf("\n  %s: %s", fault.Path, fault.Message)
	}
	return text
}

// Status is the HTTP status for the failure.
func (e *Error) Status() int {
	if code, ok := statusByKind[e.Kind]; ok {
		return code
	}
	return http.StatusInternalServerError
}

// New makes an error of an operation that was certainly not executed.
func New(kind Kind, format string, args ...any) *Error {
	return &Error{Kind: kind, Outcome: NotExecuted, Message: fmt.Sprintf(format, args...)}
}

// NewUnknown makes an error of an operation that may have been executed.
func NewUnknown(kind Kind, format string, args ...any) *Error {
	return &Error{Kind: kind, Outcome: OutcomeUnknown, Message: fmt.Sprintf(format, args...)}
}

// WithRetryAfter sets after how many seconds the client may retry.
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

// Unwrap returns the cause, nil if there is none.
func (e *Error) Unwrap() error { return e.cause }

// Wrap returns an error of another library as a typed one, with a kind and a trace; the outcome is
// unknown. It returns nil for a nil error.
func Wrap(err error, kind Kind, note string) error {
	if err == nil {
		return nil
	}
	return errors.Trace(&Error{Kind: kind, Outcome: OutcomeUnknown, Message: note + ": " + err.Error(), cause: err})
}

// As finds the typed error within an error, as errors.As does.
func As(err error, target **Error) bool { return errors.As(err, target) }
