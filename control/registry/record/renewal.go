package record

import (
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/rollout/reconcile"
)

// Renewal renews a lease at one core. A renewal without a Report means that the report identified
// by (LeaseEpoch, Seq) is still current; a renewal without AttemptCounts means that the counts have
// not changed. Invariant: Number increases with every renewal of one run of a sidecar.
type Renewal struct {
	Node           ident.Node           `json:"node"`
	LeaseEpoch     ident.LeaseEpoch     `json:"claim"`
	Seq            uint64               `json:"seq"`
	Number         uint64               `json:"beat"`
	ConfigRevision ident.ConfigRevision `json:"manifest"`
	// CoresVersion is the version of the sidecar's list of cores.
	CoresVersion  string                                 `json:"view,omitempty"`
	Report        *Report                                `json:"report,omitempty"`
	AttemptCounts map[ident.Service]reconcile.CallCounts `json:"ends,omitempty"`
}

// RenewalResponse is the response to a renewal.
type RenewalResponse struct {
	// ReportRequired is true if the core does not have the sidecar's report.
	ReportRequired bool `json:"want,omitempty"`
	// AcknowledgedRenewal is the Number of the newest renewal of this lease that a majority of the
	// voters knows of.
	AcknowledgedRenewal uint64 `json:"took,omitempty"`
	// Members is the number of sidecars that the core knows.
	Members        int                  `json:"members"`
	ConfigRevision ident.ConfigRevision `json:"manifest"`
	// Stale is true if the core cannot confirm that its configuration is the newest.
	Stale        bool           `json:"stale,omitempty"`
	Leaving      bool           `json:"leaving,omitempty"`
	CoresVersion string         `json:"view,omitempty"`
	Cores        []CoreLocation `json:"cores,omitempty"` // omitted if the sidecar has CoresVersion
}

// CoreLocation is the address and zone of a core. The zone is "" if unknown.
type CoreLocation struct {
	Addr ident.Addr `json:"addr"`
	Zone ident.Zone `json:"district,omitempty"`
}
