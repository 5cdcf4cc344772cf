package sidecar

import (
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/mesh/registry/index"
)

// Look gives what this sidecar's copy of the registry says of one server of a service;
// it is false when the copy does not hold it.
func (s *Sidecar) Look(svc ident.Service, server ident.Server) (index.Entry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.path.Index.Workloads(svc) {
		if e.UID == server {
			return e, true
		}
	}
	return index.Entry{}, false
}

// Epoch is that of the manifest in force here, 0 if none is.
func (s *Sidecar) Epoch() ident.Epoch {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.path.Epoch()
}
