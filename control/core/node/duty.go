package node

import (
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/coordination/lock"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/register/placement"
	"cottonarch.example/cottonarch/control/register/proposer"
	rollout "cottonarch.example/cottonarch/control/rollout/state"
)

const (
	// dutyKey is the lock of the duty: its holder runs anti-entropy, the roll-outs and the audit
	// log. A holder that leaves names its successor; if it fails, its lease expires and another
	// core takes the lock.
	dutyKey ident.Key = "lock/cottonarch.duty.sweep"
	// dutyLeaseTTLMs is the lease of that lock in milliseconds, renewed each dutyRenewInterval.
	dutyLeaseTTLMs    = 3000
	dutyRenewInterval = time.Second
	// rolloutReadInterval is how often the holder reads the roll-outs while one is known to
	// run, and idleRolloutReadInterval how often otherwise: the news of a new one may be lost.
	rolloutReadInterval     = 500 * time.Millisecond
	idleRolloutReadInterval = 2500 * time.Millisecond
	// auditReadInterval is the least time between two reads of the audit log.
	auditReadInterval = time.Second
	// antiEntropyInterval is the time between two anti-entropy passes.
	antiEntropyInterval = 5 * time.Second
	// dutyReadBudget is how long a read of the holder may take.
	dutyReadBudget = time.Second
)

// dutyState is this core's hold on the duty.
type dutyState struct {
	held      bool
	token     uint64 // the fencing token of the lock
	renewedAt monotime.Time
}

// tickDuty acquires or renews the duty, and does its work while this core holds it.
func (n *Node) tickDuty(now monotime.Time, fx *Effects) {
	if !n.duty.held {
		n.antiEntropy.result = AntiEntropyPass{}
	}
	if !n.IsVoter() || n.leaving || !n.HasMajority(now) {
		n.duty.held, n.antiEntropy.result = false, AntiEntropyPass{}
		return
	}
	if now.Since(n.duty.renewedAt) >= dutyRenewInterval && (n.duty.held || !n.dutyHeldElsewhere(now)) {
		n.renewDuty(now, fx)
	}
	// Each of these looks again whether the duty is held: the one before may have lost it.
	if n.duty.held && n.rolloutReadDue(now) {
		n.rollouts.readAt = now
		n.startRead(now, &pendingRead{deadline: now.Add(dutyReadBudget), onDone: n.reconcileRollouts}, rollout.Prefix, true, "", fx)
	}
	if n.duty.held && n.ConfigRevision > n.audit.revision && now.Since(n.audit.readAt) >= auditReadInterval {
		n.audit.readAt = now
		n.startRead(now, &pendingRead{deadline: now.Add(dutyReadBudget), onDone: n.extendAudit}, n.auditPrefix(), true, "", fx)
	}
	if n.duty.held && now.Since(n.antiEntropy.startedAt) >= antiEntropyInterval {
		n.antiEntropy.startedAt = now
		n.AntiEntropyPasses++
		n.startCompare(now, true, "", fx, n.repairLagging)
		n.reclaimShares(now, fx)
	}
}

// renewDuty renews the lock of the duty if this core holds it, which writes to no disk, and
// tries to acquire it otherwise.
func (n *Node) renewDuty(now monotime.Time, fx *Effects) {
	n.duty.renewedAt = now
	op := proposer.Operation{Key: dutyKey, Kind: lock.AcquireKind, Args: operation.Encode(lock.Args{Holder: string(n.Disk), TTL: dutyLeaseTTLMs})}
	if n.duty.held {
		op.Kind, op.Args = lock.RenewKind, operation.Encode(lock.Args{Holder: string(n.Disk), FencingToken: n.duty.token})
	}
	n.submitInternal(now, op, fx, func(_ monotime.Time, result Result, _ *Effects) {
		var grant lock.Grant
		n.duty.held = result.Failure == nil && operation.Decode(nil, result.Body, nil, &grant) == nil && grant.Holder == string(n.Disk)
		n.duty.token = grant.FencingToken
	})
}

// passDuty passes the lock of the duty to its next holder, if this core holds it.
func (n *Node) passDuty(now monotime.Time, disks []ident.Disk, fx *Effects) {
	if !n.duty.held {
		return
	}
	if next, _ := placement.Proposer(dutyKey, disks); next != "" {
		args := operation.Encode(lock.Args{Holder: string(n.Disk), FencingToken: n.duty.token, Successor: string(next)})
		n.submitInternal(now, proposer.Operation{Key: dutyKey, Kind: lock.TransferKind, Args: args}, fx, ignoreResult)
	}
	n.duty.held = false
}

// dutyHeldElsewhere reports whether another live core says that it holds the duty.
func (n *Node) dutyHeldElsewhere(now monotime.Time) bool {
	for _, p := range n.peers {
		if p.heartbeat.HoldsDuty && !p.heartbeat.Leaving && p.live(now) {
			return true
		}
	}
	return false
}
