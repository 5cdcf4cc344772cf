// Package quorum holds the records, the messages and the membership of a register that is
// replicated key by key: proposers send requests to the acceptors of a membership's disks, and a
// majority of responses decides.
package quorum

import (
	"encoding/json"

	"cottonarch.example/cottonarch/base/ident"
)

// Kind is the kind of a request.
type Kind string

// The kinds of a request; PatchAccept is a fourth.
const (
	Prepare Kind = "prepare"
	Accept  Kind = "accept"
	Confirm Kind = "confirm"
)

// Request goes from a proposer to the acceptors. Invariant: Round is new for every round of one
// proposer process; a request that is resent keeps its round. Read repair has round 0 and is not
// responded to.
type Request struct {
	Kind       Kind                  `json:"kind"`
	Round      uint64                `json:"turn"`
	Membership ident.MembershipEpoch `json:"roster"`
	Key        ident.Key             `json:"key"`
	Ballot     ident.Ballot          `json:"ballot"`
	Revision   ident.Revision        `json:"rev,omitempty"`
	Value      json.RawMessage       `json:"value,omitempty"`
	// Patch replaces Value in a PatchAccept.
	Patch *Patch `json:"patch,omitempty"`
	// Held names, in a prepare, an accepted state whose value the proposer holds, so that the
	// response need not carry it. An acceptor that does not know the field sends it all the
	// same.
	Held *HeldState `json:"have,omitempty"`
}

// HeldState identifies an accepted state. Invariant: an accepted ballot and revision have one
// value, on every disk and at any time.
type HeldState struct {
	Accepted ident.Ballot   `json:"a"`
	Revision ident.Revision `json:"r"`
}

// Matches reports whether the record has that accepted state; a nil HeldState is none.
func (h *HeldState) Matches(record Record) bool {
	return h != nil && record.Accepted == h.Accepted && record.Revision == h.Revision
}

// Response answers a Request. Invariant: it is sent only once everything that it states is
// synced. Record is empty when a patch was accepted; Record.Value is set for a prepare alone, and
// not for the state that the request named as held.
type Response struct {
	Kind       Kind                  `json:"kind"`
	Round      uint64                `json:"turn"`
	Disk       ident.Disk            `json:"disk"`
	Membership ident.MembershipEpoch `json:"roster"`
	Key        ident.Key             `json:"key"`
	OK         bool                  `json:"ok"`
	Record     Record                `json:"cell"`
}
