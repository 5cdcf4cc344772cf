package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"cottonarch.example/cottonarch/base/failure"
)

// requestTimeout bounds a request to a daemon. The timeout is above a minute because a watch may wait
// for up to a minute.
const requestTimeout = 70 * time.Second

// target is the daemon that an operator's command calls.
type target struct {
	Core string `short:"c" required:"" env:"COTTONARCH_CORE" help:"Address of any core (or of a sidecar, where that fits), ip:port."`
}

// request sends a request and returns the body of a successful response.
func (t target) request(method, path string, body []byte) (json.RawMessage, error) {
	httpRequest, err := http.NewRequest(method, "http://"+t.Core+path, bytes.NewReader(body))
	if err != nil {
		return nil, failure.Wrap(err, failure.Malformed, "can't create the request")
	}
	response, err := (&http.Client{Timeout: requestTimeout}).Do(httpRequest)
	if err != nil {
		return nil, failure.Wrap(err, failure.Unreachable, t.Core)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, failure.Wrap(err, failure.LostResponse, t.Core)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		fail := &failure.Error{}
		if json.Unmarshal(data, fail) != nil || fail.Kind == "" {
			return nil, failure.NewUnknown(failure.BadResponse, "unexpected response with status %d: %s", response.StatusCode, data)
		}
		fail.Message = fmt.Sprintf("%s (executed: %s)", fail.Message, fail.Outcome)
		return nil, fail
	}
	return data, nil
}

// print sends a request and prints the response, with indentation if the response is JSON.
func (t target) print(method, path string, body []byte) error {
	data, err := t.request(method, path, body)
	if err != nil {
		return err
	}
	var indented bytes.Buffer
	if json.Indent(&indented, data, "", "  ") != nil {
		indented.Write(data)
	}
	fmt.Println(indented.String())
	return nil
}

// printJSON sends a request with a JSON body and prints the response.
func (t target) printJSON(method, path string, body any) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return failure.Wrap(err, failure.Malformed, "can't encode the request body")
	}
	return t.print(method, path, raw)
}

// statusCmd shows the status of a daemon.
type statusCmd struct{ target }

// Run prints the status and the counters of the daemon.
func (c statusCmd) Run() error {
	if err := c.print(http.MethodGet, "/status", nil); err != nil {
		return err
	}
	return c.print(http.MethodGet, "/counters", nil)
}
