package node

import (
	"fmt"
	"slices"
	"time"

	"cottonarch.example/cottonarch/control/core/message"
	"cottonarch.example/cottonarch/control/manifest/offer"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/monotime"
)

const (
	// wholeEvery is how often a hello says all, changed or not.
	wholeEvery = 10 * time.Second
	// wantEvery is how often a peer is asked again for what did not come.
	wantEvery = 200 * time.Millisecond
	// rollingFor is how long after the last sign of a roll-out its ends are told.
	rollingFor = 3 * time.Second
)

// hello tells the cores whose turn it is that this one lives: all of them when all is set.
func (n *Node) hello(now monotime.Time, all bool, fx *Effects) {
	for _, a := range n.peerAddrs() {
		if now.Since(n.peers[a].heard) > time.Minute {
			delete(n.peers, a)
			n.Leases.RemoveRegistrar(a)
		}
	}
	for a, at := range n.known {
		if now.Since(at) > time.Minute {
			delete(n.known, a)
		}
	}
	strange := now.Since(n.called) >= helloEvery
	if strange {
		n.called = now
	}
	var to []ident.Addr
	for _, a := range n.Cores() {
		switch p := n.peers[a]; {
		case a == n.boot.Addr:
		case all, p == nil && strange, p != nil && now.Since(p.saidAt) >= n.pace(a, p):
			to = append(to, a)
		}
	}
	if len(to) > 0 {
		n.greet(now, to, fx)
	}
}

// pace is how often a peer is told hello. Of two cores the one with the lower address
// begins, and the other's hello travels in the response; it begins itself when none came.
// Two that do not vote move no keys by their hellos: they need fewer.
func (n *Node) pace(a ident.Addr, p *peer) time.Duration {
	out := helloEvery
	if !n.membership.Current.Counts(n.Disk) && !n.membership.Current.Counts(p.hello.Disk) {
		out = helloSeldom
	}
	if n.boot.Addr > a {
		out += helloLate
	}
	return out
}

// greet says hello to some cores.
func (n *Node) greet(now monotime.Time, to []ident.Addr, fx *Effects) {
	n.no++
	n.stamped(now)
	n.Leases.StampHeartbeat(n.no)
	brief := message.Hello{Run: message.Run(n.boot.Mark), Brief: true, No: n.no, Sum: n.Leases.Sum(), At: n.membership.Current.Epoch, Manifest: n.Epoch, Duty: n.holds, Rolling: n.holds && n.Rolling(now)}
	if n.freshAsOf != 0 {
		brief.AgeMs = now.Since(n.freshAsOf).Milliseconds() + 1
	}
	if n.Rolling(now) {
		brief.Ends = n.Leases.LocalEnds()
	}
	whole := brief
	whole.Brief, whole.Mark, whole.Disk, whole.District, whole.Leaving, whole.Broken, whole.Cores, whole.Patches, whole.Echo = false, n.boot.Mark, n.Disk, n.boot.District, n.leaving, n.broken, n.Fresh(now), true, true
	if n.membership.Current.Epoch > 0 {
		r := n.membership.Current
		whole.Membership = &r
	}
	says := fmt.Sprint(whole.Disk, whole.Leaving, whole.Broken, whole.At, whole.Cores)
	for _, a := range to {
		h, p := whole, n.peers[a]
		if p != nil {
			if p.told == says && p.live(now) && now.Since(p.toldAt) < wholeEvery {
				h = brief
			} else {
				p.told, p.toldAt = says, now
			}
			p.saidAt = now
			h.Of, h.Ack = p.hello.Run, p.fits
			if p.hello.No != p.fits {
				h.Heard = p.hello.No
			}
		}
		fx.Sends = append(fx.Sends, Send{a, message.Message{Hello: &h}})
	}
}

