package endpoint

import (
	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
)

// State is the state that an endpoint reports in a heartbeat.
type State string

// The states that an endpoint can report.
const (
	Alive   State = "alive"
	Leaving State = "leaving" // the endpoint finishes its running requests and accepts no new ones
	Gone    State = "gone"    // the endpoint signs off: another server may use its address at once
)

// Heartbeat is the report that an endpoint sends to the sidecar of its machine.
type Heartbeat struct {
	Server  ident.Server  `json:"serverId"`
	Service ident.Service `json:"service"`
	Addr    ident.Addr    `json:"address"`
	State   State         `json:"state"`
	// Load is the endpoint's own measure of its load; 1 means fully loaded.
	Load float64 `json:"burden"`
	// Weight is the endpoint's share of the service's requests relative to the other endpoints of
	// the service; 0 counts as 1.
	Weight uint32 `json:"weight"`
	// Seq, if not 0, orders the heartbeats of one server. A server id identifies one run of an
	// endpoint. A server id that is reused after a sign-off is accepted only with a Seq above that
	// of the sign-off.
	Seq uint64 `json:"seq"`
	// Slots is how many requests the endpoint processes concurrently, 0 if unknown.
	Slots int `json:"slots,omitempty"`
	// SlowStartMillis is how much longer the endpoint will be slow after its start, in
	// milliseconds.
	SlowStartMillis float64 `json:"coldMs,omitempty"`
}

// validate checks the fields that a heartbeat with the given state must have.
func (h *Heartbeat) validate() *failure.Error {
	switch h.State {
	case Alive, Leaving, Gone:
	default:
		return failure.New(failure.Invalid, "heartbeat of server %q: state %q must be alive, leaving or gone", h.Server, h.State)
	}
	if h.Server == "" || h.State != Gone && (h.Service == "" || h.Addr == "") {
		return failure.New(failure.Invalid,
			"a heartbeat needs serverId, and service and address unless its state is gone: got %q, %q, %q", h.Server, h.Service, h.Addr)
	}
	return nil
}
