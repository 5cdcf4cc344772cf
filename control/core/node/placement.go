package node

import (
	"slices"
	"time"

	"cottonarch.example/cottonarch/control/core/message"
	"cottonarch.example/cottonarch/control/membership/reconfiguration"
	"cottonarch.example/cottonarch/control/register/quorum"
	"cottonarch.example/cottonarch/control/register/quorumread"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/monotime"
)

// copyAgain is how long the word that a copy is synced is awaited before all is copied anew.
const copyAgain = 2 * time.Second

// seekMembership works towards this disk being a counted voter.
func (n *Node) seekMembership(now monotime.Time, fx *Effects) {
	r := n.membership.Current
	if r.Epoch == 0 {
		if !slices.Contains(n.boot.Founders, n.boot.Addr) {
			return
		}
		empty := map[ident.Addr]ident.Disk{}
		for _, a := range n.peerAddrs() {
			if p := n.peers[a]; p.hello.Membership == nil && now.Since(p.heard) <= heartbeatTimeout {
				empty[a] = p.hello.Disk
			}
		}
		for _, s := range n.bootstrap.Tick(now, empty) {
			ask := s.Request
			fx.Sends = append(fx.Sends, Send{s.To, message.Message{MembershipRequest: &ask}})
		}
		return
	}
	me, in := r.Find(n.Disk)
	switch {
	case in && me.Counted && me.Addr != n.boot.Addr:
		n.sendReconfiguration(n.reconfigurer.Begin(now, r, reconfiguration.MoveVoter(quorum.Voter{Disk: n.Disk, Addr: n.boot.Addr})), fx)
	case n.leaving:
	case in && me.Counted:
		n.sheds(now, r, fx)
	case in && me.Joining && !n.canGrow(now, r) && !n.relieves(now, r):
		if n.mayTakeSlot(now, r) {
			n.sendReconfiguration(n.reconfigurer.Begin(now, r, reconfiguration.TakeSlot(quorum.Voter{Disk: n.Disk, Addr: n.boot.Addr}, n.boot.Voters, false)), fx)
		}
	case in && n.copiedAt == r.Epoch:
		n.sendReconfiguration(n.reconfigurer.Begin(now, r, reconfiguration.CountIn(n.Disk)), fx)
	case in && (!n.copyingState || n.copy != 0 && now.Since(n.copyAt) > copyAgain):
		n.copyingState = true
		n.quorumRead(now, &reading{until: now.Add(time.Minute), done: n.takeCopies(r.Epoch)}, "", true, n.Disk, fx)
	case !in && n.relieves(now, r):
		n.sendReconfiguration(n.reconfigurer.Begin(now, r, reconfiguration.TakeSlot(quorum.Voter{Disk: n.Disk, Addr: n.boot.Addr}, len(r.Voters)+1, true)), fx)
	case !in && n.mayTakeSlot(now, r):
		grow := n.mayGrow(now, r)
		n.sendReconfiguration(n.reconfigurer.Begin(now, r, reconfiguration.TakeSlot(quorum.Voter{Disk: n.Disk, Addr: n.boot.Addr}, n.boot.Voters, grow)), fx)
	}
}

// canGrow tells whether the slots that majorities are of may become one more by this disk,
// which has joined: all that count are healthy, and there is another to follow it unless the
// number is even. A core more than an odd number adds to no majority's strength; it stands
// by, and takes the next empty slot. Had it been counted in, and the voter whose successor
// it was to be then gone for good, every later loss would be one too many.
func (n *Node) canGrow(now monotime.Time, r quorum.Membership) bool {
	near := n.healthy(now)
	others := 0
	for _, v := range r.Voters {
		switch well := slices.Contains(near, v.Disk); {
		case v.Joining && v.Disk != n.Disk && well:
			others++
		case !v.Joining && !well:
			return false
		}
	}
	return r.Size()%2 == 0 || others > 0
}

