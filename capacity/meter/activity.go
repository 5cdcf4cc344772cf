package meter

import "strings"

// Activity is what processor time or messages are spent on, with the packages that carry it.
// Figures of earlier runs are stored under the names of activities, so these stay.
type Activity struct{ Name, Package string }

// The activities of the mesh and of what lies below it.
var (
	leases        = Activity{"leases", "mesh/lease, control/leasetable"}
	joins         = Activity{"entry", "daemon/api/mesh, control/coordination"}
	budgetShares  = Activity{"shares", "control/coordination/quota"}
	registry      = Activity{"registry", "mesh/registry, control/registry, control/leasetable"}
	configuration = Activity{"manifests", "control/config, daemon/api/mesh"}
	coreMessages  = Activity{"core to core", "control/core, control/register"}
	antiEntropy   = Activity{"sweep", "control/register/quorumread"}
	peerCache     = Activity{"witness", "mesh/configcache"}
	heartbeats    = Activity{"beats", "mesh/endpoint"}
	coordination  = Activity{"coordination", "control/coordination"}
	disk          = Activity{"disk", "storage/ring"}
	coreLoop      = Activity{"loop of the core", "daemon/core"}
	sidecarLoops  = Activity{"loops of the sidecar", "daemon/sidecar"}
	measuring     = Activity{"the measuring itself", "capacity"}
	transport     = Activity{"transport", "net/http, kratos"}
	collection    = Activity{"garbage collection", "Go runtime"}
	scheduling    = Activity{"scheduling, timers", "Go runtime"}
)

// Names for what is not in the tables.
const (
	otherActivity  = "other"
	unknownPackage = "?"
)

// activityByPath gives the activity of each HTTP path; a path that is not here is an activity
// of its own.
var activityByPath = map[string]Activity{
	"/cottonarch/v1/renew":    leases,
	"/cottonarch/v1/claim":    joins,
	"/cottonarch/v1/share":    budgetShares,
	"/cottonarch/v1/news":     registry,
	"/cottonarch/v1/part":     configuration,
	"/manifest":               configuration,
	"/cottonarch/v1/messages": coreMessages,
	"/cottonarch/v1/heard":    peerCache,
	"/cottonarch/v1/peer":     peerCache,
	"/cottonarch/v1/cores":    joins,
	"/beat":                   heartbeats,
	"/locks":                  coordination,
	"/numbers":                coordination,
	"/keys":                   coordination,
	"/watch":                  coordination,
}

// functionActivity gives the activity of functions whose name starts with a prefix.
type functionActivity struct {
	prefix   string
	activity Activity
}

const modulePrefix = "cottonarch.example/cottonarch/"

// activityByFunction gives the activity of work that has no path, by the prefix of a
// function's name below modulePrefix. The first that fits counts.
var activityByFunction = []functionActivity{
	{"daemon/api/mesh.handlers.renew", leases},
	{"daemon/api/mesh.handlers.watch", registry},
	{"control/leasetable.(*Table).ChangesSince", registry},
	{"control/leasetable.(*Table).SetConfig", registry},
	{"control/leasetable", leases},
	{"mesh/lease", leases},
	{"control/registry", registry},
	{"mesh/registry", registry},
	{"control/register/quorumread", antiEntropy},
	{"control/register/acceptor.(*Acceptor).Scan", antiEntropy},
	{"control/core/node.(*Node).repairLagging", antiEntropy},
	{"control/config", configuration},
	{"control/audit", configuration},
	{"daemon/core.(*Core).NewestConfig", configuration},
	{"daemon/core.(*Core).sendTo", coreMessages},
	{"daemon/core.(*Core).journalLoop", disk},
	{"storage/ring", disk},
	{"control/", coreMessages},
	{"daemon/core", coreLoop},
	{"mesh/configcache", peerCache},
	{"mesh/endpoint", heartbeats},
	{"daemon/sidecar.(*renewer)", leases},
	{"daemon/sidecar.(*leaseJoiner)", leases},
	{"daemon/sidecar.(*Sidecar).renew", leases},
	{"daemon/sidecar.(*Sidecar).handleRenewal", leases},
	{"daemon/sidecar.(*Sidecar).handleFailedRenewal", leases},
	{"daemon/sidecar.(*Sidecar).handleLateRenewal", leases},
	{"daemon/sidecar.(*Sidecar).requestBudgetShare", budgetShares},
	{"daemon/sidecar.(*configWatch)", registry},
	{"daemon/sidecar.(*Sidecar).acceptWhole", configuration},
	{"daemon/sidecar.(*Sidecar).notifyPeer", peerCache},
	{"daemon/sidecar.(*peerQuerier)", peerCache},
	{"daemon/sidecar", sidecarLoops},
	{"capacity/", measuring},
}

// activityByOutermost gives the activity of work in which no function of this project is
// found, by the prefix of the outermost function's whole name.
var activityByOutermost = []functionActivity{
	{"net/http.", transport},
	{"runtime.gcBgMarkWorker", collection},
	{"runtime.bgsweep", collection},
	{"runtime.bgscavenge", collection},
	{"runtime.", scheduling},
}

// activityOfFunction finds the first entry of a table that a function's name fits.
func activityOfFunction(table []functionActivity, name string) (Activity, bool) {
	for _, entry := range table {
		if strings.HasPrefix(name, entry.prefix) {
			return entry.activity, true
		}
	}
	return Activity{}, false
}

// ActivityOf gives the activity of a path.
func ActivityOf(path string) Activity {
	if activity, ok := activityByPath[path]; ok {
		return activity
	}
	return Activity{strings.TrimPrefix(path, "/cottonarch"), unknownPackage}
}

// PackageOf gives the packages that carry an activity, by its name.
func PackageOf(name string) string {
	for _, activity := range activityByPath {
		if activity.Name == name {
			return activity.Package
		}
	}
	for _, table := range [][]functionActivity{activityByFunction, activityByOutermost} {
		for _, entry := range table {
			if entry.activity.Name == name {
				return entry.activity.Package
			}
		}
	}
	return unknownPackage
}
