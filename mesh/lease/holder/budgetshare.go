package holder

import (
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/coordination/quota"
	"cottonarch.example/cottonarch/mesh/retrybudget"
)

const (
	requestInterval = 5 * time.Second
	requestTimeout  = 4 * time.Second
)

// BudgetShare is a sidecar's own view of its share. Invariants: Usable is never above what
// the core last granted, nor, once a promise is sent, above that promise until a
// response to that or a later question says more.
type BudgetShare struct {
	// Terms are this sidecar's own; the smaller of its total and the cores' rules.
	Terms       retrybudget.Limits
	total       int
	granted     int
	usable      int
	fair        int
	loweredAt   monotime.Time
	seq         uint64
	outstanding bool
	requestedAt monotime.Time
}

// Start takes the first grant of a lease.
func (budget *BudgetShare) Start(now monotime.Time, grant quota.Share) {
	*budget = BudgetShare{Terms: budget.Terms, total: budget.totalWithin(grant), granted: grant.Amount, usable: min(grant.Amount, grant.FairShare), fair: grant.FairShare, requestedAt: now, loweredAt: now}
}

// totalWithin is the smaller of the own total and the one that was told.
func (budget *BudgetShare) totalWithin(grant quota.Share) int {
	own := budget.Terms.WithDefaults().Extra
	if grant.Total != 0 {
		return min(own, grant.Total)
	}
	return own
}

// Usable is what may be spent of the share.
func (budget *BudgetShare) Usable() int { return budget.usable }

// SetMembers tells how many sidecars a core sees now; more of them lower what is used at
// once.
func (budget *BudgetShare) SetMembers(now monotime.Time, members int) {
	budget.fair = quota.FairShare(budget.total, members)
	budget.lowerToFair(now)
}

// lowerToFair uses no more than the fair share, from now on.
func (budget *BudgetShare) lowerToFair(now monotime.Time) {
	if budget.fair < budget.usable {
		budget.usable, budget.loweredAt = budget.fair, now
	}
}

// NextRequest gives the question to send to a core now, if there is one: a promise to use
// less, or the wish for more.
func (budget *BudgetShare) NextRequest(now monotime.Time, node ident.Node, leaseEpoch ident.Epoch) (quota.Args, bool) {
	if budget.outstanding && now.Since(budget.requestedAt) < requestTimeout {
		return quota.Args{}, false
	}
	lower := budget.usable < budget.granted && now.Since(budget.loweredAt) > budget.Terms.SettleTime()
	raise := budget.usable == budget.granted && budget.granted < budget.fair && now.Since(budget.requestedAt) > requestInterval
	if !lower && !raise {
		return quota.Args{}, false
	}
	budget.seq++
	budget.outstanding, budget.requestedAt = true, now
	using := budget.usable
	return quota.Args{Node: node, LeaseEpoch: leaseEpoch, Used: &using, Seq: budget.seq, Total: budget.Terms.WithDefaults().Extra}, true
}

// ApplyGrant takes the response to a question; only that to the newest counts.
func (budget *BudgetShare) ApplyGrant(now monotime.Time, grant quota.Share) {
	if grant.Seq != budget.seq || !budget.outstanding {
		return
	}
	budget.outstanding, budget.granted = false, grant.Amount
	if total := budget.totalWithin(grant); total != budget.total {
		budget.total, budget.fair = total, min(grant.FairShare, quota.MaxShare(total))
		budget.lowerToFair(now)
	}
	if usable := min(grant.Amount, budget.fair); usable > budget.usable {
		budget.usable = usable
	}
	if budget.usable > grant.Amount {
		budget.usable = grant.Amount
	}
}
