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
	// maxPending bounds the operations in progress at one core.
	maxPending = 20000
	// retryPause is how long an operation waits after its copy was abandoned by a proposer.
	retryPause = 40 * time.Millisecond
	// internalBudget is how long an operation of the core's own may take.
	internalBudget = 2 * time.Second
	// busyRetryAfter is, in seconds, when a client may retry that met a full or cut-off core.
	busyRetryAfter = 1
)

// readOnly lists the operations that change nothing: it does no harm to run one twice.
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

// needsDiskSpace lists the operations that may need more room on the disks.
var needsDiskSpace = map[string]bool{
	keyvalue.WriteKind:   true,
	proposal.ProposeKind: true,
	lock.AcquireKind:     true,
	sequence.NextKind:    true,
	rollout.StartKind:    true,
	keyspace.PutKind:     true,
}

// resultFunc receives the result of an operation of the core's own.
type resultFunc func(now monotime.Time, result Result, fx *Effects)

// ignoreResult is the resultFunc of operations that are repeated anyway.
func ignoreResult(monotime.Time, Result, *Effects) {}

// pending is one operation that this core has to answer. Invariants: at most one copy of it is
// in flight, not counting the abandonedCopies, whose processes were given up while they might
// still run it; mayHaveTakenEffect is set once any copy may have taken effect.
type pending struct {
	ticket    uint64
	operation proposer.Operation
	deadline  monotime.Time
	// retryAt is the earliest time at which the next copy is sent.
	retryAt monotime.Time
	// copyTicket is the ticket of the copy in flight, 0 if there is none.
	copyTicket uint64
	sentAt     monotime.Time
	// target is the address of the core that runs the copy in flight, targetInstance the run of it.
	target             ident.Addr
	targetInstance     string
	abandonedCopies    int
	mayHaveTakenEffect bool
	onDone             resultFunc
}

// mayTakeEffect reports whether some copy of the operation may have changed something, or may yet.
func (p *pending) mayTakeEffect() bool {
	return (p.mayHaveTakenEffect || p.abandonedCopies > 0) && !readOnly[p.operation.Kind]
}

// abandonCopy gives up the copy in flight, which may still take effect.
func (p *pending) abandonCopy() {
	p.copyTicket, p.mayHaveTakenEffect = 0, true
}

// operationState holds the operations in progress at one core.
type operationState struct {
	// inFlight holds, by copyTicket, the operations of which a copy is in flight.
	inFlight map[uint64]*pending
	// waiting holds the others, in the order in which they are tried.
	waiting []*pending
	// origins tells, by ticket, where the operations came from that other cores forwarded.
	origins map[uint64]forwardOrigin
	// forwarded holds the changes that other cores forwarded, by forwardID, with their results
	// once there are any: a repeated forward is not run again. forwardOrder holds their ids,
	// oldest first.
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

// inFlightTickets lists the tickets of the copies in flight in order.
func (s *operationState) inFlightTickets() []uint64 {
	return ordered.Keys(s.inFlight)
}

// Submit starts a local request. Its Result carries the ticket.
func (n *Node) Submit(now monotime.Time, ticket uint64, op proposer.Operation, budget time.Duration) (fx Effects) {
	n.begin(now, &pending{ticket: ticket, operation: op, deadline: n.deadlineFor(now, budget)}, &fx)
	return fx
}

// submitInternal runs an operation of the core's own.
func (n *Node) submitInternal(now monotime.Time, op proposer.Operation, fx *Effects, onDone resultFunc) {
	n.begin(now, &pending{operation: op, deadline: now.Add(internalBudget), onDone: onDone}, fx)
}

// begin takes an operation in, or ends it at once where this core can't run it.
func (n *Node) begin(now monotime.Time, p *pending, fx *Effects) {
	if p.operation.Op == "" {
		p.operation.Op = ident.OperationID(fmt.Sprintf("%s.%s.%d", n.Disk, n.config.InstanceID, n.nextNumber()-n.firstNumber))
	}
	if rejected := n.rejection(now, p.operation.Kind); rejected != nil {
		n.finish(now, p, Result{Failure: rejected}, fx)
		return
	}
	n.dispatch(now, p, fx)
}

// rejection returns why an operation of a kind can't be begun now, nil if it can.
func (n *Node) rejection(now monotime.Time, kind string) *failure.Error {
	switch {
	case n.pastAnswerDeadline(now):
		return errStopping()
	case needsDiskSpace[kind] && n.config.DiskFull != nil && n.config.DiskFull():
		return failure.New(failure.Exhausted, "the disk has no room for more control state")
	case len(n.operations.inFlight)+len(n.operations.waiting) >= maxPending:
		return failure.New(failure.Busy, "too many operations are in progress").WithRetryAfter(busyRetryAfter)
	}
	return nil
}

// dispatch sends one copy of an operation to the proposer of its key, or has it wait until that
// is possible.
func (n *Node) dispatch(now monotime.Time, p *pending, fx *Effects) {
	if n.lostMajority(now) && !p.mayTakeEffect() {
		n.timeOut(now, p, fx)
		return
	}
	disks, addrOf := n.liveVoters(now)
	first, _ := placement.Proposer(p.operation.Key, disks)
	if first == "" || p.retryAt.After(now) || !n.HasMajority(now) {
		n.operations.waiting = append(n.operations.waiting, p)
		return
	}
	p.copyTicket = n.nextNumber()
	n.operations.inFlight[p.copyTicket] = p
	if first == n.Disk {
		p.target, p.targetInstance = n.config.Addr, n.config.InstanceID
		op := p.operation
		op.Ticket, op.Deadline = p.copyTicket, p.deadline
		n.applyProposer(now, n.proposer.Submit(now, op), fx)
		return
	}
	p.target = addrOf[first]
	p.targetInstance = n.peers[p.target].heartbeat.InstanceID
	n.forward(now, p, fx)
}

// finish ends an operation with a result. A failure is turned into an unknown outcome if a
// copy of the operation may still take effect.
func (n *Node) finish(now monotime.Time, p *pending, result Result, fx *Effects) {
	result.Ticket = p.ticket
	if result.Failure != nil && p.mayTakeEffect() && result.Failure.Outcome == failure.NotExecuted {
		unknown := *result.Failure
		unknown.Outcome = failure.OutcomeUnknown
		result.Failure = &unknown
	}
	if p.onDone != nil {
		p.onDone(now, result, fx)
		return
	}
	fx.Results = append(fx.Results, result)
}

// timeOut ends an operation whose time is over, or that a core without a majority can't run.
func (n *Node) timeOut(now monotime.Time, p *pending, fx *Effects) {
	timedOut := errNoMajority()
	if p.mayTakeEffect() {
		timedOut = failure.NewUnknown(failure.UnknownOutcome, "the change was forwarded and no result came in time")
	}
	n.finish(now, p, Result{Failure: timedOut}, fx)
}

func errNoMajority() *failure.Error {
	return failure.New(failure.NoMajority, "no majority of the cores answered in time").WithRetryAfter(busyRetryAfter)
}

// copyEnded takes the result of the copy in flight: it ends the operation, or has it tried
// again if its proposer abandoned it.
func (n *Node) copyEnded(now monotime.Time, p *pending, result message.ForwardResult, fx *Effects) {
	delete(n.operations.inFlight, p.copyTicket)
	p.copyTicket = 0
	if !result.Abandoned {
		n.finish(now, p, Result{Body: result.Body, Failure: result.Failure, Revision: result.Revision, Ballot: result.Ballot}, fx)
		return
	}
	p.mayHaveTakenEffect = p.mayHaveTakenEffect || result.MayHaveTakenEffect
	p.retryAt = now.Add(retryPause)
	n.operations.waiting = append(n.operations.waiting, p)
}

// applyProposer carries out the effects of the proposer.
func (n *Node) applyProposer(now monotime.Time, effects proposer.Effects, fx *Effects) {
	for _, s := range effects.Sends {
		request := s.Request
		n.sendToVoter(s.To, message.Message{Request: &request}, fx)
	}
	for _, outcome := range effects.Outcomes {
		n.applyOutcome(now, outcome, fx)
	}
}

// applyOutcome announces what an operation changed and answers its caller, here or at another core.
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
		n.copyEnded(now, p, result, fx)
	}
}

