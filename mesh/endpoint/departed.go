package endpoint

import "cottonarch.example/cottonarch/base/ident"

// maxDeparted bounds how many departed servers are remembered; the oldest are forgotten first.
const maxDeparted = 1024

// departedServers remembers the servers that have left: they signed off, their address passed to
// another server, or they fell silent while they left. How late a heartbeat may come has no bound,
// so neither has the time for which a server is remembered.
type departedServers struct {
	finalSeq map[ident.Server]uint64 // the Seq of the sign-off, 0 if it had none
	order    []ident.Server          // by when they left
}

func newDepartedServers() departedServers {
	return departedServers{finalSeq: map[ident.Server]uint64{}}
}

// add remembers that a server has left.
func (d *departedServers) add(server ident.Server, seq uint64) {
	if _, known := d.finalSeq[server]; !known {
		d.order = append(d.order, server)
	}
	d.finalSeq[server] = seq
	if len(d.order) > maxDeparted {
		delete(d.finalSeq, d.order[0])
		d.order = append(d.order[:0:0], d.order[1:]...)
	}
}

// sentBefore reports whether a heartbeat comes from a server that has left, so that it was sent
// before. A higher Seq than that of the sign-off is of a new run under the same id.
func (d *departedServers) sentBefore(heartbeat Heartbeat) bool {
	finalSeq, left := d.finalSeq[heartbeat.Server]
	return left && (finalSeq == 0 || heartbeat.Seq <= finalSeq)
}
