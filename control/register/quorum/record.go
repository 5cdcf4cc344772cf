package quorum

import (
	"encoding/json"

	"cottonarch.example/cottonarch/base/ident"
)

// Record is what one disk holds of one key. Invariants: Accepted is never above
// Promised; Revision and Value belong to Accepted.
type Record struct {
	Promised ident.Ballot    `json:"p"`
	Accepted ident.Ballot    `json:"a"`
	Revision ident.Revision  `json:"r"`
	Value    json.RawMessage `json:"v,omitempty"`
}

// NewerThan reports whether r's accepted state comes after other's.
func (r Record) NewerThan(other Record) bool {
	if r.Accepted != other.Accepted {
		return other.Accepted.Less(r.Accepted)
	}
	return r.Revision > other.Revision
}

// SameState reports whether both have the same accepted state, and so the same value.
func (r Record) SameState(other Record) bool {
	return r.Accepted == other.Accepted && r.Revision == other.Revision
}
