// Package plan describes the mesh whose cost is asked about: its size, the budgets that its
// cost is held against, its configuration, and the loopback address of each machine when a
// smaller one is measured.
package plan

import (
	"encoding/json"
	"os"
	"time"

	"cottonarch.example/cottonarch/base/failure"
)

// Budget is what a mesh may cost.
type Budget struct {
	AddedLatencyMs       float64 `json:"addedMs"`     // that both sidecars add to a call, at AddedLatencyQuantile
	AddedLatencyQuantile float64 `json:"addedPart"`   // of the calls
	ApplySeconds         float64 `json:"inForceS"`    // until a change of configuration is in force everywhere
	NodeCores            float64 `json:"nodeCores"`   // processor cores that a node's control traffic takes
	NodeBytesPerSecond   float64 `json:"nodeBytesS"`  // of a node's control traffic, sent and received
	NodeMemoryBytes      float64 `json:"nodeMemory"`  // of a sidecar
	CoreMachines         int     `json:"coreMachine"` // machines set aside for cores
}

// Target is the mesh that is asked about. Invariant: every figure is above zero and Zones is a
// multiple of Regions.
type Target struct {
	Nodes            int     `json:"nodes"`
	Services         int     `json:"services"`
	Routes           int     `json:"ways"`
	Cores            int     `json:"cores"`
	Regions          int     `json:"regions"`
	Zones            int     `json:"districts"`
	CallsPerSecond   float64 `json:"callsS"`
	CallDepth        int     `json:"deep"` // calls that one call from outside leads to, one after the other
	ChangesPerDay    float64 `json:"changesDay"`
	RestartsPerDay   int     `json:"restartsDay"`
	LossesPerDay     float64 `json:"lossesDay"`
	PartitionMinutes float64 `json:"apartMinutes"` // that regions may be cut apart
	Budget           Budget  `json:"budget"`
	NodesPerProcess  int     `json:"nodesAProcess"` // when a mesh is measured
	NodesPerWave     int     `json:"nodesAWave"`    // that start together when a measured mesh is brought up
}

// Default is the size that the project's users ask about.
func Default() Target {
	return Target{
		Nodes:            600,
		Services:         48,
		Routes:           5000,
		Cores:            5,
		Regions:          2,
		Zones:            8,
		CallsPerSecond:   71000,
		CallDepth:        16,
		ChangesPerDay:    300,
		RestartsPerDay:   58,
		LossesPerDay:     2,
		PartitionMinutes: 5,
		NodesPerProcess:  50,
		NodesPerWave:     10,
		Budget: Budget{
			AddedLatencyMs:       1,
			AddedLatencyQuantile: 0.99,
			ApplySeconds:         14,
			NodeCores:            0.01,
			NodeBytesPerSecond:   14 << 10,
			NodeMemoryBytes:      32 << 20,
			CoreMachines:         5,
		},
	}
}

// Read reads a JSON file over the default; an empty name gives the default alone.
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
	if err := t.Validate(); err != nil {
		return t, err
	}
	return t, nil
}

// Validate returns every fault of the target, or nil.
func (t Target) Validate() *failure.Error {
	invalid := failure.New(failure.BadSettings, "the target is invalid")
	require := func(path string, ok bool, note string) {
		if !ok {
			invalid.Faults = append(invalid.Faults, failure.Fault{Path: path, Message: note})
		}
	}
	require("nodes", t.Nodes > 0 && t.Nodes <= 100000, "must be from 1 to 100000")
	require("services", t.Services > 0 && t.Services <= 5000, "must be from 1 to 5000")
	require("ways", t.Routes >= t.Services && t.Routes <= 20000, "must be from the number of services to 20000")
	require("cores", t.Cores > 0 && t.Cores <= 9 && t.Cores%2 == 1, "must be odd and at most 9")
	require("regions", t.Regions > 0 && t.Regions <= t.Zones, "must be from 1 to the districts")
	require("districts", t.Zones > 0 && t.Zones <= 60 && t.Regions > 0 && t.Zones%t.Regions == 0,
		"must be from 1 to 60 and a multiple of the regions")
	require("nodesAProcess", t.NodesPerProcess > 0 && t.NodesPerProcess <= 1000, "must be from 1 to 1000")
	require("nodesAWave", t.NodesPerWave > 0, "must be above 0")
	require("callsS", t.CallsPerSecond > 0 && t.CallDepth > 0 && t.ChangesPerDay > 0, "callsS, deep and changesDay must be above 0")
	if len(invalid.Faults) > 0 {
		return invalid
	}
	return nil
}

// MaxWait bounds any single wait of a measurement.
const MaxWait = 60 * time.Second

// Size of a measured core's disk: the smallest ring files that a core's settings allow, which
// have room for configurations.
const (
	RingBytes = 12 << 20 // of a file
	RingFiles = 4
)
