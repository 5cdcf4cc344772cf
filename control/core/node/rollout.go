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

// rolloutActiveFor is how long after the last sign of a roll-out the cores exchange the
// outcomes of the calls that it is judged by.
const rolloutActiveFor = 3 * time.Second

// rolloutState is what a core knows of roll-outs.
type rolloutState struct {
	reconciler *reconcile.Reconciler
	readAt     monotime.Time
	// seenAt is when a roll-out was last known to run.
	seenAt monotime.Time
}

// RolloutActive reports whether a roll-out is known to run.
func (n *Node) RolloutActive(now monotime.Time) bool {
	return n.rollouts.seenAt != 0 && now.Since(n.rollouts.seenAt) < rolloutActiveFor
}

// rolloutReadDue reports whether the holder of the singleton role is to read the roll-outs.
func (n *Node) rolloutReadDue(now monotime.Time) bool {
	since := now.Since(n.rollouts.readAt)
	return since >= idleRolloutReadInterval || n.RolloutActive(now) && since >= rolloutReadInterval
}

// reconcileRollouts starts the next operation of every roll-out that has one due.
func (n *Node) reconcileRollouts(now monotime.Time, reader *quorumread.Reader, fx *Effects) {
	if reader == nil {
		return
	}
	found := reader.Entries()
	for _, k := range sortedKeys(found) {
		var r rollout.Rollout
		if state := operation.State(found[k].Record.Value); !found[k].Agreed || len(state) == 0 || json.Unmarshal(state, &r) != nil {
			continue
		}
		if r.Phase == rollout.Running || r.Phase == rollout.RollingBack {
			n.rollouts.seenAt = now
		}
		if op, due := n.rollouts.reconciler.Next(now, r, n.Leases.Config(), n.Leases.AttemptCounts); due {
			n.submitInternal(now, op, fx, ignoreResult)
		}
	}
}
