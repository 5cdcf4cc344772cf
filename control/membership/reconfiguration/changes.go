package reconfiguration

import (
	"slices"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/register/quorum"
)

// Change computes the membership that is to follow the current one, given the disks that the voters
// of a majority have heard. It returns nil if nothing may be changed.
type Change func(current quorum.Membership, heard map[ident.Disk]bool) *quorum.Membership

// TakeSlot returns the change by which a disk takes a slot: that of an older disk at the same
// address, else that of a voter that nobody has heard, else, if grow is set and there are fewer
// than maxVoters, a new one, in which it joins. A disk that has only joined may still take an empty
// slot, and gives up its own.
func TakeSlot(self quorum.Voter, maxVoters int, grow bool) Change {
	return func(current quorum.Membership, heard map[ident.Disk]bool) *quorum.Membership {
		own, in := current.Find(self.Disk)
		if in && !own.Joining {
			return nil
		}
		next := nextEpoch(current)
		next.Voters = withoutDisk(next.Voters, self.Disk)
		slot := slices.IndexFunc(next.Voters, func(v quorum.Voter) bool { return v.Addr == self.Addr })
		if slot < 0 && current.Size() <= maxVoters { // a slot beyond maxVoters is dropped and not filled
			slot = slices.IndexFunc(next.Voters, func(v quorum.Voter) bool { return !heard[v.Disk] && (!in || !v.Joining) })
		}
		if slot < 0 && (in || !grow || len(next.Voters) >= maxVoters) {
			return nil
		}
		voter := self
		voter.Counted, voter.Joining = false, slot < 0 || next.Voters[slot].Joining
		if slot < 0 {
			next.Voters = append(next.Voters, voter)
		} else {
			next.Voters[slot] = voter
		}
		return ifServing(next)
	}
}

// PromoteVoter returns the change by which a disk that has copied the control state is counted.
func PromoteVoter(self ident.Disk) Change {
	return func(current quorum.Membership, _ map[ident.Disk]bool) *quorum.Membership {
		next := nextEpoch(current)
		slot := slices.IndexFunc(next.Voters, func(v quorum.Voter) bool { return v.Disk == self && !v.Counted })
		if slot < 0 {
			return nil
		}
		next.Voters[slot].Counted, next.Voters[slot].Joining = true, false
		return &next
	}
}

// UpdateAddress returns the change that records the new address of a voter.
func UpdateAddress(self quorum.Voter) Change {
	return func(current quorum.Membership, _ map[ident.Disk]bool) *quorum.Membership {
		next := nextEpoch(current)
		slot := slices.IndexFunc(next.Voters, func(v quorum.Voter) bool { return v.Disk == self.Disk && v.Addr != self.Addr })
		if slot < 0 {
			return nil
		}
		next.Voters[slot].Addr = self.Addr
		return &next
	}
}

// RemoveVoter returns the change by which a voter loses its slot: one that leaves as planned, or one that
// nobody has heard. It applies only to an even number of slots, as the odd number below it
// tolerates as many failures, while among an even number the lost voter is already one of them.
func RemoveVoter(gone ident.Disk, leaves bool) Change {
	return func(current quorum.Membership, heard map[ident.Disk]bool) *quorum.Membership {
		voter, in := current.Find(gone)
		if !in || voter.Joining || current.Size()%2 != 0 || !leaves && heard[gone] {
			return nil
		}
		next := nextEpoch(current)
		next.Voters = withoutDisk(next.Voters, gone)
		return ifServing(next)
	}
}

// nextEpoch returns a copy of a membership at the next epoch.
func nextEpoch(current quorum.Membership) quorum.Membership {
	return quorum.Membership{Epoch: current.Epoch + 1, Voters: slices.Clone(current.Voters)}
}

func withoutDisk(voters []quorum.Voter, disk ident.Disk) []quorum.Voter {
	return slices.DeleteFunc(voters, func(v quorum.Voter) bool { return v.Disk == disk })
}

// ifServing returns a membership if its counted voters make a majority of it, else nil.
func ifServing(next quorum.Membership) *quorum.Membership {
	counted := 0
	for _, v := range next.Voters {
		if v.Counted {
			counted++
		}
	}
	if counted < next.Majority() {
		return nil
	}
	return &next
}
