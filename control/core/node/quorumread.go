package node

import (
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/base/ordered"
	"cottonarch.example/cottonarch/control/core/message"
	"cottonarch.example/cottonarch/control/register/quorumread"
)

// readFunc receives the reader of a finished quorum read, nil if it was not answered in time.
type readFunc func(now monotime.Time, reader *quorumread.Reader, fx *Effects)

// pendingRead is one quorum read in progress.
type pendingRead struct {
	*quorumread.Reader
	// ticket is that of the local request, if onDone is nil.
	ticket   uint64
	deadline monotime.Time
	// waitForAll has the read wait for every counted voter, not only for a majority.
	waitForAll bool
	// buckets, when set, is the number of buckets whose digests are compared first.
	buckets int
	onDone  readFunc
}

// QuorumRead reads all records below a prefix from a majority of the voters.
func (n *Node) QuorumRead(now monotime.Time, ticket uint64, prefix string, values bool, budget time.Duration) (fx Effects) {
	n.startRead(now, &pendingRead{ticket: ticket, deadline: n.deadlineFor(now, budget)}, prefix, values, "", &fx)
	return fx
}

// startRead begins a quorum read of the records below a prefix, with or without their values.
// The responses of the excluded disk do not count.
func (n *Node) startRead(now monotime.Time, r *pendingRead, prefix string, values bool, excluded ident.Disk, fx *Effects) {
	round := n.nextNumber()
	r.Reader = quorumread.New(round, n.membership.Current, prefix, values, excluded)
	r.Reader.WaitForAll, r.Reader.Buckets = r.waitForAll, r.buckets
	n.reads[round] = r
	n.sendScans(r.Tick(now), fx)
}

// startCompare begins a quorum read that compares the copies of all keys, by digests first and
// without their values.
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

// onScan answers one page of a quorum read, if this disk counts.
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

// onScanResponse takes one page of a quorum read, or this core's own notice that its copy is
// synced.
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

// tickReads repeats the scans that were not answered, and ends the reads whose time is over.
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

// restartReads begins the reads of local requests again under a new membership, and drops the
// core's own, which are repeated anyway.
func (n *Node) restartReads(now monotime.Time, fx *Effects) {
	for _, round := range n.readRounds() {
		read := n.reads[round]
		delete(n.reads, round)
		if read.onDone == nil && read.deadline.After(now) {
			n.startRead(now, &pendingRead{ticket: read.ticket, deadline: read.deadline}, read.Prefix, read.Values, read.Excluded, fx)
		}
	}
}

// readRounds lists the rounds of the reads in progress in order.
func (n *Node) readRounds() []uint64 {
	return ordered.Keys(n.reads)
}

func sortedKeys(found map[ident.Key]quorumread.Entry) []ident.Key {
	return ordered.Keys(found)
}
