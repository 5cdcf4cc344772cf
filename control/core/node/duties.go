package node

import (
	"encoding/json"
	"time"

	"cottonarch.example/cottonarch/control/audit/chunk"
	"cottonarch.example/cottonarch/control/coordination/lock"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/manifest/offer"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/control/register/quorumread"
	rollout "cottonarch.example/cottonarch/control/rollout/state"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/monotime"
)

// dutyKey is the claim on the anti-entropy duty. Its holder names a successor when it
// leaves; when it cannot, the claim ends and a majority gives it to another.
const dutyKey ident.Key = "lock/cottonarch.duty.sweep"

// rollEvery is how often the duty's holder looks at the roll-outs while one is known to
// run, and idleRoll how often else: the word of a new one may be lost.
const (
	rollEvery = 500 * time.Millisecond
	idleRoll  = 2500 * time.Millisecond
)

// internal runs an operation of the core's own.
func (n *Node) internal(now monotime.Time, d proposer.Operation, fx *Effects, done func(monotime.Time, End, *Effects)) {
	n.begin(now, &pending{operation: d, until: now.Add(2 * time.Second), done: done}, fx)
}

// duties claims the anti-entropy duty and does it while it is held.
func (n *Node) duties(now monotime.Time, fx *Effects) {
	if !n.holds {
		n.passFound = Pass{}
	}
	if !n.Votes() || n.leaving || !n.Majority(now) {
		n.holds, n.passFound = false, Pass{}
		return
	}
	if now.Since(n.dutied) >= dutyEvery && (n.holds || !n.served(now)) {
		n.dutied = now
		d := proposer.Operation{Key: dutyKey, Kind: "lock/claim", Args: operation.Encode(lock.Args{Holder: string(n.Disk), TTL: dutyTTL})}
		if n.holds { // costs no disk
			d.Kind, d.Args = "lock/renew", operation.Encode(lock.Args{Holder: string(n.Disk), Fence: n.fence})
		}
		n.internal(now, d, fx, func(_ monotime.Time, e End, _ *Effects) {
			var g lock.Grant
			n.holds = e.Failure == nil && operation.Decode(nil, e.Body, nil, &g) == nil && g.Holder == string(n.Disk)
			n.fence = g.Fence
		})
	}
	if n.holds && (now.Since(n.rolled) >= idleRoll || n.Rolling(now) && now.Since(n.rolled) >= rollEvery) {
		n.rolled = now
		n.quorumRead(now, &reading{until: now.Add(time.Second), done: n.roll}, rollout.Prefix, true, "", fx)
	}
	if n.holds && n.Epoch > n.audited && now.Since(n.auditAt) >= time.Second {
		n.auditAt = now
		n.quorumRead(now, &reading{until: now.Add(time.Second), done: n.audit}, n.auditPrefix(), true, "", fx)
	}
	if n.holds && now.Since(n.lastPass) >= antiEntropyEvery {
		n.lastPass = now
		n.AntiEntropyPasses++
		n.quorumRead(now, &reading{until: now.Add(time.Second), all: true, buckets: buckets(n.Records()), done: n.antiEntropy}, "", false, "", fx)
		n.reclaimShares(now, fx)
	}
}

// served tells whether another core that lives says that it holds the duty.
func (n *Node) served(now monotime.Time) bool {
	for _, p := range n.peers {
		if p.hello.Duty && !p.hello.Leaving && p.live(now) {
			return true
		}
	}
	return false
}

// roll carries every roll-out one operation further.
func (n *Node) roll(now monotime.Time, s *quorumread.Reader, fx *Effects) {
	if s == nil {
		return
	}
	all := s.Found()
	for _, k := range sortedKeys(all) {
		var r rollout.Rollout
		if st := operation.State(all[k].Record.Value); !all[k].Agreed || len(st) == 0 || json.Unmarshal(st, &r) != nil {
			continue
		}
		if r.Phase == rollout.Running || r.Phase == rollout.Backing {
			n.rolling = now
		}
		if d, due := n.rolls.Plan(now, r, n.Leases.InForce(), n.Leases.Ends); due {
			n.internal(now, d, fx, func(monotime.Time, End, *Effects) {})
		}
	}
}

