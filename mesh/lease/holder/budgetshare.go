package holder

import (
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/coordination/quota"
	"cottonarch.example/cottonarch/mesh/retrybudget"
)

const (
	// raiseInterval is how often a larger share is asked for.
	raiseInterval = 5 * time.Second
	// requestTimeout is after how long a request that was not answered may be sent again.
	requestTimeout = 4 * time.Second
)

// BudgetShare is a sidecar's view of its share of the mesh's retry budget. Invariants: Usable is
// never above what the cores last granted; once a request to lower the share was sent, it is not
// above the amount of that request until the response to it or to a later one allows more.
type BudgetShare struct {
	// Limits are this sidecar's own limits: the smaller of its total and the cores' holds.
	Limits      retrybudget.Limits
	total       int // of the whole mesh
	granted     int
	usable      int
	fair        int // what each sidecar may have, if all have the same
	loweredAt   monotime.Time
	seq         uint64 // of the newest request
	outstanding bool   // it was not answered yet
	requestedAt monotime.Time
}

// Reset takes the grant that comes with a lease.
func (s *BudgetShare) Reset(now monotime.Time, grant quota.Share) {
	*s = BudgetShare{
		Limits:      s.Limits,
		total:       s.smallerTotal(grant),
		granted:     grant.Amount,
		usable:      min(grant.Amount, grant.FairShare),
		fair:        grant.FairShare,
		requestedAt: now,
		loweredAt:   now,
	}
}

// smallerTotal is the smaller of this sidecar's total and the cores'.
func (s *BudgetShare) smallerTotal(grant quota.Share) int {
	own := s.Limits.WithDefaults().Extra
	if grant.Total != 0 {
		return min(own, grant.Total)
	}
	return own
}

// Usable is how many retries this sidecar may spend within a window of Limits.
func (s *BudgetShare) Usable() int { return s.usable }

// SetMemberCount takes how many sidecars a core sees. When there are more, less is used at once.
func (s *BudgetShare) SetMemberCount(now monotime.Time, members int) {
	s.fair = quota.FairShare(s.total, members)
	s.lowerToFair(now)
}

// lowerToFair uses no more than the fair share from now on.
func (s *BudgetShare) lowerToFair(now monotime.Time) {
	if s.fair < s.usable {
		s.usable, s.loweredAt = s.fair, now
	}
}

// NextRequest returns the request to send to a core now, if one is due: to lower the grant to what
// is used, once no retry from before can be in flight, or to raise it.
func (s *BudgetShare) NextRequest(now monotime.Time, node ident.Node, leaseEpoch ident.LeaseEpoch) (quota.Args, bool) {
	if s.outstanding && now.Since(s.requestedAt) < requestTimeout {
		return quota.Args{}, false
	}
	lower := s.usable < s.granted && now.Since(s.loweredAt) > s.Limits.SettleTime()
	raise := s.usable == s.granted && s.granted < s.fair && now.Since(s.requestedAt) > raiseInterval
	if !lower && !raise {
		return quota.Args{}, false
	}
	s.seq++
	s.outstanding, s.requestedAt = true, now
	used := s.usable
	return quota.Args{Node: node, LeaseEpoch: leaseEpoch, Used: &used, Seq: s.seq, Total: s.Limits.WithDefaults().Extra}, true
}

// ApplyGrant takes the response to a request; only that to the newest one counts.
func (s *BudgetShare) ApplyGrant(now monotime.Time, grant quota.Share) {
	if grant.Seq != s.seq || !s.outstanding {
		return
	}
	s.outstanding, s.granted = false, grant.Amount
	if total := s.smallerTotal(grant); total != s.total {
		s.total, s.fair = total, min(grant.FairShare, quota.MaxShare(total))
		s.lowerToFair(now)
	}
	s.usable = max(s.usable, min(grant.Amount, s.fair))
	s.usable = min(s.usable, grant.Amount)
}
