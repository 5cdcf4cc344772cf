package meter

import (
	"bytes"
	"runtime/pprof"
	"strings"
	"time"

	"github.com/google/pprof/profile"

	"cottonarch.example/cottonarch/base/failure"
)

// Activity is a duty with the package that carries it.
type Activity struct{ Name, Package string }

// activityByPath gives each path's duty; a path that is not here counts as a duty of its own.
var activityByPath = map[string]Activity{
	"/cottonarch/v1/renew":    {"leases", "mesh/lease"},
	"/cottonarch/v1/claim":    {"entry", "adapter/mesh, control/coordination"},
	"/cottonarch/v1/share":    {"shares", "control/coordination/share"},
	"/cottonarch/v1/news":     {"registry", "mesh/registry, mesh/lease/table"},
	"/cottonarch/v1/part":     {"manifests", "control/manifest, adapter/mesh"},
	"/manifest":               {"manifests", "control/manifest, adapter/mesh"},
	"/cottonarch/v1/messages": {"core to core", "control/core, control/register"},
	"/cottonarch/v1/heard":    {"witness", "mesh/witness"},
	"/cottonarch/v1/peer":     {"witness", "mesh/witness"},
	"/cottonarch/v1/cores":    {"entry", "adapter/mesh, control/coordination"},
	"/beat":                   {"beats", "mesh/gate"},
	"/locks":                  {"coordination", "control/coordination"},
	"/numbers":                {"coordination", "control/coordination"},
	"/keys":                   {"coordination", "control/coordination"},
	"/watch":                  {"coordination", "control/coordination"},
}

// ActivityOf gives the duty of a path.
func ActivityOf(path string) Activity {
	if c, ok := activityByPath[path]; ok {
		return c
	}
	return Activity{strings.TrimPrefix(path, "/cottonarch"), "?"}
}

const modulePrefix = "cottonarch.example/cottonarch/"

// activityByFunction gives the duty of work that no path is labelled on, by the start of a function's
// name; the first that fits, from the innermost function out, counts.
var activityByFunction = []struct {
	start string
	Activity
}{
	{"adapter/mesh.surface.renew", Activity{"leases", "mesh/lease"}},
	{"adapter/mesh.surface.news", Activity{"registry", "mesh/registry, mesh/lease/table"}},
	{"mesh/lease/table.(*Table).Feed", Activity{"registry", "mesh/registry, mesh/lease/table"}},
	{"mesh/lease/table.(*Table).Manifest", Activity{"registry", "mesh/registry, mesh/lease/table"}},
	{"mesh/lease", Activity{"leases", "mesh/lease"}},
	{"mesh/registry", Activity{"registry", "mesh/registry, mesh/lease/table"}},
	{"control/register/survey", Activity{"sweep", "control/register/survey"}},
	{"control/register/replica.(*Replica).Scan", Activity{"sweep", "control/register/survey"}},
	{"control/core/node.(*Node).sweep", Activity{"sweep", "control/register/survey"}},
	{"control/manifest", Activity{"manifests", "control/manifest, adapter/mesh"}},
	{"control/audit", Activity{"manifests", "control/manifest, adapter/mesh"}},
	{"daemon/core.(*Core).Newest", Activity{"manifests", "control/manifest, adapter/mesh"}},
	{"daemon/core.(*Core).post", Activity{"core to core", "control/core, control/register"}},
	{"daemon/core.(*Core).journal", Activity{"disk", "storage/ring"}},
	{"storage/ring", Activity{"disk", "storage/ring"}},
	{"control/", Activity{"core to core", "control/core, control/register"}},
	{"daemon/core", Activity{"loop of the core", "daemon/core"}},
	{"mesh/witness", Activity{"witness", "mesh/witness"}},
	{"mesh/gate", Activity{"beats", "mesh/gate"}},
	{"daemon/sidecar.(*Sidecar).renew", Activity{"leases", "mesh/lease"}},
	{"daemon/sidecar.(*Sidecar).share", Activity{"shares", "control/coordination/share"}},
	{"daemon/sidecar.(*Sidecar).follow", Activity{"registry", "mesh/registry, mesh/lease/table"}},
	{"daemon/sidecar.(*Sidecar).enforce", Activity{"manifests", "control/manifest, adapter/mesh"}},
	{"daemon/sidecar.(*Sidecar).tell", Activity{"witness", "mesh/witness"}},
	{"daemon/sidecar.(*Sidecar).askPeer", Activity{"witness", "mesh/witness"}},
	{"daemon/sidecar.(*Sidecar).neighbours", Activity{"witness", "mesh/witness"}},
	{"daemon/sidecar", Activity{"loops of the sidecar", "daemon/sidecar"}},
	{"capacity/", Activity{"the measuring itself", "capacity"}},
}

// activityByOutermost gives the duty of the rest by its outermost function.
var activityByOutermost = []struct {
	start string
	Activity
}{
	{"net/http.", Activity{"transport", "net/http, kratos"}},
	{"runtime.gcBgMarkWorker", Activity{"garbage collection", "Go runtime"}},
	{"runtime.bgsweep", Activity{"garbage collection", "Go runtime"}},
	{"runtime.bgscavenge", Activity{"garbage collection", "Go runtime"}},
	{"runtime.", Activity{"scheduling, timers", "Go runtime"}},
}

func activityOfSample(sample *profile.Sample) string {
	if labels := sample.Label[PathLabel]; len(labels) > 0 {
		return ActivityOf(labels[0]).Name
	}
	outermost := ""
	for _, location := range sample.Location {
		for _, line := range location.Line {
			if line.Function == nil {
				continue
			}
			outermost = line.Function.Name
			name, ours := strings.CutPrefix(outermost, modulePrefix)
			if !ours {
				continue
			}
			for _, f := range activityByFunction {
				if strings.HasPrefix(name, f.start) {
					return f.Name
				}
			}
		}
	}
	for _, f := range activityByOutermost {
		if strings.HasPrefix(outermost, f.start) {
			return f.Name
		}
	}
	return "other"
}

// PackageOf gives the package that carries a duty.
func PackageOf(activity string) string {
	for _, c := range activityByPath {
		if c.Name == activity {
			return c.Package
		}
	}
	for _, f := range append(activityByFunction, activityByOutermost...) {
		if f.Name == activity {
			return f.Package
		}
	}
	return "?"
}

// Profile watches this process for a while and gives each duty's part of its processor
// time; the parts sum to 1. Work done under a request's label is that path's; other work
// is told by the innermost function of this project.
func Profile(duration time.Duration) (map[string]float64, error) {
	var raw bytes.Buffer
	if err := pprof.StartCPUProfile(&raw); err != nil {
		return nil, failure.Wrap(err, failure.Internal, "profile")
	}
	<-time.After(duration)
	pprof.StopCPUProfile()
	p, err := profile.Parse(&raw)
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, "profile")
	}
	return ShareByActivity(p), nil
}

// ShareByActivity sums a profile by duty.
func ShareByActivity(parsed *profile.Profile) map[string]float64 {
	shares, total := map[string]float64{}, 0.0
	for _, sample := range parsed.Sample {
		value := float64(sample.Value[len(sample.Value)-1])
		shares[activityOfSample(sample)] += value
		total += value
	}
	for d := range shares {
		shares[d] /= max(total, 1)
	}
	return shares
}
