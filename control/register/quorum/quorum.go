// Package quorum defines the records, messages and membership of a register that is replicated key
// by key: proposers send requests to the acceptors of the disks in a membership, and the responses
// of a majority decide.
package quorum

import (
	"encoding/json"

	"cottonarch.example/cottonarch/base/ident"
)

// Kind identifies the type of a Request and of its Response.
type Kind string

// The kinds of a request, besides PatchAccept.
const (
	Prepare Kind = "prepare"
	Accept  Kind = "accept"
	Confirm Kind = "confirm"
)

// Request is a request from a proposer to an acceptor. Invariant: Round is unique to each round of
// one proposer process; a request that is resent keeps its round. A request of a read repair has
// round 0 and gets no response.
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
	// Held identifies, in a prepare, an accepted state whose value the proposer already holds, so
	// that the response need not carry that value. An acceptor that does not know the field
	// sends the value nevertheless.
	Held *HeldState `json:"have,omitempty"`
}

// HeldState identifies an accepted state. Invariant: an accepted ballot and revision determine the
// value, on every disk and at any time.
type HeldState struct {
	Accepted ident.Ballot   `json:"a"`
	Revision ident.Revision `json:"r"`
}

// Matches reports whether the record has the accepted state that h identifies. A nil HeldState
// matches no record.
func (h *HeldState) Matches(record Record) bool {
	return h != nil && record.Accepted == h.Accepted && record.Revision == h.Revision
}

// Response answers a Request. Invariant: a response is sent only after the reported state is synced.
// Record is empty if a patch was accepted. Record.Value is set only in the response to a prepare,
// unless the request's Held identifies the same accepted state.
type Response struct {
	Kind       Kind                  `json:"kind"`
	Round      uint64                `json:"turn"`
	Disk       ident.Disk            `json:"disk"`
	Membership ident.MembershipEpoch `json:"roster"`
	Key        ident.Key             `json:"key"`
	OK         bool                  `json:"ok"`
	Record     Record                `json:"cell"`
}
