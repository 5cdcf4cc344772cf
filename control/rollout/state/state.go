// Package state is the machine of a roll-out: one control key a way.
package state

import (
	"encoding/json"
	"slices"

	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/kernel/failure"
	"cottonarch.example/cottonarch/kernel/ident"
)

// Prefix is where the roll-outs' control keys lie.
const Prefix = "rollout/"

// Key is the control key of a way's roll-out.
func Key(way string) ident.Key { return ident.Key(Prefix + way) }

// Phase is how far a roll-out is.
type Phase string

// The phases. Invariant: Done and Back are final until a new roll-out begins.
const (
	Running Phase = "running"
	Backing Phase = "backing" // the way is being put back
	Done    Phase = "done"
	Back    Phase = "back"
)

// Rollout is the state. Invariants: Steps rise and end with 100; At only rises while
// Running; every change names the At and Phase that it builds on, so that two cores
// that both believe they hold the duty can't both make it.
type Rollout struct {
	Way   string        `json:"way"`
	From  ident.Service `json:"from"`
	To    ident.Service `json:"to"`
	Steps []int         `json:"steps"`
	StepS float64       `json:"stepS"`
	Most  float64       `json:"mostDefects"`
	At    int           `json:"at"`
	Phase Phase         `json:"phase"`
	Why   string        `json:"why,omitempty"`
	Round uint64        `json:"round"`
}

// Move is a change of a roll-out under way.
type Move struct {
	Round uint64 `json:"round"`
	At    int    `json:"at"`
	Phase Phase  `json:"phase"`
	// NextAt and NextPhase are what it becomes.
	NextAt    int    `json:"nextAt"`
	NextPhase Phase  `json:"nextPhase"`
	Why       string `json:"why,omitempty"`
}

// next lists which phase may follow which.
var next = map[Phase][]Phase{Running: {Running, Backing, Done}, Backing: {Back}}

// Handlers are the handlers.
func Handlers() operation.Table {
	return operation.Table{"rollout/begin": begin, "rollout/move": move, "rollout/read": read}
}

func begin(_ proposer.Context, state, args json.RawMessage) operation.Result {
	var r, a Rollout
	if d := operation.Decode(state, args, &r, &a); d != nil {
		return operation.Rejected(d)
	}
	if r.Phase == Running || r.Phase == Backing {
		return operation.Rejected(failure.New(failure.Conflict, "a roll-out of %q is %s", r.Way, r.Phase))
	}
	if len(a.Steps) == 0 {
		a.Steps = []int{5, 25, 50, 100}
	}
	if a.StepS == 0 {
		a.StepS = 10
	}
	if a.Most == 0 {
		a.Most = 0.05
	}
	rising := slices.IsSorted(a.Steps) && len(slices.Compact(slices.Clone(a.Steps))) == len(a.Steps)
	if !rising || a.Steps[0] < 1 || a.Steps[len(a.Steps)-1] != 100 || len(a.Steps) > 50 {
		return operation.Rejected(failure.New(failure.Invalid, "steps must rise from 1 at least to 100"))
	}
	if a.Way == "" || a.From == "" || a.To == "" || a.From == a.To || a.StepS < 0.5 || a.StepS > 86400 || a.Most < 0 || a.Most > 1 {
		return operation.Rejected(failure.New(failure.Invalid, "a roll-out needs a way, a service other than the way's, stepS from 0.5 to 86400 and mostDefects from 0 to 1"))
	}
	a.At, a.Phase, a.Why, a.Round = 0, Running, "", r.Round+1
	return operation.Result{State: operation.Encode(a), Body: operation.Encode(a)}
}

func move(_ proposer.Context, state, args json.RawMessage) operation.Result {
	var r Rollout
	var m Move
	if d := operation.Decode(state, args, &r, &m); d != nil {
		return operation.Rejected(d)
	}
	if r.Round != m.Round || r.At != m.At || r.Phase != m.Phase {
		return operation.Rejected(failure.New(failure.Conflict, "the roll-out is at step %d, %s", r.At, r.Phase))
	}
	if !slices.Contains(next[r.Phase], m.NextPhase) || m.NextAt < r.At || m.NextAt >= len(r.Steps) {
		return operation.Rejected(failure.New(failure.Invalid, "no way from %s to %s", r.Phase, m.NextPhase))
	}
	r.At, r.Phase = m.NextAt, m.NextPhase
	if m.Why != "" {
		r.Why = m.Why
	}
	return operation.Result{State: operation.Encode(r), Body: operation.Encode(r)}
}

func read(_ proposer.Context, state, args json.RawMessage) operation.Result {
	var r Rollout
	var a struct{}
	if d := operation.Decode(state, args, &r, &a); d != nil {
		return operation.Rejected(d)
	}
	if r.Way == "" {
		return operation.Rejected(failure.New(failure.Missing, "there was no roll-out"))
	}
	return operation.Result{Body: operation.Encode(r)}
}
