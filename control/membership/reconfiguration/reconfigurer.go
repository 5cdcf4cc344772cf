// Package reconfiguration changes the membership, one voter at a time: a new disk takes a slot,
// copies the control state and is then counted. Each change is one instance of single-decree Paxos
// among the counted voters of the membership in force, and raises the epoch by one.
package reconfiguration

import (
	"fmt"
	"hash/fnv"
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/membership/acceptor"
	"cottonarch.example/cottonarch/control/register/quorum"
)

const (
	// resendInterval is how long a request waits for its response before it is sent again.
	resendInterval = 200 * time.Millisecond
	// roundTimeout is how long a round may last before the change is given up.
	roundTimeout = 2 * time.Second
	// changePause is the least pause after a change that was given up.
	changePause = 300 * time.Millisecond
	// outbidRetry is the pause after a voter had promised a higher ballot. It is far less than
	// changePause: otherwise a proposer without a change to make, which asks again after each
	// changePause with a higher ballot, would always be ahead of one that has a change.
	outbidRetry = 20 * time.Millisecond
	// Pauses are spread by up to pauseSpreadMs milliseconds; roundStride has no factor in common
	// with it, so that the pauses of successive rounds differ.
	pauseSpreadMs = 100
	roundStride   = 37
)

// stage is the phase that a change is in.
type stage int

const (
	idle stage = iota
	preparing
	accepting
)

// Reconfigurer runs one change at a time. Invariant: it reports a membership as chosen only after a
// majority of the counted voters of one membership, all at its epoch, accepted one proposal.
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
	highestEpoch ident.BallotEpoch
	change       Change
}

// New returns an idle reconfigurer; instance names this run in the ballots.
func New(disk ident.Disk, instance string) *Reconfigurer {
	return &Reconfigurer{disk: disk, instance: instance}
}

// Send is a request to one voter.
type Send struct {
	To      quorum.Voter
	Request acceptor.Request
}

// Idle reports whether no change is in progress.
func (r *Reconfigurer) Idle() bool { return r.stage == idle }

// Begin starts a change of the membership in force, unless one is in progress or paused.
func (r *Reconfigurer) Begin(now monotime.Time, base quorum.Membership, change Change) []Send {
	if r.stage != idle || r.pausedUntil.After(now) {
		return nil
	}
	r.highestEpoch++
	r.base, r.change, r.stage = base, change, preparing
	r.ballot = ident.Ballot{Epoch: r.highestEpoch, Proposer: r.instance}
	return r.beginRound(now, acceptor.Request{Kind: acceptor.Prepare})
}

// beginRound starts a round of requests under the ballot of the change.
func (r *Reconfigurer) beginRound(now monotime.Time, request acceptor.Request) []Send {
	r.round++
	request.Round, request.Base, request.Ballot, request.Disk = r.round, r.base.Epoch, r.ballot, r.disk
	r.request, r.responses, r.roundBegan, r.lastSent = request, map[ident.Disk]acceptor.Response{}, now, now
	return r.outstanding()
}

// outstanding returns the requests to the voters that have not answered this round.
func (r *Reconfigurer) outstanding() []Send {
	var sends []Send
	for _, v := range r.base.Voters {
		if _, ok := r.responses[v.Disk]; v.Counted && !ok {
			sends = append(sends, Send{v, r.request})
		}
	}
	return sends
}

// stop gives up the change and pauses.
func (r *Reconfigurer) stop(now monotime.Time) {
	r.stage, r.pausedUntil = idle, now.Add(changePause+time.Duration(r.round*roundStride%pauseSpreadMs)*time.Millisecond)
}

// pauseOutbid pauses for a time that differs between proposers and from one try to the next.
func (r *Reconfigurer) pauseOutbid(now monotime.Time) {
	hash := fnv.New32a()
	_, _ = fmt.Fprint(hash, r.disk, r.round)
	r.stage, r.pausedUntil = idle, now.Add(outbidRetry+time.Duration(hash.Sum32()%pauseSpreadMs)*time.Millisecond)
}

// Adopted drops a change that is based on an older membership.
func (r *Reconfigurer) Adopted(chosen quorum.Membership) {
	if r.stage != idle && chosen.Epoch > r.base.Epoch {
		r.stage = idle
	}
	r.highestEpoch = 0
}

// Step handles one response. It returns the membership once that is chosen, else nil.
func (r *Reconfigurer) Step(now monotime.Time, response acceptor.Response) ([]Send, *quorum.Membership) {
	if r.stage == idle || response.Round != r.round || response.Base != r.base.Epoch || !r.base.IsCounted(response.Disk) {
		return nil, nil
	}
	if !response.OK {
		r.highestEpoch = max(r.highestEpoch, response.Promised.Epoch)
		r.pauseOutbid(now)
		return nil, nil
	}
	if response.Promised != r.ballot {
		return nil, nil // it answers the same round of an earlier run, whose ballot was another
	}
	r.responses[response.Disk] = response
	if len(r.responses) < r.base.Majority() {
		return nil, nil
	}
	if r.stage == accepting {
		r.stage = idle // the next change is based on this one and need not wait
		return nil, r.request.Next
	}
	next := r.nextMembership()
	if next == nil {
		r.stop(now)
		return nil, nil
	}
	r.stage = accepting
	return r.beginRound(now, acceptor.Request{Kind: acceptor.Accept, Next: next}), nil
}

// nextMembership returns what to propose after a majority has promised: the proposal that a voter
// of it accepted under the highest ballot, else that of the change; nil if there is none.
func (r *Reconfigurer) nextMembership() *quorum.Membership {
	var highest acceptor.Response
	heard := map[ident.Disk]bool{}
	for _, response := range r.responses {
		if response.Next != nil && highest.Accepted.Less(response.Accepted) {
			highest = response
		}
		for _, d := range response.Heard {
			heard[d] = true
		}
	}
	if highest.Next != nil {
		return highest.Next
	}
	return r.change(r.base, heard)
}

// Tick repeats the requests that were not answered, and gives up after roundTimeout.
func (r *Reconfigurer) Tick(now monotime.Time) []Send {
	if r.stage == idle {
		return nil
	}
	if now.Since(r.roundBegan) > roundTimeout {
		r.stop(now)
		return nil
	}
	if now.Since(r.lastSent) <= resendInterval {
		return nil
	}
	r.lastSent = now
	return r.outstanding()
}
