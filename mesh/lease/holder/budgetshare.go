package holder

import (
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/coordination/quota"
	"cottonarch.example/cottonarch/mesh/retrybudget"
)

const (
	// raiseInterval is how often a sidecar requests a larger share.
	raiseInterval = 5 * time.Second
	// requestTimeout is how long a request may go unanswered before a new request may be sent.
	requestTimeout = 4 * time.Second
)

// BudgetShare is a sidecar's view of its share of the mesh-wide retry budget. Invariants: Usable
// never exceeds the amount that the cores granted last; once a request to lower the share was sent,
// Usable does not exceed the amount in that request until the response to that request or to a
// later one allows more.
type BudgetShare struct {
	// Limits are this sidecar's own limits. The smaller of the sidecar's total and the cores' total
	// applies.
	Limits      retrybudget.Limits
	total       int // total of the whole mesh
	granted     int
	usable      int
	fairShare   int // amount of each sidecar if all shares are equal
	loweredAt   monotime.Time
	seq         uint64 // Seq of the newest request
	outstanding bool   // the newest request was not answered yet
	requestedAt monotime.Time
}

// Reset discards the state of the previous lease and applies the grant of a new lease.
func (s *BudgetShare) Reset(now monotime.Time, grant quota.Share) {
	*s = BudgetShare{
		Limits:      s.Limits,
		total:       s.effectiveTotal(grant),
		granted:     grant.Amount,
		usable:      min(grant.Amount, grant.FairShare),
		fairShare:   grant.FairShare,
		requestedAt: now,
		loweredAt:   now,
	}
}

// effectiveTotal returns the smaller of this sidecar's total and the cores' total.
func (s *BudgetShare) effectiveTotal(grant quota.Share) int {
	own := s.Limits.WithDefaults().Extra
	if grant.Total != 0 {
		return min(own, grant.Total)
	}
	return own
}

// Usable returns how many retries this sidecar may spend within one window of Limits.
func (s *BudgetShare) Usable() int { return s.usable }

// SetMemberCount updates the fair share from the number of sidecars that a core knows. When the
// number grows, the usable share shrinks immediately.
func (s *BudgetShare) SetMemberCount(now monotime.Time, members int) {
	s.fairShare = quota.FairShare(s.total, members)
	s.capAtFairShare(now)
}

// capAtFairShare limits the usable share to the fair share from now on.
func (s *BudgetShare) capAtFairShare(now monotime.Time) {
	if s.fairShare < s.usable {
		s.usable, s.loweredAt = s.fairShare, now
	}
}

// NextRequest returns the request to send to a core now, if a request is due: either to lower the
// grant to the usable share, once no retry spent under the larger share is left in the window, or
// to raise the grant.
func (s *BudgetShare) NextRequest(now monotime.Time, node ident.Node, leaseEpoch ident.LeaseEpoch) (quota.Args, bool) {
	if s.outstanding && now.Since(s.requestedAt) < requestTimeout {
		return quota.Args{}, false
	}
	lowerDue := s.usable < s.granted && now.Since(s.loweredAt) > s.Limits.SettleTime()
	raiseDue := s.usable == s.granted && s.granted < s.fairShare && now.Since(s.requestedAt) > raiseInterval
	if !lowerDue && !raiseDue {
		return quota.Args{}, false
	}
	s.seq++
	s.outstanding, s.requestedAt = true, now
	used := s.usable
	return quota.Args{Node: node, LeaseEpoch: leaseEpoch, Used: &used, Seq: s.seq, Total: s.Limits.WithDefaults().Extra}, true
}

// ApplyGrant applies the response to a request; responses to older requests are ignored.
func (s *BudgetShare) ApplyGrant(now monotime.Time, grant quota.Share) {
	if grant.Seq != s.seq || !s.outstanding {
		return
	}
	s.outstanding, s.granted = false, grant.Amount
	if total := s.effectiveTotal(grant); total != s.total {
		s.total, s.fairShare = total, min(grant.FairShare, quota.MaxShare(total))
		s.capAtFairShare(now)
	}
	s.usable = max(s.usable, min(grant.Amount, s.fairShare))
	s.usable = min(s.usable, grant.Amount)
}
