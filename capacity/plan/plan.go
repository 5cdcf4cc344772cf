// Package plan holds the size that is asked about, its budgets, and which loopback
// address each machine of a measured mesh has.
package plan

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
)

// Budget is what may be spent. Cores are processor cores, times are in the unit that
// the name ends with.
type Budget struct {
	AddedLatencyMs       float64 `json:"addedMs"`     // that both sidecars add to a call, at AddedPart
	AddedLatencyQuantile float64 `json:"addedPart"`   // of the calls
	ApplySeconds         float64 `json:"inForceS"`    // a change of configuration, everywhere
	NodeCores            float64 `json:"nodeCores"`   // a node's control
	NodeBytesPerSecond   float64 `json:"nodeBytesS"`  // a node's control, both ways together
	NodeMemoryBytes      float64 `json:"nodeMemory"`  // bytes
	CoreMachines         int     `json:"coreMachine"` // machines set aside
}

// Target is the size that is asked about. Invariant: every figure is above nought and
// Districts is a multiple of Regions.
type Target struct {
	Nodes            int     `json:"nodes"`
	Services         int     `json:"services"`
	Routes           int     `json:"ways"`
	Cores            int     `json:"cores"`
	Regions          int     `json:"regions"`
	Zones            int     `json:"districts"`
	CallsPerSecond   float64 `json:"callsS"`
	CallDepth        int     `json:"deep"`
	ChangesPerDay    float64 `json:"changesDay"`
	RestartsPerDay   int     `json:"restartsDay"`
	LossesPerDay     float64 `json:"lossesDay"`
	PartitionMinutes float64 `json:"apartMinutes"`
	Budget           Budget  `json:"budget"`
	NodesPerProcess  int     `json:"nodesAProcess"`
	NodesPerWave     int     `json:"nodesAWave"` // that start together when a mesh is brought up
}

// Default is the size of the users' brief.
func Default() Target {
	return Target{Nodes: 600, Services: 48, Routes: 5000, Cores: 5, Regions: 2, Zones: 8, CallsPerSecond: 71000, CallDepth: 16, ChangesPerDay: 300, RestartsPerDay: 58, LossesPerDay: 2, PartitionMinutes: 5, NodesPerProcess: 50, NodesPerWave: 10,
		Budget: Budget{AddedLatencyMs: 1, AddedLatencyQuantile: 0.99, ApplySeconds: 14, NodeCores: 0.01, NodeBytesPerSecond: 14 << 10, NodeMemoryBytes: 32 << 20, CoreMachines: 5}}
}

// Read lays a file over the default; "" is the default alone.
func Read(file string) (Target, error) {
	t := Default()
	if file != "" {
		opened, err := os.Open(file)
		if err != nil {
			return t, failure.New(failure.BadSettings, "%v", err)
		}
		defer func() { _ = opened.Close() }()
		decoder := json.NewDecoder(opened)
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&t); err != nil {
			return t, failure.New(failure.BadSettings, "%s: %v", file, err)
		}
	}
	if fault := t.Validate(); fault != nil {
		return t, fault
	}
	return t, nil
}

// Validate names every fault.
func (t Target) Validate() *failure.Error {
	fault := failure.New(failure.BadSettings, "the size can't be asked about")
	require := func(path string, ok bool, note string) {
		if !ok {
			fault.Faults = append(fault.Faults, failure.Fault{Path: path, Note: note})
		}
	}
	require("nodes", t.Nodes > 0 && t.Nodes <= 100000, "must be from 1 to 100000")
	require("services", t.Services > 0 && t.Services <= 5000, "must be from 1 to 5000")
	require("ways", t.Routes >= t.Services && t.Routes <= 20000, "must be from the number of services to 20000")
	require("cores", t.Cores > 0 && t.Cores <= 9 && t.Cores%2 == 1, "must be odd and at most 9")
	require("regions", t.Regions > 0 && t.Regions <= t.Zones, "must be from 1 to the districts")
	require("districts", t.Zones > 0 && t.Zones <= 60 && t.Regions > 0 && t.Zones%t.Regions == 0, "must be from 1 to 60 and a multiple of the regions")
	require("nodesAProcess", t.NodesPerProcess > 0 && t.NodesPerProcess <= 1000, "must be from 1 to 1000")
	require("nodesAWave", t.NodesPerWave > 0, "must be above 0")
	require("callsS", t.CallsPerSecond > 0 && t.CallDepth > 0 && t.ChangesPerDay > 0, "callsS, deep and changesDay must be above 0")
	if len(fault.Faults) > 0 {
		return fault
	}
	return nil
}

