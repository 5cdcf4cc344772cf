package node

import (
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/base/ordered"
	"cottonarch.example/cottonarch/control/core/message"
	"cottonarch.example/cottonarch/control/register/quorumread"
)

// readFunc receives the reader of a finished quorum read, or nil if the read timed out.
type readFunc func(now monotime.Time, reader *quorumread.Reader, fx *Effects)

// pendingRead is one quorum read in progress.
type pendingRead struct {
	*quorumread.Reader
	// ticket identifies the local request if onDone is nil.
	ticket   uint64
	deadline monotime.Time
	// waitForAll makes the read wait for every counted voter instead of only a majority.
	waitForAll bool
	// buckets is the number of buckets whose digests are compared before records are read. If it is
	// 0, all records are read.
	buckets int
	onDone  readFunc
}

// QuorumRead starts a read of all records with a key prefix from a majority of the voters. The
// Result of the read carries the ticket.
func (n *Node) QuorumRead(now monotime.Time, ticket uint64, prefix string, values bool, budget time.Duration) (fx Effects) {
	n.startRead(now, &pendingRead{ticket: ticket, deadline: n.deadlineFor(now, budget)}, prefix, values, "", &fx)
	return fx
}

// startRead starts a quorum read of the records with a key prefix, with or without their values.
// Responses of the excluded disk are not counted.
func (n *Node) startRead(now monotime.Time, r *pendingRead, prefix string, values bool, excluded ident.Disk, fx *Effects) {
	round := n.nextNumber()
	r.Reader = quorumread.New(round, n.membership.Current, prefix, values, excluded)
	r.Reader.WaitForAll, r.Reader.Buckets = r.waitForAll, r.buckets
	n.reads[round] = r
	n.sendScans(r.Tick(now), fx)
}

// startCompare starts a quorum read that compares the copies of all keys without reading their
// values. Digests are compared first, so that only keys in differing buckets are read.
func (n *Node) startCompare(now monotime.Time, waitForAll bool, excluded ident.Disk, fx *Effects, onDone readFunc) {
	r := &pendingRead{deadline: now.Add(compareTimeout), waitForAll: waitForAll, buckets: bucketCount(n.RecordCount()), onDone: onDone}
	n.startRead(now, r, "", false, excluded, fx)
}

func (n *Node) sendScans(sends []quorumread.Send, fx *Effects) {
	for _, s := range sends {
		scan := s.Scan
		n.sendToVoter(s.To, message.Message{Scan: &scan}, fx)
	}
}

// onScan handles a request for one page of a quorum read. It ignores the request if this disk has
// failed or is not a counted voter.
func (n *Node) onScan(_ monotime.Time, m message.Message, fx *Effects) bool {
	if m.Scan == nil {
		return false
	}
	if n.diskFailed || !n.membership.Current.IsCounted(n.Disk) {
		return true
	}
	if response, ok := n.acceptor.Scan(n.membership.Current.Epoch, *m.Scan); ok {
		fx.send(m.From, message.Message{ScanResponse: &response})
	}
	return true
}

// onScanResponse processes one page of a quorum read, or this core's own message that its voter
// copy is synced, see storeCopies.
func (n *Node) onScanResponse(now monotime.Time, m message.Message, fx *Effects) bool {
	if m.ScanResponse == nil {
		return false
	}
	if m.From == n.config.Addr && n.copySynced(*m.ScanResponse) {
		return true
	}
	read := n.reads[m.ScanResponse.Round]
	if read == nil {
		return true
	}
	sends, done := read.Step(now, *m.ScanResponse)
	n.sendScans(sends, fx)
	if !done {
		return true
	}
	delete(n.reads, read.Round)
	if read.onDone != nil {
		read.onDone(now, read.Reader, fx)
		return true
	}
	fx.Results = append(fx.Results, Result{Ticket: read.ticket, Found: read.Entries()})
	return true
}

// tickReads resends scans that were not answered, and ends the reads whose deadlines have passed.
func (n *Node) tickReads(now monotime.Time, fx *Effects) {
	for _, round := range n.readRounds() {
		read := n.reads[round]
		if now <= read.deadline && (read.onDone != nil || !n.lostMajority(now)) {
			n.sendScans(read.Tick(now), fx)
			continue
		}
		delete(n.reads, round)
		switch {
		case read.onDone == nil:
			fx.fail(read.ticket, errNoMajority())
		case read.WaitForAll && read.HasMajority():
			read.onDone(now, read.Reader, fx)
		default:
			read.onDone(now, nil, fx)
		}
	}
}

// restartReads restarts the reads of local requests under a new membership. It drops the reads that
// the core itself started, because the core starts them again periodically.
func (n *Node) restartReads(now monotime.Time, fx *Effects) {
	for _, round := range n.readRounds() {
		read := n.reads[round]
		delete(n.reads, round)
		if read.onDone == nil && read.deadline.After(now) {
			n.startRead(now, &pendingRead{ticket: read.ticket, deadline: read.deadline}, read.Prefix, read.Values, read.Excluded, fx)
		}
	}
}

// readRounds lists the round numbers of the reads in progress in sorted order.
func (n *Node) readRounds() []uint64 {
	return ordered.Keys(n.reads)
}

func sortedKeys(found map[ident.Key]quorumread.Entry) []ident.Key {
	return ordered.Keys(found)
}
