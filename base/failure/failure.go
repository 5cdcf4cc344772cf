// Package failure defines the typed error of all packages, which holds the kind of the failure and
// whether the failed operation was executed.
package failure

import (
	"fmt"
	"net/http"

	"github.com/juju/errors"
)

// Kind is the kind of a failure. Clients receive the kind as a string.
type Kind string

// Outcome states whether the failed operation took effect.
type Outcome string

// The outcomes. Invariant: NotExecuted is used only if the operation provably was not executed.
const (
	NotExecuted    Outcome = "no"
	OutcomeUnknown Outcome = "unknown"
	Executed       Outcome = "yes"
)

// The kinds of failure.
const (
	// The input.
	Malformed        Kind = "malformed" // the input cannot be parsed
	Invalid          Kind = "invalid"   // the input can be parsed but violates a rule
	Oversize         Kind = "oversize"
	MethodNotAllowed Kind = "not-permitted" // the path does not support the method
	BadSettings      Kind = "bad-boot"

	// The state that the operation found.
	Conflict  Kind = "conflict" // the current revision is not the required revision
	NotFound  Kind = "missing"
	LockHeld  Kind = "held" // the lock has another holder
	NotHolder Kind = "not-holder"
	Compacted Kind = "forgotten" // the requested changes are no longer stored
	Exhausted Kind = "full"      // no space or no number is left

	// Routing a request to an endpoint and returning the response.
	NoRoute            Kind = "no-way"
	NoEndpoint         Kind = "no-workload" // the service has no eligible endpoint
	EndpointRejected   Kind = "gate"        // the destination's sidecar rejected the request before the endpoint received it
	Unreachable        Kind = "unreached"   // no connection could be made
	BadResponse        Kind = "bad-return"  // the response is malformed or does not match the request
	LostResponse       Kind = "lost-return" // the connection broke before the response was complete
	ClientDisconnected Kind = "client-left" // the client closed its connection and no longer waits for the response

	// Time and load.
	Busy             Kind = "busy"
	DeadlineExceeded Kind = "late"
	NotReady         Kind = "not-ready"
	Stopping         Kind = "stopping"

	// The control plane.
	NoMajority     Kind = "no-majority"
	UnknownOutcome Kind = "unknown-fate"
	Corrupted      Kind = "damaged" // stored data cannot be read
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

// Error is the typed error. Invariant: Kind is one of the constants above.
type Error struct {
	Kind       Kind    `json:"defect"`
	Outcome    Outcome `json:"fate"`
	Message    string  `json:"note,omitempty"`
	Path       string  `json:"path,omitempty"`
	RetryAfter float64 `json:"retryAfterS,omitempty"` // seconds
	Faults     []Fault `json:"faults,omitempty"`
	// CurrentRevision is the current revision in case of a conflict; 0 means that the object does
	// not exist yet.
	CurrentRevision *uint64 `json:"revision,omitempty"`
	cause           error
}

// Fault is an invalid field of an input, with the path of the field.
type Fault struct {
	Path    string `json:"path"`
	Message string `json:"note"`
}

// Error returns the kind, the message and all faults.
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

// Status returns the HTTP status of the failure.
func (e *Error) Status() int {
	if code, ok := statusByKind[e.Kind]; ok {
		return code
	}
	return http.StatusInternalServerError
}

// New returns an error for an operation that was certainly not executed.
func New(kind Kind, format string, args ...any) *Error {
	return &Error{Kind: kind, Outcome: NotExecuted, Message: fmt.Sprintf(format, args...)}
}

// NewUnknown returns an error for an operation that may have been executed.
func NewUnknown(kind Kind, format string, args ...any) *Error {
	return &Error{Kind: kind, Outcome: OutcomeUnknown, Message: fmt.Sprintf(format, args...)}
}

// WithRetryAfter sets the number of seconds after which the client may retry, and returns e.
func (e *Error) WithRetryAfter(seconds float64) *Error { e.RetryAfter = seconds; return e }

// From returns the typed error in the chain of err. If the chain contains no typed error, From
// returns an Internal error with an unknown outcome and the text of err.
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

// Unwrap returns the cause, or nil if the error has no cause.
func (e *Error) Unwrap() error { return e.cause }

// Wrap returns a typed error of the given kind, with err as the cause, a trace and an unknown
// outcome. It returns nil if err is nil.
func Wrap(err error, kind Kind, message string) error {
	if err == nil {
		return nil
	}
	return errors.Trace(&Error{Kind: kind, Outcome: OutcomeUnknown, Message: message + ": " + err.Error(), cause: err})
}

// As finds the typed error in the chain of err, like errors.As.
func As(err error, target **Error) bool { return errors.As(err, target) }
