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

// lockTTL is how long a lease lasts, in milliseconds.
const lockTTL = 1000

// lockKinds holds the kinds of the operations on a lock by their names in traces.
var lockKinds = map[string]string{
	"claim":   lock.AcquireKind,
	"keep":    lock.AcquireKind,
	"renew":   lock.RenewKind,
	"release": lock.ReleaseKind,
}

// grant is a lease as its client counts on it. Invariant: it counts from the sending of the
// request, by a true clock, until the lease expires or the client releases it.
type grant struct {
	Fence     uint64
	ExpiresAt monotime.Time
}

// lockObject is one lock with the leases of its clients. Invariant: FenceHolder is the client
// that was given each fencing token, HighestFence the highest of these.
type lockObject struct {
	Index        int
	Grants       map[int]grant
	FenceHolder  map[uint64]int
	HighestFence uint64
}

func newLock(index int) object {
	return &lockObject{Index: index, Grants: map[int]grant{}, FenceHolder: map[uint64]int{}}
}

func (l *lockObject) key() ident.Key { return ident.Key(fmt.Sprintf("lock/%d", l.Index)) }

func (l *lockObject) operations(cl *client) []string {
	out := []string{"claim", "keep"}
	if l.Grants[cl.number].Fence > 0 {
		out = append(out, "renew", "release")
	}
	return out
}

func (l *lockObject) prepare(op *clientOperation) (string, json.RawMessage) {
	op.Floor = l.HighestFence
	args := lock.Args{Holder: fmt.Sprintf("client%d", op.Client), TTL: lockTTL}
	switch op.Name {
	case "keep":
		args.KeepToken = true
	case "renew":
		args.FencingToken = l.Grants[op.Client].Fence
	case "release":
		args.FencingToken = l.Grants[op.Client].Fence
		delete(l.Grants, op.Client) // from here on the client does not count on it
	}
	return lockKinds[op.Name], operation.Encode(args)
}

func (l *lockObject) succeeded(c *Cluster, op *clientOperation, out proposer.Outcome) {
	if op.Name == "release" {
		return
	}
	var given lock.Grant
	_ = json.Unmarshal(out.Body, &given)
	until := op.SentAt.Add(lockTTL * 1e6)
	for _, cl := range c.clients {
		other := l.Grants[cl.number]
		if cl.number != op.Client && other.ExpiresAt.After(c.now) && until.After(c.now) {
			c.violate(RuleMutualExclusion, "%s is held by client %d, fence %d, and client %d, fence %d", l.key(), cl.number, other.Fence, op.Client, given.FencingToken)
		}
	}
	if op.Name == "claim" && given.FencingToken <= op.Floor {
		c.violate(RuleFencingToken, "%s: fence %d was given after %d", l.key(), given.FencingToken, op.Floor)
	}
	if holder := l.FenceHolder[given.FencingToken]; holder != 0 && holder != op.Client {
		c.violate(RuleFencingToken, "%s: fence %d was given to client %d and client %d", l.key(), given.FencingToken, holder, op.Client)
	}
	l.FenceHolder[given.FencingToken] = op.Client
	l.HighestFence = max(l.HighestFence, given.FencingToken)
	l.Grants[op.Client] = grant{given.FencingToken, until}
}

func (l *lockObject) rejected(op *clientOperation) {
	if op.Name == "renew" {
		delete(l.Grants, op.Client)
	}
}

func (l *lockObject) inspect(c *Cluster, found quorum.Record) {
	var state lock.State
	_ = json.Unmarshal(operation.State(found.Value), &state)
	if state.FencingToken < l.HighestFence {
		c.violate(RuleLostWrite, "a majority knows %s up to fence %d, %d was given", l.key(), state.FencingToken, l.HighestFence)
	}
}
