// Package routetable finds the route of a request by host and then by longest path prefix.
package routetable

import (
	"slices"
	"sort"
	"strings"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/control/config/validation"
)

// Table holds the routes of one configuration, grouped by host.
type Table struct{ hosts map[string]*hostRoutes }

// hostRoutes holds the routes of one host. Invariants: routes are sorted by path prefix; parent[i]
// is the index of the route with the longest path prefix that is a proper prefix of the path prefix
// of routes[i], or -1 if there is none.
//
// Every string that sorts between a prefix of a path and the path itself begins with that prefix.
// Therefore, the longest match of a path is the last route that does not sort after the path, or one
// of the ancestors of that route by parent.
type hostRoutes struct {
	routes []*validation.Route
	parent []int32
}

// New returns the table of a configuration; a nil configuration has no routes. The table refers to
// the routes of the configuration, which must not change afterwards.
func New(config *validation.Config) *Table {
	table := &Table{hosts: map[string]*hostRoutes{}}
	if config == nil {
		return table
	}
	for i := range config.Routes {
		route := &config.Routes[i]
		host := table.hosts[route.Host]
		if host == nil {
			host = &hostRoutes{}
			table.hosts[route.Host] = host
		}
		host.routes = append(host.routes, route)
	}
	for _, host := range table.hosts {
		host.sortAndLink()
	}
	return table
}

// sortAndLink sorts the routes and sets the parent of each route.
func (h *hostRoutes) sortAndLink() {
	slices.SortFunc(h.routes, func(a, b *validation.Route) int { return strings.Compare(a.PathPrefix, b.PathPrefix) })
	h.parent = make([]int32, len(h.routes))
	for i, route := range h.routes {
		h.parent[i] = h.longestMatch(int32(i-1), route.PathPrefix)
	}
}

// longestMatch follows the parents from an index to the first route whose path prefix matches the
// path, and returns the index of that route, or -1 if no route matches.
func (h *hostRoutes) longestMatch(index int32, path string) int32 {
	for index >= 0 && !strings.HasPrefix(path, h.routes[index].PathPrefix) {
		index = h.parent[index]
	}
	return index
}

// match returns the route with the longest path prefix that matches a path, nil if there is none.
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

// Find returns the route of a request, or fails with NoRoute. The routes of host "*" apply if no
// route of the request's own host matches.
func (t *Table) Find(host, path string) (validation.Route, *failure.Error) {
	host = validation.NormalizeHost(host)
	for _, name := range [...]string{host, "*"} {
		if route := t.hosts[name].match(path); route != nil {
			return *route, nil
		}
	}
	return validation.Route{}, failure.New(failure.NoRoute, "no route for host %q path %q", host, path)
}
