package node

import (
	"fmt"
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/core/message"
)

const (
	// forwardResendAfter is how long a forwarded operation waits for its result before it is
	// sent again.
	forwardResendAfter = 350 * time.Millisecond
	// maxForwardResults bounds the forwarded changes that are remembered.
	maxForwardResults = 1 << 12
	// maxReplayBody is the largest result, in bytes, that is kept for a repeated forward.
	maxReplayBody = 4 << 10
)

// forwardOrigin is the core that forwarded an operation, and its ticket there.
type forwardOrigin struct {
	from       ident.Addr
	instanceID string
	ticket     uint64
	forwardID  string
}

// forward sends the copy in flight to its target, or sends it again: the receiving run executes
// one ticket once, however often it arrives.
func (n *Node) forward(now monotime.Time, p *pending, fx *Effects) {
	p.sentAt = now
	leftMs := max(1, p.deadline.Since(now).Milliseconds())
	forward := message.Forward{Ticket: p.copyTicket, Operation: p.operation, RemainingMs: leftMs}
	fx.send(p.target, message.Message{To: p.targetInstance, Forward: &forward})
}

// onForward runs an operation that another core forwarded, unless it is a repeat or this core
// proposes nothing now.
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
		// A rejection is remembered too: a copy of the message that is still in flight must
		// not be run here after its sender was answered that it was not.
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

// rememberForward records a forwarded change with its result, nil while there is none, and
// forgets the oldest beyond maxForwardResults.
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
			// A repeat of it is answered from the key's record, which remembers the operation.
			n.operations.forwarded[origin.forwardID] = &message.ForwardResult{Ticket: origin.ticket, Abandoned: true, MayHaveTakenEffect: true}
		}
	}
	fx.send(origin.from, message.Message{To: origin.instanceID, ForwardResult: &result})
}

// onForwardResult takes the result of an operation that this core forwarded.
func (n *Node) onForwardResult(now monotime.Time, m message.Message, fx *Effects) bool {
	if m.ForwardResult == nil {
		return false
	}
	if p, ok := n.operations.inFlight[m.ForwardResult.Ticket]; ok && p.target == m.From {
		n.copyEnded(now, p, *m.ForwardResult, fx)
	}
	return true
}
