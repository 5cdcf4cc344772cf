// Package former forms the first roster: only when every founder says that it is
// empty.
package former

import (
	"slices"
	"time"

	"cottonarch.example/cottonarch/control/register/cell"
	"cottonarch.example/cottonarch/control/roster/acceptor"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/moment"
)

const resend = 250 * time.Millisecond

// Former asks the founders. Invariant: it counts only yeses to the very roster it
// asks for in this turn; the roster is chosen when every founder gave one.
type Former struct {
	disk    ident.Disk
	addr    ident.Addr
	founder []ident.Addr
	turn    uint64
	next    *cell.Roster
	yes     map[ident.Disk]bool
	sent    moment.Moment
}

// New makes a former for the founders' addresses.
func New(disk ident.Disk, addr ident.Addr, founders []ident.Addr) *Former {
	return &Former{disk: disk, addr: addr, founder: slices.Sorted(slices.Values(founders))}
}

// Send is one ask.
type Send struct {
	To  ident.Addr
	Ask acceptor.Ask
}

// Tick asks when this is the founder that should: the first by address. empty holds
// the founders heard lately that say they are empty, with their disks.
func (f *Former) Tick(now moment.Moment, empty map[ident.Addr]ident.Disk) []Send {
	if len(f.founder) == 0 || f.founder[0] != f.addr || f.sent != 0 && now.Since(f.sent) < resend {
		return nil
	}
	next := &cell.Roster{Epoch: 1}
	for _, a := range f.founder {
		d, ok := empty[a]
		if a == f.addr {
			d, ok = f.disk, true
		}
		if !ok {
			return nil
		}
		next.Voters = append(next.Voters, cell.Voter{Disk: d, Addr: a, Counted: true})
	}
	if f.next == nil || !slices.Equal(f.next.Voters, next.Voters) {
		f.turn++
		f.next, f.yes = next, map[ident.Disk]bool{}
	}
	f.sent = now
	var out []Send
	for _, v := range f.next.Voters {
		out = append(out, Send{v.Addr, acceptor.Ask{Kind: acceptor.Form, Turn: f.turn, Disk: f.disk, Next: f.next}})
	}
	return out
}

// Step takes one return; the roster is not nil once it is chosen.
func (f *Former) Step(r acceptor.Return) *cell.Roster {
	if f.next == nil || !r.OK || r.Turn != f.turn || r.Next == nil || !slices.Equal(r.Next.Voters, f.next.Voters) {
		return nil
	}
	f.yes[r.Disk] = true
	for _, v := range f.next.Voters {
		if !f.yes[v.Disk] {
			return nil
		}
	}
	return f.next
}
