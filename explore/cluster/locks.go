package cluster

import (
	"encoding/json"
	"fmt"

	"cottonarch.example/cottonarch/control/coordination/lock"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/control/register/quorum"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/monotime"
)

// lockTTL is how long a claim holds.
const lockTTL = 1000 // ms

// hold is what a client counts on. Invariant: it counts from the sending of its claim, by a
// clock that runs true, until the claim's time is over or it gives it up.
type hold struct {
	Fence uint64
	Until monotime.Time
}

// locks is one lock with what its clients hold. Invariant: Given tells to whom each fence
// was given, Fence is the highest of these.
type locks struct {
	Index int
	Holds map[int]hold
	Given map[uint64]int
	Fence uint64
}

func newLock(index int) object {
	return &locks{Index: index, Holds: map[int]hold{}, Given: map[uint64]int{}}
}

func (l *locks) key() ident.Key { return ident.Key(fmt.Sprintf("lock/%d", l.Index)) }

func (l *locks) menu(cl *client) []string {
	out := []string{"claim", "keep"}
	if l.Holds[cl.number].Fence > 0 {
		out = append(out, "renew", "release")
	}
	return out
}

func (l *locks) deed(o *order) (string, json.RawMessage) {
	o.Floor = l.Fence
	a := lock.Args{Holder: fmt.Sprintf("client%d", o.Client), TTL: lockTTL}
	switch o.Name {
	case "keep":
		a.Keep = true
	case "renew":
		a.Fence = l.Holds[o.Client].Fence
	case "release":
		a.Fence = l.Holds[o.Client].Fence
		delete(l.Holds, o.Client) // from here on it does not count on it
	}
	kind := o.Name
	if kind == "keep" {
		kind = "claim"
	}
	return "lock/" + kind, operation.Encode(a)
}

func (l *locks) told(c *Cluster, o *order, out proposer.Outcome) {
	if o.Name == "release" {
		return
	}
	var g lock.Grant
	_ = json.Unmarshal(out.Body, &g)
	until := o.Sent.Add(lockTTL * 1e6)
	for _, cl := range c.clients {
		other := l.Holds[cl.number]
		if cl.number != o.Client && other.Until.After(c.now) && until.After(c.now) {
			c.breach(RuleLock, "%s is held by client %d, fence %d, and client %d, fence %d", l.key(), cl.number, other.Fence, o.Client, g.Fence)
		}
	}
	if o.Name == "claim" && g.Fence <= o.Floor {
		c.breach(RuleFence, "%s: fence %d was given after %d", l.key(), g.Fence, o.Floor)
	}
	if who := l.Given[g.Fence]; who != 0 && who != o.Client {
		c.breach(RuleFence, "%s: fence %d was given to client %d and client %d", l.key(), g.Fence, who, o.Client)
	}
	l.Given[g.Fence] = o.Client
	l.Fence = max(l.Fence, g.Fence)
	l.Holds[o.Client] = hold{g.Fence, until}
}

func (l *locks) turned(o *order) {
	if o.Name == "renew" {
		delete(l.Holds, o.Client)
	}
}

func (l *locks) inspect(c *Cluster, found quorum.Record) {
	var state lock.Lock
	_ = json.Unmarshal(operation.State(found.Value), &state)
	if state.Fence < l.Fence {
		c.breach(RuleLost, "a majority knows %s up to fence %d, %d was given", l.key(), state.Fence, l.Fence)
	}
}
