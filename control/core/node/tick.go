package node

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"cottonarch.example/cottonarch/control/audit/chunk"
	"cottonarch.example/cottonarch/control/coordination/book"
	"cottonarch.example/cottonarch/control/coordination/lock"
	"cottonarch.example/cottonarch/control/coordination/share"
	"cottonarch.example/cottonarch/control/core/message"
	"cottonarch.example/cottonarch/control/manifest/offer"
	"cottonarch.example/cottonarch/control/register/cell"
	"cottonarch.example/cottonarch/control/register/owner"
	"cottonarch.example/cottonarch/control/register/place"
	"cottonarch.example/cottonarch/control/register/survey"
	rollout "cottonarch.example/cottonarch/control/rollout/state"
	"cottonarch.example/cottonarch/control/roster/maker"
	"cottonarch.example/cottonarch/kernel/defect"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/moment"
)

// dutyKey is the claim on the sweeping duty. Its holder names a successor when it
// leaves; when it cannot, the claim ends and a majority gives it to another.
const dutyKey ident.Key = "lock/cottonarch.duty.sweep"

// rollEvery is how often the duty's holder looks at the roll-outs.
const rollEvery = 500 * time.Millisecond

// forwardAgain is how long a forwarded deed may be out before it is sent again.
const forwardAgain = 350 * time.Millisecond

// shareKey holds the shares of the further tries.
const shareKey ident.Key = "share"

// Tick is called many times a second.
func (n *Node) Tick(now moment.Moment) (fx Effects) {
	if n.said == 0 || now.Since(n.said) >= helloEvery {
		n.said = now
		n.hello(now, &fx)
	}
	n.owned(now, n.own.Tick(now), &fx)
	n.rosterSends(n.make.Tick(now), &fx)
	n.pendings(now, &fx)
	n.readings(now, &fx)
	if n.Ledger.Tick(now) {
		fx.Changed = true
	}
	if !n.broken {
		n.place(now, &fx)
		n.duties(now, &fx)
	}
	return fx
}

func (n *Node) hello(now moment.Moment, fx *Effects) {
	h := message.Hello{Disk: n.Disk, Mark: n.boot.Mark, District: n.boot.District, Leaving: n.leaving, Broken: n.broken,
		UpMs: now.Since(n.began).Milliseconds(), Heard: n.Ledger.Heard(now), Manifest: n.Epoch, Cores: n.Fresh(now)}
	if n.acc.Now.Epoch > 0 {
		r := n.acc.Now
		h.Roster = &r
	}
	for _, a := range n.peerAddrs() {
		if now.Since(n.peers[a].heard) > time.Minute {
			delete(n.peers, a)
		}
	}
	for a, at := range n.known {
		if now.Since(at) > time.Minute {
			delete(n.known, a)
		}
	}
	for _, a := range n.Cores() {
		if a != n.boot.Addr {
			fx.Sends = append(fx.Sends, Send{a, message.Message{Hello: &h}})
		}
	}
}

// pendings routes what waits and ends what is late.
func (n *Node) pendings(now moment.Moment, fx *Effects) {
	list := n.wait
	n.wait = nil
	for _, p := range list {
		if now > p.until {
			n.late(now, p, fx)
			continue
		}
		n.steer(now, p, fx)
	}
	for _, out := range n.outs() {
		p, ok := n.pend[out]
		if !ok {
			continue
		}
		if now > p.until {
			delete(n.pend, out)
			p.risk = true
			n.late(now, p, fx)
			continue
		}
		if q := n.peers[p.at]; p.at != n.boot.Addr && (q == nil || !q.live(now)) {
			// The owner is silent: give this copy up, it may still take effect.
			delete(n.pend, out)
			p.out, p.risk = 0, true
			p.open++
			n.wait = append(n.wait, p)
		} else if p.at != n.boot.Addr && now.Since(p.sent) > forwardAgain {
			n.forward(now, p, fx)
		}
	}
}

