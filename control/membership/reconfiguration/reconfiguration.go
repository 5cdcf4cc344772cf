// Package reconfiguration raises the membership epoch: a newcomer takes a slot, copies, and then
// votes.
package reconfiguration

import (
	"fmt"
	"hash/fnv"
	"slices"
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/membership/acceptor"
	"cottonarch.example/cottonarch/control/register/quorum"
)

const (
	resendInterval = 200 * time.Millisecond
	roundTimeout   = 2 * time.Second
	changePause    = 300 * time.Millisecond
	// outbidRetry is the pause after a voter had promised another proposal more: far less than
	// rest, or a proposer that has nothing to propose and asks each rest, with a higher
	// ballot each time, would for ever be ahead of one that has.
	outbidRetry = 20 * time.Millisecond
)

type stage int

const (
	idle stage = iota
	preparing
	accepting
)

// Change works out the membership wanted after now, given the disks that the responses of a
// majority have heard; nil means that nothing may be changed.
type Change func(now quorum.Membership, heard map[ident.Disk]bool) *quorum.Membership

// Reconfigurer runs one change at a time. Invariant: it reports a membership as chosen only after a majority
// of the counted voters of one membership, all at its epoch, accepted one proposal.
type Reconfigurer struct {
	disk         ident.Disk
	instance     string
	stage        stage
	base         quorum.Membership
	ballot       ident.Ballot
	round        uint64
	request      acceptor.Request
	responses    map[ident.Disk]acceptor.Response
	roundBegan   monotime.Time
	lastSent     monotime.Time
	pausedUntil  monotime.Time
	highestEpoch ident.Epoch
	change       Change
}

// New makes an idle one.
func New(disk ident.Disk, instance string) *Reconfigurer {
	return &Reconfigurer{disk: disk, instance: instance}
}

// Send is one request to one voter.
type Send struct {
	To      quorum.Voter
	Request acceptor.Request
}

// Idle tells whether nothing is under way.
func (reconfigurer *Reconfigurer) Idle() bool { return reconfigurer.stage == idle }

// Begin starts a change from the membership in force.
func (reconfigurer *Reconfigurer) Begin(now monotime.Time, base quorum.Membership, change Change) []Send {
	if reconfigurer.stage != idle || reconfigurer.pausedUntil.After(now) {
		return nil
	}
	reconfigurer.highestEpoch++
	reconfigurer.base, reconfigurer.change, reconfigurer.stage = base, change, preparing
	reconfigurer.ballot = ident.Ballot{Epoch: reconfigurer.highestEpoch, Proposer: reconfigurer.instance}
	return reconfigurer.beginRound(now, acceptor.Request{Kind: acceptor.Prepare})
}

func (reconfigurer *Reconfigurer) beginRound(now monotime.Time, request acceptor.Request) []Send {
	reconfigurer.round++
	request.Round, request.Base, request.Ballot, request.Disk = reconfigurer.round, reconfigurer.base.Epoch, reconfigurer.ballot, reconfigurer.disk
	reconfigurer.request, reconfigurer.responses, reconfigurer.roundBegan, reconfigurer.lastSent = request, map[ident.Disk]acceptor.Response{}, now, now
	return reconfigurer.outstanding()
}

func (reconfigurer *Reconfigurer) outstanding() []Send {
	var sends []Send
	for _, v := range reconfigurer.base.Voters {
		if _, ok := reconfigurer.responses[v.Disk]; v.Counted && !ok {
			sends = append(sends, Send{v, reconfigurer.request})
		}
	}
	return sends
}

func (reconfigurer *Reconfigurer) stop(now monotime.Time) {
	reconfigurer.stage, reconfigurer.pausedUntil = idle, now.Add(changePause+time.Duration(reconfigurer.round*37%100)*time.Millisecond)
}

// pauseOutbid pauses for a moment that differs between proposers and from one try to the next.
func (reconfigurer *Reconfigurer) pauseOutbid(now monotime.Time) {
	hash := fnv.New32a()
	_, _ = fmt.Fprint(hash, reconfigurer.disk, reconfigurer.round)
	reconfigurer.stage, reconfigurer.pausedUntil = idle, now.Add(outbidRetry+time.Duration(hash.Sum32()%100)*time.Millisecond)
}

// Adopted drops a change that builds on an older membership.
func (reconfigurer *Reconfigurer) Adopted(r quorum.Membership) {
	if reconfigurer.stage != idle && r.Epoch > reconfigurer.base.Epoch {
		reconfigurer.stage = idle
	}
	reconfigurer.highestEpoch = 0
}

