// Package bootstrap forms the first membership once every founder has reported that its disk is
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

// resendInterval is the time between two transmissions of the requests.
const resendInterval = 250 * time.Millisecond

// Bootstrap collects the votes of the founders for the first membership. Invariants: only votes for
// the membership proposed in the current round count; that membership is chosen when every
// founder has voted for it.
type Bootstrap struct {
	disk       ident.Disk
	addr       ident.Addr
	founders   []ident.Addr
	round      uint64
	proposed   *quorum.Membership
	agreed     map[ident.Disk]bool
	lastSentAt monotime.Time
}

// New returns the Bootstrap of a core. founders are the addresses of all founders.
func New(disk ident.Disk, addr ident.Addr, founders []ident.Addr) *Bootstrap {
	return &Bootstrap{disk: disk, addr: addr, founders: slices.Sorted(slices.Values(founders))}
}

// Send is a request to one founder.
type Send struct {
	To      ident.Addr
	Request acceptor.Request
}

// Tick returns the requests that are due. Only the founder whose address sorts first sends
// requests, once all founders are live and empty. emptyFounders maps the addresses of the live
// founders whose disk is empty to their disks.
func (b *Bootstrap) Tick(now monotime.Time, emptyFounders map[ident.Addr]ident.Disk) []Send {
	if len(b.founders) == 0 || b.founders[0] != b.addr || b.lastSentAt != 0 && now.Since(b.lastSentAt) < resendInterval {
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
	b.lastSentAt = now
	var sends []Send
	for _, v := range b.proposed.Voters {
		sends = append(sends, Send{v.Addr, acceptor.Request{Kind: acceptor.Form, Round: b.round, Disk: b.disk, Next: b.proposed}})
	}
	return sends
}

// Step handles one response. It returns the first membership once that membership is chosen, else
// nil.
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
