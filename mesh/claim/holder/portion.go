package holder

import (
	"time"

	"cottonarch.example/cottonarch/control/coordination/share"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/moment"
	"cottonarch.example/cottonarch/mesh/allowance"
)

const (
	askAgain = 5 * time.Second
	askOut   = 4 * time.Second
)

// Portion is a sidecar's own view of its share. Invariants: Use is never above what
// the core last granted, nor, once a promise is sent, above that promise until a
// return to that or a later question says more.
type Portion struct {
	// Terms are this sidecar's own; the smaller of its total and the cores' rules.
	Terms   allowance.Terms
	total   int
	granted int
	use     int
	fair    int
	lowered moment.Moment
	seq     uint64
	out     bool
	asked   moment.Moment
}

// Begin takes the first grant of a claim.
func (p *Portion) Begin(now moment.Moment, t share.Told) {
	*p = Portion{Terms: p.Terms, total: p.least(t), granted: t.N, use: min(t.N, t.Fair), fair: t.Fair, asked: now, lowered: now}
}

// least is the smaller of the own total and the one that was told.
func (p *Portion) least(t share.Told) int {
	own := p.Terms.Whole().Extra
	if t.Total != 0 {
		return min(own, t.Total)
	}
	return own
}

// Use is what may be spent of the share.
func (p *Portion) Use() int { return p.use }

// Members tells how many sidecars a core sees now; more of them lower what is used at
// once.
func (p *Portion) Members(now moment.Moment, n int) {
	p.fair = share.Fair(p.total, n)
	p.lower(now)
}

// lower uses no more than the fair share, from now on.
func (p *Portion) lower(now moment.Moment) {
	if p.fair < p.use {
		p.use, p.lowered = p.fair, now
	}
}

// Ask gives the question to send to a core now, if there is one: a promise to use
// less, or the wish for more.
func (p *Portion) Ask(now moment.Moment, node ident.Node, claim ident.Epoch) (share.Args, bool) {
	if p.out && now.Since(p.asked) < askOut {
		return share.Args{}, false
	}
	promise := p.use < p.granted && now.Since(p.lowered) > p.Terms.Settle()
	wish := p.use == p.granted && p.granted < p.fair && now.Since(p.asked) > askAgain
	if !promise && !wish {
		return share.Args{}, false
	}
	p.seq++
	p.out, p.asked = true, now
	using := p.use
	return share.Args{Node: node, Claim: claim, Using: &using, Seq: p.seq, Total: p.Terms.Whole().Extra}, true
}

// Told takes the return to a question; only that to the newest counts.
func (p *Portion) Told(now moment.Moment, t share.Told) {
	if t.Seq != p.seq || !p.out {
		return
	}
	p.out, p.granted = false, t.N
	if total := p.least(t); total != p.total {
		p.total, p.fair = total, min(t.Fair, share.Most(total))
		p.lower(now)
	}
	if up := min(t.N, p.fair); up > p.use {
		p.use = up
	}
	if p.use > t.N {
		p.use = t.N
	}
}
