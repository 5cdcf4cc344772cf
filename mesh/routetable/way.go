// Package routetable finds the way of a request: by Host, then by the longest pathStart.
package routetable

import (
	"slices"
	"sort"
	"strings"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/control/config/validation"
)

// Table holds the ways in force.
type Table struct{ hosts map[string]*hostRoutes }

// hostRoutes holds one host's ways. Invariants: ways stand in order of pathStart; over[i] is
// the place of the longest other pathStart that begins that of ways[i], -1 when there is
// none. So, of the ways up to a path in this order, the last one or one that it reaches
// over `over` is the longest that begins the path: whatever lies between a beginning of
// the path and the path begins the same.
type hostRoutes struct {
	routes []*validation.Route
	parent []int32
}

// New makes a table; it refers to the manifest's ways.
func New(config *validation.Config) *Table {
	table := &Table{hosts: map[string]*hostRoutes{}}
	if config == nil {
		return table
	}
	for i := range config.Routes {
		route := &config.Routes[i]
		forHost := table.hosts[route.Host]
		if forHost == nil {
			forHost = &hostRoutes{}
			table.hosts[route.Host] = forHost
		}
		forHost.routes = append(forHost.routes, route)
	}
	for _, forHost := range table.hosts {
		forHost.link()
	}
	return table
}

func (h *hostRoutes) link() {
	slices.SortFunc(h.routes, func(a, b *validation.Route) int { return strings.Compare(a.PathPrefix, b.PathPrefix) })
	h.parent = make([]int32, len(h.routes))
	for i, route := range h.routes {
		candidate := int32(i - 1)
		for candidate >= 0 && !strings.HasPrefix(route.PathPrefix, h.routes[candidate].PathPrefix) {
			candidate = h.parent[candidate]
		}
		h.parent[i] = candidate
	}
}

func (h *hostRoutes) match(path string) *validation.Route {
	if h == nil {
		return nil
	}
	candidate := int32(sort.Search(len(h.routes), func(i int) bool { return h.routes[i].PathPrefix > path })) - 1
	for candidate >= 0 && !strings.HasPrefix(path, h.routes[candidate].PathPrefix) {
		candidate = h.parent[candidate]
	}
	if candidate < 0 {
		return nil
	}
	return h.routes[candidate]
}

// Find finds the way; the host "*" serves hosts that have no fitting way.
func (t *Table) Find(host, path string) (validation.Route, *failure.Error) {
	host = validation.NormalizeHost(host)
	for _, name := range [...]string{host, "*"} {
		if route := t.hosts[name].match(path); route != nil {
			return *route, nil
		}
	}
	return validation.Route{}, failure.New(failure.NoRoute, "no way for host %q path %q", host, path)
}
