package quorum

import (
	"encoding/json"

	"cottonarch.example/cottonarch/base/ident"
)

// Record is the promise and the accepted state of one key on one disk. Invariants: Accepted is
// never above Promised; Revision and Value were accepted under Accepted.
type Record struct {
	Promised ident.Ballot    `json:"p"`
	Accepted ident.Ballot    `json:"a"`
	Revision ident.Revision  `json:"r"`
	Value    json.RawMessage `json:"v,omitempty"`
}

// NewerThan reports whether the accepted state of r is newer than that of other: accepted under a
// higher ballot or, under the same ballot, with a higher revision.
func (r Record) NewerThan(other Record) bool {
	if r.Accepted != other.Accepted {
		return other.Accepted.Less(r.Accepted)
	}
	return r.Revision > other.Revision
}

// SameState reports whether both records have the same accepted ballot and revision, and so the
// same value.
func (r Record) SameState(other Record) bool {
	return r.Accepted == other.Accepted && r.Revision == other.Revision
}
