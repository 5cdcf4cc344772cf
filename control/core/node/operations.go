package node

import (
	"fmt"
	"slices"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/config/proposal"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/core/message"
	"cottonarch.example/cottonarch/control/register/placement"
	"cottonarch.example/cottonarch/control/register/proposer"
	rollout "cottonarch.example/cottonarch/control/rollout/state"
)

// pending is one operation that this core has to answer. Invariants: at most one copy is
// out at a time, but for copies sent to processes that were then given up, which
// are counted in givenUp; mayHaveTakenEffect is set once any copy may have taken effect.
type pending struct {
	ticket             uint64
	operation          proposer.Operation
	deadline           monotime.Time
	retryAt            monotime.Time
	copyTicket         uint64 // the forward ticket or local tag, 0 when none
	sentAt             monotime.Time
	target             ident.Addr
	targetInstance     string
	abandonedCopies    int
	mayHaveTakenEffect bool
	onDone             func(monotime.Time, Result, *Effects)
}

// mayTakeEffect tells whether some copy of the operation may have changed something, or may yet.
func (p *pending) mayTakeEffect() bool {
	return (p.mayHaveTakenEffect || p.abandonedCopies > 0) && !readOnly[p.operation.Kind]
}

type forwardOrigin struct {
	from       ident.Addr
	instanceID string
	ticket     uint64
	forwardID  string
}

// maxReplayBody is the largest response that is kept for a repeat.
const maxReplayBody = 4 << 10

// readOnly lists the operations that change nothing, so that running them twice is harmless.
var readOnly = map[string]bool{"lock/read": true, "number/read": true, "key/read": true, "share/read": true, "manifest/read": true, "manifest/epoch": true, "rollout/read": true, "manifest/lines": true, "group/read": true, "group/since": true, proposer.Repair: true}

// Submit takes a local request; its End carries the ticket.
func (n *Node) Submit(now monotime.Time, ticket uint64, op proposer.Operation, budget time.Duration) (fx Effects) {
	n.begin(now, &pending{ticket: ticket, operation: op, deadline: n.deadlineFor(now, budget)}, &fx)
	return fx
}

func (n *Node) begin(now monotime.Time, p *pending, fx *Effects) {
	if p.operation.Op == "" {
		p.operation.Op = ident.OperationID(fmt.Sprintf("%s.%s.%d", n.Disk, n.config.InstanceID, n.nextNumber()-n.firstNumber))
	}
	if n.pastAnswerDeadline(now) {
		n.finish(now, p, Result{Failure: errStopping()}, fx)
		return
	}
	if needsDiskSpace[p.operation.Kind] && n.config.DiskFull != nil && n.config.DiskFull() {
		n.finish(now, p, Result{Failure: failure.New(failure.Exhausted, "the disk has no room for more control state")}, fx)
		return
	}
	if len(n.inFlight)+len(n.waiting) >= maxPending {
		n.finish(now, p, Result{Failure: failure.New(failure.Busy, "too many deeds are in hand").WithRetryAfter(1)}, fx)
		return
	}
	n.dispatch(now, p, fx)
}

// maxPending bounds the operations in hand at one core.
const maxPending = 20000

// needsDiskSpace lists the operations that may need more room on the disks.
var needsDiskSpace = map[string]bool{"key/write": true, "manifest/offer": true, "lock/claim": true, "number/next": true, "rollout/begin": true, "group/put": true}

