package endpoint

import "cottonarch.example/cottonarch/base/ident"

// maxDeparted bounds how many departed servers are remembered; the oldest entries are dropped first.
const maxDeparted = 1024

// departedServers remembers the servers that have departed: they signed off, their address was
// assigned to another server, or their heartbeats stopped while they were leaving. Entries don't
// expire, because there is no bound on how late a heartbeat may arrive.
type departedServers struct {
	finalSeq       map[ident.Server]uint64 // the Seq of the sign-off, 0 if the sign-off had none
	departureOrder []ident.Server          // in order of departure
}

func newDepartedServers() departedServers {
	return departedServers{finalSeq: map[ident.Server]uint64{}}
}

// add records that a server has departed.
func (d *departedServers) add(server ident.Server, seq uint64) {
	if _, known := d.finalSeq[server]; !known {
		d.departureOrder = append(d.departureOrder, server)
	}
	d.finalSeq[server] = seq
	if len(d.departureOrder) > maxDeparted {
		delete(d.finalSeq, d.departureOrder[0])
		d.departureOrder = append(d.departureOrder[:0:0], d.departureOrder[1:]...)
	}
}

// predatesDeparture reports whether a heartbeat was sent before its server departed. A Seq above
// the Seq of the sign-off belongs to a new run under the same server id.
func (d *departedServers) predatesDeparture(heartbeat Heartbeat) bool {
	finalSeq, departed := d.finalSeq[heartbeat.Server]
	return departed && (finalSeq == 0 || heartbeat.Seq <= finalSeq)
}
