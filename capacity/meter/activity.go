package meter

import "strings"

// Activity is a purpose that CPU time or messages are spent on, with the packages that implement the
// activity. Results of earlier runs are stored under the names of activities, so the names must not
// change.
type Activity struct{ Name, Package string }

// The activities of the mesh, of the measurement and of the Go runtime.
var (
	leases            = Activity{"leases", "mesh/lease, control/leasetable"}
	joins             = Activity{"entry", "daemon/api/mesh, control/coordination"}
	budgetShares      = Activity{"shares", "control/coordination/quota"}
	registry          = Activity{"registry", "mesh/registry, control/registry, control/leasetable"}
	configuration     = Activity{"manifests", "control/config, daemon/api/mesh"}
	coreMessages      = Activity{"core to core", "control/core, control/register"}
	antiEntropy       = Activity{"sweep", "control/register/quorumread"}
	peerCache         = Activity{"witness", "mesh/configcache"}
	heartbeats        = Activity{"beats", "mesh/endpoint"}
	coordination      = Activity{"coordination", "control/coordination"}
	disk              = Activity{"disk", "storage/ring"}
	coreLoop          = Activity{"loop of the core", "daemon/core"}
	sidecarLoops      = Activity{"loops of the sidecar", "daemon/sidecar"}
	measurement       = Activity{"the measuring itself", "capacity"}
	httpTransport     = Activity{"transport", "net/http, kratos"}
	garbageCollection = Activity{"garbage collection", "Go runtime"}
	runtimeScheduling = Activity{"scheduling, timers", "Go runtime"}
)

// Names for activities and packages that are not in the tables.
const (
	otherActivity  = "other"
	unknownPackage = "?"
)

// activityByPath maps HTTP paths to activities. A path that is not in the map is an activity of its own.
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

// functionActivity assigns functions whose name starts with a prefix to an activity.
type functionActivity struct {
	prefix   string
	activity Activity
}

const modulePrefix = "cottonarch.example/cottonarch/"

// activityByFunction maps functions of this module to activities, for samples without a path label.
// Each entry holds a prefix of function names without modulePrefix. The first match applies.
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
	{"daemon/core.(*Core).sendLoop", coreMessages},
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
	{"capacity/", measurement},
}

// activityByOutermostFunction maps the outermost function of a stack to an activity, for samples without
// a known function of this module. Each entry holds a prefix of full function names.
var activityByOutermostFunction = []functionActivity{
	{"net/http.", httpTransport},
	{"runtime.gcBgMarkWorker", garbageCollection},
	{"runtime.bgsweep", garbageCollection},
	{"runtime.bgscavenge", garbageCollection},
	{"runtime.", runtimeScheduling},
}

// lookUpActivity returns the activity of the first entry in a table that matches a function name.
func lookUpActivity(table []functionActivity, name string) (Activity, bool) {
	for _, entry := range table {
		if strings.HasPrefix(name, entry.prefix) {
			return entry.activity, true
		}
	}
	return Activity{}, false
}

// ActivityOf returns the activity of an HTTP path.
func ActivityOf(path string) Activity {
	if activity, ok := activityByPath[path]; ok {
		return activity
	}
	return Activity{strings.TrimPrefix(path, "/cottonarch"), unknownPackage}
}

// PackageOf returns the packages that implement the activity with the given name.
func PackageOf(name string) string {
	for _, activity := range activityByPath {
		if activity.Name == name {
			return activity.Package
		}
	}
	for _, table := range [][]functionActivity{activityByFunction, activityByOutermostFunction} {
		for _, entry := range table {
			if entry.activity.Name == name {
				return entry.activity.Package
			}
		}
	}
	return unknownPackage
}
