package sidecar

import (
	"slices"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/registry/record"
)

// Status is the content of the status page. The keys of earlier releases come first, in their
// order; the fields named Deprecated are published beside the new ones for one release.
type Status struct {
	DeprecatedLeaseEpoch         ident.LeaseEpoch     `json:"claim"`
	Cores                        []ident.Addr         `json:"cores"`
	DeprecatedConfigRevision     ident.ConfigRevision `json:"manifest"`
	Node                         ident.Node           `json:"node"`
	Ready                        bool                 `json:"ready"`
	RegistrySets                 int                  `json:"sets"`
	DeprecatedBudgetShare        int                  `json:"share"`
	DeprecatedBudgetShareGranted int                  `json:"shareGranted"`
	Workloads                    []record.Workload    `json:"workloads"`

	LeaseEpoch         ident.LeaseEpoch     `json:"leaseEpoch"`
	ConfigRevision     ident.ConfigRevision `json:"configRevision"`
	BudgetShare        int                  `json:"budgetShare"`        // share that may be spent now
	BudgetShareGranted int                  `json:"budgetShareGranted"` // share that may be spent while the lease is renewed
}

// Status returns the content of the status page, a Status.
func (s *Sidecar) Status() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	status := Status{
		Cores:              slices.Clone(s.cores.addrs),
		Node:               s.Settings.Node,
		Ready:              s.Ready(),
		RegistrySets:       len(s.planner.Index.Sets()),
		Workloads:          s.endpoints.Workloads(),
		LeaseEpoch:         s.leaseEpoch,
		ConfigRevision:     s.planner.Revision(),
		BudgetShare:        s.planner.RetryBudget.Share(s.clock()),
		BudgetShareGranted: s.budgetShare.Usable(),
	}
	status.DeprecatedLeaseEpoch = status.LeaseEpoch
	status.DeprecatedConfigRevision = status.ConfigRevision
	status.DeprecatedBudgetShare = status.BudgetShare
	status.DeprecatedBudgetShareGranted = status.BudgetShareGranted
	return status
}
