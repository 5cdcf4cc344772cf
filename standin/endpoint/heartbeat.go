package endpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"cottonarch.example/cottonarch/mesh/endpoint"
)

const (
	// heartbeatTimeout bounds one heartbeat.
	heartbeatTimeout = 400 * time.Millisecond
	// fullLoad is the number of requests in flight that is reported as a load of 1.
	fullLoad = 16
)

// sendHeartbeat reports a state to the sidecar, and tells whether the sidecar confirmed it.
func (e *Endpoint) sendHeartbeat(state endpoint.State) bool {
	return e.deliver(e.newHeartbeat(state))
}

// newHeartbeat makes the next heartbeat.
func (e *Endpoint) newHeartbeat(state endpoint.State) endpoint.Heartbeat {
	return endpoint.Heartbeat{
		Server:  e.Server,
		Service: e.Service,
		Addr:    e.Addr,
		State:   state,
		Load:    float64(e.inFlight.Load()) / fullLoad,
		Seq:     e.heartbeatSeq.Add(1),
	}
}

// deliver sends a heartbeat to the sidecar, and tells whether the sidecar confirmed it.
func (e *Endpoint) deliver(heartbeat endpoint.Heartbeat) bool {
	body, err := json.Marshal(heartbeat)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), heartbeatTimeout)
	defer cancel()
	url := "http://" + string(e.SidecarAddr) + "/beat"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return false
	}
	response, err := e.client.Do(request)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// sendHeartbeats sends a heartbeat at each interval until the endpoint stops.
func (e *Endpoint) sendHeartbeats() {
	ticker := time.NewTicker(endpoint.HeartbeatInterval)
	defer ticker.Stop()
	for {
		if !e.muted.Load() {
			e.sendHeartbeat(e.state.Load().(endpoint.State))
		}
		select {
		case <-ticker.C:
		case <-e.stop:
			return
		}
	}
}
