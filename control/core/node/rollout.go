package node

import (
	"encoding/json"
	"time"

	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/register/quorumread"
	"cottonarch.example/cottonarch/control/rollout/reconcile"
	rollout "cottonarch.example/cottonarch/control/rollout/state"
)

// rolloutActiveFor is the time since a rollout was last known to be active during which the cores
// exchange call outcomes. The outcomes determine whether the rollout proceeds.
const rolloutActiveFor = 3 * time.Second

// rolloutState holds a core's knowledge of rollouts.
type rolloutState struct {
	reconciler *reconcile.Reconciler
	readAt     monotime.Time
	// seenAt is the time at which a rollout was last known to be active.
	seenAt monotime.Time
}

// RolloutActive reports whether a rollout was known to be active within the last rolloutActiveFor.
func (n *Node) RolloutActive(now monotime.Time) bool {
	return n.rollouts.seenAt != 0 && now.Since(n.rollouts.seenAt) < rolloutActiveFor
}

// rolloutReadDue reports whether the holder of the singleton role should read the rollouts now.
func (n *Node) rolloutReadDue(now monotime.Time) bool {
	since := now.Since(n.rollouts.readAt)
	return since >= idleRolloutReadInterval || n.RolloutActive(now) && since >= rolloutReadInterval
}

// reconcileRollouts submits the next operation of each rollout for which an operation is due.
func (n *Node) reconcileRollouts(now monotime.Time, reader *quorumread.Reader, fx *Effects) {
	if reader == nil {
		return
	}
	found := reader.Entries()
	for _, k := range sortedKeys(found) {
		var current rollout.Rollout
		if state := operation.State(found[k].Record.Value); !found[k].Agreed || len(state) == 0 || json.Unmarshal(state, &current) != nil {
			continue
		}
		if current.Phase == rollout.Running || current.Phase == rollout.RollingBack {
			n.rollouts.seenAt = now
		}
		if op, due := n.rollouts.reconciler.Next(now, current, n.Leases.Config(), n.Leases.AttemptCounts); due {
			n.submitInternal(now, op, fx, ignoreResult)
		}
	}
}
