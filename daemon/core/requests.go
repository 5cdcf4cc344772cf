package core

import (
	"context"
	"sync"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/core/joinqueue"
	"cottonarch.example/cottonarch/control/core/node"
	"cottonarch.example/cottonarch/control/register/proposer"
)

// resultMargin is how long after the end of its budget a request is abandoned. The node ends every
// request within its budget unless Core.loop, which runs the node's steps, is delayed.
const resultMargin = time.Second

// resultWaiters holds the result channels of the pending requests, by ticket.
type resultWaiters struct {
	mu         sync.Mutex
	lastTicket uint64
	byTicket   map[uint64]chan node.Result
}

func newResultWaiters() resultWaiters {
	return resultWaiters{byTicket: map[uint64]chan node.Result{}}
}

// add returns a new ticket and the channel that receives the result.
func (w *resultWaiters) add() (uint64, <-chan node.Result) {
	result := make(chan node.Result, 1)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastTicket++
	w.byTicket[w.lastTicket] = result
	return w.lastTicket, result
}

// remove deletes a ticket whose result is no longer awaited.
func (w *resultWaiters) remove(ticket uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.byTicket, ticket)
}

// resolve delivers a result to its waiter. A result without a waiter is discarded.
func (w *resultWaiters) resolve(result node.Result) {
	w.mu.Lock()
	waiter := w.byTicket[result.Ticket]
	delete(w.byTicket, result.Ticket)
	w.mu.Unlock()
	if waiter != nil {
		waiter <- result
	}
}

// await runs a step that starts a request, and waits for the result of the request.
func (c *Core) await(ctx context.Context, start func(now monotime.Time, ticket uint64) node.Effects) node.Result {
	ticket, result := c.waiters.add()
	if !c.RunStep(func(now monotime.Time) node.Effects { return start(now, ticket) }) {
		c.waiters.remove(ticket)
		return node.Result{Failure: failure.New(failure.Busy, "the core's step queue is full").WithRetryAfter(1)}
	}
	select {
	case r := <-result:
		return r
	case <-ctx.Done():
		c.waiters.remove(ticket)
		return node.Result{Failure: failure.NewUnknown(failure.UnknownOutcome, "no response within the time limit")}
	case <-c.done:
		c.waiters.remove(ticket)
		return node.Result{Failure: failure.NewUnknown(failure.Stopping, "the core is stopping")}
	}
}

// Execute runs one operation and waits for its result, for at most budget plus resultMargin. The time
// in the step queue counts against budget, so that a delayed process does not start an operation whose
// caller no longer waits.
func (c *Core) Execute(ctx context.Context, operation proposer.Operation, budget time.Duration) node.Result {
	c.Metrics.Add("deeds", 1)
	ctx, cancel := context.WithTimeout(ctx, budget+resultMargin)
	defer cancel()
	clock := monotime.ProcessClock()
	start := clock()
	return c.await(ctx, func(now monotime.Time, ticket uint64) node.Effects {
		remaining := budget - clock().Since(start)
		if remaining <= 0 {
			expired := failure.New(failure.Busy, "the time budget of the operation expired in the step queue").WithRetryAfter(1)
			return node.Effects{Results: []node.Result{{Ticket: ticket, Failure: expired}}}
		}
		return c.node.Submit(now, ticket, operation, remaining)
	})
}

// Join submits the join of a sidecar and waits for the result.
func (c *Core) Join(ctx context.Context, request joinqueue.Request) node.Result {
	ctx, cancel := context.WithTimeout(ctx, node.JoinBudget+resultMargin)
	defer cancel()
	clock := monotime.ProcessClock()
	start := clock()
	return c.await(ctx, func(now monotime.Time, ticket uint64) node.Effects {
		return c.node.Join(now, ticket, request, node.JoinBudget-clock().Since(start))
	})
}

// QuorumRead reads the records of all keys with a prefix from a majority of the voters, with or
// without the values of the keys.
func (c *Core) QuorumRead(ctx context.Context, prefix string, values bool, budget time.Duration) node.Result {
	c.Metrics.Add("surveys", 1)
	ctx, cancel := context.WithTimeout(ctx, budget+resultMargin)
	defer cancel()
	return c.await(ctx, func(now monotime.Time, ticket uint64) node.Effects {
		return c.node.QuorumRead(now, ticket, prefix, values, budget)
	})
}
