package sidecar

import (
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/mesh/registry"
)

// Lookup gives what this sidecar's copy of the registry says of one server of a service;
// it is false when the copy does not hold it.
func (s *Sidecar) Lookup(service ident.Service, server ident.Server) (registry.Entry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, entry := range s.router.Index.Workloads(service) {
		if entry.UID == server {
			return entry, true
		}
	}
	return registry.Entry{}, false
}

// ConfigRevision is that of the manifest in force here, 0 if none is.
func (s *Sidecar) ConfigRevision() ident.Epoch {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.router.Revision()
}
