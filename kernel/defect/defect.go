// Package defect gives every failure a type.
package defect

import (
	"fmt"

	"github.com/juju/errors"
)

// Kind is the type of a failure as it is shown outside.
type Kind string

// Fate says whether the thing asked for took effect.
type Fate string

// The three fates. Invariant: FateNo is said only when proved.
const (
	FateNo      Fate = "no"
	FateUnknown Fate = "unknown"
	FateYes     Fate = "yes"
)

// The kinds of defect.
const (
	Malformed    Kind = "malformed"
	Invalid      Kind = "invalid"
	Oversize     Kind = "oversize"
	Conflict     Kind = "conflict"
	NoWay        Kind = "no-way"
	NoWorkload   Kind = "no-workload"
	Busy         Kind = "busy"
	Late         Kind = "late"
	Gate         Kind = "gate"
	Unreached    Kind = "unreached"
	BadReturn    Kind = "bad-return"
	LostReturn   Kind = "lost-return"
	NoMajority   Kind = "no-majority"
	Unknown      Kind = "unknown-fate"
	Missing      Kind = "missing"
	Held         Kind = "held"
	NotHolder    Kind = "not-holder"
	Forgotten    Kind = "forgotten"
	Stopping     Kind = "stopping"
	NotReady     Kind = "not-ready"
	Damaged      Kind = "damaged"
	DiskFailed   Kind = "disk-failed"
	BadBoot      Kind = "bad-boot"
	NotPermitted Kind = "not-permitted"
	Internal     Kind = "internal"
	Full         Kind = "full"
)

// codes maps each kind to its HTTP status.
var codes = map[Kind]int{
	Malformed: 400, Invalid: 422, Oversize: 413, Conflict: 409, NoWay: 404, NoWorkload: 503,
	Busy: 503, Late: 504, Gate: 503, Unreached: 503, BadReturn: 502, LostReturn: 502,
	NoMajority: 503, Unknown: 504, Missing: 404, Held: 409, NotHolder: 409, Forgotten: 410,
	Stopping: 503, NotReady: 503, Damaged: 500, DiskFailed: 503, BadBoot: 400, NotPermitted: 405,
	Internal: 500, Full: 507,
}

// Defect is one failure. Invariant: Kind is one of the constants above.
type Defect struct {
	Kind  Kind    `json:"defect"`
	Fate  Fate    `json:"fate"`
	Note  string  `json:"note,omitempty"`
	Path  string  `json:"path,omitempty"`
	Retry float64 `json:"retryAfterS,omitempty"` // seconds
	All   []Fault `json:"faults,omitempty"`
	// At is, at a conflict, the revision that the thing has: 0 when there is none.
	At    *uint64 `json:"revision,omitempty"`
	cause error
}

// Fault is one fault of an input, at a path.
type Fault struct {
	Path string `json:"path"`
	Note string `json:"note"`
}

// Error makes a Defect an error.
func (d *Defect) Error() string {
	text := string(d.Kind)
	if d.Note != "" {
		text += ": " + d.Note
	}
	for _, f := range d.All {
		text += fmt.Sprintf("\n  %s: %s", f.Path, f.Note)
	}
	return text
}

// Code is the HTTP status for the defect.
func (d *Defect) Code() int {
	if code, ok := codes[d.Kind]; ok {
		return code
	}
	return 500
}

// New makes a defect whose asked-for deed certainly did not happen.
func New(kind Kind, form string, args ...any) *Defect {
	return &Defect{Kind: kind, Fate: FateNo, Note: fmt.Sprintf(form, args...)}
}

// Unsure makes a defect whose deed may have happened.
func Unsure(kind Kind, form string, args ...any) *Defect {
	return &Defect{Kind: kind, Fate: FateUnknown, Note: fmt.Sprintf(form, args...)}
}

// Later adds a Retry-After.
func (d *Defect) Later(s float64) *Defect { d.Retry = s; return d }

// Of finds the defect within an error, or wraps it as internal with unknown fate.
func Of(err error) *Defect {
	if err == nil {
		return nil
	}
	var d *Defect
	if errors.As(err, &d) {
		return d
	}
	return Unsure(Internal, "%s", err.Error())
}

// Unwrap gives the cause, if there is one.
func (d *Defect) Unwrap() error { return d.cause }

// Wrap gives an error of another library a type and a trace.
func Wrap(err error, kind Kind, note string) error {
	if err == nil {
		return nil
	}
	return errors.Trace(&Defect{Kind: kind, Fate: FateUnknown, Note: note + ": " + err.Error(), cause: err})
}

// Find looks for a defect within an error.
func Find(err error, d **Defect) bool { return errors.As(err, d) }
