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
	// heartbeatTimeout bounds the request that delivers a heartbeat.
	heartbeatTimeout = 400 * time.Millisecond
	// fullLoad is the number of requests in flight that is reported as a load of 1.
	fullLoad = 16
)

// sendHeartbeat reports a state to the sidecar, and returns whether the sidecar confirmed the
// heartbeat.
func (e *Endpoint) sendHeartbeat(state endpoint.State) bool {
	return e.postHeartbeat(e.newHeartbeat(state))
}

// newHeartbeat returns a heartbeat with the given state, the current load and the next Seq.
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

// postHeartbeat sends a heartbeat to the sidecar, and returns whether the sidecar confirmed the
// heartbeat.
func (e *Endpoint) postHeartbeat(heartbeat endpoint.Heartbeat) bool {
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

// sendHeartbeats sends a heartbeat in each interval, unless heartbeats are muted, until the endpoint
// stops.
func (e *Endpoint) sendHeartbeats() {
	ticker := time.NewTicker(endpoint.HeartbeatInterval)
	defer ticker.Stop()
	for {
		if !e.heartbeatsMuted.Load() {
			e.sendHeartbeat(e.state.Load().(endpoint.State))
		}
		select {
		case <-ticker.C:
		case <-e.stop:
			return
		}
	}
}
