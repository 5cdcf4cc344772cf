// Package record defines the records of the registry: Service and Workload, joined as Address,
// and the messages that carry them between sidecars and cores. A record is the same for every
// sidecar that reads it.
package record

import (
	"slices"

	"cottonarch.example/cottonarch/base/ident"
)

// Status is the state of a workload.
type Status string

// The statuses.
const (
	// Unknown workloads have sent no heartbeat that reports their state yet.
	Unknown Status = "UNKNOWN"
	// Healthy workloads take requests.
	Healthy Status = "HEALTHY"
	// Unhealthy workloads are silent or report that they fail.
	Unhealthy Status = "UNHEALTHY"
	// Draining workloads finish their requests and take no new ones.
	Draining Status = "DRAINING"
)

// Network is the one network of the mesh, with which references are fully qualified.
const Network = "default"

// Workload is one endpoint. Invariant: UID names one run of one endpoint; on its machine an
// address belongs to one UID at a time.
type Workload struct {
	UID         ident.Server  `json:"uid"`
	Addresses   []ident.Addr  `json:"addresses"`
	Network     string        `json:"network"`
	Node        ident.Node    `json:"node"`
	SidecarAddr ident.Addr    `json:"gate"` // of the sidecar that admits requests to it
	Zone        ident.Zone    `json:"district"`
	Namespace   string        `json:"namespace"`
	Service     ident.Service `json:"service"`
	Identity    string        `json:"identity,omitempty"` // its SPIFFE id
	Weight      uint32        `json:"weight"`
	Status      Status        `json:"status"`
	Load        float64       `json:"burden"` // as the endpoint reports it
}

// Service is one group of workloads.
type Service struct {
	Namespace         string        `json:"namespace"`
	Hostname          ident.Service `json:"hostname"`
	DrainSeconds      float64       `json:"drainS"`
	ReuseAfterSeconds float64       `json:"reuseAfterS"` // when an address may be another workload's
	Hosts             []string      `json:"hosts,omitempty"`
}

// Address is a Workload or a Service. Invariant: exactly one is set.
type Address struct {
	Workload *Workload `json:"workload,omitempty"`
	Service  *Service  `json:"service,omitempty"`
}

// Key returns what an Address is looked up by: the UID of a workload, the namespace and host name of
// a service.
func (a Address) Key() string {
	if a.Workload != nil {
		return string(a.Workload.UID)
	}
	return a.Service.Namespace + "/" + string(a.Service.Hostname)
}

// Set is all records of one author: a sidecar, or the configuration, whose Author is "" and whose
// LeaseEpoch is its revision. Invariants: only the author changes its records; its versions are
// ordered by (LeaseEpoch, Seq, ConfigRevision), which only rises.
type Set struct {
	Author     ident.Node       `json:"author"`
	LeaseEpoch ident.LeaseEpoch `json:"claim"`
	Seq        uint64           `json:"seq"`
	// ConfigRevision is that of the configuration with which the records were built.
	ConfigRevision ident.ConfigRevision `json:"built"`
	// Lapsed reports whether the author's lease has lapsed, in the view of the core that gives the
	// set.
	Lapsed  bool      `json:"lapsed,omitempty"`
	Records []Address `json:"records"`
}

// OlderThan reports whether this version comes before another one of the same author.
func (s Set) OlderThan(other Set) bool {
	if s.LeaseEpoch != other.LeaseEpoch {
		return s.LeaseEpoch < other.LeaseEpoch
	}
	if s.Seq != other.Seq {
		return s.Seq < other.Seq
	}
	return s.ConfigRevision < other.ConfigRevision
}

// Report is what a sidecar reports of its machine.
type Report struct {
	Node           ident.Node           `json:"node"`
	Addr           ident.Addr           `json:"addr"`
	Zone           ident.Zone           `json:"district"`
	LeaseEpoch     ident.LeaseEpoch     `json:"claim"`
	Seq            uint64               `json:"seq"`
	ConfigRevision ident.ConfigRevision `json:"manifest"`
	Ready          bool                 `json:"ready"`
	Leaving        bool                 `json:"leaving,omitempty"`
	Workloads      []Workload           `json:"workloads"`
}

// EqualExceptLoad reports whether two reports are the same but for the workloads' load, which travels
// with the responses to requests.
func (r Report) EqualExceptLoad(other Report) bool {
	return r.Addr == other.Addr && r.Zone == other.Zone && r.Ready == other.Ready && r.Leaving == other.Leaving &&
		slices.EqualFunc(r.Workloads, other.Workloads, equalExceptLoad)
}

func equalExceptLoad(a, b Workload) bool {
	return a.UID == b.UID && a.Service == b.Service && a.Weight == b.Weight && a.Status == b.Status &&
		slices.Equal(a.Addresses, b.Addresses)
}
