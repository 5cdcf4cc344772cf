// Package lock implements the state machine of locks. A lock is leased to one holder at a time,
// under a fencing token that increases with each new grant.
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

// heldRetrySeconds is the retry delay, in seconds, returned when an acquire finds the lock held.
const heldRetrySeconds = 1

// Args holds the arguments of all lock operations; each operation uses a subset of the fields.
type Args struct {
	Holder       string `json:"holder"`
	FencingToken uint64 `json:"fence,omitempty"`
	// TTL is the duration of the lease in milliseconds.
	TTL int64 `json:"ttlMs,omitempty"`
	// Successor is the new holder that a transfer grants the lock to.
	Successor string `json:"to,omitempty"`
	// KeepToken makes an acquire keep the fencing token if the caller already holds the lock.
	KeepToken bool `json:"keep,omitempty"`
	// GrantNumber, if not 0, restricts a release to the grant with this number.
	GrantNumber uint64 `json:"grant,omitempty"`
}

// Grant is the response to all lock operations.
type Grant struct {
	Holder       string `json:"holder"`
	FencingToken uint64 `json:"fence"`
	// TTL is the duration of the lease in milliseconds.
	TTL  int64 `json:"ttlMs"`
	Held bool  `json:"held"`
	// Number is the number of the newest grant. Only a read returns Number.
	Number uint64 `json:"grant,omitempty"`
}

// Handlers returns the handlers of the lock operations.
func Handlers() operation.Table {
	return operation.Table{AcquireKind: acquire, RenewKind: renew, ReleaseKind: release, TransferKind: transfer, ReadKind: read}
}

// acquire grants the lock if the lock is free or the caller already holds it.
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
		err := failure.New(failure.LockHeld, "the lock is held by %q", current.Holder)
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

// renew restarts the lease at the current time, with a new TTL if the arguments give a TTL. The
// state changes only when the TTL changes, so that an ordinary renewal needs no disk write.
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

// release frees the lock. A release that names a superseded grant is rejected with NotHolder.
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

// transfer grants the lock to the successor that the current holder names, with the same TTL.
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

// read returns the current grant. The holder is empty once the lease has expired.
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

// decodeForHolder decodes the state and the arguments of an operation that only the holder may
// perform. It returns NotHolder if the holder or the fencing token in the arguments is not current.
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
