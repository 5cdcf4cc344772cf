// Package reconfiguration changes the membership one voter at a time: a new disk takes a slot,
// copies the control state and then becomes a counted voter. Each change is one instance of
// single-decree Paxos among the counted voters of the current membership, and increments the
// epoch.
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
	// resendInterval is the time after which an unanswered request is sent again.
	resendInterval = 200 * time.Millisecond
	// roundTimeout is the time after which a change whose round has not ended is abandoned.
	roundTimeout = 2 * time.Second
	// changePause is the minimum pause after an abandoned change.
	changePause = 300 * time.Millisecond
	// preemptedPause is the minimum pause after a voter rejected a request because it had promised
	// a higher ballot. The pause is much shorter than changePause: otherwise a proposer without a
	// change to make, which prepares a higher ballot after each changePause, would always preempt
	// a proposer that has a change.
	preemptedPause = 20 * time.Millisecond
	// Pauses are extended by less than pauseSpreadMs milliseconds. roundStride has no common
	// factor with pauseSpreadMs, so that the pauses of successive rounds differ.
	pauseSpreadMs = 100
	roundStride   = 37
)

// stage is the phase of a change.
type stage int

const (
	idle stage = iota
	preparing
	accepting
)

// Reconfigurer proposes one change at a time. Invariant: a membership is reported as chosen only
// after counted voters of the base membership, as many as its majority and all at its epoch, have
// accepted that proposal.
type Reconfigurer struct {
	disk           ident.Disk
	instance       string
	stage          stage
	base           quorum.Membership
	ballot         ident.Ballot
	round          uint64
	request        acceptor.Request
	responses      map[ident.Disk]acceptor.Response
	roundStartedAt monotime.Time
	lastSentAt     monotime.Time
	pausedUntil    monotime.Time
	highestEpoch   ident.BallotEpoch
	change         Change
}

// New returns an idle reconfigurer. instance identifies this run of the process in the ballots.
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

// Begin starts a change of the base membership, unless a change is in progress or the pause after
// an earlier change is not over.
func (r *Reconfigurer) Begin(now monotime.Time, base quorum.Membership, change Change) []Send {
	if r.stage != idle || r.pausedUntil.After(now) {
		return nil
	}
	r.highestEpoch++
	r.base, r.change, r.stage = base, change, preparing
	r.ballot = ident.Ballot{Epoch: r.highestEpoch, Proposer: r.instance}
	return r.beginRound(now, acceptor.Request{Kind: acceptor.Prepare})
}

// beginRound starts a round under the ballot of the change and returns the round's requests.
func (r *Reconfigurer) beginRound(now monotime.Time, request acceptor.Request) []Send {
	r.round++
	request.Round, request.Base, request.Ballot, request.Disk = r.round, r.base.Epoch, r.ballot, r.disk
	r.request, r.responses, r.roundStartedAt, r.lastSentAt = request, map[ident.Disk]acceptor.Response{}, now, now
	return r.outstanding()
}

// outstanding returns the requests to the counted voters that have not responded in this round.
func (r *Reconfigurer) outstanding() []Send {
	var sends []Send
	for _, v := range r.base.Voters {
		if _, ok := r.responses[v.Disk]; v.Counted && !ok {
			sends = append(sends, Send{v, r.request})
		}
	}
	return sends
}

// abandon abandons the change and pauses.
func (r *Reconfigurer) abandon(now monotime.Time) {
	r.stage, r.pausedUntil = idle, now.Add(changePause+time.Duration(r.round*roundStride%pauseSpreadMs)*time.Millisecond)
}

// pauseAfterPreemption abandons the change and pauses for a time that differs between proposers and
// between rounds.
func (r *Reconfigurer) pauseAfterPreemption(now monotime.Time) {
	hash := fnv.New32a()
	_, _ = fmt.Fprint(hash, r.disk, r.round)
	r.stage, r.pausedUntil = idle, now.Add(preemptedPause+time.Duration(hash.Sum32()%pauseSpreadMs)*time.Millisecond)
}

// Adopted informs the reconfigurer of a newly adopted membership. It drops a change that is based
// on an older membership.
func (r *Reconfigurer) Adopted(chosen quorum.Membership) {
	if r.stage != idle && chosen.Epoch > r.base.Epoch {
		r.stage = idle
	}
	r.highestEpoch = 0
}

// Step handles one response. It returns the requests to send next, and the proposed membership once
// that membership is chosen, else nil.
func (r *Reconfigurer) Step(now monotime.Time, response acceptor.Response) ([]Send, *quorum.Membership) {
	if r.stage == idle || response.Round != r.round || response.Base != r.base.Epoch || !r.base.IsCounted(response.Disk) {
		return nil, nil
	}
	if !response.OK {
		r.highestEpoch = max(r.highestEpoch, response.Promised.Epoch)
		r.pauseAfterPreemption(now)
		return nil, nil
	}
	if response.Promised != r.ballot {
		return nil, nil // a response to the same round of an earlier run, whose ballot differs
	}
	r.responses[response.Disk] = response
	if len(r.responses) < r.base.Majority() {
		return nil, nil
	}
	if r.stage == accepting {
		r.stage = idle // the next change, which is based on this membership, needs no pause
		return nil, r.request.Next
	}
	next := r.nextMembership()
	if next == nil {
		r.abandon(now)
		return nil, nil
	}
	r.stage = accepting
	return r.beginRound(now, acceptor.Request{Kind: acceptor.Accept, Next: next}), nil
}

// nextMembership returns the membership to propose after a majority has promised: the membership
// that a voter of that majority accepted under the highest ballot, else the result of the change.
// It returns nil if there is neither.
func (r *Reconfigurer) nextMembership() *quorum.Membership {
	var highest acceptor.Response
	liveDisks := map[ident.Disk]bool{}
	for _, response := range r.responses {
		if response.Next != nil && highest.Accepted.Less(response.Accepted) {
			highest = response
		}
		for _, d := range response.LiveDisks {
			liveDisks[d] = true
		}
	}
	if highest.Next != nil {
		return highest.Next
	}
	return r.change(r.base, liveDisks)
}

// Tick resends the unanswered requests after resendInterval, and abandons the change after
// roundTimeout.
func (r *Reconfigurer) Tick(now monotime.Time) []Send {
	if r.stage == idle {
		return nil
	}
	if now.Since(r.roundStartedAt) > roundTimeout {
		r.abandon(now)
		return nil
	}
	if now.Since(r.lastSentAt) <= resendInterval {
		return nil
	}
	r.lastSentAt = now
	return r.outstanding()
}