func (n *Node) late(now moment.Moment, p *pending, fx *Effects) {
	d := defect.New(defect.NoMajority, "no majority of the core answered in time").Later(1)
	if p.risk || p.open > 0 {
		d = defect.Unsure(defect.Unknown, "the change was sent on and no return came in time")
	}
	n.finish(now, p, End{Defect: d}, fx)
}

func (n *Node) readings(now moment.Moment, fx *Effects) {
	for _, turn := range n.turns() {
		rd := n.reads[turn]
		if now > rd.until {
			delete(n.reads, turn)
			if rd.done != nil && rd.All && rd.Enough() {
				rd.done(now, rd.Survey, fx)
				continue
			}
			if rd.done == nil {
				fx.Ends = append(fx.Ends, End{Ticket: rd.ticket, Defect: defect.New(defect.NoMajority, "no majority of the core answered in time").Later(1)})
			} else {
				rd.done(now, nil, fx)
			}
			continue
		}
		n.scan(rd.Tick(now), fx)
	}
}

// place works towards this disk being a counted voter.
func (n *Node) place(now moment.Moment, fx *Effects) {
	r := n.acc.Now
	if r.Epoch == 0 {
		if !slices.Contains(n.boot.Founders, n.boot.Addr) {
			return
		}
		empty := map[ident.Addr]ident.Disk{}
		for _, a := range n.peerAddrs() {
			if p := n.peers[a]; p.hello.Roster == nil && now.Since(p.heard) <= alive {
				empty[a] = p.hello.Disk
			}
		}
		for _, s := range n.form.Tick(now, empty) {
			ask := s.Ask
			fx.Sends = append(fx.Sends, Send{s.To, message.Message{RosterAsk: &ask}})
		}
		return
	}
	me, in := r.Find(n.Disk)
	switch {
	case in && me.Counted && me.Addr != n.boot.Addr:
		n.rosterSends(n.make.Begin(now, r, maker.Move(cell.Voter{Disk: n.Disk, Addr: n.boot.Addr})), fx)
	case in && me.Counted, n.leaving:
	case in && n.copied == r.Epoch:
		n.rosterSends(n.make.Begin(now, r, maker.Count(n.Disk)), fx)
	case in && !n.copying:
		n.copying = true
		n.survey(now, &reading{until: now.Add(time.Minute), done: n.copiedAll(r.Epoch)}, "", true, n.Disk, fx)
	case !in && now.Since(n.began) > deadAfter:
		grow := now.Since(n.began) > growAfter
		n.rosterSends(n.make.Begin(now, r, maker.Take(cell.Voter{Disk: n.Disk, Addr: n.boot.Addr}, n.boot.Voters, grow)), fx)
	}
}

// copiedAll takes every key that a majority of the counted voters held at the epoch.
func (n *Node) copiedAll(at ident.Epoch) func(moment.Moment, *survey.Survey, *Effects) {
	return func(_ moment.Moment, s *survey.Survey, fx *Effects) {
		n.copying = false
		if s == nil || n.acc.Now.Epoch != at {
			return
		}
		all := s.Found()
		for _, k := range sorted(all) {
			fx.Records = append(fx.Records, n.rep.Learn(cell.Row{Key: k, Cell: all[k].Cell})...)
		}
		n.copied = at
	}
}

