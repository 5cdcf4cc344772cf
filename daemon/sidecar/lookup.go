package sidecar

import (
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/mesh/registry"
)

// Lookup returns the entry for an endpoint of a service in this sidecar's copy of the registry, and
// reports whether the copy has such an entry.
func (s *Sidecar) Lookup(service ident.Service, server ident.Server) (registry.Entry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, entry := range s.planner.Index.Workloads(service) {
		if entry.UID == server {
			return entry, true
		}
	}
	return registry.Entry{}, false
}

// ConfigRevision returns the revision of the active configuration, 0 if there is none.
func (s *Sidecar) ConfigRevision() ident.ConfigRevision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.planner.Revision()
}
