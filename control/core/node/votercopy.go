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
	// copyBudget is how long a new voter's read of all records may take.
	copyBudget = time.Minute
	// copySyncTimeout is how long a copy may take to be synced before it is begun again.
	copySyncTimeout = 2 * time.Second
)

// voterCopy is a new voter's copy of the control state, which it needs before it is counted.
type voterCopy struct {
	inProgress bool
	// epoch is that of the membership whose records were copied and synced.
	epoch ident.MembershipEpoch
	// syncRound numbers the notice that the copy is synced, 0 if none is awaited.
	syncRound uint64
	writtenAt monotime.Time
}

// due reports whether a copy is to be begun: none is in progress, or the last was not synced
// in time.
func (c *voterCopy) due(now monotime.Time) bool {
	return !c.inProgress || c.syncRound != 0 && now.Since(c.writtenAt) > copySyncTimeout
}

// beginCopy reads every record from a majority of the counted voters.
func (n *Node) beginCopy(now monotime.Time, epoch ident.MembershipEpoch, fx *Effects) {
	n.voterCopy.inProgress = true
	n.startRead(now, &pendingRead{deadline: now.Add(copyBudget), onDone: n.storeCopies(epoch)}, "", true, n.Disk, fx)
}

// storeCopies writes every record that a majority of the counted voters of a membership held.
// The copy is complete only once it is synced: this core sends itself a notice of that, which
// SplitDurable holds back until then. A disk that counted sooner and then lost power would
// count without the values that it is counted for.
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

// copySynced takes the notice that the copy is synced; it returns false for other responses.
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
