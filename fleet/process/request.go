package process

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// The polling of a process that is starting.
const (
	pollInterval = 20 * time.Millisecond
	pollTimeout  = 300 * time.Millisecond // of each request
)

var httpClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8, IdleConnTimeout: 2 * time.Second}}

// Request sends an HTTP request directly to the process, bypassing the link proxy, and decodes the
// JSON body of the response into result unless result is nil. Request returns the HTTP status, or 0
// if there was no response.
func (p *Process) Request(timeout time.Duration, method, path string, body io.Reader, result any) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+p.ListenAddr+path, body)
	if err != nil {
		return 0, err
	}
	response, err := httpClient.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return response.StatusCode, err
	}
	if result != nil {
		if err := json.Unmarshal(raw, result); err != nil {
			return response.StatusCode, fmt.Errorf("decode the response %q to %s %s: %w", raw, method, path, err)
		}
	}
	return response.StatusCode, nil
}

// WaitReady polls the readiness endpoint and reports whether the process became ready within the
// timeout.
func (p *Process) WaitReady(timeout time.Duration) bool { return p.pollUntilOK("/ready", timeout) }

// WaitLive polls the liveness endpoint and reports whether the process responded within the timeout.
func (p *Process) WaitLive(timeout time.Duration) bool { return p.pollUntilOK("/live", timeout) }

// pollUntilOK polls a path until the response is 200 OK or the timeout has passed.
func (p *Process) pollUntilOK(path string, timeout time.Duration) bool {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); <-ticker.C {
		code, err := p.Request(pollTimeout, http.MethodGet, path, nil, nil)
		if err == nil && code == http.StatusOK {
			return true
		}
	}
	return false
}
