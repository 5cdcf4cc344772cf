package record

import (
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/rollout/reconcile"
)

// Renewal renews a lease at one core. A renewal without a Report says that the one of (LeaseEpoch,
// Seq) still holds; a renewal without AttemptCounts that they have not changed. Invariant: Number
// rises with every renewal of one run of a sidecar.
type Renewal struct {
	Node           ident.Node           `json:"node"`
	LeaseEpoch     ident.LeaseEpoch     `json:"claim"`
	Seq            uint64               `json:"seq"`
	Number         uint64               `json:"beat"`
	ConfigRevision ident.ConfigRevision `json:"manifest"`
	// CoresVersion is that of the list of cores that the sidecar has.
	CoresVersion  string                                 `json:"view,omitempty"`
	Report        *Report                                `json:"report,omitempty"`
	AttemptCounts map[ident.Service]reconcile.CallCounts `json:"ends,omitempty"`
}

// RenewalResponse is the response to a renewal.
type RenewalResponse struct {
	// ReportRequired says that the core does not have the sidecar's report.
	ReportRequired bool `json:"want,omitempty"`
	// AcknowledgedRenewal is the Number of the newest renewal of this lease that a majority of the
	// voters has heard of.
	AcknowledgedRenewal uint64 `json:"took,omitempty"`
	// Members is how many sidecars the core sees.
	Members        int                  `json:"members"`
	ConfigRevision ident.ConfigRevision `json:"manifest"`
	// Stale says that the core can't tell whether it knows the newest configuration.
	Stale        bool           `json:"stale,omitempty"`
	Leaving      bool           `json:"leaving,omitempty"`
	CoresVersion string         `json:"view,omitempty"`
	Cores        []CoreLocation `json:"cores,omitempty"` // left out if the sidecar has CoresVersion
}

// CoreLocation is the address of a core and its zone, "" if that is not known.
type CoreLocation struct {
	Addr ident.Addr `json:"addr"`
	Zone ident.Zone `json:"district,omitempty"`
}