const (
	firstZoneOctet   = 64  // second part of the addresses of district 0
	machinesPerOctet = 250 // machines in one third part
)

// Zone names the district of the i-th machine of its kind.
func (t Target) Zone(i int) ident.Zone {
	return ident.Zone(fmt.Sprintf("z%d", i%t.Zones))
}

// NodeIP is the address of a node: 127.(64+district).(1 and up).(1 to 250).
func (t Target) NodeIP(i int) string {
	indexInZone := i / t.Zones
	return fmt.Sprintf("127.%d.%d.%d", firstZoneOctet+i%t.Zones, 1+indexInZone/machinesPerOctet, 1+indexInZone%machinesPerOctet)
}

// CoreZone is the district of a core: they go by turns to the regions, the first of
// which has the majority.
func (t Target) CoreZone(i int) int {
	zonesPerRegion := t.Zones / t.Regions
	return (i%t.Regions)*zonesPerRegion + (i/t.Regions)%zonesPerRegion
}

// CoreIP is the address of a core.
func (t Target) CoreIP(i int) string {
	return fmt.Sprintf("127.%d.0.%d", firstZoneOctet+t.CoreZone(i), 1+i)
}

// Region tells in which region an address lies, -1 when it is no machine's.
func (t Target) Region(ip string) int {
	addr, err := netip.ParseAddr(ip)
	if err != nil || !addr.Is4() {
		return -1
	}
	zone := int(addr.As4()[1]) - firstZoneOctet
	if addr.As4()[0] != 127 || zone < 0 || zone >= t.Zones {
		return -1
	}
	return zone / (t.Zones / t.Regions)
}

// Service names the service that a node's endpoint belongs to.
func (t Target) Service(i int) ident.Service {
	return ident.Service(fmt.Sprintf("svc%03d.capacity", i%t.Services))
}

// ChangedRoute is a way whose limit tells the changes of a manifest apart.
const ChangedRoute = "w00000"

// Config is one of the target's services and ways; serial makes each other than the
// last.
func (t Target) Config(serial int) map[string]any {
	services, routes := map[string]any{}, map[string]any{}
	for i := range t.Services {
		services[string(t.Service(i))] = map[string]any{"namespace": "capacity", "drainS": 2}
	}
	for i := range t.Routes {
		service := string(t.Service(i))
		routes[fmt.Sprintf("w%05d", i)] = map[string]any{"host": service, "pathStart": fmt.Sprintf("/part%05d/", i), "service": service, "timeoutMs": 3000 + serial%1000}
	}
	return map[string]any{"services": services, "ways": routes}
}

// Patch is a part of a manifest that changes one way.
func (t Target) Patch(serial int) map[string]any {
	service := string(t.Service(0))
	return map[string]any{"ways": map[string]any{ChangedRoute: map[string]any{"host": service, "pathStart": "/part00000/", "service": service, "timeoutMs": 1000 + serial%1000}}}
}

// MaxWait bounds any single wait.
const MaxWait = 60 * time.Second

// The rings of a measured core: the smallest that a boot file may ask for, which leaves
// room for manifests.
const (
	RingBytes = 12 << 20
	RingFiles = 4
)
