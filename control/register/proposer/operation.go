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

// Operation is one operation on one key. Invariant: Ticket is the process's own and never
// leaves it, and so is Deadline, after which the operation is no more begun (never, if zero); Op
// is the same for every copy of the operation.
type Operation struct {
	Ticket   uint64            `json:"-"`
	Deadline monotime.Time     `json:"-"`
	Op       ident.OperationID `json:"op"`
	Key      ident.Key         `json:"key"`
	Kind     string            `json:"kind"`
	Args     json.RawMessage   `json:"args,omitempty"`
	// Repeatable says that a second copy may act again as far as its client is concerned, so
	// nothing need be remembered of it: the page of a much used key stays small.
	Repeatable bool `json:"loose,omitempty"`
}

// Context is what a state machine may know beyond the value.
type Context struct {
	Now        monotime.Time
	TermBegan  monotime.Time            // when this term began
	Revision   ident.Revision           // of the value given
	TermMemory map[string]monotime.Time // of this term only
	Remember   func(instance string)    // set TermMemory[mark] when the round is over
	// Decoded is what the machine made, in this term, of the very value given: its decoded
	// form. It is nil in a new term; a machine that finds nil decodes the value and must
	// take what it has not seen in this term for young.
	Decoded any
}

// Result is what a state machine makes of an operation.
type Result struct {
	Value   json.RawMessage
	Changed bool
	Body    json.RawMessage
	Failure *failure.Error
	Decoded any // for the next Context, when it is not nil
}

// StateMachine turns a value and an operation into a new value. Invariant: it depends on its
// inputs alone.
type StateMachine interface {
	Apply(context Context, value json.RawMessage, operation Operation) Result
}

// Outcome is the end of one operation at this proposer. Invariant: Abandoned means that this
// proposer can say no more; with MayHaveTakenEffect the operation may have taken effect, or may yet.
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

// Send is a Request for one voter.
type Send struct {
	To      quorum.Voter
	Request quorum.Request
}

// Effects is what a step wants done.
type Effects struct {
	Sends    []Send
	Outcomes []Outcome
}
