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
// (Claim, Seq, Built) orders its versions and only rises, Built being the manifest
// epoch it was joined under; Author "" is the manifest, whose Claim is its epoch. Lapsed is the giving core's own view, not the author's.
type Set struct {
	Author  ident.Node  `json:"author"`
	Claim   ident.Epoch `json:"claim"`
	Seq     uint64      `json:"seq"`
	Built   ident.Epoch `json:"built"`
	Lapsed  bool        `json:"lapsed,omitempty"`
	Records []Address   `json:"records"`
}

// Older tells whether s comes before t.
func (s Set) Older(t Set) bool {
	if s.Claim != t.Claim {
		return s.Claim < t.Claim
	}
	if s.Seq != t.Seq {
		return s.Seq < t.Seq
	}
	return s.Built < t.Built
}

// Report is what a sidecar says of its machine with each renewal.
type Report struct {
	Node      ident.Node     `json:"node"`
	Addr      ident.Addr     `json:"addr"`
	District  ident.District `json:"district"`
	Claim     ident.Epoch    `json:"claim"`
	Seq       uint64         `json:"seq"`
	Manifest  ident.Epoch    `json:"manifest"`
	Ready     bool           `json:"ready"`
	Leaving   bool           `json:"leaving,omitempty"`
	Workloads []Workload     `json:"workloads"`
	// Ends counts how this node's tries at each service ended, since its start.
	Ends map[ident.Service]drive.Ends `json:"ends,omitempty"`
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
	out.Claim = m.Epoch
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
