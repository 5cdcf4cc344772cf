// Package broken makes the book of all operations with one handler that breaks its rule on
// purpose. The simulator and the model checker use it to show that their checks see it.
package broken

import (
	"encoding/json"
	"time"

	"cottonarch.example/cottonarch/control/audit/chunk"
	"cottonarch.example/cottonarch/control/coordination/group"
	"cottonarch.example/cottonarch/control/coordination/key"
	"cottonarch.example/cottonarch/control/coordination/lock"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/core/node"
	"cottonarch.example/cottonarch/control/manifest/offer"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/kernel/failure"
	"cottonarch.example/cottonarch/kernel/ident"
)

// Book is the book of all operations, with the handler of the named break replaced; a name that
// is no handler's changes nothing. history is how long a group's puts are kept.
func Book(name string, history time.Duration) operation.Table {
	all := node.Handlers(history)
	switch name {
	case "lock": // every claim is over at once
		claim := all["lock/claim"]
		all["lock/claim"] = func(t proposer.Context, state, args json.RawMessage) operation.Result {
			t.TermMemory, t.TermBegan = nil, 0
			t.Now = t.Now.Add(time.Hour)
			return claim(t, state, args)
		}
	case "offer": // the base epoch is not looked at
		give := all["manifest/offer"]
		all["manifest/offer"] = func(t proposer.Context, state, args json.RawMessage) operation.Result {
			var a offer.Args
			_ = json.Unmarshal(args, &a)
			a.Base = nil
			return give(t, state, operation.Encode(a))
		}
	case "audit": // every fifth epoch is left out
		add := all["audit/append"]
		all["audit/append"] = func(t proposer.Context, state, args json.RawMessage) operation.Result {
			var a chunk.Append
			if json.Unmarshal(args, &a) == nil && a.Leaf.Epoch%5 == 0 {
				return operation.Result{Body: args}
			}
			return add(t, state, args)
		}
	case "cell-twice": // now and then a put is told the revision before its own
		put := all["group/put"]
		all["group/put"] = func(t proposer.Context, state, args json.RawMessage) operation.Result {
			e := put(t, state, args)
			var p group.Put
			if e.State != nil && json.Unmarshal(e.Body, &p) == nil && p.Revision%5 == 0 {
				p.Revision--
				e.Body = operation.Encode(p)
			}
			return e
		}
	case "cell-old": // a read shows the oldest put that is known
		all["group/read"] = func(t proposer.Context, state, args json.RawMessage) operation.Result {
			var a group.Args
			_ = json.Unmarshal(args, &a)
			e := all["group/since"](t, state, operation.Encode(group.Args{After: new(ident.Revision)}))
			var n group.News
			_ = json.Unmarshal(e.Body, &n)
			for _, p := range n.Events {
				if p.Name == a.Name {
					return operation.Result{Body: operation.Encode(p), Decoded: e.Decoded}
				}
			}
			return operation.Result{Failure: failure.New(failure.Missing, "none"), Decoded: e.Decoded}
		}
	case "cell-skip": // a watch is not told the first of several puts
		since := all["group/since"]
		all["group/since"] = func(t proposer.Context, state, args json.RawMessage) operation.Result {
			e := since(t, state, args)
			var n group.News
			if json.Unmarshal(e.Body, &n) == nil && len(n.Events) > 1 {
				n.Events = n.Events[1:]
				e.Body = operation.Encode(n)
			}
			return e
		}
	case "cell-history": // next to nothing is kept
		all["group/put"] = group.Handlers(1)["group/put"]
	case "cell-keep": // whoever asks is given the holder's fence
		claim := all["lock/claim"]
		all["lock/claim"] = func(t proposer.Context, state, args json.RawMessage) operation.Result {
			var l lock.Lock
			var a lock.Args
			if operation.Decode(state, args, &l, &a) == nil && l.Holder != "" && a.Keep {
				a.Holder = l.Holder
			}
			return claim(t, state, operation.Encode(a))
		}
	case "history": // only the newest change is kept
		write := all["key/write"]
		all["key/write"] = func(t proposer.Context, state, args json.RawMessage) operation.Result {
			e := write(t, state, args)
			var k key.Key
			if e.State != nil && json.Unmarshal(e.State, &k) == nil && len(k.Past) > 1 {
				k.Past = k.Past[len(k.Past)-1:]
				e.State = operation.Encode(k)
			}
			return e
		}
	}
	return all
}