// dispatch sends the one copy of a pending operation to the key's proposer.
func (n *Node) dispatch(now monotime.Time, p *pending, fx *Effects) {
	if n.lostMajority(now) && !p.mayTakeEffect() {
		n.timeOut(now, p, fx)
		return
	}
	disks, addrOf := n.liveVoters(now)
	first, _ := placement.Proposer(p.operation.Key, disks)
	if first == "" || p.retryAt.After(now) || !n.HasMajority(now) {
		n.waiting = append(n.waiting, p)
		return
	}
	p.copyTicket = n.nextNumber()
	n.inFlight[p.copyTicket] = p
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

// forward sends the copy that is out, or sends it again: the receiver, which is one
// process named by its mark, takes repeats of one ticket as one.
func (n *Node) forward(now monotime.Time, p *pending, fx *Effects) {
	p.sentAt = now
	leftMs := max(1, p.deadline.Since(now).Milliseconds())
	fx.Sends = append(fx.Sends, Send{p.target, message.Message{To: p.targetInstance, Forward: &message.Forward{Ticket: p.copyTicket, Operation: p.operation, LeftMs: leftMs}}})
}

func (n *Node) finish(now monotime.Time, p *pending, result Result, fx *Effects) {
	result.Ticket = p.ticket
	if result.Failure != nil && p.mayTakeEffect() && result.Failure.Outcome == failure.NotExecuted {
		// Another copy may still take effect: a no would not be sure.
		unsure := *result.Failure
		unsure.Outcome = failure.OutcomeUnknown
		result.Failure = &unsure
	}
	if p.onDone != nil {
		p.onDone(now, result, fx)
		return
	}
	fx.Results = append(fx.Results, result)
}

// copyEnded takes the end of the copy that is out.
func (n *Node) copyEnded(now monotime.Time, p *pending, result message.ForwardResult, fx *Effects) {
	delete(n.inFlight, p.copyTicket)
	p.copyTicket = 0
	if !result.Abandoned {
		n.finish(now, p, Result{Body: result.Body, Failure: result.Failure, Revision: result.Revision, Ballot: result.Ballot}, fx)
		return
	}
	p.mayHaveTakenEffect = p.mayHaveTakenEffect || result.MayHaveTakenEffect
	p.retryAt = now.Add(40 * time.Millisecond)
	n.waiting = append(n.waiting, p)
}

// applyProposer carries out what the proposer wants.
func (n *Node) applyProposer(now monotime.Time, effects proposer.Effects, fx *Effects) {
	for _, s := range effects.Sends {
		request := s.Request
		n.sendToVoter(s.To, message.Message{Request: &request}, fx)
	}
	for _, outcome := range effects.Outcomes {
		result := message.ForwardResult{Body: outcome.Body, Failure: outcome.Failure, Revision: outcome.Revision, Ballot: outcome.Ballot, Abandoned: outcome.Abandoned, MayHaveTakenEffect: outcome.MayHaveTakenEffect}
		if outcome.Changed && !outcome.Abandoned {
			learned := message.Learned{Key: outcome.Operation.Key, Revision: outcome.Revision, Ballot: outcome.Ballot}
			n.learn(now, learned, fx)
			for _, a := range n.peerAddrs() {
				fx.Sends = append(fx.Sends, Send{a, message.Message{Learned: &learned}})
			}
		}
		if origin, ok := n.forwardOrigins[outcome.Operation.Ticket]; ok {
			delete(n.forwardOrigins, outcome.Operation.Ticket)
			result.Ticket = origin.ticket
			if _, remembered := n.forwardResults[origin.forwardID]; remembered {
				n.forwardResults[origin.forwardID] = &result
				if len(result.Body) > maxReplayBody {
					// The key's record remembers it; this end only says so.
					n.forwardResults[origin.forwardID] = &message.ForwardResult{Ticket: origin.ticket, Abandoned: true, MayHaveTakenEffect: true}
				}
			}
			fx.Sends = append(fx.Sends, Send{origin.from, message.Message{To: origin.instanceID, ForwardResult: &result}})
			continue
		}
		if p, ok := n.inFlight[outcome.Operation.Ticket]; ok {
			n.copyEnded(now, p, result, fx)
		}
	}
}

func (n *Node) learn(now monotime.Time, learned message.Learned, fx *Effects) {
	fx.Learned = append(fx.Learned, learned)
	if learned.Key.HasPrefix(rollout.Prefix) {
		n.rolloutSeenAt = now
	}
	if learned.Key == proposal.Key {
		n.ConfigRevision = max(n.ConfigRevision, ident.Epoch(learned.Revision))
		// The value itself lies here already when this disk took part in the round.
		if held := n.acceptor.Peek(learned.Key); !learned.Ballot.Zero() && held.Accepted == learned.Ballot && held.Revision == learned.Revision {
			fx.ConfirmedConfig = operation.State(held.Value)
		}
	}
}

// abandonCopies gives up the copies that are out at a process that is no more.
func (n *Node) abandonCopies(now monotime.Time, addr ident.Addr, instanceID string) {
	for _, ticket := range n.inFlightTickets() {
		p := n.inFlight[ticket]
		if p.target == addr && p.targetInstance == instanceID {
			delete(n.inFlight, ticket)
			p.copyTicket, p.mayHaveTakenEffect = 0, true
			n.waiting = append(n.waiting, p)
		}
	}
}

func (n *Node) inFlightTickets() []uint64 {
	tickets := make([]uint64, 0, len(n.inFlight))
	for k := range n.inFlight {
		tickets = append(tickets, k)
	}
	slices.Sort(tickets)
	return tickets
}

func (n *Node) onForward(now monotime.Time, m message.Message, fx *Effects) bool {
	if m.Forward == nil {
		return false
	}
	forwardID := fmt.Sprintf("%s/%d/%s", m.From, m.Forward.Ticket, m.Forward.Operation.Op)
	instanceID := ""
	if p := n.peers[m.From]; p != nil {
		instanceID = p.heartbeat.InstanceID
	}
	if previous, repeated := n.forwardResults[forwardID]; repeated {
		if previous != nil {
			fx.Sends = append(fx.Sends, Send{m.From, message.Message{To: instanceID, ForwardResult: previous}})
		}
		return true
	}
	var rejection *message.ForwardResult
	if n.leaving || n.diskFailed || !n.membership.Current.Counts(n.Disk) {
		rejection = &message.ForwardResult{Ticket: m.Forward.Ticket, Abandoned: true}
	}
	if !readOnly[m.Forward.Operation.Kind] {
		// What was rejected is remembered too: a copy of it that is still on its way must
		// not be begun here after its sender was told that it was not.
		n.forwardResults[forwardID] = rejection
		n.forwardOrder = append(n.forwardOrder, forwardID)
		if len(n.forwardOrder) > maxForwardResults {
			delete(n.forwardResults, n.forwardOrder[0])
			n.forwardOrder = n.forwardOrder[1:]
		}
	}
	if rejection != nil {
		fx.Sends = append(fx.Sends, Send{m.From, message.Message{To: instanceID, ForwardResult: rejection}})
		return true
	}
	op := m.Forward.Operation
	op.Ticket = n.nextNumber()
	if m.Forward.LeftMs > 0 {
		op.Deadline = now.Add(time.Duration(m.Forward.LeftMs) * time.Millisecond)
	}
	n.forwardOrigins[op.Ticket] = forwardOrigin{m.From, instanceID, m.Forward.Ticket, forwardID}
	n.applyProposer(now, n.proposer.Submit(now, op), fx)
	return true
}

func (n *Node) onForwardResult(now monotime.Time, m message.Message, fx *Effects) bool {
	if m.ForwardResult == nil {
		return false
	}
	if p, ok := n.inFlight[m.ForwardResult.Ticket]; ok && p.target == m.From {
		n.copyEnded(now, p, *m.ForwardResult, fx)
	}
	return true
}

func (n *Node) onLearned(now monotime.Time, m message.Message, fx *Effects) bool {
	if m.Learned == nil {
		return false
	}
	n.learn(now, *m.Learned, fx)
	return true
}
