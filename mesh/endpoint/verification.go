package endpoint

import (
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
)

// Unverified lists the newest heartbeats of the endpoints that are to be asked whether they are
// healthy.
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

// MarkVerified notes that a server has answered, after its first heartbeat came, that it is healthy.
func (t *Tracker) MarkVerified(now monotime.Time, server ident.Server) Change {
	e := t.endpoints[server]
	if e == nil || !e.unverified {
		return Change{}
	}
	e.unverified = false
	change := t.takeAddr(now, server, e.Addr)
	e.status = e.statusAt(now)
	change.WorkloadsChanged = true
	return change
}
