package quorum

import "cottonarch.example/cottonarch/base/ident"

// Voter is one slot of the membership. Responses of a voter count toward a majority only if the voter
// is Counted. Invariants: a voter that still copies the control state is not Counted, but its slot
// is included in the number of slots that the majority is computed from. A voter that is Joining
// has a new slot, which is not included yet, and is not Counted.
type Voter struct {
	Disk    ident.Disk `json:"disk"`
	Addr    ident.Addr `json:"addr"`
	Counted bool       `json:"counted"`
	Joining bool       `json:"joining,omitempty"`
}

// Membership is the set of voters at one epoch.
type Membership struct {
	Epoch  ident.MembershipEpoch `json:"epoch"`
	Voters []Voter               `json:"voters"`
	// MajorityOverride, when set, replaces the majority. Only the simulator sets it, to check
	// that the simulator's invariants detect a quorum that is too small.
	MajorityOverride int `json:"-"`
}

// Majority returns the number of counted responses that a round needs.
func (m Membership) Majority() int {
	if m.MajorityOverride > 0 {
		return m.MajorityOverride
	}
	return m.Size()/2 + 1
}

// Size returns the number of slots that the majority is computed from: all slots that are not Joining.
func (m Membership) Size() int {
	n := 0
	for _, voter := range m.Voters {
		if !voter.Joining {
			n++
		}
	}
	return n
}

// Find returns the voter with the given disk.
func (m Membership) Find(disk ident.Disk) (Voter, bool) {
	for _, voter := range m.Voters {
		if voter.Disk == disk {
			return voter, true
		}
	}
	return Voter{}, false
}

// IsCounted reports whether responses of a disk count toward a majority.
func (m Membership) IsCounted(disk ident.Disk) bool {
	voter, ok := m.Find(disk)
	return ok && voter.Counted
}
