package cluster

import (
	"encoding/json"
	"fmt"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/explore/search"
)

// clientOperation is one operation of one client. Invariant: Floor is the newest revision of the
// object that had been acknowledged when it was sent.
type clientOperation struct {
	Tag     uint64
	Client  int
	Number  int
	Object  int
	Name    string
	SentAt  monotime.Time
	Floor   uint64
	Kind    string
	Args    json.RawMessage
	Resent  bool
	Base    uint64
	Content string
}

// client asks for one operation at a time. Invariant: lastProposal is its last proposal that
// names the version it is based on.
type client struct {
	number       int
	sent         int
	pending      *clientOperation
	lastProposal *clientOperation
	bases        map[int]uint64
}

// base is the revision of an object that the client builds on.
func (cl *client) base(object int) uint64 { return cl.bases[object] }

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
	if op.Kind == proposeKind && op.Name == proposeOnVersion {
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

func (c *Cluster) submit(m *member, cl *client, op *clientOperation) {
	c.lastTag++
	op.Tag = c.lastTag
	cl.pending = op
	m.operations[op.Tag] = op
	id := ident.OperationID(fmt.Sprintf("op%d", op.Tag))
	operation := proposer.Operation{Ticket: op.Tag, Op: id, Key: c.objects[op.Object].key(), Kind: op.Kind, Args: op.Args}
	c.applyEffects(m, m.proposer.Submit(c.clock(m), operation))
}

// operationEnded takes the outcome of an operation.
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
	case out.Abandoned && out.MayHaveTakenEffect && c.settings.Mutant != MutantOutcome:
		c.outcomeUnknown(op)
		return
	case out.Abandoned, out.Failure != nil && out.Failure.Outcome == failure.NotExecuted && out.Failure.Kind != failure.Compacted:
		c.operationRejected(op, out)
	case out.Failure != nil && out.Failure.Outcome != failure.NotExecuted:
		c.outcomeUnknown(op)
		return
	default:
		c.objects[op.Object].succeeded(c, op, out)
	}
	c.closeOperation(op)
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

// outcomeUnknown ends an operation that may have taken effect.
func (c *Cluster) outcomeUnknown(op *clientOperation) { c.closeOperation(op) }

// closeOperation lets the client of an operation ask for the next one.
func (c *Cluster) closeOperation(op *clientOperation) {
	if cl := c.clients[op.Client-1]; cl.pending != nil && cl.pending.Tag == op.Tag {
		cl.pending = nil
	}
}