func (n *Node) onHello(now monotime.Time, m message.Message, fx *Effects) bool {
	if m.Hello == nil {
		return false
	}
	h, p := *m.Hello, n.peers[m.From]
	if h.Brief && (p == nil || p.hello.Run != h.Run) {
		fx.Sends = append(fx.Sends, Send{m.From, message.Message{Want: &message.Want{Hello: true}}})
		return true
	}
	if p == nil {
		p = &peer{since: now}
		n.peers[m.From] = p
	}
	if p.hello.Run != h.Run {
		n.abandonCopies(now, m.From, p.hello.Mark)
		n.Leases.RemoveRegistrar(m.From)
		*p = peer{since: now}
	}
	p.heard, p.down = now, false
	if h.No < p.hello.No {
		return true // a late one says that it lives, and no more
	}
	p.hello = p.hello.Over(h)
	h = p.hello
	n.proposer.SetPatchCapable(h.Disk, h.Patches)
	// One disk is at one address: an older address of the same disk is stale.
	for _, a := range n.peerAddrs() {
		if a != m.From && n.peers[a].hello.Disk == h.Disk {
			delete(n.peers, a)
			n.Leases.RemoveRegistrar(a)
		}
	}
	if !m.Hello.Brief {
		n.Know(now, h.Cores)
		if h.Membership != nil {
			n.adopt(now, *h.Membership, fx)
		}
	}
	if h.Of == message.Run(n.boot.Mark) {
		p.acked = max(p.acked, h.Ack)
		p.echo = max(p.echo, n.sentAt(max(h.Ack, h.Heard)))
	}
	var want message.Want
	want.Hello = m.Hello.Brief && h.At > n.membership.Current.Epoch
	if n.Leases.Heartbeat(now, m.From, m.Hello.Sum) {
		p.fits = max(p.fits, m.Hello.No)
	} else {
		want.Leases = true
	}
	if (want.Hello || want.Leases) && now.Since(p.wanted) >= wantEvery {
		p.wanted = now
		fx.Sends = append(fx.Sends, Send{m.From, message.Message{Want: &want}})
	}
	if h.Rolling {
		n.rolling = now
	}
	n.Leases.AddRemoteEnds(m.From, h.Mark, h.Ends)
	n.heardOf(now, m.Hello, fx)
	// Half due, it goes at once: it travels in the response to the hello that came.
	if now.Since(p.saidAt) >= n.pace(m.From, p)/2 {
		n.sendLeaseUpdates(now, fx)
		n.greet(now, []ident.Addr{m.From}, fx)
	}
	return true
}

// heardOf takes what a hello says of the manifest.
func (n *Node) heardOf(now monotime.Time, h *message.Hello, fx *Effects) {
	if h.Manifest > n.Epoch {
		n.learn(now, message.Learned{Key: offer.Key, Revision: ident.Revision(h.Manifest)}, fx)
	}
	if h.AgeMs > 0 {
		n.freshAsOf = max(n.freshAsOf, now.Add(-time.Duration(h.AgeMs)*time.Millisecond))
	}
}

// Rolling tells whether a roll-out is known to run.
func (n *Node) Rolling(now monotime.Time) bool {
	return n.rolling != 0 && now.Since(n.rolling) < rollingFor
}

// sendLeaseUpdates tells the other cores what changed among the sidecars registered here, and all of it to
// those that asked.
func (n *Node) sendLeaseUpdates(now monotime.Time, fx *Effects) {
	if k, due := n.Leases.PendingUpdate(); due {
		for _, a := range n.peerAddrs() {
			if n.peers[a].live(now) {
				fx.Sends = append(fx.Sends, Send{a, message.Message{LeaseUpdate: &k}})
			}
		}
	}
	if len(n.wants) == 0 {
		return
	}
	if k, ok := n.Leases.FullUpdate(); ok {
		for _, a := range n.wants {
			fx.Sends = append(fx.Sends, Send{a, message.Message{LeaseUpdate: &k}})
		}
		n.wants = nil
	}
}

func (n *Node) onLeaseUpdate(now monotime.Time, m message.Message, fx *Effects) bool {
	if m.LeaseUpdate == nil {
		return false
	}
	p := n.peers[m.From]
	if p == nil {
		return true // its hello comes first
	}
	changed, fits := n.Leases.ApplyUpdate(now, m.From, *m.LeaseUpdate)
	fx.Changed = fx.Changed || changed
	if !fits && now.Since(p.wanted) >= wantEvery {
		p.wanted = now
		fx.Sends = append(fx.Sends, Send{m.From, message.Message{Want: &message.Want{Leases: true}}})
	}
	return true
}

func (n *Node) onWant(now monotime.Time, m message.Message, fx *Effects) bool {
	if m.Want == nil {
		return false
	}
	if p := n.peers[m.From]; p != nil && m.Want.Hello {
		p.told = ""
	}
	if m.Want.Leases && !slices.Contains(n.wants, m.From) {
		n.wants = append(n.wants, m.From)
	}
	n.sendLeaseUpdates(now, fx)
	return true
}

// Turn is the newest hello of this core that a majority of the voters, this one among
// them, has taken with the list of sidecars it meant: they have heard of every renewal
// that came in before it.
func (n *Node) Turn() uint64 {
	var got []uint64
	for _, v := range n.membership.Current.Voters {
		switch {
		case v.Joining:
		case v.Disk == n.Disk:
			got = append(got, n.no+1) // what was taken here is known here
		default:
			for _, a := range n.peerAddrs() {
				if p := n.peers[a]; p.hello.Disk == v.Disk {
					got = append(got, p.acked)
				}
			}
		}
	}
	need := n.membership.Current.Majority()
	if n.membership.Current.Epoch == 0 || len(got) < need {
		return 0
	}
	slices.Sort(got)
	return got[len(got)-need]
}
