// Package record holds the paper's universal resources: Service and Workload,
// joined as Address. A record is the same for every sidecar that asks.
package record

import (
	"fmt"
	"slices"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/config/validation"
	"cottonarch.example/cottonarch/control/rollout/reconcile"
)

// Status is the paper's WorkloadStatus.
type Status string

// The statuses.
const (
	Unknown   Status = "UNKNOWN"
	Healthy   Status = "HEALTHY"
	Unhealthy Status = "UNHEALTHY"
	Draining  Status = "DRAINING"
)

// Network is the one network of the mesh; references are fully qualified with it.
const Network = "default"

// Workload is one endpoint. Invariant: UID names one run of one endpoint; an
// address belongs to one UID at a time on its machine.
type Workload struct {
	UID         ident.Server  `json:"uid"`
	Addresses   []ident.Addr  `json:"addresses"`
	Network     string        `json:"network"`
	Node        ident.Node    `json:"node"`
	SidecarAddr ident.Addr    `json:"gate"`
	Zone        ident.Zone    `json:"district"`
	Namespace   string        `json:"namespace"`
	Service     ident.Service `json:"service"`
	Identity    string        `json:"identity,omitempty"`
	Weight      uint32        `json:"weight"`
	Status      Status        `json:"status"`
	Load        float64       `json:"burden"`
}

// Service is one group of workloads.
type Service struct {
	Namespace         string        `json:"namespace"`
	Hostname          ident.Service `json:"hostname"`
	DrainSeconds      float64       `json:"drainS"`
	ReuseAfterSeconds float64       `json:"reuseAfterS"`
	Hosts             []string      `json:"hosts,omitempty"`
}

// Address joins the two. Invariant: exactly one is set.
type Address struct {
	Workload *Workload `json:"workload,omitempty"`
	Service  *Service  `json:"service,omitempty"`
}

// Key is what an Address is looked up by.
func (a Address) Key() string {
	if a.Workload != nil {
		return string(a.Workload.UID)
	}
	return a.Service.Namespace + "/" + string(a.Service.Hostname)
}

// Set is all the records of one author. Invariants: only its author changes it;
// (LeaseEpoch, Seq, Built) orders its versions and only rises, Built being the manifest
// epoch it was joined under; Author "" is the manifest, whose LeaseEpoch is its epoch. Lapsed is the giving core's own view, not the author's.
type Set struct {
	Author         ident.Node  `json:"author"`
	LeaseEpoch     ident.Epoch `json:"claim"`
	Seq            uint64      `json:"seq"`
	ConfigRevision ident.Epoch `json:"built"`
	Lapsed         bool        `json:"lapsed,omitempty"`
	Records        []Address   `json:"records"`
}

// Older tells whether s comes before t.
func (s Set) Older(other Set) bool {
	if s.LeaseEpoch != other.LeaseEpoch {
		return s.LeaseEpoch < other.LeaseEpoch
	}
	if s.Seq != other.Seq {
		return s.Seq < other.Seq
	}
	return s.ConfigRevision < other.ConfigRevision
}

// Renewal keeps a lease fresh at one core. Report is there when that core may not have
// the one of (LeaseEpoch, Seq) yet, Ends when they changed. Invariants: Beat rises with every
// renewal of one run of a sidecar; a renewal without a Report says that nothing changed.
type Renewal struct {
	Node           ident.Node                             `json:"node"`
	LeaseEpoch     ident.Epoch                            `json:"claim"`
	Seq            uint64                                 `json:"seq"`
	Number         uint64                                 `json:"beat"`
	ConfigRevision ident.Epoch                            `json:"manifest"`
	CoresVersion   string                                 `json:"view,omitempty"` // of the cores, as last told
	Report         *Report                                `json:"report,omitempty"`
	AttemptCounts  map[ident.Service]reconcile.CallCounts `json:"ends,omitempty"`
}

// RenewalResponse is the return to a renewal. Took is the newest beat of this lease that a
// majority of the voters has heard of. Stale says that this core can't tell whether it
// knows the newest manifest, Want that it needs the report.
type RenewalResponse struct {
	ReportWanted        bool           `json:"want,omitempty"`
	AcknowledgedRenewal uint64         `json:"took,omitempty"`
	Members             int            `json:"members"`
	ConfigRevision      ident.Epoch    `json:"manifest"`
	Stale               bool           `json:"stale,omitempty"`
	Leaving             bool           `json:"leaving,omitempty"`
	CoresVersion        string         `json:"view,omitempty"`
	Cores               []CoreLocation `json:"cores,omitempty"` // unless the view is as asked
}

// CoreLocation is where a core stands; District is empty when it is not known.
type CoreLocation struct {
	Addr ident.Addr `json:"addr"`
	Zone ident.Zone `json:"district,omitempty"`
}

// Report is what a sidecar says of its machine, whenever that changed.
type Report struct {
	Node           ident.Node  `json:"node"`
	Addr           ident.Addr  `json:"addr"`
	Zone           ident.Zone  `json:"district"`
	LeaseEpoch     ident.Epoch `json:"claim"`
	Seq            uint64      `json:"seq"`
	ConfigRevision ident.Epoch `json:"manifest"`
	Ready          bool        `json:"ready"`
	Leaving        bool        `json:"leaving,omitempty"`
	Workloads      []Workload  `json:"workloads"`
}

// SameExceptLoad tells whether two reports say the same, but for the workloads' burdens: those
// travel with the returns of requests.
func (r Report) SameExceptLoad(other Report) bool {
	return r.Addr == other.Addr && r.Zone == other.Zone && r.Ready == other.Ready && r.Leaving == other.Leaving &&
		slices.EqualFunc(r.Workloads, other.Workloads, func(a, b Workload) bool {
			return a.UID == b.UID && a.Service == b.Service && a.Weight == b.Weight && a.Status == b.Status && slices.Equal(a.Addresses, b.Addresses)
		})
}

// FromReport builds the author's records from its report and the manifest in force: a
// workload whose service no manifest names is left out.
func FromReport(report Report, cfg *validation.Config) []Address {
	out := []Address{}
	if cfg == nil {
		return out
	}
	for _, workload := range report.Workloads {
		service, ok := cfg.Services[workload.Service]
		if !ok {
			continue
		}
		workload.Network, workload.Node, workload.SidecarAddr, workload.Zone, workload.Namespace = Network, report.Node, report.Addr, report.Zone, service.Namespace
		workload.Identity = fmt.Sprintf("spiffe://cottonarch/ns/%s/sa/%s", service.Namespace, workload.Service)
		workload.Addresses = slices.Clone(workload.Addresses)
		out = append(out, Address{Workload: &workload})
	}
	return out
}

// FromConfig builds the manifest's own set.
func FromConfig(cfg *validation.Config) Set {
	out := Set{Records: []Address{}}
	if cfg == nil {
		return out
	}
	out.LeaseEpoch = cfg.Revision
	hosts := map[ident.Service][]string{}
	for _, route := range cfg.Routes {
		if !slices.Contains(hosts[route.Service], route.Host) {
			hosts[route.Service] = append(hosts[route.Service], route.Host)
		}
	}
	for _, service := range cfg.Services {
		out.Records = append(out.Records, Address{Service: &Service{
			Namespace: service.Namespace, Hostname: service.Hostname, DrainSeconds: service.DrainTimeout.Seconds(), ReuseAfterSeconds: service.AddressReuseDelay.Seconds(), Hosts: hosts[service.Hostname]}})
	}
	slices.SortFunc(out.Records, func(a, b Address) int {
		if a.Key() < b.Key() {
			return -1
		}
		return 1
	})
	return out
}