// auditPrefix is where the next leaf of the audit log belongs, as far as this core knows;
// without any knowledge it is the whole log. What stands before is not read again.
func (n *Node) auditPrefix() string {
	if n.leaves == 0 {
		return chunk.Prefix
	}
	return string(chunk.Key(n.leaves))
}

// audit adds to the audit log what the newest manifests brought.
func (n *Node) audit(now monotime.Time, s *quorumread.Reader, fx *Effects) {
	if s == nil {
		return
	}
	leaves, ok := Leaves(s.Found())
	if !ok {
		return // an append is under way, or was left on a minority: look again
	}
	from, part := 0, s.Prefix != chunk.Prefix
	if part {
		from = n.leaves - n.leaves%chunk.Size
	}
	if part && s.Prefix != n.auditPrefix() || from+len(leaves) < n.leaves {
		return // it was read before an append that ended meanwhile
	}
	n.leaves = from + len(leaves)
	if len(leaves) > 0 {
		n.audited = leaves[len(leaves)-1].Epoch
	}
	if part && len(leaves) == chunk.Size {
		return // another core may have begun the next chunk: look there first
	}
	n.internal(now, proposer.Operation{Key: offer.Key, Kind: "manifest/lines", Args: operation.Encode(offer.LinesArgs{After: n.audited})}, fx, func(now monotime.Time, e End, fx *Effects) {
		var lines []offer.Line
		if e.Failure != nil || json.Unmarshal(e.Body, &lines) != nil {
			return
		}
		n.append(now, n.leaves, n.audited, lines, fx)
	})
}

// append adds the lines after an epoch, one after the other.
func (n *Node) append(now monotime.Time, at int, last ident.Epoch, lines []offer.Line, fx *Effects) {
	for len(lines) > 0 && lines[0].Epoch <= last {
		lines = lines[1:]
	}
	if len(lines) == 0 {
		return
	}
	args := operation.Encode(chunk.Append{Index: at, Leaf: lines[0]})
	n.internal(now, proposer.Operation{Key: chunk.Key(at), Kind: "audit/append", Args: args}, fx, func(now monotime.Time, e End, fx *Effects) {
		if e.Failure != nil {
			return
		}
		n.audited, n.leaves = lines[0].Epoch, at+1
		n.append(now, at+1, n.audited, lines[1:], fx)
	})
}

// Leaves puts the audit log together; it is not ok unless a majority agrees on all of
// it.
func Leaves(all map[ident.Key]quorumread.Found) (leaves []offer.Line, ok bool) {
	for _, k := range sortedKeys(all) {
		var c chunk.Chunk
		if st := operation.State(all[k].Record.Value); len(st) > 0 && json.Unmarshal(st, &c) != nil {
			return nil, false
		}
		if !all[k].Agreed {
			return nil, false
		}
		leaves = append(leaves, c.Leaves...)
	}
	return leaves, true
}

// buckets is how many digests an anti-entropy pass compares for so many keys.
func buckets(keys int) int {
	out := 16
	for out < keys/2 && out < 1024 {
		out *= 2
	}
	return out
}

// Pass is what the last whole anti-entropy pass of this core found. Invariant: of Of counted disks
// Read were compared, and on one of these at least Behind keys were behind; At is 0 when
// there was none.
type Pass struct {
	At       monotime.Time
	Read, Of int
	Behind   int
}

// LastPass is the last anti-entropy pass; it is nobody's once the duty is another's.
func (n *Node) LastPass() (Pass, bool) { return n.passFound, n.holds && n.passFound.At != 0 }

// antiEntropy reads every key whose copies differ; the read repairs them.
func (n *Node) antiEntropy(now monotime.Time, s *quorumread.Reader, fx *Effects) {
	if s == nil {
		return
	}
	all := s.Found()
	n.passFound = Pass{At: now}
	n.passFound.Read, n.passFound.Of = s.Coverage()
	for _, k := range sortedKeys(all) {
		if len(s.Lagging(all[k])) == 0 {
			continue
		}
		n.passFound.Behind++
		n.Repaired++
		n.internal(now, proposer.Operation{Key: k, Kind: proposer.Repair}, fx, func(monotime.Time, End, *Effects) {})
	}
}
