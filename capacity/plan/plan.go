// Package plan holds the size that is asked about, its budgets, and which loopback
// address each machine of a measured mesh has.
package plan

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"time"

	"cottonarch.example/cottonarch/kernel/failure"
	"cottonarch.example/cottonarch/kernel/ident"
)

// Budget is what may be spent. Cores are processor cores, times are in the unit that
// the name ends with.
type Budget struct {
	AddedMs     float64 `json:"addedMs"`     // that both sidecars add to a call, at AddedPart
	AddedPart   float64 `json:"addedPart"`   // of the calls
	InForceS    float64 `json:"inForceS"`    // a change of configuration, everywhere
	NodeCores   float64 `json:"nodeCores"`   // a node's control
	NodeBytesS  float64 `json:"nodeBytesS"`  // a node's control, both ways together
	NodeMemory  float64 `json:"nodeMemory"`  // bytes
	CoreMachine int     `json:"coreMachine"` // machines set aside
}

// Target is the size that is asked about. Invariant: every figure is above nought and
// Districts is a multiple of Regions.
type Target struct {
	Nodes         int     `json:"nodes"`
	Services      int     `json:"services"`
	Ways          int     `json:"ways"`
	Cores         int     `json:"cores"`
	Regions       int     `json:"regions"`
	Districts     int     `json:"districts"`
	CallsS        float64 `json:"callsS"`
	Deep          int     `json:"deep"`
	ChangesDay    float64 `json:"changesDay"`
	RestartsDay   int     `json:"restartsDay"`
	LossesDay     float64 `json:"lossesDay"`
	ApartMinutes  float64 `json:"apartMinutes"`
	Budget        Budget  `json:"budget"`
	NodesAProcess int     `json:"nodesAProcess"`
	NodesAWave    int     `json:"nodesAWave"` // that start together when a mesh is brought up
}

// Default is the size of the users' brief.
func Default() Target {
	return Target{Nodes: 600, Services: 48, Ways: 5000, Cores: 5, Regions: 2, Districts: 8, CallsS: 71000, Deep: 16, ChangesDay: 300, RestartsDay: 58, LossesDay: 2, ApartMinutes: 5, NodesAProcess: 50, NodesAWave: 10,
		Budget: Budget{AddedMs: 1, AddedPart: 0.99, InForceS: 14, NodeCores: 0.01, NodeBytesS: 14 << 10, NodeMemory: 32 << 20, CoreMachine: 5}}
}

// Read lays a file over the default; "" is the default alone.
func Read(file string) (Target, error) {
	t := Default()
	if file != "" {
		raw, err := os.Open(file)
		if err != nil {
			return t, failure.New(failure.BadSettings, "%v", err)
		}
		defer func() { _ = raw.Close() }()
		dec := json.NewDecoder(raw)
		dec.DisallowUnknownFields()
		if err := dec.Decode(&t); err != nil {
			return t, failure.New(failure.BadSettings, "%s: %v", file, err)
		}
	}
	if d := t.Check(); d != nil {
		return t, d
	}
	return t, nil
}

// Check names every fault.
func (t Target) Check() *failure.Error {
	d := failure.New(failure.BadSettings, "the size can't be asked about")
	want := func(path string, ok bool, note string) {
		if !ok {
			d.Faults = append(d.Faults, failure.Fault{Path: path, Note: note})
		}
	}
	want("nodes", t.Nodes > 0 && t.Nodes <= 100000, "must be from 1 to 100000")
	want("services", t.Services > 0 && t.Services <= 5000, "must be from 1 to 5000")
	want("ways", t.Ways >= t.Services && t.Ways <= 20000, "must be from the number of services to 20000")
	want("cores", t.Cores > 0 && t.Cores <= 9 && t.Cores%2 == 1, "must be odd and at most 9")
	want("regions", t.Regions > 0 && t.Regions <= t.Districts, "must be from 1 to the districts")
	want("districts", t.Districts > 0 && t.Districts <= 60 && t.Regions > 0 && t.Districts%t.Regions == 0, "must be from 1 to 60 and a multiple of the regions")
	want("nodesAProcess", t.NodesAProcess > 0 && t.NodesAProcess <= 1000, "must be from 1 to 1000")
	want("nodesAWave", t.NodesAWave > 0, "must be above 0")
	want("callsS", t.CallsS > 0 && t.Deep > 0 && t.ChangesDay > 0, "callsS, deep and changesDay must be above 0")
	if len(d.Faults) > 0 {
		return d
	}
	return nil
}

const (
	first = 64  // second part of the addresses of district 0
	row   = 250 // machines in one third part
)

// District names the district of the i-th machine of its kind.
func (t Target) District(i int) ident.District {
	return ident.District(fmt.Sprintf("z%d", i%t.Districts))
}

// NodeIP is the address of a node: 127.(64+district).(1 and up).(1 to 250).
func (t Target) NodeIP(i int) string {
	j := i / t.Districts
	return fmt.Sprintf("127.%d.%d.%d", first+i%t.Districts, 1+j/row, 1+j%row)
}

// CoreSpot is the district of a core: they go by turns to the regions, the first of
// which has the majority.
func (t Target) CoreSpot(i int) int {
	each := t.Districts / t.Regions
	return (i%t.Regions)*each + (i/t.Regions)%each
}

// CoreIP is the address of a core.
func (t Target) CoreIP(i int) string { return fmt.Sprintf("127.%d.0.%d", first+t.CoreSpot(i), 1+i) }

// Region tells in which region an address lies, -1 when it is no machine's.
func (t Target) Region(ip string) int {
	a, err := netip.ParseAddr(ip)
	if err != nil || !a.Is4() {
		return -1
	}
	z := int(a.As4()[1]) - first
	if a.As4()[0] != 127 || z < 0 || z >= t.Districts {
		return -1
	}
	return z / (t.Districts / t.Regions)
}

// Service names the service that a node's endpoint belongs to.
func (t Target) Service(i int) ident.Service {
	return ident.Service(fmt.Sprintf("svc%03d.capacity", i%t.Services))
}

// Mark is a way whose limit tells the changes of a manifest apart.
const Mark = "w00000"

// Manifest is one of the target's services and ways; serial makes each other than the
// last.
func (t Target) Manifest(serial int) map[string]any {
	services, ways := map[string]any{}, map[string]any{}
	for i := range t.Services {
		services[string(t.Service(i))] = map[string]any{"namespace": "capacity", "drainS": 2}
	}
	for i := range t.Ways {
		svc := string(t.Service(i))
		ways[fmt.Sprintf("w%05d", i)] = map[string]any{"host": svc, "pathStart": fmt.Sprintf("/part%05d/", i), "service": svc, "timeoutMs": 3000 + serial%1000}
	}
	return map[string]any{"services": services, "ways": ways}
}

// Change is a part of a manifest that changes one way.
func (t Target) Change(serial int) map[string]any {
	svc := string(t.Service(0))
	return map[string]any{"ways": map[string]any{Mark: map[string]any{"host": svc, "pathStart": "/part00000/", "service": svc, "timeoutMs": 1000 + serial%1000}}}
}

// AtMost bounds any single wait.
const AtMost = 60 * time.Second

// The rings of a measured core: the smallest that a boot file may ask for, which leaves
// room for manifests.
const (
	RingBytes = 12 << 20
	RingFiles = 4
)
