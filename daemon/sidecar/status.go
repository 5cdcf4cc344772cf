package sidecar

import (
	"slices"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/registry/record"
)

// Status is what the status page shows. The keys of earlier releases stand first, in their order;
// those whose field is named Deprecated are published for one release beside the new ones.
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
	BudgetShare        int                  `json:"budgetShare"`        // that may be spent now
	BudgetShareGranted int                  `json:"budgetShareGranted"` // that may be spent while the lease is renewed
}

// Status returns the Status.
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
