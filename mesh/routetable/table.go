// Package routetable finds the route of a request: by its host, then by the longest path prefix.
package routetable

import (
	"slices"
	"sort"
	"strings"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/control/config/validation"
)

// Table holds the routes of one configuration.
type Table struct{ hosts map[string]*hostRoutes }

// hostRoutes holds the routes of one host. Invariants: routes are sorted by path prefix; parent[i]
// is the index of the route with the longest other prefix that is a prefix of the one of
// routes[i], -1 when there is none.
//
// Whatever is sorted between a prefix of a path and the path itself begins with that prefix. So,
// of the routes that are sorted up to a path, the longest match is the last one or one of its
// ancestors by parent.
type hostRoutes struct {
	routes []*validation.Route
	parent []int32
}

// New makes the table of a configuration, nil for one without routes. The table refers to the
// configuration's routes: they must not change.
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

// link sorts the routes and finds the parent of each.
func (h *hostRoutes) link() {
	slices.SortFunc(h.routes, func(a, b *validation.Route) int { return strings.Compare(a.PathPrefix, b.PathPrefix) })
	h.parent = make([]int32, len(h.routes))
	for i, route := range h.routes {
		h.parent[i] = h.longestMatch(int32(i-1), route.PathPrefix)
	}
}

// longestMatch follows the parents from an index until a route's prefix begins the path; -1 when
// none does.
func (h *hostRoutes) longestMatch(index int32, path string) int32 {
	for index >= 0 && !strings.HasPrefix(path, h.routes[index].PathPrefix) {
		index = h.parent[index]
	}
	return index
}

// match finds the route with the longest prefix of a path, nil if there is none.
func (h *hostRoutes) match(path string) *validation.Route {
	if h == nil {
		return nil
	}
	last := sort.Search(len(h.routes), func(i int) bool { return h.routes[i].PathPrefix > path }) - 1
	index := h.longestMatch(int32(last), path)
	if index < 0 {
		return nil
	}
	return h.routes[index]
}

// Find finds the route of a request. The routes of host "*" serve what no route of the request's
// own host matches.
func (t *Table) Find(host, path string) (validation.Route, *failure.Error) {
	host = validation.NormalizeHost(host)
	for _, name := range [...]string{host, "*"} {
		if route := t.hosts[name].match(path); route != nil {
			return *route, nil
		}
	}
	return validation.Route{}, failure.New(failure.NoRoute, "no route for host %q path %q", host, path)
}
