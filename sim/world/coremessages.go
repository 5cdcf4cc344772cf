package world

import (
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/config/proposal"
	"cottonarch.example/cottonarch/control/core/joinqueue"
	"cottonarch.example/cottonarch/control/core/message"
	"cottonarch.example/cottonarch/control/core/node"
	"cottonarch.example/cottonarch/control/register/proposer"
)

// loopbackLatency is the latency of messages that a core sends to itself.
const loopbackLatency = 20 * time.Microsecond

// applyEffects applies effects as the daemon does: effects that depend on durable records wait
// until the records are synced.
func (c *Core) applyEffects(effects node.Effects) {
	afterSync := effects.SplitDurable()
	c.deliverEffects(effects)
	if len(afterSync.Records)+len(afterSync.Sends) > 0 {
		c.pendingWrites = append(c.pendingWrites, afterSync)
		c.writeBatch(c.generation)
	}
}

// deliverEffects sends the messages and delivers the results that need not wait for the disk.
func (c *Core) deliverEffects(effects node.Effects) {
	for _, s := range effects.Sends {
		s.Msg.From = c.Addr
		c.send(s.To, s.Msg)
	}
	for _, result := range effects.Results {
		if end := c.callbacks[result.Ticket]; end != nil {
			delete(c.callbacks, result.Ticket)
			end(result)
		}
	}
	if effects.ConfirmedConfig != nil {
		c.installConfig(effects.ConfirmedConfig)
	}
	for _, learned := range effects.Learned {
		if learned.Key == proposal.Key {
			c.followConfig()
		}
	}
}

// send sends a message to a core, which may be the sender itself. If the connection is refused,
// the node marks the target as unreachable.
func (c *Core) send(to ident.Addr, msg message.Message) {
	w, generation := c.world, c.generation
	if w.Mutant == MutantNoReadRepair && msg.Request != nil && msg.Request.Round == 0 {
		return
	}
	unreachable := func() {
		c.runInGeneration(generation, func() { c.applyEffects(c.node.MarkUnreachable(c.limitedTime(), to)) })
	}
	switch {
	case to == c.Addr:
		w.After(loopbackLatency, func() { c.runInGeneration(generation, func() { c.step(msg) }) })
	case w.Links.refusesConnections(c.Addr, to):
		w.After(w.linkDelay(), unreachable)
	default:
		w.transmit(c.Addr, to, func() {
			peer := w.coreAt(to)
			switch {
			case peer == nil:
			case !peer.running:
				w.transmit(to, c.Addr, unreachable)
			default:
				peer.handleMessage(peer.generation, peer.messageCost, func() { peer.step(msg) })
			}
		})
	}
}

// step passes a message to the node.
func (c *Core) step(msg message.Message) { c.applyEffects(c.node.Step(c.limitedTime(), msg)) }

// registerCallback returns a new ticket for an operation and registers end for its result.
func (c *Core) registerCallback(end func(node.Result)) uint64 {
	c.lastTicket++
	c.callbacks[c.lastTicket] = end
	return c.lastTicket
}

// Submit runs an operation at this core and calls end with the result.
func (c *Core) Submit(op proposer.Operation, budget time.Duration, end func(node.Result)) {
	ticket := c.registerCallback(end)
	c.applyEffects(c.node.Submit(c.limitedTime(), ticket, op, budget))
}

// Join submits a sidecar's join request to this core and calls end with the result.
func (c *Core) Join(request joinqueue.Request, end func(node.Result)) {
	ticket := c.registerCallback(end)
	c.applyEffects(c.node.Join(c.limitedTime(), ticket, request, node.JoinBudget))
}

// quorumRead reads the records of all keys with a prefix from a majority, and with values set also
// the values of the keys.
func (c *Core) quorumRead(prefix string, values bool, budget time.Duration, end func(node.Result)) {
	ticket := c.registerCallback(end)
	c.applyEffects(c.node.QuorumRead(c.limitedTime(), ticket, prefix, values, budget))
}
