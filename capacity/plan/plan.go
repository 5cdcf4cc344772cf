// Package plan describes the target mesh of a capacity estimate: the size, the cost budgets, the
// configuration, and the loopback addresses of the machines when a smaller mesh is measured.
package plan

import (
	"encoding/json"
	"os"
	"time"

	"cottonarch.example/cottonarch/base/failure"
)

// Budget holds the cost limits of a mesh.
type Budget struct {
	AddedLatencyMs       float64 `json:"addedMs"`     // latency that both sidecars together add to a call, at AddedLatencyQuantile
	AddedLatencyQuantile float64 `json:"addedPart"`   // quantile of the calls, 0 to 1
	ApplySeconds         float64 `json:"inForceS"`    // until all nodes have applied a configuration change
	NodeCores            float64 `json:"nodeCores"`   // CPU cores that a node's control traffic uses
	NodeBytesPerSecond   float64 `json:"nodeBytesS"`  // sent and received control traffic of a node
	NodeMemoryBytes      float64 `json:"nodeMemory"`  // memory of a sidecar
	CoreMachines         int     `json:"coreMachine"` // machines reserved for cores
}

// Target is the mesh whose cost is estimated. Invariant: every value that Validate checks is above zero,
// and Zones is a multiple of Regions.
type Target struct {
	Nodes            int     `json:"nodes"`
	Services         int     `json:"services"`
	Routes           int     `json:"ways"`
	Cores            int     `json:"cores"`
	Regions          int     `json:"regions"`
	Zones            int     `json:"districts"`
	CallsPerSecond   float64 `json:"callsS"`
	CallDepth        int     `json:"deep"` // sequential calls inside the mesh per external call
	ChangesPerDay    float64 `json:"changesDay"`
	RestartsPerDay   int     `json:"restartsDay"`
	LossesPerDay     float64 `json:"lossesDay"`
	PartitionMinutes float64 `json:"apartMinutes"` // how long regions may be partitioned
	Budget           Budget  `json:"budget"`
	NodesPerProcess  int     `json:"nodesAProcess"` // nodes per process in a measured mesh
	NodesPerWave     int     `json:"nodesAWave"`    // nodes that start together in a measured mesh
}

// Default returns the default target, the mesh size that users of the project ask about.
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

// Read returns the default target with the values of a JSON file, or the default alone if the file name
// is empty.
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

// Validate returns an error that lists every invalid value of the target, or nil.
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
	require("cores", t.Cores > 0 && t.Cores <= 9 && t.Cores%2 == 1, "must be an odd number from 1 to 9")
	require("regions", t.Regions > 0 && t.Regions <= t.Zones, "must be from 1 to the number of districts")
	require("districts", t.Zones > 0 && t.Zones <= 60 && t.Regions > 0 && t.Zones%t.Regions == 0,
		"must be from 1 to 60 and a multiple of the number of regions")
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

// Size and number of the ring files on a measured core's disk. RingBytes is the smallest size that the
// settings of a core allow; files of this size have room for configurations.
const (
	RingBytes = 12 << 20 // size of a file
	RingFiles = 4
)
