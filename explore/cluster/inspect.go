package cluster

import (
	"bytes"
	"maps"
	"math/bits"
	"slices"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/register/quorum"
)

// checkMajorityReads reads each key from every majority of every chosen membership that could still
// serve, like the prepare of a new proposer. Each such read must return the acknowledged state.
func (c *Cluster) checkMajorityReads() {
	newest := c.newestMembership().Epoch
	for _, epoch := range slices.Sorted(maps.Keys(c.chosenMemberships)) {
		membership := c.chosenMemberships[epoch]
		disks := c.readableMembers(membership, epoch == newest)
		majorities := majorities(disks, majority(membership))
		for _, obj := range c.objects {
			c.checkObject(obj, majorities)
		}
	}
}

// readableMembers returns the members whose disks are counted voters of a membership and may still
// respond at the epoch of that membership.
func (c *Cluster) readableMembers(membership quorum.Membership, newest bool) []*member {
	var out []*member
	for _, v := range membership.Voters {
		m := c.memberWithDisk(v.Disk)
		if v.Counted && m != nil && (newest || m.membershipAcceptor.Current.Epoch <= membership.Epoch) {
			out = append(out, m)
		}
	}
	return out
}

// majorities returns every subset of the members that has the given size.
func majorities(members []*member, size int) [][]*member {
	var out [][]*member
	for mask := range 1 << len(members) {
		if bits.OnesCount(uint(mask)) != size {
			continue
		}
		var majority []*member
		for i, m := range members {
			if mask>>i&1 == 1 {
				majority = append(majority, m)
			}
		}
		out = append(out, majority)
	}
	return out
}

// checkObject checks the record of an object that each majority read finds. Equal records are
// checked once.
func (c *Cluster) checkObject(obj object, majorities [][]*member) {
	var checked []quorum.Record
	for _, members := range majorities {
		found := newestRecord(members, obj.key())
		known := func(other quorum.Record) bool { return found.SameState(other) && bytes.Equal(found.Value, other.Value) }
		if slices.ContainsFunc(checked, known) {
			continue
		}
		checked = append(checked, found)
		obj.checkMajorityRead(c, found)
	}
}

// newestRecord returns the record that a prepare at the given members would find.
func newestRecord(members []*member, key ident.Key) quorum.Record {
	var newest quorum.Record
	for _, m := range members {
		if record := m.registerAcceptor.Peek(key); record.NewerThan(newest) {
			newest = record
		}
	}
	return newest
}
