// Package mutant provides faulty variants of operation handlers and of a storage folder. Each variant
// violates one rule. The simulator and the model checker use the variants to show that their
// invariants detect the fault.
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

// mutation replaces the handler of one kind of operation.
type mutation struct {
	kind   string
	mutate func(original operation.Handler, all operation.Table) operation.Handler
}

// mutations holds the faulty handlers by the name of the mutant.
var mutations = map[string]mutation{
	"lock":         {lock.AcquireKind, expireLeasesAtOnce},
	"offer":        {proposal.ProposeKind, ignoreBaseRevision},
	"audit":        {segment.AppendKind, omitAuditEntries},
	"cell-twice":   {keyspace.PutKind, repeatRevisions},
	"cell-old":     {keyspace.ReadKind, readOldest},
	"cell-skip":    {keyspace.SinceKind, skipFirstEvent},
	"cell-history": {keyspace.PutKind, retainForOneNanosecond},
	"cell-keep":    {lock.AcquireKind, shareToken},
	"history":      {keyvalue.WriteKind, forgetHistory},
}

// faultyRevision is the interval of the revisions at which some mutants fail: every fifth revision.
const faultyRevision = 5

// Handlers returns the handlers of all operations, and replaces the handler that the named mutant
// breaks. Names of other mutants replace no handler. history is how long a keyspace retains its puts.
func Handlers(name string, history time.Duration) operation.Table {
	table := node.Handlers(history)
	if m, ok := mutations[name]; ok {
		table[m.kind] = m.mutate(table[m.kind], table)
	}
	return table
}

// expireLeasesAtOnce moves the clock of a lock forward by an hour, so that every lease has expired.
func expireLeasesAtOnce(acquire operation.Handler, _ operation.Table) operation.Handler {
	return func(ctx proposer.Context, state, args json.RawMessage) operation.Result {
		ctx.TermEventTimes, ctx.TermStartedAt = nil, 0
		ctx.Now = ctx.Now.Add(time.Hour)
		return acquire(ctx, state, args)
	}
}

// ignoreBaseRevision accepts a proposal whatever its base revision.
func ignoreBaseRevision(propose operation.Handler, _ operation.Table) operation.Handler {
	return func(ctx proposer.Context, state, args json.RawMessage) operation.Result {
		var decoded proposal.Args
		_ = json.Unmarshal(args, &decoded)
		decoded.BaseRevision = nil
		return propose(ctx, state, operation.Encode(decoded))
	}
}

// omitAuditEntries acknowledges every fifth revision without appending its audit entry.
func omitAuditEntries(appendEntry operation.Handler, _ operation.Table) operation.Handler {
	return func(ctx proposer.Context, state, args json.RawMessage) operation.Result {
		var decoded segment.AppendArgs
		if json.Unmarshal(args, &decoded) == nil && decoded.Entry.Revision%faultyRevision == 0 {
			return operation.Result{Body: args}
		}
		return appendEntry(ctx, state, args)
	}
}

// repeatRevisions answers the put of every fifth revision with the preceding revision.
func repeatRevisions(put operation.Handler, _ operation.Table) operation.Handler {
	return func(ctx proposer.Context, state, args json.RawMessage) operation.Result {
		result := put(ctx, state, args)
		var response keyspace.Put
		if result.State != nil && json.Unmarshal(result.Body, &response) == nil && response.Revision%faultyRevision == 0 {
			response.Revision--
			result.Body = operation.Encode(response)
		}
		return result
	}
}

// readOldest answers a read with the oldest retained put of the entry.
func readOldest(_ operation.Handler, all operation.Table) operation.Handler {
	return func(ctx proposer.Context, state, args json.RawMessage) operation.Result {
		var decoded keyspace.Args
		_ = json.Unmarshal(args, &decoded)
		result := all[keyspace.SinceKind](ctx, state, operation.Encode(keyspace.Args{After: new(ident.Revision)}))
		var changes keyspace.Changes
		_ = json.Unmarshal(result.Body, &changes)
		for _, put := range changes.Events {
			if put.Name == decoded.Name {
				return operation.Result{Body: operation.Encode(put), Decoded: result.Decoded}
			}
		}
		return operation.Result{Failure: failure.New(failure.NotFound, "none"), Decoded: result.Decoded}
	}
}

// skipFirstEvent omits the first put from the response to a watch if there are several puts.
func skipFirstEvent(since operation.Handler, _ operation.Table) operation.Handler {
	return func(ctx proposer.Context, state, args json.RawMessage) operation.Result {
		result := since(ctx, state, args)
		var changes keyspace.Changes
		if json.Unmarshal(result.Body, &changes) == nil && len(changes.Events) > 1 {
			changes.Events = changes.Events[1:]
			result.Body = operation.Encode(changes)
		}
		return result
	}
}

// retainForOneNanosecond retains the puts of a keyspace for one nanosecond.
func retainForOneNanosecond(operation.Handler, operation.Table) operation.Handler {
	return keyspace.Handlers(1)[keyspace.PutKind]
}

// shareToken grants a held lock, with the fencing token of the holder, to any client that acquires the
// lock and keeps its fencing token.
func shareToken(acquire operation.Handler, _ operation.Table) operation.Handler {
	return func(ctx proposer.Context, state, args json.RawMessage) operation.Result {
		var held lock.State
		var decoded lock.Args
		if operation.Decode(state, args, &held, &decoded) == nil && held.Holder != "" && decoded.KeepToken {
			decoded.Holder = held.Holder
		}
		return acquire(ctx, state, operation.Encode(decoded))
	}
}

// forgetHistory retains only the newest change of a key.
func forgetHistory(write operation.Handler, _ operation.Table) operation.Handler {
	return func(ctx proposer.Context, state, args json.RawMessage) operation.Result {
		result := write(ctx, state, args)
		var value keyvalue.State
		if result.State != nil && json.Unmarshal(result.State, &value) == nil && len(value.History) > 1 {
			value.History = value.History[len(value.History)-1:]
			result.State = operation.Encode(value)
		}
		return result
	}
}
