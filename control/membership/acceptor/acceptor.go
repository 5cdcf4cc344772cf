// Package acceptor implements the Paxos acceptor for membership changes: the promises and accepted
// proposals of one disk for the next membership epoch.
package acceptor

import (
	"encoding/json"
	"slices"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/register/quorum"
	"cottonarch.example/cottonarch/storage/ring"
)

// RingKey is the ring key under which the State is stored.
const RingKey = "roster"

// State is the state that the disk stores. Invariants: the epoch of Current only increases;
// Promised, Accepted and Next belong to the epoch after that of Current and are dropped when
// Current changes; Current is only ever set to a membership that was chosen.
type State struct {
	Current  quorum.Membership  `json:"now"`
	Promised ident.Ballot       `json:"promised"`
	Accepted ident.Ballot       `json:"taken"`
	Next     *quorum.Membership `json:"next,omitempty"`
	// BoundTo is the first membership that this disk has voted for while it is empty, and BoundBy
	// the disk that proposed BoundTo. Invariant: an empty disk is bound to at most one membership
	// at a time.
	BoundTo *quorum.Membership `json:"bound,omitempty"`
	BoundBy ident.Disk         `json:"by,omitempty"`
}

// Kind identifies the type of a Request and of its Response.
type Kind string

// The kinds of requests: Prepare and Accept are the two phases of a change, Form requests a vote for
// the first membership.
const (
	Prepare Kind = "prepare"
	Accept  Kind = "accept"
	Form    Kind = "form"
)

// Request requests a vote from a disk. Base is the epoch of the membership that the change is based
// on.
type Request struct {
	Kind   Kind                  `json:"kind"`
	Round  uint64                `json:"turn"`
	Base   ident.MembershipEpoch `json:"base"`
	Ballot ident.Ballot          `json:"ballot"`
	Disk   ident.Disk            `json:"disk,omitempty"`
	Next   *quorum.Membership    `json:"next,omitempty"`
}

// Response answers a Request. LiveDisks lists the disks that the voter does not presume dead.
type Response struct {
	Kind      Kind                  `json:"kind"`
	Round     uint64                `json:"turn"`
	Base      ident.MembershipEpoch `json:"base"`
	Disk      ident.Disk            `json:"disk"`
	OK        bool                  `json:"ok"`
	Promised  ident.Ballot          `json:"promised"`
	Accepted  ident.Ballot          `json:"taken"`
	Next      *quorum.Membership    `json:"next,omitempty"`
	LiveDisks []ident.Disk          `json:"alive,omitempty"`
}

// Acceptor handles the requests to one disk and holds the disk's State.
type Acceptor struct {
	Disk ident.Disk
	State
	handlers map[Kind]func(*Acceptor, Request) (ok, write bool)
}

// New returns the acceptor of an empty disk.
func New(disk ident.Disk) *Acceptor {
	return &Acceptor{Disk: disk, handlers: map[Kind]func(*Acceptor, Request) (bool, bool){Prepare: prepare, Accept: accept, Form: bind}}
}

// Load restores the state from the data of a Record.
func (a *Acceptor) Load(data []byte) error {
	return failure.Wrap(json.Unmarshal(data, &a.State), failure.Corrupted, "decode stored membership state")
}

// Record returns the state encoded as a ring record.
func (a *Acceptor) Record() ring.Record {
	data, _ := json.Marshal(a.State)
	return ring.Record{Key: RingKey, Data: data}
}

// prepare promises a ballot unless a higher ballot was promised before. Like the other handlers,
// prepare returns whether the disk grants the request, and whether the state changed and must be
// written.
func prepare(a *Acceptor, request Request) (ok, write bool) {
	if request.Ballot.Less(a.Promised) {
		return false, false
	}
	a.Promised = request.Ballot
	return true, true
}

// accept accepts a proposed membership for the next epoch unless a higher ballot was promised
// before.
func accept(a *Acceptor, request Request) (ok, write bool) {
	if request.Ballot.Less(a.Promised) || request.Next == nil || request.Next.Epoch != a.Current.Epoch+1 {
		return false, false
	}
	a.Promised, a.Accepted, a.Next = request.Ballot, request.Ballot, request.Next
	return true, true
}

// bind binds an empty disk to a first membership. A bound disk may be bound again only by the same
// proposing disk, which alone counts the votes for its proposals, or to a membership that does not
// include that proposing disk.
func bind(a *Acceptor, request Request) (ok, write bool) {
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

// Step handles one request. It returns the response, the records to be synced before the response is
// sent, and whether there is a response at all. liveDisks lists the disks that this core does not
// presume dead.
func (a *Acceptor) Step(request Request, liveDisks []ident.Disk) (Response, []ring.Record, bool) {
	handle, known := a.handlers[request.Kind]
	if !known || request.Base != a.Current.Epoch || (request.Kind == Form) != (a.Current.Epoch == 0) {
		return Response{}, nil, false
	}
	if request.Kind != Form && !a.Current.IsCounted(a.Disk) {
		return Response{}, nil, false
	}
	ok, write := handle(a, request)
	response := Response{
		Kind: request.Kind, Round: request.Round, Base: request.Base, Disk: a.Disk, OK: ok,
		Promised: a.Promised, Accepted: a.Accepted, Next: a.Next, LiveDisks: slices.Clone(liveDisks),
	}
	if request.Kind == Form {
		response.Next = a.BoundTo
	}
	if !write {
		return response, nil, true
	}
	return response, []ring.Record{a.Record()}, true
}

// Adopt replaces the state by a chosen membership and returns the records to be synced. It returns
// false if the chosen membership is not newer than Current.
func (a *Acceptor) Adopt(chosen quorum.Membership) ([]ring.Record, bool) {
	if chosen.Epoch <= a.Current.Epoch {
		return nil, false
	}
	a.State = State{Current: chosen}
	return []ring.Record{a.Record()}, true
}
