package node

import (
	"fmt"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/base/ordered"
	"cottonarch.example/cottonarch/control/config/proposal"
	"cottonarch.example/cottonarch/control/coordination/keyspace"
	"cottonarch.example/cottonarch/control/coordination/keyvalue"
	"cottonarch.example/cottonarch/control/coordination/lock"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/coordination/quota"
	"cottonarch.example/cottonarch/control/coordination/sequence"
	"cottonarch.example/cottonarch/control/core/message"
	"cottonarch.example/cottonarch/control/register/placement"
	"cottonarch.example/cottonarch/control/register/proposer"
	rollout "cottonarch.example/cottonarch/control/rollout/state"
)

const (
	// maxPending limits the number of operations in progress at one core.
	maxPending = 20000
	// retryPause is the delay before an operation is retried after a proposer abandoned an attempt.
	retryPause = 40 * time.Millisecond
	// internalBudget is the time limit of an operation that the core itself submits.
	internalBudget = 2 * time.Second
	// busyRetryAfterSeconds is the time after which a client may retry a request that an overloaded
	// core, or a core without a majority, rejected.
	busyRetryAfterSeconds = 1
)

// readOnly lists the operations that change no value and can therefore safely run more than once.
var readOnly = map[string]bool{
	lock.ReadKind:                 true,
	sequence.ReadKind:             true,
	keyvalue.ReadKind:             true,
	quota.ReadKind:                true,
	proposal.ReadKind:             true,
	proposal.ReadRevisionKind:     true,
	proposal.ReadAuditEntriesKind: true,
	rollout.ReadKind:              true,
	keyspace.ReadKind:             true,
	keyspace.SinceKind:            true,
	proposer.Repair:               true,
}

// needsDiskSpace lists the operations that may require additional disk space.
var needsDiskSpace = map[string]bool{
	keyvalue.WriteKind:   true,
	proposal.ProposeKind: true,
	lock.AcquireKind:     true,
	sequence.NextKind:    true,
	rollout.StartKind:    true,
	keyspace.PutKind:     true,
}

// resultFunc receives the result of an operation that the core itself submitted.
type resultFunc func(now monotime.Time, result Result, fx *Effects)

// ignoreResult is the resultFunc of operations whose failures need no handling. Most of these
// operations are submitted again periodically; a lock that was not transferred expires.
func ignoreResult(monotime.Time, Result, *Effects) {}

// pending is an operation that this core must answer. Each attempt sends the operation to a
// proposer. Invariants: at most one attempt is in flight, apart from the abandonedAttempts, which
// may still run at a core that is no longer live; mayHaveTakenEffect is set once any attempt may
// have taken effect.
type pending struct {
	ticket    uint64
	operation proposer.Operation
	deadline  monotime.Time
	// retryAt is the earliest time of the next attempt.
	retryAt monotime.Time
	// attemptTicket is the ticket of the attempt in flight, 0 if no attempt is in flight.
	attemptTicket uint64
	sentAt        monotime.Time
	// target and targetInstance are the address and the instance ID of the core that executes the
	// attempt in flight.
	target             ident.Addr
	targetInstance     string
	abandonedAttempts  int
	mayHaveTakenEffect bool
	onResult           resultFunc
}

// mayTakeEffect reports whether an attempt may have changed the value or may still change it.
func (p *pending) mayTakeEffect() bool {
	return (p.mayHaveTakenEffect || p.abandonedAttempts > 0) && !readOnly[p.operation.Kind]
}

// abandonAttempt abandons the attempt in flight, which may still take effect.
func (p *pending) abandonAttempt() {
	p.attemptTicket, p.mayHaveTakenEffect = 0, true
}

// operationState holds the operations in progress at one core.
type operationState struct {
	// inFlight maps attemptTicket to each operation that has an attempt in flight.
	inFlight map[uint64]*pending
	// waiting lists the operations without an attempt in flight, in the order in which they are
	// retried.
	waiting []*pending
	// origins maps the ticket of each operation that another core forwarded to its origin.
	origins map[uint64]forwardOrigin
	// forwarded maps the forwardID of each change that another core forwarded to its result, nil
	// until there is a result. It prevents a repeated forward from being executed again.
	// forwardOrder lists the forwardIDs, oldest first.
	forwarded    map[string]*message.ForwardResult
	forwardOrder []string
}

func newOperationState() operationState {
	return operationState{
		inFlight:  map[uint64]*pending{},
		origins:   map[uint64]forwardOrigin{},
		forwarded: map[string]*message.ForwardResult{},
	}
}

// inFlightTickets lists the tickets of the attempts in flight in sorted order.
func (s *operationState) inFlightTickets() []uint64 {
	return ordered.Keys(s.inFlight)
}

// Submit starts a local operation. The Result of the operation carries the ticket.
func (n *Node) Submit(now monotime.Time, ticket uint64, op proposer.Operation, budget time.Duration) (fx Effects) {
	n.beginOperation(now, &pending{ticket: ticket, operation: op, deadline: n.deadlineFor(now, budget)}, &fx)
	return fx
}

