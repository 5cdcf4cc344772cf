package node

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"cottonarch.example/cottonarch/control/core/message"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/monotime"
)

// peer is another core as last heard. Invariant: down is only a hint that it takes no
// connection; it moves keys and forwards, never a slot of the membership.
// Invariants: fits is the newest of its hellos whose list of sidecars is the one held
// here, acked the newest of ours that it said so of; told is what the last whole hello to
// it said. All of them belong to one run of it, which was first heard at since; echo is
// when the newest hello of ours was sent that it is known to have taken.
type peer struct {
	hello  message.Hello
	since  monotime.Time
	echo   monotime.Time
	heard  monotime.Time
	down   bool
	fits   uint64
	acked  uint64
	told   string
	toldAt monotime.Time
	saidAt monotime.Time // when the last hello to it went out
	wanted monotime.Time
}

// live tells whether the peer counts as one that can be asked.
func (p *peer) live(now monotime.Time) bool {
	return !p.down && now.Since(p.heard) <= heartbeatTimeout && p.hears(now)
}

// hears tells whether the peer hears this core, as far as can be told: it may be heard
// itself, over a link that is cut one way.
func (p *peer) hears(now monotime.Time) bool {
	return !p.hello.Echo || now.Since(max(p.since, p.echo)) <= echoAge
}

// stamp is when a hello was sent.
type stamp struct {
	no uint64
	at monotime.Time
}

// stamped notes that a hello is sent now, and forgets those that say nothing any more.
func (n *Node) stamped(now monotime.Time) {
	old := 0
	for old < len(n.stamps) && now.Since(n.stamps[old].at) > echoAge {
		old++
	}
	n.stamps = append(n.stamps[old:], stamp{n.no, now})
}

// sentAt is when the hello of a number was sent, 0 if that is long ago.
func (n *Node) sentAt(no uint64) monotime.Time {
	at, found := slices.BinarySearchFunc(n.stamps, no, func(s stamp, no uint64) int { return cmp.Compare(s.no, no) })
	if !found {
		return 0
	}
	return n.stamps[at].at
}

// Cores lists the addresses of the cores known.
func (n *Node) Cores() []ident.Addr {
	out := []ident.Addr{n.boot.Addr}
	add := func(a ident.Addr) {
		if a != "" && !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	for _, v := range n.membership.Current.Voters {
		add(v.Addr)
	}
	for _, a := range n.boot.Seeds {
		add(a)
	}
	for _, a := range n.boot.Founders {
		add(a)
	}
	for _, a := range slices.Sorted(maps.Keys(n.known)) {
		add(a)
	}
	for _, a := range n.peerAddrs() {
		add(a)
	}
	return out
}

// Know takes addresses of cores that others told of; they are forgotten when nobody
// tells of them any more.
func (n *Node) Know(now monotime.Time, cores []ident.Addr) {
	for _, a := range cores {
		if len(n.known) < 64 {
			n.known[a] = now
		}
	}
}

// Fresh lists the cores that this one stands for: itself, the voters, and whom it
// hears.
func (n *Node) Fresh(now monotime.Time) []ident.Addr {
	out := []ident.Addr{n.boot.Addr}
	for _, v := range n.membership.Current.Voters {
		if !slices.Contains(out, v.Addr) {
			out = append(out, v.Addr)
		}
	}
	for _, a := range n.peerAddrs() {
		if now.Since(n.peers[a].heard) <= 5*time.Second && !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	return out
}

// live lists the disks of counted voters that are heard and stay, this one included.
func (n *Node) live(now monotime.Time) (disks []ident.Disk, at map[ident.Disk]ident.Addr) {
	at = map[ident.Disk]ident.Addr{}
	for _, v := range n.membership.Current.Voters {
		if !v.Counted {
			continue
		}
		if v.Disk == n.Disk {
			if !n.leaving && !n.broken {
				disks, at[v.Disk] = append(disks, v.Disk), n.boot.Addr
			}
			continue
		}
		for _, addr := range n.peerAddrs() {
			p := n.peers[addr]
			if p.hello.Disk == v.Disk && !p.hello.Leaving && !p.hello.Broken && p.live(now) {
				disks, at[v.Disk] = append(disks, v.Disk), addr
			}
		}
	}
	return
}

func (n *Node) peerAddrs() []ident.Addr {
	out := make([]ident.Addr, 0, len(n.peers))
	for a := range n.peers {
		out = append(out, a)
	}
	slices.Sort(out)
	return out
}

// heard lists the disks heard within span, this one included.
func (n *Node) heard(now monotime.Time, span time.Duration) []ident.Disk {
	out := []ident.Disk{n.Disk}
	for _, a := range n.peerAddrs() {
		if p := n.peers[a]; now.Since(p.heard) <= span {
			out = append(out, p.hello.Disk)
		}
	}
	return out
}

// Majority tells whether enough voters are heard to serve.
func (n *Node) Majority(now monotime.Time) bool { return n.majority(now, heartbeatTimeout) }

// cutOff tells whether this core heard a majority and hears none now. One that has just
// started and has heard none yet is not: those that live may not have said so.
func (n *Node) cutOff(now monotime.Time) bool { return n.joined && !n.Majority(now) }

// majority tells whether enough voters were heard within a span.
func (n *Node) majority(now monotime.Time, span time.Duration) bool {
	got := 0
	near := []ident.Disk{n.Disk}
	for _, p := range n.peers {
		if !p.down && now.Since(p.heard) <= span && p.hears(now) {
			near = append(near, p.hello.Disk)
		}
	}
	for _, v := range n.membership.Current.Voters {
		if v.Counted && slices.Contains(near, v.Disk) && (v.Disk != n.Disk || !n.broken) {
			got++
		}
	}
	return n.membership.Current.Epoch > 0 && got >= n.membership.Current.Majority()
}

// Down takes a hint that the process at an address is gone: it takes no connection.
// A hint only: its keys are taken by others, which is safe if it lives after all; the
// next hello brings it back.
func (n *Node) Down(now monotime.Time, addr ident.Addr) (fx Effects) {
	p := n.peers[addr]
	if p == nil || p.down {
		return fx
	}
	p.down = true
	n.abandonCopies(now, addr, p.hello.Mark)
	n.pendings(now, &fx)
	return fx
}

// near lists the counted voters that are heard, this disk first, then those of its own
// district, which nearCount counts, then the rest.
func (n *Node) near(now monotime.Time) (out []ident.Disk, nearCount int) {
	disks, at := n.live(now)
	if !slices.Contains(disks, n.Disk) {
		return nil, 0
	}
	out = append(make([]ident.Disk, 0, len(disks)), n.Disk)
	for _, same := range []bool{true, false} {
		for _, d := range disks {
			if p := n.peers[at[d]]; d != n.Disk && p != nil && (p.hello.District == n.boot.District) == same {
				out = append(out, d)
			}
		}
		if same {
			nearCount = len(out) - 1
		}
	}
	return out, nearCount
}
