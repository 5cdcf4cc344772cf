package node

import (
	"fmt"
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/core/message"
)

const (
	// forwardResendAfter is the time without a result after which a forward is sent again.
	forwardResendAfter = 350 * time.Millisecond
	// maxForwardResults limits the number of forwarded changes whose results are remembered.
	maxForwardResults = 1 << 12
	// maxReplayBody is the maximum size, in bytes, of a result that is kept to answer a repeated
	// forward.
	maxReplayBody = 4 << 10
)

// forwardOrigin identifies the core that forwarded an operation, and the operation's ticket at that
// core.
type forwardOrigin struct {
	from       ident.Addr
	instanceID string
	ticket     uint64
	forwardID  string
}

// forward sends or resends the attempt in flight to its target. The receiving run executes each
// ticket at most once, so a resend is safe.
func (n *Node) forward(now monotime.Time, p *pending, fx *Effects) {
	p.sentAt = now
	leftMs := max(1, p.deadline.Since(now).Milliseconds())
	forward := message.Forward{Ticket: p.attemptTicket, Operation: p.operation, RemainingMs: leftMs}
	fx.send(p.target, message.Message{To: p.targetInstance, Forward: &forward})
}

// onForward executes an operation that another core forwarded. It answers a repeated forward with
// the remembered result, and rejects the operation if this core cannot propose now.
func (n *Node) onForward(now monotime.Time, m message.Message, fx *Effects) bool {
	if m.Forward == nil {
		return false
	}
	forwardID := fmt.Sprintf("%s/%d/%s", m.From, m.Forward.Ticket, m.Forward.Operation.Op)
	instanceID := ""
	if p := n.peers[m.From]; p != nil {
		instanceID = p.heartbeat.InstanceID
	}
	if previous, repeated := n.operations.forwarded[forwardID]; repeated {
		if previous != nil {
			fx.send(m.From, message.Message{To: instanceID, ForwardResult: previous})
		}
		return true
	}
	var rejection *message.ForwardResult
	if n.leaving || n.diskFailed || !n.membership.Current.IsCounted(n.Disk) {
		rejection = &message.ForwardResult{Ticket: m.Forward.Ticket, Abandoned: true}
	}
	if !readOnly[m.Forward.Operation.Kind] {
		// Rejections are remembered too. Otherwise a duplicate of the message that arrives later
		// could be executed after the sender was told that the operation was not executed.
		n.operations.rememberForward(forwardID, rejection)
	}
	if rejection != nil {
		fx.send(m.From, message.Message{To: instanceID, ForwardResult: rejection})
		return true
	}
	op := m.Forward.Operation
	op.Ticket = n.nextNumber()
	if m.Forward.RemainingMs > 0 {
		op.Deadline = now.Add(time.Duration(m.Forward.RemainingMs) * time.Millisecond)
	}
	n.operations.origins[op.Ticket] = forwardOrigin{m.From, instanceID, m.Forward.Ticket, forwardID}
	n.applyProposer(now, n.proposer.Submit(now, op), fx)
	return true
}

// rememberForward records a forwarded change and its result, which is nil until the result is
// known. It discards the oldest entry if there are more than maxForwardResults.
func (s *operationState) rememberForward(forwardID string, result *message.ForwardResult) {
	s.forwarded[forwardID] = result
	s.forwardOrder = append(s.forwardOrder, forwardID)
	if len(s.forwardOrder) > maxForwardResults {
		delete(s.forwarded, s.forwardOrder[0])
		s.forwardOrder = s.forwardOrder[1:]
	}
}

// answerForward sends the result of a forwarded operation to the core that forwarded it.
func (n *Node) answerForward(origin forwardOrigin, result message.ForwardResult, fx *Effects) {
	result.Ticket = origin.ticket
	if _, remembered := n.operations.forwarded[origin.forwardID]; remembered {
		n.operations.forwarded[origin.forwardID] = &result
		if len(result.Body) > maxReplayBody {
			// The result is too large to keep. The sender retries the operation, and the retry is
			// answered from the key's record, which stores the results of recent operations.
			n.operations.forwarded[origin.forwardID] = &message.ForwardResult{Ticket: origin.ticket, Abandoned: true, MayHaveTakenEffect: true}
		}
	}
	fx.send(origin.from, message.Message{To: origin.instanceID, ForwardResult: &result})
}

// onForwardResult processes the result of an operation that this core forwarded.
func (n *Node) onForwardResult(now monotime.Time, m message.Message, fx *Effects) bool {
	if m.ForwardResult == nil {
		return false
	}
	if p, ok := n.operations.inFlight[m.ForwardResult.Ticket]; ok && p.target == m.From {
		n.handleAttemptResult(now, p, *m.ForwardResult, fx)
	}
	return true
}
