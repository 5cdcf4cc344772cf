package cluster

import (
	"encoding/json"
	"fmt"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/coordination/lock"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/control/register/quorum"
)

// lockTTL is the duration of a lease in milliseconds.
const lockTTL = 1000

// lockKinds maps the names of the operations in traces to the kinds of the operations.
var lockKinds = map[string]string{
	"claim":   lock.AcquireKind,
	"keep":    lock.AcquireKind,
	"renew":   lock.RenewKind,
	"release": lock.ReleaseKind,
}

// clientLease is a lease from the viewpoint of its client. Invariant: the client relies on the lease
// until ExpiresAt, measured with a correct clock from the sending of the request, or until the
// client sends a release.
type clientLease struct {
	Fence     uint64
	ExpiresAt monotime.Time
}

// lockObject is a lock with the leases of its clients, by client number. Invariant: FenceHolder maps
// each issued fencing token to the client that received the token, and HighestFence is the highest
// issued fencing token.
type lockObject struct {
	Index        int
	Leases       map[int]clientLease
	FenceHolder  map[uint64]int
	HighestFence uint64
}

func newLock(index int) object {
	return &lockObject{Index: index, Leases: map[int]clientLease{}, FenceHolder: map[uint64]int{}}
}

func (l *lockObject) key() ident.Key { return ident.Key(fmt.Sprintf("lock/%d", l.Index)) }

func (l *lockObject) operations(cl *client) []string {
	out := []string{"claim", "keep"}
	if l.Leases[cl.number].Fence > 0 {
		out = append(out, "renew", "release")
	}
	return out
}

func (l *lockObject) prepare(op *clientOperation) (string, json.RawMessage) {
	op.LowerBound = l.HighestFence
	args := lock.Args{Holder: fmt.Sprintf("client%d", op.Client), TTL: lockTTL}
	switch op.Name {
	case "keep":
		args.KeepToken = true
	case "renew":
		args.FencingToken = l.Leases[op.Client].Fence
	case "release":
		args.FencingToken = l.Leases[op.Client].Fence
		delete(l.Leases, op.Client) // the client no longer relies on its lease
	}
	return lockKinds[op.Name], operation.Encode(args)
}

func (l *lockObject) succeeded(c *Cluster, op *clientOperation, out proposer.Outcome) {
	if op.Name == "release" {
		return
	}
	var granted lock.Grant
	_ = json.Unmarshal(out.Body, &granted)
	expiresAt := op.SentAt.Add(lockTTL * 1e6)
	for _, cl := range c.clients {
		other := l.Leases[cl.number]
		if cl.number != op.Client && other.ExpiresAt.After(c.now) && expiresAt.After(c.now) {
			c.recordViolation(RuleMutualExclusion, "%s is held by client %d with fencing token %d and by client %d with fencing token %d", l.key(), cl.number, other.Fence, op.Client, granted.FencingToken)
		}
	}
	if op.Name == "claim" && granted.FencingToken <= op.LowerBound {
		c.recordViolation(RuleFencingToken, "%s: fencing token %d was issued after fencing token %d", l.key(), granted.FencingToken, op.LowerBound)
	}
	if holder := l.FenceHolder[granted.FencingToken]; holder != 0 && holder != op.Client {
		c.recordViolation(RuleFencingToken, "%s: fencing token %d was issued to client %d and client %d", l.key(), granted.FencingToken, holder, op.Client)
	}
	l.FenceHolder[granted.FencingToken] = op.Client
	l.HighestFence = max(l.HighestFence, granted.FencingToken)
	l.Leases[op.Client] = clientLease{granted.FencingToken, expiresAt}
}

func (l *lockObject) rejected(op *clientOperation) {
	if op.Name == "renew" {
		delete(l.Leases, op.Client)
	}
}

func (l *lockObject) checkMajorityRead(c *Cluster, found quorum.Record) {
	var state lock.State
	_ = json.Unmarshal(operation.State(found.Value), &state)
	if state.FencingToken < l.HighestFence {
		c.recordViolation(RuleLostWrite, "a majority read of %s returns fencing token %d, but fencing token %d was issued", l.key(), state.FencingToken, l.HighestFence)
	}
}
