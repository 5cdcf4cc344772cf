package cluster

import (
	"bytes"
	"maps"
	"math/bits"
	"slices"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/register/quorum"
)

// inspect reads, for every chosen membership that a majority could still serve, each key from
// every majority, as the prepare of a new proposer would: what was acknowledged must be there.
func (c *Cluster) inspect() {
	newest := c.newestMembership().Epoch
	for _, epoch := range slices.Sorted(maps.Keys(c.chosenMemberships)) {
		r := c.chosenMemberships[epoch]
		disks := c.serving(r, epoch == newest)
		majorities := majorities(disks, majority(r))
		for _, obj := range c.objects {
			c.inspectObject(obj, majorities)
		}
	}
}

// serving lists the members whose disks count in a membership and may still serve in it.
func (c *Cluster) serving(r quorum.Membership, newest bool) []*member {
	var out []*member
	for _, v := range r.Voters {
		m := c.holderOf(v.Disk)
		if v.Counted && m != nil && (newest || m.membershipAcceptor.Current.Epoch <= r.Epoch) {
			out = append(out, m)
		}
	}
	return out
}

// majorities lists every set of so many members.
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

// inspectObject checks what each majority has of an object; equal records are checked once.
func (c *Cluster) inspectObject(obj object, majorities [][]*member) {
	var inspected []quorum.Record
	for _, group := range majorities {
		found := newestRecord(group, obj.key())
		known := func(other quorum.Record) bool { return found.SameState(other) && bytes.Equal(found.Value, other.Value) }
		if slices.ContainsFunc(inspected, known) {
			continue
		}
		inspected = append(inspected, found)
		obj.inspect(c, found)
	}
}

// newestRecord is what a prepare at these members would find.
func newestRecord(group []*member, key ident.Key) quorum.Record {
	var best quorum.Record
	for _, m := range group {
		if got := m.registerAcceptor.Peek(key); got.NewerThan(best) {
			best = got
		}
	}
	return best
}
