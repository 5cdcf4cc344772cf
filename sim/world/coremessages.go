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

// loopbackLatency is the latency of messages of a core to itself.
const loopbackLatency = 20 * time.Microsecond

// applyEffects carries out effects as the daemon does: what must be durable first waits for
// the disk.
func (c *Core) applyEffects(effects node.Effects) {
	afterSync := effects.SplitDurable()
	c.deliverEffects(effects)
	if len(afterSync.Records)+len(afterSync.Sends) > 0 {
		c.pendingWrites = append(c.pendingWrites, afterSync)
		c.writeBatch(c.generation)
	}
}

// deliverEffects sends the messages and results that need not wait any longer.
func (c *Core) deliverEffects(effects node.Effects) {
	for _, s := range effects.Sends {
		s.Msg.From = c.Addr
		c.send(s.To, s.Msg)
	}
	for _, result := range effects.Results {
		if end := c.onEnd[result.Ticket]; end != nil {
			delete(c.onEnd, result.Ticket)
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

// send sends a message to a core, which may be this one. If nobody takes the connection, the
// node learns so.
func (c *Core) send(to ident.Addr, msg message.Message) {
	w, generation := c.world, c.generation
	if w.Mutant == MutantNoReadRepair && msg.Request != nil && msg.Request.Round == 0 {
		return
	}
	unreachable := func() {
		c.runInGeneration(generation, func() { c.applyEffects(c.node.MarkUnreachable(c.watchedTime(), to)) })
	}
	switch {
	case to == c.Addr:
		w.After(loopbackLatency, func() { c.runInGeneration(generation, func() { c.step(msg) }) })
	case w.Links.refusesAtOnce(c.Addr, to):
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

// step has the node take a message.
func (c *Core) step(msg message.Message) { c.applyEffects(c.node.Step(c.watchedTime(), msg)) }

// newTicket names an operation whose result end takes.
func (c *Core) newTicket(end func(node.Result)) uint64 {
	c.lastTicket++
	c.onEnd[c.lastTicket] = end
	return c.lastTicket
}

// Submit runs an operation at this core.
func (c *Core) Submit(op proposer.Operation, budget time.Duration, end func(node.Result)) {
	ticket := c.newTicket(end)
	c.applyEffects(c.node.Submit(c.watchedTime(), ticket, op, budget))
}

// Join lets a sidecar join at this core.
func (c *Core) Join(request joinqueue.Request, end func(node.Result)) {
	ticket := c.newTicket(end)
	c.applyEffects(c.node.Join(c.watchedTime(), ticket, request, node.JoinBudget))
}

// quorumRead reads the records of all keys with a prefix from a majority, with their values
// if asked.
func (c *Core) quorumRead(prefix string, values bool, budget time.Duration, end func(node.Result)) {
	ticket := c.newTicket(end)
	c.applyEffects(c.node.QuorumRead(c.watchedTime(), ticket, prefix, values, budget))
}
