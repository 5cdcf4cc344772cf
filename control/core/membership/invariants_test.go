package membership_test

import (
	"fmt"
	"slices"
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/register/quorum"
)

// lostMachines lists the machines that are considered lost: machines that are down, and machines
// that booted less than catchUpLimit ago. A machine is no longer considered lost once its
// replacement has been up for catchUpLimit.
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

// chosenMembership returns the newest membership that a disk holds as chosen or that a majority has
// accepted.
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
//   - After any further loss of machines and their disks that toleratedLosses allows, a majority
//     remains and the first invariant still holds, even if all other machines lose power as well.
func (c *cluster) checkInvariants() {
	lost := c.lostMachines()
	remainingLosses := c.toleratedLosses - len(lost)
	if c.timingOnly || len(c.violations) > 20 {
		return
	}
	c.checks++
	membership := c.chosenMembership()
	if membership.Epoch == 0 {
		return
	}
	violation := func(format string, args ...any) {
		state := fmt.Sprintf("%v: membership epoch %d with %d slots, lost machines %v: ", time.Duration(c.now), membership.Epoch, membership.Size(), lost)
		c.violations = append(c.violations, state+fmt.Sprintf(format, args...))
	}
	countedMachines, remainingMachines := c.countedMachines(membership, nil), c.countedMachines(membership, lost)
	for _, k := range c.confirmedKeys {
		for _, disks := range [][]*machine{countedMachines, remainingMachines} {
			// The disks that lack the value must be fewer than a majority, whichever disks are
			// lost.
			if lacking := c.countLacking(disks, k); lacking >= membership.Majority() {
				violation("key %s: revision %d is missing on %d of %d counted disks", k, c.confirmed[k], lacking, len(disks))
				return
			}
		}
	}
	if remainingLosses >= 0 && len(remainingMachines)-remainingLosses < membership.Majority() {
		violation("a further loss of %d of %d counted disks leaves no majority", remainingLosses, len(remainingMachines))
	}
}

// countedMachines lists the machines whose disks are counted voters, except the excluded machines.
func (c *cluster) countedMachines(membership quorum.Membership, excluded []ident.Addr) (counted []*machine) {
	for _, m := range c.byAddr {
		if membership.IsCounted(ident.Disk(m.synced["disk"].Data)) && !slices.Contains(excluded, m.addr) {
			counted = append(counted, m)
		}
	}
	return counted
}

// countLacking returns the number of disks that lack the confirmed value of a key.
func (c *cluster) countLacking(disks []*machine, k ident.Key) (n int) {
	for _, m := range disks {
		if m.heldRevisions[k] < c.confirmed[k] {
			n++
		}
	}
	return n
}

// isFullyReplicated reports whether the membership has the given number of slots and each slot has
// a running, counted voter whose disk holds every confirmed value.
func (c *cluster) isFullyReplicated(slots int) bool {
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
