package node

import (
	"time"

	"cottonarch.example/cottonarch/control/core/message"
	"cottonarch.example/cottonarch/control/register/quorumread"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/monotime"
)

type reading struct {
	ticket uint64
	all    bool
	// buckets, when set, has digests compared first.
	buckets int
	*quorumread.Reader
	until monotime.Time
	done  func(monotime.Time, *quorumread.Reader, *Effects)
}

// QuorumRead reads all records below a prefix from a majority.
func (n *Node) QuorumRead(now monotime.Time, ticket uint64, prefix string, values bool, budget time.Duration) (fx Effects) {
	n.quorumRead(now, &reading{ticket: ticket, until: n.timeUntil(now, budget)}, prefix, values, "", &fx)
	return fx
}

func (n *Node) quorumRead(now monotime.Time, r *reading, prefix string, values bool, skip ident.Disk, fx *Effects) {
	turn := n.next()
	r.Reader = quorumread.Begin(turn, n.membership.Current, prefix, values, skip)
	r.Reader.All, r.Reader.Buckets = r.all, r.buckets
	n.reads[turn] = r
	n.scan(r.Tick(now), fx)
}

func (n *Node) scan(sends []quorumread.Send, fx *Effects) {
	for _, s := range sends {
		scan := s.Scan
		n.send(s.To, message.Message{Scan: &scan}, fx)
	}
}

func (n *Node) onScan(_ monotime.Time, m message.Message, fx *Effects) bool {
	if m.Scan == nil {
		return false
	}
	if n.broken || !n.membership.Current.Counts(n.Disk) {
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
	if m.From == n.boot.Addr && n.copySynced(*m.ScanResponse) {
		return true
	}
	rd := n.reads[m.ScanResponse.Round]
	if rd == nil {
		return true
	}
	sends, done := rd.Step(now, *m.ScanResponse)
	n.scan(sends, fx)
	if !done {
		return true
	}
	delete(n.reads, rd.Round)
	if rd.done != nil {
		rd.done(now, rd.Reader, fx)
		return true
	}
	fx.Ends = append(fx.Ends, End{Ticket: rd.ticket, Found: rd.Found()})
	return true
}
