package scenario

import (
	"fmt"
	"slices"
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/sim/world"
)

// Deployment describes the machines, the services and the load of a simulated mesh.
type Deployment struct {
	Name             string
	Cores            int
	ExtraCores       int // cores beyond the initial membership
	Sidecars         int
	Zones            int
	Services         []Service
	RequestKinds     []world.RequestKind
	Rate             float64 // requests per second over all machines
	Locks            int
	Keys             int     // keys that clients use in runs of real processes; simulated clients use keyCount
	CoordinationRate float64 // coordination operations per second
	ConfigInterval   time.Duration
}

// Service describes a service and its number of endpoints.
type Service struct {
	Name      ident.Service
	Host      string
	Endpoints int
}

// Deployments holds the built-in deployments by name.
var Deployments = map[string]Deployment{
	"prairie": {
		Name: "prairie", Cores: 3, Sidecars: 9, Zones: 3, Rate: 450, Locks: 80, Keys: 300, CoordinationRate: 50, ConfigInterval: 1500 * time.Millisecond,
		Services: []Service{{"accounts.prairie", "accounts.bank", 5}, {"payments.prairie", "payments.bank", 4}},
		RequestKinds: []world.RequestKind{
			{Name: "balance", Method: "GET", Host: "accounts.bank", Path: "/balance", Service: "accounts.prairie", Weight: 50},
			{Name: "statement", Method: "GET", Host: "accounts.bank", Path: "/statements/2026", Service: "accounts.prairie", Weight: 15, Repeat: "one_shot"},
			{Name: "move", Method: "POST", Host: "payments.bank", Path: "/moves", Service: "payments.prairie", Weight: 15},
			{Name: "bill", Method: "POST", Host: "payments.bank", Path: "/bills", Service: "payments.prairie", Weight: 12},
			{Name: "card", Method: "POST", Host: "payments.bank", Path: "/cards/check", Service: "payments.prairie", Weight: 8, Urgent: true},
		},
	},
	"volta": {
		Name: "volta", Cores: 5, Sidecars: 10, Zones: 3, Rate: 335, Locks: 12, Keys: 300, CoordinationRate: 40, ConfigInterval: 3 * time.Second,
		Services: []Service{{"wagons.volta", "wagons.rail", 4}, {"paths.volta", "paths.rail", 3}, {"tables.volta", "tables.rail", 3}},
		RequestKinds: []world.RequestKind{
			{Name: "wagon", Method: "GET", Host: "wagons.rail", Path: "/wagons", Service: "wagons.volta", Weight: 45},
			{Name: "upload", Method: "PUT", Host: "wagons.rail", Path: "/manifests", Service: "wagons.volta", Weight: 10, Repeat: "upload"},
			{Name: "book", Method: "POST", Host: "paths.rail", Path: "/paths", Service: "paths.volta", Weight: 25},
			{Name: "table", Method: "GET", Host: "tables.rail", Path: "/old", Service: "tables.volta", Weight: 20},
		},
	},
}

// WithSidecars returns the deployment with n sidecars and a proportional number of endpoints, at least
// two per service. If n is 0, WithSidecars returns the deployment unchanged.
func (d Deployment) WithSidecars(n int) Deployment {
	if n == 0 {
		return d
	}
	services := slices.Clone(d.Services)
	for i := range services {
		services[i].Endpoints = max(2, services[i].Endpoints*n/d.Sidecars)
	}
	d.Sidecars, d.Services = n, services
	return d
}

// zoneOf returns the zone of the machine with an index. Machines are spread evenly over the zones.
func (d Deployment) zoneOf(index int) ident.Zone {
	return ident.Zone(fmt.Sprintf("d%d", index%d.Zones))
}

// clientCount returns how many clients of ratePerClient operations per second reach the coordination
// rate, and at least minClients.
func (d Deployment) clientCount(ratePerClient float64, minClients int) int {
	return max(minClients, int(d.CoordinationRate/ratePerClient))
}
