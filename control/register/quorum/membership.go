package quorum

import "cottonarch.example/cottonarch/base/ident"

// Voter is one slot of the membership. Invariants: a voter that is still copying is not Counted,
// yet its slot raises the majority, unless it is Joining: a new slot, which does not raise the
// majority yet. A voter that is Joining is not Counted.
type Voter struct {
	Disk    ident.Disk `json:"disk"`
	Addr    ident.Addr `json:"addr"`
	Counted bool       `json:"counted"`
	Joining bool       `json:"joining,omitempty"`
}

// Membership is the voters of one epoch.
type Membership struct {
	Epoch  ident.MembershipEpoch `json:"epoch"`
	Voters []Voter               `json:"voters"`
	// MajorityOverride, when set, replaces the majority; only the simulator sets it, to check
	// that its invariants find a quorum that is too small.
	MajorityOverride int `json:"-"`
}

// Majority returns the number of counted responses that a round needs.
func (m Membership) Majority() int {
	if m.MajorityOverride > 0 {
		return m.MajorityOverride
	}
	return m.Size()/2 + 1
}

// Size returns the number of slots that a majority is counted over.
func (m Membership) Size() int {
	n := 0
	for _, voter := range m.Voters {
		if !voter.Joining {
			n++
		}
	}
	return n
}

// Find returns the voter that has a disk.
func (m Membership) Find(disk ident.Disk) (Voter, bool) {
	for _, voter := range m.Voters {
		if voter.Disk == disk {
			return voter, true
		}
	}
	return Voter{}, false
}

// IsCounted reports whether responses of a disk count.
func (m Membership) IsCounted(disk ident.Disk) bool {
	voter, ok := m.Find(disk)
	return ok && voter.Counted
}
