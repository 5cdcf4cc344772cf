package cluster

import (
	"bytes"
	"maps"
	"math/bits"
	"slices"

	"cottonarch.example/cottonarch/control/register/quorum"
	"cottonarch.example/cottonarch/kernel/ident"
)

// inspect reads, for every chosen roster that a majority could still serve, each key from
// every majority, as a new owner's prepare would: what was acknowledged must be there.
func (c *Cluster) inspect() {
	newest := c.newest().Epoch
	for _, epoch := range slices.Sorted(maps.Keys(c.chosen)) {
		r := c.chosen[epoch]
		disks := c.serving(r, epoch == newest)
		groups := majorities(disks, majority(r))
		for _, o := range c.objects {
			c.read(o, groups)
		}
	}
}

// serving lists the members whose disks count in a roster and may still serve at it.
func (c *Cluster) serving(r quorum.Membership, newest bool) []*member {
	var out []*member
	for _, v := range r.Voters {
		m := c.holder(v.Disk)
		if v.Counted && m != nil && (newest || m.acc.Current.Epoch <= r.Epoch) {
			out = append(out, m)
		}
	}
	return out
}

// majorities lists every choice of so many members.
func majorities(all []*member, size int) [][]*member {
	var out [][]*member
	for mask := range 1 << len(all) {
		if bits.OnesCount(uint(mask)) != size {
			continue
		}
		var one []*member
		for i, m := range all {
			if mask>>i&1 == 1 {
				one = append(one, m)
			}
		}
		out = append(out, one)
	}
	return out
}

// read looks at what each majority has of an object, at the same cell once.
func (c *Cluster) read(o object, groups [][]*member) {
	var looked []quorum.Record
	for _, group := range groups {
		found := newestCell(group, o.key())
		known := func(other quorum.Record) bool { return found.Same(other) && bytes.Equal(found.Value, other.Value) }
		if slices.ContainsFunc(looked, known) {
			continue
		}
		looked = append(looked, found)
		o.inspect(c, found)
	}
}

// newestCell is what a prepare at these members would find.
func newestCell(group []*member, key ident.Key) quorum.Record {
	var best quorum.Record
	for _, m := range group {
		if got := m.rep.Peek(key); got.Newer(best) {
			best = got
		}
	}
	return best
}
