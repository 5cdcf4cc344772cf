package proposer

import (
	"encoding/json"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/register/quorum"
)

// Repair is the kind of an operation that changes nothing. The round that commits it asks all
// voters, so that outdated copies of the key are repaired.
const Repair = "mend"

// Operation is one operation on one key. Invariants: Ticket and Deadline are local to the process
// and never sent; Op is the same for every copy of the operation. An operation with a Deadline is
// not begun after it.
type Operation struct {
	Ticket   uint64            `json:"-"`
	Deadline monotime.Time     `json:"-"`
	Op       ident.OperationID `json:"op"`
	Key      ident.Key         `json:"key"`
	Kind     string            `json:"kind"`
	Args     json.RawMessage   `json:"args,omitempty"`
	// Repeatable reports that the client allows a second copy of the operation to take effect
	// again, so that no result is stored with the value to detect duplicates.
	Repeatable bool `json:"loose,omitempty"`
}

// Context holds the inputs of a state machine besides the value and the operation.
type Context struct {
	Now             monotime.Time
	TermStartedAt   monotime.Time            // when this term was established
	Revision        ident.Revision           // revision of the value
	TermEventTimes  map[string]monotime.Time // times of the events recorded in this term, by event name
	RecordTermEvent func(event string)       // sets TermEventTimes[event] to the time at which the round in flight ends
	// Decoded is the decoded form of the value that the state machine returned earlier in this
	// term. Decoded is nil in a new term: the state machine then decodes the value, and must
	// treat everything that it has not seen in this term as new.
	Decoded any
}

// Result is the result of applying an operation to a value.
type Result struct {
	Value   json.RawMessage
	Changed bool
	Body    json.RawMessage
	Failure *failure.Error
	Decoded any // decoded form of Value, for the next Context; nil keeps the previous one
}

// StateMachine applies operations to values. Invariant: Apply is deterministic, its result depends
// on its arguments alone.
type StateMachine interface {
	Apply(context Context, value json.RawMessage, operation Operation) Result
}

// Outcome is the outcome of one operation at this proposer. Abandoned means that this proposer
// stopped processing the operation without a result; with MayHaveTakenEffect the operation may
// have taken effect or may still take effect.
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

// Effects lists what the caller has to do after a step: the requests to send and the outcomes to
// report.
type Effects struct {
	Sends    []Send
	Outcomes []Outcome
}