// healthy lists the disks that are heard, work and stay, this one included.
func (n *Node) healthy(now monotime.Time) []ident.Disk {
	out := []ident.Disk{n.Disk}
	for _, a := range n.peerAddrs() {
		if p := n.peers[a]; p.live(now) && !p.hello.Leaving && !p.hello.Broken {
			out = append(out, p.hello.Disk)
		}
	}
	return out
}

// mayTakeSlot tells whether this disk may find a slot: one voter is at this address, or one is
// not heard here, or it may grow the membership, which has fewer voters than there should be.
// Who can have none does not ask: each question outbids those that would be agreed to. Only then is a majority asked, and what its disks have heard decides; so a
// core that has just come need not itself wait for a voter's silence to be long.
func (n *Node) mayTakeSlot(now monotime.Time, r quorum.Membership) bool {
	if slices.ContainsFunc(r.Voters, func(v quorum.Voter) bool { return v.Addr == n.boot.Addr && v.Disk != n.Disk }) {
		return true
	}
	ran := now.Since(n.began)
	if ran <= heartbeatTimeout {
		return false // those that live may not have said so yet
	}
	near := n.heard(now, deadAfter)
	_, in := r.Find(n.Disk)
	return !in && n.mayGrow(now, r) && len(r.Voters) < n.boot.Voters ||
		slices.ContainsFunc(r.Voters, func(v quorum.Voter) bool { return !slices.Contains(near, v.Disk) && (!in || !v.Joining) })
}

// mayGrow tells whether this disk may ask for a slot of its own. A core that replaces
// another is given time to find the empty slot first; where there are too few slots to bear
// what may be lost at once, it waits no longer than it takes to hear the others.
func (n *Node) mayGrow(now monotime.Time, r quorum.Membership) bool {
	ran := now.Since(n.began)
	return ran > growAfter || r.Size() < 2*n.boot.CanLose+1 && ran > heartbeatTimeout
}

// presumedAlive lists the disks that this one does not hold for dead: those heard lately and,
// as long as it has not listened for that long itself, all that vote.
func (n *Node) presumedAlive(now monotime.Time) []ident.Disk {
	out := n.heard(now, deadAfter)
	if now.Since(n.began) > deadAfter {
		return out
	}
	for _, v := range n.membership.Current.Voters {
		if !slices.Contains(out, v.Disk) {
			out = append(out, v.Disk)
		}
	}
	return out
}

// takeCopies takes every key that a majority of the counted voters held at the epoch. The
// copy is done only once it is synced: the word of that waits at the gate behind its
// records. A disk that counted sooner and then lost power would count and know nothing.
func (n *Node) takeCopies(at ident.Epoch) func(monotime.Time, *quorumread.Reader, *Effects) {
	return func(now monotime.Time, s *quorumread.Reader, fx *Effects) {
		if s == nil || n.membership.Current.Epoch != at {
			n.copyingState = false
			return
		}
		all := s.Found()
		for _, k := range sortedKeys(all) {
			fx.Records = append(fx.Records, n.acceptor.Learn(quorum.Row{Key: k, Record: all[k].Record})...)
		}
		n.copy, n.copyAt = n.next(), now
		synced := quorum.ScanResponse{Round: n.copy, Disk: n.Disk, Membership: at}
		fx.Sends = append(fx.Sends, Send{n.boot.Addr, message.Message{ScanResponse: &synced}})
	}
}

// copySynced takes the word that the copy is synced.
func (n *Node) copySynced(r quorum.ScanResponse) bool {
	if r.Round != n.copy || r.Disk != n.Disk || n.copy == 0 {
		return false
	}
	n.copy = 0
	if r.Membership == n.membership.Current.Epoch {
		n.copyingState, n.copiedAt = false, r.Membership
	}
	return true
}

func sortedKeys(all map[ident.Key]quorumread.Found) []ident.Key {
	out := make([]ident.Key, 0, len(all))
	for k := range all {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}
