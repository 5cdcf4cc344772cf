package endpoint

import (
	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
)

// State is what an endpoint says of itself in a heartbeat.
type State string

// The states of a heartbeat.
const (
	Alive   State = "alive"
	Leaving State = "leaving" // it finishes what it has and takes nothing new
	Gone    State = "gone"    // it signs off: its address may be used by another at once
)

// Heartbeat is the report that an endpoint sends to the sidecar of its machine.
type Heartbeat struct {
	Server  ident.Server  `json:"serverId"`
	Service ident.Service `json:"service"`
	Addr    ident.Addr    `json:"address"`
	State   State         `json:"state"`
	// Load is the endpoint's own measure of its load, 1 for fully loaded.
	Load float64 `json:"burden"`
	// Weight is its part of the service's requests beside its peers; 0 counts as 1.
	Weight uint32 `json:"weight"`
	// Seq, when given, orders the heartbeats of one server. A server id names one run of an endpoint;
	// one that is used again after a sign-off is taken only if Seq goes on rising.
	Seq uint64 `json:"seq"`
	// Slots is how many requests it works on at once, 0 for unknown.
	Slots int `json:"slots,omitempty"`
	// SlowStartMillis is for how much longer it is slow from its start, in milliseconds.
	SlowStartMillis float64 `json:"coldMs,omitempty"`
}

// validate checks the fields that every heartbeat of its state must have.
func (h *Heartbeat) validate() *failure.Error {
	switch h.State {
	case Alive, Leaving, Gone:
	default:
		return failure.New(failure.Invalid, "state must be alive, leaving or gone")
	}
	if h.Server == "" || h.State != Gone && (h.Service == "" || h.Addr == "") {
		return failure.New(failure.Invalid, "a heartbeat needs serverId, service and address")
	}
	return nil
}
