package membership_test

import (
	"fmt"
	"slices"
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/register/quorum"
)

// lostMachines lists the machines that count as lost: those that are down, and those that have been
// back for less than catchUpLimit.
func (c *cluster) lostMachines() (lost []ident.Addr) {
	for _, m := range c.byAddr {
		successor := c.machines[c.successorOf[m.addr]]
		switch {
		case successor != nil && successor.running && c.now.Since(successor.bootedAt) >= catchUpLimit:
		case !m.running, c.now.Since(m.bootedAt) < catchUpLimit:
			lost = append(lost, m.addr)
		}
	}
	return lost
}

// chosenMembership returns the newest membership that any disk holds as chosen, or that a majority
// has accepted.
func (c *cluster) chosenMembership() quorum.Membership {
	var newest quorum.Membership
	for _, m := range c.machines {
		if m.membership.Current.Epoch > newest.Epoch {
			newest = m.membership.Current
		}
	}
	accepted := map[ident.Ballot]int{}
	for _, m := range c.byAddr {
		if d := ident.Disk(m.synced["disk"].Data); m.membership.Current.Epoch == newest.Epoch && m.membership.Next != nil &&
			newest.IsCounted(d) {
			if accepted[m.membership.Accepted]++; accepted[m.membership.Accepted] >= newest.Majority() {
				return *m.membership.Next
			}
		}
	}
	return newest
}

// checkInvariants checks the synced state after a step. Two invariants must hold:
//
//   - Each majority of the newest membership's disks holds every confirmed value.
//   - This is still so, and there is such a majority, after any further loss of machines with their
//     disks that canLose allows, even if every other machine loses power too.
func (c *cluster) checkInvariants() {
	lost := c.lostMachines()
	mayStillBeLost := c.canLose - len(lost)
	if c.timingOnly || len(c.violations) > 20 {
		return
	}
	c.checks++
	membership := c.chosenMembership()
	if membership.Epoch == 0 {
		return
	}
	violation := func(format string, args ...any) {
		state := fmt.Sprintf("%v: membership %d of %d slots, lost %v: ", time.Duration(c.now), membership.Epoch, membership.Size(), lost)
		c.violations = append(c.violations, state+fmt.Sprintf(format, args...))
	}
	counted, remaining := c.machinesCounted(membership, nil), c.machinesCounted(membership, lost)
	for _, k := range c.confirmedKeys {
		for _, disks := range [][]*machine{counted, remaining} {
			// Fewer disks than a majority may lack the value, whichever others are lost.
			if lacking := c.countLacking(disks, k); lacking >= membership.Majority() {
				violation("%s at revision %d is not on %d of %d disks that count", k, c.confirmed[k], lacking, len(disks))
				return
			}
		}
	}
	if mayStillBeLost >= 0 && len(remaining)-mayStillBeLost < membership.Majority() {
		violation("%d more, of %d disks that count, leave no majority", mayStillBeLost, len(remaining))
	}
}

// machinesCounted lists the machines whose disks are counted, without the excluded ones.
func (c *cluster) machinesCounted(membership quorum.Membership, excluded []ident.Addr) (counted []*machine) {
	for _, m := range c.byAddr {
		if membership.IsCounted(ident.Disk(m.synced["disk"].Data)) && !slices.Contains(excluded, m.addr) {
			counted = append(counted, m)
		}
	}
	return counted
}

// countLacking counts the disks that lack the confirmed value of a key.
func (c *cluster) countLacking(disks []*machine, k ident.Key) (n int) {
	for _, m := range disks {
		if m.heldRevisions[k] < c.confirmed[k] {
			n++
		}
	}
	return n
}

// fullyReplicated reports whether there are so many slots, each with a counted voter whose disk
// holds every confirmed value.
func (c *cluster) fullyReplicated(slots int) bool {
	membership := c.chosenMembership()
	if membership.Size() != slots {
		return false
	}
	for _, v := range membership.Voters {
		if v.Joining {
			continue
		}
		m := c.machines[v.Addr]
		if !v.Counted || m == nil || !m.running || !m.node.IsVoter() || string(m.synced["disk"].Data) != string(v.Disk) {
			return false
		}
		for _, k := range c.confirmedKeys {
			if m.heldRevisions[k] < c.confirmed[k] {
				return false
			}
		}
	}
	return true
}
