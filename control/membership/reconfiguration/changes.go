package reconfiguration

import (
	"slices"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/register/quorum"
)

// Change computes the next membership from the current one. liveDisks holds the disks that at least
// one voter of a majority does not presume dead. Change returns nil if no change is allowed.
type Change func(current quorum.Membership, liveDisks map[ident.Disk]bool) *quorum.Membership

// TakeSlot returns the change by which a disk takes a slot of the membership: the slot of an earlier
// disk at the same address, else the slot of a voter that is not live, else, if grow is set and
// there are fewer than maxVoters voters, a new slot, in which the disk is Joining. A disk that is
// Joining may still take the slot of a voter that is not live, and gives up its new slot then.
func TakeSlot(self quorum.Voter, maxVoters int, grow bool) Change {
	return func(current quorum.Membership, liveDisks map[ident.Disk]bool) *quorum.Membership {
		own, in := current.Find(self.Disk)
		if in && !own.Joining {
			return nil
		}
		next := nextEpoch(current)
		next.Voters = withoutDisk(next.Voters, self.Disk)
		slot := slices.IndexFunc(next.Voters, func(v quorum.Voter) bool { return v.Addr == self.Addr })
		if slot < 0 && current.Size() <= maxVoters { // a slot beyond maxVoters is removed rather than filled
			slot = slices.IndexFunc(next.Voters, func(v quorum.Voter) bool { return !liveDisks[v.Disk] && (!in || !v.Joining) })
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
		return ifMajorityCounted(next)
	}
}

// PromoteVoter returns the change that makes a voter Counted once it has copied the control state.
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

// UpdateAddress returns the change that replaces the address of a voter by its new one.
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

// RemoveVoter returns the change that removes a voter and its slot: a voter whose departure is
// planned, or one that is not live. The change applies only if the number of slots is even: the
// next lower, odd number tolerates as many failures, while with an even number the lost voter
// already counts as one of the failures.
func RemoveVoter(disk ident.Disk, planned bool) Change {
	return func(current quorum.Membership, liveDisks map[ident.Disk]bool) *quorum.Membership {
		voter, in := current.Find(disk)
		if !in || voter.Joining || current.Size()%2 != 0 || !planned && liveDisks[disk] {
			return nil
		}
		next := nextEpoch(current)
		next.Voters = withoutDisk(next.Voters, disk)
		return ifMajorityCounted(next)
	}
}

// nextEpoch returns a copy of the voters of a membership at the next epoch.
func nextEpoch(current quorum.Membership) quorum.Membership {
	return quorum.Membership{Epoch: current.Epoch + 1, Voters: slices.Clone(current.Voters)}
}

// withoutDisk returns the voters except that of a disk. It modifies the slice voters.
func withoutDisk(voters []quorum.Voter, disk ident.Disk) []quorum.Voter {
	return slices.DeleteFunc(voters, func(v quorum.Voter) bool { return v.Disk == disk })
}

// ifMajorityCounted returns a membership if its counted voters form a majority, else nil.
func ifMajorityCounted(next quorum.Membership) *quorum.Membership {
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
