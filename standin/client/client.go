// Package client implements the stand-in clients of one machine, which send requests to the sidecar
// and check each response against the request.
package client

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/standin/endpoint"
	"cottonarch.example/cottonarch/wire/response"
)

const (
	maxIdleConns = 64
	maxConns     = 256
	idleTimeout  = 5 * time.Second
	// seedStream is the second seed of the random generator; the first is Options.Seed.
	seedStream = 99
)

// RequestKind describes one kind of request. Weight is the relative frequency of the kind among all
// kinds of the client.
type RequestKind struct {
	Name    string
	Method  string
	Host    string
	Path    string
	Service ident.Service
	Weight  int
}

// Options configures the clients of one machine. Rate is in requests per second.
type Options struct {
	Name         string
	SidecarAddr  ident.Addr
	RequestKinds []RequestKind
	Rate         float64
	Log          *ResultLog
	Seed         uint64
	Timeout      time.Duration
	// AbandonShare is the share of the requests, from 0 to 1, that are abandoned after a random time
	// below MaxAbandonDelay: the client closes the connection.
	AbandonShare    float64
	MaxAbandonDelay time.Duration
}

// Run sends requests at the rate of the options until ctx ends, and then waits for the requests in
// flight.
func Run(ctx context.Context, options Options) {
	client := &http.Client{
		Transport: &http.Transport{
			MaxIdleConnsPerHost: maxIdleConns,
			MaxConnsPerHost:     maxConns,
			IdleConnTimeout:     idleTimeout,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	defer client.CloseIdleConnections()
	rng := rand.New(rand.NewPCG(options.Seed, seedStream))
	var pending sync.WaitGroup
	ticker := time.NewTicker(time.Duration(float64(time.Second) / options.Rate))
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			pending.Wait()
			return
		case <-ticker.C:
		}
		kind := drawKind(rng, options.RequestKinds)
		id := fmt.Sprintf("%s-%d", options.Name, n)
		if options.AbandonShare > 0 && rng.Float64() < options.AbandonShare {
			abandonDelay := time.Duration(rng.Int64N(int64(options.MaxAbandonDelay)))
			pending.Go(func() { options.Log.Add(SendAndAbandon(client, options, kind, id, abandonDelay)) })
			continue
		}
		pending.Go(func() { options.Log.Add(Send(client, options, kind, id)) })
	}
}

// drawKind draws a kind of request at random, by weight.
func drawKind(rng *rand.Rand, kinds []RequestKind) *RequestKind {
	total := 0
	for _, kind := range kinds {
		total += kind.Weight
	}
	draw := rng.IntN(total)
	for i := range kinds {
		if draw < kinds[i].Weight {
			return &kinds[i]
		}
		draw -= kinds[i].Weight
	}
	return &kinds[0]
}

// Send sends one request with the timeout of the options, and checks the response.
func Send(client *http.Client, options Options, kind *RequestKind, id string) Result {
	result := Result{ID: id, RequestKind: kind, Start: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), options.Timeout)
	defer cancel()
	request, err := newRequest(ctx, options, kind, id)
	if err != nil {
		result.Outcome, result.Detail = Dropped, err.Error()
		return result
	}
	httpResponse, err := client.Do(request)
	result.Duration = time.Since(result.Start)
	if err != nil {
		result.Outcome, result.Detail = Dropped, err.Error()
		return result
	}
	data, err := io.ReadAll(httpResponse.Body)
	_ = httpResponse.Body.Close()
	result.Duration = time.Since(result.Start)
	result.Status = httpResponse.StatusCode
	if err != nil {
		result.Outcome, result.Detail = Dropped, "truncated: "+err.Error()
		return result
	}
	result.Outcome = classifyOutcome(httpResponse.Header.Get(response.OutcomeHeader), data, kind, id)
	if result.Outcome != Served {
		result.Detail = string(data)
	}
	return result
}

// SendAndAbandon sends one request, and closes the connection if no response has arrived when the
// delay has passed.
func SendAndAbandon(client *http.Client, options Options, kind *RequestKind, id string, delay time.Duration) Result {
	options.Timeout = delay
	result := Send(client, options, kind, id)
	if result.Outcome == Dropped && result.Duration >= delay {
		result.Outcome = Abandoned
	}
	return result
}

// newRequest returns a request of the given kind. The id is in a header, and also in the body if the
// request has a body.
func newRequest(ctx context.Context, options Options, kind *RequestKind, id string) (*http.Request, error) {
	var body io.Reader
	if kind.Method != http.MethodGet {
		body = strings.NewReader(`{"id":"` + id + `"}`)
	}
	request, err := http.NewRequestWithContext(ctx, kind.Method, "http://"+string(options.SidecarAddr)+kind.Path, body)
	if err != nil {
		return nil, err
	}
	request.GetBody = nil // prevents net/http from repeating the request on its own
	request.Host = kind.Host
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Caller", options.Name)
	return request, nil
}

// classifyOutcome returns the outcome that a client learns from the outcome header and the body of a
// complete response.
func classifyOutcome(header string, body []byte, kind *RequestKind, id string) Outcome {
	switch header {
	case string(failure.NotExecuted):
		return NotExecuted
	case string(failure.OutcomeUnknown):
		return Unknown
	}
	var echo endpoint.Echo
	if json.Unmarshal(body, &echo) != nil || echo.ID != id || echo.Path != kind.Path || echo.Service != kind.Service {
		return Wrong
	}
	return Served
}
