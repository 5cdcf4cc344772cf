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
	// singletonRoleKey is the lock of the singleton role: the one core that holds it runs
	// anti-entropy, the roll-outs and the audit log. A holder that leaves names its successor; if
	// it fails, its lease expires and another core takes the lock.
	singletonRoleKey ident.Key = "lock/cottonarch.duty.sweep"
	// singletonRoleTTLMs is the lease of that lock in milliseconds, renewed each
	// singletonRoleRenewInterval.
	singletonRoleTTLMs         = 3000
	singletonRoleRenewInterval = time.Second
	// rolloutReadInterval is how often the holder reads the roll-outs while one is known to
	// run, and idleRolloutReadInterval how often otherwise: the news of a new one may be lost.
	rolloutReadInterval     = 500 * time.Millisecond
	idleRolloutReadInterval = 2500 * time.Millisecond
	// auditReadInterval is the least time between two reads of the audit log.
	auditReadInterval = time.Second
	// antiEntropyInterval is the time between two anti-entropy passes.
	antiEntropyInterval = 5 * time.Second
	// singletonReadBudget is how long a read of the holder may take.
	singletonReadBudget = time.Second
)

// singletonRole is this core's hold on the singleton role.
type singletonRole struct {
	held      bool
	token     uint64 // the fencing token of the lock
	renewedAt monotime.Time
}

// tickSingletonRole acquires or renews the singleton role, and does its work while this core holds
// it.
func (n *Node) tickSingletonRole(now monotime.Time, fx *Effects) {
	if !n.singletonRole.held {
		n.antiEntropy.result = AntiEntropyPass{}
	}
	if !n.IsVoter() || n.leaving || !n.HasMajority(now) {
		n.singletonRole.held, n.antiEntropy.result = false, AntiEntropyPass{}
		return
	}
	renewalDue := now.Since(n.singletonRole.renewedAt) >= singletonRoleRenewInterval
	if renewalDue && (n.singletonRole.held || !n.singletonRoleHeldElsewhere(now)) {
		n.renewSingletonRole(now, fx)
	}
	// Each of these checks again whether the role is held: the one before may have lost it.
	if n.singletonRole.held && n.rolloutReadDue(now) {
		n.rollouts.readAt = now
		n.startRead(now, &pendingRead{deadline: now.Add(singletonReadBudget), onDone: n.reconcileRollouts}, rollout.Prefix, true, "", fx)
	}
	if n.singletonRole.held && n.ConfigRevision > n.audit.revision && now.Since(n.audit.readAt) >= auditReadInterval {
		n.audit.readAt = now
		n.startRead(now, &pendingRead{deadline: now.Add(singletonReadBudget), onDone: n.extendAudit}, n.auditPrefix(), true, "", fx)
	}
	if n.singletonRole.held && now.Since(n.antiEntropy.startedAt) >= antiEntropyInterval {
		n.antiEntropy.startedAt = now
		n.AntiEntropyPasses++
		n.startCompare(now, true, "", fx, n.repairLagging)
		n.reclaimShares(now, fx)
	}
}

// renewSingletonRole renews the lock of the role if this core holds it, which writes to no disk, and
// tries to acquire it otherwise.
func (n *Node) renewSingletonRole(now monotime.Time, fx *Effects) {
	n.singletonRole.renewedAt = now
	args := lock.Args{Holder: string(n.Disk), TTL: singletonRoleTTLMs}
	op := proposer.Operation{Key: singletonRoleKey, Kind: lock.AcquireKind}
	if n.singletonRole.held {
		args = lock.Args{Holder: string(n.Disk), FencingToken: n.singletonRole.token}
		op.Kind = lock.RenewKind
	}
	op.Args = operation.Encode(args)
	n.submitInternal(now, op, fx, func(_ monotime.Time, result Result, _ *Effects) {
		var grant lock.Grant
		granted := result.Failure == nil && operation.Decode(nil, result.Body, nil, &grant) == nil
		n.singletonRole.held = granted && grant.Holder == string(n.Disk)
		n.singletonRole.token = grant.FencingToken
	})
}

// passSingletonRole transfers the lock of the role to its next holder, if this core holds it.
func (n *Node) passSingletonRole(now monotime.Time, disks []ident.Disk, fx *Effects) {
	if !n.singletonRole.held {
		return
	}
	if next, _ := placement.Proposer(singletonRoleKey, disks); next != "" {
		args := operation.Encode(lock.Args{Holder: string(n.Disk), FencingToken: n.singletonRole.token, Successor: string(next)})
		n.submitInternal(now, proposer.Operation{Key: singletonRoleKey, Kind: lock.TransferKind, Args: args}, fx, ignoreResult)
	}
	n.singletonRole.held = false
}

// singletonRoleHeldElsewhere reports whether another live core reports to hold the role.
func (n *Node) singletonRoleHeldElsewhere(now monotime.Time) bool {
	for _, p := range n.peers {
		if p.heartbeat.HoldsSingletonRole && !p.heartbeat.Leaving && p.live(now) {
			return true
		}
	}
	return false
}
