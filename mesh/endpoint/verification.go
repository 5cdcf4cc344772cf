package endpoint

import (
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
)

// Unverified lists the newest heartbeat of each endpoint that the caller has to ask for its health.
func (t *Tracker) Unverified() []Heartbeat {
	if !t.VerifyNewEndpoints {
		return nil
	}
	var heartbeats []Heartbeat
	for _, server := range t.sortedServers() {
		if e := t.endpoints[server]; e.unverified && !e.leaving {
			heartbeats = append(heartbeats, e.Heartbeat)
		}
	}
	return heartbeats
}

// MarkVerified records that a server reported itself healthy when asked after its first heartbeat.
func (t *Tracker) MarkVerified(now monotime.Time, server ident.Server) Change {
	e := t.endpoints[server]
	if e == nil || !e.unverified {
		return Change{}
	}
	e.unverified = false
	change := t.assignAddr(now, server, e.Addr)
	e.status = e.statusAt(now)
	change.WorkloadsChanged = true
	return change
}