// submitInternal starts an operation on behalf of the core itself.
func (n *Node) submitInternal(now monotime.Time, op proposer.Operation, fx *Effects, onDone resultFunc) {
	n.beginOperation(now, &pending{operation: op, deadline: now.Add(internalBudget), onResult: onDone}, fx)
}

// beginOperation dispatches an operation, or finishes it immediately with a failure if this core
// cannot accept it.
func (n *Node) beginOperation(now monotime.Time, p *pending, fx *Effects) {
	if p.operation.Op == "" {
		p.operation.Op = ident.OperationID(fmt.Sprintf("%s.%s.%d", n.Disk, n.config.InstanceID, n.nextNumber()-n.firstNumber))
	}
	if rejected := n.admissionFailure(now, p.operation.Kind); rejected != nil {
		n.finishOperation(now, p, Result{Failure: rejected}, fx)
		return
	}
	n.dispatch(now, p, fx)
}

// admissionFailure returns the reason why an operation of the given kind cannot be started now, or
// nil if the operation can be started.
func (n *Node) admissionFailure(now monotime.Time, kind string) *failure.Error {
	switch {
	case n.pastAnswerDeadline(now):
		return errStopping()
	case needsDiskSpace[kind] && n.config.DiskFull != nil && n.config.DiskFull():
		return failure.New(failure.Exhausted, "the disk is nearly full: operation %q needs disk space", kind)
	case len(n.operations.inFlight)+len(n.operations.waiting) >= maxPending:
		return failure.New(failure.Busy, "too many operations are in progress (limit %d)", maxPending).WithRetryAfter(busyRetryAfterSeconds)
	}
	return nil
}

// dispatch starts an attempt at the proposer of the operation's key, or queues the operation until
// an attempt is possible.
func (n *Node) dispatch(now monotime.Time, p *pending, fx *Effects) {
	if n.lostMajority(now) && !p.mayTakeEffect() {
		n.timeOutOperation(now, p, fx)
		return
	}
	disks, addrOf := n.liveVoters(now)
	first, _ := placement.Proposer(p.operation.Key, disks)
	if first == "" || p.retryAt.After(now) || !n.HasMajority(now) {
		n.operations.waiting = append(n.operations.waiting, p)
		return
	}
	p.attemptTicket = n.nextNumber()
	n.operations.inFlight[p.attemptTicket] = p
	if first == n.Disk {
		p.target, p.targetInstance = n.config.Addr, n.config.InstanceID
		op := p.operation
		op.Ticket, op.Deadline = p.attemptTicket, p.deadline
		n.applyProposer(now, n.proposer.Submit(now, op), fx)
		return
	}
	p.target = addrOf[first]
	p.targetInstance = n.peers[p.target].heartbeat.InstanceID
	n.forward(now, p, fx)
}

// finishOperation finishes an operation with a result. If an attempt may still take effect, a
// failure with the outcome "not executed" is changed to an unknown outcome.
func (n *Node) finishOperation(now monotime.Time, p *pending, result Result, fx *Effects) {
	result.Ticket = p.ticket
	if result.Failure != nil && p.mayTakeEffect() && result.Failure.Outcome == failure.NotExecuted {
		unknown := *result.Failure
		unknown.Outcome = failure.OutcomeUnknown
		result.Failure = &unknown
	}
	if p.onResult != nil {
		p.onResult(now, result, fx)
		return
	}
	fx.Results = append(fx.Results, result)
}

// timeOutOperation fails an operation whose deadline has passed, or that cannot run because this
// core has no majority.
func (n *Node) timeOutOperation(now monotime.Time, p *pending, fx *Effects) {
	timedOut := errNoMajority()
	if p.mayTakeEffect() {
		timedOut = failure.NewUnknown(failure.UnknownOutcome, "operation %q may have taken effect, but its result did not arrive in time", p.operation.Kind)
	}
	n.finishOperation(now, p, Result{Failure: timedOut}, fx)
}

func errNoMajority() *failure.Error {
	return failure.New(failure.NoMajority, "no majority of the cores responded in time").WithRetryAfter(busyRetryAfterSeconds)
}

// handleAttemptResult processes the result of the attempt in flight. If the proposer abandoned the
// attempt, the operation is queued for a retry; otherwise the operation is finished.
func (n *Node) handleAttemptResult(now monotime.Time, p *pending, result message.ForwardResult, fx *Effects) {
	delete(n.operations.inFlight, p.attemptTicket)
	p.attemptTicket = 0
	if !result.Abandoned {
		n.finishOperation(now, p, Result{Body: result.Body, Failure: result.Failure, Revision: result.Revision, Ballot: result.Ballot}, fx)
		return
	}
	p.mayHaveTakenEffect = p.mayHaveTakenEffect || result.MayHaveTakenEffect
	p.retryAt = now.Add(retryPause)
	n.operations.waiting = append(n.operations.waiting, p)
}

