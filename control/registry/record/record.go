// Package record defines the records of the registry, Service and Workload, with their union type
// Address, and the messages that carry records between sidecars and cores. A record is the same
// for every sidecar that reads it.
package record

import (
	"slices"

	"cottonarch.example/cottonarch/base/ident"
)

// Status is the health status of a workload.
type Status string

// The statuses of a workload.
const (
	// Unknown workloads have not yet sent a heartbeat that reports their state.
	Unknown Status = "UNKNOWN"
	// Healthy workloads take requests.
	Healthy Status = "HEALTHY"
	// Unhealthy workloads have stopped sending heartbeats or report a failure.
	Unhealthy Status = "UNHEALTHY"
	// Draining workloads finish their requests and take no new requests.
	Draining Status = "DRAINING"
)

// Network is the name of the only network of the mesh. The lookup of a workload by address uses the
// key "network/ip:port".
const Network = "default"

// Workload is one endpoint. Invariants: UID identifies one run of one endpoint; on a machine, an
// address belongs to one UID at a time.
type Workload struct {
	UID         ident.Server  `json:"uid"`
	Addresses   []ident.Addr  `json:"addresses"`
	Network     string        `json:"network"`
	Node        ident.Node    `json:"node"`
	SidecarAddr ident.Addr    `json:"gate"` // address of the sidecar that admits requests to the workload
	Zone        ident.Zone    `json:"district"`
	Namespace   string        `json:"namespace"`
	Service     ident.Service `json:"service"`
	Identity    string        `json:"identity,omitempty"` // SPIFFE ID
	Weight      uint32        `json:"weight"`
	Status      Status        `json:"status"`
	Load        float64       `json:"burden"` // as reported in the endpoint's heartbeat
}

// Service is a named group of workloads.
type Service struct {
	Namespace         string        `json:"namespace"`
	Hostname          ident.Service `json:"hostname"`
	DrainSeconds      float64       `json:"drainS"`
	ReuseAfterSeconds float64       `json:"reuseAfterS"` // delay before an address may belong to another workload
	// Hosts are the hosts of the routes to the service.
	Hosts []string `json:"hosts,omitempty"`
}

// Address is the union of Workload and Service. Invariant: exactly one of the fields is set.
type Address struct {
	Workload *Workload `json:"workload,omitempty"`
	Service  *Service  `json:"service,omitempty"`
}

// Key returns the lookup key of the record: the UID of a workload, or the namespace and host name
// of a service.
func (a Address) Key() string {
	if a.Workload != nil {
		return string(a.Workload.UID)
	}
	return a.Service.Namespace + "/" + string(a.Service.Hostname)
}

// Set holds all records of one author. The author is a sidecar, or the configuration; the set of
// the configuration has the Author "" and the configuration's revision as LeaseEpoch. Invariants:
// only the author changes its records; the versions of a set are ordered by (LeaseEpoch, Seq,
// ConfigRevision), which never decreases.
type Set struct {
	Author     ident.Node       `json:"author"`
	LeaseEpoch ident.LeaseEpoch `json:"claim"`
	Seq        uint64           `json:"seq"`
	// ConfigRevision is the revision of the configuration from which the records were built.
	ConfigRevision ident.ConfigRevision `json:"built"`
	// Lapsed is true if the author's lease has lapsed according to the core that sends the set.
	Lapsed  bool      `json:"lapsed,omitempty"`
	Records []Address `json:"records"`
}

// OlderThan reports whether the set is an older version than another set of the same author.
func (s Set) OlderThan(other Set) bool {
	if s.LeaseEpoch != other.LeaseEpoch {
		return s.LeaseEpoch < other.LeaseEpoch
	}
	if s.Seq != other.Seq {
		return s.Seq < other.Seq
	}
	return s.ConfigRevision < other.ConfigRevision
}

// Report is a sidecar's report on itself and on the workloads of its machine.
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

// EqualExceptLoad reports whether two reports describe the same state apart from the load of the
// workloads. Callers learn the current load from the load reports in responses instead.
func (r Report) EqualExceptLoad(other Report) bool {
	return r.Addr == other.Addr && r.Zone == other.Zone && r.Ready == other.Ready && r.Leaving == other.Leaving &&
		slices.EqualFunc(r.Workloads, other.Workloads, equalExceptLoad)
}

func equalExceptLoad(a, b Workload) bool {
	return a.UID == b.UID && a.Service == b.Service && a.Weight == b.Weight && a.Status == b.Status &&
		slices.Equal(a.Addresses, b.Addresses)
}
