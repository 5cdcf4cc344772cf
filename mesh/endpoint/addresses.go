package endpoint

import (
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
)

// takeAddr gives an address to a server, and removes the one that had it before. That one has departed
// if it was leaving, or if the address itself has answered as the server; if there is only a
// heartbeat, which may be late, it can't take the address back at once.
func (t *Tracker) takeAddr(now monotime.Time, server ident.Server, addr ident.Addr) Change {
	previous, taken := t.serverByAddr[addr]
	if !taken || previous == server || t.SkipChecks {
		t.serverByAddr[addr] = server
		return Change{}
	}
	var change Change
	if t.VerifyNewEndpoints {
		change = t.depart(previous, 0)
	} else {
		t.evictedAt[previous] = now
		change = t.forget(previous)
	}
	t.serverByAddr[addr] = server
	return change
}

// ownAddrs lists the address of an endpoint, unless it is another server's: the connections to it are
// that one's.
func (t *Tracker) ownAddrs(server ident.Server, e *trackedEndpoint) []ident.Addr {
	if owner, taken := t.serverByAddr[e.Addr]; taken && owner != server {
		return nil
	}
	return []ident.Addr{e.Addr}
}

// releaseAddr frees an address if it still is the server's.
func (t *Tracker) releaseAddr(server ident.Server, addr ident.Addr) {
	if t.serverByAddr[addr] == server {
		delete(t.serverByAddr, addr)
	}
}
