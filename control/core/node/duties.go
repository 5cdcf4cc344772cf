package node

import (
	"encoding/json"
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/audit/segment"
	"cottonarch.example/cottonarch/control/config/proposal"
	"cottonarch.example/cottonarch/control/coordination/lock"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/control/register/quorumread"
	rollout "cottonarch.example/cottonarch/control/rollout/state"
)

// dutyKey is the claim on the anti-entropy duty. Its holder names a successor when it
// leaves; when it cannot, the claim ends and a majority gives it to another.
const dutyKey ident.Key = "lock/cottonarch.duty.sweep"

// rollEvery is how often the duty's holder looks at the roll-outs while one is known to
// run, and idleRoll how often else: the word of a new one may be lost.
const (
	rolloutReadInterval     = 500 * time.Millisecond
	idleRolloutReadInterval = 2500 * time.Millisecond
)

// submitInternal runs an operation of the core's own.
func (n *Node) submitInternal(now monotime.Time, op proposer.Operation, fx *Effects, onDone func(monotime.Time, Result, *Effects)) {
	n.begin(now, &pending{operation: op, deadline: now.Add(2 * time.Second), onDone: onDone}, fx)
}

// runDuties claims the anti-entropy duty and does it while it is held.
func (n *Node) runDuties(now monotime.Time, fx *Effects) {
	if !n.holdsDuty {
		n.passResult = AntiEntropyPass{}
	}
	if !n.IsVoter() || n.leaving || !n.HasMajority(now) {
		n.holdsDuty, n.passResult = false, AntiEntropyPass{}
		return
	}
	if now.Since(n.dutyRenewedAt) >= dutyRenewInterval && (n.holdsDuty || !n.dutyHeldElsewhere(now)) {
		n.dutyRenewedAt = now
		op := proposer.Operation{Key: dutyKey, Kind: "lock/claim", Args: operation.Encode(lock.Args{Holder: string(n.Disk), TTL: dutyLeaseTTLMs})}
		if n.holdsDuty { // costs no disk
			op.Kind, op.Args = "lock/renew", operation.Encode(lock.Args{Holder: string(n.Disk), FencingToken: n.dutyFence})
		}
		n.submitInternal(now, op, fx, func(_ monotime.Time, result Result, _ *Effects) {
			var grant lock.Grant
			n.holdsDuty = result.Failure == nil && operation.Decode(nil, result.Body, nil, &grant) == nil && grant.Holder == string(n.Disk)
			n.dutyFence = grant.FencingToken
		})
	}
	if n.holdsDuty && (now.Since(n.rolloutsReadAt) >= idleRolloutReadInterval || n.RolloutActive(now) && now.Since(n.rolloutsReadAt) >= rolloutReadInterval) {
		n.rolloutsReadAt = now
		n.startRead(now, &pendingRead{deadline: now.Add(time.Second), onDone: n.reconcileRollouts}, rollout.Prefix, true, "", fx)
	}
	if n.holdsDuty && n.ConfigRevision > n.auditedRevision && now.Since(n.auditReadAt) >= time.Second {
		n.auditReadAt = now
		n.startRead(now, &pendingRead{deadline: now.Add(time.Second), onDone: n.extendAudit}, n.auditPrefix(), true, "", fx)
	}
	if n.holdsDuty && now.Since(n.lastPassAt) >= antiEntropyInterval {
		n.lastPassAt = now
		n.AntiEntropyPasses++
		n.startRead(now, &pendingRead{deadline: now.Add(time.Second), everyVoter: true, buckets: bucketCount(n.RecordCount()), onDone: n.repairLagging}, "", false, "", fx)
		n.reclaimShares(now, fx)
	}
}

// dutyHeldElsewhere tells whether another core that lives says that it holds the duty.
func (n *Node) dutyHeldElsewhere(now monotime.Time) bool {
	for _, p := range n.peers {
		if p.heartbeat.HoldsDuty && !p.heartbeat.Leaving && p.live(now) {
			return true
		}
	}
	return false
}

// reconcileRollouts carries every roll-out one operation further.
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
			n.rolloutSeenAt = now
		}
		if op, due := n.reconciler.Next(now, r, n.Leases.Config(), n.Leases.AttemptCounts); due {
			n.submitInternal(now, op, fx, func(monotime.Time, Result, *Effects) {})
		}
	}
}

