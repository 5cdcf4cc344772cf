// Package acceptor is one disk's part in deciding the membership.
package acceptor

import (
	"encoding/json"
	"slices"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/register/quorum"
	"cottonarch.example/cottonarch/storage/ring"
)

// Tag is the ring tag of the state.
const Tag = "roster"

// State is what the disk remembers. Invariants: Current's epoch only rises; Promised,
// Accepted and Next speak of the epoch after Current's and are forgotten when Current moves on;
// a Current is only ever set to a membership that was chosen.
type State struct {
	Current  quorum.Membership  `json:"now"`
	Promised ident.Ballot       `json:"promised"`
	Accepted ident.Ballot       `json:"taken"`
	Next     *quorum.Membership `json:"next,omitempty"`
	// BoundTo is the first membership this disk, while empty, has agreed to form, and BoundBy
	// the disk that proposed it. Invariant: an empty disk is bound to one at a time.
	BoundTo *quorum.Membership `json:"bound,omitempty"`
	BoundBy ident.Disk         `json:"by,omitempty"`
}

// Kind is the kind of membership message.
type Kind string

// The membership messages.
const (
	Prepare Kind = "prepare"
	Accept  Kind = "accept"
	Form    Kind = "form"
)

// Request is a membership request. Base is the epoch it builds on.
type Request struct {
	Kind   Kind               `json:"kind"`
	Round  uint64             `json:"turn"`
	Base   ident.Epoch        `json:"base"`
	Ballot ident.Ballot       `json:"ballot"`
	Disk   ident.Disk         `json:"disk,omitempty"`
	Next   *quorum.Membership `json:"next,omitempty"`
}

// Response answers it. Heard lists the disks that the voter has heard lately.
type Response struct {
	Kind     Kind               `json:"kind"`
	Round    uint64             `json:"turn"`
	Base     ident.Epoch        `json:"base"`
	Disk     ident.Disk         `json:"disk"`
	OK       bool               `json:"ok"`
	Promised ident.Ballot       `json:"promised"`
	Accepted ident.Ballot       `json:"taken"`
	Next     *quorum.Membership `json:"next,omitempty"`
	Heard    []ident.Disk       `json:"alive,omitempty"`
}

// Acceptor is the step function.
type Acceptor struct {
	Disk ident.Disk
	State
	handlers map[Kind]func(*Acceptor, Request) (ok, write bool)
}

// New makes an empty one.
func New(disk ident.Disk) *Acceptor {
	return &Acceptor{Disk: disk, handlers: map[Kind]func(*Acceptor, Request) (bool, bool){Prepare: prepare, Accept: accept, Form: bind}}
}

// Load reads the state back.
func (a *Acceptor) Load(data []byte) error {
	return failure.Wrap(json.Unmarshal(data, &a.State), failure.Damaged, "roster")
}

// Record writes the state.
func (a *Acceptor) Record() ring.Record {
	data, _ := json.Marshal(a.State)
	return ring.Record{Key: Tag, Data: data}
}

func prepare(a *Acceptor, request Request) (bool, bool) {
	if request.Ballot.Less(a.Promised) {
		return false, false
	}
	a.Promised = request.Ballot
	return true, true
}

func accept(a *Acceptor, request Request) (bool, bool) {
	if request.Ballot.Less(a.Promised) || request.Next == nil || request.Next.Epoch != a.Current.Epoch+1 {
		return false, false
	}
	a.Promised, a.Accepted, a.Next = request.Ballot, request.Ballot, request.Next
	return true, true
}

// bind binds an empty disk. It may be bound anew only by the same disk, which alone
// counts its own agreements, or when the disk that proposed it first is gone from the founders.
func bind(a *Acceptor, request Request) (bool, bool) {
	if request.Next == nil || request.Next.Epoch != 1 {
		return false, false
	}
	if _, in := request.Next.Find(a.Disk); !in {
		return false, false
	}
	if a.BoundTo != nil && a.BoundBy != request.Disk {
		if _, stillFounder := request.Next.Find(a.BoundBy); stillFounder {
			return false, false
		}
	}
	next := *request.Next
	a.BoundTo, a.BoundBy = &next, request.Disk
	return true, true
}

// Step serves one request; counted says whether this disk is a counted voter now.
func (a *Acceptor) Step(request Request, heard []ident.Disk) (Response, []ring.Record, bool) {
	handle, known := a.handlers[request.Kind]
	if !known || request.Base != a.Current.Epoch || (request.Kind == Form) != (a.Current.Epoch == 0) {
		return Response{}, nil, false
	}
	if request.Kind != Form && !a.Current.Counts(a.Disk) {
		return Response{}, nil, false
	}
	ok, write := handle(a, request)
	response := Response{Kind: request.Kind, Round: request.Round, Base: request.Base, Disk: a.Disk, OK: ok, Promised: a.Promised, Accepted: a.Accepted, Next: a.Next, Heard: slices.Clone(heard)}
	if request.Kind == Form {
		response.Next = a.BoundTo
	}
	if !write {
		return response, nil, true
	}
	return response, []ring.Record{a.Record()}, true
}

// Adopt takes a chosen membership; it answers false when it is not newer.
func (a *Acceptor) Adopt(chosen quorum.Membership) ([]ring.Record, bool) {
	if chosen.Epoch <= a.Current.Epoch {
		return nil, false
	}
	a.State = State{Current: chosen}
	return []ring.Record{a.Record()}, true
}