// learn takes the news that a key was confirmed at a revision.
func (n *Node) learn(now monotime.Time, learned message.Learned, fx *Effects) {
	fx.Learned = append(fx.Learned, learned)
	if learned.Key.HasPrefix(rollout.Prefix) {
		n.rollouts.seenAt = now
	}
	if learned.Key != proposal.Key {
		return
	}
	n.ConfigRevision = max(n.ConfigRevision, ident.ConfigRevision(learned.Revision))
	// If this disk took part in the round, it holds the value already.
	held := n.acceptor.Peek(learned.Key)
	if !learned.Ballot.Zero() && held.Accepted == learned.Ballot && held.Revision == learned.Revision {
		fx.ConfirmedConfig = operation.State(held.Value)
	}
}

// onLearned takes another core's news that a key was confirmed.
func (n *Node) onLearned(now monotime.Time, m message.Message, fx *Effects) bool {
	if m.Learned == nil {
		return false
	}
	n.learn(now, *m.Learned, fx)
	return true
}

// abandonCopies gives up the copies in flight at a process that is gone.
func (n *Node) abandonCopies(addr ident.Addr, instanceID string) {
	for _, ticket := range n.operations.inFlightTickets() {
		p := n.operations.inFlight[ticket]
		if p.target == addr && p.targetInstance == instanceID {
			delete(n.operations.inFlight, ticket)
			p.abandonCopy()
			n.operations.waiting = append(n.operations.waiting, p)
		}
	}
}

// tickPending dispatches the operations that wait and ends those whose time is over. Without a
// majority it ends at once whatever has certainly changed nothing; a change that may have been
// begun stays until its deadline, as its outcome may yet be learned.
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
			n.timeOut(now, p, fx)
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

// tickInFlight ends the copy in flight of an operation, gives it up if its target is silent, or
// repeats it if no answer came.
func (n *Node) tickInFlight(now monotime.Time, p *pending, lostMajority bool, fx *Effects) {
	if now > p.deadline || lostMajority && readOnly[p.operation.Kind] {
		delete(n.operations.inFlight, p.copyTicket)
		p.mayHaveTakenEffect = true
		n.timeOut(now, p, fx)
		return
	}
	if p.target == n.config.Addr {
		return
	}
	if target := n.peers[p.target]; target == nil || !target.live(now) {
		delete(n.operations.inFlight, p.copyTicket)
		p.abandonCopy()
		p.abandonedCopies++
		n.operations.waiting = append(n.operations.waiting, p)
	} else if now.Since(p.sentAt) > forwardResendAfter {
		n.forward(now, p, fx)
	}
}
