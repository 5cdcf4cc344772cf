// Package mutant makes the book of all operations with one handler that breaks its rule on
// purpose. The simulator and the model checker use it to show that their checks see it.
package mutant

import (
	"encoding/json"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/audit/segment"
	"cottonarch.example/cottonarch/control/config/proposal"
	"cottonarch.example/cottonarch/control/coordination/keyspace"
	"cottonarch.example/cottonarch/control/coordination/keyvalue"
	"cottonarch.example/cottonarch/control/coordination/lock"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/core/node"
	"cottonarch.example/cottonarch/control/register/proposer"
)

// Handlers is the book of all operations, with the handler of the named break replaced; a name that
// is no handler's changes nothing. history is how long a group's puts are kept.
func Handlers(name string, history time.Duration) operation.Table {
	table := node.Handlers(history)
	switch name {
	case "lock": // every claim is over at once
		claim := table["lock/claim"]
		table["lock/claim"] = func(ctx proposer.Context, state, args json.RawMessage) operation.Result {
			ctx.TermMemory, ctx.TermBegan = nil, 0
			ctx.Now = ctx.Now.Add(time.Hour)
			return claim(ctx, state, args)
		}
	case "offer": // the base epoch is not looked at
		propose := table["manifest/offer"]
		table["manifest/offer"] = func(ctx proposer.Context, state, args json.RawMessage) operation.Result {
			var a proposal.Args
			_ = json.Unmarshal(args, &a)
			a.BaseRevision = nil
			return propose(ctx, state, operation.Encode(a))
		}
	case "audit": // every fifth epoch is left out
		add := table["audit/append"]
		table["audit/append"] = func(ctx proposer.Context, state, args json.RawMessage) operation.Result {
			var a segment.AppendArgs
			if json.Unmarshal(args, &a) == nil && a.Entry.Revision%5 == 0 {
				return operation.Result{Body: args}
			}
			return add(ctx, state, args)
		}
	case "cell-twice": // now and then a put is told the revision before its own
		put := table["group/put"]
		table["group/put"] = func(ctx proposer.Context, state, args json.RawMessage) operation.Result {
			result := put(ctx, state, args)
			var p keyspace.Put
			if result.State != nil && json.Unmarshal(result.Body, &p) == nil && p.Revision%5 == 0 {
				p.Revision--
				result.Body = operation.Encode(p)
			}
			return result
		}
	case "cell-old": // a read shows the oldest put that is known
		table["group/read"] = func(ctx proposer.Context, state, args json.RawMessage) operation.Result {
			var a keyspace.Args
			_ = json.Unmarshal(args, &a)
			result := table["group/since"](ctx, state, operation.Encode(keyspace.Args{After: new(ident.Revision)}))
			var n keyspace.Changes
			_ = json.Unmarshal(result.Body, &n)
			for _, p := range n.Events {
				if p.Name == a.Name {
					return operation.Result{Body: operation.Encode(p), Decoded: result.Decoded}
				}
			}
			return operation.Result{Failure: failure.New(failure.NotFound, "none"), Decoded: result.Decoded}
		}
	case "cell-skip": // a watch is not told the first of several puts
		since := table["group/since"]
		table["group/since"] = func(ctx proposer.Context, state, args json.RawMessage) operation.Result {
			result := since(ctx, state, args)
			var n keyspace.Changes
			if json.Unmarshal(result.Body, &n) == nil && len(n.Events) > 1 {
				n.Events = n.Events[1:]
				result.Body = operation.Encode(n)
			}
			return result
		}
	case "cell-history": // next to nothing is kept
		table["group/put"] = keyspace.Handlers(1)["group/put"]
	case "cell-keep": // whoever asks is given the holder's fence
		claim := table["lock/claim"]
		table["lock/claim"] = func(ctx proposer.Context, state, args json.RawMessage) operation.Result {
			var l lock.State
			var a lock.Args
			if operation.Decode(state, args, &l, &a) == nil && l.Holder != "" && a.KeepToken {
				a.Holder = l.Holder
			}
			return claim(ctx, state, operation.Encode(a))
		}
	case "history": // only the newest change is kept
		write := table["key/write"]
		table["key/write"] = func(ctx proposer.Context, state, args json.RawMessage) operation.Result {
			result := write(ctx, state, args)
			var k keyvalue.State
			if result.State != nil && json.Unmarshal(result.State, &k) == nil && len(k.History) > 1 {
				k.History = k.History[len(k.History)-1:]
				result.State = operation.Encode(k)
			}
			return result
		}
	}
	return table
}
