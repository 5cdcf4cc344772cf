package meter

import (
	"bytes"
	"runtime/pprof"
	"strings"
	"time"

	"github.com/google/pprof/profile"

	"cottonarch.example/cottonarch/kernel/failure"
)

// Carrier is a duty with the package that carries it.
type Carrier struct{ Duty, Package string }

// carriers gives each path's duty; a path that is not here counts as a duty of its own.
var carriers = map[string]Carrier{
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

// Of gives the duty of a path.
func Of(path string) Carrier {
	if c, ok := carriers[path]; ok {
		return c
	}
	return Carrier{strings.TrimPrefix(path, "/cottonarch"), "?"}
}

const root = "cottonarch.example/cottonarch/"

// frames gives the duty of work that no path is labelled on, by the start of a function's
// name; the first that fits, from the innermost function out, counts.
var frames = []struct {
	start string
	Carrier
}{
	{"adapter/mesh.surface.renew", Carrier{"leases", "mesh/lease"}},
	{"adapter/mesh.surface.news", Carrier{"registry", "mesh/registry, mesh/lease/table"}},
	{"mesh/lease/table.(*Table).Feed", Carrier{"registry", "mesh/registry, mesh/lease/table"}},
	{"mesh/lease/table.(*Table).Manifest", Carrier{"registry", "mesh/registry, mesh/lease/table"}},
	{"mesh/lease", Carrier{"leases", "mesh/lease"}},
	{"mesh/registry", Carrier{"registry", "mesh/registry, mesh/lease/table"}},
	{"control/register/survey", Carrier{"sweep", "control/register/survey"}},
	{"control/register/replica.(*Replica).Scan", Carrier{"sweep", "control/register/survey"}},
	{"control/core/node.(*Node).sweep", Carrier{"sweep", "control/register/survey"}},
	{"control/manifest", Carrier{"manifests", "control/manifest, adapter/mesh"}},
	{"control/audit", Carrier{"manifests", "control/manifest, adapter/mesh"}},
	{"daemon/core.(*Core).Newest", Carrier{"manifests", "control/manifest, adapter/mesh"}},
	{"daemon/core.(*Core).post", Carrier{"core to core", "control/core, control/register"}},
	{"daemon/core.(*Core).journal", Carrier{"disk", "storage/ring"}},
	{"storage/ring", Carrier{"disk", "storage/ring"}},
	{"control/", Carrier{"core to core", "control/core, control/register"}},
	{"daemon/core", Carrier{"loop of the core", "daemon/core"}},
	{"mesh/witness", Carrier{"witness", "mesh/witness"}},
	{"mesh/gate", Carrier{"beats", "mesh/gate"}},
	{"daemon/sidecar.(*Sidecar).renew", Carrier{"leases", "mesh/lease"}},
	{"daemon/sidecar.(*Sidecar).share", Carrier{"shares", "control/coordination/share"}},
	{"daemon/sidecar.(*Sidecar).follow", Carrier{"registry", "mesh/registry, mesh/lease/table"}},
	{"daemon/sidecar.(*Sidecar).enforce", Carrier{"manifests", "control/manifest, adapter/mesh"}},
	{"daemon/sidecar.(*Sidecar).tell", Carrier{"witness", "mesh/witness"}},
	{"daemon/sidecar.(*Sidecar).askPeer", Carrier{"witness", "mesh/witness"}},
	{"daemon/sidecar.(*Sidecar).neighbours", Carrier{"witness", "mesh/witness"}},
	{"daemon/sidecar", Carrier{"loops of the sidecar", "daemon/sidecar"}},
	{"capacity/", Carrier{"the measuring itself", "capacity"}},
}

// outer gives the duty of the rest by its outermost function.
var outer = []struct {
	start string
	Carrier
}{
	{"net/http.", Carrier{"transport", "net/http, kratos"}},
	{"runtime.gcBgMarkWorker", Carrier{"garbage collection", "Go runtime"}},
	{"runtime.bgsweep", Carrier{"garbage collection", "Go runtime"}},
	{"runtime.bgscavenge", Carrier{"garbage collection", "Go runtime"}},
	{"runtime.", Carrier{"scheduling, timers", "Go runtime"}},
}

func duty(s *profile.Sample) string {
	if list := s.Label[Label]; len(list) > 0 {
		return Of(list[0]).Duty
	}
	last := ""
	for _, at := range s.Location {
		for _, line := range at.Line {
			if line.Function == nil {
				continue
			}
			last = line.Function.Name
			name, ours := strings.CutPrefix(last, root)
			if !ours {
				continue
			}
			for _, f := range frames {
				if strings.HasPrefix(name, f.start) {
					return f.Duty
				}
			}
		}
	}
	for _, f := range outer {
		if strings.HasPrefix(last, f.start) {
			return f.Duty
		}
	}
	return "other"
}

// Package gives the package that carries a duty.
func Package(duty string) string {
	for _, c := range carriers {
		if c.Duty == duty {
			return c.Package
		}
	}
	for _, f := range append(frames, outer...) {
		if f.Duty == duty {
			return f.Package
		}
	}
	return "?"
}

// Profile watches this process for a while and gives each duty's part of its processor
// time; the parts sum to 1. Work done under a request's label is that path's; other work
// is told by the innermost function of this project.
func Profile(span time.Duration) (map[string]float64, error) {
	var raw bytes.Buffer
	if err := pprof.StartCPUProfile(&raw); err != nil {
		return nil, failure.Wrap(err, failure.Internal, "profile")
	}
	<-time.After(span)
	pprof.StopCPUProfile()
	p, err := profile.Parse(&raw)
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, "profile")
	}
	return Parts(p), nil
}

// Parts sums a profile by duty.
func Parts(p *profile.Profile) map[string]float64 {
	out, all := map[string]float64{}, 0.0
	for _, s := range p.Sample {
		v := float64(s.Value[len(s.Value)-1])
		out[duty(s)] += v
		all += v
	}
	for d := range out {
		out[d] /= max(all, 1)
	}
	return out
}
