package plan

import (
	"fmt"

	"cottonarch.example/cottonarch/base/ident"
)

// Timeouts of routes and services. The serial number of a configuration, modulo timeoutSpread, is added
// to the timeout of each route.
const (
	routeTimeoutMs   = 3000
	patchedTimeoutMs = 1000
	timeoutSpread    = 1000
	drainSeconds     = 2
)

// Config is the body of a configuration proposal, either a whole configuration or a patch, limited to
// the settings that measurements use.
type Config struct {
	Services map[ident.Service]ServiceConfig `json:"services,omitempty"`
	Routes   map[string]RouteConfig          `json:"ways,omitempty"`
}

// ServiceConfig is the configuration of a service.
type ServiceConfig struct {
	Namespace    string  `json:"namespace"`
	DrainSeconds float64 `json:"drainS"`
}

// RouteConfig is the configuration of a route.
type RouteConfig struct {
	Host      ident.Service `json:"host"`
	PathStart string        `json:"pathStart"`
	Service   ident.Service `json:"service"`
	TimeoutMs int           `json:"timeoutMs"`
}

// Service returns the service of the i-th node's endpoint.
func (t Target) Service(i int) ident.Service {
	return ident.Service(fmt.Sprintf("svc%03d.capacity", i%t.Services))
}

// RoutePath returns the path prefix of the i-th route.
func RoutePath(i int) string { return fmt.Sprintf("/part%05d/", i) }

func routeName(i int) string { return fmt.Sprintf("w%05d", i) }

// route returns the i-th route, whose host is the name of the route's service.
func (t Target) route(i, timeoutMs int) RouteConfig {
	service := t.Service(i)
	return RouteConfig{Host: service, PathStart: RoutePath(i), Service: service, TimeoutMs: timeoutMs}
}

// Config returns the whole configuration with all services and routes. Configurations with consecutive
// serial numbers differ in every route.
func (t Target) Config(serial int) Config {
	config := Config{Services: map[ident.Service]ServiceConfig{}, Routes: map[string]RouteConfig{}}
	for i := range t.Services {
		config.Services[t.Service(i)] = ServiceConfig{Namespace: "capacity", DrainSeconds: drainSeconds}
	}
	for i := range t.Routes {
		config.Routes[routeName(i)] = t.route(i, routeTimeoutMs+serial%timeoutSpread)
	}
	return config
}

// Patch returns a change of the first route alone. Patches with consecutive serial numbers differ.
func (t Target) Patch(serial int) Config {
	return Config{Routes: map[string]RouteConfig{routeName(0): t.route(0, patchedTimeoutMs+serial%timeoutSpread)}}
}
