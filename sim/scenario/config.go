package scenario

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/sim/world"
)

const (
	// largeConfigRoutes is the number of additional routes of a very large configuration. On average,
	// one in largeConfigEvery configurations is very large.
	largeConfigRoutes = 1500
	largeConfigEvery  = 15
	// timeoutMs is the timeout of a route, urgentTimeoutMs the timeout of an urgent route.
	timeoutMs       = 3000
	urgentTimeoutMs = 1500
)

// configDocument returns the whole configuration of the deployment. The marker identifies the proposal
// and becomes the namespace of the first service.
func (r *Run) configDocument(marker string) world.Document {
	services, routes := world.Document{}, world.Document{}
	for i, s := range r.deployment.Services {
		namespace := "steady"
		if i == 0 {
			namespace = marker
		}
		services[string(s.Name)] = world.Document{"namespace": namespace}
		routes["w-"+string(s.Name)] = routeDocument(s.Host, "/", s.Name, timeoutMs)
	}
	for _, k := range r.deployment.RequestKinds {
		if k.Repeat != "" {
			route := routeDocument(k.Host, k.Path, k.Service, timeoutMs)
			route["repeat"] = k.Repeat
			routes["w-repeat-"+k.Name] = route
		}
		if k.Urgent {
			route := routeDocument(k.Host, k.Path, k.Service, urgentTimeoutMs)
			route["urgent"] = true
			routes["w-urgent-"+k.Name] = route
		}
	}
	if r.largeConfig || r.Rng.IntN(largeConfigEvery) == 0 {
		for i := range largeConfigRoutes {
			routes[fmt.Sprintf("bulk-%d", i)] = world.Document{"host": fmt.Sprintf("h%d.bulk", i), "service": string(r.deployment.Services[0].Name)}
		}
	}
	if r.Platform {
		addPriorities(routes)
	}
	return world.Document{"services": services, "ways": routes}
}

func routeDocument(host, pathPrefix string, service ident.Service, timeoutMs int) world.Document {
	return world.Document{"host": host, "pathStart": pathPrefix, "service": string(service), "timeoutMs": timeoutMs}
}

// addPriorities sets the target latencies and the ranks of the deployment's routes.
func addPriorities(routes world.Document) {
	for i, name := range slices.Sorted(maps.Keys(routes)) {
		if route := routes[name].(world.Document); strings.HasPrefix(name, "w-") {
			route["aimMs"], route["rank"] = 150+100*(i%3), i%3
		}
	}
}
