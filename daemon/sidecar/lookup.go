package sidecar

import (
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/mesh/registry"
)

// Lookup returns what this sidecar's copy of the registry holds of an endpoint of a service; it is
// false when the copy does not hold it.
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

// ConfigRevision is the revision of the active configuration, 0 if there is none.
func (s *Sidecar) ConfigRevision() ident.ConfigRevision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.planner.Revision()
}
