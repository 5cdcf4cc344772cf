package node

import (
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/core/message"
	"cottonarch.example/cottonarch/control/register/quorumread"
)

type pendingRead struct {
	ticket     uint64
	everyVoter bool
	// buckets, when set, has digests compared first.
	buckets int
	*quorumread.Reader
	deadline monotime.Time
	onDone   func(monotime.Time, *quorumread.Reader, *Effects)
}

// QuorumRead reads all records below a prefix from a majority.
func (n *Node) QuorumRead(now monotime.Time, ticket uint64, prefix string, values bool, budget time.Duration) (fx Effects) {
	n.startRead(now, &pendingRead{ticket: ticket, deadline: n.deadlineFor(now, budget)}, prefix, values, "", &fx)
	return fx
}

func (n *Node) startRead(now monotime.Time, r *pendingRead, prefix string, values bool, excluded ident.Disk, fx *Effects) {
	round := n.nextNumber()
	r.Reader = quorumread.New(round, n.membership.Current, prefix, values, excluded)
	r.Reader.WaitForAll, r.Reader.Buckets = r.everyVoter, r.buckets
	n.reads[round] = r
	n.sendScans(r.Tick(now), fx)
}

func (n *Node) sendScans(sends []quorumread.Send, fx *Effects) {
	for _, s := range sends {
		scan := s.Scan
		n.sendToVoter(s.To, message.Message{Scan: &scan}, fx)
	}
}

func (n *Node) onScan(_ monotime.Time, m message.Message, fx *Effects) bool {
	if m.Scan == nil {
		return false
	}
	if n.diskFailed || !n.membership.Current.Counts(n.Disk) {
		return true
	}
	if r, ok := n.acceptor.Scan(n.membership.Current.Epoch, *m.Scan); ok {
		fx.Sends = append(fx.Sends, Send{m.From, message.Message{ScanResponse: &r}})
	}
	return true
}

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
