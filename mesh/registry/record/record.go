// Package record holds the paper's universal resources: Service and Workload,
// joined as Address. A record is the same for every sidecar that asks.
package record

import (
	"fmt"
	"slices"

	"cottonarch.example/cottonarch/control/manifest/check"
	"cottonarch.example/cottonarch/control/rollout/drive"
	"cottonarch.example/cottonarch/kernel/ident"
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
	UID       ident.Server   `json:"uid"`
	Addresses []ident.Addr   `json:"addresses"`
	Network   string         `json:"network"`
	Node      ident.Node     `json:"node"`
	Gate      ident.Addr     `json:"gate"`
	District  ident.District `json:"district"`
	Namespace string         `json:"namespace"`
	Service   ident.Service  `json:"service"`
	Identity  string         `json:"identity,omitempty"`
	Weight    uint32         `json:"weight"`
	Status    Status         `json:"status"`
	Burden    float64        `json:"burden"`
}

// Service is one group of workloads.
type Service struct {
	Namespace string        `json:"namespace"`
	Hostname  ident.Service `json:"hostname"`
	DrainS    float64       `json:"drainS"`
	ReuseS    float64       `json:"reuseAfterS"`
	Hosts     []string      `json:"hosts,omitempty"`
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
	Author     ident.Node  `json:"author"`
	LeaseEpoch ident.Epoch `json:"claim"`
	Seq        uint64      `json:"seq"`
	Built      ident.Epoch `json:"built"`
	Lapsed     bool        `json:"lapsed,omitempty"`
	Records    []Address   `json:"records"`
}

// Older tells whether s comes before t.
func (s Set) Older(t Set) bool {
	if s.LeaseEpoch != t.LeaseEpoch {
		return s.LeaseEpoch < t.LeaseEpoch
	}
	if s.Seq != t.Seq {
		return s.Seq < t.Seq
	}
	return s.Built < t.Built
}

// Renewal keeps a lease fresh at one core. Report is there when that core may not have
// the one of (LeaseEpoch, Seq) yet, Ends when they changed. Invariants: Beat rises with every
// renewal of one run of a sidecar; a renewal without a Report says that nothing changed.
type Renewal struct {
	Node       ident.Node                   `json:"node"`
	LeaseEpoch ident.Epoch                  `json:"claim"`
	Seq        uint64                       `json:"seq"`
	Beat       uint64                       `json:"beat"`
	Manifest   ident.Epoch                  `json:"manifest"`
	View       string                       `json:"view,omitempty"` // of the cores, as last told
	Report     *Report                      `json:"report,omitempty"`
	Ends       map[ident.Service]drive.Ends `json:"ends,omitempty"`
}

// Renewed is the return to a renewal. Took is the newest beat of this lease that a
// majority of the voters has heard of. Stale says that this core can't tell whether it
// knows the newest manifest, Want that it needs the report.
type Renewed struct {
	Want     bool        `json:"want,omitempty"`
	Took     uint64      `json:"took,omitempty"`
	Members  int         `json:"members"`
	Manifest ident.Epoch `json:"manifest"`
	Stale    bool        `json:"stale,omitempty"`
	Leaving  bool        `json:"leaving,omitempty"`
	View     string      `json:"view,omitempty"`
	Cores    []Place     `json:"cores,omitempty"` // unless the view is as asked
}

// Place is where a core stands; District is empty when it is not known.
type Place struct {
	Addr     ident.Addr     `json:"addr"`
	District ident.District `json:"district,omitempty"`
}

// Report is what a sidecar says of its machine, whenever that changed.
type Report struct {
	Node       ident.Node     `json:"node"`
	Addr       ident.Addr     `json:"addr"`
	District   ident.District `json:"district"`
	LeaseEpoch ident.Epoch    `json:"claim"`
	Seq        uint64         `json:"seq"`
	Manifest   ident.Epoch    `json:"manifest"`
	Ready      bool           `json:"ready"`
	Leaving    bool           `json:"leaving,omitempty"`
	Workloads  []Workload     `json:"workloads"`
}

// Same tells whether two reports say the same, but for the workloads' burdens: those
// travel with the returns of requests.
func (r Report) Same(o Report) bool {
	return r.Addr == o.Addr && r.District == o.District && r.Ready == o.Ready && r.Leaving == o.Leaving &&
		slices.EqualFunc(r.Workloads, o.Workloads, func(a, b Workload) bool {
			return a.UID == b.UID && a.Service == b.Service && a.Weight == b.Weight && a.Status == b.Status && slices.Equal(a.Addresses, b.Addresses)
		})
}

// Join builds the author's records from its report and the manifest in force: a
// workload whose service no manifest names is left out.
func Join(r Report, m *check.Manifest) []Address {
	out := []Address{}
	if m == nil {
		return out
	}
	for _, w := range r.Workloads {
		svc, ok := m.Services[w.Service]
		if !ok {
			continue
		}
		w.Network, w.Node, w.Gate, w.District, w.Namespace = Network, r.Node, r.Addr, r.District, svc.Namespace
		w.Identity = fmt.Sprintf("spiffe://cottonarch/ns/%s/sa/%s", svc.Namespace, w.Service)
		w.Addresses = slices.Clone(w.Addresses)
		out = append(out, Address{Workload: &w})
	}
	return out
}

// Services builds the manifest's own set.
func Services(m *check.Manifest) Set {
	out := Set{Records: []Address{}}
	if m == nil {
		return out
	}
	out.LeaseEpoch = m.Epoch
	hosts := map[ident.Service][]string{}
	for _, w := range m.Ways {
		if !slices.Contains(hosts[w.Service], w.Host) {
			hosts[w.Service] = append(hosts[w.Service], w.Host)
		}
	}
	for _, s := range m.Services {
		out.Records = append(out.Records, Address{Service: &Service{
			Namespace: s.Namespace, Hostname: s.Hostname, DrainS: s.Drain.Seconds(), ReuseS: s.Reuse.Seconds(), Hosts: hosts[s.Hostname]}})
	}
	slices.SortFunc(out.Records, func(a, b Address) int {
		if a.Key() < b.Key() {
			return -1
		}
		return 1
	})
	return out
}