func sorted(all map[ident.Key]survey.Found) []ident.Key {
	out := make([]ident.Key, 0, len(all))
	for k := range all {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// internal runs a deed of the core's own.
func (n *Node) internal(now moment.Moment, d owner.Deed, fx *Effects, done func(moment.Moment, End, *Effects)) {
	n.begindeed(now, &pending{deed: d, until: now.Add(2 * time.Second), done: done}, fx)
}

// duties claims the sweeping duty and does it while it is held.
func (n *Node) duties(now moment.Moment, fx *Effects) {
	if !n.Votes() || n.leaving || !n.Majority(now) {
		n.holds = false
		return
	}
	if now.Since(n.dutied) >= dutyEvery {
		n.dutied = now
		d := owner.Deed{Key: dutyKey, Kind: "lock/claim", Args: book.JSON(lock.Args{Holder: string(n.Disk), TTL: dutyTTL})}
		if n.holds { // costs no disk
			d.Kind, d.Args = "lock/renew", book.JSON(lock.Args{Holder: string(n.Disk), Fence: n.fence})
		}
		n.internal(now, d, fx, func(_ moment.Moment, e End, _ *Effects) {
			var g lock.Grant
			n.holds = e.Defect == nil && book.Read(nil, e.Body, nil, &g) == nil && g.Holder == string(n.Disk)
			n.fence = g.Fence
		})
	}
	if n.holds && now.Since(n.rolled) >= rollEvery {
		n.rolled = now
		n.survey(now, &reading{until: now.Add(time.Second), done: n.roll}, rollout.Prefix, true, "", fx)
	}
	if n.holds && n.Epoch > n.audited && now.Since(n.auditAt) >= time.Second {
		n.auditAt = now
		n.survey(now, &reading{until: now.Add(time.Second), done: n.audit}, chunk.Prefix, true, "", fx)
	}
	if n.holds && now.Since(n.swept) >= sweepEvery {
		n.swept = now
		n.Sweeps++
		n.survey(now, &reading{until: now.Add(time.Second), all: true, done: n.sweep}, "", false, "", fx)
		n.reclaim(now, fx)
	}
}

// roll carries every roll-out one deed further.
func (n *Node) roll(now moment.Moment, s *survey.Survey, fx *Effects) {
	if s == nil {
		return
	}
	all := s.Found()
	for _, k := range sorted(all) {
		var r rollout.Rollout
		if st := book.State(all[k].Cell.Value); !all[k].Agreed || len(st) == 0 || json.Unmarshal(st, &r) != nil {
			continue
		}
		if d, due := n.rolls.Plan(now, r, n.Ledger.InForce(), n.Ledger.Ends); due {
			n.internal(now, d, fx, func(moment.Moment, End, *Effects) {})
		}
	}
}

// audit adds to the audit log what the newest manifests brought.
func (n *Node) audit(now moment.Moment, s *survey.Survey, fx *Effects) {
	if s == nil {
		return
	}
	leaves, ok := Leaves(s.Found())
	if !ok {
		return // an append is under way, or was left on a minority: look again
	}
	last := ident.Epoch(0)
	if len(leaves) > 0 {
		last = leaves[len(leaves)-1].Epoch
	}
	n.audited = last
	n.internal(now, owner.Deed{Key: offer.Key, Kind: "manifest/lines"}, fx, func(now moment.Moment, e End, fx *Effects) {
		var lines []offer.Line
		if e.Defect != nil || json.Unmarshal(e.Body, &lines) != nil {
			return
		}
		n.append(now, len(leaves), last, lines, fx)
	})
}

// append adds the lines after an epoch, one after the other.
func (n *Node) append(now moment.Moment, at int, last ident.Epoch, lines []offer.Line, fx *Effects) {
	for len(lines) > 0 && lines[0].Epoch <= last {
		lines = lines[1:]
	}
	if len(lines) == 0 {
		return
	}
	args := book.JSON(chunk.Append{Index: at, Leaf: lines[0]})
	n.internal(now, owner.Deed{Key: chunk.Key(at), Kind: "audit/append", Args: args}, fx, func(now moment.Moment, e End, fx *Effects) {
		if e.Defect != nil {
			return
		}
		n.audited = lines[0].Epoch
		n.append(now, at+1, n.audited, lines[1:], fx)
	})
}

// Leaves puts the audit log together; it is not ok unless a majority agrees on all of
// it.
func Leaves(all map[ident.Key]survey.Found) (leaves []offer.Line, ok bool) {
	for _, k := range sorted(all) {
		var c chunk.Chunk
		if st := book.State(all[k].Cell.Value); len(st) > 0 && json.Unmarshal(st, &c) != nil {
			return nil, false
		}
		if !all[k].Agreed {
			return nil, false
		}
		leaves = append(leaves, c.Leaves...)
	}
	return leaves, true
}

// sweep reads every key whose copies differ; the read mends them.
func (n *Node) sweep(now moment.Moment, s *survey.Survey, fx *Effects) {
	if s == nil {
		return
	}
	all := s.Found()
	for _, k := range sorted(all) {
		if len(s.Lagging(all[k])) == 0 {
			continue
		}
		n.Mended++
		n.internal(now, owner.Deed{Key: k, Kind: owner.Mend}, fx, func(moment.Moment, End, *Effects) {})
	}
}

// reclaim takes back the shares of nodes that a majority has long not heard.
func (n *Node) reclaim(now moment.Moment, fx *Effects) {
	n.internal(now, owner.Deed{Key: shareKey, Kind: "share/read"}, fx, func(now moment.Moment, e End, fx *Effects) {
		var s share.Shares
		if e.Defect != nil || book.Read(nil, e.Body, nil, &s) != nil {
			return
		}
		for _, node := range slices.Sorted(maps.Keys(s.Nodes)) {
			g := s.Nodes[node]
			if !n.quietEverywhere(now, node) {
				continue
			}
			args := book.JSON(share.Args{Node: node, Claim: g.Claim})
			n.internal(now, owner.Deed{Key: shareKey, Kind: "share/free", Args: args}, fx, func(moment.Moment, End, *Effects) {})
		}
	})
}

// quietEverywhere tells whether a majority of voters, each up for longer, has not
// heard the node for ledger.Quiet.
func (n *Node) quietEverywhere(now moment.Moment, node ident.Node) bool {
	const quietMs = 30_000
	got := 0
	for _, v := range n.acc.Now.Voters {
		if v.Disk == n.Disk {
			if now.Since(n.began).Milliseconds() > quietMs && !slices.Contains(n.Ledger.Heard(now), node) {
				got++
			}
			continue
		}
		for _, a := range n.peerAddrs() {
			p := n.peers[a]
			if p.hello.Disk == v.Disk && now.Since(p.heard) <= alive && p.hello.UpMs > quietMs && !slices.Contains(p.hello.Heard, node) {
				got++
			}
		}
	}
	return got >= n.acc.Now.Majority()
}

// Leave begins a planned stop: no key is owned any more, successors are named. It is
// done once Left says so.
func (n *Node) Leave(now moment.Moment) (fx Effects) {
	if n.leaving {
		return fx
	}
	n.leaving = true
	n.hello(now, &fx)
	disks, at := n.live(now)
	if n.holds {
		if next, _ := place.Owner(dutyKey, disks); next != "" {
			args := book.JSON(lock.Args{Holder: string(n.Disk), Fence: n.fence, To: string(next)})
			n.internal(now, owner.Deed{Key: dutyKey, Kind: "lock/pass", Args: args}, &fx, func(moment.Moment, End, *Effects) {})
		}
		n.holds = false
	}
	keys := map[ident.Addr][]ident.Key{}
	for _, k := range n.own.Keys() {
		if next, _ := place.Owner(k, disks); next != "" {
			keys[at[next]] = append(keys[at[next]], k)
		}
	}
	for _, a := range n.peerAddrs() {
		if len(keys[a]) > 0 {
			fx.Sends = append(fx.Sends, Send{a, message.Message{Handover: &message.Handover{Keys: keys[a]}}})
		}
	}
	return fx
}

// Left lets go of what has no round out; it is true when nothing is in hand.
func (n *Node) Left(now moment.Moment) (bool, Effects) {
	var fx Effects
	done, o := n.own.Release()
	n.owned(now, o, &fx)
	return done && len(n.pend) == 0 && len(n.wait) == 0, fx
}
