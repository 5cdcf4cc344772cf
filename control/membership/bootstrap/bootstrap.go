// Package bootstrap decides the first membership: only when every founder says that it is
// empty.
package bootstrap

import (
	"slices"
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/membership/acceptor"
	"cottonarch.example/cottonarch/control/register/quorum"
)

const resendInterval = 250 * time.Millisecond

// Bootstrap asks the founders. Invariant: it counts only agreements to the very membership it
// asks for in this round; the membership is chosen when every founder agreed.
type Bootstrap struct {
	disk     ident.Disk
	addr     ident.Addr
	founders []ident.Addr
	round    uint64
	proposed *quorum.Membership
	agreed   map[ident.Disk]bool
	lastSent monotime.Time
}

// New makes a bootstrap for the founders' addresses.
func New(disk ident.Disk, addr ident.Addr, founders []ident.Addr) *Bootstrap {
	return &Bootstrap{disk: disk, addr: addr, founders: slices.Sorted(slices.Values(founders))}
}

// Send is one request.
type Send struct {
	To      ident.Addr
	Request acceptor.Request
}

// Tick asks when this is the founder that should: the first by address. empty holds
// the founders heard lately that say they are empty, with their disks.
func (b *Bootstrap) Tick(now monotime.Time, emptyFounders map[ident.Addr]ident.Disk) []Send {
	if len(b.founders) == 0 || b.founders[0] != b.addr || b.lastSent != 0 && now.Since(b.lastSent) < resendInterval {
		return nil
	}
	next := &quorum.Membership{Epoch: 1}
	for _, a := range b.founders {
		d, ok := emptyFounders[a]
		if a == b.addr {
			d, ok = b.disk, true
		}
		if !ok {
			return nil
		}
		next.Voters = append(next.Voters, quorum.Voter{Disk: d, Addr: a, Counted: true})
	}
	if b.proposed == nil || !slices.Equal(b.proposed.Voters, next.Voters) {
		b.round++
		b.proposed, b.agreed = next, map[ident.Disk]bool{}
	}
	b.lastSent = now
	var sends []Send
	for _, v := range b.proposed.Voters {
		sends = append(sends, Send{v.Addr, acceptor.Request{Kind: acceptor.Form, Round: b.round, Disk: b.disk, Next: b.proposed}})
	}
	return sends
}

// Step takes one response; the membership is not nil once it is chosen.
func (b *Bootstrap) Step(r acceptor.Response) *quorum.Membership {
	if b.proposed == nil || !r.OK || r.Round != b.round || r.Next == nil || !slices.Equal(r.Next.Voters, b.proposed.Voters) {
		return nil
	}
	b.agreed[r.Disk] = true
	for _, v := range b.proposed.Voters {
		if !b.agreed[v.Disk] {
			return nil
		}
	}
	return b.proposed
}