// Step takes one response; the membership is not nil once it is chosen.
func (reconfigurer *Reconfigurer) Step(now monotime.Time, r acceptor.Response) ([]Send, *quorum.Membership) {
	if reconfigurer.stage == idle || r.Round != reconfigurer.round || r.Base != reconfigurer.base.Epoch || !reconfigurer.base.Counts(r.Disk) {
		return nil, nil
	}
	if !r.OK {
		reconfigurer.highestEpoch = max(reconfigurer.highestEpoch, r.Promised.Epoch)
		reconfigurer.pauseOutbid(now)
		return nil, nil
	}
	if r.Promised != reconfigurer.ballot {
		return nil, nil // a yes to the same turn of an earlier run, whose ballot was another
	}
	reconfigurer.responses[r.Disk] = r
	if len(reconfigurer.responses) < reconfigurer.base.Majority() {
		return nil, nil
	}
	if reconfigurer.stage == accepting {
		reconfigurer.stage = idle // what comes next builds on it, and need not wait
		return nil, reconfigurer.request.Next
	}
	// What a voter has already accepted goes first.
	var highest acceptor.Response
	heard := map[ident.Disk]bool{}
	for _, v := range reconfigurer.responses {
		if v.Next != nil && highest.Accepted.Less(v.Accepted) {
			highest = v
		}
		for _, d := range v.Heard {
			heard[d] = true
		}
	}
	next := highest.Next
	if next == nil {
		next = reconfigurer.change(reconfigurer.base, heard)
	}
	if next == nil {
		reconfigurer.stop(now)
		return nil, nil
	}
	reconfigurer.stage = accepting
	return reconfigurer.beginRound(now, acceptor.Request{Kind: acceptor.Accept, Next: next}), nil
}

// Tick repeats or gives up.
func (reconfigurer *Reconfigurer) Tick(now monotime.Time) []Send {
	if reconfigurer.stage == idle {
		return nil
	}
	if now.Since(reconfigurer.roundBegan) > roundTimeout {
		reconfigurer.stop(now)
		return nil
	}
	if now.Since(reconfigurer.lastSent) <= resendInterval {
		return nil
	}
	reconfigurer.lastSent = now
	return reconfigurer.outstanding()
}

// TakeSlot plans that disk me, at addr, takes a slot: that of an older disk at the same
// address, else that of the one voter nobody has heard, else, when all are healthy and
// there are fewer than maxVoters, a new one, in which it joins. Who has only joined may still
// take a slot that is empty, and leaves its own.
func TakeSlot(me quorum.Voter, maxVoters int, grow bool) Change {
	return func(now quorum.Membership, heard map[ident.Disk]bool) *quorum.Membership {
		own, in := now.Find(me.Disk)
		if in && !own.Joining {
			return nil
		}
		next := quorum.Membership{Epoch: now.Epoch + 1, Voters: slices.DeleteFunc(slices.Clone(now.Voters), func(v quorum.Voter) bool { return v.Disk == me.Disk })}
		slot := slices.IndexFunc(next.Voters, func(v quorum.Voter) bool { return v.Addr == me.Addr })
		if slot < 0 && now.Size() <= maxVoters { // one too many is dropped and not filled
			slot = slices.IndexFunc(next.Voters, func(v quorum.Voter) bool { return !heard[v.Disk] && (!in || !v.Joining) })
		}
		if slot < 0 && (in || !grow || len(next.Voters) >= maxVoters) {
			return nil
		}
		me.Counted, me.Joining = false, slot < 0 || next.Voters[slot].Joining
		if slot < 0 {
			next.Voters = append(next.Voters, me)
		} else {
			next.Voters[slot] = me
		}
		// The counted voters that stay must still make a majority.
		if n := countedVoters(next); n < next.Majority() {
			return nil
		}
		return &next
	}
}

// CountIn plans that disk me votes from now on.
func CountIn(me ident.Disk) Change {
	return func(now quorum.Membership, _ map[ident.Disk]bool) *quorum.Membership {
		next := quorum.Membership{Epoch: now.Epoch + 1, Voters: slices.Clone(now.Voters)}
		slot := slices.IndexFunc(next.Voters, func(v quorum.Voter) bool { return v.Disk == me && !v.Counted })
		if slot < 0 {
			return nil
		}
		next.Voters[slot].Counted, next.Voters[slot].Joining = true, false
		return &next
	}
}

// MoveVoter plans that a voter is found at another address from now on.
func MoveVoter(me quorum.Voter) Change {
	return func(now quorum.Membership, _ map[ident.Disk]bool) *quorum.Membership {
		next := quorum.Membership{Epoch: now.Epoch + 1, Voters: slices.Clone(now.Voters)}
		slot := slices.IndexFunc(next.Voters, func(v quorum.Voter) bool { return v.Disk == me.Disk && v.Addr != me.Addr })
		if slot < 0 {
			return nil
		}
		next.Voters[slot].Addr = me.Addr
		return &next
	}
}

// Drop plans that a voter has no slot from now on: one that leaves as planned, or one that
// nobody has heard. Only an even number of slots shrinks: the odd one below it bears as
// many losses, while with an even one a voter that is gone is a loss that is borne already.
func Drop(gone ident.Disk, leaves bool) Change {
	return func(now quorum.Membership, heard map[ident.Disk]bool) *quorum.Membership {
		voter, in := now.Find(gone)
		if !in || voter.Joining || now.Size()%2 != 0 || !leaves && heard[gone] {
			return nil
		}
		next := quorum.Membership{Epoch: now.Epoch + 1, Voters: slices.DeleteFunc(slices.Clone(now.Voters), func(v quorum.Voter) bool { return v.Disk == gone })}
		if countedVoters(next) < next.Majority() {
			return nil
		}
		return &next
	}
}

func countedVoters(r quorum.Membership) int {
	n := 0
	for _, v := range r.Voters {
		if v.Counted {
			n++
		}
	}
	return n
}
