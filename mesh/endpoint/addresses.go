package endpoint

import (
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
)

// assignAddr assigns an address to a server and removes the server that held the address before.
// The previous server counts as departed if that server was leaving, or if the new server was
// verified by a response from the address itself. If only a heartbeat, which may be late, names
// the new server, the previous server is evicted and can't return for evictionDuration.
func (t *Tracker) assignAddr(now monotime.Time, server ident.Server, addr ident.Addr) Change {
	previous, assigned := t.serverByAddr[addr]
	if !assigned || previous == server || t.SkipChecks {
		t.serverByAddr[addr] = server
		return Change{}
	}
	var change Change
	if t.VerifyNewEndpoints {
		change = t.markDeparted(previous, 0)
	} else {
		t.evictedAt[previous] = now
		change = t.forget(previous)
	}
	t.serverByAddr[addr] = server
	return change
}

// ownedAddrs lists the address of an endpoint, unless the address is assigned to another server:
// the connections to the address then belong to that server.
func (t *Tracker) ownedAddrs(server ident.Server, e *trackedEndpoint) []ident.Addr {
	if owner, assigned := t.serverByAddr[e.Addr]; assigned && owner != server {
		return nil
	}
	return []ident.Addr{e.Addr}
}

// releaseAddr frees an address if the address is still assigned to the server.
func (t *Tracker) releaseAddr(server ident.Server, addr ident.Addr) {
	if t.serverByAddr[addr] == server {
		delete(t.serverByAddr, addr)
	}
}