// auditPrefix is where the next leaf of the audit log belongs, as far as this core knows;
// without any knowledge it is the whole log. What stands before is not read again.
func (n *Node) auditPrefix() string {
	if n.auditLength == 0 {
		return segment.Prefix
	}
	return string(segment.Key(n.auditLength))
}

// extendAudit adds to the audit log what the newest manifests brought.
func (n *Node) extendAudit(now monotime.Time, reader *quorumread.Reader, fx *Effects) {
	if reader == nil {
		return
	}
	logged, complete := AuditEntries(reader.Entries())
	if !complete {
		return // an append is under way, or was left on a minority: look again
	}
	from, partial := 0, reader.Prefix != segment.Prefix
	if partial {
		from = n.auditLength - n.auditLength%segment.MaxEntries
	}
	if partial && reader.Prefix != n.auditPrefix() || from+len(logged) < n.auditLength {
		return // it was read before an append that ended meanwhile
	}
	n.auditLength = from + len(logged)
	if len(logged) > 0 {
		n.auditedRevision = logged[len(logged)-1].Revision
	}
	if partial && len(logged) == segment.MaxEntries {
		return // another core may have begun the next chunk: look there first
	}
	n.submitInternal(now, proposer.Operation{Key: proposal.Key, Kind: "manifest/lines", Args: operation.Encode(proposal.AuditArgs{After: n.auditedRevision})}, fx, func(now monotime.Time, result Result, fx *Effects) {
		var entries []proposal.AuditEntry
		if result.Failure != nil || json.Unmarshal(result.Body, &entries) != nil {
			return
		}
		n.appendAudit(now, n.auditLength, n.auditedRevision, entries, fx)
	})
}

// appendAudit adds the lines after an epoch, one after the other.
func (n *Node) appendAudit(now monotime.Time, index int, audited ident.Epoch, entries []proposal.AuditEntry, fx *Effects) {
	for len(entries) > 0 && entries[0].Revision <= audited {
		entries = entries[1:]
	}
	if len(entries) == 0 {
		return
	}
	args := operation.Encode(segment.AppendArgs{Index: index, Entry: entries[0]})
	n.submitInternal(now, proposer.Operation{Key: segment.Key(index), Kind: "audit/append", Args: args}, fx, func(now monotime.Time, result Result, fx *Effects) {
		if result.Failure != nil {
			return
		}
		n.auditedRevision, n.auditLength = entries[0].Revision, index+1
		n.appendAudit(now, index+1, n.auditedRevision, entries[1:], fx)
	})
}

// AuditEntries puts the audit log together; it is not ok unless a majority agrees on all of
// it.
func AuditEntries(found map[ident.Key]quorumread.Entry) (entries []proposal.AuditEntry, complete bool) {
	for _, k := range sortedKeys(found) {
		var c segment.State
		if state := operation.State(found[k].Record.Value); len(state) > 0 && json.Unmarshal(state, &c) != nil {
			return nil, false
		}
		if !found[k].Agreed {
			return nil, false
		}
		entries = append(entries, c.Entries...)
	}
	return entries, true
}

// bucketCount is how many digests an anti-entropy pass compares for so many keys.
func bucketCount(keys int) int {
	count := 16
	for count < keys/2 && count < 1024 {
		count *= 2
	}
	return count
}

// AntiEntropyPass is what the last whole anti-entropy pass of this core found. Invariant: of Of counted disks
// Read were compared, and on one of these at least Behind keys were behind; At is 0 when
// there was none.
type AntiEntropyPass struct {
	FinishedAt         monotime.Time
	Read, CountedDisks int
	LaggingKeys        int
}

// LastPass is the last anti-entropy pass; it is nobody's once the duty is another's.
func (n *Node) LastPass() (AntiEntropyPass, bool) {
	return n.passResult, n.holdsDuty && n.passResult.FinishedAt != 0
}

// repairLagging reads every key whose copies differ; the read repairs them.
func (n *Node) repairLagging(now monotime.Time, reader *quorumread.Reader, fx *Effects) {
	if reader == nil {
		return
	}
	found := reader.Entries()
	n.passResult = AntiEntropyPass{FinishedAt: now}
	n.passResult.Read, n.passResult.CountedDisks = reader.Coverage()
	for _, k := range sortedKeys(found) {
		if len(reader.Lagging(found[k])) == 0 {
			continue
		}
		n.passResult.LaggingKeys++
		n.Repaired++
		n.submitInternal(now, proposer.Operation{Key: k, Kind: proposer.Repair}, fx, func(monotime.Time, Result, *Effects) {})
	}
}
