// Package lock is the state machine of locks: each is leased to one holder at a time, with a
// rising fencing token.
package lock

import (
	"encoding/json"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/register/proposer"
)

// The kinds of operations on a lock.
const (
	AcquireKind  = "lock/claim"
	RenewKind    = "lock/renew"
	ReleaseKind  = "lock/release"
	TransferKind = "lock/pass"
	ReadKind     = "lock/read"
)

// heldRetrySeconds is when to retry an acquire that found the lock held.
const heldRetrySeconds = 1

// Args are the arguments of every operation.
type Args struct {
	Holder       string `json:"holder"`
	FencingToken uint64 `json:"fence,omitempty"`
	// TTL is the duration of the lease in milliseconds.
	TTL int64 `json:"ttlMs,omitempty"`
	// Successor is the holder that a transfer names.
	Successor string `json:"to,omitempty"`
	// KeepToken asks an acquire for the same fencing token if the caller holds the lock already.
	KeepToken bool `json:"keep,omitempty"`
	// GrantNumber, when set, restricts a release to that grant.
	GrantNumber uint64 `json:"grant,omitempty"`
}

// Grant is the response to every operation.
type Grant struct {
	Holder       string `json:"holder"`
	FencingToken uint64 `json:"fence"`
	// TTL is the duration of the lease in milliseconds.
	TTL  int64 `json:"ttlMs"`
	Held bool  `json:"held"`
	// Number is the number of the newest grant; only a read returns it.
	Number uint64 `json:"grant,omitempty"`
}

// Handlers returns the operations of a lock.
func Handlers() operation.Table {
	return operation.Table{AcquireKind: acquire, RenewKind: renew, ReleaseKind: release, TransferKind: transfer, ReadKind: read}
}

// acquire grants the lock if it is free or held by the caller itself.
func acquire(context proposer.Context, rawState, rawArgs json.RawMessage) operation.Result {
	current, args, err := operation.DecodeAs[State, Args](rawState, rawArgs)
	if err != nil {
		return operation.Rejected(err)
	}
	if args.Holder == "" || !validTTL(args.TTL) {
		return operation.Rejected(failure.New(failure.Invalid, "acquiring a lock needs a holder and ttlMs from %d to %d", minTTL, maxTTL))
	}
	free := current.isFree(context)
	if !free && current.Holder != args.Holder {
		err := failure.New(failure.LockHeld, "held by %q", current.Holder)
		return operation.Rejected(err.WithRetryAfter(heldRetrySeconds))
	}
	current.GrantCount++
	if !free && args.KeepToken {
		current.extend(context, args.TTL)
		return operation.Result{State: operation.Encode(current), Body: current.encodeGrant()}
	}
	current.Holder, current.TTL, current.LongerTTL = args.Holder, args.TTL, 0
	current.FencingToken++
	context.RecordTermEvent(grantedKey)
	return operation.Result{State: operation.Encode(current), Body: current.encodeGrant()}
}

// renew starts the lease again from now on, with another TTL if one is given. Only another
// TTL changes the state, so that other renewals cost no write to a disk.
func renew(context proposer.Context, rawState, rawArgs json.RawMessage) operation.Result {
	current, args, err := decodeForHolder(rawState, rawArgs)
	if err != nil {
		return operation.Rejected(err)
	}
	if args.TTL == 0 {
		args.TTL = current.TTL
	}
	if !validTTL(args.TTL) {
		return operation.Rejected(failure.New(failure.Invalid, "renewing a lock needs ttlMs from %d to %d", minTTL, maxTTL))
	}
	if current.extend(context, args.TTL) {
		return operation.Result{State: operation.Encode(current), Body: current.encodeGrant()}
	}
	return operation.Result{Body: current.encodeGrant()}
}

// release frees the lock.
func release(_ proposer.Context, rawState, rawArgs json.RawMessage) operation.Result {
	current, args, err := decodeForHolder(rawState, rawArgs)
	if err != nil {
		return operation.Rejected(err)
	}
	if args.GrantNumber != 0 && args.GrantNumber != current.GrantCount {
		return operation.Rejected(failure.New(failure.NotHolder, "grant %d is superseded by grant %d", args.GrantNumber, current.GrantCount))
	}
	current.Holder = ""
	return operation.Result{State: operation.Encode(current), Body: current.encodeGrant()}
}

// transfer grants the lock to the successor that its holder names, for the same TTL.
func transfer(context proposer.Context, rawState, rawArgs json.RawMessage) operation.Result {
	current, args, err := decodeForHolder(rawState, rawArgs)
	if err != nil {
		return operation.Rejected(err)
	}
	if args.Successor == "" {
		return operation.Rejected(failure.New(failure.Invalid, "a transfer needs a successor"))
	}
	current.Holder, current.FencingToken, current.LongerTTL = args.Successor, current.FencingToken+1, 0
	current.GrantCount++
	context.RecordTermEvent(grantedKey)
	return operation.Result{State: operation.Encode(current), Body: current.encodeGrant()}
}

// read returns who holds the lock; the holder is empty once the lease is over.
func read(context proposer.Context, rawState, rawArgs json.RawMessage) operation.Result {
	current, _, err := operation.DecodeAs[State, Args](rawState, rawArgs)
	if err != nil {
		return operation.Rejected(err)
	}
	if current.isFree(context) {
		current.Holder, current.TTL, current.LongerTTL = "", 0, 0
	}
	return operation.Result{Body: operation.Encode(Grant{
		Holder:       current.Holder,
		FencingToken: current.FencingToken,
		TTL:          current.TTL,
		Held:         current.Holder != "",
		Number:       current.GrantCount,
	})}
}

// decodeForHolder decodes an operation that only the holder may perform, NotHolder if the
// caller is not the holder.
func decodeForHolder(rawState, rawArgs json.RawMessage) (current State, args Args, err *failure.Error) {
	current, args, err = operation.DecodeAs[State, Args](rawState, rawArgs)
	if err != nil {
		return current, args, err
	}
	if current.Holder == "" || current.Holder != args.Holder || current.FencingToken != args.FencingToken {
		return current, args, failure.New(failure.NotHolder, "%q does not hold the lock with fencing token %d", args.Holder, args.FencingToken)
	}
	return current, args, nil
}
