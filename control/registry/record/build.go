package record

import (
	"fmt"
	"slices"
	"strings"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/config/validation"
)

// FromReport builds a sidecar's records from its report and the configuration. Workloads whose
// service is not configured are omitted.
func FromReport(report Report, config *validation.Config) []Address {
	records := []Address{}
	if config == nil {
		return records
	}
	for _, workload := range report.Workloads {
		service, ok := config.Services[workload.Service]
		if !ok {
			continue
		}
		workload.Network = Network
		workload.Node = report.Node
		workload.SidecarAddr = report.Addr
		workload.Zone = report.Zone
		workload.Namespace = service.Namespace
		workload.Identity = fmt.Sprintf("spiffe://cottonarch/ns/%s/sa/%s", service.Namespace, workload.Service)
		workload.Addresses = slices.Clone(workload.Addresses)
		records = append(records, Address{Workload: &workload})
	}
	return records
}

// FromConfig builds the record set of the configuration itself: its services, sorted by key.
func FromConfig(config *validation.Config) Set {
	set := Set{Records: []Address{}}
	if config == nil {
		return set
	}
	set.LeaseEpoch = ident.LeaseEpoch(config.Revision) // orders the versions of this set
	hosts := hostsByService(config)
	for _, service := range config.Services {
		set.Records = append(set.Records, Address{Service: &Service{
			Namespace:         service.Namespace,
			Hostname:          service.Hostname,
			DrainSeconds:      service.DrainTimeout.Seconds(),
			ReuseAfterSeconds: service.AddressReuseDelay.Seconds(),
			Hosts:             hosts[service.Hostname],
		}})
	}
	slices.SortFunc(set.Records, func(a, b Address) int { return strings.Compare(a.Key(), b.Key()) })
	return set
}

// hostsByService returns, for each service, the distinct hosts of the routes to the service.
func hostsByService(config *validation.Config) map[ident.Service][]string {
	hosts := map[ident.Service][]string{}
	for _, route := range config.Routes {
		if !slices.Contains(hosts[route.Service], route.Host) {
			hosts[route.Service] = append(hosts[route.Service], route.Host)
		}
	}
	return hosts
}
