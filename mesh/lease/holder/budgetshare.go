package holder

import (
	"time"

	"cottonarch.example/cottonarch/control/coordination/share"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/monotime"
	"cottonarch.example/cottonarch/mesh/allowance"
)

const (
	askEvery   = 5 * time.Second
	askTimeout = 4 * time.Second
)

// BudgetShare is a sidecar's own view of its share. Invariants: Usable is never above what
// the core last granted, nor, once a promise is sent, above that promise until a
// response to that or a later question says more.
type BudgetShare struct {
	// Terms are this sidecar's own; the smaller of its total and the cores' rules.
	Terms       allowance.Terms
	total       int
	granted     int
	usable      int
	fair        int
	loweredAt   monotime.Time
	seq         uint64
	outstanding bool
	askedAt     monotime.Time
}

// Begin takes the first grant of a lease.
func (p *BudgetShare) Begin(now monotime.Time, t share.Told) {
	*p = BudgetShare{Terms: p.Terms, total: p.least(t), granted: t.N, usable: min(t.N, t.Fair), fair: t.Fair, askedAt: now, loweredAt: now}
}

// least is the smaller of the own total and the one that was told.
func (p *BudgetShare) least(t share.Told) int {
	own := p.Terms.Whole().Extra
	if t.Total != 0 {
		return min(own, t.Total)
	}
	return own
}

// Usable is what may be spent of the share.
func (p *BudgetShare) Usable() int { return p.usable }

// Members tells how many sidecars a core sees now; more of them lower what is used at
// once.
func (p *BudgetShare) Members(now monotime.Time, n int) {
	p.fair = share.Fair(p.total, n)
	p.lower(now)
}

// lower uses no more than the fair share, from now on.
func (p *BudgetShare) lower(now monotime.Time) {
	if p.fair < p.usable {
		p.usable, p.loweredAt = p.fair, now
	}
}

// Ask gives the question to send to a core now, if there is one: a promise to use
// less, or the wish for more.
func (p *BudgetShare) Ask(now monotime.Time, node ident.Node, leaseEpoch ident.Epoch) (share.Args, bool) {
	if p.outstanding && now.Since(p.askedAt) < askTimeout {
		return share.Args{}, false
	}
	promise := p.usable < p.granted && now.Since(p.loweredAt) > p.Terms.Settle()
	wish := p.usable == p.granted && p.granted < p.fair && now.Since(p.askedAt) > askEvery
	if !promise && !wish {
		return share.Args{}, false
	}
	p.seq++
	p.outstanding, p.askedAt = true, now
	using := p.usable
	return share.Args{Node: node, Claim: leaseEpoch, Using: &using, Seq: p.seq, Total: p.Terms.Whole().Extra}, true
}

// Granted takes the response to a question; only that to the newest counts.
func (p *BudgetShare) Granted(now monotime.Time, t share.Told) {
	if t.Seq != p.seq || !p.outstanding {
		return
	}
	p.outstanding, p.granted = false, t.N
	if total := p.least(t); total != p.total {
		p.total, p.fair = total, min(t.Fair, share.Most(total))
		p.lower(now)
	}
	if up := min(t.N, p.fair); up > p.usable {
		p.usable = up
	}
	if p.usable > t.N {
		p.usable = t.N
	}
}