// applyProposer sends the proposer's requests and processes its outcomes.
func (n *Node) applyProposer(now monotime.Time, effects proposer.Effects, fx *Effects) {
	for _, s := range effects.Sends {
		request := s.Request
		n.sendToVoter(s.To, message.Message{Request: &request}, fx)
	}
	for _, outcome := range effects.Outcomes {
		n.applyOutcome(now, outcome, fx)
	}
}

// applyOutcome announces a change to all peers and returns the result of the operation to its
// origin, which is this core or the core that forwarded the operation.
func (n *Node) applyOutcome(now monotime.Time, outcome proposer.Outcome, fx *Effects) {
	if outcome.Changed && !outcome.Abandoned {
		learned := message.Learned{Key: outcome.Operation.Key, Revision: outcome.Revision, Ballot: outcome.Ballot}
		n.learn(now, learned, fx)
		for _, a := range n.peerAddrs() {
			fx.send(a, message.Message{Learned: &learned})
		}
	}
	result := message.ForwardResult{
		Body:               outcome.Body,
		Failure:            outcome.Failure,
		Revision:           outcome.Revision,
		Ballot:             outcome.Ballot,
		Abandoned:          outcome.Abandoned,
		MayHaveTakenEffect: outcome.MayHaveTakenEffect,
	}
	ticket := outcome.Operation.Ticket
	if origin, ok := n.operations.origins[ticket]; ok {
		delete(n.operations.origins, ticket)
		n.answerForward(origin, result, fx)
		return
	}
	if p, ok := n.operations.inFlight[ticket]; ok {
		n.handleAttemptResult(now, p, result, fx)
	}
}

// learn records that a key was confirmed at a revision.
func (n *Node) learn(now monotime.Time, learned message.Learned, fx *Effects) {
	fx.Learned = append(fx.Learned, learned)
	if learned.Key.HasPrefix(rollout.Prefix) {
		n.rollouts.seenAt = now
	}
	if learned.Key != proposal.Key {
		return
	}
	n.ConfigRevision = max(n.ConfigRevision, ident.ConfigRevision(learned.Revision))
	// A disk that accepted the value in this round already holds the value.
	held := n.acceptor.Peek(learned.Key)
	if !learned.Ballot.Zero() && held.Accepted == learned.Ballot && held.Revision == learned.Revision {
		fx.ConfirmedConfig = operation.State(held.Value)
	}
}

// onLearned processes another core's announcement that a key was confirmed.
func (n *Node) onLearned(now monotime.Time, m message.Message, fx *Effects) bool {
	if m.Learned == nil {
		return false
	}
	n.learn(now, *m.Learned, fx)
	return true
}

// abandonAttempts abandons the attempts in flight at a process that has ended or is unreachable.
func (n *Node) abandonAttempts(addr ident.Addr, instanceID string) {
	for _, ticket := range n.operations.inFlightTickets() {
		p := n.operations.inFlight[ticket]
		if p.target == addr && p.targetInstance == instanceID {
			delete(n.operations.inFlight, ticket)
			p.abandonAttempt()
			n.operations.waiting = append(n.operations.waiting, p)
		}
	}
}

// tickPending dispatches the waiting operations and fails the operations whose deadlines have
// passed. If this core has lost the majority, operations that have certainly changed nothing fail
// immediately. A change that may have been started remains until its deadline, because its outcome
// may still become known.
func (n *Node) tickPending(now monotime.Time, fx *Effects) {
	n.hasSeenMajority = n.hasSeenMajority || n.HasMajority(now)
	lostMajority := n.lostMajority(now)
	n.applyProposer(now, n.proposer.AbandonQueued(func(op proposer.Operation) bool {
		return lostMajority || n.pastAnswerDeadline(now) || op.Deadline != 0 && now.After(op.Deadline)
	}), fx)
	waiting := n.operations.waiting
	n.operations.waiting = nil
	for _, p := range waiting {
		if now > p.deadline {
			n.timeOutOperation(now, p, fx)
			continue
		}
		n.dispatch(now, p, fx)
	}
	for _, ticket := range n.operations.inFlightTickets() {
		if p, ok := n.operations.inFlight[ticket]; ok {
			n.tickInFlight(now, p, lostMajority, fx)
		}
	}
}

// tickInFlight fails an operation in flight if its deadline has passed, or if the operation is
// read-only and the majority is lost. It abandons the attempt if the target is not live, and
// forwards the operation again if no result has arrived.
func (n *Node) tickInFlight(now monotime.Time, p *pending, lostMajority bool, fx *Effects) {
	if now > p.deadline || lostMajority && readOnly[p.operation.Kind] {
		delete(n.operations.inFlight, p.attemptTicket)
		p.mayHaveTakenEffect = true
		n.timeOutOperation(now, p, fx)
		return
	}
	if p.target == n.config.Addr {
		return
	}
	if target := n.peers[p.target]; target == nil || !target.live(now) {
		delete(n.operations.inFlight, p.attemptTicket)
		p.abandonAttempt()
		p.abandonedAttempts++
		n.operations.waiting = append(n.operations.waiting, p)
	} else if now.Since(p.sentAt) > forwardResendAfter {
		n.forward(now, p, fx)
	}
}
