package cluster

import (
	"encoding/json"
	"fmt"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/config/proposal"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/explore/search"
)

// clientOperation is one operation of a client. Invariant: LowerBound is the newest revision, number
// or fencing token of the object that was known to be acknowledged when the operation was sent.
type clientOperation struct {
	Ticket     uint64 // unique in the run
	Client     int    // number of the client, from 1
	Number     int    // number of the operation among the operations of the client, from 1
	Object     int    // index of the object
	Name       string // name of the operation in traces, as listed by object.operations
	SentAt     monotime.Time
	LowerBound uint64
	Kind       string // kind of the operation in the control plane
	Args       json.RawMessage
	Resent     bool
	Base       uint64 // revision that the operation is based on
	Content    string // unique in the run
}

// client is a client with at most one operation in flight. Invariant: lastProposal is the client's
// last proposal that is based on a version rather than a revision.
type client struct {
	number        int // from 1
	sent          int // number of operations sent, without resends
	pending       *clientOperation
	lastProposal  *clientOperation
	baseRevisions map[int]uint64 // by index of the object
}

// baseRevision returns the revision of an object that the client's next proposal is based on.
func (cl *client) baseRevision(object int) uint64 { return cl.baseRevisions[object] }

// setBaseRevision sets the revision of an object that the client's next proposal is based on.
func (cl *client) setBaseRevision(object int, base uint64) {
	if cl.baseRevisions == nil {
		cl.baseRevisions = map[int]uint64{}
	}
	cl.baseRevisions[object] = base
}

// issueOperation sends a new operation of a client to a member.
func (c *Cluster) issueOperation(m *member, choice search.Choice) {
	cl := c.clients[choice.Client-1]
	cl.sent++
	op := &clientOperation{Client: cl.number, Number: cl.sent, Object: choice.Key, Name: choice.Operation, SentAt: c.now, Base: cl.baseRevision(choice.Key)}
	op.Content = fmt.Sprintf("%d-%d", op.Client, op.Number)
	op.Kind, op.Args = c.objects[op.Object].prepare(op)
	if op.Kind == proposal.ProposeKind && op.Name == proposeOnVersion {
		cl.lastProposal = op
	}
	c.submit(m, cl, op)
}

// resendProposal sends a client's last proposal again, like a client that received no response.
func (c *Cluster) resendProposal(m *member, cl *client) {
	op := *cl.lastProposal
	op.Resent, op.SentAt = true, c.now
	if configuration, ok := c.objects[op.Object].(*configObject); ok {
		delete(configuration.Rejected, op.Content) // the resent proposal may be accepted
	}
	c.submit(m, cl, &op)
}

// submit submits an operation to the proposer of a member.
func (c *Cluster) submit(m *member, cl *client, op *clientOperation) {
	c.lastTicket++
	op.Ticket = c.lastTicket
	cl.pending = op
	m.operations[op.Ticket] = op
	id := ident.OperationID(fmt.Sprintf("op%d", op.Ticket))
	operation := proposer.Operation{Ticket: op.Ticket, Op: id, Key: c.objects[op.Object].key(), Kind: op.Kind, Args: op.Args}
	c.applyEffects(m, m.proposer.Submit(c.clock(m), operation))
}

// handleOutcome handles the outcome of an operation. If the outcome is unknown, neither a success
// nor a rejection is recorded. A failure of the kind failure.Compacted is no rejection: the succeeded
// method of the object checks that failure.
func (c *Cluster) handleOutcome(m *member, out proposer.Outcome) {
	op := m.operations[out.Operation.Ticket]
	if op == nil {
		if out.Operation.Ticket == c.repairTicket && !out.Abandoned {
			c.repairTicket = 0
		}
		return
	}
	delete(m.operations, op.Ticket)
	switch {
	case c.outcomeUnknown(out):
	case out.Abandoned, out.Failure != nil && out.Failure.Kind != failure.Compacted:
		c.handleRejection(op, out)
	default:
		c.objects[op.Object].succeeded(c, op, out)
	}
	c.completeOperation(op)
}

// outcomeUnknown reports whether an outcome does not show whether the operation took effect.
func (c *Cluster) outcomeUnknown(out proposer.Outcome) bool {
	if out.Abandoned {
		return out.MayHaveTakenEffect && c.settings.Mutant != MutantOutcome
	}
	return out.Failure != nil && out.Failure.Outcome != failure.NotExecuted
}

// handleRejection handles an outcome by which the operation did not take effect.
func (c *Cluster) handleRejection(op *clientOperation, out proposer.Outcome) {
	obj := c.objects[op.Object]
	if m, ok := obj.(*configObject); ok && !out.Abandoned {
		m.checkResend(c, op, out.Failure)
	}
	if !op.Resent {
		obj.rejected(op)
	}
}

// completeOperation ends an operation, so that the client may send the next operation.
func (c *Cluster) completeOperation(op *clientOperation) {
	if cl := c.clients[op.Client-1]; cl.pending != nil && cl.pending.Ticket == op.Ticket {
		cl.pending = nil
	}
}
