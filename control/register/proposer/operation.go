package proposer

import (
	"encoding/json"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/register/quorum"
)

// Repair is the kind of an operation that changes nothing and is submitted so that copies are
// repaired.
const Repair = "mend"

// Operation is one operation on one key. Invariants: Ticket and Deadline are the process's own
// and never leave it; Op is the same for every copy of the operation. An operation is not begun
// after its Deadline, if it has one.
type Operation struct {
	Ticket   uint64            `json:"-"`
	Deadline monotime.Time     `json:"-"`
	Op       ident.OperationID `json:"op"`
	Key      ident.Key         `json:"key"`
	Kind     string            `json:"kind"`
	Args     json.RawMessage   `json:"args,omitempty"`
	// Repeatable says that its client allows a second copy to take effect again, so no result
	// is stored with the value to recognise a copy by.
	Repeatable bool `json:"loose,omitempty"`
}

// Context is what a state machine may know beyond the value.
type Context struct {
	Now             monotime.Time
	TermStartedAt   monotime.Time            // when this term began
	Revision        ident.Revision           // of the value given
	TermEventTimes  map[string]monotime.Time // when events of this term happened, by their names
	RecordTermEvent func(event string)       // sets TermEventTimes[event] to the end of the round in flight
	// Decoded is the decoded form of the value, as the state machine returned it in this term.
	// It is nil in a new term: the state machine then decodes the value, and must treat what
	// it has not seen in this term as new.
	Decoded any
}

// Result is what a state machine makes of an operation.
type Result struct {
	Value   json.RawMessage
	Changed bool
	Body    json.RawMessage
	Failure *failure.Error
	Decoded any // of Value, for the next Context; nil to keep the last
}

// StateMachine turns a value and an operation into a new value. Invariant: it depends on its
// inputs alone.
type StateMachine interface {
	Apply(context Context, value json.RawMessage, operation Operation) Result
}

// Outcome is the end of one operation at this proposer. Abandoned means that this proposer gave the
// operation up; with MayHaveTakenEffect the operation may have taken effect, or may do so yet.
type Outcome struct {
	Operation          Operation
	Body               json.RawMessage
	Failure            *failure.Error
	Revision           ident.Revision
	Changed            bool
	Value              json.RawMessage
	Abandoned          bool
	MayHaveTakenEffect bool
	Ballot             ident.Ballot
}

// Send is a request to one voter.
type Send struct {
	To      quorum.Voter
	Request quorum.Request
}

// Effects is what the caller of a step has to do: send requests and report outcomes.
type Effects struct {
	Sends    []Send
	Outcomes []Outcome
}
