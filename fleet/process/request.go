package process

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Polling of a process that starts.
const (
	pollInterval = 20 * time.Millisecond
	pollTimeout  = 300 * time.Millisecond // of one request
)

var httpClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8, IdleConnTimeout: 2 * time.Second}}

// Request sends an HTTP request to the process itself, past the link proxy, and decodes the
// JSON of the response into result unless that is nil. It returns the HTTP status, 0 when
// there was no response.
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
			return response.StatusCode, fmt.Errorf("%s: %w", raw, err)
		}
	}
	return response.StatusCode, nil
}

// WaitReady polls until the process reports that it is ready, and tells whether it has
// within the timeout.
func (p *Process) WaitReady(timeout time.Duration) bool { return p.pollUntilOK("/ready", timeout) }

// WaitLive polls until the process listens, and tells whether it does within the timeout.
func (p *Process) WaitLive(timeout time.Duration) bool { return p.pollUntilOK("/live", timeout) }

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
