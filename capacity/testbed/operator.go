package testbed

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/capacity/plan"
	"cottonarch.example/cottonarch/mesh/endpoint"
)

const (
	proposalRetryInterval = 50 * time.Millisecond // between two attempts of a proposal
	heartbeatTimeout      = time.Second           // of one request with a heartbeat
	idempotencyHeader     = "Idempotency-Key"
)

// Propose sends a configuration to core 0, which lies in the first region, until the core confirms the
// configuration, the core rejects the configuration as invalid or too large, or the timeout expires.
// Propose returns the confirmed revision. All attempts have the same idempotency key.
func (m *Mesh) Propose(method string, config plan.Config, timeout time.Duration) (ident.ConfigRevision, error) {
	raw, err := json.Marshal(config)
	if err != nil {
		return 0, failure.Wrap(err, failure.Malformed, "encode the configuration")
	}
	m.proposalCount++
	key := fmt.Sprintf("capacity-%d", m.proposalCount)
	ticker := time.NewTicker(proposalRetryInterval)
	defer ticker.Stop()
	var lastErr error = failure.New(failure.DeadlineExceeded, "no time was left to send the configuration")
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); <-ticker.C {
		revision, status, err := m.proposeOnce(method, raw, key)
		if err == nil {
			return revision, nil
		}
		lastErr = err
		if status == http.StatusBadRequest || status == http.StatusUnprocessableEntity || status == http.StatusRequestEntityTooLarge {
			break // another attempt would fail with the same status
		}
	}
	return 0, failure.Wrap(lastErr, failure.DeadlineExceeded, "the core did not confirm the configuration")
}

// proposeOnce sends a configuration once. status is 0 if no response was received.
func (m *Mesh) proposeOnce(method string, raw []byte, key string) (revision ident.ConfigRevision, status int, err error) {
	request, err := http.NewRequest(method, "http://"+string(m.coreAddrs[0])+"/manifest", bytes.NewReader(raw))
	if err != nil {
		return 0, 0, failure.Wrap(err, failure.Malformed, "create the request with the configuration")
	}
	request.Header.Set(idempotencyHeader, key)
	response, err := m.httpClient.Do(request)
	if err != nil {
		return 0, 0, failure.Wrap(err, failure.Unreachable, "send the configuration to the core")
	}
	body, _ := io.ReadAll(response.Body)
	_ = response.Body.Close()
	var confirmed struct {
		Revision ident.ConfigRevision `json:"epoch"`
	}
	if response.StatusCode == http.StatusOK && json.Unmarshal(body, &confirmed) == nil {
		return confirmed.Revision, response.StatusCode, nil
	}
	return 0, response.StatusCode, failure.New(failure.BadResponse, "the core responded with status %d: %.200s", response.StatusCode, body)
}

// SendHeartbeats sends the heartbeats of one node's endpoints to the node's sidecar every
// endpoint.HeartbeatInterval until Close. The heartbeats are sent over the network, from the IP address
// of the node.
func (m *Mesh) SendHeartbeats(sidecar ident.Addr, heartbeats ...endpoint.Heartbeat) {
	m.heartbeats.Go(func() {
		transport := &http.Transport{DialContext: (&net.Dialer{Timeout: heartbeatTimeout, LocalAddr: sidecar.DialSource()}).DialContext}
		defer transport.CloseIdleConnections()
		client := &http.Client{Transport: transport, Timeout: heartbeatTimeout}
		ticker := time.NewTicker(endpoint.HeartbeatInterval)
		defer ticker.Stop()
		for {
			for _, heartbeat := range heartbeats {
				sendHeartbeat(client, sidecar, heartbeat)
			}
			select {
			case <-ticker.C:
			case <-m.closed:
				return
			}
		}
	})
}

// sendHeartbeat sends one heartbeat and ignores errors, because the next heartbeat replaces a lost
// heartbeat.
func sendHeartbeat(client *http.Client, sidecar ident.Addr, heartbeat endpoint.Heartbeat) {
	raw, err := json.Marshal(heartbeat)
	if err != nil {
		return
	}
	response, err := client.Post("http://"+string(sidecar)+"/beat", "application/json", bytes.NewReader(raw))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
}
