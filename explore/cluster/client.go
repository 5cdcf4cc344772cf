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

// clientOperation is one operation of one client. Invariant: Floor is the newest revision of the
// object that had been acknowledged when it was sent.
type clientOperation struct {
	Tag     uint64 // unique in the run
	Client  int    // by number, from 1
	Number  int    // counts the operations of the client, from 1
	Object  int    // by index
	Name    string // among the operations of the object
	SentAt  monotime.Time
	Floor   uint64
	Kind    string // of the control plane's operation
	Args    json.RawMessage
	Resent  bool
	Base    uint64 // the revision that the client builds on
	Content string // unique in the run
}

// client asks for one operation at a time. Invariant: lastProposal is its last proposal that
// names the version it is based on.
type client struct {
	number       int // from 1
	sent         int // counts its operations
	pending      *clientOperation
	lastProposal *clientOperation
	bases        map[int]uint64 // by index of the object
}

// base is the revision of an object that the client builds on.
func (cl *client) base(object int) uint64 { return cl.bases[object] }

// setBase notes the newest revision of an object that the client knows.
func (cl *client) setBase(object int, base uint64) {
	if cl.bases == nil {
		cl.bases = map[int]uint64{}
	}
	cl.bases[object] = base
}

// issue sends a client's operation to a member.
func (c *Cluster) issue(m *member, choice search.Choice) {
	cl := c.clients[choice.Client-1]
	cl.sent++
	op := &clientOperation{Client: cl.number, Number: cl.sent, Object: choice.Key, Name: choice.Operation, SentAt: c.now, Base: cl.base(choice.Key)}
	op.Content = fmt.Sprintf("%d-%d", op.Client, op.Number)
	op.Kind, op.Args = c.objects[op.Object].prepare(op)
	if op.Kind == proposal.ProposeKind && op.Name == proposeOnVersion {
		cl.lastProposal = op
	}
	c.submit(m, cl, op)
}

// resend sends a client's last proposal once more, as a client does that got no response.
func (c *Cluster) resend(m *member, cl *client) {
	op := *cl.lastProposal
	op.Resent, op.SentAt = true, c.now
	if m, ok := c.objects[op.Object].(*configObject); ok {
		delete(m.Rejected, op.Content) // it may be accepted now
	}
	c.submit(m, cl, &op)
}

// submit gives an operation to the proposer of a member.
func (c *Cluster) submit(m *member, cl *client, op *clientOperation) {
	c.lastTag++
	op.Tag = c.lastTag
	cl.pending = op
	m.operations[op.Tag] = op
	id := ident.OperationID(fmt.Sprintf("op%d", op.Tag))
	operation := proposer.Operation{Ticket: op.Tag, Op: id, Key: c.objects[op.Object].key(), Kind: op.Kind, Args: op.Args}
	c.applyEffects(m, m.proposer.Submit(c.clock(m), operation))
}

// operationEnded takes the outcome of an operation. Its client learns nothing if the operation
// may or may not have taken effect.
func (c *Cluster) operationEnded(m *member, out proposer.Outcome) {
	op := m.operations[out.Operation.Ticket]
	if op == nil {
		if out.Operation.Ticket == c.repairTag && !out.Abandoned {
			c.repairTag = 0
		}
		return
	}
	delete(m.operations, op.Tag)
	switch {
	case c.outcomeUnknown(out):
	case out.Abandoned, out.Failure != nil && out.Failure.Kind != failure.Compacted:
		c.operationRejected(op, out)
	default:
		c.objects[op.Object].succeeded(c, op, out)
	}
	c.closeOperation(op)
}

// outcomeUnknown tells whether an operation may or may not have taken effect.
func (c *Cluster) outcomeUnknown(out proposer.Outcome) bool {
	if out.Abandoned {
		return out.MayHaveTakenEffect && c.settings.Mutant != MutantOutcome
	}
	return out.Failure != nil && out.Failure.Outcome != failure.NotExecuted
}

// operationRejected takes an outcome that says that the operation did not take effect.
func (c *Cluster) operationRejected(op *clientOperation, out proposer.Outcome) {
	obj := c.objects[op.Object]
	if m, ok := obj.(*configObject); ok && !out.Abandoned {
		m.checkResend(c, op, out.Failure)
	}
	if !op.Resent {
		obj.rejected(op)
	}
}

// closeOperation lets the client of an operation ask for the next one.
func (c *Cluster) closeOperation(op *clientOperation) {
	if cl := c.clients[op.Client-1]; cl.pending != nil && cl.pending.Tag == op.Tag {
		cl.pending = nil
	}
}
