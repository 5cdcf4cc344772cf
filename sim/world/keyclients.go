package world

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/coordination/keyvalue"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/core/node"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/sim/invariant"
)

// keyOperation is the kind of an operation on a key.
type keyOperation string

const (
	readKey          keyOperation = "read"
	writeKey         keyOperation = "write"
	compareAndSetKey keyOperation = "cas"
)

// keyOperations are the operations from which clients choose at random; reads are twice as frequent
// as each of the other kinds.
var keyOperations = []keyOperation{readKey, readKey, writeKey, compareAndSetKey}

// keyInput is an operation on a key, as input of the porcupine model.
type keyInput struct {
	kind  keyOperation
	value string
	base  ident.Revision // revision that a compare-and-set requires
}

// keyOutput is the response to an operation, and also the state of the porcupine model.
type keyOutput struct {
	revision ident.Revision
	value    string
	unknown  bool // the outcome of the operation is unknown
	conflict bool // the key was not at the required revision
}

// keyModel is the sequential specification of a key.
var keyModel = porcupine.Model{
	Init: func() any { return keyOutput{} },
	Step: func(st, in, out any) (bool, any) {
		s, i, o := st.(keyOutput), in.(keyInput), out.(keyOutput)
		next := keyOutput{revision: s.revision + 1, value: i.value}
		switch {
		case i.kind == readKey && o.unknown:
			return true, s
		case i.kind == readKey:
			return o.revision == s.revision && o.value == s.value, s
		case i.kind == compareAndSetKey && o.conflict:
			return s.revision != i.base, s
		case i.kind == compareAndSetKey && s.revision != i.base:
			return o.unknown, s
		case o.unknown:
			return true, next
		}
		return o.revision == next.revision, next
	},
	Equal: func(a, b any) bool { return a == b },
}

const (
	// neverReturned is the response time that porcupine is given for an operation with an unknown
	// outcome.
	neverReturned = 1 << 60
	// linearizabilityTimeout bounds the time of the check of one key's history.
	linearizabilityTimeout = 2 * time.Second
)

// KeyClients are clients that read, write and compare-and-set keys, and record the history of each
// key.
type KeyClients struct {
	world        *World
	keyCount     int
	interval     time.Duration
	histories    map[string][]porcupine.Operation // by key
	acknowledged map[string]ident.Revision        // newest acknowledged revision, by key
	valueAt      map[string]string                // by key and revision
	writeCount   int
}

// StartKeyClients starts clients that share a number of keys; each sends an operation about once
// per interval.
func (w *World) StartKeyClients(clients, keyCount int, interval time.Duration) *KeyClients {
	u := &KeyClients{world: w, keyCount: keyCount, interval: interval, histories: map[string][]porcupine.Operation{}, acknowledged: map[string]ident.Revision{}, valueAt: map[string]string{}}
	for i := range clients {
		w.After(w.randomUpTo(interval), func() { u.operate(i) })
	}
	return u
}

// operateLater schedules the next operation of a client.
func (u *KeyClients) operateLater(client int) {
	u.world.After(u.world.jittered(u.interval), func() { u.operate(client) })
}

// operate sends one operation of a client.
func (u *KeyClients) operate(client int) {
	w := u.world
	if w.ClientsStopped {
		return
	}
	name := fmt.Sprintf("k%d", w.Rng.IntN(u.keyCount))
	u.writeCount++
	in := keyInput{kind: keyOperations[w.Rng.IntN(len(keyOperations))], value: fmt.Sprintf("v%d", u.writeCount)}
	acknowledged, began := u.acknowledged[name], w.now
	if in.kind == compareAndSetKey {
		in.base = acknowledged
	}
	w.request(in.operation(name), func(result *node.Result) {
		u.recordResult(client, name, in, began, acknowledged, result)
		u.operateLater(client)
	})
}

// operation returns the control plane's operation for the input.
func (in keyInput) operation(name string) proposer.Operation {
	op := proposer.Operation{Key: ident.Key("key/" + name), Kind: keyvalue.WriteKind}
	value, _ := json.Marshal(in.value)
	switch in.kind {
	case writeKey:
		op.Args = operation.Encode(keyvalue.Args{Value: value})
	case compareAndSetKey:
		op.Args = operation.Encode(keyvalue.Args{Value: value, IfRevision: &in.base})
	default:
		op.Kind, op.Args = keyvalue.ReadKind, operation.Encode(keyvalue.Args{})
	}
	return op
}

// recordResult checks the result of an operation and adds the operation to the key's history.
// acknowledged is the newest acknowledged revision of the key when the operation began.
func (u *KeyClients) recordResult(client int, name string, in keyInput, began monotime.Time, acknowledged ident.Revision, result *node.Result) {
	var out keyOutput
	returned := int64(u.world.now)
	switch {
	case notExecuted(result) && result.Failure.Kind == failure.Conflict:
		out.conflict = true
	case notExecuted(result):
		return // the operation had no effect and read nothing
	case result == nil || result.Failure != nil:
		if in.kind == readKey {
			return
		}
		out.unknown = true
		returned = neverReturned
	default:
		out = u.checkSuccess(name, in, acknowledged, result)
	}
	u.histories[name] = append(u.histories[name], porcupine.Operation{ClientId: client, Input: in, Call: int64(began), Output: out, Return: returned})
}

// checkSuccess checks the response to an operation that succeeded.
func (u *KeyClients) checkSuccess(name string, in keyInput, acknowledged ident.Revision, result *node.Result) keyOutput {
	w := u.world
	var response keyvalue.Response
	if json.Unmarshal(result.Body, &response) != nil {
		w.Violate(invariant.ResponseDamaged, "the response to an operation on key %s can't be decoded", name)
	}
	out := keyOutput{revision: response.Revision}
	value := in.value
	if in.kind == readKey {
		_ = json.Unmarshal(response.Value, &out.value)
		value = out.value
	}
	w.Checker.Observe(invariant.StaleRead)
	if response.Revision < acknowledged || in.kind != readKey && response.Revision <= acknowledged {
		w.Violate(invariant.StaleRead, "%s of key %s returned revision %d, but revision %d was acknowledged before", in.kind, name, response.Revision, acknowledged)
	}
	id := fmt.Sprint(name, "/", response.Revision)
	if old, ok := u.valueAt[id]; ok && old != value {
		w.Violate(invariant.SequenceRepeated, "revision %d of key %s had value %s and now has value %s", response.Revision, name, old, value)
	}
	u.valueAt[id] = value
	u.acknowledged[name] = max(u.acknowledged[name], response.Revision)
	return out
}

// CheckHistories checks that every key's history is linearizable.
func (u *KeyClients) CheckHistories() {
	for i := range u.keyCount {
		name := fmt.Sprintf("k%d", i)
		u.world.Checker.Observe(invariant.StaleRead)
		if porcupine.CheckOperationsTimeout(keyModel, u.histories[name], linearizabilityTimeout) == porcupine.Illegal {
			u.world.Violate(invariant.StaleRead, "the history of key %s (%d operations) is not linearizable", name, len(u.histories[name]))
		}
	}
}
