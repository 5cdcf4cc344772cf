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
	// singletonRoleKey is the key of the lock that grants the singleton role. The core that holds
	// the lock runs anti-entropy passes, reconciles rollouts and extends the audit log. A holder
	// that leaves transfers the lock to its successor. If the holder fails, the lock's lease
	// expires and another core acquires the lock.
	singletonRoleKey ident.Key = "lock/cottonarch.duty.sweep"
	// singletonRoleTTLMs is the lease duration of the singleton role's lock in milliseconds. The
	// holder renews the lease every singletonRoleRenewInterval.
	singletonRoleTTLMs         = 3000
	singletonRoleRenewInterval = time.Second
	// rolloutReadInterval is the interval at which the holder reads the rollouts while a rollout is
	// known to be active. idleRolloutReadInterval is the interval otherwise; the reads are needed
	// because the announcement of a new rollout may be lost.
	rolloutReadInterval     = 500 * time.Millisecond
	idleRolloutReadInterval = 2500 * time.Millisecond
	// auditReadInterval is the minimum time between two reads of the audit log.
	auditReadInterval = time.Second
	// antiEntropyInterval is the time between the starts of two anti-entropy passes.
	antiEntropyInterval = 5 * time.Second
	// singletonReadBudget is the time limit of the holder's reads of the rollouts and the audit
	// log.
	singletonReadBudget = time.Second
)

// singletonRole tracks whether this core holds the singleton role.
type singletonRole struct {
	held      bool
	token     uint64 // the fencing token of the lock
	renewedAt monotime.Time
}

// tickSingletonRole acquires or renews the singleton role, and performs the role's tasks while this
// core holds the role.
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
	// Each condition checks again whether this core holds the role, because the previous task may
	// have lost the role.
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

// renewSingletonRole renews the role's lock if this core holds the role, and tries to acquire the
// lock otherwise. A renewal does not write to any disk.
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

// transferSingletonRole transfers the role's lock to the next holder, if this core holds the role.
func (n *Node) transferSingletonRole(now monotime.Time, disks []ident.Disk, fx *Effects) {
	if !n.singletonRole.held {
		return
	}
	if next, _ := placement.Proposer(singletonRoleKey, disks); next != "" {
		args := operation.Encode(lock.Args{Holder: string(n.Disk), FencingToken: n.singletonRole.token, Successor: string(next)})
		n.submitInternal(now, proposer.Operation{Key: singletonRoleKey, Kind: lock.TransferKind, Args: args}, fx, ignoreResult)
	}
	n.singletonRole.held = false
}

// singletonRoleHeldElsewhere reports whether another live core announces that it holds the role.
func (n *Node) singletonRoleHeldElsewhere(now monotime.Time) bool {
	for _, p := range n.peers {
		if p.heartbeat.HoldsSingletonRole && !p.heartbeat.Leaving && p.live(now) {
			return true
		}
	}
	return false
}
