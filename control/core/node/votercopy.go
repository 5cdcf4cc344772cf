package node

import (
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/core/message"
	"cottonarch.example/cottonarch/control/register/quorum"
	"cottonarch.example/cottonarch/control/register/quorumread"
)

const (
	// copyBudget is the time limit of a new voter's read of all records.
	copyBudget = time.Minute
	// copySyncTimeout is the time after which a copy that is still not synced is started again.
	copySyncTimeout = 2 * time.Second
)

// voterCopy tracks a new voter's copy of the control state. The copy must be complete before the
// voter is counted.
type voterCopy struct {
	inProgress bool
	// epoch is the epoch of the membership whose records were copied and synced.
	epoch ident.MembershipEpoch
	// syncRound is the round number of the message that the copy is synced, 0 if no such message is
	// expected.
	syncRound uint64
	writtenAt monotime.Time
}

// due reports whether a copy must be started: no copy is in progress, or the last copy was not
// synced within copySyncTimeout.
func (c *voterCopy) due(now monotime.Time) bool {
	return !c.inProgress || c.syncRound != 0 && now.Since(c.writtenAt) > copySyncTimeout
}

// beginCopy starts a read of all records from a majority of the counted voters.
func (n *Node) beginCopy(now monotime.Time, epoch ident.MembershipEpoch, fx *Effects) {
	n.voterCopy.inProgress = true
	n.startRead(now, &pendingRead{deadline: now.Add(copyBudget), onDone: n.storeCopies(epoch)}, "", true, n.Disk, fx)
}

// storeCopies returns a readFunc that writes all records read from a majority of the counted
// voters. The copy is complete only once it is synced. To detect the sync, this core sends a
// message to itself, which SplitDurable delays until the records are synced. If a disk were counted
// earlier and then lost power, it would be a counted voter without the confirmed values.
func (n *Node) storeCopies(epoch ident.MembershipEpoch) readFunc {
	return func(now monotime.Time, reader *quorumread.Reader, fx *Effects) {
		if reader == nil || n.membership.Current.Epoch != epoch {
			n.voterCopy.inProgress = false
			return
		}
		found := reader.Entries()
		for _, k := range sortedKeys(found) {
			fx.Records = append(fx.Records, n.acceptor.Merge(quorum.Row{Key: k, Record: found[k].Record})...)
		}
		n.voterCopy.syncRound, n.voterCopy.writtenAt = n.nextNumber(), now
		synced := quorum.ScanResponse{Round: n.voterCopy.syncRound, Disk: n.Disk, Membership: epoch}
		fx.send(n.config.Addr, message.Message{ScanResponse: &synced})
	}
}

// copySynced processes the message that the copy is synced. It returns false for other responses.
func (n *Node) copySynced(r quorum.ScanResponse) bool {
	if r.Round != n.voterCopy.syncRound || r.Disk != n.Disk || n.voterCopy.syncRound == 0 {
		return false
	}
	n.voterCopy.syncRound = 0
	if r.Membership == n.membership.Current.Epoch {
		n.voterCopy.inProgress, n.voterCopy.epoch = false, r.Membership
	}
	return true
}
